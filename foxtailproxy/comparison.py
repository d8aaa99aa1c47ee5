"""Comparison of what two nodes know of the members, by hashes for each data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foxtailproxy.models.messages import (
    CrashReport,
    GossipPacket,
    MemberRecord,
    MemberState,
    PacketKind,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from foxtailproxy.gossip_socket import Address, GossipSocket
    from foxtailproxy.membership import MemberTable

DIGEST_INTERVAL_MS = 5000
"""Time between two comparisons with another node."""

DEAD_SHARE = 0.2
"""Share of the comparisons that go to nodes taken for dead, which may live on the other side of
a cut that has healed."""

CATCH_UP_NODES = 2
"""Nodes that a new process compares with at once."""

RECORDS_PER_PACKET = 6
RANKS_HOP = 1
FINAL_RANKS_HOP = 2


class Comparison:
    """Exchanges the records that differ; `crash_reports` go along with each comparison."""

    def __init__(
        self,
        table: MemberTable,
        socket: GossipSocket,
        rng: random.Random,
        crash_reports: Callable[[], list[CrashReport]],
    ) -> None:
        self._table = table
        self._socket = socket
        self._rng = rng
        self._crash_reports = crash_reports

    def compare_with_one(self) -> None:
        """Compare with a random node: mostly a near one, now and then one of another region."""
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
        self._socket.send(member, self.hashes())

    def catch_up(self) -> None:
        """Compare with a few near nodes at once: a new process knows only what is registered."""
        me = self._table.me
        others = [other for other in self._table.others() if other.region == me.region]
        near = [other for other in others if other.data_center == me.data_center]
        for member in self._rng.sample(near, min(CATCH_UP_NODES, len(near))):
            self.compare(member)
        if not near and others:
            self.compare(self._rng.choice(others))

    def compare_with_address(self, address: Address) -> None:
        """Begin a comparison with a node of which only the address is known."""
        self._socket.send_to(address, self.hashes())

    def hashes(self) -> GossipPacket:
        """The first packet of a comparison."""
        return self._socket.packet(
            PacketKind.digest,
            0,
            members=[self._table.me],
            data_center_hashes=self._table.data_center_hashes(),
            crashes=self._crash_reports(),
        )

    def take(self, packet: GossipPacket, address: Address) -> None:
        """Another node compares: send what differs."""
        if packet.subject:
            self._compare_ranks(packet, address)
            return
        mine = self._table.data_center_hashes()
        for name in set(mine) | set(packet.data_center_hashes):
            if mine.get(name) != packet.data_center_hashes.get(name):
                self._send_ranks(name, RANKS_HOP, address)

    def _compare_ranks(self, packet: GossipPacket, address: Address) -> None:
        newer = self._table.newer_than(packet.subject, packet.incarnations)
        mine = self._table.ranks(packet.subject)
        for start in range(0, len(newer), RECORDS_PER_PACKET):
            part = newer[start : start + RECORDS_PER_PACKET]
            records = self._socket.packet(PacketKind.records, 0, members=part)
            self._socket.send_to(address, records)
        behind = any(theirs > mine.get(name, -1) for name, theirs in packet.incarnations.items())
        if packet.sequence == RANKS_HOP and behind:
            self._send_ranks(packet.subject, FINAL_RANKS_HOP, address)

    def _send_ranks(self, data_center: str, hop: int, address: Address) -> None:
        ranks = self._table.ranks(data_center)
        packet = self._socket.packet(
            PacketKind.digest, hop, subject=data_center, incarnations=ranks
        )
        self._socket.send_to(address, packet)
