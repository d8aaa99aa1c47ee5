"""Steps for claims on idempotency keys."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when
from twisted.internet.defer import ensureDeferred

from foxtailproxy.claims import Claims
from foxtailproxy.config.rules import RuleBook
from foxtailproxy.dispatch import Dispatcher
from foxtailproxy.metrics import Metrics
from foxtailproxy.models.rules import FleetRule, Rules
from foxtailproxy.outcome import NotRun
from foxtailproxy.quarantine import Quarantine
from foxtailproxy.retry_budget import RetryBudgets, RetryLimits
from foxtailproxy.tests.claim_schedule import Schedule
from foxtailproxy.tests.fakes import (
    LIMITS,
    FakePeers,
    FakePlatform,
    advance,
    fake_clock,
    make_answer,
    make_call,
    make_member,
)

PAUSE_MS = 6000.0
"""Pause that is longer than the time of a call."""


@given("{count:d} schedules of one key from seed {seed:d}")
def step_schedules(context: Any, count: int, seed: int) -> None:
    context.seeds = range(seed, seed + count)


@when("all schedules are run with claims {switch}")
def step_play(context: Any, switch: str) -> None:
    context.schedules = [Schedule(seed, switch == "on").play() for seed in context.seeds]


@then("no key ran twice")
def step_no_key_ran_twice(context: Any) -> None:
    seeds = [schedule.seed for schedule in context.schedules if len(schedule.run_times_ms) > 1]
    assert not seeds, f"seeds with more than one run: {seeds}"


@then("some key ran twice")
def step_some_key_ran_twice(context: Any) -> None:
    assert any(len(schedule.run_times_ms) > 1 for schedule in context.schedules)


@then('no caller got "not run" for a key that had run')
def step_no_false_not_run(context: Any) -> None:
    seeds = [schedule.seed for schedule in context.schedules if schedule.count_false_not_run()]
    assert not seeds, f'seeds with a false "not run": {seeds}'


@then("at least {share:d} percent of the callers got the answer")
def step_answered_share(context: Any, share: int) -> None:
    replies = [reply for schedule in context.schedules for reply in schedule.replies]
    answered = sum(1 for reply in replies if reply.outcome.is_ok())
    assert answered * 100 >= share * len(replies), f"{answered} of {len(replies)}"


def _create_nodes(context: Any) -> None:
    context.clock = fake_clock()
    rng = random.Random(1)
    context.platform = FakePlatform(context.clock, rng)
    context.peers = FakePeers(context.clock, rng)
    context.claims = {}
    for name in ("a", "b"):
        member = make_member(name, address=name)
        claims = Claims(context.clock, LIMITS, context.platform, context.peers, member)
        context.claims[name] = claims
        context.peers.runs_by_address[name] = claims.runs


def _acquire_claim(
    context: Any, node: str, path: str = "/bookings", first_send: bool = False
) -> Any:
    call = make_call(
        context.clock,
        rule={"name": "booking", "idempotent": False},
        key="key-1",
        path=path,
        first_send=first_send,
    )
    context.claimed_call = call
    results: list[Any] = []
    ensureDeferred(context.claims[node].acquire(call)).addCallback(results.append)
    advance(context.clock, 500)
    return results[0]


@given("a platform that is unavailable")
def step_platform_unavailable(context: Any) -> None:
    _create_nodes(context)
    context.platform.faults.outage = True


@given("a key whose call was answered")
def step_answered_key(context: Any) -> None:
    _create_nodes(context)
    claim = _acquire_claim(context, "a").ok
    ensureDeferred(context.claims["a"].complete(claim, make_answer(b"booked")))
    advance(context.clock, 500)


@given("a key that a node claimed before it was paused past the deadline")
def step_paused_holder(context: Any) -> None:
    _create_nodes(context)
    context.claim = _acquire_claim(context, "a").ok
    context.clock.source.rightNow += PAUSE_MS / 1000


@when("the node goes on and dispatches the call")
def step_dispatch_after_pause(context: Any) -> None:
    clock = context.clock
    nothing: Any = None
    dispatcher = Dispatcher(
        clock,
        LIMITS,
        nothing,
        nothing,
        nothing,
        nothing,
        Quarantine(clock),
        RetryBudgets(clock, RetryLimits(0.2)),
        Metrics(),
        False,
    )
    outcomes: list[Any] = []
    rule_book = RuleBook(Rules(FleetRule(), [], [], []))
    ensureDeferred(dispatcher.run(context.claimed_call, rule_book)).addCallback(outcomes.append)
    context.outcome = outcomes[0]
    ensureDeferred(context.claims["a"].complete(context.claim, context.outcome))
    advance(clock, 500)


@then("another node can claim the key")
def step_other_node_claims(context: Any) -> None:
    assert _acquire_claim(context, "b").is_ok()


@when("a call with a key is claimed with first send {first_send}")
def step_claim_first_send(context: Any, first_send: str) -> None:
    context.outcome = _acquire_claim(context, "a", first_send=first_send == "yes").error


@when("the key is reused for another request")
def step_send_other_request(context: Any) -> None:
    context.outcome = _acquire_claim(context, "b", path="/bookings/other").error


@when("the key is sent again to another node")
def step_send_again(context: Any) -> None:
    context.outcome = _acquire_claim(context, "b").error


@then("the call ends as {kind} because of {reason}")
def step_ends_as(context: Any, kind: str, reason: str) -> None:
    failure = context.outcome.error
    actual_kind = "not-run" if isinstance(failure, NotRun) else "unknown"
    assert (actual_kind, failure.reason) == (kind, reason), context.outcome


@then("the call ends with the same answer")
def step_same_answer(context: Any) -> None:
    assert context.outcome.ok.body.buffered() == b"booked"
