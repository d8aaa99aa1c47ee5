"""Policy under load: the routing and admission code of the node, with simulated service times.

Each entry node has a router with its own, stale view; each target has its own admission. Calls
arrive in an open loop, and their latencies count from the times at which they were due.
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
SAME_REGION_RTT_MS = 1.0
CROSS_REGION_RTT_MS = 20.0
REPORT_INTERVAL_MS = 1000.0
DURATION_S = 20.0
PEAK_S = (8.0, 12.0)
MAX_SENDS = 3


@dataclass(slots=True)
class ClassLoad:
    """Load of one class; `rate_per_s` is multiplied by `peak_factor` during the peak.

    `service_ms` is the mean service time, `greedy_share` the share of calls from one greedy tenant.
    """

    rule: ClassRule
    rate_per_s: float
    service_ms: float
    straggler_share: float = 0.0
    straggler_factor: float = 1.0
    peak_factor: float = 1.0
    tenants: int = 10
    greedy_share: float = 0.0


@dataclass(slots=True)
class Workload:
    """One deployment and its load; with `slow_target`, a target slows tenfold halfway through."""

    name: str
    targets: int
    slots: int
    class_loads: list[ClassLoad]
    slow_target: bool = False


@dataclass(slots=True)
class Variant:
    """Policy under test: the method of target selection and the disabled mechanisms.

    The selection "ours" is the router of foxtailproxy.
    """

    name: str
    selection: str = "ours"
    disabled: frozenset[str] = frozenset()


@dataclass(slots=True)
class Result:
    """Latencies in microseconds and outcomes of one class."""

    times: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000_000, 3))
    peak_times: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000_000, 3))
    peak_calls: int = 0
    peak_in_time: int = 0
    calls: int = 0
    rejected: int = 0
    paid_calls: int = 0


class Row(msgspec.Struct):
    """One row of the table; latencies in ms, shares in percent.

    `paid` is the number of sends over the paid link between regions. The `crest_` fields cover the
    peak of the load.
    """

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
    """Target whose calls run in simulated time."""

    def __init__(
        self, clock: Clock, member: MemberRecord, slots: int, disabled: frozenset[str]
    ) -> None:
        self.member = member
        self.admission = Admission(clock, slots)
        self.admission.fair_queueing = "fair queues" not in disabled
        self.admission.limit_long_calls = "long bound" not in disabled
        self.slow_factor = 1.0
        self.reported_load = self.admission.load()

    def serves(self, service: str) -> bool:
        """Return true for every service."""
        return True

    def load(self) -> Load:
        """Return the current load."""
        return self.admission.load()


class Simulation:
    """Simulation of one workload under one variant."""

    def __init__(self, workload: Workload, variant: Variant, seed: int) -> None:
        self.workload = workload
        self.variant = variant
        self.rng = random.Random(seed)
        self.clock = Clock(SimulatedTime())
        self.result_by_class: dict[str, Result] = {}
        self.round_robin_index = 0
        self.service = ServiceRule("service", ["service"], long_after_ms=100)
        self.targets = [self._make_target(number) for number in range(workload.targets)]
        self.routers = [self._make_router(target) for target in self.targets]

    def _make_target(self, number: int) -> SimulatedTarget:
        region = ("one", "two")[number % 2]
        member = MemberRecord(
            f"n{number}", 1, MemberState.alive, region, f"{region}-{number // 2 % 2}", "", 1, 1, 1
        )
        member.service, member.slots = "service", self.workload.slots
        return SimulatedTarget(self.clock, member, self.workload.slots, self.variant.disabled)

    def _make_router(self, target: SimulatedTarget) -> Router:
        local_target: Any = target
        member = target.member
        router = Router(
            self.clock,
            member.node_id,
            member.region,
            member.data_center,
            local_target,
            lambda _: True,
            self.rng,
        )
        for other in self.targets:
            if other is not target:
                router.update_member(other.member)
        return router

    def run(self) -> dict[str, Result]:
        """Run the whole load and return the results by class."""
        for class_load in self.workload.class_loads:
            self.result_by_class[class_load.rule.name] = Result()
            self._schedule_arrival(class_load, 0.0)
        if self.workload.slow_target:
            self.clock.call_later(DURATION_S * 500, setattr, self.targets[0], "slow_factor", 10.0)
        self._publish_loads()
        steps = int((DURATION_S + 10) / STEP_S)
        for step in range(steps):
            self.clock.source.advance(STEP_S)
            if step % 40 == 0:
                for target in self.targets:
                    target.admission.sweep()
        return self.result_by_class

    def _publish_loads(self) -> None:
        for target in self.targets:
            target.reported_load = target.load()
        self.clock.call_later(REPORT_INTERVAL_MS, self._publish_loads)

    def _schedule_arrival(self, class_load: ClassLoad, now_s: float) -> None:
        in_peak = PEAK_S[0] <= now_s < PEAK_S[1]
        rate = class_load.rate_per_s * (class_load.peak_factor if in_peak else 1.0)
        gap_s = self.rng.expovariate(rate)
        if now_s + gap_s < DURATION_S:
            self.clock.call_later(gap_s * 1000, self._start_call, class_load, now_s + gap_s)

    def _start_call(self, class_load: ClassLoad, now_s: float) -> None:
        self._schedule_arrival(class_load, now_s)
        greedy = self.rng.random() < class_load.greedy_share
        tenant = "greedy" if greedy else f"tenant{self.rng.randrange(class_load.tenants)}"
        now_ms = self.clock.now_ms()
        call = Call(
            RequestHead(b"GET", b"/", []),
            self.service,
            class_load.rule,
            tenant,
            now_ms + class_load.rule.deadline_ms,
            1,
            b"",
        )
        service_ms = self.rng.expovariate(1 / class_load.service_ms)
        if self.rng.random() < class_load.straggler_share:
            service_ms = class_load.service_ms * class_load.straggler_factor
        entry_index = self.rng.randrange(len(self.targets))
        result = self.result_by_class[class_load.rule.name]
        result.calls += 1
        in_peak = PEAK_S[0] <= now_s < PEAK_S[1]
        result.peak_calls += in_peak
        simulated_call = SimulatedCall(self, call, entry_index, service_ms, now_ms, in_peak, result)
        simulated_call.send()

    def choose(self, call: Call, entry_index: int, tried_ids: set[str]) -> SimulatedTarget | None:
        """Choose a target by the variant's selection; return `None` if no candidate is left."""
        if self.variant.selection == "ours":
            return self._choose_by_router(call, entry_index, tried_ids)
        candidates = [t for t in self.targets if t.member.node_id not in tried_ids]
        if not candidates:
            return None
        return SELECTION_POLICIES[self.variant.selection](self, candidates)

    def _choose_by_router(
        self, call: Call, entry_index: int, tried_ids: set[str]
    ) -> SimulatedTarget | None:
        router = self.routers[entry_index]
        local_id = self.targets[entry_index].member.node_id
        excluded_ids = {LOCAL_ID if node_id == local_id else node_id for node_id in tried_ids}
        if "local first" in self.variant.disabled:
            excluded_ids.add(LOCAL_ID)
        choice = router.choose(call.match, excluded_ids, 100)
        if isinstance(choice, LocalChoice):
            return self.targets[entry_index]
        if isinstance(choice, PeerChoice):
            choice.view.begin_send()
            return self.targets[int(choice.view.member.node_id[1:])]
        return None

    def next_round_robin_index(self, count: int) -> int:
        """Return the next index below `count` in round-robin order."""
        self.round_robin_index += 1
        return self.round_robin_index % count


def least_loaded(targets: list[SimulatedTarget]) -> SimulatedTarget:
    """Return the target that was the least loaded in its last report."""
    return min(targets, key=lambda target: target.reported_load.occupancy())


SELECTION_POLICIES: dict[str, Callable[[Simulation, list[SimulatedTarget]], SimulatedTarget]] = {
    "random": lambda simulation, candidates: simulation.rng.choice(candidates),
    "round robin": lambda simulation, candidates: candidates[
        simulation.next_round_robin_index(len(candidates))
    ],
    "least loaded": lambda simulation, candidates: least_loaded(candidates),
    "power of two": lambda simulation, candidates: least_loaded(
        simulation.rng.sample(candidates, min(2, len(candidates)))
    ),
}


@dataclass(slots=True)
class SimulatedCall:
    """One call on its way through the simulation."""

    simulation: Simulation
    call: Call
    entry_index: int
    service_ms: float
    due_ms: float
    in_peak: bool
    result: Result
    tried_ids: set[str] = field(default_factory=set)

    def send(self) -> None:
        """Send the call to the next target; reject it if none is left or after `MAX_SENDS`."""
        target = self.simulation.choose(self.call, self.entry_index, self.tried_ids)
        if target is None or len(self.tried_ids) >= MAX_SENDS:
            self.result.rejected += 1
            return
        self.tried_ids.add(target.member.node_id)
        local_target = self.simulation.targets[self.entry_index]
        one_way_ms = 0.0 if target is local_target else SAME_REGION_RTT_MS / 2
        if target.member.region != local_target.member.region:
            one_way_ms = CROSS_REGION_RTT_MS / 2
            self.result.paid_calls += 1
        self.simulation.clock.call_later(one_way_ms, self._submit, target, one_way_ms)

    def _submit(self, target: SimulatedTarget, one_way_ms: float) -> None:
        ticket = Ticket(
            self.call,
            lambda: self._run(target, ticket, one_way_ms),
            lambda rejection: self._rejected(target, rejection, one_way_ms),
        )
        target.admission.submit(ticket)

    def _run(self, target: SimulatedTarget, ticket: Ticket, one_way_ms: float) -> None:
        clock = self.simulation.clock
        service_ms = self.service_ms * target.slow_factor
        clock.call_later(service_ms, target.admission.release, ticket)
        clock.call_later(service_ms + one_way_ms, self._answered, target)

    def _rejected(self, target: SimulatedTarget, rejection: NotRun, one_way_ms: float) -> None:
        self._record_load(target)
        if self.call.remaining_ms(self.simulation.clock) <= 0:
            self.result.rejected += 1
            return
        self.simulation.clock.call_later(one_way_ms, self.send)

    def _answered(self, target: SimulatedTarget) -> None:
        self._record_load(target)
        elapsed = self.simulation.clock.now_ms() - self.due_ms
        self.result.times.record_value(max(1, int(elapsed * 1000)))
        if self.in_peak:
            self.result.peak_times.record_value(max(1, int(elapsed * 1000)))
        if self.in_peak and elapsed <= self.call.rule.deadline_ms:
            self.result.peak_in_time += 1

    def _record_load(self, target: SimulatedTarget) -> None:
        router = self.simulation.routers[self.entry_index]
        router.record_load(target.member.node_id, target.load())
        view = router.view_by_id.get(target.member.node_id)
        if view is not None and self.simulation.variant.selection == "ours":
            view.outstanding = max(0, view.outstanding - 1)


def simulate(workload: Workload, variant: Variant, seed: int) -> list[Row]:
    """Run one workload under one variant and return a row for each class."""
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
            result.peak_times.get_value_at_percentile(99) / 1000,
            100 * result.rejected / max(1, result.calls),
            100 * result.peak_in_time / max(1, result.peak_calls),
            result.paid_calls,
        )
        for name, result in results.items()
    ]


VARIANTS = [
    Variant("ours"),
    Variant("random", "random"),
    Variant("round robin", "round robin"),
    Variant("least loaded (1 s old)", "least loaded"),
    Variant("power of two (1 s old)", "power of two"),
    Variant("without local first", disabled=frozenset(("local first",))),
    Variant("without fair queues", disabled=frozenset(("fair queues",))),
    Variant("without long bound", disabled=frozenset(("long bound",))),
]


def workloads() -> list[Workload]:
    """Return the workloads of the two deployments, each at its present size for one service."""
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
                ClassLoad(booking, 600.0, 20.0, peak_factor=2.0),
                ClassLoad(lookup, 1000.0, 8.0, peak_factor=2.0),
                ClassLoad(quote, 20.0, 200.0, 0.02, 10.0),
            ],
        ),
        Workload(
            "dawn, stragglers",
            4,
            16,
            [
                ClassLoad(lookup, 2000.0, 8.0, peak_factor=2.5, greedy_share=0.5),
                ClassLoad(quote, 80.0, 100.0, 0.1, 20.0, peak_factor=3.0),
            ],
        ),
        Workload(
            "one target slows",
            4,
            12,
            [ClassLoad(lookup, 1500.0, 8.0), ClassLoad(booking, 300.0, 20.0)],
            slow_target=True,
        ),
    ]


def print_rows(all_rows: list[Row]) -> None:
    """Print the rows, with one block for each workload and class."""
    blocks: dict[tuple[str, str], list[Row]] = {}
    for row in all_rows:
        blocks.setdefault((row.workload, row.rule), []).append(row)
    for (workload, rule), block in blocks.items():
        print(f"\n{workload}: {rule}")
        print(
            f"{'variant':<26} {'seed':>4} {'p50':>8} {'p99':>9} {'p99.9':>9} {'peak p99':>9} ",
            end="",
        )
        print(f"{'reject %':>9} {'peak in time %':>15} {'paid calls':>10}")
        for row in block:
            print(
                f"{row.variant:<26} {row.seed:>4} {row.p50:>8.1f} {row.p99:>9.1f} "
                f"{row.p999:>9.1f} {row.crest_p99:>9.1f} {row.refused_percent:>9.2f} "
                f"{row.crest_in_time_percent:>15.2f} {row.paid:>10}"
            )
