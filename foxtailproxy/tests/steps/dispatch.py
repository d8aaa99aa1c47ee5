"""Steps for the dispatch of one call."""

from __future__ import annotations

import re
from dataclasses import replace
from typing import Any

from behave import given, then, when
from expression import Error, Ok
from twisted.internet.defer import Deferred, ensureDeferred

from foxtailproxy.call import Call
from foxtailproxy.config.rules import RuleBook
from foxtailproxy.dispatch import Dispatcher, Race
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.messages import ResponseHead
from foxtailproxy.metrics import Metrics
from foxtailproxy.models.rules import FleetRule, Rules
from foxtailproxy.outcome import Answer, NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from foxtailproxy.quarantine import Quarantine
from foxtailproxy.retry_budget import RetryBudgets, RetryLimits
from foxtailproxy.routing import ChoiceEstimate, PeerChoice
from foxtailproxy.tests.fakes import LIMITS, advance, fake_clock, make_answer, make_call

USUAL_MS = 100.0
STEP_MS = 1.0
NO_RETRIES = RetryLimits(0.0, 1)


class FakeView:
    """Router's view of a peer's target."""

    def __init__(self, target_id: str) -> None:
        self.member = type("Member", (), {"node_id": target_id})
        self.health = type("Health", (), {"record_success": lambda self: None})()

    def begin_send(self) -> None:
        """Do nothing when a send begins."""

    def end_send(self) -> None:
        """Do nothing when a send ends."""


class FakePlacement:
    """Placement that chooses the targets in their given order, after `delay_ms`."""

    def __init__(self, clock: Any, target_ids: list[str], delay_ms: float = 0.0) -> None:
        self.clock = clock
        self.target_ids = target_ids
        self.delay_ms = delay_ms

    async def choose(
        self,
        match: Any,
        tried_ids: set[str],
        request_bytes: int,
        declined_ids: frozenset[str],
        objective_left_ms: float,
        is_first: bool,
    ) -> Any:
        """Return the first target that was neither tried nor declined the call."""
        if self.delay_ms:
            await self.clock.sleep(self.delay_ms)
        for target_id in self.target_ids:
            if target_id not in tried_ids and target_id not in declined_ids:
                view: Any = FakeView(target_id)
                return PeerChoice(view, estimate=ChoiceEstimate(target_id, USUAL_MS, USUAL_MS))
        return None


class FakeRouter:
    """Router that records what a dispatcher tells it."""

    node_id = "me"

    def health_of(self, choice: Any) -> Any:
        """Return the target's health."""
        return choice.view.health

    def record_failure(self, service: str, health: Any, weight: int = 1) -> None:
        """Ignore a failure."""

    def record_answer_size(self, class_key: str, answer_bytes: int) -> None:
        """Ignore an answer."""


class FakePeers:
    """Peers that behave as the tables specify."""

    def __init__(self, clock: Any, behaviour_by_target: dict[str, str]) -> None:
        self.clock = clock
        self.behaviour_by_target = behaviour_by_target
        self.sent: list[str] = []
        self.cancelled: list[str] = []
        self.open_sends: dict[str, Any] = {}

    async def send_call(self, call: Call, member: Any) -> Outcome:
        """Run a call by the behaviour of its target."""
        target_id = member.node_id
        self.sent.append(target_id)
        behaviour = self.behaviour_by_target[target_id]
        delayed = re.fullmatch(r"(\d+)ms(500)?(large)?(?:-(.+))?", behaviour)
        if behaviour == "never" or delayed:
            pending: Deferred[Outcome] = Deferred()
            self.open_sends[call.send_id] = (target_id, pending)
            if delayed:
                outcome = make_answer(status=int(delayed[2] or 200))
                if delayed[3]:
                    outcome = Ok(Answer(outcome.ok.head, BodyStream(None)))
                if delayed[4]:
                    outcome = make_failure(delayed[4])
                self.clock.call_later(int(delayed[1]), self._end, call.send_id, outcome)
            return await pending
        return make_failure(behaviour)

    def _end(self, send_id: str, outcome: Outcome) -> None:
        if send_id in self.open_sends:
            self.open_sends.pop(send_id)[1].callback(outcome)

    def cancel(self, send_id: str) -> None:
        """Cancel a send."""
        if send_id in self.open_sends:
            target_id, pending = self.open_sends.pop(send_id)
            self.cancelled.append(target_id)
            pending.callback(Error(Unknown(UnknownReason.CANCELLED)))

    def withdraw(self, send_id: str) -> None:
        """Do nothing, since each call is sent at once."""


def make_failure(reason: str) -> Outcome:
    """Return the failure of a send."""
    if reason in list(UnknownReason):
        return Error(Unknown(UnknownReason(reason)))
    return Error(NotRun(NotRunReason(reason)))


class FakeLocalTarget:
    """Local target, which serves another service."""

    def cancel(self, send_id: str) -> None:
        """Do nothing, since no call runs here."""


@given("targets {targets}")
def step_targets(context: Any, targets: str) -> None:
    behaviours = dict(part.split(":") for part in targets.split()) if targets != "-" else {}
    context.clock = fake_clock()
    context.peers = FakePeers(context.clock, behaviours)
    context.retry_limits = RetryLimits(0.2)
    context.placement_ms = 0.0


@given("no retry budget")
def step_no_retry_budget(context: Any) -> None:
    context.retry_limits = NO_RETRIES


@when("a call that {may} run again is dispatched with {attempts:d} attempts")
def step_dispatch(context: Any, may: str, attempts: int, depth: int = 1) -> None:
    clock, peers = context.clock, context.peers
    router: Any = FakeRouter()
    placement: Any = FakePlacement(clock, list(peers.behaviour_by_target), context.placement_ms)
    target: Any = FakeLocalTarget()
    retry_budgets = RetryBudgets(clock, context.retry_limits)
    if context.retry_limits is NO_RETRIES:
        retry_budgets.try_withdraw("kalender")
    dispatcher = Dispatcher(
        clock,
        LIMITS,
        target,
        router,
        placement,
        peers,
        Quarantine(clock),
        retry_budgets,
        Metrics(),
        False,
    )
    context.call = make_call(
        clock,
        1000,
        rule={
            "idempotent": may == "may",
            "attempts": attempts,
            "objective_ms": 400,
            "regions": getattr(context, "regions", []),
        },
        received_ms=clock.now_ms(),
        depth=depth,
    )
    context.dispatcher = dispatcher
    context.outcomes = []
    rule_book = RuleBook(Rules(FleetRule(), [], [], []))

    def record_outcome(outcome: Outcome) -> None:
        context.outcomes.append((clock.now_ms(), outcome))

    ensureDeferred(dispatcher.run(context.call, rule_book)).addCallback(record_outcome)


@when("an inner call is dispatched with {attempts:d} attempts")
def step_dispatch_inner(context: Any, attempts: int) -> None:
    step_dispatch(context, "may", attempts, depth=2)


@when("the dispatching node is paused for {ms:d} ms, and the answer has arrived")
def step_paused_with_answer(context: Any, ms: int) -> None:
    advance(context.clock, ms, step_ms=ms)
    context.peers._end(context.call.attempt_id, make_answer())


@when("the dispatching node is paused for {ms:d} ms, and nothing has arrived")
def step_paused_without_answer(context: Any, ms: int) -> None:
    advance(context.clock, ms, step_ms=ms)


@when("another call with its attempt id is dispatched and cancelled")
def step_dispatch_same_attempt(context: Any) -> None:
    other = replace(context.call)
    context.other_outcomes = []
    rule_book = RuleBook(Rules(FleetRule(), [], [], []))
    running = ensureDeferred(context.dispatcher.run(other, rule_book))
    running.addCallback(context.other_outcomes.append)
    context.dispatcher.cancel(other)


@then("the other call ended as not-run cancelled")
def step_other_ended(context: Any) -> None:
    assert [outcome.error.reason for outcome in context.other_outcomes] == ["cancelled"]


@given("a placement that takes {ms:d} ms")
def step_slow_placement(context: Any, ms: int) -> None:
    context.placement_ms = float(ms)


@when("the caller disconnects after {ms:d} ms")
def step_caller_cancels(context: Any, ms: int) -> None:
    advance(context.clock, ms)
    context.dispatcher.cancel(context.call)
    assert len(context.outcomes) == (0 if context.placement_ms else 1)


@then("it ends as {expected} after {ms:d} ms")
def step_dispatch_ends(context: Any, expected: str, ms: int) -> None:
    advance(context.clock, 2000, STEP_MS)
    ended_ms, outcome = context.outcomes[0]
    if outcome.is_ok():
        status = outcome.ok.head.status
        actual = "answered" if status == 200 else f"answered {status}"
        assert outcome.ok.body.buffered() == b"answer", "the body is gone"
    else:
        kind = "not-run" if isinstance(outcome.error, NotRun) else "unknown"
        actual = f"{kind} {outcome.error.reason}"
    assert actual == expected and abs(ended_ms - ms) <= STEP_MS, (actual, ended_ms)


@then("it was sent to {sent} and cancelled at {cancelled}")
def step_sends(context: Any, sent: str, cancelled: str) -> None:
    peers = context.peers
    actual = (" ".join(peers.sent) or "-", " ".join(peers.cancelled) or "-")
    assert actual == (sent, cancelled), actual


@given("a call with two open sends")
def step_two_sends(context: Any) -> None:
    context.race, context.sends = Race(), [Deferred(), Deferred()]
    for send in context.sends:
        context.race.add(send)


@when("one gets a large answer with status 500, and the other one with status {status:d}")
def step_error_then_answer(context: Any, status: int) -> None:
    context.large = BodyStream(None)
    heads = [ResponseHead(500, b"Failed", []), ResponseHead(status, b"", [])]
    bodies = [context.large, BodyStream.from_bytes(b"ok")]
    for send, head, body in zip(context.sends, heads, bodies, strict=True):
        send.callback(Ok(Answer(head, body)))


@then("the call is answered with status {status:d}, and the rest of the large answer is read")
def step_large_answer_read(context: Any, status: int) -> None:
    assert context.race.result.result.ok.head.status == status
    assert context.large.attached
