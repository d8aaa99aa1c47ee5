"""Retry budgets: limits on retries as a share of calls, so that they cannot multiply the load."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.clock import Clock

DEFAULT_MAX_TOKENS = 20.0
"""Maximum burst of retries if the nodes share no slack."""

MIN_RETRIES_PER_SECOND = 1.0
"""Retries per second that are allowed however few calls there are, if the nodes share no slack."""

RATIO_SHARE = 0.4
"""Part of the allowed ratio that nodes spend, since nested calls of retried calls count as well."""

SLACK_SHARE = 0.4
"""Part of the shared slack that nodes spend, since a restarted node begins with a full share."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Retry limits of all nodes together for one service in any window.

    `ratio` is a share of the calls, `slack` a number of retries in addition to it.
    """

    ratio: float
    slack: float = 0
    window_ms: float = 10_000.0


class RetryBudget:
    """Token bucket of one service: a call deposits a part of a token, a retry withdraws one."""

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._refilled_ms = 0.0

    def deposit(self, ratio: float, max_tokens: float) -> None:
        """Deposit the part of a token that one call earns."""
        self._tokens = min(
            max_tokens, (max_tokens if self._tokens is None else self._tokens) + ratio
        )

    def try_withdraw(self, now_ms: float, max_tokens: float, refill_per_ms: float) -> bool:
        """Return whether a retry is allowed now; withdraw its token if so."""
        tokens = max_tokens if self._tokens is None else self._tokens
        tokens = min(max_tokens, tokens + (now_ms - self._refilled_ms) * refill_per_ms)
        self._refilled_ms = now_ms
        allowed = tokens >= 1
        self._tokens = tokens - 1 if allowed else tokens
        return allowed


class RetryBudgets:
    """Retry budgets of all services at this node, with an equal part of the shared slack.

    `count_nodes` returns the number of nodes that share the slack.
    """

    def __init__(
        self, clock: Clock, limits: RetryLimits, count_nodes: Callable[[], int] = lambda: 1
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._count_nodes = count_nodes
        self._budget_by_service: dict[str, RetryBudget] = {}

    def set_limits(self, limits: RetryLimits) -> None:
        """Set the retry limits."""
        self._limits = limits

    def deposit(self, service: str) -> None:
        """Deposit the part of a token that a call of a service earns."""
        ratio = self._limits.ratio * (RATIO_SHARE if self._limits.slack else 1.0)
        self._budget(service).deposit(ratio, self._max_tokens())

    def try_withdraw(self, service: str) -> bool:
        """Return whether a call of a service may be retried; withdraw the retry's token if so."""
        return self._budget(service).try_withdraw(
            self._clock.now_ms(), self._max_tokens(), self._refill_per_ms()
        )

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = RetryBudget()
        return budget

    def _max_tokens(self) -> float:
        """Return the maximum burst of retries."""
        if not self._limits.slack:
            return DEFAULT_MAX_TOKENS
        return max(1.0, self._limits.slack * SLACK_SHARE / max(1, self._count_nodes()))

    def _refill_per_ms(self) -> float:
        """Return the retries per millisecond that are allowed however few calls there are."""
        if not self._limits.slack:
            return MIN_RETRIES_PER_SECOND / 1000
        return self._max_tokens() / self._limits.window_ms
