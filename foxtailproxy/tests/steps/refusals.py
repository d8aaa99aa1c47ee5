"""Steps for upstreams that refuse calls although they have free slots."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from twisted.internet.defer import ensureDeferred

from foxtailproxy.models.messages import Announcement
from foxtailproxy.tests.fakes import advance, make_call
from foxtailproxy.tests.memory_network import NetworkReactor
from foxtailproxy.tests.upstream_fakes import FakeUpstream, TargetWithUpstream

SLOTS = 20
FREE, FULL = b"1,0,20,100", b"20,0,20,100"


class RefusingUpstream(FakeUpstream):
    """Upstream of the platform that refuses the calls that its factory tells it to."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Run or refuse a call."""
        factory = self.factory
        factory.calls += 1
        attempt = data.partition(b"attempt-id: ")[2].partition(b"\r\n")[0]
        load = FULL if "in use" in factory.behaviour else FREE
        answer = b"HTTP/1.1 200 OK\r\n"
        if factory.refuses(factory.calls):
            answer = b"HTTP/1.1 503 Busy\r\nx-foxtailproxy-not-executed: 1\r\n"
        answer += b"x-foxtailproxy-attempt-id: %s\r\n" % attempt
        answer += b"x-foxtailproxy-backend-load: %s\r\ncontent-length: 0\r\n\r\n" % load
        self.transport.write(answer)


def _announce(context: Any, born_ms: int) -> None:
    current = context.simulated.target.announcement
    context.simulated.target.receive_announcement(
        Announcement("kalender", "127.0.0.1", current.port, SLOTS, instance="i-1", born_ms=born_ms)
    )


@given("a target beside an upstream that {habit}")
def step_upstream(context: Any, habit: str) -> None:
    context.simulated = simulated = TargetWithUpstream(
        habit, True, RefusingUpstream, NetworkReactor()
    )
    simulated.factory.calls = 0
    clock = simulated.clock
    share = {"refuses every second call": 2, "runs all calls": 0}.get(habit, 1)
    end_ms = {
        "refuses calls for 2000 ms": 2000.0,
        "refuses calls until it is restarted after 1000 ms": 1000.0,
    }.get(habit, 1e9)
    simulated.factory.refuses = lambda number: (
        share > 0 and number % share == 0 and clock.now_ms() < end_ms
    )
    _announce(context, 1)
    if "restarted" in habit:
        clock.call_later(end_ms, _announce, context, 2)


def _run_call(context: Any, send_number: int = 0) -> None:
    clock = context.simulated.clock
    call = make_call(clock, 1000, rule={"idempotent": True})
    call.send_number = send_number
    call.head.headers.append((b"x-foxtailproxy-attempt-id", call.attempt_id.encode()))
    arrived_ms = clock.now_ms()

    def ended(outcome: Any) -> None:
        context.ended.append((outcome, clock.now_ms() - arrived_ms))

    ensureDeferred(context.simulated.target.run(call)).addCallback(ended)


@when("calls arrive at {arrive:d} a second for {seconds:d} s")
def step_arrivals(context: Any, arrive: int, seconds: int) -> None:
    context.ended = []
    for _ in range(arrive * seconds):
        _run_call(context)
        advance(context.simulated.clock, 1000 / arrive, 1)


@when("calls that were sent once before arrive at {arrive:d} a second for {seconds:d} s")
def step_later_sends(context: Any, arrive: int, seconds: int) -> None:
    context.ended = []
    for _ in range(arrive * seconds):
        _run_call(context, 1)
        advance(context.simulated.clock, 1000 / arrive, 1)


@when("{ms:d} ms pass at the target")
def step_wait(context: Any, ms: int) -> None:
    advance(context.simulated.clock, ms)


@when("a trial call ends before it is sent")
def step_trial_not_sent(context: Any) -> None:
    advance(context.simulated.clock, 2000)
    refusals = context.simulated.target.refusals
    assert refusals.admit("trial") and not refusals.admit("other")
    refusals.end("trial")


@then("the next call is a trial call")
def step_next_trial(context: Any) -> None:
    calls = context.simulated.factory.calls
    for _ in range(2):
        _run_call(context)
    advance(context.simulated.clock, 10, 1)
    assert context.simulated.factory.calls == calls + 1


@then("the upstream gets {least:d} to {most:d} of them")
def step_calls(context: Any, least: int, most: int) -> None:
    calls = context.simulated.factory.calls
    assert least <= calls <= most, calls


@then("its node offers calls: {offers}")
def step_offers(context: Any, offers: str) -> None:
    refusing = context.simulated.target.refusals.refusing
    assert refusing == (offers == "no"), refusing


@then("the last ones end as refusing within {within:d} ms, to return within {ms:d} ms")
def step_rejected(context: Any, within: int, ms: int) -> None:
    for outcome, elapsed_ms in context.ended[-5:]:
        assert outcome.error.reason == "refusing", outcome
        assert elapsed_ms <= within and 0 < outcome.error.retry_after_ms <= ms, outcome


@then("its load report has no slots")
def step_no_slots(context: Any) -> None:
    assert context.simulated.target.load().slots == 0


@then("its refusals count in no run time")
def step_no_run_time(context: Any) -> None:
    assert context.simulated.target.admission.run_times.usual_ms("lookup") is None


@then("of {nodes:d} nodes that ask for its load {offered:d} is offered a call")
def step_offered(context: Any, nodes: int, offered: int) -> None:
    target = context.simulated.target
    loads = [target.offered_load("kalender") for _ in range(nodes)]
    assert sum(load is not None and load.slots > 0 for load in loads) == offered, loads
