"""Client side of HTTP/1.1: connections that carry one exchange at a time."""

from __future__ import annotations

import errno
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

import httptools
import structlog
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol as TwistedProtocol
from zope.interface import implementer

from foxtailproxy.http import messages
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.errors import (
    BodyConsumed,
    BodyOverrun,
    BodyTruncated,
    ConnectionLost,
    ExchangeCancelled,
    HttpError,
    InvalidStatus,
    MalformedResponse,
    StrayResponse,
)
from foxtailproxy.http.response_copy import ResponseCopy
from foxtailproxy.http.server_watch import ServerWatch
from foxtailproxy.http.stray_head import (
    SeenResponses,
    StrayHeadScanner,
    holds_another_head,
    starts_response,
)
from foxtailproxy.http.transport import enable_tcp_keepalive, is_ended_by_peer, write_now

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

log = structlog.get_logger()

MAX_OVERHEAD_BYTES = 1_048_576
"""Maximum number of bytes in a row that are not body of the response: heads, interim and skipped
responses, chunk extensions and trailers. A server in trouble may send them without end."""


FRAMED_BY_HEAD = "head"
"""Framing of a response that has no body."""

FRAMED_BY_LENGTH = "length"
FRAMED_BY_CHUNKS = "chunks"
FRAMED_BY_CLOSE = "close"
"""Framing of a body without a length whose end is the end of its connection."""


ENDED_BY_CLOSE = "close"
ENDED_BY_COPY = "copy"
"""End of a body where a second copy of its response begins, which has the same body."""


NO_RESPONSE_ID = ""
"""Id of a response whose headers do not tell whose it is."""


class ResponseMatcher(Protocol):
    """Knowledge of the server's headers that tell which request a response belongs to."""

    @property
    def request_id(self) -> str:
        """Id of the responses to the request; `NO_RESPONSE_ID` if they have none of its own."""

    def accepts(self, head: messages.ResponseHead) -> bool:
        """Return whether a response belongs to the request that was sent."""

    def response_id(self, headers: messages.HeaderList) -> str | None:
        """Return what distinguishes a response from those to other requests.

        `NO_RESPONSE_ID` if its headers do not tell; `None` if those of this server never do.
        """


@dataclass(slots=True)
class ExchangeTrace:
    """How the response of one exchange was delimited and ended, for the log.

    `earlier_exchanges` counts those before it on its connection, `skipped_responses` the late
    responses before its own, and `stray_heads` the heads of other responses inside its body.
    `framing` is empty until the head has arrived, `ended_by` until the response has ended.
    """

    earlier_exchanges: int = 0
    skipped_responses: int = 0
    stray_heads: int = 0
    framing: str = ""
    ended_by: str = ""


@dataclass(slots=True)
class ClientResponse:
    """Response whose body may still be arriving."""

    head: messages.ResponseHead
    body: BodyStream
    trace: ExchangeTrace = field(default_factory=ExchangeTrace)


@implementer(IPushProducer)
class ClientConnection(TwistedProtocol):
    """Connection to a server.

    `on_idle` is called after each exchange that leaves the connection reusable, `on_closed` once
    when it is closed. `on_response_read` is called when the server has closed the connection after
    a response without a length, before its end is confirmed. `confirm_end` tells whether the server
    still runs; without it, a body that the end of the connection ends is not complete. `open_watch`
    opens another connection, which ends when the server does. `exchange_count` counts the requests
    sent on the connection, `trace` describes the latest exchange. `was_idle` is whether the
    connection was kept open without an exchange, so that the server may have closed it by now.
    `closed_regularly` is whether it is closed, and was not reset.
    """

    transport: Any = None

    def __init__(self) -> None:
        self.on_idle: Callable[[ClientConnection], None] | None = None
        self.on_closed: Callable[[ClientConnection], None] | None = None
        self.on_interim: Callable[[messages.HeaderList], None] | None = None
        self.on_response_read: Callable[[], None] | None = None
        self.confirm_end: Callable[[], Awaitable[bool]] | None = None
        self.open_watch: (
            Callable[[Callable[[], None]], Awaitable[ClientConnection | None]] | None
        ) = None
        self.closed = False
        self.closed_regularly = False
        self.exchange_count = 0
        self.trace = ExchangeTrace()
        self.seen_responses = SeenResponses()
        self.last_received_ms = 0.0
        self.idle_since_ms = 0.0
        self.was_idle = False
        self.keep_alive_timeout_ms: float | None = None
        self.on_data_received: Callable[[ClientConnection], None] | None = None
        self._reset_parser()
        self._response_deferred: Deferred[ClientResponse] | None = None
        self._request_body: BodyStream | None = None
        self._response_body: BodyStream | None = None
        self._is_head_request = False
        self._request_sent = True
        self._remaining_request_bytes: int | None = None
        self._reading_paused = False
        self._watch: ServerWatch | None = None
        self._was_lost = False
        self._matcher: ResponseMatcher | None = None
        self._response_id: str | None = None
        self._scanner: StrayHeadScanner | None = None
        self._read = b""

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._reason = b""
        self._headers: messages.HeaderList = []
        self._head_complete = False
        self._message_complete = False
        self._unexpected_response = False
        self._skipping_response = False
        self._keep_alive = False
        self._overhead_bytes = 0
        self._copy: ResponseCopy | None = None

    @property
    def ended_by_peer(self) -> bool:
        """Whether the server has ended the connection, or it was closed here."""
        return self.closed or is_ended_by_peer(self.transport)

    @property
    def busy(self) -> bool:
        """Whether an exchange is in progress."""
        return self._response_deferred is not None or self._response_body is not None

    def request(
        self,
        head: messages.RequestHead,
        body: BodyStream,
        matcher: ResponseMatcher | None = None,
    ) -> Deferred[ClientResponse]:
        """Send a request.

        Responses that `matcher` does not accept are late responses to earlier requests: they are
        skipped, and the connection is not reused. Fails with an `HttpError`; nothing is sent if
        `body` cannot fill the request any more. Cancelling the deferred aborts the connection.
        """
        self.trace = ExchangeTrace(earlier_exchanges=self.exchange_count)
        self.exchange_count += 1
        self._matcher = matcher
        if matcher is not None and matcher.request_id != NO_RESPONSE_ID:
            # The server may have answered also if its response does not arrive here.
            self.seen_responses.add(matcher.request_id)
        self._is_head_request = head.method == b"HEAD"
        self._response_deferred = Deferred(lambda _: self.abort())
        deferred = self._response_deferred
        if self.closed:
            self._fail(ConnectionLost())
            return deferred
        self._reset_parser()
        body_error = _body_error(body)
        if body_error is not None:
            self.fail(body_error)
            return deferred
        length = body.length
        self._remaining_request_bytes = length
        self._request_sent = False
        self._request_body = body
        buffered_body = body.buffered() if body.ended and length is not None else None
        if buffered_body is not None:
            self._request_sent = True
            self._remaining_request_bytes = 0
            self._write(messages.format_request(head, length) + buffered_body)
        else:
            self._write(messages.format_request(head, length))
            body.attach(self)
        return deferred

    def _write(self, data: bytes) -> None:
        if write_now(self.transport, data) not in (0, errno.EPIPE):
            # The kernel reports a reset or a timeout once: the next read sees a regular end. A
            # connection that the server closed before has had that end.
            self._was_lost = True

    # Request body

    def body_data(self, data: bytes) -> None:
        """Send the next bytes of the request body; fail where it is longer than declared."""
        if self.closed or not data:
            return
        if self._remaining_request_bytes is None:
            self._write(messages.format_chunk(data))
        elif len(data) > self._remaining_request_bytes:
            self.fail(BodyOverrun())
        else:
            self._remaining_request_bytes -= len(data)
            self._write(data)

    def body_end(self) -> None:
        """Finish sending the request body; fail where it is shorter than declared."""
        if self.closed:
            return
        if self._remaining_request_bytes:
            # The server would take the next request for the rest of this one.
            self.fail(BodyTruncated())
            return
        if self._remaining_request_bytes is None:
            self._write(messages.LAST_CHUNK)
        # Bytes that follow would be taken for the next request.
        self._remaining_request_bytes = 0
        self._request_sent = True

    def body_failed(self, error: HttpError) -> None:
        """Abort the connection, because the request cannot be completed."""
        self.abort()

    # Response body

    def pause_body(self) -> None:
        """Stop reading while the consumer of the response applies back-pressure."""
        if not self.closed and not self._reading_paused:
            self._reading_paused = True
            self.transport.pauseProducing()
            if self.trace.framing == FRAMED_BY_CLOSE and self._watch is None:
                self._watch_server()

    def resume_body(self) -> None:
        """Resume reading the response."""
        if not self.closed and self._reading_paused:
            self._reading_paused = False
            self.transport.resumeProducing()

    def cancel_body(self) -> None:
        """Abort the connection, since the rest of the response is not wanted."""
        self.fail(ExchangeCancelled())

    def _watch_server(self) -> None:
        if getattr(self.transport, "reactor", None) is not None:
            self._watch = ServerWatch(self.transport, self._confirm_end, self.open_watch)
            self._watch.start()

    async def _confirm_end(self) -> bool:
        return self.confirm_end is not None and await self.confirm_end()

    # Twisted protocol

    def connectionMade(self) -> None:  # noqa: N802
        """Set the socket options of a new connection."""
        self.transport.setTcpNoDelay(True)
        enable_tcp_keepalive(self.transport)
        self.transport.registerProducer(self, True)

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the request body while the server reads slowly."""
        if self._request_body is not None and not self._request_sent:
            self._request_body.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the request body."""
        if self._request_body is not None and not self._request_sent:
            self._request_body.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the connection is closed, and `connectionLost` follows."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse data from the server."""
        if not self.busy:
            # Unsolicited bytes could be mistaken for the response to the next request.
            self._log_unsolicited_bytes()
            self.abort()
            return
        if self.on_data_received is not None:
            self.on_data_received(self)
        self._overhead_bytes += len(data)
        self._read = data
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._message_complete:
                self._log_unsolicited_bytes()
            else:
                self._fail(_http_error(error))
            self.abort()
            return
        finally:
            self._read = b""
        if self._message_complete:
            if self._unexpected_response and not self.trace.skipped_responses:
                self._log_unsolicited_bytes()
            self._exchange_done()
        elif self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self.fail(MalformedResponse())

    def _log_unsolicited_bytes(self) -> None:
        """Log bytes behind the response to the latest request."""
        log.warning(
            "unsolicited_bytes",
            attempt="" if self._matcher is None else self._matcher.request_id,
            earlier_exchanges=self.trace.earlier_exchanges,
        )

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Fail or complete the exchange in progress."""
        self.closed = True
        self.closed_regularly = reason is not None and reason.check(ConnectionDone) is not None
        self._end_exchange()
        if self._watch is not None:
            self._watch.close()
        if self.on_closed is not None:
            self.on_closed(self)

    def _end_exchange(self) -> None:
        body = self._response_body
        # A body without a declared length is complete when the connection closes, unless it was
        # reset.
        closed_cleanly = self.closed_regularly and not self._was_lost
        if closed_cleanly and body is not None and self.trace.framing == FRAMED_BY_CLOSE:
            copy = self._copy
            may_be_whole = not self._ends_inside_copy() if copy is None else copy.agrees_at_close
            if not may_be_whole:
                self._fail(StrayResponse())
                return
            if self.on_response_read is not None:
                self.on_response_read()
            completion: Any = ensureDeferred(self._complete_if_confirmed(body))
            completion.addErrback(self._end_check_failed)
            return
        self._fail(ConnectionLost())

    async def _complete_if_confirmed(self, body: BodyStream) -> None:
        """Complete a body that the close of the connection ended, if the server still runs.

        The kernel closes the connections of a process that is killed as regularly.
        """
        verdict = None if self._watch is None else self._watch.verdict
        confirmed = await (verdict or self._confirm_end())
        if self._response_body is not body:
            return
        if not confirmed:
            self._fail(ConnectionLost())
            return
        self._response_body = None
        self.trace.ended_by = ENDED_BY_CLOSE if self._copy is None else ENDED_BY_COPY
        body.end()

    def _end_check_failed(self, failure: Any) -> None:
        log.error(
            "response_end_failed", error=repr(failure.value), traceback=failure.getTraceback()
        )
        self._fail(ConnectionLost())

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self._unexpected_response = self._unexpected_response or self._message_complete
        self._reason = b""
        self._headers = []
        self._head_complete = False

    def on_status(self, status: bytes) -> None:
        """Append a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; ignore trailers, which follow the complete head."""
        if not self._head_complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Deliver the response, unless it is interim or late.

        Raises `InvalidStatus` for a status that no response may have, and `StrayResponse` if a part
        of another response is at its start.
        """
        self._head_complete = True
        status = self._parser.get_status_code()
        if not messages.is_valid_response(status, self._headers):
            log.warning(
                "response_status_invalid",
                status=status,
                earlier_exchanges=self.trace.earlier_exchanges,
            )
            raise InvalidStatus
        if status < 200 or self._response_deferred is None:
            return
        head = messages.ResponseHead(status, self._reason, self._headers)
        matcher = self._matcher
        if matcher is not None and holds_another_head(head, matcher.response_id):
            self.trace.stray_heads += 1
            raise StrayResponse
        if self._matcher is not None and not self._matcher.accepts(head):
            self._skip_response(status)
            return
        response_id = None if self._matcher is None else self._matcher.response_id(self._headers)
        self._response_id = response_id
        self._scanner = None
        if response_id is not None:
            self.seen_responses.add(response_id)
            self.seen_responses.recent_heads.append(head)
            self._scanner = StrayHeadScanner(self._is_stray)
        self._keep_alive = self._may_reuse(status) and not self._copy_would_mislead(response_id)
        self.keep_alive_timeout_ms = messages.parse_keep_alive_timeout(self._headers)
        length = messages.get_header(self._headers, b"content-length")
        body = BodyStream(None if length is None else int(length), self)
        if self._is_head_request or status in messages.BODILESS_STATUSES:
            self.trace.framing = self.trace.ended_by = FRAMED_BY_HEAD
            body.end()
            self._message_complete = True
        else:
            self.trace.framing = self._framing()
            self._response_body = body
        deferred, self._response_deferred = self._response_deferred, None
        deferred.callback(ClientResponse(head, body, self.trace))

    def _copy_would_mislead(self, response_id: str | None) -> bool:
        """Return whether a late copy of the response would harm the next exchange.

        Without an id, it would be taken for the next response. That of a response to HEAD would be
        taken to have a body, and the next response for this body.
        """
        if self._is_head_request:
            return response_id is not None
        return response_id == NO_RESPONSE_ID

    def _is_stray(self, headers: messages.HeaderList) -> bool:
        """Return whether headers inside a body are those of a response of this server."""
        assert self._matcher is not None
        return self._matcher.response_id(headers) in self.seen_responses

    def _ends_inside_copy(self) -> bool:
        """Return whether a body ends inside what may be a copy of a head of this server."""
        scanner, recent_heads = self._scanner, self.seen_responses.recent_heads
        return scanner is not None and any(map(scanner.ends_like_head, recent_heads))

    def _skip_response(self, status: int) -> None:
        """Skip a late response. Raises `StrayResponse` if its end is not known."""
        self._skipping_response = self._unexpected_response = True
        self.trace.skipped_responses += 1
        if self._framing() == FRAMED_BY_CLOSE and status not in messages.BODILESS_STATUSES:
            # All that follows would be its body, including the expected response.
            raise StrayResponse
        matcher = self._matcher
        assert matcher is not None
        skipped_id = matcher.response_id(self._headers)
        self._scanner = StrayHeadScanner(
            lambda headers: matcher.response_id(headers) not in (NO_RESPONSE_ID, None, skipped_id)
        )

    def _framing(self) -> str:
        if messages.get_header(self._headers, b"content-length") is not None:
            return FRAMED_BY_LENGTH
        encoding = messages.get_header_text(self._headers, b"transfer-encoding").lower()
        if encoding not in ("", "chunked"):
            # The body would be forwarded without the header that tells how to decode it.
            raise MalformedResponse
        return FRAMED_BY_CHUNKS if encoding else FRAMED_BY_CLOSE

    def _may_reuse(self, status: int) -> bool:
        """Return whether the connection stays open; the parser knows only before the body's end."""
        if self._is_head_request or status in messages.BODILESS_STATUSES:
            return b"close" not in messages.connection_options(self._headers)
        return self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Append bytes to the response body."""
        body = self._response_body
        if body is not None:
            if self._copy is not None:
                self._read_copy(body, self._copy, data)
                return
            self._overhead_bytes = 0
            if self._scanner is not None and self._scanner.feed(data):
                self.trace.stray_heads += 1
                self._begin_copy(body, self._scanner, data)
                return
            if body.size + len(data) == body.length and self._ends_inside_stray_head(data):
                raise StrayResponse
            body.feed(data)
        elif self._skipping_response:
            if self._scanner is not None and self._scanner.feed(data):
                # The skipped response was cut, and what follows it is read as its body.
                raise StrayResponse
        elif self._is_head_request:
            # A response to HEAD has no body, so these are the bytes of another one.
            self._unexpected_response = True

    def _ends_inside_stray_head(self, end: bytes) -> bool:
        """Return whether a stray head begins in a body, whose `end` was read, and goes on after it.

        Bytes that follow a body belong to no response, unless they continue what began inside it.
        """
        scanner = self._scanner
        if scanner is None:
            return False
        _, found, rest = self._read.partition(b"\r\n\r\n" + end)
        if not found:
            # The head came in an earlier read.
            rest = self._read[len(end) :]
        # A copy may be cut before the header that tells whose it is; the rest of the body follows.
        ends_inside_copy = bool(rest) and not starts_response(rest) and self._ends_inside_copy()
        body_size = scanner.size
        begins_inside = ends_inside_copy or (scanner.feed(rest) and scanner.stray_start < body_size)
        self.trace.stray_heads += begins_inside
        return begins_inside

    def _begin_copy(self, body: BodyStream, scanner: StrayHeadScanner, data: bytes) -> None:
        """Read the second copy of the response that is being received. Raises `StrayResponse`."""
        matcher = self._matcher
        assert matcher is not None
        if self.trace.framing != FRAMED_BY_CLOSE or body.attached:
            raise StrayResponse
        received = body.buffered() + data
        body.truncate(scanner.stray_start)
        body.feed(data[: max(0, scanner.stray_start - body.size)])
        # Bytes of the body that end like a status line are read as a part of the copy's one.
        own = (self._parser.get_status_code(), self._response_id)
        self._copy = ResponseCopy(
            received[: scanner.stray_start],
            lambda status, headers: (status, matcher.response_id(headers)) == own,
        )
        self._read_copy(body, self._copy, received[scanner.stray_start :])

    def _read_copy(self, body: BodyStream, copy: ResponseCopy, data: bytes) -> None:
        if not copy.feed(data):
            return
        if not copy.agrees:
            raise StrayResponse
        self._complete_by_copy(body)

    def _complete_by_copy(self, body: BodyStream) -> None:
        self._message_complete = self._unexpected_response = True
        self._response_body = None
        self.trace.ended_by = ENDED_BY_COPY
        body.end()

    def on_message_complete(self) -> None:
        """Complete an interim, skipped or final response."""
        if self._parser.get_status_code() < 200:
            if self.on_interim is not None:
                self._overhead_bytes = 0
                self.on_interim(self._headers)
            return
        if self._skipping_response:
            self._skipping_response = False
            return
        self._message_complete = True
        self.trace.ended_by = self.trace.ended_by or self.trace.framing
        body, self._response_body = self._response_body, None
        if body is not None:
            body.end()

    def _exchange_done(self) -> None:
        if (
            not self._keep_alive
            or self._unexpected_response
            or not self._request_sent
            or self.closed
        ):
            self.abort()
        elif self.on_idle is not None:
            self.resume_body()
            self._request_body = None
            self.on_interim = self.on_response_read = None
            self.on_idle(self)

    def _fail(self, error: HttpError) -> None:
        deferred, self._response_deferred = self._response_deferred, None
        body, self._response_body = self._response_body, None
        if deferred is not None or body is not None:
            self.trace.ended_by = type(error).__name__
        if deferred is not None:
            deferred.errback(error)
        if body is not None:
            body.fail(BodyTruncated())

    def fail(self, error: HttpError) -> None:
        """Fail the exchange in progress with `error` and abort the connection."""
        self._fail(error)
        self.abort()

    def abort(self) -> None:
        """Abort the connection."""
        if not self.closed:
            # The transport reports the end of the connection in a later iteration of the reactor.
            self.closed = True
            self.transport.abortConnection()


def _body_error(body: BodyStream) -> HttpError | None:
    """Return why a body cannot be sent as it was declared; `None` if it can be so far."""
    if body.attached:
        return BodyConsumed()
    if body.error is not None:
        return BodyTruncated()
    if body.length is None:
        return None
    if body.buffered_bytes > body.length:
        return BodyOverrun()
    return BodyTruncated() if body.ended and body.buffered_bytes < body.length else None


def _http_error(error: Exception) -> HttpError:
    """Return the error of an exchange whose response the parser rejects."""
    if isinstance(error.__context__, HttpError):
        return error.__context__
    if isinstance(error, httptools.HttpParserInvalidStatusError):
        log.warning("response_status_invalid", status=-1, error=str(error))
        return InvalidStatus()
    return MalformedResponse()
