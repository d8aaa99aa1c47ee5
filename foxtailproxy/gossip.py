"""Membership between nodes over UDP: failure detection, news, and comparison of what is known.

Each node pings one other a second. News is passed on at once to a few nodes, each of which does the
same. Now and then two nodes compare hashes of their records for each data centre and exchange what
differs. Everything sent stays within the operator's budget for measuring.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
import structlog
from msgspec.structs import replace
from twisted.internet.protocol import DatagramProtocol

from foxtailproxy.models.messages import (
    CrashReport,
    GossipPacket,
    MemberRecord,
    MemberState,
    PacketKind,
)
from foxtailproxy.token_bucket import TokenBucket

if TYPE_CHECKING:
    from twisted.internet.task import LoopingCall

    from foxtailproxy.clock import Clock
    from foxtailproxy.membership import MemberTable

log = structlog.get_logger()

PING_INTERVAL_MS = 1000
PING_TIMEOUT_MS = 300
SUSPICION_MS = 2000
"""Time that a suspect node has to show that it lives."""

ASK_AGAIN_MS = 500
"""Time between two messages to a suspect node in that time."""

DIGEST_INTERVAL_MS = 5000
"""Time between two comparisons with another node."""

DEAD_SHARE = 0.2
"""Share of the comparisons that go to nodes taken for dead, which may live on the other side of
a cut that has healed."""

PUSH_DELAY_MS = 20
"""Time in which news is gathered before it is passed on."""

NEAR_FANOUT = 3
"""Nodes of the own data centre that news is passed to."""

RELAYS = 2
"""Nodes asked to ping one that did not answer."""

OTHER_DATA_CENTER_EVERY = 5
"""One ping out of so many goes to another data centre of the region."""

RECORDS_PER_PACKET = 6
PUSH_ROUNDS = 2
"""Times that a node passes one piece of news on."""

PACKET_OVERHEAD_BYTES = 28
"""Bytes of the IP and UDP headers of a datagram."""

RANKS_HOP = 1
FINAL_RANKS_HOP = 2


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


@dataclass(slots=True)
class TrafficCounters:
    """Bytes and packets, counted at the socket with their IP headers; `paid` between regions."""

    sent_packets: int = 0
    sent_bytes: int = 0
    paid_sent_bytes: int = 0
    received_packets: int = 0
    received_bytes: int = 0
    skipped_packets: int = 0


class Gossip(DatagramProtocol):
    """One node's side of the membership protocol; it owns the UDP socket."""

    noisy = False
    transport: Any = None

    def __init__(
        self,
        clock: Clock,
        table: MemberTable,
        listener: GossipListener,
        rng: random.Random,
        budget: TokenBucket,
        paid_budget: TokenBucket,
    ) -> None:
        self.counters = TrafficCounters()
        self.budget = budget
        self.paid_budget = paid_budget
        self._clock = clock
        self._table = table
        self._listener = listener
        self._rng = rng
        self._sequence = 0
        self._ping_count = 0
        self._round: list[str] = []
        self._waiting: dict[int, str] = {}
        self._relayed: dict[int, tuple[int, tuple[str, int]]] = {}
        self._news: dict[str, int] = {}
        self._crash_news: dict[str, CrashReport] = {}
        self._push_due = False
        self._fresh = False
        self._last_heard_ms = 0.0
        self._loops: list[LoopingCall] = []
        self._decoder = msgspec.msgpack.Decoder(GossipPacket)
        self._encoder = msgspec.msgpack.Encoder()

    def start(self) -> None:
        """Begin to ping and to compare."""
        self._loops.append(self._clock.repeat(PING_INTERVAL_MS, self._ping_next))
        self._loops.append(self._clock.repeat(DIGEST_INTERVAL_MS, self._compare_with_one))

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
        own_news = self._news.get(self._my_id) == PUSH_ROUNDS
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

    # Failure detection

    def _ping_next(self) -> None:
        self._table.sweep()
        subject = self._next_subject()
        if subject is not None:
            self.probe(subject)

    def probe(self, subject: MemberRecord) -> None:
        """Find out whether a node lives; others are asked to help where it does not answer."""
        sequence = self._next_sequence()
        self._waiting[sequence] = subject.node_id
        packet = GossipPacket(PacketKind.ping, self._my_id, sequence)
        if subject.state is not MemberState.alive:
            # The subject may not know that others take it for lost.
            packet.members = [subject]
        if not self._send(subject, packet):
            del self._waiting[sequence]
            return
        self._clock.call_later(PING_TIMEOUT_MS, self._ask_relays, sequence)

    def _next_subject(self) -> MemberRecord | None:
        self._ping_count += 1
        me = self._table.me
        others = self._table.others()
        if self._ping_count % OTHER_DATA_CENTER_EVERY == 0:
            chosen = [other for other in others if other.region == me.region]
            chosen = [other for other in chosen if other.data_center != me.data_center]
            if chosen:
                return self._rng.choice(chosen)
        return self._next_neighbor(others)

    def _next_neighbor(self, others: list[MemberRecord]) -> MemberRecord | None:
        """Nodes of the own data centre in turn, in an order that changes each round."""
        near = {o.node_id: o for o in others if o.data_center == self._table.me.data_center}
        while self._round:
            subject = near.get(self._round.pop())
            if subject is not None:
                return subject
        self._round = list(near)
        self._rng.shuffle(self._round)
        return near[self._round.pop()] if self._round else None

    def _ask_relays(self, sequence: int) -> None:
        node_id = self._waiting.get(sequence)
        if node_id is None:
            return
        candidates = [
            other
            for other in self._table.others()
            if other.node_id != node_id
            and other.state is MemberState.alive
            and other.region == self._table.me.region
        ]
        near = [c for c in candidates if c.data_center == self._table.me.data_center]
        relays = near or candidates
        packet = GossipPacket(PacketKind.ping_request, self._my_id, sequence, subject=node_id)
        for relay in self._rng.sample(relays, min(RELAYS, len(relays))):
            self._send(relay, packet)
        self._clock.call_later(PING_TIMEOUT_MS * 2, self._ping_failed, sequence)

    def _ping_failed(self, sequence: int) -> None:
        node_id = self._waiting.pop(sequence, None)
        member = None if node_id is None else self._table.by_id.get(node_id)
        if member is None or not self._is_evidence(member):
            return
        record = self._table.mark(member.node_id, MemberState.suspect)
        if record is not None:
            log.warning("member_suspect", member=member.node_id)
            self.spread(record)
            for delay_ms in range(ASK_AGAIN_MS, SUSPICION_MS, ASK_AGAIN_MS):
                self._clock.call_later(delay_ms, self._ask_again, member.node_id)
        if member.state is not MemberState.dead:
            self._clock.call_later(
                SUSPICION_MS, self._confirm_dead, member.node_id, member.incarnation
            )

    def _ask_again(self, node_id: str) -> None:
        """Tell a suspect node what is said of it, so that it can object."""
        known = self._table.by_id.get(node_id)
        if known is not None and known.state is MemberState.suspect:
            packet = GossipPacket(PacketKind.ping, self._my_id, self._next_sequence())
            packet.members = [known]
            self._send(known, packet)

    def _is_evidence(self, member: MemberRecord) -> bool:
        """Whether silence means that the node, and not the way to it or this node, is lost."""
        if member.region != self._table.me.region:
            # Its own region judges it; from here a lost node and a cut between regions look alike.
            return False
        others = [other for other in self._table.others() if other.region == member.region]
        return len(others) == 1 or self._clock.now_ms() - self._last_heard_ms < SUSPICION_MS

    def _confirm_dead(self, node_id: str, incarnation: int) -> None:
        known = self._table.by_id.get(node_id)
        if known is None or known.incarnation != incarnation or known.state is MemberState.dead:
            return
        if known.state is MemberState.alive:
            return
        record = self._table.mark(node_id, MemberState.dead)
        if record is not None:
            log.warning("member_dead", member=node_id)
            self.spread(record)

    # Comparison

    def _compare_with_one(self) -> None:
        others = self._table.others()
        me = self._table.me
        near = [other for other in others if other.region == me.region]
        far = [other for other in others if other.region != me.region]
        dead = [o for o in self._table.by_id.values() if o.state is MemberState.dead]
        if dead and self._rng.random() < DEAD_SHARE:
            self.compare(self._rng.choice(dead))
            return
        # About one node of each data centre compares with another region each time.
        peers = sum(1 for other in near if other.data_center == me.data_center) + 1
        use_far = far and self._rng.random() < 1 / peers
        chosen = far if use_far else near or far
        if chosen:
            self.compare(self._rng.choice(chosen))

    def compare(self, member: MemberRecord) -> None:
        """Begin a comparison with another node."""
        self._send(member, self._hashes())

    def compare_with_address(self, address: tuple[str, int]) -> None:
        """Begin a comparison with a node of which only the address is known."""
        self._send_to(address, self._hashes(), False)

    def _hashes(self) -> GossipPacket:
        return GossipPacket(
            PacketKind.digest,
            self._my_id,
            0,
            members=[self._table.me],
            data_center_hashes=self._table.data_center_hashes(),
            crashes=self._listener.crash_reports(),
        )

    def _compare(self, packet: GossipPacket, address: tuple[str, int]) -> None:
        if packet.subject:
            self._compare_ranks(packet, address)
            return
        mine = self._table.data_center_hashes()
        for name in set(mine) | set(packet.data_center_hashes):
            if mine.get(name) != packet.data_center_hashes.get(name):
                self._send_ranks(name, RANKS_HOP, address)

    def _compare_ranks(self, packet: GossipPacket, address: tuple[str, int]) -> None:
        newer = self._table.newer_than(packet.subject, packet.incarnations)
        mine = self._table.ranks(packet.subject)
        for start in range(0, len(newer), RECORDS_PER_PACKET):
            part = newer[start : start + RECORDS_PER_PACKET]
            records = GossipPacket(PacketKind.records, self._my_id, 0, members=part)
            self._send_to(address, records, self._is_paid(address))
        behind = any(theirs > mine.get(name, -1) for name, theirs in packet.incarnations.items())
        if packet.sequence == RANKS_HOP and behind:
            self._send_ranks(packet.subject, FINAL_RANKS_HOP, address)

    def _send_ranks(self, data_center: str, hop: int, address: tuple[str, int]) -> None:
        ranks = self._table.ranks(data_center)
        packet = GossipPacket(
            PacketKind.digest, self._my_id, hop, subject=data_center, incarnations=ranks
        )
        self._send_to(address, packet, self._is_paid(address))

    # The socket

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Take in a packet of another node."""
        self.counters.received_packets += 1
        self.counters.received_bytes += len(datagram) + PACKET_OVERHEAD_BYTES
        try:
            packet = self._decoder.decode(datagram)
        except msgspec.MsgspecError:
            log.warning("gossip_malformed", sender=addr[0])
            return
        if packet.sender == self._my_id:
            return
        self._last_heard_ms = self._clock.now_ms()
        self._take_news(packet)
        sender = self._table.by_id.get(packet.sender)
        if sender is not None:
            self._listener.config_seen(packet.config_generation, packet.config_change, sender)
        self._react(packet, (addr[0], addr[1]))

    def _take_news(self, packet: GossipPacket) -> None:
        for record in packet.members:
            if self._table.merge(record) and packet.kind is not PacketKind.records:
                self.spread(record)
        for report in packet.crashes:
            if self._listener.crash_reported(report):
                self.spread_crash(report)

    def _react(self, packet: GossipPacket, address: tuple[str, int]) -> None:
        if packet.kind is PacketKind.ping:
            ack = GossipPacket(PacketKind.ack, self._my_id, packet.sequence)
            known = self._table.by_id.get(packet.sender)
            if known is not None and known.state is not MemberState.alive:
                ack.members.append(known)
            if packet.members:
                # The sender took this node for lost; its record has been raised above that.
                ack.members.append(self._table.me)
            self._send_to(address, ack, self._is_paid(address))
        elif packet.kind is PacketKind.ack:
            self._acknowledged(packet)
        elif packet.kind is PacketKind.ping_request:
            self._relay(packet, address)
        elif packet.kind is PacketKind.digest:
            self._compare(packet, address)

    def _acknowledged(self, packet: GossipPacket) -> None:
        self._waiting.pop(packet.sequence, None)
        relayed = self._relayed.pop(packet.sequence, None)
        if relayed is not None:
            sequence, address = relayed
            ack = GossipPacket(PacketKind.ack, packet.sender, sequence)
            self._send_to(address, ack, self._is_paid(address))

    def _relay(self, packet: GossipPacket, address: tuple[str, int]) -> None:
        subject = self._table.by_id.get(packet.subject)
        if subject is None:
            return
        sequence = self._next_sequence()
        self._relayed[sequence] = (packet.sequence, address)
        self._send(subject, GossipPacket(PacketKind.ping, self._my_id, sequence))
        self._clock.call_later(PING_TIMEOUT_MS * 2, self._relayed.pop, sequence, None)

    def _send_records(
        self,
        member: MemberRecord,
        kind: PacketKind,
        records: list[MemberRecord],
        crashes: list[CrashReport],
    ) -> None:
        for start in range(0, max(1, len(records)), RECORDS_PER_PACKET):
            part = records[start : start + RECORDS_PER_PACKET]
            self._send(member, GossipPacket(kind, self._my_id, 0, members=part, crashes=crashes))
            crashes = []

    def _send(self, member: MemberRecord, packet: GossipPacket) -> bool:
        paid = member.region != self._table.me.region
        return self._send_to((member.address, member.gossip_port), packet, paid)

    def _send_to(self, address: tuple[str, int], packet: GossipPacket, paid: bool) -> bool:
        if self.transport is None:
            return False
        generation, change = self._listener.config_mark()
        data = self._encoder.encode(
            replace(packet, config_generation=generation, config_change=change)
        )
        size = len(data) + PACKET_OVERHEAD_BYTES
        if not self._spend(size, packet, paid):
            self.counters.skipped_packets += 1
            return False
        self.counters.sent_packets += 1
        self.counters.sent_bytes += size
        if paid:
            self.counters.paid_sent_bytes += size
        self.transport.write(data, address)
        return True

    def _spend(self, size: int, packet: GossipPacket, paid: bool) -> bool:
        """Whether the budgets allow a packet."""
        budgets = [self.paid_budget, self.budget] if paid else [self.budget]
        if packet.kind is PacketKind.push and packet.crashes:
            # A report that saves upstreams measures nothing; measuring makes room for it.
            for budget in budgets:
                budget.charge(size)
            return True
        return all(budget.spend(size, packet.kind is PacketKind.push) for budget in budgets)

    def _is_paid(self, address: tuple[str, int]) -> bool:
        for record in self._table.by_id.values():
            if (record.address, record.gossip_port) == address:
                return record.region != self._table.me.region
        return False

    @property
    def _my_id(self) -> str:
        return self._table.me.node_id

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
