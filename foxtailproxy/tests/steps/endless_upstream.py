"""Steps for upstreams that send bytes without end."""

from __future__ import annotations

import time
from typing import Any

from behave import given, then, when
from twisted.internet import reactor, threads
from twisted.internet.defer import Deferred, ensureDeferred

from foxtailproxy.http.errors import HttpError
from foxtailproxy.http.pool import ConnectionPool
from foxtailproxy.outcome import Outcome
from foxtailproxy.tests.fakes import make_call
from foxtailproxy.tests.upstream_fakes import EndlessUpstream, TargetWithUpstream

MS_PER_SECOND = 1000
MB = 1024 * 1024

CLOSE_TIMEOUT_S = 1.5
"""Time in which a connection is closed after the call, or after the health check has begun."""


class ReadingSink:
    """Sink that reads an answer to its end."""

    def __init__(self) -> None:
        self.done: Deferred[str] = Deferred()

    def body_data(self, data: bytes) -> None:
        """Discard the bytes."""

    def body_end(self) -> None:
        """Report a complete answer."""
        self.done.callback("answered")

    def body_failed(self, error: HttpError) -> None:
        """Report an answer that was cut."""
        self.done.callback("cut")


@given("an upstream of the platform that sends {what} without end")
def step_endless_upstream(context: Any, what: str) -> None:
    context.live = threads.blockingCallFromThread(
        reactor, TargetWithUpstream, what, True, EndlessUpstream
    )


async def _run(context: Any, deadline_ms: float, idempotent: bool, read: bool) -> str:
    fixture = context.live
    call = make_call(fixture.clock, deadline_ms, rule={"idempotent": idempotent})
    outcome: Outcome = await ensureDeferred(fixture.target.run(call))
    if outcome.is_error():
        return str(outcome.error.reason)
    if not read:
        return "not read"
    sink = ReadingSink()
    outcome.ok.body.attach(sink)
    return await sink.done


@when("a call that {may} run again has a deadline of {ms:d} ms and its answer {is_read} read")
def step_run_call(context: Any, may: str, ms: int, is_read: str) -> None:
    started_s = time.monotonic()
    context.outcome = threads.blockingCallFromThread(
        reactor, lambda: ensureDeferred(_run(context, ms, may == "may", is_read == "is"))
    )
    context.elapsed_ms = (time.monotonic() - started_s) * MS_PER_SECOND


@when("its health is checked")
def step_check_health(context: Any) -> None:
    health_check = context.live.target.health_check
    port = context.live.target.announcement.port
    threads.blockingCallFromThread(
        reactor,
        lambda: ensureDeferred(health_check.check(ConnectionPool(reactor, "127.0.0.1", port))),
    )


@then("it ended as {outcome} within {ms:d} ms")
def step_outcome(context: Any, outcome: str, ms: int) -> None:
    assert context.outcome == outcome, context.outcome
    assert context.elapsed_ms <= ms, context.elapsed_ms


@then("the node closed the connection")
def step_connection_closed(context: Any) -> None:
    deadline_s = time.monotonic() + CLOSE_TIMEOUT_S
    while context.live.factory.open_connections and time.monotonic() < deadline_s:
        time.sleep(0.01)
    assert not context.live.factory.open_connections


@then("the node read at most {limit:d} MB and closed the connection")
def step_read_at_most(context: Any, limit: int) -> None:
    step_connection_closed(context)
    # What the sockets hold between the two is counted as well.
    assert context.live.factory.sent_bytes <= limit * MB, context.live.factory.sent_bytes
