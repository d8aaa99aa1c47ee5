"""Server for calls from other nodes to the local target, and for queries about them."""

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
    BOOT_HEADER,
    CALL_HEADER,
    LOAD_HEADER,
    decline_policy_from_head,
    match_from_head,
    parse_call_head,
    peer_failure_head,
    strip_node_headers,
)

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock
    from foxtailproxy.config_sync import ConfigSync
    from foxtailproxy.http.exchange import ServerExchange
    from foxtailproxy.models.settings import LimitsSection
    from foxtailproxy.target import Target

PROCESSING_STATUS = 102
"""Interim status code of a heartbeat."""

SWEEP_INTERVAL_MS = 1000
"""Interval between two sweeps of expired answers and runs, in milliseconds."""

ORPHAN_CANCEL_DELAY_MS = 1500
"""Time for which a call continues after its connection is lost, so that its sender can query it, in
milliseconds."""

IDEMPOTENT_ORPHAN_CANCEL_DELAY_MS = 100
"""The same for an idempotent call, which can run again. An upstream has to stop within 500 ms after
the caller disconnects."""


class PeerServer:
    """Handler of requests from other nodes.

    `config_sync` holds the adopted rules, `claim_runs` the runs that this node holds a claim for.
    """

    def __init__(
        self,
        clock: Clock,
        limits: LimitsSection,
        target: Target,
        config_sync: ConfigSync,
        claim_runs: RunTable,
        boot_id: str = "",
    ) -> None:
        self.call_runs = RunTable(clock, limits.kept_answer_bytes, limits.kept_answer_ms)
        self._boot_id = boot_id
        self._clock = clock
        self._limits = limits
        self._target = target
        self._config_sync = config_sync
        self._claim_runs = claim_runs
        self._run_id_by_exchange: dict[ServerExchange, str] = {}
        self._heartbeat_timer = WorkTimer(clock, limits.heartbeat_ms, self._send_heartbeats)
        self._sweep_timer = WorkTimer(clock, SWEEP_INTERVAL_MS, self.call_runs.sweep)

    def close(self) -> None:
        """Stop the timers."""
        self._heartbeat_timer.close()
        self._sweep_timer.close()

    @property
    def idle(self) -> bool:
        """Whether no peer waits for an answer."""
        return not self._run_id_by_exchange

    async def handle(self, exchange: ServerExchange) -> None:
        """Serve one request from another node."""
        path = exchange.head.target
        if messages.get_header(exchange.head.headers, CALL_HEADER) is not None:
            # A request with this header is a call, whatever its path.
            await self._serve_call(exchange)
        elif path.startswith(ATTEMPT_PATH):
            self._answer_recovery_query(
                exchange, unquote(path[len(ATTEMPT_PATH) :].decode("latin-1"))
            )
        elif path.startswith(CLAIM_PATH):
            self._answer_claim_query(exchange, path[len(CLAIM_PATH) :].decode("latin-1"))
        elif path == CONFIG_PATH:
            self._answer_config(exchange)
        else:
            self._respond(exchange, Error(NotRun(NotRunReason.BAD_REQUEST)))

    async def _serve_call(self, exchange: ServerExchange) -> None:
        call_head = parse_call_head(exchange.head.headers)
        match = (
            None if call_head is None else match_from_head(call_head, self._config_sync.rule_book)
        )
        if call_head is None or match is None:
            self._respond(exchange, Error(NotRun(NotRunReason.BAD_REQUEST)))
            return
        send_id = send_id_of(call_head.attempt, call_head.number)
        existing_run = self.call_runs.find(send_id)
        if existing_run is not None:
            self._attach(exchange, existing_run)
            return
        received_ms = self._clock.now_ms()
        deadline_ms = received_ms + call_head.left_ms
        run = self.call_runs.open(send_id, deadline_ms)
        self._attach(exchange, run)
        if run.ended:
            return
        exchange.send_continue()
        try:
            fits = await exchange.body.buffer(self._limits.replay_bytes)
        except HttpError:
            run.fail(NotRun(NotRunReason.REQUEST_CUT))
            return
        if exchange.client_left:
            # The sender may have given up the call; if it has not, it queries this run.
            run.fail(NotRun(NotRunReason.SEALED))
            return
        payload = exchange.body.buffered() if fits else None
        call = Call(
            head=messages.RequestHead(
                exchange.head.method,
                exchange.head.target,
                strip_node_headers(exchange.head.headers),
            ),
            service=match.service,
            rule=match.rule,
            tenant=call_head.tenant,
            deadline_ms=deadline_ms,
            depth=call_head.depth,
            payload=payload,
            stream=exchange.body,
            crashed_upstreams=call_head.crashed,
            attempt_id=call_head.attempt,
            # Time at which the caller's node received the call, on this node's clock.
            received_ms=received_ms + call_head.objective_left_ms - match.rule.objective_ms,
            decline_policy=decline_policy_from_head(call_head),
            send_number=call_head.number,
        )
        try:
            outcome = await self._target.run(call)
        except Exception:
            # The connection logs the error and is cut; others may wait for the run as well.
            run.fail(Unknown(UnknownReason.UPSTREAM_LOST))
            raise
        await run.complete(outcome, self._limits.replay_bytes)

    def _answer_recovery_query(self, exchange: ServerExchange, send_id: str) -> None:
        run = self.call_runs.find(send_id)
        if run is not None:
            self._attach(exchange, run)
            return
        boot_id = messages.get_header_text(exchange.head.headers, BOOT_HEADER)
        if boot_id and boot_id != self._boot_id:
            # The process that the call was sent to has ended, and its runs with it.
            self._respond(exchange, Error(Unknown(UnknownReason.PEER_LOST)))
            return
        self.call_runs.seal(send_id)
        self._respond(exchange, Error(NotRun(NotRunReason.NEVER_ARRIVED)))

    def _answer_claim_query(self, exchange: ServerExchange, claim_id: str) -> None:
        run = self._claim_runs.find(claim_id)
        if run is not None:
            self._attach(exchange, run)
            return
        # A claimed call that is not in the table may have run long ago.
        self._respond(exchange, Error(Unknown(UnknownReason.ANSWER_NOT_KEPT)))

    def _answer_config(self, exchange: ServerExchange) -> None:
        config = self._config_sync.current
        if config is None:
            self._respond(exchange, Error(NotRun(NotRunReason.NO_CONFIGURATION)))
            return
        body = BodyStream.from_bytes(zlib.compress(msgspec.json.encode(config)))
        exchange.respond(messages.ResponseHead(200, b"OK"), body)

    def _attach(self, exchange: ServerExchange, run: SharedRun) -> None:
        self._run_id_by_exchange[exchange] = run.run_id
        self._heartbeat_timer.wake()
        self._sweep_timer.wake()
        exchange.on_aborted = lambda: self._exchange_aborted(exchange)
        run.add_callback(lambda outcome: self._respond(exchange, outcome))

    def _respond(self, exchange: ServerExchange, outcome: Outcome) -> None:
        run_id = self._run_id_by_exchange.pop(exchange, "")
        load = (LOAD_HEADER, self._target.load().to_header())
        if outcome.is_error():
            head = peer_failure_head(outcome.error)
            head.headers.append(load)
            exchange.respond(head, BodyStream.from_bytes(b""))
            return
        answer: Answer = outcome.ok
        if not answer.body.ended:
            # Nobody else can read an answer that is sent while it arrives.
            exchange.on_aborted = lambda: self._target.cancel(run_id)
        headers = [*messages.end_to_end_headers(answer.head.headers), load]
        exchange.respond(
            messages.ResponseHead(answer.head.status, answer.head.reason, headers), answer.body
        )

    def _exchange_aborted(self, exchange: ServerExchange) -> None:
        run_id = self._run_id_by_exchange.pop(exchange, None)
        if run_id is not None:
            idempotent = self._target.is_idempotent(run_id)
            delay_ms = IDEMPOTENT_ORPHAN_CANCEL_DELAY_MS if idempotent else ORPHAN_CANCEL_DELAY_MS
            self._clock.call_later(delay_ms, self._cancel_orphan, run_id)

    def _cancel_orphan(self, run_id: str) -> None:
        if run_id not in self._run_id_by_exchange.values():
            self._target.cancel(run_id)

    def _send_heartbeats(self) -> bool:
        load = [(LOAD_HEADER, self._target.load().to_header())]
        for exchange in self._run_id_by_exchange:
            exchange.send_interim(PROCESSING_STATUS, load)
        return bool(self._run_id_by_exchange)
