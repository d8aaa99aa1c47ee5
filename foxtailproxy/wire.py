"""Headers between nodes, and how outcomes are written for peers and callers."""

from __future__ import annotations

from functools import lru_cache, singledispatch
from typing import TYPE_CHECKING

import msgspec

from foxtailproxy.config.rules import Match
from foxtailproxy.http import messages
from foxtailproxy.http.body import BodyStream
from foxtailproxy.models.rules import ClassRule, ServiceRule
from foxtailproxy.outcome import NotRun, NotRunReason, Unknown, UnknownReason
from foxtailproxy.terms import NO_TERMS, Terms

if TYPE_CHECKING:
    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock
    from foxtailproxy.config.rules import RuleBook

PREFIX = b"foxtail-"

ATTEMPT = b"foxtail-attempt"
SEND = b"foxtail-send"
BOOT = b"foxtail-boot"
SERVICE = b"foxtail-service"
RULE = b"foxtail-rule"
TENANT = b"foxtail-tenant"
DEADLINE = b"foxtail-deadline-ms"
DEPTH = b"foxtail-depth"
CRASHED = b"foxtail-crashed"
TERMS = b"foxtail-terms"
OBJECTIVE = b"foxtail-objective-left-ms"
OUTCOME = b"foxtail-outcome"
LOAD = b"foxtail-load"
RETRY_AFTER = b"foxtail-retry-after-ms"
KEY = b"idempotency-key"
FIRST_SEND = b"foxtail-first-send"

STATUS_BY_REASON = {
    NotRunReason.UNKNOWN_SERVICE: 404,
    NotRunReason.KEY_REUSED: 422,
    NotRunReason.QUARANTINED: 422,
    NotRunReason.TOO_DEEP: 508,
    NotRunReason.BAD_REQUEST: 400,
    NotRunReason.REQUEST_CUT: 400,
}
"""Statuses of the reasons for which sending the same request again does not help."""

UNAVAILABLE_STATUS = 503
UNKNOWN_STATUS = 504

MS_PER_SECOND = 1000


class FailureBody(msgspec.Struct):
    """The JSON body of an answer that the node itself makes."""

    outcome: str
    reason: str
    attempt: str


def call_headers(call: Call, clock: Clock) -> messages.HeaderList:
    """The headers that carry a call to the node beside its target."""
    headers = messages.end_to_end(call.head.headers)
    headers.append((ATTEMPT, call.attempt_id.encode()))
    if call.send_number:
        headers.append((SEND, b"%d" % call.send_number))
    headers.append((SERVICE, call.service.name.encode()))
    headers.append((RULE, rule_header(call.rule)))
    if call.tenant:
        headers.append((TENANT, call.tenant.encode("latin-1", "replace")))
    headers.append((DEADLINE, b"%d" % call.remaining_ms(clock)))
    headers.append((DEPTH, b"%d" % call.depth))
    if call.rule.objective_ms:
        headers.append((OBJECTIVE, b"%d" % call.objective_left_ms(clock)))
    if call.terms != NO_TERMS:
        headers.append((TERMS, b"%.0f;%.0f" % (call.terms.limit_ms, call.terms.hold_ms)))
    if call.crashed_upstreams:
        headers.append((CRASHED, ",".join(call.crashed_upstreams).encode()))
    return headers


def without_own(headers: messages.HeaderList) -> messages.HeaderList:
    """The headers without those that only nodes may set."""
    return [pair for pair in headers if not pair[0].startswith(PREFIX)]


def rule_header(rule: ClassRule) -> bytes:
    """What a target needs of the rule of a call, as the sender's configuration has it.

    It travels with the call, so that two nodes with different configurations treat it alike.
    """
    return b"%s;%d;%d;%d;%d;%d;%d;%d" % (
        rule.name.encode(),
        rule.idempotent,
        rule.weight,
        rule.priority,
        rule.hold_ms,
        rule.queue,
        rule.long,
        rule.objective_ms,
    )


@lru_cache(maxsize=4096)
def _parse_rule(service: str, value: str) -> ClassRule | None:
    fields = value.split(";")
    try:
        idempotent, weight, priority, hold_ms, queue, long, objective_ms = map(int, fields[1:])
    except ValueError:
        return None
    return ClassRule(
        service,
        fields[0],
        idempotent=bool(idempotent),
        weight=weight,
        priority=priority,
        hold_ms=hold_ms,
        queue=queue,
        long=bool(long),
        objective_ms=objective_ms,
    )


def read_terms(headers: messages.HeaderList) -> Terms:
    """The terms of a call from another node."""
    limit_ms, _, hold_ms = messages.get_text(headers, TERMS).partition(";")
    try:
        return Terms(float(limit_ms), float(hold_ms)) if limit_ms else NO_TERMS
    except ValueError:
        return NO_TERMS


def match_call(headers: messages.HeaderList, book: RuleBook | None) -> Match | None:
    """The rules that a call from another node brings; `None` where it brings none."""
    name = messages.get_text(headers, SERVICE)
    rule = _parse_rule(name, messages.get_text(headers, RULE))
    if rule is None:
        return None
    service = None if book is None else book.service_by_name.get(name)
    return Match(service or ServiceRule(name), rule)


def read_int(headers: messages.HeaderList, name: bytes, default: int) -> int:
    """A header as a whole number; `default` where it is missing or malformed."""
    value = messages.get_header(headers, name)
    try:
        return default if value is None else int(value)
    except ValueError:
        return default


@singledispatch
def outcome_header(failure: object) -> bytes:
    """The value of the outcome header."""
    raise TypeError(f"no outcome header for {failure!r}")


@outcome_header.register
def _(failure: NotRun) -> bytes:
    return b"not-run; reason=" + failure.reason.encode()


@outcome_header.register
def _(failure: Unknown) -> bytes:
    crashed = b"; crashed" if failure.crashed else b""
    return b"unknown; reason=" + failure.reason.encode() + crashed


@singledispatch
def failure_status(failure: object) -> int:
    """The HTTP status of a failure."""
    raise TypeError(f"no status for {failure!r}")


@failure_status.register
def _(failure: NotRun) -> int:
    return STATUS_BY_REASON.get(failure.reason, UNAVAILABLE_STATUS)


@failure_status.register
def _(failure: Unknown) -> int:
    if failure.reason is UnknownReason.KEY_NOT_CHECKED:
        return UNAVAILABLE_STATUS
    return UNKNOWN_STATUS


def failure_response(
    failure: NotRun | Unknown, attempt_id: str
) -> tuple[messages.ResponseHead, BodyStream]:
    """The response that tells a peer or a caller of a failure."""
    status = failure_status(failure)
    headers = [
        (b"content-type", b"application/json"),
        (OUTCOME, outcome_header(failure)),
        (ATTEMPT, attempt_id.encode()),
    ]
    if status == UNAVAILABLE_STATUS:
        seconds = max(1, -(-failure.retry_after_ms // MS_PER_SECOND))
        headers.append((b"retry-after", b"%d" % seconds))
        headers.append((RETRY_AFTER, b"%d" % failure.retry_after_ms))
    outcome = "not-run" if isinstance(failure, NotRun) else "unknown"
    body = msgspec.json.encode(FailureBody(outcome, failure.reason, attempt_id)) + b"\n"
    head = messages.ResponseHead(status, messages.reason_of(status), headers)
    return head, BodyStream.of(body)


def parse_failure(headers: messages.HeaderList) -> NotRun | Unknown | None:
    """The failure that a response from a node tells of; `None` for an upstream's answer."""
    value = messages.get_text(headers, OUTCOME)
    if not value:
        return None
    kind, _, rest = value.partition("; reason=")
    reason, _, crashed = rest.partition(";")
    try:
        if kind == "not-run":
            return NotRun(NotRunReason(reason), read_int(headers, RETRY_AFTER, 1000))
        return Unknown(UnknownReason(reason), bool(crashed))
    except ValueError:
        return Unknown(UnknownReason.PEER_LOST)
