"""Steps for a node's record in the store."""

from __future__ import annotations

import random
from typing import Any

import msgspec
from behave import given, then, when
from expression import Error
from twisted.internet.defer import ensureDeferred

from foxtailproxy.config_sync import ConfigSync, watch_rank
from foxtailproxy.membership import MemberTable
from foxtailproxy.models.messages import MemberRecord
from foxtailproxy.platform.configuration import PlatformConfigSource
from foxtailproxy.registration import MEMBER_KIND, Registration
from foxtailproxy.store import Conflict, Refused, Unreachable
from foxtailproxy.tests.fakes import FakePlatform, advance, fake_clock, make_member
from standins.platform_configs import config_text

OWN_PATH = f"{MEMBER_KIND}/me"
STALE_PRICE = 0.1
EARLIER_ADDRESS = "10.0.0.99"


class CountingStore(FakePlatform):
    """A store in memory that counts its calls and may turn writes away."""

    calls = 0.0
    refusing_writes = False
    losing_answers = False

    async def read(self, path: str, stale: bool = False) -> Any:
        """One object."""
        self.calls += STALE_PRICE if stale else 1
        return await super().read(path, stale)

    async def list_objects(self, kind: str, stale: bool = False) -> Any:
        """All objects of a kind."""
        self.calls += STALE_PRICE if stale else 1
        return await super().list_objects(kind, stale)

    async def create(self, path: str, value: str) -> Any:
        """Write an object that must not exist yet."""
        self.calls += 1
        if self.refusing_writes:
            return Error(Refused("status 429"))
        known = self.by_name.get(path)
        if known is not None:
            return Error(Conflict(known))
        created = await super().create(path, value)
        return Error(Unreachable("answer lost")) if self.losing_answers else created

    async def put(self, path: str, value: str) -> Any:
        """Write an object whatever its version."""
        self.calls += 1
        if self.refusing_writes:
            return Error(Refused("status 429"))
        if path not in self.by_name:
            return await super().create(path, value)
        return await self.update(path, value, self.by_name[path].version)


def _write(store: CountingStore, node_id: str, **fields: Any) -> None:
    value = msgspec.json.encode(make_member(node_id, **fields)).decode()
    store._apply(f"{MEMBER_KIND}/{node_id}", lambda known: True, value)


@given("the store {fault} for {ms:d} ms")
def step_store_fault(context: Any, fault: str, ms: int) -> None:
    context.clock = fake_clock()
    store = CountingStore(context.clock, random.Random(1))
    context.store = store
    _write(store, "other")
    fields = {"boot_id": "boot-before", "instance": "i-1", "target_left": True}
    if fault == "holds an older record":
        _write(store, "me", **fields)
    elif fault == "holds a record of another address":
        _write(store, "me", address=EARLIER_ADDRESS, **fields)
    store.faults.outage = fault == "is out"
    store.refusing_writes = fault == "turns writes away"
    store.losing_answers = fault == "loses an answer, others join late"
    if store.losing_answers:
        store.by_name.clear()
        context.clock.call_later(ms / 2, _write, store, "other")

    def mend() -> None:
        store.faults.outage = store.refusing_writes = store.losing_answers = False

    context.clock.call_later(ms, mend)


@when("a node joins it and keeps its record for {ms:d} ms")
def step_join(context: Any, ms: int) -> None:
    context.earlier = []
    clock, store = context.clock, context.store
    me = make_member("me", incarnation=100)
    context.members = MemberTable(clock, me, lambda _: None, lambda: None, context.earlier.append)
    registration = Registration(clock, store, context.members, random.Random(1), lambda: True)

    async def join() -> None:
        failures = 0
        while not await registration.join():
            failures += 1
            await clock.sleep(registration.retry_ms(failures))
        await registration.keep()

    ensureDeferred(join())
    advance(clock, ms)


@then("the store has its record and it knows the others")
def step_joined(context: Any) -> None:
    held = msgspec.json.decode(context.store.by_name[OWN_PATH].value, type=MemberRecord)
    me = context.members.me
    seen = (held.node_id, held.address, held.peer_port, held.gossip_port)
    assert seen == (me.node_id, me.address, me.peer_port, me.gossip_port), held
    assert set(context.members.by_id) == {"me", "other"}


@then("it made calls at the price of {calls:g} at most")
def step_calls_made(context: Any, calls: float) -> None:
    assert context.store.calls <= calls, context.store.calls


@given("a node that starts beside two watchers, and a store with generation {generation:d}")
def step_beside_watchers(context: Any, generation: int) -> None:
    clock = context.clock = fake_clock()
    store = context.store = CountingStore(clock, random.Random(1))
    store._apply("config/main", lambda known: True, config_text(generation))
    names = sorted(("a", "b", "c"), key=watch_rank)
    table = MemberTable(clock, make_member(names[-1]), lambda record: None, lambda: None)
    for name in names[:-1]:
        table.merge(make_member(name))
    context.sync = ConfigSync(
        clock,
        store,
        None,  # type: ignore[arg-type]
        table,
        random.Random(1),
        lambda book: None,
        PlatformConfigSource(),
    )
    context.sync.start()


@when("a neighbour tells of it after {ms:d} ms")
def step_neighbor_tells(context: Any, ms: int) -> None:
    advance(context.clock, ms)
    stored = context.store.by_name["config/main"]
    context.sync.offer(PlatformConfigSource().decode(stored.value), "a")


@when("no neighbour tells of it")
def step_untold(context: Any) -> None:
    """Nothing comes."""


@then("it has generation {generation:d} after {ms:d} ms and has read the store {reads:d} times")
def step_has_generation(context: Any, generation: int, ms: int, reads: int) -> None:
    advance(context.clock, ms)
    context.sync.close()
    seen = (context.sync.mark()[0], round(context.store.calls / STALE_PRICE))
    assert seen == (generation, reads), seen
