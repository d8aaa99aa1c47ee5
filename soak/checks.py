"""The promises, checked from what callers were told and what targets ran."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path

from soak.callers import ALLOWED_MS, Told

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

DRAIN_S = 2.5
"""The users' bound on new work for a target after the acknowledgement that it leaves."""

ANSWER_SLACK_S = 0.5
"""The users' bound on an answer after the caller's time is over."""

PAUSED_SLACK_S = 3.0
"""Time after a pause or a kill of a node in which the users hold it to no time bound."""

RECOVERY_PATH = "/recovery"
"""Path of the requests that ask whether a node serves again; they are not among the callers'."""

LARGEST_LATE_SHARE = 0.5
"""The users count it against a node that more than half of such answers come late."""


@dataclass(frozen=True, slots=True)
class Run:
    """One run at a target, and the process that ran it."""

    attempt: str
    path: str
    caller: str
    at_s: float
    service: str
    instance: str


@dataclass(frozen=True, slots=True)
class Ledger:
    """All that the targets ran, and when the leaving of each process was acknowledged."""

    runs: list[Run]
    acknowledged_s: dict[str, float]


def read_ledger(folder: Path, service_by_place: dict[str, str]) -> Ledger:
    """Read the lines that the targets wrote."""
    runs: list[Run] = []
    acknowledged_s: dict[str, float] = {}
    for place, service in service_by_place.items():
        for text in (folder / f"{place}-target.log").read_text(encoding="utf-8").splitlines():
            if not text.startswith("{"):
                continue
            line = json.loads(text)
            if "acknowledged_s" in line:
                acknowledged_s[line["instance"]] = line["acknowledged_s"]
            else:
                runs.append(
                    Run(
                        line["attempt"],
                        line["path"],
                        line["caller"],
                        line["at_s"],
                        service,
                        line["instance"],
                    )
                )
    return Ledger(runs, acknowledged_s)


@dataclass(frozen=True, slots=True)
class Seen:
    """All that a run's checks are made from; `faulty` holds when nodes were killed or paused."""

    told: list[Told]
    ledger: Ledger
    faulty: list[tuple[str, float, float]]
    service_by_place: dict[str, str]

    def was_faulty(self, told: Told) -> bool:
        """Whether the caller's node was killed or paused while it had a request, or just before."""
        return any(
            name == told.node
            and begun_s <= told.ended_s
            and told.sent_s <= ended_s + PAUSED_SLACK_S
            for name, begun_s, ended_s in self.faulty
        )


def check(seen: Seen) -> list[str]:
    """What is broken, one line each; empty where every promise held."""
    broken: list[str] = []
    for name, found in (
        ("ran twice", _doubles(seen)),
        ("refused but ran", _false_refusals(seen)),
        ("answer of another request or not whole", _mixed(seen)),
        ("ran what nobody sent so", _unasked(seen)),
        ("ran after its leaving was acknowledged", _after_leaving(seen)),
        ("cut after it had run, without a fault of its node", _cut(seen)),
        ("not answered in time", _late(seen)),
    ):
        broken += [f"{name}: {one}" for one in found]
    return broken


def _doubles(seen: Seen) -> list[str]:
    counts = Counter(run.attempt for run in seen.ledger.runs if run.service == "broneering")
    return [f"{attempt} {count} times" for attempt, count in counts.items() if count > 1]


def _false_refusals(seen: Seen) -> list[str]:
    ran = {run.attempt for run in seen.ledger.runs if run.service == "broneering"}
    return [
        f"{told.attempt} at {told.node}, status {told.status}"
        for told in seen.told
        if told.status in NOT_RUN_STATUSES and told.attempt in ran
    ]


def _mixed(seen: Seen) -> list[str]:
    return [
        f"{told.attempt} at {told.node}"
        for told in seen.told
        if told.status == 200 and not told.whole
    ]


def _unasked(seen: Seen) -> list[str]:
    by_attempt = {told.attempt: told for told in seen.told}
    found = []
    for run in seen.ledger.runs:
        told = by_attempt.get(run.attempt)
        if run.path == RECOVERY_PATH:
            continue
        if told is None:
            found.append(f"{run.attempt} at {run.instance}")
            continue
        asked = (told.path, told.service, seen.service_by_place[told.node])
        if asked != (run.path, run.service, run.caller):
            found.append(f"{run.attempt} at {run.instance}: {run} for {told}")
    return found


def _after_leaving(seen: Seen) -> list[str]:
    return [
        f"{run.attempt} at {run.instance}, {run.at_s - left_s:.1f} s later"
        for run in seen.ledger.runs
        if (left_s := seen.ledger.acknowledged_s.get(run.instance)) is not None
        and run.at_s > left_s + DRAIN_S
    ]


def _cut(seen: Seen) -> list[str]:
    ran = {run.attempt for run in seen.ledger.runs}
    return [
        f"{told.attempt} at {told.node} after {told.ended_s - told.sent_s:.2f} s"
        for told in seen.told
        if told.status == 0 and told.connected and told.attempt in ran and not seen.was_faulty(told)
    ]


def _late(seen: Seen) -> list[str]:
    by_node: dict[str, list[Told]] = defaultdict(list)
    for told in seen.told:
        if told.connected and told.ended_s - told.sent_s > ALLOWED_MS / 1000:
            by_node[told.node].append(told)
    limit_s = ALLOWED_MS / 1000 + ANSWER_SLACK_S
    found = []
    for node, slow in by_node.items():
        late = [t for t in slow if t.ended_s - t.sent_s > limit_s and not seen.was_faulty(t)]
        if len(late) > LARGEST_LATE_SHARE * len(slow):
            longest_s = max(told.ended_s - told.sent_s for told in late)
            found.append(f"{len(late)} of {len(slow)} at {node}, up to {longest_s:.1f} s")
    return found
