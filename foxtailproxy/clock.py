"""Time in milliseconds, over the reactor's clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

if TYPE_CHECKING:
    from collections.abc import Callable

MS_PER_SECOND = 1000.0

Timer = Any
"""A call scheduled in the reactor: an `IDelayedCall`."""


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


def cancel_timer(timer: Timer | None) -> None:
    """Cancel `timer` if it is still pending."""
    if timer is not None and timer.active():
        timer.cancel()
