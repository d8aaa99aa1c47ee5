"""Selection of the target for a call: local first, else the best of a few sampled peers."""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from foxtailproxy.admission import DEFAULT_RUN_SHARE
from foxtailproxy.ejection import MAX_EJECTED_SHARE, TargetHealth
from foxtailproxy.load import Load
from foxtailproxy.models.messages import MemberState
from foxtailproxy.models.settings import LinksSection
from foxtailproxy.speed import SLOWNESS_TIME_CONSTANT_MS
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

LOCAL_REGION_CANDIDATES = 4
OTHER_REGION_CANDIDATES = 2
"""Maximum number of sampled targets in the local region, and in other regions, that are compared
for one call."""

OVERFLOW_SLOWNESS = 1.5
"""Slowness of the best target in the local region above which other regions are considered. Such a
target may be faster again in a moment."""

MIN_HOLD_MS = 60.0
"""Minimum time in milliseconds for which one of several slow targets holds a call before the call
is rerouted to another one; a few reports of the target's slowness arrive in that time."""

HOLD_SHARE = 0.25
"""Share of the available hold time that one target may use, so that a call can be held by a few
targets in turn."""

RESERVED_RUN_TIMES = 1.5
"""Part of the objective that a held call keeps in reserve for its run, in usual run times."""


@dataclass(frozen=True, slots=True)
class ChoiceEstimate:
    """Estimate behind a choice: the expected time and the age of the slowness report.

    `node_id` is the node beside the target, empty for the local target. `report_age_ms` is -1
    without a report. `usual_ms` is the run time of the class at the usual speed, 0 if unknown.
    """

    node_id: str = ""
    expected_ms: float = 0.0
    usual_ms: float = 0.0
    report_age_ms: float = -1.0


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
        self.view_by_id: dict[str, TargetView] = {}
        self.local_health = TargetHealth(clock)
        self._clock = clock
        self.node_id = node_id
        self._region = region
        self._data_center = data_center
        self._target = target
        self._spend_link_budget = spend_link_budget
        self._rng = rng
        self._ids_by_service: dict[str, set[str]] = {}

    def update_member(self, member: MemberRecord) -> None:
        """Add, update or remove the target of a peer after a change of its member record."""
        view = self.view_by_id.get(member.node_id)
        if view is not None:
            self._ids_by_service.get(view.member.service, set()).discard(member.node_id)
        if member.state is MemberState.dead:
            self.view_by_id.pop(member.node_id, None)
            return
        if view is None or view.member.boot_id != member.boot_id:
            view = TargetView(self._clock, member)
            self.view_by_id[member.node_id] = view
        view.member = member
        if member.service and member.slots:
            self._ids_by_service.setdefault(member.service, set()).add(member.node_id)

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
        """Choose the target for a call; return `None` if no candidate is left.

        `tried_ids` holds the targets that are not to be chosen again, `declined_ids` those that
        declined the call. `request_bytes` is the size of the request, `objective_left_ms` the time
        left of the call's objective.
        """
        service = match.service.name
        local_available = LOCAL_ID not in tried_ids and self._target.serves(service)
        if (
            local_available
            and not self.local_health.ejected
            and self._local_margin_left_ms(match) >= 0
        ):
            # Even an idle peer could not beat the local target by more than the margin.
            return LocalChoice()
        peers = self._candidates(service, tried_ids, match.rule.idempotent)
        in_region = self._sample(
            [view for view in peers if view.member.region == self._region], LOCAL_REGION_CANDIDATES
        )
        out_of_region = self._sample(
            [view for view in peers if view.member.region != self._region], OTHER_REGION_CANDIDATES
        )
        best = self._best(in_region, match, request_bytes)
        if local_available and self._prefers_local(best, match, request_bytes):
            best = None
        elif best is None or self._considers_other_regions(best, match):
            overflow = self._best(out_of_region, match, request_bytes)
            if overflow is not None and self._should_overflow(best, overflow, match, request_bytes):
                best = overflow
        if best is None and not local_available:
            return None
        others = [view for view in (*in_region, *out_of_region) if view is not best]
        decline_policy = self._decline_policy(
            best,
            others,
            local_available and best is not None,
            match,
            declined_ids,
            objective_left_ms,
        )
        return self._make_choice(best, decline_policy, match)

    def _make_choice(
        self, best: TargetView | None, decline_policy: DeclinePolicy, match: Match
    ) -> Choice:
        """Build the choice of a peer, or of the local target if `best` is `None`."""
        health = self.local_health if best is None else best.health
        if health.ejected:
            health.begin_trial()
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
        return PeerChoice(
            best, decline_policy, ChoiceEstimate(best.member.node_id, expected_ms, usual_ms, age_ms)
        )

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
            if view.usual_ms(name)
        ]
        if others_include_local:
            other_times_ms.append(
                self._expected_local_ms(match)
                + failure_cost_ms(self._target.load().failure_rate, match)
            )
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
        failure_ms = failure_cost_ms(view.failure_rate(), match)
        if view.member.data_center == self._data_center:
            return failure_ms
        other_region = view.member.region != self._region
        per_mb = (
            self.links.region_cost_per_mb if other_region else self.links.data_center_cost_per_mb
        )
        answer_bytes = self._answer_bytes_by_class.get(
            f"{match.service.name}/{match.rule.name}", 0.0
        )
        link_cost = per_mb * (request_bytes + answer_bytes + CALL_HEAD_BYTES) / BYTES_PER_MB
        return failure_ms + link_cost * match.rule.objective_ms

    def _round_trip_ms(self, view: TargetView) -> float:
        if view.member.region != self._region:
            return OTHER_REGION_RTT_MS
        same_data_center = view.member.data_center == self._data_center
        return LOCAL_DATA_CENTER_RTT_MS if same_data_center else LOCAL_REGION_RTT_MS

    def _sample(self, views: list[TargetView], limit: int) -> list[TargetView]:
        return views if len(views) <= limit else self._rng.sample(views, limit)

    def _considers_other_regions(self, best: TargetView, match: Match) -> bool:
        """Return whether to compare targets of other regions with the best one in the region."""
        if best.wait_ms(match.rule.name) > match.service.overflow_after_ms:
            return True
        return best.slowness.has_report and best.slowness.expected() > OVERFLOW_SLOWNESS

    def choose_for_suspect(self, call: Call) -> Choice | None:
        """Choose the target for a request that was running when upstreams died.

        All nodes choose the same target by rendezvous hashing. Suspect requests run there one at a
        time, so that such a request cannot crash several upstreams at once.
        """
        crashed_node_ids = {name.partition(".")[0] for name in call.crashed_upstreams}
        choice_by_id: dict[str, Choice] = {
            view.member.node_id: PeerChoice(view)
            for view in self._candidates(call.service.name, crashed_node_ids, call.rule.idempotent)
        }
        if self._target.serves(call.service.name) and self.node_id not in crashed_node_ids:
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
        """Record a failed call at a target of `service`; it counts as `weight` failures.

        At most `MAX_EJECTED_SHARE` of the targets of a service are ejected at the same time.
        """
        healths = [
            self.view_by_id[node_id].health for node_id in self._ids_by_service.get(service, ())
        ]
        healths.append(self.local_health)
        ejected = sum(1 for other in healths if other.ejected)
        health.record_failure((ejected + 1) <= MAX_EJECTED_SHARE * max(2, len(healths)), weight)

    def _candidates(
        self, service: str, tried_ids: set[str], may_send_trial: bool
    ) -> list[TargetView]:
        """Return the candidate targets.

        If `may_send_trial`, an ejected target that is due for a trial call is the only candidate.
        """
        views = [
            self.view_by_id[node_id]
            for node_id in self._ids_by_service.get(service, ())
            if node_id not in tried_ids
        ]
        alive = [view for view in views if view.member.state is MemberState.alive]
        if not alive:
            alive = [view for view in views if view.member.state is MemberState.suspect]
        trials = [view for view in alive if may_send_trial and view.health.trial_due]
        if trials:
            return trials[:1]
        healthy = [view for view in alive if not view.health.ejected]
        return healthy or alive

    def _best(self, views: list[TargetView], match: Match, request_bytes: int) -> TargetView | None:
        def sort_key_of(view: TargetView) -> tuple[float, float]:
            total_ms = view.expected_ms(match.rule.name) + self._round_trip_ms(view)
            # If the times hardly differ, the occupancy decides; it counts the calls sent since the
            # last report.
            return round(total_ms + self._cost_ms(view, match, request_bytes), 1), view.occupancy()

        return min(views, key=sort_key_of, default=None)

    def _prefers_local(self, best: TargetView | None, match: Match, request_bytes: int) -> bool:
        if best is None:
            return True
        if self.local_health.ejected and not (
            match.rule.idempotent and self.local_health.trial_due
        ):
            return best.health.ejected
        extra_ms = self._round_trip_ms(best) + self._cost_ms(best, match, request_bytes)
        extra_ms -= failure_cost_ms(self._target.load().failure_rate, match)
        return best.expected_ms(match.rule.name) + extra_ms + self._local_margin_left_ms(match) >= 0

    def _local_margin_left_ms(self, match: Match) -> float:
        """Return the local target's margin less the time expected there, in ms."""
        return match.service.local_margin_ms - self._expected_local_ms(match)

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

    @staticmethod
    def _time_with_hold_ms(view: TargetView, match: Match) -> float:
        """Return the expected time in ms at a target that may hold the call while it is slow."""
        without_hold_ms = view.expected_ms(match.rule.name)
        usual_ms = view.usual_ms(match.rule.name)
        if not usual_ms:
            return without_hold_ms
        with_hold_ms = view.wait_ms(match.rule.name) + usual_ms + SLOWNESS_TIME_CONSTANT_MS
        return (
            min(without_hold_ms, with_hold_ms)
            if with_hold_ms < match.rule.objective_ms
            else without_hold_ms
        )

    def _should_overflow(
        self,
        in_region: TargetView | None,
        out_of_region: TargetView,
        match: Match,
        request_bytes: int,
    ) -> bool:
        name = match.rule.name
        if in_region is not None:
            in_region_ms = self._time_with_hold_ms(in_region, match) + self._round_trip_ms(
                in_region
            )
            in_region_ms += self._cost_ms(in_region, match, request_bytes)
            extra_ms = self._round_trip_ms(out_of_region) + self._cost_ms(
                out_of_region, match, request_bytes
            )
            if in_region_ms <= out_of_region.expected_ms(name) + extra_ms:
                return False
        return self._spend_link_budget(request_bytes)
