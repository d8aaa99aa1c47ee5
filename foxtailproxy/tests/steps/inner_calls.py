"""Steps for inner calls."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from twisted.internet.defer import ensureDeferred

from foxtailproxy.admission import Admission, Ticket
from foxtailproxy.tests.fakes import advance, fake_clock, make_call
from foxtailproxy.tests.memory_network import NetworkReactor
from foxtailproxy.tests.upstream_fakes import TargetWithUpstream

DEPTH_BY_KIND = {"new": 1, "inner": 2}


def _submit(context: Any, name: str, kind: str, priority: int, **fields: Any) -> None:
    rule = {"name": f"{kind}{priority}", "priority": priority, "hold_ms": 9000, "queue": 50}
    rule |= fields.pop("rule", {})
    call = make_call(context.clock, rule=rule, depth=DEPTH_BY_KIND[kind], **fields)
    ticket = Ticket(
        call,
        lambda: context.started.append((name, ticket)),
        lambda rejection: context.rejected.append(str(rejection.reason)),
    )
    context.admission.submit(ticket)


@given("one slot in use and these calls waiting: {calls}")
def step_waiting(context: Any, calls: str) -> None:
    context.clock = fake_clock()
    context.admission = Admission(context.clock, 1)
    context.started, context.rejected = [], []
    _submit(context, "-", "new", 1)
    for text in calls.split():
        name, kind, priority = text.split(":")
        _submit(context, name, kind, int(priority))


@when("the slot is passed on until none waits")
def step_pass_on(context: Any) -> None:
    while context.admission.load().running:
        advance(context.clock, 10)
        context.admission.release(context.started[-1][1])


@then("they ran in the order {order}")
def step_order(context: Any, order: str) -> None:
    ran = " ".join(name for name, _ in context.started[1:])
    assert ran == order, ran


@given("one slot in use and {count:d} calls waiting that run {ms:d} ms")
def step_busy(context: Any, count: int, ms: int) -> None:
    step_waiting(context, "")
    for kind in DEPTH_BY_KIND:
        _submit(context, "-", kind, 7)
        queue = context.admission._queue_of(make_call(context.clock, depth=DEPTH_BY_KIND[kind]))
        queue.service_ms = ms
        context.admission.run_times.record("lookup", ms, 1.0)
        for _ in range(count):
            _submit(context, "-", kind, 7, rule={"name": "lookup"})


@when("the {kind} call arrives on its send {number:d} with {left:d} ms left")
def step_arrives(context: Any, kind: str, number: int, left: int) -> None:
    rule = {"name": "lookup", "objective_ms": 400}
    received_ms = context.clock.now_ms()
    _submit(
        context,
        "it",
        kind,
        7,
        rule=rule,
        deadline_ms=left,
        received_ms=received_ms,
        send_number=number - 1,
    )


@then("it waits")
def step_waits(context: Any) -> None:
    assert not context.rejected, context.rejected


@then("it is rejected: {reason}")
def step_rejected(context: Any, reason: str) -> None:
    assert context.rejected == [reason], context.rejected


@given("an upstream that runs p of depth 1 and a.b of depth 2, while q waits")
def step_running(context: Any) -> None:
    context.simulated = TargetWithUpstream("never answers", network=NetworkReactor())
    for name, depth in (("p", 1), ("a.b", 2), ("q", 1)):
        call = make_call(context.simulated.clock, depth=depth, attempt_id=name, send_number=1)
        ensureDeferred(context.simulated.target.run(call))
    assert context.simulated.target.load().queued == 1


@then("a call named {name} has the depth {depth:d}")
def step_depth(context: Any, name: str, depth: int) -> None:
    assert context.simulated.target.inner_depth(name) == depth
