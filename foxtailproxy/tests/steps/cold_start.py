"""Steps for the limit on the requests to a cold upstream."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when
from twisted.internet.defer import ensureDeferred

from foxtailproxy.admission import Admission, Ticket
from foxtailproxy.models.messages import Announcement
from foxtailproxy.models.settings import ColdStartSection
from foxtailproxy.target_side.cold_start import ColdStart
from foxtailproxy.tests.fakes import advance, fake_clock, make_call
from foxtailproxy.tests.memory_network import NetworkReactor
from foxtailproxy.tests.upstream_fakes import FakeUpstream, TargetWithUpstream

SLOTS = 50
SEED = 7


class SlowNetwork(NetworkReactor):
    """Network on which a connection takes a random time to open."""

    max_open_ms = 1.0

    def __init__(self) -> None:
        super().__init__()
        self.rng = random.Random(SEED)

    def connectTCP(  # noqa: N802
        self, host: Any, port: Any, factory: Any, timeout: Any = 30, bindAddress: Any = None
    ) -> Any:
        """Connect after a random time."""
        delay_s = self.rng.random() * self.max_open_ms / 1000
        self.callLater(delay_s, super().connectTCP, host, port, factory)


class CountingUpstream(FakeUpstream):
    """Upstream that records when requests arrive."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Record the time of a request, and answer it."""
        self.factory.arrived_ms.append(self.factory.clock.now_ms())
        super().dataReceived(data)


def _set_limit(cold: ColdStart, context: Any) -> None:
    cold.terms = ColdStartSection(context.overage, context.slack)
    cold.get_rate_per_s = lambda: context.rate


@given(
    "an upstream that bears {rate:g} requests a second while it is cold, {overage:g} times and "
    "{slack:g} more"
)
def step_cold_rate(context: Any, rate: float, overage: float, slack: float) -> None:
    context.rate, context.overage, context.slack = rate, overage, slack
    context.clock = fake_clock()
    context.admission = Admission(context.clock, SLOTS)
    _set_limit(context.admission.cold, context)


@given("its connections take up to {ms:d} ms to open, and {habit}")
def step_network(context: Any, ms: int, habit: str) -> None:
    network = SlowNetwork()
    network.max_open_ms = ms
    context.live = TargetWithUpstream(habit, protocol_class=CountingUpstream, network=network)
    context.live.factory.clock = context.live.clock
    context.live.factory.arrived_ms = []
    _set_limit(context.live.target.admission.cold, context)


def _announce(context: Any, cold_ms: int, sequence: int = 0) -> None:
    current = context.live.target.announcement
    context.live.target.receive_announcement(
        Announcement(
            "kalender",
            "127.0.0.1",
            current.port,
            SLOTS,
            instance="i-1",
            born_ms=5,
            sequence=sequence,
            cold_ms=cold_ms,
        )
    )


ANNOUNCED_COLD_MS = {
    "is announced as cold": [(0, 60_000)],
    "is announced as warm": [(0, 0)],
    "does not say if it is cold": [(0, -1)],
    "turns cold after 3000 ms": [(0, 0), (3000, 60_000)],
    "turns cold twice": [(0, 1000), (5000, 60_000)],
    "turns cold at once for 2000 ms": [(0, 2000)],
}


@when("calls arrive, and it {begins}, at {arrive:d} a second for {seconds:d} s")
def step_arrivals(context: Any, begins: str, arrive: int, seconds: int) -> None:
    clock, target = context.live.clock, context.live.target
    started_ms = clock.now_ms()
    for sequence, (at_ms, cold_ms) in enumerate(ANNOUNCED_COLD_MS[begins]):
        clock.call_later(at_ms, _announce, context, cold_ms, sequence)
    advance(clock, 1)
    for _ in range(arrive * seconds):
        call = make_call(clock, 3000, rule={"objective_ms": 1000, "hold_ms": 1000})
        ensureDeferred(target.run(call))
        advance(clock, 1000 / arrive, 1)
    context.arrived_ms = [ms - started_ms for ms in context.live.factory.arrived_ms]


@then("from {start:d} ms on it gets at most {most:d} requests in any second while it is cold")
def step_most(context: Any, start: int, most: int) -> None:
    context.cold_arrived_ms = cold_ms = [ms for ms in context.arrived_ms if ms >= start]
    counts = [sum(1 for other in cold_ms if ms <= other < ms + 1000) for ms in cold_ms]
    assert counts and max(counts) <= most, max(counts, default=0)


@then("it gets at least {least:d} requests while it is cold")
def step_least(context: Any, least: int) -> None:
    assert len(context.cold_arrived_ms) >= least, len(context.cold_arrived_ms)


@then("it gets at least {least:d} requests")
def step_least_at_all(context: Any, least: int) -> None:
    assert len(context.arrived_ms) >= least, len(context.arrived_ms)


@then("from {start:d} ms to {end:d} ms it gets {least:d} to {most:d} requests")
def step_between(context: Any, start: int, end: int, least: int, most: int) -> None:
    count = sum(1 for ms in context.arrived_ms if start <= ms < end)
    assert least <= count <= most, count


def _submit(context: Any, **rule: Any) -> None:
    name = len(context.started) + len(context.rejected) + context.admission.load().queued
    call = make_call(context.clock, rule={"name": "lookup"} | rule)
    context.admission.submit(
        Ticket(call, lambda: context.started.append(name), context.rejected.append)
    )


@given("it is cold, and the calls of its burst have started")
def step_burst(context: Any) -> None:
    context.started, context.rejected = [], []
    context.admission.cold.process_seen()
    context.admission.cold.report(60_000)
    context.admission.slowness.record(1.0)
    for _ in range(4):
        _submit(context)
    assert len(context.started) == 4, context.started


@when("{count:d} calls wait and one arrives that may wait {hold:d} ms")
def step_waiting(context: Any, count: int, hold: int) -> None:
    for _ in range(count):
        _submit(context)
    _submit(context, hold_ms=hold)


@then("it waits, and starts after {ms:d} ms")
def step_starts(context: Any, ms: int) -> None:
    for expected, wait_ms in ((7, ms - 20), (8, 40)):
        for _ in range(wait_ms // 20):
            advance(context.clock, 20)
            context.admission.sweep()
        assert len(context.started) == expected, context.started


@then("it is rejected as cold, to return in {ms:d} ms")
def step_rejected(context: Any, ms: int) -> None:
    assert [(one.reason, one.retry_after_ms) for one in context.rejected] == [("cold", ms)]


@then("its load report states a wait of {ms:d} ms and a slowness of {slowness:d}")
def step_load(context: Any, ms: int, slowness: int) -> None:
    load = context.admission.load()
    assert round(load.wait_ms_by_class["lookup"]) == ms, load
    assert load.slowness == slowness, load
    assert load.slots == 1, load


@when("it reports {first:d} ms, and {second:d} ms after {later:d} ms")
def step_reports(context: Any, first: int, second: int, later: int) -> None:
    context.admission.cold.process_seen()
    context.admission.cold.report(first)
    advance(context.clock, later)
    context.admission.cold.report(second)


@then("it is cold until {until:d} ms")
def step_cold_until(context: Any, until: int) -> None:
    cold = context.admission.cold
    advance(context.clock, until - 1 - context.clock.now_ms())
    assert cold.cold
    advance(context.clock, 2)
    assert not cold.cold


@when("calls arrive, and it turns cold before any is sent")
def step_cold_before_send(context: Any) -> None:
    clock, target = context.live.clock, context.live.target
    context.outcomes = []
    _announce(context, 0)
    for _ in range(3):
        call = make_call(clock, 3000, rule={"objective_ms": 1000, "hold_ms": 1000})
        ensureDeferred(target.run(call)).addCallback(context.outcomes.append)
    # A node without a configuration does not know the rate of a cold upstream.
    target.admission.cold.get_rate_per_s = lambda: None
    _announce(context, 60_000, 1)
    advance(clock, 100, 1)


@then("they are rejected as cold")
def step_all_cold(context: Any) -> None:
    reasons = [outcome.error.reason for outcome in context.outcomes]
    assert reasons == ["cold"] * 3, context.outcomes


@then("they count in no run time")
def step_no_run_time(context: Any) -> None:
    assert context.live.target.admission.run_times.usual_ms("lookup") is None
