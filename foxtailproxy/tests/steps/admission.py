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
    "gold": {"name": "shared", "weight": 12, "priority": 9, "queue": 3, "hold_ms": 4000},
    "tin": {"name": "shared", "weight": 1, "priority": 0, "queue": 3, "hold_ms": 4000},
    "aimed": {"hold_ms": 1000, "objective_ms": 100},
}


@given("a target with {slots:d} slots")
def step_target(context: Any, slots: int) -> None:
    context.clock = fake_clock()
    context.admission = Admission(context.clock, slots)
    context.ticket_by_name = {}
    context.admitted = []
    context.rejected = {}


@given("fair queueing is off")
def step_fair_queues_off(context: Any) -> None:
    context.admission.fair_queueing = False


def _submit_call(context: Any, name: str, class_name: str, tenant: str) -> None:
    call = make_call(
        context.clock,
        rule={"name": class_name} | CLASSES[class_name],
        service={"long_after_ms": 50, "long_percent": 50},
        tenant=tenant,
        received_ms=context.clock.now_ms(),
    )
    if class_name == "suspect":
        call.crashed_upstreams = ["other"]
    ticket = Ticket(
        call,
        lambda: context.admitted.append(name),
        lambda rejection: context.rejected.update({name: rejection.reason}),
    )
    context.ticket_by_name[name] = ticket
    context.admission.submit(ticket)


@when("these calls are submitted: {calls}")
def step_submit_calls(context: Any, calls: str) -> None:
    for call_spec in calls.split():
        name, class_name, *tenant = call_spec.split(":")
        _submit_call(context, name, class_name, "".join(tenant))


@given("calls of a class that usually run {usual:d} ms")
def step_usual_run_time(context: Any, usual: int) -> None:
    context.admission.run_times.record("aimed", usual, 1.0)


@when("the call {name} ends")
def step_call_ends(context: Any, name: str) -> None:
    context.admission.release(context.ticket_by_name[name])


@when("{ms:d} ms pass")
def step_time_passes(context: Any, ms: int) -> None:
    advance(context.clock, ms)
    context.admission.sweep()


@then("these run: {names}")
def step_running(context: Any, names: str) -> None:
    assert " ".join(context.admitted) == names, context.admitted


@then("these wait: {names}")
def step_waiting(context: Any, names: str) -> None:
    ended = {*context.admitted, *context.rejected}
    waiting = [name for name in context.ticket_by_name if name not in ended]
    assert (" ".join(waiting) or "-") == names, waiting


@then("these were rejected: {expected}")
def step_rejected(context: Any, expected: str) -> None:
    actual = " ".join(f"{name}={reason}" for name, reason in context.rejected.items())
    assert (actual or "-") == expected, actual


@when("{heavy:d} heavy calls of weight 3 and {light:d} light calls of weight 1 wait")
def step_queue_two_classes(context: Any, heavy: int, light: int) -> None:
    _submit_call(context, "first", "short", "")
    for number in range(heavy):
        _submit_call(context, f"heavy{number}", "heavy", "")
    for number in range(light):
        _submit_call(context, f"light{number}", "light", "")


@then("of the next {count:d} that run {share:d} are heavy")
def step_weighted_share(context: Any, count: int, share: int) -> None:
    for _ in range(count):
        running = context.ticket_by_name[context.admitted[-1]]
        advance(context.clock, 5)
        context.admission.release(running)
    heavy = sum(1 for name in context.admitted[1 : count + 1] if name.startswith("heavy"))
    assert abs(heavy - share) <= 1, context.admitted


def _send_and_end(context: Any, tenant: str, run_ms: float) -> None:
    def admitted() -> None:
        context.used_ms[tenant] += run_ms
        context.clock.call_later(run_ms, context.admission.release, ticket)

    rule = {"name": "shared", "objective_ms": 800, "hold_ms": 3000}
    call = make_call(context.clock, rule=rule, tenant=tenant, received_ms=context.clock.now_ms())
    ticket = Ticket(call, admitted, lambda rejection: None)
    context.admission.submit(ticket)


@when(
    "tenant A sends {rate_a:d} calls a second of {run_a:d} ms, and B {rate_b:d} of {run_b:d} ms, "
    "for {seconds:d} s"
)
def step_two_tenants(
    context: Any, rate_a: int, run_a: int, rate_b: int, run_b: int, seconds: int
) -> None:
    context.used_ms, context.total_ms = {"A": 0.0, "B": 0.0}, seconds * 1000
    for now_ms in range(1, context.total_ms + 1):
        for tenant, rate, run_ms in (("A", rate_a, run_a), ("B", rate_b, run_b)):
            if now_ms * rate // 1000 > (now_ms - 1) * rate // 1000:
                _send_and_end(context, tenant, run_ms)
        advance(context.clock, 1)
        if not now_ms % 20:
            context.admission.sweep()


@then(
    "tenant A has {share_a:d} to {most_a:d} and B {share_b:d} to {most_b:d} percent of the slots' "
    "time"
)
def step_tenant_shares(context: Any, share_a: int, most_a: int, share_b: int, most_b: int) -> None:
    total_ms = context.total_ms * context.admission.slots
    percent = {tenant: 100 * used / total_ms for tenant, used in context.used_ms.items()}
    assert share_a <= percent["A"] <= most_a, percent
    assert share_b <= percent["B"] <= most_b, percent


@when("a call of each of {count:d} tenants runs, one after the other")
def step_many_tenants(context: Any, count: int) -> None:
    tenants = [f"t{number}" for number in range(count)]
    context.used_ms = dict.fromkeys(tenants, 0.0)
    for tenant in tenants:
        _send_and_end(context, tenant, 1)
        advance(context.clock, 2)


@then("the service time of at most {count:d} tenants is kept")
def step_kept_tenants(context: Any, count: int) -> None:
    kept = {len(queue.shares) for queue in context.admission._queue_by_key.values()}
    assert kept and max(kept) <= count, kept
