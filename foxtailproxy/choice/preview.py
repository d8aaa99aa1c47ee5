"""Preview of the decision on a request that is not sent.

The node's own router and placement decide on copies of what a decision changes: the random numbers,
the shares of calls that may leave, and the index of targets. Nothing is sent or spent.
"""

from __future__ import annotations

import math
import random
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet.defer import Deferred, ensureDeferred, succeed

from foxtailproxy.choice.crossing import Crossing, CrossingInputs, CrossingPolicy, in_time_chance
from foxtailproxy.choice.preview_report import (
    CandidateState,
    ConfigState,
    CrossingState,
    CustomerState,
    DecisionState,
    MatchState,
    WhereQuery,
    WhereReport,
)
from foxtailproxy.config.rules import Match
from foxtailproxy.constraints.regions import is_allowed
from foxtailproxy.customers.effective_rules import effective_rule
from foxtailproxy.load_exchange import FRESH_LOAD_MS
from foxtailproxy.outcome import NotRun, NotRunReason
from foxtailproxy.placement import Placement
from foxtailproxy.routing import CallCost, Choice, PeerChoice, Router
from foxtailproxy.target_index import Sample

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.clock import Clock
    from foxtailproxy.config.rules import PeekedMatch, RuleBook
    from foxtailproxy.config_sync import ConfigSync
    from foxtailproxy.customers.allowance_client import Allowances
    from foxtailproxy.customers.identity import Customer
    from foxtailproxy.ejection import TargetHealth
    from foxtailproxy.models.rules import ClassRule
    from foxtailproxy.target_view import TargetView
    from foxtailproxy.traffic_budget import Purpose

log = structlog.get_logger()

METHOD = re.compile(r"[A-Z]{1,20}")
HOST = re.compile(r"[A-Za-z0-9._-]{1,253}(:[0-9]{1,5})?")
PATH = re.compile(r"/[!-~]{0,4095}")


class PreviewError(Exception):
    """A question that has no answer; `status` is that of the admin port's response."""

    status = 400
    error = "malformed-request"


class NoConfigurationError(PreviewError):
    """This node has no configuration."""

    status = 503
    error = "no-configuration"


class UnknownHostError(PreviewError):
    """No route or service has the host."""

    status = 404
    error = "unknown-host"


class UnknownCustomerError(PreviewError):
    """No customer has the name, which is not repeated: it may be a key given by mistake."""

    status = 404
    error = "unknown-customer"


@dataclass(frozen=True, slots=True)
class LocalState:
    """The target beside this node; `service` is empty without one."""

    service: str
    state: str
    cold: bool
    refusing: bool


@dataclass(frozen=True, slots=True)
class PreviewSources:
    """What a preview reads of its node.

    `may_cross` tells whether the budget of the paid link allows a number of bytes, `status_of`
    returns the status of a rejection.
    """

    clock: Clock
    node_state: str
    region: str
    data_center: str
    config_sync: ConfigSync
    router: Router
    allowances: Allowances
    config_stale: bool
    local: LocalState
    may_cross: Callable[[int], bool]
    status_of: Callable[[NotRun], int]


class PreviewCrossing(CrossingPolicy):
    """Policy with the shares of another one, which records its decisions and logs nothing."""

    def __init__(self, clock: Clock, policy: CrossingPolicy, rng: random.Random) -> None:
        super().__init__(clock, rng)
        self._share_by_scope = policy.copied_shares()
        self.decisions: list[CrossingState] = []

    def decide(self, scope: str, inputs: CrossingInputs, idempotent: bool) -> Crossing:
        """Decide, and record the inputs with the share before the decision."""
        share = self.share_of(scope)
        decision = super().decide(scope, inputs, idempotent)
        self.decisions.append(
            CrossingState(
                scope,
                _finite(inputs.near_ms),
                _finite(inputs.far_ms),
                round(in_time_chance(inputs.near_ms, inputs.objective_left_ms), 3),
                round(in_time_chance(inputs.far_ms, inputs.objective_left_ms), 3),
                round(inputs.gain, 3),
                round(inputs.link_cost, 4),
                round(share, 3),
                inputs.pays,
                decision is Crossing.LEAVE,
            )
        )
        return decision

    def _log(self, *arguments: Any) -> None:
        pass


class PreviewRouter(Router):
    """Router that decides as another one would now, and changes nothing of it."""

    def __init__(self, router: Router, may_cross: Callable[[int], bool]) -> None:
        rng = random.Random()
        rng.setstate(router.rng.getstate())
        super().__init__(
            router._clock,
            router.node_id,
            router._region,
            router._data_center,
            router._target,
            self._check_link_budget,
            rng,
            router.links,
        )
        self._allows_bytes = may_cross
        self.index = router.index.copy(rng)
        self.local_health = router.local_health
        self._answer_bytes_by_class = router._answer_bytes_by_class
        self.preview_crossing = PreviewCrossing(router._clock, router.crossing, rng)
        self.crossing = self.preview_crossing
        self.compared_ids: set[str] = set()
        self.takes_trial = False
        self.link_budget_exhausted = False

    def choose_from(
        self,
        sample: Sample,
        cost: CallCost,
        tried_ids: set[str],
        declined_ids: frozenset[str] = frozenset(),
    ) -> Choice | None:
        """Choose as the router does, and record what is compared."""
        compared = [*sample.in_region, *sample.other_regions]
        if not self.takes_locally(cost.match, tried_ids):
            self.compared_ids = {view.member.node_id for view in compared}
        return super().choose_from(sample, cost, tried_ids, declined_ids)

    def basis(self, match: Match) -> str:
        """Return the name of the comparison that decides on a request of these rules."""
        if self.takes_locally(match, set()):
            return "local-margin"
        by_chance = self.links.leave_by_chance and match.rule.objective_ms > 0
        return "chance-in-time" if by_chance else "expected-time"

    def link_cost(self, choice: Choice, match: Match, request_bytes: int) -> float:
        """Return the cost of the links to the chosen target, in requests."""
        if isinstance(choice, PeerChoice):
            return self._link_cost(choice.view, match, request_bytes)
        return 0.0

    def round_trip_ms(self, view: TargetView) -> float:
        """Return the round-trip time assumed to a target, in ms."""
        return self._round_trip_ms(view)

    def expected_local_ms(self, match: Match) -> float:
        """Return the expected wait and run time at the local target, in ms."""
        return self._expected_local_ms(match)

    def _check_link_budget(self, request_bytes: int) -> bool:
        allowed = self._allows_bytes(request_bytes)
        self.link_budget_exhausted |= not allowed
        return allowed

    def _begin_trial(self, health: TargetHealth) -> None:
        self.takes_trial = True


class NoQueries:
    """Source of loads that sends nothing and records which targets would be asked."""

    def __init__(self) -> None:
        self.node_ids: list[str] = []

    def refresh(
        self,
        views: list[TargetView],
        service: str,
        class_name: str,
        max_wait_ms: float,
        purpose: Purpose,
    ) -> Deferred[None]:
        """Record the targets with old reports."""
        self.node_ids += [
            view.member.node_id
            for view in views
            if view.load_age_ms > FRESH_LOAD_MS and not view.silent
        ]
        return succeed(None)


def preview(sources: PreviewSources, query: WhereQuery) -> WhereReport:
    """Return where a request would go now, and why. Raises `PreviewError`."""
    _check(query)
    rule_book = sources.config_sync.rule_book
    if rule_book is None:
        raise NoConfigurationError("the node has no configuration yet")
    path = query.path.partition("?")[0]
    peeked = rule_book.peek(query.host, query.method, path)
    if peeked is None:
        raise UnknownHostError(f"no route or service for host {query.host} and this path")
    customer = _find_customer(rule_book, query.customer)
    rule = _rule_for(peeked.match.rule, customer)
    report = _build_report(sources, query, peeked, customer, rule)
    log.info(
        "request_previewed",
        service=peeked.match.service.name,
        rule=peeked.match.rule.name,
        config=report.config.generation,
        config_age_ms=round(report.config.age_ms),
        decision=report.decision.kind,
        target=report.decision.node_id,
        reason=report.decision.reason,
    )
    return report


def _check(query: WhereQuery) -> None:
    for name, pattern in (("host", HOST), ("method", METHOD), ("path", PATH)):
        if not pattern.fullmatch(getattr(query, name)):
            raise PreviewError(f"invalid {name}")


def _find_customer(rule_book: RuleBook, name: str) -> Customer | None:
    if not name:
        return None
    customer = rule_book.directory.customer_by_name.get(name)
    if customer is None:
        raise UnknownCustomerError("no customer has this name")
    return customer


def _rule_for(rule: ClassRule, customer: Customer | None) -> ClassRule | None:
    """Return the rule under the customer's terms, without adding it to the cache."""
    if customer is None or (customer.priority < 0 and not customer.regions):
        return rule
    return effective_rule(rule, customer)


def _build_report(
    sources: PreviewSources,
    query: WhereQuery,
    peeked: PeekedMatch,
    customer: Customer | None,
    rule: ClassRule | None,
) -> WhereReport:
    rule_book, service = sources.config_sync.rule_book, peeked.match.service
    assert rule_book is not None
    router = PreviewRouter(sources.router, sources.may_cross)
    match = Match(service, rule or peeked.match.rule)
    has_key = customer is not None and any(
        stated.name == customer.name and stated.keys for stated in rule_book.customers
    )
    customer_state = _customer_state(sources, customer, has_key)
    rejection = _rejection(sources, rule_book, rule, match, customer_state)
    decision = _decide(sources, router, query, match, rejection)
    generation, change_id = sources.config_sync.version()
    age_ms = sources.clock.now_ms() - sources.config_sync.adopted_ms
    return WhereReport(
        router.node_id,
        sources.node_state,
        ConfigState(generation, change_id, round(age_ms)),
        _match_state(rule_book, peeked, match),
        customer_state,
        _candidates(sources, router, match, rule),
        decision,
    )


def _match_state(rule_book: RuleBook, peeked: PeekedMatch, match: Match) -> MatchState:
    rule = match.rule
    return MatchState(
        match.service.name,
        rule.name,
        "" if peeked.route is None else peeked.route.name,
        peeked.weight_by_service,
        peeked.credit_by_service,
        rule.priority,
        list(rule.regions),
        rule.idempotent,
        rule.objective_ms,
        bool(rule_book.directory) and not rule.auth_exempt,
    )


def _customer_state(
    sources: PreviewSources, customer: Customer | None, has_key: bool
) -> CustomerState | None:
    if customer is None:
        return None
    allowance = sources.allowances.peek(customer)
    return CustomerState(
        customer.name,
        has_key,
        customer.priority,
        list(customer.regions),
        customer.rate_per_s,
        customer.burst,
        allowance.name,
        allowance.admits,
        allowance.owner_id,
        round(allowance.level_age_ms),
        round(allowance.wait_ms),
    )


def _rejection(
    sources: PreviewSources,
    rule_book: RuleBook,
    rule: ClassRule | None,
    match: Match,
    customer: CustomerState | None,
) -> NotRun | None:
    """Return why the request is rejected before a target is chosen, in the order of the checks."""
    exempt = match.rule.auth_exempt
    if rule_book.directory and not exempt:
        if sources.config_stale:
            return NotRun(NotRunReason.CONFIGURATION_STALE)
        if customer is None or not customer.has_key:
            return NotRun(NotRunReason.UNAUTHENTICATED)
    if rule is None:
        return NotRun(NotRunReason.NO_ALLOWED_TARGET)
    if customer is not None and customer.allowance_admits is False:
        return NotRun(NotRunReason.ALLOWANCE_EXCEEDED, round(customer.wait_ms))
    return None


def _decide(
    sources: PreviewSources,
    router: PreviewRouter,
    query: WhereQuery,
    match: Match,
    rejection: NotRun | None,
) -> DecisionState:
    """Let the placement choose, unless the request is rejected before."""
    if rejection is not None:
        return _rejected(sources, rejection, "entry", router, [])
    basis, queries = router.basis(match), NoQueries()
    request_bytes = len(query.path)
    choice = _choose(Placement(router, queries), match, request_bytes)
    if choice is None:
        is_limited = bool(match.rule.regions)
        reason = NotRunReason.NO_ALLOWED_TARGET if is_limited else NotRunReason.NO_TARGET
        return _rejected(sources, NotRun(reason), basis, router, queries.node_ids)
    is_peer = isinstance(choice, PeerChoice)
    expected_ms = choice.estimate.expected_ms
    if isinstance(choice, PeerChoice):
        expected_ms += router.round_trip_ms(choice.view)
    elif basis == "local-margin":
        expected_ms = router.expected_local_ms(match)
    return DecisionState(
        "peer" if is_peer else "local",
        choice.view.member.node_id if isinstance(choice, PeerChoice) else router.node_id,
        0,
        "",
        basis,
        round(expected_ms, 1),
        round(router.link_cost(choice, match, request_bytes), 4),
        _finite(choice.decline_policy.limit_ms),
        router.takes_trial,
        router.link_budget_exhausted,
        router.preview_crossing.decisions,
        queries.node_ids,
    )


def _rejected(
    sources: PreviewSources,
    rejection: NotRun,
    basis: str,
    router: PreviewRouter,
    queried: list[str],
) -> DecisionState:
    return DecisionState(
        "rejected",
        "",
        sources.status_of(rejection),
        str(rejection.reason),
        basis,
        0.0,
        0.0,
        None,
        False,
        router.link_budget_exhausted,
        router.preview_crossing.decisions,
        queried,
    )


def _choose(placement: Placement, match: Match, request_bytes: int) -> Choice | None:
    """Return the placement's choice, which needs no wait without queries."""
    choices: list[Choice | None] = []
    failures: list[Any] = []
    objective_ms = match.rule.objective_ms
    chosen = placement.choose(match, set(), request_bytes, frozenset(), objective_ms, True)
    ensureDeferred(chosen).addCallbacks(choices.append, failures.append)  # type: ignore[arg-type]
    if failures:
        failures[0].raiseException()
    return choices[0]


def _candidates(
    sources: PreviewSources, router: PreviewRouter, match: Match, rule: ClassRule | None
) -> list[CandidateState]:
    name = match.service.name
    states = []
    if sources.local.service == name:
        states.append(_local_candidate(sources, router, match, rule))
    alive = router.index.alive_targets(name, match.rule.regions)
    usable_ids = {view.member.node_id for view in (*alive.in_region, *alive.other_regions)}
    for node_id, view in sorted(router.view_by_id.items()):
        if view.member.service == name:
            out = _reasons_out(router, view, rule, node_id in usable_ids)
            states.append(_peer_candidate(router, view, match, out))
    return states


def _local_candidate(
    sources: PreviewSources, router: PreviewRouter, match: Match, rule: ClassRule | None
) -> CandidateState:
    load, health = router._target.load(), router.local_health
    local = sources.local
    out = _place_reasons(router, sources.region, sources.data_center, rule)
    if local.state != "serving":
        out.append(local.state)
    if local.refusing:
        out.append("refusing")
    elif not out and not router._target.serves(match.service.name):
        out.append("takes-no-calls")
    if health.ejected:
        out.append("ejected")
    return CandidateState(
        router.node_id,
        True,
        sources.region,
        sources.data_center,
        local.state,
        load.running,
        load.queued,
        load.slots,
        0.0,
        round(load.wait_ms(match.rule.name), 1),
        round(router.expected_local_ms(match), 1),
        0.0,
        round(load.occupancy(), 2),
        round(load.failure_rate, 3),
        0,
        health.ejected,
        health.trial_due,
        False,
        local.cold,
        local.refusing,
        not out,
        out,
    )


def _peer_candidate(
    router: PreviewRouter, view: TargetView, match: Match, out: list[str]
) -> CandidateState:
    member, class_name = view.member, match.rule.name
    load = view.latest_load
    return CandidateState(
        member.node_id,
        False,
        member.region,
        member.data_center,
        str(member.state.value),
        0 if load is None else load.running,
        0 if load is None else load.queued,
        member.slots if load is None else load.slots,
        round(view.load_age_ms) if view.has_load else -1.0,
        round(view.wait_ms(class_name), 1),
        round(view.expected_ms(class_name), 1),
        router.round_trip_ms(view),
        round(view.occupancy(), 2),
        round(view.failure_rate(), 3),
        view.outstanding,
        view.health.ejected,
        view.health.trial_due,
        view.silent,
        None,
        view.avoided and not view.silent,
        member.node_id in router.compared_ids,
        out,
    )


def _place_reasons(
    router: PreviewRouter, region: str, data_center: str, rule: ClassRule | None
) -> list[str]:
    out = []
    if rule is None or not is_allowed(region, rule.regions):
        out.append("allowed-regions")
    if router.index.is_evacuated(data_center):
        out.append("evacuated")
    return out


def _reasons_out(
    router: PreviewRouter, view: TargetView, rule: ClassRule | None, usable: bool
) -> list[str]:
    member = view.member
    out = _place_reasons(router, member.region, member.data_center, rule)
    if not member.slots:
        out.append("takes-no-calls")
    elif not usable and not out:
        # Suspect targets are used only if none of the service is alive.
        out.append(str(member.state.value))
    if view.health.ejected:
        out.append("ejected")
    if view.silent:
        out.append("silent")
    elif view.avoided:
        out.append("takes-no-calls")
    return out


def _finite(value: float) -> float | None:
    return round(value, 1) if math.isfinite(value) else None
