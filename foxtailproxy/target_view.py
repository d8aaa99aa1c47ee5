"""View of a peer's target, built from the load reports that come with its answers."""

from __future__ import annotations

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


class TargetView:
    """This node's view of one peer's target: its load, health and outstanding calls."""

    def __init__(self, clock: Clock, member: MemberRecord) -> None:
        self.member = member
        self.health = TargetHealth(clock)
        self.outstanding = 0
        self.slowness = Slowness(clock)
        self._clock = clock
        self._load: Load | None = None
        self._reported_ms = 0.0
        self._sent_since_report = 0.0

    def record_load(self, load: Load) -> None:
        """Record a load report that came with an answer."""
        self._load = load
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
        return self._load.wait_ms(class_name, self._sent_since_report) * self._decay(
            LOAD_HALF_LIFE_MS
        )

    def expected_ms(self, class_name: str) -> float:
        """Return the expected wait and run time at the target in ms."""
        if self._load is None:
            return self.wait_ms(class_name)
        return self.wait_ms(class_name) + self._run_ms(self._load, class_name)

    def _run_ms(self, load: Load, class_name: str) -> float:
        usual_ms = load.usual_ms_by_class.get(class_name)
        if usual_ms is None:
            return load.typical_service_ms * self._decay(TYPICAL_SERVICE_HALF_LIFE_MS)
        unreported_slowness = 1 + (load.unreported_slowness - 1) * self._decay(
            UNREPORTED_SLOWNESS_HALF_LIFE_MS
        )
        return usual_ms * unreported_slowness * self.slowness.expected()

    def failure_rate(self) -> float:
        """Return the share of the target's calls that fail, from 0 to 1."""
        if self._load is None:
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
