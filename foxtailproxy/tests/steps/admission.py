"""Steps for admission at a target."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from foxtailproxy.admission import Admission, Ticket
from foxtailproxy.tests.fakes import advance, fake_clock, make_call

CLASSES: dict[str, dict[str, Any]] = {
    "short": {"queue": 3, "hold_ms": 100},
    "low": {"queue": 3, "hold_ms": 100, "priority": 1},
    "high": {"queue": 3, "hold_ms": 100, "priority": 9},
    "long": {"long": True, "hold_ms": 100},
    "drags": {"hold_ms": 1000},
    "suspect": {"hold_ms": 100},
    "heavy": {"weight": 3, "hold_ms": 4000},
    "light": {"weight": 1, "hold_ms": 4000},
    "aimed": {"hold_ms": 1000, "objective_ms": 100},
}


@given("a target with {slots:d} slots")
def step_target(context: Any, slots: int) -> None:
    context.clock = fake_clock()
    context.admission = Admission(context.clock, slots)
    context.ticket_by_name = {}
    context.order = []
    context.refused = {}


@given("fair queues are off")
def step_unfair(context: Any) -> None:
    context.admission.fair = False


def _enter(context: Any, name: str, kind: str, tenant: str) -> None:
    call = make_call(
        context.clock,
        rule={"name": kind} | CLASSES[kind],
        service={"long_after_ms": 50, "long_percent": 50},
        tenant=tenant,
        received_ms=context.clock.now_ms(),
    )
    if kind == "suspect":
        call.crashed_upstreams = ["other"]
    ticket = Ticket(
        call,
        lambda: context.order.append(name),
        lambda refusal: context.refused.update({name: refusal.reason}),
    )
    context.ticket_by_name[name] = ticket
    context.admission.enter(ticket)


@when("these calls enter: {calls}")
def step_enter(context: Any, calls: str) -> None:
    for text in calls.split():
        name, kind, *tenant = text.split(":")
        _enter(context, name, kind, "".join(tenant))


@given("calls of a class that usually run {usual:d} ms")
def step_usual(context: Any, usual: int) -> None:
    context.admission.run_times.record("aimed", usual, 1.0)


@when("the call {name} ends")
def step_call_ends(context: Any, name: str) -> None:
    context.admission.leave(context.ticket_by_name[name])


@when("{ms:d} ms pass")
def step_pass(context: Any, ms: int) -> None:
    advance(context.clock, ms)
    context.admission.sweep()


@then("these run: {names}")
def step_run(context: Any, names: str) -> None:
    assert " ".join(context.order) == names, context.order


@then("these wait: {names}")
def step_wait(context: Any, names: str) -> None:
    ended = {*context.order, *context.refused}
    waiting = [name for name in context.ticket_by_name if name not in ended]
    assert (" ".join(waiting) or "-") == names, waiting


@then("these were refused: {expected}")
def step_refused(context: Any, expected: str) -> None:
    seen = " ".join(f"{name}={reason}" for name, reason in context.refused.items())
    assert (seen or "-") == expected, seen


@when("{heavy:d} heavy calls of weight 3 and {light:d} light calls of weight 1 wait")
def step_two_classes(context: Any, heavy: int, light: int) -> None:
    _enter(context, "first", "short", "")
    for number in range(heavy):
        _enter(context, f"heavy{number}", "heavy", "")
    for number in range(light):
        _enter(context, f"light{number}", "light", "")


@then("of the next {count:d} that run {share:d} are heavy")
def step_share(context: Any, count: int, share: int) -> None:
    for _ in range(count):
        running = context.ticket_by_name[context.order[-1]]
        advance(context.clock, 5)
        context.admission.leave(running)
    heavy = sum(1 for name in context.order[1 : count + 1] if name.startswith("heavy"))
    assert abs(heavy - share) <= 1, context.order
