"""Steps for the upstream beside a node."""

from __future__ import annotations

import time
from typing import Any

from behave import given, then, when
from twisted.internet import reactor, threads
from twisted.internet.defer import ensureDeferred
from twisted.internet.protocol import Factory, Protocol

from foxtailproxy.clock import Clock
from foxtailproxy.dialect import Dialect, OwnDialect
from foxtailproxy.models.messages import Announcement
from foxtailproxy.models.settings import UpstreamSection
from foxtailproxy.platform.dialect import PlatformDialect
from foxtailproxy.target import Target
from foxtailproxy.tests.fakes import QuietListener, make_call
from standins.fleet import free_ports

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nfoxtail-outcome: not-run; reason=busy\r\ncontent-length: 2\r\n\r\nno"
)


OVERDUE_MS = 100
REUSE_IDLE_MS = 1000

HEALTHY = (
    b"HTTP/1.1 200 OK\r\nx-foxtailproxy-instance-id: i-1\r\n"
    b"x-foxtailproxy-backend-load: 0,0,2,100\r\ncontent-length: 0\r\n\r\n"
)


class FakeUpstream(Protocol):
    """Answers each request; by habit it cuts a connection that is used again."""

    transport: Any = None

    def __init__(self) -> None:
        self.requests = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Count the connection."""
        self.factory.connections += 1

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a request, which fits in one packet."""
        self.requests += 1
        if "never answers" in self.factory.habit:
            return
        if self.requests > 1 and "cuts" in self.factory.habit:
            self.transport.abortConnection()
        else:
            self.transport.write(REFUSAL if "refuses" in self.factory.habit else ANSWER)


class FakePlatformUpstream(FakeUpstream):
    """Echoes the attempt id; by habit it sends something else before the right answer."""

    def __init__(self) -> None:
        super().__init__()
        self.earlier = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a request, which fits in one packet."""
        attempt = data.partition(b"attempt-id: ")[2].partition(b"\r\n")[0]
        answer = b"HTTP/1.1 200 OK\r\nx-foxtailproxy-attempt-id: %s\r\n" % attempt
        answer += b"content-length: %d\r\n\r\n%s" % (len(attempt), attempt)
        first = b""
        if self.earlier and "again" in self.factory.habit:
            first = self.earlier
        elif self.earlier and "late" in self.factory.habit:
            first = HEALTHY
        self.earlier = answer
        self.transport.write(first + answer)


class OneTarget:
    """A target and its upstream."""

    def __init__(self, habit: str, platform: bool = False) -> None:
        loop: Any = reactor
        kind = FakePlatformUpstream if platform else FakeUpstream
        self.factory: Any = Factory.forProtocol(kind)
        self.factory.noisy = False
        self.factory.habit = habit
        self.factory.connections = 0
        port = free_ports(1)[0]
        self.listening = None
        if habit != "does not listen":
            self.listening = loop.listenTCP(port, self.factory, interface="127.0.0.1")
        self.clock = Clock(loop)
        settings = UpstreamSection(overdue_ms=OVERDUE_MS)
        dialect: Dialect = OwnDialect()
        if platform:
            settings = UpstreamSection(overdue_ms=OVERDUE_MS, reuse_idle_ms=REUSE_IDLE_MS)
            dialect = PlatformDialect(lambda: "kalender")
        self.target = Target(self.clock, loop, QuietListener(), dialect, settings)
        self.target.announce(Announcement("kalender", "127.0.0.1", port, 2))

    def close(self) -> None:
        """Close all sockets."""
        threads.blockingCallFromThread(reactor, self._close)

    def _close(self) -> None:
        self.target.close()
        if self.listening is not None:
            self.listening.stopListening()


@given("an upstream of the platform that {habit}")
def step_platform_upstream(context: Any, habit: str) -> None:
    context.live = threads.blockingCallFromThread(reactor, OneTarget, habit, True)


@given("an upstream that {habit}")
def step_upstream(context: Any, habit: str) -> None:
    context.live = threads.blockingCallFromThread(reactor, OneTarget, habit)


@when("{count:d} calls that {may} run again are sent one after another")
def step_calls(context: Any, count: int, may: str) -> None:
    one = context.live
    context.ends = []
    for _ in range(count):
        call = make_call(one.clock, rule={"idempotent": may == "may"})
        call.head.headers.append((b"x-foxtailproxy-attempt-id", call.attempt_id.encode()))
        outcome = threads.blockingCallFromThread(
            reactor, lambda call=call: ensureDeferred(one.target.run(call))
        )
        context.ends.append("answered" if outcome.is_ok() else str(outcome.error.reason))
        if outcome.is_ok():
            context.own = getattr(context, "own", [])
            context.own.append(outcome.ok.body.buffered() == call.attempt_id.encode())


@then("each got its own answer")
def step_own_answers(context: Any) -> None:
    assert all(context.own), context.own


@then("they end as {outcomes}")
def step_outcomes(context: Any, outcomes: str) -> None:
    assert " ".join(context.ends) == outcomes, context.ends


@then("the upstream opened {count:d} connections")
def step_opened(context: Any, count: int) -> None:
    assert context.live.factory.connections == count, context.live.factory.connections


@when("{count:d} calls that {may} run again have {ms:d} ms, and {after:d} ms pass")
def step_short_calls(context: Any, count: int, may: str, ms: int, after: int) -> None:
    one = context.live

    def send() -> None:
        for _ in range(count):
            call = make_call(one.clock, ms, rule={"idempotent": may == "may"})
            ensureDeferred(one.target.run(call))

    threads.blockingCallFromThread(reactor, send)
    time.sleep(after / 1000)


@then("{count:d} slots are taken")
def step_slots_taken(context: Any, count: int) -> None:
    load = threads.blockingCallFromThread(reactor, context.live.target.load)
    assert load.running == count, load
