"""Callers: an open-loop load over HTTP, with every answer checked byte for byte."""

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

ANSWER_LIMIT_BYTES = 16_777_216
DEFAULT_ANSWER_BYTES = 100
NO_ANSWER = "no-answer"
RESEND_PAUSE_S = 0.3


@dataclass(slots=True)
class Shape:
    """One kind of request and how often it comes."""

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
    sends: int = 1
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)


@dataclass(slots=True)
class Ended:
    """How one request ended for its caller."""

    shape: Shape
    tag: str
    outcome: str
    reason: str
    status: int
    ms: float
    at_s: float
    whole: bool
    told_s: float = 0.0
    key: str = ""


@dataclass(slots=True)
class Tally:
    """All requests of a load."""

    ended: list[Ended] = field(default_factory=list)

    def of(self, name: str) -> list[Ended]:
        """The requests of one shape."""
        return [one for one in self.ended if one.shape.name == name]


def quantile_ms(times: list[float], percent: float) -> float:
    """A quantile of times in milliseconds."""
    if not times:
        return 0.0
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for one in times:
        histogram.record_value(max(1, int(one * 1000)))
    return histogram.get_value_at_percentile(percent) / 1000


class Callers:
    """Sends requests to ports at their times, whether or not earlier ones have ended."""

    def __init__(self, ports: list[int], seed: int) -> None:
        self.tally = Tally()
        self.rng = random.Random(seed)
        self._pools = [ConnectionPool(reactor, "127.0.0.1", port) for port in ports]
        self._count = 0
        self._loop: Any = reactor
        self._begun_s = self._loop.seconds()

    def avoid(self, port: int) -> None:
        """Send nothing more to a port."""
        self._pools = [pool for pool in self._pools if pool.port != port]

    def run(self, shapes: list[Shape], duration_s: float) -> Deferred[Any]:
        """Send requests of all shapes for a time; fires when all have ended."""
        arrivals = sorted(self._arrivals(shapes, duration_s), key=lambda pair: pair[0])
        self._begun_s = self._loop.seconds()
        done = [self._schedule(at_s, shape) for at_s, shape in arrivals]
        return DeferredList(done)

    def _arrivals(self, shapes: list[Shape], duration_s: float) -> list[tuple[float, Shape]]:
        arrivals = []
        for shape in shapes:
            at_s = self.rng.expovariate(shape.rate_per_s)
            while at_s < duration_s:
                arrivals.append((at_s, shape))
                at_s += self.rng.expovariate(shape.rate_per_s)
        return arrivals

    def _schedule(self, at_s: float, shape: Shape) -> Deferred[None]:
        done: Deferred[None] = Deferred()

        def begin() -> None:
            pool = self.rng.choice(self._pools)
            ensureDeferred(self._send_until_known(shape, pool, at_s)).chainDeferred(done)

        now_s = self._loop.seconds() - self._begun_s
        self._loop.callLater(max(0.0, at_s - now_s), begin)
        return done

    async def send_now(self, shape: Shape) -> Ended:
        """Send one request that is due now."""
        self._begun_s = self._loop.seconds()
        return await self.send(shape, self._pools[0], 0.0)

    async def _send_until_known(self, shape: Shape, pool: ConnectionPool, at_s: float) -> None:
        """Send a request, and its key again elsewhere while its outcome is not known."""
        ended = await self.send(shape, pool, at_s)
        for _ in range(shape.sends - 1):
            if ended.outcome not in ("unknown", "refused", NO_ANSWER):
                return
            await deferLater(self._loop, RESEND_PAUSE_S, lambda: None)
            pool = self.rng.choice(self._pools)
            ended = await self.send(shape, pool, at_s, ended.key, tag=ended.tag)

    async def send(
        self,
        shape: Shape,
        pool: ConnectionPool,
        due_s: float,
        key: str = "",
        tag: str = "",
    ) -> Ended:
        """Send one request that was due at a time since the start; waiting to be sent counts."""
        self._count += 1
        tag = tag or f"{shape.name}-{self._count}-{self.rng.getrandbits(32):08x}"
        path = f"{shape.path}/{tag}" if shape.unique_path else shape.path
        headers = [(b"host", shape.host.encode()), (b"x-tag", tag.encode())]
        headers.append((b"x-answer-bytes", b"%d" % shape.answer_bytes))
        if shape.tenant:
            headers.append((b"x-tenant", shape.tenant.encode()))
        if shape.run_ms is not None:
            headers.append((b"x-run-ms", b"%f" % shape.run_ms))
        if shape.stream_ms:
            headers.append((b"x-stream-ms", b"%d" % shape.stream_ms))
        if shape.keyed or key:
            headers.append((b"idempotency-key", (key or tag).encode()))
        headers.extend(shape.headers)
        payload = b"" if shape.method == "GET" else tag.encode()
        head = RequestHead(shape.method.encode(), path.encode(), headers)
        ended = await self._exchange(shape, pool, head, payload, tag)
        ended.at_s = due_s
        ended.told_s = time.time()
        ended.key = key or tag
        ended.ms = (self._loop.seconds() - self._begun_s - due_s) * 1000
        self.tally.ended.append(ended)
        return ended

    async def _exchange(
        self, shape: Shape, pool: ConnectionPool, head: RequestHead, payload: bytes, tag: str
    ) -> Ended:
        try:
            connection = await pool.acquire()
        except ConnectFailed:
            return Ended(shape, tag, "refused", "connect", 0, 0.0, 0.0, True)
        try:
            response = await connection.request(head, BodyStream.from_bytes(payload))
            await response.body.buffer(ANSWER_LIMIT_BYTES)
        except HttpError as error:
            return Ended(shape, tag, NO_ANSWER, type(error).__name__, 0, 0.0, 0.0, False)
        outcome, _, reason = get_header_text(response.head.headers, b"foxtail-outcome").partition(
            "; reason="
        )
        body = response.body.buffered()
        expected = expected_body(
            head.method, head.target, tag.encode(), payload, shape.answer_bytes
        )
        whole = bool(outcome) or response.head.status >= 500 or body == expected
        word = outcome or ("answered" if response.head.status < 500 else "failed")
        return Ended(shape, tag, word, reason, response.head.status, 0.0, 0.0, whole)
