"""Steps for the quarantine of requests."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from foxtailproxy.quarantine import Quarantine
from foxtailproxy.tests.fakes import advance, fake_clock, make_call

CRASH_LIMIT = 2
QUARANTINE_MS = 1000


def _report_crashes(context: Any, upstreams: str) -> None:
    for name in upstreams.split():
        context.quarantine.record_crash(context.call.fingerprint, [name])


@given("a request that crashed {upstreams}")
def step_crashes(context: Any, upstreams: str) -> None:
    context.clock = fake_clock()
    context.quarantine = Quarantine(context.clock)
    context.call = make_call(context.clock)
    _report_crashes(context, upstreams)


@when("{ms:d} ms pass with a limit of 2 crashes and 1000 ms of quarantine")
def step_time_passes(context: Any, ms: int) -> None:
    advance(context.clock, ms)


@then("the request is {blocked}")
def step_quarantined(context: Any, blocked: str) -> None:
    quarantined = context.quarantine.is_quarantined(context.call, CRASH_LIMIT, QUARANTINE_MS)
    assert quarantined == (blocked == "blocked")
    if not quarantined:
        assert len(context.quarantine.crashed_upstreams(context.call)) < CRASH_LIMIT


@when("the request runs to completion")
def step_completed(context: Any) -> None:
    context.quarantine.record_completion(context.call)


@then("no request is suspect and this one is completed")
def step_not_suspect(context: Any) -> None:
    assert not context.quarantine.suspects
    assert context.quarantine.has_completed(context.call)


@when("an operator releases it and it is reported to have crashed {upstreams}")
def step_release(context: Any, upstreams: str) -> None:
    assert context.quarantine.release(context.call.fingerprint)
    _report_crashes(context, upstreams)
