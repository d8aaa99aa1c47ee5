"""Index of the targets of peers, by service and distance, from which a few are drawn for a call."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from foxtailproxy.constraints.regions import is_allowed
from foxtailproxy.ejection import MAX_EJECTED_SHARE
from foxtailproxy.models.messages import MemberState
from foxtailproxy.target_view import ServiceExpectation, TargetView

if TYPE_CHECKING:
    import random

    from foxtailproxy.clock import Clock
    from foxtailproxy.ejection import TargetHealth
    from foxtailproxy.models.messages import MemberRecord

LOCAL_DATA_CENTER_CANDIDATES = 2
LOCAL_REGION_CANDIDATES = 4
OTHER_REGION_CANDIDATES = 2
"""Maximum number of sampled targets in the local data centre, in the local region with these, and
in other regions, that are compared for one call."""

SPARE_CANDIDATES = 2
"""Targets drawn in addition, in place of those that are ejected."""


@dataclass(frozen=True, slots=True)
class Sample:
    """Peers' targets that are compared for one call.

    They are in the local data centre, in others of the region, or in other regions. `alternatives`
    are not compared, but the chosen target may decline the call in their favour.
    """

    data_center: list[TargetView] = field(default_factory=list)
    region: list[TargetView] = field(default_factory=list)
    other_regions: list[TargetView] = field(default_factory=list)
    alternatives: list[TargetView] = field(default_factory=list)

    @property
    def in_region(self) -> list[TargetView]:
        """The compared targets of the local region."""
        return [*self.data_center, *self.region]


@dataclass(slots=True)
class ServiceTargets:
    """Peers' targets of one service: the ids of all, and those alive by distance.

    `alive_by_regions` holds the targets that calls with each set of allowed regions may use; it is
    empty after a change, and filled again as needed.
    """

    ids: set[str] = field(default_factory=set)
    expectation: ServiceExpectation = field(default_factory=ServiceExpectation)
    alive_by_regions: dict[tuple[str, ...], Sample] = field(default_factory=dict)


class TargetIndex:
    """Views of the targets of all peers."""

    def __init__(self, clock: Clock, region: str, data_center: str, rng: random.Random) -> None:
        self.view_by_id: dict[str, TargetView] = {}
        self._clock = clock
        self._region = region
        self._data_center = data_center
        self._rng = rng
        self._targets_by_service: dict[str, ServiceTargets] = {}
        self._ejected_ids: set[str] = set()
        self._evacuated: frozenset[str] = frozenset()

    def set_evacuated(self, data_centers: frozenset[str]) -> None:
        """Use no targets in these data centres, and again those in all others."""
        self._evacuated = data_centers
        for targets in self._targets_by_service.values():
            targets.alive_by_regions.clear()

    def copy(self, rng: random.Random) -> TargetIndex:
        """Return an index of the same views whose draws change nothing in this one."""
        index = TargetIndex(self._clock, self._region, self._data_center, rng)
        index.view_by_id = self.view_by_id
        index._ejected_ids = set(self._ejected_ids)
        index._evacuated = self._evacuated
        index._targets_by_service = {
            service: ServiceTargets(targets.ids, targets.expectation)
            for service, targets in self._targets_by_service.items()
        }
        return index

    def is_evacuated(self, data_center: str) -> bool:
        """Return whether the targets of a data centre are not used."""
        return data_center in self._evacuated

    def allows_local(self, regions: list[str]) -> bool:
        """Return whether calls with these allowed regions may run at the local target."""
        return self._data_center not in self._evacuated and is_allowed(self._region, regions)

    def update_member(self, member: MemberRecord) -> None:
        """Add, update or remove the target of a peer after a change of its member record."""
        view = self.view_by_id.get(member.node_id)
        if view is not None:
            targets = self._targets_of(view.member.service)
            targets.ids.discard(member.node_id)
            targets.alive_by_regions.clear()
        if member.state is MemberState.dead:
            self.view_by_id.pop(member.node_id, None)
            return
        if view is None or view.member.boot_id != member.boot_id:
            view = TargetView(self._clock, member)
            self.view_by_id[member.node_id] = view
        view.member = member
        if member.service and member.slots:
            targets = self._targets_of(member.service)
            targets.ids.add(member.node_id)
            targets.alive_by_regions.clear()
            view.expectation = targets.expectation

    def expectation_of(self, service: str) -> ServiceExpectation:
        """Return what is expected of a target of a service without a report of its own."""
        return self._targets_of(service).expectation

    def record_failure(
        self, service: str, health: TargetHealth, weight: int, local_health: TargetHealth
    ) -> None:
        """Record a failed call at a target of a service, which counts as `weight` failures.

        At most `MAX_EJECTED_SHARE` of the targets of a service, the local one included, are ejected
        at the same time.
        """
        views = [self.view_by_id[node_id] for node_id in self._targets_of(service).ids]
        ejected = local_health.ejected + sum(1 for view in views if view.health.ejected)
        may_eject = ejected + 1 <= MAX_EJECTED_SHARE * max(2, len(views) + 1)
        health.record_failure(may_eject, weight)
        self._ejected_ids.update(view.member.node_id for view in views if view.health is health)

    def alive_targets(self, service: str, regions: list[str]) -> Sample:
        """Return the targets of a service that calls with these allowed regions may use.

        They are those alive, or else the suspect ones.
        """
        targets = self._targets_of(service)
        key = tuple(regions)
        sample = targets.alive_by_regions.get(key)
        if sample is None:
            sample = targets.alive_by_regions[key] = self._group_alive(targets, regions)
        return sample

    def _group_alive(self, targets: ServiceTargets, regions: list[str]) -> Sample:
        views = [self.view_by_id[node_id] for node_id in sorted(targets.ids)]
        views = [view for view in views if self._is_usable(view, regions)]
        alive = [view for view in views if view.member.state is MemberState.alive]
        if not alive:
            alive = [view for view in views if view.member.state is MemberState.suspect]
        sample = Sample()
        for view in alive:
            self._group_of(view, sample).append(view)
        return sample

    def _is_usable(self, view: TargetView, regions: list[str]) -> bool:
        member = view.member
        return member.data_center not in self._evacuated and is_allowed(member.region, regions)

    def draw(
        self,
        service: str,
        regions: list[str],
        excluded_ids: set[str],
        may_send_trial: bool,
        near_limit: int = LOCAL_DATA_CENTER_CANDIDATES,
    ) -> Sample:
        """Draw the targets that are compared for a call, up to `near_limit` in the data centre.

        They are in the allowed `regions`.

        If `may_send_trial`, an ejected target that is due for a trial call is the only one.
        """
        trial = self._due_trial(service, regions, excluded_ids) if may_send_trial else None
        if trial is not None:
            return Sample([trial])
        alive = self.alive_targets(service, regions)
        sample = self._draw_sample(alive, excluded_ids, False, near_limit)
        if sample.in_region or sample.other_regions:
            return sample
        return self._draw_sample(alive, excluded_ids, True, near_limit)

    def _targets_of(self, service: str) -> ServiceTargets:
        return self._targets_by_service.setdefault(service, ServiceTargets())

    def _group_of(self, view: TargetView, sample: Sample) -> list[TargetView]:
        if view.member.region != self._region:
            return sample.other_regions
        same_data_center = view.member.data_center == self._data_center
        return sample.data_center if same_data_center else sample.region

    def _draw_sample(
        self, alive: Sample, excluded_ids: set[str], with_ejected: bool, near_limit: int
    ) -> Sample:
        near = self._draw_views(alive.data_center, near_limit, excluded_ids, with_ejected)
        region_limit = max(
            LOCAL_REGION_CANDIDATES - LOCAL_DATA_CENTER_CANDIDATES,
            LOCAL_REGION_CANDIDATES - len(near),
        )
        region = self._draw_views(alive.region, region_limit, excluded_ids, with_ejected)
        others = self._draw_views(
            alive.other_regions, OTHER_REGION_CANDIDATES, excluded_ids, with_ejected
        )
        return Sample(near, region, others)

    def _draw_views(
        self, views: list[TargetView], limit: int, excluded_ids: set[str], with_ejected: bool
    ) -> list[TargetView]:
        """Draw up to `limit` views, at a cost that does not grow with their number."""
        count = limit + len(excluded_ids) + SPARE_CANDIDATES
        drawn = views if len(views) <= limit else self._rng.sample(views, min(len(views), count))
        allowed = [view for view in drawn if view.member.node_id not in excluded_ids]
        return [view for view in allowed if with_ejected or not view.health.ejected][:limit]

    def _due_trial(
        self, service: str, regions: list[str], excluded_ids: set[str]
    ) -> TargetView | None:
        """Return an ejected target of a service that is due for a trial call, if there is one."""
        for node_id in list(self._ejected_ids):
            view = self.view_by_id.get(node_id)
            if view is None or not view.health.ejected:
                self._ejected_ids.discard(node_id)
            elif (
                view.member.service == service
                and view.member.state is MemberState.alive
                and node_id not in excluded_ids
                and view.health.trial_due
                and self._is_usable(view, regions)
            ):
                return view
        return None
