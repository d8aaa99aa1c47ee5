"""Rates of requests, measured over the last seconds."""

from __future__ import annotations

import math

MS_PER_SECOND = 1000.0

RATE_MEMORY_MS = 2000.0
"""Time constant of the measured rates, in milliseconds."""


class DecayingRate:
    """Rate of events in the last seconds, with exponential weights."""

    __slots__ = ("_count", "_ms")

    def __init__(self, now_ms: float) -> None:
        self._count = 0.0
        self._ms = now_ms

    def add(self, now_ms: float, count: int = 1) -> None:
        """Count events."""
        self._decay(now_ms)
        self._count += count

    def per_s(self, now_ms: float) -> float:
        """Return the events per second."""
        self._decay(now_ms)
        return self._count / RATE_MEMORY_MS * MS_PER_SECOND

    def _decay(self, now_ms: float) -> None:
        self._count *= math.exp(-max(0.0, now_ms - self._ms) / RATE_MEMORY_MS)
        self._ms = now_ms


class ReportedRate:
    """Rate of events whose counts arrive at irregular intervals."""

    __slots__ = ("_per_s", "_ms")

    def __init__(self, now_ms: float) -> None:
        self._per_s = 0.0
        self._ms = now_ms

    def add(self, now_ms: float, count: int) -> None:
        """Count the events since the last report."""
        elapsed_ms = max(1.0, now_ms - self._ms)
        weight = 1 - math.exp(-elapsed_ms / RATE_MEMORY_MS)
        self._per_s += weight * (count / elapsed_ms * MS_PER_SECOND - self._per_s)
        self._ms = now_ms

    def per_s(self) -> float:
        """Return the events per second, as of the last report."""
        return self._per_s
