"""Steps for the local target and its upstream."""

from __future__ import annotations

import time
from typing import Any

from behave import given, then, when
from twisted.internet import reactor, threads
from twisted.internet.defer import ensureDeferred
from twisted.internet.protocol import Factory, Protocol

from foxtailproxy.clock import Clock
from foxtailproxy.dialect import Dialect, FoxtailDialect
from foxtailproxy.models.messages import Announcement
from foxtailproxy.models.settings import UpstreamSection
from foxtailproxy.platform.dialect import PlatformDialect
from foxtailproxy.target import Target
from foxtailproxy.tests.fakes import NullTargetListener, make_call
from standins.fleet import free_ports

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
NOT_RUN_ANSWER = (
    b"HTTP/1.1 503 Busy\r\nfoxtail-outcome: not-run; reason=busy\r\ncontent-length: 2\r\n\r\nno"
)


OVERDUE_MS = 100
REUSE_IDLE_MS = 1000

HEALTH_ANSWER = (
    b"HTTP/1.1 200 OK\r\nx-foxtailproxy-instance-id: i-1\r\n"
    b"x-foxtailproxy-backend-load: 0,0,2,100\r\ncontent-length: 0\r\n\r\n"
)


class FakeUpstream(Protocol):
    """Upstream that answers, refuses or ignores requests, or cuts reused connections."""

    transport: Any = None

    def __init__(self) -> None:
        self.requests = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Count the connection."""
        self.factory.connections += 1

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a request, which fits in one packet."""
        self.requests += 1
        if "never answers" in self.factory.behaviour:
            return
        if self.requests > 1 and "cuts" in self.factory.behaviour:
            self.transport.abortConnection()
        else:
            self.transport.write(NOT_RUN_ANSWER if "refuses" in self.factory.behaviour else ANSWER)


class FakePlatformUpstream(FakeUpstream):
    """Upstream that echoes the attempt id, some with a stale answer before the right one."""

    def __init__(self) -> None:
        super().__init__()
        self.previous_answer = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a request, which fits in one packet."""
        attempt = data.partition(b"attempt-id: ")[2].partition(b"\r\n")[0]
        answer = b"HTTP/1.1 200 OK\r\nx-foxtailproxy-attempt-id: %s\r\n" % attempt
        answer += b"content-length: %d\r\n\r\n%s" % (len(attempt), attempt)
        stale_answer = b""
        if self.previous_answer and "again" in self.factory.behaviour:
            stale_answer = self.previous_answer
        elif self.previous_answer and "late" in self.factory.behaviour:
            stale_answer = HEALTH_ANSWER
        self.previous_answer = answer
        self.transport.write(stale_answer + answer)


class TargetWithUpstream:
    """Target with its upstream."""

    def __init__(self, behaviour: str, platform: bool = False) -> None:
        twisted_reactor: Any = reactor
        protocol_class = FakePlatformUpstream if platform else FakeUpstream
        self.factory: Any = Factory.forProtocol(protocol_class)
        self.factory.noisy = False
        self.factory.behaviour = behaviour
        self.factory.connections = 0
        port = free_ports(1)[0]
        self.listening = None
        if behaviour != "does not listen":
            self.listening = twisted_reactor.listenTCP(port, self.factory, interface="127.0.0.1")
        self.clock = Clock(twisted_reactor)
        settings = UpstreamSection(overdue_ms=OVERDUE_MS)
        dialect: Dialect = FoxtailDialect()
        if platform:
            settings = UpstreamSection(overdue_ms=OVERDUE_MS, reuse_idle_ms=REUSE_IDLE_MS)
            dialect = PlatformDialect(lambda: "kalender")
        self.target = Target(self.clock, twisted_reactor, NullTargetListener(), dialect, settings)
        self.target.receive_announcement(Announcement("kalender", "127.0.0.1", port, 2))

    def close(self) -> None:
        """Close all sockets."""
        threads.blockingCallFromThread(reactor, self._close)

    def _close(self) -> None:
        self.target.close()
        if self.listening is not None:
            self.listening.stopListening()


@given("an upstream of the platform that {behaviour}")
def step_platform_upstream(context: Any, behaviour: str) -> None:
    context.live = threads.blockingCallFromThread(reactor, TargetWithUpstream, behaviour, True)


@given("an upstream that {behaviour}")
def step_upstream(context: Any, behaviour: str) -> None:
    context.live = threads.blockingCallFromThread(reactor, TargetWithUpstream, behaviour)


@when("{count:d} calls that {may} run again are run one after another")
def step_send_calls(context: Any, count: int, may: str) -> None:
    fixture = context.live
    context.outcomes = []
    for _ in range(count):
        call = make_call(fixture.clock, rule={"idempotent": may == "may"})
        call.head.headers.append((b"x-foxtailproxy-attempt-id", call.attempt_id.encode()))
        outcome = threads.blockingCallFromThread(
            reactor, lambda call=call: ensureDeferred(fixture.target.run(call))
        )
        context.outcomes.append("answered" if outcome.is_ok() else str(outcome.error.reason))
        if outcome.is_ok():
            context.answer_matches = getattr(context, "answer_matches", [])
            context.answer_matches.append(outcome.ok.body.buffered() == call.attempt_id.encode())


@then("each got the answer to its own request")
def step_answers_match(context: Any) -> None:
    assert all(context.answer_matches), context.answer_matches


@then("they end as {outcomes}")
def step_outcomes(context: Any, outcomes: str) -> None:
    assert " ".join(context.outcomes) == outcomes, context.outcomes


@then("the upstream opened {count:d} connections")
def step_connections_opened(context: Any, count: int) -> None:
    assert context.live.factory.connections == count, context.live.factory.connections


@when("{count:d} calls that {may} run again have a deadline of {ms:d} ms, and {after:d} ms pass")
def step_calls_with_deadline(context: Any, count: int, may: str, ms: int, after: int) -> None:
    fixture = context.live

    def run_calls() -> None:
        for _ in range(count):
            call = make_call(fixture.clock, ms, rule={"idempotent": may == "may"})
            ensureDeferred(fixture.target.run(call))

    threads.blockingCallFromThread(reactor, run_calls)
    time.sleep(after / 1000)


@then("{count:d} slots are in use")
def step_slots_taken(context: Any, count: int) -> None:
    load = threads.blockingCallFromThread(reactor, context.live.target.load)
    assert load.running == count, load
