"""Gossip protocol for membership: dissemination, failure detection and comparison over one socket.

A node that receives an update passes it on at once to a few peers, each of which does the same.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

import structlog

from foxtailproxy.comparison import DIGEST_INTERVAL_MS, Comparison
from foxtailproxy.failure_detector import PING_INTERVAL_MS, FailureDetector
from foxtailproxy.gossip_socket import GossipSocket
from foxtailproxy.membership import flaw_of
from foxtailproxy.models.messages import (
    CrashReport,
    GossipPacket,
    MemberRecord,
    MemberState,
    PacketKind,
)

if TYPE_CHECKING:
    import random

    from twisted.internet.task import LoopingCall

    from foxtailproxy.clock import Clock
    from foxtailproxy.gossip_socket import Address
    from foxtailproxy.membership import MemberTable
    from foxtailproxy.traffic_budget import TrafficBudget

log = structlog.get_logger()

MS_PER_SECOND = 1000

UNUSABLE_LOG_INTERVAL_MS = 1000
"""Shortest interval between two log lines on records of peers that cannot be used."""

PUSH_DELAY_MS = 20
"""Delay before a push, in which updates are collected."""

LOCAL_FANOUT = 3
"""Peers in the local data centre that receive each push."""

NEWS_CROSSINGS = 1
VERDICT_CROSSINGS = 3
"""Mean number of nodes of a data centre that push an update to each other data centre."""

PUSH_ROUNDS = 2
"""Pushes in which a node includes each update."""

CONFIG_PUSH_ROUNDS = 3
"""Pushes in which a node announces a new configuration: a node that all of them miss hears of it
from a ping, up to a second later."""

RECORDS_PER_PUSH = 6
"""Maximum number of records in one packet of a push, which fits into one datagram."""

RELAYED_RECORDS_PER_S = 4
MAX_RELAYED_RECORDS = 12
"""Changed records of peers that a node passes on by pushes, per second and at once; a new process
begins with none. If more change, as after a start of many nodes, comparisons send each record to
each node about once, where pushes would send it several times."""


class GossipListener(Protocol):
    """Receiver of the crash reports, configuration versions and losses that peers send."""

    def crash_report_received(self, report: CrashReport) -> bool:
        """Record a crash report from a peer; return whether it was new."""

    def crash_reports(self) -> list[CrashReport]:
        """Return the newest crash reports that this node holds."""

    def config_version_received(self, generation: int, change: str, member: MemberRecord) -> None:
        """Handle the configuration version that a peer announces."""

    def config_version(self) -> tuple[int, str]:
        """Return the generation and change id of the current configuration."""

    def store_state_received(self, lost: bool, member: MemberRecord) -> None:
        """Handle what a peer tells of its watch: whether it has lost the store."""

    def store_lost(self) -> bool:
        """Return whether this node watches the store in vain."""


class Gossip:
    """One participant in the membership protocol."""

    def __init__(
        self,
        clock: Clock,
        table: MemberTable,
        listener: GossipListener,
        rng: random.Random,
        budget: TrafficBudget,
        paid_budget: TrafficBudget,
    ) -> None:
        self.socket = GossipSocket(
            clock,
            table,
            budget,
            paid_budget,
            listener.config_version,
            listener.store_lost,
            self._handle_packet,
        )
        self.detector = FailureDetector(clock, table, self.socket, rng, self.disseminate)
        self.comparison = Comparison(table, self.socket, rng, listener.crash_reports)
        self._clock = clock
        self._table = table
        self._listener = listener
        self._rng = rng
        self._rounds_left_by_id: dict[str, int] = {}
        self._pending_crashes: dict[str, CrashReport] = {}
        self._push_scheduled = False
        self._has_new_update = False
        self._config_rounds_left = 0
        self._relays_left = 0.0
        self._relays_left_ms = clock.now_ms()
        self._unusable_unlogged = 0
        self._unusable_logged_ms = -math.inf
        self._loops: list[LoopingCall] = []

    def start(self) -> None:
        """Start the periodic pings and comparisons."""
        pings = self._clock.repeat(PING_INTERVAL_MS, self.detector.ping_next)
        comparisons = self._clock.repeat(DIGEST_INTERVAL_MS, self.comparison.compare_if_due)
        self._loops = [pings, comparisons]

    def close(self) -> None:
        """Stop the timers."""
        for loop in self._loops:
            loop.stop()
        self._loops = []

    # Dissemination

    def disseminate(self, record: MemberRecord) -> None:
        """Schedule a push of a record to a few peers."""
        self._rounds_left_by_id[record.node_id] = PUSH_ROUNDS
        self._schedule_push(True)

    def _relay(self, record: MemberRecord) -> None:
        """Push the changed record of a peer, unless too many change: comparisons do it then."""
        now_ms = self._clock.now_ms()
        refill = (now_ms - self._relays_left_ms) * RELAYED_RECORDS_PER_S / MS_PER_SECOND
        self._relays_left = min(MAX_RELAYED_RECORDS, self._relays_left + refill)
        self._relays_left_ms = now_ms
        if record.state is MemberState.alive and self._relays_left < 1:
            self.comparison.expect_differences()
            return
        self._relays_left -= 1
        self.disseminate(record)

    def disseminate_crash(self, report: CrashReport) -> None:
        """Schedule a push of a crash report to a few peers; comparisons repeat it soon."""
        self._pending_crashes[report.fingerprint] = report
        self.comparison.expect_differences()
        self._schedule_push(True)

    def disseminate_config(self) -> None:
        """Schedule pushes that announce the configuration version to a few peers."""
        self._config_rounds_left = CONFIG_PUSH_ROUNDS
        self._schedule_push(True)

    def send_state(self, members: list[MemberRecord]) -> None:
        """Send a few peers at once what each packet carries: the version, and a lost store.

        Without the store, a node of another data centre is asked as well, which may know more.
        """
        for member in members:
            self.socket.send(member, self.socket.build_packet(PacketKind.push))
        if self._listener.store_lost():
            self._ask_far_peer()

    def _ask_far_peer(self) -> None:
        """Ping a node of another data centre, whose answer tells what it knows."""
        data_center = self._table.local_record.data_center
        far_peers = [peer for peer in self._table.live_peers() if peer.data_center != data_center]
        if far_peers:
            packet = self.socket.build_packet(PacketKind.ping, self.socket.next_sequence())
            self.socket.send(self._rng.choice(far_peers), packet)

    def _schedule_push(self, has_new_update: bool) -> None:
        self._has_new_update = self._has_new_update or has_new_update
        if not self._push_scheduled:
            self._push_scheduled = True
            self._clock.call_later(PUSH_DELAY_MS, self._push)

    def _push(self) -> None:
        self._push_scheduled = False
        crashes, self._pending_crashes = list(self._pending_crashes.values()), {}
        has_config_news = self._config_rounds_left > 0
        pending = [
            self._table.by_id[node_id]
            for node_id in self._rounds_left_by_id
            if node_id in self._table.by_id
        ]
        verdicts = [record for record in pending if record.state is not MemberState.alive]
        others = [record for record in pending if record.state is MemberState.alive]
        crossings = VERDICT_CROSSINGS if verdicts or crashes else NEWS_CROSSINGS
        for member in self._choose_push_peers(crossings):
            # Separate packets, since the budget treats each purpose differently.
            if has_config_news:
                self.socket.send(member, self.socket.build_packet(PacketKind.push))
            self._push_records(member, verdicts, crashes)
            self._push_records(member, others, [])
        self._finish_round(others)

    def _finish_round(self, others: list[MemberRecord]) -> None:
        """Count a push, and schedule the next one for records that need another.

        `others` are the records of it that are no verdicts.
        """
        if self.socket.budget.tokens() < 0:
            # Comparisons send what is missing with fewer bytes than further pushes.
            for record in others:
                self._rounds_left_by_id[record.node_id] = 1
        self._rounds_left_by_id = {
            node_id: rounds_left - 1
            for node_id, rounds_left in self._rounds_left_by_id.items()
            if rounds_left > 1
        }
        self._config_rounds_left = max(0, self._config_rounds_left - 1)
        if self._rounds_left_by_id or self._config_rounds_left:
            self._schedule_push(False)

    def _choose_push_peers(self, crossings: int) -> list[MemberRecord]:
        """Choose the peers that receive a push.

        An update of the local record goes to each data centre once. That of a peer goes from each
        data centre to each other one about `crossings` times.
        """
        is_local_update = (
            self._rounds_left_by_id.get(self._table.local_record.node_id) == PUSH_ROUNDS
        )
        has_new_update, self._has_new_update = self._has_new_update, False
        by_data_center: dict[str, list[MemberRecord]] = {}
        for record in self._table.live_peers():
            by_data_center.setdefault(record.data_center, []).append(record)
        local_peers = by_data_center.pop(self._table.local_record.data_center, [])
        chosen = self._rng.sample(local_peers, min(len(local_peers), LOCAL_FANOUT))
        for records in by_data_center.values() if has_new_update else ():
            if is_local_update or self._rng.random() < crossings / (len(local_peers) + 1):
                chosen.append(self._rng.choice(records))
        return chosen

    def _push_records(
        self, member: MemberRecord, records: list[MemberRecord], crashes: list[CrashReport]
    ) -> None:
        packet_count = math.ceil(len(records) / RECORDS_PER_PUSH) or bool(crashes)
        for number in range(packet_count):
            batch = records[number * RECORDS_PER_PUSH :][:RECORDS_PER_PUSH]
            packet = self.socket.build_packet(PacketKind.push, members=batch, crashes=crashes)
            if not self.socket.send(member, packet):
                self.comparison.expect_differences()
            crashes = []

    # Packets from peers

    def _handle_packet(self, packet: GossipPacket, address: Address) -> None:
        self._merge_updates(packet)
        sender = self._table.by_id.get(packet.sender)
        if sender is not None:
            self._listener.config_version_received(
                packet.config_generation, packet.config_change, sender
            )
            self._listener.store_state_received(packet.store_lost, sender)
        if packet.kind is PacketKind.ping:
            self.detector.handle_ping(packet, address)
        elif packet.kind is PacketKind.ack:
            self.detector.handle_ack(packet)
        elif packet.kind is PacketKind.ping_request:
            self.detector.handle_ping_request(packet, address)
        elif packet.kind is PacketKind.digest:
            self.comparison.handle_digest(packet, address)
        elif packet.kind is PacketKind.fingerprints:
            self.comparison.handle_fingerprints(packet, address)
        elif packet.kind is PacketKind.request:
            self.comparison.handle_request(packet, address)

    def _merge_updates(self, packet: GossipPacket) -> None:
        for record in packet.members:
            flaw = flaw_of(record)
            if flaw:
                self._record_unusable(record, flaw)
            elif self._table.merge(record) and packet.kind is not PacketKind.records:
                self._relay(record)
        for report in packet.crashes:
            if self._listener.crash_report_received(report):
                self.disseminate_crash(report)

    def _record_unusable(self, record: MemberRecord, flaw: str) -> None:
        """Log at intervals that peers sent records that cannot be used, with the latest one."""
        self._unusable_unlogged += 1
        now_ms = self._clock.now_ms()
        if now_ms - self._unusable_logged_ms < UNUSABLE_LOG_INTERVAL_MS:
            return
        log.warning(
            "member_unusable", member=record.node_id, flaw=flaw, count=self._unusable_unlogged
        )
        self._unusable_unlogged = 0
        self._unusable_logged_ms = now_ms
