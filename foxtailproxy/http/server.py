"""Server side of HTTP/1.1: reads requests and writes the responses in order."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httptools
import structlog
from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol, IPushProducer
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from foxtailproxy.clock import WorkTimer
from foxtailproxy.http import messages
from foxtailproxy.http.errors import ConnectionLost
from foxtailproxy.http.exchange import ServerExchange
from foxtailproxy.http.memory import HEADER_LINE_BYTES
from foxtailproxy.http.transport import (
    abort_now,
    end_writing_once_sent,
    has_unacknowledged_bytes,
    has_unsent_bytes,
    is_ended_by_peer,
    ms_since_last_arrival,
    unsent_bytes,
    write_now,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from foxtailproxy.clock import Clock
    from foxtailproxy.http.client_bounds import ClientBounds

log = structlog.get_logger()

PIPELINE_LIMIT = 8
"""Pipelined requests of one connection above which reading is paused."""

TIMEOUT_CHECK_INTERVAL_MS = 100
"""Interval between checks for client timeouts, in milliseconds."""

LINGER_MS = 500
"""Time for which a connection is read after its last response, unless the client closes it sooner,
in milliseconds."""


@dataclass(slots=True)
class ServerLimits:
    """Limits of one connection; sizes in bytes, times in milliseconds.

    `request_memory_bytes` is the memory that the decoded head of one request may take.
    """

    header_bytes: int
    body_bytes: int
    header_time_ms: int
    idle_time_ms: int
    header_lines: int = 8192
    request_memory_bytes: int = 4_194_304


class RequestRejected(Exception):
    """Request that cannot be served, with the status of the response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@implementer(IPushProducer, IHalfCloseableProtocol)
class ServerConnection(Protocol):
    """Connection of one client.

    Responses are sent in the order of the requests, also the one that rejects an invalid request. A
    pipelined request for which `may_overlap` is true is served concurrently with the earlier ones,
    if all of those are being served. `request_count` counts the requests whose head was
    complete. With `bounds`, the connection counts for the bounds of all clients, which may close
    it, and a body must progress within the idle time.
    """

    transport: Any = None

    def __init__(
        self,
        handler: Callable[[ServerExchange], Awaitable[None]],
        limits: ServerLimits,
        clock: Clock,
        may_overlap: Callable[[messages.RequestHead], bool],
        bounds: ClientBounds | None = None,
    ) -> None:
        self.closing = False
        self.client_port = 0
        self.request_count = 0
        self._bounds = bounds
        self._reading = False
        self._body_progressed = False
        self._body_overhead_bytes = 0
        self._close_when_idle = False
        self._handler = handler
        self._may_overlap = may_overlap
        self.limits = limits
        self._clock = clock
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: deque[ServerExchange] = deque()
        self._receiving: ServerExchange | None = None
        self._url = b""
        self._headers: messages.HeaderList = []
        self._head_size = 0
        self._in_head = False
        self._heads_begun = 0
        self._timeout_at_ms = 0.0
        self._timeout_passed = False
        self._rejected = False
        self._closed = False
        self._lingers = False
        self._linger_limit_ms = 0.0
        self._last_ended_by_close = False
        self._pause_reasons: set[str] = set()

    # Twisted protocol

    def connectionMade(self) -> None:  # noqa: N802
        """Set the socket options and start the header timeout."""
        self.client_port = self.transport.getPeer().port
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._start_timer(self.limits.header_time_ms)
        self.factory.register(self)
        if self._bounds is not None:
            self._bounds.connections.touch(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse data from the client; ignore what follows a rejected request."""
        if self._closed or self._rejected:
            return
        self._reading = True
        self._body_progressed = False
        try:
            self._parse(data)
        finally:
            self._reading = False

    def _parse(self, data: bytes) -> None:
        was_in_head, was_in_body = self._in_head, self._receiving is not None
        self._heads_begun = 0
        try:
            self._parser.feed_data(data)
            # Bytes in front of a head do not count for it, but belong to an earlier request.
            if not was_in_body and self._heads_begun == (0 if was_in_head else 1):
                self._check_head_size(len(data))
            self._check_body_progress(len(data))
            self._charge()
        except httptools.HttpParserUpgrade:
            self._reject(501, "upgrade-not-supported")
        except httptools.HttpParserCallbackError as error:
            self._reject_for_error(error.__context__)
        except httptools.HttpParserError:
            self._reject(400, "malformed-request")
        except RequestRejected as error:
            self._reject(error.status, error.reason)

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close the connection, since a client that sends no more counts as gone.

        It may still read, and must not take a part of a response for the whole one.
        """
        if self.close_hides_truncation:
            abort_now(self.transport)
        else:
            self.transport.connectionLost(Failure(ConnectionDone()))

    @property
    def close_hides_truncation(self) -> bool:
        """Whether a client would take a close now for the end of a response that is not all sent.

        A response to a client of HTTP/1.0 may end with its connection.
        """
        if self._exchanges and self._is_ended_by_close(self._exchanges[0]):
            return True
        return self._last_ended_by_close and has_unsent_bytes(self.transport)

    @staticmethod
    def _is_ended_by_close(exchange: ServerExchange) -> bool:
        """Return whether only the end of the connection may end a response that has begun."""
        is_old = exchange.head.http_version == "1.0"
        return is_old and exchange.response_started and not exchange.keep_alive

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: the last response is sent."""

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Abort the exchanges after the client has disconnected."""
        self._closed = True
        self.factory.connections.discard(self)
        if self._bounds is not None:
            self._bounds.connections.remove(self)
            self._bounds.memory.release(self)
        self._drop_exchanges()

    def _drop_exchanges(self) -> None:
        """Abort the exchanges and free what they hold."""
        self._headers, self._url = [], b""
        self._receiving = None
        exchanges, self._exchanges = self._exchanges, deque()
        for exchange in exchanges:
            exchange.connection_lost()

    # Bounds for all clients

    def shed(self) -> None:
        """Close the connection and free what its requests hold."""
        self._closed = True
        self._lingers = False
        if self._reading:
            self._drop_exchanges()
            self.transport.abortConnection()
        else:
            abort_now(self.transport)

    @property
    def waits_for_client(self) -> bool:
        """Whether the client has to act next: to send, or to read a response."""
        if not self._exchanges or self._receiving is not None:
            return True
        return has_unsent_bytes(self.transport)

    def _charge(self) -> None:
        """Report the memory that the requests hold, and that the client was active."""
        if self._bounds is None or self._closed:
            return
        self._bounds.connections.touch(self)
        self._charge_memory(self._bounds)

    def _charge_memory(self, bounds: ClientBounds) -> None:
        held = unsent_bytes(self.transport)
        if self._in_head:
            held += self._head_size + len(self._headers) * HEADER_LINE_BYTES
        for exchange in self._exchanges:
            held += exchange.held_bytes
        if held:
            bounds.memory.charge(self, held)
        else:
            bounds.memory.release(self)

    # Back-pressure: the transport is paused while there is at least one reason.

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the response in progress, and further requests, while the client reads slowly."""
        if self._bounds is not None:
            self._pause("response")
        if self._exchanges:
            self._exchanges[0].pause_response()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the response in progress, or serve the next request."""
        self._resume("response")
        if not self._exchanges:
            return
        if self._exchanges[0].response_started:
            self._exchanges[0].resume_response()
        else:
            self._clock.call_later(0, self._serve_next)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the connection is closed, and `connectionLost` follows."""

    def pause_body(self) -> None:
        """Stop reading while the consumer of a request body applies back-pressure."""
        self._pause("body")

    def resume_body(self) -> None:
        """Resume reading."""
        self._resume("body")

    def cancel_body(self) -> None:
        """Abort the connection, since the rest of the request is not wanted."""
        self.abort()

    def _pause(self, reason: str) -> None:
        if not self._pause_reasons and not self._closed:
            self.transport.pauseProducing()
        self._pause_reasons.add(reason)

    def _resume(self, reason: str) -> None:
        if reason not in self._pause_reasons:
            return
        self._pause_reasons.discard(reason)
        if not self._pause_reasons and not self._closed:
            self.transport.resumeProducing()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Reset the state and restart the header timeout for a new request.

        Raises `RequestRejected` behind the last response, to which there is no response.
        """
        if self._closed:
            raise RequestRejected(400, "behind-last-response")
        self._heads_begun += 1
        self._in_head = True
        self._head_size = 0
        self._start_timer(self.limits.header_time_ms)
        self._url = b""
        self._headers = []

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; ignore trailers, which follow the complete head."""
        if self._receiving is None:
            if len(self._headers) >= self.limits.header_lines:
                raise RequestRejected(431, "too-many-headers")
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the complete head and queue the exchange."""
        head = messages.RequestHead(
            self._parser.get_method(), self._url, self._headers, self._parser.get_http_version()
        )
        length = self._check_head(head)
        exchange = ServerExchange(self, head)
        exchange.number = self.request_count
        self.request_count += 1
        if exchange.held_bytes > self.limits.request_memory_bytes:
            raise RequestRejected(431, "header-too-large")
        self._headers, self._url = [], b""
        exchange.unread_ms = ms_since_last_arrival(self.transport)
        exchange.keep_alive = self._parser.should_keep_alive()
        exchange.expects_continue = (
            messages.get_header_text(head.headers, b"expect").lower() == "100-continue"
        )
        exchange.body.length = length
        if length == 0:
            exchange.body.end()
        self._receiving = exchange
        self._in_head = False
        self._body_progressed = True
        if exchange.body.ended or self._bounds is None:
            self._stop_timer()
        else:
            self._start_timer(self.limits.idle_time_ms)
        self._exchanges.append(exchange)
        if len(self._exchanges) > PIPELINE_LIMIT:
            self._pause("pipeline")
        if len(self._exchanges) == 1 or self._may_serve_concurrently(exchange):
            self._serve(exchange)

    def _may_serve_concurrently(self, exchange: ServerExchange) -> bool:
        """Return whether a request may be served before the earlier responses are sent."""
        if self.closing or not exchange.body.ended or "response" in self._pause_reasons:
            return False
        if self._bounds is not None and len(self._exchanges) > PIPELINE_LIMIT:
            return False
        earlier_being_served = all(
            other.serving for other in self._exchanges if other is not exchange
        )
        return earlier_being_served and self._may_overlap(exchange.head)

    def is_next_to_respond(self, exchange: ServerExchange) -> bool:
        """Return whether all responses before that of `exchange` are sent."""
        return not self._exchanges or self._exchanges[0] is exchange

    def closes_after(self, exchange: ServerExchange) -> bool:
        """Return whether the connection closes after the response to `exchange`.

        It does where it is closing and no other request is being served.
        """
        others_being_served = any(
            other.serving for other in self._exchanges if other is not exchange
        )
        return self.closing and not others_being_served

    def on_body(self, data: bytes) -> None:
        """Append bytes to the request body."""
        exchange = self._receiving
        if exchange is None:
            return
        if exchange.body.size + len(data) > self.limits.body_bytes:
            raise RequestRejected(413, "body-too-large")
        self._body_progressed = True
        exchange.body.feed(data)

    def _check_body_progress(self, received: int) -> None:
        """Restart the time for the body's next bytes; limit what is no body, such as trailers."""
        if self._receiving is None:
            self._body_overhead_bytes = 0
            return
        if self._body_progressed:
            self._body_overhead_bytes = 0
            if self._bounds is not None:
                self._start_timer(self.limits.idle_time_ms)
            return
        self._body_overhead_bytes += received
        if self._body_overhead_bytes > self.limits.header_bytes:
            raise RequestRejected(431, "trailer-too-large")

    def on_message_complete(self) -> None:
        """Complete the request body."""
        exchange, self._receiving = self._receiving, None
        if exchange is not None and exchange.body.length != 0:
            self._stop_timer()
        if exchange is not None and not exchange.body.ended:
            exchange.body.end()

    # Requests

    def _check_head(self, head: messages.RequestHead) -> int | None:
        headers = head.headers
        names = [name for name, _ in headers]
        if names.count(b"host") > 1 or (head.http_version == "1.1" and b"host" not in names):
            raise RequestRejected(400, "host-header")
        if b"\x00" in head.target or b"upgrade" in names or head.method == b"CONNECT":
            raise RequestRejected(501, "upgrade-not-supported")
        if b"transfer-encoding" in names:
            if head.http_version == "1.0":
                raise RequestRejected(400, "transfer-encoding-in-http-1.0")
            if messages.get_header_text(headers, b"transfer-encoding").strip().lower() != "chunked":
                raise RequestRejected(400, "transfer-encoding")
            return None
        length = int(messages.get_header(headers, b"content-length") or 0)
        if length > self.limits.body_bytes:
            raise RequestRejected(413, "body-too-large")
        return length

    def _check_head_size(self, received: int) -> None:
        if not self._in_head:
            return
        self._head_size += received
        if self._head_size > self.limits.header_bytes:
            raise RequestRejected(431, "header-too-large")

    def _reject_for_error(self, cause: BaseException | None) -> None:
        if isinstance(cause, RequestRejected):
            self._reject(cause.status, cause.reason)
        else:
            log.error("parser_callback_failed", error=repr(cause))
            self._reject(500, "internal-error")

    def _reject(self, status: int, reason: str) -> None:
        """Respond to the request that is being received, after all earlier ones, and close."""
        self._rejected = True
        if self._closed:
            return
        self._stop_timer()
        log.info(
            "request_invalid", status=status, reason=reason, earlier_requests=self._count_earlier()
        )
        exchange = self._receiving
        if exchange is None:
            exchange = ServerExchange(self, self._incomplete_head())
            self._exchanges.append(exchange)
        elif exchange.response_started:
            # A second response to the same request would be taken for that to another one.
            self.abort()
            return
        exchange.reject(status, reason)

    def _incomplete_head(self) -> messages.RequestHead:
        """Return the head of a request that is rejected before its head is complete and valid.

        It has the method, where that is known: a response to HEAD has no body.
        """
        is_method_known = self._in_head and self._url
        return messages.RequestHead(self._parser.get_method() if is_method_known else b"", b"", [])

    def _count_earlier(self) -> int:
        return sum(exchange is not self._receiving for exchange in self._exchanges)

    def _serve(self, exchange: ServerExchange) -> None:
        exchange.serving = True
        deferred: Any = ensureDeferred(self._handler(exchange))  # type: ignore[arg-type]
        deferred.addErrback(self._handler_failed, exchange)

    def _handler_failed(self, failure: Any, exchange: ServerExchange) -> None:
        log.error(
            "request_handler_failed", error=repr(failure.value), traceback=failure.getTraceback()
        )
        exchange.abort()

    def exchange_finished(self, exchange: ServerExchange) -> None:
        """Serve the next request, wait for one, or close the connection."""
        self._last_ended_by_close = self._last_ended_by_close or self._is_ended_by_close(exchange)
        if self._exchanges and self._exchanges[0] is exchange:
            self._exchanges.popleft()
        if self._bounds is not None and not self._exchanges:
            self._bounds.memory.release(self)
        if not exchange.body.ended:
            # What still takes the body waits for bytes that are not read any more.
            exchange.body.abandon(ConnectionLost())
        if self._closed:
            # The response was behind the last one and is not sent.
            return
        if not exchange.keep_alive or not exchange.body.ended:
            self._close()
            return
        self._resume("pipeline")
        if self._exchanges:
            self._clock.call_later(0, self._serve_next)
        elif self._close_when_idle:
            self._close()
        elif not self._in_head:
            self._start_timer(self.limits.idle_time_ms)

    def _serve_next(self) -> None:
        if not self._exchanges or self._exchanges[0].response_started or self._closed:
            return
        if "response" in self._pause_reasons:
            # The next response would wait in memory behind the last one.
            return
        if self._exchanges[0].serving:
            self._exchanges[0].send_queued_response()
        else:
            self._serve(self._exchanges[0])

    # Writing and closing

    def write(self, data: bytes) -> None:
        """Send bytes to the client."""
        if self.transport is not None and self.connected and not self._closed:
            write_now(self.transport, data)

    def abort(self) -> None:
        """Abort the connection, unless its last response is complete and may yet be delivered."""
        if self._lingers:
            return
        self._closed = True
        if self.connected:
            self.transport.abortConnection()

    @property
    def busy(self) -> bool:
        """Whether an exchange is in progress or queued, or its response is not delivered."""
        if self._exchanges or has_unsent_bytes(self.transport):
            return True
        return self._lingers and has_unacknowledged_bytes(self.transport)

    @property
    def ended_by_client(self) -> bool:
        """Whether the client has closed the connection, also if that is still to be read."""
        return self._closed or is_ended_by_peer(self.transport)

    def close_when_idle(self) -> None:
        """Close the connection now if it is idle, else after the last response."""
        self.closing = True
        self._close_when_idle = True
        if not self._exchanges and not self._closed:
            self._close()

    def _close(self) -> None:
        """Close the connection once the client has all that was sent.

        Until then it is read, and what is read is discarded: if bytes were unread at the close, or
        followed it, the kernel would reset the connection and drop what is not delivered yet.
        """
        self._closed = True
        self._lingers = True
        self._receiving = None
        end_writing_once_sent(self.transport)
        self._linger(self._clock.now_ms())

    def _linger(self, now_ms: float) -> None:
        if has_unsent_bytes(self.transport):
            # Twisted takes the end of what the client sends for the end of the connection.
            self.transport.pauseProducing()
            return
        if not self._linger_limit_ms:
            self._timeout_at_ms = now_ms + LINGER_MS
            self._linger_limit_ms = now_ms + self.limits.idle_time_ms
            self.transport.resumeProducing()
        if now_ms < self._timeout_at_ms:
            return
        if now_ms >= self._linger_limit_ms or not has_unacknowledged_bytes(self.transport):
            self.transport.loseConnection()

    def _start_timer(self, delay_ms: float) -> None:
        self._timeout_at_ms = self._clock.now_ms() + delay_ms
        self._timeout_passed = False

    def _stop_timer(self) -> None:
        self._timeout_at_ms = 0.0

    def _waits_for_node(self) -> bool:
        """Return whether the client waits for the node: to read, to continue, or to respond."""
        exchange = self._receiving
        if exchange is not None and exchange.response_started:
            # A client may stop sending a body that is answered already, and reads the response.
            return True
        if exchange is not None and exchange.expects_continue and not exchange.serving:
            return True
        return bool(self._pause_reasons) and (self._in_head or exchange is not None)

    def check_timeout(self, now_ms: float) -> None:
        """Close the connection where its header or idle timeout has expired."""
        if self._bounds is not None and self in self.factory.connections:
            self._charge_memory(self._bounds)
        if self._lingers:
            self._linger(now_ms)
            return
        if not self._timeout_at_ms or now_ms < self._timeout_at_ms or self._closed:
            return
        if self._waits_for_node():
            # The client cannot complete the request meanwhile.
            self._start_timer(
                self.limits.header_time_ms if self._in_head else self.limits.idle_time_ms
            )
            return
        if not self._timeout_passed:
            # Until the next check, bytes are read that arrived while the process was suspended.
            self._timeout_passed = True
            return
        if self._in_head:
            self._reject(408, "header-timeout")
        elif self._receiving is not None:
            log.info("request_stalled", received_bytes=self._receiving.body.size)
            self.abort()
        else:
            self._close()


class ServerFactory(Factory):
    """Factory of a `ServerConnection` for each client."""

    noisy = False

    def __init__(
        self,
        handler: Callable[[ServerExchange], Awaitable[None]],
        limits: ServerLimits,
        clock: Clock,
        may_overlap: Callable[[messages.RequestHead], bool] = lambda head: False,
        bounds: ClientBounds | None = None,
    ) -> None:
        self._may_overlap = may_overlap
        self._bounds = bounds
        self.connections: set[ServerConnection] = set()
        self._handler = handler
        self._limits = limits
        self._clock = clock
        self._check_timer = WorkTimer(clock, TIMEOUT_CHECK_INTERVAL_MS, self._check_timeouts)
        self._closing = False

    def buildProtocol(self, addr: Any) -> ServerConnection | None:  # noqa: N802
        """Return a connection for the client at `addr`, or `None` where it is closed at once."""
        if self._bounds is not None and not self._bounds.connections.make_room():
            return None
        connection = ServerConnection(
            self._handler, self._limits, self._clock, self._may_overlap, self._bounds
        )
        connection.closing = self._closing
        connection.factory = self
        return connection

    def register(self, connection: ServerConnection) -> None:
        """Add a new connection to the timeout checks."""
        self.connections.add(connection)
        self._check_timer.wake()

    def set_limits(self, limits: ServerLimits) -> None:
        """Change the limits, including those of open connections."""
        self._limits = limits
        for connection in self.connections:
            connection.limits = limits

    def close(self) -> None:
        """Stop the timeout checks, because the reactor is to stop and to close all connections.

        Those whose close would hide that their response was cut are reset before that.
        """
        self._check_timer.close()
        for connection in list(self.connections):
            if connection.close_hides_truncation:
                abort_now(connection.transport)

    def _check_timeouts(self) -> bool:
        now_ms = self._clock.now_ms()
        for connection in list(self.connections):
            connection.check_timeout(now_ms)
        return bool(self.connections)

    def close_after_responses(self) -> None:
        """Close each connection after the next response whose head can still announce it."""
        self._closing = True
        for connection in self.connections:
            connection.closing = True

    def close_idle(self) -> None:
        """Close idle connections now and the others after their responses."""
        for connection in list(self.connections):
            connection.close_when_idle()
