"""Membership table of a node, and the order of the records of one member."""

from __future__ import annotations

import hashlib
from collections import Counter
from typing import TYPE_CHECKING

import structlog
from msgspec.structs import replace

from foxtailproxy.config.settings import is_ip
from foxtailproxy.models.messages import MemberRecord, MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.clock import Clock

log = structlog.get_logger()

STATE_PRECEDENCE = {
    MemberState.alive: 0,
    MemberState.suspect: 1,
    MemberState.leaving: 2,
    MemberState.dead: 3,
}
"""Precedence among records with the same incarnation: the higher value is the newer record."""

STATE_COUNT = len(STATE_PRECEDENCE)

DEAD_RETENTION_MS = 600_000
"""Time for which the record of a dead node is kept, so that older records cannot revive it."""

MAX_NUMBER = 2**62
"""Highest incarnation or start of an upstream that is accepted; refutations and verdicts raise the
incarnation, which must fit into 64 bits."""

FINGERPRINT_BYTES = 5
"""Size of a record's fingerprint, in bytes."""

DIGEST_BYTES = 8
HASH_BYTES = 4


def rank(record: MemberRecord) -> int:
    """Return a number that is higher for each newer record of a node."""
    return record.incarnation * STATE_COUNT + STATE_PRECEDENCE[record.state]


def flaw_of(record: MemberRecord) -> str:
    """Return why a record cannot be used or passed on; empty if it can."""
    if not record.node_id:
        return "no node id"
    # The scope of an IPv6 address may hold any characters.
    if not (is_ip(record.address) and record.address.isascii() and record.address.isprintable()):
        return "address is no IP address"
    if not record.peer_port or not record.gossip_port:
        return "no port"
    if max(record.incarnation, record.born_ms) > MAX_NUMBER:
        return "number out of range"
    return ""


class MemberTable:
    """Records of all known nodes, including `local_record`, the record of this node.

    `on_change` is called with each newer record that was merged, `on_refutation` when the
    incarnation of the local record was raised above that of a record from a peer, and
    `on_previous_process` with records of an earlier process of this node. `region_by_endpoint`
    holds the region of each known gossip address and port.
    """

    def __init__(
        self,
        clock: Clock,
        local_record: MemberRecord,
        on_change: Callable[[MemberRecord], None],
        on_refutation: Callable[[], None],
        on_previous_process: Callable[[MemberRecord], None] = lambda record: None,
    ) -> None:
        self.local_record = local_record
        self.refutation_count = 0
        self.by_id: dict[str, MemberRecord] = {local_record.node_id: local_record}
        self._clock = clock
        self._on_change = on_change
        self._on_refutation = on_refutation
        self._on_previous_process = on_previous_process
        self.region_by_endpoint: dict[tuple[str, int], str] = {}
        self._hash_by_data_center: dict[str, int] = {}
        self._record_by_fingerprint: dict[bytes, MemberRecord] = {}
        self._dead_since_ms: dict[str, float] = {}
        self._index(local_record)

    def update_local_record(self, **changes: object) -> MemberRecord:
        """Change fields of the local record and raise its incarnation unless one is given."""
        self._remove_from_index(self.local_record)
        changes.setdefault("incarnation", self.local_record.incarnation + 1)
        self.local_record = replace(self.local_record, **changes)
        self.by_id[self.local_record.node_id] = self.local_record
        self._index(self.local_record)
        return self.local_record

    def merge(self, record: MemberRecord) -> bool:
        """Store a record if it is newer than the current one; return whether it was."""
        if record.node_id == self.local_record.node_id:
            self._refute(record)
            return False
        current = self.by_id.get(record.node_id)
        if current is None and record.state is MemberState.dead:
            return False
        if current is not None and rank(record) <= rank(current):
            return False
        if current is not None:
            self._remove_from_index(current)
        self.by_id[record.node_id] = record
        self._index(record)
        if record.state is MemberState.dead:
            self._dead_since_ms[record.node_id] = self._clock.now_ms()
        else:
            self._dead_since_ms.pop(record.node_id, None)
        self._on_change(record)
        return True

    def set_state(
        self, node_id: str, state: MemberState, incarnation_step: int = 0
    ) -> MemberRecord | None:
        """Set the state of a peer; return its new record, or `None` if nothing changed."""
        current = self.by_id.get(node_id)
        if current is None or node_id == self.local_record.node_id:
            return None
        incarnation = current.incarnation + incarnation_step
        updated = replace(current, state=state, incarnation=incarnation)
        return updated if self.merge(updated) else None

    def sweep(self) -> None:
        """Remove nodes that have been dead for longer than `DEAD_RETENTION_MS`."""
        cutoff_ms = self._clock.now_ms() - DEAD_RETENTION_MS
        for node_id, since_ms in list(self._dead_since_ms.items()):
            if since_ms < cutoff_ms:
                del self._dead_since_ms[node_id]
                self._remove_from_index(self.by_id.pop(node_id))

    def live_peers(self) -> list[MemberRecord]:
        """Return the records of all peers that are not dead."""
        return [
            record
            for record in self.by_id.values()
            if record.state is not MemberState.dead and record.node_id != self.local_record.node_id
        ]

    def data_center_hashes(self) -> dict[str, int]:
        """Return the hash of the records of each data centre."""
        return {
            data_center: value for data_center, value in self._hash_by_data_center.items() if value
        }

    def record_counts(self) -> Counter[str]:
        """Return the number of records of each data centre."""
        return Counter(record.data_center for record in self.by_id.values())

    def fingerprints(self, data_centers: list[str]) -> bytes:
        """Return the fingerprints of all records of some data centres, one after another."""
        return b"".join(
            fingerprint
            for fingerprint, record in self._record_by_fingerprint.items()
            if record.data_center in data_centers
        )

    def records_absent_from(
        self, fingerprints: bytes, data_centers: list[str]
    ) -> list[MemberRecord]:
        """Return the records of some data centres whose fingerprints a peer does not have."""
        held = set(split_fingerprints(fingerprints))
        return [
            record
            for fingerprint, record in self._record_by_fingerprint.items()
            if record.data_center in data_centers and fingerprint not in held
        ]

    def unknown_fingerprints(self, fingerprints: bytes) -> bytes:
        """Return those of a peer's fingerprints whose records this node does not have."""
        unknown = split_fingerprints(fingerprints)
        return b"".join(item for item in unknown if item not in self._record_by_fingerprint)

    def records_with(self, fingerprints: bytes) -> list[MemberRecord]:
        """Return the records with some fingerprints, as far as this node still has them."""
        found = map(self._record_by_fingerprint.get, split_fingerprints(fingerprints))
        return [record for record in found if record is not None]

    def _refute(self, record: MemberRecord) -> None:
        if record.boot_id != self.local_record.boot_id:
            self._on_previous_process(record)
        elif rank(record) <= rank(self.local_record):
            return
        if record.incarnation < self.local_record.incarnation:
            return
        self.refutation_count += 1
        log.warning(
            "member_refuted",
            believed=record.state.value,
            incarnation=record.incarnation,
            same_process=record.boot_id == self.local_record.boot_id,
        )
        self.update_local_record(incarnation=record.incarnation + 1)
        self._on_refutation()

    def _index(self, record: MemberRecord) -> None:
        """Add the fingerprint of a record, and the record to the hash of its data centre."""
        digest = _digest(record)
        self._record_by_fingerprint[digest[:FINGERPRINT_BYTES]] = record
        self.region_by_endpoint[record.address, record.gossip_port] = record.region
        self._toggle_in_hash(record, digest)

    def _remove_from_index(self, record: MemberRecord) -> None:
        digest = _digest(record)
        self._record_by_fingerprint.pop(digest[:FINGERPRINT_BYTES], None)
        self.region_by_endpoint.pop((record.address, record.gossip_port), None)
        self._toggle_in_hash(record, digest)

    def _toggle_in_hash(self, record: MemberRecord, digest: bytes) -> None:
        """Add a record to the hash of its data centre, or remove it: XOR is its own inverse."""
        if record.state is MemberState.dead:
            return
        current = self._hash_by_data_center.get(record.data_center, 0)
        self._hash_by_data_center[record.data_center] = current ^ int.from_bytes(
            digest[-HASH_BYTES:], "big"
        )


def split_fingerprints(fingerprints: bytes) -> list[bytes]:
    """Return the single fingerprints of a packet; a rest that is too short is ignored."""
    end = len(fingerprints) - FINGERPRINT_BYTES + 1
    return [
        fingerprints[start : start + FINGERPRINT_BYTES]
        for start in range(0, end, FINGERPRINT_BYTES)
    ]


def _digest(record: MemberRecord) -> bytes:
    """Return a digest of a node's id and the rank of its record."""
    text = f"{record.node_id} {rank(record)}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
