"""Chooses the target for a call: the local one first, then the better of two peers."""

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
from foxtailproxy.speed import SPEED_MEMORY_MS
from foxtailproxy.target_view import TargetView
from foxtailproxy.terms import NO_TERMS, Terms

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock
    from foxtailproxy.config.rules import Match
    from foxtailproxy.models.messages import MemberRecord
    from foxtailproxy.target import Target

LOCAL_DATA_CENTER_MS = 1.0
NEAR_DATA_CENTER_MS = 3.0
OTHER_REGION_MS = 40.0
"""Round trips to a target of the own data centre, of another one in the region, and of another
region, in milliseconds; users name 1 to 3 ms and 20 ms one way."""

ANSWER_WEIGHT = 0.05
"""Weight of the newest answer in the mean size of a class's answers."""

CALL_HEAD_BYTES = 700
"""Bytes that the heads of a call and its answer take between two nodes."""

BYTES_PER_MB = 1_000_000

NEAR_CANDIDATES = 4
FAR_CANDIDATES = 2
"""Targets of the own region, and of others, that are compared for one call."""

SLOW_FACTOR = 1.5
"""A target that takes so many times longer than usual may be faster in a moment."""

HOLD_TURN_MS = 60.0
"""Time for which one of several slow targets holds a call before another one has its turn, in
milliseconds; a few reports of its speed come in that time."""

HOLD_TURN_SHARE = 0.25
"""The same as a share of the time that is left for holding, so that a call has a few turns."""

HOLD_RESERVE = 1.5
"""Part of the objective, in usual run times, that is left for the run when a call is held."""


@dataclass(frozen=True, slots=True)
class Basis:
    """What a choice was made from: the expected time, and the age of the report on the speed.

    `target` is the node beside the target, empty for the own one; the age is -1 without a report.
    `usual_ms` is the run time of the class at the usual speed, 0 where it is not known.
    """

    target: str = ""
    expected_ms: float = 0.0
    usual_ms: float = 0.0
    report_age_ms: float = -1.0


NO_BASIS = Basis()


@dataclass(frozen=True, slots=True)
class LocalChoice:
    """Run the call at this node's own target."""

    terms: Terms = NO_TERMS
    basis: Basis = NO_BASIS


@dataclass(frozen=True, slots=True)
class PeerChoice:
    """Send the call to the node beside another target."""

    view: TargetView
    terms: Terms = NO_TERMS
    basis: Basis = NO_BASIS


Choice = LocalChoice | PeerChoice

LOCAL_ID = ""
"""Stands for the local target among the targets already tried."""


def rendezvous(key: str, node_id: str) -> bytes:
    """Rank of a node for a key; the highest is the key's place."""
    return hashlib.blake2b(f"{key} {node_id}".encode(), digest_size=8).digest()


def risk_ms(failing: float, match: Match) -> float:
    """What it costs that a target fails a share of its calls, as a time in ms."""
    return failing * match.rule.objective_ms


class Router:
    """Chooses among the targets of a service.

    `spend_paid_link` is asked for the bytes of a call before it may cross to another region.
    """

    def __init__(
        self,
        clock: Clock,
        node_id: str,
        region: str,
        data_center: str,
        target: Target,
        spend_paid_link: Callable[[int], bool],
        rng: random.Random,
        links: LinksSection | None = None,
    ) -> None:
        self.links = links or LinksSection()
        self._answer_bytes: dict[str, float] = {}
        self.by_id: dict[str, TargetView] = {}
        self.local_health = TargetHealth(clock)
        self._clock = clock
        self.node_id = node_id
        self._region = region
        self._data_center = data_center
        self._target = target
        self._spend_paid_link = spend_paid_link
        self._rng = rng
        self._ids_by_service: dict[str, set[str]] = {}

    def member_changed(self, member: MemberRecord) -> None:
        """A peer's record changed."""
        view = self.by_id.get(member.node_id)
        if view is not None:
            self._ids_by_service.get(view.member.service, set()).discard(member.node_id)
        if member.state is MemberState.dead:
            self.by_id.pop(member.node_id, None)
            return
        if view is None or view.member.boot_id != member.boot_id:
            view = TargetView(self._clock, member)
            self.by_id[member.node_id] = view
        view.member = member
        if member.service and member.slots:
            self._ids_by_service.setdefault(member.service, set()).add(member.node_id)

    def observe(self, node_id: str, load: Load) -> None:
        """A load report of a peer's target came in."""
        view = self.by_id.get(node_id)
        if view is not None:
            view.observe(load)

    def choose(
        self,
        match: Match,
        tried: set[str],
        size: int,
        declined: frozenset[str] = frozenset(),
        left_ms: float = 0.0,
    ) -> Choice | None:
        """The target for a call of `size` bytes that the targets in `tried` did not run.

        Those in `declined` handed the call back; `left_ms` is left of its objective.
        """
        service = match.service.name
        local = LOCAL_ID not in tried and self._target.serves(service)
        if local and not self.local_health.ejected and self._local_lead_ms(match) >= 0:
            # No peer can be so much better that the call would leave.
            return LocalChoice()
        peers = self._peers(service, tried, match.rule.idempotent)
        near = self._sample(
            [view for view in peers if view.member.region == self._region], NEAR_CANDIDATES
        )
        far = self._sample(
            [view for view in peers if view.member.region != self._region], FAR_CANDIDATES
        )
        best = self._best(near, match, size)
        if local and self._keep_local(best, match, size):
            best = None
        elif best is None or self._looks_far(best, match):
            overflow = self._best(far, match, size)
            if overflow is not None and self._overflows(best, overflow, match, size):
                best = overflow
        if best is None and not local:
            return None
        others = [view for view in (*near, *far) if view is not best]
        terms = self._terms(best, others, local and best is not None, match, declined, left_ms)
        return self._chosen(best, terms, match)

    def _chosen(self, best: TargetView | None, terms: Terms, match: Match) -> Choice:
        """The choice of a peer, or of the own target where `best` is `None`."""
        health = self.local_health if best is None else best.health
        if health.ejected:
            health.begin_trial()
        if best is None:
            load = self._target.load()
            age_ms = load.slowness_age_ms if load.slowness else -1.0
            usual_ms = self._usual_local_ms(match)
            return LocalChoice(terms, Basis("", self._local_ms(match), usual_ms, age_ms))
        age_ms = best.slowness.age_ms if best.slowness.known else -1.0
        expected_ms = best.time_ms(match.rule.name)
        usual_ms = best.usual_ms(match.rule.name)
        return PeerChoice(best, terms, Basis(best.member.node_id, expected_ms, usual_ms, age_ms))

    def _terms(
        self,
        best: TargetView | None,
        others: list[TargetView],
        local: bool,
        match: Match,
        declined: frozenset[str],
        left_ms: float,
    ) -> Terms:
        """Terms for the chosen target, given the `others` and whether the own one is among them."""
        name = match.rule.name
        chosen_id = LOCAL_ID if best is None else best.member.node_id
        usual_ms = self._usual_local_ms(match) if best is None else best.usual_ms(name)
        usual_ms = usual_ms or match.rule.objective_ms * DEFAULT_RUN_SHARE
        if not usual_ms:
            return NO_TERMS
        times = [
            view.time_ms(name) + self._distance_ms(view) + self._cost_ms(view, match, 0)
            for view in others
            if view.usual_ms(name)
        ]
        if local:
            times.append(self._local_ms(match) + risk_ms(self._target.load().failing, match))
        if times and chosen_id not in declined:
            overhead_ms = 0.0 if best is None else self._distance_ms(best)
            return Terms(limit_ms=max(usual_ms, min(times) - overhead_ms))
        spare_ms = max(0.0, left_ms - HOLD_RESERVE * usual_ms)
        if times and spare_ms > HOLD_TURN_MS:
            # Of several slow targets one recovers sooner than this one alone.
            turn_ms = max(HOLD_TURN_MS, spare_ms * HOLD_TURN_SHARE)
            return Terms(limit_ms=HOLD_RESERVE * usual_ms, hold_ms=turn_ms)
        return Terms(hold_ms=spare_ms)

    def answered(self, class_key: str, size: int) -> None:
        """A call of a class got an answer of `size` bytes."""
        known = self._answer_bytes.get(class_key, float(size))
        self._answer_bytes[class_key] = known + ANSWER_WEIGHT * (size - known)

    def _cost_ms(self, view: TargetView, match: Match, size: int) -> float:
        """What a call's bytes and risk cost, as the time that another target may take more."""
        risk = risk_ms(view.failing(), match)
        if view.member.data_center == self._data_center:
            return risk
        far = view.member.region != self._region
        per_mb = self.links.region_cost_per_mb if far else self.links.data_center_cost_per_mb
        answer_bytes = self._answer_bytes.get(f"{match.service.name}/{match.rule.name}", 0.0)
        cost = per_mb * (size + answer_bytes + CALL_HEAD_BYTES) / BYTES_PER_MB
        return risk + cost * match.rule.objective_ms

    def _distance_ms(self, view: TargetView) -> float:
        if view.member.region != self._region:
            return OTHER_REGION_MS
        near = view.member.data_center == self._data_center
        return LOCAL_DATA_CENTER_MS if near else NEAR_DATA_CENTER_MS

    def _sample(self, views: list[TargetView], most: int) -> list[TargetView]:
        return views if len(views) <= most else self._rng.sample(views, most)

    def _looks_far(self, best: TargetView, match: Match) -> bool:
        """Whether targets of other regions are to be compared with the best near one."""
        if best.wait_ms(match.rule.name) > match.service.overflow_after_ms:
            return True
        return best.slowness.known and best.slowness.expected() > SLOW_FACTOR

    def choose_for_suspect(self, call: Call) -> Choice | None:
        """The one target for a request that was running when upstreams died.

        All nodes choose the same one, where it runs alone, so that it cannot crash several at once.
        """
        crashed = {name.partition(".")[0] for name in call.crashed_upstreams}
        by_id: dict[str, Choice] = {
            view.member.node_id: PeerChoice(view)
            for view in self._peers(call.service.name, crashed, call.rule.idempotent)
        }
        if self._target.serves(call.service.name) and self.node_id not in crashed:
            by_id[self.node_id] = LocalChoice()
        if not by_id:
            return None
        return by_id[max(by_id, key=lambda node_id: rendezvous(call.fingerprint, node_id))]

    def health_of(self, choice: Choice) -> TargetHealth:
        """The health of the target that was chosen."""
        return choice.view.health if isinstance(choice, PeerChoice) else self.local_health

    def failed(self, service: str, health: TargetHealth, weight: int = 1) -> None:
        """A call failed at a target of `service`, which counts as `weight` failures."""
        healths = [self.by_id[node_id].health for node_id in self._ids_by_service.get(service, ())]
        healths.append(self.local_health)
        ejected = sum(1 for other in healths if other.ejected)
        health.failure((ejected + 1) <= MAX_EJECTED_SHARE * max(2, len(healths)), weight)

    def _peers(self, service: str, tried: set[str], may_try: bool) -> list[TargetView]:
        """The targets to choose from; where `may_try`, an ejected one may get a trial call."""
        views = [
            self.by_id[node_id]
            for node_id in self._ids_by_service.get(service, ())
            if node_id not in tried
        ]
        alive = [view for view in views if view.member.state is MemberState.alive]
        if not alive:
            alive = [view for view in views if view.member.state is MemberState.suspect]
        trials = [view for view in alive if may_try and view.health.trial_due]
        if trials:
            return trials[:1]
        healthy = [view for view in alive if not view.health.ejected]
        return healthy or alive

    def _best(self, views: list[TargetView], match: Match, size: int) -> TargetView | None:
        def rank_of(view: TargetView) -> tuple[float, float]:
            total_ms = view.time_ms(match.rule.name) + self._distance_ms(view)
            # Where the times hardly differ, the calls sent since the reports decide.
            return round(total_ms + self._cost_ms(view, match, size), 1), view.occupancy()

        return min(views, key=rank_of, default=None)

    def _keep_local(self, best: TargetView | None, match: Match, size: int) -> bool:
        if best is None:
            return True
        if self.local_health.ejected and not (
            match.rule.idempotent and self.local_health.trial_due
        ):
            return best.health.ejected
        distance_ms = self._distance_ms(best) + self._cost_ms(best, match, size)
        distance_ms -= risk_ms(self._target.load().failing, match)
        return best.time_ms(match.rule.name) + distance_ms + self._local_lead_ms(match) >= 0

    def _local_lead_ms(self, match: Match) -> float:
        """What the own target's margin leaves of its expected time, in ms."""
        return match.service.local_margin_ms - self._local_ms(match)

    def _usual_local_ms(self, match: Match) -> float:
        return self._target.load().run_by_class.get(match.rule.name, 0.0)

    def _local_ms(self, match: Match) -> float:
        """Expected wait and run time at the own target, in ms."""
        load = self._target.load()
        usual_ms = load.run_by_class.get(match.rule.name)
        if usual_ms is None:
            return load.wait_ms(match.rule.name) + load.typical_ms
        return load.wait_ms(match.rule.name) + usual_ms * load.drag * self._target.slowness()

    @staticmethod
    def _held_ms(view: TargetView, match: Match) -> float:
        """Expected time at a target that may hold the call until its instance is fast again."""
        time_ms = view.time_ms(match.rule.name)
        usual_ms = view.usual_ms(match.rule.name)
        if not usual_ms:
            return time_ms
        held_ms = view.wait_ms(match.rule.name) + usual_ms + SPEED_MEMORY_MS
        return min(time_ms, held_ms) if held_ms < match.rule.objective_ms else time_ms

    def _overflows(self, near: TargetView | None, far: TargetView, match: Match, size: int) -> bool:
        name = match.rule.name
        if near is not None:
            near_ms = self._held_ms(near, match) + self._distance_ms(near)
            near_ms += self._cost_ms(near, match, size)
            extra_ms = self._distance_ms(far) + self._cost_ms(far, match, size)
            if near_ms <= far.time_ms(name) + extra_ms:
                return False
        return self._spend_paid_link(size)
