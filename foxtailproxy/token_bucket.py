"""Token bucket that limits bytes per second."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock

WINDOW_MS = 10_000
"""Over any period of this length or longer, the bytes consumed stay within the budget."""

BURST_SHARE = 0.15
"""Capacity of the bucket, as a share of the budget of a window."""

URGENT_DEBT_SHARE = 0.2
"""Tokens that urgent traffic may consume in advance, as a share of the budget of a window."""

REFILL_SHARE = 0.4
"""Share of the budget with which the bucket refills at a constant rate.

The three shares leave room for a process and its successor to consume within one window.
"""


class TokenBucket:
    """Limiter of traffic to `bytes_per_s` over any window of `WINDOW_MS`."""

    def __init__(self, clock: Clock, bytes_per_s: int) -> None:
        self._clock = clock
        self._last_ms = clock.now_ms()
        # The bucket of a new process is empty, so that restarts do not add to the budget.
        self._tokens = 0.0
        self.set_rate(bytes_per_s)

    def set_rate(self, bytes_per_s: int) -> None:
        """Change the rate, and the capacity and debt limit that follow from it."""
        self._capacity = bytes_per_s * WINDOW_MS / 1000 * BURST_SHARE
        self._max_debt = bytes_per_s * WINDOW_MS / 1000 * URGENT_DEBT_SHARE
        self._rate_per_ms = bytes_per_s / 1000 * REFILL_SHARE
        self._tokens = min(self._tokens, self._capacity)

    def tokens(self) -> float:
        """Return the tokens in the bucket; negative if some were consumed in advance."""
        self._refill()
        return self._tokens

    def try_consume(self, size_bytes: int, urgent: bool = False) -> bool:
        """Consume tokens if there are enough; urgent traffic may use tokens in advance."""
        self._refill()
        if self._tokens < size_bytes - (self._max_debt if urgent else 0):
            return False
        self._tokens -= size_bytes
        return True

    def consume(self, size_bytes: int) -> None:
        """Consume tokens in any case; later traffic waits until the bucket has refilled."""
        self._refill()
        self._tokens -= size_bytes

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        self._tokens += (now_ms - self._last_ms) * self._rate_per_ms
        self._tokens = min(self._tokens, self._capacity)
        self._last_ms = now_ms
