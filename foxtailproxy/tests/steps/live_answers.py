"""Steps for the bytes of answers, from a target to its callers, with real processes."""

from __future__ import annotations

import json
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from behave import given, then, when

from foxtailproxy.tests.raw_caller import NotAResponse, RawCaller, RawReply
from standins.answer_scripts import (
    STATUS_LINE_BY_EVENT,
    TO_HEAD,
    body_of,
    error_body_of,
    quoting,
)
from standins.fleet import http_json
from standins.platform_fleet import HOST_BY_SERVICE, Machine, PlatformFleet

READY_TIMEOUT_S = 10.0
HEALTH_CHECK_DUE_S = 0.12
MAX_TRIALS = 8
LEAVE_AFTER_S = 0.1
RUN_BEFORE_LEAVE_MS = 400
LATE_COPIES_SENT_S = 0.1
KILL_NODE_AFTER_S = 0.08
BYTES_BY_SIZE = {"tiny": 24, "small": 1500, "medium": 70_000, "large": 400_000}
ERROR_AFTER_MS = 500
"""Time before an error answer, which arrives while the call's second send is open."""

SECOND_END_MS = 200
"""Time before the second send's end, which comes after the error answer."""

MAX_ROUNDS = 16
CALLERS_AT_ONCE = 4
QUICK_LOOK_UPS = 8
PREFIXES = [f"/class-{number}/" for number in range(128)]
"""Prefixes of classes, each for one call, so that its times differ from those of earlier ones."""

SENT_AHEAD = "ahead"
SLOW_READ_BYTES = 8192
SLOW_READ_PAUSE_S = 0.003
UNKNOWN_OUTCOME = "502 or 504"
SENT_AGAIN = "whole, sent again"
REFUSED = ("502", "503", "504")
LOOK_UP, BOOKING = "look-up", "booking"


@dataclass(frozen=True, slots=True)
class Request:
    """Request whose path tells its target how to answer."""

    attempt: str
    method: str
    target: str
    host: str
    bodies: tuple[bytes, ...]
    """Bodies of a whole answer: that of the scripted one, and that of a plain one."""


@dataclass(slots=True)
class AnswersFleet(PlatformFleet):
    """Fleet of two services, each with a target that plays scripts and a plain one far away."""

    def start_answering(self) -> None:
        """Start all processes and wait until the nodes serve."""
        self.target_module = "standins.stuttering_target"
        # Most requests here are repeated, far beyond what the platform allows.
        self.retry_slack = 4000
        self.add_machines(4, ("pohja", "louna"))
        for machine in self.machines[2:]:
            machine.target_options = ("--plain",)
        self.start_processes()
        self.write_config(prefixes=PREFIXES)
        for machine in self.machines:
            self.fleet.wait_until(
                lambda machine=machine: self.is_ready(machine), f"{machine.name} is ready"
            )

    def caller_machine(self, service: str, hops: str) -> Machine:
        """Return the machine of the caller: that of the scripted target, or its neighbour."""
        local, neighbour = self.machines[:2]
        if local.service != service:
            local, neighbour = neighbour, local
        return local if hops == "one" else neighbour

    def scripted_machine(self, service: str) -> Machine:
        """Return the machine of the target that plays scripts."""
        return self.caller_machine(service, "one")

    def plain_machine(self, service: str) -> Machine:
        """Return the machine of the plain target."""
        return next(machine for machine in self.machines[2:] if machine.service == service)

    def runs(self, attempt: str) -> list[dict[str, Any]]:
        """Return the runs of an attempt at all targets."""
        return [run for machine in self.machines for run in self._runs_at(machine, attempt)]

    def _runs_at(self, machine: Machine, attempt: str) -> Iterator[dict[str, Any]]:
        log = self.fleet.folder / f"{machine.name}-target.log"
        for line in log.read_text(encoding="utf-8").splitlines():
            if f'"attempt":"{attempt}"' in line:
                yield json.loads(line)

    def cut_s(self, machine: Machine, attempt: str) -> float:
        """Return the Unix time at which a run was cut at a target; 0 if it was not."""
        log = self.fleet.folder / f"{machine.name}-target.log"
        for line in log.read_text(encoding="utf-8").splitlines():
            if f'"cut_attempt":"{attempt}"' in line:
                return float(json.loads(line)["at_s"])
        return 0.0

    def node_log(self, machine: Machine) -> str:
        """Return the log of a machine's node."""
        return (self.fleet.folder / f"{machine.name}.log").read_text(encoding="utf-8")

    def restart_target(self, machine: Machine) -> None:
        """Start the target of a machine again, as another process, and wait until it serves."""
        self.fleet.kill(f"{machine.name}-target")
        self.start_target(machine)
        self.wait_until_serving(machine)

    def wait_until_serving(self, machine: Machine) -> None:
        """Wait until the target's node and its neighbour send requests to the target."""
        for hops in ("one", "two"):
            caller_machine = self.caller_machine(machine.service, hops)
            self.fleet.wait_until(
                lambda caller_machine=caller_machine: self._is_run_at(machine, caller_machine),
                f"{machine.name} serves",
            )

    def _is_run_at(self, machine: Machine, caller_machine: Machine) -> bool:
        request = make_request(machine.service, "GET")
        send(caller_machine, request)
        return any(run["instance"] == machine.instance for run in self.runs(request.attempt))


def make_request(
    service: str, method: str, size: str = "small", prefix: str = "/", **script: str
) -> Request:
    """Return a request with an id of its own."""
    attempt = uuid.uuid4().hex[:16]
    body = body_of(attempt.encode(), BYTES_BY_SIZE[size])
    bodies = (quoting(body), body) if "quotes" in script.get("event", "") else (body,)
    if script.get("event") in STATUS_LINE_BY_EVENT:
        bodies = (error_body_of(attempt.encode(), BYTES_BY_SIZE[size]),)
    query = urlencode({"size": BYTES_BY_SIZE[size]} | script)
    if method == "HEAD" or script.get("framing", "").startswith("with status"):
        bodies = (b"",)
    return Request(attempt, method, f"{prefix}{attempt}?{query}", HOST_BY_SERVICE[service], bodies)


def send(machine: Machine, request: Request, version: str = "1.1", slow: bool = False) -> RawReply:
    """Send a request on a new connection and read its response."""
    caller = (
        RawCaller(machine.caller_port, SLOW_READ_BYTES, SLOW_READ_PAUSE_S)
        if slow
        else RawCaller(machine.caller_port)
    )
    caller.send(request.method, request.target, request.host, request.attempt, version)
    reply = caller.read_reply(request.method)
    caller.close()
    return reply


def result_of(request: Request, reply: RawReply) -> str:
    """Return what a caller reads: `whole`, `cut`, the status of a failure, or what is wrong."""
    if reply.cut:
        return "cut"
    if reply.status >= 400:
        return str(reply.status)
    named = reply.header_by_name.get("x-foxtailproxy-attempt-id")
    receipt = reply.header_by_name.get("x-foxtailproxy-response-signature")
    if (
        reply.body in request.bodies
        and named == request.attempt
        and receipt == f"receipt.{request.attempt}"
    ):
        return "whole"
    return f"COMPLETE, BUT WRONG: {len(reply.body)} bytes, attempt {named}, receipt {receipt}"


def error_result_of(request: Request, reply: RawReply) -> str:
    """Return what a caller reads where its target's answer is an error with a receipt.

    `whole` if it is this answer, the status of a node's own failure, `cut`, or what is wrong.
    """
    if "Timeout" in reply.cut:
        return f"INCOMPLETE, AND NOT CUT: {reply.status} with {len(reply.body)} bytes"
    if reply.cut:
        return "cut"
    receipt = reply.header_by_name.get("x-foxtailproxy-response-signature")
    if receipt is None and str(reply.status) in REFUSED:
        return str(reply.status)
    if (
        reply.status == 500
        and receipt == f"receipt.{request.attempt}"
        and reply.body in request.bodies
    ):
        return "whole"
    return f"COMPLETE, BUT WRONG: {reply.status}, receipt {receipt}, body {reply.body[:60]!r}"


@given("nodes with targets that stutter")
def step_start(context: Any) -> None:
    context.live = AnswersFleet()
    context.live.start_answering()


def _row_request(service: str, row: Any, **script: str) -> Request:
    method = "HEAD" if row["framing"] == TO_HEAD else "GET"
    if service == "broneering":
        method = "POST"
    script |= {"framing": row["framing"], "event": row["event"], "copy": row["copy"]}
    return make_request(service, method, row["size"], **script)


def _send_until_scripted(
    live: AnswersFleet, service: str, row: Any, machine: Machine, version: str, slow: bool
) -> tuple[Request, RawReply]:
    """Send the request of a row until it is answered by the script and not by a plain target."""
    for _ in range(MAX_TRIALS):
        if "health check" in row["event"]:
            time.sleep(HEALTH_CHECK_DUE_S)
        else:
            send(machine, make_request(service, "POST" if service == "broneering" else "GET"))
        request = _row_request(service, row)
        reply = send(machine, request, version, slow)
        runs = live.runs(request.attempt)
        if any(run["scripted"] for run in runs):
            return request, reply
        assert result_of(request, reply) in ("whole", *REFUSED), reply
    raise AssertionError(f"no request was answered by the script: {row}")


def _send_before_leave(live: AnswersFleet, service: str, row: Any) -> tuple[Request, RawReply]:
    """Send the request of a row; its target leaves while it runs it."""
    machine = live.scripted_machine(service)
    for _ in range(MAX_TRIALS):
        request = _row_request(service, row, run_ms=str(RUN_BEFORE_LEAVE_MS))
        caller = _open_request(machine, request)
        time.sleep(LEAVE_AFTER_S)
        if any(run["scripted"] for run in live.runs(request.attempt)):
            http_json("POST", f"{machine.standin_url}/leave")
            break
        caller.read_reply(request.method)
        caller.close()
    reply = caller.read_reply(request.method)
    caller.close()
    return request, reply


def _allowed_ends(
    live: AnswersFleet, expected: str, kind: str, machine: Machine, attempt: str
) -> tuple[str, ...]:
    """Return the ends of a request that are allowed where the table has `expected`.

    Between two nodes an answer that is cut is reset, which drops what is not read yet. If too
    little was read to begin the response, the request ends as one with a small answer does.
    """
    lost = any(
        "peer_connection_lost" in line and attempt in line
        for line in live.node_log(machine).splitlines()
    )
    if expected == "cut" and lost:
        return expected, (SENT_AGAIN if kind == LOOK_UP else UNKNOWN_OUTCOME)
    return (expected,)


def _matches(expected: str, result: str, run_count: int | None) -> bool:
    """Return whether a result and its number of runs, if that counts, are as expected."""
    results = ("502", "504") if expected == UNKNOWN_OUTCOME else (expected.partition(",")[0],)
    return result in results and run_count in (None, 2 if expected == SENT_AGAIN else 1)


def _run_row(
    context: Any,
    kind: str,
    hops: str,
    row: Any,
    version: str = "1.1",
    slow: bool = False,
    leaving: bool = False,
) -> str:
    """Return what is wrong with a row; empty if nothing is."""
    live: AnswersFleet = context.live
    service = "kalender" if kind == LOOK_UP else "broneering"
    machine = live.caller_machine(service, hops)
    if leaving:
        request, reply = _send_before_leave(live, service, row)
    else:
        request, reply = _send_until_scripted(live, service, row, machine, version, slow)
    result, run_count = result_of(request, reply), len(live.runs(request.attempt))
    target_machine = live.scripted_machine(service)
    if leaving or "process" in row["event"]:
        live.restart_target(target_machine)
    expected = row[kind]
    problems = []
    # A look-up that runs until its target has left may be hedged.
    counted_runs = None if leaving and kind == LOOK_UP else run_count
    allowed_ends = _allowed_ends(live, expected, kind, machine, request.attempt)
    if not any(_matches(allowed, result, counted_runs) for allowed in allowed_ends):
        problems.append(f"expected {expected}, got {result} after {run_count} runs")
    following = make_request(service, "POST" if kind == BOOKING else "GET")
    next_result = result_of(following, send(machine, following))
    if next_result != "whole":
        problems.append(f"the next caller got {next_result}")
    lines = live.node_log(target_machine).splitlines()
    is_logged = any("answer_received" in line and request.attempt in line for line in lines)
    if is_logged != (row["logged"] == "yes"):
        problems.append(f"answer_received was {'' if is_logged else 'not '}logged")
    return "; ".join(problems)


def _run_table(context: Any, hops: str, **options: Any) -> None:
    failures = []
    for row in context.table:
        for kind in (LOOK_UP, BOOKING):
            problem = _run_row(context, kind, hops, row, **options) if kind in row.headings else ""
            if problem:
                failures.append(f"{kind} | {' | '.join(row.cells)}: {problem}")
    assert not failures, "\n".join(["rows failed:", *failures])


@then("each request over {hops:w} hop is answered as the table says")
@then("each request over {hops:w} hops is answered as the table says")
def step_table(context: Any, hops: str) -> None:
    _run_table(context, hops)


@then(
    "each request over {hops:w} hop to a target that leaves meanwhile is answered as the table says"
)
def step_table_leaving(context: Any, hops: str) -> None:
    _run_table(context, hops, leaving=True)


@then("each request over {hops:w} hop in HTTP/1.0 is answered as the table says")
@then("each request over {hops:w} hops in HTTP/1.0 is answered as the table says")
def step_table_http_10(context: Any, hops: str) -> None:
    _run_table(context, hops, version="1.0")


@then("each request over {hops:w} hop of a slow reader is answered as the table says")
@then("each request over {hops:w} hops of a slow reader is answered as the table says")
def step_table_slow_reader(context: Any, hops: str) -> None:
    _run_table(context, hops, slow=True)


@then("look-ups that are sent on one connection over {hops:w} hop each get their own answer")
@then("look-ups that are sent on one connection over {hops:w} hops each get their own answer")
def step_pipelined(context: Any, hops: str) -> None:
    live: AnswersFleet = context.live
    machine = live.caller_machine("kalender", hops)
    requests = [_row_request("kalender", row) for row in context.table]
    caller = RawCaller(machine.caller_port)
    for request in requests:
        caller.send(request.method, request.target, request.host, request.attempt)
    results = [result_of(request, caller.read_reply(request.method)) for request in requests]
    caller.close()
    assert results == ["whole"] * len(requests), results


@then("the callers after one that cancels over {hops:w} hop get their own answers")
@then("the callers after one that cancels over {hops:w} hops get their own answers")
def step_cancel(context: Any, hops: str) -> None:
    live: AnswersFleet = context.live
    machine = live.caller_machine("kalender", hops)
    failures = []
    for row in context.table:
        request = _row_request("kalender", row)
        caller = _open_request(machine, request)
        time.sleep(float(row["cancel_ms"]) / 1000)
        caller.close()
        following = [make_request("kalender", "GET") for _ in range(3)]
        results = [result_of(request, send(machine, request)) for request in following]
        if results != ["whole"] * len(results):
            failures.append(f"{' | '.join(row.cells)}: {results}")
    assert not failures, "\n".join(["rows failed:", *failures])


@then("a target notices within {ms:d} ms that a caller over {hops:w} hop has left")
@then("a target notices within {ms:d} ms that a caller over {hops:w} hops has left")
def step_caller_leaves(context: Any, ms: int, hops: str) -> None:
    live: AnswersFleet = context.live
    machine = live.caller_machine("kalender", hops)
    requests = [_row_request("kalender", row) for row in context.table]
    time.sleep(LATE_COPIES_SENT_S)
    callers = [_open_request(machine, request) for request in requests]
    time.sleep(LEAVE_AFTER_S)
    left_s = time.time()
    for caller in callers:
        caller.close()
    time.sleep(ms / 1000)
    failures = []
    for row, request in zip(context.table, requests, strict=True):
        cut_s = live.cut_s(live.scripted_machine("kalender"), request.attempt)
        is_scripted = any(run["scripted"] for run in live.runs(request.attempt))
        if not is_scripted or not left_s < cut_s < left_s + ms / 1000:
            failures.append(
                f"{' | '.join(row.cells)}: scripted {is_scripted}, cut {cut_s - left_s}"
            )
    assert not failures, "\n".join(["rows failed:", *failures])


def _open_request(machine: Machine, request: Request, version: str = "1.1") -> RawCaller:
    """Send a request on a new connection without reading its response."""
    caller = RawCaller(machine.caller_port)
    caller.send(request.method, request.target, request.host, request.attempt, version)
    return caller


@when("the node of a target is killed while answers arrive over two hops")
def step_kill_node(context: Any) -> None:
    live: AnswersFleet = context.live
    machine, caller_machine = (live.caller_machine("kalender", hops) for hops in ("one", "two"))
    context.rows = list(context.table)
    context.requests = [_row_request("kalender", row) for row in context.rows]
    context.callers = [
        _open_request(caller_machine, request, row["version"])
        for row, request in zip(context.rows, context.requests, strict=True)
    ]
    time.sleep(KILL_NODE_AFTER_S)
    live.fleet.kill(machine.name)


@then("their callers read what the table says")
def step_read_after_kill(context: Any) -> None:
    failures = []
    for row, request, caller in zip(context.rows, context.requests, context.callers, strict=True):
        result = result_of(request, caller.read_reply(request.method))
        caller.close()
        is_scripted = any(run["scripted"] for run in context.live.runs(request.attempt))
        if result != row["result"] or not is_scripted:
            failures.append(f"{' | '.join(row.cells)}: got {result}, scripted {is_scripted}")
    assert not failures, "\n".join(["rows failed:", *failures])


@then("look-ups that are hedged over {hops:w} hop are whole, and so are the next ones")
@then("look-ups that are hedged over {hops:w} hops are whole, and so are the next ones")
def step_hedged(context: Any, hops: str) -> None:
    live: AnswersFleet = context.live
    machine = live.caller_machine("kalender", hops)
    for row in context.table:
        for _ in range(2):
            request = _row_request("kalender", row)
            assert result_of(request, send(machine, request)) == "whole", row
            following = make_request("kalender", "GET")
            assert result_of(following, send(machine, following)) == "whole", row
    assert "call_hedged" in live.node_log(machine)


def _send_quick_look_ups(caller: RawCaller, prefix: str) -> None:
    for _ in range(QUICK_LOOK_UPS):
        request = make_request("kalender", "GET", prefix=prefix)
        caller.send(request.method, request.target, request.host, request.attempt)
        assert result_of(request, caller.read_reply(request.method)) == "whole"


class KeptCaller:
    """Caller with one kept connection, whose look-up ends with the error of a row's script."""

    def __init__(self, machine: Machine, row: Any, prefix: str) -> None:
        self._row = row
        self._caller = RawCaller(machine.caller_port)
        self._prefix = prefix
        self._following = make_request("kalender", "GET", prefix=prefix)
        self.request = _row_request(
            "kalender",
            row,
            prefix=prefix,
            run_ms=str(ERROR_AFTER_MS),
            plain_event=row["second send"],
            plain_run_ms=str(SECOND_END_MS),
        )

    def send(self) -> None:
        """Send quick look-ups, so that a late answer is unusual, and then that of the row."""
        _send_quick_look_ups(self._caller, self._prefix)
        self._send(self.request)
        if self._row["next"] == SENT_AHEAD:
            self._send(self._following)

    def _send(self, request: Request) -> None:
        self._caller.send(request.method, request.target, request.host, request.attempt)

    def read(self) -> str:
        """Return what is wrong with the answer or the next one; empty if nothing is."""
        reply = self._caller.read_reply("GET")
        result = error_result_of(self.request, reply)
        problems = []
        if result not in self._row["result"].split(" or "):
            problems.append(f"expected {self._row['result']}, got {result}")
        if not reply.cut and reply.header_by_name.get("connection") != "close":
            next_result = self._read_following()
            if next_result != "whole":
                problems.append(f"the next answer {next_result}")
        self._caller.close()
        return "; ".join(problems)

    def _read_following(self) -> str:
        if self._row["next"] != SENT_AHEAD:
            self._send(self._following)
        try:
            return result_of(self._following, self._caller.read_reply("GET"))
        except NotAResponse as error:
            return f"begins with {error}"


def _is_hedged(live: AnswersFleet, attempt: str) -> bool:
    """Return whether a second send reached a plain target while the first one was open.

    A request whose connection is closed may run there twice, since it is sent again on a new one.
    """
    runs = sorted(live.runs(attempt), key=lambda run: run["at_s"])
    scripted = live.scripted_machine("kalender").instance
    if [run["instance"] == scripted for run in runs[:2]] != [True, False]:
        return False
    return bool(runs[1]["at_s"] - runs[0]["at_s"] < ERROR_AFTER_MS / 1000)


@then("callers whose hedged look-ups end over {hops:w} hop as follows read their own answers")
@then("callers whose hedged look-ups end over {hops:w} hops as follows read their own answers")
def step_hedged_errors(context: Any, hops: str) -> None:
    live: AnswersFleet = context.live
    machine = live.caller_machine("kalender", hops)
    rows, failures = list(context.table), []
    prefixes = getattr(context, "prefixes", None) or iter(PREFIXES)
    context.prefixes = prefixes
    # A node hedges calls at its own target only if that has failed before.
    for _ in range(MAX_ROUNDS):
        # Successes at the plain target, so that the failures there do not end its use.
        plain_caller = RawCaller(live.plain_machine("kalender").caller_port)
        _send_quick_look_ups(plain_caller, "/")
        plain_caller.close()
        succeeding = make_request("kalender", "GET", event="starts late")
        succeeding_caller = _open_request(machine, succeeding)
        callers = [
            (row, KeptCaller(machine, row, next(prefixes))) for row in rows[:CALLERS_AT_ONCE]
        ]
        for _, caller in callers:
            caller.send()
        for row, caller in callers:
            problem = caller.read()
            is_hedged = _is_hedged(live, caller.request.attempt)
            if problem:
                failures.append(f"{' | '.join(row.cells)}: {problem}")
            if problem or is_hedged:
                rows.remove(row)
        assert result_of(succeeding, succeeding_caller.read_reply("GET")) == "whole"
        succeeding_caller.close()
        if not rows:
            break
    assert not failures, "\n".join(["rows failed:", *failures])
    assert not rows, f"no second send reached a target: {rows}"


@when("a target is replaced by another process at its address")
def step_replace(context: Any) -> None:
    live: AnswersFleet = context.live
    machine = live.scripted_machine("kalender")
    context.open_callers = []
    for hops in ("one", "two"):
        request = make_request("kalender", "GET", framing="without a length", event="comes slowly")
        caller = _open_request(live.caller_machine("kalender", hops), request)
        context.open_callers.append((caller, request))
    time.sleep(0.05)
    live.fleet.kill(f"{machine.name}-target")
    machine.target_options = ("--silent-s", "1.5")
    live.start_target(machine)


@then("look-ups over both hops are whole or refused, and whole once it has announced itself")
def step_replaced(context: Any) -> None:
    live: AnswersFleet = context.live
    machine = live.scripted_machine("kalender")
    results = [
        result_of(request, caller.read_reply("GET")) for caller, request in context.open_callers
    ]
    for caller, _ in context.open_callers:
        caller.close()
    end_s = time.monotonic() + 2.5
    while time.monotonic() < end_s:
        for hops in ("one", "two"):
            request = make_request("kalender", "GET")
            results.append(result_of(request, send(live.caller_machine("kalender", hops), request)))
    assert set(results) <= {"whole", *REFUSED}, set(results)
    # The new process answered 421 to a request for the earlier one.
    assert "upstream_replaced" in live.node_log(machine)
    live.wait_until_serving(machine)
    assert results[-1] == "whole", results[-5:]
