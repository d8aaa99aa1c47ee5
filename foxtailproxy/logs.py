"""Structured logs: one line of key=value pairs for each event, written without blocking.

The stream may be slow or stuck. Lines that it does not accept at once wait in a bounded buffer.
When the buffer is full, or an event is logged too often, lines are dropped and counted, and the
count is logged.
"""

from __future__ import annotations

import os
import sys
import time
from collections import deque
from typing import TYPE_CHECKING, Any

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_BUFFERED_LINES = 1000
"""Maximum number of lines buffered for a stream that does not accept them."""

MAX_LINES_PER_SECOND = 400
"""Maximum number of lines of one event per second; above it, one in `SAMPLING_INTERVAL` is written.
At the intended size of the fleet, about 50 calls per second end at a node."""

SAMPLING_INTERVAL = 20

DROPPED_KEY = "log_dropped"


class LogStream:
    """Non-blocking writer of log lines to a file descriptor."""

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Write one line, buffer it, or drop it if the buffer is full."""
        line = message.encode("utf-8", "replace") + b"\n"
        if len(self._buffer) >= MAX_BUFFERED_LINES:
            self.dropped += 1
        else:
            self._buffer.append(line)
        self.flush()

    def flush(self) -> None:
        """Write the buffered lines until the stream would block."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The stream has no reader any more, and the lines cannot go anywhere else.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    debug = info = warning = warn = error = critical = exception = fatal = log = msg


class EventSampler:
    """Structlog processor that samples events logged too often and reports the dropped lines."""

    def __init__(self, stream: LogStream, now_s: Callable[[], float] = time.monotonic) -> None:
        self._stream = stream
        self._now_s = now_s
        self._current_second = 0
        self._count_by_event: dict[str, int] = {}
        self._dropped = 0

    def __call__(self, logger: Any, method: str, event_dict: Any) -> Any:
        """Return the event, or raise `DropEvent` to drop its line."""
        second = int(self._now_s())
        if second != self._current_second:
            self._current_second = second
            self._count_by_event.clear()
            event_dict = self._add_dropped_count(event_dict)
        event = event_dict["event"]
        count = self._count_by_event.get(event, 0) + 1
        self._count_by_event[event] = count
        if count > MAX_LINES_PER_SECOND and count % SAMPLING_INTERVAL:
            self._dropped += 1
            raise structlog.DropEvent
        return event_dict

    def _add_dropped_count(self, event_dict: Any) -> Any:
        dropped, self._dropped = self._dropped + self._stream.dropped, 0
        self._stream.dropped = 0
        if dropped:
            event_dict[DROPPED_KEY] = dropped
        return event_dict


def configure_logs() -> LogStream:
    """Configure a node to log to standard output; return the stream."""
    stream = LogStream(sys.stdout.fileno())
    _configure(lambda *_: stream, [EventSampler(stream)])
    return stream


def configure_client_logs() -> None:
    """Configure a command to log to standard error, separate from its output."""
    _configure(structlog.PrintLoggerFactory(file=sys.stderr), [])


def _configure(logger_factory: Any, leading_processors: list[Any]) -> None:
    structlog.configure(
        processors=[
            *leading_processors,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=logger_factory,
        cache_logger_on_first_use=True,
    )
