"""Failure detection between nodes: pings, relayed pings, suspicion.

Each node pings one peer a second, mostly one in its data centre. A peer that does not answer is
pinged through relays, then suspected. It is notified and may refute the suspicion before it is
declared dead.
"""

from __future__ import annotations

from dataclasses import dataclass
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
SUSPICION_TIMEOUT_MS = 2000
"""Time in which a suspect node may refute the suspicion before it is declared dead."""

SUSPECT_NOTICE_INTERVAL_MS = 500
"""Interval between notifications to a suspect node in that time."""

VERDICT_INCARNATION_STEP = 1000
"""Step by which a verdict of death raises the incarnation of the record, so that it outranks those
changes which the node made before it failed and which arrive later."""

RELAY_COUNT = 2
"""Peers that are asked to ping a node that did not answer."""

OTHER_DATA_CENTER_PING_EVERY = 5
"""One out of this many pings goes to another data centre of the region."""


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """Ping of a node that is sent for a peer, which gets the ack under its own sequence number."""

    subject_id: str
    requested_sequence: int
    requester: Address


class FailureDetector:
    """Detector of failed nodes in the local region; `disseminate` passes changed records on."""

    def __init__(
        self,
        clock: Clock,
        table: MemberTable,
        socket: GossipSocket,
        rng: random.Random,
        disseminate: Callable[[MemberRecord], None],
    ) -> None:
        self.suspected_count = 0
        self.declared_dead_count = 0
        self._clock = clock
        self._table = table
        self._socket = socket
        self._rng = rng
        self._disseminate = disseminate
        self._ping_count = 0
        self._ping_order: list[str] = []
        self._pending_pings: dict[int, str] = {}
        self._relayed_pings: dict[int, RelayedPing] = {}

    def ping_next(self) -> None:
        """Ping the next peer, and remove expired records of dead nodes."""
        self._table.sweep()
        subject = self._next_subject()
        if subject is not None:
            self.probe(subject)

    def probe(self, subject: MemberRecord) -> None:
        """Ping a node, and request relayed pings if it does not answer in time."""
        sequence = self._socket.next_sequence()
        self._pending_pings[sequence] = subject.node_id
        packet = self._socket.build_packet(PacketKind.ping, sequence)
        if subject.state is not MemberState.alive:
            # The subject may not know that it is suspected or was declared dead.
            packet.members = [subject]
        if not self._socket.send(subject, packet):
            del self._pending_pings[sequence]
            return
        self._clock.call_later(PING_TIMEOUT_MS, self._request_relayed_pings, sequence)

    def _next_subject(self) -> MemberRecord | None:
        self._ping_count += 1
        local = self._table.local_record
        peers = self._table.live_peers()
        if self._ping_count % OTHER_DATA_CENTER_PING_EVERY == 0:
            candidates = [peer for peer in peers if peer.region == local.region]
            candidates = [peer for peer in candidates if peer.data_center != local.data_center]
            if candidates:
                return self._rng.choice(candidates)
        return self._next_local_peer(peers)

    def _next_local_peer(self, peers: list[MemberRecord]) -> MemberRecord | None:
        """Return the next peer of the local data centre, in an order shuffled for each round."""
        local_peers = {
            peer.node_id: peer
            for peer in peers
            if peer.data_center == self._table.local_record.data_center
        }
        while self._ping_order:
            subject = local_peers.get(self._ping_order.pop())
            if subject is not None:
                return subject
        self._ping_order = list(local_peers)
        self._rng.shuffle(self._ping_order)
        return local_peers[self._ping_order.pop()] if self._ping_order else None

    def _request_relayed_pings(self, sequence: int) -> None:
        node_id = self._pending_pings.get(sequence)
        if node_id is None:
            return
        candidates = [
            peer
            for peer in self._table.live_peers()
            if peer.node_id != node_id
            and peer.state is MemberState.alive
            and peer.region == self._table.local_record.region
        ]
        local_peers = [
            peer for peer in candidates if peer.data_center == self._table.local_record.data_center
        ]
        relays = local_peers or candidates
        packet = self._socket.build_packet(PacketKind.ping_request, sequence, subject=node_id)
        for relay in self._rng.sample(relays, min(RELAY_COUNT, len(relays))):
            self._socket.send(relay, packet)
        self._clock.call_later_awake(PING_TIMEOUT_MS * 2, self._ping_timed_out, sequence)

    def _ping_timed_out(self, sequence: int) -> None:
        node_id = self._pending_pings.pop(sequence, None)
        member = None if node_id is None else self._table.by_id.get(node_id)
        if member is None or not self._indicates_failure(member):
            return
        record = self._table.set_state(member.node_id, MemberState.suspect)
        if record is not None:
            self.suspected_count += 1
            log.warning(
                "member_suspect",
                member=member.node_id,
                incarnation=member.incarnation,
                last_packet_age_ms=round(self._clock.now_ms() - self._socket.last_received_ms),
            )
            self._disseminate(record)
            for delay_ms in range(
                SUSPECT_NOTICE_INTERVAL_MS, SUSPICION_TIMEOUT_MS, SUSPECT_NOTICE_INTERVAL_MS
            ):
                self._clock.call_later(delay_ms, self._notify_suspect, member.node_id)
        if member.state is not MemberState.dead:
            self._clock.call_later_awake(
                SUSPICION_TIMEOUT_MS, self._declare_dead, member.node_id, member.incarnation
            )

    def _notify_suspect(self, node_id: str) -> None:
        """Send a suspect node its record as suspect, so that it can refute the suspicion."""
        member = self._table.by_id.get(node_id)
        if member is not None and member.state is MemberState.suspect:
            packet = self._socket.build_packet(PacketKind.ping, self._socket.next_sequence())
            packet.members = [member]
            self._socket.send(member, packet)

    def _indicates_failure(self, member: MemberRecord) -> bool:
        """Return whether a missing ack points to the node, not to the network or this node."""
        if member.region != self._table.local_record.region:
            # Its region decides: from here a failed node and a partition of regions look alike.
            return False
        peers = [peer for peer in self._table.live_peers() if peer.region == member.region]
        return (
            len(peers) == 1
            or self._clock.now_ms() - self._socket.last_received_ms < SUSPICION_TIMEOUT_MS
        )

    def _declare_dead(self, node_id: str, incarnation: int) -> None:
        member = self._table.by_id.get(node_id)
        if member is None or member.state is MemberState.dead:
            return
        if member.incarnation != incarnation:
            # A refutation, or a record from before the failure that arrived late.
            self.probe(member)
            return
        if member.state is MemberState.alive:
            return
        record = self._table.set_state(node_id, MemberState.dead, VERDICT_INCARNATION_STEP)
        if record is not None:
            self.declared_dead_count += 1
            log.warning(
                "member_dead",
                member=node_id,
                incarnation=incarnation,
                last_packet_age_ms=round(self._clock.now_ms() - self._socket.last_received_ms),
            )
            self._disseminate(record)

    def handle_ping(self, packet: GossipPacket, address: Address) -> None:
        """Answer a ping from a peer with an ack."""
        ack = self._socket.build_packet(PacketKind.ack, packet.sequence)
        member = self._table.by_id.get(packet.sender)
        if member is not None and member.state is not MemberState.alive:
            ack.members.append(member)
        if packet.members:
            # The sender believed this node failed; the local record has been raised above that.
            ack.members.append(self._table.local_record)
        self._socket.send_to_address(address, ack)

    def handle_ack(self, packet: GossipPacket) -> None:
        """Record the ack of a ping, and forward it if the ping was relayed for a peer.

        An ack of another node than the one that was pinged is ignored: it may have the address of
        one that failed.
        """
        if self._pending_pings.get(packet.sequence) == packet.sender:
            del self._pending_pings[packet.sequence]
        relayed = self._relayed_pings.get(packet.sequence)
        if relayed is not None and relayed.subject_id == packet.sender:
            del self._relayed_pings[packet.sequence]
            ack = GossipPacket(PacketKind.ack, packet.sender, relayed.requested_sequence)
            self._socket.send_to_address(relayed.requester, ack)

    def handle_ping_request(self, packet: GossipPacket, address: Address) -> None:
        """Ping a node on behalf of a peer."""
        subject = self._table.by_id.get(packet.subject)
        if subject is None:
            return
        sequence = self._socket.next_sequence()
        self._relayed_pings[sequence] = RelayedPing(subject.node_id, packet.sequence, address)
        self._socket.send(subject, self._socket.build_packet(PacketKind.ping, sequence))
        self._clock.call_later(PING_TIMEOUT_MS * 2, self._relayed_pings.pop, sequence, None)
