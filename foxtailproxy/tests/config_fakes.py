"""A data centre of nodes that get the configuration from a store or from each other."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from expression import Error, Ok
from twisted.internet.defer import Deferred

from foxtailproxy.clock import cancel_timer
from foxtailproxy.config_sync import ConfigSync
from foxtailproxy.platform.configuration import PlatformConfigSource
from foxtailproxy.platform.store_client import WATCH_WAIT_MS
from foxtailproxy.store import Changes, Missing, ObjectListing, Refused, StoredObject, Unreachable
from foxtailproxy.tests.fakes import make_member
from foxtailproxy.tests.gossip_fakes import FETCH_MS, FakeNetwork, GossipNode
from standins.platform_configs import config_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.clock import Clock
    from foxtailproxy.config.rules import RuleBook
    from foxtailproxy.models.messages import ConfigObject, MemberRecord

CONFIG_PATH = "config/main"
STORE_DELAY_MS = 2.0
"""Time that a call of the store takes in each direction."""

CONNECTION_LOST_MS = 2000.0
"""Time after which keep-alive probes show that the store's end of a connection is gone."""

CONNECT_TIMEOUT_MS = 1000.0
CURRENT_PRICE = 1.0
STALE_PRICE = 0.1


@dataclass
class ConfigStore:
    """The object with the configuration, and the watches that wait for its next change."""

    clock: Clock
    revision: int = 0
    value: str = ""
    watches: list[Deferred[None]] = field(default_factory=list)

    def put(self, generation: int, **changes: Any) -> None:
        """Write a configuration, with `changes` of its fields, which ends all watches."""
        self.restore(self.revision + 1, config_text(generation, **changes))

    def restore(self, revision: int, value: str) -> None:
        """Set the state of the store, which ends all watches."""
        self.revision = revision
        self.value = value
        watches, self.watches = self.watches, []
        for watch in watches:
            watch.callback(None)


class StoreLink:
    """One node's client of the store; `fault` is that of its way there, or empty.

    `prices` holds the time and price of each call.
    """

    def __init__(self, store: ConfigStore) -> None:
        self.fault = ""
        self.prices: list[tuple[float, float]] = []
        self.watch_wait_ms = float(WATCH_WAIT_MS)
        self._store = store
        self._clock = store.clock
        self._pending: Deferred[None] | None = None
        self._lost = False

    @property
    def watching(self) -> bool:
        """Whether a watch waits for a change."""
        return self._pending is not None

    def set_fault(self, fault: str) -> None:
        """Begin or end a fault; one that begins ends a waiting watch, at once or when noticed."""
        self.fault = fault
        if fault and self._pending is not None:
            if self._pending in self._store.watches:
                self._store.watches.remove(self._pending)
            delay_ms = CONNECTION_LOST_MS if fault == "cut off" else STORE_DELAY_MS
            self._clock.call_later(delay_ms, self._lose_watch, self._pending)

    def cut_watch(self) -> None:
        """End a waiting watch without an answer, though the store can be reached."""
        if self._pending is not None:
            self._lose_watch(self._pending)

    def price_since(self, start_ms: float) -> float:
        """Return the price of all calls since a time."""
        return sum(price for time_ms, price in self.prices if time_ms >= start_ms)

    async def read(self, path: str, stale: bool = False) -> Any:
        """Read an object; only the configuration exists."""
        failure = await self._call(STALE_PRICE if stale else CURRENT_PRICE)
        if failure is not None:
            return failure
        return Ok(self._stored()) if path == CONFIG_PATH else Error(Missing())

    async def list_objects(self, kind: str, stale: bool = False) -> Any:
        """List the configuration."""
        failure = await self._call(STALE_PRICE if stale else CURRENT_PRICE)
        return failure or Ok(ObjectListing(self._store.revision, [self._stored()]))

    async def watch(self, kind: str, revision: int) -> Any:
        """Wait for a change after `revision`, at most as long as the store holds a watch open."""
        failure = await self._call(CURRENT_PRICE)
        if failure is not None:
            return failure
        if self._store.revision <= revision:
            await self._wait_for_change()
            if self._lost:
                self._lost = False
                return Error(Unreachable("the connection is lost"))
            await self._clock.sleep(STORE_DELAY_MS)
        found = [self._stored()] if self._store.revision > revision else []
        return Ok(Changes(self._store.revision, found))

    async def _wait_for_change(self) -> None:
        changed: Deferred[None] = Deferred()
        self._pending = changed
        self._store.watches.append(changed)
        timer = self._clock.call_later(self.watch_wait_ms, self._end_watch, changed)
        await changed
        self._pending = None
        cancel_timer(timer)

    def _end_watch(self, watch: Deferred[None]) -> None:
        if watch is self._pending:
            if watch in self._store.watches:
                self._store.watches.remove(watch)
            watch.callback(None)

    def _lose_watch(self, watch: Deferred[None]) -> None:
        if watch is self._pending:
            self._lost = True
            self._end_watch(watch)

    async def _call(self, price: float) -> Any:
        """Count a call, and return its failure if the way to the store has a fault."""
        self.prices.append((self._clock.now_ms(), price))
        if self.fault == "cut off":
            await self._clock.sleep(CONNECT_TIMEOUT_MS)
            return Error(Unreachable("connection timed out"))
        await self._clock.sleep(2 * STORE_DELAY_MS)
        return Error(Refused("status 503")) if self.fault else None

    def _stored(self) -> StoredObject:
        return StoredObject(CONFIG_PATH, self._store.revision, self._store.value)


class ConfigNode(GossipNode):
    """Membership, gossip and configuration of one node."""

    def __init__(self, network: FakeNetwork, record: MemberRecord, store: ConfigStore) -> None:
        super().__init__(network, record)
        self.link = StoreLink(store)
        self.config_sync = ConfigSync(
            network.clock,
            self.link,  # type: ignore[arg-type]
            self,  # type: ignore[arg-type]
            self.table,
            network.rng,
            self._config_adopted,
            lambda members: self.gossip.send_state(members),
            PlatformConfigSource(),
        )

    async def fetch_config(self, member: MemberRecord) -> ConfigObject | None:
        """Fetch the configuration from a peer."""
        await self.network.clock.sleep(FETCH_MS)
        peer: Any = self.network.node_by_address[member.address]
        return peer.config_sync.current

    def config_version_received(self, generation: int, change: str, member: MemberRecord) -> None:
        """Fetch a newer configuration from the peer that announces it."""
        self.config_sync.version_received(generation, change, member)

    def config_version(self) -> tuple[int, str]:
        """Return the version of the configuration in force."""
        return self.config_sync.version()

    def store_state_received(self, lost: bool, member: MemberRecord) -> None:
        """Handle a peer's notice that it has lost the store, or reaches it."""
        self.config_sync.store_state_received(lost, member)

    def store_lost(self) -> bool:
        """Return whether this node watches the store in vain."""
        return self.config_sync.store_lost

    def _config_adopted(self, rule_book: RuleBook) -> None:
        self.gossip.disseminate_config()


def build_data_center(
    clock: Clock, store: ConfigStore, count: int, seed: int, key: Callable[[str], Any]
) -> list[ConfigNode]:
    """Return the nodes of one data centre, which know each other, in the order of `key`."""
    network = FakeNetwork(clock, random.Random(seed))
    node_ids = sorted((f"n{number}" for number in range(count)), key=key)
    nodes = [ConfigNode(network, make_member(node_id), store) for node_id in node_ids]
    for node in nodes:
        for peer in nodes:
            node.table.merge(peer.table.local_record)
        node.config_sync.start()
    return nodes
