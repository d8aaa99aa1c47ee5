"""Checks of the guarantees, from the results of callers and the ledgers of targets."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path

from soak.callers import CallerResult
from soak.requests import REQUEST_TIMEOUT_MS

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

DRAIN_LIMIT_S = 2.5
"""The users' limit on new runs at a target after its leave was acknowledged."""

DEADLINE_SLACK_S = 0.5
"""The users' limit on the time from the deadline of a request to its answer."""

NODE_FAULT_SLACK_S = 3.0
"""Time after a pause or a kill of a node in which the users apply no time limit to it."""

RECOVERY_PATH = "/recovery"
"""Path of the requests that check recovery; callers do not send these."""

MAX_LATE_SHARE = 0.5
"""Largest share of late answers among those after the deadline; the users count a node with a
larger one as faulty."""


@dataclass(frozen=True, slots=True)
class TargetRun:
    """One run at a target, which answered with `status`; `instance` is the process that ran it."""

    attempt_id: str
    method: str
    path: str
    checksum: int
    status: int
    caller: str
    at_s: float
    service: str
    instance: str
    place: str


@dataclass(frozen=True, slots=True)
class Ledger:
    """All runs at the targets, and the time at which each leave was acknowledged, by instance."""

    runs: list[TargetRun]
    leave_acknowledged_s: dict[str, float]


def read_ledger(folder: Path, service_by_place: dict[str, str]) -> Ledger:
    """Read the JSON lines in the logs of the targets."""
    runs: list[TargetRun] = []
    leave_acknowledged_s: dict[str, float] = {}
    for place, service in service_by_place.items():
        for line_text in (folder / f"{place}-target.log").read_text(encoding="utf-8").splitlines():
            if not line_text.startswith("{"):
                continue
            entry = json.loads(line_text)
            if "acknowledged_s" in entry:
                leave_acknowledged_s[entry["instance"]] = entry["acknowledged_s"]
            elif "attempt" in entry:
                runs.append(
                    TargetRun(
                        entry["attempt"],
                        entry["method"],
                        entry["path"],
                        entry["checksum"],
                        entry["status"],
                        entry["caller"],
                        entry["at_s"],
                        service,
                        entry["instance"],
                        place,
                    )
                )
    return Ledger(runs, leave_acknowledged_s)


@dataclass(frozen=True, slots=True)
class Observations:
    """Input of the checks; `node_fault_intervals` holds when nodes were killed or paused.

    `stray_bytes` are those that callers received while no request of theirs waited.
    No run may begin at `evacuated_places` in the `evacuated_interval`.
    """

    results: list[CallerResult]
    stray_bytes: list[str]
    ledger: Ledger
    node_fault_intervals: list[tuple[str, float, float]]
    service_by_place: dict[str, str]
    evacuated_places: set[str]
    evacuated_interval: tuple[float, float]

    def overlaps_node_fault(self, result: CallerResult) -> bool:
        """Return whether the caller's node was killed or paused during a request or just before."""
        return any(
            name == result.node
            and start_s <= result.end_s
            and result.sent_s <= end_s + NODE_FAULT_SLACK_S
            for name, start_s, end_s in self.node_fault_intervals
        )


def find_violations(observations: Observations) -> list[str]:
    """Return one line for each violation; the list is empty if every guarantee held."""
    violations: list[str] = []
    for name, details in (
        ("ran more than once", _repeated_runs(observations)),
        ("rejected as not run, but ran", _false_rejections(observations)),
        ("wrong or incomplete answer", _wrong_answers(observations)),
        ("bytes that belong to no answer", observations.stray_bytes),
        ("answer with a status that no target gave it", _changed_statuses(observations)),
        ("run without a matching request", _unrequested_runs(observations)),
        ("ran after the leave of its target was acknowledged", _runs_after_leave(observations)),
        (
            "no answer to a request that ran, without a fault of its node",
            _cut_connections(observations),
        ),
        ("ran in an evacuated data centre", _evacuated_runs(observations)),
        ("answers too long after the deadline", _late_answers(observations)),
    ):
        violations += [f"{name}: {detail}" for detail in details]
    return violations


def _repeated_runs(observations: Observations) -> list[str]:
    counts = Counter(
        run.attempt_id for run in observations.ledger.runs if run.service == "broneering"
    )
    return [f"{attempt_id} {count} times" for attempt_id, count in counts.items() if count > 1]


def _false_rejections(observations: Observations) -> list[str]:
    ran = {run.attempt_id for run in observations.ledger.runs if run.service == "broneering"}
    return [
        f"{result.attempt_id} at {result.node}, status {result.status}"
        for result in observations.results
        if result.status in NOT_RUN_STATUSES and result.attempt_id in ran
    ]


def _wrong_answers(observations: Observations) -> list[str]:
    return [
        f"{result.attempt_id} at {result.node}: {result.problem}"
        for result in observations.results
        if result.problem
    ]


def _changed_statuses(observations: Observations) -> list[str]:
    statuses_by_attempt: dict[str, set[int]] = defaultdict(set)
    for run in observations.ledger.runs:
        statuses_by_attempt[run.attempt_id].add(run.status)
    return [
        f"{result.attempt_id} at {result.node}: {result.status}, not one of {statuses}"
        for result in observations.results
        if result.has_receipt
        and result.status not in (statuses := statuses_by_attempt[result.attempt_id])
    ]


def _unrequested_runs(observations: Observations) -> list[str]:
    by_attempt = {result.attempt_id: result for result in observations.results}
    details = []
    for run in observations.ledger.runs:
        result = by_attempt.get(run.attempt_id)
        if run.path == RECOVERY_PATH:
            continue
        if result is None:
            details.append(f"{run.attempt_id} at {run.instance}")
            continue
        request = result.request
        requested = (request.method, request.path, request.checksum, request.service)
        caller = observations.service_by_place[result.node]
        if (*requested, caller) != (run.method, run.path, run.checksum, run.service, run.caller):
            details.append(f"{run.attempt_id} at {run.instance}: {run} for {result}")
    return details


def _runs_after_leave(observations: Observations) -> list[str]:
    return [
        f"{run.attempt_id} at {run.instance}, {run.at_s - acknowledged_s:.1f} s later"
        for run in observations.ledger.runs
        if (acknowledged_s := observations.ledger.leave_acknowledged_s.get(run.instance))
        is not None
        and run.at_s > acknowledged_s + DRAIN_LIMIT_S
    ]


def _evacuated_runs(observations: Observations) -> list[str]:
    start_s, end_s = observations.evacuated_interval
    return [
        f"{run.attempt_id} at {run.instance}, {run.at_s - start_s:.1f} s after the limit"
        for run in observations.ledger.runs
        if run.place in observations.evacuated_places and start_s < run.at_s < end_s
    ]


def _cut_connections(observations: Observations) -> list[str]:
    """Return the requests that ran without an answer, apart from those that the caller gave up.

    A large answer may break off with its target or a link. A request behind an answer that ends the
    connection is sent again by its caller.
    """
    ran = {run.attempt_id for run in observations.ledger.runs}
    return [
        f"{result.attempt_id} at {result.node} after {result.end_s - result.sent_s:.2f} s"
        for result in observations.results
        if result.status == 0
        and result.connected
        and not result.left
        and not result.is_behind_end
        and not (result.is_cut and result.request.is_streamed)
        and result.attempt_id in ran
        and not observations.overlaps_node_fault(result)
    ]


def _late_answers(observations: Observations) -> list[str]:
    by_node: dict[str, list[CallerResult]] = defaultdict(list)
    for result in observations.results:
        elapsed_s = result.end_s - result.sent_s
        if result.connected and not result.left and elapsed_s > REQUEST_TIMEOUT_MS / 1000:
            by_node[result.node].append(result)
    limit_s = REQUEST_TIMEOUT_MS / 1000 + DEADLINE_SLACK_S
    details = []
    for node, slow_results in by_node.items():
        late_results = [
            result
            for result in slow_results
            if result.end_s - result.sent_s > limit_s
            and not observations.overlaps_node_fault(result)
        ]
        if len(late_results) > MAX_LATE_SHARE * len(slow_results):
            late_results.sort(key=lambda result: result.end_s - result.sent_s)
            latest = late_results[-1]
            details.append(
                f"{len(late_results)} of {len(slow_results)} at {node}, "
                f"up to {latest.end_s - latest.sent_s:.1f} s ({latest.attempt_id})"
            )
    return details
