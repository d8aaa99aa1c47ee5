"""Limit on the requests sent to an upstream that is cold after its start.

Calls start at a steady rate with a small burst (token bucket). In addition, the sends of the latest
window are counted one by one, so that calls which start warm and are sent cold, or whose connection
is opened late, do not add up to more than the limit either.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import structlog

from foxtailproxy.clock import MS_PER_SECOND
from foxtailproxy.models.settings import ColdStartSection

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.clock import Clock

log = structlog.get_logger()

WINDOW_MS = 1250.0
"""Window in which sends are counted, in milliseconds. It is longer than the second of the limit,
since requests sent at an interval may arrive at a shorter one."""

BURST_SHARE = 0.5
"""Capacity of the token bucket, as a share of the slack."""

COLD_SLOWNESS = 2.0
"""Factor by which work at a cold upstream takes longer than usual, unless it reports more."""

RAMP_MS = 2000.0
"""Time after the cold one in which the rate rises to that of a warm upstream, in milliseconds."""

RAMP_DOUBLING_MS = 400.0
"""Time in which the rate doubles meanwhile, in milliseconds."""

MAX_COLD_MS = 600_000
"""Longest cold time that is believed, in milliseconds."""

UNKNOWN_RATE_WAIT_MS = 1000.0
"""Wait stated for a cold upstream whose rate is not known yet, in milliseconds."""


class ColdStart:
    """Cold state of the upstream's current process, and the limit on requests while it lasts.

    `get_rate_per_s` returns the requests per second that a cold upstream bears: 0 for no limit,
    `None` before the configuration is known.
    """

    def __init__(self, clock: Clock) -> None:
        self.terms = ColdStartSection()
        self.get_rate_per_s: Callable[[], float | None] = lambda: 0.0
        self.starts_while_cold = 0
        self.rejections = 0
        self._clock = clock
        self._is_known = True
        self._until_ms = -math.inf
        self._was_cold = False
        self._tokens = 0.0
        self._refilled_ms = clock.now_ms()
        self._unsent: set[object] = set()
        self._sent_ms: deque[float] = deque()

    # Reports

    def process_seen(self) -> None:
        """Handle a process of which it is not known yet whether it is cold."""
        self._update()
        self._is_known = False
        self._until_ms = -math.inf
        self._update()

    def report(self, cold_ms: int | None) -> None:
        """Record that the process stays cold for `cold_ms`; `None` or below 0 tells nothing.

        A report never shortens the cold time of an earlier one, since it may have been delayed.
        """
        if cold_ms is not None and cold_ms >= 0:
            self._is_known = True
        if cold_ms is not None and cold_ms > 0:
            until_ms = self._clock.now_ms() + min(cold_ms, MAX_COLD_MS)
            self._until_ms = max(self._until_ms, until_ms)
        self._update()

    # State

    @property
    def cold(self) -> bool:
        """Whether the upstream counts as cold."""
        rate_per_s = self.get_rate_per_s()
        if rate_per_s == 0:
            return False
        if self._clock.now_ms() < self._until_ms:
            return True
        # Without a configuration, only an upstream that says so counts as cold.
        return not self._is_known and rate_per_s is not None

    @property
    def limiting(self) -> bool:
        """Whether starts are limited: the upstream is cold, or was a short time ago."""
        if not self.get_rate_per_s():
            return self.cold
        return self.cold or self._clock.now_ms() < self._until_ms + RAMP_MS

    @property
    def slowness(self) -> float:
        """Factor by which work takes longer than usual at least."""
        return COLD_SLOWNESS if self.cold else 1.0

    def start_rate_per_s(self) -> float:
        """Return the steady rate of starts while they are limited; 0 if it is not known yet."""
        rate_per_s = self.get_rate_per_s()
        if not rate_per_s:
            return 0.0
        limit = self._window_limit(rate_per_s)
        spare = max(limit - self._burst(limit), limit / 2)
        rate_per_s = min(rate_per_s, spare / WINDOW_MS * MS_PER_SECOND)
        if not self.cold:
            warm_ms = self._clock.now_ms() - self._until_ms
            rate_per_s *= 2 ** (warm_ms / RAMP_DOUBLING_MS)
        return rate_per_s

    def wait_ms(self, calls_ahead: float = 0.0) -> float:
        """Return the wait of a call for its start, after `calls_ahead` others, in ms."""
        if not self.limiting:
            return 0.0
        self._update()
        rate_per_s = self.start_rate_per_s()
        if not rate_per_s:
            return UNKNOWN_RATE_WAIT_MS
        wait_ms = max(0.0, calls_ahead + 1 - self._tokens) / rate_per_s * MS_PER_SECOND
        if self._has_room():
            return wait_ms
        oldest_ms = self._sent_ms[0] if self._sent_ms else self._clock.now_ms()
        return max(wait_ms, oldest_ms + WINDOW_MS - self._clock.now_ms())

    # Starts and sends of calls

    def may_start(self) -> bool:
        """Return whether a call may start now."""
        if not self.limiting:
            return True
        self._update()
        return self._tokens >= 1 and self._has_room()

    def start(self, key: object) -> None:
        """Count the start of a call, which is `key` until it is sent or ends."""
        if not self.get_rate_per_s():
            return
        self._unsent.add(key)
        if self.limiting:
            self._update()
            self._tokens -= 1
            self.starts_while_cold += self.cold

    def end(self, key: object) -> None:
        """Stop counting a call that has ended, maybe before it was sent."""
        self._unsent.discard(key)

    def try_send(self, key: object) -> float | None:
        """Count the send of a started call; return its time in ms, or `None` if it may not be sent.

        It may not if the upstream turned cold after the call had started, and has got as many
        requests as it bears.
        """
        self._unsent.discard(key)
        rate_per_s = self.get_rate_per_s()
        now_ms = self._clock.now_ms()
        if rate_per_s == 0:
            return now_ms
        self._forget_old_sends()
        limit = 0 if rate_per_s is None else self._window_limit(rate_per_s)
        if self.cold and len(self._sent_ms) >= limit:
            self.rejections += 1
            return None
        self._sent_ms.append(now_ms)
        return now_ms

    def withdraw_send(self, sent_ms: float) -> None:
        """Stop counting a send that a process other than the current one got and did not run."""
        if sent_ms in self._sent_ms:
            self._sent_ms.remove(sent_ms)
            self._tokens += 1

    def _window_limit(self, rate_per_s: float) -> int:
        # A limit below 1 would keep the upstream from any request.
        return max(1, int(rate_per_s * self.terms.overage + self.terms.slack))

    def _burst(self, limit: int) -> float:
        return max(1.0, min(self.terms.slack * BURST_SHARE, limit / 2))

    def _has_room(self) -> bool:
        """Return whether one more call may be sent within the window."""
        rate_per_s = self.get_rate_per_s()
        if not rate_per_s or not self.cold:
            return bool(rate_per_s)
        self._forget_old_sends()
        return len(self._unsent) + len(self._sent_ms) < self._window_limit(rate_per_s)

    def _forget_old_sends(self) -> None:
        oldest_ms = self._clock.now_ms() - WINDOW_MS
        while self._sent_ms and self._sent_ms[0] <= oldest_ms:
            self._sent_ms.popleft()

    def _update(self) -> None:
        """Refill the bucket, and note a change between cold and warm."""
        now_ms = self._clock.now_ms()
        rate_per_s = self.get_rate_per_s() or 0.0
        is_cold = self.cold
        burst = self._burst(self._window_limit(rate_per_s))
        if is_cold != self._was_cold:
            self._was_cold = is_cold
            self._log_change(is_cold, rate_per_s)
            if is_cold:
                self._forget_old_sends()
                self._tokens = max(0.0, burst - len(self._sent_ms) - len(self._unsent))
                self._refilled_ms = now_ms
        elapsed_ms = now_ms - self._refilled_ms
        self._refilled_ms = now_ms
        if self.limiting:
            refill = elapsed_ms * self.start_rate_per_s() / MS_PER_SECOND
            self._tokens = min(burst, self._tokens + refill)

    def _log_change(self, is_cold: bool, rate_per_s: float) -> None:
        if is_cold:
            left_ms = self._until_ms - self._clock.now_ms() if self._is_known else -1
            log.info("upstream_cold", left_ms=round(left_ms), rate_per_s=rate_per_s)
        else:
            log.info(
                "upstream_warm",
                starts_while_cold=self.starts_while_cold,
                rejections=self.rejections,
            )
