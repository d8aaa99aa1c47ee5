"""Steps for the store's client."""

from __future__ import annotations

import json
import random
import time
from typing import Any

from behave import given, then, when
from twisted.internet import reactor, threads
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
from standins.platform import Faults, Metadata, PlatformStandIn, Stored
from standins.platform_configs import config_text

TIMEOUT_MS = 400
WATCH_MS = 600

FAULTS = {
    "out": Faults(outage=True),
    "busy": Faults(busy=True),
    "silent": Faults(silent=True),
    "losing answers": Faults(lose_answers=1.0),
    "late": Faults(late_ms=600),
    "slow": Faults(delay_ms=200),
}


class LiveStore:
    """The stand-in and a client."""

    def __init__(self) -> None:
        loop: Any = reactor
        self.standin = PlatformStandIn(1)
        site = Site(self.standin.app.resource())
        site.noisy = False
        self.listening = loop.listenTCP(0, site, interface="127.0.0.1")
        url = f"http://127.0.0.1:{self.listening.getHost().port}"
        self.client = StoreClient(loop, PlatformSection(url, timeout_ms=TIMEOUT_MS))
        self.sync: ConfigSync | None = None
        self.watch_wait_ms = store_client.WATCH_WAIT_MS
        store_client.WATCH_WAIT_MS = WATCH_MS

    def close(self) -> None:
        """Close all sockets."""
        threads.blockingCallFromThread(reactor, self._close)

    def _close(self) -> Any:
        store_client.WATCH_WAIT_MS = self.watch_wait_ms
        if self.sync is not None:
            self.sync.close()
        self.standin.store.compact()
        self.listening.stopListening()
        return ensureDeferred(self.client.close())

    def put(self, path: str, value: Any) -> Stored:
        """Write an object into the stand-in."""
        kind, _, name = path.partition("/")
        return self.standin.store.write(kind, name, Stored(Metadata(name), value))

    def call(self, coroutine: Any) -> Any:
        """Wait for a call's end."""
        return threads.blockingCallFromThread(reactor, lambda: ensureDeferred(coroutine))

    def act(self, function: Any, *arguments: Any) -> Any:
        """Call a function of the stand-in in the reactor's thread."""
        return threads.blockingCallFromThread(reactor, function, *arguments)


@given("a store")
def step_store(context: Any) -> None:
    context.live = threads.blockingCallFromThread(reactor, LiveStore)


@given("the object {path} with value {value:d}")
def step_object(context: Any, path: str, value: int) -> None:
    context.stored = context.live.act(context.live.put, path, value)


@given("a store that is {fault}")
def step_fault(context: Any, fault: str) -> None:
    context.live.standin.faults = FAULTS[fault]


@when("the client calls {call}")
def step_call(context: Any, call: str) -> None:
    words = call.split()
    client = context.live.client
    method, path = words[0], words[1]
    version = context.stored.metadata.revision
    if "older" in call:
        version -= 1
    calls = {
        "read": lambda: client.read(path),
        "create": lambda: client.create(path, words[2]),
        "update": lambda: client.update(path, words[2], version),
        "put": lambda: client.put(path, words[2]),
        "delete": lambda: client.delete(path, version if "at" in words else None),
    }
    context.result = context.live.call(calls[method]())


def word_of(result: Any) -> str:
    """A result as the tables write it."""
    if result.is_ok():
        return "nothing" if result.ok is None else f"value {result.ok.value}"
    if isinstance(result.error, Conflict) and result.error.current is not None:
        return f"Conflict with value {result.error.current.value}"
    return type(result.error).__name__


@then("the store answers {result}")
def step_result(context: Any, result: str) -> None:
    assert word_of(context.result) == result, word_of(context.result)


@then("the store holds {value:d} in {path} {later}")
def step_holds(context: Any, value: int, path: str, later: str) -> None:
    if later != "now":
        time.sleep(int(later.split()[1]) / 1000)
    kind, _, name = path.partition("/")
    held = context.live.standin.store.by_path[kind, name].spec
    assert held == value, held


@given("{count:d} objects of the kind {kind}")
def step_objects(context: Any, count: int, kind: str) -> None:
    for number in range(count):
        context.live.act(context.live.put, f"{kind}/n{number}", number)


@when("the client lists the kind {kind}")
def step_list(context: Any, kind: str) -> None:
    context.listing = context.live.call(context.live.client.list_objects(kind)).ok


@then("it has {count:d} objects, each once")
def step_listed(context: Any, count: int) -> None:
    paths = {stored.path for stored in context.listing.objects}
    assert len(paths) == len(context.listing.objects) == count


@when("the client watches config and {what}")
def step_watch(context: Any, what: str) -> None:
    live = context.live
    store = live.standin.store
    revision = store.revision
    acts = {
        "the object is changed to 2": lambda: live.put("config/main", 2),
        "the object is removed": lambda: store.remove("config", "main"),
        "another kind changes": lambda: live.put("members/a", 1),
        "the history is dropped": store.compact,
    }
    if what == "the history was dropped before":
        live.act(live.put, "config/main", 7)
        live.act(store.compact)
    loop: Any = reactor
    if what in acts:
        loop.callFromThread(loop.callLater, 0.2, acts[what])
    context.result = live.call(live.client.watch("config", revision))


@then("the watch brings {result}")
def step_watched(context: Any, result: str) -> None:
    if context.result.is_error():
        seen = type(context.result.error).__name__
    elif context.result.ok.objects:
        seen = f"changed to {context.result.ok.objects[-1].value}"
    else:
        seen = "removed" if context.result.ok.removed else "nothing"
    assert seen == result, context.result


@given("a node's configuration from the store at generation {generation:d}")
def step_node_config(context: Any, generation: int) -> None:
    live = context.live
    live.act(live.put, "config/main", json.loads(config_text(generation)))
    live.act(_start_sync, live)
    _wait_for(context, generation, 3000)


def _start_sync(live: LiveStore) -> None:
    clock = Clock(reactor)
    peers: Any = None
    table = MemberTable(clock, make_member("a"), lambda record: None, lambda: None)
    source = PlatformConfigSource()
    live.sync = ConfigSync(
        clock, live.client, peers, table, random.Random(1), lambda book: None, source
    )
    live.sync.start()


def _wait_for(context: Any, generation: int, within_ms: int) -> None:
    end_s = time.monotonic() + within_ms / 1000
    while time.monotonic() < end_s and context.live.sync.version()[0] != generation:
        time.sleep(0.02)
    assert context.live.sync.version()[0] == generation, context.live.sync.version()


@when("the history is dropped and generation {generation:d} is written")
def step_drop(context: Any, generation: int) -> None:
    live = context.live

    def drop() -> None:
        live.put("config/main", json.loads(config_text(generation)))
        live.standin.store.compact()

    live.act(drop)


@then("the node has generation {generation:d} within {within:d} ms")
def step_adopted(context: Any, generation: int, within: int) -> None:
    _wait_for(context, generation, within)


@when("{content} is written as the configuration")
def step_written(context: Any, content: str) -> None:
    older = json.loads(config_text(2))
    value = older if content == "an older generation" else "\u0000 no configuration"
    context.live.act(context.live.put, "config/main", value)


@then("the node has generation {generation:d} after {after:d} ms")
def step_kept(context: Any, generation: int, after: int) -> None:
    time.sleep(after / 1000)
    assert context.live.sync.version()[0] == generation
