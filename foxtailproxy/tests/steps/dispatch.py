"""Steps for the sends of one call."""

from __future__ import annotations

import re
from typing import Any

from behave import given, then, when
from expression import Error
from twisted.internet.defer import Deferred, ensureDeferred

from foxtailproxy.call import Call
from foxtailproxy.config.rules import RuleBook
from foxtailproxy.dispatch import Dispatcher
from foxtailproxy.metrics import Metrics
from foxtailproxy.models.rules import FleetRule, Rules
from foxtailproxy.outcome import NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from foxtailproxy.quarantine import Quarantine
from foxtailproxy.retry_budget import RetryBudgets, RetryLimits
from foxtailproxy.routing import Basis, PeerChoice
from foxtailproxy.tests.fakes import LIMITS, advance, fake_clock, make_answer, make_call

USUAL_MS = 100.0
STEP_MS = 1.0
NO_RETRIES = RetryLimits(0.0, 1)


class FakeView:
    """A peer's target as the router sees it."""

    def __init__(self, place: str) -> None:
        self.member = type("Member", (), {"node_id": place})
        self.health = type("Health", (), {"success": lambda self: None})()

    def sent(self) -> None:
        """A send begins."""

    def ended(self) -> None:
        """A send ended."""


class FakeRouter:
    """Chooses the targets in their order."""

    node_id = "me"

    def __init__(self, places: list[str]) -> None:
        self.places = places

    def choose(
        self, match: Any, tried: set[str], size: int, declined: frozenset[str], left_ms: float
    ) -> Any:
        """The first target that was not tried."""
        for place in self.places:
            if place not in tried and place not in declined:
                view: Any = FakeView(place)
                return PeerChoice(view, basis=Basis(place, USUAL_MS, USUAL_MS))
        return None

    def health_of(self, choice: Any) -> Any:
        """The target's health."""
        return choice.view.health

    def failed(self, service: str, health: Any, weight: int = 1) -> None:
        """Not of interest."""

    def answered(self, class_key: str, size: int) -> None:
        """Not of interest."""


class FakePeers:
    """Peers that behave as the tables say."""

    def __init__(self, clock: Any, habit_by_place: dict[str, str]) -> None:
        self.clock = clock
        self.habit_by_place = habit_by_place
        self.sent: list[str] = []
        self.stopped: list[str] = []
        self.open: dict[str, Any] = {}

    async def send_call(self, call: Call, member: Any) -> Outcome:
        """Run a call."""
        place = member.node_id
        self.sent.append(place)
        habit = self.habit_by_place[place]
        timed = re.fullmatch(r"(\d+)ms(500)?", habit)
        if habit == "never" or timed:
            waiting: Deferred[Outcome] = Deferred()
            self.open[call.send_id] = (place, waiting)
            if timed:
                status = int(timed[2] or 200)
                self.clock.call_later(int(timed[1]), self._end, call.send_id, status)
            return await waiting
        if habit in list(UnknownReason):
            return Error(Unknown(UnknownReason(habit)))
        return Error(NotRun(NotRunReason(habit)))

    def _end(self, send_id: str, status: int) -> None:
        if send_id in self.open:
            self.open.pop(send_id)[1].callback(make_answer(status=status))

    def cancel(self, send_id: str) -> None:
        """Stop a send."""
        if send_id in self.open:
            place, waiting = self.open.pop(send_id)
            self.stopped.append(place)
            waiting.callback(Error(Unknown(UnknownReason.CANCELLED)))


class FakeOwnTarget:
    """The node's own target, which serves another service."""

    def cancel(self, send_id: str) -> None:
        """Nothing runs here."""


@given("targets {targets}")
def step_targets(context: Any, targets: str) -> None:
    habits = dict(part.split(":") for part in targets.split()) if targets != "-" else {}
    context.clock = fake_clock()
    context.peers = FakePeers(context.clock, habits)
    context.retry_limits = RetryLimits(0.2)


@given("no budget for retries")
def step_no_budget(context: Any) -> None:
    context.retry_limits = NO_RETRIES


@when("a call that {may} run again is dispatched with {attempts:d} attempts")
def step_dispatch(context: Any, may: str, attempts: int) -> None:
    clock, peers = context.clock, context.peers
    router: Any = FakeRouter(list(peers.habit_by_place))
    target: Any = FakeOwnTarget()
    retries = RetryBudgets(clock, context.retry_limits)
    if context.retry_limits is NO_RETRIES:
        retries.spend("kalender")
    dispatcher = Dispatcher(
        clock, LIMITS, target, router, peers, Quarantine(clock), retries, Metrics(), False
    )
    context.call = make_call(
        clock,
        1000,
        rule={"idempotent": may == "may", "attempts": attempts, "objective_ms": 400},
        received_ms=clock.now_ms(),
    )
    context.dispatcher = dispatcher
    context.ends = []
    book = RuleBook(Rules(FleetRule(), [], [], []))

    def note(outcome: Outcome) -> None:
        context.ends.append((clock.now_ms(), outcome))

    ensureDeferred(dispatcher.run(context.call, book)).addCallback(note)


@when("the caller leaves after {ms:d} ms")
def step_leaves(context: Any, ms: int) -> None:
    advance(context.clock, ms)
    context.dispatcher.cancel(context.call)
    assert len(context.ends) == 1


@then("it ends as {expected} after {ms:d} ms")
def step_dispatch_ends(context: Any, expected: str, ms: int) -> None:
    advance(context.clock, 2000, STEP_MS)
    ended_ms, outcome = context.ends[0]
    if outcome.is_ok():
        status = outcome.ok.head.status
        seen = "answered" if status == 200 else f"answered {status}"
    else:
        kind = "not-run" if isinstance(outcome.error, NotRun) else "unknown"
        seen = f"{kind} {outcome.error.reason}"
    assert seen == expected and abs(ended_ms - ms) <= STEP_MS, (seen, ended_ms)


@then("it was sent to {sent} and stopped at {stopped}")
def step_sent(context: Any, sent: str, stopped: str) -> None:
    peers = context.peers
    seen = (" ".join(peers.sent) or "-", " ".join(peers.stopped) or "-")
    assert seen == (sent, stopped), seen
