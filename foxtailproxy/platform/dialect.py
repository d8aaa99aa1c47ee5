"""Dialect of the platform's HTTP interface with callers and with targets (upstreams).

The platform calls the callers consumers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from foxtailproxy.customers.identity import identified_headers
from foxtailproxy.dialect import CallerRequest, MalformedCall, UpstreamLoad, UpstreamMetadata
from foxtailproxy.http import messages
from foxtailproxy.http.body import BodyStream
from foxtailproxy.outcome import NotRun, NotRunReason, Unknown, UnknownReason
from foxtailproxy.platform import headers as header_names
from foxtailproxy.wire import (
    AUTHENTICATE_CHALLENGE,
    UNAUTHENTICATED_STATUS,
    strip_node_headers,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.call import Call
    from foxtailproxy.models.rules import ServiceRule

MISDIRECTED_STATUS = 421
"""Status of a target process other than the expected one; it has not run the request."""

LOWEST_ERROR_STATUS = 400

STATUS_BY_REASON = {
    NotRunReason.UNKNOWN_SERVICE: 404,
    NotRunReason.BAD_REQUEST: 400,
    NotRunReason.REQUEST_CUT: 400,
    NotRunReason.UNAUTHENTICATED: UNAUTHENTICATED_STATUS,
    NotRunReason.ALLOWANCE_EXCEEDED: 429,
}
NOT_RUN_STATUS = 503
RETRY_LATER_STATUSES = frozenset((429, NOT_RUN_STATUS))
TIMEOUT_STATUS = 504
UNKNOWN_OUTCOME_STATUS = 502
STATUS_BY_UNKNOWN_REASON = {
    UnknownReason.DEADLINE: TIMEOUT_STATUS,
    UnknownReason.UNAUTHENTICATED: UNAUTHENTICATED_STATUS,
}

USUAL_RUN_TIME_PERCENT = 100.0

MS_PER_SECOND = 1000

MAX_COLD_DIGITS = 15

MAX_TIMEOUT_DIGITS = 15
"""Longest number of milliseconds that is read: an integer of hundreds of digits has no float."""

MAX_RETRY_WAIT_SHARE = 1 / 3
"""Largest `Retry-After` of a caller, as a share of the time that it has left."""


class ErrorBody(msgspec.Struct):
    """JSON body of a response that the node itself generates."""

    error: str


class PlatformDialect:
    """Dialect with the platform's headers; `local_service` returns the local target's service."""

    def __init__(self, local_service: Callable[[], str]) -> None:
        self._local_service = local_service

    def read_caller_request(self, headers: messages.HeaderList) -> CallerRequest | MalformedCall:
        """Decode a caller's request headers; a request without an attempt id is malformed."""
        attempt_id = messages.get_header_text(headers, header_names.ATTEMPT_ID)
        if not attempt_id:
            return MalformedCall("the x-foxtailproxy-attempt-id header is missing")
        timeout_text = messages.get_header_text(headers, header_names.TIMEOUT_MS)
        # The caller's Connection header must not name what the node adds.
        forwarded_headers = [
            pair
            for pair in strip_node_headers(messages.end_to_end_headers(headers))
            if pair[0] not in header_names.NODE_SET_REQUEST_HEADERS
        ]
        # The caller's service is set where the request originates, and is forwarded with it.
        forwarded_headers.append((header_names.CALLER_SERVICE, self._local_service().encode()))
        return CallerRequest(
            headers=forwarded_headers,
            attempt_id=attempt_id,
            timeout_ms=parse_timeout_ms(timeout_text),
        )

    def identified_headers(
        self, headers: messages.HeaderList, service: ServiceRule, customer: str
    ) -> messages.HeaderList:
        """Return a caller's headers without its key, with the customer's name if it has one."""
        return identified_headers(headers, header_names.TENANT, customer)

    def upstream_headers(self, call: Call, remaining_ms: int, instance: str) -> messages.HeaderList:
        """Return the caller's headers, the time left and the process that is to run the request."""
        headers = messages.end_to_end_headers(call.head.headers)
        headers.append((header_names.ATTEMPT_ID, call.attempt_id.encode("latin-1")))
        headers.append((header_names.TIMEOUT_MS, b"%d" % remaining_ms))
        if instance:
            headers.append((header_names.EXPECT_INSTANCE, instance.encode()))
        return headers

    def read_upstream_metadata(self, head: messages.ResponseHead) -> UpstreamMetadata:
        """Decode the metadata that a target sends with its response."""
        headers = head.headers
        misdirected = head.status == MISDIRECTED_STATUS
        return UpstreamMetadata(
            not_run=misdirected
            or messages.get_header(headers, header_names.NOT_EXECUTED) is not None,
            load=parse_backend_load(messages.get_header_text(headers, header_names.BACKEND_LOAD)),
            instance=messages.get_header_text(headers, header_names.INSTANCE_ID),
            misdirected=misdirected,
            cold_ms=parse_cold_ms(messages.get_header(headers, header_names.COLD_MS)),
        )

    def answers_attempt(self, head: messages.ResponseHead, attempt_id: str) -> bool:
        """Return whether a response belongs to an attempt, or to a health check if the id is empty.

        Targets name the attempt in every response, except in some error responses and in health
        checks.
        """
        answered_attempt_id = messages.get_header_text(head.headers, header_names.ATTEMPT_ID)
        if answered_attempt_id or not attempt_id:
            return answered_attempt_id == attempt_id
        if head.status == MISDIRECTED_STATUS:
            return True
        is_health_check = messages.get_header(head.headers, header_names.INSTANCE_ID) is not None
        return head.status >= LOWEST_ERROR_STATUS and not is_health_check

    def response_id(self, headers: messages.HeaderList) -> str | None:
        """Return the attempt that a target names; for a health check, the target's process."""
        return messages.get_header_text(headers, header_names.ATTEMPT_ID) or (
            messages.get_header_text(headers, header_names.INSTANCE_ID)
        )

    def forwarded_headers(self, headers: messages.HeaderList) -> messages.HeaderList:
        """Return the target's headers without those that only its node uses."""
        return [
            pair
            for pair in strip_node_headers(messages.end_to_end_headers(headers))
            if pair[0] not in header_names.NODE_ONLY_RESPONSE_HEADERS
        ]

    def answer_headers(self, headers: messages.HeaderList, attempt_id: str) -> messages.HeaderList:
        """Return the target's headers with the attempt id, which is not sent between nodes."""
        attempt_header = (header_names.ATTEMPT_ID, attempt_id.encode("latin-1"))
        return [*messages.end_to_end_headers(headers), attempt_header]

    def failure_response(
        self, failure: NotRun | Unknown, attempt_id: str, remaining_ms: float
    ) -> tuple[messages.ResponseHead, BodyStream]:
        """Return the response to a failed call: 503 only if it has not run and never will."""
        headers = [
            (b"content-type", b"application/json"),
            (header_names.ATTEMPT_ID, attempt_id.encode()),
        ]
        if isinstance(failure, NotRun):
            status = STATUS_BY_REASON.get(failure.reason, NOT_RUN_STATUS)
            if status in RETRY_LATER_STATUSES:
                retry_wait_ms = float(failure.retry_after_ms)
                if failure.reason is not NotRunReason.ALLOWANCE_EXCEEDED:
                    # An allowance has no token before that time, whatever the caller's deadline.
                    retry_wait_ms = min(retry_wait_ms, remaining_ms * MAX_RETRY_WAIT_SHARE)
                retry_wait_ms = max(0.0, retry_wait_ms)
                headers.append(
                    (header_names.RETRY_AFTER, b"%.3f" % (retry_wait_ms / MS_PER_SECOND))
                )
        else:
            status = STATUS_BY_UNKNOWN_REASON.get(failure.reason, UNKNOWN_OUTCOME_STATUS)
        if status == UNAUTHENTICATED_STATUS:
            headers.append(AUTHENTICATE_CHALLENGE)
        body = msgspec.json.encode(ErrorBody(failure.reason))
        return messages.ResponseHead(
            status, messages.reason_phrase(status), headers
        ), BodyStream.from_bytes(body)


def parse_timeout_ms(text: str) -> int | None:
    """Parse the time that a caller allows, in ms; `None` if it is missing, malformed or endless."""
    return int(text) if text.isdecimal() and len(text) <= MAX_TIMEOUT_DIGITS else None


def parse_cold_ms(value: bytes | None) -> int | None:
    """Parse how long a target stays cold, in ms; return `None` if it is missing or malformed."""
    text = b"" if value is None else value.strip()
    return int(text) if text.isdigit() and len(text) <= MAX_COLD_DIGITS else None


def parse_backend_load(value: str) -> UpstreamLoad | None:
    """Parse a target's load header; return `None` if it is missing or malformed."""
    parts = value.split(",")
    try:
        numbers = [float(part) for part in parts]
    except ValueError:
        return None
    if len(numbers) < 3:
        return None
    slowness = numbers[3] / USUAL_RUN_TIME_PERCENT if len(numbers) > 3 else 1.0
    return UpstreamLoad(int(numbers[0]), int(numbers[1]), int(numbers[2]), slowness)
