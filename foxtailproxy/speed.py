"""How fast a target works at this moment, and how long its calls usually run."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock

SPEED_MEMORY_MS = 250.0
"""Time in which what an upstream said of its speed loses two thirds of its weight; neighbours on an
instance come and go several times a second."""

MEAN_WEIGHT = 0.02
"""Weight of the newest report in the mean slowness."""

FIRST_MEAN = 1.5
"""Mean slowness before any report; shared instances are rarely idle."""

SLOW_RATIO = 1.5
"""A target is slow for the moment where work takes so many times longer than at its best lately.
One that is cold after its start is not: waiting for some hundred milliseconds does not help."""

BEST_MEMORY_MS = 2000.0
"""Time in which the best speed of late loses two thirds of its weight."""

RUN_WEIGHT = 0.05
"""Weight of the newest call in the usual run time of its class."""

DRAG_WEIGHT = 0.15
"""Weight of the newest call in the drag; a target that turns slow shows after a few calls."""

DRAG_MEMORY_MS = 4000.0
"""Time in which the drag of a target that runs nothing loses two thirds of its weight."""

LONGEST_DRAG = 30.0
SHORTEST_RUN_MS = 0.5


class Slowness:
    """How many times longer than usual work takes at one target.

    The last report counts less the older it is; the mean of all reports takes its place.
    """

    def __init__(self, clock: Clock) -> None:
        self.last = FIRST_MEAN
        self._clock = clock
        self._reported_ms = -math.inf
        self._mean = FIRST_MEAN
        self._best = FIRST_MEAN

    @property
    def age_ms(self) -> float:
        """Age of the last report; infinite where there is none."""
        return self._clock.now_ms() - self._reported_ms

    @property
    def known(self) -> bool:
        """Whether the target ever reported its speed."""
        return self._reported_ms > -math.inf

    @property
    def slow(self) -> bool:
        """Whether work takes much longer now than it did a moment ago at its best."""
        return self.known and self.last > SLOW_RATIO * self._best

    def observe(self, value: float, age_ms: float = 0.0) -> None:
        """A report came in that is `age_ms` old; one that is older than the last is left out."""
        reported_ms = self._clock.now_ms() - age_ms
        if reported_ms < self._reported_ms:
            return
        if self.known:
            rise = 1 - math.exp(-(reported_ms - self._reported_ms) / BEST_MEMORY_MS)
            self._best = min(value, self._best + rise * (value - self._best))
        else:
            self._best = value
        self.last = value
        self._reported_ms = reported_ms
        self._mean += MEAN_WEIGHT * (value - self._mean)

    def expected(self) -> float:
        """The slowness to be expected now; 1 where the target does not report it."""
        if not self.known:
            return 1.0
        weight = math.exp(-self.age_ms / SPEED_MEMORY_MS)
        return self._mean + (self.last - self._mean) * weight


class RunTimes:
    """Usual run time of each class, at the usual speed; a few stragglers do not move it.

    The drag tells how much longer than that the latest calls took: a target that turned slow
    without saying so has one above 1.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log_by_class: dict[str, float] = {}
        self._count_by_class: dict[str, int] = {}
        self._log_drag = 0.0
        self._ended_ms = clock.now_ms()

    def record(self, class_name: str, elapsed_ms: float, slowness: float) -> None:
        """A call has ended that began when the target had `slowness`."""
        value = math.log(max(SHORTEST_RUN_MS, elapsed_ms) / max(slowness, 0.1))
        count = self._count_by_class.get(class_name, 0) + 1
        self._count_by_class[class_name] = count
        known = self._log_by_class.get(class_name, value)
        self._log_by_class[class_name] = known + max(RUN_WEIGHT, 1 / count) * (value - known)
        if count > 1:
            self._log_drag = self._faded_drag()
            self._log_drag += DRAG_WEIGHT * (value - known - self._log_drag)
        self._ended_ms = self._clock.now_ms()

    def usual_ms(self, class_name: str) -> float | None:
        """Usual run time of a class in ms, or `None` where it is not known."""
        value = self._log_by_class.get(class_name)
        return None if value is None else math.exp(value)

    def by_class(self) -> dict[str, float]:
        """Usual run time in ms of each class that was seen."""
        return {name: math.exp(value) for name, value in self._log_by_class.items()}

    def drag(self) -> float:
        """How many times longer than usual the latest calls took, at least 1."""
        return min(LONGEST_DRAG, max(1.0, math.exp(self._faded_drag())))

    def _faded_drag(self) -> float:
        idle_ms = self._clock.now_ms() - self._ended_ms
        return self._log_drag * math.exp(-idle_ms / DRAG_MEMORY_MS)
