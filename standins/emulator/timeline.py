"""Simulated time: a queue of scheduled calls in place of a reactor."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class ScheduledCall:
    """One scheduled call; it can be cancelled until it was made."""

    __slots__ = ("_function", "_args", "_kwargs")

    def __init__(self, function: Callable[..., Any], args: Any, kwargs: Any) -> None:
        self._function: Callable[..., Any] | None = function
        self._args = args
        self._kwargs = kwargs

    def active(self) -> bool:
        """Return whether the call is still to be made."""
        return self._function is not None

    def cancel(self) -> None:
        """Do not make the call."""
        self._function = None

    def run(self) -> None:
        """Make the call, unless it was cancelled."""
        function, self._function = self._function, None
        if function is not None:
            function(*self._args, **self._kwargs)


class Timeline:
    """Source of a `Clock` that moves from one scheduled call to the next."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._queue: list[tuple[float, int, ScheduledCall]] = []
        self._numbers = itertools.count()

    def seconds(self) -> float:
        """Return the simulated time in seconds."""
        return self._now_s

    def callLater(  # noqa: N802
        self, delay: float, function: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> ScheduledCall:
        """Schedule a call in `delay` seconds."""
        call = ScheduledCall(function, args, kwargs)
        heapq.heappush(self._queue, (self._now_s + delay, next(self._numbers), call))
        return call

    def run_until(self, seconds: float) -> None:
        """Make all calls that are due until `seconds`, in order of time."""
        while self._queue and self._queue[0][0] <= seconds:
            self._now_s, _, call = heapq.heappop(self._queue)
            call.run()
        self._now_s = seconds
