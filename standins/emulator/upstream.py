"""Emulated upstreams: slots, a knee, noisy neighbours, cold starts and faults."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, fail, succeed

from foxtailproxy.dialect import UpstreamLoad, UpstreamMetadata
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.client import ClientResponse, ExchangeTrace
from foxtailproxy.http.errors import ConnectFailed, ConnectionLost, HttpError
from foxtailproxy.http.messages import HeaderList, RequestHead, ResponseHead

if TYPE_CHECKING:
    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock

HEALTH_CHECK_MS = 1.0

MAX_FACTOR = 1000.0


@dataclass(frozen=True, slots=True)
class UpstreamProfile:
    """Behaviour of the upstreams of a deployment.

    Work takes `noise_factor` times as long for `noise_share` of the time, in spells of about
    `noise_ms`. From `knee` of the slots on it takes longer, up to `knee_factor` times as long with
    all slots busy; after a start it takes `cold_factor` times as long for `cold_ms`.
    """

    slots: int = 5
    queue: int = 9
    noise_share: float = 0.25
    noise_factor: float = 4.0
    noise_ms: float = 300.0
    knee: float = 0.8
    knee_factor: float = 1.7
    cold_ms: float = 3000.0
    cold_factor: float = 2.0


@dataclass(slots=True)
class Work:
    """Work of one request: two parts with the calls of other services between them.

    `run_calls` makes these calls and returns whether all of them were answered.
    """

    first_ms: float
    second_ms: float
    answer: bytes
    run_calls: Callable[[], Deferred[bool]] | None = None


@dataclass(eq=False, slots=True)
class Job:
    """One request at an upstream; `left_ms` is the rest of its current part."""

    work: Work
    response: Deferred[ClientResponse]
    attempt_id: str
    left_ms: float
    in_second_part: bool = False
    calls_running: bool = False
    ended: bool = False


class EmulatedUpstream:
    """One upstream process.

    `find_work` returns the work of a request by its attempt id. The faults are attributes that may
    change at any time: `slow_factor`, `shed_share` of rejected requests, `error_share` of requests
    that fail after their work, and `down`.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        profile: UpstreamProfile,
        find_work: Callable[[str], Work],
    ) -> None:
        self.profile = profile
        self.slow_factor = 1.0
        self.shed_share = 0.0
        self.error_share = 0.0
        self.down = False
        self.speed_checks = 0
        self.worked_ms = 0.0
        self._clock = clock
        self._rng = rng
        self._find_work = find_work
        self._running: list[Job] = []
        self._waiting: list[Job] = []
        self._noisy = False
        self._cold_until_ms = 0.0
        self._updated_ms = clock.now_ms()
        self._timer: Any = None
        self._change_noise()

    # The interface of a connection pool

    address = "upstream"

    def acquire(
        self, force_new: bool = False, max_idle_ms: float | None = None
    ) -> Deferred[EmulatedConnection]:
        """Return a connection; fails with `ConnectFailed` while the upstream is down."""
        return fail(ConnectFailed()) if self.down else succeed(EmulatedConnection(self))

    def close(self) -> None:
        """Do nothing: emulated connections hold nothing open."""

    def close_idle_connections(self) -> None:
        """Do nothing: emulated connections hold nothing open."""

    # Requests

    def submit(self, head: RequestHead) -> tuple[Job | None, Deferred[ClientResponse]]:
        """Start or queue a request; return its job, if it has one, and its response."""
        response: Deferred[ClientResponse] = Deferred()
        if not head.headers or head.headers[0][0] != b"attempt":
            self.speed_checks += 1
            self._clock.call_later(HEALTH_CHECK_MS, self._respond, response, 200, b"")
            return None, response
        if self._rng.random() < self.shed_share:
            self._respond_not_run(response)
            return None, response
        work = self._find_work(head.headers[0][1].decode())
        job = Job(work, response, head.headers[0][1].decode(), work.first_ms)
        if len(self._running) < self.profile.slots:
            self._update()
            self._running.append(job)
            self._reschedule()
        elif len(self._waiting) < self.profile.queue:
            self._waiting.append(job)
        else:
            job.ended = True
            self._respond_not_run(response)
            return None, response
        return job, response

    def drop(self, job: Job) -> None:
        """End a job whose connection was closed."""
        if job.ended:
            return
        job.ended = True
        if job in self._waiting:
            self._waiting.remove(job)
            return
        self._update()
        self._running.remove(job)
        self._start_waiting()
        self._reschedule()

    def stop(self) -> None:
        """Crash: all running requests lose their connection."""
        self._update()
        self.down = True
        jobs, self._running, self._waiting = self._running + self._waiting, [], []
        self._reschedule()
        for job in jobs:
            job.ended = True
            job.response.errback(ConnectionLost())

    def start(self) -> None:
        """Come back after a crash, cold."""
        self.down = False
        self._cold_until_ms = self._clock.now_ms() + self.profile.cold_ms
        self._clock.call_later(self.profile.cold_ms, self._speed_changed)

    def set_slow_factor(self, factor: float) -> None:
        """Change the speed, as a fault that the upstream does not report."""
        self._update()
        self.slow_factor = factor
        self._reschedule()

    def load(self) -> UpstreamLoad:
        """Return the load that the upstream reports."""
        return UpstreamLoad(
            len(self._running), len(self._waiting), self.profile.slots, self._reported_factor()
        )

    # Speed

    def _reported_factor(self) -> float:
        profile = self.profile
        factor = profile.noise_factor if self._noisy else 1.0
        if self._clock.now_ms() < self._cold_until_ms:
            factor *= profile.cold_factor
        share = len(self._running) / profile.slots
        if share > profile.knee:
            above_knee = (share - profile.knee) / (1 - profile.knee)
            factor *= 1 + (profile.knee_factor - 1) * above_knee
        return factor

    def _factor(self) -> float:
        return self._reported_factor() * self.slow_factor

    def _change_noise(self) -> None:
        self._update()
        self._noisy = self._rng.random() < self.profile.noise_share
        self._reschedule()
        delay_ms = self.profile.noise_ms * (0.5 + self._rng.random())
        self._clock.call_later(delay_ms, self._change_noise)

    def _speed_changed(self) -> None:
        self._update()
        self._reschedule()

    def _update(self) -> None:
        """Account for the work done since the last change of speed."""
        now_ms = self._clock.now_ms()
        if self._running:
            done_ms = (now_ms - self._updated_ms) / self._factor()
            for job in self._running:
                if not job.calls_running:
                    job.left_ms -= done_ms
                    self.worked_ms += done_ms
        self._updated_ms = now_ms

    def _reschedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        working = [job.left_ms for job in self._running if not job.calls_running]
        if working:
            delay_ms = max(0.0, min(working)) * self._factor()
            self._timer = self._clock.call_later(delay_ms, self._part_done)

    def _part_done(self) -> None:
        self._timer = None
        self._update()
        for job in list(self._running):
            if not job.calls_running and job.left_ms <= 1e-6:
                self._finish_part(job)
        self._reschedule()

    def _finish_part(self, job: Job) -> None:
        if job.in_second_part:
            self._finish(job, 500 if self._rng.random() < self.error_share else 200)
            return
        job.in_second_part = True
        job.left_ms = job.work.second_ms
        if job.work.run_calls is not None:
            job.calls_running = True
            job.work.run_calls().addCallback(lambda answered: self._calls_done(job, answered))

    def _calls_done(self, job: Job, answered: bool) -> None:
        if job.ended:
            return
        self._update()
        job.calls_running = False
        if not answered:
            self._finish(job, 500)
        self._reschedule()

    def _finish(self, job: Job, status: int) -> None:
        job.ended = True
        self._running.remove(job)
        self._start_waiting()
        self._respond(job.response, status, job.work.answer if status == 200 else b"")

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self.profile.slots:
            self._running.append(self._waiting.pop(0))

    def _respond(self, response: Deferred[ClientResponse], status: int, answer: bytes) -> None:
        if not response.called:
            head = EmulatedHead(status, b"", [], UpstreamMetadata(load=self.load(), instance="i"))
            response.callback(ClientResponse(head, BodyStream.from_bytes(answer)))

    def _respond_not_run(self, response: Deferred[ClientResponse]) -> None:
        metadata = UpstreamMetadata(not_run=True, load=self.load(), instance="i")
        head = EmulatedHead(503, b"", [], metadata)
        response.callback(ClientResponse(head, BodyStream.from_bytes(b"")))


class EmulatedConnection:
    """Connection to an emulated upstream."""

    was_idle = False
    closed = False

    def __init__(self, upstream: EmulatedUpstream) -> None:
        self.trace = ExchangeTrace()
        self._upstream = upstream
        self._job: Job | None = None

    def request(self, head: RequestHead, body: BodyStream, matcher: Any) -> Deferred[Any]:
        """Send a request."""
        self._job, response = self._upstream.submit(head)
        return response

    def fail(self, error: HttpError) -> None:
        """Fail the exchange in progress and close the connection."""
        if self._job is not None and not self._job.ended:
            self._upstream.drop(self._job)
            self._job.response.errback(error)

    def abort(self) -> None:
        """Close the connection."""


@dataclass(slots=True)
class EmulatedHead(ResponseHead):
    """Response head with the upstream's metadata in place of headers."""

    metadata: UpstreamMetadata = field(default_factory=UpstreamMetadata)


class EmulatedDialect:
    """Dialect with which a target speaks to an emulated upstream."""

    def upstream_headers(self, call: Call, remaining_ms: int, instance: str) -> HeaderList:
        """Return the attempt id, by which the upstream finds the work."""
        return [(b"attempt", call.attempt_id.encode())]

    def read_upstream_metadata(self, head: Any) -> UpstreamMetadata:
        """Return the metadata of a response."""
        return head.metadata

    def answers_attempt(self, head: ResponseHead, attempt_id: str) -> bool:
        """Return true: emulated upstreams answer only once."""
        return True

    def forwarded_headers(self, headers: HeaderList) -> HeaderList:
        """Return no headers."""
        return []
