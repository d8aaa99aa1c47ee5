"""Membership between nodes: news, failure detection and comparison over one UDP socket.

News is passed on at once to a few nodes, each of which does the same.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from foxtailproxy.comparison import DIGEST_INTERVAL_MS, RECORDS_PER_PACKET, Comparison
from foxtailproxy.failure_detector import PING_INTERVAL_MS, FailureDetector
from foxtailproxy.gossip_socket import GossipSocket
from foxtailproxy.models.messages import CrashReport, GossipPacket, MemberRecord, PacketKind

if TYPE_CHECKING:
    import random

    from twisted.internet.task import LoopingCall

    from foxtailproxy.clock import Clock
    from foxtailproxy.gossip_socket import Address
    from foxtailproxy.membership import MemberTable
    from foxtailproxy.token_bucket import TokenBucket

PUSH_DELAY_MS = 20
"""Time in which news is gathered before it is passed on."""

NEAR_FANOUT = 3
"""Nodes of the own data centre that news is passed to."""

PUSH_ROUNDS = 2
"""Times that a node passes one piece of news on."""


class GossipListener(Protocol):
    """Is told of what other nodes say."""

    def crash_reported(self, report: CrashReport) -> bool:
        """A request crashed upstreams elsewhere; returns whether that is news."""

    def crash_reports(self) -> list[CrashReport]:
        """The newest of this node's own reports."""

    def config_seen(self, generation: int, change: str, member: MemberRecord) -> None:
        """Another node has a configuration of `generation`."""

    def config_mark(self) -> tuple[int, str]:
        """Generation and change of this node's configuration."""


class Gossip:
    """One node's side of the membership protocol."""

    def __init__(
        self,
        clock: Clock,
        table: MemberTable,
        listener: GossipListener,
        rng: random.Random,
        budget: TokenBucket,
        paid_budget: TokenBucket,
    ) -> None:
        self.socket = GossipSocket(
            clock, table, budget, paid_budget, listener.config_mark, self._take
        )
        self.detector = FailureDetector(clock, table, self.socket, rng, self.spread)
        self.comparison = Comparison(table, self.socket, rng, listener.crash_reports)
        self._clock = clock
        self._table = table
        self._listener = listener
        self._rng = rng
        self._news: dict[str, int] = {}
        self._crash_news: dict[str, CrashReport] = {}
        self._push_due = False
        self._fresh = False
        self._loops: list[LoopingCall] = []

    def start(self) -> None:
        """Begin to ping and to compare."""
        pings = self._clock.repeat(PING_INTERVAL_MS, self.detector.ping_next)
        comparisons = self._clock.repeat(DIGEST_INTERVAL_MS, self.comparison.compare_with_one)
        self._loops = [pings, comparisons]

    def close(self) -> None:
        """Stop the timers."""
        for loop in self._loops:
            loop.stop()
        self._loops = []

    # News

    def spread(self, record: MemberRecord) -> None:
        """Pass a record on to a few nodes, soon."""
        self._news[record.node_id] = PUSH_ROUNDS
        self._schedule_push(True)

    def spread_crash(self, report: CrashReport) -> None:
        """Pass a crash report on to a few nodes, soon."""
        self._crash_news[report.fingerprint] = report
        self._schedule_push(True)

    def spread_config(self) -> None:
        """Tell a few nodes of this node's new configuration, soon."""
        self._schedule_push(True)

    def _schedule_push(self, fresh: bool) -> None:
        self._fresh = self._fresh or fresh
        if not self._push_due:
            self._push_due = True
            self._clock.call_later(PUSH_DELAY_MS, self._push)

    def _push(self) -> None:
        self._push_due = False
        crashes, self._crash_news = list(self._crash_news.values()), {}
        members = [self._table.by_id[name] for name in self._news if name in self._table.by_id]
        for member in self._fanout():
            self._send_records(member, PacketKind.push, members, crashes)
        self._news = {name: left - 1 for name, left in self._news.items() if left > 1}
        if self._news:
            self._schedule_push(False)

    def _fanout(self) -> list[MemberRecord]:
        """Nodes to pass news to.

        A node's own news goes to each data centre once, that of others about once from each other
        data centre.
        """
        own_news = self._news.get(self._table.me.node_id) == PUSH_ROUNDS
        fresh, self._fresh = self._fresh, False
        by_data_center: dict[str, list[MemberRecord]] = {}
        for record in self._table.others():
            by_data_center.setdefault(record.data_center, []).append(record)
        near = by_data_center.pop(self._table.me.data_center, [])
        chosen = self._rng.sample(near, min(len(near), NEAR_FANOUT))
        for records in by_data_center.values() if fresh else ():
            if own_news or self._rng.random() < 1 / (len(near) + 1):
                chosen.append(self._rng.choice(records))
        return chosen

    def _send_records(
        self,
        member: MemberRecord,
        kind: PacketKind,
        records: list[MemberRecord],
        crashes: list[CrashReport],
    ) -> None:
        for start in range(0, max(1, len(records)), RECORDS_PER_PACKET):
            part = records[start : start + RECORDS_PER_PACKET]
            self.socket.send(member, self.socket.packet(kind, members=part, crashes=crashes))
            crashes = []

    # Packets of other nodes

    def _take(self, packet: GossipPacket, address: Address) -> None:
        self._take_news(packet)
        sender = self._table.by_id.get(packet.sender)
        if sender is not None:
            self._listener.config_seen(packet.config_generation, packet.config_change, sender)
        if packet.kind is PacketKind.ping:
            self.detector.answer_ping(packet, address)
        elif packet.kind is PacketKind.ack:
            self.detector.acknowledged(packet)
        elif packet.kind is PacketKind.ping_request:
            self.detector.relay(packet, address)
        elif packet.kind is PacketKind.digest:
            self.comparison.take(packet, address)

    def _take_news(self, packet: GossipPacket) -> None:
        for record in packet.members:
            if self._table.merge(record) and packet.kind is not PacketKind.records:
                self.spread(record)
        for report in packet.crashes:
            if self._listener.crash_reported(report):
                self.spread_crash(report)
