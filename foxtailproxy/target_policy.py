"""Policy by which a target runs, holds or declines a call."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DeclinePolicy:
    """Policy of a target for one call while its instance is slow.

    The target declines the call if it expects to take longer than `limit_ms`, since another target
    would then be faster. With `hold_ms` it first holds the call for at most that long until its
    instance is back at its usual speed, and declines the call only if the instance is still slow.
    """

    limit_ms: float = math.inf
    hold_ms: float = 0.0

    @property
    def may_decline(self) -> bool:
        """Whether the target may decline the call."""
        return math.isfinite(self.limit_ms)


RUN_AT_ONCE = DeclinePolicy()
