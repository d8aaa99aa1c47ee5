"""Registration of this node in the store, and reading the records of its peers at start."""

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
"""Interval between writes of the local record, in case it was lost from the store. Changes are
exchanged between nodes."""

REFRESH_JITTER = 0.2

INITIAL_BACK_OFF_MS = 500
MAX_BACK_OFF_MS = 8_000
"""Back-off after a failed call of the store, doubled with each failure up to the maximum. Every
call is priced, and meanwhile the node learns from its peers."""


class Registration:
    """Writer of the local record and reader of those of its peers; refreshes while `serving()`."""

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
        """Write the local record and merge all others; return whether the store answered."""
        if self._written:
            await self.write()
            return not self._failures and await self._read_peers()
        self._written = True
        # A stale listing, read meanwhile, has the records of nodes that registered long ago.
        listing: Deferred[bool] = ensureDeferred(self._read_peers(stale=True))  # type: ignore[arg-type]
        created = await self._store.create(self._path, self._encoded_record())
        await self._delete_if_removed()
        listed = await listing
        if created.is_ok():
            # List after the write, so that of two nodes that start at once one sees the other.
            return await self._read_peers()
        if isinstance(created.error, Conflict):
            await self._resolve_conflict(created.error)
            return listed
        self._failures = 1
        # After a write without an answer the listing may be older than the peers' first writes.
        return listed and isinstance(created.error, Refused)

    async def _resolve_conflict(self, conflict: Conflict) -> None:
        """Replace the record of an earlier process of this node only if its endpoint differs.

        A record with the same endpoint serves the peers as well as the new one.
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
        """Write the local record, whatever the store holds, unless it has been removed."""
        if self._removed:
            return
        written = await self._store.put(self._path, self._encoded_record())
        self._failures = 0 if written.is_ok() else self._failures + 1
        await self._delete_if_removed()

    async def update(self) -> None:
        """Write the changed local record again, if it was written before."""
        if self._written:
            await self.write()

    async def refresh_periodically(self) -> None:
        """Write the local record at intervals while the node serves."""
        while self._serving():
            await self._clock.sleep(self._refresh_delay_ms())
            if self._serving():
                await self.write()

    def _refresh_delay_ms(self) -> float:
        if self._failures:
            return self.retry_delay_ms(self._failures)
        return REFRESH_INTERVAL_MS * (1 + REFRESH_JITTER * (2 * self._rng.random() - 1))

    def retry_delay_ms(self, failures: int) -> float:
        """Return the back-off after `failures` consecutive calls that the store did not answer."""
        return back_off_ms(failures, INITIAL_BACK_OFF_MS, MAX_BACK_OFF_MS, self._rng)

    async def remove(self) -> None:
        """Remove the local record from the store, if it was written."""
        if self._written:
            self._removed = True
            await self._store.delete(self._path, None)

    async def _delete_if_removed(self) -> None:
        """Remove the record again after a write that was on its way during the removal."""
        if self._removed:
            log.info("registration_removed_again", member=self._table.local_record.node_id)
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
    """Return the address and ports under which peers reach a node."""
    return record.address, record.peer_port, record.gossip_port
