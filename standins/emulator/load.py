"""Load of an emulated fleet: services, request classes, callers, faults and what callers got."""

from __future__ import annotations

from dataclasses import dataclass, field

from foxtailproxy.models.rules import ClassRule, ServiceRule
from standins.emulator.upstream import UpstreamProfile


@dataclass(frozen=True, slots=True)
class NestedCalls:
    """Calls that an upstream makes while it runs a request; all at once if `together`."""

    class_name: str
    count: int = 1
    share: float = 1.0
    together: bool = False


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One kind of request; times in ms, sizes in bytes.

    The work is log-normal with `spread`; a share `tail_share` of requests takes `tail_factor` times
    as long. `worth` is earned by an answer within the objective, `late_worth` by a later one.
    """

    name: str
    service: str
    rate_per_s: float
    work_ms: float
    objective_ms: int
    timeout_ms: int
    deadline_ms: int
    idempotent: bool = True
    priority: int = 2
    worth: float = 1.0
    late_worth: float = 0.1
    answer_bytes: int = 400
    request_bytes: int = 0
    spread: float = 0.3
    tail_share: float = 0.03
    tail_factor: float = 7.0
    nested: NestedCalls | None = None
    retries: int = 2

    def rule(self) -> ClassRule:
        """Return the rule of the class as a configuration of the platform has it."""
        return ClassRule(
            service=self.service,
            name=self.name,
            idempotent=self.idempotent,
            attempts=3,
            priority=9 - self.priority,
            weight=max(1, 12 // (self.priority + 1)),
            deadline_ms=self.timeout_ms,
            hold_ms=self.timeout_ms,
            objective_ms=self.objective_ms,
        )

    def service_rule(self) -> ServiceRule:
        """Return the rule of the class's service."""
        return ServiceRule(self.service, long_after_ms=self.objective_ms, long_percent=75)


@dataclass(frozen=True, slots=True)
class Burst:
    """Rates times `factor` from `at_ms` for `for_ms`."""

    at_ms: float
    for_ms: float
    factor: float


@dataclass(frozen=True, slots=True)
class UpstreamFault:
    """Fault of a share of the upstreams of a service, or of all services, for some time.

    `kind` is "slow" (`factor`), "shed" or "errors" (`factor` is the share), or "down".
    """

    kind: str
    at_ms: float
    for_ms: float
    share: float
    factor: float = 1.0
    service: str = ""


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """One deployment and one day of it.

    Nodes stand in `data_centers` of two regions in turn; `targets_by_service` is the size of each
    service. With `leave_by_chance`, calls leave their data centre only where that pays. Rates swing
    by `swing` in waves of `wave_ms`, in each data centre at another time.
    """

    name: str
    targets_by_service: dict[str, int]
    classes: list[RequestClass]
    data_centers: int = 8
    profile: UpstreamProfile = UpstreamProfile()
    duration_ms: float = 30_000.0
    swing: float = 0.55
    wave_ms: float = 15_000.0
    bursts: list[Burst] = field(default_factory=list)
    faults: list[UpstreamFault] = field(default_factory=list)
    impatient_share: float = 0.0
    measure_bytes_per_s: int = 11_000
    paid_measure_bytes_per_s: int = 1500
    node_ms: float = 2.0
    data_center_ms: float = 0.1
    region_ms: float = 0.9
    other_region_ms: float = 20.0
    leave_by_chance: bool = False

    @property
    def node_count(self) -> int:
        """Number of nodes; each has one upstream."""
        return sum(self.targets_by_service.values())


@dataclass(slots=True)
class RequestRecord:
    """What a caller got for one request, over all its attempts; times in ms from the start."""

    request_class: RequestClass
    due_ms: float
    data_center: str
    answered_ms: float = -1.0
    refusals: int = 0
    attempts: int = 0
    failure: str = ""

    @property
    def credit(self) -> float:
        """Worth that the request earned."""
        if self.answered_ms < 0:
            return 0.0
        in_time = self.answered_ms - self.due_ms <= self.request_class.objective_ms
        return self.request_class.worth if in_time else self.request_class.late_worth
