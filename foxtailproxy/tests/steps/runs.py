"""Steps for runs whose outcome may be asked for again."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from twisted.internet.defer import ensureDeferred

from foxtailproxy.outcome import Outcome
from foxtailproxy.runs import RunTable, SharedRun
from foxtailproxy.tests.fakes import advance, fake_clock, make_answer

KEPT_BYTES = 1000
KEPT_MS = 1000
REPLAY_BYTES = 1000
DEADLINE_MS = 5000
SWEEP_MS = 1000


@given("a table of runs")
def step_table(context: Any) -> None:
    step_table_keeping(context, KEPT_MS)


@given("a table of runs that keeps answers for {kept_ms:d} ms")
def step_table_keeping(context: Any, kept_ms: int) -> None:
    context.clock = fake_clock()
    context.run_table = RunTable(context.clock, KEPT_BYTES, kept_ms)
    context.clock.repeat(SWEEP_MS, context.run_table.sweep)


def _end(context: Any, run_id: str, size: int) -> None:
    run = context.run_table.open(run_id, context.clock.now_ms() + DEADLINE_MS)
    ensureDeferred(run.settle(make_answer(b"x" * size), REPLAY_BYTES))


@when("a run ends with an answer of {size:d} bytes and {more:d} others follow it")
def step_end(context: Any, size: int, more: int) -> None:
    _end(context, "first", size)
    for number in range(more):
        _end(context, f"other{number}", 100)


@when("{ms:d} ms pass for the runs")
def step_pass(context: Any, ms: int) -> None:
    advance(context.clock, ms, SWEEP_MS)


def _ask(run: SharedRun) -> str:
    outcomes: list[Outcome] = []
    run.wait(outcomes.append)
    if outcomes[0].is_ok():
        return "answer"
    failure = outcomes[0].error
    return f"{'unknown' if type(failure).__name__ == 'Unknown' else 'not-run'} {failure.reason}"


@then("asking for the first gives {result}")
def step_ask(context: Any, result: str) -> None:
    run = context.run_table.find("first")
    seen = "nothing" if run is None else _ask(run)
    assert seen == result, seen


@when("a run is sealed and then opened")
def step_seal(context: Any) -> None:
    context.run_table.seal("first")
    context.run = context.run_table.open("first", DEADLINE_MS)


@then("it has ended as {result}")
def step_ended(context: Any, result: str) -> None:
    assert _ask(context.run) == result


@when("{count:d} wait for a run that ends with an answer")
def step_waiters(context: Any, count: int) -> None:
    context.outcomes = []
    run = context.run_table.open("first", DEADLINE_MS)
    for _ in range(count):
        run.wait(context.outcomes.append)
    ensureDeferred(run.settle(make_answer(b"whole"), REPLAY_BYTES))


@then("each of them gets the whole answer")
def step_each(context: Any) -> None:
    bodies = [outcome.ok.body.buffered() for outcome in context.outcomes]
    assert bodies == [b"whole"] * 3, bodies
