"""Nodes that watch evacuations and register, with a store that can be cut off and restored."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec
from expression import Error, Ok
from twisted.internet.defer import Deferred, ensureDeferred

from foxtailproxy.config_sync import ConfigSync
from foxtailproxy.constraints.evacuation import EVACUATION_KIND, Evacuations
from foxtailproxy.models.messages import MemberRecord
from foxtailproxy.platform.configuration import PlatformConfigSource
from foxtailproxy.registration import Registration
from foxtailproxy.storage.kind_watch import KindWatch
from foxtailproxy.storage.store_era import StoreEra
from foxtailproxy.store import (
    Changes,
    Conflict,
    HistoryGone,
    Missing,
    ObjectListing,
    StoredObject,
    Unreachable,
)
from foxtailproxy.tests.gossip_fakes import FakeNetwork, GossipNode

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock

STORE_DELAY_MS = 4.0
CONNECTION_LOST_MS = 2000.0
"""Time after which keep-alive probes show that the store's end of a connection is gone."""

CONNECT_TIMEOUT_MS = 1000.0
WATCH_WAIT_MS = 25_000.0


@dataclass
class RestorableStore:
    """Objects with a history, which can come back from a snapshot in the next era."""

    clock: Clock
    era: int = 1
    revision: int = 1
    by_path: dict[str, StoredObject] = field(default_factory=dict)
    events: list[tuple[int, str, str | None]] = field(default_factory=list)
    links: list[StoreLink] = field(default_factory=list)
    snapshot: tuple[int, dict[str, StoredObject]] = (1, {})

    def put(self, path: str, value: str | None) -> None:
        """Write an object, or remove it if there is no value; ends the watches of its kind."""
        self.revision += 1
        self.events.append((self.revision, path, value))
        if value is None:
            del self.by_path[path]
        else:
            self.by_path[path] = StoredObject(path, self.revision, value)
        for link in self.links:
            link.wake(path.partition("/")[0])

    def take_snapshot(self) -> None:
        """Keep the objects for a restore."""
        self.snapshot = (self.revision, dict(self.by_path))

    def restore(self) -> None:
        """Come back from the snapshot; all connections are lost."""
        self.era += 1
        self.revision, objects = self.snapshot
        self.by_path = dict(objects)
        self.events = [event for event in self.events if event[0] <= self.revision]
        for link in self.links:
            link.lose_watches()


class StoreLink:
    """One node's client of the store; `cut_off` tells whether its way there is cut."""

    def __init__(self, store: RestorableStore, era: StoreEra) -> None:
        self.cut_off = False
        self._call_times_ms: list[float] = []
        self._store = store
        self._era = era
        self._waiting: list[tuple[str, Deferred[bool]]] = []
        store.links.append(self)

    def calls_since(self, start_ms: float) -> int:
        """Return the number of calls since a time."""
        return sum(time_ms >= start_ms for time_ms in self._call_times_ms)

    def cut(self) -> None:
        """Cut the way to the store; waiting watches notice it later."""
        self.cut_off = True
        self._store.clock.call_later(CONNECTION_LOST_MS, self.lose_watches)

    def wake(self, kind: str) -> None:
        """End the watches of a kind after a change."""
        self._end([wait for wait in self._waiting if wait[0] == kind and not self.cut_off], True)

    def lose_watches(self) -> None:
        """End all watches without an answer."""
        self._end(list(self._waiting), False)

    def _end(self, waits: list[tuple[str, Deferred[bool]]], answered: bool) -> None:
        for wait in waits:
            if wait in self._waiting:
                self._waiting.remove(wait)
                wait[1].callback(answered)

    async def _call(self) -> Any:
        self._call_times_ms.append(self._store.clock.now_ms())
        if self.cut_off:
            await self._store.clock.sleep(CONNECT_TIMEOUT_MS)
            return Error(Unreachable("connection timed out"))
        await self._store.clock.sleep(STORE_DELAY_MS)
        return None

    def _answer(self, result: Any) -> Any:
        self._era.observe(self._store.era, "platform")
        return result

    async def read(self, path: str, stale: bool = False) -> Any:
        """Read an object."""
        failure = await self._call()
        stored = self._store.by_path.get(path)
        return failure or self._answer(Error(Missing()) if stored is None else Ok(stored))

    async def list_objects(self, kind: str, stale: bool = False) -> Any:
        """List the objects of a kind."""
        failure = await self._call()
        found = [item for path, item in self._store.by_path.items() if path.startswith(f"{kind}/")]
        store = self._store
        return failure or self._answer(Ok(ObjectListing(store.revision, found, store.era)))

    async def create(self, path: str, value: str) -> Any:
        """Create an object."""
        return await self._write(path, value, None)

    async def update(self, path: str, value: str, version: int) -> Any:
        """Replace an object that has a version."""
        return await self._write(path, value, version)

    async def _write(self, path: str, value: str, version: int | None) -> Any:
        failure = await self._call()
        if failure is not None:
            return failure
        current = self._store.by_path.get(path)
        if current is None and version is not None:
            return self._answer(Error(Missing()))
        if current is not None and current.version != version:
            return self._answer(Error(Conflict(current)))
        self._store.put(path, value)
        return self._answer(Ok(self._store.by_path[path]))

    async def delete(self, path: str, version: int | None) -> Any:
        """Remove an object that has a version."""
        failure = await self._call()
        if failure is not None:
            return failure
        current = self._store.by_path.get(path)
        if current is None or version not in (None, current.version):
            return self._answer(Error(Missing() if current is None else Conflict(current)))
        self._store.put(path, None)
        return self._answer(Ok(None))

    async def watch(self, kind: str, revision: int) -> Any:
        """Wait for changes in a kind."""
        failure = await self._call()
        if failure is not None:
            return failure
        store = self._store
        if revision > store.revision:
            return self._answer(Error(HistoryGone()))
        if not self._changed(kind, revision):
            changed: Deferred[bool] = Deferred()
            wait = (kind, changed)
            self._waiting.append(wait)
            timer = store.clock.call_later(WATCH_WAIT_MS, self._end, [wait], True)
            if not await changed:
                return Error(Unreachable("the connection is lost"))
            if timer.active():
                timer.cancel()
            await store.clock.sleep(STORE_DELAY_MS)
        changed_paths = {path: value for _, path, value in self._changed(kind, revision)}
        found = [store.by_path[path] for path, value in changed_paths.items() if value is not None]
        removed = [path for path, value in changed_paths.items() if value is None]
        return self._answer(Ok(Changes(store.revision, found, removed, store.era)))

    def _changed(self, kind: str, revision: int) -> list[tuple[int, str, str | None]]:
        events = self._store.events
        return [event for event in events if event[0] > revision and event[1].startswith(kind)]


class EvacuationNode(GossipNode):
    """Membership, registration and evacuations of one node.

    `ended_ms` holds the times at which an evacuation ended here.
    """

    def __init__(self, network: FakeNetwork, record: MemberRecord, store: RestorableStore) -> None:
        super().__init__(network, record)
        self.ended_ms: list[float] = []
        self.in_force: frozenset[str] = frozenset()
        clock = network.clock
        self.era = StoreEra(clock)
        self.link: Any = StoreLink(store, self.era)
        self.evacuations = Evacuations(
            clock, self.era, self._changed, lambda: self.gossip.disseminate_config()
        )
        self.gossip.socket.extension = self.evacuations
        self.registration = Registration(
            clock, self.link, self.table, network.rng, lambda: self.running, self.era
        )
        self.config_sync = ConfigSync(
            clock,
            self.link,
            self,  # type: ignore[arg-type]
            self.table,
            network.rng,
            lambda rule_book: None,
            lambda members: self.gossip.send_state(members),
            PlatformConfigSource(),
            self.era,
            [KindWatch(self.link, EVACUATION_KIND, self.era, self.evacuations)],
        )

    def start(self) -> None:
        """Read the evacuations, register and watch, as a process does."""
        ensureDeferred(self._join())  # type: ignore[arg-type]

    async def _join(self) -> None:
        await self.evacuations.read(self.link)
        while self.running and not await self.registration.join():
            await self.network.clock.sleep(1000)
        if self.running:
            self.config_sync.start()
            self.gossip.comparison.catch_up()

    def kill(self) -> None:
        """Stop the node without an announcement."""
        super().kill()
        self.config_sync.close()
        self.evacuations.close()
        self.link.cut()

    async def fetch_config(self, member: MemberRecord) -> None:
        """Fetch nothing: there is no configuration."""

    def store_state_received(self, lost: bool, member: MemberRecord) -> None:
        """Handle a peer's notice that it has lost the store, or reaches it."""
        self.config_sync.store_state_received(lost, member)

    def store_lost(self) -> bool:
        """Return whether this node watches the store in vain."""
        return self.config_sync.store_lost

    def stored_record(self, store: RestorableStore) -> MemberRecord | None:
        """Return this node's record in the store."""
        stored = store.by_path.get(f"members/{self.record.node_id}")
        return stored and msgspec.json.decode(stored.value, type=MemberRecord)

    def _changed(self, data_centers: frozenset[str]) -> None:
        if self.in_force - data_centers:
            self.ended_ms.append(self.network.clock.now_ms())
        self.in_force = data_centers


def build_fleet(clock: Clock, count: int, seed: int) -> tuple[RestorableStore, FakeNetwork, Any]:
    """Return a store, a network and the records of nodes in two regions of two data centres."""
    from foxtailproxy.tests.fakes import make_member

    records = []
    for number in range(count):
        region = ("pohja", "louna")[number % 2]
        data_center = f"{region}-{'ab'[number // 2 % 2]}"
        records.append(make_member(f"n{number}", region=region, data_center=data_center))
    return RestorableStore(clock), FakeNetwork(clock, random.Random(seed)), records
