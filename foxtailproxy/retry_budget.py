"""A bound on retries as a share of calls, so that they cannot multiply the load."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.clock import Clock

DEFAULT_MAX_TOKENS = 20.0
"""Retries that may come in one burst where the nodes share no slack."""

MIN_RETRIES_PER_SECOND = 1.0
"""Retries a second that are allowed however few calls there are, where the nodes share no slack."""

RATIO_SHARE = 0.4
"""Part of the allowed ratio that nodes spend; calls that retried calls make count as well."""

SLACK_SHARE = 0.4
"""Part of the shared slack that nodes spend; a node that restarts begins with its part anew."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """What all nodes together may spend on one service in any window.

    `ratio` is a share of the calls, `slack` a number of retries beside it.
    """

    ratio: float
    slack: float = 0
    window_ms: float = 10_000.0


class RetryBudget:
    """One service: each call earns a part of a retry; each retry spends a whole one."""

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._refilled_ms = 0.0

    def deposit(self, ratio: float, max_tokens: float) -> None:
        """A call came in."""
        self._tokens = min(
            max_tokens, (max_tokens if self._tokens is None else self._tokens) + ratio
        )

    def try_withdraw(self, now_ms: float, max_tokens: float, refill_per_ms: float) -> bool:
        """Whether a retry is allowed now; spends it if so."""
        tokens = max_tokens if self._tokens is None else self._tokens
        tokens = min(max_tokens, tokens + (now_ms - self._refilled_ms) * refill_per_ms)
        self._refilled_ms = now_ms
        allowed = tokens >= 1
        self._tokens = tokens - 1 if allowed else tokens
        return allowed


class RetryBudgets:
    """The budgets of all services at this node, which spends an equal part of the shared slack.

    `count_nodes` tells how many nodes share it.
    """

    def __init__(
        self, clock: Clock, limits: RetryLimits, count_nodes: Callable[[], int] = lambda: 1
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._count_nodes = count_nodes
        self._budget_by_service: dict[str, RetryBudget] = {}

    def set_limits(self, limits: RetryLimits) -> None:
        """Change what may be spent."""
        self._limits = limits

    def deposit(self, service: str) -> None:
        """A call of a service came in."""
        ratio = self._limits.ratio * (RATIO_SHARE if self._limits.slack else 1.0)
        self._budget(service).deposit(ratio, self._max_tokens())

    def try_withdraw(self, service: str) -> bool:
        """Whether a call of a service may be sent to a further target; spends it if so."""
        return self._budget(service).try_withdraw(
            self._clock.now_ms(), self._max_tokens(), self._refill_per_ms()
        )

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = RetryBudget()
        return budget

    def _max_tokens(self) -> float:
        """Retries that may come in one burst."""
        if not self._limits.slack:
            return DEFAULT_MAX_TOKENS
        return max(1.0, self._limits.slack * SLACK_SHARE / max(1, self._count_nodes()))

    def _refill_per_ms(self) -> float:
        """Retries that are allowed in a millisecond however few calls there are."""
        if not self._limits.slack:
            return MIN_RETRIES_PER_SECOND / 1000
        return self._max_tokens() / self._limits.window_ms
