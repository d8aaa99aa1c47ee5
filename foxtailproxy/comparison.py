"""Anti-entropy between two nodes: comparison of their member records by hash per data centre."""

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

DIGEST_INTERVAL_MS = 1000
"""Interval between two comparisons with a peer while records are known to differ."""

INTERVALS_AT_REST = 5
"""Number of these intervals between two comparisons while none are."""

DEAD_PEER_SHARE = 0.2
"""Share of the comparisons that go to nodes declared dead, which may be alive after a network
partition has healed."""

CATCH_UP_PEERS = 2
"""Peers that a new process compares with at once."""

RECORDS_PER_PACKET = 6
RANKS_REQUEST_SEQUENCE = 1
RANKS_REPLY_SEQUENCE = 2
"""Sequence numbers of a digest with ranks; the reply is not answered with ranks again."""


class Comparison:
    """Exchange of differing records; `crash_reports` returns the reports sent with each digest."""

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
        self._records_differ = False
        self._intervals_since_comparison = 0

    def records_skipped(self) -> None:
        """Compare sooner: the budget did not allow a packet with records."""
        self._records_differ = True

    def compare_if_due(self) -> None:
        """Start a comparison with a random node if it is time for one."""
        self._intervals_since_comparison += 1
        if self._records_differ or self._intervals_since_comparison >= INTERVALS_AT_REST:
            self._records_differ = False
            self._intervals_since_comparison = 0
            self.compare_with_random_peer()

    def compare_with_random_peer(self) -> None:
        """Start a comparison with a random node, mostly in the local region."""
        peers = self._table.live_peers()
        local = self._table.local_record
        region_peers = [peer for peer in peers if peer.region == local.region]
        remote_peers = [peer for peer in peers if peer.region != local.region]
        dead_peers = [peer for peer in self._table.by_id.values() if peer.state is MemberState.dead]
        if dead_peers and self._rng.random() < DEAD_PEER_SHARE:
            self.start_comparison(self._rng.choice(dead_peers))
            return
        # In each interval about one node of a data centre compares with another region.
        data_center_size = (
            sum(1 for peer in region_peers if peer.data_center == local.data_center) + 1
        )
        cross_region = remote_peers and self._rng.random() < 1 / data_center_size
        chosen = remote_peers if cross_region else region_peers or remote_peers
        if chosen:
            self.start_comparison(self._rng.choice(chosen))

    def start_comparison(self, member: MemberRecord) -> None:
        """Start a comparison with a member."""
        self._socket.send(member, self.digest_packet())

    def catch_up(self) -> None:
        """Start comparisons with a few local peers; a new process has only registered records."""
        local = self._table.local_record
        peers = [peer for peer in self._table.live_peers() if peer.region == local.region]
        local_peers = [peer for peer in peers if peer.data_center == local.data_center]
        for member in self._rng.sample(local_peers, min(CATCH_UP_PEERS, len(local_peers))):
            self.start_comparison(member)
        if not local_peers and peers:
            self.start_comparison(self._rng.choice(peers))

    def compare_with_address(self, address: Address) -> None:
        """Start a comparison with a node of which only the address is known."""
        self._socket.send_to_address(address, self.digest_packet())

    def digest_packet(self) -> GossipPacket:
        """Return the first packet of a comparison, with the hash of each data centre."""
        return self._socket.build_packet(
            PacketKind.digest,
            0,
            members=[self._table.local_record],
            data_center_hashes=self._table.data_center_hashes(),
            crashes=self._crash_reports(),
        )

    def handle_digest(self, packet: GossipPacket, address: Address) -> None:
        """Answer a digest: send ranks where hashes differ, or the records that are newer."""
        if packet.subject:
            self._handle_ranks(packet, address)
            return
        local_hashes = self._table.data_center_hashes()
        for data_center in sorted(local_hashes.keys() | packet.data_center_hashes.keys()):
            if local_hashes.get(data_center) != packet.data_center_hashes.get(data_center):
                self._send_ranks(data_center, RANKS_REQUEST_SEQUENCE, address)

    def _handle_ranks(self, packet: GossipPacket, address: Address) -> None:
        self._records_differ = True
        newer = self._table.records_newer_than(packet.subject, packet.incarnations)
        local_ranks = self._table.ranks(packet.subject)
        for start in range(0, len(newer), RECORDS_PER_PACKET):
            batch = newer[start : start + RECORDS_PER_PACKET]
            records = self._socket.build_packet(PacketKind.records, 0, members=batch)
            self._socket.send_to_address(address, records)
        is_behind = any(
            rank > local_ranks.get(node_id, -1) for node_id, rank in packet.incarnations.items()
        )
        if packet.sequence == RANKS_REQUEST_SEQUENCE and is_behind:
            self._send_ranks(packet.subject, RANKS_REPLY_SEQUENCE, address)

    def _send_ranks(self, data_center: str, sequence: int, address: Address) -> None:
        ranks = self._table.ranks(data_center)
        packet = self._socket.build_packet(
            PacketKind.digest, sequence, subject=data_center, incarnations=ranks
        )
        self._socket.send_to_address(address, packet)
