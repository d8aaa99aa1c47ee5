"""The nodes that this node knows of, and which of two records of a node is the newer."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from msgspec.structs import replace

from foxtailproxy.models.messages import MemberRecord, MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.clock import Clock

STATE_ORDER = {
    MemberState.alive: 0,
    MemberState.suspect: 1,
    MemberState.leaving: 2,
    MemberState.dead: 3,
}
"""Of two records with one incarnation, the one with the higher state is the newer."""

STATE_COUNT = len(STATE_ORDER)

DEAD_KEPT_MS = 600_000
"""Time that the record of a dead node is kept, so that older records cannot bring it back."""


def rank(record: MemberRecord) -> int:
    """Grows with each newer record of a node."""
    return record.incarnation * STATE_COUNT + STATE_ORDER[record.state]


class MemberTable:
    """All known nodes; `me` is this node's own record.

    `on_change` is called with each new record that was taken in, `on_self_change` when this node's
    own record had to be raised above what others say of it, `on_earlier_self` with records of an
    earlier process of this node.
    """

    def __init__(
        self,
        clock: Clock,
        me: MemberRecord,
        on_change: Callable[[MemberRecord], None],
        on_self_change: Callable[[], None],
        on_earlier_self: Callable[[MemberRecord], None] = lambda record: None,
    ) -> None:
        self.me = me
        self.by_id: dict[str, MemberRecord] = {me.node_id: me}
        self._clock = clock
        self._on_change = on_change
        self._on_self_change = on_self_change
        self._on_earlier_self = on_earlier_self
        self._hash_by_data_center: dict[str, int] = {}
        self._dead_since: dict[str, float] = {}
        self._add_to_hash(me)

    def update_me(self, **changes: object) -> MemberRecord:
        """Change this node's own record."""
        self._add_to_hash(self.me)
        changes.setdefault("incarnation", self.me.incarnation + 1)
        self.me = replace(self.me, **changes)
        self.by_id[self.me.node_id] = self.me
        self._add_to_hash(self.me)
        return self.me

    def merge(self, record: MemberRecord) -> bool:
        """Take in a record if it is newer than what is known; returns whether it was."""
        if record.node_id == self.me.node_id:
            self._refute(record)
            return False
        known = self.by_id.get(record.node_id)
        if known is None and record.state is MemberState.dead:
            return False
        if known is not None and rank(record) <= rank(known):
            return False
        if known is not None:
            self._add_to_hash(known)
        self.by_id[record.node_id] = record
        self._add_to_hash(record)
        if record.state is MemberState.dead:
            self._dead_since[record.node_id] = self._clock.now_ms()
        else:
            self._dead_since.pop(record.node_id, None)
        self._on_change(record)
        return True

    def mark(self, node_id: str, state: MemberState) -> MemberRecord | None:
        """Note what was found out about a node; returns its record if that is news."""
        known = self.by_id.get(node_id)
        if known is None or node_id == self.me.node_id:
            return None
        changed = replace(known, state=state)
        return changed if self.merge(changed) else None

    def sweep(self) -> None:
        """Forget nodes that have been dead for long."""
        oldest = self._clock.now_ms() - DEAD_KEPT_MS
        for node_id, since in list(self._dead_since.items()):
            if since < oldest:
                del self._dead_since[node_id]
                self._add_to_hash(self.by_id.pop(node_id))

    def others(self) -> list[MemberRecord]:
        """The other nodes that are not dead."""
        return [
            record
            for record in self.by_id.values()
            if record.state is not MemberState.dead and record.node_id != self.me.node_id
        ]

    def data_center_hashes(self) -> dict[str, int]:
        """A hash of the records of each data centre."""
        return {name: value for name, value in self._hash_by_data_center.items() if value}

    def ranks(self, data_center: str) -> dict[str, int]:
        """The rank of each record of a data centre."""
        return {
            record.node_id: rank(record)
            for record in self.by_id.values()
            if record.data_center == data_center
        }

    def newer_than(self, data_center: str, ranks: dict[str, int]) -> list[MemberRecord]:
        """The records of a data centre that are newer than `ranks`."""
        return [
            record
            for record in self.by_id.values()
            if record.data_center == data_center and rank(record) > ranks.get(record.node_id, -1)
        ]

    def _refute(self, record: MemberRecord) -> None:
        if record.boot_id != self.me.boot_id:
            self._on_earlier_self(record)
        elif rank(record) <= rank(self.me):
            return
        if record.incarnation < self.me.incarnation:
            return
        self.update_me(incarnation=record.incarnation + 1)
        self._on_self_change()

    def _add_to_hash(self, record: MemberRecord) -> None:
        """Add a record to its data centre's hash, or take it out: the operation undoes itself."""
        if record.state is MemberState.dead:
            return
        text = f"{record.node_id} {rank(record)}".encode()
        value = int.from_bytes(hashlib.blake2b(text, digest_size=7).digest(), "big")
        known = self._hash_by_data_center.get(record.data_center, 0)
        self._hash_by_data_center[record.data_center] = known ^ value
