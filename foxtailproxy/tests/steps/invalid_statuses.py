"""Steps for answers whose status is none, on an in-memory reactor."""

from __future__ import annotations

from typing import Any

from behave import then, when
from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from foxtailproxy.http.pool import ConnectionPool
from foxtailproxy.load import Load
from foxtailproxy.models.messages import Announcement
from foxtailproxy.outcome import NotRun
from foxtailproxy.tests.memory_peer import MemoryPeer
from foxtailproxy.tests.memory_upstream import MemoryUpstream
from foxtailproxy.wire import LOAD_HEADER

LEFT_MS = 5000
ATTEMPT = "attempt-1"
FRAMED_BODIES = {
    "length": b"content-length: 2\r\n\r\nhi",
    "chunks": b"transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    "close": b"\r\nhi",
}
CLOSES = "close"
INTERIM_STATUSES = ("102", "199")
VALID = ("200", "599")


def _headers(server: str) -> bytes:
    if server == "another node":
        return b"%s: %s\r\n" % (LOAD_HEADER, Load(0, 0, 4, 10.0).to_header())
    return b"x-foxtailproxy-attempt-id: %s\r\n" % ATTEMPT.encode()


def _send(server: str) -> tuple[Any, list[Any]]:
    """Send a call to a server and return the server with the list that receives the outcome."""
    if server == "another node":
        peer = MemoryPeer()
        peer.send(False, LEFT_MS)
        peer.accept()
        return peer, peer.outcomes
    upstream = MemoryUpstream()
    upstream.target.receive_announcement(
        Announcement("kalender", "127.0.0.1", 80, 1, instance="i-1", born_ms=100)
    )
    outcomes = upstream.run(ATTEMPT)
    upstream.accept()
    return upstream, outcomes


def _describe(outcomes: list[Any]) -> str:
    if not outcomes:
        return "nothing yet"
    outcome = outcomes[0]
    if outcome.is_ok():
        return "answered"
    kind = "not-run" if isinstance(outcome.error, NotRun) else "unknown"
    return f"{kind} {outcome.error.reason}"


def _answer(server: str, status: str, framing: str, before: bytes = b"") -> tuple[str, str]:
    """Answer a call; return its outcome, and how its connection was closed before its end."""
    fake, outcomes = _send(server)
    protocol = fake.protocols[-1]
    head = b"HTTP/1.1 %s X\r\n" % status.encode() + _headers(server)
    protocol.dataReceived(before + head + FRAMED_BODIES[framing])
    close_kind = fake.transports[-1].close_kind
    if framing == CLOSES and not close_kind:
        protocol.connectionLost(Failure(ConnectionDone()))
    return _describe(outcomes), close_kind


@when("{server} answers a call with status {status} and a body")
def step_answer(context: Any, server: str, status: str) -> None:
    # An interim response ends with its head unless it declares a body: other bytes are malformed.
    # A body of another node that ends with its connection is not complete, and its end is queried.
    not_to_close = status in INTERIM_STATUSES or (server == "another node" and status in VALID)
    framings = [framing for framing in FRAMED_BODIES if not (not_to_close and framing == CLOSES)]
    context.seen = {framing: _answer(server, status, framing) for framing in framings}


@when("{server} answers a call with status 200 after the interim status {status}")
def step_interim(context: Any, server: str, status: str) -> None:
    interim = b"HTTP/1.1 %s X\r\n\r\n" % status.encode()
    context.seen = {"length": _answer(server, "200", "length", interim)}


@then("the call ends at once as {outcome}, each time, and the connection is {state}")
def step_outcome(context: Any, outcome: str, state: str) -> None:
    for framing, (seen, close_kind) in context.seen.items():
        assert seen == outcome, context.seen
        aborted = state == "aborted" and outcome != "answered"
        assert close_kind == ("cut" if aborted else ""), (framing, context.seen)


@when("a health check is answered with status {status} and a body")
def step_health(context: Any, status: str) -> None:
    context.results = {}
    for framing, body in FRAMED_BODIES.items():
        if framing == CLOSES and status in INTERIM_STATUSES:
            continue
        upstream = MemoryUpstream()
        pool = ConnectionPool(upstream.reactor, "127.0.0.1", 80)
        results: list[Any] = []
        check = ensureDeferred(upstream.target.health_check.check(pool))
        check.addCallback(results.append)
        upstream.accept()
        head = b"HTTP/1.1 %s X\r\nx-foxtailproxy-instance-id: i-1\r\n" % status.encode()
        upstream.protocols[-1].dataReceived(head + body)
        context.results[framing] = results


@then("it ends at once, each time, and the upstream does not count as healthy")
def step_unhealthy(context: Any) -> None:
    assert all(results == [None] for results in context.results.values()), context.results
