"""Anti-entropy between two nodes: each gets the member records that it lacks.

1. A node sends a digest: the hash of its records of each data centre.
2. The peer answers with the fingerprints of its records of the data centres whose hashes differ.
3. The node sends the records that the peer lacks, and requests those that it lacks itself.
4. The peer sends the requested records.
"""

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

DIGEST_INTERVAL_MS = 250
"""Shortest interval between two comparisons with a peer, in milliseconds."""

INTERVALS_AT_REST = 20
"""Number of these intervals between two comparisons while no records differ."""

DEAD_PEER_SHARE = 0.2
"""Share of the comparisons that go to nodes declared dead, which may be alive after a network
partition has healed."""

CATCH_UP_PEERS = 1
"""Peers with which a new process compares at once."""

CATCH_UP_CROSSINGS = 4
"""Mean number of new processes of a data centre, if all start at once, that compare with another
region; the others get its records from them."""

RECORDS_PER_PACKET = 24
"""Maximum number of records in one packet, which fits into one datagram when it is compressed."""

MAX_FINGERPRINTS = 240
"""Maximum number of fingerprints in one packet, which fits into one datagram. The data centres that
do not fit are compared another time."""


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
        self._intervals_between_comparisons = 1
        self._intervals_since_comparison = 0

    def expect_differences(self) -> None:
        """Compare soon: records differ, or the budget did not allow a packet with records."""
        self._intervals_between_comparisons = 1

    def compare_if_due(self) -> None:
        """Start a comparison with a random node if it is time for one.

        The time doubles with each comparison, up to that at rest, until records differ again.
        """
        self._intervals_since_comparison += 1
        if self._intervals_since_comparison >= self._intervals_between_comparisons:
            self._intervals_since_comparison = 0
            self._intervals_between_comparisons = min(
                INTERVALS_AT_REST, 2 * self._intervals_between_comparisons
            )
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
        cross_region = remote_peers and self._is_chosen_for_other_region(region_peers, 1)
        chosen = remote_peers if cross_region else region_peers or remote_peers
        if chosen:
            self.start_comparison(self._rng.choice(chosen))

    def _is_chosen_for_other_region(self, region_peers: list[MemberRecord], mean: float) -> bool:
        """Draw whether this node compares with another region; `mean` nodes of a data centre do."""
        local = self._table.local_record
        size = sum(1 for peer in region_peers if peer.data_center == local.data_center) + 1
        return self._rng.random() < mean / size

    def start_comparison(self, member: MemberRecord) -> None:
        """Start a comparison with a member."""
        self._socket.send(member, self.digest_packet())

    def catch_up(self) -> None:
        """Start comparisons with a few peers; a new process has only registered records."""
        local = self._table.local_record
        peers = self._table.live_peers()
        region_peers = [peer for peer in peers if peer.region == local.region]
        local_peers = [peer for peer in region_peers if peer.data_center == local.data_center]
        nearest_peers = local_peers or region_peers
        for member in self._rng.sample(nearest_peers, min(CATCH_UP_PEERS, len(nearest_peers))):
            self.start_comparison(member)
        remote_peers = [peer for peer in peers if peer.region != local.region]
        if remote_peers and self._is_chosen_for_other_region(region_peers, CATCH_UP_CROSSINGS):
            self.start_comparison(self._rng.choice(remote_peers))

    def compare_with_address(self, address: Address) -> None:
        """Start a comparison with a node of which only the address is known."""
        packet = self.digest_packet()
        packet.members = [self._table.local_record]
        self._socket.send_to_address(address, packet)

    def digest_packet(self) -> GossipPacket:
        """Return the first packet of a comparison, with the hash of each data centre."""
        return self._socket.build_packet(
            PacketKind.digest,
            data_center_hashes=self._table.data_center_hashes(),
            crashes=self._crash_reports(),
        )

    def handle_digest(self, packet: GossipPacket, address: Address) -> None:
        """Answer a digest with the fingerprints of the data centres whose hashes differ.

        A digest of the previous release with the ranks of a data centre is ignored.
        """
        if packet.subject:
            return
        data_centers = self._differing_data_centers(packet.data_center_hashes)
        if data_centers:
            self.expect_differences()
            fingerprints = self._table.fingerprints(data_centers)
            answer = self._socket.build_packet(
                PacketKind.fingerprints, data_centers=data_centers, fingerprints=fingerprints
            )
            self._socket.send_to_address(address, answer)

    def _differing_data_centers(self, peer_hashes: dict[str, int]) -> list[str]:
        """Return data centres with differing records, the local one first, the rest at random.

        There are as many as one packet with fingerprints can cover.
        """
        local_hashes = self._table.data_center_hashes()
        differing = [
            data_center
            for data_center in sorted(local_hashes.keys() | peer_hashes.keys())
            if local_hashes.get(data_center) != peer_hashes.get(data_center)
        ]
        self._rng.shuffle(differing)
        differing.sort(key=lambda name: name != self._table.local_record.data_center)
        counts = self._table.record_counts()
        covered: list[str] = []
        room = MAX_FINGERPRINTS
        for data_center in differing:
            room -= counts[data_center]
            if covered and room < 0:
                break
            covered.append(data_center)
        return covered

    def handle_fingerprints(self, packet: GossipPacket, address: Address) -> None:
        """Send the records that the peer lacks, and request those that this node lacks."""
        self.expect_differences()
        wanted = self._table.unknown_fingerprints(packet.fingerprints)
        if wanted:
            request = self._socket.build_packet(PacketKind.request, fingerprints=wanted)
            self._socket.send_to_address(address, request)
        absent = self._table.records_absent_from(packet.fingerprints, packet.data_centers)
        self._send_records(absent, address)

    def handle_request(self, packet: GossipPacket, address: Address) -> None:
        """Send the records that a peer requests."""
        self._send_records(self._table.records_with(packet.fingerprints), address)

    def _send_records(self, records: list[MemberRecord], address: Address) -> None:
        """Send records in random order, so that peers that get a part each get another one."""
        self._rng.shuffle(records)
        for start in range(0, len(records), RECORDS_PER_PACKET):
            batch = records[start : start + RECORDS_PER_PACKET]
            packet = self._socket.build_packet(PacketKind.records, members=batch)
            if not self._socket.send_to_address(address, packet):
                return
