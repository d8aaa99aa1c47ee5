"""Exponential back-off with jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


def back_off_ms(failures: int, initial_ms: float, max_ms: float, rng: random.Random) -> float:
    """Return the delay after consecutive failures: it doubles each time, with jitter of ±50 %."""
    return min(max_ms, initial_ms * 2.0 ** (failures - 1)) * (0.5 + rng.random())
