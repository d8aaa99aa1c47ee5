"""Steps for the choice of a target."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when
from expression import Error

from foxtailproxy.entry import retriable
from foxtailproxy.load import Load
from foxtailproxy.outcome import NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from foxtailproxy.retry_budget import RetryBudgets, RetryLimits
from foxtailproxy.routing import LocalChoice, Router
from foxtailproxy.tests.fakes import advance, fake_clock, make_answer, make_call, make_member

SLOTS = 10
PEERS = ("n1", "n2", "far")


def read_load(text: str) -> Load | None:
    """A load as the tables write it."""
    if text == "-":
        return None
    running, queued, typical_ms = text.split("/")
    typical = float(typical_ms)
    waits = {"lookup": int(queued) * typical / SLOTS} if int(queued) else {}
    return Load(int(running), int(queued), SLOTS, typical, typical, waits)


class OwnTarget:
    """The node's own target with a fixed load."""

    def __init__(self, load: Load | None) -> None:
        self.fixed = load

    def serves(self, service: str) -> bool:
        """Whether there is a target."""
        return self.fixed is not None

    def load(self) -> Load:
        """The fixed load."""
        assert self.fixed is not None
        return self.fixed


@given("a node whose own target has load {load}")
def step_own(context: Any, load: str) -> None:
    context.clock = fake_clock()
    own: Any = OwnTarget(read_load(load))
    context.router = Router(
        context.clock, "me", "pohja", "tallinn-a", own, lambda size: True, random.Random(1)
    )


@given("its peers report {first}, {second} and {third}")
def step_peers(context: Any, first: str, second: str, third: str) -> None:
    for name, text in zip(PEERS, (first, second, third), strict=True):
        region = "louna" if name == "far" else "pohja"
        load = read_load(text)
        if name == "far" and load is None:
            continue
        context.router.member_changed(make_member(name, region=region, slots=SLOTS))
        if load is not None:
            context.router.observe(name, load)


def _place(context: Any, count: int, age: int, **rule: Any) -> None:
    advance(context.clock, age)
    chosen: set[str] = set()
    for _ in range(count):
        match = make_call(context.clock, rule=rule).match
        choice = context.router.choose(match, set(), 100)
        if isinstance(choice, LocalChoice):
            chosen.add("local")
        else:
            choice.view.sent()
            chosen.add(choice.view.member.node_id)
    context.chosen = " ".join(sorted(chosen))


@when("{count:d} calls are placed {age:d} ms later")
def step_place(context: Any, count: int, age: int) -> None:
    _place(context, count, age)


@when("{count:d} bookings are placed {age:d} ms later")
def step_place_bookings(context: Any, count: int, age: int) -> None:
    _place(context, count, age, name="booking", idempotent=False)


@then("they go to {names}")
def step_chosen(context: Any, names: str) -> None:
    assert context.chosen == names, context.chosen


@when("{count:d} calls fail at {name}")
def step_fail(context: Any, count: int, name: str) -> None:
    for _ in range(count):
        context.router.failed("kalender", context.router.by_id[name].health)


@when("the trial call succeeds at {name}")
def step_trial_succeeds(context: Any, name: str) -> None:
    context.router.by_id[name].health.success()


@then("at most {most:d} targets are ejected")
def step_ejected(context: Any, most: int) -> None:
    ejected = [name for name, view in context.router.by_id.items() if view.health.ejected]
    assert 1 <= len(ejected) <= most, ejected


def read_outcome(text: str) -> Outcome:
    """An outcome as the tables write it."""
    kind, reason = text.split()
    if kind == "not-run":
        return Error(NotRun(NotRunReason(reason)))
    if kind == "unknown":
        return Error(Unknown(UnknownReason(reason)))
    return make_answer(status=int(reason))


@when("a call that {may} be repeated ends as {first}")
def step_ends(context: Any, may: str, first: str) -> None:
    call = make_call(fake_clock(), rule={"idempotent": may == "may"})
    context.retried = retriable(call, read_outcome(first))


@then("it is {retried} to another target")
def step_retried(context: Any, retried: str) -> None:
    assert context.retried == (retried == "sent")


@when("{count:d} calls earn {percent:d} percent and each asks for a retry")
def step_retries(context: Any, count: int, percent: int) -> None:
    budgets = RetryBudgets(fake_clock(), RetryLimits(percent / 100))
    context.allowed = 0
    for _ in range(count):
        budgets.earn("kalender")
        context.allowed += budgets.spend("kalender")


@then("between {least:d} and {most:d} retries are allowed")
def step_allowed(context: Any, least: int, most: int) -> None:
    assert least <= context.allowed <= most, context.allowed
