"""Runs the demonstration and checks the promises that it exercises.

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
from standins.load import NO_ANSWER, Callers, Ended, Shape, Tally, quantile_ms

DURATION_S = 8.0
KILL_AT_S = 4.0
SEED = 7

PLACES = (
    ("pohja", "tallinn-a"),
    ("pohja", "tallinn-b"),
)

SHAPES = [
    Shape("lookup", "kalender.example", "GET", "/days", 120.0, run_ms=5.0),
    Shape("quote", "hinnang.example", "GET", "/quotes", 10.0, run_ms=150.0),
    Shape("booking", "broneering.example", "POST", "/bookings", 30.0, run_ms=10.0, keyed=True),
]


def build_fleet(folder: Path) -> Fleet:
    """Three services with two targets each, in two data centres."""
    fleet = Fleet(folder)
    fleet.start_platform()
    for service in ("kalender", "hinnang", "broneering"):
        for region, data_center in PLACES:
            fleet.add(f"{service}-{data_center}", region, data_center, service)
    fleet.start_members()
    fleet.apply(demo_configuration())
    return fleet


async def run_load(fleet: Fleet) -> Tally:
    """Send the load and kill one upstream in the middle."""
    callers = Callers([member.caller_port for member in fleet.members], SEED)
    victim = upstream_name(fleet.members[0])
    loop: Any = reactor
    loop.callLater(KILL_AT_S, lambda: threads.deferToThread(fleet.kill, victim))
    await callers.run(SHAPES, DURATION_S)
    return callers.tally


def broken_promises(tally: Tally, ledger: list[dict[str, Any]]) -> list[str]:
    """What did not hold, one line each."""
    broken = []
    runs = Counter(entry["tag"] for entry in ledger)
    doubles = [one.tag for one in tally.of("booking") if runs[one.tag] > 1]
    if doubles:
        broken.append(f"{len(doubles)} bookings ran more than once")
    false_refusals = [
        one.tag
        for one in tally.ended
        if one.shape.keyed and one.outcome == "not-run" and runs[one.tag]
    ]
    if false_refusals:
        broken.append(f"{len(false_refusals)} bookings ran although their caller was told not run")
    lost = [one for one in tally.ended if one.outcome in (NO_ANSWER, "refused", "failed")]
    if lost:
        broken.append(f"{len(lost)} callers got no answer: {Counter(one.reason for one in lost)}")
    wrong = [one for one in tally.ended if not one.whole]
    if wrong:
        broken.append(f"{len(wrong)} answers were not those of their requests")
    unanswered = [one for one in tally.ended if not one.shape.keyed and one.outcome != "answered"]
    if unanswered:
        reasons = Counter((one.outcome, one.reason) for one in unanswered)
        broken.append(f"{len(unanswered)} idempotent requests were not answered: {reasons}")
    return broken


def print_summary(fleet: Fleet, tally: Tally) -> None:
    """Calls, outcomes and times for each class, and what the nodes spent."""
    print(f"{'class':<10} {'calls':>6} {'answered':>9} {'not run':>8} {'unknown':>8} ", end="")
    print(f"{'p50 ms':>8} {'p99 ms':>8} {'over run p50':>13} {'over run p99':>13}")
    for shape in SHAPES:
        print(summary_line(shape, tally.of(shape.name)))
    statuses = [fleet.status(member) for member in fleet.members]
    sent = sum(status["traffic"]["sent_bytes"] for status in statuses)
    retries = sum(status["calls"]["retries"] for status in statuses)
    writes = sum(status["platform"]["writes"] for status in statuses)
    memory = max(fleet.memory_kb(member.node_id) for member in fleet.members)
    print(f"measuring and membership: {sent} bytes sent by {len(statuses)} nodes")
    print(f"retries: {retries}; platform writes: {writes}; largest node: {memory} KB resident")


def summary_line(shape: Shape, ended: list[Ended]) -> str:
    """One class of the summary; `over run` is what exceeds the upstream's run time."""
    outcomes = Counter(one.outcome for one in ended)
    times = [one.ms for one in ended if one.outcome == "answered"]
    p50, p99 = quantile_ms(times, 50), quantile_ms(times, 99)
    run_ms = shape.run_ms or 0.0
    return (
        f"{shape.name:<10} {len(ended):>6} {outcomes['answered']:>9} {outcomes['not-run']:>8} "
        f"{outcomes['unknown']:>8} {p50:>8.2f} {p99:>8.2f} {p50 - run_ms:>13.2f} "
        f"{p99 - run_ms:>13.2f}"
    )


def main() -> int:
    """Run the demonstration; 0 where every promise held."""
    status = 1
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            fleet = build_fleet(Path(folder))
            tallies: list[Tally] = []
            loop: Any = reactor

            def begin() -> None:
                done = ensureDeferred(run_load(fleet))
                done.addCallbacks(tallies.append, lambda failure: failure.printTraceback())
                done.addBoth(lambda _: loop.stop())

            loop.callWhenRunning(begin)
            loop.run()
            print_summary(fleet, tallies[0])
            broken = broken_promises(tallies[0], fleet.ledger())
            for line in broken:
                print(f"BROKEN: {line}")
            if not broken:
                print("every promise held")
                status = 0
        finally:
            fleet.close()
    return status


if __name__ == "__main__":
    sys.exit(main())
