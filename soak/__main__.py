"""`python -m soak`: runs seeds one after another and prints the violations found.

Usage: python -m soak --seed 1 --seeds 50 --duration 15 --places 6
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec

from soak.callers import Callers
from soak.checks import RECOVERY_PATH, Observations, find_violations, read_ledger
from soak.constraints import EVACUATED, Evacuation, StoreRestore, make_constraint_faults
from soak.plan import Fault, FaultInjector, begin_fault, end_fault, make_fault_plan
from standins.platform_fleet import HOST_BY_SERVICE, PlatformFleet

AnyFault = Fault | Evacuation | StoreRestore

WARM_UP_S = 2.0
"""Time under load before the first fault."""

RECOVERY_TIMEOUT_S = 15.0
"""The users' limit on the time from the last fault until every node serves again."""

LOWEST_ERROR_STATUS = 400

REGIONS = ("pohja", "louna")


@dataclass(frozen=True, slots=True)
class SeedResult:
    """Result of one seed; `log_folder` holds the logs of all processes.

    `answered` counts the successes, `failed_by_target` the failures that a target gave.
    """

    seed: int
    violations: list[str]
    requests: int
    answered: int
    failed_by_target: int
    log_folder: str


def run_seed(seed: int, duration_s: float, places: int) -> SeedResult:
    """Run one seed and check its records."""
    fleet = PlatformFleet(target_module="standins.stuttering_target")
    try:
        fleet.start(places, REGIONS, with_relays=True)
        fleet.write_config()
        fleet.fleet.wait_until(
            lambda: all(map(fleet.is_ready, fleet.machines)), "all nodes are ready"
        )
        injector = FaultInjector(fleet, time.time)
        callers = Callers(fleet.machines, seed)
        callers.start()
        try:
            time.sleep(WARM_UP_S)
            plan: list[AnyFault] = [*make_fault_plan(seed, duration_s, places)]
            plan += make_constraint_faults(seed, duration_s)
            _inject_faults(plan, injector)
            violations = _check_recovery(fleet)
        finally:
            callers.close()
        violations += _find_crashes(fleet)
    finally:
        fleet.close()
    _write_results(callers, fleet.fleet.folder / "callers.log")
    service_by_place = {place.name: place.service for place in fleet.machines}
    ledger = read_ledger(fleet.fleet.folder, service_by_place)
    evacuated = {place.name for place in fleet.machines if place.data_center == EVACUATED}
    violations += find_violations(
        Observations(
            callers.results,
            callers.stray_bytes,
            ledger,
            injector.node_fault_intervals,
            service_by_place,
            evacuated,
            injector.evacuated_interval,
        )
    )
    answered = sum(result.status == 200 for result in callers.results)
    failed_by_target = sum(
        result.has_receipt and result.status >= LOWEST_ERROR_STATUS for result in callers.results
    )
    return SeedResult(
        seed,
        violations,
        len(callers.results),
        answered,
        failed_by_target,
        str(fleet.fleet.folder),
    )


def _write_results(callers: Callers, path: Path) -> None:
    """Write what callers saw beside the logs of the processes, one line for each request."""
    path.write_bytes(b"".join(msgspec.json.encode(line) + b"\n" for line in callers.results))


def _inject_faults(plan: list[AnyFault], injector: FaultInjector) -> None:
    """Begin and end each fault of a plan at its time."""
    events = [(fault.at_s, True, fault) for fault in plan]
    events += [(fault.at_s + fault.duration_s, False, fault) for fault in plan]
    started_s = time.monotonic()
    for at_s, is_start, fault in sorted(events, key=lambda event: event[0]):
        time.sleep(max(0.0, started_s + at_s - time.monotonic()))
        (begin_fault if is_start else end_fault)(fault, injector)


def _check_recovery(fleet: PlatformFleet) -> list[str]:
    """Wait until each node serves both services again; return those that do not in time."""
    violations = []
    deadline_s = time.monotonic() + RECOVERY_TIMEOUT_S
    for place in fleet.machines:
        for host in HOST_BY_SERVICE.values():
            while not _is_serving(fleet, place.caller_port, host):
                if time.monotonic() > deadline_s:
                    violations.append(f"node did not recover: {place.name} does not serve {host}")
                    break
                time.sleep(0.1)
    return violations


def _is_serving(fleet: PlatformFleet, port: int, host: str) -> bool:
    try:
        return fleet.send_request(port, RECOVERY_PATH, host).status == 200
    except OSError:
        return False


def _find_crashes(fleet: PlatformFleet) -> list[str]:
    """Return the processes that exited unexpectedly and the nodes that logged a traceback."""
    exited = [
        f"process exited unexpectedly: {name} with status {process.returncode}"
        for name, process in fleet.fleet.process_by_name.items()
        if process.poll() is not None
    ]
    crashed = [
        f"unhandled exception in the log of {place.name}"
        for place in fleet.machines
        if "Traceback" in (fleet.fleet.folder / f"{place.name}.log").read_text("utf-8", "replace")
    ]
    return exited + crashed


@click.command()
@click.option("--seed", type=int, default=1, help="The first seed.")
@click.option("--seeds", type=int, default=1, help="Number of consecutive seeds.")
@click.option("--duration", type=float, default=15.0, help="Seconds of faults in each run.")
@click.option("--places", type=int, default=6, help="Number of nodes, each with a target; even.")
def main(seed: int, seeds: int, duration: float, places: int) -> None:
    """Run consecutive seeds; exit with status 1 if a guarantee was violated."""
    failed_count = 0
    for this_seed in range(seed, seed + seeds):
        result = run_seed(this_seed, duration, places)
        failed_count += bool(result.violations)
        verdict = "FAILED" if result.violations else "passed"
        click.echo(
            f"seed {this_seed}: {verdict}; {result.requests} requests, {result.answered} answered, "
            f"{result.failed_by_target} failed by their target; logs in {result.log_folder}"
        )
        for violation in result.violations[:20]:
            click.echo(f"  {violation}")
    click.echo(f"{seeds - failed_count} passed, {failed_count} failed")
    sys.exit(1 if failed_count else 0)


if __name__ == "__main__":
    main()
