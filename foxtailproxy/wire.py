"""Headers between nodes, and how outcomes are written for peers and callers."""

from __future__ import annotations

import math
from functools import lru_cache, singledispatch
from typing import TYPE_CHECKING

import msgspec
import structlog

from foxtailproxy.config.rules import Match
from foxtailproxy.http import messages
from foxtailproxy.http.body import BodyStream
from foxtailproxy.models.messages import CallHead
from foxtailproxy.models.rules import ClassRule, ServiceRule
from foxtailproxy.outcome import NotRun, NotRunReason, Unknown, UnknownReason
from foxtailproxy.terms import Terms

if TYPE_CHECKING:
    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock
    from foxtailproxy.config.rules import RuleBook

log = structlog.get_logger()

PREFIX = b"foxtail-"

ATTEMPT = b"foxtail-attempt"
CALL = b"foxtail-call"
"""A `CallHead` as a JSON array: links between regions are paid for by the byte."""

BOOT = b"foxtail-boot"
DEADLINE = b"foxtail-deadline-ms"
DEPTH = b"foxtail-depth"
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

NO_LIMIT = -1
RULE_NUMBERS = 7
"""Numbers in the text of a rule, behind its name."""


class FailureBody(msgspec.Struct):
    """The JSON body of an answer that the node itself makes."""

    outcome: str
    reason: str
    attempt: str


def call_headers(call: Call, clock: Clock) -> messages.HeaderList:
    """The headers that carry a call to the node beside its target."""
    terms = call.terms
    head = CallHead(
        attempt=call.attempt_id,
        number=call.send_number,
        service=call.service.name,
        rule=_rule_text(call.rule),
        left_ms=int(call.remaining_ms(clock)),
        objective_left_ms=int(call.objective_left_ms(clock)),
        depth=call.depth,
        limit_ms=round(terms.limit_ms) if terms.hands_back else NO_LIMIT,
        hold_ms=round(terms.hold_ms),
        tenant=call.tenant,
        crashed=call.crashed_upstreams,
    )
    return [*messages.end_to_end_headers(call.head.headers), (CALL, msgspec.json.encode(head))]


def read_call(headers: messages.HeaderList) -> CallHead | None:
    """What another node tells of a call; `None` where it is missing or malformed."""
    value = messages.get_header(headers, CALL)
    try:
        return None if value is None else msgspec.json.decode(value, type=CallHead)
    except msgspec.MsgspecError as error:
        log.warning("call_head_malformed", error=str(error))
        return None


def terms_of(head: CallHead) -> Terms:
    """The terms on which the target is to run a call from another node."""
    limit_ms = math.inf if head.limit_ms == NO_LIMIT else float(head.limit_ms)
    return Terms(limit_ms, float(head.hold_ms))


def without_own(headers: messages.HeaderList) -> messages.HeaderList:
    """The headers without those that only nodes may set."""
    return [pair for pair in headers if not pair[0].startswith(PREFIX)]


def _rule_text(rule: ClassRule) -> str:
    """What a target needs of the rule of a call, as the sender's configuration has it.

    It travels with the call, so that two nodes with different configurations treat it alike.
    """
    numbers = (
        int(rule.idempotent),
        rule.weight,
        rule.priority,
        rule.hold_ms,
        rule.queue,
        int(rule.long),
        rule.objective_ms,
    )
    return ";".join((rule.name, *map(str, numbers)))


@lru_cache(maxsize=4096)
def _parse_rule(service: str, text: str) -> ClassRule | None:
    name, *numbers = text.rsplit(";", RULE_NUMBERS)
    try:
        idempotent, weight, priority, hold_ms, queue, long, objective_ms = map(int, numbers)
    except ValueError:
        return None
    return ClassRule(
        service,
        name,
        idempotent=bool(idempotent),
        weight=weight,
        priority=priority,
        hold_ms=hold_ms,
        queue=queue,
        long=bool(long),
        objective_ms=objective_ms,
    )


def match_call(head: CallHead, book: RuleBook | None) -> Match | None:
    """The rules that a call from another node brings; `None` where they cannot be read."""
    rule = _parse_rule(head.service, head.rule)
    if rule is None:
        return None
    service = None if book is None else book.service_by_name.get(head.service)
    return Match(service or ServiceRule(head.service), rule)


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
    """The response that tells a caller of a failure."""
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
    head = messages.ResponseHead(status, messages.reason_phrase(status), headers)
    return head, BodyStream.from_bytes(body)


def peer_failure(failure: NotRun | Unknown) -> messages.ResponseHead:
    """The head of the response that tells another node of a failure; it has no body."""
    status = failure_status(failure)
    headers = [
        (OUTCOME, outcome_header(failure)),
        (RETRY_AFTER, b"%d" % failure.retry_after_ms),
    ]
    return messages.ResponseHead(status, messages.reason_phrase(status), headers)


def parse_failure(headers: messages.HeaderList) -> NotRun | Unknown | None:
    """The failure that a response from a node tells of; `None` for an upstream's answer."""
    value = messages.get_header_text(headers, OUTCOME)
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
