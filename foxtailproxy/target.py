"""The local target: the upstream beside this node.

Calls reach the upstream only through this node, so its slots are counted exactly.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import structlog
from expression import Error, Ok
from twisted.internet.defer import Deferred

from foxtailproxy import events
from foxtailproxy.admission import Admission, Ticket
from foxtailproxy.clock import WorkTimer
from foxtailproxy.crash_watch import CrashWatch, TargetListener
from foxtailproxy.dialect import AnswerMatcher, Dialect, UpstreamLoad, UpstreamMetadata
from foxtailproxy.health_check import HealthCheck
from foxtailproxy.http.client import FRAMED_BY_CLOSE
from foxtailproxy.http.errors import (
    ConnectFailed,
    DeadlineExceeded,
    ExchangeCancelled,
    HttpError,
    InvalidStatus,
    StrayResponse,
)
from foxtailproxy.http.messages import RequestHead, ResponseHead
from foxtailproxy.http.pool import ConnectionPool
from foxtailproxy.models.messages import Announcement
from foxtailproxy.models.settings import UpstreamSection
from foxtailproxy.outcome import (
    SERVER_ERROR,
    Answer,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
    is_target_fault,
    reached_upstream,
)
from foxtailproxy.target_policy import RUN_AT_ONCE
from foxtailproxy.target_side.inner_calls import inner_depth
from foxtailproxy.target_side.refusals import RefusalGuard
from foxtailproxy.upstream_process import LeftProcesses, UpstreamProcess, is_stale, same_process

if TYPE_CHECKING:

    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock
    from foxtailproxy.http.client import ClientConnection, ClientResponse
    from foxtailproxy.load import Load

log = structlog.get_logger()

SWEEP_MS = 20
"""Interval between checks for passed deadlines, in milliseconds."""

HOLD_CHECK_MS = 30
"""Interval between checks whether a slow instance is back at its usual speed, in milliseconds."""


@dataclass(eq=False, slots=True)
class ActiveCall:
    """Call that waits at the target or runs.

    `announcement` is that of the process to which the call was sent. `overdue` tells whether the
    latest check for passed deadlines found that its deadline had passed, `upstream_full` whether
    the upstream refused the call with all its slots in use.
    """

    call: Call
    ticket: Ticket
    announcement: Announcement | None = None
    connection: ClientConnection | None = None
    cancelled: bool = False
    overdue: bool = False
    upstream_full: bool = False


class Target:
    """Local target, which admits calls and runs them at the upstream."""

    def __init__(
        self,
        clock: Clock,
        reactor: Any,
        listener: TargetListener,
        dialect: Dialect,
        settings: UpstreamSection | None = None,
        log_calls: bool = True,
    ) -> None:
        settings = settings or UpstreamSection()
        self.announcement: Announcement | None = None
        self.leaving = False
        self.evacuated = False
        self.knows_left_processes = True
        self._dialect = dialect
        self._log_calls = log_calls
        self.configure(settings)
        self._left_processes = LeftProcesses()
        self.admission = Admission(clock, 0)
        self.refusals = RefusalGuard(clock)
        self.health_check = HealthCheck(
            clock, dialect, self.admission.slowness, self._health_checked
        )
        self._clock = clock
        self._reactor = reactor
        self._listener = listener
        self._pool: ConnectionPool | None = None
        self._active_by_send: dict[str, ActiveCall] = {}
        self._sweep_timer = WorkTimer(clock, SWEEP_MS, self._sweep)
        self._crash_watch = CrashWatch(
            clock,
            listener,
            lambda: self._pool,
            self._upstream_down,
        )

    def configure(self, settings: UpstreamSection) -> None:
        """Apply settings; the slots change with the next announcement that has other slots."""
        self._slot_percent = settings.slot_percent
        self._reuse_idle_ms = settings.reuse_idle_ms
        self._overdue_ms = settings.overdue_ms

    def _upstream_down(self) -> None:
        """Reject the waiting calls; the process that comes up again may be a new one."""
        self.admission.cold.process_seen()
        self.admission.reject_waiting(NotRunReason.TARGET_DOWN)

    def _health_checked(self, metadata: UpstreamMetadata) -> None:
        """Record whether the upstream is cold, if its current process answered a health check."""
        current = self.announcement
        if current is not None and metadata.instance == current.instance:
            self.admission.cold.report(metadata.cold_ms)

    def close(self) -> None:
        """Stop the timers and close idle connections."""
        self._sweep_timer.close()
        self._crash_watch.close()
        if self._pool is not None:
            self._pool.close()

    def receive_announcement(self, announcement: Announcement) -> None:
        """Process the upstream's announcement that it serves, or that it takes no new work."""
        if is_stale(self.announcement, announcement):
            log.info(
                "announcement_late",
                instance=announcement.instance,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
            )
            if announcement.leaving:
                self.record_left_process(announcement.instance, announcement.born_ms)
            return
        current = self.announcement
        if current is None or not same_process(current, announcement):
            if announcement.leaving:
                self.record_left_process(announcement.instance, announcement.born_ms)
            self._switch_process(announcement)
            return
        self.admission.cold.report(announcement.cold_ms)
        self._update_announcement(current, announcement)
        if announcement.leaving:
            self.record_left_process(announcement.instance, announcement.born_ms)

    def record_left_process(self, instance: str, born_ms: int) -> None:
        """Record that an upstream process takes no new work, now or when it is announced again.

        If its start is unknown (`born_ms` is 0), the current process of that name is meant.
        """
        current = self.announcement
        if not born_ms and current is not None and current.instance == instance:
            born_ms = current.born_ms
        is_new = self._left_processes.add(UpstreamProcess(instance, born_ms))
        if is_new and self.process_has_left:
            if self.leaving:
                self._listener.target_changed()
            self.leave()

    def _update_announcement(self, current: Announcement, announcement: Announcement) -> None:
        """Apply a further announcement of the current process."""
        self.announcement = announcement
        if not announcement.instance and (self.leaving or self.down):
            # Without an instance name, a further announcement counts as a restart of the upstream.
            self._switch_process(announcement)
            return
        if self.leaving and not current.born_ms and not self.process_has_left:
            # The process was found by a health check, and is none of those of its name that left.
            self._switch_process(announcement)
            return
        if current.slots != announcement.slots:
            self._set_slots(announcement.slots)

    def _set_slots(self, slots: int) -> None:
        self.admission.set_slots(max(1, slots * self._slot_percent // 100))

    def _switch_process(self, announcement: Announcement) -> None:
        """Switch to another process of the upstream."""
        log.info(
            "upstream_announced",
            service=announcement.service,
            port=announcement.port,
            slots=announcement.slots,
            instance=announcement.instance,
            born_ms=announcement.born_ms,
        )
        pool = ConnectionPool(self._reactor, announcement.address, announcement.port)
        if self._pool is not None:
            self._pool.close()
            self._pool.replaced = self._pool.replaced or self._pool.is_at_address_of(pool)
        self._pool = pool
        previous, self.announcement = self.announcement, announcement
        self.refusals.reset()
        self.admission.cold.process_seen()
        self.admission.cold.report(announcement.cold_ms)
        self.leaving = (
            self._left_processes.contains(announcement) if announcement.instance else False
        )
        pool.leaving = self.leaving
        self._crash_watch.down = False
        if self.leaving:
            self.admission.reject_waiting(NotRunReason.LEAVING)
        elif previous is not None and previous.service != announcement.service:
            self.admission.reject_waiting(NotRunReason.NO_TARGET)
        self._set_slots(announcement.slots)
        self._listener.target_changed()

    async def discover(self, service: str, address: str, port: int) -> None:
        """Announce an upstream that ran before this node started, if its health check succeeds."""
        metadata = await self.check_health(address, port)
        if metadata is None or metadata.load is None or self.announcement is not None:
            return
        self.receive_announcement(
            Announcement(
                service,
                address,
                port,
                metadata.load.slots,
                instance=metadata.instance,
                cold_ms=-1 if metadata.cold_ms is None else metadata.cold_ms,
            )
        )

    async def check_health(self, address: str, port: int) -> UpstreamMetadata | None:
        """Return the metadata of the upstream at an address; `None` if it is not healthy."""
        pool = ConnectionPool(self._reactor, address, port)
        metadata = await self.health_check.check(pool)
        pool.close()
        return metadata

    def leave(self) -> None:
        """Take no new calls for the upstream: reject the waiting ones, finish the running ones."""
        if self.leaving:
            return
        log.info("upstream_leaving")
        self.leaving = True
        if self._pool is not None:
            self._pool.leaving = True
        self.admission.reject_waiting(NotRunReason.LEAVING)
        self._listener.target_changed()

    def set_evacuated(self, evacuated: bool) -> None:
        """Take no new calls while the data centre is evacuated: reject the waiting ones.

        Running calls finish and health checks go on.
        """
        self.evacuated = evacuated
        if evacuated:
            self.admission.reject_waiting(NotRunReason.EVACUATED)

    @property
    def down(self) -> bool:
        """Whether the upstream accepts no connections."""
        return self._crash_watch.down

    @property
    def process(self) -> UpstreamProcess | None:
        """The current process of the upstream; before any announcement, the last that left.

        One that was found by a health check, and counts as left, is the one that left, with its
        start: stored without it, the leaving would be that of each later process of the name.
        """
        if self.announcement is None:
            return self._left_processes.latest
        current = UpstreamProcess(self.announcement.instance, self.announcement.born_ms)
        return current if current.born_ms else self._left_processes.find(current) or current

    @property
    def process_has_left(self) -> bool:
        """Whether the upstream's process itself announced that it takes no new work."""
        process = self.process
        return process is not None and self._left_processes.contains(process)

    def uses_instance(self, instance: str) -> bool:
        """Return whether the current process has this name and has not left.

        The process that runs is told by its name alone: calls for the current process are also run
        by an earlier one of the name.
        """
        current = self.announcement
        return current is not None and current.instance == instance and not self.process_has_left

    @property
    def serving(self) -> bool:
        """Whether new calls may run."""
        return self.announcement is not None and not self.leaving and not self.down

    def serves(self, service: str) -> bool:
        """Return whether new calls of `service` may run.

        None may while the upstream refuses calls, until the next trial call. None may before the
        processes that left are known either: the current one may be among them.
        """
        announcement = self.announcement
        return (
            self.serving
            and not self.evacuated
            and self.refusals.open
            and self.knows_left_processes
            and announcement is not None
            and announcement.service == service
        )

    def load(self) -> Load:
        """Return the current load; without slots while the upstream refuses calls."""
        load = self.admission.load()
        return load if self.refusals.open else replace(load, slots=0)

    def offered_load(self, service: str) -> Load | None:
        """Return the load for a node that may send a call of `service`; `None` if it should not.

        While the upstream refuses calls, one node at a time is offered a trial call, without the
        earlier failures, for which it would not send any.
        """
        if not self.serves(service):
            return None
        if not self.refusals.refusing:
            return self.load()
        return replace(self.load(), failure_rate=0.0) if self.refusals.offer() else None

    async def run(self, call: Call) -> Outcome:
        """Run a call once a slot is free; return its outcome."""
        arrived_ms = self._clock.now_ms()
        active_calls: list[ActiveCall] = []
        if self.refusals.admit(call.send_id):
            try:
                outcome = await self._admit_and_run(call, active_calls)
            finally:
                self.refusals.end(call.send_id)
        else:
            wait_ms = math.ceil(self.refusals.wait_ms)
            outcome = Error(NotRun(NotRunReason.REFUSING, wait_ms))
        if reached_upstream(outcome) and not (active_calls and active_calls[-1].upstream_full):
            self.admission.failure_rate.record(is_target_fault(outcome))
        if self._log_calls:
            ended_ms = self._clock.now_ms()
            started_ms = active_calls[0].ticket.started_ms if active_calls else -1.0
            wait_ended_ms = started_ms if started_ms >= 0 else ended_ms
            events.run_ended(
                call,
                outcome,
                wait_ended_ms - arrived_ms,
                ended_ms - wait_ended_ms,
                self.expected_slowness(),
            )
        return outcome

    async def _admit_and_run(self, call: Call, active_calls: list[ActiveCall]) -> Outcome:
        rejection = self._rejection(call)
        if rejection is not None:
            return Error(rejection)
        admitted: Deferred[NotRun | None] = Deferred()
        ticket = Ticket(call, lambda: admitted.callback(None), admitted.callback)
        active_call = ActiveCall(call, ticket)
        active_calls.append(active_call)
        self._active_by_send[call.send_id] = active_call
        self._sweep_timer.wake()
        rejection = await self._apply_decline_policy(active_call)
        if active_call.cancelled:
            rejection = NotRun(NotRunReason.CANCELLED)
        if rejection is not None:
            self._forget(active_call)
            return Error(rejection)
        self.admission.submit(ticket)
        admission_rejection = await admitted
        if admission_rejection is not None:
            self._forget(active_call)
            return Error(admission_rejection)
        return await self._run_admitted(active_call)

    async def _apply_decline_policy(self, active_call: ActiveCall) -> NotRun | None:
        """Decline a call that is faster elsewhere, or hold it while the instance is slow."""
        call = active_call.call
        if call.decline_policy == RUN_AT_ONCE:
            return None
        await self.health_check.refresh_slowness(self._pool)
        if (
            not call.decline_policy.hold_ms
            and self.admission.expected_ms(call) > call.decline_policy.limit_ms
        ):
            return NotRun(NotRunReason.FASTER_ELSEWHERE)
        until_ms = self._clock.now_ms() + call.decline_policy.hold_ms
        while self._too_slow_now(call) and self._clock.now_ms() < until_ms:
            await self._clock.sleep(HOLD_CHECK_MS)
            if active_call.cancelled:
                return None
            await self.health_check.refresh_slowness(self._pool, HOLD_CHECK_MS / 2)
        if call.decline_policy.may_decline and self._too_slow_now(call):
            return NotRun(NotRunReason.FASTER_ELSEWHERE)
        return self._rejection(call)

    def _too_slow_now(self, call: Call) -> bool:
        """Return whether a call would miss its objective because the upstream is slow for now."""
        slow = self.admission.slowness.temporarily_slow
        return slow and self.admission.expected_run_ms(call) > call.objective_left_ms(self._clock)

    def expected_slowness(self) -> float:
        """Return the factor by which work at the upstream is expected to take longer than usual."""
        return self.admission.expected_slowness()

    def inner_depth(self, attempt_id: str) -> int:
        """Return the depth of a call that the upstream makes for one that it runs; 0 for others."""
        running = (active.call for active in self._active_by_send.values() if active.ticket.running)
        return inner_depth(attempt_id, running)

    def is_idempotent(self, send_id: str) -> bool:
        """Return whether a send that waits or runs here is of an idempotent call."""
        active_call = self._active_by_send.get(send_id)
        return active_call is not None and active_call.call.rule.idempotent

    def cancel(self, send_id: str) -> None:
        """Cancel a send whose answer its caller no longer wants.

        A waiting call is rejected. A running one is stopped only if it is idempotent.
        """
        active_call = self._active_by_send.get(send_id)
        if active_call is None:
            return
        active_call.cancelled = True
        if self.admission.dequeue(active_call.ticket):
            active_call.ticket.on_reject(NotRun(NotRunReason.CANCELLED))
        elif active_call.call.rule.idempotent and active_call.connection is not None:
            active_call.connection.fail(ExchangeCancelled())

    def _rejection(self, call: Call) -> NotRun | None:
        if self.announcement is None or call.service.name != self.announcement.service:
            return NotRun(NotRunReason.NO_TARGET)
        if not self.knows_left_processes:
            return NotRun(NotRunReason.NO_TARGET)
        if self.leaving:
            return NotRun(NotRunReason.LEAVING)
        if self.down:
            return NotRun(NotRunReason.TARGET_DOWN)
        if self.evacuated:
            return NotRun(NotRunReason.EVACUATED)
        if call.remaining_ms(self._clock) <= 0:
            return NotRun(NotRunReason.DEADLINE)
        return None

    def _rejection_once_connected(
        self, active_call: ActiveCall, pool: ConnectionPool
    ) -> NotRun | None:
        """Return why a call must not be sent on a new connection of `pool`, if it must not."""
        call = active_call.call
        if active_call.cancelled:
            return NotRun(NotRunReason.CANCELLED)
        if call.remaining_ms(self._clock) < 1:
            return NotRun(NotRunReason.DEADLINE)
        if self.evacuated:
            return NotRun(NotRunReason.EVACUATED)
        if pool is not self._pool:
            return self._rejection(call) or NotRun(NotRunReason.TARGET_DOWN)
        return None

    async def _run_admitted(self, active_call: ActiveCall) -> Outcome:
        try:
            return await self._send_admitted(active_call)
        except Exception:
            # Otherwise the slot would stay taken until the process ends.
            self._release(active_call)
            if active_call.connection is not None:
                active_call.connection.abort()
            raise

    async def _send_admitted(self, active_call: ActiveCall) -> Outcome:
        call = active_call.call
        # The process of the upstream may have changed while the call waited for its slot.
        rejection = self._rejection(call)
        if rejection is not None:
            self._release(active_call, ran=False)
            return Error(rejection)
        pool, announcement = self._pool, self.announcement
        assert pool is not None and announcement is not None
        fresh = not call.rule.idempotent and not self._reuse_idle_ms
        max_idle_ms = None if call.rule.idempotent else self._reuse_idle_ms
        try:
            connection = await pool.acquire(fresh, max_idle_ms)
        except ConnectFailed:
            self._release(active_call, ran=False)
            if pool is self._pool:
                self._crash_watch.mark_down()
            return Error(NotRun(NotRunReason.TARGET_DOWN))
        rejection = self._rejection_once_connected(active_call, pool)
        if rejection is not None:
            self._release(active_call, ran=False)
            connection.abort()
            return Error(rejection)
        sent_ms = self.admission.cold.try_send(active_call.ticket)
        if sent_ms is None:
            self._release(active_call, ran=False)
            connection.abort()
            return Error(NotRun(NotRunReason.COLD, int(self.admission.cold.wait_ms()) + 1))
        active_call.ticket.sent_ms = sent_ms
        active_call.connection = connection
        active_call.announcement = announcement
        was_idle = connection.was_idle
        remaining_ms = int(call.remaining_ms(self._clock))
        headers = self._dialect.upstream_headers(call, remaining_ms, announcement.instance)
        head = RequestHead(call.head.method, call.head.target, headers)
        try:
            response = await connection.request(
                head, call.body_stream(), AnswerMatcher(self._dialect, call.attempt_id)
            )
        except HttpError as error:
            failure = await self._handle_exchange_error(active_call, error)
            if isinstance(error, InvalidStatus):
                # It is an answer: the upstream has not closed a connection that was idle.
                return Error(failure)
            if was_idle and failure.reason is UnknownReason.UPSTREAM_LOST and not failure.crashed:
                return await self._retry_on_new_connection(active_call, failure)
            return Error(failure)
        return self._handle_response(active_call, response)

    async def _retry_on_new_connection(self, active_call: ActiveCall, failure: Unknown) -> Outcome:
        """Retry an idempotent call whose reused connection broke.

        Most likely the upstream had just closed the connection.
        """
        call = active_call.call
        if active_call.cancelled:
            return Error(Unknown(UnknownReason.CANCELLED))
        if not call.rule.idempotent or not call.replayable or self._pool is None:
            return Error(failure)
        self._pool.close_idle_connections()
        outcome = await self._admit_and_run(call, [])
        if outcome.is_error() and isinstance(outcome.error, NotRun):
            # The upstream may have run the call on the connection that broke.
            return Error(failure)
        return outcome

    def _handle_response(self, active_call: ActiveCall, response: ClientResponse) -> Outcome:
        metadata = self._dialect.read_upstream_metadata(response.head)
        assert active_call.connection is not None
        if metadata.not_run:
            self._handle_refusal(active_call, metadata)
        else:
            self.refusals.record_run()
        self._release_after_body(active_call, response)
        if metadata.load is not None:
            self._record_load(metadata.load)
        if metadata.misdirected:
            self.admission.cold.withdraw_send(active_call.ticket.sent_ms)
            self._handle_replaced_upstream(active_call, metadata)
        if metadata.not_run:
            active_call.connection.abort()
            return Error(NotRun(NotRunReason.UPSTREAM_REFUSED))
        if response.head.status < SERVER_ERROR:
            self._listener.call_completed(active_call.call)
        headers = self._dialect.forwarded_headers(response.head.headers)
        return Ok(
            Answer(ResponseHead(response.head.status, response.head.reason, headers), response.body)
        )

    def _handle_refusal(self, active_call: ActiveCall, metadata: UpstreamMetadata) -> None:
        """Release the slot of a call that did not run, and count it if the upstream had room."""
        self.admission.release(active_call.ticket, ran=False)
        if metadata.misdirected:
            return
        load = metadata.load
        active_call.upstream_full = load is not None and load.running + load.queued >= load.slots
        if not active_call.upstream_full and self.refusals.record_refusal(active_call.call.send_id):
            self.admission.reject_waiting(NotRunReason.REFUSING)

    def _record_load(self, load: UpstreamLoad) -> None:
        self.admission.slowness.record(load.slowness)

    def _handle_replaced_upstream(
        self, active_call: ActiveCall, metadata: UpstreamMetadata
    ) -> None:
        """Record the process that a call was sent to as left, since another one has its address.

        The target takes no calls until the new process announces itself.
        """
        log.warning("upstream_replaced", instance=metadata.instance)
        expected = active_call.announcement
        if expected is not None and expected.instance != metadata.instance:
            current = self.announcement
            if self._pool is not None and current is not None:
                self._pool.replaced = self._pool.replaced or current.instance == expected.instance
            self.record_left_process(expected.instance, expected.born_ms)

    def _release_after_body(self, active_call: ActiveCall, response: ClientResponse) -> None:
        if response.body.ended or response.body.error is not None:
            self._answer_received(active_call, response)
        else:
            response.body.on_done = lambda: self._answer_received(active_call, response)
            if active_call.connection is not None:
                # The upstream's slot is free, whether or not it still runs.
                active_call.connection.on_response_read = lambda: self.admission.release(
                    active_call.ticket
                )

    def _answer_received(self, active_call: ActiveCall, response: ClientResponse) -> None:
        self._release(active_call)
        trace = response.trace
        proves_its_end = trace.framing != FRAMED_BY_CLOSE and response.body.error is None
        is_unusual = not proves_its_end or trace.skipped_responses or trace.stray_heads
        if is_unusual and self._log_calls:
            events.answer_received(active_call.call, trace, response.body.size)

    def _release(self, active_call: ActiveCall, ran: bool = True) -> None:
        self.admission.release(active_call.ticket, ran)
        self._forget(active_call)

    def _forget(self, active_call: ActiveCall) -> None:
        """Remove a call from the active ones, unless another one has the same send id now."""
        send_id = active_call.call.send_id
        if self._active_by_send.get(send_id) is active_call:
            del self._active_by_send[send_id]

    async def _handle_exchange_error(self, active_call: ActiveCall, error: HttpError) -> Unknown:
        """Return the failure of a broken exchange, after a check whether the upstream crashed.

        Meanwhile the call can still be cancelled.
        """
        self.admission.release(active_call.ticket)
        try:
            return await self._diagnose_exchange_error(active_call, error)
        finally:
            self._forget(active_call)

    async def _diagnose_exchange_error(self, active_call: ActiveCall, error: HttpError) -> Unknown:
        if isinstance(error, DeadlineExceeded):
            return Unknown(UnknownReason.DEADLINE)
        if isinstance(error, ExchangeCancelled):
            return Unknown(UnknownReason.CANCELLED)
        assert active_call.connection is not None
        trace = active_call.connection.trace
        log.warning(
            "upstream_connection_lost",
            attempt=active_call.call.attempt_id,
            error=type(error).__name__,
            earlier_exchanges=trace.earlier_exchanges,
            skipped_responses=trace.skipped_responses,
        )
        if isinstance(error, StrayResponse | InvalidStatus):
            # The upstream runs.
            return Unknown(UnknownReason.UPSTREAM_LOST)
        crashed = await self._crash_watch.check_crash(active_call.call)
        return Unknown(UnknownReason.UPSTREAM_LOST, crashed)

    def _sweep(self) -> bool:
        """Fail the calls that two checks in a row find overdue.

        Between them, answers are read that arrived while this process was suspended.
        """
        self.admission.sweep()
        now = self._clock.now_ms()
        for active_call in list(self._active_by_send.values()):
            overdue_ms = 0 if active_call.call.rule.idempotent else self._overdue_ms
            was_overdue = active_call.overdue
            active_call.overdue = active_call.call.deadline_ms + overdue_ms <= now
            if was_overdue and active_call.connection is not None:
                active_call.connection.fail(DeadlineExceeded())
        return bool(self._active_by_send)
