"""A body in transit from the connection that reads it to the one that writes it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from twisted.internet.defer import Deferred, succeed

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.http.errors import HttpError

HIGH_WATER_BYTES = 65536
"""Bytes held without a reader before the sender is paused."""


class BodySource(Protocol):
    """The connection that a body is read from."""

    def pause_body(self) -> None:
        """Stop reading."""

    def resume_body(self) -> None:
        """Read again."""


class BodySink(Protocol):
    """The reader of a body."""

    def body_data(self, data: bytes) -> None:
        """Take the next bytes."""

    def body_end(self) -> None:
        """The body is whole."""

    def body_failed(self, error: HttpError) -> None:
        """The body will never be whole."""


class BodyStream:
    """The bytes of one body, with back-pressure.

    Bytes are held until a sink is attached. `length` is the declared size in bytes, or `None`.
    `on_done` is called once, when the body is whole or cut.
    """

    __slots__ = (
        "length",
        "size",
        "ended",
        "error",
        "source",
        "on_done",
        "_chunks",
        "_buffered_bytes",
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
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._sink: BodySink | None = None
        self._buffer_waiter: tuple[int, Deferred[bool]] | None = None

    @classmethod
    def from_bytes(cls, data: bytes) -> BodyStream:
        """A whole body made of `data`."""
        body = cls(len(data))
        if data:
            body.feed(data)
        body.end()
        return body

    def feed(self, data: bytes) -> None:
        """Add bytes at the end."""
        self.size += len(data)
        if self._sink is not None:
            self._sink.body_data(data)
            return
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if self._buffer_waiter is not None and self._buffered_bytes > self._buffer_waiter[0]:
            self._resolve_waiter(False)
        if self._buffer_waiter is None and self._buffered_bytes > HIGH_WATER_BYTES:
            self.pause()

    def end(self) -> None:
        """Mark the body whole."""
        self.ended = True
        if self._sink is not None:
            self._sink.body_end()
        else:
            self._resolve_waiter(True)
        self._notify_done()

    def fail(self, error: HttpError) -> None:
        """Mark the body as cut; does nothing once it is whole."""
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

    def buffer(self, limit: int) -> Deferred[bool]:
        """Wait until the body is whole (`True`) or holds more than `limit` bytes (`False`).

        Fails with the body's `HttpError` where it is cut first.
        """
        if self.error is not None:
            failed: Deferred[bool] = Deferred()
            failed.errback(self.error)
            return failed
        if self.ended:
            return succeed(self._buffered_bytes <= limit)
        if self._buffered_bytes > limit or (self.length is not None and self.length > limit):
            return succeed(False)
        deferred: Deferred[bool] = Deferred()
        self._buffer_waiter = (limit, deferred)
        return deferred

    def buffered(self) -> bytes:
        """The bytes that no sink has taken yet."""
        return b"".join(self._chunks)

    def attach(self, sink: BodySink) -> None:
        """Give all bytes held, and those to come, to `sink`."""
        self._sink = sink
        chunks, self._chunks, self._buffered_bytes = self._chunks, [], 0
        for chunk in chunks:
            sink.body_data(chunk)
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
        """Ask the source to read again."""
        if self.source is not None and not self.ended:
            self.source.resume_body()

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
    """Reads a body to its end and keeps nothing."""

    def body_data(self, data: bytes) -> None:
        """Drop the bytes."""

    def body_end(self) -> None:
        """Nothing to do."""

    def body_failed(self, error: HttpError) -> None:
        """Nothing to do."""
