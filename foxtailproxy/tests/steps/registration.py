"""Steps for the registration of a node in the store and for its first configuration."""

from __future__ import annotations

import random
from typing import Any

import msgspec
from behave import given, then, when
from expression import Error, Ok
from twisted.internet.defer import ensureDeferred

from foxtailproxy.config_sync import ConfigSync, watch_rank
from foxtailproxy.membership import MemberTable
from foxtailproxy.models.messages import MemberRecord
from foxtailproxy.platform.configuration import PlatformConfigSource
from foxtailproxy.registration import MEMBER_KIND, Registration
from foxtailproxy.store import Conflict, Missing, Refused, StoredObject, Unreachable
from foxtailproxy.tests.fakes import FakePlatform, advance, captured_log, fake_clock, make_member
from standins.platform_configs import config_text

LOCAL_RECORD_PATH = f"{MEMBER_KIND}/me"
STALE_CALL_PRICE = 0.1
OLDER_GENERATION = 3
PREVIOUS_ADDRESS = "10.0.0.99"
ADDRESS = "10.0.0.1"

FLAWED_FIELDS: dict[str, dict[str, Any]] = {
    "unreadable bytes as its address": {"address": "\ufffd\u0001\ufffd"},
    "a host name as its address": {"address": "sidecar-z"},
    "a null byte in its address": {"address": "fe80::1%\0"},
    "no address": {"address": ""},
    "no node id": {"node_id": ""},
    "a peer port above 65535": {"peer_port": 65536},
    "a gossip port below 0": {"gossip_port": -1},
    "a gossip port of 0": {"gossip_port": 0},
    "a state that is not named": {"state": "idle"},
    "a service that is no text": {"service": 7},
    "an incarnation of 64 bits": {"incarnation": 2**64 - 1},
    "an incarnation of more bits": {"incarnation": 10**30},
    "a start of more bits": {"born_ms": 10**30},
}
FLAWED_VALUES = {
    "bytes that are no JSON": "\ufffd\u0001\ufffd",
    "half a character": "\ud800",
    "a deep nesting": '["z",1,"alive","p","d","10.0.0.9",1,1,1,"",0,"","",0,false' + ",[" * 10_000,
}
"""What records of another writer may hold."""


class PricedStore(FakePlatform):
    """In-memory store that sums the price of its calls and can reject writes or lose answers."""

    total_price = 0.0
    read_count = 0
    list_count = 0
    stale_objects: dict[str, StoredObject] = {}
    rejects_writes = False
    loses_answers = False
    record_write_ms = 0.0

    async def read(self, path: str, stale: bool = False) -> Any:
        """Read an object; if `stale`, as it was before a change."""
        self.total_price += STALE_CALL_PRICE if stale else 1
        self.read_count += 1
        if stale and path in self.stale_objects:
            return Ok(self.stale_objects[path])
        return await super().read(path, stale)

    async def list_objects(self, kind: str, stale: bool = False) -> Any:
        """List the objects of a kind."""
        self.list_count += 1
        self.total_price += STALE_CALL_PRICE if stale else 1
        return await super().list_objects(kind, stale)

    async def create(self, path: str, value: str) -> Any:
        """Create an object that must not exist yet."""
        self.total_price += 1
        await self.clock.sleep(self.record_write_ms)
        if self.rejects_writes:
            return Error(Refused("status 429"))
        existing = self.object_by_path.get(path)
        if existing is not None:
            return Error(Conflict(existing))
        created = await super().create(path, value)
        return Error(Unreachable("answer lost")) if self.loses_answers else created

    async def update(self, path: str, value: str, version: int) -> Any:
        """Replace an object that must have `version`."""
        self.total_price += 1
        await self.clock.sleep(self.record_write_ms)
        if self.rejects_writes:
            return Error(Refused("status 429"))
        existing = self.object_by_path.get(path)
        if existing is None:
            return Error(Missing())
        if existing.version != version:
            return Error(Conflict(existing))
        updated = await super().update(path, value, version)
        return Error(Unreachable("answer lost")) if self.loses_answers else updated


def _store_member(store: PricedStore, node_id: str, **fields: Any) -> None:
    value = msgspec.json.encode(make_member(node_id, **fields)).decode()
    store._apply(f"{MEMBER_KIND}/{node_id}", lambda existing: True, value)


@given("the store {fault} for {ms:d} ms")
def step_store_with_fault(context: Any, fault: str, ms: int) -> None:
    context.clock = fake_clock()
    store = PricedStore(context.clock, random.Random(1))
    context.store = store
    _store_member(store, "other")
    fields = {"boot_id": "boot-before", "instance": "i-1", "target_left": True}
    if fault == "holds an older record":
        _store_member(store, "me", **fields)
    elif fault == "holds a record of another address":
        _store_member(store, "me", address=PREVIOUS_ADDRESS, **fields)
    store.faults.outage = fault == "is out"
    store.rejects_writes = fault == "turns writes away"
    store.loses_answers = fault == "loses an answer, others join late"
    if store.loses_answers:
        store.object_by_path.clear()
        context.clock.call_later(ms / 2, _store_member, store, "other")

    def end_fault() -> None:
        store.faults.outage = store.rejects_writes = store.loses_answers = False

    context.clock.call_later(ms, end_fault)


@given("a store with {count:d} records of another writer that have {flaw}")
def step_store_with_flawed_records(context: Any, count: int, flaw: str) -> None:
    context.clock = fake_clock()
    context.store = PricedStore(context.clock, random.Random(1))
    for number in range(count):
        node_id = f"z-{number}"
        value = FLAWED_VALUES.get(flaw)
        if value is None:
            fields = {"address": ADDRESS} | FLAWED_FIELDS[flaw]
            fields["node_id"] = fields.get("node_id", node_id)
            value = msgspec.json.encode(make_member(**fields)).decode()
        context.store._apply(f"{MEMBER_KIND}/{node_id}", lambda existing: True, value)
    _store_member(context.store, "other")


@when("a node joins and its log is captured")
def step_join_with_log(context: Any) -> None:
    with captured_log() as context.entries:
        step_join_and_refresh(context, 2000)


@then("it knows no member but the others, and logged at most one line for each listing")
def step_flawed_records_refused(context: Any) -> None:
    assert context.member_table.by_id.keys() == {"me", "other"}, context.member_table.by_id
    lines = [entry for entry in context.entries if entry["event"] == "member_malformed"]
    assert 0 < len(lines) <= context.store.list_count, lines


@when("a node joins and refreshes its record for {ms:d} ms")
def step_join_and_refresh(context: Any, ms: int) -> None:
    context.previous_records = []
    clock, store = context.clock, context.store
    me = make_member("me", incarnation=100)
    context.member_table = MemberTable(
        clock, me, lambda _: None, lambda: None, context.previous_records.append
    )
    registration = Registration(clock, store, context.member_table, random.Random(1), lambda: True)

    async def join() -> None:
        failures = 0
        while not await registration.join():
            failures += 1
            await clock.sleep(registration.retry_delay_ms(failures))
        await registration.refresh_periodically()

    ensureDeferred(join())
    advance(clock, ms)


@given("a store that holds {held} and applies the writes of a record {delay:d} ms late")
def step_store_with_late_writes(context: Any, held: str, delay: int) -> None:
    context.clock = fake_clock()
    context.store = PricedStore(context.clock, random.Random(1))
    context.store.record_write_ms = delay
    if held == "a record of another address":
        _store_member(context.store, "me", address=PREVIOUS_ADDRESS, boot_id="boot-before")


@when("a node joins and leaves {after:d} ms later")
def step_join_and_leave(context: Any, after: int) -> None:
    clock = context.clock
    me = make_member("me", incarnation=100)
    table = MemberTable(clock, me, lambda record: None, lambda: None)
    registration = Registration(clock, context.store, table, random.Random(1), lambda: True)
    ensureDeferred(registration.join())
    advance(clock, after)
    ensureDeferred(registration.remove())


@when("{delay:d} ms and some more have passed")
def step_writes_applied(context: Any, delay: int) -> None:
    advance(context.clock, 2 * delay + 100)


@then("the store holds no record of the node")
def step_no_record_stored(context: Any) -> None:
    assert LOCAL_RECORD_PATH not in context.store.object_by_path


class NodeProcess:
    """One process of a node, as far as it registers and knows its target."""

    def __init__(self, clock: Any, store: PricedStore, number: int, address: str = ADDRESS) -> None:
        me = make_member("me", address=address, incarnation=100 * number, boot_id=f"boot-{number}")
        self.table = MemberTable(
            clock, me, lambda record: None, lambda: None, self._read_earlier_record
        )
        self.registration = Registration(
            clock, store, self.table, random.Random(number), lambda: True
        )
        self._clock = clock

    def _read_earlier_record(self, record: MemberRecord) -> None:
        if record.target_left:
            self.table.update_local_record(
                instance=record.instance, born_ms=record.born_ms, target_left=True
            )

    @property
    def knows_leaving(self) -> bool:
        """Whether the process knows that its target has left."""
        return self.table.local_record.target_left

    async def join(self) -> None:
        """Join, again and again until the store answers, and refresh the record."""
        failures = 0
        while not await self.registration.join():
            failures += 1
            await self._clock.sleep(self.registration.retry_delay_ms(failures))
        await self.registration.refresh_periodically()

    def leave(self) -> list[float]:
        """Let the target leave; return a list that receives the time at which that is stored."""
        self.table.update_local_record(instance="i-1", born_ms=100, target_left=True)
        saved: list[float] = []
        self.registration.save_leaving().addCallback(lambda _: saved.append(self._clock.now_ms()))
        return saved


def _begin_fault(store: PricedStore, fault: str) -> None:
    store.faults.outage = fault == "is out"
    store.rejects_writes = fault == "turns writes away"
    store.loses_answers = fault == "loses answers"
    store.record_write_ms = 300 if fault == "is slow" else 0


def _start_process(context: Any, number: int, address: str = ADDRESS) -> NodeProcess:
    process = NodeProcess(context.clock, context.store, number, address)
    ensureDeferred(process.join())
    return process


@given("a node that has joined, and a store that {fault} for {ms:d} ms from then on")
def step_joined(context: Any, fault: str, ms: int) -> None:
    context.clock = fake_clock()
    context.store = PricedStore(context.clock, random.Random(1))
    context.process = _start_process(context, 1)
    advance(context.clock, 1000)
    _begin_fault(context.store, fault)
    context.clock.call_later(ms, _begin_fault, context.store, "answers")
    context.fault_ends_ms = context.clock.now_ms() + ms


@when("its target leaves")
def step_target_leaves(context: Any) -> None:
    context.saved_ms = context.process.leave()


@then("the leaving counts as stored from {first:d} to {last:d} ms after the end of the fault")
def step_leaving_stored(context: Any, first: int, last: int) -> None:
    context.store.total_price = 0
    advance(context.clock, context.fault_ends_ms + last - context.clock.now_ms())
    assert len(context.saved_ms) == 1
    after_ms = context.saved_ms[0] - context.fault_ends_ms
    assert first <= after_ms <= last, after_ms


def _address(described: str) -> str:
    return ADDRESS if described == "the same address" else PREVIOUS_ADDRESS


@then("a later process at {address} knows of the leaving, and so does the one after it")
def step_later_processes_know(context: Any, address: str) -> None:
    fault = getattr(context, "fault_at_start", "answers")
    for number in (2, 3):
        _begin_fault(context.store, fault)
        process = _start_process(context, number, _address(address))
        advance(context.clock, 2000)
        _begin_fault(context.store, "answers")
        advance(context.clock, 20_000)
        assert process.knows_leaving, number


@given("a node that stored the leaving of its target, and a store that {fault} at each start")
def step_stored_leaving(context: Any, fault: str) -> None:
    step_joined(context, "answers", 0)
    step_target_leaves(context)
    advance(context.clock, 100)
    assert context.saved_ms
    context.fault_at_start = fault


@given("a node whose record was written without an answer, which takes effect {ms:d} ms late")
def step_late_write(context: Any, ms: int) -> None:
    step_joined(context, "answers", 0)
    stored = context.store.object_by_path[LOCAL_RECORD_PATH]
    context.clock.call_later(
        ms,
        context.store._apply,
        LOCAL_RECORD_PATH,
        lambda current: current is not None and current.version == stored.version,
        stored.value,
    )


@then("the store holds the node's record and the node knows all members")
def step_record_stored_and_peers_known(context: Any) -> None:
    stored = msgspec.json.decode(
        context.store.object_by_path[LOCAL_RECORD_PATH].value, type=MemberRecord
    )
    me = context.member_table.local_record
    endpoint = (stored.node_id, stored.address, stored.peer_port, stored.gossip_port)
    assert endpoint == (me.node_id, me.address, me.peer_port, me.gossip_port), stored
    assert set(context.member_table.by_id) == {"me", "other"}


@then("its calls to the store cost at most {max_price:g}")
def step_price_of_calls(context: Any, max_price: float) -> None:
    assert context.store.total_price <= max_price, context.store.total_price


@given("a node that starts beside two watchers, and a store with generation {generation:d}")
def step_start_beside_watchers(context: Any, generation: int) -> None:
    clock = context.clock = fake_clock()
    store = context.store = PricedStore(clock, random.Random(1))
    for written in (OLDER_GENERATION, generation):
        store.stale_objects = dict(store.object_by_path)
        store._apply("config/main", lambda existing: True, config_text(written))
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
        lambda members: None,
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
        context.store.read_count,
    )
    assert observed == (generation, reads), observed
