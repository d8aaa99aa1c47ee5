"""Steps for the registration of a node in the store and for its first configuration."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

import msgspec
from behave import given, then, when
from twisted.internet.defer import ensureDeferred

from foxtailproxy.config_sync import ConfigSync, watch_rank
from foxtailproxy.failure_detector import VERDICT_INCARNATION_STEP
from foxtailproxy.membership import MemberTable
from foxtailproxy.models.messages import MemberRecord, MemberState
from foxtailproxy.platform.configuration import PlatformConfigSource
from foxtailproxy.registration import Registration
from foxtailproxy.roster import roster_path
from foxtailproxy.tests.fakes import advance, fake_clock, make_member
from foxtailproxy.tests.store_fakes import STALE_CALL_PRICE, PricedStore
from standins.platform_configs import config_text

DATA_CENTER = "tallinn-a"
EXCHANGE_MS = 200.0
ANNOUNCED_MS = 1000.0
"""Time after the start of a node at which its upstream announces itself."""


@dataclass
class RegisteredNode:
    """One process: its member table and its registration; `heard` once it exchanged records."""

    fleet: RegisteredFleet
    record: MemberRecord
    first_start: bool
    serving: bool = True
    heard: bool = False
    previous_records: list[MemberRecord] = field(default_factory=list)

    def __post_init__(self) -> None:
        clock = self.fleet.clock
        self.table = MemberTable(
            clock, self.record, lambda _: None, lambda: None, self.previous_records.append
        )
        self.registration = Registration(
            clock,
            self.fleet.store,
            self.table,
            self.fleet.rng,
            lambda: self.serving,
            lambda: self.heard,
            self.first_start,
        )
        ensureDeferred(self._run())

    async def _run(self) -> None:
        failures = 0
        while self.serving and not await self.registration.join():
            failures += 1
            await self.fleet.clock.sleep(self.registration.retry_delay_ms(failures))
        await self.registration.keep_roster()

    def announce_upstream(self) -> None:
        """Take the service of the upstream into the record."""
        self.table.update_local_record(service="kalender", slots=2)


class RegisteredFleet:
    """Nodes that share a store and, while `exchanging`, records with peers that they know."""

    def __init__(self, store: PricedStore) -> None:
        self.store = store
        self.clock = store.clock
        self.rng = store.rng
        self.exchanging = True
        self.node_by_id: dict[str, RegisteredNode] = {}
        self.clock.repeat(EXCHANGE_MS, self._exchange)

    def start(self, record: MemberRecord, first_start: bool = False) -> RegisteredNode:
        """Start the process of a node."""
        node = RegisteredNode(self, record, first_start)
        self.node_by_id[record.node_id] = node
        return node

    def stop(self, node_id: str) -> None:
        """End the process of a node; its peers declare it dead."""
        self.node_by_id.pop(node_id).serving = False
        for node in self.node_by_id.values():
            node.table.set_state(node_id, MemberState.dead, VERDICT_INCARNATION_STEP)

    def _exchange(self) -> None:
        for node in list(self.node_by_id.values()) if self.exchanging else ():
            peers = [peer for peer in node.table.live_peers() if peer.node_id in self.node_by_id]
            if not peers:
                continue
            other = self.node_by_id[self.rng.choice(peers).node_id]
            node.heard = other.heard = True
            for record in list(node.table.by_id.values()):
                other.table.merge(record)
            for record in list(other.table.by_id.values()):
                node.table.merge(record)


def _begin(context: Any) -> PricedStore:
    context.clock = fake_clock()
    context.store = PricedStore(context.clock, random.Random(1))
    context.fleet = RegisteredFleet(context.store)
    return context.store


def _set_fault(store: PricedStore, fault: str, ms: float) -> None:
    store.faults.outage = fault == "is out"
    store.rejects_writes = fault == "turns writes away"
    store.loses_answers = fault == "loses an answer"
    if fault == "has a stale copy":
        store.stale_ms = ms
    if fault == "holds a roster that cannot be read":
        store._apply(roster_path(DATA_CENTER), lambda current: True, '{"records": "?"}')

    def end_fault() -> None:
        store.faults.outage = store.rejects_writes = store.loses_answers = False

    store.clock.call_later(ms, end_fault)


def _make_local(node_id: str, **fields: Any) -> MemberRecord:
    return make_member(node_id, data_center=DATA_CENTER, **fields)


@given('a store with a roster of "{node_id}" that {fault} for {ms:d} ms')
def step_store_with_roster_and_fault(context: Any, node_id: str, fault: str, ms: int) -> None:
    store = _begin(context)
    # A node with a lower rank than any other here keeps the roster.
    store.set_roster(DATA_CENTER, [_make_local(node_id), _make_local(_lowest_ranked())])
    _set_fault(store, fault, ms)


@given('a store with a roster of "{node_id}"')
def step_store_with_roster(context: Any, node_id: str) -> None:
    _begin(context).set_roster(DATA_CENTER, [_make_local(node_id)])


@given("a store without rosters that {fault} for {ms:d} ms")
def step_store_without_rosters(context: Any, fault: str, ms: int) -> None:
    _set_fault(_begin(context), fault, ms)


@given("a store without rosters whose listings are {ms:d} ms old")
def step_store_with_old_listings(context: Any, ms: int) -> None:
    _begin(context).stale_ms = ms


@given("a store whose listings are {stale_ms:d} ms old and that {fault} for {ms:d} ms")
def step_store_with_old_listings_and_fault(
    context: Any, stale_ms: int, fault: str, ms: int
) -> None:
    _begin(context).stale_ms = stale_ms
    context.fault = (fault, ms)


def _lowest_ranked() -> str:
    return min((f"keeper-{number}" for number in range(100)), key=watch_rank)


@when("a node joins after {start} and keeps the roster for {ms:d} ms")
def step_join_and_keep(context: Any, start: str, ms: int) -> None:
    record = _make_local("me", incarnation=100)
    context.node = context.fleet.start(record, start == "a first start")
    context.node.heard = True
    advance(context.clock, ms)


@then('the node knows "{node_id}"')
def step_knows_member(context: Any, node_id: str) -> None:
    assert node_id in context.node.table.by_id


@then('the roster of its data centre holds "{node_id}"')
def step_roster_holds(context: Any, node_id: str) -> None:
    assert node_id in context.store.roster(DATA_CENTER).record_by_id


@then("its calls to the store cost at most {max_price:g}")
def step_price_of_calls(context: Any, max_price: float) -> None:
    assert context.store.total_price <= max_price, context.store.total_price


@when(
    "{count:d} nodes in {data_centers:d} data centres start within {ms:d} ms and exchange records"
)
def step_start_fleet(context: Any, count: int, data_centers: int, ms: int) -> None:
    fleet = context.fleet

    def start(number: int) -> None:
        data_center = f"dc-{number % data_centers}"
        record = make_member(
            f"n{number}", incarnation=100, data_center=data_center, service="", slots=0
        )
        node = fleet.start(record, first_start=True)
        context.clock.call_later(ANNOUNCED_MS, node.announce_upstream)

    context.count, context.data_centers = count, data_centers
    for number in range(count):
        context.clock.call_later(fleet.rng.random() * ms, start, number)


@then("after {seconds:d} s each of them knows all others")
def step_all_known_after(context: Any, seconds: int) -> None:
    advance(context.clock, seconds * 1000)
    step_all_known(context)


@then("each of them knows all others")
def step_all_known(context: Any) -> None:
    known = {node_id: len(node.table.by_id) for node_id, node in context.fleet.node_by_id.items()}
    assert set(known.values()) == {context.count}, known


@then("the rosters hold all of them with their services")
def step_rosters_complete(context: Any) -> None:
    rosters = [
        context.store.roster(f"dc-{number}").record_by_id for number in range(context.data_centers)
    ]
    records = [record for roster in rosters for record in roster.values()]
    assert len(records) == context.count, len(records)
    assert all(record.service and record.slots for record in records)


@then("the calls to the store cost at most {max_price:g} in all")
def step_price_of_all_calls(context: Any, max_price: float) -> None:
    step_price_of_calls(context, max_price)


@when("after {seconds:d} s all of them restart without exchanging records")
def step_restart_all(context: Any, seconds: int) -> None:
    advance(context.clock, seconds * 1000)
    fleet = context.fleet
    fleet.exchanging = False
    records = [node.table.local_record for node in fleet.node_by_id.values()]
    for node_id in list(fleet.node_by_id):
        fleet.stop(node_id)
    context.price_before = context.store.total_price
    for record in records:
        restarted = msgspec.structs.replace(record, incarnation=1000, boot_id=f"{record.boot_id}-2")
        fleet.start(restarted)
    advance(context.clock, 1500)


@then("the restart has cost at most {price:g} calls for each node")
def step_price_of_restart(context: Any, price: float) -> None:
    spent = context.store.total_price - context.price_before
    assert spent <= price * context.count, spent


@given("two nodes of a data centre, of which one keeps the roster")
def step_two_nodes(context: Any) -> None:
    _begin(context)
    context.keeper = context.fleet.start(_make_local(_lowest_ranked()))
    context.other = context.fleet.start(_make_local("other"))
    advance(context.clock, 12_000)
    assert set(context.store.roster(DATA_CENTER).record_by_id) == set(context.fleet.node_by_id)


@when("the other one {event}")
def step_other_node_ends(context: Any, event: str) -> None:
    context.fleet.stop("other")
    if event.startswith("restarts"):
        advance(context.clock, 2500)
        context.fleet.start(_make_local("other", incarnation=9000, boot_id="boot-2"))


@then("the roster holds it after {early:d} s, and after {late:d} s it does {hold}")
def step_roster_over_time(context: Any, early: int, late: int, hold: str) -> None:
    advance(context.clock, early * 1000)
    step_roster_holds(context, "other")
    advance(context.clock, (late - early) * 1000)
    assert ("other" in context.store.roster(DATA_CENTER).record_by_id) == (hold == "hold")


@when("the keeper ends and a third node joins")
def step_keeper_ends(context: Any) -> None:
    context.fleet.stop(_lowest_ranked())
    context.fleet.start(_make_local("third"))


@then("the roster holds the third node after {seconds:d} s")
def step_roster_holds_third(context: Any, seconds: int) -> None:
    advance(context.clock, seconds * 1000)
    step_roster_holds(context, "third")


@when("two nodes join {seconds:d} s apart, and hear of no peer that the store does not name")
def step_two_join_apart(context: Any, seconds: int) -> None:
    context.fleet.exchanging = False
    context.fleet.start(_make_local("first"))
    advance(context.clock, seconds * 1000)
    context.node = context.fleet.start(_make_local("second"))
    advance(context.clock, seconds * 1000)


@then("the roster of their data centre holds both, and the second knows the first")
def step_both_registered(context: Any) -> None:
    assert {"first", "second"} <= set(context.store.roster(DATA_CENTER).record_by_id)
    assert "first" in context.node.table.by_id


@when("the upstream of a node leaves, and the node restarts {after:d} ms later")
def step_upstream_leaves(context: Any, after: int) -> None:
    node = context.fleet.start(_make_local("me", instance="i-1", born_ms=7))
    advance(context.clock, 3000)
    _set_fault(context.store, *context.fault)
    node.table.update_local_record(target_left=True, service="", slots=0)
    ensureDeferred(node.registration.write_mark())
    advance(context.clock, after)
    context.fleet.stop("me")
    context.node = context.fleet.start(_make_local("me", incarnation=9000, boot_id="boot-2"))
    advance(context.clock, 1500)


@then("the new process knows that the upstream has left")
def step_leave_known(context: Any) -> None:
    marks = [
        (record.instance, record.born_ms)
        for record in context.node.previous_records
        if record.target_left
    ]
    assert ("i-1", 7) in marks, context.node.previous_records


@given("a node that starts beside two watchers, and a store with generation {generation:d}")
def step_start_beside_watchers(context: Any, generation: int) -> None:
    clock = context.clock = fake_clock()
    store = context.store = PricedStore(clock, random.Random(1))
    store._apply("config/main", lambda existing: True, config_text(generation))
    node_ids = sorted(("a", "b", "c"), key=watch_rank)
    table = MemberTable(clock, make_member(node_ids[-1]), lambda record: None, lambda: None)
    for node_id in node_ids[:-1]:
        table.merge(make_member(node_id))
    context.config_sync = ConfigSync(
        clock,
        store,
        None,  # type: ignore[arg-type]
        table,
        random.Random(1),
        lambda rule_book: None,
        PlatformConfigSource(),
    )
    context.config_sync.start()


@when("a neighbour tells of it after {ms:d} ms")
def step_peer_sends_config(context: Any, ms: int) -> None:
    advance(context.clock, ms)
    stored = context.store.object_by_path["config/main"]
    context.config_sync.adopt_if_newer(PlatformConfigSource().decode(stored.value), "a")


@when("no neighbour tells of it")
def step_peer_sends_nothing(context: Any) -> None:
    """Send nothing."""


@then("it has generation {generation:d} after {ms:d} ms and has read the store {reads:d} times")
def step_has_generation(context: Any, generation: int, ms: int, reads: int) -> None:
    advance(context.clock, ms)
    context.config_sync.close()
    observed = (
        context.config_sync.version()[0],
        round(context.store.total_price / STALE_CALL_PRICE),
    )
    assert observed == (generation, reads), observed
