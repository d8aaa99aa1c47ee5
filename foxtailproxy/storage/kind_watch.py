"""Watch of one kind of objects in the store, which begins with a listing in each era."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import structlog
from twisted.internet.defer import Deferred, ensureDeferred

from foxtailproxy.store import HistoryGone

if TYPE_CHECKING:
    from expression import Result

    from foxtailproxy.storage.store_era import StoreEra
    from foxtailproxy.store import Changes, ObjectListing, Store, StoreFailure

log = structlog.get_logger()


class KindListener(Protocol):
    """Receiver of the objects of one kind."""

    def listing_received(self, listing: ObjectListing) -> None:
        """Handle all objects of the kind."""

    def changes_received(self, changes: Changes) -> None:
        """Handle the changes since the listing or the previous changes."""


class KindWatch:
    """Reader of one kind: lists it, and then waits for changes from call to call.

    A rise of the era ends a waiting watch, whose revision means nothing any more, and the kind is
    listed again. So it is if the store no longer has the history.
    """

    def __init__(self, store: Store, kind: str, era: StoreEra, listener: KindListener) -> None:
        self.kind = kind
        self._store = store
        self._era = era
        self._listener = listener
        self._revision = 0
        self._interrupt: Deferred[Result[Changes, StoreFailure] | None] | None = None
        era.add_listener(self._restart)

    def _restart(self) -> None:
        self._revision = 0
        if self._interrupt is not None and not self._interrupt.called:
            self._interrupt.callback(None)

    async def receive(self) -> bool:
        """Pass on the next listing or changes; return whether the store answered."""
        if not self._revision:
            return await self._list()
        changes = await self._watch()
        if changes is None:
            return True
        if changes.is_error() and isinstance(changes.error, HistoryGone):
            log.warning("store_history_gone", kind=self.kind, revision=self._revision)
            self._revision = 0
            return await self._list()
        if changes.is_error():
            return False
        self._record_revision(changes.ok.revision)
        self._listener.changes_received(changes.ok)
        return True

    async def _list(self) -> bool:
        listing = await self._store.list_objects(self.kind)
        if listing.is_error():
            return False
        if listing.ok.era < self._era.number:
            # The answer was late: the store has been restored since.
            return True
        self._record_revision(listing.ok.revision)
        self._listener.listing_received(listing.ok)
        return True

    async def _watch(self) -> Result[Changes, StoreFailure] | None:
        """Wait for changes; return `None` if the era rose meanwhile, whatever the answer is."""
        interrupt = self._interrupt = Deferred()

        def end_wait(changes: Result[Changes, StoreFailure]) -> None:
            if not interrupt.called:
                interrupt.callback(changes)

        watch: Deferred[Result[Changes, StoreFailure]] = ensureDeferred(
            self._store.watch(self.kind, self._revision)  # type: ignore[arg-type]
        )
        watch.addCallbacks(end_wait, interrupt.errback)
        return await interrupt

    def _record_revision(self, revision: int) -> None:
        if revision < self._revision:
            log.warning(
                "store_revision_decreased",
                kind=self.kind,
                revision=revision,
                previous_revision=self._revision,
            )
        self._revision = revision
