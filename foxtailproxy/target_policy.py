"""On which terms a target is to run a call."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DeclinePolicy:
    """What a target does with a call when its instance is slow.

    It hands the call back where it expects to take longer than `limit_ms`, since another target
    would then be faster. With `hold_ms` it first waits that long until its instance works at its
    usual speed, and hands the call back only where that is still to come.
    """

    limit_ms: float = math.inf
    hold_ms: float = 0.0

    @property
    def may_decline(self) -> bool:
        """Whether the call may be handed back."""
        return math.isfinite(self.limit_ms)


RUN_AT_ONCE = DeclinePolicy()
