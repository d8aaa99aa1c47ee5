"""Steps for runs whose outcome can be queried repeatedly."""

from __future__ import annotations

from functools import partial
from typing import Any

from behave import given, then, when
from twisted.internet.defer import ensureDeferred

from foxtailproxy.http.body import DiscardSink
from foxtailproxy.outcome import Outcome
from foxtailproxy.runs import RunTable, SharedRun
from foxtailproxy.tests.fakes import advance, fake_clock, make_answer

MAX_KEPT_BYTES = 1000
RETENTION_MS = 1000
REPLAY_BYTES = 1000
DEADLINE_MS = 5000
SWEEP_INTERVAL_MS = 1000


@given("a table of runs")
def step_run_table(context: Any) -> None:
    step_run_table_keeping(context, RETENTION_MS)


@given("a table of runs that keeps answers for {retention_ms:d} ms")
def step_run_table_keeping(context: Any, retention_ms: int) -> None:
    context.clock = fake_clock()
    context.run_table = RunTable(context.clock, MAX_KEPT_BYTES, retention_ms)
    context.clock.repeat(SWEEP_INTERVAL_MS, context.run_table.sweep)


def _complete_run(context: Any, run_id: str, size: int) -> None:
    run = context.run_table.open(run_id, context.clock.now_ms() + DEADLINE_MS)
    ensureDeferred(run.complete(make_answer(b"x" * size), REPLAY_BYTES))


@when("a run ends with an answer of {size:d} bytes and {other_count:d} other runs end after it")
def step_complete_runs(context: Any, size: int, other_count: int) -> None:
    _complete_run(context, "first", size)
    for number in range(other_count):
        _complete_run(context, f"other{number}", 100)


@when("{ms:d} ms pass for the runs")
def step_advance(context: Any, ms: int) -> None:
    advance(context.clock, ms, SWEEP_INTERVAL_MS)


def _describe_run(run: SharedRun) -> str:
    outcomes: list[Outcome] = []
    run.add_callback(outcomes.append)
    return _describe_outcome(outcomes[0])


def _describe_outcome(outcome: Outcome) -> str:
    if outcome.is_ok():
        return "answer"
    failure = outcome.error
    return f"{'unknown' if type(failure).__name__ == 'Unknown' else 'not-run'} {failure.reason}"


@then("a query for the first run returns {result}")
def step_query_first(context: Any, result: str) -> None:
    run = context.run_table.find("first")
    actual = "nothing" if run is None else _describe_run(run)
    assert actual == result, actual


@when("a run is sealed and then opened")
def step_seal_then_open(context: Any) -> None:
    context.run_table.seal("first")
    context.run = context.run_table.open("first", DEADLINE_MS)


@then("the run has ended as {result}")
def step_ended_as(context: Any, result: str) -> None:
    assert _describe_run(context.run) == result


def _complete_with_callbacks(context: Any, count: int, text: bytes) -> None:
    context.outcome_by_callback = {}
    run = context.run_table.open("first", DEADLINE_MS)
    for number in range(count):
        run.add_callback(partial(context.outcome_by_callback.__setitem__, number))
    ensureDeferred(run.complete(make_answer(text), REPLAY_BYTES))


@when("{count:d} callbacks are registered for a run that ends with an answer")
def step_callbacks(context: Any, count: int) -> None:
    _complete_with_callbacks(context, count, b"whole")


@when("{count:d} callbacks are registered for a run that ends with an answer of {size:d} bytes")
def step_callbacks_of_size(context: Any, count: int, size: int) -> None:
    _complete_with_callbacks(context, count, b"x" * size)


@then("the callbacks get {expected}")
def step_callbacks_get(context: Any, expected: str) -> None:
    by_callback = context.outcome_by_callback
    actual = [_describe_outcome(by_callback[number]) for number in sorted(by_callback)]
    assert ", ".join(actual) == expected, actual


@then("each callback gets the whole answer")
def step_each_gets_answer(context: Any) -> None:
    bodies = [outcome.ok.body.buffered() for outcome in context.outcome_by_callback.values()]
    assert bodies == [b"whole"] * 3, bodies


@when("a run ends with an answer whose body something else has read")
def step_complete_with_consumed_body(context: Any) -> None:
    outcome = make_answer(b"x" * 100)
    outcome.ok.body.attach(DiscardSink())
    run = context.run_table.open("first", context.clock.now_ms() + DEADLINE_MS)
    ensureDeferred(run.complete(outcome, REPLAY_BYTES))
