"""Steps for calls between two nodes over a relay that fails."""

from __future__ import annotations

import threading
import time
from typing import Any

from behave import given, then, when
from expression import Ok
from msgspec.structs import replace
from twisted.internet import reactor, threads
from twisted.internet.defer import ensureDeferred

from foxtailproxy.call import Call
from foxtailproxy.clock import Clock
from foxtailproxy.config.rules import RuleBook
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.errors import HttpError
from foxtailproxy.http.messages import ResponseHead
from foxtailproxy.http.server import ServerFactory, ServerLimits
from foxtailproxy.load import Load
from foxtailproxy.models.rules import ClassRule, FleetRule, Rules, ServiceRule
from foxtailproxy.outcome import Answer, NotRun, Outcome
from foxtailproxy.peer_client import PeerClient
from foxtailproxy.peer_server import PeerServer
from foxtailproxy.runs import RunTable
from foxtailproxy.tests.fakes import LIMITS, make_answer, make_call, make_member
from standins.relay import Relay

BOUNDS = ServerLimits(32768, 65536, 10_000, 60_000)
FAULT_AFTER_MS = 100
LONGEST_STALL_MS = 1000


class FakeTarget:
    """A target whose calls take a while."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.runs: list[str] = []
        self.run_ms = 50.0
        self.repeatable = False
        self.cancelled_s = 0.0
        self.stalling: BodyStream | None = None

    async def run(self, call: Call) -> Outcome:
        """Run a call."""
        self.runs.append(call.attempt_id)
        if self.stalling is not None:
            return Ok(Answer(ResponseHead(200, b"OK", []), self.stalling))
        await self.clock.sleep(self.run_ms)
        return make_answer(call.attempt_id.encode())

    def load(self) -> Load:
        """Some load."""
        return Load(len(self.runs), 0, 2, 1.0)

    def cancel(self, send_id: str) -> None:
        """A call is to be stopped."""
        self.cancelled_s = self.cancelled_s or time.monotonic()

    def may_repeat(self, send_id: str) -> bool:
        """Whether the calls may run again."""
        return self.repeatable


class FixedConfig:
    """A configuration that does not change."""

    def __init__(self) -> None:
        rule = ClassRule("kalender", "booking")
        self.current = None
        self.rule_book = RuleBook(
            Rules(FleetRule(), [ServiceRule("kalender", ["kalender"])], [rule])
        )


class TwoNodes:
    """The sender's side, the relay, and the target's side."""

    def __init__(self) -> None:
        loop: Any = reactor
        self.clock = Clock(loop)
        self.target = FakeTarget(self.clock)
        target: Any = self.target
        config: Any = FixedConfig()
        claims = RunTable(self.clock, 1000, 1000)
        self.server = PeerServer(self.clock, LIMITS, target, config, claims, "boot-b")
        limits = replace(LIMITS, idle_time_ms=LONGEST_STALL_MS)
        self.client = PeerClient(self.clock, loop, limits, lambda node_id, load: None)
        factory = ServerFactory(self.server.handle, BOUNDS, self.clock)
        listening = loop.listenTCP(0, factory, interface="127.0.0.1")
        self.relay = Relay("127.0.0.1", listening.getHost().port)
        relaying = loop.listenTCP(0, self.relay, interface="127.0.0.1")
        self.ports = [listening, relaying]
        self.member = make_member("b", address="127.0.0.1", peer_port=relaying.getHost().port)

    def close(self) -> None:
        """Close all sockets."""
        threads.blockingCallFromThread(reactor, self._close)

    def _close(self) -> None:
        for port in self.ports:
            port.stopListening()
        self.server.close()
        self.client.close()
        for side in list(self.relay.sides):
            side.transport.abortConnection()

    def silence(self) -> None:
        """Lose track of the connections open now."""
        for side in self.relay.sides:
            side.silent = True

    def cut(self) -> None:
        """Cut the connections open now."""
        for side in list(self.relay.sides):
            side.transport.abortConnection()

    def restart(self) -> None:
        """Begin another process, which knows nothing of the calls before it."""
        self.server.attempts.by_id.clear()
        self.server._boot_id = "boot-c"
        self.cut()

    def isolate(self) -> None:
        """Let nothing through any more."""
        self.silence()
        self.relay.refusing = True


@given("two nodes with a relay between them")
def step_two_nodes(context: Any) -> None:
    context.live = threads.blockingCallFromThread(reactor, TwoNodes)


def _new_call(nodes: TwoNodes, path: str = "/bookings") -> Call:
    return make_call(nodes.clock, rule={"name": "booking", "idempotent": False}, path=path)


def _send(context: Any, call: Call) -> None:
    nodes = context.live
    begun_s = time.monotonic()
    context.outcome = threads.blockingCallFromThread(
        reactor, lambda: ensureDeferred(nodes.client.run(call, nodes.member))
    )
    context.elapsed_ms = (time.monotonic() - begun_s) * 1000


@when("a call that runs for {run_ms:d} ms is sent and {what}")
def step_send(context: Any, run_ms: int, what: str) -> None:
    nodes = context.live
    idle = "idle connection" in what
    if idle:
        _send(context, _new_call(nodes))
        nodes.target.runs.clear()
        nodes.silence()
    nodes.target.run_ms = run_ms
    faults = {
        "silent": nodes.silence,
        "is cut": nodes.cut,
        "restarts": nodes.restart,
        "cannot be reached": nodes.isolate,
    }
    for words, fault in faults.items():
        if words in what and not idle:
            loop: Any = reactor
            loop.callFromThread(loop.callLater, FAULT_AFTER_MS / 1000, fault)
    _send(context, _new_call(nodes))


@when("the sender asks about a call, and the call arrives after that")
def step_late(context: Any) -> None:
    nodes = context.live
    call = _new_call(nodes)
    threads.blockingCallFromThread(
        reactor, lambda: ensureDeferred(nodes.client._recover(call, nodes.member))
    )
    _send(context, call)


class CutNote:
    """Notes when a body is cut."""

    def __init__(self) -> None:
        self.cut = threading.Event()

    def body_data(self, data: bytes) -> None:
        """Not of interest."""

    def body_end(self) -> None:
        """Not expected."""

    def body_failed(self, error: HttpError) -> None:
        """The body was cut."""
        self.cut.set()


@when("a call for {path} is sent")
def step_path(context: Any, path: str) -> None:
    _send(context, _new_call(context.live, path))


@when("a call is sent whose answer of {size:d} bytes stalls after {sent:d}")
def step_stall(context: Any, size: int, sent: int) -> None:
    body = BodyStream(size)
    body.feed(b"x" * sent)
    context.live.target.stalling = body
    _send(context, _new_call(context.live))


@then("the answer is cut within {within:d} ms")
def step_cut(context: Any, within: int) -> None:
    note = CutNote()
    threads.blockingCallFromThread(reactor, context.outcome.ok.body.attach, note)
    assert note.cut.wait(within / 1000)


@when("{count:d} calls are sent one after another")
def step_several(context: Any, count: int) -> None:
    for _ in range(count):
        _send(context, _new_call(context.live))


@then("the call ends as {expected} within {within:d} ms")
def step_ends(context: Any, expected: str, within: int) -> None:
    outcome = context.outcome
    if outcome.is_ok():
        seen = "answered"
        assert outcome.ok.body.buffered().decode() == context.live.target.runs[0]
    else:
        kind = "not-run" if isinstance(outcome.error, NotRun) else "unknown"
        seen = f"{kind} {outcome.error.reason}"
    assert seen == expected, seen
    assert context.elapsed_ms <= within, context.elapsed_ms


@then("the call ran {runs:d} times")
def step_runs(context: Any, runs: int) -> None:
    assert len(context.live.target.runs) == runs, context.live.target.runs


@then("the relay saw {count:d} connections")
def step_connections(context: Any, count: int) -> None:
    assert context.live.relay.connections == count


@when("a call that {may} run again is left by its caller after {ms:d} ms")
def step_left(context: Any, may: str, ms: int) -> None:
    nodes = context.live
    nodes.target.run_ms = 3000.0
    nodes.target.repeatable = may == "may"
    rule = {"name": "booking", "idempotent": may == "may"}
    call = make_call(nodes.clock, rule=rule, path="/bookings")

    def send() -> None:
        ensureDeferred(nodes.client.run(call, nodes.member))
        nodes.clock.call_later(ms, nodes.client.cancel, call.send_id)

    threads.blockingCallFromThread(reactor, send)
    context.left_s = time.monotonic() + ms / 1000
    time.sleep(ms / 1000 + 0.6)


@then("its target is told {when_told}")
def step_target_told(context: Any, when_told: str) -> None:
    cancelled_s = context.live.target.cancelled_s
    if when_told == "nothing":
        assert not cancelled_s
        return
    within_s = int(when_told.split()[1]) / 1000
    assert 0 < cancelled_s <= context.left_s + within_s, cancelled_s - context.left_s
