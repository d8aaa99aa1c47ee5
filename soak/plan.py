"""What goes wrong in one run, when, and for how long: decided by the seed alone."""

from __future__ import annotations

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
"""Longest wait for a target that is told to leave."""

INTERPRETER_START_S = 0.25
"""Time that an interpreter may need until it runs the program's first line, when busy. Until then
SIGHUP ends any process; the platform starts it again."""

SHORTEST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 1.2
"""Time between two faults; most last longer, so that they overlap."""

SHORTEST_FAULT_S = 0.3
LONGEST_FAULT_S = 2.5

LONGEST_DELAY_MS = 80.0


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A relay before a node, a target or the store misbehaves."""

    at_s: float
    for_s: float
    where: str
    place: int
    command: str


@dataclass(frozen=True, slots=True)
class NodeFault:
    """A node gets a signal; one that ended is started again."""

    at_s: float
    for_s: float
    place: int
    number: signal.Signals


@dataclass(frozen=True, slots=True)
class TargetFault:
    """A target is killed, stands still, or leaves; another process takes its place."""

    at_s: float
    for_s: float
    place: int
    how: str


@dataclass(frozen=True, slots=True)
class StoreFault:
    """The store misbehaves."""

    at_s: float
    for_s: float
    faults: tuple[tuple[str, float | bool], ...]


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """The operator writes a newer configuration."""

    at_s: float
    for_s: float
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

# Named as often as they are to come.
KINDS = ("link", "link", "link", "node", "node", "target", "target", "store", "config")

NODE_SIGNALS = (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGHUP)


def make_plan(seed: int, duration_s: float, places: int) -> list[Fault]:
    """The faults of a run, in order of time; all have ended when it does."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    at_s = SHORTEST_PAUSE_S
    while at_s < duration_s - SHORTEST_FAULT_S:
        for_s = min(rng.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S), duration_s - at_s)
        faults.append(_draw(rng, at_s, for_s, places))
        at_s += rng.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S)
    return faults


def _draw(rng: random.Random, at_s: float, for_s: float, places: int) -> Fault:
    place = rng.randrange(places)
    kind = rng.choice(KINDS)
    if kind == "link":
        where = rng.choice(("peer", "peer", "target", "store"))
        command = rng.choice(
            ("reset", "silence", "refuse", "cut?way=to", "cut?way=from", _delay(rng))
        )
        return LinkFault(at_s, for_s, where, place, command)
    if kind == "node":
        return NodeFault(at_s, for_s, place, rng.choice(NODE_SIGNALS))
    if kind == "target":
        return TargetFault(at_s, for_s, place, rng.choice(("kill", "pause", "drain", "leave")))
    if kind == "store":
        return StoreFault(at_s, for_s, rng.choice(STORE_FAULTS))
    return ConfigChange(at_s, for_s, rng.choice((900, 1200, 1500)))


def _delay(rng: random.Random) -> str:
    return f"delay?ms={rng.uniform(1, LONGEST_DELAY_MS):.0f}"


class Chaos:
    """Puts faults in force and ends them again, on one fleet.

    `faulty` holds the time for which each node was killed, paused or stopped, so that the checks
    know whom a broken request may be put down to.
    """

    def __init__(self, fleet: PlatformFleet, now_s: Callable[[], float]) -> None:
        self.fleet = fleet
        self.now_s = now_s
        self.faulty: list[tuple[str, float, float]] = []
        self.ending: set[str] = set()
        self.started_s: dict[str, float] = {}

    def place(self, number: int) -> Machine:
        """A place by its number."""
        return self.fleet.machines[number]

    def alive(self, name: str) -> bool:
        """Whether a process of the fleet runs and is not about to end."""
        return name not in self.ending and self.fleet.fleet.process_by_name[name].poll() is None

    def starts(self, name: str) -> bool:
        """Whether a node was started so shortly before that no program can have set a handler."""
        return self.now_s() - self.started_s.get(name, 0.0) < INTERPRETER_START_S

    def relay(self, fault: LinkFault) -> RelayHandle:
        """The relay that a fault is about."""
        place = self.place(fault.place)
        by_name = {
            "peer": place.peer_relay,
            "target": place.target_relay,
            "store": self.fleet.store_relay,
        }
        relay = by_name[fault.where]
        assert relay is not None
        return relay


@singledispatch
def begin(fault: object, chaos: Chaos) -> None:
    """Put a fault in force."""
    raise TypeError(f"no such fault: {fault!r}")


@singledispatch
def end(fault: object, chaos: Chaos) -> None:
    """End a fault; by default there is nothing left to do."""


@begin.register
def _(fault: LinkFault, chaos: Chaos) -> None:
    chaos.relay(fault).send_command(fault.command)


@end.register
def _(fault: LinkFault, chaos: Chaos) -> None:
    chaos.relay(fault).send_command("heal")


@begin.register
def _(fault: NodeFault, chaos: Chaos) -> None:
    name = chaos.place(fault.place).name
    if not chaos.alive(name) or (fault.number is signal.SIGHUP and chaos.starts(name)):
        return
    if fault.number in (signal.SIGKILL, signal.SIGTERM):
        chaos.ending.add(name)
    if fault.number in (signal.SIGKILL, signal.SIGSTOP):
        chaos.faulty.append((name, chaos.now_s(), chaos.now_s() + fault.for_s))
    chaos.fleet.fleet.signal(name, fault.number)


@end.register
def _(fault: NodeFault, chaos: Chaos) -> None:
    place = chaos.place(fault.place)
    process = chaos.fleet.fleet.process_by_name[place.name]
    if fault.number is signal.SIGSTOP and process.poll() is None:
        process.send_signal(signal.SIGCONT)
    elif place.name in chaos.ending:
        process.wait()
        chaos.started_s[place.name] = chaos.now_s()
        chaos.fleet.start_node(place, wait=False)
        chaos.ending.discard(place.name)


@begin.register
def _(fault: TargetFault, chaos: Chaos) -> None:
    place = chaos.place(fault.place)
    name = f"{place.name}-target"
    if not chaos.alive(name):
        return
    if fault.how == "pause":
        chaos.fleet.fleet.signal(name, signal.SIGSTOP)
    elif fault.how == "kill":
        chaos.ending.add(name)
        chaos.fleet.fleet.kill(name)
    else:
        try:
            http_json("POST", f"{place.standin_url}/{fault.how}", timeout_s=COMMAND_TIMEOUT_S)
        except OSError as error:
            # It has just been started, or stands still.
            log.info("target_not_told", target=name, how=fault.how, error=repr(error))
            return
        chaos.ending.add(name)


@end.register
def _(fault: TargetFault, chaos: Chaos) -> None:
    place = chaos.place(fault.place)
    name = f"{place.name}-target"
    process = chaos.fleet.fleet.process_by_name[name]
    if fault.how == "pause":
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
    elif name in chaos.ending:
        chaos.fleet.fleet.kill(name)
        chaos.fleet.start_target(place)
        chaos.ending.discard(name)


@begin.register
def _(fault: StoreFault, chaos: Chaos) -> None:
    chaos.fleet.fleet.set_platform_faults(**dict(fault.faults))


@end.register
def _(fault: StoreFault, chaos: Chaos) -> None:
    chaos.fleet.fleet.set_platform_faults()


@begin.register
def _(fault: ConfigChange, chaos: Chaos) -> None:
    generation = chaos.fleet.generation + 1
    try:
        chaos.fleet.write_config(generation, fault.timeout_ms)
    except OSError as error:
        # The store misbehaves at the same time; an operator would try again later.
        log.info("config_not_written", generation=generation, error=repr(error))
