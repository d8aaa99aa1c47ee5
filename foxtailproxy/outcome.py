"""Outcomes of a call: an answer, "not run" or "unknown"."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from expression import Result

if TYPE_CHECKING:
    from foxtailproxy.http.body import BodyStream
    from foxtailproxy.http.messages import ResponseHead


SERVER_ERROR = 500
"""Lowest status code of a server error."""


class NotRunReason(StrEnum):
    """Reason for which a request was not run."""

    UNKNOWN_SERVICE = "unknown-service"
    NO_CONFIGURATION = "no-configuration"
    NO_TARGET = "no-target"
    TARGET_DOWN = "target-down"
    LEAVING = "leaving"
    QUEUE_FULL = "queue-full"
    OVERLOADED = "overloaded"
    HELD_TOO_LONG = "held-too-long"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    NEVER_ARRIVED = "never-arrived"
    SEALED = "sealed"
    UNREACHABLE = "unreachable"
    UPSTREAM_REFUSED = "upstream-refused"
    FASTER_ELSEWHERE = "faster-elsewhere"
    QUARANTINED = "quarantined"
    PLATFORM_DOWN = "platform-down"
    KEY_REUSED = "key-reused"
    TOO_DEEP = "too-deep"
    BAD_REQUEST = "bad-request"
    REQUEST_CUT = "request-cut"
    UNAUTHENTICATED = "unauthenticated"
    ALLOWANCE_EXCEEDED = "allowance-exceeded"
    NO_ALLOWED_TARGET = "no-allowed-target"
    EVACUATED = "evacuated"
    COLD = "cold"
    CONFIGURATION_STALE = "configuration-stale"
    REFUSING = "refusing"


class UnknownReason(StrEnum):
    """Reason for which it is unknown whether, or with what result, a request ran."""

    UPSTREAM_LOST = "upstream-lost"
    PEER_LOST = "peer-lost"
    DEADLINE = "deadline"
    ANSWER_CUT = "answer-cut"
    CLAIMED_ELSEWHERE = "claimed-elsewhere"
    ANSWER_NOT_KEPT = "answer-not-kept"
    KEY_NOT_CHECKED = "key-not-checked"
    UNAUTHENTICATED = "unauthenticated"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class NotRun:
    """Outcome of a request that did not run and will not; it may be sent again."""

    reason: NotRunReason
    retry_after_ms: int = 1000


@dataclass(frozen=True, slots=True)
class Unknown:
    """Outcome of a request that may have run.

    `crashed` tells whether the upstream died while it ran the request.
    """

    reason: UnknownReason
    crashed: bool = False
    retry_after_ms: int = 1000


@dataclass(frozen=True, slots=True)
class Answer:
    """Response of the upstream; its body may still be arriving."""

    head: ResponseHead
    body: BodyStream


CallFailure = NotRun | Unknown
Outcome = Result[Answer, CallFailure]

TARGET_FAULT_REASONS = frozenset(
    (NotRunReason.TARGET_DOWN, NotRunReason.UNREACHABLE, NotRunReason.UPSTREAM_REFUSED)
)
"""Reasons for "not run" that count against a target's health."""


def may_have_run(outcome: Outcome) -> bool:
    """Return whether an upstream may have run the call, which then counts as an attempt."""
    return outcome.is_ok() or isinstance(outcome.error, Unknown)


def reached_upstream(outcome: Outcome) -> bool:
    """Return whether the call may have reached an upstream; each further send is then a retry."""
    return may_have_run(outcome) or outcome.error.reason is NotRunReason.UPSTREAM_REFUSED


def is_target_fault(outcome: Outcome) -> bool:
    """Return whether the outcome is due to a fault of the target."""
    if outcome.is_ok():
        return outcome.ok.head.status >= SERVER_ERROR
    failure: CallFailure = outcome.error
    if isinstance(failure, NotRun):
        return failure.reason in TARGET_FAULT_REASONS
    return failure.reason is not UnknownReason.CANCELLED
