"""Time and timers in milliseconds, based on the reactor's clock."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

log = structlog.get_logger()

MS_PER_SECOND = 1000.0

AWAKE_MS = 100.0
"""Time after a suspension in which a process reads what arrived meanwhile, in milliseconds."""

Timer = Any
"""A call scheduled with the reactor: an `IDelayedCall`."""


def monotonic_seconds() -> float:
    """Return the seconds since the instance booted, including time suspended; never set."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_monotonic_time(reactor: Any) -> None:
    """Make a reactor's timers use `monotonic_seconds`; call it before anything is scheduled.

    Twisted uses the time of day, so that a step of it would fire timers early or delay them.
    """
    reactor.seconds = monotonic_seconds


class Clock:
    """A clock and scheduler in milliseconds.

    `source` is a reactor, or `twisted.internet.task.Clock` if time is simulated.
    """

    def __init__(self, source: Any) -> None:
        self.source = source

    def now_ms(self) -> float:
        """Return the milliseconds since an arbitrary start; never decreases."""
        return self.source.seconds() * MS_PER_SECOND

    def call_later(self, delay_ms: float, function: Callable[..., Any], *args: Any) -> Timer:
        """Call `function` after `delay_ms`."""
        return self.source.callLater(max(0.0, delay_ms) / MS_PER_SECOND, function, *args)

    def call_later_awake(self, delay_ms: float, function: Callable[..., Any], *args: Any) -> None:
        """Call `function` after `delay_ms`, and not before this process was awake for `AWAKE_MS`.

        After a suspension, timers run before the sockets are read. So a timer that decides from
        what has not arrived would miss what did arrive meanwhile.
        """
        self.call_later(delay_ms - AWAKE_MS, self.call_later, AWAKE_MS, function, *args)

    def sleep(self, delay_ms: float) -> Deferred[None]:
        """Return a deferred that fires after `delay_ms`; cancelling it cancels the timer."""
        done: Deferred[None] = Deferred(lambda _: timer.cancel())
        timer = self.call_later(delay_ms, done.callback, None)
        return done

    def repeat(self, interval_ms: float, function: Callable[[], Any]) -> LoopingCall:
        """Call `function` every `interval_ms` until the returned loop is stopped.

        An error is logged and does not end the repetition.
        """

        def call() -> Deferred[Any]:
            return maybeDeferred(function).addErrback(_log_failure, function)

        loop = LoopingCall(call)
        loop.clock = self.source
        loop.start(interval_ms / MS_PER_SECOND, now=False)
        return loop


class WorkTimer:
    """A timer that calls `work` every `interval_ms` while there is work to do.

    `wake` starts it, and it stops when `work` returns that there is no more to do. A stopped timer
    costs nothing. After an error there may be work left, so the timer goes on.
    """

    def __init__(self, clock: Clock, interval_ms: float, work: Callable[[], bool]) -> None:
        self._clock = clock
        self._interval_ms = interval_ms
        self._work = work
        self._timer: Timer | None = None
        self._closed = False

    def wake(self) -> None:
        """Start the timer, unless it is running."""
        if self._timer is None and not self._closed:
            self._timer = self._clock.call_later(self._interval_ms, self._run)

    def close(self) -> None:
        """Stop the timer permanently."""
        self._closed = True
        cancel_timer(self._timer)
        self._timer = None

    def _run(self) -> None:
        self._timer = None
        try:
            has_more_work = self._work()
        except Exception:
            _log_failure(Failure(), self._work)
            has_more_work = True
        if has_more_work:
            self.wake()


def _log_failure(failure: Failure, function: Callable[[], Any]) -> None:
    log.error(
        "timer_failed",
        function=getattr(function, "__qualname__", repr(function)),
        error=repr(failure.value),
        traceback=failure.getTraceback(),
    )


def cancel_timer(timer: Timer | None) -> None:
    """Cancel `timer` if it is still pending."""
    if timer is not None and timer.active():
        timer.cancel()
