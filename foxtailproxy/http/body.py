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
        "_held",
        "_sink",
        "_wait",
    )

    def __init__(self, length: int | None, source: BodySource | None = None) -> None:
        self.length = length
        self.size = 0
        self.ended = False
        self.error: HttpError | None = None
        self.source = source
        self.on_done: Callable[[], None] | None = None
        self._chunks: list[bytes] = []
        self._held = 0
        self._sink: BodySink | None = None
        self._wait: tuple[int, Deferred[bool]] | None = None

    @classmethod
    def of(cls, data: bytes) -> BodyStream:
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
        self._held += len(data)
        if self._wait is not None and self._held > self._wait[0]:
            self._fire(False)
        if self._wait is None and self._held > HIGH_WATER_BYTES:
            self.pause()

    def end(self) -> None:
        """Mark the body whole."""
        self.ended = True
        if self._sink is not None:
            self._sink.body_end()
        else:
            self._fire(True)
        self._done()

    def fail(self, error: HttpError) -> None:
        """Mark the body as cut; does nothing once it is whole."""
        if self.ended or self.error is not None:
            return
        self.error = error
        if self._sink is not None:
            self._sink.body_failed(error)
        elif self._wait is not None:
            waiting = self._wait[1]
            self._wait = None
            waiting.errback(error)
        self._done()

    def buffer(self, limit: int) -> Deferred[bool]:
        """Wait until the body is whole (`True`) or holds more than `limit` bytes (`False`).

        Fails with the body's `HttpError` where it is cut first.
        """
        if self.error is not None:
            failed: Deferred[bool] = Deferred()
            failed.errback(self.error)
            return failed
        if self.ended:
            return succeed(self._held <= limit)
        if self._held > limit or (self.length is not None and self.length > limit):
            return succeed(False)
        waiting: Deferred[bool] = Deferred()
        self._wait = (limit, waiting)
        return waiting

    def held(self) -> bytes:
        """The bytes that no sink has taken yet."""
        return b"".join(self._chunks)

    def attach(self, sink: BodySink) -> None:
        """Give all bytes held, and those to come, to `sink`."""
        self._sink = sink
        chunks, self._chunks, self._held = self._chunks, [], 0
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

    def _done(self) -> None:
        done, self.on_done = self.on_done, None
        if done is not None:
            done()

    def _fire(self, whole: bool) -> None:
        if self._wait is not None:
            waiting = self._wait[1]
            self._wait = None
            waiting.callback(whole)


class DiscardSink:
    """Reads a body to its end and keeps nothing."""

    def body_data(self, data: bytes) -> None:
        """Drop the bytes."""

    def body_end(self) -> None:
        """Nothing to do."""

    def body_failed(self, error: HttpError) -> None:
        """Nothing to do."""
