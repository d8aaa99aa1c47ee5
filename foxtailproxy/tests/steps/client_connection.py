"""Steps for connections as a client, on in-memory transports and on real sockets."""

from __future__ import annotations

import socket
import struct
import threading
import time
from dataclasses import dataclass
from typing import Any

from behave import given, then, when
from twisted.internet import reactor, threads
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from foxtailproxy.http.body import BodyStream, DiscardSink
from foxtailproxy.http.client import ClientConnection, ResponseMatcher
from foxtailproxy.http.errors import BodyTruncated, HttpError
from foxtailproxy.http.messages import HeaderList, RequestHead, ResponseHead
from foxtailproxy.http.pool import ConnectionPool
from foxtailproxy.tests.http_sessions import RecordingTransport

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HEAD_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"
HEAD_RESPONSE_BY_FRAMING = {
    "a length": HEAD_RESPONSE,
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "no length": b"HTTP/1.1 200 OK\r\n\r\n",
}
END = "end"
FAILURE = "failure"
READ_ELSEWHERE = "read elsewhere"
"""What may happen to a body besides bytes."""

RESET_AFTER_S = 0.05
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ClientTransport(RecordingTransport):
    """In-memory transport whose abort is reported to the protocol later, as that of a socket."""

    def getHandle(self) -> Any:  # noqa: N802
        """Return this object in place of a socket."""
        return self

    def setsockopt(self, *options: int) -> None:
        """Ignore an option."""


@dataclass(frozen=True)
class FixedMatcher:
    """Matcher that accepts every response and gives each one the same id."""

    id: str | None
    request_id: str = ""

    def accepts(self, head: ResponseHead) -> bool:
        """Return true."""
        return True

    def response_id(self, headers: HeaderList) -> str | None:
        """Return the id."""
        return self.id


def _open_connection(method: bytes, matcher: ResponseMatcher | None = None) -> ClientConnection:
    connection = ClientConnection()
    connection.makeConnection(ClientTransport())
    connection.request(RequestHead(method, b"/", []), BodyStream.from_bytes(b""), matcher)
    return connection


@given("a connection whose exchange ends")
def step_connection(context: Any) -> None:
    context.pool = ConnectionPool(reactor, "127.0.0.1", 1)
    context.connection = _open_connection(b"GET")
    context.connection.on_idle = context.pool.release


@when("it is aborted by the reader of the response")
def step_abort_by_reader(context: Any) -> None:
    exchange = context.connection._response_deferred
    exchange.addCallback(lambda _: context.connection.abort())
    context.connection.dataReceived(RESPONSE)


@when("it is aborted after bytes that came while it was idle")
def step_abort_while_idle(context: Any) -> None:
    context.connection.dataReceived(RESPONSE)
    context.connection.dataReceived(RESPONSE)


@then("the next exchange is on another connection")
def step_other_connection(context: Any) -> None:
    assert context.connection.transport.close_kind == "cut"
    opened: list[str] = []

    async def open_another() -> None:
        opened.append("another")

    context.pool._open = open_another
    ensureDeferred(context.pool.acquire())
    assert opened == ["another"]


def _send_part_and_reset(listener: socket.socket) -> None:
    connection, _ = listener.accept()
    connection.recv(65536)
    connection.sendall(b"HTTP/1.1 200 OK\r\n\r\nthe first part")
    time.sleep(RESET_AFTER_S)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


@given("a server that sends a part of a response without a length and resets the connection")
def step_resetting_server(context: Any) -> None:
    # The server has a thread of its own, since the reactor's is kept busy while the reset arrives.
    context.listener = socket.create_server(("127.0.0.1", 0))
    context.server = threading.Thread(target=_send_part_and_reset, args=(context.listener,))
    context.server.start()


class EndSink:
    """Sink that records how a body ends."""

    def __init__(self) -> None:
        self.end: Deferred[str] = Deferred()

    def body_data(self, data: bytes) -> None:
        """Ignore the bytes."""

    def body_end(self) -> None:
        """Record a complete body."""
        self.end.callback("complete")

    def body_failed(self, error: HttpError) -> None:
        """Record the error."""
        self.end.callback(type(error).__name__)


async def _write_before_reading_reset(port: int) -> str:
    pool = ConnectionPool(reactor, "127.0.0.1", port)
    connection = await pool.acquire()
    request_body = BodyStream(None)
    response = await connection.request(RequestHead(b"POST", b"/", []), request_body)
    sink = EndSink()
    response.body.attach(sink)
    await deferLater(reactor, RESET_AFTER_S / 2)
    # The reactor does not read meanwhile, so that the write is the first to notice the reset.
    time.sleep(RESET_AFTER_S)
    request_body.feed(b"more of the request")
    return await sink.end


@when("the next part of the request is written before the reset is read")
def step_write_first(context: Any) -> None:
    port = context.listener.getsockname()[1]
    context.end = threads.blockingCallFromThread(
        reactor, lambda: ensureDeferred(_write_before_reading_reset(port))
    )
    context.server.join()
    context.listener.close()


@then("the response ends as {end}")
def step_response_end(context: Any, end: str) -> None:
    assert context.end == end, context.end


@given("a connection with a HEAD request")
def step_head_request(context: Any) -> None:
    context.connection = _open_connection(b"HEAD")
    context.idle = []
    context.connection.on_idle = context.idle.append


@given("a connection with a HEAD request to a server that {tells} what it answers")
def step_head_request_to_server(context: Any, tells: str) -> None:
    matcher = FixedMatcher("1" if tells == "tells" else None)
    context.connection = _open_connection(b"HEAD", matcher)
    context.idle = []
    context.connection.on_idle = context.idle.append


@when("the response with {framing} arrives")
def step_framed_head_response(context: Any, framing: str) -> None:
    context.connection.dataReceived(HEAD_RESPONSE_BY_FRAMING[framing])


@when("the response and {more} arrive in one read")
def step_head_response(context: Any, more: str) -> None:
    extra = b"HTTP/1.1" if more == "the start of another one" else b""
    context.connection.dataReceived(HEAD_RESPONSE + extra)


@then("the connection is {state}")
def step_connection_state(context: Any, state: str) -> None:
    assert bool(context.idle) == (state == "used again"), context.idle
    assert (context.connection.transport.close_kind == "cut") == (state == "aborted")


REQUEST_LENGTH = 4

PARTS_BEFORE_BY_FAULT = {
    "has ended, 2 bytes short": [b"ab", END],
    "has ended, 2 bytes over": [b"abcdef", END],
    "has 2 bytes too many so far": [b"abcdef"],
    "has ended and was read elsewhere": [b"abcd", END, READ_ELSEWHERE],
    "is being read elsewhere": [b"ab", READ_ELSEWHERE],
    "has failed": [b"ab", FAILURE],
    "has ended": [b"abcd", END],
}
"""What happens to the body of a request before it is sent, by its fault."""

PARTS_AFTER_BY_FAULT = {
    "ends 2 bytes short": [b"ab", END],
    "goes on for 2 bytes": [b"abcd", b"ef", END],
    "goes on after its end": [b"abcd", END, b"ef"],
    "fails": [b"ab", FAILURE],
    "arrives in two parts": [b"ab", b"cd", END],
    "has an empty part": [b"ab", b"", b"cd", END],
}
"""The same after the head of the request was sent."""


def _apply(body: BodyStream, part: bytes | str) -> None:
    if isinstance(part, bytes):
        body.feed(part)
    elif part == END:
        body.end()
    elif part == FAILURE:
        body.fail(BodyTruncated())
    else:
        body.attach(DiscardSink())


@given("a connection that is kept open")
def step_kept_connection(context: Any) -> None:
    context.connection = _open_connection(b"GET")
    context.idle = []
    context.connection.on_idle = context.idle.append
    context.connection.dataReceived(RESPONSE)
    assert context.idle.pop() is context.connection
    context.connection.transport.clear()


@when("a request {framing} is made whose body {fault}")
def step_request_with_body(context: Any, framing: str, fault: str) -> None:
    body = BodyStream(REQUEST_LENGTH if framing == "with a length" else None)
    for part in PARTS_BEFORE_BY_FAULT.get(fault, []):
        _apply(body, part)
    context.results = []
    exchange = context.connection.request(RequestHead(b"PUT", b"/", []), body)
    exchange.addBoth(context.results.append)
    for part in PARTS_AFTER_BY_FAULT.get(fault, []):
        _apply(body, part)
    if context.connection.transport.close_kind:
        context.connection.connectionLost(Failure(ConnectionAborted()))
    else:
        context.connection.dataReceived(RESPONSE)


def _sent_after_request_line(context: Any) -> str:
    sent: bytes = context.connection.transport.value()
    return sent.removeprefix(b"PUT / HTTP/1.1\r\n").decode().encode("unicode_escape").decode()


@then("the exchange fails as {error}, and {sent} was sent")
def step_exchange_failed(context: Any, error: str, sent: str) -> None:
    results = [type(getattr(result, "value", None)).__name__ for result in context.results]
    actual = (results, _sent_after_request_line(context) or "nothing")
    assert actual == ([error], sent), actual


@then("the exchange is answered, and {sent} was sent")
def step_exchange_answered(context: Any, sent: str) -> None:
    statuses = [result.head.status for result in context.results]
    actual = (statuses, _sent_after_request_line(context))
    assert actual == ([200], sent), actual


@given("a connection whose earlier request {framing} had a body that is still referred to")
def step_earlier_request(context: Any, framing: str) -> None:
    step_kept_connection(context)
    context.earlier_body = BodyStream(REQUEST_LENGTH if framing == "with a length" else None)
    context.connection.request(RequestHead(b"PUT", b"/", []), context.earlier_body)
    context.earlier_body.feed(b"abcd")
    context.earlier_body.end()
    context.connection.dataReceived(RESPONSE)
    assert context.idle.pop() is context.connection
    context.connection.transport.clear()


@when("the next request is sent, and the earlier body goes on")
def step_earlier_body_goes_on(context: Any) -> None:
    exchange = context.connection.request(
        RequestHead(b"PUT", b"/", []), BodyStream.from_bytes(b"next")
    )
    exchange.addErrback(lambda failure: failure.trap(HttpError))
    context.earlier_body.feed(b"more")


@then("no byte of it is sent")
def step_next_request_only(context: Any) -> None:
    sent = _sent_after_request_line(context)
    assert sent == "content-length: 4\\r\\n\\r\\nnext", sent


@given("its earlier exchange had a callback for the end of its response")
def step_earlier_callback(context: Any) -> None:
    context.called = []
    context.connection.request(RequestHead(b"GET", b"/", []), BodyStream.from_bytes(b""))
    context.connection.on_response_read = lambda: context.called.append("earlier")
    context.connection.dataReceived(RESPONSE)
    assert context.idle.pop() is context.connection


@when("the response to its next exchange has no length and ends with the connection")
def step_close_next(context: Any) -> None:
    async def confirm() -> bool:
        return True

    connection = context.connection
    connection.confirm_end = confirm
    connection.request(RequestHead(b"GET", b"/", []), BodyStream.from_bytes(b""))
    connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nok")
    connection.connectionLost(Failure(ConnectionDone()))


@then("the callback of the earlier exchange was not called")
def step_not_called(context: Any) -> None:
    assert context.called == [], context.called
