"""Gossip between nodes over datagrams in memory, which can be cut, lost, or held up."""

from __future__ import annotations

import random
from collections import defaultdict
from typing import Any

from foxtailproxy.clock import Clock
from foxtailproxy.gossip import Gossip
from foxtailproxy.gossip_socket import PACKET_OVERHEAD_BYTES
from foxtailproxy.membership import MemberTable
from foxtailproxy.models.messages import CrashReport, MemberRecord, MemberState
from foxtailproxy.models.rules import FleetRule
from foxtailproxy.tests.fakes import make_member
from foxtailproxy.token_bucket import TokenBucket

NEAR_DELAY_MS = 0.5
FAR_DELAY_MS = 10.0
BUCKET_MS = 1000


class Wire:
    """Carries datagrams between nodes by their addresses."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.by_address: dict[str, GossipNode] = {}
        self.apart = False
        self.loss = 0.0
        self.sent: dict[tuple[str, bool], dict[int, int]] = defaultdict(lambda: defaultdict(int))

    def send(self, sender: GossipNode, data: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram after a while, unless it is lost."""
        receiver = self.by_address.get(address[0])
        far = receiver is not None and receiver.record.region != sender.record.region
        second = int(self.clock.now_ms() // BUCKET_MS)
        for kind in {False, far}:
            self.sent[sender.record.node_id, kind][second] += len(data) + PACKET_OVERHEAD_BYTES
        if (far and self.apart) or self.rng.random() < self.loss:
            return
        delay = FAR_DELAY_MS if far else NEAR_DELAY_MS
        self.clock.call_later(delay, self._deliver, address[0], data, sender)

    def _deliver(self, address: str, data: bytes, sender: GossipNode) -> None:
        receiver = self.by_address.get(address)
        if receiver is not None and receiver.running:
            receiver.gossip.socket.datagramReceived(data, (sender.record.address, 1))


class GossipNode:
    """The membership of one node."""

    def __init__(self, wire: Wire, record: MemberRecord) -> None:
        self.wire = wire
        self.record = record
        self.running = True
        self.seen_dead: set[str] = set()
        fleet = FleetRule()
        clock = wire.clock
        self.table = MemberTable(clock, record, self._changed, self._spread_me)
        self.gossip = Gossip(
            clock,
            self.table,
            self,
            wire.rng,
            TokenBucket(clock, fleet.measure_bytes_per_s),
            TokenBucket(clock, fleet.paid_measure_bytes_per_s),
        )
        self.gossip.socket.transport = self
        wire.by_address[record.address] = self
        self.gossip.start()

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; a paused or dead node sends none."""
        if self.running:
            self.wire.send(self, data, address)

    def leave(self) -> None:
        """Say that the node leaves."""
        self.gossip.disseminate(self.table.update_local_record(state=MemberState.leaving))

    def kill(self) -> None:
        """End the node without a word."""
        self.running = False
        self.gossip.close()

    def crash_report_received(self, report: CrashReport) -> bool:
        """Not of interest here."""
        return False

    def crash_reports(self) -> list[CrashReport]:
        """None."""
        return []

    def config_version_received(self, generation: int, change: str, member: MemberRecord) -> None:
        """Not of interest here."""

    def config_version(self) -> tuple[int, str]:
        """No configuration."""
        return (0, "")

    def _changed(self, record: MemberRecord) -> None:
        if record.state is MemberState.dead:
            self.seen_dead.add(record.node_id)

    def _spread_me(self) -> None:
        self.gossip.disseminate(self.table.local_record)


def build_nodes(wire: Wire, count: int) -> dict[str, GossipNode]:
    """Nodes in two regions with two data centres each, that know each other."""
    nodes = {}
    for number in range(count):
        region = ("pohja", "louna")[number % 2]
        data_center = f"{region}-{'ab'[number // 2 % 2]}"
        record = make_member(f"n{number}", region=region, data_center=data_center)
        nodes[record.node_id] = GossipNode(wire, record)
    for node in nodes.values():
        for other in nodes.values():
            node.table.merge(other.table.local_record)
    return nodes


def largest_window(per_second: dict[int, int], seconds: int) -> int:
    """The most bytes sent within so many seconds in a row."""
    if not per_second:
        return 0
    last = max(per_second)
    return max(
        sum(per_second.get(start + offset, 0) for offset in range(seconds))
        for start in range(last + 1)
    )


def view_of(nodes: dict[str, GossipNode], subject: str) -> dict[str, Any]:
    """The state in which each other running node sees one."""
    return {
        name: node.table.by_id[subject].state if subject in node.table.by_id else None
        for name, node in nodes.items()
        if name != subject and node.running
    }
