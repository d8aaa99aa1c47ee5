"""Logs: one line of key=value pairs for each event, bounded and without blocking.

Lines go to a stream that may be slow or stuck. What it does not take at once waits in a small
buffer; when that is full, or an event comes too often, lines are dropped and counted, and the
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
"""Lines that wait for a stream that does not take them."""

MAX_LINES_PER_SECOND = 400
"""Lines of one event in a second; beyond it, one in `SAMPLING_INTERVAL` is written. At the target
size a node ends some 50 calls a second."""

SAMPLING_INTERVAL = 20

DROPPED_KEY = "log_dropped"


class LogStream:
    """Writes lines to a file descriptor without waiting for it."""

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Write one line, or keep it for later, or drop it."""
        line = message.encode("utf-8", "replace") + b"\n"
        if len(self._buffer) >= MAX_BUFFERED_LINES:
            self.dropped += 1
        else:
            self._buffer.append(line)
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the stream takes it."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the stream any more; there is no other place for the lines.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    debug = info = warning = warn = error = critical = exception = fatal = log = msg


class EventSampler:
    """A processor that drops lines of an event that comes too often, and tells how many."""

    def __init__(self, stream: LogStream, now_s: Callable[[], float] = time.monotonic) -> None:
        self._stream = stream
        self._now_s = now_s
        self._second = 0
        self._count_by_event: dict[str, int] = {}
        self._dropped = 0

    def __call__(self, logger: Any, method: str, event_dict: Any) -> Any:
        """Pass a line on, or raise `DropEvent`."""
        second = int(self._now_s())
        if second != self._second:
            self._second = second
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
    """Write the log lines of a node to standard output."""
    stream = LogStream(sys.stdout.fileno())
    _configure(lambda *_: stream, [EventSampler(stream)])
    return stream


def configure_client_logs() -> None:
    """Write the log lines of a command to standard error, apart from what it prints."""
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
