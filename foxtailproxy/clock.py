"""Time in milliseconds, over the reactor's clock."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

if TYPE_CHECKING:
    from collections.abc import Callable

MS_PER_SECOND = 1000.0

Timer = Any
"""A call scheduled in the reactor: an `IDelayedCall`."""


def monotonic_seconds() -> float:
    """Seconds since the instance started: never set, and counted while it is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_monotonic_time(reactor: Any) -> None:
    """Let a reactor's timers follow `monotonic_seconds`, before anything is scheduled.

    Twisted reads the time of day, so that a step of it would end or hold up whatever waits.
    """
    reactor.seconds = monotonic_seconds


class Clock:
    """Reads time and schedules calls, in milliseconds.

    `source` is a reactor, or `twisted.internet.task.Clock` where time is simulated.
    """

    def __init__(self, source: Any) -> None:
        self.source = source

    def now_ms(self) -> float:
        """Milliseconds since an arbitrary start; never goes back."""
        return self.source.seconds() * MS_PER_SECOND

    def call_later(self, delay_ms: float, function: Callable[..., Any], *args: Any) -> Timer:
        """Call `function` after `delay_ms`."""
        return self.source.callLater(max(0.0, delay_ms) / MS_PER_SECOND, function, *args)

    def sleep(self, delay_ms: float) -> Deferred[None]:
        """A deferred that fires after `delay_ms`; cancelling it cancels the timer."""
        done: Deferred[None] = Deferred(lambda _: timer.cancel())
        timer = self.call_later(delay_ms, done.callback, None)
        return done

    def repeat(self, interval_ms: float, function: Callable[[], Any]) -> LoopingCall:
        """Call `function` every `interval_ms` until the returned loop is stopped."""
        loop = LoopingCall(function)
        loop.clock = self.source
        loop.start(interval_ms / MS_PER_SECOND, now=False)
        return loop


class WorkTimer:
    """Calls `work` every `interval_ms` while there is work, which `wake` announces.

    `work` returns whether there is more to do. A timer without work costs nothing.
    """

    def __init__(self, clock: Clock, interval_ms: float, work: Callable[[], bool]) -> None:
        self._clock = clock
        self._interval_ms = interval_ms
        self._work = work
        self._timer: Timer | None = None
        self._closed = False

    def wake(self) -> None:
        """There is work: begin to call, unless that goes on already."""
        if self._timer is None and not self._closed:
            self._timer = self._clock.call_later(self._interval_ms, self._run)

    def close(self) -> None:
        """Stop for good."""
        self._closed = True
        cancel_timer(self._timer)
        self._timer = None

    def _run(self) -> None:
        self._timer = None
        if self._work():
            self.wake()


def cancel_timer(timer: Timer | None) -> None:
    """Cancel `timer` if it is still pending."""
    if timer is not None and timer.active():
        timer.cancel()
