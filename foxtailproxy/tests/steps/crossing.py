"""Steps for the decision whether calls leave their data centre."""

from __future__ import annotations

import math
import random
from typing import Any

from behave import given, then, when
from twisted.internet.task import Clock as SimulatedTime

from foxtailproxy.choice.crossing import Crossing, CrossingInputs, CrossingPolicy
from foxtailproxy.clock import Clock
from foxtailproxy.load import Load
from foxtailproxy.models.settings import LinksSection
from foxtailproxy.routing import LOCAL_ID
from foxtailproxy.target_policy import RUN_AT_ONCE
from foxtailproxy.tests.fakes import make_call

FAILURES_UNTIL_EJECTION = 5


@given("an objective with {left:d} ms left and a link that costs {cost:g} requests")
def step_terms(context: Any, left: int, cost: float) -> None:
    context.left_ms, context.link_cost = left, cost


def _inputs(context: Any, near: str, far: str, failure_rate: float = 0.0) -> CrossingInputs:
    near_ms, far_ms = (math.inf if text == "-" else float(text) for text in (near, far))
    return CrossingInputs(near_ms, far_ms, context.left_ms, context.link_cost, failure_rate)


@when("the nearest target takes {near} ms and one elsewhere {far} ms")
def step_times(context: Any, near: str, far: str) -> None:
    context.inputs = _inputs(context, near, far)


@when(
    "a failing target nearby takes {near} ms and one elsewhere {far} ms, and {percent:d} in 100 "
    "calls fail there"
)
def step_times_and_failures(context: Any, near: str, far: str, percent: int) -> None:
    context.inputs = _inputs(context, near, far, percent / 100)


@then("the call {decision:w}")
def step_decision(context: Any, decision: str) -> None:
    assert context.inputs.pays == (decision == "leaves"), context.inputs.gain


@when("leaving pays for {calls:d} calls at each of {nodes:d} nodes")
def step_many(context: Any, calls: int, nodes: int) -> None:
    inputs = _inputs(context, "900", "300")
    clock = Clock(SimulatedTime())
    policies = [CrossingPolicy(clock, random.Random(seed)) for seed in range(nodes)]
    context.rounds = [
        sum(policy.decide("kalender/region", inputs, True) is Crossing.LEAVE for policy in policies)
        for _ in range(calls)
    ]
    context.nodes = nodes


@then("between {least:d} and {most:d} in 100 of the first calls leave")
def step_first(context: Any, least: int, most: int) -> None:
    percent = 100 * context.rounds[0] / context.nodes
    assert least <= percent <= most, percent


@then("all of the last calls leave")
def step_last(context: Any) -> None:
    assert context.rounds[-1] == context.nodes, context.rounds


@when(
    "leaving pays for {calls:d} calls in {seconds:d} s that {may} run again, and {percent:d} "
    "in 100 fail nearby"
)
def step_paying(context: Any, calls: int, seconds: int, may: str, percent: int) -> None:
    inputs = _inputs(context, "900", "300", percent / 100)
    source = SimulatedTime()
    policy = CrossingPolicy(Clock(source), random.Random(1))
    context.decisions = []
    for _ in range(calls):
        context.decisions.append(policy.decide("kalender/region", inputs, may == "may"))
        source.advance(seconds / calls)


@then("{tries:d} of them run nearby")
def step_tries(context: Any, tries: int) -> None:
    assert context.decisions.count(Crossing.TRY_NEARBY) == tries, context.decisions


@given("calls leave by chance, and n1 is slow while n2 and n3 are fast")
def step_slow_near(context: Any) -> None:
    context.router.links = LinksSection(leave_by_chance=True)
    for name, usual_ms in (("n1", 900.0), ("n2", 50.0), ("n3", 50.0)):
        rule_name = make_call(context.clock).rule.name
        load = Load(0, 0, 10, 10.0, usual_ms, usual_ms_by_class={rule_name: usual_ms})
        context.router.record_load(name, load)


@when("{calls:d} calls with {left:d} ms left are placed")
def step_calls_placed(context: Any, calls: int, left: int) -> None:
    match = make_call(context.clock, rule={"idempotent": True, "objective_ms": left}).match
    context.choices = [
        context.router.choose(match, {LOCAL_ID}, 100, objective_left_ms=left) for _ in range(calls)
    ]


@then("one of them runs at {name:w} at once")
def step_one_nearby(context: Any, name: str) -> None:
    at_once = [choice for choice in context.choices if choice.decline_policy == RUN_AT_ONCE]
    assert [choice.view.member.node_id for choice in at_once] == [name], context.choices


@given("calls leave by chance, and the local target was ejected {ms:d} ms ago")
def step_local_ejected(context: Any, ms: int) -> None:
    context.router.links = LinksSection(leave_by_chance=True)
    for _ in range(FAILURES_UNTIL_EJECTION):
        context.router.record_failure("kalender", context.router.local_health)
    assert context.router.local_health.ejected
    context.clock.source.advance(ms / 1000)


@when("a call with {left:d} ms left that {may} run twice is placed")
def step_placed(context: Any, left: int, may: str) -> None:
    rule = {"idempotent": may == "may", "objective_ms": left}
    match = make_call(context.clock, rule=rule).match
    context.choice = context.router.choose(match, set(), 100, objective_left_ms=left)


@then("the target chosen is {name:w}")
def step_target_chosen(context: Any, name: str) -> None:
    view = getattr(context.choice, "view", None)
    chosen = "local" if view is None else view.member.node_id
    assert chosen == name, context.choice
