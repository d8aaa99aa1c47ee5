"""The client side of HTTP/1.1: one connection, one exchange at a time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httptools
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol
from zope.interface import implementer

from foxtailproxy.http import messages
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.errors import BodyCut, ConnectionCut, HttpError, MalformedResponse
from foxtailproxy.http.transport import watch_for_dead_peer, write_now

if TYPE_CHECKING:
    from collections.abc import Callable

    IsAnswer = Callable[[messages.ResponseHead], bool]


@dataclass(slots=True)
class ClientResponse:
    """A response whose body may still be arriving."""

    head: messages.ResponseHead
    body: BodyStream


@implementer(IPushProducer)
class ClientConnection(Protocol):
    """A connection to a server.

    `on_idle` is called each time an exchange has ended with the connection in a state to be used
    again, `on_closed` once when it is gone.
    """

    transport: Any = None

    def __init__(self) -> None:
        self.on_idle: Callable[[ClientConnection], None] | None = None
        self.on_closed: Callable[[ClientConnection], None] | None = None
        self.on_interim: Callable[[messages.HeaderList], None] | None = None
        self.closed = False
        self.used = False
        self.last_heard_ms = 0.0
        self.idle_since_ms = 0.0
        self.stated_idle_ms: float | None = None
        self.on_heard: Callable[[ClientConnection], None] | None = None
        self._reset_parser()
        self._waiting: Deferred[ClientResponse] | None = None
        self._request_body: BodyStream | None = None
        self._response_body: BodyStream | None = None
        self._head_request = False
        self._request_sent = True
        self._request_chunked = False
        self._reading_paused = False
        self._is_answer: IsAnswer | None = None

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._reason = b""
        self._headers: messages.HeaderList = []
        self._head_done = False
        self._finished = False
        self._surplus = False
        self._skipping = False
        self._keep_alive = False

    @property
    def busy(self) -> bool:
        """Whether an exchange is in progress."""
        return self._waiting is not None or self._response_body is not None

    def request(
        self, head: messages.RequestHead, body: BodyStream, is_answer: IsAnswer | None = None
    ) -> Deferred[ClientResponse]:
        """Send a request.

        Responses that `is_answer` does not know are late ones to earlier requests: they are left
        out, and the connection is not used again. Fails with an `HttpError`. Cancelling the
        deferred cuts the connection.
        """
        self.used = True
        self._is_answer = is_answer
        self._head_request = head.method == b"HEAD"
        self._waiting = Deferred(lambda _: self.abort())
        waiting = self._waiting
        if self.closed:
            self._fail(ConnectionCut())
            return waiting
        self._reset_parser()
        length = body.length
        self._request_chunked = length is None
        self._request_sent = False
        self._request_body = body
        held = body.held() if body.ended and length is not None else None
        if held is not None:
            self._request_sent = True
            write_now(self.transport, messages.format_request(head, length) + held)
        else:
            write_now(self.transport, messages.format_request(head, length))
            body.attach(self)
        return waiting

    # The request's body

    def body_data(self, data: bytes) -> None:
        """Send the next bytes of the request's body."""
        if not self.closed:
            write_now(
                self.transport, messages.format_chunk(data) if self._request_chunked else data
            )

    def body_end(self) -> None:
        """The request's body is whole."""
        if not self.closed and self._request_chunked:
            write_now(self.transport, messages.LAST_CHUNK)
        self._request_sent = True

    def body_failed(self, error: HttpError) -> None:
        """The request's body was cut, so the request is."""
        self.abort()

    # The response's body

    def pause_body(self) -> None:
        """The reader of the response has no room."""
        if not self.closed and not self._reading_paused:
            self._reading_paused = True
            self.transport.pauseProducing()

    def resume_body(self) -> None:
        """The reader of the response has room again."""
        if not self.closed and self._reading_paused:
            self._reading_paused = False
            self.transport.resumeProducing()

    # Twisted protocol

    def connectionMade(self) -> None:  # noqa: N802
        """Set the options of a new connection."""
        self.transport.setTcpNoDelay(True)
        watch_for_dead_peer(self.transport)
        self.transport.registerProducer(self, True)

    def pauseProducing(self) -> None:  # noqa: N802
        """The server reads slowly."""
        if self._request_body is not None and not self._request_sent:
            self._request_body.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """The server reads again."""
        if self._request_body is not None and not self._request_sent:
            self._request_body.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is gone; `connectionLost` follows."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse what the server sent."""
        if not self.busy:
            # Bytes that no request asked for could be taken for the next request's answer.
            self.abort()
            return
        if self.on_heard is not None:
            self.on_heard(self)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._finished:
                self._fail(MalformedResponse())
            self.abort()
            return
        if self._finished:
            self._exchange_done()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """End the exchange in progress."""
        self.closed = True
        self._end_at_close(reason)
        if self.on_closed is not None:
            self.on_closed(self)

    def _end_at_close(self, reason: Any) -> None:
        body = self._response_body
        # A body without a length ends with its connection, but not with a reset one.
        orderly = reason is not None and reason.check(ConnectionDone) is not None
        if orderly and body is not None and body.length is None and not self._chunked_response():
            self._response_body = None
            body.end()
        self._fail(ConnectionCut())

    def _chunked_response(self) -> bool:
        return messages.get_header(self._headers, b"transfer-encoding") is not None

    # Parser callbacks

    def on_message_begin(self) -> None:
        """A response begins."""
        self._surplus = self._surplus or self._finished
        self._reason = b""
        self._headers = []
        self._head_done = False

    def on_status(self, status: bytes) -> None:
        """A part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer once the head is complete."""
        if not self._head_done:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """The head is complete."""
        self._head_done = True
        status = self._parser.get_status_code()
        if status < 200 or self._waiting is None:
            return
        head = messages.ResponseHead(status, self._reason, self._headers)
        if self._is_answer is not None and not self._is_answer(head):
            self._skipping = self._surplus = True
            return
        self._keep_alive = self._may_reuse(status)
        self.stated_idle_ms = messages.idle_timeout_ms(self._headers)
        length = messages.get_header(self._headers, b"content-length")
        body = BodyStream(None if length is None else int(length), self)
        if self._head_request or status in messages.BODILESS_STATUSES:
            body.end()
            self._finished = True
        else:
            self._response_body = body
        waiting, self._waiting = self._waiting, None
        waiting.callback(ClientResponse(head, body))

    def _may_reuse(self, status: int) -> bool:
        """Whether the connection stays open; the parser knows only before the body has ended."""
        if self._head_request or status in messages.BODILESS_STATUSES:
            return b"close" not in messages.connection_options(self._headers)
        return self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Some bytes of the body."""
        if self._response_body is not None:
            self._response_body.feed(data)

    def on_message_complete(self) -> None:
        """An interim response or the final one is whole."""
        if self._parser.get_status_code() < 200:
            if self.on_interim is not None:
                self.on_interim(self._headers)
            return
        if self._skipping:
            self._skipping = False
            return
        self._finished = True
        body, self._response_body = self._response_body, None
        if body is not None:
            body.end()

    def _exchange_done(self) -> None:
        if not self._keep_alive or self._surplus or not self._request_sent or self.closed:
            self.abort()
        elif self.on_idle is not None:
            self.resume_body()
            self._request_body = None
            self.on_interim = None
            self.on_idle(self)

    def _fail(self, error: HttpError) -> None:
        waiting, self._waiting = self._waiting, None
        body, self._response_body = self._response_body, None
        if waiting is not None:
            waiting.errback(error)
        if body is not None:
            body.fail(BodyCut())

    def fail(self, error: HttpError) -> None:
        """End the exchange in progress with `error` and cut the connection."""
        self._fail(error)
        self.abort()

    def abort(self) -> None:
        """Cut the connection."""
        if not self.closed:
            self.transport.abortConnection()
