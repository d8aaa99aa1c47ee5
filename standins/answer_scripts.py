"""Scripts of answers that are delimited, repeated and ended in the ways that a table names."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from twisted.internet import reactor
from twisted.internet.protocol import Protocol

LATE_MS = 60
"""Delay of a late copy, in milliseconds."""

LATE_START_MS = 600
"""Time before an answer that starts late, in milliseconds."""

STALL_MS = 1100
"""Pause inside the body of an answer that stalls, in milliseconds."""

SLOW_MS = 150
"""Pause inside the body of a slow answer, in milliseconds."""

READ_PAUSE_MS = 15
"""Pause between two writes that are to arrive in two reads, in milliseconds."""

WITHOUT_LENGTH = "without a length"
STATUS_LINE_BY_FRAMING = {
    "with status 204": b"204 No Content",
    "with status 304": b"304 Not Modified",
}
TO_HEAD = "to HEAD"

AN_ERROR, A_SLOW_ERROR = "is an error", "is an error that comes slowly"
IS_DECLINED = "is declined"
STATUS_LINE_BY_EVENT = {
    AN_ERROR: b"500 Broken",
    A_SLOW_ERROR: b"500 Broken",
    IS_DECLINED: b"503 Full",
}
NOT_EXECUTED_HEADER = b"X-Foxtailproxy-Not-Executed: 1\r\n"

INSTANCE_HEADER = b"X-Foxtailproxy-Instance-Id: i-1\r\n"
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
ANONYMOUS_ERROR = b"HTTP/1.1 500 Broken\r\nContent-Length: 9\r\n\r\nan error\n"
"""Error response that names no attempt."""

QUOTED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more text"

Step = bytes | int | str
"""Bytes to write, a pause in milliseconds, or `close`, `reset` or `exit`."""


@dataclass(frozen=True, slots=True)
class AnswerScript:
    """How an upstream answers: framing of the answer and of the copy, and what happens."""

    framing: str
    event: str
    copy_framing: str


def quoting(body: bytes) -> bytes:
    """Return a body that quotes a response."""
    return body[:100] + QUOTED_RESPONSE + body[100:]


def body_of(attempt: bytes, size: int) -> bytes:
    """Return the body of the answer to an attempt."""
    return (b"<%s>" % attempt) * (size // (len(attempt) + 2) + 1)


def body_with_status(attempt: bytes, status: int, size: int) -> bytes:
    """Return the body of the answer to an attempt with a status, each of which has its own."""
    return body_of(attempt if status == HTTPStatus.OK else b"%s %d" % (attempt, status), size)


def error_body_of(attempt: bytes, size: int) -> bytes:
    """Return the body of an error answer to an attempt, which has exactly this size."""
    return body_of(attempt, size)[:size]


def head_of(
    attempt: bytes, status_line: bytes = b"200 OK", headers: bytes = INSTANCE_HEADER
) -> bytes:
    """Return the start of an answer's head, to which its framing is added.

    The answer to a health check names no attempt and has no receipt.
    """
    start = b"HTTP/1.1 %s\r\n" % status_line
    if attempt:
        start += b"X-Foxtailproxy-Attempt-Id: %s\r\n" % attempt
        start += b"X-Foxtailproxy-Response-Signature: receipt.%s\r\n" % attempt
    return start + headers


def answer_pieces(
    framing: str,
    attempt: bytes,
    body: bytes,
    headers: bytes = INSTANCE_HEADER,
    status_line: bytes = b"200 OK",
) -> list[bytes]:
    """Return an answer in two pieces, the first of which ends inside the body if it has one."""
    status_line = STATUS_LINE_BY_FRAMING.get(framing, status_line)
    head, half = head_of(attempt, status_line, headers), len(body) // 2
    if framing in STATUS_LINE_BY_FRAMING:
        return [head + b"\r\n", b""]
    if framing == TO_HEAD:
        return [head + b"Content-Length: %d\r\n\r\n" % len(body), b""]
    first, second = body[:half], body[half:]
    if framing == "with a length":
        return [head + b"Content-Length: %d\r\n\r\n" % len(body) + first, second]
    if framing == "in chunks":
        chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in (first, second)]
        return [head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks[0], chunks[1] + b"0\r\n\r\n"]
    return [head + b"\r\n" + first, second]


def whole_answer(
    framing: str,
    attempt: bytes,
    body: bytes,
    headers: bytes = INSTANCE_HEADER,
    status_line: bytes = b"200 OK",
) -> bytes:
    """Return an answer in one piece."""
    return b"".join(answer_pieces(framing, attempt, body, headers, status_line))


def _thirds(data: bytes) -> Iterator[Step]:
    third = len(data) // 3
    yield data[:third]
    yield READ_PAUSE_MS
    yield data[third : 2 * third]
    yield READ_PAUSE_MS
    yield data[2 * third :]


def _end_of(script: AnswerScript) -> list[Step]:
    return ["close"] if script.framing == WITHOUT_LENGTH else []


def _no_copy(script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes) -> list[Step]:
    return [*answer, *_end_of(script)]


def _copy_at_once(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [b"".join(answer) + own, *_end_of(script)]


def _copy_late(script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes) -> list[Step]:
    return [*answer, LATE_MS, own, *_end_of(script)]


def _copy_in_three_reads(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [*answer, READ_PAUSE_MS, *_thirds(own), READ_PAUSE_MS, *_end_of(script)]


def _copy_cut_in_its_head(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [*answer, READ_PAUSE_MS, own[:35], *_end_of(script)]


def _copy_cut_in_its_body(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [*answer, READ_PAUSE_MS, own[:-10], "close"]


def _cut_and_sent_again(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [answer[0], READ_PAUSE_MS, own, "close"]


def _earlier_before(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [earlier + answer[0], READ_PAUSE_MS, answer[1], *_end_of(script)]


def _earlier_between(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [answer[0], READ_PAUSE_MS, earlier, READ_PAUSE_MS, answer[1], *_end_of(script)]


def _part_before(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [earlier[: len(earlier) // 2], READ_PAUSE_MS, *_no_copy(script, answer, own, earlier)]


def _anonymous_before(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [ANONYMOUS_ERROR + b"".join(answer), *_end_of(script)]


def _reset_within(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [answer[0], READ_PAUSE_MS, "reset"]


def _closed_within(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [answer[0], READ_PAUSE_MS, "close"]


def _closed_before(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return ["close"]


def _interim_before(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [INTERIM, READ_PAUSE_MS, INTERIM + answer[0], READ_PAUSE_MS, answer[1], *_end_of(script)]


def _interim_and_earlier_before(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [INTERIM + earlier + INTERIM, *_no_copy(script, answer, own, earlier)]


def _starts_late(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [LATE_START_MS, *_no_copy(script, answer, own, earlier)]


def _stalls(script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes) -> list[Step]:
    return [answer[0], STALL_MS, answer[1], *_end_of(script)]


def _slowly(script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes) -> list[Step]:
    return [answer[0], SLOW_MS, answer[1], *_end_of(script)]


AFTER_ANONYMOUS_ERROR = "comes after a copy of an earlier error that names no attempt"


LISTENER_CLOSES_LAST = "is cut by the end of its process, whose listening socket closes last"


def _process_ends_within(
    script: AnswerScript, answer: list[bytes], own: bytes, earlier: bytes
) -> list[Step]:
    return [answer[0], READ_PAUSE_MS, "exit"]


EVENTS: dict[str, Callable[[AnswerScript, list[bytes], bytes, bytes], list[Step]]] = {
    "is sent once": _no_copy,
    "quotes a response that names no attempt": _no_copy,
    "is sent again at once": _copy_at_once,
    "is sent again 60 ms late": _copy_late,
    "is sent again in three reads": _copy_in_three_reads,
    "is sent again and cut in its head": _copy_cut_in_its_head,
    "is sent again and cut in its body": _copy_cut_in_its_body,
    "is cut, and sent again in whole": _cut_and_sent_again,
    "comes after a copy of the earlier one": _earlier_before,
    "has a copy of the earlier one inside": _earlier_between,
    "comes after a part of a copy of the earlier one": _part_before,
    "comes after a copy of a health check": _earlier_before,
    "has a copy of a health check inside": _earlier_between,
    AFTER_ANONYMOUS_ERROR: _anonymous_before,
    "comes after interim responses": _interim_before,
    "comes after interim responses and a copy of the earlier one": _interim_and_earlier_before,
    "comes slowly": _slowly,
    "stalls": _stalls,
    "starts late": _starts_late,
    AN_ERROR: _no_copy,
    A_SLOW_ERROR: _slowly,
    IS_DECLINED: _no_copy,
    "is closed before": _closed_before,
    "is reset within": _reset_within,
    "is closed within": _closed_within,
    "is cut by the end of its process": _process_ends_within,
    LISTENER_CLOSES_LAST: _process_ends_within,
}


class ScriptPlayer(Protocol):
    """Server connection that plays scripts, also a later one before an earlier one has ended."""

    transport: Any = None

    def __init__(self) -> None:
        self._open_scripts: list[list[Step]] = []

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """End the scripts."""
        for steps in self._open_scripts:
            steps.clear()
        self._open_scripts = []

    @property
    def playing(self) -> bool:
        """Whether a script has not ended."""
        return bool(self._open_scripts)

    def play(
        self,
        script: AnswerScript,
        answer: list[bytes],
        own: bytes,
        earlier: bytes,
        delay_ms: int = 0,
    ) -> None:
        """Send an answer as its script says, after a delay; `own` and `earlier` are the copies."""
        steps = EVENTS[script.event](script, answer, own, earlier)
        if delay_ms:
            steps.insert(0, delay_ms)
        self._open_scripts.append(steps)
        self._continue(steps)

    def end_process(self) -> None:
        """End the process of this server. To be overridden."""
        raise NotImplementedError

    def _continue(self, steps: list[Step]) -> None:
        twisted_reactor: Any = reactor
        while steps:
            step = steps.pop(0)
            if isinstance(step, int):
                twisted_reactor.callLater(step / 1000, self._continue, steps)
                return
            if step == "close":
                self.transport.loseConnection()
            elif step == "exit":
                self.end_process()
            elif step == "reset":
                self.transport.abortConnection()
            else:
                self.transport.write(step)
        if steps in self._open_scripts:
            self._open_scripts.remove(steps)
