"""Steps for the quarantine."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from foxtailproxy.quarantine import Quarantine
from foxtailproxy.tests.fakes import advance, fake_clock, make_call

LIMIT = 2
QUARANTINE_MS = 1000


def _report(context: Any, upstreams: str) -> None:
    for name in upstreams.split():
        context.quarantine.report(context.call.fingerprint, [name])


@given("crashes of a request at {upstreams}")
def step_crashes(context: Any, upstreams: str) -> None:
    context.clock = fake_clock()
    context.quarantine = Quarantine(context.clock)
    context.call = make_call(context.clock)
    _report(context, upstreams)


@when("{ms:d} ms pass with a limit of 2 crashes and 1000 ms of quarantine")
def step_wait(context: Any, ms: int) -> None:
    advance(context.clock, ms)


@then("the request is {blocked}")
def step_blocked(context: Any, blocked: str) -> None:
    seen = context.quarantine.blocked(context.call, LIMIT, QUARANTINE_MS)
    assert seen == (blocked == "blocked")
    if not seen:
        assert len(context.quarantine.crashed_upstreams(context.call)) < LIMIT


@when("the request runs to its end")
def step_completed(context: Any) -> None:
    context.quarantine.completed(context.call)


@then("nothing is suspect and the request is harmless")
def step_harmless(context: Any) -> None:
    assert not context.quarantine.by_fingerprint
    assert context.quarantine.harmless(context.call)


@when("an operator releases it and it is reported at {upstreams}")
def step_release(context: Any, upstreams: str) -> None:
    assert context.quarantine.release(context.call.fingerprint)
    _report(context, upstreams)
