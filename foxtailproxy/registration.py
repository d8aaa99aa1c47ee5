"""This node's record in the store, and the records of the others that are read from it at start."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog
from twisted.internet.defer import ensureDeferred

from foxtailproxy.back_off import back_off_ms
from foxtailproxy.models.messages import MemberRecord
from foxtailproxy.store import Conflict, Refused

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from twisted.internet.defer import Deferred

    from foxtailproxy.clock import Clock
    from foxtailproxy.membership import MemberTable
    from foxtailproxy.store import Store

log = structlog.get_logger()

MEMBER_KIND = "members"

REFRESH_INTERVAL_MS = 600_000
"""Time between two writes of the node's own record, in case that it got lost; what changes goes
between nodes."""

REFRESH_JITTER = 0.2

INITIAL_BACK_OFF_MS = 500
MAX_BACK_OFF_MS = 8_000
"""Pauses after the store did not answer: each is twice the one before it, up to the longest. Every
call is priced, and meanwhile the node learns from its peers."""


class Registration:
    """Writes the node's own record and reads those of the others; `serving` tells when to go on."""

    def __init__(
        self,
        clock: Clock,
        store: Store,
        table: MemberTable,
        rng: random.Random,
        serving: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._store = store
        self._table = table
        self._rng = rng
        self._serving = serving
        self._written = False
        self._removed = False
        self._failures = 0

    @property
    def _path(self) -> str:
        return f"{MEMBER_KIND}/{self._table.local_record.node_id}"

    async def join(self) -> bool:
        """Write the own record and take in all others; returns whether the store answered."""
        if self._written:
            await self.write()
            return not self._failures and await self._read_peers()
        self._written = True
        # The records of those that have been there for long are taken in meanwhile.
        listing: Deferred[bool] = ensureDeferred(self._read_peers(stale=True))  # type: ignore[arg-type]
        created = await self._store.create(self._path, self._encoded_record())
        listed = await listing
        if created.is_ok():
            # Listed after the write, so that of two nodes that start at once one sees the other.
            return await self._read_peers()
        if isinstance(created.error, Conflict):
            await self._resolve_conflict(created.error)
            return listed
        self._failures = 1
        # After a write without an answer the listing may be older than the others' first writes.
        return listed and isinstance(created.error, Refused)

    async def _resolve_conflict(self, conflict: Conflict) -> None:
        """An earlier process of this node left its record, which is as good for the others.

        It is replaced only where it leads to another place.
        """
        previous = None if conflict.current is None else self._merge_stored(conflict.current.value)
        if previous is None or _endpoint_of(previous) != _endpoint_of(self._table.local_record):
            await self.write()

    async def _read_peers(self, stale: bool = False) -> bool:
        listing = await self._store.list_objects(MEMBER_KIND, stale)
        if listing.is_error():
            return False
        for stored in listing.ok.objects:
            self._merge_stored(stored.value)
        return True

    async def write(self) -> None:
        """Write the own record, whatever is there."""
        written = await self._store.put(self._path, self._encoded_record())
        self._failures = 0 if written.is_ok() else self._failures + 1

    async def update(self) -> None:
        """Write the own record once more if it was written before, since it has changed."""
        if self._written and not self._removed:
            await self.write()

    async def refresh_periodically(self) -> None:
        """Write the own record now and then while the node serves."""
        while self._serving():
            await self._clock.sleep(self._refresh_delay_ms())
            if self._serving():
                await self.write()

    def _refresh_delay_ms(self) -> float:
        if self._failures:
            return self.retry_delay_ms(self._failures)
        return REFRESH_INTERVAL_MS * (1 + REFRESH_JITTER * (2 * self._rng.random() - 1))

    def retry_delay_ms(self, failures: int) -> float:
        """The pause after so many calls in a row that the store did not answer."""
        return back_off_ms(failures, INITIAL_BACK_OFF_MS, MAX_BACK_OFF_MS, self._rng)

    async def remove(self) -> None:
        """Take the own record out of the store, if it was written."""
        if self._written:
            self._removed = True
            await self._store.delete(self._path, None)

    def _encoded_record(self) -> str:
        return msgspec.json.encode(self._table.local_record).decode()

    def _merge_stored(self, value: str) -> MemberRecord | None:
        try:
            record = msgspec.json.decode(value, type=MemberRecord)
        except msgspec.MsgspecError as error:
            log.warning("member_malformed", error=str(error))
            return None
        self._table.merge(record)
        return record


def _endpoint_of(record: MemberRecord) -> tuple[str, int, int]:
    """Where the others find a node."""
    return record.address, record.peer_port, record.gossip_port
