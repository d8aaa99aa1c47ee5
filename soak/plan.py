"""Fault plan of a run, which depends on its seed alone, and the injection of its faults."""

from __future__ import annotations

import math
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch

import structlog

from standins.fleet import http_json
from standins.platform_fleet import Machine, PlatformFleet, RelayHandle

log = structlog.get_logger()

COMMAND_TIMEOUT_S = 0.3
"""Timeout of the request that tells a target to drain or to leave."""

INTERPRETER_START_S = 0.25
"""Time that the interpreter may need on a busy machine to reach the program's first line. Until
then no handler is set and SIGHUP ends the process; the platform restarts it."""

SHORTEST_INTERVAL_S = 0.2
LONGEST_INTERVAL_S = 1.2
"""Time between the starts of two faults; most last longer, so that they overlap."""

SHORTEST_FAULT_S = 0.3
LONGEST_FAULT_S = 2.5

LONGEST_DELAY_MS = 80.0


@dataclass(frozen=True, slots=True)
class LinkFault:
    """Fault of the link to a node, a target or the store, caused by its relay."""

    at_s: float
    duration_s: float
    relay_kind: str
    place_index: int
    command: str


@dataclass(frozen=True, slots=True)
class NodeFault:
    """Signal to a node, which is restarted if it exits."""

    at_s: float
    duration_s: float
    place_index: int
    signal_number: signal.Signals


@dataclass(frozen=True, slots=True)
class TargetFault:
    """Kill, pause, drain or leave of a target; another process replaces one that exits."""

    at_s: float
    duration_s: float
    place_index: int
    kind: str


@dataclass(frozen=True, slots=True)
class StoreFault:
    """Fault of the store."""

    at_s: float
    duration_s: float
    faults: tuple[tuple[str, float | bool], ...]


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """Newer configuration, written by the operator."""

    at_s: float
    duration_s: float
    timeout_ms: int


Fault = LinkFault | NodeFault | TargetFault | StoreFault | ConfigChange

STORE_FAULTS: tuple[tuple[tuple[str, float | bool], ...], ...] = (
    (("outage", True),),
    (("silent", True),),
    (("busy", True),),
    (("delay_ms", 400),),
    (("lose_answers", 0.5),),
    (("late_ms", 1500),),
)

# Repeated entries are weights: each entry is drawn with the same probability.
FAULT_KINDS = ("link", "link", "link", "node", "node", "target", "target", "store", "config")

NODE_SIGNALS = (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGHUP)


def make_fault_plan(seed: int, duration_s: float, place_count: int) -> list[Fault]:
    """Return the faults of a run, ordered by start; all end within `duration_s`."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    at_s = SHORTEST_INTERVAL_S
    while at_s < duration_s - SHORTEST_FAULT_S:
        fault_duration_s = min(rng.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S), duration_s - at_s)
        faults.append(_draw_fault(rng, at_s, fault_duration_s, place_count))
        at_s += rng.uniform(SHORTEST_INTERVAL_S, LONGEST_INTERVAL_S)
    return faults


def _draw_fault(rng: random.Random, at_s: float, duration_s: float, place_count: int) -> Fault:
    place_index = rng.randrange(place_count)
    kind = rng.choice(FAULT_KINDS)
    if kind == "link":
        relay_kind = rng.choice(("peer", "peer", "target", "store"))
        command = rng.choice(
            ("reset", "silence", "refuse", "cut?way=to", "cut?way=from", _draw_delay_command(rng))
        )
        return LinkFault(at_s, duration_s, relay_kind, place_index, command)
    if kind == "node":
        return NodeFault(at_s, duration_s, place_index, rng.choice(NODE_SIGNALS))
    if kind == "target":
        return TargetFault(
            at_s, duration_s, place_index, rng.choice(("kill", "pause", "drain", "leave"))
        )
    if kind == "store":
        return StoreFault(at_s, duration_s, rng.choice(STORE_FAULTS))
    return ConfigChange(at_s, duration_s, rng.choice((900, 1200, 1500)))


def _draw_delay_command(rng: random.Random) -> str:
    return f"delay?ms={rng.uniform(1, LONGEST_DELAY_MS):.0f}"


class FaultInjector:
    """Injector of faults into one fleet.

    `node_fault_intervals` holds the intervals in which nodes were killed or paused, so that the
    checks can attribute failed requests to them. `ending` holds the processes that are about to
    exit. `evacuated_interval` is the time in which no run may begin in the evacuated data centre.
    """

    def __init__(self, fleet: PlatformFleet, now_s: Callable[[], float]) -> None:
        self.fleet = fleet
        self.now_s = now_s
        self.node_fault_intervals: list[tuple[str, float, float]] = []
        self.ending: set[str] = set()
        self.node_started_s: dict[str, float] = {}
        self.evacuated_s: float | None = None
        self.evacuated_interval = (math.inf, math.inf)

    def place(self, index: int) -> Machine:
        """Return a place by its index."""
        return self.fleet.machines[index]

    def is_running(self, name: str) -> bool:
        """Return whether a process of the fleet runs and is not about to exit."""
        return name not in self.ending and self.fleet.fleet.process_by_name[name].poll() is None

    def is_starting(self, name: str) -> bool:
        """Return whether a node was started so recently that no signal handler may be set yet."""
        return self.now_s() - self.node_started_s.get(name, 0.0) < INTERPRETER_START_S

    def relay(self, fault: LinkFault) -> RelayHandle:
        """Return the relay that causes a fault."""
        place = self.place(fault.place_index)
        relay_by_kind = {
            "peer": place.peer_relay,
            "target": place.target_relay,
            "store": self.fleet.store_relay,
        }
        relay = relay_by_kind[fault.relay_kind]
        assert relay is not None
        return relay


@singledispatch
def begin_fault(fault: object, injector: FaultInjector) -> None:
    """Begin a fault."""
    raise TypeError(f"unknown type of fault: {fault!r}")


@singledispatch
def end_fault(fault: object, injector: FaultInjector) -> None:
    """End a fault; by default nothing has to be undone."""


@begin_fault.register
def _(fault: LinkFault, injector: FaultInjector) -> None:
    injector.relay(fault).send_command(fault.command)


@end_fault.register
def _(fault: LinkFault, injector: FaultInjector) -> None:
    injector.relay(fault).send_command("heal")


@begin_fault.register
def _(fault: NodeFault, injector: FaultInjector) -> None:
    name = injector.place(fault.place_index).name
    if not injector.is_running(name) or (
        fault.signal_number is signal.SIGHUP and injector.is_starting(name)
    ):
        return
    if fault.signal_number in (signal.SIGKILL, signal.SIGTERM):
        injector.ending.add(name)
    if fault.signal_number in (signal.SIGKILL, signal.SIGSTOP):
        injector.node_fault_intervals.append(
            (name, injector.now_s(), injector.now_s() + fault.duration_s)
        )
    injector.fleet.fleet.signal(name, fault.signal_number)


@end_fault.register
def _(fault: NodeFault, injector: FaultInjector) -> None:
    place = injector.place(fault.place_index)
    process = injector.fleet.fleet.process_by_name[place.name]
    if fault.signal_number is signal.SIGSTOP and process.poll() is None:
        process.send_signal(signal.SIGCONT)
    elif place.name in injector.ending:
        process.wait()
        injector.node_started_s[place.name] = injector.now_s()
        injector.fleet.start_node(place, wait=False)
        injector.ending.discard(place.name)


@begin_fault.register
def _(fault: TargetFault, injector: FaultInjector) -> None:
    place = injector.place(fault.place_index)
    name = f"{place.name}-target"
    if not injector.is_running(name):
        return
    if fault.kind == "pause":
        injector.fleet.fleet.signal(name, signal.SIGSTOP)
    elif fault.kind == "kill":
        injector.ending.add(name)
        injector.fleet.fleet.kill(name)
    else:
        try:
            http_json("POST", f"{place.standin_url}/{fault.kind}", timeout_s=COMMAND_TIMEOUT_S)
        except OSError as error:
            # The target has just been started, or is paused.
            log.info("target_command_failed", target=name, command=fault.kind, error=repr(error))
            return
        injector.ending.add(name)


@end_fault.register
def _(fault: TargetFault, injector: FaultInjector) -> None:
    place = injector.place(fault.place_index)
    name = f"{place.name}-target"
    process = injector.fleet.fleet.process_by_name[name]
    if fault.kind == "pause":
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
    elif name in injector.ending:
        injector.fleet.fleet.kill(name)
        injector.fleet.start_target(place)
        injector.ending.discard(name)


@begin_fault.register
def _(fault: StoreFault, injector: FaultInjector) -> None:
    injector.fleet.fleet.set_platform_faults(**dict(fault.faults))


@end_fault.register
def _(fault: StoreFault, injector: FaultInjector) -> None:
    injector.fleet.fleet.set_platform_faults()


@begin_fault.register
def _(fault: ConfigChange, injector: FaultInjector) -> None:
    generation = injector.fleet.generation + 1
    try:
        injector.fleet.write_config(generation, fault.timeout_ms)
    except OSError as error:
        # The store has a fault at the same time; an operator would retry later.
        log.info("config_write_failed", generation=generation, error=repr(error))
