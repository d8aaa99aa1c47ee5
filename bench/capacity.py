"""Measures how costs grow with the size of the fleet, for docs/CAPACITY.md.

Usage: python -m bench.capacity [--json FILE]

Each slope is fitted over at least three sizes; the error is the largest distance of a point from
the line, relative to the largest value.
"""

from __future__ import annotations

import random
import statistics
import time
import tracemalloc
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import click
import msgspec

from foxtailproxy.clock import Clock
from foxtailproxy.config.builder import Configuration
from foxtailproxy.config.rules import RuleBook, _read_section, parse_rules
from foxtailproxy.gossip import PUSH_ROUNDS
from foxtailproxy.gossip_socket import PACKET_OVERHEAD_BYTES
from foxtailproxy.load import Load
from foxtailproxy.models.messages import (
    ConfigObject,
    GossipPacket,
    MemberRecord,
    MemberState,
    PacketKind,
)
from foxtailproxy.routing import Router
from foxtailproxy.runs import RunTable
from foxtailproxy.tests.fakes import fake_clock, make_answer, make_call, make_member
from foxtailproxy.tests.gossip_fakes import FakeNetwork, GossipNode

REPEATS = 7

REGIONS = 6
DATA_CENTERS = 18


class Fit(msgspec.Struct):
    """A line through the points of one measurement."""

    name: str
    per: str
    unit: str
    sizes: list[int]
    values: list[float]
    slope: float
    base: float
    error_percent: float


@dataclass(slots=True)
class Probe:
    """One measurement: `measure(size)` gives a value in `unit`."""

    name: str
    per: str
    unit: str
    sizes: list[int]
    measure: Callable[[int], float]


def fit(probe: Probe) -> Fit:
    """Measure at all sizes and fit a line."""
    values = [probe.measure(size) for size in probe.sizes]
    line = statistics.linear_regression(probe.sizes, values)
    residuals = [
        abs(value - line.slope * size - line.intercept)
        for size, value in zip(probe.sizes, values, strict=True)
    ]
    error = 100 * max(residuals) / max(max(values), 1e-9)
    return Fit(
        probe.name,
        probe.per,
        probe.unit,
        probe.sizes,
        values,
        line.slope,
        line.intercept,
        error,
    )


def best_us(function: Callable[[], Any], inner: int) -> float:
    """The median time of one call, in microseconds."""
    times = []
    for _ in range(REPEATS):
        begun = time.perf_counter()
        for _ in range(inner):
            function()
        times.append((time.perf_counter() - begun) / inner * 1e6)
    return statistics.median(times)


def members(count: int) -> list[MemberRecord]:
    """Records spread over the regions and data centres of the target size."""
    records = []
    for number in range(count):
        data_center = number % DATA_CENTERS
        records.append(
            make_member(
                f"service{number % 180:03d}-{number:05d}",
                region=f"region-{data_center % REGIONS}",
                data_center=f"dc-{data_center:02d}",
                address=f"10.{number // 65536}.{number // 256 % 256}.{number % 256}",
                service=f"service{number % 180:03d}",
                boot_id=f"{number:012x}",
            )
        )
    return records


def gossip_node(count: int) -> GossipNode:
    """A node that knows `count` others."""
    wire = FakeNetwork(fake_clock(), random.Random(1))
    node = GossipNode(wire, members(1)[0])
    for record in members(count)[1:]:
        node.table.merge(record)
    return node


def member_bytes(count: int) -> float:
    """Memory of the member table and the routing views, in KB."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    node = gossip_node(count)
    router = router_of(node.table.by_id.values())
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(router.view_by_id) == len(node.table.by_id)
    return (after - before) / 1024


def router_of(records: Any) -> Router:
    """A router that knows some members."""
    clock = fake_clock()
    target: Any = NoTarget(clock)
    router = Router(clock, "me", "region-0", "dc-0", target, lambda _: True, random.Random(1))
    for record in records:
        router.update_member(record)
    return router


class NoTarget:
    """A node without an upstream."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def serves(self, service: str) -> bool:
        """Never."""
        return False

    def load(self) -> Load:
        """None."""
        return Load(0, 0, 0, 0.0)


def ping_us(count: int) -> float:
    """Time of a received ping and its answer, in us."""
    node = gossip_node(count)
    peer = members(count)[18]
    packet = msgspec.msgpack.encode(GossipPacket(PacketKind.ping, peer.node_id, 1))
    address = (peer.address, peer.gossip_port)
    return best_us(lambda: node.gossip.socket.datagramReceived(packet, address), 200)


def round_us(count: int) -> float:
    """Time of one round of pinging, in us."""
    node = gossip_node(count)
    return best_us(node.gossip.detector.ping_next, 50)


def digest_bytes(count: int) -> float:
    """Size of a comparison without differences, in bytes."""
    node = gossip_node(count)
    return (
        len(msgspec.msgpack.encode(node.gossip.comparison.digest_packet())) + PACKET_OVERHEAD_BYTES
    )


def ranks_bytes(count: int) -> float:
    """Size of the ranks of one data centre of `count` nodes, in bytes."""
    ranks = {record.node_id: 2**42 for record in members(count)}
    packet = GossipPacket(PacketKind.digest, "a", 1, subject="dc-00", incarnations=ranks)
    return len(msgspec.msgpack.encode(packet)) + PACKET_OVERHEAD_BYTES


def event_packets(count: int) -> float:
    """Packets that one change of membership costs the whole fleet."""
    wire = FakeNetwork(fake_clock(), random.Random(3))
    records = members(count)
    nodes = [GossipNode(wire, record) for record in records]
    for node in nodes:
        node.gossip.close()
        for record in records:
            node.table.merge(record)
    before = sum(node.gossip.socket.counters.sent_packets for node in nodes)
    nodes[0].table.update_local_record(state=MemberState.leaving)
    nodes[0].gossip.disseminate(nodes[0].table.local_record)
    for _ in range(400):
        wire.clock.source.advance(0.005)
    heard = sum(node.table.by_id[records[0].node_id].state is MemberState.leaving for node in nodes)
    assert heard >= 0.99 * count, f"{heard} of {count} nodes heard"
    return sum(node.gossip.socket.counters.sent_packets for node in nodes) - before


def configuration(services: int) -> str:
    """A configuration with three classes for each service."""
    config = Configuration()
    for number in range(services):
        service = config.service(f"service{number:03d}", hosts=[f"service{number:03d}.example"])
        service.idempotent("lookup", methods=["GET"], deadline_ms=1000 + number)
        service.idempotent("quote", path_prefix="/quotes", long=True, hold_ms=800)
        service.at_most_once("booking", methods=["POST"], path_prefix="/bookings", priority=9)
    return config.to_ini()


def config_ms(services: int) -> float:
    """Time to take in a configuration, in ms."""
    text = configuration(services)

    def take_in() -> None:
        _read_section.cache_clear()
        RuleBook(parse_rules(text, "x"))

    return best_us(take_in, 1) / 1000


def config_change_ms(services: int) -> float:
    """Time to take in a configuration of which one section has changed, in ms."""
    texts = [configuration(services).replace("= 1000", f"= {1001 + n}") for n in range(REPEATS)]
    RuleBook(parse_rules(texts[0], "x"))
    changed = iter(texts * 2)
    return best_us(lambda: RuleBook(parse_rules(next(changed), "x")), 1) / 1000


def config_bytes(services: int) -> float:
    """Size of a configuration between nodes, compressed, in KB."""
    config = ConfigObject(1, "0" * 12, "operator", configuration(services))
    return len(zlib.compress(msgspec.json.encode(config))) / 1024


def choose_us(targets: int) -> float:
    """Time to choose among the targets of a service, in us."""
    records = [
        make_member(f"n{number}", region=f"region-{number % 2}") for number in range(targets)
    ]
    router = router_of(records)
    for record in records:
        router.record_load(record.node_id, Load(1, 0, 12, 5.0))
    call = make_call(fake_clock())
    return best_us(lambda: router.choose(call.match, set(), 100), 500)


def runs_kb(count: int) -> float:
    """Memory of remembered runs with an answer of 100 bytes, in KB."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = filled_runs(count)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(table.by_id) == count
    return (after - before) / 1024


def filled_runs(count: int) -> RunTable:
    """A table of runs that have ended."""
    from twisted.internet.defer import ensureDeferred

    table = RunTable(fake_clock(), 2**30, 60_000)
    for number in range(count):
        run = table.open(f"{number:032x}", 1e12)
        ensureDeferred(run.settle(make_answer(b"x" * 100), 1000))
    return table


def sweep_us(count: int) -> float:
    """Time to look through remembered runs once, in us."""
    table = filled_runs(count)
    return best_us(table.sweep, 3)


PROBES = [
    Probe("memory of membership and routing", "member", "KB", [500, 1500, 4500], member_bytes),
    Probe("ping received and answered", "member", "us", [500, 1500, 4500], ping_us),
    Probe("one round of pinging", "member", "us", [500, 1500, 4500], round_us),
    Probe("comparison without difference", "member", "bytes", [500, 1500, 4500], digest_bytes),
    Probe("ranks of one data centre", "member of it", "bytes", [28, 84, 252], ranks_bytes),
    Probe("packets of one membership change", "member", "packets", [90, 180, 360], event_packets),
    Probe("configuration taken in", "service", "ms", [60, 180, 540], config_ms),
    Probe(
        "configuration with one change taken in", "service", "ms", [60, 180, 360], config_change_ms
    ),
    Probe("configuration between nodes", "service", "KB", [60, 180, 540], config_bytes),
    Probe("choice of a target", "target of the service", "us", [4, 8, 16, 32], choose_us),
    Probe("memory of remembered runs", "run", "KB", [1000, 3000, 9000], runs_kb),
    Probe("look through remembered runs", "run", "us", [1000, 3000, 9000], sweep_us),
]


@click.command()
@click.option("--json", "json_file", type=click.Path(), help="Write the fits to a file.")
def main(json_file: str | None) -> None:
    """Measure all slopes and print them."""
    fits = [fit(probe) for probe in PROBES]
    print("| cost | for each | sizes | values | slope | base | error |")
    print("|---|---|---|---|---|---|---|")
    for one in fits:
        sizes = " ".join(map(str, one.sizes))
        values = " ".join(f"{value:.4g}" for value in one.values)
        print(
            f"| {one.name}, {one.unit} | {one.per} | {sizes} | {values} "
            f"| {one.slope:.4g} | {one.base:.4g} | {one.error_percent:.0f}% |"
        )
    print(f"\nnews is passed on {PUSH_ROUNDS} times by each node that hears of it")
    if json_file is not None:
        with open(json_file, "wb") as file:
            file.write(msgspec.json.encode(fits))


if __name__ == "__main__":
    main()
