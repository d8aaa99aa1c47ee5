"""Registration of this node in the store, and reading the records of its peers at start.

The store has a roster of each data centre. One node of the data centre, its keeper, writes changes
into it after a while, so that many changes cost few calls of the store; between nodes they spread
at once. A new process that finds peers in the roster registers by contacting them. A process whose
upstream has left writes a mark of its own at once, for its next process.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog
from msgspec.structs import replace

from foxtailproxy.back_off import back_off_ms
from foxtailproxy.config_sync import watch_rank
from foxtailproxy.models.messages import MemberRecord, MemberState
from foxtailproxy.roster import (
    MEMBER_KIND,
    MalformedRoster,
    Roster,
    decode_roster,
    encode_roster,
    is_roster,
    members_differ,
    roster_path,
)
from foxtailproxy.store import Conflict, Missing

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from foxtailproxy.clock import Clock
    from foxtailproxy.membership import MemberTable
    from foxtailproxy.store import Store, StoredObject

log = structlog.get_logger()

FIRST_START_SPREAD_MS = 1000
"""Time over which nodes that find no peers spread their registration. If a whole fleet starts, most
nodes find the first of their data centre before it is their turn."""

KEEPER_CHECK_MS = 1000
"""Interval between checks whether the roster is due to be written."""

ROSTER_INTERVAL_MS = 5_000
"""Shortest interval between two writes of a roster by its keeper."""

DEPARTED_RETENTION_MS = 20_000
"""Time for which a dead node stays in the roster, so that a restart does not change it."""

ISOLATION_MS = 3_000
"""Time without a packet from a peer after which a new process registers itself: those that it found
in the roster may all be gone."""

INITIAL_BACK_OFF_MS = 500
MAX_BACK_OFF_MS = 8_000
"""Back-off after a failed call of the store, doubled with each failure up to the maximum. Every
call is priced, and meanwhile the node learns from its peers."""


class Registration:
    """Reader of the rosters at the start, and keeper of that of the local data centre.

    `heard_peers` returns whether any packet of a peer has arrived. `first_start` tells that the
    whole fleet starts for the first time, so that no earlier process can have left a mark.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        table: MemberTable,
        rng: random.Random,
        serving: Callable[[], bool],
        heard_peers: Callable[[], bool],
        first_start: bool = False,
    ) -> None:
        self._clock = clock
        self._store = store
        self._table = table
        self._rng = rng
        self._serving = serving
        self._heard_peers = heard_peers
        self._mark_checked = first_start
        self._roster: Roster | None = None
        self._roster_written_ms = clock.now_ms()
        self._failures = 0
        self._mark_requests = 0

    @property
    def _mark_path(self) -> str:
        return f"{MEMBER_KIND}/{self._table.local_record.node_id}"

    @property
    def _data_center(self) -> str:
        return self._table.local_record.data_center

    # Start

    async def join(self) -> bool:
        """Learn the members from the store; return whether it answered.

        A node that finds no peer in its data centre writes the roster itself.
        """
        if not await self._read_members(stale=True) or not await self._check_mark():
            return False
        if self._has_local_peers():
            return True
        await self._clock.sleep(self._rng.random() * FIRST_START_SPREAD_MS)
        if self._has_local_peers():
            return True
        if not await self._read_members(stale=True):
            return False
        return self._has_local_peers() or await self._register()

    async def _register(self) -> bool:
        """Write the local record into the roster; return whether the store answered."""
        if not await self._write_roster():
            return False
        if not self._is_registered() and self._has_local_peers():
            # Another node was faster, and lists the members of the other data centres.
            return True
        # Of two nodes that write at once, in whatever data centre, the later one sees the other.
        return await self._read_members()

    def _has_local_peers(self) -> bool:
        return any(
            record.data_center == self._data_center
            and record.node_id != self._table.local_record.node_id
            and record.state is not MemberState.dead
            for record in self._table.by_id.values()
        )

    async def _read_members(self, stale: bool = False) -> bool:
        listing = await self._store.list_objects(MEMBER_KIND, stale)
        if listing.is_error():
            return False
        for stored in listing.ok.objects:
            if is_roster(stored.path):
                self._merge_roster(stored)
            elif stored.path != self._mark_path:
                self._merge_record(stored)
        return True

    def _merge_roster(self, stored: StoredObject) -> None:
        try:
            roster = decode_roster(stored.version, stored.value)
        except MalformedRoster as error:
            # The keeper replaces it.
            log.warning("roster_malformed", path=stored.path, error=str(error))
            roster = Roster(stored.version)
        for record in roster.record_by_id.values():
            self._table.merge(record)
        is_local = stored.path == roster_path(self._data_center)
        if is_local and (self._roster is None or self._roster.version < roster.version):
            self._roster = roster

    def _merge_record(self, stored: StoredObject) -> None:
        """Merge the record of a node of the previous release, which keeps one for each node."""
        try:
            record = msgspec.json.decode(stored.value, type=MemberRecord)
        except msgspec.MsgspecError as error:
            log.warning("member_malformed", path=stored.path, error=str(error))
            return
        if not record.target_left:
            self._table.merge(record)

    async def _check_mark(self) -> bool:
        """Learn whether the upstream of an earlier process has left; return whether that is known.

        This read is not stale: the mark may have been written a moment before this process started.
        """
        if self._mark_checked:
            return True
        stored = await self._store.read(self._mark_path)
        if stored.is_error():
            self._mark_checked = isinstance(stored.error, Missing)
            return self._mark_checked
        self._mark_checked = True
        try:
            self._table.merge(msgspec.json.decode(stored.ok.value, type=MemberRecord))
        except msgspec.MsgspecError as error:
            log.warning("member_malformed", path=self._mark_path, error=str(error))
        return True

    # Afterwards

    async def keep_roster(self) -> None:
        """Write the roster of the data centre when it is due, while the node serves."""
        started_ms = self._clock.now_ms()
        while self._serving():
            await self._clock.sleep(self._check_delay_ms())
            if not self._serving():
                return
            alone = not self._heard_peers() and self._clock.now_ms() - started_ms > ISOLATION_MS
            if alone and not self._is_registered():
                log.info("registration_without_peers")
                await self._register()
            elif self._is_keeper() and self._is_due():
                await self._write_roster()

    def _check_delay_ms(self) -> float:
        if self._failures:
            return self.retry_delay_ms(self._failures)
        return KEEPER_CHECK_MS * (0.5 + self._rng.random())

    def retry_delay_ms(self, failures: int) -> float:
        """Return the back-off after `failures` consecutive calls that the store did not answer."""
        return back_off_ms(failures, INITIAL_BACK_OFF_MS, MAX_BACK_OFF_MS, self._rng)

    def _is_keeper(self) -> bool:
        """Return whether this node has the lowest rank of the nodes alive in its data centre."""
        local_ids = [
            record.node_id
            for record in self._table.by_id.values()
            if record.data_center == self._data_center and record.state is MemberState.alive
        ]
        return min(local_ids, key=watch_rank, default="") == self._table.local_record.node_id

    def _is_registered(self) -> bool:
        node_id = self._table.local_record.node_id
        return self._roster is not None and node_id in self._roster.record_by_id

    def _is_due(self) -> bool:
        if self._clock.now_ms() - self._roster_written_ms < ROSTER_INTERVAL_MS:
            return False
        return self._roster is None or members_differ(
            self._current_members(), self._roster.record_by_id
        )

    def _current_members(self) -> dict[str, MemberRecord]:
        """Return the records for the roster: of nodes that live, and of those lost a moment ago."""
        previous = {} if self._roster is None else self._roster.record_by_id
        members = {}
        for record in self._table.by_id.values():
            if record.data_center != self._data_center:
                continue
            if record.state is not MemberState.dead:
                members[record.node_id] = replace(record, state=MemberState.alive)
            elif (
                record.node_id in previous
                and self._table.dead_ms(record.node_id) < DEPARTED_RETENTION_MS
            ):
                members[record.node_id] = previous[record.node_id]
        return members

    async def _write_roster(self) -> bool:
        """Write the members into the roster; return whether the store answered."""
        members = self._current_members()
        value = encode_roster(list(members.values()))
        path = roster_path(self._data_center)
        if self._roster is None:
            written = await self._store.create(path, value)
        else:
            written = await self._store.update(path, value, self._roster.version)
        if written.is_ok():
            self._roster_written_ms = self._clock.now_ms()
            self._roster = Roster(written.ok.version, members)
            self._failures = 0
            log.info("roster_written", members=len(members), version=written.ok.version)
            return True
        return await self._resolve_failed_write(written.error)

    async def _resolve_failed_write(self, failure: object) -> bool:
        """Learn what the roster holds, if another node has written it or it was removed."""
        if not isinstance(failure, Missing | Conflict):
            self._failures += 1
            return False
        self._failures = 0
        self._roster = None
        if isinstance(failure, Conflict) and failure.current is not None:
            self._merge_roster(failure.current)
        return True

    async def write_mark(self) -> None:
        """Write that the upstream has left, for the next process of this node.

        A failed write is repeated until the node stops: by then the upstream has ended.
        """
        self._mark_requests += 1
        if self._mark_requests > 1:
            # The loop that runs writes the newest record.
            return
        failures = 0
        while self._mark_requests:
            self._mark_requests = 1
            if await self._put_mark():
                failures = 0
                self._mark_requests -= 1
                continue
            failures += 1
            log.warning("leave_mark_not_written", failures=failures)
            if not self._serving():
                self._mark_requests = 0
                return
            await self._clock.sleep(self.retry_delay_ms(failures))

    async def _put_mark(self) -> bool:
        """Create or replace the mark; return whether the store has done it."""
        value = msgspec.json.encode(self._table.local_record).decode()
        written = await self._store.create(self._mark_path, value)
        if written.is_error() and isinstance(written.error, Conflict):
            written = await self._store.put(self._mark_path, value)
        return written.is_ok()
