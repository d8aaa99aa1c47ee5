"""Pauses between tries of what has failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


def back_off_ms(failures: int, initial_ms: float, max_ms: float, rng: random.Random) -> float:
    """The pause after so many failures in a row: doubled each time, with jitter of a half."""
    return min(max_ms, initial_ms * 2.0 ** (failures - 1)) * (0.5 + rng.random())
