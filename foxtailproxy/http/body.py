"""Body stream from the connection that reads it to the one that writes it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from twisted.internet.defer import Deferred, fail, succeed

from foxtailproxy.http.errors import BodyConsumed

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.http.errors import HttpError

HIGH_WATER_BYTES = 65536
"""Bytes buffered without a sink above which the source is paused."""


class BodySource(Protocol):
    """Connection that a body is read from."""

    def pause_body(self) -> None:
        """Stop reading the body."""

    def resume_body(self) -> None:
        """Resume reading the body."""

    def cancel_body(self) -> None:
        """Stop reading the body for good, and let the sender notice it."""


class BodySink(Protocol):
    """Consumer of a body."""

    def body_data(self, data: bytes) -> None:
        """Process the next bytes."""

    def body_end(self) -> None:
        """Process the end of a complete body."""

    def body_failed(self, error: HttpError) -> None:
        """Process the failure of a body that ended early."""


class BodyStream:
    """Bytes of one body, with back-pressure.

    Bytes are buffered until a sink is attached. A body has one sink: a further one, or a later
    call of `buffer`, gets a failure with `BodyConsumed`. `length` is the declared size in bytes, or
    `None`, and `size` the number of bytes received so far. `on_done` is called once, when the body
    is complete or has failed.
    """

    __slots__ = (
        "length",
        "size",
        "ended",
        "error",
        "source",
        "on_done",
        "_buffer",
        "_sink",
        "_buffer_waiter",
    )

    def __init__(self, length: int | None, source: BodySource | None = None) -> None:
        self.length = length
        self.size = 0
        self.ended = False
        self.error: HttpError | None = None
        self.source = source
        self.on_done: Callable[[], None] | None = None
        # One object for all chunks: a list of small ones takes many times their size.
        self._buffer: bytes | bytearray = b""
        self._sink: BodySink | None = None
        self._buffer_waiter: tuple[int, Deferred[bool]] | None = None

    @classmethod
    def from_bytes(cls, data: bytes) -> BodyStream:
        """Return a complete body that consists of `data`."""
        body = cls(len(data))
        if data:
            body.feed(data)
        body.end()
        return body

    def feed(self, data: bytes) -> None:
        """Append bytes to the body."""
        self.size += len(data)
        if self._sink is not None:
            self._sink.body_data(data)
            return
        self._append(data)
        if self._buffer_waiter is not None and self.buffered_bytes > self._buffer_waiter[0]:
            self._resolve_waiter(False)
        if self._buffer_waiter is None and self.buffered_bytes > HIGH_WATER_BYTES:
            self.pause()

    def _append(self, data: bytes) -> None:
        if not self._buffer:
            self._buffer = data
            return
        if isinstance(self._buffer, bytes):
            self._buffer = bytearray(self._buffer)
        self._buffer += data

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that have not been passed to a sink."""
        return len(self._buffer)

    def end(self) -> None:
        """Mark the body as complete."""
        # The source goes on to what follows, also while nothing takes the end of this body.
        self.resume()
        self.ended = True
        if self._sink is not None:
            self._sink.body_end()
        else:
            self._resolve_waiter(True)
        self._notify_done()

    def fail(self, error: HttpError) -> None:
        """Mark the body as failed; has no effect once it is complete."""
        if self.ended or self.error is not None:
            return
        self.error = error
        if self._sink is not None:
            self._sink.body_failed(error)
        elif self._buffer_waiter is not None:
            deferred = self._buffer_waiter[1]
            self._buffer_waiter = None
            deferred.errback(error)
        self._notify_done()

    def abandon(self, error: HttpError) -> None:
        """Fail the body unless it is complete, and free what it buffers."""
        self.fail(error)
        # Its traceback refers to what waited for the body, and that to the body.
        error.__traceback__ = None
        if not self.ended:
            self._buffer = b""

    def buffer(self, limit: int) -> Deferred[bool]:
        """Wait until the body is complete (`True`) or exceeds `limit` bytes (`False`).

        Fails with the body's `HttpError` where the body fails first.
        """
        if self._sink is not None:
            return fail(BodyConsumed())
        if self.error is not None:
            return fail(self.error)
        if self.ended:
            return succeed(self.buffered_bytes <= limit)
        if self.buffered_bytes > limit or (self.length is not None and self.length > limit):
            return succeed(False)
        deferred: Deferred[bool] = Deferred()
        self._buffer_waiter = (limit, deferred)
        return deferred

    def buffered(self) -> bytes:
        """Return the bytes that have not been passed to a sink."""
        if not isinstance(self._buffer, bytes):
            self._buffer = bytes(self._buffer)
        return self._buffer

    @property
    def attached(self) -> bool:
        """Whether bytes have been passed to a sink."""
        return self._sink is not None

    def truncate(self, size: int) -> None:
        """Discard the bytes after the first `size`; no sink may be attached."""
        self._buffer = self.buffered()[:size]
        self.size = len(self._buffer)

    def attach(self, sink: BodySink) -> None:
        """Pass the buffered bytes, and all that follow, to `sink`."""
        if self._sink is not None:
            sink.body_failed(BodyConsumed())
            return
        self._sink = sink
        buffered, self._buffer = self.buffered(), b""
        if buffered:
            sink.body_data(buffered)
        if self.ended:
            sink.body_end()
        elif self.error is not None:
            sink.body_failed(self.error)
        else:
            self.resume()

    def pause(self) -> None:
        """Ask the source to stop reading."""
        if self.source is not None and not self.ended:
            self.source.pause_body()

    def resume(self) -> None:
        """Ask the source to resume reading."""
        if self.source is not None and not self.ended:
            self.source.resume_body()

    def cancel(self) -> None:
        """Ask the source to end the body early, since nobody wants the rest."""
        if self.source is not None and not self.ended and self.error is None:
            self.source.cancel_body()

    def _notify_done(self) -> None:
        callback, self.on_done = self.on_done, None
        if callback is not None:
            callback()

    def _resolve_waiter(self, complete: bool) -> None:
        if self._buffer_waiter is not None:
            deferred = self._buffer_waiter[1]
            self._buffer_waiter = None
            deferred.callback(complete)


class DiscardSink:
    """Sink that reads a body to its end and discards it."""

    def body_data(self, data: bytes) -> None:
        """Discard the bytes."""

    def body_end(self) -> None:
        """Do nothing."""

    def body_failed(self, error: HttpError) -> None:
        """Do nothing."""
