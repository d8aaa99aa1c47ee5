"""Nodes that share the allowances of customers over the in-memory gossip network."""

from __future__ import annotations

import itertools
import random
from bisect import bisect_left
from collections import Counter, defaultdict
from typing import Any

from foxtailproxy.customers.allowance_exchange import ANSWER_MARK, REPORT_MARK
from foxtailproxy.customers.node_allowances import NodeAllowances
from foxtailproxy.customers.region_shares import DEMAND_MARK
from foxtailproxy.gossip_socket import PACKET_OVERHEAD_BYTES
from foxtailproxy.models.messages import MemberRecord, MemberState
from foxtailproxy.models.rules import CustomerRule
from foxtailproxy.models.settings import CustomersSection
from foxtailproxy.outcome import NotRun
from foxtailproxy.platform.configuration import (
    CROSS_REGION_MEASURE_BYTES_PER_S,
    MEASURE_BYTES_PER_S,
)
from foxtailproxy.tests.fakes import fake_clock, make_member
from foxtailproxy.tests.gossip_fakes import FakeNetwork, GossipNode

WINDOW_MS = 5000.0
TERMS = CustomersSection(allowance_window_s=5, allowance_overage=0.1, allowance_slack=20)
USUAL_SHARE = 0.6
"""Usual demand of a customer relative to its limit."""

ENTRY_SKEW = 0.8
"""Exponent of the uneven entry: the node of rank n gets a share as n to the power of minus this."""


class CutNetwork(FakeNetwork):
    """Network that can be cut into sides, and that counts the datagrams and bytes of allowances."""

    def __init__(self, clock: Any, rng: random.Random) -> None:
        super().__init__(clock, rng)
        self.side_by_address: dict[str, int] = {}
        self.allowance_loss_rate = 0.0
        self.traffic: Counter[tuple[str, str]] = Counter()

    def send(self, sender: GossipNode, data: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram, and count it if it belongs to allowances."""
        if data[:1] in (REPORT_MARK, ANSWER_MARK, DEMAND_MARK):
            size = len(data) + PACKET_OVERHEAD_BYTES
            receiver = self.node_by_address[address[0]]
            self.traffic[sender.record.node_id, "datagrams"] += 1
            self.traffic[sender.record.node_id, "bytes"] += size
            if receiver.record.region != sender.record.region:
                self.traffic[sender.record.node_id, "paid bytes"] += size
            if self.rng.random() < self.allowance_loss_rate:
                return
        super().send(sender, data, address)

    def _deliver(self, address: str, data: bytes, sender: GossipNode) -> None:
        sides = self.side_by_address
        if sides.get(address, 0) == sides.get(sender.record.address, 0):
            super()._deliver(address, data, sender)


class AllowanceNode(GossipNode):
    """Gossip and allowances of one node."""

    def __init__(self, network: FakeNetwork, record: MemberRecord) -> None:
        self.allowances: NodeAllowances | None = None
        super().__init__(network, record)
        socket = self.gossip.socket
        socket.budget.set_rate(MEASURE_BYTES_PER_S)
        socket.paid_budget.set_rate(CROSS_REGION_MEASURE_BYTES_PER_S)
        self.allowances = NodeAllowances(
            network.clock, self.table, TERMS, network.rng, socket.send_datagram
        )
        socket.on_allowance_datagram = self.allowances.handle_datagram

    def _record_changed(self, record: MemberRecord) -> None:
        super()._record_changed(record)
        if self.allowances is not None:
            self.allowances.update_member(record)


class AllowanceFleet:
    """Nodes at which requests of customers enter unevenly, at random times.

    `admitted_ms` and `rejected_ms` hold the times of the requests of each customer.
    """

    def __init__(self, count: int, rules: list[CustomerRule], seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.clock = fake_clock()
        self.clock.source.advance(1.0)
        self.network = CutNetwork(self.clock, self.rng)
        self.rule_by_name = {rule.name: rule for rule in rules}
        self.node_by_number: dict[int, AllowanceNode] = {}
        self.admitted_ms: dict[str, list[float]] = defaultdict(list)
        self.rejected_ms: dict[str, list[float]] = defaultdict(list)
        self.waits_ms: list[float] = []
        self.retry_after_ms: list[int] = []
        self.demand_by_name = {rule.name: USUAL_SHARE for rule in rules}
        self.give_back_share = 0.0
        self._ranks_by_name: dict[str, list[int]] = {}
        self._count = count
        self._boot = 0
        self.start_nodes(range(count))
        for rule in rules:
            self._ranks_by_name[rule.name] = self.rng.sample(range(count), count)
            self._schedule(rule.name)

    # Nodes

    def start_nodes(self, numbers: Any) -> None:
        """Start processes of nodes, which know each other and the nodes that run."""
        self._boot += 1
        started = []
        for number in numbers:
            region = ("pohja", "louna")[number % 2]
            record = make_member(
                f"n{number}",
                region=region,
                data_center=f"{region}-{number // 2 % 2}",
                incarnation=self._boot * 1_000_000,
                boot_id=f"{number}-{self._boot}",
            )
            node = AllowanceNode(self.network, record)
            self.node_by_number[number] = node
            started.append(node)
        for node in self.node_by_number.values():
            for peer in self.node_by_number.values():
                if node.running and peer.running and (node in started or peer in started):
                    node.table.merge(peer.table.local_record)
        for node in started:
            self._configure(node)

    def _configure(self, node: AllowanceNode) -> None:
        assert node.allowances is not None
        node.allowances.set_customers(list(self.rule_by_name.values()))

    def change_rule(self, rule: CustomerRule) -> None:
        """Bring a new configuration into force at each node within the next 3 s."""
        self.rule_by_name[rule.name] = rule
        for node in self.node_by_number.values():
            self.clock.call_later(self.rng.random() * 3000, self._configure, node)

    def owner_number(self, name: str) -> int:
        """Return the number of the node that owns a customer, as the first live node sees it."""
        from foxtailproxy.customers.allowance import customer_digest

        node = next(node for node in self.node_by_number.values() if node.running)
        assert node.allowances is not None
        return int(node.allowances.owners.owner_of(customer_digest(name)).node_id[1:])

    def kill(self, numbers: Any) -> None:
        """Kill nodes; their requests enter at the other nodes from then on."""
        for number in numbers:
            self.node_by_number[number].kill()

    def cut(self, numbers: Any) -> None:
        """Cut nodes off from the others, or heal all cuts if there are none."""
        self.network.side_by_address = {
            self.node_by_number[number].record.address: 1 for number in numbers
        }

    # Requests

    def _schedule(self, name: str) -> None:
        rate_per_s = self._limit(name).rate_per_s * self.demand_by_name[name]
        delay_ms = self.rng.expovariate(rate_per_s) * 1000 if rate_per_s else 100.0
        self.clock.call_later(delay_ms, self._enter, name, bool(rate_per_s))

    def _limit(self, name: str) -> CustomerRule:
        return self.rule_by_name[name]

    def _enter(self, name: str, real: bool) -> None:
        self._schedule(name)
        if not real:
            return
        ranks = self._ranks_by_name[name]
        node = self.node_by_number[
            self.rng.choices(ranks, [(rank + 1) ** -ENTRY_SKEW for rank in range(self._count)])[0]
        ]
        if not node.running:
            return
        assert node.allowances is not None
        began_ms = self.clock.now_ms()
        drawn = node.allowances.draws.draw(self.rule_by_name[name], "id")
        drawn.addCallback(self._decided, name, node, began_ms)

    def _decided(self, drawn: Any, name: str, node: AllowanceNode, began_ms: float) -> None:
        now_ms = self.clock.now_ms()
        self.waits_ms.append(now_ms - began_ms)
        if isinstance(drawn, NotRun):
            self.rejected_ms[name].append(now_ms)
            self.retry_after_ms.append(drawn.retry_after_ms)
        elif self.rng.random() < self.give_back_share:
            assert node.allowances is not None
            self.clock.call_later(50, node.allowances.draws.give_back, drawn)
        else:
            self.admitted_ms[name].append(now_ms)

    def run(self, ms: float) -> None:
        """Let time pass, from one event to the next."""
        source, end_s = self.clock.source, self.clock.source.seconds() + ms / 1000
        while True:
            calls = [call.getTime() for call in source.calls[:1]]
            if not calls or calls[0] > end_s:
                break
            source.advance(max(0.0, calls[0] - source.seconds()))
        source.advance(max(0.0, end_s - source.seconds()))

    # Results

    def admitted(self, name: str, since_ms: float, until_ms: float) -> int:
        """Return the requests admitted in a time."""
        times = self.admitted_ms[name]
        return bisect_left(times, until_ms) - bisect_left(times, since_ms)

    def rejected(self, name: str, since_ms: float = 0.0) -> int:
        """Return the requests rejected since a time."""
        return sum(time_ms >= since_ms for time_ms in self.rejected_ms[name])

    def fullest_window(self, name: str, since_ms: float = 0.0) -> int:
        """Return the most requests that were admitted in one window."""
        times = [time_ms for time_ms in self.admitted_ms[name] if time_ms >= since_ms]
        return max(
            (bisect_left(times, start + WINDOW_MS) - number for number, start in enumerate(times)),
            default=0,
        )

    def bound(self, rule: CustomerRule) -> float:
        """Return the most requests that one window may have."""
        allowance = rule.rate_per_s * TERMS.allowance_window_s + rule.burst
        return allowance * (1 + TERMS.allowance_overage) + TERMS.allowance_slack


def rules_of(text: str) -> list[CustomerRule]:
    """Return customers from "NAME:RATE:BURST ..."."""
    parts = (item.split(":") for item in text.split())
    return [CustomerRule(name, rate_per_s=float(r), burst=float(b)) for name, r, b in parts]


def alive(fleet: AllowanceFleet) -> list[AllowanceNode]:
    """Return the running nodes."""
    return [node for node in fleet.node_by_number.values() if node.running]


def states(nodes: list[AllowanceNode]) -> Counter[MemberState]:
    """Return how many records of each state the nodes have."""
    return Counter(
        itertools.chain.from_iterable(
            (record.state for record in node.table.by_id.values()) for node in nodes
        )
    )
