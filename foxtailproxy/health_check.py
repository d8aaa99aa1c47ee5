"""Health checks of the upstream: whether it is healthy, and its current slowness."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from twisted.internet.defer import Deferred

from foxtailproxy.clock import cancel_timer
from foxtailproxy.dialect import HEALTH_CHECK, AnswerMatcher
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.errors import DeadlineExceeded, HttpError, MalformedResponse
from foxtailproxy.http.messages import RequestHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.clock import Clock
    from foxtailproxy.dialect import Dialect, UpstreamMetadata
    from foxtailproxy.http.pool import ConnectionPool
    from foxtailproxy.speed import Slowness

log = structlog.get_logger()

HEALTHY_STATUS = 200
MAX_BODY_BYTES = 4096

TIMEOUT_MS = 1000
"""Timeout of the health check of an upstream that may just be starting, in milliseconds."""

SPEED_CHECK_TIMEOUT_MS = 100
"""Timeout of a speed check, in milliseconds; a call waits for it."""

MAX_SLOWNESS_AGE_MS = 80
"""Maximum age of a slowness report that is used without a new speed check, in milliseconds."""


class HealthCheck:
    """Health and speed checks of the upstream by requests to `path`.

    A speed check requests a new report of the upstream's slowness. `on_checked` gets the metadata
    of each answer.
    """

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        slowness: Slowness,
        on_checked: Callable[[UpstreamMetadata], None],
    ) -> None:
        self.path = "/healthz"
        self.speed_checks = 0
        self._clock = clock
        self._dialect = dialect
        self._slowness = slowness
        self._on_checked = on_checked
        self._waiters: list[Deferred[None]] | None = None

    async def check(self, pool: ConnectionPool) -> UpstreamMetadata | None:
        """Return the upstream's metadata, or `None` if it is unreachable or unhealthy."""
        try:
            status, metadata = await self._request(pool, TIMEOUT_MS)
        except HttpError as error:
            log.info("health_check_failed", error=type(error).__name__)
            return None
        if status != HEALTHY_STATUS or not metadata.instance:
            log.info("upstream_unhealthy", status=status, instance=metadata.instance)
            return None
        return metadata

    async def refresh_slowness(
        self, pool: ConnectionPool | None, max_age_ms: float = MAX_SLOWNESS_AGE_MS
    ) -> None:
        """Run a speed check if the latest slowness report is older than `max_age_ms`.

        One check runs at a time; calls of this method meanwhile wait for its end.
        """
        if pool is None or not self._slowness.has_report or self._slowness.age_ms < max_age_ms:
            return
        if self._waiters is not None:
            waiter: Deferred[None] = Deferred()
            self._waiters.append(waiter)
            await waiter
            return
        self._waiters = []
        try:
            await self._run_speed_check(pool)
        finally:
            waiters, self._waiters = self._waiters, None
            for waiter in waiters:
                waiter.callback(None)

    async def _run_speed_check(self, pool: ConnectionPool) -> None:
        try:
            _, metadata = await self._request(pool, SPEED_CHECK_TIMEOUT_MS)
        except HttpError as error:
            log.info("speed_check_failed", error=type(error).__name__)
            return
        self.speed_checks += 1
        if metadata.load is not None:
            self._slowness.record(metadata.load.slowness)

    async def _request(
        self, pool: ConnectionPool, timeout_ms: float
    ) -> tuple[int, UpstreamMetadata]:
        head = RequestHead(b"GET", self.path.encode(), [(b"host", pool.address.encode())])
        connection = await pool.acquire()
        timer = self._clock.call_later(timeout_ms, connection.fail, DeadlineExceeded())
        try:
            response = await connection.request(
                head,
                BodyStream.from_bytes(b""),
                AnswerMatcher(self._dialect, HEALTH_CHECK),
            )
            if not await response.body.buffer(MAX_BODY_BYTES):
                connection.fail(MalformedResponse())
        finally:
            cancel_timer(timer)
        metadata = self._dialect.read_upstream_metadata(response.head)
        self._on_checked(metadata)
        return response.head.status, metadata
