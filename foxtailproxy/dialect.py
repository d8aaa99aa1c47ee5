"""How requests, answers and refusals are spoken with callers and upstreams.

`OwnDialect` is the product's interface. Another one may be given to the node, as long as it decodes
to the same types.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from foxtailproxy import wire
from foxtailproxy.http import messages

if TYPE_CHECKING:
    from foxtailproxy.call import Call
    from foxtailproxy.http.body import BodyStream
    from foxtailproxy.outcome import NotRun, Unknown


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """What a caller says with its request.

    `attempt_id` is empty where the node is to choose one, `allowed_ms` is `None` where the caller
    sets no deadline. `headers` are those to be passed on.
    """

    headers: messages.HeaderList
    attempt_id: str = ""
    allowed_ms: int | None = None
    depth: int = 0
    key: str = ""
    first_send: bool = False


@dataclass(frozen=True, slots=True)
class MalformedCall:
    """A caller's request lacks what the interface asks for."""

    what: str


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """An upstream's own load: calls running and waiting, slots, and its speed.

    `slowness` tells how many times longer than usual work takes at this moment.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


@dataclass(frozen=True, slots=True)
class UpstreamNote:
    """What an upstream says beside its answer.

    `instance` is the process that answered.
    """

    not_run: bool = False
    load: UpstreamLoad | None = None
    instance: str = ""
    another_instance: bool = False


class Dialect(Protocol):
    """Names and forms used with callers and upstreams."""

    def read_caller(self, headers: messages.HeaderList) -> CallerRequest | MalformedCall:
        """What a caller says with its request."""

    def upstream_headers(self, call: Call, remaining_ms: int, instance: str) -> messages.HeaderList:
        """The headers that an upstream process `instance` gets with a call."""

    def read_upstream(self, head: messages.ResponseHead) -> UpstreamNote:
        """What an upstream says beside its answer."""

    def is_answer(self, head: messages.ResponseHead, attempt_id: str) -> bool:
        """Whether a response is the one to a call, or to a health check where the id is empty."""

    def passed_headers(self, headers: messages.HeaderList) -> messages.HeaderList:
        """The headers of an upstream's answer that travel to the caller's node."""

    def answer_headers(self, headers: messages.HeaderList, attempt_id: str) -> messages.HeaderList:
        """The headers that a caller gets with an upstream's answer."""

    def failure(
        self, failure: NotRun | Unknown, attempt_id: str, remaining_ms: float
    ) -> tuple[messages.ResponseHead, BodyStream]:
        """The answer that tells a caller of a failure; it has `remaining_ms` left."""


class OwnDialect:
    """The product's own interface: `foxtail-` headers."""

    def read_caller(self, headers: messages.HeaderList) -> CallerRequest | MalformedCall:
        """What a caller says with its request."""
        allowed_ms = wire.read_int(headers, wire.DEADLINE, -1)
        return CallerRequest(
            headers=wire.without_own(headers),
            allowed_ms=None if allowed_ms < 0 else allowed_ms,
            depth=wire.read_int(headers, wire.DEPTH, 0),
            key=messages.get_header_text(headers, wire.KEY),
            first_send=bool(messages.get_header(headers, wire.FIRST_SEND)),
        )

    def upstream_headers(self, call: Call, remaining_ms: int, instance: str) -> messages.HeaderList:
        """The caller's headers, the deadline and the depth."""
        headers = messages.end_to_end_headers(call.head.headers)
        headers.append((wire.ATTEMPT, call.attempt_id.encode()))
        headers.append((wire.DEADLINE, b"%d" % remaining_ms))
        headers.append((wire.DEPTH, b"%d" % call.depth))
        return headers

    def read_upstream(self, head: messages.ResponseHead) -> UpstreamNote:
        """Whether the upstream refused the call."""
        not_run = messages.get_header_text(head.headers, wire.OUTCOME).startswith("not-run")
        return UpstreamNote(not_run=not_run)

    def is_answer(self, head: messages.ResponseHead, attempt_id: str) -> bool:
        """Upstreams do not say which call they answer."""
        return True

    def passed_headers(self, headers: messages.HeaderList) -> messages.HeaderList:
        """All that are for the caller."""
        return wire.without_own(messages.end_to_end_headers(headers))

    def answer_headers(self, headers: messages.HeaderList, attempt_id: str) -> messages.HeaderList:
        """The upstream's headers and the attempt id."""
        return [*messages.end_to_end_headers(headers), (wire.ATTEMPT, attempt_id.encode())]

    def failure(
        self, failure: NotRun | Unknown, attempt_id: str, remaining_ms: float
    ) -> tuple[messages.ResponseHead, BodyStream]:
        """The outcome, its reason and when to come back."""
        return wire.failure_response(failure, attempt_id)
