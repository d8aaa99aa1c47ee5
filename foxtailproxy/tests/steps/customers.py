"""Steps for customers: identity at the entry of requests, and the keys in force."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from expression import Ok
from twisted.internet.defer import Deferred

from foxtailproxy.call import Call
from foxtailproxy.caller_server import CallerServer
from foxtailproxy.commands.config import CurrentConfig, _difference
from foxtailproxy.config.rules import RuleBook, parse_rules
from foxtailproxy.config_sync import watch_rank
from foxtailproxy.customers.effective_rules import effective_rule
from foxtailproxy.customers.freshness import ConfigFreshness
from foxtailproxy.customers.identity import Customer
from foxtailproxy.dialect import FoxtailDialect
from foxtailproxy.exceptions import SettingsError
from foxtailproxy.http.messages import RequestHead
from foxtailproxy.http.server import ServerFactory, ServerLimits
from foxtailproxy.metrics import Metrics
from foxtailproxy.models.messages import ConfigObject
from foxtailproxy.models.rules import ClassRule
from foxtailproxy.models.settings import CustomersSection
from foxtailproxy.outcome import Outcome
from foxtailproxy.platform.configuration import PlatformConfigSource
from foxtailproxy.platform.dialect import PlatformDialect
from foxtailproxy.tests.config_fakes import ConfigNode, ConfigStore, build_data_center
from foxtailproxy.tests.fakes import (
    LIMITS,
    advance,
    captured_log,
    fake_clock,
    make_answer,
    make_member,
)
from foxtailproxy.tests.http_sessions import RecordingTransport
from foxtailproxy.wire import call_headers
from standins.platform_configs import config_text, make_action, make_rule

SERVER_LIMITS = ServerLimits(32768, 65536, 10_000, 60_000)
STEP_MS = 5.0
KEYS_BY_CUSTOMER = {"alder": ["k-alder-1", "k-alder-2"], "birch": ["k-birch"]}
SECRETS = ["k-alder-1", "k-birch", "k-unknown", "s3cret"]


def rule_book_with(keys_by_customer: dict[str, list[str]]) -> RuleBook:
    """Return a configuration with a route that needs a key, and an open one."""
    rules = [
        make_rule("bound", "/bound/", make_action("kalender"), route_type="non_idempotent"),
        make_rule("open", "/open/", make_action("kalender"), auth_exempt=True),
    ]
    text = config_text(
        listeners=[{"host": "days.example", "rule_set": rules}], tenants=tenants(keys_by_customer)
    )
    return RuleBook(PlatformConfigSource().parse(text, "test"))


def tenants(keys_by_customer: dict[str, list[str]]) -> list[dict[str, Any]]:
    """Return customers in the platform's format."""
    return [{"name": name, "api_keys": keys} for name, keys in keys_by_customer.items()]


class EntryNode:
    """Entry of a node on in-memory transports; records the calls that are dispatched."""

    def __init__(self, dialect: str, rule_book: RuleBook | None) -> None:
        self.clock = fake_clock()
        self.metrics = Metrics()
        self.rule_book = rule_book
        self.calls: list[Call] = []
        self.acquired: Deferred[None] = Deferred()
        self.dialect = (
            FoxtailDialect() if dialect == "foxtail" else PlatformDialect(lambda: "kalender")
        )
        node: Any = self
        server = CallerServer(
            self.clock, LIMITS, node, node, node, self.metrics, self.dialect, log_calls=True
        )
        self._factory = ServerFactory(server.handle, SERVER_LIMITS, self.clock)

    def version(self) -> tuple[int, str]:
        """Return the version of the configuration."""
        return 1, ""

    async def run(self, call: Call, rule_book: RuleBook) -> Outcome:
        """Record and answer a call."""
        self.calls.append(call)
        return make_answer()

    def cancel(self, call: Call) -> None:
        """Do nothing: calls end at once."""

    async def acquire(self, call: Call) -> Any:
        """Return a claim once the test says so."""
        await self.acquired
        callbacks: list[Any] = []
        return Ok(
            SimpleNamespace(run=SimpleNamespace(add_callback=callbacks.append, all=callbacks))
        )

    async def complete(self, claim: Any, outcome: Outcome) -> None:
        """Share the outcome of a claim."""
        for callback in claim.run.all:
            callback(outcome)

    def send(self, route: str, headers: str, body: bytes = b"", announced: int = 0) -> None:
        """Send a request with headers, separated by commas, on a new connection."""
        lines = [
            f"POST /{route}/ HTTP/1.1",
            "host: days.example",
            "x-foxtailproxy-attempt-id: a1",
            f"content-length: {announced or len(body)}",
            *headers.split(", "),
        ]
        self.connection: Any = self._factory.buildProtocol(None)
        self.transport = RecordingTransport()
        self.connection.makeConnection(self.transport)
        self.connection.dataReceived("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    @property
    def status(self) -> int:
        """Status of the answer to the last request."""
        return int(self.transport.value().split()[1])


@given("a node with the {dialect} dialect and the customers alder and birch")
def step_node(context: Any, dialect: str) -> None:
    context.node = EntryNode(dialect, rule_book_with(KEYS_BY_CUSTOMER))


@given("a node with the {dialect} dialect and no customers")
def step_node_without_customers(context: Any, dialect: str) -> None:
    context.node = EntryNode(dialect, rule_book_with({}))


@given("a node with the {dialect} dialect and no configuration")
def step_node_without_configuration(context: Any, dialect: str) -> None:
    context.node = EntryNode(dialect, None)


@given("a node with the {dialect} dialect and {count:d} customers")
def step_node_with_many(context: Any, dialect: str, count: int) -> None:
    context.key_by_name = {f"c{number}": f"key-{number}" for number in range(count)}
    context.node = EntryNode(
        dialect, rule_book_with({name: [key] for name, key in context.key_by_name.items()})
    )


@when("{count:d} requests of all customers arrive, and every third key is withdrawn in between")
def step_many_requests(context: Any, count: int) -> None:
    rng = random.Random(count)
    names = list(context.key_by_name)
    kept = {name: [context.key_by_name[name]] for name in names if names.index(name) % 3}
    context.expected, context.statuses = [], []
    for number in range(count):
        if number == count // 2:
            context.node.rule_book = rule_book_with(kept)
        name = rng.choice(names)
        context.node.send(
            "open" if number % 10 == 0 else "bound", "accept: any, " + _key(context, name)
        )
        valid = number < count // 2 or name in kept
        exempt = number % 10 == 0
        context.expected.append((name if valid else "", 200 if valid or exempt else 401))
        context.statuses.append(context.node.status)


def _key(context: Any, name: str) -> str:
    return f"authorization: Bearer {context.key_by_name[name]}"


@then("each request got the status that its key has in the version in force")
def step_many_statuses(context: Any) -> None:
    assert context.statuses == [status for _, status in context.expected]


@then("each call that ran has the name of its key's customer")
def step_many_names(context: Any) -> None:
    expected = [name for name, status in context.expected if status == 200]
    assert [call.tenant for call in context.node.calls] == expected


@when("a request to the {route} route of the entry node arrives with {headers}")
def step_request(context: Any, route: str, headers: str) -> None:
    context.node.send(route, headers)


@when("a request with the key {key} arrives without the end of its body")
def step_request_begins(context: Any, key: str) -> None:
    context.node.send("bound", f"authorization: Bearer {key}", b"first", announced=8)
    assert not context.node.calls and not context.node.transport.value()


@when("a configuration is adopted in which {customer} has {key}")
def step_adopt(context: Any, customer: str, key: str) -> None:
    context.node.rule_book = rule_book_with({customer: [key]})


@when("the rest of the body arrives at the entry node")
def step_body_ends(context: Any) -> None:
    context.node.connection.dataReceived(b"end")


@when("the entry node acquires the claim")
def step_claim_acquired(context: Any) -> None:
    assert not context.node.transport.value()
    context.node.acquired.callback(None)


@then("the entry node answers with status {status:d}")
def step_status(context: Any, status: int) -> None:
    assert context.node.status == status, context.node.transport.value()


@then("the answer has status 401 and contains {text}")
def step_answer_contains(context: Any, text: str) -> None:
    answer = context.node.transport.value().decode()
    assert text in answer and context.node.status == 401, answer


@then("the upstream gets the customer {customer} and no key")
def step_upstream_headers(context: Any, customer: str) -> None:
    node = context.node
    assert len(node.calls) == (customer != "-"), node.calls
    if customer == "-":
        return
    call = node.calls[0]
    name = "" if customer == "none" else customer
    assert call.tenant == name, call.tenant
    tenant_header = (
        b"x-tenant" if isinstance(node.dialect, FoxtailDialect) else (b"x-foxtailproxy-tenant")
    )
    call.head = RequestHead(b"POST", b"/", call_headers(call, node.clock))
    sent = node.dialect.upstream_headers(call, 500, "i-1")
    names = [value.decode() for key, value in sent if key == tenant_header]
    assert names == ([name] if name else []), sent
    assert not any(key == b"authorization" or b"Bearer" in value for key, value in sent), sent


@then("these headers reach the upstream: {headers}")
def step_upstream_gets(context: Any, headers: str) -> None:
    sent = context.node.dialect.upstream_headers(context.node.calls[0], 500, "i-1")
    for header in headers.split(", "):
        name, _, value = header.partition(": ")
        assert (name.encode(), value.encode()) in sent, sent


@then("the tenant at the entry node is {tenant}")
def step_call_tenant(context: Any, tenant: str) -> None:
    assert context.node.calls[0].tenant == tenant


def _regions(text: str) -> list[str]:
    return [] if text == "-" else text.split()


@when(
    "the rule of a route with regions {route} is computed for priority {priority:d} "
    "and regions {customer}"
)
def step_effective_rule(context: Any, route: str, priority: int, customer: str) -> None:
    rule = ClassRule("kalender", "bound", regions=_regions(route))
    terms = Customer("alder", priority, regions=tuple(_regions(customer)))
    context.rule = effective_rule(rule, terms)


@then("the effective rule has priority {priority}, weight {weight} and regions {regions}")
def step_effective_rule_has(context: Any, priority: str, weight: str, regions: str) -> None:
    rule = context.rule
    actual = ("none", "none", "none")
    if rule is not None:
        actual = (str(rule.priority), str(rule.weight), " ".join(rule.regions) or "-")
    assert actual == (priority, weight, regions), actual


# Keys in texts


@when("requests with known and unknown keys are answered, logged and counted")
def step_log_requests(context: Any) -> None:
    context.collected = []
    with captured_log() as entries:
        context.node.send("bound", "authorization: Bearer k-alder-1")
        context.node.send("bound", "authorization: Bearer k-unknown")
        context.node.send("open", "authorization: Bearer k-unknown")
        context.node.send("bound", "accept: any")
    assert {"call", "call_refused", "request_unauthenticated"} <= {e["event"] for e in entries}
    context.collected += [repr(entries), repr(context.node.calls), repr(context.node.metrics)]
    context.collected.append(repr(vars(context.node.metrics)))


INVALID_TEXTS = (
    "[customer alder]\nkeys s3cret\n",
    "keys = s3cret\n",
    "[customer alder]\nkey = s3cret\n",
    "[customer alder]\nsecret = s3cret\n",
    "[service kalender]\nhosts = a\nkeys = s3cret\n",
    "[customer alder]\nkeys = s3cret\n[customer birch]\nkeys = s3cret\n",
    "[customer alder]\nkeys = s3cret\nkeys = s3cret\n",
)


@when("configurations with keys are compared and rejected")
def step_compare(context: Any) -> None:
    old, new = (f"[customer alder]\nkeys = {keys}\n" for keys in ("k-birch", "k-birch s3cret"))
    current = CurrentConfig(1, ConfigObject(1, "", "op", old))
    shown = _difference(current, new)
    assert shown.count("<key ") == 3, shown
    context.collected.append(shown)
    for text in INVALID_TEXTS:
        try:
            parse_rules(text, "test")
        except SettingsError as error:
            context.collected += [error.format_message(), *map(str, error.problems)]
        else:
            raise AssertionError(text)
    broken = config_text(1, tenants=[{"name": "alder", "api_keys": ["s3cret", 3]}])
    try:
        PlatformConfigSource().parse(broken, "test")
    except SettingsError as error:
        context.collected.append(error.format_message())


@then("no key is in the collected texts")
def step_no_key(context: Any) -> None:
    for text in context.collected:
        assert not any(secret in text for secret in SECRETS), text


@then("the results of the authentication are counted")
def step_counted(context: Any) -> None:
    counts = context.node.metrics.authentications
    expected = {"identified": 1, "unknown-key": 1, "no-customer": 1, "missing-key": 1}
    assert counts == expected, counts


# Versions in force


@given("{count:d} nodes with the platform's configuration, and fail-closed {setting}")
def step_fleet(context: Any, count: int, setting: str) -> None:
    context.clock = fake_clock()
    context.store = ConfigStore(context.clock)
    context.store.put(7, tenants=tenants({"alder": ["key-7"]}))
    context.old_copy = (context.store.revision, context.store.value)
    context.nodes = build_data_center(context.clock, context.store, count, count, watch_rank)
    section = CustomersSection(fail_closed=setting == "on", fail_closed_after_ms=5000)
    context.freshness = [_add_freshness(node, section) for node in context.nodes]
    advance(context.clock, 10_000, STEP_MS)
    assert not any(freshness.stale for freshness in context.freshness)


def _add_freshness(node: ConfigNode, section: CustomersSection) -> ConfigFreshness:
    socket = node.gossip.socket
    freshness = ConfigFreshness(
        node.network.clock, node.table, node.network.rng, socket.send_datagram, node.config_version
    )
    node.config_sync.on_store_answer = freshness.store_answered
    socket.on_freshness_datagram = freshness.handle_datagram
    freshness.configure(section)
    node.link.watch_wait_ms = min(node.link.watch_wait_ms, freshness.watch_wait_ms)
    return freshness


def _cut_off(nodes: list[ConfigNode]) -> None:
    for node in nodes:
        node.link.set_fault("cut off")


@when("for {ms:d} ms the fleet meets this: {fault}")
def step_fault(context: Any, ms: int, fault: str) -> None:
    nodes = context.nodes
    if fault == "one node is cut off from all":
        nodes[-1].running = False
        _cut_off(nodes[-1:])
    elif fault != "nothing":
        _cut_off(nodes[:2] if fault.endswith("from 2") else nodes)
    if fault.endswith("comes back"):
        for node in nodes:
            context.clock.call_later(10_000, node.link.set_fault, "")
    advance(context.clock, ms, STEP_MS)


@then("{count:d} nodes reject requests that need a key")
def step_rejecting(context: Any, count: int) -> None:
    stale = [freshness.stale for freshness in context.freshness]
    assert sum(stale) == count, stale


@when("the key of version 7 is withdrawn by version 8, and the store {state}")
def step_withdraw(context: Any, state: str) -> None:
    context.store.put(8, tenants=tenants({"alder": ["key-8"]}))
    context.new_value = context.store.value
    if state != "answers":
        advance(context.clock, 3000, STEP_MS)
        step_store_state(context, state)


@when("the store came back with its older copy")
def step_store_restored(context: Any) -> None:
    step_store_state(context, "came back with its older copy")


def step_store_state(context: Any, state: str) -> None:
    """Silence the store, or restore it from the copy with version 7."""
    if state == "is silent":
        _cut_off(context.nodes)
    else:
        context.store.restore(*context.old_copy)


@when("a node restarts as the first watcher")
def step_restart(context: Any) -> None:
    advance(context.clock, 3000, STEP_MS)
    old = context.nodes[0]
    old.kill()
    old.config_sync.close()
    record = make_member(old.record.node_id, incarnation=old.record.incarnation + 1)
    node = ConfigNode(old.network, record, context.store)
    node.link.set_fault(old.link.fault)
    for peer in context.nodes[1:]:
        node.table.merge(peer.table.local_record)
    node.config_sync.start()
    node.gossip.comparison.catch_up()
    context.restarted = node


@then("that node never has version {old:d} in force, and has version {new:d} within {within:d} ms")
def step_restarted_version(context: Any, old: int, new: int, within: int) -> None:
    seen = set()
    for _ in range(int(within / STEP_MS)):
        advance(context.clock, STEP_MS, STEP_MS)
        seen.add(context.restarted.config_version()[0])
    assert old not in seen and context.restarted.config_version()[0] == new, seen


@then("all nodes know just the key of version {generation:d} within {within:d} ms")
def step_keys_in_force(context: Any, generation: int, within: int) -> None:
    advance(context.clock, within, STEP_MS)
    for node in context.nodes:
        directory = node.config_sync.rule_book.directory
        known = [
            key
            for key in ("key-7", "key-8")
            if directory.find([(b"authorization", f"Bearer {key}".encode())])
        ]
        assert known == [f"key-{generation}"], (node.record.node_id, known)
