"""`python -m soak`: runs seeds one after another and prints what broke.

Usage: python -m soak --seed 1 --seeds 50 --duration 15 --places 6
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass

import click

from soak.callers import Callers
from soak.checks import RECOVERY_PATH, Seen, check, read_ledger
from soak.plan import Chaos, Fault, begin, end, make_plan
from standins.platform_fleet import HOST_BY_SERVICE, PlatformFleet

CALM_S = 2.0
"""Time without faults before the first one."""

RECOVERY_S = 15.0
"""The users' bound on the time in which a deployment serves again after its last fault."""

REGIONS = ("pohja", "louna")


@dataclass(frozen=True, slots=True)
class Result:
    """How one seed ended; `folder` holds the logs of all processes."""

    seed: int
    broken: list[str]
    requests: int
    answered: int
    folder: str


def run(seed: int, duration_s: float, places: int) -> Result:
    """Play one seed."""
    fleet = PlatformFleet()
    try:
        fleet.start(places, REGIONS, with_relays=True)
        fleet.write_config()
        fleet.fleet.wait_until(lambda: all(map(fleet.is_ready, fleet.machines)), "all are ready")
        chaos = Chaos(fleet, time.time)
        callers = Callers(fleet.machines, seed)
        callers.start()
        try:
            time.sleep(CALM_S)
            _play(make_plan(seed, duration_s, places), chaos)
            broken = _recover(fleet)
        finally:
            callers.close()
        broken += _own_ends(fleet)
    finally:
        fleet.close()
    service_by_place = {place.name: place.service for place in fleet.machines}
    ledger = read_ledger(fleet.fleet.folder, service_by_place)
    broken += check(Seen(callers.told, ledger, chaos.faulty, service_by_place))
    answered = sum(told.status == 200 for told in callers.told)
    return Result(seed, broken, len(callers.told), answered, str(fleet.fleet.folder))


def _play(plan: list[Fault], chaos: Chaos) -> None:
    """Begin and end each fault at its time."""
    steps = [(fault.at_s, True, fault) for fault in plan]
    steps += [(fault.at_s + fault.for_s, False, fault) for fault in plan]
    begun_s = time.monotonic()
    for at_s, begins, fault in sorted(steps, key=lambda step: step[0]):
        time.sleep(max(0.0, begun_s + at_s - time.monotonic()))
        (begin if begins else end)(fault, chaos)


def _recover(fleet: PlatformFleet) -> list[str]:
    """Wait until each node serves both services again; what does not is broken."""
    broken = []
    end_s = time.monotonic() + RECOVERY_S
    for place in fleet.machines:
        for host in HOST_BY_SERVICE.values():
            while not _serves(fleet, place.caller_port, host):
                if time.monotonic() > end_s:
                    broken.append(f"does not serve again: {place.name} for {host}")
                    break
                time.sleep(0.1)
    return broken


def _serves(fleet: PlatformFleet, port: int, host: str) -> bool:
    try:
        return fleet.send_request(port, RECOVERY_PATH, host).status == 200
    except OSError:
        return False


def _own_ends(fleet: PlatformFleet) -> list[str]:
    """Processes that have ended, or a node that crashed on the way."""
    ended = [
        f"ended by itself: {name} with {process.returncode}"
        for name, process in fleet.fleet.process_by_name.items()
        if process.poll() is not None
    ]
    crashed = [
        f"unhandled error in {place.name}"
        for place in fleet.machines
        if "Traceback" in (fleet.fleet.folder / f"{place.name}.log").read_text("utf-8", "replace")
    ]
    return ended + crashed


@click.command()
@click.option("--seed", type=int, default=1, help="The first seed.")
@click.option("--seeds", type=int, default=1, help="How many seeds in a row.")
@click.option("--duration", type=float, default=15.0, help="Seconds of faults in each.")
@click.option("--places", type=int, default=6, help="Nodes with a target each; even.")
def main(seed: int, seeds: int, duration: float, places: int) -> None:
    """Play seeds; the exit code is 1 where a promise broke."""
    failed = 0
    for number in range(seed, seed + seeds):
        result = run(number, duration, places)
        failed += bool(result.broken)
        state = "BROKEN" if result.broken else "held"
        click.echo(
            f"seed {number}: {state}; {result.requests} requests, {result.answered} answered; "
            f"logs in {result.folder}"
        )
        for line in result.broken[:20]:
            click.echo(f"  {line}")
    click.echo(f"{seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
