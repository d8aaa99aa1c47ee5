"""A budget of bytes a second."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock

WINDOW_MS = 10_000
"""Over any time as long as this or longer, the bytes spent stay within the budget."""

BURST_SHARE = 0.15
"""Part of a window's budget that may be spent at once."""

URGENT_DEBT_SHARE = 0.2
"""Part of a window's budget that urgent spending may take in advance."""

REFILL_SHARE = 0.4
"""Part of a window's budget that comes evenly.

The three leave room for a process and its successor to spend within one window.
"""


class TokenBucket:
    """Spends at most `bytes_per_s` over any window of `WINDOW_MS`."""

    def __init__(self, clock: Clock, bytes_per_s: int) -> None:
        self._clock = clock
        self._last_ms = clock.now_ms()
        # A new process starts with nothing saved up, so that restarts do not add to the budget.
        self._tokens = 0.0
        self.set_rate(bytes_per_s)

    def set_rate(self, bytes_per_s: int) -> None:
        """Change the budget."""
        self._capacity = bytes_per_s * WINDOW_MS / 1000 * BURST_SHARE
        self._max_debt = bytes_per_s * WINDOW_MS / 1000 * URGENT_DEBT_SHARE
        self._rate_per_ms = bytes_per_s / 1000 * REFILL_SHARE
        self._tokens = min(self._tokens, self._capacity)

    def try_consume(self, size_bytes: int, urgent: bool = False) -> bool:
        """Spend `size` bytes if the budget has them, or for urgent ones if it soon will."""
        self._refill()
        if self._tokens < size_bytes - (self._max_debt if urgent else 0):
            return False
        self._tokens -= size_bytes
        return True

    def consume(self, size_bytes: int) -> None:
        """Take `size` bytes that have been spent already; later spending waits for them."""
        self._refill()
        self._tokens -= size_bytes

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        self._tokens += (now_ms - self._last_ms) * self._rate_per_ms
        self._tokens = min(self._tokens, self._capacity)
        self._last_ms = now_ms
