"""Finds out whether the upstream died with a connection, and when it is there again."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import structlog
from twisted.internet.defer import ensureDeferred

from foxtailproxy.clock import WorkTimer
from foxtailproxy.http.errors import ConnectFailed

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock
    from foxtailproxy.http.pool import ConnectionPool

log = structlog.get_logger()

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


class CrashWatch:
    """Whether the upstream is down, and the calls that it may have died of.

    `pool` gives the upstream's connections, `refuse_waiting` turns away the calls that wait.
    """

    def __init__(
        self,
        clock: Clock,
        listener: TargetListener,
        pool: Callable[[], ConnectionPool | None],
        refuse_waiting: Callable[[], None],
    ) -> None:
        self.down = False
        self._clock = clock
        self._listener = listener
        self._pool = pool
        self._refuse_waiting = refuse_waiting
        self._crashed: list[Call] = []
        self._probe_timer = WorkTimer(clock, PROBE_MS, self._probe_if_down)
        self._probing = False

    def close(self) -> None:
        """Stop looking."""
        self._probe_timer.close()

    async def lost(self, call: Call) -> bool:
        """A connection broke while `call` ran; returns whether the upstream died with it."""
        self._crashed.append(call)
        # A dying process may still accept connections for a moment.
        await self._clock.sleep(CRASH_CHECK_MS)
        crashed = not await self._reachable()
        if crashed:
            self.mark_down()
        elif call in self._crashed:
            self._crashed.remove(call)
        return crashed

    def mark_down(self) -> None:
        """The upstream takes no connections."""
        crashed, self._crashed = self._crashed, []
        if crashed:
            self._listener.target_crashed(crashed)
        if self.down:
            return
        log.warning("upstream_down")
        self.down = True
        self._probe_timer.wake()
        pool = self._pool()
        if pool is not None:
            pool.close_idle_connections()
        self._refuse_waiting()
        self._listener.target_changed()

    async def _reachable(self) -> bool:
        pool = self._pool()
        if pool is None:
            return False
        try:
            connection = await pool.acquire(force_new=True)
        except ConnectFailed:
            return False
        connection.abort()
        return True

    def _probe_if_down(self) -> bool:
        if self.down and not self._probing:
            ensureDeferred(self._probe())
        return self.down

    async def _probe(self) -> None:
        self._probing = True
        reachable = await self._reachable()
        self._probing = False
        if reachable and self.down:
            log.info("upstream_up")
            self.down = False
            self._listener.target_changed()
