"""Placement of a call: the choice of its target on load reports that are fresh.

It answers the load of a large fleet, where each node decides on few calls to many targets: without
queries nearly all choices rest on no report or on an old one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from foxtailproxy.admission import DEFAULT_RUN_SHARE
from foxtailproxy.routing import CallCost
from foxtailproxy.target_index import Sample
from foxtailproxy.traffic_budget import Purpose

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from foxtailproxy.config.rules import Match
    from foxtailproxy.routing import Choice, Router
    from foxtailproxy.target_view import TargetView


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """Longest wait for load reports: a share of a call's usual run time, and a time in ms."""

    run_share: float
    max_ms: float


REGION_WAIT = WaitLimit(0.1, 10.0)
OTHER_REGION_WAIT = WaitLimit(0.25, 60.0)


class LoadSource(Protocol):
    """Source of fresh load reports."""

    def refresh(
        self,
        views: list[TargetView],
        service: str,
        class_name: str,
        max_wait_ms: float,
        purpose: Purpose,
    ) -> Deferred[None]:
        """Query targets whose reports are old; the result fires when they answered or in time."""


class Placement:
    """Choice of targets for calls, nearest first."""

    def __init__(self, router: Router, loads: LoadSource) -> None:
        self._router = router
        self._loads = loads

    async def choose(
        self,
        match: Match,
        tried_ids: set[str],
        request_bytes: int,
        declined_ids: frozenset[str],
        objective_left_ms: float,
        is_first: bool,
    ) -> Choice | None:
        """Choose the target for a call, as `Router.choose_from` does, after queries for its load.

        Targets in other data centres are queried only if one of them may be better. Queries for a
        call that has not been sent before, as `is_first` tells, go before those for other calls.
        """
        cost = CallCost(match, request_bytes, objective_left_ms)
        sample = self._router.sample(match, tried_ids)
        if not self._router.takes_locally(match, tried_ids):
            purpose = Purpose.load_query if is_first else Purpose.load_requery
            sample = await self._refreshed(sample, cost, purpose)
        return self._router.choose_from(sample, cost, tried_ids, declined_ids)

    async def _refreshed(self, sample: Sample, cost: CallCost, purpose: Purpose) -> Sample:
        """Query a sample, nearest first, and return the part in which the best target is."""
        router = self._router
        await self._refresh(sample.data_center, cost, REGION_WAIT, purpose)
        if not router.compares_data_centers(sample, cost):
            return Sample(sample.data_center, alternatives=sample.region)
        await self._refresh(sample.region, cost, REGION_WAIT, purpose)
        if not router.compares_regions(sample, cost):
            return Sample(sample.data_center, sample.region)
        await self._refresh(sample.other_regions, cost, OTHER_REGION_WAIT, purpose)
        return sample

    async def _refresh(
        self, views: list[TargetView], cost: CallCost, wait: WaitLimit, purpose: Purpose
    ) -> None:
        rule = cost.match.rule
        usual_ms = max((view.usual_ms(rule.name) for view in views), default=0.0)
        usual_ms = usual_ms or rule.objective_ms * DEFAULT_RUN_SHARE
        max_wait_ms = min(wait.max_ms, wait.run_share * usual_ms)
        await self._loads.refresh(views, cost.match.service.name, rule.name, max_wait_ms, purpose)
        for view in views:
            cost.estimate_by_id.pop(view.member.node_id, None)
