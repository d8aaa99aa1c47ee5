"""Token bucket that limits bytes per second."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock

WINDOW_MS = 10_000
"""Over any period of this length or longer, the bytes consumed stay within the budget."""

BURST_SHARE = 0.15
"""Capacity of the bucket, as a share of the budget of a window."""

ADVANCE_SHARE = 0.2
"""Tokens that may be consumed in advance, as a share of the budget of a window."""

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
        """Change the rate, and the capacity and limit of the advance that follow from it."""
        self._capacity = bytes_per_s * WINDOW_MS / 1000 * BURST_SHARE
        self._max_advance = bytes_per_s * WINDOW_MS / 1000 * ADVANCE_SHARE
        self._rate_per_ms = bytes_per_s / 1000 * REFILL_SHARE
        self._tokens = min(self._tokens, self._capacity)

    def tokens(self) -> float:
        """Return the tokens in the bucket; negative if some were consumed in advance."""
        self._refill()
        return self._tokens

    def may_consume(self, size_bytes: int) -> bool:
        """Return whether `try_consume` would consume this now; changes nothing."""
        refilled = self._tokens + (self._clock.now_ms() - self._last_ms) * self._rate_per_ms
        return min(refilled, self._capacity) >= size_bytes

    def try_consume(self, size_bytes: int, advance_share: float = 0.0) -> bool:
        """Consume tokens if there are enough.

        `advance_share` is the share of the tokens in advance that may be used up, from 0 to 1.
        """
        if self._available(advance_share) < size_bytes:
            return False
        self._tokens -= size_bytes
        return True

    def consume_up_to(self, size_bytes: float, advance_share: float) -> float:
        """Consume as many of `size_bytes` as there are tokens for; return how many that were."""
        consumed = min(size_bytes, max(0.0, self._available(advance_share)))
        self._tokens -= consumed
        return consumed

    def _available(self, advance_share: float) -> float:
        self._refill()
        return self._tokens + self._max_advance * advance_share

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        self._tokens += (now_ms - self._last_ms) * self._rate_per_ms
        self._tokens = min(self._tokens, self._capacity)
        self._last_ms = now_ms
