"""One request on its way through the nodes."""

from __future__ import annotations

import hashlib
import os
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from foxtailproxy.config.rules import Match
from foxtailproxy.http.body import BodyStream
from foxtailproxy.terms import NO_TERMS, Terms

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock
    from foxtailproxy.http.messages import RequestHead
    from foxtailproxy.models.rules import ClassRule, ServiceRule
    from foxtailproxy.routing import Choice

MAX_DEPTH = 16
"""Calls that may stand behind one another; more is taken as a loop."""

FINGERPRINT_BYTES = 16
ID_BYTES = 16


@dataclass(slots=True)
class Call:
    """A request with what the rules say of it.

    `deadline_ms` and `caller_deadline_ms` are moments of this node's clock: when the call is given
    up, and until when its caller waits. `payload` holds the body where it is whole in
    memory, so that it can be sent again; otherwise the body streams once from `stream`.
    `first_send` is the caller's word that it has never sent `key` before.
    """

    head: RequestHead
    service: ServiceRule
    rule: ClassRule
    tenant: str
    deadline_ms: float
    depth: int
    payload: bytes | None
    stream: BodyStream | None = None
    key: str = ""
    first_send: bool = False
    caller_deadline_ms: float = 0.0
    received_ms: float = 0.0
    terms: Terms = NO_TERMS
    last_choice: Choice | None = None
    crashed_upstreams: list[str] = field(default_factory=list)
    attempt_id: str = field(default_factory=lambda: new_id())
    send_number: int = 0
    _fingerprint: str = ""

    @property
    def send_id(self) -> str:
        """Names one send of the call; a call that was handed back is sent again under another."""
        return send_id_of(self.attempt_id, self.send_number)

    @property
    def fingerprint(self) -> str:
        """A digest that is the same on all nodes for the same request."""
        if not self._fingerprint:
            self._fingerprint = fingerprint_of(self.service.name, self.head, self.payload)
        return self._fingerprint

    @property
    def local_key(self) -> int:
        """A hash that is the same in this process for the same request."""
        return hash((self.service.name, self.head.method, self.head.target, self.payload))

    @property
    def match(self) -> Match:
        """The rules of the call."""
        return Match(self.service, self.rule)

    @property
    def class_key(self) -> str:
        """The class, unique over all services."""
        return f"{self.service.name}/{self.rule.name}"

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent more than once."""
        return self.payload is not None

    def remaining_ms(self, clock: Clock) -> float:
        """Time left until the deadline; negative once it has passed."""
        return self.deadline_ms - clock.now_ms()

    def objective_left_ms(self, clock: Clock) -> float:
        """Time left within which an answer is worth most; negative once it has passed."""
        return self.received_ms + self.rule.objective_ms - clock.now_ms()

    def body(self) -> BodyStream:
        """The body for one attempt."""
        if self.payload is not None:
            return BodyStream.from_bytes(self.payload)
        assert self.stream is not None
        return self.stream


def send_id_of(attempt_id: str, number: int) -> str:
    """Names one send of an attempt; the first goes by the attempt's own id."""
    return f"{attempt_id}#{number}" if number else attempt_id


def new_id() -> str:
    """A unique identifier for an attempt, a claim or a process."""
    return os.urandom(ID_BYTES).hex()


def fingerprint_of(service: str, head: RequestHead, payload: bytes | None) -> str:
    """A digest that is the same for the same request to the same service."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (service.encode(), head.method, head.target, payload or b""):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
