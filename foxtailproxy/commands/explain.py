"""`foxtailproxy explain`: the decisions behind the outcome of a request, from the nodes' logs."""

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
"""Other events of a request's nodes are shown from this many seconds before its first line until
its last: a node's view of the fleet changes seconds before it affects a request."""

TIMESTAMP_PREFIX = "timestamp="

FIELD_PATTERN = re.compile(r"""(\w+)=('(?:[^'\\]|\\.)*'|"(?:[^"\\]|\\.)*"|\S+)""")

REQUEST_EVENTS = frozenset(
    ("call", "call_refused", "send_failed", "call_hedged", "run", "answer_received")
)

MEANING_BY_REASON: dict[str, str] = {
    NotRunReason.UNKNOWN_SERVICE: "no route of the configuration matches the host and path",
    NotRunReason.NO_CONFIGURATION: "the node had no configuration yet",
    NotRunReason.NO_TARGET: "the node knew no live target of the service",
    NotRunReason.NO_ALLOWED_TARGET: "no target in its allowed regions was usable or had room",
    NotRunReason.EVACUATED: "the target's data centre was evacuated",
    NotRunReason.TARGET_DOWN: "the upstream accepted no connection",
    NotRunReason.LEAVING: "the upstream or its node was leaving",
    NotRunReason.QUEUE_FULL: "the queue of the class was full",
    NotRunReason.OVERLOADED: "the expected wait exceeded the time that the request could wait",
    NotRunReason.HELD_TOO_LONG: "it waited too long to finish in time",
    NotRunReason.DEADLINE: "its deadline passed before it could run",
    NotRunReason.CANCELLED: "its caller cancelled it before it ran",
    NotRunReason.NEVER_ARRIVED: "the target's node never received it",
    NotRunReason.SEALED: "the sender had abandoned it before it arrived",
    NotRunReason.UNREACHABLE: "the target's node accepted no connection",
    NotRunReason.UPSTREAM_REFUSED: "the upstream rejected it",
    NotRunReason.COLD: "the upstream was cold after its start, and its turn would come too late",
    NotRunReason.REFUSING: "the upstream had rejected the calls before it in spite of free slots",
    NotRunReason.FASTER_ELSEWHERE: "handed back before it ran: another target would answer sooner",
    NotRunReason.UNAUTHENTICATED: "the route needs a key, and the request carried no known one",
    NotRunReason.CONFIGURATION_STALE: "the node could not know whether a key had been withdrawn",
    NotRunReason.QUARANTINED: "the same request had crashed upstreams",
    NotRunReason.ALLOWANCE_EXCEEDED: "its customer sent more than its rate and burst allow",
    UnknownReason.UPSTREAM_LOST: "the connection to the upstream broke after the request was sent",
    UnknownReason.PEER_LOST: "the target's node was lost after the request was sent",
    UnknownReason.ANSWER_CUT: "the answer was incomplete",
}
"""Meaning of the reasons whose names are not self-explanatory."""

DEADLINE_UNKNOWN_MEANING = "the route's timeout or the caller's own deadline passed while it ran"


class RequestNotFoundError(FoxtailproxyError):
    """Error for a request that no line of the files names."""


class LogLine(msgspec.Struct):
    """Log line with its source (a file or node), timestamp, event and other fields."""

    source: str
    timestamp: str
    event: str
    fields: dict[str, str]

    @property
    def epoch_s(self) -> float:
        """Time of the line in seconds since the epoch."""
        return datetime.fromisoformat(self.timestamp).timestamp()


class Explanation(msgspec.Struct):
    """Log lines of a request.

    `inner_calls` are the lines of the calls that the request made, `beliefs` the other events of
    its nodes at that time.
    """

    attempt: str
    request: list[LogLine]
    inner_calls: list[LogLine]
    beliefs: list[LogLine]


@dataclass(frozen=True, slots=True)
class OutcomeStep:
    """Outcome that the caller's node returned to the caller."""

    line: LogLine


@dataclass(frozen=True, slots=True)
class RunStep:
    """Run of the request, or its rejection, at the target's node."""

    line: LogLine


@dataclass(frozen=True, slots=True)
class SendStep:
    """Hedged or failed send by the caller's node."""

    line: LogLine


@dataclass(frozen=True, slots=True)
class AnswerStep:
    """End of an answer's body at the target's node."""

    line: LogLine


STEP_TYPE_BY_EVENT: dict[str, Any] = {
    "answer_received": AnswerStep,
    "call": OutcomeStep,
    "call_refused": OutcomeStep,
    "run": RunStep,
}


def parse_line(text: str, source: str) -> LogLine | None:
    """Parse one line; the last word that a log collector put before it names the source."""
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
    """Yield the log lines of some files. Raises `FileError`."""
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
    """Collect the log lines of one request. Raises `FileError` or `RequestNotFoundError`."""
    lines = sorted(read_lines(paths), key=lambda line: line.timestamp)
    request_lines = [line for line in lines if line.fields.get("attempt") == attempt_id]
    if not request_lines:
        raise RequestNotFoundError(f"no line names the request {attempt_id}")
    inner_calls = [
        line for line in lines if line.fields.get("attempt", "").startswith(attempt_id + ".")
    ]
    sources = {line.source for line in request_lines} | {
        line.fields.get("target") for line in request_lines
    }
    start_s, end_s = request_lines[0].epoch_s - NODE_EVENT_WINDOW_S, request_lines[-1].epoch_s
    node_events = [
        line
        for line in lines
        if "attempt" not in line.fields
        and line.source in sources
        and start_s <= line.epoch_s <= end_s
    ]
    return Explanation(attempt_id, request_lines, inner_calls, node_events)


def format_explanation(explanation: Explanation) -> str:
    """Return the explanation as text, in order of time."""
    sources = {line.source for line in explanation.request}
    parts = [f"request {explanation.attempt}: {len(sources)} node(s)"]
    parts += [format_line(line) for line in explanation.request]
    if explanation.inner_calls:
        parts.append("calls that it made:")
        parts += [format_line(line) for line in explanation.inner_calls]
    if explanation.beliefs:
        parts.append(f"other events of these nodes, from {NODE_EVENT_WINDOW_S:.0f} s before:")
        parts += [format_line(line) for line in explanation.beliefs]
    return "\n".join(parts)


def format_line(line: LogLine) -> str:
    """Return one line as text: time, node, and the event with its inputs."""
    time_of_day = line.timestamp.partition("T")[2].rstrip("Z")
    if line.event in REQUEST_EVENTS:
        text = describe(STEP_TYPE_BY_EVENT.get(line.event, SendStep)(line))
    else:
        field_pairs = " ".join(f"{name}={value}" for name, value in line.fields.items())
        text = f"{line.event} {field_pairs}".rstrip()
    return f"  {time_of_day} {line.source:<24} {text}"


@singledispatch
def describe(step: object) -> str:
    """Return the description of one step, with the reason for it."""
    raise TypeError(f"no description of the step {step!r}")


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
        f"send #{fields.get('number')} at the target: {fields.get('outcome')} "
        f"{_describe_reason(fields)}; waited {fields.get('waited_ms')} ms, "
        f"ran {fields.get('ran_ms')} ms at slowness {fields.get('slowness')}, "
        f"limit {fields.get('limit_ms')} ms, "
        f"hold {fields.get('hold_ms')} ms"
    )


@describe.register
def _(step: SendStep) -> str:
    fields = step.line.fields
    if step.line.event == "call_hedged":
        return (
            f"hedged with a second send, {fields.get('left_ms')} ms left; "
            f"{_describe_choice(fields)}"
        )
    return (
        f"send #{fields.get('number')} failed: {fields.get('outcome')} {_describe_reason(fields)}, "
        f"{fields.get('left_ms')} ms left; {_describe_choice(fields)}"
    )


@describe.register
def _(step: AnswerStep) -> str:
    fields = step.line.fields
    return (
        f"send #{fields.get('number')} answered with {fields.get('bytes')} bytes framed by "
        f"{fields.get('framing')}, ended by {fields.get('ended_by')}; the connection had carried "
        f"{fields.get('earlier_exchanges')} exchange(s), other responses: "
        f"{fields.get('skipped_responses')} before the answer, {fields.get('stray_heads')} inside"
    )


def _describe_reason(fields: dict[str, str]) -> str:
    reason = fields.get("reason", "")
    meaning = MEANING_BY_REASON.get(reason, "")
    if reason == UnknownReason.DEADLINE and fields.get("outcome") == "unknown":
        meaning = DEADLINE_UNKNOWN_MEANING
    return f"{reason} ({meaning})" if meaning else reason


def _describe_choice(fields: dict[str, str]) -> str:
    """Return the target of a choice and the estimate behind it."""
    if "expected_ms" not in fields:
        return f"target {fields.get('target', 'none')}"
    age_ms = fields.get("report_age_ms", "-1")
    report = "without a report of its speed" if age_ms == "-1" else f"by a report {age_ms} ms old"
    return f"target {fields['target']} expected in {fields['expected_ms']} ms {report}"
