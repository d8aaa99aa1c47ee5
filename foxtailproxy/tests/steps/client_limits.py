"""Steps for the limits of all clients together, on in-memory transports."""

from __future__ import annotations

import re
from functools import partial
from typing import Any

from behave import given, then, when

from foxtailproxy.clock import Clock
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.client_bounds import ClientBounds
from foxtailproxy.http.connection_limit import ConnectionLimit
from foxtailproxy.http.errors import HttpError
from foxtailproxy.http.exchange import ServerExchange
from foxtailproxy.http.memory import MemoryAccount
from foxtailproxy.http.messages import ResponseHead
from foxtailproxy.http.server import ServerFactory, ServerLimits
from foxtailproxy.tests.fakes import advance, fake_clock
from foxtailproxy.tests.http_sessions import RecordingTransport

LIMIT_BYTES = 1000
MAX_CLIENTS = 2
PAGE_LIMITS = ServerLimits(65_536, 67_108_864, 3000, 15_000)
HOST = b"Host: h\r\n"
CHUNKED = b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
TEN_BYTES = b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 10\r\n\r\n"
RUNNING = b"GET /running HTTP/1.1\r\n" + HOST + b"\r\n"


def _request_with_lines(line: bytes, count: int) -> bytes:
    return b"GET / HTTP/1.1\r\n" + HOST + line * count + b"\r\n"


REQUESTS: dict[str, list[bytes | int]] = {
    "4,000 header lines of 4 bytes": [_request_with_lines(b"a:\r\n", 4000)],
    "800 header lines of 20 bytes": [_request_with_lines(b"x-name-abc: 123456\r\n", 800)],
    "9,000 header lines of 4 bytes": [_request_with_lines(b"a:\r\n", 9000)],
    "a body in chunks of 1 byte": [CHUNKED, b"1\r\n.\r\n" * 1000, b"0\r\n\r\n"],
    "a body with a byte each 14 s": [TEN_BYTES, *[14_000, b"."] * 10],
    "half a body and nothing for 16 s": [TEN_BYTES, b".....", 16_000],
    "a body that waits for a request before it": [
        RUNNING + TEN_BYTES.replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n"),
        16_000,
    ],
    "half a body, and gets an answer in parts": [
        TEN_BYTES.replace(b"/ ", b"/parts ", 1) + b".....",
        20_000,
    ],
    "a body and a trailer without an end": [CHUNKED, b"1\r\n.\r\n0\r\na: ", *[b"." * 40_000] * 2],
}
"""What a client sends, with the milliseconds that it waits."""


class Holder:
    """Holder of memory that records whether it is shed."""

    is_shed = False

    def shed(self) -> None:
        """Record the call."""
        self.is_shed = True


@when("clients hold {held} bytes")
def step_hold(context: Any, held: str) -> None:
    context.account = MemoryAccount(LIMIT_BYTES)
    context.holders = []
    for size in map(int, held.split()):
        context.holders.append(Holder())
        context.account.charge(context.holders[-1], size)


@then("the clients {closed} are closed and the others hold {left:d} bytes")
def step_shed(context: Any, closed: str, left: int) -> None:
    shed = [str(number) for number, holder in enumerate(context.holders, 1) if holder.is_shed]
    assert (" ".join(shed) or "none", context.account.total_bytes) == (closed, left), shed
    assert context.account.shed_count == len(shed)


async def _serve(clock: Clock, exchange: ServerExchange) -> None:
    if exchange.head.target == b"/running":
        return
    if exchange.head.target == b"/parts":
        # An upstream may answer before it has the whole body.
        body = BodyStream(None)
        exchange.respond(ResponseHead(200, b"OK"), body)
        body.feed(b"first")
        await clock.sleep(18_000)
        body.feed(b"last")
        body.end()
        return
    try:
        await exchange.body.buffer(PAGE_LIMITS.body_bytes)
    except HttpError:
        return
    exchange.respond(ResponseHead(200, b"OK"), BodyStream.from_bytes(b"ok"))


@given("a server whose clients are limited")
def step_server(context: Any) -> None:
    context.clock = fake_clock()
    context.bounds = ClientBounds(MemoryAccount(4_000_000), ConnectionLimit(MAX_CLIENTS))
    context.factory = ServerFactory(
        partial(_serve, context.clock), PAGE_LIMITS, context.clock, bounds=context.bounds
    )


def _connect(context: Any) -> Any:
    connection = context.factory.buildProtocol(None)
    if connection is not None:
        connection.makeConnection(RecordingTransport())
    return connection


@when("the limited client sends {request}")
def step_send(context: Any, request: str) -> None:
    connection = _connect(context)
    context.transport = connection.transport
    for part in REQUESTS[request]:
        if isinstance(part, int):
            advance(context.clock, part, 50.0)
        else:
            connection.dataReceived(part)


@then("the limited client reads status {status}")
def step_status(context: Any, status: str) -> None:
    assert re.findall(r"HTTP/1.1 (\d+) ", context.transport.value().decode()) == [status]
    assert context.bounds.memory.total_bytes < 20_000, context.bounds.memory.total_bytes


@then("the limited client reads nothing")
def step_still_waits(context: Any) -> None:
    assert (context.transport.value(), context.transport.close_kind) == (b"", "")


@then("the limited client reads all parts")
def step_parts(context: Any) -> None:
    assert context.transport.value().endswith(b"first\r\n4\r\nlast\r\n0\r\n\r\n")


@then("the limited client is disconnected")
def step_disconnected(context: Any) -> None:
    assert (context.transport.value(), context.transport.close_kind) == (b"", "cut")


@when("the first client {first}, the second {second}, and a third one connects")
def step_three_clients(context: Any, first: str, second: str) -> None:
    sent = {
        "is silent": b"",
        "has a request that runs": RUNNING,
        "has sent half a body": TEN_BYTES + b".....",
    }
    context.connections = []
    for state in (first, second, "is silent"):
        connection = _connect(context)
        context.connections.append(connection)
        if sent[state]:
            connection.dataReceived(sent[state])


@then("of the three, just the {position} is closed")
def step_one_closed(context: Any, position: str) -> None:
    closed = [
        name
        for name, connection in zip(("first", "second", "third"), context.connections, strict=True)
        if connection is None or connection.transport.close_kind
    ]
    assert closed == [position], closed
    assert len(context.bounds.connections) == MAX_CLIENTS
