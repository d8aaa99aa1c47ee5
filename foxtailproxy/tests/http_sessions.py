"""Scripted HTTP sessions with a server connection over an in-memory transport."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.testing import StringTransport

from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.errors import BodyTruncated, HttpError
from foxtailproxy.http.exchange import ServerExchange
from foxtailproxy.http.messages import ResponseHead, end_to_end_headers
from foxtailproxy.http.server import ServerFactory, ServerLimits
from foxtailproxy.tests.fakes import advance, fake_clock

SERVER_LIMITS = ServerLimits(
    header_bytes=500, body_bytes=64, header_time_ms=1000, idle_time_ms=5000
)

HOST_HEADER = b"Host: kalender\r\n"

SESSIONS: dict[str, list[bytes | int]] = {
    # Bytes are sent by the client; a number advances the clock by that many milliseconds.
    "keep-alive": [
        b"GET /one HTTP/1.1\r\n" + HOST_HEADER + b"\r\n",
        b"GET /two HTTP/1.1\r\n" + HOST_HEADER + b"Connection: close\r\n\r\n",
    ],
    "pipelining": [
        b"".join(b"GET /%d HTTP/1.1\r\n%s\r\n" % (number, HOST_HEADER) for number in range(3)),
        1,
        1,
        1,
    ],
    "head": [
        b"HEAD /one HTTP/1.1\r\n" + HOST_HEADER + b"\r\n",
        b"GET /two HTTP/1.1\r\n" + HOST_HEADER + b"\r\n",
    ],
    "expect-continue": [
        b"POST /one HTTP/1.1\r\n"
        + HOST_HEADER
        + b"Content-Length: 3\r\nExpect: 100-continue\r\n\r\n",
        b"abc",
    ],
    "chunked-request": [
        b"POST /one HTTP/1.1\r\n" + HOST_HEADER + b"Transfer-Encoding: chunked\r\n\r\n",
        b"3\r\nabc\r\n",
        b"2\r\nde\r\n0\r\nTrailer: x\r\n\r\n",
    ],
    "chunked-answer": [b"GET /chunked HTTP/1.1\r\n" + HOST_HEADER + b"\r\n"],
    "whole-answer": [b"GET /whole HTTP/1.1\r\n" + HOST_HEADER + b"\r\n"],
    "whole-answer-http-1.0": [b"GET /whole HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"],
    "whole-answer-head": [b"HEAD /whole HTTP/1.1\r\n" + HOST_HEADER + b"\r\n"],
    "http-1.0": [b"GET /chunked HTTP/1.0\r\n\r\n"],
    "hop-by-hop-headers": [
        b"GET /headers HTTP/1.1\r\n"
        + HOST_HEADER
        + b"Connection: X-Private, keep-alive\r\nX-Private: 1\r\n"
        + b"TE: trailers\r\nX-Public: 2\r\n\r\n"
    ],
    "answer-cut": [b"GET /cut HTTP/1.1\r\n" + HOST_HEADER + b"\r\n"],
    "both-lengths": [
        b"POST / HTTP/1.1\r\n"
        + HOST_HEADER
        + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ],
    "two-lengths": [
        b"POST / HTTP/1.1\r\n" + HOST_HEADER + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc"
    ],
    "bad-chunk-size": [
        b"POST / HTTP/1.1\r\n" + HOST_HEADER + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n"
    ],
    "bad-chunk-after-head": [
        b"POST /strict HTTP/1.1\r\n" + HOST_HEADER + b"Transfer-Encoding: chunked\r\n\r\n",
        b"xyz\r\nabc\r\n",
    ],
    "http-1.0-chunked": [
        b"POST / HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ],
    "bare-line-feed": [b"GET / HTTP/1.1\nHost: kalender\n\n"],
    "two-hosts": [b"GET / HTTP/1.1\r\n" + HOST_HEADER + b"Host: other\r\n\r\n"],
    "no-host": [b"GET / HTTP/1.1\r\n\r\n"],
    "space-before-colon": [b"GET / HTTP/1.1\r\nHost : kalender\r\n\r\n"],
    "unknown-encoding": [
        b"POST / HTTP/1.1\r\n" + HOST_HEADER + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"
    ],
    "upgrade": [
        b"GET / HTTP/1.1\r\n" + HOST_HEADER + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
    ],
    "connect": [b"CONNECT kalender:80 HTTP/1.1\r\n" + HOST_HEADER + b"\r\n"],
    "header-too-large": [b"GET / HTTP/1.1\r\n" + HOST_HEADER + b"X-Long: " + b"x" * 600],
    "body-too-large": [b"POST / HTTP/1.1\r\n" + HOST_HEADER + b"Content-Length: 65\r\n\r\n"],
    "chunked-body-too-large": [
        b"POST / HTTP/1.1\r\n" + HOST_HEADER + b"Transfer-Encoding: chunked\r\n\r\n",
        b"40\r\n" + b"x" * 64 + b"\r\n",
        b"1\r\nx\r\n",
    ],
    "slow-header": [b"GET / HTTP/1.1\r\nHost: ka", 999, b"len", 200],
    "idle": [b"GET /one HTTP/1.1\r\n" + HOST_HEADER + b"\r\n", 4900, 300],
}


INVALID_REQUESTS: dict[str, bytes] = {
    "a head that stops half-way": b"GET /days HTTP/1.1\r\nHost: kal",
    "a head that is too large": b"GET / HTTP/1.1\r\n" + HOST_HEADER + b"X-Long: " + b"x" * 600,
    "bytes that are no request": b"\x16\x03\x01 no request\r\n\r\n",
    "a request without a host": b"GET / HTTP/1.1\r\n\r\n",
    "a body that is too large": b"PUT / HTTP/1.1\r\n" + HOST_HEADER + b"Content-Length: 65\r\n\r\n",
    "a body of chunks that is too large": b"PUT / HTTP/1.1\r\n"
    + HOST_HEADER
    + b"Transfer-Encoding: chunked\r\n\r\n41\r\n"
    + b"x" * 65
    + b"\r\n",
    "a chunk of no size": b"PUT / HTTP/1.1\r\n"
    + HOST_HEADER
    + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
    "a request to change the protocol": b"GET / HTTP/1.1\r\n"
    + HOST_HEADER
    + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
}
"""Requests that a server rejects, by their fault."""


class RecordingTransport(StringTransport):
    """In-memory transport that records how it is closed, at first and each time."""

    def __init__(self) -> None:
        super().__init__()
        self.close_kind = ""
        self.ends: list[str] = []

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing."""

    def loseConnection(self) -> None:  # noqa: N802
        """Record an orderly close."""
        self.ends.append("closed")
        self.close_kind = self.close_kind or "closed"

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Record an orderly close of the sending side."""
        self.ends.append("half-closed")
        self.close_kind = self.close_kind or "closed"

    def abortConnection(self) -> None:  # noqa: N802
        """Record an abort."""
        self.ends.append("cut")
        self.close_kind = self.close_kind or "cut"


async def echo_request(exchange: ServerExchange) -> None:
    """Respond with the method, target and body of the request, once it is complete."""
    exchange.send_continue()
    try:
        await exchange.body.buffer(SERVER_LIMITS.body_bytes)
    except HttpError:
        if exchange.head.target == b"/strict":
            exchange.respond(ResponseHead(400, b"Bad Request"), BodyStream.from_bytes(b"cut"))
        return
    target = exchange.head.target
    text = exchange.head.method + b" " + target + b" " + exchange.body.buffered()
    if target == b"/headers":
        text += b" ".join(name for name, _ in end_to_end_headers(exchange.head.headers))
    if target == b"/whole":
        body = BodyStream(None)
        body.feed(b"" if exchange.head.method == b"HEAD" else text)
        body.end()
        exchange.respond(ResponseHead(200, b"OK"), body)
        return
    if target in (b"/chunked", b"/cut"):
        body = BodyStream(None if target == b"/chunked" else 100)
        exchange.respond(ResponseHead(200, b"OK"), body)
        body.feed(text)
        body.end() if target == b"/chunked" else body.fail(BodyTruncated())
        return
    exchange.respond(ResponseHead(200, b"OK"), BodyStream.from_bytes(text))


def play_session(name: str, handler: Callable[[ServerExchange], Any] = echo_request) -> str:
    """Run a session and return its transcript."""
    clock = fake_clock()
    factory = ServerFactory(handler, SERVER_LIMITS, clock)
    connection: Any = factory.buildProtocol(None)
    transport = RecordingTransport()
    connection.makeConnection(transport)
    lines = []
    for step in SESSIONS[name]:
        if isinstance(step, int):
            lines.append(f"... {step} ms")
            advance(clock, step, 1.0)
        else:
            lines += [f"> {line!r}" for line in step.splitlines(keepends=True)]
            connection.dataReceived(step)
        received = transport.value()
        transport.clear()
        lines += [f"< {line!r}" for line in received.splitlines(keepends=True)]
        if transport.close_kind:
            lines.append(f"connection {transport.close_kind}")
            break
    factory.close()
    return "\n".join(lines) + "\n"
