"""Steps for the local target and its upstream."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from behave import given, then, when
from twisted.internet import reactor, threads
from twisted.internet.defer import ensureDeferred

from foxtailproxy.tests.fakes import advance, make_call
from foxtailproxy.tests.memory_network import NetworkReactor
from foxtailproxy.tests.upstream_fakes import TargetWithUpstream


@given("an upstream of the platform that {behaviour}")
def step_platform_upstream(context: Any, behaviour: str) -> None:
    context.live = threads.blockingCallFromThread(reactor, TargetWithUpstream, behaviour, True)


@given("an upstream that {behaviour}")
def step_upstream(context: Any, behaviour: str) -> None:
    context.live = threads.blockingCallFromThread(reactor, TargetWithUpstream, behaviour)


@given("a simulated upstream that never answers")
def step_simulated_upstream(context: Any) -> None:
    context.simulated = TargetWithUpstream("never answers", network=NetworkReactor())


@when("{count:d} calls that {may} run again are run one after another")
def step_send_calls(context: Any, count: int, may: str) -> None:
    fixture = context.live
    context.outcomes = []
    for _ in range(count):
        call = make_call(fixture.clock, rule={"idempotent": may == "may"})
        call.head.headers.append((b"x-foxtailproxy-attempt-id", call.attempt_id.encode()))
        outcome = threads.blockingCallFromThread(
            reactor, lambda call=call: ensureDeferred(fixture.target.run(call))
        )
        context.outcomes.append("answered" if outcome.is_ok() else str(outcome.error.reason))
        if outcome.is_ok():
            context.answer_matches = getattr(context, "answer_matches", [])
            context.answer_matches.append(outcome.ok.body.buffered() == call.attempt_id.encode())


@then("each got the answer to its own request")
def step_answers_match(context: Any) -> None:
    assert all(context.answer_matches), context.answer_matches


@then("they end as {outcomes}")
def step_outcomes(context: Any, outcomes: str) -> None:
    assert " ".join(context.outcomes) == outcomes, context.outcomes


@then("the upstream opened {count:d} connections")
def step_connections_opened(context: Any, count: int) -> None:
    assert context.live.factory.connections == count, context.live.factory.connections


@when("{count:d} calls that {may} run again have a deadline of {ms:d} ms, and {after:d} ms pass")
def step_calls_with_deadline(context: Any, count: int, may: str, ms: int, after: int) -> None:
    fixture = context.simulated
    for _ in range(count):
        call = make_call(fixture.clock, ms, rule={"idempotent": may == "may"})
        ensureDeferred(fixture.target.run(call))
    advance(fixture.clock, after, 1)
    assert fixture.factory.connections == count, fixture.factory.connections


@when("{count:d} calls whose attempt id cannot be written in a head are run")
def step_calls_that_raise(context: Any, count: int) -> None:
    context.simulated = fixture = TargetWithUpstream(
        "never answers", platform=True, network=NetworkReactor()
    )
    context.errors = []
    for _ in range(count):
        call = replace(make_call(fixture.clock, 5000), attempt_id="\u0416")
        ensureDeferred(fixture.target.run(call)).addErrback(context.errors.append)
    advance(fixture.clock, 100, 1)


@then("{count:d} of them ended with an error")
def step_ended_with_error(context: Any, count: int) -> None:
    assert len(context.errors) == count, context.errors
    assert all(error.check(UnicodeEncodeError) for error in context.errors), context.errors


@then("{count:d} slots are in use")
def step_slots_taken(context: Any, count: int) -> None:
    simulated = getattr(context, "simulated", None)
    load = (
        simulated.target.load()
        if simulated is not None
        else threads.blockingCallFromThread(reactor, context.live.target.load)
    )
    assert load.running == count, load
