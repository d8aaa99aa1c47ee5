"""Steps for the store client."""

from __future__ import annotations

import json
import random
import time
from typing import Any

from behave import given, then, when
from twisted.internet import reactor, task, threads
from twisted.internet.defer import ensureDeferred
from twisted.web.server import Site

from foxtailproxy.clock import Clock
from foxtailproxy.config_sync import ConfigSync
from foxtailproxy.membership import MemberTable
from foxtailproxy.models.settings import PlatformSection
from foxtailproxy.platform import store_client
from foxtailproxy.platform.configuration import PlatformConfigSource
from foxtailproxy.platform.store_client import StoreClient
from foxtailproxy.store import Conflict
from foxtailproxy.tests.fakes import make_member
from standins.platform import Metadata, ObjectRecord, PlatformStandIn, StoreFaults
from standins.platform_configs import config_text

TIMEOUT_MS = 400
"""Timeout of the client while the store has a fault."""

PATIENT_TIMEOUT_MS = 30_000
"""Timeout where none is to run out, however long the test's process is held up."""

SHORT_WATCH_WAIT_MS = 600

FAULTS_BY_NAME = {
    "out": StoreFaults(outage=True),
    "busy": StoreFaults(busy=True),
    "silent": StoreFaults(silent=True),
    "losing answers": StoreFaults(lose_answers=1.0),
    "late": StoreFaults(late_ms=600),
    "slow": StoreFaults(delay_ms=200),
}


class StoreFixture:
    """Store stand-in with a client on real sockets."""

    def __init__(self) -> None:
        twisted_reactor: Any = reactor
        self.standin = PlatformStandIn(1)
        site = Site(self.standin.app.resource())
        site.noisy = False
        self.listening_port = twisted_reactor.listenTCP(0, site, interface="127.0.0.1")
        self.late_writes = self.standin.late_writes = task.Clock()
        self.client = self.create_client(PATIENT_TIMEOUT_MS)
        self.config_sync: ConfigSync | None = None
        self.original_watch_wait_ms = store_client.WATCH_WAIT_MS
        store_client.WATCH_WAIT_MS = SHORT_WATCH_WAIT_MS

    def create_client(self, timeout_ms: int) -> StoreClient:
        """Return a client of the stand-in."""
        url = f"http://127.0.0.1:{self.listening_port.getHost().port}"
        return StoreClient(reactor, PlatformSection(url, timeout_ms=timeout_ms))

    def close(self) -> None:
        """Close all sockets, and restore the wait of a watch."""
        threads.blockingCallFromThread(reactor, self._close)

    def _close(self) -> Any:
        store_client.WATCH_WAIT_MS = self.original_watch_wait_ms
        if self.config_sync is not None:
            self.config_sync.close()
        self.standin.store.compact()
        return self.listening_port.stopListening()

    def put(self, path: str, value: Any) -> ObjectRecord:
        """Write an object into the stand-in."""
        kind, _, name = path.partition("/")
        return self.standin.store.write(kind, name, ObjectRecord(Metadata(name), value))

    def wait_for(self, coroutine: Any) -> Any:
        """Run a coroutine in the reactor's thread and return its result."""
        return threads.blockingCallFromThread(reactor, lambda: ensureDeferred(coroutine))

    def call_in_reactor(self, function: Any, *arguments: Any) -> Any:
        """Call a function in the reactor's thread and return its result."""
        return threads.blockingCallFromThread(reactor, function, *arguments)


@given("a store")
def step_store(context: Any) -> None:
    context.live = threads.blockingCallFromThread(reactor, StoreFixture)


@given("the object {path} with value {value:d}")
def step_object(context: Any, path: str, value: int) -> None:
    context.stored = context.live.call_in_reactor(context.live.put, path, value)


@given("a store that is {fault}")
def step_fault(context: Any, fault: str) -> None:
    context.live.standin.faults = FAULTS_BY_NAME[fault]
    context.live.client = context.live.create_client(TIMEOUT_MS)


@when("the client calls {call}")
def step_call_client(context: Any, call: str) -> None:
    arguments = call.split()
    client = context.live.client
    method, path = arguments[0], arguments[1]
    version = context.stored.metadata.revision
    if "older" in call:
        version -= 1
    calls = {
        "read": lambda: client.read(path),
        "create": lambda: client.create(path, arguments[2]),
        "update": lambda: client.update(path, arguments[2], version),
        "put": lambda: client.put(path, arguments[2]),
        "delete": lambda: client.delete(path, version if "at" in arguments else None),
    }
    context.result = context.live.wait_for(calls[method]())


def describe_result(result: Any) -> str:
    """Return a result in the notation of the scenario tables."""
    if result.is_ok():
        return "nothing" if result.ok is None else f"value {result.ok.value}"
    if isinstance(result.error, Conflict) and result.error.current is not None:
        return f"Conflict with value {result.error.current.value}"
    return type(result.error).__name__


@then("the call returns {result}")
def step_call_result(context: Any, result: str) -> None:
    assert describe_result(context.result) == result, describe_result(context.result)


@then("the store holds {value:d} in {path} {moment}")
def step_value_in_store(context: Any, value: int, path: str, moment: str) -> None:
    fixture = context.live
    kind, _, name = path.partition("/")
    by_path = fixture.standin.store.by_path
    if moment != "now":
        assert by_path[kind, name] is context.stored, by_path[kind, name]
        fixture.call_in_reactor(fixture.late_writes.advance, int(moment.split()[1]) / 1000)
    stored_value = by_path[kind, name].spec
    assert stored_value == value, stored_value


@given("{count:d} objects of the kind {kind}")
def step_objects(context: Any, count: int, kind: str) -> None:
    for number in range(count):
        context.live.call_in_reactor(context.live.put, f"{kind}/n{number}", number)


@when("the client lists the kind {kind}")
def step_list(context: Any, kind: str) -> None:
    context.listing = context.live.wait_for(context.live.client.list_objects(kind)).ok


@then("the listing has {count:d} objects, each once")
def step_listed_once(context: Any, count: int) -> None:
    paths = {stored.path for stored in context.listing.objects}
    assert len(paths) == len(context.listing.objects) == count


@when("the client watches config and {event}")
def step_watch(context: Any, event: str) -> None:
    fixture = context.live
    store = fixture.standin.store
    revision = store.revision
    actions = {
        "the object is changed to 2": lambda: fixture.put("config/main", 2),
        "the object is removed": lambda: store.remove("config", "main"),
        "another kind changes": lambda: fixture.put("members/a", 1),
        "the history is dropped": store.compact,
    }
    if event == "the history was dropped before":
        fixture.call_in_reactor(fixture.put, "config/main", 7)
        fixture.call_in_reactor(store.compact)
    if event == "it was removed and is back":
        fixture.call_in_reactor(store.remove, "config", "main")
        fixture.call_in_reactor(fixture.put, "config/main", 3)
    if event == "it was changed and is gone":
        fixture.call_in_reactor(fixture.put, "config/main", 3)
        fixture.call_in_reactor(store.remove, "config", "main")
    if event == "the store has been restored":
        fixture.call_in_reactor(store.restore, {}, revision - 1)
    twisted_reactor: Any = reactor
    if event in actions:
        twisted_reactor.callFromThread(twisted_reactor.callLater, 0.2, actions[event])
    context.result = fixture.wait_for(fixture.client.watch("config", revision))


@then("the watch returns {result}")
def step_watch_result(context: Any, result: str) -> None:
    if context.result.is_error():
        actual = type(context.result.error).__name__
    elif context.result.ok.objects:
        actual = f"changed to {context.result.ok.objects[-1].value}"
    else:
        actual = "removed" if context.result.ok.removed else "nothing"
    assert actual == result, context.result


@given("a node's configuration from the store at generation {generation:d}")
def step_node_config(context: Any, generation: int) -> None:
    fixture = context.live
    fixture.call_in_reactor(fixture.put, "config/main", json.loads(config_text(generation)))
    fixture.call_in_reactor(_start_config_sync, fixture)
    _wait_for_generation(context, generation, 3000)


def _start_config_sync(fixture: StoreFixture) -> None:
    clock = Clock(reactor)
    peers: Any = None
    member_table = MemberTable(clock, make_member("a"), lambda record: None, lambda: None)
    source = PlatformConfigSource()
    fixture.config_sync = ConfigSync(
        clock,
        fixture.client,
        peers,
        member_table,
        random.Random(1),
        lambda rule_book: None,
        lambda members: None,
        source,
    )
    fixture.config_sync.start()


def _wait_for_generation(context: Any, generation: int, within_ms: int) -> None:
    deadline_s = time.monotonic() + within_ms / 1000
    while time.monotonic() < deadline_s and context.live.config_sync.version()[0] != generation:
        time.sleep(0.02)
    assert context.live.config_sync.version()[0] == generation, context.live.config_sync.version()


@when("the store takes a copy, config/main becomes 2, and the store comes back from its copy")
def step_restore(context: Any) -> None:
    fixture = context.live
    fixture.wait_for(fixture.client.read("config/main"))
    store = fixture.standin.store
    copied = (dict(store.by_path), store.revision)
    fixture.call_in_reactor(fixture.put, "config/main", 2)
    fixture.call_in_reactor(store.restore, *copied)


@then("the client notices one rise of the era, and reads value {value} in it")
def step_era(context: Any, value: str) -> None:
    fixture = context.live
    for _ in range(2):
        listing = fixture.wait_for(fixture.client.list_objects("config")).ok
        assert (listing.era, [item.value for item in listing.objects]) == (2, [value]), listing
    era = fixture.client.era
    assert (era.number, era.rises) == (2, 1), era


@when("the store comes back from a copy, and generation {generation:d} is written")
def step_restore_and_write(context: Any, generation: int) -> None:
    fixture = context.live
    store = fixture.standin.store

    def restore_and_write() -> None:
        store.restore(store.by_path, store.revision)
        # The revision of the first write is one that the node knows from the era before.
        store.revision -= 1
        fixture.put("config/main", json.loads(config_text(generation)))

    fixture.call_in_reactor(fixture.put, "config/other", 1)
    fixture.call_in_reactor(restore_and_write)


@when("the history is dropped and generation {generation:d} is written")
def step_drop_history(context: Any, generation: int) -> None:
    fixture = context.live

    def write_and_compact() -> None:
        fixture.put("config/main", json.loads(config_text(generation)))
        fixture.standin.store.compact()

    fixture.call_in_reactor(write_and_compact)


@then("the node has generation {generation:d} within {within_ms:d} ms")
def step_adopted(context: Any, generation: int, within_ms: int) -> None:
    _wait_for_generation(context, generation, within_ms)


@when("{content} is written as the configuration")
def step_write_config(context: Any, content: str) -> None:
    older = json.loads(config_text(2))
    value = older if content == "an older generation" else "\u0000 no configuration"
    context.live.call_in_reactor(context.live.put, "config/main", value)


@then("the node has generation {generation:d} after {after_ms:d} ms")
def step_generation_kept(context: Any, generation: int, after_ms: int) -> None:
    time.sleep(after_ms / 1000)
    assert context.live.config_sync.version()[0] == generation
