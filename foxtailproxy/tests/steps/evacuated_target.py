"""Steps for a target in an evacuated data centre, and for claims that the store has lost."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when
from twisted.internet.defer import ensureDeferred

from foxtailproxy.claims import Claims
from foxtailproxy.outcome import NotRunReason
from foxtailproxy.storage.store_era import StoreEra
from foxtailproxy.tests.evacuation_fakes import RestorableStore, StoreLink
from foxtailproxy.tests.fakes import (
    LIMITS,
    FakePeers,
    advance,
    fake_clock,
    make_answer,
    make_call,
    make_member,
)


@when("{count:d} calls run or wait at its target of 2 slots")
def step_calls(context: Any, count: int) -> None:
    context.outcomes = []
    for _ in range(count):
        step_call(context, 1)


@when("{count:d} more call comes")
def step_call(context: Any, count: int) -> None:
    fixture = context.simulated
    call = make_call(fixture.clock, rule={"idempotent": False, "queue": 10, "hold_ms": 5000})
    ensureDeferred(fixture.target.run(call)).addCallback(context.outcomes.append)
    advance(fixture.clock, 20, 1)


@when("the data centre of the target is evacuated")
def step_evacuated(context: Any) -> None:
    context.simulated.target.set_evacuated(True)
    assert context.simulated.target.serving and not context.simulated.target.serves("kalender")


@when("the data centre of the target is used again")
def step_used_again(context: Any) -> None:
    context.simulated.target.set_evacuated(False)
    assert context.simulated.target.serves("kalender")


@then("{running:d} calls run, and {rejected:d} were rejected as evacuated")
def step_rejected(context: Any, running: int, rejected: int) -> None:
    reasons = [outcome.error.reason for outcome in context.outcomes]
    assert reasons == [NotRunReason.EVACUATED] * rejected, reasons
    assert context.simulated.target.load().running == running


@given("a key whose call was answered, in a store that can be restored")
def step_claimed(context: Any) -> None:
    context.clock = fake_clock()
    context.store = RestorableStore(context.clock)
    peers = FakePeers(context.clock, random.Random(1))
    context.era_by_node, context.claims_by_node = {}, {}
    for name in ("a", "b"):
        era = context.era_by_node[name] = StoreEra(context.clock)
        link: Any = StoreLink(context.store, era)
        any_peers: Any = peers
        claims = Claims(
            context.clock, LIMITS, link, any_peers, make_member(name, address=name), era
        )
        context.claims_by_node[name] = claims
        peers.runs_by_address[name] = claims.runs
        ensureDeferred(link.read("members/none"))
    advance(context.clock, 100)
    context.store.take_snapshot()
    claim = _claim(context, "a").ok
    ensureDeferred(context.claims_by_node["a"].complete(claim, make_answer(b"booked")))
    advance(context.clock, 100)


def _claim(context: Any, node: str) -> Any:
    call = make_call(context.clock, rule={"name": "booking", "idempotent": False}, key="key-1")
    results: list[Any] = []
    ensureDeferred(context.claims_by_node[node].acquire(call)).addCallback(results.append)
    advance(context.clock, 200)
    return results[0]


@when("the store loses the claim in a restore")
def step_restore(context: Any) -> None:
    context.store.restore()
    assert not context.store.by_path


@when("{first} soon hears of it, and the key is sent again to b {ms:d} ms later")
def step_send_again(context: Any, first: str, ms: int) -> None:
    if first == "holder":
        for era in context.era_by_node.values():
            era.observe(2, "peer")
    advance(context.clock, ms)
    context.outcome = _claim(context, "b").error


@then("b's call ends as {outcome}")
def step_outcome(context: Any, outcome: str) -> None:
    if outcome == "the same answer":
        assert context.outcome.ok.body.buffered() == b"booked"
    else:
        assert f"unknown {context.outcome.error.reason}" == outcome, context.outcome
