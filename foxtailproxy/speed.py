"""Estimates of a target's current slowness and of the usual run times of its calls."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock

SLOWNESS_TIME_CONSTANT_MS = 250.0
"""Time constant of the decay of a slowness report, in milliseconds. It is short because neighbours
on a shared instance come and go several times a second."""

MEAN_SLOWNESS_WEIGHT = 0.02
"""Weight of the newest report in the exponentially weighted mean slowness."""

INITIAL_MEAN_SLOWNESS = 1.5
"""Mean slowness before the first report; above 1 because shared instances are rarely idle."""

TEMPORARILY_SLOW_RATIO = 1.5
"""Ratio of the latest slowness to the recent best above which a target is temporarily slow. A
target that is cold after its start is not: waiting for some hundred milliseconds does not help."""

BEST_SLOWNESS_TIME_CONSTANT_MS = 2000.0
"""Time constant of the decay of the recent best slowness, in milliseconds."""

RUN_TIME_WEIGHT = 0.05
"""Minimum weight of the newest call in the exponentially weighted usual run time of its class."""

UNREPORTED_SLOWNESS_WEIGHT = 0.15
"""Weight of the newest call in the unreported slowness; a target that becomes slow is recognized
after a few calls."""

UNREPORTED_SLOWNESS_TIME_CONSTANT_MS = 4000.0
"""Time constant of the decay of the unreported slowness at a target that runs no calls, in
milliseconds."""

MAX_UNREPORTED_SLOWNESS = 30.0
MIN_RUN_MS = 0.5


class Slowness:
    """Estimate of the factor by which work takes longer than usual at one target.

    The weight of the latest report decays with its age, and the estimate approaches the
    exponentially weighted mean of all reports.
    """

    def __init__(self, clock: Clock) -> None:
        self.latest = INITIAL_MEAN_SLOWNESS
        self._clock = clock
        self._reported_ms = -math.inf
        self._mean_slowness = INITIAL_MEAN_SLOWNESS
        self._best_slowness = INITIAL_MEAN_SLOWNESS

    @property
    def age_ms(self) -> float:
        """Age of the latest report in ms; infinite if there is none."""
        return self._clock.now_ms() - self._reported_ms

    @property
    def has_report(self) -> bool:
        """Whether the target ever reported its slowness."""
        return self._reported_ms > -math.inf

    @property
    def temporarily_slow(self) -> bool:
        """Whether work takes much longer now than at the target's recent best."""
        return self.has_report and self.latest > TEMPORARILY_SLOW_RATIO * self._best_slowness

    def record(self, value: float, age_ms: float = 0.0) -> None:
        """Record a report that is `age_ms` old; ignore one that is older than the latest."""
        reported_ms = self._clock.now_ms() - age_ms
        if reported_ms < self._reported_ms:
            return
        if self.has_report:
            weight = 1 - math.exp(
                -(reported_ms - self._reported_ms) / BEST_SLOWNESS_TIME_CONSTANT_MS
            )
            self._best_slowness = min(
                value, self._best_slowness + weight * (value - self._best_slowness)
            )
        else:
            self._best_slowness = value
        self.latest = value
        self._reported_ms = reported_ms
        self._mean_slowness += MEAN_SLOWNESS_WEIGHT * (value - self._mean_slowness)

    def expected(self) -> float:
        """Return the slowness expected now; 1 if the target does not report it."""
        if not self.has_report:
            return 1.0
        weight = math.exp(-self.age_ms / SLOWNESS_TIME_CONSTANT_MS)
        return self._mean_slowness + (self.latest - self._mean_slowness) * weight


class RunTimes:
    """Estimate of the run time of each class at the usual speed, robust against a few stragglers.

    The unreported slowness is the factor by which the latest calls took longer than that; it is
    above 1 at a target that became slow without reporting it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log_run_ms_by_class: dict[str, float] = {}
        self._count_by_class: dict[str, int] = {}
        self._log_unreported_slowness = 0.0
        self._last_end_ms = clock.now_ms()

    def record(self, class_name: str, elapsed_ms: float, slowness: float) -> None:
        """Record the run time of a call that began when the target had `slowness`."""
        log_run_ms = math.log(max(MIN_RUN_MS, elapsed_ms) / max(slowness, 0.1))
        count = self._count_by_class.get(class_name, 0) + 1
        self._count_by_class[class_name] = count
        previous = self._log_run_ms_by_class.get(class_name, log_run_ms)
        self._log_run_ms_by_class[class_name] = previous + max(RUN_TIME_WEIGHT, 1 / count) * (
            log_run_ms - previous
        )
        if count > 1:
            self._log_unreported_slowness = self._decayed_log_slowness()
            self._log_unreported_slowness += UNREPORTED_SLOWNESS_WEIGHT * (
                log_run_ms - previous - self._log_unreported_slowness
            )
        self._last_end_ms = self._clock.now_ms()

    def usual_ms(self, class_name: str) -> float | None:
        """Return the usual run time of a class in ms, or `None` if it is unknown."""
        value = self._log_run_ms_by_class.get(class_name)
        return None if value is None else math.exp(value)

    def usual_ms_by_class(self) -> dict[str, float]:
        """Return the usual run time in ms of each class with a recorded call."""
        return {name: math.exp(value) for name, value in self._log_run_ms_by_class.items()}

    def unreported_slowness(self) -> float:
        """Return the factor by which the latest calls took longer than expected, at least 1."""
        return min(MAX_UNREPORTED_SLOWNESS, max(1.0, math.exp(self._decayed_log_slowness())))

    def _decayed_log_slowness(self) -> float:
        idle_ms = self._clock.now_ms() - self._last_end_ms
        return self._log_unreported_slowness * math.exp(
            -idle_ms / UNREPORTED_SLOWNESS_TIME_CONSTANT_MS
        )
