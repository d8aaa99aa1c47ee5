"""Measurements of how costs grow with the size of the fleet, for docs/CAPACITY.md.

Usage: python -m bench.capacity [--json FILE]

Each slope is a linear regression over at least three sizes; the error is the largest residual,
relative to the largest value.
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
from foxtailproxy.gossip_socket import PACKET_OVERHEAD_BYTES, compress
from foxtailproxy.load import Load
from foxtailproxy.membership import FINGERPRINT_BYTES
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
    """Linear fit of one measurement; `per` is what a size counts."""

    name: str
    per: str
    unit: str
    sizes: list[int]
    values: list[float]
    slope: float
    base: float
    error_percent: float


@dataclass(slots=True)
class Measurement:
    """Measurement whose `measure(size)` returns a value in `unit`; `per` is what a size counts."""

    name: str
    per: str
    unit: str
    sizes: list[int]
    measure: Callable[[int], float]


def fit(measurement: Measurement) -> Fit:
    """Measure at all sizes and fit a line."""
    values = [measurement.measure(size) for size in measurement.sizes]
    line = statistics.linear_regression(measurement.sizes, values)
    residuals = [
        abs(value - line.slope * size - line.intercept)
        for size, value in zip(measurement.sizes, values, strict=True)
    ]
    error = 100 * max(residuals) / max(max(values), 1e-9)
    return Fit(
        measurement.name,
        measurement.per,
        measurement.unit,
        measurement.sizes,
        values,
        line.slope,
        line.intercept,
        error,
    )


def median_us(function: Callable[[], Any], call_count: int) -> float:
    """Return the median time of one call in microseconds, over batches of `call_count` calls."""
    times = []
    for _ in range(REPEATS):
        started_s = time.perf_counter()
        for _ in range(call_count):
            function()
        times.append((time.perf_counter() - started_s) / call_count * 1e6)
    return statistics.median(times)


def make_members(count: int) -> list[MemberRecord]:
    """Return member records spread over the regions and data centres of the planned fleet size."""
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


def make_gossip_node(count: int) -> GossipNode:
    """Return a node whose member table holds `count` records, including its own."""
    wire = FakeNetwork(fake_clock(), random.Random(1))
    node = GossipNode(wire, make_members(1)[0])
    for record in make_members(count)[1:]:
        node.table.merge(record)
    return node


def membership_kb(count: int) -> float:
    """Return the memory of the member table and the router's views, in KB."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    node = make_gossip_node(count)
    router = make_router(node.table.by_id.values())
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(router.view_by_id) == len(node.table.by_id)
    return (after - before) / 1024


def make_router(records: Any) -> Router:
    """Return a router with these members."""
    clock = fake_clock()
    target: Any = NoTarget(clock)
    router = Router(clock, "me", "region-0", "dc-0", target, lambda _: True, random.Random(1))
    for record in records:
        router.update_member(record)
    return router


class NoTarget:
    """Local target of a node without an upstream."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def serves(self, service: str) -> bool:
        """Return false for every service."""
        return False

    def load(self) -> Load:
        """Return an empty load."""
        return Load(0, 0, 0, 0.0)


def ping_us(count: int) -> float:
    """Return the time to receive and answer a ping, in us."""
    node = make_gossip_node(count)
    peer = make_members(count)[18]
    packet = msgspec.msgpack.encode(GossipPacket(PacketKind.ping, peer.node_id, 1))
    address = (peer.address, peer.gossip_port)
    return median_us(lambda: node.gossip.socket.datagramReceived(packet, address), 200)


def ping_round_us(count: int) -> float:
    """Return the time of one ping round, in us."""
    node = make_gossip_node(count)
    return median_us(node.gossip.detector.ping_next, 50)


def digest_bytes(count: int) -> float:
    """Return the size of the digest packet of a comparison without differences, in bytes."""
    node = make_gossip_node(count)
    return (
        len(msgspec.msgpack.encode(node.gossip.comparison.digest_packet())) + PACKET_OVERHEAD_BYTES
    )


def fingerprints_bytes(count: int) -> float:
    """Return the size of the fingerprints of a data centre of `count` nodes, in bytes."""
    fingerprints = random.Random(count).randbytes(FINGERPRINT_BYTES * count)
    packet = GossipPacket(
        PacketKind.fingerprints, "a", 1, data_centers=["dc-00"], fingerprints=fingerprints
    )
    return len(compress(msgspec.msgpack.encode(packet))) + PACKET_OVERHEAD_BYTES


def records_bytes(count: int) -> float:
    """Return the size of one packet with `count` records of a data centre, in bytes."""
    rng = random.Random(count)
    records = [
        msgspec.structs.replace(
            record,
            incarnation=2**40 + rng.randrange(10_000),
            boot_id=rng.randbytes(6).hex(),
            instance=rng.randbytes(4).hex(),
            born_ms=2**40 + rng.randrange(10_000),
        )
        for record in make_members(count * DATA_CENTERS)[::DATA_CENTERS]
    ]
    packet = GossipPacket(PacketKind.records, "a", 1, members=records)
    return len(compress(msgspec.msgpack.encode(packet))) + PACKET_OVERHEAD_BYTES


def membership_change_packets(count: int) -> float:
    """Return the number of packets that the whole fleet sends for one membership change."""
    wire = FakeNetwork(fake_clock(), random.Random(3))
    records = make_members(count)
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
    informed = sum(
        node.table.by_id[records[0].node_id].state is MemberState.leaving for node in nodes
    )
    assert informed >= 0.99 * count, f"{informed} of {count} nodes received the membership change"
    return sum(node.gossip.socket.counters.sent_packets for node in nodes) - before


def make_configuration(services: int) -> str:
    """Return a configuration with three classes for each service."""
    config = Configuration()
    for number in range(services):
        service = config.service(f"service{number:03d}", hosts=[f"service{number:03d}.example"])
        service.idempotent("lookup", methods=["GET"], deadline_ms=1000 + number)
        service.idempotent("quote", path_prefix="/quotes", long=True, hold_ms=800)
        service.at_most_once("booking", methods=["POST"], path_prefix="/bookings", priority=9)
    return config.to_ini()


def parse_config_ms(services: int) -> float:
    """Return the time to parse and index a configuration, in ms."""
    text = make_configuration(services)

    def parse() -> None:
        _read_section.cache_clear()
        RuleBook(parse_rules(text, "x"))

    return median_us(parse, 1) / 1000


def parse_changed_config_ms(services: int) -> float:
    """Return the time to parse and index a configuration with one changed section, in ms."""
    texts = [
        make_configuration(services).replace("= 1000", f"= {1001 + n}") for n in range(REPEATS)
    ]
    RuleBook(parse_rules(texts[0], "x"))
    changed_texts = iter(texts * 2)
    return median_us(lambda: RuleBook(parse_rules(next(changed_texts), "x")), 1) / 1000


def config_kb(services: int) -> float:
    """Return the compressed size of a configuration sent between nodes, in KB."""
    config = ConfigObject(1, "0" * 12, "operator", make_configuration(services))
    return len(zlib.compress(msgspec.json.encode(config))) / 1024


def choose_us(targets: int) -> float:
    """Return the time to choose among the targets of a service, in us."""
    records = [
        make_member(f"n{number}", region=f"region-{number % 2}") for number in range(targets)
    ]
    router = make_router(records)
    for record in records:
        router.record_load(record.node_id, Load(1, 0, 12, 5.0))
    call = make_call(fake_clock())
    return median_us(lambda: router.choose(call.match, set(), 100), 500)


def run_table_kb(count: int) -> float:
    """Return the memory of a table of completed runs with answers of 100 bytes, in KB."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = make_run_table(count)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(table.by_id) == count
    return (after - before) / 1024


def make_run_table(count: int) -> RunTable:
    """Return a table of completed runs."""
    from twisted.internet.defer import ensureDeferred

    table = RunTable(fake_clock(), 2**30, 60_000)
    for number in range(count):
        run = table.open(f"{number:032x}", 1e12)
        ensureDeferred(run.complete(make_answer(b"x" * 100), 1000))
    return table


def sweep_us(count: int) -> float:
    """Return the time to sweep a table of completed runs once, in us."""
    table = make_run_table(count)
    return median_us(table.sweep, 3)


MEASUREMENTS = [
    Measurement(
        "memory of membership and routing", "member", "KB", [500, 1500, 4500], membership_kb
    ),
    Measurement("ping received and answered", "member", "us", [500, 1500, 4500], ping_us),
    Measurement("one round of pinging", "member", "us", [500, 1500, 4500], ping_round_us),
    Measurement(
        "comparison without difference", "member", "bytes", [500, 1500, 4500], digest_bytes
    ),
    Measurement(
        "fingerprints of one data centre",
        "member of it",
        "bytes",
        [28, 84, 252],
        fingerprints_bytes,
    ),
    Measurement("records found by a comparison", "record", "bytes", [6, 12, 24], records_bytes),
    Measurement(
        "packets of one membership change",
        "member",
        "packets",
        [90, 180, 360],
        membership_change_packets,
    ),
    Measurement("configuration taken in", "service", "ms", [60, 180, 540], parse_config_ms),
    Measurement(
        "configuration with one change taken in",
        "service",
        "ms",
        [60, 180, 360],
        parse_changed_config_ms,
    ),
    Measurement("configuration between nodes", "service", "KB", [60, 180, 540], config_kb),
    Measurement("choice of a target", "target of the service", "us", [4, 8, 16, 32], choose_us),
    Measurement("memory of remembered runs", "run", "KB", [1000, 3000, 9000], run_table_kb),
    Measurement("look through remembered runs", "run", "us", [1000, 3000, 9000], sweep_us),
]


@click.command()
@click.option("--json", "json_file", type=click.Path(), help="Write the fits to this file.")
def main(json_file: str | None) -> None:
    """Measure all slopes and print them."""
    fits = [fit(measurement) for measurement in MEASUREMENTS]
    print("| cost | for each | sizes | values | slope | base | error |")
    print("|---|---|---|---|---|---|---|")
    for result in fits:
        sizes = " ".join(map(str, result.sizes))
        values = " ".join(f"{value:.4g}" for value in result.values)
        print(
            f"| {result.name}, {result.unit} | {result.per} | {sizes} | {values} "
            f"| {result.slope:.4g} | {result.base:.4g} | {result.error_percent:.0f}% |"
        )
    print(f"\neach node includes a received update in {PUSH_ROUNDS} pushes")
    if json_file is not None:
        with open(json_file, "wb") as file:
            file.write(msgspec.json.encode(fits))


if __name__ == "__main__":
    main()
