"""Sends a call to one target after another until one answers.

A call that may run again is sent to a second target while the first one still runs it, where that
one takes so long that the second would be in time and the first hardly will.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import structlog
from expression import Error
from twisted.internet.defer import Deferred, ensureDeferred

from foxtailproxy import events
from foxtailproxy.clock import cancel_timer
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
    is_fault,
    may_have_run,
    reached_target,
)
from foxtailproxy.routing import LOCAL_ID, Choice, LocalChoice, PeerChoice
from foxtailproxy.terms import NO_TERMS

if TYPE_CHECKING:
    from typing import Any

    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock
    from foxtailproxy.config.rules import RuleBook
    from foxtailproxy.metrics import Metrics
    from foxtailproxy.models.settings import LimitsSection
    from foxtailproxy.peer_client import PeerClient
    from foxtailproxy.quarantine import Quarantine
    from foxtailproxy.retry_budget import RetryBudgets
    from foxtailproxy.routing import Router
    from foxtailproxy.target import Target

log = structlog.get_logger()

MOST_REFUSALS = 2
"""Targets without room that are asked for one call; where two have none, the service has none."""

MOST_SENDS = 10
"""Nodes that one call is sent to at most, those that hand it back included."""

HEDGE_FACTOR = 1.5
"""A call is not sent to a second target before it took so many times its expected time."""

HEDGE_RESERVE = 1.4
"""Usual run times that are left of the objective when a call is sent to a second target."""

FINAL_REASONS = frozenset(
    (
        NotRunReason.DEADLINE,
        NotRunReason.CANCELLED,
        NotRunReason.REQUEST_CUT,
        NotRunReason.QUARANTINED,
        NotRunReason.TOO_DEEP,
    )
)
"""Refusals that another target would not change."""

OVERLOAD_REASONS = frozenset(
    (NotRunReason.OVERLOADED, NotRunReason.QUEUE_FULL, NotRunReason.HELD_TOO_LONG)
)
"""Refusals of a target's node that has no room."""


@dataclass(slots=True)
class Progress:
    """What became of the sends of one call so far.

    `arrivals` counts those that may have reached an upstream, `runs` those that it may have run.
    """

    tried: set[str] = field(default_factory=set)
    declined: set[str] = field(default_factory=set)
    open_by_place: dict[str, Call] = field(default_factory=dict)
    sends: int = 0
    arrivals: int = 0
    runs: int = 0
    refusals: int = 0
    uncertain: Unknown | None = None
    failed_answer: Outcome | None = None

    def note(self, place: str, outcome: Outcome) -> None:
        """A send has ended."""
        del self.open_by_place[place]
        if handed_back(outcome):
            self.declined.add(place)
            return
        self.tried.add(place)
        self.arrivals += reached_target(outcome)
        self.runs += may_have_run(outcome)
        self.refusals += turned_away(outcome)
        if outcome.is_ok():
            self.failed_answer = outcome
        elif isinstance(outcome.error, Unknown):
            self.uncertain = outcome.error

    def final(self, outcome: Outcome) -> Outcome:
        """The outcome of the call, given that of its last send."""
        if outcome.is_error() and self.failed_answer is not None:
            # An error that an upstream answered with tells more than a later refusal.
            return self.failed_answer
        if self.uncertain is not None and outcome.is_error():
            # One of the attempts may have run, whatever the last one says.
            return Error(self.uncertain)
        return outcome


class Race:
    """Sends of one call at the same time: the first answer wins, else the last failure counts."""

    def __init__(self) -> None:
        self.result: Deferred[Outcome] = Deferred()
        self.settled = False
        self._open = 0

    def add(self, send: Deferred[Outcome]) -> None:
        """One more send."""
        self._open += 1
        send.addCallbacks(self._ended, self._failed)

    def _ended(self, outcome: Outcome) -> None:
        self._open -= 1
        answered = outcome.is_ok() and outcome.ok.head.status < SERVER_ERROR
        if self.settled:
            if outcome.is_ok():
                outcome.ok.body.attach(DiscardSink())
        elif answered or not self._open:
            self.settled = True
            self.result.callback(outcome)

    def _failed(self, failure: Any) -> None:
        self._open -= 1
        if self.settled:
            log.error("send_crashed", error=repr(failure.value), trace=failure.getTraceback())
            return
        self.settled = True
        self.result.errback(failure)


class Dispatcher:
    """Chooses targets for the calls of this node's callers and sees the sends to their ends."""

    def __init__(
        self,
        clock: Clock,
        limits: LimitsSection,
        target: Target,
        router: Router,
        peers: PeerClient,
        quarantine: Quarantine,
        retries: RetryBudgets,
        metrics: Metrics,
        log_calls: bool,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._target = target
        self._router = router
        self._peers = peers
        self._quarantine = quarantine
        self._retries = retries
        self._metrics = metrics
        self._log_calls = log_calls
        self._progress_by_attempt: dict[str, Progress] = {}
        self._cancelled: set[str] = set()

    async def run(self, call: Call, book: RuleBook) -> Outcome:
        """Send a call until a target answers it or nothing is left to try."""
        if self._blocked(call, book):
            return Error(NotRun(NotRunReason.QUARANTINED))
        if call.remaining_ms(self._clock) <= 0:
            return Error(NotRun(NotRunReason.DEADLINE))
        self._retries.earn(call.service.name)
        call.crashed_upstreams = self._quarantine.crashed_upstreams(call)
        progress = Progress()
        self._progress_by_attempt[call.attempt_id] = progress
        try:
            return progress.final(await self._try_targets(call, book, progress))
        finally:
            del self._progress_by_attempt[call.attempt_id]
            self._cancelled.discard(call.attempt_id)

    async def _try_targets(self, call: Call, book: RuleBook, progress: Progress) -> Outcome:
        outcome: Outcome = Error(NotRun(NotRunReason.NO_TARGET))
        while progress.sends < MOST_SENDS:
            if progress.runs >= call.rule.attempts or progress.refusals >= MOST_REFUSALS:
                break
            if progress.sends and not self._may_retry(call, outcome, book, progress):
                break
            choice = self._choose(call, progress)
            if choice is None:
                break
            outcome = await self._race(call, choice, progress)
        return outcome

    def cancel(self, call: Call) -> None:
        """The caller has gone or was told the outcome; stop what may run again."""
        progress = self._progress_by_attempt.get(call.attempt_id)
        if progress is not None:
            self._cancelled.add(call.attempt_id)
            self._stop(progress)

    def _stop(self, progress: Progress) -> None:
        for send in list(progress.open_by_place.values()):
            self._target.cancel(send.send_id)
            if send.rule.idempotent:
                self._peers.cancel(send.send_id)

    # Choosing

    def _choose(self, call: Call, progress: Progress) -> Choice | None:
        if call.crashed_upstreams:
            return self._router.choose_for_suspect(call)
        size = len(call.payload or b"") + len(call.head.target)
        left_ms = call.objective_left_ms(self._clock)
        tried = progress.tried | progress.open_by_place.keys()
        return self._router.choose(call.match, tried, size, frozenset(progress.declined), left_ms)

    def _blocked(self, call: Call, book: RuleBook) -> bool:
        fleet = book.fleet
        return self._quarantine.blocked(call, fleet.crash_limit, fleet.quarantine_ms)

    def _may_retry(self, call: Call, outcome: Outcome, book: RuleBook, progress: Progress) -> bool:
        if call.attempt_id in self._cancelled or call.remaining_ms(self._clock) <= 0:
            return False
        if not call.replayable or not retriable(call, outcome) or self._blocked(call, book):
            return False
        if len(call.crashed_upstreams) >= book.fleet.crash_limit:
            return False
        if call.crashed_upstreams and outcome.is_error() and isinstance(outcome.error, NotRun):
            # Another such request may have crashed the target; the caller may ask again later.
            return False
        # A call that has not reached a target yet is not repeated by being sent to one.
        return not progress.arrivals or self._spend_retry(call)

    def _spend_retry(self, call: Call) -> bool:
        if not self._retries.spend(call.service.name):
            return False
        self._metrics.retries += 1
        return True

    # Sending

    async def _race(self, call: Call, choice: Choice, progress: Progress) -> Outcome:
        """Send a call, and to a second target as well where the first one takes too long."""
        race = Race()
        race.add(self._begin(call, choice, progress))
        delay_ms = self._hedge_delay_ms(call, choice)
        timer = None
        if delay_ms is not None and not race.settled:
            timer = self._clock.call_later(delay_ms, self._hedge, call, progress, race)
        try:
            return await race.result
        finally:
            cancel_timer(timer)
            self._stop(progress)

    def _hedge_delay_ms(self, call: Call, choice: Choice) -> float | None:
        """When a second target is to get the call, in ms from now; `None` for never."""
        if not call.rule.idempotent or not call.rule.objective_ms or not call.replayable:
            return None
        if call.crashed_upstreams or call.rule.attempts < 2 or not choice.basis.usual_ms:
            return None
        spare_ms = call.objective_left_ms(self._clock) - HEDGE_RESERVE * choice.basis.usual_ms
        delay_ms = max(HEDGE_FACTOR * choice.basis.expected_ms, spare_ms)
        return delay_ms if delay_ms < call.remaining_ms(self._clock) else None

    def _hedge(self, call: Call, progress: Progress, race: Race) -> None:
        if race.settled or not progress.open_by_place or progress.sends >= MOST_SENDS:
            return
        if progress.runs + len(progress.open_by_place) >= call.rule.attempts:
            return
        choice = self._choose(call, progress)
        if choice is None or not self._spend_retry(call):
            return
        events.call_hedged(call, choice, call.remaining_ms(self._clock))
        race.add(self._begin(call, choice, progress))

    def _begin(self, call: Call, choice: Choice, progress: Progress) -> Deferred[Outcome]:
        place = place_of(choice)
        last = progress.sends == MOST_SENDS - 1
        terms = NO_TERMS if last else choice.terms
        send = replace(call, send_number=progress.sends, terms=terms)
        progress.sends += 1
        progress.open_by_place[place] = send
        call.last_choice = choice
        call.send_number = send.send_number
        return ensureDeferred(self._follow(call, send, choice, progress))

    async def _follow(self, call: Call, send: Call, choice: Choice, progress: Progress) -> Outcome:
        outcome = await self._send(choice, send)
        progress.note(place_of(choice), outcome)
        if outcome.is_error() and self._log_calls:
            events.send_failed(send, choice, outcome, send.remaining_ms(self._clock))
        if outcome.is_error() and isinstance(outcome.error, Unknown) and outcome.error.crashed:
            name = place_of(choice) or self._router.node_id
            call.crashed_upstreams = [*call.crashed_upstreams, name]
        return outcome

    async def _send(self, choice: Choice, call: Call) -> Outcome:
        health = self._router.health_of(choice)
        if isinstance(choice, LocalChoice):
            outcome = await self._run_here(call)
        else:
            choice.view.sent()
            outcome = await self._peers.send_call(call, choice.view.member)
            choice.view.ended()
        if is_fault(outcome):
            weight = UNREACHABLE_WEIGHT if unreachable(outcome) else 1
            self._router.failed(call.service.name, health, weight)
        elif outcome.is_ok():
            health.success()
            self._router.answered(call.class_key, outcome.ok.body.size)
            self._quarantine.completed(call)
        return outcome

    async def _run_here(self, call: Call) -> Outcome:
        outcome = await self._target.run(call)
        if outcome.is_error():
            return outcome
        try:
            await outcome.ok.body.buffer(self._limits.replay_bytes)
        except HttpError:
            return Error(Unknown(UnknownReason.ANSWER_CUT))
        return outcome


def place_of(choice: Choice) -> str:
    """The node beside the chosen target; `LOCAL_ID` for the own one."""
    return choice.view.member.node_id if isinstance(choice, PeerChoice) else LOCAL_ID


def retriable(call: Call, outcome: Outcome) -> bool:
    """Whether a call that ended so may be sent to another target."""
    if outcome.is_ok():
        answer: Answer = outcome.ok
        return call.rule.idempotent and answer.head.status >= SERVER_ERROR and answer.body.ended
    failure: CallFailure = outcome.error
    if isinstance(failure, NotRun):
        return failure.reason not in FINAL_REASONS
    return call.rule.idempotent and failure.reason is not UnknownReason.DEADLINE


def handed_back(outcome: Outcome) -> bool:
    """Whether a target gave the call back since another one is faster now."""
    return outcome.is_error() and outcome.error.reason is NotRunReason.FASTER_ELSEWHERE


def unreachable(outcome: Outcome) -> bool:
    """Whether no connection to the target's node opened."""
    return outcome.is_error() and outcome.error.reason is NotRunReason.UNREACHABLE


def turned_away(outcome: Outcome) -> bool:
    """Whether the target's node had no room for the call."""
    return outcome.is_error() and outcome.error.reason in OVERLOAD_REASONS
