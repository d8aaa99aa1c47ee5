"""Steps for announcements and the shared retry budget."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from foxtailproxy.dialect import FoxtailDialect
from foxtailproxy.membership import MemberTable
from foxtailproxy.models.messages import Announcement
from foxtailproxy.retry_budget import RetryBudgets, RetryLimits
from foxtailproxy.target import Target
from foxtailproxy.tests.fakes import QuietListener, advance, fake_clock, make_member

STEPS = 50
WINDOW_MS = 10_000


def read_announcement(text: str) -> Announcement:
    """An announcement as the tables write it."""
    words = text.split()
    return Announcement(
        "kalender",
        "127.0.0.1",
        80,
        12,
        instance=words[0],
        born_ms=int(words[1]),
        sequence=int(words[2]) if len(words) > 2 else 0,
        leaving="leaving" in words,
    )


def new_target() -> Target:
    """A target without an announcement."""
    clock = fake_clock()
    return Target(clock, clock.source, QuietListener(), FoxtailDialect())


@given("a target that was announced as {text}")
def step_first(context: Any, text: str) -> None:
    context.target = new_target()
    context.target.announce(read_announcement(text))


@when("it is announced as {text}")
def step_then(context: Any, text: str) -> None:
    context.target.announce(read_announcement(text))


@then("the target is {state} of process {process}")
def step_state(context: Any, state: str, process: str) -> None:
    target = context.target
    words = process.split()
    seen = "serving" if target.serving else "leaving" if target.leaving else "unknown"
    known = target.announcement
    assert (seen, known.instance, known.born_ms) == (state, words[0], int(words[1])), (seen, known)


@given("peers that know the node's earlier process with a target that was {text}")
def step_earlier(context: Any, text: str) -> None:
    known = read_announcement(text)
    context.earlier = make_member(
        "me",
        boot_id="boot-1",
        instance=known.instance,
        born_ms=known.born_ms,
        target_left=known.leaving,
    )


@when("the restarted node finds the process {text} running")
def step_restarted(context: Any, text: str) -> None:
    context.target = new_target()

    def seen_before(record: Any) -> None:
        if record.target_left:
            context.target.process_left(record.instance, record.born_ms)

    me = make_member("me", boot_id="boot-2", incarnation=9)
    table = MemberTable(fake_clock(), me, lambda _: None, lambda: None, seen_before)
    table.merge(context.earlier)
    context.target.announce(read_announcement(text))


@given("{nodes:d} nodes that share a retry ratio of {percent:d} percent and a slack of {slack:d}")
def step_nodes(context: Any, nodes: int, percent: int, slack: int) -> None:
    context.clock = fake_clock()
    limits = RetryLimits(percent / 100, slack, WINDOW_MS)
    context.budgets = [RetryBudgets(context.clock, limits, lambda: nodes) for _ in range(nodes)]


@when("each has {calls:d} calls in 10 s, every one of which asks for a retry")
def step_retries(context: Any, calls: int) -> None:
    context.retries = [0] * len(context.budgets)
    for step in range(STEPS):
        for number, budgets in enumerate(context.budgets):
            for _ in range(calls * (step + 1) // STEPS - calls * step // STEPS):
                budgets.earn("kalender")
            context.retries[number] += budgets.spend("kalender")
        advance(context.clock, WINDOW_MS / STEPS, WINDOW_MS / STEPS)


@then("all nodes together send at most {most:d} retries, and at least one each")
def step_spent(context: Any, most: int) -> None:
    assert sum(context.retries) <= most, sum(context.retries)
    assert min(context.retries) >= 1, context.retries
