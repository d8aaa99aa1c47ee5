"""Steps for the placement of calls."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from behave import given, then, when
from twisted.internet.defer import Deferred, ensureDeferred, succeed

from foxtailproxy.load import Load
from foxtailproxy.models.settings import LinksSection
from foxtailproxy.placement import Placement
from foxtailproxy.routing import PeerChoice, Router
from foxtailproxy.target_view import SILENT_AFTER_MS, TargetView
from foxtailproxy.tests.fakes import advance, fake_clock, make_call, make_member
from foxtailproxy.traffic_budget import Purpose

SLOTS = 5
USUAL_MS = 100.0
OBJECTIVE_MS = 400
SERVICE_MS = 100.0
ANSWER_BYTES = 5000
LINKS = LinksSection(data_center_cost_per_mb=14, region_cost_per_mb=100)
LOCATION_BY_PREFIX = {
    "near": ("pohja", "tallinn-a"),
    "dc": ("pohja", "tallinn-b"),
    "far": ("louna", "tartu-a"),
}


class NoTarget:
    """Local target that serves another service."""

    def serves(self, service: str) -> bool:
        """Return whether there is a target."""
        return False


class TableLoads:
    """Source of the loads of a table."""

    def __init__(self, clock: Any, text_by_name: dict[str, str]) -> None:
        self.clock = clock
        self.text_by_name = text_by_name
        self.queried: list[str] = []

    def refresh(
        self,
        views: list[TargetView],
        service: str,
        class_name: str,
        max_wait_ms: float,
        purpose: Purpose,
    ) -> Deferred[None]:
        """Report the loads of the table."""
        for view in views:
            name = view.member.node_id
            self.queried.append(name)
            if self.text_by_name[name] == "silent":
                view.begin_query()
            else:
                view.record_load(read_load(self.text_by_name[name], class_name))
        advance(self.clock, SILENT_AFTER_MS)
        return succeed(None)


class NoLoads:
    """Source that may send no queries."""

    queried: tuple[str, ...] = ()

    def refresh(self, *args: Any) -> Deferred[None]:
        """Report nothing."""
        return succeed(None)


def read_load(text: str, class_name: str) -> Load:
    """Parse a load in the notation of the tables."""
    if text == "gone":
        return Load(0, 0, 0, 0.0)
    counts, _, slowness = text.partition("@")
    running, _, queued = counts.partition("/")
    waits = {class_name: int(queued) * SERVICE_MS / SLOTS} if int(queued) else {}
    usual = {class_name: USUAL_MS}
    return Load(
        int(running), int(queued), SLOTS, SERVICE_MS, SERVICE_MS, waits, usual, float(slowness)
    )


@given("the targets {targets}")
def step_targets(context: Any, targets: str) -> None:
    context.clock = fake_clock()
    context.text_by_name = dict(item.split(":") for item in targets.split())
    local_target: Any = NoTarget()
    context.router = Router(
        context.clock,
        "me",
        "pohja",
        "tallinn-a",
        local_target,
        lambda _: True,
        random.Random(1),
        LINKS,
    )
    context.router.record_answer_size(make_call(context.clock).class_key, ANSWER_BYTES)
    for name in context.text_by_name:
        region, data_center = LOCATION_BY_PREFIX[name.rstrip("0123456789")]
        context.router.update_member(
            make_member(name, region=region, data_center=data_center, slots=SLOTS)
        )
    context.loads = TableLoads(context.clock, context.text_by_name)


@given("reports of the service from earlier calls, of which {name} sent none")
def step_earlier_reports(context: Any, name: str) -> None:
    for other, text in context.text_by_name.items():
        if other != name:
            context.router.record_load(other, read_load(text, "lookup"))


def _place(context: Any) -> str:
    call = make_call(context.clock, rule={"objective_ms": OBJECTIVE_MS})
    placement = Placement(context.router, context.loads)
    results: list[Any] = []
    choosing = placement.choose(
        call.match, set(), 100, frozenset(), float(OBJECTIVE_MS), is_first=True
    )
    ensureDeferred(choosing).addCallback(results.append)
    choice = results[0]
    assert isinstance(choice, PeerChoice), choice
    return choice.view.member.node_id


@when("a call is placed")
def step_place(context: Any) -> None:
    context.sent = _place(context)


@when("a call is placed without queries")
def step_place_without_queries(context: Any) -> None:
    context.loads = NoLoads()
    context.sent = _place(context)


@then("it is sent to {name}, after queries to {queried}")
def step_placed(context: Any, name: str, queried: str) -> None:
    assert name in ("any", context.sent), context.sent
    assert sorted(context.loads.queried) == sorted(
        queried.replace("none", "").split()
    ), context.loads.queried


@when("{count:d} calls are placed, and each is running when the next one comes")
def step_place_many(context: Any, count: int) -> None:
    context.sent_counts = Counter()
    for _ in range(count):
        name = _place(context)
        context.sent_counts[name] += 1
        slowness = context.text_by_name[name].partition("@")[2]
        context.text_by_name[name] = f"{context.sent_counts[name]}/0@{slowness}"


@then("each of {first} and {second} got {least:d} calls or more")
def step_spread(context: Any, first: str, second: str, least: int) -> None:
    assert (
        min(context.sent_counts[first], context.sent_counts[second]) >= least
    ), context.sent_counts
