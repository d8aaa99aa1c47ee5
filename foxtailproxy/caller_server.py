"""The handler for requests from callers: reads each one as a call and returns its outcome."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog
from expression import Error
from twisted.internet.defer import ensureDeferred

from foxtailproxy import events
from foxtailproxy.call import MAX_DEPTH, Call, new_id
from foxtailproxy.claims import unchecked_key_failure
from foxtailproxy.clock import AWAKE_MS, cancel_timer
from foxtailproxy.customers.authentication import Authentication, Identified
from foxtailproxy.dialect import CallerRequest, Dialect, MalformedCall
from foxtailproxy.http import messages
from foxtailproxy.http.body import BodyStream, DiscardSink
from foxtailproxy.http.errors import HttpError
from foxtailproxy.outcome import (
    Answer,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from foxtailproxy.wire import FIRST_SEND_HEADER, KEY_HEADER

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.claims import Claim, Claims
    from foxtailproxy.clock import Clock
    from foxtailproxy.config.rules import Match, RuleBook
    from foxtailproxy.config_sync import ConfigSync
    from foxtailproxy.customers.allowance_client import Allowances
    from foxtailproxy.customers.authentication import NoCustomer
    from foxtailproxy.customers.freshness import ConfigFreshness
    from foxtailproxy.dispatch import Dispatcher
    from foxtailproxy.http.exchange import ServerExchange
    from foxtailproxy.metrics import Metrics
    from foxtailproxy.models.settings import LimitsSection

log = structlog.get_logger()

LEAVING_RETRY_MS = 500
"""Time after which a caller may retry at a node that is being restarted, in milliseconds."""

DEADLINE_GRACE_MS = 50
"""Time after a call's deadline within which the target's own rejection may still arrive, in
milliseconds."""

MAX_KEY_LENGTH = 255


INVALID_REQUEST_REASONS = frozenset((NotRunReason.TOO_DEEP, NotRunReason.BAD_REQUEST))
"""Reasons that lie in the request itself, so that an earlier send of it cannot have run either."""


class PendingCall:
    """A call whose caller is waiting for the outcome."""

    def __init__(self, caller_server: CallerServer, exchange: ServerExchange, call: Call) -> None:
        self.call = call
        self._server = caller_server
        self._exchange = exchange
        self._started_ms = caller_server.clock.now_ms() - exchange.unread_ms
        self._responded = False
        self._answer_body: BodyStream | None = None
        delay_ms = max(0.0, call.remaining_ms(caller_server.clock) + DEADLINE_GRACE_MS)
        self._last_wait_ms = min(AWAKE_MS, delay_ms)
        self._timer = caller_server.clock.call_later(
            delay_ms - self._last_wait_ms, self._deadline_near
        )
        exchange.on_aborted = self._caller_disconnected

    def finish(self, outcome: Outcome) -> None:
        """Send the outcome to the caller, unless an earlier one has been sent."""
        cancel_timer(self._timer)
        if self._responded:
            if outcome.is_ok():
                outcome.ok.body.attach(DiscardSink())
            return
        self._responded = True
        if outcome.is_ok():
            self._answer_body = outcome.ok.body
        self._server.record_outcome(self._exchange, self.call, outcome, self._started_ms)
        self._server.respond(self._exchange, self.call, outcome)

    def _deadline_near(self) -> None:
        # After a suspension, an answer that arrived meanwhile is read before the call is given up.
        self._timer = self._server.clock.call_later(self._last_wait_ms, self._deadline_passed)

    def _deadline_passed(self) -> None:
        self.finish(Error(Unknown(UnknownReason.DEADLINE)))
        self._server.cancel(self.call)

    def _caller_disconnected(self) -> None:
        self._server.cancel(self.call)
        self.finish(Error(Unknown(UnknownReason.CANCELLED)))
        if self._answer_body is not None and self.call.rule.idempotent:
            self._answer_body.cancel()


class CallerServer:
    """The request handler for callers."""

    def __init__(
        self,
        clock: Clock,
        limits: LimitsSection,
        config_sync: ConfigSync,
        dispatcher: Dispatcher,
        claims: Claims,
        metrics: Metrics,
        dialect: Dialect,
        log_calls: bool,
        freshness: ConfigFreshness | None = None,
        allowances: Allowances | None = None,
    ) -> None:
        self.clock = clock
        self.pending = 0
        self.inner_depth_of: Callable[[str], int] = lambda attempt_id: 0
        self._accept_all_until_ms = math.inf
        self._stop_ms = math.inf
        self._limits = limits
        self._config_sync = config_sync
        self._dispatcher = dispatcher
        self._claims = claims
        self._metrics = metrics
        self._log_calls = log_calls
        self._dialect = dialect
        self._authentication = Authentication(metrics.authentications, freshness)
        self._allowances = allowances
        self._drawing: set[Call] = set()

    async def handle(self, exchange: ServerExchange) -> None:
        """Handle one request from a caller."""
        self.pending += 1
        try:
            call = await self._receive(exchange)
            if isinstance(call, NotRun):
                self._reject(exchange, call)
                return
            pending = PendingCall(self, exchange, call)
            pending.finish(await self._execute(call, exchange.head.headers))
        finally:
            self.pending -= 1

    def may_overlap(self, head: messages.RequestHead) -> bool:
        """Return whether a request may run before earlier ones on its connection are answered.

        This holds only for one that may run again: if the connection ends before its answer, the
        caller sends it again.
        """
        rule_book = self._config_sync.rule_book
        host = messages.get_header_text(head.headers, b"host")
        path = head.target.partition(b"?")[0].decode("latin-1")
        return rule_book is not None and rule_book.is_idempotent(host, head.method.decode(), path)

    def drain(self, accept_all_until_ms: float, stop_ms: float) -> None:
        """Reject calls whose deadline is after `stop_ms`, the time at which the process stops.

        Until `accept_all_until_ms`, calls are accepted whatever their deadline.
        """
        self._accept_all_until_ms = accept_all_until_ms
        self._stop_ms = stop_ms

    def _outlasts_shutdown(self, deadline_ms: float) -> bool:
        return self.clock.now_ms() > self._accept_all_until_ms and deadline_ms > self._stop_ms

    def cancel(self, call: Call) -> None:
        """Cancel the sends that may run again; the caller is gone or already has an outcome."""
        self._drawing.discard(call)
        self._dispatcher.cancel(call)

    def _reject(self, exchange: ServerExchange, rejection: NotRun) -> None:
        """Respond to a request that was rejected before it became a call."""
        request = self._dialect.read_caller_request(exchange.head.headers)
        attempt_id, timeout_ms = "", None
        if isinstance(request, CallerRequest):
            attempt_id, timeout_ms = request.attempt_id, request.timeout_ms
        head = exchange.head
        events.call_refused(
            attempt_id,
            rejection.reason,
            messages.get_header_text(head.headers, b"host"),
            head.target.decode("latin-1"),
            self._config_sync.version()[0],
        )
        failure = failure_for_caller(exchange.head.headers, rejection)
        remaining_ms = rejection.retry_after_ms if timeout_ms is None else timeout_ms
        exchange.respond(
            *self._dialect.failure_response(failure, attempt_id or new_id(), remaining_ms)
        )

    def respond(self, exchange: ServerExchange, call: Call, outcome: Outcome) -> None:
        """Send the outcome of a call to its caller."""
        if outcome.is_error():
            remaining_ms = call.caller_deadline_ms - self.clock.now_ms()
            exchange.respond(
                *self._dialect.failure_response(outcome.error, call.attempt_id, remaining_ms)
            )
            return
        answer: Answer = outcome.ok
        headers = self._dialect.answer_headers(answer.head.headers, call.attempt_id)
        exchange.on_response_failed = lambda error: events.response_cut(
            call.attempt_id, answer.body.size, type(error).__name__
        )
        exchange.respond(
            messages.ResponseHead(answer.head.status, answer.head.reason, headers), answer.body
        )

    def record_outcome(
        self, exchange: ServerExchange, call: Call, outcome: Outcome, started_ms: float
    ) -> None:
        """Record a call that has ended in the metrics and the log."""
        elapsed_ms = self.clock.now_ms() - started_ms
        outcome_label = events.outcome_label(outcome)
        self._metrics.record(call.class_key, call.tenant, outcome_label, elapsed_ms)
        if self._log_calls:
            rule_book = self._config_sync.rule_book
            events.call_ended(
                exchange,
                call,
                outcome,
                elapsed_ms,
                call.last_choice,
                self._config_sync.version()[0],
                call.tenant if rule_book is not None and rule_book.directory else "",
            )

    # Reading requests

    async def _receive(self, exchange: ServerExchange) -> Call | NotRun:
        headers = exchange.head.headers
        received_ms = self.clock.now_ms() - exchange.unread_ms
        request = self._dialect.read_caller_request(headers)
        attempt_id = request.attempt_id if isinstance(request, CallerRequest) else ""
        rule_book = self._config_sync.rule_book
        entry = self._decide(exchange.head, attempt_id)
        if isinstance(entry, NotRun):
            return entry
        if isinstance(request, MalformedCall):
            log.info("call_malformed", problem=request.problem)
            return NotRun(NotRunReason.BAD_REQUEST)
        if request.depth + 1 > MAX_DEPTH:
            return NotRun(NotRunReason.TOO_DEEP)
        if len(request.key) > MAX_KEY_LENGTH:
            return NotRun(NotRunReason.BAD_REQUEST)
        exchange.send_continue()
        try:
            buffered = await exchange.body.buffer(self._limits.replay_bytes)
        except HttpError:
            return NotRun(NotRunReason.REQUEST_CUT)
        if exchange.client_left:
            return NotRun(NotRunReason.CANCELLED)
        payload = exchange.body.buffered() if buffered else None
        if self._needs_new_decision(rule_book):
            entry = self._decide(exchange.head, attempt_id)
            if isinstance(entry, NotRun):
                return entry
        service, rule = entry.match.service, entry.match.rule
        tenant, forwarded_headers = self._identify(entry, headers, request.headers)
        timeout_ms = rule.deadline_ms if request.timeout_ms is None else request.timeout_ms
        if self._outlasts_shutdown(received_ms + min(rule.deadline_ms, timeout_ms)):
            return NotRun(NotRunReason.LEAVING, LEAVING_RETRY_MS)
        return Call(
            head=messages.RequestHead(
                exchange.head.method, exchange.head.target, forwarded_headers
            ),
            service=service,
            rule=rule,
            tenant=tenant,
            deadline_ms=received_ms + min(rule.deadline_ms, timeout_ms),
            caller_deadline_ms=received_ms + timeout_ms,
            received_ms=received_ms,
            depth=max(request.depth + 1, self.inner_depth_of(request.attempt_id)),
            payload=payload,
            stream=exchange.body,
            key="" if rule.idempotent else request.key,
            first_send=request.first_send,
            customer=entry.customer if isinstance(entry, Identified) else None,
            attempt_id=request.attempt_id or new_id(),
        )

    def _match_rule(self, head: messages.RequestHead) -> Match | NotRun:
        rule_book = self._config_sync.rule_book
        if rule_book is None:
            return NotRun(NotRunReason.NO_CONFIGURATION)
        host = messages.get_header_text(head.headers, b"host")
        path = head.target.partition(b"?")[0].decode("latin-1")
        match = rule_book.match(host, head.method.decode(), path)
        if match is None:
            return NotRun(NotRunReason.UNKNOWN_SERVICE)
        return match

    def _decide(
        self, head: messages.RequestHead, attempt_id: str
    ) -> Identified | NoCustomer | NotRun:
        """Return the rules and the customer of a request by the configuration in force."""
        match = self._match_rule(head)
        rule_book = self._config_sync.rule_book
        if isinstance(match, NotRun) or rule_book is None:
            return match if isinstance(match, NotRun) else NotRun(NotRunReason.NO_CONFIGURATION)
        return self._authentication.decide(rule_book, match, head.headers, attempt_id)

    def _needs_new_decision(self, earlier: RuleBook | None) -> bool:
        """Return whether a decision by `earlier` may rest on a key that has been withdrawn."""
        current = self._config_sync.rule_book
        if current is earlier or current is None or earlier is None:
            return False
        return bool(current.directory or earlier.directory)

    def _identify(
        self,
        entry: Identified | NoCustomer,
        headers: messages.HeaderList,
        forwarded_headers: messages.HeaderList,
    ) -> tuple[str, messages.HeaderList]:
        """Return the tenant of a request, and the headers to forward."""
        service, rule_book = entry.match.service, self._config_sync.rule_book
        if rule_book is None or not rule_book.directory:
            tenant = messages.get_header_text(headers, service.tenant_header.encode())
            return tenant, forwarded_headers
        customer = entry.customer.name if isinstance(entry, Identified) else ""
        return customer, self._dialect.identified_headers(forwarded_headers, service, customer)

    # Running calls

    async def _execute(self, call: Call, headers: messages.HeaderList) -> Outcome:
        if not call.key:
            return await self._dispatch(call)
        if call.remaining_ms(self.clock) <= 0:
            return Error(unchecked_key_failure(call.first_send, NotRun(NotRunReason.DEADLINE)))
        self._metrics.claims += 1
        rule_book = self._config_sync.rule_book
        claimed = await self._claims.acquire(call)
        if claimed.is_error():
            return claimed.error
        rejection = None
        if self._needs_new_decision(rule_book):
            rejection = self._rejection_by_key(call, headers)
        outcome = await self._dispatch(call) if rejection is None else Error(rejection)
        return await self._settle_claim(claimed.ok, outcome)

    def _rejection_by_key(self, call: Call, headers: messages.HeaderList) -> NotRun | None:
        """Return why the configuration in force does not let a claimed call run, if so."""
        rule_book = self._config_sync.rule_book
        if rule_book is None:
            return NotRun(NotRunReason.NO_CONFIGURATION)
        decision = self._authentication.decide(rule_book, call.match, headers, call.attempt_id)
        return decision if isinstance(decision, NotRun) else None

    async def _settle_claim(self, claim: Claim, outcome: Outcome) -> Outcome:
        """Settle a claim with its call's outcome, which is kept for later sends of its key."""
        shared_outcomes: list[Outcome] = []
        claim.run.add_callback(shared_outcomes.append)
        settlement = ensureDeferred(self._claims.complete(claim, outcome))
        if not shared_outcomes:
            await settlement
        return shared_outcomes[0]

    async def _dispatch(self, call: Call) -> Outcome:
        rule_book = self._config_sync.rule_book
        if rule_book is None:
            return Error(NotRun(NotRunReason.NO_CONFIGURATION))
        if call.customer is None or self._allowances is None:
            return await self._dispatcher.run(call, rule_book)
        self._drawing.add(call)
        drawn = await self._allowances.draw(call.customer, call.attempt_id)
        is_cancelled = call not in self._drawing
        self._drawing.discard(call)
        if isinstance(drawn, NotRun):
            return Error(drawn)
        if is_cancelled:
            # The dispatcher does not know the call yet, so that it could not be cancelled there.
            self._allowances.give_back(drawn)
            return Error(NotRun(NotRunReason.CANCELLED))
        outcome = await self._dispatcher.run(call, rule_book)
        if outcome.is_error() and isinstance(outcome.error, NotRun):
            self._allowances.give_back(drawn)
        return outcome


def failure_for_caller(headers: messages.HeaderList, rejection: NotRun) -> NotRun | Unknown:
    """Return the failure to report for a request rejected before its key could be looked up."""
    has_key = messages.get_header(headers, KEY_HEADER) is not None
    if not has_key or rejection.reason in INVALID_REQUEST_REASONS:
        return rejection
    is_first_send = messages.get_header(headers, FIRST_SEND_HEADER) is not None
    if rejection.reason is NotRunReason.UNAUTHENTICATED and not is_first_send:
        # An earlier send may have run before the customer's key was withdrawn.
        return Unknown(UnknownReason.UNAUTHENTICATED)
    return unchecked_key_failure(is_first_send, rejection)
