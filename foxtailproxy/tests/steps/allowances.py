"""Steps for the allowances of customers."""

from __future__ import annotations

import random
import re
from typing import Any

import msgspec
from behave import given, then, when
from expression import Error, Ok
from twisted.internet.defer import Deferred, ensureDeferred, succeed

from foxtailproxy.caller_server import CallerServer
from foxtailproxy.clock import Clock
from foxtailproxy.customers.allowance import (
    ASK,
    OPEN,
    AllowanceOwner,
    AllowanceTerms,
    customer_digest,
)
from foxtailproxy.customers.allowance_client import Drawn
from foxtailproxy.customers.allowance_exchange import ANSWER_MARK
from foxtailproxy.customers.node_allowances import NodeAllowances
from foxtailproxy.membership import MemberTable
from foxtailproxy.metrics import Metrics
from foxtailproxy.models.messages import (
    AllowanceAnswer,
    AllowanceLevel,
    AllowanceReport,
    AllowanceUse,
)
from foxtailproxy.models.rules import CustomerRule
from foxtailproxy.outcome import NotRun, NotRunReason, Unknown, UnknownReason
from foxtailproxy.tests.allowance_fleet import TERMS, USUAL_SHARE, AllowanceFleet, rules_of
from foxtailproxy.tests.fakes import advance, fake_clock, make_member

NAME = "acme"
DIGEST = customer_digest(NAME)
RULES = "big:100:100 mid:20:20 small:5:5 tight:100:10"
OVER_SHARE = 7 * USUAL_SHARE
REPORT = re.compile(r"(\d+):(\w)/(\d+)=(\d+)\+(\d+)(?:~(\d+))?$")
STREAMS = {"a": 1, "b": 2}


# The owner's bucket


@given("an owner of a customer with {rate:d} requests/s and a burst of {burst:d}")
def step_owner(context: Any, rate: int, burst: int) -> None:
    context.clock = fake_clock()
    terms = AllowanceTerms(5000, 0.1, 20)
    context.owner = AllowanceOwner(context.clock, terms, random.Random(1), lambda: 1.0)
    context.owner.set_customers([CustomerRule(NAME, rate_per_s=rate, burst=burst)])


@when("the reports {reports} arrive")
def step_reports(context: Any, reports: str) -> None:
    context.levels = []
    began_ms = context.clock.now_ms()
    for text in reports.split():
        match = REPORT.match(text)
        assert match is not None, text
        at, stream, sequence, total, waiting, unacknowledged = match.groups()
        advance(context.clock, began_ms + int(at) - context.clock.now_ms(), 1000)
        use = AllowanceUse(
            DIGEST,
            STREAMS[stream],
            int(total),
            int(unacknowledged or total),
            int(waiting),
            int(total) + int(waiting),
        )
        context.levels.append(context.owner.settle((stream, 1), int(sequence), use))


@then("the answers are {answers}, and {tokens:g} tokens are left")
def step_answers(context: Any, answers: str, tokens: float) -> None:
    names = {OPEN: "open", ASK: "ask"}
    seen = [
        "none" if level is None else f"{level.granted}/{names.get(level.wait_ms, 'closed')}"
        for level in context.levels
    ]
    left = context.owner.bucket_by_customer[DIGEST].tokens
    assert (" ".join(seen), round(left, 2)) == (answers, tokens), (seen, left)


@when("the customer gets {rate:d} requests/s and a burst of {burst:d}")
def step_new_rule(context: Any, rate: int, burst: int) -> None:
    context.owner.set_customers([CustomerRule(NAME, rate_per_s=rate, burst=burst)])


@when("the configuration has no customers")
def step_no_customers(context: Any) -> None:
    context.owner.set_customers([])


@when("the owner learns that others took it for dead")
def step_refuted(context: Any) -> None:
    context.owner.restart_buckets()


@then("at most {tokens:g} tokens are left")
def step_tokens_at_most(context: Any, tokens: float) -> None:
    left = context.owner.bucket_by_customer[DIGEST].tokens
    assert 0 < left <= tokens, left


@then("the owner has no buckets")
def step_no_buckets(context: Any) -> None:
    assert not context.owner.bucket_by_customer


# One node


@given("a node whose owner is another one")
def step_node(context: Any) -> None:
    context.clock = fake_clock()
    context.clock.source.advance(1)
    context.sent = []

    def send(purpose: Any, data: bytes, address: Any) -> bool:
        context.sent.append((data, address))
        return True

    table = MemberTable(context.clock, make_member("n0"), lambda record: None, lambda: None)
    context.node = NodeAllowances(context.clock, table, TERMS, random.Random(1), send)
    context.rule = CustomerRule(NAME, rate_per_s=10, burst=10)
    context.node.set_customers([context.rule])
    number = 1
    while context.node.owners.owner_of(DIGEST).node_id == "n0":
        context.node.update_member(make_member(f"peer{number}"))
        number += 1
    context.results = []


def _enter(context: Any, rule: CustomerRule) -> None:
    began_ms = context.clock.now_ms()

    def record(drawn: Any) -> None:
        context.results.append((drawn, context.clock.now_ms() - began_ms))

    context.node.draws.draw(rule, "id").addCallback(record)


@when("{count:d} requests of a customer without a limit enter")
def step_unlimited(context: Any, count: int) -> None:
    for _ in range(count):
        _enter(context, CustomerRule("free"))


@when("a configuration without limits is adopted")
def step_no_limits(context: Any) -> None:
    context.node.set_customers([])


@when("{count:d} requests enter, {interval:d} ms apart, with the limit of an earlier one")
def step_earlier_limit(context: Any, count: int, interval: int) -> None:
    for _ in range(count):
        _enter(context, context.rule)
        advance(context.clock, interval)


@then("all are admitted, no datagram was sent and no timer runs")
def step_nothing_spent(context: Any) -> None:
    assert all(isinstance(drawn, Drawn) for drawn, _ in context.results)
    assert not context.sent and not context.clock.source.calls
    assert not context.node.draws.usage_by_customer


@when("1 request enters, and the answer that the level is closed comes from {source}")
def step_closed(context: Any, source: str) -> None:
    _answer(context, source, 60_000)


@when("1 request enters, and the answer that each request must ask comes from {source}")
def step_ask(context: Any, source: str) -> None:
    _answer(context, source, ASK)


def _answer(context: Any, source: str, wait_ms: int) -> None:
    _enter(context, context.rule)
    advance(context.clock, 300)
    data, address = context.sent[-1]
    report = msgspec.msgpack.decode(data[1:], type=AllowanceReport)
    sequence = report.sequence + (source == "another process")
    levels = [AllowanceLevel(DIGEST, report.uses[0].total, 0, wait_ms)]
    answer = ANSWER_MARK + msgspec.msgpack.encode(AllowanceAnswer(sequence, levels))
    if source == "a broken network":
        answer = answer[:-2]
    sender = ("elsewhere", 1) if source == "another address" else address
    context.node.handle_datagram(answer, sender)


@then("the next request is {outcome}")
def step_next(context: Any, outcome: str) -> None:
    _enter(context, context.rule)
    assert isinstance(context.results[-1][0], NotRun) == (outcome == "rejected")


@when("a request waits, behind which one of another customer waits on its connection")
def step_follower(context: Any) -> None:
    context.results.clear()
    draws = context.node.draws
    other = CustomerRule("other", rate_per_s=10, burst=10)
    draws.draw(context.rule, "first").addCallback(context.results.append).addCallback(
        lambda _: draws.draw(other, "second").addCallback(context.results.append)
    )
    assert not context.results


@when("the node closes its allowances")
def step_close(context: Any) -> None:
    context.node.close()


@then("both requests are decided")
def step_both_decided(context: Any) -> None:
    assert len(context.results) == 2, context.results


@when("{count:d} requests enter, {interval:d} ms apart, and the owner stays silent")
def step_silent(context: Any, count: int, interval: int) -> None:
    context.results.clear()
    for _ in range(count):
        _enter(context, context.rule)
        advance(context.clock, interval, 0.25)
    context.entered = count


@then("each is decided within 5 ms, at most 2 of them waited, and at least 1 is admitted")
def step_decided(context: Any) -> None:
    waits_ms = [wait_ms for _, wait_ms in context.results]
    assert len(waits_ms) == context.entered and max(waits_ms) < 5.1, waits_ms
    assert sum(wait_ms > 0 for wait_ms in waits_ms) <= 2, waits_ms
    assert any(isinstance(drawn, Drawn) for drawn, _ in context.results)


# The caller server


class CountedAllowance:
    """Allowance with a number of draws."""

    def __init__(self, draws: int) -> None:
        self.left = draws
        self.draws = 0

    def draw(self, rule: CustomerRule, request_id: str) -> Any:
        """Draw if there is something left."""
        if not self.left:
            return succeed(NotRun(NotRunReason.ALLOWANCE_EXCEEDED))
        self.draws += 1
        return succeed(Drawn())

    def give_back(self, drawn: Drawn) -> None:
        """Return a draw."""
        self.draws -= 1


class FixedDispatcher:
    """Dispatcher that counts the calls and has one outcome for all."""

    def __init__(self) -> None:
        self.outcome: Any = None
        self.calls = 0

    async def run(self, call: Any, rule_book: Any) -> Any:
        """Count the call."""
        self.calls += 1
        return self.outcome

    def cancel(self, call: Any) -> None:
        """Do nothing, as the real one does for a call that it does not run yet."""


@given("a caller server whose customer has an allowance of {draws:d}")
def step_caller_server(context: Any, draws: int) -> None:
    context.allowance: Any = CountedAllowance(draws)
    context.dispatcher: Any = FixedDispatcher()
    sync: Any = type("Sync", (), {"rule_book": object()})
    unused: Any = None
    context.server = CallerServer(
        Clock(None),
        unused,
        sync,
        context.dispatcher,
        unused,
        Metrics(),
        unused,
        False,
        allowances=context.allowance,
    )


@when("a call of the customer is dispatched with the outcome {outcome}")
def step_dispatch(context: Any, outcome: str) -> None:
    context.dispatcher.outcome = {
        "answered": Ok(None),
        "not-run": Error(NotRun(NotRunReason.OVERLOADED)),
        "unknown": Error(Unknown(UnknownReason.PEER_LOST)),
        "rejected": None,
    }[outcome]
    call: Any = type("Call", (), {"customer": CustomerRule(NAME), "attempt_id": "id"})
    ensureDeferred(context.server._dispatch(call))


@when("the caller of a call leaves while the call waits for its draw")
def step_caller_leaves(context: Any) -> None:
    drawn: Deferred[Any] = Deferred()
    draw = context.allowance.draw
    context.allowance.draw = lambda *args: drawn.addCallback(lambda _: draw(*args))
    context.dispatcher.outcome = Ok(None)
    call: Any = type("Call", (), {"customer": CustomerRule(NAME), "attempt_id": "id"})
    ensureDeferred(context.server._dispatch(call))
    context.server.cancel(call)
    drawn.callback(None)


@then("it was sent {sent:d} times, and the allowance counts {draws:d} draws")
def step_dispatched(context: Any, sent: int, draws: int) -> None:
    assert (context.dispatcher.calls, context.allowance.draws) == (sent, draws)


# Many nodes


@given("{count:d} nodes with customers at their usual demand")
def step_fleet(context: Any, count: int) -> None:
    context.fleet = AllowanceFleet(count, rules_of(RULES))
    context.count = count


@when("the nodes run for {before:d} s, then {over} exceeds its limit for {during:d} s")
def step_exceed(context: Any, before: int, over: str, during: int) -> None:
    fleet = context.fleet
    fleet.run(before * 1000)
    context.began_ms = fleet.clock.now_ms()
    context.over = [] if over == "-" else over.split()
    for name in context.over:
        fleet.demand_by_name[name] = OVER_SHARE
    fleet.run(during * 1000)
    context.since_ms = fleet.clock.now_ms()


@when("{event}, and the nodes run for {after:d} s")
def step_event(context: Any, event: str, after: int) -> None:
    fleet, numbers = context.fleet, range(context.count)
    context.lowered = None
    if event == "the owners are killed":
        fleet.kill({fleet.owner_number(name) for name in fleet.rule_by_name})
    elif event == "a third of the nodes is cut":
        fleet.cut(numbers[::3])
    elif event == "two halves are cut apart":
        fleet.cut(numbers[: context.count // 2])
    elif event == "the regions are cut apart":
        fleet.cut(numbers[::2])
    elif event == "all nodes restart":
        fleet.kill(numbers)
        fleet.run(300)
        fleet.start_nodes(numbers)
    elif event == "30% of the datagrams are lost":
        fleet.network.allowance_loss_rate = 0.3
    elif event == "the limit of big is lowered":
        context.old_rule = fleet.rule_by_name["big"]
        context.lowered = CustomerRule("big", rate_per_s=20, burst=20)
        fleet.change_rule(context.lowered)
    else:
        assert event == "nothing fails", event
    context.traffic_since_ms = fleet.clock.now_ms()
    fleet.network.traffic.clear()
    fleet.run(after * 1000)


@then("no customer had more requests in a window than its terms allow")
def step_bounds(context: Any) -> None:
    fleet = context.fleet
    for name, rule in fleet.rule_by_name.items():
        since_ms = 0.0
        if context.lowered is not None and name == "big":
            # Binding one window after all nodes have had it, which took up to 3 s.
            since_ms = context.since_ms + 3000
            assert fleet.fullest_window(name) <= fleet.bound(context.old_rule)
        fullest, bound = fleet.fullest_window(name, since_ms), fleet.bound(rule)
        assert fullest <= bound, (name, fullest, bound)


@then("at most {lost:d} in 1000 requests of customers below their limits were rejected")
def step_lost(context: Any, lost: int) -> None:
    fleet = context.fleet
    names = [name for name in fleet.rule_by_name if name not in context.over]
    since_ms, until_ms = context.began_ms, fleet.clock.now_ms()
    rejected = sum(fleet.rejected(name, since_ms) for name in names)
    entered = rejected + sum(fleet.admitted(name, since_ms, until_ms) for name in names)
    assert rejected * 1000 <= lost * entered, (rejected, entered)


@then("{name} got at least {percent:d} in 100 of its limit in the last {seconds:d} s")
def step_got(context: Any, name: str, percent: int, seconds: int) -> None:
    fleet, now_ms = context.fleet, context.fleet.clock.now_ms()
    got = fleet.admitted(name, now_ms - seconds * 1000, now_ms)
    limit = fleet.rule_by_name[name].rate_per_s * seconds
    assert got * 100 >= limit * percent, (got, limit)


@then(
    "a node sent at most {total:d} bytes/s for allowances, {paid:d} bytes/s of them between regions"
)
def step_traffic(context: Any, total: int, paid: int) -> None:
    fleet = context.fleet
    seconds = (fleet.clock.now_ms() - context.traffic_since_ms) / 1000
    for what, most in (("bytes", total), ("paid bytes", paid)):
        sent = [count for (_, kind), count in fleet.network.traffic.items() if kind == what]
        assert 0 < max(sent) <= most * seconds, (what, max(sent) / seconds)


@then("the times to retry after are between {least:d} and {most:d} ms, and spread")
def step_retry_after(context: Any, least: int, most: int) -> None:
    times_ms = context.fleet.retry_after_ms
    assert least <= min(times_ms) and max(times_ms) <= most, (min(times_ms), max(times_ms))
    assert len(set(times_ms)) > len(times_ms) / 10, len(set(times_ms))
