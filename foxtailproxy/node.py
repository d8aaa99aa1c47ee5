"""One node: puts the parts together, starts them and closes them."""

from __future__ import annotations

import gc
import random
import time
from typing import TYPE_CHECKING, Any

import msgspec
import structlog
from twisted.internet.defer import DeferredList, ensureDeferred, maybeDeferred

from foxtailproxy.call import new_id
from foxtailproxy.claims import Claims
from foxtailproxy.clock import Clock
from foxtailproxy.config_sync import ConfigSync
from foxtailproxy.entry import Entry
from foxtailproxy.gossip import Gossip
from foxtailproxy.http.server import ServerFactory, ServerLimits
from foxtailproxy.lifecycle import LifecycleCore, build_lifecycle
from foxtailproxy.membership import MemberTable
from foxtailproxy.metrics import Metrics
from foxtailproxy.models.messages import CrashReport, MemberRecord, MemberState
from foxtailproxy.models.rules import FleetRule
from foxtailproxy.peer_client import PeerClient
from foxtailproxy.peer_server import PeerServer
from foxtailproxy.platform_client import PlatformClient
from foxtailproxy.quarantine import Quarantine
from foxtailproxy.routing import Router
from foxtailproxy.target import Target
from foxtailproxy.token_bucket import TokenBucket

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.internet.task import LoopingCall

    from foxtailproxy.call import Call
    from foxtailproxy.config.rules import RuleBook
    from foxtailproxy.models.settings import NodeSettings

log = structlog.get_logger()

MEMBER_PREFIX = "members/"

REFRESH_MS = 60_000
"""Time between two writes of the node's own record to the platform."""

BOOT_ID_LENGTH = 12

REFRESH_JITTER = 0.2

REGISTER_RETRY_MS = 1_000

DRAIN_CHECK_MS = 50

CRASH_REPORTS = 8
"""Crash reports sent along with a comparison."""


class Node:
    """The daemon beside one upstream."""

    def __init__(self, reactor: Any, settings: NodeSettings, seed: int | None = None) -> None:
        self.settings = settings
        self.clock = Clock(reactor)
        self.core = LifecycleCore()
        self.lifecycle = build_lifecycle(self.core)
        self.metrics = Metrics()
        self.quarantine = Quarantine(self.clock)
        self._reactor = reactor
        self._ports: list[Any] = []
        self._loops: list[LoopingCall] = []
        self._caller_port: Any = None
        self._stopped: list[Any] = []
        self._registered = False
        self._drain_started_ms = 0.0
        rng = random.Random(seed)
        self._rng = rng
        self._build(reactor, rng)

    def _build(self, reactor: Any, rng: random.Random) -> None:
        limits = self.settings.limits
        fleet = FleetRule()
        clock = self.clock
        self.table = MemberTable(clock, self._own_record(), self._member_changed, self._spread_me)
        self.paid_calls = TokenBucket(clock, fleet.paid_call_bytes_per_s)
        self.target = Target(clock, reactor, self)
        self.router = Router(
            clock,
            self.table.me.node_id,
            self.table.me.region,
            self.target,
            self.paid_calls.spend,
            rng,
        )
        self.peers = PeerClient(clock, reactor, limits, self.router.observe)
        self.platform = PlatformClient(reactor, self.settings.platform)
        self.config = ConfigSync(
            clock, self.platform, self.peers, self.table, rng, self._config_adopted
        )
        self.gossip = Gossip(
            clock,
            self.table,
            self,
            rng,
            TokenBucket(clock, fleet.measure_bytes_per_s),
            TokenBucket(clock, fleet.paid_measure_bytes_per_s),
        )
        self.claims = Claims(clock, limits, self.platform, self.peers, self.table.me)
        self.entry = Entry(
            clock,
            limits,
            self.config,
            self.target,
            self.router,
            self.peers,
            self.claims,
            self.quarantine,
            self.metrics,
            self.settings.node.log_calls,
        )
        self.peer_server = PeerServer(clock, limits, self.target, self.config, self.claims.runs)
        bounds = ServerLimits(
            limits.header_bytes, limits.body_bytes, limits.header_time_ms, limits.idle_time_ms
        )
        self._caller_factory = ServerFactory(self.entry.handle, bounds, clock)
        self._peer_factory = ServerFactory(self.peer_server.handle, bounds, clock)

    def _own_record(self) -> MemberRecord:
        node = self.settings.node
        return MemberRecord(
            node_id=node.node_id,
            # Later starts must outrank earlier ones, which left no state behind.
            incarnation=time.time_ns() // 1_000_000,
            state=MemberState.alive,
            region=node.region,
            data_center=node.data_center,
            address=node.address,
            peer_port=node.peer_port,
            gossip_port=node.gossip_port,
            admin_port=node.admin_port,
            boot_id=new_id()[:BOOT_ID_LENGTH],
        )

    # Starting and closing

    def start(self) -> None:
        """Open all sockets and join the other nodes. Raises `CannotListenError`."""
        from foxtailproxy.admin import AdminSite

        node = self.settings.node
        listen = self._reactor.listenTCP
        self._ports = [
            listen(node.peer_port, self._peer_factory, interface=node.address),
            listen(node.admin_port, AdminSite(self).site(), interface=node.address),
            self._reactor.listenUDP(node.gossip_port, self.gossip.socket, interface=node.address),
        ]
        self._caller_port = listen(node.caller_port, self._caller_factory, interface=node.address)
        self.target.start()
        self.peers.start()
        self.peer_server.start()
        self.gossip.start()
        self._caller_factory.start()
        self._peer_factory.start()
        self._loops.append(self.clock.repeat(1000, self.claims.runs.sweep))
        self.lifecycle.started()
        ensureDeferred(self._join())  # type: ignore[arg-type]
        gc.collect()
        gc.freeze()

    async def _join(self) -> None:
        """Learn of the other nodes and the configuration, from the platform or from peers."""
        while self.core.name == "serving":
            self._compare_with_seeds()
            # Registered first, so that of two nodes that start at once one sees the other.
            await self._register()
            listing = await self.platform.list_objects(MEMBER_PREFIX)
            if listing.is_ok() and await self.config.read_platform():
                for stored in listing.ok.objects:
                    self._take_registered(stored.value)
                break
            log.warning("platform_unreachable", retry_ms=REGISTER_RETRY_MS)
            await self.clock.sleep(REGISTER_RETRY_MS)
        self.config.start()
        self._spread_me()
        await self._keep_registered()

    def _compare_with_seeds(self) -> None:
        for address in self.settings.peers.seeds:
            host, _, port = address.rpartition(":")
            self.gossip.comparison.compare_with_address((host, int(port)))

    def _take_registered(self, value: str) -> None:
        try:
            self.table.merge(msgspec.json.decode(value, type=MemberRecord))
        except msgspec.MsgspecError:
            log.warning("member_malformed")

    async def _keep_registered(self) -> None:
        registered = True
        while self.core.name == "serving":
            jitter = 1 + REFRESH_JITTER * (2 * self._rng.random() - 1)
            await self.clock.sleep((REFRESH_MS if registered else REGISTER_RETRY_MS) * jitter)
            if self.core.name == "serving":
                registered = await self._register()

    async def _register(self) -> bool:
        """Write this node's record to the platform; returns whether it was accepted."""
        self._registered = True
        value = msgspec.json.encode(self.table.me).decode()
        written = await self.platform.put(MEMBER_PREFIX + self.table.me.node_id, value)
        return written.is_ok()

    def drain(self) -> Deferred[None]:
        """Take no new work, finish what runs, then close; fires once closed."""
        if self.core.name in ("draining", "closed"):
            return self.core.closed
        self.lifecycle.drain()
        self._drain_started_ms = self.clock.now_ms()
        self.target.leave()
        self._spread_me(state=MemberState.leaving)
        self._caller_factory.close_after_answers()
        if self._registered:
            name = MEMBER_PREFIX + self.table.me.node_id
            ensureDeferred(self.platform.delete(name, None))  # type: ignore[arg-type]
        self.clock.call_later(self.settings.limits.leaving_notice_ms, self._stop_accepting)
        return self.core.closed

    def _stop_accepting(self) -> None:
        self._stopped = [maybeDeferred(self._caller_port.stopListening)]
        self._caller_factory.close_idle()
        self._close_when_drained()

    def _close_when_drained(self) -> None:
        waited = self.clock.now_ms() - self._drain_started_ms
        if not self._idle() and waited < self.settings.limits.drain_ms:
            self.clock.call_later(DRAIN_CHECK_MS, self._close_when_drained)
            return
        if not self._idle():
            log.error("drain_timeout", pending=self.entry.pending)
        ensureDeferred(self._close())  # type: ignore[arg-type]

    def _idle(self) -> bool:
        responding = any(c.busy for c in self._caller_factory.connections)
        return (
            not responding
            and self.entry.pending == 0
            and self.peer_server.idle
            and self.target.admission.idle
            and not any(c.busy for c in self._peer_factory.connections)
        )

    async def _close(self) -> None:
        for loop in self._loops:
            loop.stop()
        self._spread_me(state=MemberState.dead)
        await self.clock.sleep(DRAIN_CHECK_MS)
        self.config.close()
        self.gossip.close()
        self.peer_server.close()
        self._peer_factory.close_idle()
        self._stopped += [maybeDeferred(port.stopListening) for port in self._ports]
        await DeferredList(self._stopped)
        self._caller_factory.close()
        self._peer_factory.close()
        self.peers.close()
        self.target.close()
        await self.platform.close()
        self.lifecycle.drained()

    # What the parts tell the node

    def target_changed(self) -> None:
        """The upstream appeared, went down, or leaves: tell the other nodes."""
        announcement = self.target.announcement
        serving = self.target.serving
        self._spread_me(
            service=announcement.service if announcement and serving else "",
            slots=announcement.slots if announcement and serving else 0,
        )

    def target_crashed(self, calls: list[Call]) -> None:
        """The upstream died while it ran `calls`: find out which of them did it."""
        suspects = [call for call in calls if call.crashed_upstreams]
        instance = self.target.announcement.instance if self.target.announcement else ""
        name = f"{self.table.me.node_id}.{instance}"
        for call in suspects or calls:
            if self.quarantine.harmless(call) and not call.crashed_upstreams:
                continue
            if self.quarantine.report(call.fingerprint, [name]):
                log.warning("request_suspect", fingerprint=call.fingerprint, upstream=name)
                upstreams = self.quarantine.crashed_upstreams(call)
                self.gossip.spread_crash(CrashReport(call.fingerprint, upstreams))

    def call_completed(self, call: Call) -> None:
        """The upstream answered a call, which is therefore harmless."""
        self.quarantine.completed(call)

    def crash_reported(self, report: CrashReport) -> bool:
        """Another node tells of a request that crashed upstreams."""
        return self.quarantine.report(report.fingerprint, report.upstreams)

    def crash_reports(self) -> list[CrashReport]:
        """The newest reports, for nodes that missed them."""
        newest = list(self.quarantine.by_fingerprint.values())[-CRASH_REPORTS:]
        return [CrashReport(suspect.fingerprint, suspect.upstreams) for suspect in newest]

    def config_seen(self, generation: int, change: str, member: MemberRecord) -> None:
        """Another node tells of its configuration."""
        self.config.seen(generation, change, member)

    def config_mark(self) -> tuple[int, str]:
        """Generation and change of the configuration in force."""
        return self.config.mark()

    def _config_adopted(self, book: RuleBook) -> None:
        self.paid_calls.set_rate(book.fleet.paid_call_bytes_per_s)
        self.gossip.socket.budget.set_rate(book.fleet.measure_bytes_per_s)
        self.gossip.socket.paid_budget.set_rate(book.fleet.paid_measure_bytes_per_s)
        self.gossip.spread_config()

    def _member_changed(self, record: MemberRecord) -> None:
        self.router.member_changed(record)
        if record.state is MemberState.dead:
            self.peers.forget(record)

    def _spread_me(self, **changes: object) -> None:
        if changes:
            self.table.update_me(**changes)
        self.gossip.spread(self.table.me)
