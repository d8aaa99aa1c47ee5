"""Detection of upstream crashes after a lost connection, and of the upstream's return."""

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

CRASH_CHECK_DELAY_MS = 50
"""Delay in milliseconds from the loss of a connection to the check whether the upstream crashed."""

PROBE_INTERVAL_MS = 500
"""Interval between attempts to connect to an upstream that is down, in milliseconds."""


class TargetListener(Protocol):
    """Receiver of the target's changes."""

    def target_changed(self) -> None:
        """Handle a target that appeared, came up, went down or leaves."""

    def target_crashed(self, calls: list[Call]) -> None:
        """Handle a crash of the upstream while it ran `calls`."""

    def call_completed(self, call: Call) -> None:
        """Handle a `call` that the upstream answered without an error of its own."""


class CrashWatch:
    """Up or down state of the upstream, and the calls that may have crashed it.

    `get_pool` returns the upstream's connection pool, `reject_waiting` rejects the waiting calls.
    """

    def __init__(
        self,
        clock: Clock,
        listener: TargetListener,
        get_pool: Callable[[], ConnectionPool | None],
        reject_waiting: Callable[[], None],
    ) -> None:
        self.down = False
        self._clock = clock
        self._listener = listener
        self._get_pool = get_pool
        self._reject_waiting = reject_waiting
        self._suspect_calls: list[Call] = []
        self._probe_timer = WorkTimer(clock, PROBE_INTERVAL_MS, self._probe_if_down)
        self._probing = False

    def close(self) -> None:
        """Stop the probes."""
        self._probe_timer.close()

    async def check_crash(self, call: Call) -> bool:
        """Return whether the upstream crashed when the connection that ran `call` broke."""
        self._suspect_calls.append(call)
        # A crashing process may still accept connections for a moment.
        await self._clock.sleep(CRASH_CHECK_DELAY_MS)
        crashed = not await self._reachable()
        if crashed:
            self.mark_down()
        elif call in self._suspect_calls:
            self._suspect_calls.remove(call)
        return crashed

    def mark_down(self) -> None:
        """Declare the upstream down, and report the calls that may have crashed it."""
        suspect_calls, self._suspect_calls = self._suspect_calls, []
        if suspect_calls:
            self._listener.target_crashed(suspect_calls)
        if self.down:
            return
        log.warning("upstream_down")
        self.down = True
        self._probe_timer.wake()
        pool = self._get_pool()
        if pool is not None:
            pool.close_idle_connections()
        self._reject_waiting()
        self._listener.target_changed()

    async def _reachable(self) -> bool:
        pool = self._get_pool()
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
