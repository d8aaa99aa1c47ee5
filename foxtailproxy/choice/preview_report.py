"""Models of the report on where a request would go; times are in milliseconds."""

from __future__ import annotations

import msgspec


class WhereQuery(msgspec.Struct, forbid_unknown_fields=True):
    """A request that is not sent; `customer` is a name, since keys are never taken here."""

    host: str
    method: str = "GET"
    path: str = "/"
    customer: str = ""


class ConfigState(msgspec.Struct):
    """Configuration in force; `age_ms` is the time since this node adopted it."""

    generation: int
    change_id: str
    age_ms: float


class MatchState(msgspec.Struct):
    """Rules that the request matches; `credits` are those that the next request compares."""

    service: str
    rule: str
    route: str
    weights: dict[str, int]
    credits: dict[str, int]
    priority: int
    regions: list[str]
    idempotent: bool
    objective_ms: float
    needs_key: bool


class CustomerState(msgspec.Struct):
    """Customer and what it changes; `priority` is -1 if the rule's applies.

    `allowance` names what is known at this node of the customer's allowance. `allowance_admits` is
    null if the owner would be asked. `level_age_ms` is the age of the owner's last answer, -1
    without one.
    """

    name: str
    has_key: bool
    priority: int
    regions: list[str]
    rate_per_s: float
    burst: float
    allowance: str
    allowance_admits: bool | None
    owner: str
    level_age_ms: float
    wait_ms: float


class CandidateState(msgspec.Struct):
    """Target of the service as this node sees it.

    `node_id` is that of the node beside it. `load_age_ms` is -1 without a load report; `cold` is
    null for a peer, whose reports contain it only as a longer time. `compared` tells whether the
    target is in the sample, `out` lists why it may not be chosen, or only as a last resort.
    """

    node_id: str
    local: bool
    region: str
    data_center: str
    state: str
    running: int
    queued: int
    slots: int
    load_age_ms: float
    wait_ms: float
    expected_ms: float
    round_trip_ms: float
    occupancy: float
    failure_rate: float
    outstanding: int
    ejected: bool
    trial_due: bool
    silent: bool
    cold: bool | None
    refusing: bool
    compared: bool
    out: list[str]


class CrossingState(msgspec.Struct):
    """Comparison of a farther target with the best nearer one.

    Chances are those of an answer in time, without failures; `link_cost` is given in requests,
    `share` is the share of the calls that may leave. `near_ms` and `far_ms` are null if infinite.
    """

    scope: str
    near_ms: float | None
    far_ms: float | None
    near_chance: float
    far_chance: float
    gain: float
    link_cost: float
    share: float
    pays: bool
    leaves: bool


class DecisionState(msgspec.Struct):
    """What the node would do: `kind` is `local`, `peer` or `rejected`.

    `status` and `reason` are those of a rejection. `basis` names the comparison that decided.
    `decline_limit_ms` is the expected time above which the target would hand the request back, null
    without one. `link_budget_exhausted` tells whether the budget of the paid link kept the request
    from another region. `queried` names the targets whose reports are old: a real request asks them
    first.
    """

    kind: str
    node_id: str
    status: int
    reason: str
    basis: str
    expected_ms: float
    link_cost: float
    decline_limit_ms: float | None
    trial: bool
    link_budget_exhausted: bool
    crossings: list[CrossingState]
    queried: list[str]


class WhereReport(msgspec.Struct):
    """Where a request would go now, and why."""

    node_id: str
    node_state: str
    config: ConfigState
    match: MatchState
    customer: CustomerState | None
    candidates: list[CandidateState]
    decision: DecisionState
