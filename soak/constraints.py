"""Evacuation of a data centre, and restores of the store from an older copy, as faults of a run."""

from __future__ import annotations

import random
from dataclasses import dataclass

import structlog

from soak.plan import FaultInjector, begin_fault, end_fault
from standins.fleet import http_json

log = structlog.get_logger()

EVACUATED = "dc-0"

EVACUATE_LIMIT_S = 5.0
"""The users' limit on the time until an evacuation is in force."""

EVACUATED_AFTER_FAULTS_S = 7.0
"""Time after the last other fault in which the evacuation goes on, so that it can be checked."""


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Evacuation of a data centre, which is taken back at the end."""

    at_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class StoreRestore:
    """Restore of the store, at the end, from a copy that is made at the start.

    `loses_evacuation` tells whether the evacuation is lost, and is requested again.
    """

    at_s: float
    duration_s: float
    loses_evacuation: bool = False


def make_constraint_faults(seed: int, duration_s: float) -> list[Evacuation | StoreRestore]:
    """Return a restore during the other faults of a run, and an evacuation with one in its middle.

    They have a generator of their own: the other faults of a seed stay as they are.
    """
    rng = random.Random(f"constraints {seed}")
    return [
        StoreRestore(rng.uniform(0.5, duration_s / 2), rng.uniform(0.5, 2.5)),
        StoreRestore(duration_s - 3.0, 3.3, loses_evacuation=True),
        Evacuation(duration_s - 2.0, 2.0 + EVACUATED_AFTER_FAULTS_S),
    ]


def _object_url(injector: FaultInjector) -> str:
    return f"{injector.fleet.fleet.platform_url}/objects/evacuations/{EVACUATED}"


def _write_evacuation(injector: FaultInjector) -> None:
    """Request the evacuation, as the operator does; its limit begins with the answer."""
    try:
        http_json("POST", _object_url(injector), {"spec": {}})
        injector.evacuated_s = injector.now_s()
    except OSError as error:
        # The store has a fault at the same time, or has kept the evacuation.
        log.info("evacuation_write_failed", error=repr(error))


@begin_fault.register
def _(fault: Evacuation, injector: FaultInjector) -> None:
    _write_evacuation(injector)


@end_fault.register
def _(fault: Evacuation, injector: FaultInjector) -> None:
    if injector.evacuated_s is not None:
        injector.evacuated_interval = (
            injector.evacuated_s + EVACUATE_LIMIT_S,
            injector.now_s(),
        )
        http_json("DELETE", _object_url(injector))


@begin_fault.register
def _(fault: StoreRestore, injector: FaultInjector) -> None:
    http_json("POST", f"{injector.fleet.fleet.platform_url}/snapshot")


@end_fault.register
def _(fault: StoreRestore, injector: FaultInjector) -> None:
    http_json("POST", f"{injector.fleet.fleet.platform_url}/restore")
    if fault.loses_evacuation:
        _write_evacuation(injector)
