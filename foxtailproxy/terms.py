"""On which terms a target is to run a call."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Terms:
    """What a target does with a call when its instance is slow.

    It hands the call back where it expects to take longer than `limit_ms`, since another target
    would then be faster, and may wait `hold_ms` until its instance works at its usual speed.
    """

    limit_ms: float = math.inf
    hold_ms: float = 0.0


NO_TERMS = Terms()
