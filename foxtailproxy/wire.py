"""Headers between nodes, and the encoding of outcomes for peers and callers."""

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
from foxtailproxy.target_policy import DeclinePolicy

if TYPE_CHECKING:
    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock
    from foxtailproxy.config.rules import RuleBook

log = structlog.get_logger()

HEADER_PREFIX = b"foxtail-"

ATTEMPT_HEADER = b"foxtail-attempt"
CALL_HEADER = b"foxtail-call"
"""Header for a `CallHead`, a JSON array because links between regions are paid for by the byte."""

BOOT_HEADER = b"foxtail-boot"
DEADLINE_HEADER = b"foxtail-deadline-ms"
DEPTH_HEADER = b"foxtail-depth"
OUTCOME_HEADER = b"foxtail-outcome"
LOAD_HEADER = b"foxtail-load"
RETRY_AFTER_HEADER = b"foxtail-retry-after-ms"
KEY_HEADER = b"idempotency-key"
FIRST_SEND_HEADER = b"foxtail-first-send"

UNAUTHENTICATED_STATUS = 401
AUTHENTICATE_CHALLENGE = (b"www-authenticate", b"Bearer")

STATUS_BY_REASON = {
    NotRunReason.UNKNOWN_SERVICE: 404,
    NotRunReason.KEY_REUSED: 422,
    NotRunReason.QUARANTINED: 422,
    NotRunReason.TOO_DEEP: 508,
    NotRunReason.BAD_REQUEST: 400,
    NotRunReason.REQUEST_CUT: 400,
    NotRunReason.UNAUTHENTICATED: UNAUTHENTICATED_STATUS,
    NotRunReason.ALLOWANCE_EXCEEDED: 429,
}
"""Status codes of the reasons other than a lack of room or of targets."""

UNAVAILABLE_STATUS = 503
RETRY_LATER_STATUSES = frozenset((429, UNAVAILABLE_STATUS))
UNKNOWN_STATUS = 504

MS_PER_SECOND = 1000

MAX_NUMBER_LENGTH = 16
"""Longest number that is read from a header: an integer of hundreds of digits has no float."""

LINE_SEPARATORS = frozenset("\r\n\0")
"""Characters that no header may contain."""

NO_LIMIT = -1
RULE_NUMBER_COUNT = 7
"""Number of numeric fields that follow the name in an encoded rule."""


class FailureBody(msgspec.Struct):
    """The JSON body of a response that the node itself generates."""

    outcome: str
    reason: str
    attempt: str


def call_headers(call: Call, clock: Clock) -> messages.HeaderList:
    """Return the headers that carry a call to the node of its target."""
    policy = call.decline_policy
    head = CallHead(
        attempt=call.attempt_id,
        number=call.send_number,
        service=call.service.name,
        rule=_format_rule(call.rule),
        left_ms=int(call.remaining_ms(clock)),
        objective_left_ms=int(call.objective_left_ms(clock)),
        depth=call.depth,
        limit_ms=round(policy.limit_ms) if policy.may_decline else NO_LIMIT,
        hold_ms=round(policy.hold_ms),
        tenant=call.tenant,
        crashed=call.crashed_upstreams,
    )
    return [
        *messages.end_to_end_headers(call.head.headers),
        (CALL_HEADER, msgspec.json.encode(head)),
    ]


def parse_call_head(headers: messages.HeaderList) -> CallHead | None:
    """Return the head of a call from another node; `None` if it is missing or malformed."""
    value = messages.get_header(headers, CALL_HEADER)
    if value is None:
        return None
    try:
        head = msgspec.json.decode(value, type=CallHead)
    except msgspec.MsgspecError as error:
        log.warning("call_head_malformed", error=str(error))
        return None
    if not LINE_SEPARATORS.isdisjoint(head.attempt):
        log.warning("call_head_malformed", error="the attempt id would split a head")
        return None
    return head


def decline_policy_from_head(head: CallHead) -> DeclinePolicy:
    """Return the policy by which the target may decline a call from another node."""
    limit_ms = math.inf if head.limit_ms == NO_LIMIT else float(head.limit_ms)
    return DeclinePolicy(limit_ms, float(head.hold_ms))


def strip_node_headers(headers: messages.HeaderList) -> messages.HeaderList:
    """Return the headers without those that only nodes may set."""
    return [header for header in headers if not header[0].startswith(HEADER_PREFIX)]


def _format_rule(rule: ClassRule) -> str:
    """Encode the fields of a call's rule that the target needs, from the sender's configuration.

    The rule is sent with the call, so that nodes with different configurations treat it alike.
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
    name, *numbers = text.rsplit(";", RULE_NUMBER_COUNT)
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


def match_from_head(head: CallHead, rule_book: RuleBook | None) -> Match | None:
    """Return the rules sent with a call from another node; `None` if they cannot be parsed."""
    rule = _parse_rule(head.service, head.rule)
    if rule is None:
        return None
    service = None if rule_book is None else rule_book.service_by_name.get(head.service)
    return Match(service or ServiceRule(head.service), rule)


def get_int_header(headers: messages.HeaderList, name: bytes, default: int) -> int:
    """Return a header as an integer; `default` if it is missing or malformed."""
    value = messages.get_header(headers, name)
    if value is None or len(value) > MAX_NUMBER_LENGTH:
        return default
    try:
        return int(value)
    except ValueError:
        return default


@singledispatch
def format_outcome(failure: object) -> bytes:
    """Return the value of the outcome header."""
    raise TypeError(f"no outcome header for {failure!r}: expected NotRun or Unknown")


@format_outcome.register
def _(failure: NotRun) -> bytes:
    return b"not-run; reason=" + failure.reason.encode()


@format_outcome.register
def _(failure: Unknown) -> bytes:
    crash_parameter = b"; crashed" if failure.crashed else b""
    return b"unknown; reason=" + failure.reason.encode() + crash_parameter


@singledispatch
def failure_status(failure: object) -> int:
    """Return the HTTP status code of a failure."""
    raise TypeError(f"no HTTP status code for {failure!r}: expected NotRun or Unknown")


@failure_status.register
def _(failure: NotRun) -> int:
    return STATUS_BY_REASON.get(failure.reason, UNAVAILABLE_STATUS)


@failure_status.register
def _(failure: Unknown) -> int:
    if failure.reason is UnknownReason.KEY_NOT_CHECKED:
        return UNAVAILABLE_STATUS
    if failure.reason is UnknownReason.UNAUTHENTICATED:
        return UNAUTHENTICATED_STATUS
    return UNKNOWN_STATUS


def failure_response(
    failure: NotRun | Unknown, attempt_id: str
) -> tuple[messages.ResponseHead, BodyStream]:
    """Return the response that reports a failure to a caller."""
    status = failure_status(failure)
    headers = [
        (b"content-type", b"application/json"),
        (OUTCOME_HEADER, format_outcome(failure)),
        (ATTEMPT_HEADER, attempt_id.encode()),
    ]
    if status == UNAUTHENTICATED_STATUS:
        headers.append(AUTHENTICATE_CHALLENGE)
    if status in RETRY_LATER_STATUSES:
        retry_after_s = max(1, -(-failure.retry_after_ms // MS_PER_SECOND))
        headers.append((b"retry-after", b"%d" % retry_after_s))
        headers.append((RETRY_AFTER_HEADER, b"%d" % failure.retry_after_ms))
    outcome = "not-run" if isinstance(failure, NotRun) else "unknown"
    body = msgspec.json.encode(FailureBody(outcome, failure.reason, attempt_id)) + b"\n"
    head = messages.ResponseHead(status, messages.reason_phrase(status), headers)
    return head, BodyStream.from_bytes(body)


def peer_failure_head(failure: NotRun | Unknown) -> messages.ResponseHead:
    """Return the head of the response, without a body, that reports a failure to another node."""
    status = failure_status(failure)
    headers = [
        (OUTCOME_HEADER, format_outcome(failure)),
        (RETRY_AFTER_HEADER, b"%d" % failure.retry_after_ms),
    ]
    return messages.ResponseHead(status, messages.reason_phrase(status), headers)


def parse_failure(headers: messages.HeaderList) -> NotRun | Unknown | None:
    """Return the failure that a node's response reports; `None` for an upstream's answer."""
    value = messages.get_header_text(headers, OUTCOME_HEADER)
    if not value:
        return None
    kind, _, rest = value.partition("; reason=")
    reason, _, crashed = rest.partition(";")
    try:
        if kind == "not-run":
            return NotRun(NotRunReason(reason), get_int_header(headers, RETRY_AFTER_HEADER, 1000))
        return Unknown(UnknownReason(reason), bool(crashed))
    except ValueError:
        return Unknown(UnknownReason.PEER_LOST)
