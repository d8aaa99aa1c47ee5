"""Steps for the preview of a decision."""

from __future__ import annotations

import json
import math
import random
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from twisted.internet.defer import ensureDeferred

from foxtailproxy.choice.preview import (
    LocalState,
    NoQueries,
    PreviewError,
    PreviewSources,
    preview,
)
from foxtailproxy.choice.preview_report import WhereQuery
from foxtailproxy.config.rules import RuleBook, parse_rules
from foxtailproxy.customers.allowance import ASK, OPEN, customer_digest
from foxtailproxy.customers.allowance_client import Allowances, LocalShare, Usage
from foxtailproxy.customers.rates import DecayingRate
from foxtailproxy.load import Load
from foxtailproxy.models.messages import MemberState
from foxtailproxy.models.settings import LinksSection
from foxtailproxy.placement import Placement
from foxtailproxy.routing import PeerChoice, Router
from foxtailproxy.tests.fakes import advance, fake_clock, make_member
from foxtailproxy.token_bucket import TokenBucket
from foxtailproxy.wire import failure_status

IDLE = Load(0, 0, 2, 50.0, 50.0, {}, {"lookup": 50.0, "open": 50.0}, 1.0)
BUSY = Load(2, 40, 2, 500.0, 500.0, {"lookup": 9000.0, "open": 9000.0}, {"lookup": 500.0}, 3.0)
REGION_BY_PEER = {"n1": "pohja", "n2": "pohja", "far": "louna"}
REGION_BY_FURTHER_PEER = {f"n{number}": "pohja" for number in range(3, 12)}
"""More targets than are compared for one call, so that a sample is drawn at random."""
EJECTING_FAILURES = 5
TRIAL_DUE_MS = 1100
LINK_BUDGET_FILL_MS = 1000

CONFIG = """
[service kalender]
hosts = kalender
[service other]
hosts = other
[class kalender/lookup]
idempotent = true
objective_ms = 800
[route open]
host = kalender
path_prefix = /open/
services = kalender
auth_exempt = true
[route spread]
host = spread
path_prefix = /
services = kalender=3 other=1
idempotent = true
objective_ms = 800
[customer alder]
keys = key-of-alder-0123456789
[customer birch]
keys = key-of-birch-0123456789
regions = louna
[customer cedar]
keys = key-of-cedar-0123456789
regions = ida
[customer dogwood]
[customer elm]
keys = key-of-elm-0123456789
rate_per_s = 10
burst = 10
"""


class PreviewedTarget:
    """Local target with a fixed load."""

    def __init__(self) -> None:
        self.current = IDLE

    def serves(self, service: str) -> bool:
        """Return whether it is the service of the target."""
        return service == "kalender"

    def load(self) -> Load:
        """Return the load."""
        return self.current

    def expected_slowness(self) -> float:
        """Return that work takes its usual time."""
        return 1.0


class PreviewedNode:
    """Parts of a node that a preview reads."""

    def __init__(self, by_chance: bool = False) -> None:
        self.clock = fake_clock()
        self.target: Any = PreviewedTarget()
        self.bucket = TokenBucket(self.clock, 20_000)
        links = LinksSection(leave_by_chance=by_chance)
        self.router = Router(
            self.clock,
            "me",
            "pohja",
            "tallinn-a",
            self.target,
            self.bucket.try_consume,
            random.Random(1),
            links,
        )
        # The budget of the link is empty at first.
        advance(self.clock, LINK_BUDGET_FILL_MS)
        for name in REGION_BY_PEER:
            self.set_member(name)
            self.router.record_load(name, IDLE)
        rule_book: Any = RuleBook(parse_rules(CONFIG, "test"))
        self.config: Any = SimpleNamespace(
            rule_book=rule_book, adopted_ms=0.0, version=lambda: (3, "change")
        )
        exchange: Any = SimpleNamespace(on_level=None)
        unused: Any = None
        self.allowances = Allowances(self.clock, random.Random(1), unused, unused, exchange)
        self.stale = False

    def set_member(self, name: str, **fields: Any) -> None:
        """Add or change a peer."""
        region_by_peer = REGION_BY_PEER | REGION_BY_FURTHER_PEER
        place = {"region": region_by_peer[name], "data_center": f"dc-{name}"}
        self.router.update_member(make_member(name, **(place | fields)))

    def preview(self, host: str, path: str, customer: str) -> Any:
        """Preview a request."""
        sources = PreviewSources(
            self.clock,
            "serving",
            "pohja",
            "tallinn-a",
            self.config,
            self.router,
            self.allowances,
            self.stale,
            LocalState("kalender", "serving", False, False),
            self.bucket.may_consume,
            failure_status,
        )
        customer = "" if customer == "nobody" else customer
        return preview(sources, WhereQuery(host, "GET", path, customer))

    def decide(self, path: str) -> str:
        """Decide as for a request, without queries; return the id of the chosen target's node."""
        match = self.config.rule_book.match("spread", "GET", path)
        placement = Placement(self.router, NoQueries())
        choices: list[Any] = []
        objective_ms = match.rule.objective_ms
        chosen = placement.choose(match, set(), len(path), frozenset(), objective_ms, True)
        ensureDeferred(chosen).addCallback(choices.append)
        if isinstance(choices[0], PeerChoice):
            choices[0].view.begin_send()
            return choices[0].view.member.node_id
        return "none" if choices[0] is None else "me"

    def counters(self) -> Any:
        """Return the state that decisions change."""
        route = self.config.rule_book._route_table_by_host["spread"]._route_by_prefix["/"]
        health = [view.health._core.trial_due_ms for view in self.router.view_by_id.values()]
        return (
            self.router.rng.getstate(),
            self.router.crossing._share_by_scope,
            self.router.index._ejected_ids,
            sorted(self.router.index._targets_by_service),
            (self.bucket._tokens, self.bucket._last_ms),
            route._credit_by_name,
            health,
        )


def _eject(node: PreviewedNode) -> None:
    for _ in range(EJECTING_FAILURES):
        node.router.record_failure("kalender", node.router.view_by_id["n1"].health)


def _make_silent(node: PreviewedNode) -> None:
    node.router.view_by_id["n1"].begin_query()
    advance(node.clock, 50)


def _set_allowance(node: PreviewedNode, state: str) -> None:
    owner, customer = make_member("n1"), customer_digest("elm")
    rule = node.config.rule_book.directory.customer_by_name["elm"]
    rates = DecayingRate(0.0), DecayingRate(0.0)
    usage = Usage(rule, customer, owner, 1, *rates, level_ms=node.clock.now_ms())
    if state == "without a token":
        usage.local = LocalShare(1.0, 1.0, 0.0, node.clock.now_ms())
        state = "silent"
    if state == "silent":
        usage.silent_until_ms = math.inf
    usage.wait_ms = {"over its limit": 700, "asking": ASK}.get(state, OPEN)
    usage.limit = int(state == "granted")
    node.allowances.usage_by_customer[customer] = usage


def _prepare(node: PreviewedNode, state: str) -> None:
    if state == "no configuration":
        node.config.rule_book = None
    elif state == "an old version":
        node.stale = True
    elif state.startswith("elm "):
        _set_allowance(node, state.removeprefix("elm "))
    elif state != "nothing wrong":
        node.target.current = BUSY
        if state.startswith("n1"):
            node.set_member("far", state=MemberState.dead)
    if state in ("n1 ejected", "n1 due for a trial"):
        _eject(node)
    if state == "n1 due for a trial":
        advance(node.clock, TRIAL_DUE_MS)
    elif state == "n1 silent":
        _make_silent(node)
    elif state == "n1 without slots":
        node.router.record_load("n1", Load(0, 0, 0, 0.0))
    elif state == "n1 suspect":
        node.set_member("n1", state=MemberState.suspect)
    elif state == "dc-n1 evacuated":
        node.router.index.set_evacuated(frozenset(("dc-n1",)))
    elif state in ("a busy local", "no link budget"):
        node.router.record_load("n2", BUSY)
    if state == "no link budget":
        node.bucket.set_rate(0)


@given("a previewed node with {state}")
def step_previewed_node(context: Any, state: str) -> None:
    context.node = PreviewedNode()
    _prepare(context.node, state)


@when("the request to {path} of {customer} is previewed")
def step_preview(context: Any, path: str, customer: str) -> None:
    # The path of the route ends with a slash.
    path = "/open/x" if path == "/open" else path
    usages = context.node.allowances.usage_by_customer
    before = repr(usages)
    context.report = context.node.preview("kalender", path, customer)
    assert repr(usages) == before


@then("the preview decides {decision}")
def step_decision(context: Any, decision: str) -> None:
    made = context.report.decision
    what = f"{made.status} {made.reason}" if made.kind == "rejected" else made.node_id
    assert f"{made.kind} {what}" == decision, context.report


@then("the allowance is {name} and {admits}")
def step_allowance(context: Any, name: str, admits: str) -> None:
    customer = context.report.customer
    answer = {True: "admits", False: "rejects", None: "is decided later"}
    actual = (customer.allowance, answer[customer.allowance_admits])
    assert actual == (name, admits), customer


@then("{target} is out for {reason}")
def step_out(context: Any, target: str, reason: str) -> None:
    out_by_id = {state.node_id: state.out for state in context.report.candidates}
    assert out_by_id[target] == ([] if reason == "nothing" else [reason]), out_by_id


@then("a preview of {host} {path} for {customer} fails with {status:d} {error}")
def step_error(context: Any, host: str, path: str, customer: str, status: int, error: str) -> None:
    try:
        context.node.preview(host, path, customer)
    except PreviewError as failure:
        assert (failure.status, failure.error) == (status, error), failure
        assert customer not in str(failure), failure
    else:
        raise AssertionError("no error")


@given("two equal nodes that leave {how}, of which one is previewed before each request")
def step_two_nodes(context: Any, how: str) -> None:
    context.nodes = [PreviewedNode(how == "by chance") for _ in range(2)]
    for node in context.nodes:
        for name in REGION_BY_FURTHER_PEER:
            node.set_member(name)
            node.router.record_load(name, IDLE)


@when("{count:d} requests are decided at both")
def step_decide(context: Any, count: int) -> None:
    context.decided, context.foreseen = [], []
    for number in range(count):
        for node in context.nodes:
            node.target.current = BUSY if number % 3 else IDLE
            if number == count // 2:
                _eject(node)
            load = BUSY if number % 5 < 3 else IDLE
            for name in (*REGION_BY_FURTHER_PEER, "n1", "n2"):
                node.router.record_load(name, load)
            advance(node.clock, 25)
        before = random.getstate()
        report = context.nodes[0].preview("spread", "/x", "alder")
        assert random.getstate() == before
        chosen = []
        for node in context.nodes:
            # The first request of a route sets its credits at random.
            random.seed(1)
            chosen.append(node.decide("/x"))
        context.decided.append(chosen)
        made = report.decision
        context.foreseen.append((made.node_id or "none", chosen[0]))
        assert set(report.match.weights) == {"kalender", "other"}, report


@then("both decided the same, and have the same counters")
def step_same(context: Any) -> None:
    assert all(first == second for first, second in context.decided), context.decided
    assert len({first for first, _ in context.decided}) > 2, context.decided
    previewed, other = context.nodes
    assert previewed.counters() == other.counters(), (
        previewed.counters()[1:],
        other.counters()[1:],
    )


@then("each preview named the target that was chosen next")
def step_foreseen(context: Any) -> None:
    # The service of the first request is not known before.
    wrong = [pair for pair in context.foreseen[1:] if pair[0] != pair[1]]
    assert not wrong, wrong


def _run_where(context: Any, host: str, customer: str, *options: str) -> Any:
    fleet, member = context.live.fleet, context.live.members[0]
    arguments = ("--node", member.admin_address, "--host", host, "--path", "/days")
    return fleet.run_cli("where", *arguments, "--customer", customer, *options, check=False)


@then("foxtailproxy where for {host} and {customer} exits with {code:d} and prints {text}")
def step_where(context: Any, host: str, customer: str, code: int, text: str) -> None:
    completed = _run_where(context, host, customer)
    output = completed.stdout + completed.stderr
    assert completed.returncode == code and text in output, (completed.returncode, output)
    assert "Traceback" not in output and "live-key" not in output, output


@then("its JSON names a target and the generation in force")
def step_where_json(context: Any) -> None:
    completed = _run_where(context, "kalender.example", "alder", "--json")
    assert completed.returncode == 0, completed.stderr
    report = json.loads(completed.stdout)
    names = {member.node_id for member in context.live.members}
    assert report["decision"]["node_id"] in names, report
    assert {state["node_id"] for state in report["candidates"]} == names, report
    status = context.live.fleet.status(context.live.members[0])
    assert report["config"]["generation"] == status["config_generation"], report


@then("no request has run")
def step_none_ran(context: Any) -> None:
    assert not context.live.fleet.ledger(), context.live.fleet.ledger()
