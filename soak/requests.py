"""Requests of callers, which tell the targets how to answer."""

from __future__ import annotations

import random
import uuid
import zlib
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from soak.connection import BODILESS_STATUSES, Answer
from standins.answer_scripts import body_of, body_with_status
from standins.platform_fleet import HEADER_PREFIX, HOST_BY_SERVICE

REQUEST_TIMEOUT_MS = 2000
"""Timeout that a request carries in its header."""

LONGEST_RUN_MS = 400
LATE_RUN_MS = (350, 700)
"""Bounds of a run that is so long that the call is sent to a second target."""

BOOKING_SHARE = 0.4
POST_SHARE = 0.2
"""Share of the look-ups that have a body; all bookings have one."""

LONGEST_REQUEST_BODY_BYTES = 3000

ANSWER_BYTES = 1500
"""Size of an answer, which a node can hold back whole until it is known to be so."""

LARGE_ANSWER_BYTES = 100_000
"""Size of an answer of which a node sends on the beginning before it has the end."""

LARGE_SHARE = 0.06

STUTTER_SHARE = 0.35
"""Share of the requests whose answers stutter or are failures."""

LATE_SHARE = 0.4
"""Share of these look-ups that run long. At one target they fail, at another one half break off."""

FAILURE_SHARE = 0.4
"""Share of the other answers that are failures."""

FAILURES_BY_SERVICE = {"kalender": (500, 500, 503, 404), "broneering": (500, 404)}
"""A target that answers 503 states that a booking has not run."""

BREAKS = (
    ("is reset within", ("with a length", "in chunks", "without a length")),
    ("is closed within", ("with a length", "in chunks")),
)
"""How answers break off, and their framings."""

STUTTERS = (
    (
        "is sent once",
        ("with a length", "in chunks", "without a length", "with status 204", "with status 304"),
    ),
    ("is sent again at once", ("with a length", "in chunks", "without a length")),
    ("is sent again 60 ms late", ("with a length", "in chunks", "without a length")),
    ("is sent again in three reads", ("without a length",)),
    ("comes after a copy of the earlier one", ("with a length", "without a length")),
    ("has a copy of the earlier one inside", ("with a length", "without a length")),
    ("comes slowly", ("with a length", "without a length")),
    *BREAKS,
)
"""What happens to the answers that stutter, and their framings."""

COPY_FRAMINGS = ("with a length", "in chunks", "without a length")


@dataclass(frozen=True, slots=True)
class Request:
    """One request; `size` is that of its answers."""

    attempt_id: str
    service: str
    method: str
    path: str
    body: bytes
    in_chunks: bool
    size: int

    @property
    def checksum(self) -> int:
        """Checksum of the body."""
        return zlib.crc32(self.body)

    @property
    def is_streamed(self) -> bool:
        """Whether a node may send on the beginning of an answer that is cut later."""
        return self.size > ANSWER_BYTES

    def encode(self) -> bytes:
        """Return the request as it is sent."""
        head = (
            f"{self.method} {self.path} HTTP/1.1\r\nHost: {HOST_BY_SERVICE[self.service]}\r\n"
            f"{HEADER_PREFIX}Attempt-Id: {self.attempt_id}\r\n"
            f"{HEADER_PREFIX}Timeout-Ms: {REQUEST_TIMEOUT_MS}\r\n"
        )
        if self.in_chunks:
            head += "Transfer-Encoding: chunked\r\n"
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(self.body), self.body)
        else:
            head += f"Content-Length: {len(self.body)}\r\n" if self.body else ""
            body = self.body
        return f"{head}\r\n".encode() + body

    def problem_of(self, answer: Answer) -> str:
        """Return what is wrong with an answer, apart from its status; empty if nothing is."""
        prefix = HEADER_PREFIX.lower()
        attempt_id = answer.header_by_name.get(f"{prefix}attempt-id")
        receipt = answer.header_by_name.get(f"{prefix}response-signature")
        if attempt_id != self.attempt_id or receipt not in (None, f"receipt.{self.attempt_id}"):
            return f"status {answer.status} of attempt {attempt_id} with {receipt}"
        if receipt is None:
            if answer.status >= 400 and is_failure_of_node(answer.body):
                return ""
            return f"status {answer.status} without a receipt: {answer.body[:40]!r}"
        expected = body_with_status(self.attempt_id.encode(), answer.status, self.size)
        if answer.status in BODILESS_STATUSES:
            expected = b""
        if answer.body == expected:
            return ""
        return (
            f"status {answer.status} with {len(answer.body)} bytes of {len(expected)}, "
            f"which begin {answer.body[:40]!r}"
        )


def is_failure_of_node(body: bytes) -> bool:
    """Return whether a body is one that a node itself writes, whole."""
    try:
        return set(msgspec.json.decode(body, type=dict[str, str])) == {"error"}
    except msgspec.MsgspecError:
        return False


def draw_look_up(rng: random.Random) -> Request:
    """Draw a look-up that may be sent behind another one."""
    return _draw(rng, "kalender", "GET")


def draw_request(rng: random.Random) -> Request:
    """Draw a request."""
    if rng.random() < BOOKING_SHARE:
        return _draw(rng, "broneering", "POST")
    return _draw(rng, "kalender", "POST" if rng.random() < POST_SHARE else "GET")


def _draw(rng: random.Random, service: str, method: str) -> Request:
    attempt_id = uuid.UUID(int=rng.getrandbits(128)).hex[:16]
    size = LARGE_ANSWER_BYTES if rng.random() < LARGE_SHARE else ANSWER_BYTES
    query: list[tuple[str, object]] = [("size", size)]
    if rng.random() < STUTTER_SHARE:
        # Each target that runs the request draws one of two answers.
        if service == "kalender" and rng.random() < LATE_SHARE:
            events = STUTTERS if rng.random() < 0.5 else BREAKS
            query += _draw_answer(rng, service, 1.0, LATE_RUN_MS)
            query += _draw_answer(rng, service, FAILURE_SHARE, LATE_RUN_MS, events)
        else:
            query += _draw_answer(rng, service) + _draw_answer(rng, service)
    else:
        query.append(("run_ms", rng.randrange(LONGEST_RUN_MS)))
    body = b""
    if method == "POST":
        body = body_of(attempt_id.encode(), rng.randrange(LONGEST_REQUEST_BODY_BYTES))
    in_chunks = bool(body) and rng.random() < 0.5
    path = f"/{attempt_id}?{urlencode(query)}"
    return Request(attempt_id, service, method, path, body, in_chunks, size)


def _draw_answer(
    rng: random.Random,
    service: str,
    failure_share: float = FAILURE_SHARE,
    run_bounds_ms: tuple[int, int] = (0, LONGEST_RUN_MS),
    events: tuple[tuple[str, tuple[str, ...]], ...] = STUTTERS,
) -> list[tuple[str, object]]:
    event, framings = rng.choice(events)
    is_failure = rng.random() < failure_share
    return [
        ("event", event),
        ("framing", rng.choice(framings)),
        ("copy", rng.choice(COPY_FRAMINGS)),
        ("status", rng.choice(FAILURES_BY_SERVICE[service]) if is_failure else 200),
        ("run_ms", rng.randrange(*run_bounds_ms)),
    ]
