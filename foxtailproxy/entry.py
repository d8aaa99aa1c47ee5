"""Takes requests from callers and sees each one to its end."""

from __future__ import annotations

import math
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
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from foxtailproxy.wire import FIRST_SEND, KEY

if TYPE_CHECKING:
    from foxtailproxy.claims import Claim, Claims
    from foxtailproxy.clock import Clock
    from foxtailproxy.config.rules import Match
    from foxtailproxy.config_sync import ConfigSync
    from foxtailproxy.dispatch import Dispatcher
    from foxtailproxy.http.exchange import ServerExchange
    from foxtailproxy.metrics import Metrics
    from foxtailproxy.models.settings import LimitsSection

log = structlog.get_logger()

LEAVING_RETRY_MS = 500
"""Time after which a caller may come back to a node that is being restarted, in milliseconds."""

DEADLINE_GRACE_MS = 50
"""Time after a call's deadline in which a target's own refusal may still arrive."""

MAX_KEY_LENGTH = 255


REQUEST_REASONS = frozenset((NotRunReason.TOO_DEEP, NotRunReason.BAD_REQUEST))
"""Refusals that the request itself causes, so that it cannot have run before either."""


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
        exchange.on_aborted = self._caller_lost

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
        dispatcher: Dispatcher,
        claims: Claims,
        metrics: Metrics,
        dialect: Dialect,
        log_calls: bool,
    ) -> None:
        self.clock = clock
        self.pending = 0
        self._take_until_ms = math.inf
        self._end_ms = math.inf
        self._limits = limits
        self._config = config
        self._dispatcher = dispatcher
        self._claims = claims
        self._metrics = metrics
        self._log_calls = log_calls
        self._dialect = dialect

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
        finally:
            self.pending -= 1

    def may_overlap(self, head: messages.RequestHead) -> bool:
        """Whether a request may run before those ahead of it on its connection have been answered.

        Only where it may run again: if the connection ends before its answer, it is sent again.
        """
        book = self._config.rule_book
        host = messages.get_header_text(head.headers, b"host")
        path = head.target.partition(b"?")[0].decode("latin-1")
        return book is not None and book.is_idempotent(host, head.method.decode(), path)

    def drain(self, take_until_ms: float, end_ms: float) -> None:
        """The process ends at `end_ms`: from `take_until_ms` take only calls that end before it."""
        self._take_until_ms = take_until_ms
        self._end_ms = end_ms

    def _ends_too_late(self, deadline_ms: float) -> bool:
        return self.clock.now_ms() > self._take_until_ms and deadline_ms > self._end_ms

    def cancel(self, call: Call) -> None:
        """The caller has gone or was told the outcome; stop what may run again."""
        self._dispatcher.cancel(call)

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
            messages.get_header_text(head.headers, b"host"),
            head.target.decode("latin-1"),
            self._config.version()[0],
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
            events.call_ended(call, outcome, elapsed, call.last_choice, self._config.version()[0])

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
        exchange.send_continue()
        try:
            whole = await exchange.body.buffer(self._limits.replay_bytes)
        except HttpError:
            return NotRun(NotRunReason.REQUEST_CUT)
        payload = exchange.body.buffered() if whole else None
        service, rule = match.service, match.rule
        allowed_ms = rule.deadline_ms if request.allowed_ms is None else request.allowed_ms
        if self._ends_too_late(received_ms + min(rule.deadline_ms, allowed_ms)):
            return NotRun(NotRunReason.LEAVING, LEAVING_RETRY_MS)
        return Call(
            head=messages.RequestHead(exchange.head.method, exchange.head.target, request.headers),
            service=service,
            rule=rule,
            tenant=messages.get_header_text(headers, service.tenant_header.encode()),
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
        book = self._config.rule_book
        if book is None:
            return NotRun(NotRunReason.NO_CONFIGURATION)
        host = messages.get_header_text(head.headers, b"host")
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

    async def _dispatch(self, call: Call) -> Outcome:
        book = self._config.rule_book
        if book is None:
            return Error(NotRun(NotRunReason.NO_CONFIGURATION))
        return await self._dispatcher.run(call, book)


def refusal_of(headers: messages.HeaderList, refusal: NotRun) -> NotRun | Unknown:
    """What a caller is told of a request that was refused before its key could be looked up."""
    keyed = messages.get_header(headers, KEY) is not None
    if not keyed or refusal.reason in REQUEST_REASONS:
        return refusal
    return unchecked(messages.get_header(headers, FIRST_SEND) is not None, refusal)
