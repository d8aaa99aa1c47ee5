"""Failure detection between nodes: pings, relayed pings, suspicion.

Each node pings one other a second, mostly a neighbour in its data centre. One that does not answer
is asked through others, then suspect; it is told so and may object before it is taken for dead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from foxtailproxy.models.messages import GossipPacket, MemberRecord, MemberState, PacketKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from foxtailproxy.clock import Clock
    from foxtailproxy.gossip_socket import Address, GossipSocket
    from foxtailproxy.membership import MemberTable

log = structlog.get_logger()

PING_INTERVAL_MS = 1000
PING_TIMEOUT_MS = 300
SUSPICION_MS = 2000
"""Time that a suspect node has to show that it lives."""

ASK_AGAIN_MS = 500
"""Time between two messages to a suspect node in that time."""

RELAYS = 2
"""Nodes asked to ping one that did not answer."""

OTHER_DATA_CENTER_EVERY = 5
"""One ping out of so many goes to another data centre of the region."""


class FailureDetector:
    """Finds out which nodes of the own region live; `spread` passes on what it found."""

    def __init__(
        self,
        clock: Clock,
        table: MemberTable,
        socket: GossipSocket,
        rng: random.Random,
        spread: Callable[[MemberRecord], None],
    ) -> None:
        self._clock = clock
        self._table = table
        self._socket = socket
        self._rng = rng
        self._spread = spread
        self._ping_count = 0
        self._round: list[str] = []
        self._waiting: dict[int, str] = {}
        self._relayed: dict[int, tuple[int, Address]] = {}

    def ping_next(self) -> None:
        """Ping the node whose turn it is."""
        self._table.sweep()
        subject = self._next_subject()
        if subject is not None:
            self.probe(subject)

    def probe(self, subject: MemberRecord) -> None:
        """Find out whether a node lives; others are asked to help where it does not answer."""
        sequence = self._socket.next_sequence()
        self._waiting[sequence] = subject.node_id
        packet = self._socket.packet(PacketKind.ping, sequence)
        if subject.state is not MemberState.alive:
            # The subject may not know that others take it for lost.
            packet.members = [subject]
        if not self._socket.send(subject, packet):
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
        packet = self._socket.packet(PacketKind.ping_request, sequence, subject=node_id)
        for relay in self._rng.sample(relays, min(RELAYS, len(relays))):
            self._socket.send(relay, packet)
        self._clock.call_later(PING_TIMEOUT_MS * 2, self._ping_failed, sequence)

    def _ping_failed(self, sequence: int) -> None:
        node_id = self._waiting.pop(sequence, None)
        member = None if node_id is None else self._table.by_id.get(node_id)
        if member is None or not self._is_evidence(member):
            return
        record = self._table.mark(member.node_id, MemberState.suspect)
        if record is not None:
            log.warning("member_suspect", member=member.node_id)
            self._spread(record)
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
            packet = self._socket.packet(PacketKind.ping, self._socket.next_sequence())
            packet.members = [known]
            self._socket.send(known, packet)

    def _is_evidence(self, member: MemberRecord) -> bool:
        """Whether silence means that the node, and not the way to it or this node, is lost."""
        if member.region != self._table.me.region:
            # Its own region judges it; from here a lost node and a cut between regions look alike.
            return False
        others = [other for other in self._table.others() if other.region == member.region]
        return len(others) == 1 or self._clock.now_ms() - self._socket.last_heard_ms < SUSPICION_MS

    def _confirm_dead(self, node_id: str, incarnation: int) -> None:
        known = self._table.by_id.get(node_id)
        if known is None or known.incarnation != incarnation or known.state is MemberState.dead:
            return
        if known.state is MemberState.alive:
            return
        record = self._table.mark(node_id, MemberState.dead)
        if record is not None:
            log.warning("member_dead", member=node_id)
            self._spread(record)

    def answer_ping(self, packet: GossipPacket, address: Address) -> None:
        """Another node asks whether this one lives."""
        ack = self._socket.packet(PacketKind.ack, packet.sequence)
        known = self._table.by_id.get(packet.sender)
        if known is not None and known.state is not MemberState.alive:
            ack.members.append(known)
        if packet.members:
            # The sender took this node for lost; its record has been raised above that.
            ack.members.append(self._table.me)
        self._socket.send_to(address, ack)

    def acknowledged(self, packet: GossipPacket) -> None:
        """A pinged node answered."""
        self._waiting.pop(packet.sequence, None)
        relayed = self._relayed.pop(packet.sequence, None)
        if relayed is not None:
            sequence, address = relayed
            ack = GossipPacket(PacketKind.ack, packet.sender, sequence)
            self._socket.send_to(address, ack)

    def relay(self, packet: GossipPacket, address: Address) -> None:
        """Ping a node for another one."""
        subject = self._table.by_id.get(packet.subject)
        if subject is None:
            return
        sequence = self._socket.next_sequence()
        self._relayed[sequence] = (packet.sequence, address)
        self._socket.send(subject, self._socket.packet(PacketKind.ping, sequence))
        self._clock.call_later(PING_TIMEOUT_MS * 2, self._relayed.pop, sequence, None)
