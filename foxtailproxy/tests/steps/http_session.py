"""Steps for HTTP sessions with callers."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionLost
from twisted.internet.tcp import Server
from twisted.python.failure import Failure

from foxtailproxy.clock import Clock
from foxtailproxy.http import messages
from foxtailproxy.http.body import BodyStream, DiscardSink
from foxtailproxy.http.errors import BodyTruncated
from foxtailproxy.http.exchange import ServerExchange
from foxtailproxy.http.memory import EXCHANGE_BYTES
from foxtailproxy.http.messages import ResponseHead
from foxtailproxy.http.server import PIPELINE_LIMIT, ServerFactory, ServerLimits
from foxtailproxy.tests.fakes import advance, fake_clock
from foxtailproxy.tests.golden import check_golden
from foxtailproxy.tests.http_sessions import (
    HOST_HEADER,
    INVALID_REQUESTS,
    SERVER_LIMITS,
    RecordingTransport,
    play_session,
)
from foxtailproxy.tests.server_links import HandReactor, MemoryLink


@when("a client runs the session {name}")
def step_play_session(context: Any, name: str) -> None:
    context.session = play_session(name)


@then("the transcript matches the golden file {name}")
def step_session_matches_golden(context: Any, name: str) -> None:
    check_golden(f"http-{name}", context.session)


@given("a connection with the pipelined requests 1, 2 and 3 that {may} overlap")
def step_pipelined_requests(context: Any, may: str) -> None:
    context.clock = fake_clock()
    context.served = {}

    async def handle(exchange: ServerExchange) -> None:
        context.served[exchange.head.target[1:].decode()] = exchange

    factory = ServerFactory(handle, SERVER_LIMITS, context.clock, lambda head: may == "may")
    context.connection = factory.buildProtocol(None)
    context.transport = RecordingTransport()
    context.connection.makeConnection(context.transport)
    requests = (b"GET /%d HTTP/1.1\r\n%s\r\n" % (number, HOST_HEADER) for number in (1, 2, 3))
    context.connection.dataReceived(b"".join(requests))


@when("the connection {state} and the responses {names} are ready")
def step_send_responses(context: Any, state: str, names: str) -> None:
    if state == "is to close":
        context.connection.close_when_idle()
    advance(context.clock, 5)
    for name in names.split() if names != "-" else ():
        body = BodyStream.from_bytes(f"<{name}>".encode())
        context.served[name].respond(ResponseHead(200, b"OK"), body)
        advance(context.clock, 2)


@then("the handler has received the requests {names}")
def step_requests_served(context: Any, names: str) -> None:
    assert " ".join(context.served) == names, list(context.served)


@then("the client has received {expected}")
def step_client_received(context: Any, expected: str) -> None:
    received = re.findall(r"<(\d)>", context.transport.value().decode())
    received += ["close"] if context.transport.close_kind == "closed" else []
    assert (" ".join(received) or "nothing") == expected, (received, context.transport.value())


@given("a connection with a response that has begun")
def step_response_begun(context: Any) -> None:
    context.clock = fake_clock()
    context.body = BodyStream(4)

    async def handle(exchange: ServerExchange) -> None:
        is_first = exchange.head.target == b"/first"
        body = context.body if is_first else BodyStream.from_bytes(b"next")
        exchange.respond(ResponseHead(200, b"OK"), body)

    context.factory = ServerFactory(handle, SERVER_LIMITS, context.clock)
    context.connection = context.factory.buildProtocol(None)
    context.transport = RecordingTransport()
    context.connection.makeConnection(context.transport)
    context.connection.dataReceived(b"GET /first HTTP/1.1\r\n%s\r\n" % HOST_HEADER)


@when("the node is to stop and the response ends")
def step_stop_and_end(context: Any) -> None:
    assert b"connection: close" not in context.transport.value()
    context.factory.close_after_responses()
    context.body.feed(b"done")
    context.body.end()
    advance(context.clock, 5)


@then("the connection stays open")
def step_stays_open(context: Any) -> None:
    assert not context.transport.close_kind, context.transport.close_kind


@then("the next response says that the connection closes, and it does")
def step_next_response_closes(context: Any) -> None:
    context.transport.clear()
    context.connection.dataReceived(b"GET /next HTTP/1.1\r\n%s\r\n" % HOST_HEADER)
    advance(context.clock, 5)
    assert b"connection: close" in context.transport.value(), context.transport.value()
    assert context.transport.close_kind == "closed", context.transport.close_kind


INVALID_HEAD_REQUESTS = {
    "a head that stops half-way": b"Host: kal",
    "a head that is too large": HOST_HEADER + b"X-Long: " + b"x" * 600,
    "too many headers": HOST_HEADER + b"A:\r\n" * 12 + b"\r\n",
    "a head that takes too much memory": HOST_HEADER + b"X-Long: " + b"x" * 400 + b"\r\n\r\n",
    "a header without a name": b":\r\n\r\n",
    "no host": b"\r\n",
    "a body that is too large": HOST_HEADER + b"Content-Length: 65\r\n\r\n",
    "a protocol to change to": HOST_HEADER + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
    "a chunk of no size": HOST_HEADER + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
}


@given("a connection with a request that runs, and a HEAD request with {fault} behind it")
def step_invalid_head_request_behind(context: Any, fault: str) -> None:
    context.clock = fake_clock()
    context.served = {}

    async def handle(exchange: ServerExchange) -> None:
        context.served[exchange.head.target] = exchange

    memory_bytes = EXCHANGE_BYTES + 700 if "memory" in fault else SERVER_LIMITS.request_memory_bytes
    limits = replace(SERVER_LIMITS, header_lines=10, request_memory_bytes=memory_bytes)
    _open_connection(context, handle, limits)
    context.connection.dataReceived(b"POST /booking HTTP/1.1\r\n%s\r\n" % HOST_HEADER)
    context.connection.dataReceived(b"HEAD / HTTP/1.1\r\n" + INVALID_HEAD_REQUESTS[fault])


@then("the rejection has no body")
def step_no_body(context: Any) -> None:
    received = context.transport.value()
    assert received.endswith(b"\r\nconnection: close\r\n\r\n"), received


@given("a connection with a request that runs, and {fault} behind it")
def step_invalid_request_behind(context: Any, fault: str) -> None:
    context.clock = fake_clock()
    context.served = {}

    async def handle(exchange: ServerExchange) -> None:
        context.served[exchange.head.target] = exchange

    _open_connection(context, handle)
    context.connection.dataReceived(b"POST /booking HTTP/1.1\r\n%s\r\n" % HOST_HEADER)
    context.connection.dataReceived(INVALID_REQUESTS[fault])


def _open_connection(
    context: Any,
    handle: Any,
    limits: ServerLimits = SERVER_LIMITS,
    may_overlap: Callable[[messages.RequestHead], bool] = lambda head: False,
) -> None:
    context.factory = ServerFactory(handle, limits, context.clock, may_overlap)
    context.connection = context.factory.buildProtocol(None)
    context.transport = RecordingTransport()
    context.connection.makeConnection(context.transport)


@when("the running request is answered after {ms:d} ms")
def step_answer_running(context: Any, ms: int) -> None:
    advance(context.clock, ms)
    assert (
        not context.transport.value() and not context.transport.close_kind
    ), context.transport.value()
    body = BodyStream.from_bytes(b"booked")
    context.served[b"/booking"].respond(ResponseHead(200, b"OK"), body)
    advance(context.clock, 5)


@when("the client sends bytes that are no request")
def step_send_invalid(context: Any) -> None:
    context.connection.dataReceived(INVALID_REQUESTS["bytes that are no request"])


@then("the client reads the statuses {statuses} and the connection {state}")
def step_received_statuses(context: Any, statuses: str, state: str) -> None:
    received = re.findall(r"HTTP/1.1 (\d+) ", context.transport.value().decode())
    expected_kind = "closed" if state == "closes" else ""
    assert (" ".join(received), context.transport.close_kind) == (statuses, expected_kind), (
        context.transport.value(),
        context.transport.close_kind,
    )


@given("a request in chunks whose handler {state}")
def step_request_in_chunks(context: Any, state: str) -> None:
    context.clock = fake_clock()

    async def handle(exchange: ServerExchange) -> None:
        if state == "has begun to run it":
            exchange.on_aborted = lambda: None

    _open_connection(context, handle)
    context.connection.dataReceived(
        b"POST / HTTP/1.1\r\n" + HOST_HEADER + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    )


@when("a malformed chunk follows")
def step_malformed_chunk(context: Any) -> None:
    context.connection.dataReceived(b"xyz\r\n")


@then("the client is told that the outcome is {outcome}")
def step_told_outcome(context: Any, outcome: str) -> None:
    received = context.transport.value()
    assert b"HTTP/1.1 400 " in received and b"foxtail-outcome: %s;" % outcome.encode() in received
    assert b'"outcome":"%s"' % outcome.encode() in received, received
    assert context.transport.close_kind == "closed", context.transport.close_kind


@given("a connection that waits for {what}")
def step_connection_waits(context: Any, what: str) -> None:
    context.clock = fake_clock()

    async def handle(exchange: ServerExchange) -> None:
        exchange.respond(ResponseHead(200, b"OK"), BodyStream.from_bytes(b"done"))

    _open_connection(context, handle)
    if what == "the rest of a head":
        context.connection.dataReceived(b"GET /first HTTP/1.1\r\n")
        context.rest = HOST_HEADER + b"\r\n"
    else:
        context.connection.dataReceived(b"GET /first HTTP/1.1\r\n%s\r\n" % HOST_HEADER)
        context.transport.clear()
        context.rest = b"GET /next HTTP/1.1\r\n%s\r\n" % HOST_HEADER


@when("the process is suspended for {ms:d} ms and {what} arrives meanwhile")
def step_suspended(context: Any, ms: int, what: str) -> None:
    # The reactor runs the timers that have become due before it reads from its sockets.
    context.clock.source.advance(ms / 1000)
    context.connection.dataReceived(context.rest)


@given("a connection with nine requests that run, and the first part of a head behind them")
def step_nine_requests(context: Any) -> None:
    context.clock = fake_clock()
    context.exchanges = []

    async def handle(exchange: ServerExchange) -> None:
        context.exchanges.append(exchange)

    _open_connection(context, handle)
    request = b"GET /days HTTP/1.1\r\n%s\r\n" % HOST_HEADER
    context.connection.dataReceived(request * (PIPELINE_LIMIT + 1) + request[:20])
    context.rest = request[20:]


@when("no response is ready for {ms:d} ms")
def step_no_response(context: Any, ms: int) -> None:
    advance(context.clock, ms)
    assert not context.transport.close_kind, context.transport.close_kind


@when("all nine are answered, and the rest of the head arrives")
def step_answer_all(context: Any) -> None:
    for number in range(PIPELINE_LIMIT + 2):
        if number > PIPELINE_LIMIT:
            assert context.transport.producerState == "producing"
            context.connection.dataReceived(context.rest)
        body = BodyStream.from_bytes(b"done")
        context.exchanges[number].respond(ResponseHead(200, b"OK"), body)
        advance(context.clock, 5)


@then("the client reads ten statuses 200 and the connection stays open")
def step_ten_statuses(context: Any) -> None:
    step_received_statuses(context, " ".join(["200"] * 10), "stays open")


BODY_REQUEST = b"PUT / HTTP/1.1\r\n%sContent-Length: 600\r\n\r\n" % HOST_HEADER
BYTES_BEFORE_HEAD = {
    "nothing": b"",
    "a head of a body": BODY_REQUEST,
    "a body of 600 bytes": b"x" * 600,
    "a request with 600 bytes": BODY_REQUEST + b"x" * 600,
    "fourteen requests": b"GET /days HTTP/1.1\r\n%s\r\n" % HOST_HEADER * 14,
}
LONG_BODY_LIMITS = replace(SERVER_LIMITS, body_bytes=1000)


@given("a connection that has received {first}")
def step_received_first(context: Any, first: str) -> None:
    context.clock = fake_clock()

    async def handle(exchange: ServerExchange) -> None:
        exchange.respond(ResponseHead(200, b"OK"), BodyStream.from_bytes(b"done"))

    async def handle_body(exchange: ServerExchange) -> None:
        await exchange.body.buffer(LONG_BODY_LIMITS.body_bytes)
        await handle(exchange)

    _open_connection(context, handle_body, LONG_BODY_LIMITS)
    context.connection.dataReceived(BYTES_BEFORE_HEAD[first])


@when("one read has {second}, the first part of a head and then the rest of it")
def step_head_in_two_parts(context: Any, second: str) -> None:
    head = b"GET /next HTTP/1.1\r\n%s\r\n" % HOST_HEADER
    context.connection.dataReceived(BYTES_BEFORE_HEAD[second] + head[:20])
    advance(context.clock, 50)
    context.connection.dataReceived(head[20:])
    advance(context.clock, 50)


def _body_of_four_bytes(fault: str) -> BodyStream:
    """Return a body that declares four bytes, or none where it has no length."""
    body = BodyStream(None if "without a length" in fault else 4)
    if "longer" in fault:
        body.feed(b"body, and more")
    elif "shorter" in fault:
        body.feed(b"bo")
    else:
        body.feed(b"body")
    if "still arriving" not in fault:
        body.end()
    if "already read" in fault:
        body.attach(DiscardSink())
    return body


@given("a client that sends two requests, the first answered with a body that is {fault}")
def step_two_requests(context: Any, fault: str) -> None:
    context.clock = fake_clock()
    context.failures = []
    body = _body_of_four_bytes(fault)

    async def handle(exchange: ServerExchange) -> None:
        is_first = exchange.head.target == b"/first"
        exchange.on_response_failed = context.failures.append
        second = BodyStream.from_bytes(b"second")
        exchange.respond(ResponseHead(200, b"OK"), body if is_first else second)

    _open_connection(context, handle)
    for target in (b"/first", b"/second"):
        context.connection.dataReceived(b"GET %s HTTP/1.1\r\n%s\r\n" % (target, HOST_HEADER))
    if "still arriving" in fault:
        body.feed(b", and its end")
        body.end()
    advance(context.clock, 5)


@then("the first response is cut, and nothing follows it")
def step_cut_and_nothing_follows(context: Any) -> None:
    received = context.transport.value()
    assert context.transport.close_kind == "cut", context.transport.close_kind
    assert b"second" not in received and b"more" not in received, received
    assert not received.endswith((b"body", messages.LAST_CHUNK)), received
    assert len(context.failures) == 1, context.failures


@given("a client that sends a {method} request whose body of chunks is too large")
def step_too_large(context: Any, method: str) -> None:
    context.clock = fake_clock()

    async def handle(exchange: ServerExchange) -> None:
        """Wait for a body that does not come."""

    _open_connection(context, handle)
    request = INVALID_REQUESTS["a body of chunks that is too large"]
    context.connection.dataReceived(request.replace(b"PUT", method.encode()))
    advance(context.clock, 5)


@then("the client reads one response with status 413, and the end of the connection")
def step_closed_behind_rejection(context: Any) -> None:
    received = context.transport.value()
    assert received.count(b"HTTP/1.1 413 ") == 1, received
    assert context.transport.close_kind == "closed" and not context.connection.busy, received


@given("a connection whose HTTP/{version} client has read a part of a response {framing}")
def step_part_of_response(context: Any, version: str, framing: str) -> None:
    reactor = HandReactor()
    body = context.body = BodyStream(100_000 if framing == "with a length" else None)

    async def handle(exchange: ServerExchange) -> None:
        exchange.respond(ResponseHead(200, b"OK"), body)

    context.factory = ServerFactory(handle, SERVER_LIMITS, Clock(reactor))
    protocol = context.factory.buildProtocol(None)
    context.link = MemoryLink(Random(0))
    context.link_server = Server(context.link.server, protocol, ("", 0), None, 0, reactor)
    protocol.makeConnection(context.link_server)
    context.link.send(b"GET / HTTP/%s\r\n%s\r\n" % (version.encode(), HOST_HEADER))
    context.link_reactor = reactor
    _read_link(context)
    body.feed(b"bo")
    assert b"bo" in _read_link(context)


def _read_link(context: Any) -> bytes:
    """Return what the client reads until nothing more is on its way."""
    received = b""
    for _ in range(20):
        if context.link.readable():
            context.link_reactor.read()
        if context.link.writable():
            context.link_reactor.write()
        context.link_reactor.advance(0)
        received += context.link.read(10_000)
    return received


@when("the client closes its sending side")
def step_half_close(context: Any) -> None:
    context.link.half_close()
    _read_link(context)


@when("{part} of the response has arrived and the node stops")
def step_stop_during_response(context: Any, part: str) -> None:
    context.body.feed(b"x" * 50_000)
    if part == "all":
        context.body.end()
    context.factory.close_idle()
    context.factory.close()
    # The reactor closes all connections that are still open.
    context.link_server.connectionLost(Failure(ConnectionLost()))
    _read_link(context)


@then("the client sees its connection {end}")
def step_connection_end(context: Any, end: str) -> None:
    assert context.link.end == end, context.link.end


BYTES_BEHIND = {
    "a malformed request in the same read": INVALID_REQUESTS["bytes that are no request"],
    "a further request in the same read": b"GET /next HTTP/1.1\r\n%s\r\n" % HOST_HEADER,
    "a request that is answered later": b"GET /late HTTP/1.1\r\n%s\r\n" % HOST_HEADER,
    "a request whose answer fails later": b"GET /late HTTP/1.1\r\n%s\r\n" % HOST_HEADER,
    "a request whose handler fails later": b"GET /late HTTP/1.1\r\n%s\r\n" % HOST_HEADER,
}


@given("a connection whose last response is complete, with {what} behind it")
def step_last_response(context: Any, what: str) -> None:
    context.clock = fake_clock()
    first, late = BodyStream(None), BodyStream(4)
    late_request: Deferred[None] = Deferred()

    async def handle(exchange: ServerExchange) -> None:
        if exchange.head.target == b"/late":
            await late_request
        body = late if exchange.head.target == b"/late" else first
        exchange.respond(ResponseHead(200, b"OK"), body)

    _open_connection(context, handle, may_overlap=lambda head: True)
    if "same read" in what:
        first.end()
    head = b"GET /first HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
    if "same read" in what:
        # A response that begins before the end of the request's body is the last one.
        head = b"POST /first HTTP/1.1\r\n%sContent-Length: 1\r\n\r\nx" % HOST_HEADER
    context.connection.dataReceived(head + BYTES_BEHIND.get(what, b""))
    if not first.ended:
        first.end()
    advance(context.clock, 5)
    assert context.transport.ends == ["half-closed"], context.transport.ends
    if "handler fails" in what:
        late_request.errback(ValueError("expected"))
    elif "later" in what:
        late_request.callback(None)
        late.feed(b"late")
        late.fail(BodyTruncated()) if "fails" in what else late.end()


@then("what the client sends is read for {ms:d} ms before the close")
def step_read_before_close(context: Any, ms: int) -> None:
    advance(context.clock, ms - 10)
    assert context.transport.ends == ["half-closed"], context.transport.ends
    advance(context.clock, 200)
    # The transport in memory does not report that it is closed, so that it is closed again.
    assert context.transport.ends[:2] == ["half-closed", "closed"], context.transport.ends
    assert set(context.transport.ends[1:]) == {"closed"}, context.transport.ends
    assert context.transport.value().count(b"HTTP/1.1 ") == 1, context.transport.value()


@given(
    "a client that sends {method} and then GET, and an upstream whose head has status {status:d} "
    "and declares {declared}"
)
def step_bodiless_response(context: Any, method: str, status: int, declared: str) -> None:
    context.clock = fake_clock()
    length = None if declared == "no length" else int(declared.split()[0])

    async def handle(exchange: ServerExchange) -> None:
        if exchange.head.target == b"/first":
            # A ClientConnection ends the body of such a response at once.
            body = BodyStream(length)
            body.end()
            exchange.respond(ResponseHead(status, b"First"), body)
        else:
            exchange.respond(ResponseHead(200, b"OK"), BodyStream.from_bytes(b"second"))

    _open_connection(context, handle)
    for line in (b"%s /first" % method.encode(), b"GET /second"):
        context.connection.dataReceived(b"%s HTTP/1.1\r\n%s\r\n" % (line, HOST_HEADER))
    advance(context.clock, 5)
    context.status = status


@then("the first response has the framing {framing} and no body, and the second one follows it")
def step_bodiless_framing(context: Any, framing: str) -> None:
    expected = f"HTTP/1.1 {context.status} First\r\n"
    expected += "" if framing == "none" else f"{framing}\r\n"
    expected += "\r\nHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond"
    assert context.transport.value().decode() == expected, context.transport.value()
