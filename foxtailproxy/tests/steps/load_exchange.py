"""Steps for load queries."""

from __future__ import annotations

import itertools
import random
from typing import Any

from behave import given, then, when

from foxtailproxy.load import Load
from foxtailproxy.load_exchange import QUERY_MARK, LoadExchange
from foxtailproxy.target_view import TargetView
from foxtailproxy.tests.fakes import advance, fake_clock, make_member
from foxtailproxy.traffic_budget import Purpose, TrafficBudget

SLOTS = 5
CLIENT_ADDRESS = ("client", 1)
COPY_DELAY_MS = 500.0
STEP_MS = 1.0
SERVICE = "kalender"
REGION = "pohja"
USUAL_MS_BY_CLASS = {"lookup": 100.0, "booking": 200.0}


class FixedTarget:
    """Target with a fixed load."""

    def __init__(self, running: int, serving: bool) -> None:
        self.running = running
        self.serving = serving

    def serves(self, service: str) -> bool:
        """Return whether the target takes calls of the service."""
        return self.serving and service == SERVICE

    def offered_load(self, service: str) -> Load | None:
        """Return the load if the target takes calls of the service."""
        return self.load() if self.serves(service) else None

    def load(self) -> Load:
        """Return the load."""
        return Load(self.running, 0, SLOTS, 50.0, 50.0, {}, USUAL_MS_BY_CLASS, 1.0, 10.0)


class Peer:
    """Peer that answers load queries as its behaviour says."""

    def __init__(self, context: Any, name: str, behaviour: str, number: int) -> None:
        self.context = context
        self.address = (name, 1)
        self.kind, _, delay = behaviour.rpartition("-")
        self.silent = behaviour == "silent"
        self.delay_ms = 0.0 if self.silent else float(delay)
        target: Any = FixedTarget(number, self.kind != "leaving")
        clock, rng = context.clock, random.Random(number)
        self.exchange = LoadExchange(clock, target, REGION, rng, self._send)
        self.view = CountingView(clock, make_member(name, address=name, gossip_port=1, slots=SLOTS))

    def receive(self, data: bytes) -> None:
        """Receive a query."""
        if not self.silent:
            self.exchange.handle_datagram(data, CLIENT_ADDRESS)

    def _send(self, purpose: Purpose, data: bytes, address: tuple[str, int]) -> bool:
        call_later = self.context.clock.call_later
        source = ("elsewhere", 1) if self.kind == "from-elsewhere" else self.address
        if self.kind == "malformed":
            data = data[:-1]
        call_later(self.delay_ms, self._deliver, data, source)
        if self.kind == "twice":
            call_later(self.delay_ms + COPY_DELAY_MS, self._deliver, data, source)
        return True

    def _deliver(self, data: bytes, source: tuple[str, int]) -> None:
        self.context.exchange.handle_datagram(data, source)


class CountingView(TargetView):
    """View that counts the reports."""

    reports = 0

    def record_load(self, load: Load) -> None:
        """Count and record a report."""
        self.reports += 1
        super().record_load(load)


def _make_exchange(context: Any, seed: int) -> LoadExchange:
    target: Any = FixedTarget(0, True)
    return LoadExchange(context.clock, target, REGION, random.Random(seed), context.send)


@given("peers whose nodes answer {answers}")
def step_peers(context: Any, answers: str) -> None:
    context.clock = fake_clock()
    context.sent = []
    context.peer_by_name = {}
    for number, answer in enumerate(answers.split(), 1):
        name, _, behaviour = answer.partition(":")
        context.peer_by_name[name] = Peer(context, name, behaviour, number)

    def send(purpose: Purpose, data: bytes, address: tuple[str, int]) -> bool:
        context.sent.append(purpose)
        context.peer_by_name[address[0]].receive(data)
        return True

    context.send = send
    context.exchange = _make_exchange(context, 1)


def _refresh(
    context: Any, wait_ms: float, class_name: str = "lookup", names: list[str] | None = None
) -> None:
    clock, began_ms = context.clock, context.clock.now_ms()
    context.ended_ms = None

    def record_end(_: None) -> None:
        context.ended_ms = clock.now_ms() - began_ms

    views = [context.peer_by_name[name].view for name in names or context.peer_by_name]
    context.exchange.refresh(views, SERVICE, class_name, wait_ms).addCallback(record_end)


@when("their load is queried for at most {wait:d} ms")
def step_query(context: Any, wait: int) -> None:
    _refresh(context, wait)


@when("{delay:d} ms later their load is queried for at most {wait:d} ms")
@then("{delay:d} ms later their load is queried for at most {wait:d} ms")
def step_query_later(context: Any, delay: int, wait: int) -> None:
    advance(context.clock, delay, STEP_MS)
    _refresh(context, wait)


@when('the load for "{first}" is queried, and {delay:d} ms later that for "{second}"')
def step_query_classes(context: Any, first: str, delay: int, second: str) -> None:
    _refresh(context, 20, first)
    advance(context.clock, delay, STEP_MS)
    _refresh(context, 20, second)
    advance(context.clock, delay, STEP_MS)


@then('the usual run times at {name} are known for "{first}" and "{second}"')
def step_usual_times(context: Any, name: str, first: str, second: str) -> None:
    view = context.peer_by_name[name].view
    known = {class_name: view.usual_ms(class_name) for class_name in (first, second)}
    assert known == USUAL_MS_BY_CLASS, known


@then("the query ends after {ms:d} ms, and the reported running calls are {running}")
def step_query_ended(context: Any, ms: int, running: str) -> None:
    advance(context.clock, 30, STEP_MS)
    assert context.ended_ms is not None and abs(context.ended_ms - ms) <= STEP_MS, context.ended_ms
    reported = {
        name: (
            round(peer.view.occupancy() * SLOTS * 2 ** (peer.view.load_age_ms / 200))
            if peer.view.has_load
            else "-"
        )
        for name, peer in context.peer_by_name.items()
    }
    actual = " ".join(f"{name}:{count}" for name, count in reported.items())
    assert actual == running, actual


@then("the avoided peers are {names}")
def step_avoided(context: Any, names: str) -> None:
    avoided = [name for name, peer in context.peer_by_name.items() if peer.view.avoided]
    assert (" ".join(avoided) or "-") == names, avoided


@then("{count:d} queries were sent")
@then("{count:d} query was sent")
def step_sent(context: Any, count: int) -> None:
    assert len(context.sent) == count, context.sent


@then("the reports that were recorded are {count:d}")
def step_reports(context: Any, count: int) -> None:
    advance(context.clock, 90, STEP_MS)
    reports = [peer.view.reports for peer in context.peer_by_name.values()]
    assert reports == [count], reports


@when("their load is queried for at most {wait:d} ms by a process that then ends")
def step_query_and_end(context: Any, wait: int) -> None:
    _refresh(context, wait)
    advance(context.clock, 10, STEP_MS)
    context.exchange = _make_exchange(context, 2)


@when("another process queries the same peers for at most {wait:d} ms")
def step_query_again(context: Any, wait: int) -> None:
    for peer in context.peer_by_name.values():
        peer.view = CountingView(context.clock, peer.view.member)
    _refresh(context, wait)


@then("the answer to the earlier process is ignored")
def step_earlier_answer_ignored(context: Any) -> None:
    advance(context.clock, 35, STEP_MS)
    assert [peer.view.reports for peer in context.peer_by_name.values()] == [0]
    advance(context.clock, 10, STEP_MS)
    assert [peer.view.reports for peer in context.peer_by_name.values()] == [1]


def _query_repeatedly(context: Any, wait: int, interval: int, count: int) -> int:
    """Query one peer after the other; return the number of queries that were sent."""
    before = len(context.sent)
    for _ in range(count):
        _refresh(context, wait, names=[next(context.turns)])
        advance(context.clock, interval, STEP_MS)
    return len(context.sent) - before


@when(
    "one after the other is queried for at most {wait:d} ms, one each {interval:d} ms, "
    "{count:d} times"
)
def step_query_repeatedly(context: Any, wait: int, interval: int, count: int) -> None:
    context.wait, context.interval = wait, interval
    context.turns = itertools.cycle(context.peer_by_name)
    context.sent_count = _query_repeatedly(context, wait, interval, count)


@then("at most {count:d} queries were sent")
def step_sent_at_most(context: Any, count: int) -> None:
    assert 0 < context.sent_count <= count, context.sent_count


@then("when they answer within {ms:d} ms again, each is queried in its turn after {seconds:d} s")
def step_queried_again(context: Any, ms: int, seconds: int) -> None:
    for peer in context.peer_by_name.values():
        peer.delay_ms = float(ms)
    _query_repeatedly(context, context.wait, context.interval, seconds * 1000 // context.interval)
    sent_count = _query_repeatedly(context, context.wait, context.interval, 10)
    assert sent_count == 10, sent_count


@given("a budget of {budget:d} B/s of which nothing was used for {rest:d} ms")
def step_budget(context: Any, budget: int, rest: int) -> None:
    context.budget = TrafficBudget(context.clock, budget)
    context.sent_bytes = 0
    advance(context.clock, rest, 100.0)

    def send(purpose: Purpose, data: bytes, address: tuple[str, int]) -> bool:
        assert data.startswith(QUERY_MARK)
        if not context.budget.try_consume(purpose, len(data)):
            return False
        context.sent_bytes += len(data)
        return True

    context.send = send
    context.exchange = _make_exchange(context, 1)


@when("{count:d} queries are sent within {ms:d} ms")
def step_many_queries(context: Any, count: int, ms: int) -> None:
    for number in range(count):
        name = f"{SERVICE}-{number}"
        view = TargetView(context.clock, make_member(name, address=name, gossip_port=1))
        context.exchange.refresh([view], SERVICE, "l" * 100, 0.0)
        advance(context.clock, ms / count, ms / count)
    assert context.exchange.queries + context.exchange.skipped_queries == count


@then("at most {count:d} bytes were sent, and {reserved} can still be sent")
def step_reserve(context: Any, count: int, reserved: str) -> None:
    assert 0 < context.sent_bytes <= count, context.sent_bytes
    assert context.exchange.skipped_queries or context.sent_bytes < count
    purpose = Purpose.load_answer if reserved == "answers" else Purpose.detection
    assert context.budget.try_consume(purpose, 100)
