"""Serves calls that other nodes send to this node's target, and their questions about them."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING
from urllib.parse import unquote

import msgspec
from expression import Error

from foxtailproxy.call import Call, send_id_of
from foxtailproxy.clock import WorkTimer
from foxtailproxy.http import messages
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.errors import HttpError
from foxtailproxy.outcome import Answer, NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from foxtailproxy.peer_client import ATTEMPT_PATH, CLAIM_PATH, CONFIG_PATH
from foxtailproxy.runs import RunTable, SharedRun
from foxtailproxy.wire import (
    BOOT,
    CALL,
    LOAD,
    match_call,
    peer_failure,
    read_call,
    terms_of,
    without_own,
)

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock
    from foxtailproxy.config_sync import ConfigSync
    from foxtailproxy.http.exchange import ServerExchange
    from foxtailproxy.models.settings import LimitsSection
    from foxtailproxy.target import Target

PROCESSING = 102
"""Interim status that a heartbeat is sent with."""

SWEEP_MS = 1000
"""Time between two looks for answers and runs that need not be kept any longer, in milliseconds."""

ORPHAN_MS = 1500
"""Time for which a call without a connection goes on, so that its sender can ask about it."""

IDEMPOTENT_ORPHAN_MS = 100
"""The same for a call that may as well run again; an upstream is to stop within 500 ms of the
moment at which the caller leaves."""


class PeerServer:
    """Handles the requests of other nodes.

    `config` holds the rules in force, `claims` the runs that this node holds a claim for.
    """

    def __init__(
        self,
        clock: Clock,
        limits: LimitsSection,
        target: Target,
        config: ConfigSync,
        claims: RunTable,
        boot_id: str = "",
    ) -> None:
        self.attempts = RunTable(clock, limits.kept_answer_bytes, limits.kept_answer_ms)
        self._boot_id = boot_id
        self._clock = clock
        self._limits = limits
        self._target = target
        self._config = config
        self._claims = claims
        self._open: dict[ServerExchange, str] = {}
        self._heartbeat_timer = WorkTimer(clock, limits.heartbeat_ms, self._send_heartbeats)
        self._sweep_timer = WorkTimer(clock, SWEEP_MS, self.attempts.sweep)

    def close(self) -> None:
        """Stop the timers."""
        self._heartbeat_timer.close()
        self._sweep_timer.close()

    @property
    def idle(self) -> bool:
        """Whether no peer waits for an answer."""
        return not self._open

    async def handle(self, exchange: ServerExchange) -> None:
        """Serve one request of another node."""
        target = exchange.head.target
        if messages.get_header(exchange.head.headers, CALL) is not None:
            # A call, whatever its path.
            await self._run(exchange)
        elif target.startswith(ATTEMPT_PATH):
            self._answer_question(exchange, unquote(target[len(ATTEMPT_PATH) :].decode("latin-1")))
        elif target.startswith(CLAIM_PATH):
            self._answer_claim(exchange, target[len(CLAIM_PATH) :].decode("latin-1"))
        elif target == CONFIG_PATH:
            self._answer_config(exchange)
        else:
            self._respond(exchange, Error(NotRun(NotRunReason.BAD_REQUEST)))

    async def _run(self, exchange: ServerExchange) -> None:
        head = read_call(exchange.head.headers)
        match = None if head is None else match_call(head, self._config.rule_book)
        if head is None or match is None:
            self._respond(exchange, Error(NotRun(NotRunReason.BAD_REQUEST)))
            return
        send_id = send_id_of(head.attempt, head.number)
        known = self.attempts.find(send_id)
        if known is not None:
            self._attach(exchange, known)
            return
        received_ms = self._clock.now_ms()
        deadline_ms = received_ms + head.left_ms
        run = self.attempts.open(send_id, deadline_ms)
        self._attach(exchange, run)
        if run.ended:
            return
        exchange.send_continue()
        try:
            whole = await exchange.body.buffer(self._limits.replay_bytes)
        except HttpError:
            run.fail(NotRun(NotRunReason.REQUEST_CUT))
            return
        payload = exchange.body.buffered() if whole else None
        call = Call(
            head=messages.RequestHead(
                exchange.head.method,
                exchange.head.target,
                without_own(exchange.head.headers),
            ),
            service=match.service,
            rule=match.rule,
            tenant=head.tenant,
            deadline_ms=deadline_ms,
            depth=head.depth,
            payload=payload,
            stream=exchange.body,
            crashed_upstreams=head.crashed,
            attempt_id=head.attempt,
            # When the caller's node received the call, as a moment of this node's clock.
            received_ms=received_ms + head.objective_left_ms - match.rule.objective_ms,
            terms=terms_of(head),
            send_number=head.number,
        )
        outcome = await self._target.run(call)
        await run.settle(outcome, self._limits.replay_bytes)

    def _answer_question(self, exchange: ServerExchange, send_id: str) -> None:
        run = self.attempts.find(send_id)
        if run is not None:
            self._attach(exchange, run)
            return
        boot_id = messages.get_header_text(exchange.head.headers, BOOT)
        if boot_id and boot_id != self._boot_id:
            # The process that the call was sent to is gone, and what it ran with it.
            self._respond(exchange, Error(Unknown(UnknownReason.PEER_LOST)))
            return
        self.attempts.seal(send_id)
        self._respond(exchange, Error(NotRun(NotRunReason.NEVER_ARRIVED)))

    def _answer_claim(self, exchange: ServerExchange, claim_id: str) -> None:
        run = self._claims.find(claim_id)
        if run is not None:
            self._attach(exchange, run)
            return
        # A claim that is not remembered may have run long ago.
        self._respond(exchange, Error(Unknown(UnknownReason.ANSWER_NOT_KEPT)))

    def _answer_config(self, exchange: ServerExchange) -> None:
        config = self._config.current
        if config is None:
            self._respond(exchange, Error(NotRun(NotRunReason.NO_CONFIGURATION)))
            return
        body = BodyStream.from_bytes(zlib.compress(msgspec.json.encode(config)))
        exchange.respond(messages.ResponseHead(200, b"OK"), body)

    def _attach(self, exchange: ServerExchange, run: SharedRun) -> None:
        self._open[exchange] = run.run_id
        self._heartbeat_timer.wake()
        self._sweep_timer.wake()
        exchange.on_aborted = lambda: self._exchange_lost(exchange)
        run.wait(lambda outcome: self._respond(exchange, outcome))

    def _respond(self, exchange: ServerExchange, outcome: Outcome) -> None:
        self._open.pop(exchange, None)
        load = (LOAD, self._target.load().to_header())
        if outcome.is_error():
            head = peer_failure(outcome.error)
            head.headers.append(load)
            exchange.respond(head, BodyStream.from_bytes(b""))
            return
        answer: Answer = outcome.ok
        headers = [*messages.end_to_end_headers(answer.head.headers), load]
        exchange.respond(
            messages.ResponseHead(answer.head.status, answer.head.reason, headers), answer.body
        )

    def _exchange_lost(self, exchange: ServerExchange) -> None:
        send_id = self._open.pop(exchange, None)
        if send_id is not None:
            idempotent = self._target.may_repeat(send_id)
            delay_ms = IDEMPOTENT_ORPHAN_MS if idempotent else ORPHAN_MS
            self._clock.call_later(delay_ms, self._cancel_orphan, send_id)

    def _cancel_orphan(self, send_id: str) -> None:
        if send_id not in self._open.values():
            self._target.cancel(send_id)

    def _send_heartbeats(self) -> bool:
        load = [(LOAD, self._target.load().to_header())]
        for exchange in self._open:
            exchange.send_interim(PROCESSING, load)
        return bool(self._open)
