"""UDP socket of membership, load queries and allowances, which keeps to the byte budgets."""

from __future__ import annotations

import math
import zlib
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
import structlog
from msgspec.structs import replace
from twisted.internet.error import MessageLengthError
from twisted.internet.protocol import DatagramProtocol

from foxtailproxy.customers.allowance_exchange import ALLOWANCE_MARKS
from foxtailproxy.customers.freshness import FRESHNESS_MARK
from foxtailproxy.customers.region_shares import DEMAND_MARK
from foxtailproxy.load_exchange import LOAD_MARKS
from foxtailproxy.models.messages import ExtendedPacket, GossipPacket, MemberState, PacketKind
from foxtailproxy.traffic_budget import Purpose, TrafficBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.clock import Clock
    from foxtailproxy.membership import MemberTable
    from foxtailproxy.models.messages import MemberRecord

    Address = tuple[str, int]

log = structlog.get_logger()

PACKET_OVERHEAD_BYTES = 28
"""Size of the IP and UDP headers of a datagram."""

COMPRESSED_KINDS = frozenset((PacketKind.records, PacketKind.request, PacketKind.fingerprints))
"""Kinds of packets that are compressed: records of one data centre have most of their text in
common. The other kinds are not, so that nodes of the previous release can read them."""

COMPRESSED_MARK = b"\x78"
"""First byte of a zlib stream; an encoded packet, a MessagePack array, never begins with it."""

MAX_PACKET_BYTES = 65_536
"""Largest size of a packet after decompression, in bytes."""

DETECTION_KINDS = frozenset((PacketKind.ping, PacketKind.ack, PacketKind.ping_request))

UNSENT_LOG_INTERVAL_MS = 1000
"""Shortest interval between two log lines on datagrams that could not be sent."""

SKIPPED_LOG_INTERVAL_MS = 1000
"""Shortest interval between two log lines on packets that the budgets did not allow."""


def compress(data: bytes) -> bytes:
    """Return an encoded packet compressed, or as it is if that does not make it smaller."""
    return min(zlib.compress(data), data, key=len)


def decompress(datagram: bytes) -> bytes:
    """Return the encoded packet in a datagram. Raises `zlib.error` if it is damaged or too long."""
    if not datagram.startswith(COMPRESSED_MARK):
        return datagram
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(datagram, MAX_PACKET_BYTES)
    if not decompressor.eof:
        raise zlib.error("incomplete or too large")
    return data


def purpose_of(packet: GossipPacket) -> Purpose:
    """Return the purpose of a packet, which decides how much of the budget it may use up."""
    if packet.kind in DETECTION_KINDS:
        return Purpose.detection
    if packet.kind is not PacketKind.push:
        return Purpose.comparison
    if not packet.members:
        return Purpose.configuration
    if any(record.state is MemberState.alive for record in packet.members):
        return Purpose.records
    return Purpose.verdict


class PacketExtension(Protocol):
    """Adds what is to be told beside the packet's own content, and receives it from peers."""

    def extend(self, packet: GossipPacket) -> GossipPacket:
        """Return a packet with further fields, or as it is if there is nothing to tell."""

    def packet_received(self, packet: ExtendedPacket) -> None:
        """Handle the further fields of a peer's packet."""


@dataclass(slots=True)
class TrafficCounters:
    """Packets and bytes at the socket, with IP and UDP headers; `paid` counts between regions."""

    sent_packets: int = 0
    sent_bytes: int = 0
    paid_sent_bytes: int = 0
    received_packets: int = 0
    received_bytes: int = 0
    skipped_packets: int = 0


class GossipSocket(DatagramProtocol):
    """Datagram protocol that encodes and decodes gossip packets.

    `config_version` returns the generation and change id that each packet announces, `store_lost`
    whether this node watches the store in vain; `on_packet` is called with each packet from a peer
    and its source address.
    """

    noisy = False
    transport: Any = None

    def __init__(
        self,
        clock: Clock,
        table: MemberTable,
        budget: TrafficBudget,
        paid_budget: TrafficBudget,
        config_version: Callable[[], tuple[int, str]],
        store_lost: Callable[[], bool],
        on_packet: Callable[[GossipPacket, Address], None],
    ) -> None:
        self.counters = TrafficCounters()
        self.sent_by_kind: Counter[PacketKind] = Counter()
        self.skipped_by_kind: Counter[PacketKind] = Counter()
        self.budget = budget
        self.paid_budget = paid_budget
        self.last_received_ms = 0.0
        self.on_load_datagram: Callable[[bytes, Address], None] | None = None
        self.on_freshness_datagram: Callable[[bytes, Address], None] | None = None
        self.extension: PacketExtension | None = None
        self.on_allowance_datagram: Callable[[bytes, Address], None] | None = None
        self._clock = clock
        self._table = table
        self._config_version = config_version
        self._store_lost = store_lost
        self._on_packet = on_packet
        self._sequence = 0
        self._skipped_unlogged: Counter[PacketKind] = Counter()
        self._skipped_logged_ms = clock.now_ms()
        self._unsent_unlogged = 0
        self._unsent_logged_ms = -math.inf
        self._decoder = msgspec.msgpack.Decoder(ExtendedPacket)
        self._encoder = msgspec.msgpack.Encoder()

    def build_packet(self, kind: PacketKind, sequence: int = 0, **fields: Any) -> GossipPacket:
        """Return a packet with this node as the sender."""
        return GossipPacket(kind, self._table.local_record.node_id, sequence, **fields)

    def next_sequence(self) -> int:
        """Return a sequence number that this process has not used before."""
        self._sequence += 1
        return self._sequence

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Decode a datagram and pass on the packet of a peer."""
        self.counters.received_packets += 1
        self.counters.received_bytes += len(datagram) + PACKET_OVERHEAD_BYTES
        if datagram.startswith(LOAD_MARKS):
            if self.on_load_datagram is not None:
                self.on_load_datagram(datagram, (addr[0], addr[1]))
            return
        if datagram.startswith(FRESHNESS_MARK):
            if self.on_freshness_datagram is not None:
                self.on_freshness_datagram(datagram, (addr[0], addr[1]))
            return
        if datagram.startswith((*ALLOWANCE_MARKS, DEMAND_MARK)):
            if self.on_allowance_datagram is not None:
                self.on_allowance_datagram(datagram, (addr[0], addr[1]))
            return
        try:
            packet = self._decoder.decode(decompress(datagram))
        except (msgspec.MsgspecError, zlib.error):
            log.warning("gossip_malformed", sender=addr[0])
            return
        if packet.sender != self._table.local_record.node_id:
            self.last_received_ms = self._clock.now_ms()
            if self.extension is not None:
                self.extension.packet_received(packet)
            self._on_packet(packet, (addr[0], addr[1]))

    def send(self, member: MemberRecord, packet: GossipPacket) -> bool:
        """Send a packet to a node; return `False` if the budget does not allow it."""
        paid = member.region != self._table.local_record.region
        return self._send_within_budget((member.address, member.gossip_port), packet, paid)

    def send_to_address(self, address: Address, packet: GossipPacket) -> bool:
        """Send a packet to an address; return `False` if the budget does not allow it."""
        return self._send_within_budget(address, packet, self._is_cross_region(address))

    def _send_within_budget(self, address: Address, packet: GossipPacket, paid: bool) -> bool:
        if self.transport is None:
            return False
        generation, change = self._config_version()
        packet = replace(
            packet,
            config_generation=generation,
            config_change=change,
            store_lost=self._store_lost(),
        )
        data = self._encoder.encode(
            packet if self.extension is None else self.extension.extend(packet)
        )
        if packet.kind in COMPRESSED_KINDS:
            data = compress(data)
        if not self._reserve(len(data) + PACKET_OVERHEAD_BYTES, packet, paid):
            self._record_skipped(packet.kind)
            return False
        self.sent_by_kind[packet.kind] += 1
        self._write(data, address, paid)
        return True

    def send_datagram(self, purpose: Purpose, data: bytes, address: Address) -> bool:
        """Send a datagram that is no packet; return `False` if the budget does not allow it."""
        if self.transport is None:
            return False
        paid = self._is_cross_region(address)
        size = len(data) + PACKET_OVERHEAD_BYTES
        if not all(budget.try_consume(purpose, size) for budget in self._budgets(paid)):
            return False
        self._write(data, address, paid)
        return True

    def _write(self, data: bytes, address: Address, paid: bool) -> None:
        """Send a datagram; one that cannot be sent counts as lost on the way."""
        try:
            self.transport.write(data, address)
        except (OSError, ValueError, MessageLengthError) as error:
            self._record_unsent(address, error)
            return
        size = len(data) + PACKET_OVERHEAD_BYTES
        self.counters.sent_packets += 1
        self.counters.sent_bytes += size
        if paid:
            self.counters.paid_sent_bytes += size

    def _budgets(self, paid: bool) -> list[TrafficBudget]:
        return [self.paid_budget, self.budget] if paid else [self.budget]

    def _reserve(self, size: int, packet: GossipPacket, paid: bool) -> bool:
        """Charge the budgets with a packet; return whether they allow it."""
        budgets = self._budgets(paid)
        if packet.kind is PacketKind.push and packet.crashes:
            # The budgets limit measuring. Crash reports protect upstreams instead: they are sent
            # even if a budget is used up, and records wait until it has recovered.
            for budget in budgets:
                budget.consume(size)
            return True
        purpose = purpose_of(packet)
        if paid and packet.kind is PacketKind.digest:
            purpose = Purpose.paid_digest
        return all(budget.try_consume(purpose, size) for budget in budgets)

    def _record_unsent(self, address: Address, error: Exception) -> None:
        """Log at intervals that datagrams could not be sent, with the latest error."""
        self._unsent_unlogged += 1
        now_ms = self._clock.now_ms()
        if now_ms - self._unsent_logged_ms < UNSENT_LOG_INTERVAL_MS:
            return
        log.warning(
            "datagram_not_sent",
            address=address[0],
            port=address[1],
            error=repr(error),
            count=self._unsent_unlogged,
        )
        self._unsent_unlogged = 0
        self._unsent_logged_ms = now_ms

    def _record_skipped(self, kind: PacketKind) -> None:
        """Count a packet that was not sent, and log the counts by kind at intervals."""
        self.counters.skipped_packets += 1
        self.skipped_by_kind[kind] += 1
        self._skipped_unlogged[kind] += 1
        now_ms = self._clock.now_ms()
        if now_ms - self._skipped_logged_ms < SKIPPED_LOG_INTERVAL_MS:
            return
        log.warning(
            "gossip_budget_exceeded",
            tokens=self.budget.tokens(),
            paid_tokens=self.paid_budget.tokens(),
            since_ms=round(now_ms - self._skipped_logged_ms),
            **{f"skipped_{name}": count for name, count in self._skipped_unlogged.items()},
        )
        self._skipped_unlogged.clear()
        self._skipped_logged_ms = now_ms

    def _is_cross_region(self, address: Address) -> bool:
        local_region = self._table.local_record.region
        return self._table.region_by_endpoint.get(address, local_region) != local_region
