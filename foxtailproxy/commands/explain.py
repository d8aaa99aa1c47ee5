"""`foxtailproxy explain`: what decided the outcome of one request, from the nodes' log lines."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from functools import singledispatch
from pathlib import Path
from typing import Any

import msgspec

from foxtailproxy.exceptions import FileError, FoxtailproxyError
from foxtailproxy.outcome import NotRunReason, UnknownReason

NODE_EVENT_WINDOW_S = 5.0
"""Lines without a request that come so long before its first line, or until its last, are shown as
well: what a node believes changes seconds before it shows in a request."""

TIMESTAMP_PREFIX = "timestamp="

FIELD_PATTERN = re.compile(r"""(\w+)=('(?:[^'\\]|\\.)*'|"(?:[^"\\]|\\.)*"|\S+)""")

REQUEST_EVENTS = frozenset(("call", "call_refused", "send_failed", "call_hedged", "run"))

MEANING_BY_REASON: dict[str, str] = {
    NotRunReason.UNKNOWN_SERVICE: "no route of this configuration matches host and path",
    NotRunReason.NO_CONFIGURATION: "the node had no configuration yet",
    NotRunReason.NO_TARGET: "no live target of the service was known here",
    NotRunReason.TARGET_DOWN: "the upstream took no connection",
    NotRunReason.LEAVING: "the upstream or its node was leaving",
    NotRunReason.QUEUE_FULL: "the queue of the class was full",
    NotRunReason.OVERLOADED: "the expected wait was longer than the request could wait",
    NotRunReason.HELD_TOO_LONG: "it waited so long that it could not end in time",
    NotRunReason.DEADLINE: "its time was over before it could run",
    NotRunReason.CANCELLED: "its caller left before it ran",
    NotRunReason.NEVER_ARRIVED: "the target's node never saw it",
    NotRunReason.SEALED: "the sender had given it up before it arrived",
    NotRunReason.UNREACHABLE: "the target's node took no connection",
    NotRunReason.UPSTREAM_REFUSED: "the upstream turned it away",
    NotRunReason.FASTER_ELSEWHERE: "handed back before it ran, since another target was faster",
    NotRunReason.QUARANTINED: "such a request had crashed upstreams",
    UnknownReason.UPSTREAM_LOST: "the upstream's connection broke after the request was sent",
    UnknownReason.PEER_LOST: "the target's node was lost after the request was sent",
    UnknownReason.ANSWER_CUT: "the answer was not whole",
}
"""What a reason means where the word alone does not say it."""

DEADLINE_UNKNOWN_MEANING = "the route's timeout or the caller's own time was over while it ran"


class RequestNotFound(FoxtailproxyError):
    """No line of the files names the request."""


class LogLine(msgspec.Struct):
    """One log line: the file or node that it is from, its time of the day, and its fields."""

    source: str
    timestamp: str
    event: str
    fields: dict[str, str]

    @property
    def epoch_s(self) -> float:
        """Seconds since the epoch."""
        return datetime.fromisoformat(self.timestamp).timestamp()


class Explanation(msgspec.Struct):
    """The lines of a request and of the calls it made, and what its nodes came to believe then."""

    attempt: str
    request: list[LogLine]
    inner_calls: list[LogLine]
    beliefs: list[LogLine]


@dataclass(frozen=True, slots=True)
class OutcomeStep:
    """The caller's node told the caller the outcome."""

    line: LogLine


@dataclass(frozen=True, slots=True)
class RunStep:
    """The target's node ran the request or turned it away."""

    line: LogLine


@dataclass(frozen=True, slots=True)
class SendStep:
    """The caller's node sent it on, or saw a send fail."""

    line: LogLine


STEP_TYPE_BY_EVENT: dict[str, Any] = {
    "call": OutcomeStep,
    "call_refused": OutcomeStep,
    "run": RunStep,
}


def parse_line(text: str, source: str) -> LogLine | None:
    """Read one line; words before its timestamp, as a collector adds them, name the source."""
    prefix, separator, rest = text.partition(TIMESTAMP_PREFIX)
    if not separator:
        return None
    fields = {name: value.strip("'\"") for name, value in FIELD_PATTERN.findall(separator + rest)}
    timestamp, event = fields.pop("timestamp", ""), fields.pop("event", "")
    fields.pop("level", None)
    prefix_words = prefix.split()
    return (
        LogLine(prefix_words[-1] if prefix_words else source, timestamp, event, fields)
        if event
        else None
    )


def read_lines(paths: list[str]) -> Iterator[LogLine]:
    """The log lines of some files. Raises `FileError`."""
    for path in paths:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as file:
                for text in file:
                    line = parse_line(text, Path(path).stem)
                    if line is not None:
                        yield line
        except OSError as error:
            raise FileError(f"{path}: {error.strerror}") from error


def explain(attempt_id: str, paths: list[str]) -> Explanation:
    """Gather what concerns one request. Raises `FileError` or `RequestNotFound`."""
    lines = sorted(read_lines(paths), key=lambda line: line.timestamp)
    request = [line for line in lines if line.fields.get("attempt") == attempt_id]
    if not request:
        raise RequestNotFound(f"no line names the request {attempt_id}")
    inner_calls = [
        line for line in lines if line.fields.get("attempt", "").startswith(attempt_id + ".")
    ]
    sources = {line.source for line in request} | {line.fields.get("target") for line in request}
    first_s, last_s = request[0].epoch_s - NODE_EVENT_WINDOW_S, request[-1].epoch_s
    node_events = [
        line
        for line in lines
        if "attempt" not in line.fields
        and line.source in sources
        and first_s <= line.epoch_s <= last_s
    ]
    return Explanation(attempt_id, request, inner_calls, node_events)


def format_explanation(explanation: Explanation) -> str:
    """The explanation for people, in order of time."""
    sources = {line.source for line in explanation.request}
    parts = [f"request {explanation.attempt}: {len(sources)} node(s)"]
    parts += [format_line(line) for line in explanation.request]
    if explanation.inner_calls:
        parts.append("calls that it made:")
        parts += [format_line(line) for line in explanation.inner_calls]
    if explanation.beliefs:
        parts.append(f"what these nodes came to believe, from {NODE_EVENT_WINDOW_S:.0f} s before:")
        parts += [format_line(line) for line in explanation.beliefs]
    return "\n".join(parts)


def format_line(line: LogLine) -> str:
    """One line: time, node, and what was decided from what."""
    time_of_day = line.timestamp.partition("T")[2].rstrip("Z")
    if line.event in REQUEST_EVENTS:
        text = describe(STEP_TYPE_BY_EVENT.get(line.event, SendStep)(line))
    else:
        field_pairs = " ".join(f"{name}={value}" for name, value in line.fields.items())
        text = f"{line.event} {field_pairs}".rstrip()
    return f"  {time_of_day} {line.source:<24} {text}"


@singledispatch
def describe(step: object) -> str:
    """What happened at one step, and why."""
    raise TypeError(f"no text for {step!r}")


@describe.register
def _(step: OutcomeStep) -> str:
    fields = step.line.fields
    if step.line.event == "call_refused":
        return (
            f"refused {_describe_reason(fields)}; {fields.get('host')}{fields.get('path')}, "
            f"configuration {fields.get('config')}"
        )
    return (
        f"caller told: {fields.get('outcome')} {_describe_reason(fields)}; {fields.get('ms')} ms, "
        f"{fields.get('sends')} send(s), configuration {fields.get('config')}, "
        f"last {_describe_choice(fields)}"
    )


@describe.register
def _(step: RunStep) -> str:
    fields = step.line.fields
    return (
        f"target #{fields.get('number')}: {fields.get('outcome')} {_describe_reason(fields)}; "
        f"waited {fields.get('waited_ms')} ms, ran {fields.get('ran_ms')} ms at slowness "
        f"{fields.get('slowness')}, limit {fields.get('limit_ms')} ms, "
        f"hold {fields.get('hold_ms')} ms"
    )


@describe.register
def _(step: SendStep) -> str:
    fields = step.line.fields
    if step.line.event == "call_hedged":
        return (
            f"sent to a second target, {fields.get('left_ms')} ms left; {_describe_choice(fields)}"
        )
    return (
        f"send #{fields.get('number')} failed: {fields.get('outcome')} {_describe_reason(fields)}, "
        f"{fields.get('left_ms')} ms left; {_describe_choice(fields)}"
    )


def _describe_reason(fields: dict[str, str]) -> str:
    reason = fields.get("reason", "")
    meaning = MEANING_BY_REASON.get(reason, "")
    if reason == UnknownReason.DEADLINE and fields.get("outcome") == "unknown":
        meaning = DEADLINE_UNKNOWN_MEANING
    return f"{reason} ({meaning})" if meaning else reason


def _describe_choice(fields: dict[str, str]) -> str:
    """What the target was chosen from."""
    if "expected_ms" not in fields:
        return f"target {fields.get('target', 'none')}"
    age_ms = fields.get("report_age_ms", "-1")
    report = "no report of its speed" if age_ms == "-1" else f"a report {age_ms} ms old"
    return f"target {fields['target']} expected in {fields['expected_ms']} ms by {report}"
