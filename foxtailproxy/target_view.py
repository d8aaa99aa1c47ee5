"""View of a peer's target, built from the load reports that come with its answers."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from foxtailproxy.admission import TYPICAL_SERVICE_HALF_LIFE_MS
from foxtailproxy.ejection import FAILURE_RATE_HALF_LIFE_MS, TargetHealth
from foxtailproxy.speed import Slowness

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock
    from foxtailproxy.load import Load
    from foxtailproxy.models.messages import MemberRecord

LOAD_HALF_LIFE_MS = 200.0
"""Half-life of a load report, in milliseconds."""

UNREPORTED_SLOWNESS_HALF_LIFE_MS = 2000.0
"""Half-life of a target's unreported slowness, in milliseconds."""


SILENT_AFTER_MS = 25.0
"""Time in milliseconds after which a load query that was not answered shows a silent node: one that
is lost, cut off or busy."""

SILENCE_RETENTION_MS = 1000.0
"""Time in milliseconds after which a silent node is queried again."""


EXPECTATION_WEIGHT = 0.1
"""Weight of the newest report in the exponentially weighted means over all targets of a service."""


class ServiceExpectation:
    """Wait and run times expected at a target of a service without a report of its own.

    They are means over the reports of the service's targets.
    """

    def __init__(self) -> None:
        self._usual_ms_by_class: dict[str, float] = {}
        self._wait_ms = 0.0
        self._slowness = 1.0

    def record(self, load: Load) -> None:
        """Record a load report of any target of the service."""
        if not load.slots:
            return
        self._wait_ms += EXPECTATION_WEIGHT * (load.wait_ms("") - self._wait_ms)
        if load.slowness:
            self._slowness += EXPECTATION_WEIGHT * (load.slowness - self._slowness)
        for class_name, usual_ms in load.usual_ms_by_class.items():
            mean_ms = self._usual_ms_by_class.get(class_name, usual_ms)
            self._usual_ms_by_class[class_name] = mean_ms + EXPECTATION_WEIGHT * (
                usual_ms - mean_ms
            )

    def expected_ms(self, class_name: str) -> float:
        """Return the expected wait and run time of a class in ms; 0 if it is unknown."""
        run_ms = self.run_ms(class_name)
        return self._wait_ms + run_ms if run_ms else 0.0

    def run_ms(self, class_name: str) -> float:
        """Return the expected run time of a class in ms; 0 if it is unknown."""
        return self._usual_ms_by_class.get(class_name, 0.0) * self._slowness


class TargetView:
    """This node's view of one peer's target: its load, health and outstanding calls."""

    def __init__(
        self, clock: Clock, member: MemberRecord, expectation: ServiceExpectation | None = None
    ) -> None:
        self.member = member
        self.expectation = expectation or ServiceExpectation()
        self.health = TargetHealth(clock)
        self.outstanding = 0
        self.slowness = Slowness(clock)
        self._clock = clock
        self._load: Load | None = None
        self._reported_ms = 0.0
        self._sent_since_report = 0.0
        self._queried_ms = -math.inf

    @property
    def has_load(self) -> bool:
        """Whether the target's node ever reported its load."""
        return self._load is not None

    @property
    def latest_load(self) -> Load | None:
        """Latest load report, if there is any."""
        return self._load

    @property
    def load_age_ms(self) -> float:
        """Age of the latest load report in ms; infinite if there is none."""
        return math.inf if self._load is None else self._clock.now_ms() - self._reported_ms

    @property
    def silent(self) -> bool:
        """Whether the target's node left a load query unanswered a short time ago."""
        elapsed_ms = self._clock.now_ms() - self._queried_ms
        return SILENT_AFTER_MS <= elapsed_ms < SILENCE_RETENTION_MS

    @property
    def avoided(self) -> bool:
        """Whether its node is silent, or said a short time ago that the target takes no calls."""
        if self._load is not None and not self._load.slots:
            return self.load_age_ms < SILENCE_RETENTION_MS
        return self.silent

    def begin_query(self) -> None:
        """Record that a load query is sent, unless an earlier one may still be answered."""
        if self._clock.now_ms() - self._queried_ms >= SILENCE_RETENTION_MS:
            self._queried_ms = self._clock.now_ms()

    def record_load(self, load: Load) -> None:
        """Record a load report; what it does not say of some classes is kept."""
        self.expectation.record(load)
        if self._load is not None:
            usual_ms_by_class = {**self._load.usual_ms_by_class, **load.usual_ms_by_class}
            load = replace(load, usual_ms_by_class=usual_ms_by_class)
        self._load = load
        self._queried_ms = -math.inf
        self._reported_ms = self._clock.now_ms()
        self._sent_since_report = 0.0
        if load.slowness:
            self.slowness.record(load.slowness, load.slowness_age_ms)

    def begin_send(self) -> None:
        """Count a call that is sent to the target."""
        self.outstanding += 1
        self._sent_since_report += 1

    def end_send(self) -> None:
        """Stop counting a call that was sent to the target and has ended."""
        self.outstanding -= 1

    def wait_ms(self, class_name: str) -> float:
        """Return the expected wait of a class in ms.

        It is the wait of the last report, with the calls sent since, decayed by the report's age.
        """
        if self._load is None:
            slots = max(1, self.member.slots)
            return max(0, self.outstanding + 1 - slots) / slots
        wait_ms = self._load.wait_ms(class_name, self._sent_since_report)
        return wait_ms * self._decay(LOAD_HALF_LIFE_MS) if wait_ms else 0.0

    def expected_ms(self, class_name: str, wait_ms: float | None = None) -> float:
        """Return the expected wait and run time at the target in ms; `wait_ms` if it is known."""
        if wait_ms is None:
            wait_ms = self.wait_ms(class_name)
        if self._load is None:
            # A target without a report is not expected to be idle.
            return max(wait_ms, self.expectation.expected_ms(class_name))
        return wait_ms + self._run_ms(self._load, class_name)

    def _run_ms(self, load: Load, class_name: str) -> float:
        usual_ms = load.usual_ms_by_class.get(class_name)
        if usual_ms is None:
            return load.typical_service_ms * self._decay(TYPICAL_SERVICE_HALF_LIFE_MS)
        run_ms = usual_ms * self.slowness.expected()
        if load.unreported_slowness == 1:
            return run_ms
        excess = load.unreported_slowness - 1
        return run_ms * (1 + excess * self._decay(UNREPORTED_SLOWNESS_HALF_LIFE_MS))

    def failure_rate(self) -> float:
        """Return the share of the target's calls that fail, from 0 to 1."""
        if self._load is None or not self._load.failure_rate:
            return 0.0
        return self._load.failure_rate * self._decay(FAILURE_RATE_HALF_LIFE_MS)

    def usual_ms(self, class_name: str) -> float:
        """Return the run time of a class in ms at the usual speed, 0 if unknown."""
        return 0.0 if self._load is None else self._load.usual_ms_by_class.get(class_name, 0.0)

    def occupancy(self) -> float:
        """Return the expected calls for each slot.

        It is the occupancy of the last report, with the calls sent since, decayed by the report's
        age, and at least the outstanding calls of this node.
        """
        if self._load is None:
            return self.outstanding / max(1, self.member.slots)
        unanswered_per_slot = self.outstanding / max(1, self.member.slots)
        reported = self._load.occupancy(self._sent_since_report)
        return max(unanswered_per_slot, reported * self._decay(LOAD_HALF_LIFE_MS))

    def _decay(self, half_life_ms: float) -> float:
        """Return the weight of the last report after exponential decay, from 1 to 0."""
        age_ms = self._clock.now_ms() - self._reported_ms
        return 0.5 ** (age_ms / half_life_ms)
