"""Dispatch of a call to one target after another until one answers.

An idempotent call is hedged, that is sent to a second target while the first one still runs it, if
the first takes so long that it will hardly meet the objective, while the second still would.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import structlog
from expression import Error
from twisted.internet.defer import Deferred, ensureDeferred

from foxtailproxy import events
from foxtailproxy.clock import AWAKE_MS, cancel_timer
from foxtailproxy.constraints.regions import outcome_in_regions
from foxtailproxy.ejection import UNREACHABLE_WEIGHT
from foxtailproxy.http.body import DiscardSink
from foxtailproxy.http.errors import HttpError
from foxtailproxy.outcome import (
    SERVER_ERROR,
    Answer,
    CallFailure,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
    is_target_fault,
    may_have_run,
    reached_upstream,
)
from foxtailproxy.routing import LOCAL_ID, Choice, LocalChoice, PeerChoice
from foxtailproxy.target_policy import RUN_AT_ONCE
from foxtailproxy.target_side.inner_calls import is_inner

if TYPE_CHECKING:
    from typing import Any

    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock
    from foxtailproxy.config.rules import RuleBook
    from foxtailproxy.metrics import Metrics
    from foxtailproxy.models.settings import LimitsSection
    from foxtailproxy.peer_client import PeerClient
    from foxtailproxy.placement import Placement
    from foxtailproxy.quarantine import Quarantine
    from foxtailproxy.retry_budget import RetryBudgets
    from foxtailproxy.routing import Router
    from foxtailproxy.target import Target

log = structlog.get_logger()

MAX_REJECTIONS = 2
"""Maximum rejections of one call for lack of room: if two targets are full, the service is full."""

MAX_INNER_REJECTIONS = 4
"""The same for an inner call, whose loss makes the request fail that an upstream runs already."""

MAX_REFUSING_TARGETS = 4
"""Maximum number of targets that one call tries although they refuse all calls: if four of a few
chosen ones do, hardly any other is left."""

MAX_SENDS = 10
"""Maximum sends of one call, including those that a target declines."""

HEDGE_FACTOR = 1.5
"""Minimum delay before a call is hedged, as a multiple of its expected time."""

HEDGE_RESERVE = 1.4
"""Time left of the objective when a call is hedged, as a multiple of its usual run time."""

FINAL_REASONS = frozenset(
    (
        NotRunReason.DEADLINE,
        NotRunReason.CANCELLED,
        NotRunReason.REQUEST_CUT,
        NotRunReason.QUARANTINED,
        NotRunReason.TOO_DEEP,
    )
)
"""Not-run reasons that would be the same at another target."""

OVERLOAD_REASONS = frozenset(
    (
        NotRunReason.OVERLOADED,
        NotRunReason.QUEUE_FULL,
        NotRunReason.HELD_TOO_LONG,
        NotRunReason.COLD,
    )
)
"""Reasons for which a target's node without room rejects a call."""


@dataclass(slots=True)
class CallProgress:
    """State of the sends of one call.

    `open_by_target` holds the sends that have not ended, by the id of their target. `reached_count`
    counts the ended sends that may have reached an upstream, `possible_runs` those that it may have
    run, `rejections` those rejected for lack of room, `refusals` those at targets that refuse all
    calls. `cancelled` tells whether the caller left.
    """

    tried_ids: set[str] = field(default_factory=set)
    declined_ids: set[str] = field(default_factory=set)
    open_by_target: dict[str, Call] = field(default_factory=dict)
    sends: int = 0
    reached_count: int = 0
    possible_runs: int = 0
    rejections: int = 0
    refusals: int = 0
    cancelled: bool = False
    unknown_failure: Unknown | None = None
    error_answer: Outcome | None = None

    def record_end(self, target_id: str, outcome: Outcome) -> None:
        """Record the outcome of a send that has ended."""
        del self.open_by_target[target_id]
        if is_declined(outcome):
            self.declined_ids.add(target_id)
            return
        self.tried_ids.add(target_id)
        self.reached_count += reached_upstream(outcome)
        self.possible_runs += may_have_run(outcome)
        self.rejections += is_overload_rejection(outcome)
        self.refusals += is_refusing(outcome)
        if outcome.is_error():
            if isinstance(outcome.error, Unknown):
                self.unknown_failure = outcome.error
        elif not settles_call(outcome):
            self._record_error_answer(outcome)

    def _record_error_answer(self, outcome: Outcome) -> None:
        if outcome.ok.body.ended:
            self.error_answer = outcome
        else:
            # The rest of an answer that is still arriving is not kept for later.
            self.unknown_failure = Unknown(UnknownReason.ANSWER_CUT)

    def final_outcome(self, outcome: Outcome) -> Outcome:
        """Return the outcome of the call, given that of its last send."""
        if outcome.is_error() and self.error_answer is not None:
            # An upstream's error answer tells more than a later rejection.
            return self.error_answer
        if self.unknown_failure is not None and outcome.is_error():
            # One of the sends may have run, whatever the outcome of the last one.
            return Error(self.unknown_failure)
        return outcome


class Race:
    """Concurrent sends of one call: the first answer wins, otherwise the last failure counts."""

    def __init__(self) -> None:
        self.result: Deferred[Outcome] = Deferred()
        self.settled = False
        self._open_count = 0

    def add(self, send: Deferred[Outcome]) -> None:
        """Add a send."""
        self._open_count += 1
        send.addCallbacks(self._on_outcome, self._on_failure)

    def _on_outcome(self, outcome: Outcome) -> None:
        self._open_count -= 1
        if not self.settled and (settles_call(outcome) or not self._open_count):
            self.settled = True
            self.result.callback(outcome)
        elif outcome.is_ok() and not outcome.ok.body.ended:
            # An answer that is still arriving holds a slot of its target until it has been read. A
            # complete one does not, and the call may still end with it.
            outcome.ok.body.attach(DiscardSink())

    def _on_failure(self, failure: Any) -> None:
        self._open_count -= 1
        if self.settled:
            log.error(
                "unhandled_send_error", error=repr(failure.value), traceback=failure.getTraceback()
            )
            return
        self.settled = True
        self.result.errback(failure)


class Dispatcher:
    """Choice of targets, retries and hedged sends for the calls of this node's callers."""

    def __init__(
        self,
        clock: Clock,
        limits: LimitsSection,
        target: Target,
        router: Router,
        placement: Placement,
        peers: PeerClient,
        quarantine: Quarantine,
        retry_budgets: RetryBudgets,
        metrics: Metrics,
        log_calls: bool,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._target = target
        self._router = router
        self._placement = placement
        self._peers = peers
        self._quarantine = quarantine
        self._retry_budgets = retry_budgets
        self._metrics = metrics
        self._log_calls = log_calls
        self._progress_by_call: dict[Call, CallProgress] = {}

    async def run(self, call: Call, rule_book: RuleBook) -> Outcome:
        """Send a call until a target answers it or no target is left to try; return its outcome."""
        if self._is_quarantined(call, rule_book):
            return Error(NotRun(NotRunReason.QUARANTINED))
        if call.remaining_ms(self._clock) <= 0:
            return Error(NotRun(NotRunReason.DEADLINE))
        self._retry_budgets.deposit(call.service.name)
        call.crashed_upstreams = self._quarantine.crashed_upstreams(call)
        progress = CallProgress()
        self._progress_by_call[call] = progress
        try:
            outcome = await self._try_targets(call, rule_book, progress)
            return progress.final_outcome(outcome_in_regions(call, outcome, self._metrics))
        finally:
            del self._progress_by_call[call]

    async def _try_targets(
        self, call: Call, rule_book: RuleBook, progress: CallProgress
    ) -> Outcome:
        outcome: Outcome = Error(NotRun(NotRunReason.NO_TARGET))
        max_rejections = MAX_INNER_REJECTIONS if is_inner(call) else MAX_REJECTIONS
        while progress.sends < MAX_SENDS:
            if (
                progress.possible_runs >= call.rule.attempts
                or progress.rejections >= max_rejections
                or progress.refusals >= MAX_REFUSING_TARGETS
            ):
                break
            if progress.sends and not self._may_retry(call, outcome, rule_book, progress):
                break
            choice = await self._choose_target(call, progress)
            if choice is None:
                break
            if progress.cancelled:
                outcome = Error(NotRun(NotRunReason.CANCELLED))
                break
            outcome = await self._send_hedged(call, choice, progress)
        return outcome

    def cancel(self, call: Call) -> None:
        """Cancel the open sends of a call whose caller has disconnected or has got the outcome.

        The call is not retried. A send that runs at the local target, or that has been sent to a
        peer, is cancelled only if the call is idempotent.
        """
        progress = self._progress_by_call.get(call)
        if progress is not None:
            progress.cancelled = True
            self._cancel_open_sends(progress)

    def _cancel_open_sends(self, progress: CallProgress) -> None:
        for send in list(progress.open_by_target.values()):
            self._target.cancel(send.send_id)
            if send.rule.idempotent:
                self._peers.cancel(send.send_id)
            else:
                self._peers.withdraw(send.send_id)

    # Choosing

    async def _choose_target(self, call: Call, progress: CallProgress) -> Choice | None:
        if call.crashed_upstreams:
            return self._router.choose_for_suspect(call)
        request_bytes = len(call.payload or b"") + len(call.head.target)
        objective_left_ms = call.objective_left_ms(self._clock)
        tried_ids = progress.tried_ids | progress.open_by_target.keys()
        return await self._placement.choose(
            call.match,
            tried_ids,
            request_bytes,
            frozenset(progress.declined_ids),
            objective_left_ms,
            is_first=not progress.sends,
        )

    def _is_quarantined(self, call: Call, rule_book: RuleBook) -> bool:
        fleet = rule_book.fleet
        return self._quarantine.is_quarantined(call, fleet.crash_limit, fleet.quarantine_ms)

    def _may_retry(
        self, call: Call, outcome: Outcome, rule_book: RuleBook, progress: CallProgress
    ) -> bool:
        if progress.cancelled or call.remaining_ms(self._clock) <= 0:
            return False
        if (
            not call.replayable
            or not retriable(call, outcome)
            or self._is_quarantined(call, rule_book)
        ):
            return False
        if len(call.crashed_upstreams) >= rule_book.fleet.crash_limit:
            return False
        if call.crashed_upstreams and outcome.is_error() and isinstance(outcome.error, NotRun):
            # Another suspect request may have crashed the target; the caller may try again later.
            return False
        # A further send is a retry only if an earlier one may have reached an upstream.
        return not progress.reached_count or self._spend_retry(call)

    def _spend_retry(self, call: Call) -> bool:
        if not self._retry_budgets.try_withdraw(call.service.name):
            return False
        self._metrics.retries += 1
        return True

    # Sending

    async def _send_hedged(self, call: Call, choice: Choice, progress: CallProgress) -> Outcome:
        """Send a call, and hedge it with a second target if the first one takes too long."""
        race = Race()
        race.add(self._start_send(call, choice, progress))
        delay_ms = self._hedge_delay_ms(call, choice)
        timer = None
        if delay_ms is not None and not race.settled:
            due_ms = self._clock.now_ms() + delay_ms
            timer = self._clock.call_later(
                delay_ms, self._begin_hedge, call, progress, race, due_ms
            )
        try:
            return await race.result
        finally:
            cancel_timer(timer)
            self._cancel_open_sends(progress)

    def _hedge_delay_ms(self, call: Call, choice: Choice) -> float | None:
        """Return the delay in ms after which the call is hedged; `None` if it must not be."""
        if not call.rule.idempotent or not call.rule.objective_ms or not call.replayable:
            return None
        if call.crashed_upstreams or call.rule.attempts < 2 or not choice.estimate.usual_ms:
            return None
        spare_ms = call.objective_left_ms(self._clock) - HEDGE_RESERVE * choice.estimate.usual_ms
        delay_ms = max(HEDGE_FACTOR * choice.estimate.expected_ms, spare_ms)
        return delay_ms if delay_ms < call.remaining_ms(self._clock) else None

    def _begin_hedge(self, call: Call, progress: CallProgress, race: Race, due_ms: float) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - due_ms > AWAKE_MS:
            # After a suspension, an answer that arrived meanwhile is read first.
            due_ms = now_ms + AWAKE_MS
            self._clock.call_later(AWAKE_MS, self._begin_hedge, call, progress, race, due_ms)
        elif self._may_hedge(call, progress, race):
            ensureDeferred(self._hedge(call, progress, race))  # type: ignore[arg-type]

    def _may_hedge(self, call: Call, progress: CallProgress, race: Race) -> bool:
        if race.settled or not progress.open_by_target or progress.sends >= MAX_SENDS:
            return False
        return progress.possible_runs + len(progress.open_by_target) < call.rule.attempts

    async def _hedge(self, call: Call, progress: CallProgress, race: Race) -> None:
        choice = await self._choose_target(call, progress)
        # The first send may have ended during the choice.
        if choice is None or not self._may_hedge(call, progress, race):
            return
        if not self._spend_retry(call):
            return
        events.call_hedged(call, choice, call.remaining_ms(self._clock))
        race.add(self._start_send(call, choice, progress))

    def _start_send(self, call: Call, choice: Choice, progress: CallProgress) -> Deferred[Outcome]:
        target_id = target_id_of(choice)
        is_last_send = progress.sends == MAX_SENDS - 1
        decline_policy = RUN_AT_ONCE if is_last_send else choice.decline_policy
        send = replace(call, send_number=progress.sends, decline_policy=decline_policy)
        progress.sends += 1
        progress.open_by_target[target_id] = send
        call.last_choice = choice
        call.send_number = send.send_number
        return ensureDeferred(self._send_and_record(call, send, choice, progress))

    async def _send_and_record(
        self, call: Call, send: Call, choice: Choice, progress: CallProgress
    ) -> Outcome:
        outcome = await self._send(choice, send)
        progress.record_end(target_id_of(choice), outcome)
        if self._log_calls and not settles_call(outcome):
            events.send_failed(send, choice, outcome, send.remaining_ms(self._clock))
        if outcome.is_error() and isinstance(outcome.error, Unknown) and outcome.error.crashed:
            node_id = target_id_of(choice) or self._router.node_id
            call.crashed_upstreams = [*call.crashed_upstreams, node_id]
        return outcome

    async def _send(self, choice: Choice, call: Call) -> Outcome:
        health = self._router.health_of(choice)
        if isinstance(choice, LocalChoice):
            outcome = await self._run_locally(call)
        else:
            choice.view.begin_send()
            outcome = await self._peers.send_call(call, choice.view.member)
            choice.view.end_send()
        if is_target_fault(outcome):
            weight = UNREACHABLE_WEIGHT if is_unreachable(outcome) else 1
            self._router.record_failure(call.service.name, health, weight)
        elif outcome.is_ok():
            health.record_success()
            self._router.record_answer_size(call.class_key, outcome.ok.body.size)
            self._quarantine.record_completion(call)
        return outcome

    async def _run_locally(self, call: Call) -> Outcome:
        outcome = await self._target.run(call)
        if outcome.is_error():
            return outcome
        try:
            await outcome.ok.body.buffer(self._limits.replay_bytes)
        except HttpError:
            return Error(Unknown(UnknownReason.ANSWER_CUT))
        return outcome


def target_id_of(choice: Choice) -> str:
    """Return the id of the node beside the chosen target; `LOCAL_ID` for the local target."""
    return choice.view.member.node_id if isinstance(choice, PeerChoice) else LOCAL_ID


def retriable(call: Call, outcome: Outcome) -> bool:
    """Return whether a call with this outcome may be sent to another target."""
    if outcome.is_ok():
        answer: Answer = outcome.ok
        return call.rule.idempotent and answer.head.status >= SERVER_ERROR and answer.body.ended
    failure: CallFailure = outcome.error
    if isinstance(failure, NotRun):
        return failure.reason not in FINAL_REASONS
    return call.rule.idempotent and failure.reason is not UnknownReason.DEADLINE


def settles_call(outcome: Outcome) -> bool:
    """Return whether a call ends with an outcome, that is an answer other than a server error."""
    return outcome.is_ok() and outcome.ok.head.status < SERVER_ERROR


def is_declined(outcome: Outcome) -> bool:
    """Return whether a target declined the call because another one is faster now."""
    return outcome.is_error() and outcome.error.reason is NotRunReason.FASTER_ELSEWHERE


def is_unreachable(outcome: Outcome) -> bool:
    """Return whether no connection to the target's node could be opened."""
    return outcome.is_error() and outcome.error.reason is NotRunReason.UNREACHABLE


def is_overload_rejection(outcome: Outcome) -> bool:
    """Return whether the target's node rejected the call for lack of room."""
    return outcome.is_error() and outcome.error.reason in OVERLOAD_REASONS


def is_refusing(outcome: Outcome) -> bool:
    """Return whether the target's node rejected the call since its upstream refuses all calls."""
    return outcome.is_error() and outcome.error.reason is NotRunReason.REFUSING
