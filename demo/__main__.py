"""Command that runs the demonstration and checks the guarantees that it exercises.

Usage: python -m demo
"""

from __future__ import annotations

import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from twisted.internet import reactor, threads
from twisted.internet.defer import ensureDeferred

from demo.configuration import demo_configuration
from standins.fleet import Fleet, upstream_name
from standins.load import (
    NO_ANSWER,
    LoadGenerator,
    LoadReport,
    RequestProfile,
    RequestResult,
    percentile_ms,
)

DURATION_S = 8.0
KILL_AT_S = 4.0
SEED = 7

LOCATIONS = (
    ("pohja", "tallinn-a"),
    ("pohja", "tallinn-b"),
)

PROFILES = [
    RequestProfile("lookup", "kalender.example", "GET", "/days", 120.0, run_ms=5.0),
    RequestProfile("quote", "hinnang.example", "GET", "/quotes", 10.0, run_ms=150.0),
    RequestProfile(
        "booking", "broneering.example", "POST", "/bookings", 30.0, run_ms=10.0, keyed=True
    ),
]


def start_fleet(folder: Path) -> Fleet:
    """Start three services with two targets each, in two data centres."""
    fleet = Fleet(folder)
    fleet.start_platform()
    for service in ("kalender", "hinnang", "broneering"):
        for region, data_center in LOCATIONS:
            fleet.add_member(f"{service}-{data_center}", region, data_center, service)
    fleet.start_members()
    fleet.apply_config(demo_configuration())
    return fleet


async def run_load(fleet: Fleet) -> LoadReport:
    """Send the load and kill one upstream halfway through."""
    generator = LoadGenerator([member.caller_port for member in fleet.members], SEED)
    killed_upstream = upstream_name(fleet.members[0])
    loop: Any = reactor
    loop.callLater(KILL_AT_S, lambda: threads.deferToThread(fleet.kill, killed_upstream))
    await generator.run(PROFILES, DURATION_S)
    return generator.report


def guarantee_violations(report: LoadReport, ledger: list[dict[str, Any]]) -> list[str]:
    """Return a line for each guarantee that was violated."""
    violations = []
    runs = Counter(entry["tag"] for entry in ledger)
    duplicate_tags = [result.tag for result in report.results_of("booking") if runs[result.tag] > 1]
    if duplicate_tags:
        violations.append(f"{len(duplicate_tags)} bookings ran more than once")
    false_not_run = [
        result.tag
        for result in report.results
        if result.profile.keyed and result.outcome == "not-run" and runs[result.tag]
    ]
    if false_not_run:
        violations.append(f'{len(false_not_run)} bookings ran although reported as "not run"')
    failed = [
        result for result in report.results if result.outcome in (NO_ANSWER, "refused", "failed")
    ]
    if failed:
        violations.append(
            f"{len(failed)} requests failed: {Counter(result.reason for result in failed)}"
        )
    mismatched = [result for result in report.results if not result.body_valid]
    if mismatched:
        violations.append(
            f"{len(mismatched)} answers were incomplete or did not match their requests"
        )
    unanswered = [
        result
        for result in report.results
        if not result.profile.keyed and result.outcome != "answered"
    ]
    if unanswered:
        reasons = Counter((result.outcome, result.reason) for result in unanswered)
        violations.append(f"{len(unanswered)} idempotent requests were not answered: {reasons}")
    return violations


def print_summary(fleet: Fleet, report: LoadReport) -> None:
    """Print calls, outcomes and latencies of each class, and the cost at the nodes."""
    print(f"{'class':<10} {'calls':>6} {'answered':>9} {'not run':>8} {'unknown':>8} ", end="")
    print(f"{'p50 ms':>8} {'p99 ms':>8} {'added p50 ms':>13} {'added p99 ms':>13}")
    for profile in PROFILES:
        print(summary_line(profile, report.results_of(profile.name)))
    statuses = [fleet.status(member) for member in fleet.members]
    sent = sum(status["traffic"]["sent_bytes"] for status in statuses)
    retries = sum(status["calls"]["retries"] for status in statuses)
    writes = sum(status["platform"]["writes"] for status in statuses)
    memory = max(fleet.memory_kb(member.node_id) for member in fleet.members)
    print(f"measurement and membership: {sent} bytes sent by {len(statuses)} nodes")
    print(f"retries: {retries}; platform writes: {writes}; largest node: {memory} KB resident")


def summary_line(profile: RequestProfile, results: list[RequestResult]) -> str:
    """Format one class of the summary; the added time is the latency minus the run time."""
    outcomes = Counter(result.outcome for result in results)
    times = [result.latency_ms for result in results if result.outcome == "answered"]
    p50, p99 = percentile_ms(times, 50), percentile_ms(times, 99)
    run_ms = profile.run_ms or 0.0
    return (
        f"{profile.name:<10} {len(results):>6} {outcomes['answered']:>9} {outcomes['not-run']:>8} "
        f"{outcomes['unknown']:>8} {p50:>8.2f} {p99:>8.2f} {p50 - run_ms:>13.2f} "
        f"{p99 - run_ms:>13.2f}"
    )


def main() -> int:
    """Run the demonstration; return 0 if every guarantee held."""
    status = 1
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            fleet = start_fleet(Path(folder))
            reports: list[LoadReport] = []
            loop: Any = reactor

            def begin() -> None:
                done = ensureDeferred(run_load(fleet))
                done.addCallbacks(reports.append, lambda failure: failure.printTraceback())
                done.addBoth(lambda _: loop.stop())

            loop.callWhenRunning(begin)
            loop.run()
            print_summary(fleet, reports[0])
            violations = guarantee_violations(reports[0], fleet.ledger())
            for line in violations:
                print(f"VIOLATED: {line}")
            if not violations:
                print("every guarantee held")
                status = 0
        finally:
            fleet.close()
    return status


if __name__ == "__main__":
    sys.exit(main())
