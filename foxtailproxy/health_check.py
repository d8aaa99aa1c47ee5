"""Health checks of the upstream: whether it runs, and how fast it works at this moment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from twisted.internet.defer import Deferred

from foxtailproxy.clock import cancel_timer
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.errors import DeadlineExceeded, HttpError
from foxtailproxy.http.messages import RequestHead

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock
    from foxtailproxy.dialect import Dialect, UpstreamNote
    from foxtailproxy.http.pool import ConnectionPool
    from foxtailproxy.speed import Slowness

log = structlog.get_logger()

HEALTHY_STATUS = 200
BODY_BYTES = 4096

TIMEOUT_MS = 1000
"""Longest wait for the answer of an upstream that may just be starting, in milliseconds."""

SPEED_TIMEOUT_MS = 100
"""Longest wait for a report of the speed, in milliseconds; a call waits for it."""

FRESH_SPEED_MS = 80
"""Age up to which a report of the upstream's speed is taken as it is, in milliseconds."""


class HealthCheck:
    """Asks the upstream at `path`."""

    def __init__(self, clock: Clock, dialect: Dialect, speed: Slowness) -> None:
        self.path = "/healthz"
        self.speed_checks = 0
        self._clock = clock
        self._dialect = dialect
        self._speed = speed
        self._waiting: list[Deferred[None]] | None = None

    async def healthy(self, pool: ConnectionPool) -> UpstreamNote | None:
        """What the upstream says of itself; `None` where it is not there or not well."""
        try:
            status, note = await self._ask(pool, TIMEOUT_MS)
        except HttpError as error:
            log.info("upstream_not_found", error=type(error).__name__)
            return None
        if status != HEALTHY_STATUS or not note.instance or note.load is None:
            log.info("upstream_not_healthy", status=status, instance=note.instance)
            return None
        return note

    async def refresh_speed(
        self, pool: ConnectionPool | None, fresh_ms: float = FRESH_SPEED_MS
    ) -> None:
        """Ask for the speed where the last report is older than `fresh_ms`.

        One question at a time; who comes meanwhile waits for its answer.
        """
        if pool is None or not self._speed.known or self._speed.age_ms < fresh_ms:
            return
        if self._waiting is not None:
            answered: Deferred[None] = Deferred()
            self._waiting.append(answered)
            await answered
            return
        self._waiting = []
        try:
            await self._ask_speed(pool)
        finally:
            waiting, self._waiting = self._waiting, None
            for answered in waiting:
                answered.callback(None)

    async def _ask_speed(self, pool: ConnectionPool) -> None:
        try:
            _, note = await self._ask(pool, SPEED_TIMEOUT_MS)
        except HttpError as error:
            log.info("speed_not_known", error=type(error).__name__)
            return
        self.speed_checks += 1
        if note.load is not None:
            self._speed.observe(note.load.slowness)

    async def _ask(self, pool: ConnectionPool, timeout_ms: float) -> tuple[int, UpstreamNote]:
        head = RequestHead(b"GET", self.path.encode(), [(b"host", pool.address.encode())])
        connection = await pool.acquire()
        timer = self._clock.call_later(timeout_ms, connection.fail, DeadlineExceeded())
        try:
            response = await connection.request(
                head, BodyStream.from_bytes(b""), lambda answer: self._dialect.is_answer(answer, "")
            )
            await response.body.buffer(BODY_BYTES)
        finally:
            cancel_timer(timer)
        return response.head.status, self._dialect.read_upstream(response.head)
