"""Registration of this node in the store, and reading the records of its peers at start."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog
from expression import Error, Ok
from twisted.internet.defer import Deferred, DeferredLock, ensureDeferred, succeed

from foxtailproxy.back_off import back_off_ms
from foxtailproxy.membership import flaw_of
from foxtailproxy.models.messages import MemberRecord
from foxtailproxy.storage.store_era import StoreEra
from foxtailproxy.store import Conflict, Missing, Refused

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from expression import Result

    from foxtailproxy.clock import Clock
    from foxtailproxy.membership import MemberTable
    from foxtailproxy.store import Store, StoredObject, StoreFailure

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

MAX_LEAVING_BACK_OFF_MS = 1_000
"""Maximum back-off while the upstream waits for the acknowledgement of its leaving."""

MAX_REWRITE_DELAY_MS = 1000
"""Longest random delay before the record is written again after a rise of the store's era."""

MAX_CONFLICTS = 3
"""Maximum number of conflicts in one write, each of which takes another call of the store."""


class Registration:
    """Writer of the local record and reader of those of its peers; refreshes while `serving()`.

    Every write has a condition, so that one that takes effect late replaces no later one. The
    record of an earlier process of this node is read before it is replaced: it tells which process
    of the upstream has left.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        table: MemberTable,
        rng: random.Random,
        serving: Callable[[], bool],
        era: StoreEra | None = None,
    ) -> None:
        self._clock = clock
        self._store = store
        self._table = table
        self._rng = rng
        self._serving = serving
        self._era = era or StoreEra(clock)
        self._era.add_listener(self._rewrite)
        self._rewrites = False
        self._rises_before = 0
        self._lock = DeferredLock()
        self._stored: MemberRecord | None = None
        self._version: int | None = None
        self._attempted = False
        self._removed = False
        self._closed = False
        self._failures = 0
        self._leaving_waiters: list[Deferred[None]] = []
        self._saves_leaving = False

    def close(self) -> None:
        """Stop writing the leaving of the target."""
        self._closed = True

    @property
    def _path(self) -> str:
        return f"{MEMBER_KIND}/{self._table.local_record.node_id}"

    @property
    def registered(self) -> bool:
        """Whether the store has a record of this node, and that of an earlier process was read."""
        return self._stored is not None

    async def join(self) -> bool:
        """Write the local record and merge all others; return whether the store answered."""
        if self._attempted:
            return await self.write() and await self._read_peers()
        self._attempted = True
        # A stale listing, read meanwhile, has the records of nodes that registered long ago.
        listing: Deferred[bool] = ensureDeferred(self._read_peers(stale=True))  # type: ignore[arg-type]
        async with self._lock:
            created = await self._create()
        listed = await listing
        if created.is_ok():
            # List after the write, so that of two nodes that start at once one sees the other.
            return await self._read_peers()
        if isinstance(created.error, Conflict):
            await self._replace_if_moved()
            return listed
        # After a write without an answer the listing may be older than the peers' first writes.
        return listed and isinstance(created.error, Refused)

    async def _create(self) -> Result[StoredObject, StoreFailure]:
        """Create the local record, or read the one that the store has already."""
        record, rises = self._table.local_record, self._era.rises
        created = await self._store.create(self._path, _encode(record))
        if created.is_ok():
            self._record_write(record, created.ok.version, rises)
        elif isinstance(created.error, Conflict):
            await self._read_current(created.error, rises)
        else:
            self._failures += 1
        await self._delete_if_removed()
        return created

    async def _replace_if_moved(self) -> None:
        """Replace the record of an earlier process of this node only if its endpoint differs.

        A record with the same endpoint serves the peers as well as the new one.
        """
        stored = self._stored
        if stored is None or _endpoint_of(stored) != _endpoint_of(self._table.local_record):
            await self.write()

    async def _read_peers(self, stale: bool = False) -> bool:
        listing = await self._store.list_objects(MEMBER_KIND, stale)
        if listing.is_error():
            return False
        flaw_by_path: dict[str, str] = {}
        for stored in listing.ok.objects:
            decoded = _decode(stored.value)
            if decoded.is_ok():
                self._table.merge(decoded.ok)
            else:
                flaw_by_path[stored.path] = decoded.error
        _log_unusable(flaw_by_path)
        return True

    async def write(self) -> bool:
        """Write the local record unless it has been removed; return whether the store has it."""
        async with self._lock:
            return await self._write()

    async def _write(self) -> bool:
        for _ in range(1 + MAX_CONFLICTS):
            if self._removed:
                return False
            record, rises = self._table.local_record, self._era.rises
            written = await self._write_conditionally(record)
            if written.is_ok():
                self._record_write(record, written.ok.version, rises)
                await self._delete_if_removed()
                return True
            if isinstance(written.error, Missing):
                self._version = None
                continue
            if not isinstance(written.error, Conflict):
                break
            if not await self._read_current(written.error, rises):
                break
            if self._stored == record:
                # An earlier write without an answer took effect.
                self._failures = 0
                return True
        self._failures += 1
        await self._delete_if_removed()
        return False

    async def _write_conditionally(
        self, record: MemberRecord
    ) -> Result[StoredObject, StoreFailure]:
        """Write a record if the store still has the version that was read or written last.

        A version of an earlier era is not used: the store may have assigned it again.
        """
        if self._may_be_lost:
            self._version = None
        if self._version is None:
            return await self._store.create(self._path, _encode(record))
        return await self._store.update(self._path, _encode(record), self._version)

    async def _read_current(self, conflict: Conflict, rises: int) -> bool:
        """Read the record that the store has after a conflict; return whether it is known.

        `rises` is the number of rises of the era that were known before the call that conflicted.
        """
        current = conflict.current
        if current is None:
            read = await self._store.read(self._path)
            if read.is_error():
                self._version = None
                return isinstance(read.error, Missing)
            current = read.ok
        self._version, self._rises_before = current.version, rises
        decoded = _decode(current.value)
        self._stored = decoded.default_with(lambda flaw: None)
        if self._stored is not None:
            self._table.merge(self._stored)
        else:
            _log_unusable({self._path: decoded.error})
        return True

    def _record_write(self, record: MemberRecord, version: int, rises: int) -> None:
        """Record a write that was begun after `rises` of the era; a later one may undo it."""
        self._failures = 0
        self._version = version
        self._stored = record
        self._rises_before = rises

    # Restore of the store

    @property
    def _may_be_lost(self) -> bool:
        """Whether the store has been restored since the record was written or read there."""
        return self._rises_before < self._era.rises

    def _rewrite(self) -> None:
        """Write the record again after a rise of the era, if it was written before."""
        if self._attempted and not self._rewrites and not self._closed:
            self._rewrites = True
            ensureDeferred(self._write_until_current())  # type: ignore[arg-type]

    async def _write_until_current(self) -> None:
        failures = 0
        # All nodes see the rise at about the same time.
        await self._clock.sleep(self._rng.random() * MAX_REWRITE_DELAY_MS)
        while not self._closed and not self._removed:
            # A rise during the write may have undone it.
            if await self.write() and not self._may_be_lost:
                break
            failures += 1
            await self._clock.sleep(self.retry_delay_ms(failures))
        self._rewrites = False
        local = self._table.local_record
        log.info(
            "registration_rewritten",
            member=local.node_id,
            era=self._era.number,
            target_left=local.target_left,
            failed=failures,
        )

    # Leaving of the local target

    def save_leaving(self) -> Deferred[None]:
        """Return a deferred that fires once the store has the leaving of the local target.

        The record is written until it has. Fires at once if the target has not left.
        """
        if self._is_leaving_stored():
            return succeed(None)
        saved: Deferred[None] = Deferred(self._leaving_waiters.remove)
        self._leaving_waiters.append(saved)
        if not self._saves_leaving:
            self._saves_leaving = True
            ensureDeferred(self._write_until_leaving_stored())  # type: ignore[arg-type]
        return saved

    def _is_leaving_stored(self) -> bool:
        local, stored = self._table.local_record, self._stored
        if not local.target_left:
            return True
        return (
            stored is not None
            and not self._may_be_lost
            and stored.target_left
            and (stored.instance, stored.born_ms) == (local.instance, local.born_ms)
        )

    async def _write_until_leaving_stored(self) -> None:
        self._removed = False
        failures = 0
        while not self._closed and not self._is_leaving_stored():
            if not await self.write():
                failures += 1
                delay_ms = back_off_ms(
                    failures, INITIAL_BACK_OFF_MS, MAX_LEAVING_BACK_OFF_MS, self._rng
                )
                await self._clock.sleep(delay_ms)
        self._saves_leaving = False
        if self._closed:
            return
        local = self._table.local_record
        log.info("leaving_stored", instance=local.instance, born_ms=local.born_ms, failed=failures)
        waiters, self._leaving_waiters = self._leaving_waiters, []
        for waiter in waiters:
            waiter.callback(None)

    # Refresh and removal

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
        if not self._attempted:
            return
        self._removed = True
        # A write that is on its way removes the record when it ends.
        if not self._lock.locked:
            async with self._lock:
                await self._delete()

    async def _delete_if_removed(self) -> None:
        """Remove the record again after a write that was on its way during the removal."""
        if self._removed:
            log.info("registration_removed_again", member=self._table.local_record.node_id)
            await self._delete()

    async def _delete(self) -> None:
        """Delete the record, but not one that a later process of this node has written."""
        conflict = Conflict()
        if self._version is None or not self._may_be_lost:
            deleted = await self._store.delete(self._path, self._version)
            if deleted.is_ok() or not isinstance(deleted.error, Conflict):
                return
            conflict = deleted.error
        is_known = await self._read_current(conflict, self._era.rises)
        stored = self._stored
        if (
            is_known
            and self._version is not None
            and stored
            and stored.boot_id == self._table.local_record.boot_id
        ):
            await self._store.delete(self._path, self._version)


def _encode(record: MemberRecord) -> str:
    return msgspec.json.encode(record).decode()


def _decode(value: str) -> Result[MemberRecord, str]:
    """Return the record in an entry, which may come from another writer, or why it has none."""
    try:
        record = msgspec.json.decode(value, type=MemberRecord)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        return Error(str(error))
    flaw = flaw_of(record)
    return Error(flaw) if flaw else Ok(record)


def _log_unusable(flaw_by_path: dict[str, str]) -> None:
    """Log the entries of one answer that cannot be used, in one line with one of them."""
    for path, flaw in list(flaw_by_path.items())[:1]:
        log.warning("member_malformed", path=path, error=flaw, count=len(flaw_by_path))


def _endpoint_of(record: MemberRecord) -> tuple[str, int, int]:
    """Return the address and ports under which peers reach a node."""
    return record.address, record.peer_port, record.gossip_port
