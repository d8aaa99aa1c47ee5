"""Allowed regions of a call, and its outcome where no target in them can run it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from expression import Error

from foxtailproxy.outcome import NotRun, NotRunReason

if TYPE_CHECKING:
    from foxtailproxy.call import Call
    from foxtailproxy.metrics import Metrics
    from foxtailproxy.outcome import Outcome

log = structlog.get_logger()

NO_CAPACITY_REASONS = frozenset(
    (
        NotRunReason.NO_TARGET,
        NotRunReason.TARGET_DOWN,
        NotRunReason.LEAVING,
        NotRunReason.QUEUE_FULL,
        NotRunReason.OVERLOADED,
        NotRunReason.HELD_TOO_LONG,
        NotRunReason.UNREACHABLE,
        NotRunReason.EVACUATED,
        NotRunReason.COLD,
        NotRunReason.REFUSING,
    )
)
"""Reasons for which a target did not run a call that a target elsewhere might have run."""


def is_allowed(region: str, regions: list[str]) -> bool:
    """Return whether calls with these allowed regions may run in `region`; empty allows all."""
    return not regions or region in regions


def outcome_in_regions(call: Call, outcome: Outcome, metrics: Metrics) -> Outcome:
    """Return the outcome of a call, with the reason of its own if its regions had no room for it.

    The log has the reason that the last target gave.
    """
    if not call.rule.regions or outcome.is_ok() or not isinstance(outcome.error, NotRun):
        return outcome
    rejection = outcome.error
    if rejection.reason not in NO_CAPACITY_REASONS:
        return outcome
    metrics.no_allowed_target += 1
    log.warning(
        "no_allowed_target",
        attempt=call.attempt_id,
        rule=call.class_key,
        regions=",".join(call.rule.regions),
        cause=str(rejection.reason),
    )
    return Error(NotRun(NotRunReason.NO_ALLOWED_TARGET, rejection.retry_after_ms))
