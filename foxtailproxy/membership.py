"""Membership table of a node, and the order of the records of one member."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import structlog
from msgspec.structs import replace

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


def rank(record: MemberRecord) -> int:
    """Return a number that is higher for each newer record of a node."""
    return record.incarnation * STATE_COUNT + STATE_PRECEDENCE[record.state]


class MemberTable:
    """Records of all known nodes, including `local_record`, the record of this node.

    `on_change` is called with each newer record that was merged, `on_refutation` when the
    incarnation of the local record was raised above that of a record from a peer, and
    `on_previous_process` with records of an earlier process of this node.
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
        self._hash_by_data_center: dict[str, int] = {}
        self._dead_since_ms: dict[str, float] = {}
        self._toggle_in_hash(local_record)

    def update_local_record(self, **changes: object) -> MemberRecord:
        """Change fields of the local record and raise its incarnation unless one is given."""
        self._toggle_in_hash(self.local_record)
        changes.setdefault("incarnation", self.local_record.incarnation + 1)
        self.local_record = replace(self.local_record, **changes)
        self.by_id[self.local_record.node_id] = self.local_record
        self._toggle_in_hash(self.local_record)
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
            self._toggle_in_hash(current)
        self.by_id[record.node_id] = record
        self._toggle_in_hash(record)
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
                self._toggle_in_hash(self.by_id.pop(node_id))

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

    def ranks(self, data_center: str) -> dict[str, int]:
        """Return the rank of each record of a data centre, by node id."""
        return {
            record.node_id: rank(record)
            for record in self.by_id.values()
            if record.data_center == data_center
        }

    def records_newer_than(self, data_center: str, ranks: dict[str, int]) -> list[MemberRecord]:
        """Return the records of a data centre with a higher rank than in `ranks`."""
        return [
            record
            for record in self.by_id.values()
            if record.data_center == data_center and rank(record) > ranks.get(record.node_id, -1)
        ]

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

    def _toggle_in_hash(self, record: MemberRecord) -> None:
        """Add a record to the hash of its data centre, or remove it: XOR is its own inverse."""
        if record.state is MemberState.dead:
            return
        text = f"{record.node_id} {rank(record)}".encode()
        value = int.from_bytes(hashlib.blake2b(text, digest_size=7).digest(), "big")
        current = self._hash_by_data_center.get(record.data_center, 0)
        self._hash_by_data_center[record.data_center] = current ^ value
