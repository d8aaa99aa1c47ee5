"""The upstream beside this node: the only way in, so its slots are counted exactly."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

import structlog
from expression import Error, Ok
from twisted.internet.defer import Deferred, ensureDeferred

from foxtailproxy.admission import Admission, Ticket
from foxtailproxy.http.errors import ConnectFailed, DeadlinePassed, ExchangeCancelled, HttpError
from foxtailproxy.http.messages import RequestHead, ResponseHead, end_to_end, get_text
from foxtailproxy.http.pool import ConnectionPool
from foxtailproxy.outcome import Answer, NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from foxtailproxy.wire import OUTCOME, upstream_headers, without_own

if TYPE_CHECKING:
    from twisted.internet.task import LoopingCall

    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock
    from foxtailproxy.http.body import BodyStream
    from foxtailproxy.http.client import ClientConnection, ClientResponse
    from foxtailproxy.load import Load
    from foxtailproxy.models.messages import Announcement

log = structlog.get_logger()

SERVER_ERROR = 500
"""First status that tells of an error of the upstream."""

SWEEP_MS = 20
"""Time between two looks at deadlines, in milliseconds."""

OVERDUE_MS = 30_000
"""Time after its deadline for which a call that may not run again keeps its slot and connection."""

CRASH_CHECK_MS = 50
"""Time between the loss of a connection and the check whether the upstream died."""

PROBE_MS = 500
"""Time between two tries to reach an upstream that is down, in milliseconds."""


class TargetListener(Protocol):
    """Is told of changes of the target."""

    def target_changed(self) -> None:
        """The target appeared, went down, or leaves."""

    def target_crashed(self, calls: list[Call]) -> None:
        """The upstream died while it ran `calls`."""

    def call_completed(self, call: Call) -> None:
        """The upstream answered `call` without an error of its own."""


@dataclass(eq=False, slots=True)
class RunningCall:
    """A call that waits at the target or runs."""

    call: Call
    ticket: Ticket
    connection: ClientConnection | None = None


class Target:
    """Admits calls and runs them at the upstream."""

    def __init__(self, clock: Clock, reactor: Any, listener: TargetListener) -> None:
        self.announcement: Announcement | None = None
        self.leaving = False
        self.down = False
        self.admission = Admission(clock, 0)
        self._clock = clock
        self._reactor = reactor
        self._listener = listener
        self._pool: ConnectionPool | None = None
        self._by_attempt: dict[str, RunningCall] = {}
        self._crashed: list[Call] = []
        self._loops: list[LoopingCall] = []
        self._probing = False

    def start(self) -> None:
        """Begin to look at deadlines."""
        self._loops.append(self._clock.repeat(SWEEP_MS, self._sweep))
        self._loops.append(self._clock.repeat(PROBE_MS, self._probe_if_down))

    def close(self) -> None:
        """Stop the timers and close idle connections."""
        for loop in self._loops:
            loop.stop()
        if self._pool is not None:
            self._pool.close()

    def announce(self, announcement: Announcement) -> None:
        """The upstream says that it serves."""
        if announcement == self.announcement and not self.down and not self.leaving:
            return
        if self.leaving and self._same_instance(announcement):
            return
        log.info(
            "upstream_announced",
            service=announcement.service,
            port=announcement.port,
            slots=announcement.slots,
        )
        if self._pool is not None:
            self._pool.close()
        self._pool = ConnectionPool(self._reactor, announcement.address, announcement.port)
        self.announcement = announcement
        self.leaving = False
        self.down = False
        self.admission.set_slots(announcement.slots)
        self._listener.target_changed()

    def _same_instance(self, announcement: Announcement) -> bool:
        known = self.announcement
        return known is not None and announcement.instance == known.instance

    def leave(self) -> None:
        """The upstream takes no new work; what waits is refused, what runs is finished."""
        if self.leaving:
            return
        log.info("upstream_leaving")
        self.leaving = True
        self.admission.refuse_all(NotRunReason.LEAVING)
        self._listener.target_changed()

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
        refusal = self._refusal(call)
        if refusal is not None:
            return Error(refusal)
        admitted: Deferred[NotRun | None] = Deferred()
        ticket = Ticket(call, lambda: admitted.callback(None), admitted.callback)
        running = RunningCall(call, ticket)
        self._by_attempt[call.attempt_id] = running
        self.admission.enter(ticket)
        refused = await admitted
        if refused is not None:
            del self._by_attempt[call.attempt_id]
            return Error(refused)
        return await self._run_admitted(running)

    def cancel(self, attempt_id: str) -> None:
        """The caller does not want the answer any more.

        A call that waits is dropped. One that runs is stopped only where it may run again.
        """
        running = self._by_attempt.get(attempt_id)
        if running is None:
            return
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
        assert self._pool is not None
        try:
            connection = await self._pool.acquire(fresh=not call.rule.idempotent)
        except ConnectFailed:
            self._end(running)
            self._mark_down()
            return Error(NotRun(NotRunReason.TARGET_DOWN))
        if call.remaining_ms(self._clock) <= 0:
            self._end(running)
            connection.abort()
            return Error(NotRun(NotRunReason.DEADLINE))
        running.connection = connection
        reused = connection.used
        head = RequestHead(call.head.method, call.head.target, upstream_headers(call, self._clock))
        try:
            response = await connection.request(head, call.body())
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
        self._pool.drop_idle()
        return await self.run(call)

    def _answered(self, running: RunningCall, response: ClientResponse) -> Outcome:
        self._end_with_body(running, response.body)
        if get_text(response.head.headers, OUTCOME).startswith("not-run"):
            assert running.connection is not None
            running.connection.abort()
            return Error(NotRun(NotRunReason.UPSTREAM_REFUSED))
        if response.head.status < SERVER_ERROR:
            self._listener.call_completed(running.call)
        headers = without_own(end_to_end(response.head.headers))
        return Ok(
            Answer(ResponseHead(response.head.status, response.head.reason, headers), response.body)
        )

    def _end_with_body(self, running: RunningCall, body: BodyStream) -> None:
        if body.ended or body.error is not None:
            self._end(running)
        else:
            body.on_done = lambda: self._end(running)

    def _end(self, running: RunningCall) -> None:
        self.admission.leave(running.ticket)
        self._by_attempt.pop(running.call.attempt_id, None)

    async def _lost(self, running: RunningCall, error: HttpError) -> Unknown:
        """The exchange broke: find out whether the upstream died with it."""
        self._end(running)
        if isinstance(error, DeadlinePassed):
            return Unknown(UnknownReason.DEADLINE)
        if isinstance(error, ExchangeCancelled):
            return Unknown(UnknownReason.CANCELLED)
        self._crashed.append(running.call)
        # A dying process may still accept connections for a moment.
        await self._clock.sleep(CRASH_CHECK_MS)
        crashed = not await self._reachable()
        if crashed:
            self._mark_down()
        elif running.call in self._crashed:
            self._crashed.remove(running.call)
        return Unknown(UnknownReason.UPSTREAM_LOST, crashed)

    async def _reachable(self) -> bool:
        if self._pool is None:
            return False
        try:
            connection = await self._pool.acquire(fresh=True)
        except ConnectFailed:
            return False
        connection.abort()
        return True

    def _mark_down(self) -> None:
        crashed, self._crashed = self._crashed, []
        if crashed:
            self._listener.target_crashed(crashed)
        if self.down:
            return
        log.warning("upstream_down")
        self.down = True
        if self._pool is not None:
            self._pool.drop_idle()
        self.admission.refuse_all(NotRunReason.TARGET_DOWN)
        self._listener.target_changed()

    def _probe_if_down(self) -> None:
        if self.down and not self._probing:
            ensureDeferred(self._probe())

    async def _probe(self) -> None:
        self._probing = True
        reachable = await self._reachable()
        self._probing = False
        if reachable and self.down:
            log.info("upstream_up")
            self.down = False
            self._listener.target_changed()

    def _sweep(self) -> None:
        self.admission.sweep()
        now = self._clock.now_ms()
        for running in list(self._by_attempt.values()):
            patience_ms = 0 if running.call.rule.idempotent else OVERDUE_MS
            overdue = running.call.deadline_ms + patience_ms <= now
            if overdue and running.connection is not None:
                running.connection.fail(DeadlinePassed())
