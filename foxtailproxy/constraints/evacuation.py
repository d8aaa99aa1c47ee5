"""Evacuated data centres, whose targets get no further calls.

The watchers read them from the store, and gossip spreads them: of two states the one with the
higher era and revision is newer.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog

from foxtailproxy.clock import cancel_timer
from foxtailproxy.models.messages import ExtendedPacket, GossipPacket
from foxtailproxy.storage.store_era import NEWS_MS

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from foxtailproxy.clock import Clock
    from foxtailproxy.storage.store_era import StoreEra
    from foxtailproxy.store import Changes, ObjectListing, Store

log = structlog.get_logger()

EVACUATION_KIND = "evacuations"

PLATFORM = "platform"
"""Source of a state that this node read from the store itself."""

PACKET_FIELDS = GossipPacket.__struct_fields__


class Evacuations:
    """State of the evacuations, which is in force on this node as soon as it is known.

    `on_changed` is called with the data centres in force after each change of them, `on_news` if
    peers are to be told at once.

    For the grace time after the first news of an era, a data centre that is no longer evacuated
    stays in force: the store may have lost its evacuation. Such data centres are `held`.
    """

    def __init__(
        self,
        clock: Clock,
        era: StoreEra,
        on_changed: Callable[[frozenset[str]], None],
        on_news: Callable[[], None],
    ) -> None:
        self.version = (0, 0)
        self.in_force: frozenset[str] = frozenset()
        self._clock = clock
        self._era = era
        self._on_changed = on_changed
        self._on_news = on_news
        self._evacuated: frozenset[str] = frozenset()
        self._held: frozenset[str] = frozenset()
        self._release_timer: Any = None
        self._news_ms = -math.inf
        era.add_listener(on_news)

    def close(self) -> None:
        """Stop the timer."""
        cancel_timer(self._release_timer)

    async def read(self, store: Store) -> bool:
        """Read the state once, at the price of a stale read; return whether the store answered.

        What the stale copy lacks comes from peers.
        """
        listing = await store.list_objects(EVACUATION_KIND, stale=True)
        if listing.is_ok():
            self.listing_received(listing.ok)
        return listing.is_ok()

    # Listener of the watch

    def listing_received(self, listing: ObjectListing) -> None:
        """Adopt the evacuations in a listing."""
        names = frozenset(_data_center_of(stored.path) for stored in listing.objects)
        self._receive((listing.era, listing.revision), names, PLATFORM)

    def changes_received(self, changes: Changes) -> None:
        """Adopt changes that follow the current state."""
        added = {_data_center_of(stored.path) for stored in changes.objects}
        removed = {_data_center_of(path) for path in changes.removed}
        names = (self._evacuated - removed) | added
        self._receive((changes.era, changes.revision), names, PLATFORM)

    # Packets

    def extend(self, packet: GossipPacket) -> GossipPacket:
        """Return a packet with the state if there is something to tell, else as it is."""
        is_news = self._clock.now_ms() - self._news_ms < NEWS_MS
        if not self.in_force and not is_news and not self._era.is_news:
            return packet
        fields: dict[str, Any] = {name: getattr(packet, name) for name in PACKET_FIELDS}
        return ExtendedPacket(
            **fields,
            store_era=self._era.number,
            evacuation_era=self.version[0],
            evacuation_revision=self.version[1],
            evacuated=sorted(self._evacuated),
            held=sorted(self._held),
        )

    def packet_received(self, packet: ExtendedPacket) -> None:
        """Adopt the state in a packet if it is newer; a peer with an older one is told."""
        version = (packet.evacuation_era, packet.evacuation_revision)
        if not packet.store_era and version == (0, 0):
            return
        self._era.observe(packet.store_era, packet.sender)
        names = frozenset(packet.evacuated)
        if version < self.version and names != self._evacuated:
            self._news_ms = self._clock.now_ms()
        if version != (0, 0):
            self._receive(version, names, packet.sender)
        if packet.held and self._era.grace_left_ms:
            self._hold(frozenset(packet.held), packet.sender)

    # State

    def _receive(self, version: tuple[int, int], names: frozenset[str], source: str) -> None:
        self._era.observe(version[0], source)
        if version <= self.version:
            if version[0] < self.version[0] and self._era.grace_left_ms:
                # The sender may know evacuations that the store has lost.
                self._hold(names, source)
            return
        missing = self._evacuated - names
        # Peers must also hear of an evacuation that was held and has been requested again.
        is_news = names != self._evacuated
        self.version, self._evacuated = version, names
        if is_news:
            self._news_ms = self._clock.now_ms()
            self._on_news()
        self._hold(missing if self._era.grace_left_ms else frozenset(), source)

    def _hold(self, names: frozenset[str], source: str) -> None:
        """Keep data centres in force until the grace time has passed."""
        self._held = (self._held | names) - self._evacuated
        if self._held and (self._release_timer is None or not self._release_timer.active()):
            log.warning("evacuations_held", held=",".join(sorted(self._held)), source=source)
            self._on_news()
            self._release_timer = self._clock.call_later(self._era.grace_left_ms, self._release)
        self._apply(source)

    def _release(self) -> None:
        """End the grace time, unless the era has risen again."""
        if self._era.grace_left_ms:
            self._release_timer = self._clock.call_later(self._era.grace_left_ms, self._release)
            return
        self._held = frozenset()
        self._apply("grace time")

    def _apply(self, source: str) -> None:
        in_force = self._evacuated | self._held
        if in_force == self.in_force:
            return
        log.warning(
            "evacuations_changed",
            evacuated=",".join(sorted(in_force)),
            ended=",".join(sorted(self.in_force - in_force)),
            era=self.version[0],
            revision=self.version[1],
            source=source,
        )
        self.in_force = in_force
        self._news_ms = self._clock.now_ms()
        self._on_changed(in_force)


def _data_center_of(path: str) -> str:
    return path.partition("/")[2]
