"""The policy under load: routing and admission as they are, over simulated service times.

Every entry node has its own router with its own, stale view; every target its own admission. Calls
arrive in open loop and their times count from when they were due.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram
from twisted.internet.task import Clock as SimulatedTime

from foxtailproxy.admission import Admission, Ticket
from foxtailproxy.call import Call
from foxtailproxy.clock import Clock
from foxtailproxy.http.messages import RequestHead
from foxtailproxy.load import Load
from foxtailproxy.models.messages import MemberRecord, MemberState
from foxtailproxy.models.rules import ClassRule, ServiceRule
from foxtailproxy.outcome import NotRun
from foxtailproxy.routing import LOCAL_ID, LocalChoice, PeerChoice, Router

STEP_S = 0.0005
NEAR_MS = 1.0
FAR_MS = 20.0
REPORT_MS = 1000.0
DURATION_S = 20.0
CREST_S = (8.0, 12.0)
ATTEMPTS = 3


@dataclass(slots=True)
class Work:
    """One class of the load; `rate_per_s` grows by `crest` in the crest."""

    rule: ClassRule
    rate_per_s: float
    service_ms: float
    straggler_share: float = 0.0
    straggler_factor: float = 1.0
    crest: float = 1.0
    tenants: int = 10
    greedy_share: float = 0.0


@dataclass(slots=True)
class Workload:
    """One deployment and its load; `slow_target` becomes ten times slower half-way."""

    name: str
    targets: int
    slots: int
    works: list[Work]
    slow_target: bool = False


@dataclass(slots=True)
class Variant:
    """A policy: how targets are chosen, and which mechanisms of ours are off."""

    name: str
    choose: str = "ours"
    off: frozenset[str] = frozenset()


@dataclass(slots=True)
class Result:
    """Times and outcomes of one class."""

    times: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000_000, 3))
    crest_times: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000_000, 3))
    crest_calls: int = 0
    crest_in_time: int = 0
    calls: int = 0
    refused: int = 0
    paid: int = 0


class Row(msgspec.Struct):
    """One row of the table; times in ms, shares in percent, `paid` in calls over the paid link."""

    workload: str
    variant: str
    rule: str
    seed: int
    p50: float
    p99: float
    p999: float
    crest_p99: float
    refused_percent: float
    crest_in_time_percent: float
    paid: int


class SimulatedTarget:
    """A target whose calls take simulated time."""

    def __init__(self, clock: Clock, member: MemberRecord, slots: int, off: frozenset[str]) -> None:
        self.member = member
        self.admission = Admission(clock, slots)
        self.admission.fair_queueing = "fair queues" not in off
        self.admission.limit_long_calls = "long bound" not in off
        self.factor = 1.0
        self.stale = self.admission.load()

    def serves(self, service: str) -> bool:
        """Always."""
        return True

    def load(self) -> Load:
        """The load now."""
        return self.admission.load()


class Simulation:
    """One workload under one variant."""

    def __init__(self, workload: Workload, variant: Variant, seed: int) -> None:
        self.workload = workload
        self.variant = variant
        self.rng = random.Random(seed)
        self.clock = Clock(SimulatedTime())
        self.result_by_class: dict[str, Result] = {}
        self.turn = 0
        self.service = ServiceRule("service", ["service"], long_after_ms=100)
        self.targets = [self._target(number) for number in range(workload.targets)]
        self.routers = [self._router(target) for target in self.targets]

    def _target(self, number: int) -> SimulatedTarget:
        region = ("one", "two")[number % 2]
        member = MemberRecord(
            f"n{number}", 1, MemberState.alive, region, f"{region}-{number // 2 % 2}", "", 1, 1, 1
        )
        member.service, member.slots = "service", self.workload.slots
        return SimulatedTarget(self.clock, member, self.workload.slots, self.variant.off)

    def _router(self, target: SimulatedTarget) -> Router:
        own: Any = target
        member = target.member
        router = Router(
            self.clock,
            member.node_id,
            member.region,
            member.data_center,
            own,
            lambda _: True,
            self.rng,
        )
        for other in self.targets:
            if other is not target:
                router.update_member(other.member)
        return router

    def run(self) -> dict[str, Result]:
        """Play the whole load."""
        for work in self.workload.works:
            self.result_by_class[work.rule.name] = Result()
            self._arrive(work, 0.0)
        if self.workload.slow_target:
            self.clock.call_later(DURATION_S * 500, setattr, self.targets[0], "factor", 10.0)
        self._report()
        steps = int((DURATION_S + 10) / STEP_S)
        for step in range(steps):
            self.clock.source.advance(STEP_S)
            if step % 40 == 0:
                for target in self.targets:
                    target.admission.sweep()
        return self.result_by_class

    def _report(self) -> None:
        for target in self.targets:
            target.stale = target.load()
        self.clock.call_later(REPORT_MS, self._report)

    def _arrive(self, work: Work, now_s: float) -> None:
        in_crest = CREST_S[0] <= now_s < CREST_S[1]
        rate = work.rate_per_s * (work.crest if in_crest else 1.0)
        gap_s = self.rng.expovariate(rate)
        if now_s + gap_s < DURATION_S:
            self.clock.call_later(gap_s * 1000, self._begin, work, now_s + gap_s)

    def _begin(self, work: Work, now_s: float) -> None:
        self._arrive(work, now_s)
        greedy = self.rng.random() < work.greedy_share
        tenant = "greedy" if greedy else f"tenant{self.rng.randrange(work.tenants)}"
        now_ms = self.clock.now_ms()
        call = Call(
            RequestHead(b"GET", b"/", []),
            self.service,
            work.rule,
            tenant,
            now_ms + work.rule.deadline_ms,
            1,
            b"",
        )
        service_ms = self.rng.expovariate(1 / work.service_ms)
        if self.rng.random() < work.straggler_share:
            service_ms = work.service_ms * work.straggler_factor
        entry = self.rng.randrange(len(self.targets))
        result = self.result_by_class[work.rule.name]
        result.calls += 1
        in_crest = CREST_S[0] <= now_s < CREST_S[1]
        result.crest_calls += in_crest
        flight = Flight(self, call, entry, service_ms, now_ms, in_crest, result)
        flight.send()

    def choose(self, call: Call, entry: int, tried: set[str]) -> SimulatedTarget | None:
        """The target that the variant chooses."""
        if self.variant.choose == "ours":
            return self._choose_ours(call, entry, tried)
        left = [t for t in self.targets if t.member.node_id not in tried]
        if not left:
            return None
        return CHOICES[self.variant.choose](self, left)

    def _choose_ours(self, call: Call, entry: int, tried: set[str]) -> SimulatedTarget | None:
        router = self.routers[entry]
        own = self.targets[entry].member.node_id
        names = {LOCAL_ID if name == own else name for name in tried}
        if "local first" in self.variant.off:
            names.add(LOCAL_ID)
        choice = router.choose(call.match, names, 100)
        if isinstance(choice, LocalChoice):
            return self.targets[entry]
        if isinstance(choice, PeerChoice):
            choice.view.begin_send()
            return self.targets[int(choice.view.member.node_id[1:])]
        return None

    def next_turn(self, count: int) -> int:
        """The next of `count` in turn."""
        self.turn += 1
        return self.turn % count


def least_loaded(targets: list[SimulatedTarget]) -> SimulatedTarget:
    """The least loaded by the last report."""
    return min(targets, key=lambda target: target.stale.occupancy())


CHOICES: dict[str, Callable[[Simulation, list[SimulatedTarget]], SimulatedTarget]] = {
    "random": lambda simulation, left: simulation.rng.choice(left),
    "round robin": lambda simulation, left: left[simulation.next_turn(len(left))],
    "least loaded": lambda simulation, left: least_loaded(left),
    "power of two": lambda simulation, left: least_loaded(
        simulation.rng.sample(left, min(2, len(left)))
    ),
}


@dataclass(slots=True)
class Flight:
    """One call on its way."""

    simulation: Simulation
    call: Call
    entry: int
    service_ms: float
    due_ms: float
    in_crest: bool
    result: Result
    tried: set[str] = field(default_factory=set)

    def send(self) -> None:
        """Send the call to the next target."""
        target = self.simulation.choose(self.call, self.entry, self.tried)
        if target is None or len(self.tried) >= ATTEMPTS:
            self.result.refused += 1
            return
        self.tried.add(target.member.node_id)
        own = self.simulation.targets[self.entry]
        way_ms = 0.0 if target is own else NEAR_MS / 2
        if target.member.region != own.member.region:
            way_ms = FAR_MS / 2
            self.result.paid += 1
        self.simulation.clock.call_later(way_ms, self._enter, target, way_ms)

    def _enter(self, target: SimulatedTarget, way_ms: float) -> None:
        ticket = Ticket(
            self.call,
            lambda: self._run(target, ticket, way_ms),
            lambda refusal: self._refused(target, refusal, way_ms),
        )
        target.admission.submit(ticket)

    def _run(self, target: SimulatedTarget, ticket: Ticket, way_ms: float) -> None:
        clock = self.simulation.clock
        service_ms = self.service_ms * target.factor
        clock.call_later(service_ms, target.admission.release, ticket)
        clock.call_later(service_ms + way_ms, self._answered, target)

    def _refused(self, target: SimulatedTarget, refusal: NotRun, way_ms: float) -> None:
        self._observe(target)
        if self.call.remaining_ms(self.simulation.clock) <= 0:
            self.result.refused += 1
            return
        self.simulation.clock.call_later(way_ms, self.send)

    def _answered(self, target: SimulatedTarget) -> None:
        self._observe(target)
        elapsed = self.simulation.clock.now_ms() - self.due_ms
        self.result.times.record_value(max(1, int(elapsed * 1000)))
        if self.in_crest:
            self.result.crest_times.record_value(max(1, int(elapsed * 1000)))
        if self.in_crest and elapsed <= self.call.rule.deadline_ms:
            self.result.crest_in_time += 1

    def _observe(self, target: SimulatedTarget) -> None:
        router = self.simulation.routers[self.entry]
        router.record_load(target.member.node_id, target.load())
        view = router.view_by_id.get(target.member.node_id)
        if view is not None and self.simulation.variant.choose == "ours":
            view.outstanding = max(0, view.outstanding - 1)


def rows(workload: Workload, variant: Variant, seed: int) -> list[Row]:
    """Run one workload under one variant."""
    results = Simulation(workload, variant, seed).run()
    return [
        Row(
            workload.name,
            variant.name,
            name,
            seed,
            result.times.get_value_at_percentile(50) / 1000,
            result.times.get_value_at_percentile(99) / 1000,
            result.times.get_value_at_percentile(99.9) / 1000,
            result.crest_times.get_value_at_percentile(99) / 1000,
            100 * result.refused / max(1, result.calls),
            100 * result.crest_in_time / max(1, result.crest_calls),
            result.paid,
        )
        for name, result in results.items()
    ]


VARIANTS = [
    Variant("ours"),
    Variant("random", "random"),
    Variant("round robin", "round robin"),
    Variant("least loaded (1 s old)", "least loaded"),
    Variant("power of two (1 s old)", "power of two"),
    Variant("without local first", off=frozenset(("local first",))),
    Variant("without fair queues", off=frozenset(("fair queues",))),
    Variant("without long bound", off=frozenset(("long bound",))),
]


def workloads() -> list[Workload]:
    """The loads of the two deployments, each at its size of today for one service."""
    lookup = ClassRule(
        "service", "lookup", idempotent=True, weight=4, priority=6, deadline_ms=1000, hold_ms=500
    )
    quote = ClassRule(
        "service", "quote", idempotent=True, priority=3, deadline_ms=8000, hold_ms=4000
    )
    booking = ClassRule("service", "booking", priority=9, deadline_ms=2000, hold_ms=1000, weight=4)
    return [
        Workload(
            "bookings, load doubles",
            4,
            12,
            [
                Work(booking, 600.0, 20.0, crest=2.0),
                Work(lookup, 1000.0, 8.0, crest=2.0),
                Work(quote, 20.0, 200.0, 0.02, 10.0),
            ],
        ),
        Workload(
            "dawn, stragglers",
            4,
            16,
            [
                Work(lookup, 2000.0, 8.0, crest=2.5, greedy_share=0.5),
                Work(quote, 80.0, 100.0, 0.1, 20.0, crest=3.0),
            ],
        ),
        Workload(
            "one target slows",
            4,
            12,
            [Work(lookup, 1500.0, 8.0), Work(booking, 300.0, 20.0)],
            slow_target=True,
        ),
    ]


def print_rows(all_rows: list[Row]) -> None:
    """Print the table, with one block for each workload and class."""
    blocks: dict[tuple[str, str], list[Row]] = {}
    for row in all_rows:
        blocks.setdefault((row.workload, row.rule), []).append(row)
    for (workload, rule), block in blocks.items():
        print(f"\n{workload}: {rule}")
        print(
            f"{'variant':<26} {'seed':>4} {'p50':>8} {'p99':>9} {'p99.9':>9} {'crest p99':>9} ",
            end="",
        )
        print(f"{'refused %':>9} {'crest in time %':>15} {'paid calls':>10}")
        for row in block:
            print(
                f"{row.variant:<26} {row.seed:>4} {row.p50:>8.1f} {row.p99:>9.1f} "
                f"{row.p999:>9.1f} {row.crest_p99:>9.1f} {row.refused_percent:>9.2f} "
                f"{row.crest_in_time_percent:>15.2f} {row.paid:>10}"
            )
