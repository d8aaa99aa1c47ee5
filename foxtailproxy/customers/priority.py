"""Scheduling weights of priorities."""

from __future__ import annotations

HIGHEST_PRIORITY = 9
"""Priority of the most important requests in `ClassRule`; 0 is that of the least important ones."""

HIGHEST_PRIORITY_WEIGHT = 12
"""Scheduling weight of the highest priority at a busy target; it is divided by 2 for the second
priority, by 3 for the third, and so on."""


def weight_of(priority: int) -> int:
    """Return the scheduling weight of a priority, for which a higher number is more important."""
    rank = max(1, HIGHEST_PRIORITY - priority + 1)
    return max(1, HIGHEST_PRIORITY_WEIGHT // rank)
