"""Server side of one exchange: a client's request and the response to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from foxtailproxy.http import messages
from foxtailproxy.http.body import BodyStream, DiscardSink
from foxtailproxy.http.errors import (
    BodyConsumed,
    BodyOverrun,
    BodyTooLarge,
    BodyTruncated,
    ConnectionLost,
    HttpError,
)
from foxtailproxy.http.memory import EXCHANGE_BYTES, head_bytes

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.http.server import ServerConnection

log = structlog.get_logger()

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

TOO_LARGE_STATUS = 413


class ServerExchange:
    """Request of a client and the response to it.

    `number` counts the requests of the connection from 0, `unread_ms` is the time for which this
    one waited for the process to read it.
    """

    def __init__(self, connection: ServerConnection, head: messages.RequestHead) -> None:
        self.head = head
        self.number = 0
        self.unread_ms = 0
        self.body = BodyStream(None, connection)
        self.keep_alive = True
        self.expects_continue = False
        self.serving = False
        self.response_started = False
        self.response_finished = False
        self.aborted = False
        self.on_aborted: Callable[[], None] | None = None
        self.on_response_failed: Callable[[HttpError], None] | None = None
        self._connection = connection
        self._request_bytes = EXCHANGE_BYTES + head_bytes(head.headers)
        self._chunked = False
        self._has_body = True
        self._response_body: BodyStream | None = None
        self._remaining_bytes: int | None = None
        self._queued_response: tuple[messages.ResponseHead, BodyStream] | None = None

    @property
    def held_bytes(self) -> int:
        """Memory that the request, and what waits of its response, takes, in bytes."""
        held = self._request_bytes + self.body.buffered_bytes
        if self._response_body is not None:
            held += self._response_body.buffered_bytes
        if self._queued_response is not None:
            held += self._queued_response[1].buffered_bytes
        return held

    @property
    def client_port(self) -> int:
        """Port of the client's end of the connection; it tells its connections apart."""
        return self._connection.client_port

    @property
    def client_left(self) -> bool:
        """Whether the client has closed the connection, also if that is still to be read.

        After a suspension of this process, a request may be read long after its client gave up.
        """
        return self.aborted or self._connection.ended_by_client

    def send_continue(self) -> None:
        """Send `100 Continue` where the client waits for it before it sends the body."""
        if self.expects_continue and not self.response_started and not self.body.ended:
            self.expects_continue = False
            self._connection.write(CONTINUE)

    def send_interim(self, status: int, headers: messages.HeaderList) -> None:
        """Send an interim response; has no effect once the final response has started."""
        if self.response_started or self.aborted or self.head.http_version == "1.0":
            return
        if not self._connection.is_next_to_respond(self):
            return
        head = messages.ResponseHead(status, messages.reason_phrase(status), headers)
        self._connection.write(messages.format_response(head, []))

    def respond(self, head: messages.ResponseHead, body: BodyStream) -> None:
        """Send the final response, or queue it until all earlier responses are sent."""
        if self.response_started or self.aborted or self._queued_response is not None:
            body.attach(DiscardSink())
        else:
            self._send_in_turn(head, body)

    def _send_in_turn(self, head: messages.ResponseHead, body: BodyStream) -> None:
        if self._connection.is_next_to_respond(self):
            self._send(head, body)
        else:
            self._queued_response = (head, body)

    def send_queued_response(self) -> None:
        """Send the queued response, if any; all earlier responses must have been sent."""
        response, self._queued_response = self._queued_response, None
        if response is not None:
            self._send(*response)

    def _send(self, head: messages.ResponseHead, body: BodyStream) -> None:
        self.response_started = True
        if body.attached:
            log.error(
                "response_body_consumed",
                status=head.status,
                received=body.size,
                held=body.buffered_bytes,
                client_port=self.client_port,
                request_number=self.number,
            )
            self.body_failed(BodyConsumed())
            return
        self._response_body = body
        framing = self._framing_headers(head, body)
        wire_head = messages.format_response(head, framing)
        if body.ended and not self._has_body:
            self._connection.write(wire_head)
            self._finish()
            return
        if body.ended and body.buffered_bytes == self._remaining_bytes:
            # A single write, so that the client reads head and body at once.
            self._connection.write(wire_head + body.buffered())
            self._finish()
            return
        self._connection.write(wire_head)
        body.attach(self)

    def _framing_headers(
        self, head: messages.ResponseHead, body: BodyStream
    ) -> messages.HeaderList:
        framing: messages.HeaderList = []
        self._has_body = (
            self.head.method != b"HEAD" and head.status not in messages.BODILESS_STATUSES
        )
        # A complete body has a length, whether or not its upstream declared one.
        length = body.size if body.ended and body.length is None else body.length
        if not self._has_body:
            if body.length is not None and head.status != 204 and body.length:
                framing.append((b"content-length", b"%d" % body.length))
        elif length is not None:
            self._remaining_bytes = length
            framing.append((b"content-length", b"%d" % length))
        elif self.head.http_version == "1.0":
            self.keep_alive = False
        else:
            self._chunked = True
            framing.append((b"transfer-encoding", b"chunked"))
        if self._connection.closes_after(self) or not self.body.ended:
            # The rest of the request could not be distinguished from the next request.
            self.keep_alive = False
        if not self.keep_alive:
            framing.append((b"connection", b"close"))
        elif self.head.http_version == "1.0":
            framing.append((b"connection", b"keep-alive"))
        return framing

    def body_data(self, data: bytes) -> None:
        """Send the next bytes of the response body."""
        if self.aborted or not self._has_body or not data:
            return
        if self._remaining_bytes is not None:
            if len(data) > self._remaining_bytes:
                # The rest would be taken for the beginning of the next response.
                self.body_failed(BodyOverrun())
                return
            self._remaining_bytes -= len(data)
        self._connection.write(messages.format_chunk(data) if self._chunked else data)

    def body_end(self) -> None:
        """Finish the response, or abort it where its body is shorter than declared."""
        if self.aborted or self.response_finished:
            return
        if self._has_body and self._remaining_bytes:
            self.body_failed(BodyTruncated())
            return
        if self._chunked:
            self._connection.write(messages.LAST_CHUNK)
        self._finish()

    def _finish(self) -> None:
        self.response_finished = True
        # These refer to the exchange, which is freed at once without them.
        self.on_aborted = self.on_response_failed = None
        self._response_body = None
        self._connection.exchange_finished(self)

    def body_failed(self, error: HttpError) -> None:
        """Abort the connection, so that the client can tell that the response is incomplete."""
        on_response_failed, self.on_response_failed = self.on_response_failed, None
        if on_response_failed is not None and not self.aborted:
            on_response_failed(error)
        self.abort()

    def reject(self, status: int, reason: str) -> None:
        """Respond to an invalid request in place of its handler, after all earlier responses."""
        outcome = "not-run" if self.on_aborted is None else "unknown"
        self.aborted = True
        self.keep_alive = False
        self.serving = True
        if self.on_aborted is not None:
            self.on_aborted()
        self.body.fail(BodyTooLarge() if status == TOO_LARGE_STATUS else ConnectionLost())
        head = messages.ResponseHead(
            status,
            messages.reason_phrase(status),
            [
                (b"content-type", b"application/json"),
                (b"foxtail-outcome", f"{outcome}; reason={reason}".encode()),
            ],
        )
        text = f'{{"outcome":"{outcome}","reason":"{reason}"}}\n'
        self._send_in_turn(head, BodyStream.from_bytes(text.encode()))

    def abort(self) -> None:
        """Abort the connection."""
        self.aborted = True
        self._connection.abort()

    def pause_response(self) -> None:
        """Pause the response body while the client reads slowly."""
        if self._response_body is not None:
            self._response_body.pause()

    def resume_response(self) -> None:
        """Resume the response body."""
        if self._response_body is not None:
            self._response_body.resume()

    def connection_lost(self) -> None:
        """Abort the exchange after the client has disconnected."""
        self.aborted = True
        self.body.abandon(ConnectionLost())
        if self._response_body is not None:
            self._response_body.resume()
        if self._queued_response is not None:
            self._queued_response[1].attach(DiscardSink())
        on_aborted, self.on_aborted = self.on_aborted, None
        if on_aborted is not None and not self.response_finished:
            on_aborted()
