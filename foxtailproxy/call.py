"""Call: a request and its state while nodes route it."""

from __future__ import annotations

import hashlib
import os
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from foxtailproxy.config.rules import Match
from foxtailproxy.http.body import BodyStream
from foxtailproxy.target_policy import RUN_AT_ONCE, DeclinePolicy

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock
    from foxtailproxy.customers.identity import Customer
    from foxtailproxy.http.messages import RequestHead
    from foxtailproxy.models.rules import ClassRule, ServiceRule
    from foxtailproxy.routing import Choice

MAX_DEPTH = 16
"""Maximum depth of nested calls between services; a deeper call is taken to be in a loop."""

FINGERPRINT_BYTES = 16
ID_BYTES = 16


@dataclass(eq=False, slots=True)
class Call:
    """Request with the service and class rules that apply to it.

    `deadline_ms` and `caller_deadline_ms` are times of this node's clock: when the node gives up
    the call, and until when the caller waits. `payload` holds the body if it is completely in
    memory, so that it can be sent again; otherwise the body streams once from `stream`. `key` is
    the idempotency key; `first_send` is the caller's statement that it never sent this key before.
    `customer` is the identified customer, from whose allowance the call draws.
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
    decline_policy: DeclinePolicy = RUN_AT_ONCE
    last_choice: Choice | None = None
    crashed_upstreams: list[str] = field(default_factory=list)
    customer: Customer | None = None
    attempt_id: str = field(default_factory=lambda: new_id())
    send_number: int = 0
    _fingerprint: str = ""

    @property
    def send_id(self) -> str:
        """Identifier of one send of the call; a declined call is sent again under another one."""
        return send_id_of(self.attempt_id, self.send_number)

    @property
    def fingerprint(self) -> str:
        """Digest of the request, the same on all nodes."""
        if not self._fingerprint:
            self._fingerprint = fingerprint_of(self.service.name, self.head, self.payload)
        return self._fingerprint

    @property
    def in_process_hash(self) -> int:
        """Hash of the request, the same only within this process."""
        return hash((self.service.name, self.head.method, self.head.target, self.payload))

    @property
    def match(self) -> Match:
        """Service and class rules of the call."""
        return Match(self.service, self.rule)

    @property
    def class_key(self) -> str:
        """Key of the call's class, unique over all services."""
        return f"{self.service.name}/{self.rule.name}"

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent more than once."""
        return self.payload is not None

    def remaining_ms(self, clock: Clock) -> float:
        """Return the time left until the deadline in ms; negative once it has passed."""
        return self.deadline_ms - clock.now_ms()

    def objective_left_ms(self, clock: Clock) -> float:
        """Return the time left of the objective in ms; negative once it has passed.

        An answer within the objective is worth most.
        """
        return self.received_ms + self.rule.objective_ms - clock.now_ms()

    def body_stream(self) -> BodyStream:
        """Return the body for one send; a body that is not replayable allows only one send."""
        if self.payload is not None:
            return BodyStream.from_bytes(self.payload)
        assert self.stream is not None
        return self.stream


def send_id_of(attempt_id: str, send_number: int) -> str:
    """Return the identifier of one send of an attempt; the first send has the attempt's own id."""
    return f"{attempt_id}#{send_number}" if send_number else attempt_id


def new_id() -> str:
    """Return a new unique identifier for an attempt, a claim or a process."""
    return os.urandom(ID_BYTES).hex()


def fingerprint_of(service: str, head: RequestHead, payload: bytes | None) -> str:
    """Return a digest that is the same for the same request to the same service."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (service.encode(), head.method, head.target, payload or b""):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
