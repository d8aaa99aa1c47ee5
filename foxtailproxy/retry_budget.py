"""A bound on retries as a share of calls, so that they cannot multiply the load."""

from __future__ import annotations

MAX_TOKENS = 20.0
"""Retries that may come in one burst."""

FLOOR_PER_SECOND = 1.0
"""Retries a second that are allowed however few calls there are."""


class RetryBudget:
    """Each call earns a part of a retry; each retry spends a whole one."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS
        self._last_ms: float | None = None

    def earn(self, percent: int) -> None:
        """A call came in."""
        self._tokens = min(MAX_TOKENS, self._tokens + percent / 100)

    def spend(self, now_ms: float) -> bool:
        """Whether a retry is allowed now; spends it if so."""
        if self._last_ms is not None:
            earned = (now_ms - self._last_ms) / 1000 * FLOOR_PER_SECOND
            self._tokens = min(MAX_TOKENS, self._tokens + earned)
        self._last_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
