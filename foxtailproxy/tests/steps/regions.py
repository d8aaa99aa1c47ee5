"""Steps for calls that may run only in some regions."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when
from twisted.internet.defer import Deferred, ensureDeferred, succeed

from foxtailproxy.load import Load
from foxtailproxy.models.messages import MemberState
from foxtailproxy.placement import Placement
from foxtailproxy.routing import PeerChoice, Router
from foxtailproxy.tests.fakes import captured_log, fake_clock, make_call, make_member

REGION_BY_PEER = {"n1": "pohja", "n2": "louna", "n3": "louna", "n4": "ida"}
LOCAL_DATA_CENTER = "pohja-local"
TRIAL_DUE_MS = 1100
FAILURES_UNTIL_EJECTION = 5
SLOW = Load(2, 40, 2, 500.0, 500.0, {"lookup": 10_000.0})


class LocalTarget:
    """Local target that is idle, or slow."""

    def __init__(self) -> None:
        self.current = Load(0, 0, 2, 5.0, 5.0, {})

    def serves(self, service: str) -> bool:
        """Return that the target serves."""
        return True

    def load(self) -> Load:
        """Return the load."""
        return self.current

    def expected_slowness(self) -> float:
        """Return that work takes its usual time."""
        return 1.0


class RecordedLoads:
    """Source of loads that records which targets are queried."""

    def __init__(self) -> None:
        self.queried: set[str] = set()

    def refresh(self, views: list[Any], *arguments: Any) -> Deferred[None]:
        """Record the targets."""
        self.queried.update(view.member.node_id for view in views)
        return succeed(None)


def _regions_of(text: str) -> list[str]:
    return [] if text == "anywhere" else text.split(",")


@given("a node in pohja with targets n1 in pohja, n2 and n3 in louna, n4 in ida")
def step_node(context: Any) -> None:
    context.clock = fake_clock()
    context.local: Any = LocalTarget()
    context.router = Router(
        context.clock,
        "me",
        "pohja",
        LOCAL_DATA_CENTER,
        context.local,
        lambda size: True,
        random.Random(1),
    )
    for name in REGION_BY_PEER:
        context.router.update_member(_member(name, MemberState.alive))


def _member(name: str, state: MemberState) -> Any:
    return make_member(name, region=REGION_BY_PEER[name], data_center=f"dc-{name}", state=state)


@given("nothing is unusable")
def step_all_usable(context: Any) -> None:
    pass


@given("the local is slow")
def step_local_slow(context: Any) -> None:
    context.local.current = SLOW


@given("n1 and the local are slow")
def step_slow(context: Any) -> None:
    step_local_slow(context)
    context.router.record_load("n1", SLOW)


@given("n2 is due for a trial")
def step_trial(context: Any) -> None:
    health = context.router.view_by_id["n2"].health
    for _ in range(FAILURES_UNTIL_EJECTION):
        context.router.record_failure("kalender", health)
    assert health.ejected
    context.clock.source.advance(TRIAL_DUE_MS / 1000)


@given("n4 is {state:w}")
def step_state(context: Any, state: str) -> None:
    context.router.update_member(_member("n4", MemberState(state)))


@given("{name}'s is evacuated")
def step_evacuated(context: Any, name: str) -> None:
    data_center = LOCAL_DATA_CENTER if name == "the local" else f"dc-{name}"
    context.router.index.set_evacuated(frozenset((data_center,)))


@when("{count:d} calls allowed in {regions} are placed by {how}, with {tried} tried")
def step_place(context: Any, count: int, regions: str, how: str, tried: str) -> None:
    tried_ids = {"" if name == "local" else name for name in tried.split() if name != "-"}
    context.loads = RecordedLoads()
    placement = Placement(context.router, context.loads)
    context.chosen = set()
    for number in range(count):
        rule = {"regions": _regions_of(regions)}
        call = make_call(context.clock, path=f"/days/{number}", rule=rule)
        if how == "suspicion":
            choice = context.router.choose_for_suspect(call)
        else:
            choices: list[Any] = []
            placed = placement.choose(
                call.match, tried_ids, 100, frozenset(), 0.0, how != "hedging"
            )
            ensureDeferred(placed).addCallback(choices.append)
            (choice,) = choices
        if isinstance(choice, PeerChoice):
            choice.view.begin_send()
            context.chosen.add(choice.view.member.node_id)
        else:
            context.chosen.add("none" if choice is None else "local")


@then("only {chosen} are chosen, and only {queried} are queried for their load")
def step_chosen(context: Any, chosen: str, queried: str) -> None:
    assert context.chosen == set(chosen.split()), context.chosen
    assert context.loads.queried == set(queried.replace("-", "").split()), context.loads.queried


@given("the call is allowed in {regions}")
def step_allowed(context: Any, regions: str) -> None:
    context.regions = _regions_of(regions)
    capture = captured_log()
    context.entries = capture.__enter__()
    context.add_cleanup(capture.__exit__, None, None, None)


@then("the log has {count:d} lines no_allowed_target with its id, {regions} and the cause {cause}")
def step_logged(context: Any, count: int, regions: str, cause: str) -> None:
    entries = [entry for entry in context.entries if entry["event"] == "no_allowed_target"]
    assert len(entries) == count, context.entries
    for entry in entries:
        logged = (entry["attempt"], entry["regions"], entry["cause"])
        assert logged == (context.call.attempt_id, regions, cause), entry


@given("a node in pohja with {count:d} targets in each of pohja, louna and ida")
def step_many_targets(context: Any, count: int) -> None:
    step_node(context)
    for region in ("pohja", "louna", "ida"):
        for number in range(count):
            member = make_member(f"{region}-{number}", region=region)
            context.router.update_member(member)


@when("{count:d} calls allowed in {regions} are drawn")
def step_draw(context: Any, count: int, regions: str) -> None:
    index = context.router.index
    context.group_count = 0
    group_alive = index._group_alive

    def count_and_group(*arguments: Any) -> Any:
        context.group_count += 1
        return group_alive(*arguments)

    index._group_alive = count_and_group
    match = make_call(context.clock, rule={"regions": _regions_of(regions)}).match
    samples = [context.router.sample(match, set()) for _ in range(count)]
    context.drawn = [view for sample in samples for view in sample.other_regions]
    assert not any(sample.in_region for sample in samples)


@then("the targets have been grouped {count:d} times, and none is in {region}")
def step_grouped(context: Any, count: int, region: str) -> None:
    assert context.group_count == count, context.group_count
    assert context.drawn and all(view.member.region != region for view in context.drawn)
