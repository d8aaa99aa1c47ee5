"""Steps for the choice of a target."""

from __future__ import annotations

import math
import random
import re
import time
from typing import Any

from behave import given, then, when
from expression import Error
from twisted.internet import reactor, threads
from twisted.internet.defer import ensureDeferred
from twisted.internet.protocol import Factory, Protocol

from foxtailproxy.clock import Clock
from foxtailproxy.dispatch import retriable
from foxtailproxy.ejection import UNREACHABLE_WEIGHT, FailureShare
from foxtailproxy.load import Load
from foxtailproxy.models.messages import Announcement
from foxtailproxy.outcome import NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from foxtailproxy.platform.dialect import PlatformDialect
from foxtailproxy.retry_budget import RetryBudgets, RetryLimits
from foxtailproxy.routing import LocalChoice, Router
from foxtailproxy.target import Target
from foxtailproxy.terms import NO_TERMS, Terms
from foxtailproxy.tests.fakes import (
    QuietListener,
    advance,
    fake_clock,
    make_answer,
    make_call,
    make_member,
)

SLOTS = 10
PEERS = ("n1", "n2", "far")


def read_load(text: str) -> Load | None:
    """A load as the tables write it."""
    if text == "-":
        return None
    running, queued, typical_ms = text.split("/")
    typical = float(typical_ms)
    waits = {"lookup": int(queued) * typical / SLOTS} if int(queued) else {}
    return Load(int(running), int(queued), SLOTS, typical, typical, waits)


class OwnTarget:
    """The node's own target with a fixed load."""

    def __init__(self, load: Load | None) -> None:
        self.fixed = load

    def serves(self, service: str) -> bool:
        """Whether there is a target."""
        return self.fixed is not None

    def load(self) -> Load:
        """The fixed load."""
        assert self.fixed is not None
        return self.fixed


@given("a node whose own target has load {load}")
def step_own(context: Any, load: str) -> None:
    context.clock = fake_clock()
    own: Any = OwnTarget(read_load(load))
    context.router = Router(
        context.clock, "me", "pohja", "tallinn-a", own, lambda size: True, random.Random(1)
    )


@given("its peers report {first}, {second} and {third}")
def step_peers(context: Any, first: str, second: str, third: str) -> None:
    for name, text in zip(PEERS, (first, second, third), strict=True):
        region = "louna" if name == "far" else "pohja"
        load = read_load(text)
        if name == "far" and load is None:
            continue
        context.router.member_changed(make_member(name, region=region, slots=SLOTS))
        if load is not None:
            context.router.observe(name, load)


def _place(context: Any, count: int, age: int, **rule: Any) -> None:
    advance(context.clock, age)
    chosen: set[str] = set()
    for _ in range(count):
        match = make_call(context.clock, rule=rule).match
        choice = context.router.choose(match, set(), 100)
        if isinstance(choice, LocalChoice):
            chosen.add("local")
        else:
            choice.view.sent()
            chosen.add(choice.view.member.node_id)
    context.chosen = " ".join(sorted(chosen))


@when("{count:d} calls are placed {age:d} ms later")
def step_place(context: Any, count: int, age: int) -> None:
    _place(context, count, age)


@when("{count:d} bookings are placed {age:d} ms later")
def step_place_bookings(context: Any, count: int, age: int) -> None:
    _place(context, count, age, name="booking", idempotent=False)


@then("they go to {names}")
def step_chosen(context: Any, names: str) -> None:
    assert context.chosen == names, context.chosen


@when("{count:d} calls fail at {name}")
def step_fail(context: Any, count: int, name: str) -> None:
    for _ in range(count):
        context.router.failed("kalender", context.router.by_id[name].health)


@when("{count:d} connections to {name} do not open")
def step_unreachable(context: Any, count: int, name: str) -> None:
    for _ in range(count):
        health = context.router.by_id[name].health
        context.router.failed("kalender", health, UNREACHABLE_WEIGHT)


@when("the trial call succeeds at {name}")
def step_trial_succeeds(context: Any, name: str) -> None:
    context.router.by_id[name].health.success()


@then("at most {most:d} targets are ejected")
def step_ejected(context: Any, most: int) -> None:
    ejected = [name for name, view in context.router.by_id.items() if view.health.ejected]
    assert 1 <= len(ejected) <= most, ejected


def read_outcome(text: str) -> Outcome:
    """An outcome as the tables write it."""
    kind, reason = text.split()
    if kind == "not-run":
        return Error(NotRun(NotRunReason(reason)))
    if kind == "unknown":
        return Error(Unknown(UnknownReason(reason)))
    return make_answer(status=int(reason))


@when("a call that {may} be repeated ends as {first}")
def step_ends(context: Any, may: str, first: str) -> None:
    call = make_call(fake_clock(), rule={"idempotent": may == "may"})
    context.retried = retriable(call, read_outcome(first))


@then("it is {retried} to another target")
def step_retried(context: Any, retried: str) -> None:
    assert context.retried == (retried == "sent")


@when("{count:d} calls earn {percent:d} percent and each asks for a retry")
def step_retries(context: Any, count: int, percent: int) -> None:
    budgets = RetryBudgets(fake_clock(), RetryLimits(percent / 100))
    context.allowed = 0
    for _ in range(count):
        budgets.earn("kalender")
        context.allowed += budgets.spend("kalender")


@then("between {least:d} and {most:d} retries are allowed")
def step_allowed(context: Any, least: int, most: int) -> None:
    assert least <= context.allowed <= most, context.allowed


USUAL_MS = 100.0


@given("a node whose own target serves another service")
def step_other_service(context: Any) -> None:
    step_own(context, "-")


@given("near peers with slowness {first:d} and {second:d}, and a far one with {far:d}")
def step_speeds(context: Any, first: int, second: int, far: int) -> None:
    for name, slowness in zip(PEERS, (first, second, far), strict=True):
        region = "louna" if name == "far" else "pohja"
        context.router.member_changed(make_member(name, region=region, slots=SLOTS))
        runs = {"lookup": USUAL_MS}
        context.router.observe(
            name, Load(0, 0, SLOTS, USUAL_MS, USUAL_MS, {}, runs, float(slowness))
        )


@given("near peers that fail {first:d} and {second:d} percent of their calls")
def step_failing(context: Any, first: int, second: int) -> None:
    for name, percent in zip(PEERS, (first, second), strict=False):
        context.router.member_changed(make_member(name, slots=SLOTS))
        runs = {"lookup": USUAL_MS}
        load = Load(0, 0, SLOTS, USUAL_MS, USUAL_MS, {}, runs, 1.0, failing=percent / 100)
        context.router.observe(name, load)


@when("calls end as {calls}, and {ms:d} ms pass")
def step_calls_end(context: Any, calls: str, ms: int) -> None:
    clock = fake_clock()
    context.share = FailureShare(clock)
    words = calls.split()
    for count, word in zip(words[::2], words[1::2], strict=True):
        for _ in range(int(count)):
            context.share.note(word == "failed")
    advance(clock, ms)


@then("the share that fails is between {least:d} and {most:d} percent")
def step_share_fails(context: Any, least: int, most: int) -> None:
    assert least <= context.share.value() * 100 <= most, context.share.value()


@when("a call with {left:d} ms left is placed {age:d} ms later, and {declined} handed it back")
def step_place_speed(context: Any, left: int, age: int, declined: str) -> None:
    advance(context.clock, age)
    match = make_call(context.clock, rule={"objective_ms": 400}).match
    names = frozenset(PEERS if declined == "all" else ())
    context.choice = context.router.choose(match, set(), 100, names, left)


@then("it goes to {target} with {terms}")
def step_terms(context: Any, target: str, terms: str) -> None:
    chosen = context.choice.view.member.node_id
    near = chosen in PEERS[:2]
    assert target in ("any", "near" if near else "", chosen), chosen
    seen = context.choice.terms
    words = terms.split()
    if "limit" in words:
        assert USUAL_MS <= seen.limit_ms < 5 * USUAL_MS and not seen.hold_ms, seen
    else:
        goes_back = not math.isinf(seen.limit_ms)
        assert (seen.hold_ms, goes_back) == (float(words[3]), "back" in words), seen


class SpeedUpstream(Protocol):
    """Answers calls at once; its health check tells a slowness that may change."""

    transport: Any = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a request, which fits in one packet."""
        slowness = self.factory.slowness
        if data.startswith(b"GET /healthz"):
            self.factory.checks += 1
            slowness = slowness if self.factory.checks == 1 else self.factory.later
        load = b"x-foxtailproxy-backend-load: 1,0,12,%d\r\n" % (slowness * 100)
        attempt = re.search(rb"x-foxtailproxy-attempt-id: .*\r\n", data)
        echo = attempt[0] if attempt else b""
        self.transport.write(b"HTTP/1.1 200 OK\r\n" + load + echo + b"content-length: 2\r\n\r\nok")


class SpeedTarget:
    """A target whose upstream reports its speed."""

    def __init__(self, slowness: int, later: int) -> None:
        loop: Any = reactor
        self.factory: Any = Factory.forProtocol(SpeedUpstream)
        self.factory.noisy = False
        self.factory.slowness, self.factory.later, self.factory.checks = slowness, later, 0
        self.listening = loop.listenTCP(0, self.factory, interface="127.0.0.1")
        self.clock = Clock(loop)
        self.target = Target(self.clock, loop, QuietListener(), PlatformDialect(lambda: "kalender"))
        port = self.listening.getHost().port
        self.target.receive_announcement(
            Announcement("kalender", "127.0.0.1", port, 12, instance="i-1")
        )
        times, speed = self.target.admission.run_times, self.target.admission.slowness
        times.record("lookup", USUAL_MS, 1.0)
        # An old report: the upstream is to be asked.
        speed.observe(1.0, 1000)

    def close(self) -> None:
        """Close all sockets."""
        threads.blockingCallFromThread(reactor, self._close)

    def _close(self) -> None:
        self.target.close()
        self.listening.stopListening()


@given("a target whose upstream reports slowness {now:d} now and {later:d} from its second report")
def step_speed_target(context: Any, now: int, later: int) -> None:
    context.live = threads.blockingCallFromThread(reactor, SpeedTarget, now, later)


@when("a call comes with {terms}")
def step_call_terms(context: Any, terms: str) -> None:
    one = context.live
    words = terms.split()
    number = float(words[3]) if words[0] == "a" else 0.0
    call = make_call(one.clock, rule={"objective_ms": 400})
    kinds = {
        "limit": Terms(limit_ms=number),
        "hold": Terms(hold_ms=number),
        "turn": Terms(limit_ms=1.5 * USUAL_MS, hold_ms=number),
    }
    call.terms = kinds[words[1]] if number else NO_TERMS
    begun_s = time.monotonic()
    context.outcome = threads.blockingCallFromThread(
        reactor, lambda: ensureDeferred(one.target.run(call))
    )
    context.elapsed_ms = (time.monotonic() - begun_s) * 1000


@then("it ends there as {expected} within {within:d} ms")
def step_ends_there(context: Any, expected: str, within: int) -> None:
    outcome = context.outcome
    seen = "answered" if outcome.is_ok() else f"not-run {outcome.error.reason}"
    assert seen == expected, outcome
    assert context.elapsed_ms <= within, context.elapsed_ms
