"""Ejection of failing targets, and their readmission by trial calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from automat import TypeMachineBuilder

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock

CONSECUTIVE_FAILURE_LIMIT = 5
"""Consecutive failures after which a target is ejected."""

UNREACHABLE_WEIGHT = 3
"""Failures that a failed connection attempt counts as. Two in a row eject a target; one may be due
to a lost packet."""

MIN_EJECTION_MS = 1_000
MAX_EJECTION_MS = 30_000

MAX_EJECTED_SHARE = 0.5
"""Maximum share of a service's targets that are ejected at the same time."""


FAILURE_RATE_WEIGHT = 0.08
"""Weight of the newest call in the exponentially weighted failure rate."""

FAILURE_RATE_HALF_LIFE_MS = 3000.0
"""Half-life of the failure rate, in milliseconds. It decays while no calls end, so that a target
that has recovered is tried again."""


class FailureRate:
    """Exponentially weighted share of a target's calls that fail, from 0 to 1."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._value = 0.0
        self._updated_ms = clock.now_ms()

    def record(self, failed: bool) -> None:
        """Record the end of a call."""
        value = self.value()
        self._value = value + FAILURE_RATE_WEIGHT * (failed - value)
        self._updated_ms = self._clock.now_ms()

    def value(self) -> float:
        """Return the current share, decayed since the last call."""
        age_ms = self._clock.now_ms() - self._updated_ms
        return self._value * 0.5 ** (age_ms / FAILURE_RATE_HALF_LIFE_MS)


@dataclass(slots=True)
class HealthCore:
    """State of the health of one target: recent failures and ejections."""

    clock: Clock
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected: bool = False
    trial_due_ms: float = 0.0

    def eject(self) -> None:
        """Eject the target, twice as long for each consecutive ejection, up to a maximum."""
        self.ejected = True
        self.consecutive_failures = 0
        duration_ms = min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2**self.consecutive_ejections)
        self.consecutive_ejections += 1
        self.trial_due_ms = self.clock.now_ms() + duration_ms


class HealthInputs(Protocol):
    """Inputs of the health state machine."""

    def success(self) -> None:
        """Record an answered call."""

    def failure(self, weight: int) -> None:
        """Record a failed call, which counts as `weight` failures."""

    def limit_reached(self) -> None:
        """Eject the target after too many consecutive failures."""

    def trial(self) -> None:
        """Begin a trial call."""


_builder = TypeMachineBuilder(HealthInputs, HealthCore)
_healthy = _builder.state("healthy")
_ejected = _builder.state("ejected")
_trial = _builder.state("trial")


@_healthy.upon(HealthInputs.success).loop()
def _healthy_success(inputs: HealthInputs, core: HealthCore) -> None:
    core.consecutive_failures = 0
    core.consecutive_ejections = 0


@_healthy.upon(HealthInputs.failure).loop()
def _healthy_failure(inputs: HealthInputs, core: HealthCore, weight: int) -> None:
    core.consecutive_failures += weight


@_healthy.upon(HealthInputs.limit_reached).to(_ejected)
def _healthy_eject(inputs: HealthInputs, core: HealthCore) -> None:
    core.eject()


@_ejected.upon(HealthInputs.trial).to(_trial)
def _begin_trial(inputs: HealthInputs, core: HealthCore) -> None:
    core.trial_due_ms = core.clock.now_ms() + MIN_EJECTION_MS


@_trial.upon(HealthInputs.success).to(_healthy)
def _trial_success(inputs: HealthInputs, core: HealthCore) -> None:
    core.ejected = False
    core.consecutive_failures = 0


@_trial.upon(HealthInputs.failure).to(_ejected)
def _trial_failure(inputs: HealthInputs, core: HealthCore, weight: int) -> None:
    core.eject()


_trial.upon(HealthInputs.trial).loop().returns(None)
_trial.upon(HealthInputs.limit_reached).loop().returns(None)
_ejected.upon(HealthInputs.success).loop().returns(None)
_ejected.upon(HealthInputs.failure).loop().returns(None)
_ejected.upon(HealthInputs.limit_reached).loop().returns(None)
_healthy.upon(HealthInputs.trial).loop().returns(None)

_build_health = _builder.build()


class TargetHealth:
    """Health of one target, judged by the outcomes of earlier calls."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._core = HealthCore(clock)
        self._machine = _build_health(self._core)

    @property
    def ejected(self) -> bool:
        """Whether the target is ejected."""
        return self._core.ejected

    @property
    def trial_due(self) -> bool:
        """Whether a trial call may test if the ejected target has recovered."""
        return self._core.ejected and self._clock.now_ms() >= self._core.trial_due_ms

    def begin_trial(self) -> None:
        """Begin a trial call."""
        self._machine.trial()

    def record_success(self) -> None:
        """Record an answered call."""
        self._machine.success()

    def record_failure(self, may_eject: bool, weight: int = 1) -> None:
        """Record a failed call, which counts as `weight` failures.

        `may_eject` tells whether enough targets are left without this one.
        """
        self._machine.failure(weight)
        if may_eject and self._core.consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT:
            self._machine.limit_reached()
