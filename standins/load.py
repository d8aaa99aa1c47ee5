"""Open-loop load generator over HTTP that checks every answer byte for byte."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredList, ensureDeferred
from twisted.internet.task import deferLater

from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.errors import ConnectFailed, HttpError
from foxtailproxy.http.messages import RequestHead, get_header_text
from foxtailproxy.http.pool import ConnectionPool
from standins.upstream import expected_body

MAX_ANSWER_BYTES = 16_777_216
DEFAULT_ANSWER_BYTES = 100
NO_ANSWER = "no-answer"
RESEND_DELAY_S = 0.3


@dataclass(slots=True)
class RequestProfile:
    """One kind of request and its rate.

    With `keyed`, each request carries an idempotency key. A request whose outcome is unknown is
    sent up to `max_sends` times. `run_ms` is the run time requested from the upstream.
    """

    name: str
    host: str
    method: str
    path: str
    rate_per_s: float
    run_ms: float | None = None
    tenant: str = ""
    keyed: bool = False
    answer_bytes: int = DEFAULT_ANSWER_BYTES
    stream_ms: int = 0
    unique_path: bool = True
    max_sends: int = 1
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)


@dataclass(slots=True)
class RequestResult:
    """Result of one send, as its caller saw it.

    `due_s` is the time since the start of the load, `ended_at_s` the Unix time. `body_valid` is
    false if the exchange broke off, or if an upstream's answer had another body than expected.
    """

    profile: RequestProfile
    tag: str
    outcome: str
    reason: str
    status: int
    latency_ms: float
    due_s: float
    body_valid: bool
    ended_at_s: float = 0.0
    key: str = ""


@dataclass(slots=True)
class LoadReport:
    """Results of all sends of a load."""

    results: list[RequestResult] = field(default_factory=list)

    def results_of(self, name: str) -> list[RequestResult]:
        """Return the results of one request profile."""
        return [result for result in self.results if result.profile.name == name]


def percentile_ms(times_ms: list[float], percent: float) -> float:
    """Return a percentile of times in milliseconds."""
    if not times_ms:
        return 0.0
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for time_ms in times_ms:
        histogram.record_value(max(1, int(time_ms * 1000)))
    return histogram.get_value_at_percentile(percent) / 1000


class LoadGenerator:
    """Sender of requests at their due times, whether or not earlier ones have ended."""

    def __init__(self, ports: list[int], seed: int) -> None:
        self.report = LoadReport()
        self.rng = random.Random(seed)
        self._pools = [ConnectionPool(reactor, "127.0.0.1", port) for port in ports]
        self._request_count = 0
        self._loop: Any = reactor
        self._started_s = self._loop.seconds()

    def remove_port(self, port: int) -> None:
        """Send no more requests to a port."""
        self._pools = [pool for pool in self._pools if pool.port != port]

    def run(self, profiles: list[RequestProfile], duration_s: float) -> Deferred[Any]:
        """Send requests of all profiles for a time; the result fires when all have ended."""
        arrivals = sorted(self._arrivals(profiles, duration_s), key=lambda arrival: arrival[0])
        self._started_s = self._loop.seconds()
        all_ended = [self._schedule(due_s, profile) for due_s, profile in arrivals]
        return DeferredList(all_ended)

    def _arrivals(
        self, profiles: list[RequestProfile], duration_s: float
    ) -> list[tuple[float, RequestProfile]]:
        arrivals = []
        for profile in profiles:
            due_s = self.rng.expovariate(profile.rate_per_s)
            while due_s < duration_s:
                arrivals.append((due_s, profile))
                due_s += self.rng.expovariate(profile.rate_per_s)
        return arrivals

    def _schedule(self, due_s: float, profile: RequestProfile) -> Deferred[None]:
        request_ended: Deferred[None] = Deferred()

        def start_request() -> None:
            pool = self.rng.choice(self._pools)
            ensureDeferred(self._send_until_outcome_known(profile, pool, due_s)).chainDeferred(
                request_ended
            )

        now_s = self._loop.seconds() - self._started_s
        self._loop.callLater(max(0.0, due_s - now_s), start_request)
        return request_ended

    async def send_now(self, profile: RequestProfile) -> RequestResult:
        """Send one request that is due now."""
        self._started_s = self._loop.seconds()
        return await self.send(profile, self._pools[0], 0.0)

    async def _send_until_outcome_known(
        self, profile: RequestProfile, pool: ConnectionPool, due_s: float
    ) -> None:
        """Send a request; resend it with its key to a random port while its outcome is unknown."""
        result = await self.send(profile, pool, due_s)
        for _ in range(profile.max_sends - 1):
            if result.outcome not in ("unknown", "refused", NO_ANSWER):
                return
            await deferLater(self._loop, RESEND_DELAY_S, lambda: None)
            pool = self.rng.choice(self._pools)
            result = await self.send(profile, pool, due_s, result.key, tag=result.tag)

    async def send(
        self,
        profile: RequestProfile,
        pool: ConnectionPool,
        due_s: float,
        key: str = "",
        tag: str = "",
    ) -> RequestResult:
        """Send one request; its latency counts from `due_s`, in seconds since the start."""
        self._request_count += 1
        tag = tag or f"{profile.name}-{self._request_count}-{self.rng.getrandbits(32):08x}"
        path = f"{profile.path}/{tag}" if profile.unique_path else profile.path
        headers = [(b"host", profile.host.encode()), (b"x-tag", tag.encode())]
        headers.append((b"x-answer-bytes", b"%d" % profile.answer_bytes))
        if profile.tenant:
            headers.append((b"x-tenant", profile.tenant.encode()))
        if profile.run_ms is not None:
            headers.append((b"x-run-ms", b"%f" % profile.run_ms))
        if profile.stream_ms:
            headers.append((b"x-stream-ms", b"%d" % profile.stream_ms))
        if profile.keyed or key:
            headers.append((b"idempotency-key", (key or tag).encode()))
        headers.extend(profile.headers)
        payload = b"" if profile.method == "GET" else tag.encode()
        head = RequestHead(profile.method.encode(), path.encode(), headers)
        result = await self._exchange(profile, pool, head, payload, tag)
        result.due_s = due_s
        result.ended_at_s = time.time()
        result.key = key or tag
        result.latency_ms = (self._loop.seconds() - self._started_s - due_s) * 1000
        self.report.results.append(result)
        return result

    async def _exchange(
        self,
        profile: RequestProfile,
        pool: ConnectionPool,
        head: RequestHead,
        payload: bytes,
        tag: str,
    ) -> RequestResult:
        try:
            connection = await pool.acquire()
        except ConnectFailed:
            return RequestResult(profile, tag, "refused", "connect", 0, 0.0, 0.0, True)
        try:
            response = await connection.request(head, BodyStream.from_bytes(payload))
            await response.body.buffer(MAX_ANSWER_BYTES)
        except HttpError as error:
            return RequestResult(profile, tag, NO_ANSWER, type(error).__name__, 0, 0.0, 0.0, False)
        outcome, _, reason = get_header_text(response.head.headers, b"foxtail-outcome").partition(
            "; reason="
        )
        body = response.body.buffered()
        expected = expected_body(
            head.method, head.target, tag.encode(), payload, profile.answer_bytes
        )
        body_valid = bool(outcome) or response.head.status >= 500 or body == expected
        final_outcome = outcome or ("answered" if response.head.status < 500 else "failed")
        return RequestResult(
            profile, tag, final_outcome, reason, response.head.status, 0.0, 0.0, body_valid
        )
