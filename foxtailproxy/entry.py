"""Takes requests from callers and sees each one to its end."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from expression import Error
from twisted.internet.defer import ensureDeferred

from foxtailproxy import events
from foxtailproxy.call import MAX_DEPTH, Call, new_id
from foxtailproxy.claims import unchecked
from foxtailproxy.clock import cancel_timer
from foxtailproxy.dialect import CallerRequest, Dialect, MalformedCall
from foxtailproxy.http import messages
from foxtailproxy.http.body import DiscardSink
from foxtailproxy.http.errors import HttpError
from foxtailproxy.outcome import (
    Answer,
    CallFailure,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from foxtailproxy.retry_budget import RetryBudgets
from foxtailproxy.routing import LOCAL_ID, Choice, LocalChoice, PeerChoice
from foxtailproxy.wire import FIRST_SEND, KEY

if TYPE_CHECKING:
    from foxtailproxy.claims import Claim, Claims
    from foxtailproxy.clock import Clock
    from foxtailproxy.config.rules import Match
    from foxtailproxy.config_sync import ConfigSync
    from foxtailproxy.http.exchange import ServerExchange
    from foxtailproxy.metrics import Metrics
    from foxtailproxy.models.settings import LimitsSection
    from foxtailproxy.peer_client import PeerClient
    from foxtailproxy.quarantine import Quarantine
    from foxtailproxy.routing import Router
    from foxtailproxy.target import Target

log = structlog.get_logger()

DEADLINE_GRACE_MS = 50
"""Time after a call's deadline in which a target's own refusal may still arrive."""

MAX_KEY_LENGTH = 255

SERVER_ERROR = 500

MOST_REFUSALS = 2
"""Targets without room that are asked for one call; where two have none, the service has none."""

MOST_SENDS = 8
"""Nodes that one call is sent to at most, those that hand it back included."""

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

REQUEST_REASONS = frozenset((NotRunReason.TOO_DEEP, NotRunReason.BAD_REQUEST))
"""Refusals that the request itself causes, so that it cannot have run before either."""

OVERLOAD_REASONS = frozenset(
    (NotRunReason.OVERLOADED, NotRunReason.QUEUE_FULL, NotRunReason.HELD_TOO_LONG)
)
"""Refusals of a target's node that has no room."""

FAULT_REASONS = frozenset(
    (NotRunReason.TARGET_DOWN, NotRunReason.UNREACHABLE, NotRunReason.UPSTREAM_REFUSED)
)
"""Refusals that count against a target's health."""


class PendingCall:
    """A call whose caller waits for the answer."""

    def __init__(self, entry: Entry, exchange: ServerExchange, call: Call) -> None:
        self.call = call
        self._entry = entry
        self._exchange = exchange
        self._started_ms = entry.clock.now_ms()
        self._answered = False
        self._timer = entry.clock.call_later(
            call.remaining_ms(entry.clock) + DEADLINE_GRACE_MS, self._overdue
        )
        exchange.on_lost = self._caller_lost

    def finish(self, outcome: Outcome) -> None:
        """Give the caller the outcome, unless it got another one before."""
        cancel_timer(self._timer)
        if self._answered:
            if outcome.is_ok():
                outcome.ok.body.attach(DiscardSink())
            return
        self._answered = True
        self._entry.note(self.call, outcome, self._started_ms)
        self._entry.respond(self._exchange, self.call, outcome)

    def _overdue(self) -> None:
        self.finish(Error(Unknown(UnknownReason.DEADLINE)))
        self._entry.cancel(self.call)

    def _caller_lost(self) -> None:
        self._entry.cancel(self.call)
        self.finish(Error(Unknown(UnknownReason.CANCELLED)))


class Entry:
    """The way in for callers."""

    def __init__(
        self,
        clock: Clock,
        limits: LimitsSection,
        config: ConfigSync,
        target: Target,
        router: Router,
        peers: PeerClient,
        claims: Claims,
        quarantine: Quarantine,
        metrics: Metrics,
        dialect: Dialect,
        retries: RetryBudgets,
        log_calls: bool,
    ) -> None:
        self.clock = clock
        self.pending = 0
        self._limits = limits
        self._config = config
        self._target = target
        self._router = router
        self._peers = peers
        self._claims = claims
        self._quarantine = quarantine
        self._metrics = metrics
        self._log_calls = log_calls
        self._dialect = dialect
        self._retries = retries
        self._cancelled: set[str] = set()

    async def handle(self, exchange: ServerExchange) -> None:
        """Serve one request of a caller."""
        self.pending += 1
        try:
            call = await self._receive(exchange)
            if isinstance(call, NotRun):
                self._refuse(exchange, call)
                return
            pending = PendingCall(self, exchange, call)
            pending.finish(await self._decide(call))
            self._cancelled.discard(call.attempt_id)
        finally:
            self.pending -= 1

    def cancel(self, call: Call) -> None:
        """The caller has gone or was told the outcome; stop what may run again."""
        self._cancelled.add(call.attempt_id)
        self._target.cancel(call.send_id)
        if call.rule.idempotent:
            self._peers.cancel(call.send_id)

    def _refuse(self, exchange: ServerExchange, refusal: NotRun) -> None:
        """Answer a request that did not become a call."""
        request = self._dialect.read_caller(exchange.head.headers)
        attempt_id, allowed_ms = "", None
        if isinstance(request, CallerRequest):
            attempt_id, allowed_ms = request.attempt_id, request.allowed_ms
        head = exchange.head
        events.call_refused(
            attempt_id,
            refusal.reason,
            messages.get_text(head.headers, b"host"),
            head.target.decode("latin-1"),
            self._config.mark()[0],
        )
        failure = refusal_of(exchange.head.headers, refusal)
        left_ms = refusal.retry_after_ms if allowed_ms is None else allowed_ms
        exchange.respond(*self._dialect.failure(failure, attempt_id or new_id(), left_ms))

    def respond(self, exchange: ServerExchange, call: Call, outcome: Outcome) -> None:
        """Give a caller its outcome."""
        if outcome.is_error():
            left_ms = call.caller_deadline_ms - self.clock.now_ms()
            exchange.respond(*self._dialect.failure(outcome.error, call.attempt_id, left_ms))
            return
        answer: Answer = outcome.ok
        headers = self._dialect.answer_headers(answer.head.headers, call.attempt_id)
        exchange.respond(
            messages.ResponseHead(answer.head.status, answer.head.reason, headers), answer.body
        )

    def note(self, call: Call, outcome: Outcome, started_ms: float) -> None:
        """Count and log a call that has ended."""
        elapsed = self.clock.now_ms() - started_ms
        word = events.outcome_word(outcome)
        self._metrics.record(call.class_key, call.tenant, word, elapsed)
        if self._log_calls:
            events.call_ended(call, outcome, elapsed, call.last_choice, self._config.mark()[0])

    # Receiving

    async def _receive(self, exchange: ServerExchange) -> Call | NotRun:
        headers = exchange.head.headers
        received_ms = self.clock.now_ms()
        match = self._match(exchange.head)
        if isinstance(match, NotRun):
            return match
        request = self._dialect.read_caller(headers)
        if isinstance(request, MalformedCall):
            log.info("call_malformed", what=request.what)
            return NotRun(NotRunReason.BAD_REQUEST)
        if request.depth + 1 > MAX_DEPTH:
            return NotRun(NotRunReason.TOO_DEEP)
        if len(request.key) > MAX_KEY_LENGTH:
            return NotRun(NotRunReason.BAD_REQUEST)
        exchange.accept_body()
        try:
            whole = await exchange.body.buffer(self._limits.replay_bytes)
        except HttpError:
            return NotRun(NotRunReason.REQUEST_CUT)
        payload = exchange.body.held() if whole else None
        service, rule = match.service, match.rule
        allowed_ms = rule.deadline_ms if request.allowed_ms is None else request.allowed_ms
        return Call(
            head=messages.RequestHead(exchange.head.method, exchange.head.target, request.headers),
            service=service,
            rule=rule,
            tenant=messages.get_text(headers, service.tenant_header.encode()),
            deadline_ms=received_ms + min(rule.deadline_ms, allowed_ms),
            caller_deadline_ms=received_ms + allowed_ms,
            received_ms=received_ms,
            depth=request.depth + 1,
            payload=payload,
            stream=exchange.body,
            key="" if rule.idempotent else request.key,
            first_send=request.first_send,
            attempt_id=request.attempt_id or new_id(),
        )

    def _match(self, head: messages.RequestHead) -> Match | NotRun:
        book = self._config.book
        if book is None:
            return NotRun(NotRunReason.NO_CONFIGURATION)
        host = messages.get_text(head.headers, b"host")
        path = head.target.partition(b"?")[0].decode("latin-1")
        match = book.match(host, head.method.decode(), path)
        if match is None:
            return NotRun(NotRunReason.UNKNOWN_SERVICE)
        return match

    # Deciding

    async def _decide(self, call: Call) -> Outcome:
        if not call.key:
            return await self._dispatch(call)
        if call.remaining_ms(self.clock) <= 0:
            return Error(unchecked(call.first_send, NotRun(NotRunReason.DEADLINE)))
        self._metrics.claims += 1
        claimed = await self._claims.take(call)
        if claimed.is_error():
            return claimed.error
        outcome = await self._dispatch(call)
        return await self._share(claimed.ok, outcome)

    async def _share(self, claim: Claim, outcome: Outcome) -> Outcome:
        """Keep a claimed call's outcome for those that send its key again."""
        shared: list[Outcome] = []
        claim.run.wait(shared.append)
        settled = ensureDeferred(self._claims.settle(claim, outcome))
        if not shared:
            await settled
        return shared[0]

    def _blocked(self, call: Call) -> bool:
        book = self._config.book
        if book is None:
            return False
        fleet = book.fleet
        return self._quarantine.blocked(call, fleet.crash_limit, fleet.quarantine_ms)

    async def _dispatch(self, call: Call) -> Outcome:
        """Send a call to one target after another until one answers."""
        if self._blocked(call):
            return Error(NotRun(NotRunReason.QUARANTINED))
        if call.remaining_ms(self.clock) <= 0:
            return Error(NotRun(NotRunReason.DEADLINE))
        book = self._config.book
        assert book is not None
        self._retries.earn(call.service.name)
        call.crashed_upstreams = self._quarantine.crashed_upstreams(call)
        tried: set[str] = set()
        declined: set[str] = set()
        arrivals = 0
        runs = 0
        refusals = 0
        uncertain: Unknown | None = None
        failed_answer: Outcome | None = None
        outcome: Outcome = Error(NotRun(NotRunReason.NO_TARGET))
        for number in range(MOST_SENDS):
            if runs >= call.rule.attempts or refusals >= MOST_REFUSALS:
                break
            if number and not self._may_retry(call, outcome, book.fleet.crash_limit, arrivals):
                break
            choice = self._choose(call, tried, frozenset(declined))
            if choice is None:
                break
            if arrivals:
                self._metrics.retries += 1
            call.terms = choice.terms
            call.send_number = number
            outcome = await self._send(choice, call)
            place = choice.view.member.node_id if isinstance(choice, PeerChoice) else LOCAL_ID
            call.last_choice = choice
            if outcome.is_error() and self._log_calls:
                events.send_failed(call, choice, outcome, call.remaining_ms(self.clock))
            if handed_back(outcome):
                declined.add(place)
                continue
            tried.add(place)
            arrivals += reached_target(outcome)
            runs += may_have_run(outcome)
            refusals += turned_away(outcome)
            if outcome.is_error() and isinstance(outcome.error, Unknown):
                uncertain = outcome.error
                self._note_crash(call, choice, outcome.error)
            elif outcome.is_ok():
                failed_answer = outcome
        if outcome.is_error() and failed_answer is not None:
            # An error that an upstream answered with tells more than a later refusal.
            return failed_answer
        if uncertain is not None and outcome.is_error():
            # One of the attempts may have run, whatever the last one says.
            return Error(uncertain)
        return outcome

    def _choose(self, call: Call, tried: set[str], declined: frozenset[str]) -> Choice | None:
        if call.crashed_upstreams:
            return self._router.choose_for_suspect(call)
        size = len(call.payload or b"") + len(call.head.target)
        left_ms = call.objective_left_ms(self.clock)
        return self._router.choose(call.match, tried, size, declined, left_ms)

    def _may_retry(self, call: Call, outcome: Outcome, crash_limit: int, arrivals: int) -> bool:
        if call.attempt_id in self._cancelled or call.remaining_ms(self.clock) <= 0:
            return False
        if not call.replayable or not retriable(call, outcome) or self._blocked(call):
            return False
        if len(call.crashed_upstreams) >= crash_limit:
            return False
        if call.crashed_upstreams and outcome.is_error() and isinstance(outcome.error, NotRun):
            # Another such request may have crashed the target; the caller may ask again later.
            return False
        # A call that has not reached a target yet is not repeated by being sent to one.
        return not arrivals or self._retries.spend(call.service.name)

    async def _send(self, choice: Choice, call: Call) -> Outcome:
        health = self._router.health_of(choice)
        if isinstance(choice, LocalChoice):
            outcome = await self._run_here(call)
        else:
            choice.view.sent()
            outcome = await self._peers.run(call, choice.view.member)
            choice.view.ended()
        if is_fault(outcome):
            self._router.failed(call.service.name, health)
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

    def _note_crash(self, call: Call, choice: Choice, failure: Unknown) -> None:
        if not failure.crashed:
            return
        name = (
            choice.view.member.node_id if isinstance(choice, PeerChoice) else self._router.node_id
        )
        call.crashed_upstreams = [*call.crashed_upstreams, name]


def refusal_of(headers: messages.HeaderList, refusal: NotRun) -> NotRun | Unknown:
    """What a caller is told of a request that was refused before its key could be looked up."""
    keyed = messages.get_header(headers, KEY) is not None
    if not keyed or refusal.reason in REQUEST_REASONS:
        return refusal
    return unchecked(messages.get_header(headers, FIRST_SEND) is not None, refusal)


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


def may_have_run(outcome: Outcome) -> bool:
    """Whether an upstream may have run the call, which then counts as an attempt."""
    return outcome.is_ok() or isinstance(outcome.error, Unknown)


def turned_away(outcome: Outcome) -> bool:
    """Whether the target's node had no room for the call."""
    return outcome.is_error() and outcome.error.reason in OVERLOAD_REASONS


def reached_target(outcome: Outcome) -> bool:
    """Whether the call may have reached an upstream; each further one is a retry."""
    return may_have_run(outcome) or outcome.error.reason is NotRunReason.UPSTREAM_REFUSED


def is_fault(outcome: Outcome) -> bool:
    """Whether a call ended so through a fault of the target."""
    if outcome.is_ok():
        return outcome.ok.head.status >= SERVER_ERROR
    failure: CallFailure = outcome.error
    if isinstance(failure, NotRun):
        return failure.reason in FAULT_REASONS
    return failure.reason is not UnknownReason.CANCELLED
