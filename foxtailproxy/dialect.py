"""The HTTP interface with callers and upstreams: requests, answers and failures.

`FoxtailDialect` is the product's own interface. A node can use another one that decodes to the same
types.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import structlog

from foxtailproxy import wire
from foxtailproxy.customers.identity import identified_headers
from foxtailproxy.http import messages

if TYPE_CHECKING:
    from foxtailproxy.call import Call
    from foxtailproxy.http.body import BodyStream
    from foxtailproxy.models.rules import ServiceRule
    from foxtailproxy.outcome import NotRun, Unknown


log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """The parameters that a caller sends with its request.

    `attempt_id` is empty if the node is to choose one, `timeout_ms` is `None` if the caller sets no
    deadline. `headers` are the ones to forward.
    """

    headers: messages.HeaderList
    attempt_id: str = ""
    timeout_ms: int | None = None
    depth: int = 0
    key: str = ""
    first_send: bool = False


@dataclass(frozen=True, slots=True)
class MalformedCall:
    """A caller's request without something that the interface requires; `problem` says what."""

    problem: str


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """The load that an upstream reports: running and queued calls, slots, and its slowness.

    `slowness` is the factor by which work currently takes longer than usual.
    """

    running: int
    queued: int
    slots: int
    slowness: float = 1.0


@dataclass(frozen=True, slots=True)
class UpstreamMetadata:
    """The metadata that an upstream sends with its answer.

    `instance` is the process that answered, `cold_ms` how much longer it stays cold after its
    start; `None` if it does not tell.
    """

    not_run: bool = False
    load: UpstreamLoad | None = None
    instance: str = ""
    misdirected: bool = False
    cold_ms: int | None = None


class Dialect(Protocol):
    """The header names and formats used with callers and upstreams."""

    def read_caller_request(self, headers: messages.HeaderList) -> CallerRequest | MalformedCall:
        """Read the parameters that a caller sends with its request."""

    def identified_headers(
        self, headers: messages.HeaderList, service: ServiceRule, customer: str
    ) -> messages.HeaderList:
        """Return a caller's headers without its key, with the customer's name unless it is empty.

        Only used if the configuration has customers.
        """

    def upstream_headers(self, call: Call, remaining_ms: int, instance: str) -> messages.HeaderList:
        """Return the headers sent with a call to the upstream process `instance`."""

    def read_upstream_metadata(self, head: messages.ResponseHead) -> UpstreamMetadata:
        """Read the metadata that an upstream sends with its answer."""

    def answers_attempt(self, head: messages.ResponseHead, attempt_id: str) -> bool:
        """Return whether a response answers the attempt, or a health check if the id is empty."""

    def response_id(self, headers: messages.HeaderList) -> str | None:
        """Return what distinguishes a response on a connection; empty if its headers do not tell.

        `None` if upstreams of this interface never tell.
        """

    def forwarded_headers(self, headers: messages.HeaderList) -> messages.HeaderList:
        """Return the headers of an upstream's answer to forward to the caller's node."""

    def answer_headers(self, headers: messages.HeaderList, attempt_id: str) -> messages.HeaderList:
        """Return the headers sent to a caller with an upstream's answer."""

    def failure_response(
        self, failure: NotRun | Unknown, attempt_id: str, remaining_ms: float
    ) -> tuple[messages.ResponseHead, BodyStream]:
        """Return the response that reports a failure to a caller with `remaining_ms` left."""


HEALTH_CHECK = ""
"""Attempt id of a health check."""


@dataclass(frozen=True, slots=True)
class AnswerMatcher:
    """Match of an upstream's responses with one attempt, by the headers of a dialect."""

    dialect: Dialect
    attempt_id: str

    @property
    def request_id(self) -> str:
        """Attempt id, which the response names; empty for a health check."""
        return self.attempt_id

    def accepts(self, head: messages.ResponseHead) -> bool:
        """Return whether a response answers the attempt, and log it otherwise."""
        matches = self.dialect.answers_attempt(head, self.attempt_id)
        if not matches:
            # A late or duplicate answer to an earlier call; the right one follows it.
            log.warning("answer_of_another_call", attempt=self.attempt_id, status=head.status)
        return matches

    def response_id(self, headers: messages.HeaderList) -> str | None:
        """Return what distinguishes a response on a connection."""
        return self.dialect.response_id(headers)


class FoxtailDialect:
    """The product's own interface, with `foxtail-` headers."""

    def read_caller_request(self, headers: messages.HeaderList) -> CallerRequest | MalformedCall:
        """Read the parameters that a caller sends with its request."""
        timeout_ms = wire.get_int_header(headers, wire.DEADLINE_HEADER, -1)
        return CallerRequest(
            headers=wire.strip_node_headers(headers),
            timeout_ms=None if timeout_ms < 0 else timeout_ms,
            depth=wire.get_int_header(headers, wire.DEPTH_HEADER, 0),
            key=messages.get_header_text(headers, wire.KEY_HEADER),
            first_send=bool(messages.get_header(headers, wire.FIRST_SEND_HEADER)),
        )

    def identified_headers(
        self, headers: messages.HeaderList, service: ServiceRule, customer: str
    ) -> messages.HeaderList:
        """Return a caller's headers without its key, with the customer's name if it has one."""
        return identified_headers(headers, service.tenant_header.lower().encode(), customer)

    def upstream_headers(self, call: Call, remaining_ms: int, instance: str) -> messages.HeaderList:
        """Return the caller's headers with the attempt id, the deadline and the depth."""
        headers = messages.end_to_end_headers(call.head.headers)
        headers.append((wire.ATTEMPT_HEADER, call.attempt_id.encode()))
        headers.append((wire.DEADLINE_HEADER, b"%d" % remaining_ms))
        headers.append((wire.DEPTH_HEADER, b"%d" % call.depth))
        return headers

    def read_upstream_metadata(self, head: messages.ResponseHead) -> UpstreamMetadata:
        """Read whether the upstream rejected the call."""
        not_run = messages.get_header_text(head.headers, wire.OUTCOME_HEADER).startswith("not-run")
        return UpstreamMetadata(not_run=not_run)

    def answers_attempt(self, head: messages.ResponseHead, attempt_id: str) -> bool:
        """Return true: upstreams do not name the call that they answer."""
        return True

    def response_id(self, headers: messages.HeaderList) -> str | None:
        """Return `None`: upstreams do not name the call that they answer."""
        return None

    def forwarded_headers(self, headers: messages.HeaderList) -> messages.HeaderList:
        """Return the headers that are meant for the caller."""
        return wire.strip_node_headers(messages.end_to_end_headers(headers))

    def answer_headers(self, headers: messages.HeaderList, attempt_id: str) -> messages.HeaderList:
        """Return the upstream's headers with the attempt id."""
        return [*messages.end_to_end_headers(headers), (wire.ATTEMPT_HEADER, attempt_id.encode())]

    def failure_response(
        self, failure: NotRun | Unknown, attempt_id: str, remaining_ms: float
    ) -> tuple[messages.ResponseHead, BodyStream]:
        """Return a response with the outcome, its reason and when to retry."""
        return wire.failure_response(failure, attempt_id)
