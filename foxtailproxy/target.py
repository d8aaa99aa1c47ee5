"""The upstream beside this node: the only way in, so its slots are counted exactly."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import structlog
from expression import Error, Ok
from twisted.internet.defer import Deferred

from foxtailproxy import events
from foxtailproxy.admission import Admission, Ticket
from foxtailproxy.clock import WorkTimer
from foxtailproxy.crash_watch import CrashWatch, TargetListener
from foxtailproxy.dialect import Dialect, UpstreamLoad, UpstreamNote
from foxtailproxy.health_check import HealthCheck
from foxtailproxy.http.errors import (
    ConnectFailed,
    DeadlineExceeded,
    ExchangeCancelled,
    HttpError,
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
    is_fault,
    reached_target,
)
from foxtailproxy.terms import NO_TERMS
from foxtailproxy.upstream_process import LeftProcesses, is_late, same_process

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock
    from foxtailproxy.http.body import BodyStream
    from foxtailproxy.http.client import ClientConnection, ClientResponse
    from foxtailproxy.load import Load

log = structlog.get_logger()

SWEEP_MS = 20
"""Time between two looks at deadlines, in milliseconds."""

HOLD_CHECK_MS = 30
"""Time between two looks whether a slow instance works at its usual speed again."""


@dataclass(eq=False, slots=True)
class RunningCall:
    """A call that waits at the target or runs."""

    call: Call
    ticket: Ticket
    connection: ClientConnection | None = None
    cancelled: bool = False


class Target:
    """Admits calls and runs them at the upstream."""

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
        self._dialect = dialect
        self._log_calls = log_calls
        self.configure(settings)
        self._left = LeftProcesses()
        self.admission = Admission(clock, 0)
        self.health = HealthCheck(clock, dialect, self.admission.slowness)
        self._clock = clock
        self._reactor = reactor
        self._listener = listener
        self._pool: ConnectionPool | None = None
        self._by_send: dict[str, RunningCall] = {}
        self._sweep_timer = WorkTimer(clock, SWEEP_MS, self._sweep)
        self._crashes = CrashWatch(
            clock,
            listener,
            lambda: self._pool,
            lambda: self.admission.refuse_all(NotRunReason.TARGET_DOWN),
        )

    def configure(self, settings: UpstreamSection) -> None:
        """Take over settings; slots change with the next announcement that has others."""
        self._slot_percent = settings.slot_percent
        self._reuse_idle_ms = settings.reuse_idle_ms
        self._overdue_ms = settings.overdue_ms

    def close(self) -> None:
        """Stop the timers and close idle connections."""
        self._sweep_timer.close()
        self._crashes.close()
        if self._pool is not None:
            self._pool.close()

    def announce(self, announcement: Announcement) -> None:
        """The upstream says that it serves, or that it takes no new work."""
        if is_late(self.announcement, announcement):
            log.info(
                "announcement_late",
                instance=announcement.instance,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
            )
            return
        if announcement.leaving:
            self.process_left(announcement.instance, announcement.born_ms)
        known = self.announcement
        if known is None or not same_process(known, announcement):
            self._adopt(announcement)
        else:
            self._renew(known, announcement)

    def process_left(self, instance: str, born_ms: int) -> None:
        """The upstream process takes no new work, now or when it is announced again."""
        self._left.add(instance, born_ms)
        if self.process_gone:
            if self.leaving:
                self._listener.target_changed()
            self.leave()

    def _renew(self, known: Announcement, announcement: Announcement) -> None:
        """The process that is known already tells of itself once more."""
        self.announcement = announcement
        if not announcement.instance and (self.leaving or self.down):
            # An upstream without a name of its process starts anew by announcing itself.
            self._adopt(announcement)
            return
        if known.slots != announcement.slots:
            self._set_slots(announcement.slots)
        if known.born_ms != announcement.born_ms:
            self._listener.target_changed()

    def _set_slots(self, slots: int) -> None:
        self.admission.set_slots(max(1, slots * self._slot_percent // 100))

    def _adopt(self, announcement: Announcement) -> None:
        """Another process of the upstream serves from now on."""
        log.info(
            "upstream_announced",
            service=announcement.service,
            port=announcement.port,
            slots=announcement.slots,
            instance=announcement.instance,
            born_ms=announcement.born_ms,
        )
        if self._pool is not None:
            self._pool.close()
        self._pool = ConnectionPool(self._reactor, announcement.address, announcement.port)
        self.announcement = announcement
        self.leaving = self._left.hold(announcement) if announcement.instance else False
        self._crashes.down = False
        self._set_slots(announcement.slots)
        self._listener.target_changed()

    async def discover(self, service: str, address: str, port: int) -> None:
        """Take up work for an upstream that ran before this node started, by a health check."""
        pool = ConnectionPool(self._reactor, address, port)
        note = await self.health.healthy(pool)
        pool.close()
        if note is None or note.load is None or self.announcement is not None:
            return
        self.announce(Announcement(service, address, port, note.load.slots, instance=note.instance))

    def leave(self) -> None:
        """The upstream takes no new work; what waits is refused, what runs is finished."""
        if self.leaving:
            return
        log.info("upstream_leaving")
        self.leaving = True
        self.admission.refuse_all(NotRunReason.LEAVING)
        self._listener.target_changed()

    @property
    def down(self) -> bool:
        """Whether the upstream takes no connections."""
        return self._crashes.down

    @property
    def process_gone(self) -> bool:
        """Whether the upstream's process itself said that it takes no new work."""
        return self.announcement is not None and self._left.hold(self.announcement)

    @property
    def serving(self) -> bool:
        """Whether new calls may run."""
        return self.announcement is not None and not self.leaving and not self.down

    def serves(self, service: str) -> bool:
        """Whether new calls of `service` may run."""
        announcement = self.announcement
        return self.serving and announcement is not None and announcement.service == service

    def load(self) -> Load:
        """The load now."""
        return self.admission.load()

    async def run(self, call: Call) -> Outcome:
        """Run a call once a slot is free."""
        entered_ms = self._clock.now_ms()
        running: list[RunningCall] = []
        outcome = await self._run(call, running)
        if reached_target(outcome):
            self.admission.failures.note(is_fault(outcome))
        if self._log_calls:
            ended_ms = self._clock.now_ms()
            started_ms = running[0].ticket.started_ms if running else -1.0
            began_ms = started_ms if started_ms >= 0 else ended_ms
            events.run_ended(
                call, outcome, began_ms - entered_ms, ended_ms - began_ms, self.slowness()
            )
        return outcome

    async def _run(self, call: Call, entered: list[RunningCall]) -> Outcome:
        refusal = self._refusal(call)
        if refusal is not None:
            return Error(refusal)
        admitted: Deferred[NotRun | None] = Deferred()
        ticket = Ticket(call, lambda: admitted.callback(None), admitted.callback)
        running = RunningCall(call, ticket)
        entered.append(running)
        self._by_send[call.send_id] = running
        self._sweep_timer.wake()
        refusal = await self._await_speed(running)
        if running.cancelled:
            refusal = NotRun(NotRunReason.CANCELLED)
        if refusal is not None:
            del self._by_send[call.send_id]
            return Error(refusal)
        self.admission.enter(ticket)
        refused = await admitted
        if refused is not None:
            del self._by_send[call.send_id]
            return Error(refused)
        return await self._run_admitted(running)

    async def _await_speed(self, running: RunningCall) -> NotRun | None:
        """Hand a call back that is faster elsewhere, or hold it while the instance is slow."""
        call = running.call
        if call.terms == NO_TERMS:
            return None
        await self.health.refresh_speed(self._pool)
        if not call.terms.hold_ms and self.admission.expected_ms(call) > call.terms.limit_ms:
            return NotRun(NotRunReason.FASTER_ELSEWHERE)
        until_ms = self._clock.now_ms() + call.terms.hold_ms
        while self._better_later(call) and self._clock.now_ms() < until_ms:
            await self._clock.sleep(HOLD_CHECK_MS)
            if running.cancelled:
                return None
            await self.health.refresh_speed(self._pool, HOLD_CHECK_MS / 2)
        if call.terms.hands_back and self._better_later(call):
            return NotRun(NotRunReason.FASTER_ELSEWHERE)
        return self._refusal(call)

    def _better_later(self, call: Call) -> bool:
        """Whether a call would miss its objective now, but not at the speed of a moment ago."""
        slow = self.admission.slowness.slow
        return slow and self.admission.run_ms(call) > call.objective_left_ms(self._clock)

    def slowness(self) -> float:
        """How many times longer than usual work takes at the upstream now."""
        return self.admission.slowness.expected()

    def may_repeat(self, send_id: str) -> bool:
        """Whether a call that waits or runs here may run again."""
        running = self._by_send.get(send_id)
        return running is not None and running.call.rule.idempotent

    def cancel(self, send_id: str) -> None:
        """The caller does not want the answer any more.

        A call that waits is dropped. One that runs is stopped only where it may run again.
        """
        running = self._by_send.get(send_id)
        if running is None:
            return
        running.cancelled = True
        if self.admission.withdraw(running.ticket):
            running.ticket.on_refuse(NotRun(NotRunReason.CANCELLED))
        elif running.call.rule.idempotent and running.connection is not None:
            running.connection.fail(ExchangeCancelled())

    def _refusal(self, call: Call) -> NotRun | None:
        if self.announcement is None or call.service.name != self.announcement.service:
            return NotRun(NotRunReason.NO_TARGET)
        if self.leaving:
            return NotRun(NotRunReason.LEAVING)
        if self.down:
            return NotRun(NotRunReason.TARGET_DOWN)
        if call.remaining_ms(self._clock) <= 0:
            return NotRun(NotRunReason.DEADLINE)
        return None

    async def _run_admitted(self, running: RunningCall) -> Outcome:
        call = running.call
        pool, announcement = self._pool, self.announcement
        assert pool is not None and announcement is not None
        fresh = not call.rule.idempotent and not self._reuse_idle_ms
        idle_ms = None if call.rule.idempotent else self._reuse_idle_ms
        try:
            connection = await pool.acquire(fresh, idle_ms)
        except ConnectFailed:
            self._end(running)
            self._crashes.mark_down()
            return Error(NotRun(NotRunReason.TARGET_DOWN))
        if running.cancelled or call.remaining_ms(self._clock) < 1:
            self._end(running)
            connection.abort()
            reason = NotRunReason.CANCELLED if running.cancelled else NotRunReason.DEADLINE
            return Error(NotRun(reason))
        running.connection = connection
        reused = connection.used
        remaining_ms = int(call.remaining_ms(self._clock))
        headers = self._dialect.upstream_headers(call, remaining_ms, announcement.instance)
        head = RequestHead(call.head.method, call.head.target, headers)
        try:
            response = await connection.request(head, call.body(), self._is_answer_to(call))
        except HttpError as error:
            failure = await self._lost(running, error)
            if reused and failure.reason is UnknownReason.UPSTREAM_LOST and not failure.crashed:
                return await self._run_again(call, failure)
            return Error(failure)
        return self._answered(running, response)

    async def _run_again(self, call: Call, failure: Unknown) -> Outcome:
        """A connection kept open was cut: most likely the upstream had just closed it."""
        if not call.rule.idempotent or not call.replayable or self._pool is None:
            return Error(failure)
        self._pool.close_idle_connections()
        return await self._run(call, [])

    def _is_answer_to(self, call: Call) -> Callable[[ResponseHead], bool]:
        def is_answer(head: ResponseHead) -> bool:
            mine = self._dialect.is_answer(head, call.attempt_id)
            if not mine:
                # The answer to an earlier call came late, or twice; the right one is behind it.
                log.warning("answer_of_another_call", attempt=call.attempt_id, status=head.status)
            return mine

        return is_answer

    def _answered(self, running: RunningCall, response: ClientResponse) -> Outcome:
        note = self._dialect.read_upstream(response.head)
        assert running.connection is not None
        self._end_with_body(running, response.body)
        if note.load is not None:
            self._take_load(note.load)
        if note.another_instance:
            self._misdirected(note)
        if note.not_run:
            running.connection.abort()
            return Error(NotRun(NotRunReason.UPSTREAM_REFUSED))
        if response.head.status < SERVER_ERROR:
            self._listener.call_completed(running.call)
        headers = self._dialect.passed_headers(response.head.headers)
        return Ok(
            Answer(ResponseHead(response.head.status, response.head.reason, headers), response.body)
        )

    def _take_load(self, load: UpstreamLoad) -> None:
        self.admission.slowness.observe(load.slowness)

    def _misdirected(self, note: UpstreamNote) -> None:
        """Another process has the upstream's address: wait until it announces itself."""
        log.warning("upstream_replaced", instance=note.instance)
        known = self.announcement
        if known is not None and known.instance != note.instance:
            self.process_left(known.instance, known.born_ms)

    def _end_with_body(self, running: RunningCall, body: BodyStream) -> None:
        if body.ended or body.error is not None:
            self._end(running)
        else:
            body.on_done = lambda: self._end(running)

    def _end(self, running: RunningCall) -> None:
        self.admission.leave(running.ticket)
        self._by_send.pop(running.call.send_id, None)

    async def _lost(self, running: RunningCall, error: HttpError) -> Unknown:
        """The exchange broke: find out whether the upstream died with it."""
        self._end(running)
        if isinstance(error, DeadlineExceeded):
            return Unknown(UnknownReason.DEADLINE)
        if isinstance(error, ExchangeCancelled):
            return Unknown(UnknownReason.CANCELLED)
        crashed = await self._crashes.lost(running.call)
        return Unknown(UnknownReason.UPSTREAM_LOST, crashed)

    def _sweep(self) -> bool:
        self.admission.sweep()
        now = self._clock.now_ms()
        for running in list(self._by_send.values()):
            patience_ms = 0 if running.call.rule.idempotent else self._overdue_ms
            overdue = running.call.deadline_ms + patience_ms <= now
            if overdue and running.connection is not None:
                running.connection.fail(DeadlineExceeded())
        return bool(self._by_send)
