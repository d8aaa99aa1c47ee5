"""Steps for exchanges that have ended, and the next one on their connection."""

from __future__ import annotations

import zlib
from typing import Any

import msgspec
from behave import given, then, when
from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from foxtailproxy.call import Call
from foxtailproxy.http.body import DiscardSink
from foxtailproxy.load import Load
from foxtailproxy.models.messages import Announcement, ConfigObject
from foxtailproxy.peer_client import FETCH_TIMEOUT_MS
from foxtailproxy.tests.fakes import LIMITS, advance
from foxtailproxy.tests.memory_peer import MemoryPeer
from foxtailproxy.tests.memory_upstream import DEADLINE_MS, MemoryUpstream
from foxtailproxy.tests.upstream_fakes import HEALTH_ANSWER
from foxtailproxy.wire import LOAD_HEADER

UPSTREAM = Announcement("kalender", "127.0.0.1", 80, 2, instance="i-1", born_ms=100)
HEALTH_CHECK_MS = 1000
BEFORE_LIMIT_MS = 100
"""Time from the next call to the time limit of the exchange before it, in milliseconds."""

LARGE_BYTES = 4 * LIMITS.replay_bytes
LOAD = Load(0, 0, 4, 10.0).to_header()


def _response(header: tuple[bytes, bytes], body: bytes, status: bytes = b"200 OK") -> bytes:
    framing = b"" if status.startswith(b"204") else b"content-length: %d\r\n" % len(body)
    return b"HTTP/1.1 %s\r\n%s: %s\r\n%s\r\n%s" % (status, *header, framing, body)


class UpstreamExchanges:
    """Exchanges of a target with its upstream."""

    def __init__(self) -> None:
        self.upstream = MemoryUpstream()
        self.upstream.target.receive_announcement(UPSTREAM)
        self.clock = self.upstream.clock
        self.limit_ms = float(DEADLINE_MS)
        self.earlier_outcomes: list[Any] = []

    @property
    def transports(self) -> list[Any]:
        """Transports of the connections to the server."""
        return self.upstream.transports

    def receive(self, data: bytes) -> None:
        """Receive bytes on the latest connection."""
        self.upstream.protocols[-1].dataReceived(data)

    def run_earlier(self, exchange: str) -> None:
        """Run an exchange to its end."""
        if exchange == "a health check":
            self.limit_ms = HEALTH_CHECK_MS
            target = self.upstream.target
            checks: list[Any] = []
            check: Any = ensureDeferred(target.health_check.check(target._pool))
            check.addCallback(checks.append)
            self.upstream.accept()
            self.receive(HEALTH_ANSWER)
            assert checks[0].instance == "i-1", checks
            return
        self.earlier_outcomes = self.send("earlier")
        without_body = "without a body" in exchange
        header = (b"x-foxtailproxy-attempt-id", b"earlier")
        status = b"204 No Content" if without_body else b"200 OK"
        answer = _response(header, b"" if without_body else b"answer", status)
        parts = [answer[:-3], answer[-3:]] if "in parts" in exchange else [answer]
        for part in parts:
            self.receive(part)

    def send(self, attempt_id: str) -> list[Any]:
        """Send a call; return a list that receives its outcome."""
        outcomes = self.upstream.run(attempt_id, idempotent=True)
        self.upstream.accept()
        return outcomes

    def send_next(self) -> list[Any]:
        """Send the next call; return a list that receives its outcome."""
        return self.send("next")

    def answer_next(self) -> None:
        """Answer the next call."""
        self.receive(_response((b"x-foxtailproxy-attempt-id", b"next"), b"next"))

    def cancel_earlier(self) -> None:
        """Cancel the earlier call."""
        self.upstream.target.cancel("earlier")


class PeerExchanges:
    """Exchanges of a node with a peer."""

    def __init__(self) -> None:
        self.peer = MemoryPeer()
        self.clock = self.peer.clock
        self.limit_ms = float(LIMITS.silence_ms)
        self.earlier_outcomes: list[Any] = []
        self.earlier_call: Call | None = None

    @property
    def transports(self) -> list[Any]:
        """Transports of the connections to the server."""
        return self.peer.transports

    def receive(self, data: bytes) -> None:
        """Receive bytes on the latest connection."""
        self.peer.protocols[-1].dataReceived(data)

    def run_earlier(self, exchange: str) -> None:
        """Run an exchange to its end."""
        if exchange == "a configuration":
            self._fetch_config()
            return
        self.earlier_outcomes = self.send_next()
        self.earlier_call = self.peer.call
        if exchange == "a call that was queried":
            self.peer.protocols[-1].connectionLost(Failure(ConnectionLost()))
            self.peer.accept()
        is_large = exchange == "a call with a large answer"
        answer = _response((LOAD_HEADER, LOAD), b"x" * (LARGE_BYTES if is_large else 6))
        if is_large:
            self.receive(answer[:-3])
            self.earlier_outcomes[0].ok.body.attach(DiscardSink())
            self.receive(answer[-3:])
            return
        parts = [answer[:-3], answer[-3:]] if "in parts" in exchange else [answer]
        for part in parts:
            self.receive(part)

    def _fetch_config(self) -> None:
        self.limit_ms = FETCH_TIMEOUT_MS
        fetched: list[Any] = []
        fetch: Any = ensureDeferred(self.peer.client.fetch_config(self.peer.member))
        fetch.addCallback(fetched.append)
        self.peer.accept()
        config = msgspec.json.encode(ConfigObject(1, "", "", ""))
        self.receive(_response((LOAD_HEADER, LOAD), zlib.compress(config)))
        assert fetched[0] is not None

    def send_next(self) -> list[Any]:
        """Send the next call; return a list that receives its outcome."""
        self.peer.outcomes = []
        self.peer.send(True, DEADLINE_MS)
        self.peer.accept()
        return self.peer.outcomes

    def answer_next(self) -> None:
        """Answer the next call."""
        self.receive(_response((LOAD_HEADER, LOAD), b"next"))

    def cancel_earlier(self) -> None:
        """Cancel the earlier call."""
        assert self.earlier_call is not None
        self.peer.client.cancel(self.earlier_call.send_id)

    def withdraw_earlier(self) -> None:
        """Withdraw the earlier call."""
        assert self.earlier_call is not None
        self.peer.client.withdraw(self.earlier_call.send_id)


@given("an ended exchange: {exchange} at {server}")
def step_ended_exchange(context: Any, exchange: str, server: str) -> None:
    context.exchanges = UpstreamExchanges() if server == "an upstream" else PeerExchanges()
    context.exchanges.run_earlier(exchange)


@when("the next call is sent on its connection")
def step_send_next(context: Any) -> None:
    exchanges = context.exchanges
    advance(exchanges.clock, exchanges.limit_ms - BEFORE_LIMIT_MS)
    connection_count = len(exchanges.transports)
    context.next_outcomes = exchanges.send_next()
    assert len(exchanges.transports) == connection_count


@when("the earlier call is cancelled")
def step_cancel_earlier(context: Any) -> None:
    context.exchanges.cancel_earlier()


@when("the earlier call is withdrawn")
def step_withdraw_earlier(context: Any) -> None:
    context.exchanges.withdraw_earlier()


@when("the earlier time limit passes")
def step_limit_passes(context: Any) -> None:
    advance(context.exchanges.clock, 3 * BEFORE_LIMIT_MS)


@when("the earlier body is cancelled")
def step_cancel_earlier_body(context: Any) -> None:
    context.exchanges.earlier_outcomes[0].ok.body.cancel()


@when("the earlier body is paused")
def step_pause_earlier_body(context: Any) -> None:
    context.exchanges.earlier_outcomes[0].ok.body.pause()


@then("the next call is answered")
def step_next_answered(context: Any) -> None:
    exchanges = context.exchanges
    transport = exchanges.transports[-1]
    assert (transport.close_kind, transport.producerState) == ("", "producing")
    exchanges.answer_next()
    body = context.next_outcomes[0].ok.body
    assert (body.ended, body.buffered()) == (True, b"next"), body.buffered()
