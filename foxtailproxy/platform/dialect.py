"""The platform's interface with consumers (callers) and targets (upstreams)."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from foxtailproxy.dialect import CallerRequest, MalformedCall, UpstreamLoad, UpstreamMetadata
from foxtailproxy.http import messages
from foxtailproxy.http.body import BodyStream
from foxtailproxy.outcome import NotRun, NotRunReason, Unknown, UnknownReason
from foxtailproxy.platform import headers as names
from foxtailproxy.wire import strip_node_headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.call import Call

MISDIRECTED = 421
"""Status of a target that is not the expected one; it has not run the request."""

LOWEST_REFUSAL = 400

STATUS_BY_REASON = {
    NotRunReason.UNKNOWN_SERVICE: 404,
    NotRunReason.BAD_REQUEST: 400,
    NotRunReason.REQUEST_CUT: 400,
}
NOT_RUN_STATUS = 503
TIMEOUT_STATUS = 504
LOST_STATUS = 502

USUAL_SPEED = 100.0

MS_PER_SECOND = 1000

RETRY_SHARE = 1 / 3
"""A consumer waits for at most this share of the time that it has left."""


class PlatformError(msgspec.Struct):
    """The JSON body of an answer that the node itself makes."""

    error: str


class PlatformDialect:
    """Speaks the platform's headers; `own_service` tells that of the target beside this node."""

    def __init__(self, own_service: Callable[[], str]) -> None:
        self._own_service = own_service

    def read_caller_request(self, headers: messages.HeaderList) -> CallerRequest | MalformedCall:
        """What a consumer says with its request; every one has an attempt id."""
        attempt_id = messages.get_header_text(headers, names.ATTEMPT_ID)
        if not attempt_id:
            return MalformedCall("no attempt id")
        allowed = messages.get_header_text(headers, names.TIMEOUT_MS)
        passed_on = [pair for pair in headers if pair[0] not in names.SET_BY_NODES]
        # The caller's service is set where the request begins and travels with it.
        passed_on.append((names.CALLER_SERVICE, self._own_service().encode()))
        return CallerRequest(
            headers=passed_on,
            attempt_id=attempt_id,
            timeout_ms=int(allowed) if allowed.isdecimal() else None,
        )

    def upstream_headers(self, call: Call, remaining_ms: int, instance: str) -> messages.HeaderList:
        """The consumer's headers, the time left and the process that is to run the request."""
        headers = messages.end_to_end_headers(call.head.headers)
        headers.append((names.ATTEMPT_ID, call.attempt_id.encode("latin-1")))
        headers.append((names.TIMEOUT_MS, b"%d" % remaining_ms))
        if instance:
            headers.append((names.EXPECT_INSTANCE, instance.encode()))
        return headers

    def read_upstream_metadata(self, head: messages.ResponseHead) -> UpstreamMetadata:
        """What a target says beside its answer."""
        headers = head.headers
        misdirected = head.status == MISDIRECTED
        return UpstreamMetadata(
            not_run=misdirected or messages.get_header(headers, names.NOT_EXECUTED) is not None,
            load=parse_load(messages.get_header_text(headers, names.BACKEND_LOAD)),
            instance=messages.get_header_text(headers, names.INSTANCE_ID),
            misdirected=misdirected,
        )

    def is_answer(self, head: messages.ResponseHead, attempt_id: str) -> bool:
        """Targets name the attempt in each answer, but in some refusals and in health checks."""
        named = messages.get_header_text(head.headers, names.ATTEMPT_ID)
        if named or not attempt_id:
            return named == attempt_id
        if head.status == MISDIRECTED:
            return True
        is_check = messages.get_header(head.headers, names.INSTANCE_ID) is not None
        return head.status >= LOWEST_REFUSAL and not is_check

    def forwarded_headers(self, headers: messages.HeaderList) -> messages.HeaderList:
        """The target's headers without those that only its node uses."""
        return [
            pair
            for pair in strip_node_headers(messages.end_to_end_headers(headers))
            if pair[0] not in names.BETWEEN_NODE_AND_TARGET
        ]

    def answer_headers(self, headers: messages.HeaderList, attempt_id: str) -> messages.HeaderList:
        """The target's headers with the attempt id, which does not travel between nodes."""
        attempt = (names.ATTEMPT_ID, attempt_id.encode("latin-1"))
        return [*messages.end_to_end_headers(headers), attempt]

    def failure_response(
        self, failure: NotRun | Unknown, attempt_id: str, remaining_ms: float
    ) -> tuple[messages.ResponseHead, BodyStream]:
        """A final answer: 503 only where the request has not run and never will."""
        headers = [
            (b"content-type", b"application/json"),
            (names.ATTEMPT_ID, attempt_id.encode()),
        ]
        if isinstance(failure, NotRun):
            status = STATUS_BY_REASON.get(failure.reason, NOT_RUN_STATUS)
            if status == NOT_RUN_STATUS:
                wait_ms = max(0.0, min(failure.retry_after_ms, remaining_ms * RETRY_SHARE))
                headers.append((names.RETRY_AFTER, b"%.3f" % (wait_ms / MS_PER_SECOND)))
        else:
            late = failure.reason is UnknownReason.DEADLINE
            status = TIMEOUT_STATUS if late else LOST_STATUS
        body = msgspec.json.encode(PlatformError(failure.reason))
        return messages.ResponseHead(
            status, messages.reason_phrase(status), headers
        ), BodyStream.from_bytes(body)


def parse_load(value: str) -> UpstreamLoad | None:
    """Read a target's load header; `None` where it is missing or malformed."""
    parts = value.split(",")
    try:
        numbers = [float(part) for part in parts]
    except ValueError:
        return None
    if len(numbers) < 3:
        return None
    slowness = numbers[3] / USUAL_SPEED if len(numbers) > 3 else 1.0
    return UpstreamLoad(int(numbers[0]), int(numbers[1]), int(numbers[2]), slowness)
