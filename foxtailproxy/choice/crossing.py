"""Decision whether a call leaves the data centre of its caller.

It answers the load of a fleet whose data centres are large enough to serve most of their calls
themselves, but not at each moment: links between data centres are slower and paid for by the byte.
A call leaves where the chance of an answer in time rises by more than its bytes cost.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock

log = structlog.get_logger()

TIME_SPREAD = 0.7
"""Standard deviation of the logarithm of the time that a call takes over the time expected. One in
ten calls takes 2.5 times as long as expected: the speed of a target changes while it runs them."""

MIN_GAIN = 0.05
"""Smallest rise of the chance of an answer in time for which a call leaves. Smaller differences
between two targets are within the error of their load reports."""

COST_MARGIN = 1.5
"""Factor by which the gain of leaving must exceed the cost of the call's bytes."""

INITIAL_SHARE = 0.5
"""Share of the calls that may leave when leaving begins to pay."""

SHARE_STEP = 0.25
"""Rise of that share with each call for which leaving pays."""

TRIAL_INTERVAL_MS = 1000.0
"""Interval between calls that stay and run nearby while all others leave, in milliseconds. Without
them nothing would be learned of a target nearby, and one that was slow would stay unused."""

MAX_TRIAL_FAILURE_RATE = 0.05
"""Largest share of failing calls nearby with which a call that may run only once stays for that."""

SHARE_DECAY = 0.9
"""Factor of the share with each call for which leaving does not pay."""

LOG_INTERVAL_MS = 1000.0
"""Shortest interval between two log lines about one scope, in milliseconds."""


def in_time_chance(elapsed_ms: float, objective_left_ms: float) -> float:
    """Return the chance that a call expected to take `elapsed_ms` ends within its objective."""
    if objective_left_ms <= 0:
        return 0.0
    if elapsed_ms <= 0:
        return 1.0
    if math.isinf(elapsed_ms):
        return 0.0
    deviations = math.log(objective_left_ms / elapsed_ms) / TIME_SPREAD
    return 0.5 * (1 + math.erf(deviations / math.sqrt(2)))


@dataclass(frozen=True, slots=True)
class CrossingInputs:
    """What is known of one call when it may leave: times in ms, the cost in answers in time.

    `near_ms` is the expected time at the best target in the data centre, `far_ms` that at the best
    one elsewhere with the round trip; `near_ms` is infinite if no target is near. The failure rates
    are the shares of calls that fail at these targets, from 0 to 1.
    """

    near_ms: float
    far_ms: float
    objective_left_ms: float
    link_cost: float
    near_failure_rate: float = 0.0
    far_failure_rate: float = 0.0

    @property
    def gain(self) -> float:
        """Rise of the chance of an answer in time by leaving."""
        near_chance = in_time_chance(self.near_ms, self.objective_left_ms)
        far_chance = in_time_chance(self.far_ms, self.objective_left_ms)
        return far_chance * (1 - self.far_failure_rate) - near_chance * (1 - self.near_failure_rate)

    @property
    def pays(self) -> bool:
        """Whether leaving is worth the cost of the bytes."""
        if math.isinf(self.far_ms):
            return False
        if math.isinf(self.near_ms):
            return True
        return self.gain > MIN_GAIN + COST_MARGIN * self.link_cost


@dataclass(slots=True)
class CrossingShare:
    """Share of the calls of one scope that may leave, and the calls that left or stayed."""

    value: float = INITIAL_SHARE
    left: int = 0
    damped: int = 0
    tried_ms: float = -math.inf
    logged_ms: float = -math.inf


class Crossing(Enum):
    """Decision about one call: it leaves, stays, or runs nearby even if that takes longer."""

    LEAVE = "leave"
    STAY = "stay"
    TRY_NEARBY = "try-nearby"


class CrossingPolicy:
    """Policy by which calls leave the data centre.

    While leaving begins to pay, only a share of the calls leaves, so that the nodes of a data
    centre, which see the same load, do not all move at once. When all leave, single ones try the
    targets nearby.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._share_by_scope: dict[str, CrossingShare] = {}

    def copied_shares(self) -> dict[str, CrossingShare]:
        """Return a copy of the shares by scope."""
        return {scope: replace(share) for scope, share in self._share_by_scope.items()}

    def share_of(self, scope: str) -> float:
        """Return the share of the calls of a scope that may leave, from 0 to 1."""
        share = self._share_by_scope.get(scope)
        return INITIAL_SHARE if share is None else share.value

    def decide(self, scope: str, inputs: CrossingInputs, idempotent: bool) -> Crossing:
        """Decide about a call; `scope` names its service and what it would leave."""
        share = self._share_by_scope.setdefault(scope, CrossingShare())
        if not inputs.pays:
            share.value = max(INITIAL_SHARE, share.value * SHARE_DECAY)
            return Crossing.STAY
        decision = self._decide_paying(share, inputs, idempotent)
        share.value = min(1.0, share.value + SHARE_STEP)
        if decision is Crossing.LEAVE:
            share.left += 1
        else:
            share.damped += 1
        self._log(scope, inputs, share)
        return decision

    def _decide_paying(
        self, share: CrossingShare, inputs: CrossingInputs, idempotent: bool
    ) -> Crossing:
        """Decide about a call for which leaving pays."""
        if math.isinf(inputs.near_ms):
            return Crossing.LEAVE
        now_ms = self._clock.now_ms()
        may_try = idempotent or inputs.near_failure_rate <= MAX_TRIAL_FAILURE_RATE
        if may_try and share.value >= 1 and now_ms - share.tried_ms >= TRIAL_INTERVAL_MS:
            share.tried_ms = now_ms
            return Crossing.TRY_NEARBY
        return Crossing.LEAVE if self._rng.random() < share.value else Crossing.STAY

    def _log(self, scope: str, inputs: CrossingInputs, share: CrossingShare) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - share.logged_ms < LOG_INTERVAL_MS:
            return
        share.logged_ms = now_ms
        log.info(
            "data_center_left",
            scope=scope,
            near_ms=None if math.isinf(inputs.near_ms) else round(inputs.near_ms),
            far_ms=round(inputs.far_ms),
            objective_left_ms=round(inputs.objective_left_ms),
            gain=round(inputs.gain, 3),
            link_cost=round(inputs.link_cost, 3),
            share=round(share.value, 2),
            left=share.left,
            damped=share.damped,
        )

    def left_by_scope(self) -> dict[str, int]:
        """Return the number of calls that left, by scope."""
        return {scope: share.left for scope, share in self._share_by_scope.items()}
