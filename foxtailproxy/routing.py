"""Chooses the target for a call: the local one first, then the better of two peers."""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from foxtailproxy.admission import TYPICAL_HALF_LIFE_MS
from foxtailproxy.ejection import MAX_EJECTED_SHARE, TargetHealth
from foxtailproxy.load import Load
from foxtailproxy.models.messages import MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock
    from foxtailproxy.config.rules import Match
    from foxtailproxy.models.messages import MemberRecord
    from foxtailproxy.target import Target

LOAD_HALF_LIFE_MS = 200.0
"""Time in which a load report loses half of its weight, in milliseconds."""

LOCAL_DATA_CENTER_MS = 1.0
OTHER_REGION_MS = 20.0
"""Round trips taken into account before any was seen, in milliseconds."""


class TargetView:
    """What this node knows of one peer's target."""

    def __init__(self, clock: Clock, member: MemberRecord) -> None:
        self.member = member
        self.health = TargetHealth(clock)
        self.outstanding = 0
        self._clock = clock
        self._load: Load | None = None
        self._reported_ms = 0.0
        self._sent_since = 0.0

    def observe(self, load: Load) -> None:
        """A load report came with an answer."""
        self._load = load
        self._reported_ms = self._clock.now_ms()
        self._sent_since = 0.0

    def sent(self) -> None:
        """A call was sent to the target."""
        self.outstanding += 1
        self._sent_since += 1

    def ended(self) -> None:
        """A call sent to the target has ended."""
        self.outstanding -= 1

    def wait_ms(self, class_name: str) -> float:
        """Expected wait of a class in ms, from an aged report and the calls sent since."""
        if self._load is None:
            slots = max(1, self.member.slots)
            return max(0, self.outstanding + 1 - slots) / slots
        return self._load.wait_ms(class_name, self._sent_since) * self._faded(LOAD_HALF_LIFE_MS)

    def time_ms(self, class_name: str) -> float:
        """Expected wait and run time at the target in ms."""
        if self._load is None:
            return self.wait_ms(class_name)
        typical_ms = self._load.typical_ms * self._faded(TYPICAL_HALF_LIFE_MS)
        return self.wait_ms(class_name) + typical_ms

    def occupancy(self) -> float:
        """Expected calls for each slot, from an aged report and the calls sent since."""
        if self._load is None:
            return self.outstanding / max(1, self.member.slots)
        floor = self.outstanding / max(1, self.member.slots)
        reported = self._load.occupancy(self._sent_since)
        return max(floor, reported * self._faded(LOAD_HALF_LIFE_MS))

    def _faded(self, half_life_ms: float) -> float:
        """What is left of the last report's weight, from 1 to 0."""
        age_ms = self._clock.now_ms() - self._reported_ms
        return 0.5 ** (age_ms / half_life_ms)


@dataclass(frozen=True, slots=True)
class LocalChoice:
    """Run the call at this node's own target."""


@dataclass(frozen=True, slots=True)
class PeerChoice:
    """Send the call to the node beside another target."""

    view: TargetView


Choice = LocalChoice | PeerChoice

LOCAL_ID = ""
"""Stands for the local target among the targets already tried."""


def rendezvous(key: str, node_id: str) -> bytes:
    """Rank of a node for a key; the highest is the key's place."""
    return hashlib.blake2b(f"{key} {node_id}".encode(), digest_size=8).digest()


class Router:
    """Chooses among the targets of a service.

    `spend_paid_link` is asked for the bytes of a call before it may cross to another region.
    """

    def __init__(
        self,
        clock: Clock,
        node_id: str,
        region: str,
        target: Target,
        spend_paid_link: Callable[[int], bool],
        rng: random.Random,
    ) -> None:
        self.by_id: dict[str, TargetView] = {}
        self.local_health = TargetHealth(clock)
        self._clock = clock
        self.node_id = node_id
        self._region = region
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

    def choose(self, match: Match, tried: set[str], size: int) -> Choice | None:
        """The target for a call of `size` bytes that the targets in `tried` did not run."""
        service = match.service.name
        local = LOCAL_ID not in tried and self._target.serves(service)
        if local and not self.local_health.ejected and self._local_lead_ms(match) >= 0:
            # No peer can be so much better that the call would leave.
            return LocalChoice()
        peers = self._peers(service, tried, match.rule.idempotent)
        near = [view for view in peers if view.member.region == self._region]
        best = self._better_of_two(near, match)
        if local and self._keep_local(best, match):
            return self._local_choice()
        if best is None or best.wait_ms(match.rule.name) > match.service.overflow_after_ms:
            far = [view for view in peers if view.member.region != self._region]
            overflow = self._better_of_two(far, match)
            if overflow is not None and self._overflows(best, overflow, match, size):
                best = overflow
        if best is None:
            return self._local_choice() if local else None
        if best.health.ejected:
            best.health.begin_trial()
        return PeerChoice(best)

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

    def failed(self, service: str, health: TargetHealth) -> None:
        """A call failed at a target of `service`."""
        healths = [self.by_id[node_id].health for node_id in self._ids_by_service.get(service, ())]
        healths.append(self.local_health)
        ejected = sum(1 for other in healths if other.ejected)
        health.failure((ejected + 1) <= MAX_EJECTED_SHARE * max(2, len(healths)))

    def _local_choice(self) -> Choice:
        if self.local_health.ejected:
            self.local_health.begin_trial()
        return LocalChoice()

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

    def _better_of_two(self, views: list[TargetView], match: Match) -> TargetView | None:
        if len(views) <= 1:
            return views[0] if views else None
        first, second = self._rng.sample(views, 2)
        name = match.rule.name
        # Where the times hardly differ, the calls sent since the reports decide.
        return min(first, second, key=lambda view: (round(view.time_ms(name), 1), view.occupancy()))

    def _keep_local(self, best: TargetView | None, match: Match) -> bool:
        if best is None:
            return True
        if self.local_health.ejected and not (
            match.rule.idempotent and self.local_health.trial_due
        ):
            return best.health.ejected
        return best.time_ms(match.rule.name) + self._local_lead_ms(match) >= 0

    def _local_lead_ms(self, match: Match) -> float:
        """What the own target's margin leaves of its expected time, in ms."""
        load = self._target.load()
        local_ms = load.wait_ms(match.rule.name) + load.typical_ms
        return LOCAL_DATA_CENTER_MS + match.service.local_margin_ms - local_ms

    def _overflows(self, near: TargetView | None, far: TargetView, match: Match, size: int) -> bool:
        name = match.rule.name
        if near is not None and near.time_ms(name) <= far.time_ms(name) + OTHER_REGION_MS:
            return False
        return self._spend_paid_link(size)
