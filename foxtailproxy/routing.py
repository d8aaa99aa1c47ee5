"""Selection of the target for a call: local first, else the best of a few sampled peers."""

from __future__ import annotations

import hashlib
import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from foxtailproxy.admission import DEFAULT_RUN_SHARE
from foxtailproxy.choice.crossing import Crossing, CrossingInputs, CrossingPolicy
from foxtailproxy.ejection import TargetHealth
from foxtailproxy.load import Load
from foxtailproxy.models.settings import LinksSection
from foxtailproxy.speed import SLOWNESS_TIME_CONSTANT_MS
from foxtailproxy.target_index import LOCAL_DATA_CENTER_CANDIDATES, Sample, TargetIndex
from foxtailproxy.target_policy import RUN_AT_ONCE, DeclinePolicy
from foxtailproxy.target_view import TargetView

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock
    from foxtailproxy.config.rules import Match
    from foxtailproxy.models.messages import MemberRecord
    from foxtailproxy.target import Target

LOCAL_DATA_CENTER_RTT_MS = 1.0
LOCAL_REGION_RTT_MS = 3.0
OTHER_REGION_RTT_MS = 40.0
"""Round-trip times in milliseconds to a target in the local data centre, in another data centre of
the local region, and in another region; users name 1 to 3 ms and 20 ms one way."""

ANSWER_SIZE_WEIGHT = 0.05
"""Weight of the newest answer in the exponentially weighted mean answer size of a class."""

CALL_HEAD_BYTES = 700
"""Bytes of the request and response heads of a call between two nodes."""

BYTES_PER_MB = 1_000_000

OVERFLOW_SLOWNESS = 1.5
"""Slowness of the best target in the local region above which other regions are considered. Such a
target may be faster again in a moment."""

MIN_HOLD_MS = 60.0
"""Minimum time in milliseconds for which one of several slow targets holds a call before the call
is rerouted to another one; a few reports of the target's slowness arrive in that time."""

HOLD_SHARE = 0.25
"""Share of the available hold time that one target may use, so that a call can be held by a few
targets in turn."""

LATE_COST_SHARE = 0.9
"""Cost of an answer after the objective, as a share of the objective; it is still of some worth."""

OCCUPANCY_COST_SHARE = 1.0
"""Cost of a target whose slots are all occupied, as a share of a call's usual run time. Without it
many nodes would choose the target that seems a little faster, until it is full."""

NEAR_CANDIDATES_BY_CHANCE = 4
"""Maximum number of sampled targets in the local data centre where calls leave it by chance. If a
quarter of the targets are slow at any time, one of four is at its usual speed nearly always."""

RESERVED_RUN_TIMES = 1.5
"""Part of the objective that a held call keeps in reserve for its run, in usual run times."""


@dataclass(frozen=True, slots=True)
class ChoiceEstimate:
    """Estimate behind a choice: the expected time and the ages of the reports, in ms.

    `node_id` is the node beside the target, empty for the local target. `report_age_ms` is the age
    of the slowness report, `load_age_ms` that of the load report; -1 without one. `usual_ms` is the
    run time of the class at the usual speed, 0 if unknown.
    """

    node_id: str = ""
    expected_ms: float = 0.0
    usual_ms: float = 0.0
    report_age_ms: float = -1.0
    load_age_ms: float = 0.0


NO_ESTIMATE = ChoiceEstimate()


@dataclass(frozen=True, slots=True)
class LocalChoice:
    """Choice of the local target."""

    decline_policy: DeclinePolicy = RUN_AT_ONCE
    estimate: ChoiceEstimate = NO_ESTIMATE


@dataclass(frozen=True, slots=True)
class PeerChoice:
    """Choice of another target, through the node beside it."""

    view: TargetView
    decline_policy: DeclinePolicy = RUN_AT_ONCE
    estimate: ChoiceEstimate = NO_ESTIMATE


Choice = LocalChoice | PeerChoice


@dataclass(frozen=True, slots=True)
class TargetEstimate:
    """What a choice assumes of one target; times in ms.

    `elapsed_ms` is the expected time with the round trip, `total_ms` that with all costs as times.
    """

    avoided: bool
    occupancy: float
    usual_ms: float
    wait_ms: float
    elapsed_ms: float
    total_ms: float


@dataclass(frozen=True, slots=True)
class CallCost:
    """What the cost of a call at a target depends on, besides the target.

    `request_bytes` is the size of the request, `objective_left_ms` the time left of the call's
    objective, 0 if it is unknown. The estimates made for the call are kept in `estimate_by_id`
    until there are new reports.
    """

    match: Match
    request_bytes: int
    objective_left_ms: float = 0.0
    estimate_by_id: dict[str, TargetEstimate] = field(default_factory=dict)


REGION = "region"
OTHER_REGIONS = "other-regions"
"""Names of the places to which a call may leave its data centre."""

LOCAL_ID = ""
"""Identifier of the local target among the tried and the declining targets."""


def rendezvous_score(key: str, node_id: str) -> bytes:
    """Return the rendezvous hash of a node for a key; the node with the highest one is chosen."""
    return hashlib.blake2b(f"{key} {node_id}".encode(), digest_size=8).digest()


def failure_cost_ms(failure_rate: float, match: Match) -> float:
    """Return the cost of a target's failure rate as an equivalent delay in ms."""
    return failure_rate * match.rule.objective_ms


class Router:
    """Load balancer among the targets of a service.

    `spend_link_budget` is called with the size of a call in bytes before the call may cross to
    another region; it returns whether the budget of the paid link allows it.
    """

    def __init__(
        self,
        clock: Clock,
        node_id: str,
        region: str,
        data_center: str,
        target: Target,
        spend_link_budget: Callable[[int], bool],
        rng: random.Random,
        links: LinksSection | None = None,
    ) -> None:
        self.links = links or LinksSection()
        self._answer_bytes_by_class: dict[str, float] = {}
        self.rng = rng
        self.index = TargetIndex(clock, region, data_center, rng)
        self.local_health = TargetHealth(clock)
        self.crossing = CrossingPolicy(clock, rng)
        self._clock = clock
        self.node_id = node_id
        self._region = region
        self._data_center = data_center
        self._target = target
        self._spend_link_budget = spend_link_budget

    @property
    def view_by_id(self) -> dict[str, TargetView]:
        """Views of the targets of all peers, by the id of their node."""
        return self.index.view_by_id

    def update_member(self, member: MemberRecord) -> None:
        """Add, update or remove the target of a peer after a change of its member record."""
        self.index.update_member(member)

    def record_load(self, node_id: str, load: Load) -> None:
        """Record a load report of a peer's target."""
        view = self.view_by_id.get(node_id)
        if view is not None:
            view.record_load(load)

    def choose(
        self,
        match: Match,
        tried_ids: set[str],
        request_bytes: int,
        declined_ids: frozenset[str] = frozenset(),
        objective_left_ms: float = 0.0,
    ) -> Choice | None:
        """Choose the target for a call, as `choose_from` does, from a new sample."""
        cost = CallCost(match, request_bytes, objective_left_ms)
        return self.choose_from(self.sample(match, tried_ids), cost, tried_ids, declined_ids)

    def choose_from(
        self,
        sample: Sample,
        cost: CallCost,
        tried_ids: set[str],
        declined_ids: frozenset[str] = frozenset(),
    ) -> Choice | None:
        """Choose the target for a call; return `None` if no candidate is left.

        `tried_ids` holds the targets that are not to be chosen again, `declined_ids` those that
        declined the call. The candidates are the local target and those of `sample`.
        """
        match = cost.match
        if self.takes_locally(match, tried_ids):
            return LocalChoice()
        local_available = self._is_local_available(match, tried_ids)
        is_trial = False
        if self._leaves_by_chance(cost):
            best, is_trial = self._best_by_chance(sample, cost, local_available)
        else:
            best = self._best_by_time(sample, cost, local_available)
        if best is None and not local_available:
            return None
        if is_trial:
            return self._make_choice(best, RUN_AT_ONCE, match)
        candidates = (*sample.in_region, *sample.other_regions, *sample.alternatives)
        others = [view for view in candidates if view is not best]
        decline_policy = self._decline_policy(
            best,
            others,
            local_available and best is not None,
            match,
            declined_ids,
            cost.objective_left_ms,
        )
        return self._make_choice(best, decline_policy, match)

    def _best_by_time(
        self, sample: Sample, cost: CallCost, local_available: bool
    ) -> TargetView | None:
        """Return the target with the lowest total time and cost; `None` for the local one."""
        best = self._best_in_region(sample, cost)
        if local_available and self._prefers_local(best, cost.match, cost.request_bytes):
            return None
        if best is None or self._considers_other_regions(best, cost):
            overflow = self._best(sample.other_regions, cost)
            if overflow is not None and self._should_overflow(best, overflow, cost):
                return overflow
        return best

    # Leaving the data centre by the chance of an answer in time

    def _leaves_by_chance(self, cost: CallCost) -> bool:
        return self.links.leave_by_chance and cost.objective_left_ms > 0

    def _best_by_chance(
        self, sample: Sample, cost: CallCost, local_available: bool
    ) -> tuple[TargetView | None, bool]:
        """Return the best target near enough, `None` for the local one, and whether to run there.

        A call that tries a target nearby runs there although it may be faster elsewhere.
        """
        if local_available and self._is_local_trial_due(cost.match):
            return None, False
        best = self._best(sample.data_center, cost)
        if local_available and self._prefers_local(best, cost.match, cost.request_bytes):
            best = None
        service = cost.match.service.name
        for place, views in ((REGION, sample.region), (OTHER_REGIONS, sample.other_regions)):
            farther = self._best(views, cost)
            if farther is None:
                continue
            has_near = best is not None or local_available
            inputs = self._crossing_inputs(best, farther, cost, has_near)
            decision = Crossing.LEAVE
            if has_near:
                scope = f"{service}/{place}"
                decision = self.crossing.decide(scope, inputs, cost.match.rule.idempotent)
            if decision is Crossing.TRY_NEARBY:
                return best, True
            if decision is Crossing.LEAVE and (
                place == REGION or self._spend_link_budget(cost.request_bytes)
            ):
                best, local_available = farther, False
        return best, False

    def _crossing_inputs(
        self, near: TargetView | None, far: TargetView, cost: CallCost, has_near: bool
    ) -> CrossingInputs:
        """Return the inputs of the decision between two targets; `near` is `None` if local."""
        estimate = self._estimate(far, cost)
        near_ms, near_failure_rate = self._near_time(near, cost, has_near)
        far_ms = self._time_with_occupancy_ms(estimate)
        return CrossingInputs(
            near_ms,
            far_ms,
            cost.objective_left_ms,
            self._link_cost(far, cost.match, cost.request_bytes),
            near_failure_rate,
            far.failure_rate(),
        )

    def _near_time(
        self, near: TargetView | None, cost: CallCost, has_near: bool
    ) -> tuple[float, float]:
        """Return the expected time at the near target in ms, and its failure rate."""
        if not has_near or (near is None and self.local_health.ejected):
            return math.inf, 0.0
        if near is None:
            load = self._target.load()
            occupancy_ms = self._usual_local_ms(cost.match) * load.occupancy() ** 2
            return self._expected_local_ms(cost.match) + occupancy_ms, load.failure_rate
        return self._time_with_occupancy_ms(self._estimate(near, cost)), near.failure_rate()

    @staticmethod
    def _time_with_occupancy_ms(estimate: TargetEstimate) -> float:
        """Return the expected time at a target in ms, more where it is nearly full.

        Without the occupancy the calls of a data centre stay until its targets are full, while
        those of another one still have room.
        """
        if estimate.avoided:
            return math.inf
        return estimate.elapsed_ms + estimate.usual_ms * estimate.occupancy**2

    def _may_cross(self, near: TargetView | None, far: TargetView, cost: CallCost) -> bool:
        """Return whether a target at the distance of `far` may be worth leaving `near`.

        The time expected there is that of a usual target of the service, without its wait.
        """
        expectation = self.index.expectation_of(cost.match.service.name)
        far_ms = expectation.run_ms(cost.match.rule.name) + self._round_trip_ms(far)
        near_ms, near_failure_rate = self._near_time(near, cost, near is not None)
        link_cost = self._link_cost(far, cost.match, cost.request_bytes)
        return CrossingInputs(
            near_ms, far_ms, cost.objective_left_ms, link_cost, near_failure_rate
        ).pays

    def takes_locally(self, match: Match, tried_ids: set[str]) -> bool:
        """Return whether a call stays here, whatever the load of peers.

        Even an idle peer could not beat the local target by more than the margin.
        """
        return (
            self._is_local_available(match, tried_ids)
            and not self.local_health.ejected
            and self._local_margin_left_ms(match) >= self._local_failure_cost_ms(match)
        )

    def _is_local_available(self, match: Match, tried_ids: set[str]) -> bool:
        return (
            LOCAL_ID not in tried_ids
            and self._target.serves(match.service.name)
            and self.index.allows_local(match.rule.regions)
        )

    def compares_data_centers(self, sample: Sample, cost: CallCost) -> bool:
        """Return whether a target in another data centre may be better than the best one here."""
        best = self._best(sample.data_center, cost)
        if best is None or not sample.region:
            return True
        if self._leaves_by_chance(cost):
            return self._may_cross(best, sample.region[0], cost)
        estimate = self._estimate(best, cost)
        if estimate.avoided or estimate.wait_ms > 0:
            return True
        expectation = self.index.expectation_of(cost.match.service.name)
        farther = sample.region[0]
        farther_ms = expectation.run_ms(cost.match.rule.name) + self._round_trip_ms(farther)
        farther_ms += self._link_cost_ms(farther, cost.match, cost.request_bytes)
        return self._total_before_crossing_ms(best, cost) > farther_ms

    def compares_regions(self, sample: Sample, cost: CallCost) -> bool:
        """Return whether a target in another region may be better than the best one here."""
        best = self._best_in_region(sample, cost)
        if best is not None and sample.other_regions and self._leaves_by_chance(cost):
            return self._may_cross(best, sample.other_regions[0], cost)
        return best is None or self._considers_other_regions(best, cost)

    def _make_choice(
        self, best: TargetView | None, decline_policy: DeclinePolicy, match: Match
    ) -> Choice:
        """Build the choice of a peer, or of the local target if `best` is `None`."""
        health = self.local_health if best is None else best.health
        if health.ejected:
            self._begin_trial(health)
        if best is None:
            load = self._target.load()
            age_ms = load.slowness_age_ms if load.slowness else -1.0
            usual_ms = self._usual_local_ms(match)
            return LocalChoice(
                decline_policy, ChoiceEstimate("", self._expected_local_ms(match), usual_ms, age_ms)
            )
        age_ms = best.slowness.age_ms if best.slowness.has_report else -1.0
        expected_ms = best.expected_ms(match.rule.name)
        usual_ms = best.usual_ms(match.rule.name)
        load_age_ms = best.load_age_ms if best.has_load else -1.0
        estimate = ChoiceEstimate(best.member.node_id, expected_ms, usual_ms, age_ms, load_age_ms)
        return PeerChoice(best, decline_policy, estimate)

    def _begin_trial(self, health: TargetHealth) -> None:
        health.begin_trial()

    def _decline_policy(
        self,
        best: TargetView | None,
        others: list[TargetView],
        others_include_local: bool,
        match: Match,
        declined_ids: frozenset[str],
        objective_left_ms: float,
    ) -> DeclinePolicy:
        """Build the decline policy for the chosen target from the times expected at the others.

        `others_include_local` tells whether the local target is one of the alternatives.
        """
        name = match.rule.name
        chosen_id = LOCAL_ID if best is None else best.member.node_id
        usual_ms = self._usual_local_ms(match) if best is None else best.usual_ms(name)
        usual_ms = usual_ms or match.rule.objective_ms * DEFAULT_RUN_SHARE
        if not usual_ms:
            return RUN_AT_ONCE
        other_times_ms = [
            view.expected_ms(name) + self._round_trip_ms(view) + self._cost_ms(view, match, 0)
            for view in others
            if view.usual_ms(name) and not view.avoided
        ]
        if others_include_local:
            other_times_ms.append(
                self._expected_local_ms(match) + self._local_failure_cost_ms(match)
            )
        unsampled_ms = self.index.expectation_of(match.service.name).run_ms(name)
        if unsampled_ms and not other_times_ms:
            other_times_ms.append(unsampled_ms + LOCAL_REGION_RTT_MS)
        if other_times_ms and chosen_id not in declined_ids:
            overhead_ms = 0.0 if best is None else self._round_trip_ms(best)
            return DeclinePolicy(limit_ms=max(usual_ms, min(other_times_ms) - overhead_ms))
        available_hold_ms = max(0.0, objective_left_ms - RESERVED_RUN_TIMES * usual_ms)
        if other_times_ms and available_hold_ms > MIN_HOLD_MS:
            # Any of several slow targets may recover before this one: hold for a part of the time.
            hold_ms = max(MIN_HOLD_MS, available_hold_ms * HOLD_SHARE)
            return DeclinePolicy(limit_ms=RESERVED_RUN_TIMES * usual_ms, hold_ms=hold_ms)
        return DeclinePolicy(hold_ms=available_hold_ms)

    def record_answer_size(self, class_key: str, answer_bytes: int) -> None:
        """Record the size of an answer to a call of a class."""
        mean_bytes = self._answer_bytes_by_class.get(class_key, float(answer_bytes))
        self._answer_bytes_by_class[class_key] = mean_bytes + ANSWER_SIZE_WEIGHT * (
            answer_bytes - mean_bytes
        )

    def _cost_ms(self, view: TargetView, match: Match, request_bytes: int) -> float:
        """Return the cost of a call's bytes on the link and of its risk of failure.

        It is given in ms, as the extra time that another target may take at the same total cost.
        """
        return failure_cost_ms(view.failure_rate(), match) + self._link_cost_ms(
            view, match, request_bytes
        )

    def _link_cost_ms(self, view: TargetView, match: Match, request_bytes: int) -> float:
        """Return the cost of a call's bytes on the link as an equivalent delay in ms."""
        return self._link_cost(view, match, request_bytes) * match.rule.objective_ms

    def _link_cost(self, view: TargetView, match: Match, request_bytes: int) -> float:
        """Return the cost of a call's bytes on the link in requests."""
        if view.member.data_center == self._data_center:
            return 0.0
        other_region = view.member.region != self._region
        per_mb = (
            self.links.region_cost_per_mb if other_region else self.links.data_center_cost_per_mb
        )
        answer_bytes = self._answer_bytes_by_class.get(
            f"{match.service.name}/{match.rule.name}", 0.0
        )
        return per_mb * (request_bytes + answer_bytes + CALL_HEAD_BYTES) / BYTES_PER_MB

    def _round_trip_ms(self, view: TargetView) -> float:
        if view.member.region != self._region:
            return OTHER_REGION_RTT_MS
        same_data_center = view.member.data_center == self._data_center
        return LOCAL_DATA_CENTER_RTT_MS if same_data_center else LOCAL_REGION_RTT_MS

    def _considers_other_regions(self, best: TargetView, cost: CallCost) -> bool:
        """Return whether to compare targets of other regions with the best one in the region."""
        estimate = self._estimate(best, cost)
        if estimate.avoided or self._is_late(estimate.elapsed_ms, cost):
            return True
        if estimate.wait_ms > cost.match.service.overflow_after_ms:
            return True
        return best.slowness.has_report and best.slowness.expected() > OVERFLOW_SLOWNESS

    def _estimate(self, view: TargetView, cost: CallCost) -> TargetEstimate:
        """Return what is assumed of a target in the choice for a call."""
        estimate = cost.estimate_by_id.get(view.member.node_id)
        if estimate is None:
            estimate = self._make_estimate(view, cost)
            cost.estimate_by_id[view.member.node_id] = estimate
        return estimate

    def _make_estimate(self, view: TargetView, cost: CallCost) -> TargetEstimate:
        class_name = cost.match.rule.name
        wait_ms = view.wait_ms(class_name)
        elapsed_ms = view.expected_ms(class_name, wait_ms) + self._round_trip_ms(view)
        total_ms = elapsed_ms + self._cost_ms(view, cost.match, cost.request_bytes)
        if self._is_late(elapsed_ms, cost):
            total_ms += LATE_COST_SHARE * cost.match.rule.objective_ms
        return TargetEstimate(
            view.avoided,
            view.occupancy(),
            view.usual_ms(class_name),
            wait_ms,
            elapsed_ms,
            total_ms,
        )

    @staticmethod
    def _is_late(elapsed_ms: float, cost: CallCost) -> bool:
        """Return whether a call that is answered after `elapsed_ms` misses its objective."""
        return 0 < cost.objective_left_ms < elapsed_ms

    def choose_for_suspect(self, call: Call) -> Choice | None:
        """Choose the target for a request that was running when upstreams died.

        All nodes choose the same target by rendezvous hashing. Suspect requests run there one at a
        time, so that such a request cannot crash several upstreams at once.
        """
        crashed_node_ids = {name.partition(".")[0] for name in call.crashed_upstreams}
        alive = self.index.alive_targets(call.service.name, call.rule.regions)
        views = [*alive.in_region, *alive.other_regions]
        healthy = [view for view in views if not view.health.ejected] or views
        choice_by_id: dict[str, Choice] = {
            view.member.node_id: PeerChoice(view)
            for view in healthy
            if view.member.node_id not in crashed_node_ids
        }
        if (
            self._target.serves(call.service.name)
            and self.index.allows_local(call.rule.regions)
            and self.node_id not in crashed_node_ids
        ):
            choice_by_id[self.node_id] = LocalChoice()
        if not choice_by_id:
            return None
        return choice_by_id[
            max(choice_by_id, key=lambda node_id: rendezvous_score(call.fingerprint, node_id))
        ]

    def health_of(self, choice: Choice) -> TargetHealth:
        """Return the health of the chosen target."""
        return choice.view.health if isinstance(choice, PeerChoice) else self.local_health

    def record_failure(self, service: str, health: TargetHealth, weight: int = 1) -> None:
        """Record a failed call at a target of `service`; it counts as `weight` failures."""
        self.index.record_failure(service, health, weight, self.local_health)

    def sample(self, match: Match, tried_ids: set[str]) -> Sample:
        """Draw the targets of peers that are compared for a call."""
        rule = match.rule
        near_limit = (
            NEAR_CANDIDATES_BY_CHANCE
            if self.links.leave_by_chance
            else LOCAL_DATA_CENTER_CANDIDATES
        )
        return self.index.draw(
            match.service.name, rule.regions, tried_ids, rule.idempotent, near_limit
        )

    def _best(self, views: list[TargetView], cost: CallCost) -> TargetView | None:
        """Return the best of some targets at about the same distance."""

        def sort_key_of(view: TargetView) -> tuple[bool, float, float]:
            estimate = self._estimate(view, cost)
            # The occupancy counts the calls sent since the last report.
            occupancy_ms = OCCUPANCY_COST_SHARE * estimate.usual_ms * estimate.occupancy
            total_ms = round(estimate.total_ms + occupancy_ms, 1)
            return estimate.avoided, total_ms, estimate.occupancy

        return min(views, key=sort_key_of, default=None)

    def _best_in_region(self, sample: Sample, cost: CallCost) -> TargetView | None:
        """Return the better one of the best in the local data centre and the best in others."""
        best_of_each = (self._best(sample.data_center, cost), self._best(sample.region, cost))
        views = [view for view in best_of_each if view is not None]
        return min(
            views,
            key=lambda view: (
                self._estimate(view, cost).avoided,
                self._total_before_crossing_ms(view, cost),
            ),
            default=None,
        )

    def _total_before_crossing_ms(self, view: TargetView, cost: CallCost) -> float:
        """Return the total by which targets in different data centres are compared, in ms.

        The occupancy counts little before a target is nearly full, since bytes to another data
        centre cost more.
        """
        estimate = self._estimate(view, cost)
        return estimate.total_ms + estimate.usual_ms * estimate.occupancy**2

    def _prefers_local(self, best: TargetView | None, match: Match, request_bytes: int) -> bool:
        if best is None:
            return True
        if self.local_health.ejected and not self._is_local_trial_due(match):
            return best.health.ejected
        extra_ms = self._round_trip_ms(best) + self._cost_ms(best, match, request_bytes)
        extra_ms -= self._local_failure_cost_ms(match)
        return best.expected_ms(match.rule.name) + extra_ms + self._local_margin_left_ms(match) >= 0

    def _is_local_trial_due(self, match: Match) -> bool:
        """Return whether a call may be the trial call of the local target after its ejection."""
        health = self.local_health
        return health.ejected and match.rule.idempotent and health.trial_due

    def _local_margin_left_ms(self, match: Match) -> float:
        """Return the local target's margin less the time expected there, in ms."""
        return match.service.local_margin_ms - self._expected_local_ms(match)

    def _local_failure_cost_ms(self, match: Match) -> float:
        return failure_cost_ms(self._target.load().failure_rate, match)

    def _usual_local_ms(self, match: Match) -> float:
        return self._target.load().usual_ms_by_class.get(match.rule.name, 0.0)

    def _expected_local_ms(self, match: Match) -> float:
        """Return the expected wait and run time at the local target in ms."""
        load = self._target.load()
        usual_ms = load.usual_ms_by_class.get(match.rule.name)
        if usual_ms is None:
            return load.wait_ms(match.rule.name) + load.typical_service_ms
        return (
            load.wait_ms(match.rule.name)
            + usual_ms * load.unreported_slowness * self._target.expected_slowness()
        )

    def _total_with_hold_ms(self, view: TargetView, cost: CallCost) -> float:
        """Return the total of a target that may hold the call while it is slow, in ms."""
        estimate = self._estimate(view, cost)
        with_hold_ms = estimate.wait_ms + estimate.usual_ms + SLOWNESS_TIME_CONSTANT_MS
        objective_left_ms = cost.objective_left_ms or cost.match.rule.objective_ms
        if not estimate.usual_ms or with_hold_ms >= objective_left_ms:
            return estimate.total_ms
        with_hold_ms += self._round_trip_ms(view)
        with_hold_ms += self._cost_ms(view, cost.match, cost.request_bytes)
        return min(estimate.total_ms, with_hold_ms)

    def _should_overflow(
        self, in_region: TargetView | None, out_of_region: TargetView, cost: CallCost
    ) -> bool:
        if in_region is not None and not self._estimate(in_region, cost).avoided:
            in_region_ms = self._total_with_hold_ms(in_region, cost)
            if in_region_ms <= self._estimate(out_of_region, cost).total_ms:
                return False
        return self._spend_link_budget(cost.request_bytes)
