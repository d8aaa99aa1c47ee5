"""Gossip between nodes over an in-memory network with delays, packet loss and partitions."""

from __future__ import annotations

import random
from collections import defaultdict
from typing import Any, Literal

from msgspec import Struct

from foxtailproxy.clock import Clock
from foxtailproxy.gossip import Gossip
from foxtailproxy.gossip_socket import PACKET_OVERHEAD_BYTES
from foxtailproxy.membership import MemberTable
from foxtailproxy.models.messages import CrashReport, MemberRecord, MemberState
from foxtailproxy.models.rules import FleetRule
from foxtailproxy.node import CATCH_UP_PAUSE_MS, CATCH_UP_ROUNDS
from foxtailproxy.platform.configuration import (
    CROSS_REGION_MEASURE_BYTES_PER_S as CROSS_REGION_MEMBERSHIP_BYTES_PER_S,
)
from foxtailproxy.quarantine import Quarantine
from foxtailproxy.tests.fakes import advance, make_member
from foxtailproxy.traffic_budget import TrafficBudget

REGIONAL_DELAY_MS = 0.5
CROSS_REGION_DELAY_MS = 10.0
FETCH_MS = 45.0
"""Time to fetch a configuration from a node of the other region over a new connection."""

MS_PER_SECOND = 1000

MEMBERSHIP_BYTES_PER_S = 8000
"""Part of a node's budget that the membership protocol has to do with, in bytes per second."""

STARTED_AT_MS = 1_700_000_000_000
STORE_ANSWER_MS = 20.0
KNOWN_SHARE = 0.99


class PreviousGossipPacket(Struct, array_like=True):
    """Layout of a gossip packet in the previous release, which had no fingerprints."""

    kind: Literal["ping", "ack", "ping-request", "push", "digest", "records"]
    sender: str
    sequence: int
    subject: str = ""
    members: list[MemberRecord] = []
    data_center_hashes: dict[str, int] = {}
    incarnations: dict[str, int] = {}
    crashes: list[CrashReport] = []
    config_generation: int = 0
    config_change: str = ""


class FakeNetwork:
    """In-memory datagram network; delivers by address. `error_by_address` holds errors of sending.

    `sent_bytes` counts the bytes sent in each second, by node id and whether all datagrams or only
    those to another region, whose traffic is paid, are counted.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.node_by_address: dict[str, GossipNode] = {}
        self.partitioned = False
        self.loss_rate = 0.0
        self.error_by_address: dict[str, Exception] = {}
        self.sent_bytes: dict[tuple[str, bool], dict[int, int]] = defaultdict(
            lambda: defaultdict(int)
        )

    def send(self, sender: GossipNode, data: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram after the delay of its link, unless it is lost."""
        if address[0] in self.error_by_address:
            raise self.error_by_address[address[0]]
        receiver = self.node_by_address.get(address[0])
        cross_region = receiver is not None and receiver.record.region != sender.record.region
        second = int(self.clock.now_ms() // MS_PER_SECOND)
        for paid in {False, cross_region}:
            self.sent_bytes[sender.record.node_id, paid][second] += (
                len(data) + PACKET_OVERHEAD_BYTES
            )
        if (cross_region and self.partitioned) or self.rng.random() < self.loss_rate:
            return
        delay_ms = CROSS_REGION_DELAY_MS if cross_region else REGIONAL_DELAY_MS
        self.clock.call_later(delay_ms, self._deliver, address[0], data, sender)

    def _deliver(self, address: str, data: bytes, sender: GossipNode) -> None:
        receiver = self.node_by_address.get(address)
        if receiver is not None and receiver.running:
            receiver.gossip.socket.datagramReceived(data, (sender.record.address, 1))


class GossipNode:
    """Membership and gossip of one node."""

    def __init__(self, network: FakeNetwork, record: MemberRecord) -> None:
        self.network = network
        self.record = record
        self.running = True
        self.suspected: set[str] = set()
        self.declared_dead: set[str] = set()
        self.version = (0, "")
        fleet_rule = FleetRule()
        clock = network.clock
        self.table = MemberTable(clock, record, self._record_changed, self._gossip_local_record)
        self.gossip = Gossip(
            clock,
            self.table,
            self,
            network.rng,
            TrafficBudget(clock, fleet_rule.measure_bytes_per_s),
            TrafficBudget(clock, fleet_rule.paid_measure_bytes_per_s),
        )
        self.gossip.socket.transport = self
        network.node_by_address[record.address] = self
        self.gossip.start()

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram unless the node is paused or dead."""
        if self.running:
            self.network.send(self, data, address)

    def leave(self) -> None:
        """Announce that the node leaves."""
        self.gossip.disseminate(self.table.update_local_record(state=MemberState.leaving))

    def kill(self) -> None:
        """Stop the node without an announcement."""
        self.running = False
        self.gossip.close()

    def crash_report_received(self, report: CrashReport) -> bool:
        """Ignore the report."""
        return False

    def crash_reports(self) -> list[CrashReport]:
        """Return no reports."""
        return []

    def config_version_received(self, generation: int, change: str, member: MemberRecord) -> None:
        """Adopt a newer configuration after the time that it takes to fetch it."""
        if (generation, change) > self.version:
            self.network.clock.call_later(FETCH_MS, self.adopt, (generation, change))

    def adopt(self, version: tuple[int, str]) -> None:
        """Adopt the configuration of a version, if it is newer, and announce it."""
        if version > self.version:
            self.version = version
            self.gossip.disseminate_config()

    def config_version(self) -> tuple[int, str]:
        """Return the version of the configuration in force."""
        return self.version

    def store_state_received(self, lost: bool, member: MemberRecord) -> None:
        """Ignore the state."""

    def store_lost(self) -> bool:
        """Return that no watch has failed."""
        return False

    def _record_changed(self, record: MemberRecord) -> None:
        if record.state is MemberState.suspect:
            self.suspected.add(record.node_id)
        if record.state is MemberState.dead:
            self.declared_dead.add(record.node_id)

    def _gossip_local_record(self) -> None:
        self.gossip.disseminate(self.table.local_record)


class CrashNode(GossipNode):
    """Membership, gossip and quarantine of one node."""

    def __init__(self, network: FakeNetwork, record: MemberRecord) -> None:
        self.quarantine = Quarantine(network.clock)
        super().__init__(network, record)

    def report_crash(self, fingerprint: str) -> None:
        """Report that this node's upstream died while it ran a request."""
        self.quarantine.record_crash(fingerprint, [self.record.node_id])
        upstreams = self.quarantine.suspects[fingerprint].upstreams
        self.gossip.disseminate_crash(CrashReport(fingerprint, list(upstreams)))

    def crash_report_received(self, report: CrashReport) -> bool:
        """Record the report; return whether it is new."""
        return self.quarantine.record_crash(report.fingerprint, report.upstreams)

    def crash_reports(self) -> list[CrashReport]:
        """Return all reports."""
        suspects = self.quarantine.suspects.values()
        return [CrashReport(suspect.fingerprint, suspect.upstreams) for suspect in suspects]


def build_nodes(
    network: FakeNetwork, count: int, node_class: type[GossipNode] = GossipNode
) -> dict[str, Any]:
    """Return nodes in two regions with two data centres each, which know each other."""
    nodes = {}
    for number in range(count):
        region = ("pohja", "louna")[number % 2]
        data_center = f"{region}-{'ab'[number // 2 % 2]}"
        record = make_member(f"n{number}", region=region, data_center=data_center)
        nodes[record.node_id] = node_class(network, record)
    for node in nodes.values():
        for peer in nodes.values():
            node.table.merge(peer.table.local_record)
    return nodes


class StartingFleet:
    """Nodes of two regions that start within `spread_ms`, register in a store and read its list.

    Each has found its target before it registers. `known_ms_by_id` tells how long after its start a
    node knew 99 in 100 of the targets.
    """

    def __init__(self, network: FakeNetwork, count: int, data_centers: int, spread_ms: int) -> None:
        self.node_by_id: dict[str, GossipNode] = {}
        self.known_ms_by_id: dict[str, float] = {}
        self._network = network
        self._count = count
        self._data_centers = data_centers
        self._stored_by_id: dict[str, MemberRecord] = {}
        self._started_ms_by_id: dict[str, float] = {}
        for number in range(count):
            network.clock.call_later(network.rng.random() * spread_ms, self._start, number)

    def run(self, ms: float, step_ms: float, check_ms: float) -> None:
        """Let the fleet run, and check at intervals which nodes know the targets."""
        for _ in range(round(ms / check_ms)):
            advance(self._network.clock, check_ms, step_ms)
            for node_id in self.node_by_id.keys() - self.known_ms_by_id.keys():
                if self._known_targets(node_id) >= KNOWN_SHARE * self._count:
                    elapsed_ms = self._network.clock.now_ms() - self._started_ms_by_id[node_id]
                    self.known_ms_by_id[node_id] = elapsed_ms

    def _known_targets(self, node_id: str) -> int:
        return sum(record.slots > 0 for record in self.node_by_id[node_id].table.by_id.values())

    def _start(self, number: int) -> None:
        rng, clock = self._network.rng, self._network.clock
        data_center_number = number % self._data_centers
        data_center = f"tallinn-{data_center_number}"
        record = make_member(
            f"sidecar-{data_center}-{number // self._data_centers}",
            incarnation=STARTED_AT_MS + int(clock.now_ms()),
            region=("pohja", "louna")[data_center_number % 2],
            data_center=data_center,
            address=f"10.{data_center_number}.0.{number // self._data_centers}",
            boot_id=f"{rng.randrange(16**12):012x}",
            instance=f"i-{rng.randrange(16**8):08x}",
        )
        node = GossipNode(self._network, record)
        self.node_by_id[record.node_id] = node
        self._started_ms_by_id[record.node_id] = clock.now_ms()
        self._stored_by_id[record.node_id] = record
        clock.call_later(STORE_ANSWER_MS, self._join, node)

    def _join(self, node: GossipNode) -> None:
        for record in list(self._stored_by_id.values()):
            node.table.merge(record)
        node.gossip.socket.budget.set_rate(MEMBERSHIP_BYTES_PER_S)
        node.gossip.socket.paid_budget.set_rate(CROSS_REGION_MEMBERSHIP_BYTES_PER_S)
        node.gossip.disseminate(node.table.local_record)
        for round_number in range(CATCH_UP_ROUNDS):
            delay_ms = round_number * CATCH_UP_PAUSE_MS
            self._network.clock.call_later(delay_ms, node.gossip.comparison.catch_up)


def max_bytes_in_window(bytes_by_second: dict[int, int], seconds: int) -> int:
    """Return the largest number of bytes sent within `seconds` consecutive seconds."""
    if not bytes_by_second:
        return 0
    last = max(bytes_by_second)
    return max(
        sum(bytes_by_second.get(start + offset, 0) for offset in range(seconds))
        for start in range(last + 1)
    )


def observed_states(nodes: dict[str, GossipNode], subject: str) -> dict[str, Any]:
    """Return the state of `subject` in the table of each other running node, by node id."""
    return {
        name: node.table.by_id[subject].state if subject in node.table.by_id else None
        for name, node in nodes.items()
        if name != subject and node.running
    }
