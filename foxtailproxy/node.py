"""One node: puts the parts together, starts them and closes them."""

from __future__ import annotations

import gc
import random
import time
from typing import TYPE_CHECKING, Any

import structlog
from msgspec.structs import replace
from twisted.internet.defer import DeferredList, ensureDeferred, maybeDeferred

from foxtailproxy.admin_port import AdminFactory
from foxtailproxy.call import new_id
from foxtailproxy.claims import Claims
from foxtailproxy.clock import Clock
from foxtailproxy.config.settings import split_address
from foxtailproxy.config_sync import ConfigSync, IniConfigSource
from foxtailproxy.dialect import OwnDialect
from foxtailproxy.dispatch import Dispatcher
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
from foxtailproxy.platform.configuration import PlatformConfigSource
from foxtailproxy.platform.dialect import PlatformDialect
from foxtailproxy.platform.store_client import StoreClient
from foxtailproxy.quarantine import Quarantine
from foxtailproxy.registration import Registration
from foxtailproxy.retry_budget import RetryBudgets, RetryLimits
from foxtailproxy.routing import Router
from foxtailproxy.target import Target
from foxtailproxy.token_bucket import TokenBucket

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.internet.task import LoopingCall

    from foxtailproxy.call import Call
    from foxtailproxy.config.rules import RuleBook
    from foxtailproxy.models.messages import Announcement
    from foxtailproxy.models.settings import NodeSettings

log = structlog.get_logger()

BOOT_ID_LENGTH = 12

DRAIN_CHECK_MS = 50

CATCH_UP_ROUNDS = 4
CATCH_UP_PAUSE_MS = 250
"""Comparisons that a new process begins in its first second, and the time between them; a datagram
may be lost, and others may have started at the same moment."""

MS_PER_SECOND = 1000

STOP_RESERVE_MS = 400
"""Time before the end of the grace period at which a shutdown no longer waits for calls."""

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
        self._platform_factories: list[ServerFactory] = []
        self._loops: list[LoopingCall] = []
        self._caller_port: Any = None
        self._stopped: list[Any] = []
        self._drain_started_ms = 0.0
        rng = random.Random(seed)
        self._build(reactor, rng)

    def _build(self, reactor: Any, rng: random.Random) -> None:
        limits = self.settings.limits
        fleet = FleetRule()
        clock = self.clock
        self.table = MemberTable(
            clock, self._own_record(), self._member_changed, self._spread_me, self._seen_before
        )
        self.paid_calls = TokenBucket(clock, fleet.paid_call_bytes_per_s)
        adapted = self.settings.platform.adapter
        upstream = self.settings.upstream
        dialect = PlatformDialect(self._own_service) if adapted else OwnDialect()
        self.target = Target(clock, reactor, self, dialect, upstream, self.settings.node.log_calls)
        self.router = Router(
            clock,
            self.table.local_record.node_id,
            self.table.local_record.region,
            self.table.local_record.data_center,
            self.target,
            self.paid_calls.try_consume,
            rng,
            self.settings.links,
        )
        self.peers = PeerClient(clock, reactor, limits, self.router.observe)
        self.store = StoreClient(reactor, self.settings.platform)
        self.registration = Registration(
            clock, self.store, self.table, rng, lambda: self.core.name == "serving"
        )
        self.config = ConfigSync(
            clock,
            self.store,
            self.peers,
            self.table,
            rng,
            self._config_adopted,
            PlatformConfigSource() if adapted else IniConfigSource(),
        )
        self.retries = RetryBudgets(
            clock, self._retry_limits(), lambda: len(self.table.live_peers()) + 1
        )
        self.gossip = Gossip(
            clock,
            self.table,
            self,
            rng,
            TokenBucket(clock, fleet.measure_bytes_per_s),
            TokenBucket(clock, fleet.paid_measure_bytes_per_s),
        )
        self.claims = Claims(clock, limits, self.store, self.peers, self.table.local_record)
        dispatcher = Dispatcher(
            clock,
            limits,
            self.target,
            self.router,
            self.peers,
            self.quarantine,
            self.retries,
            self.metrics,
            self.settings.node.log_calls,
        )
        self.entry = Entry(
            clock,
            limits,
            self.config,
            dispatcher,
            self.claims,
            self.metrics,
            dialect,
            self.settings.node.log_calls,
        )
        self.peer_server = PeerServer(
            clock,
            limits,
            self.target,
            self.config,
            self.claims.runs,
            self.table.local_record.boot_id,
        )
        bounds = ServerLimits(
            limits.header_bytes, limits.body_bytes, limits.header_time_ms, limits.idle_time_ms
        )
        self._caller_factory = ServerFactory(
            self.entry.handle, bounds, clock, self.entry.may_overlap
        )
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
            peer_port=node.advertised_peer_port or node.peer_port,
            gossip_port=node.gossip_port,
            admin_port=node.admin_port,
            boot_id=new_id()[:BOOT_ID_LENGTH],
        )

    # Starting and closing

    def start(self) -> None:
        """Open all sockets and join the other nodes. Raises `CannotListenError`."""
        node = self.settings.node
        listen = self._reactor.listenTCP
        self._ports = [
            listen(node.peer_port, self._peer_factory, interface=node.address),
            listen(node.admin_port, AdminFactory(self), interface=node.address),
            self._reactor.listenUDP(node.gossip_port, self.gossip.socket, interface=node.address),
        ]
        host, port = split_address(node.caller_address, node.address, node.caller_port)
        self._caller_port = listen(port, self._caller_factory, interface=host)
        self._listen_for_platform()
        self.gossip.start()
        self._loops.append(self.clock.repeat(1000, self.claims.runs.sweep))
        self.lifecycle.started()
        ensureDeferred(self._find_upstream())  # type: ignore[arg-type]
        ensureDeferred(self._join())  # type: ignore[arg-type]
        gc.collect()
        gc.freeze()

    def _listen_for_platform(self) -> None:
        """Open the ports for the platform's own calls, where the settings have them."""
        node = self.settings.node
        if not node.control_address and not node.ready_address:
            return
        from foxtailproxy.platform.instances import ControlHandler, ReadyHandler

        handlers = {
            node.control_address: ControlHandler(self).handle,
            node.ready_address: ReadyHandler(self.ready).handle,
        }
        for address, handle in handlers.items():
            if address:
                host, port = split_address(address)
                factory = ServerFactory(handle, self._caller_limits(FleetRule()), self.clock)
                self._platform_factories.append(factory)
                self._ports.append(self._reactor.listenTCP(port, factory, interface=host))

    def ready(self) -> bool:
        """Whether requests are served: a configuration is in force and the node is not stopping."""
        return self.core.name == "serving" and self.config.rule_book is not None

    def announcement_received(self, announcement: Announcement) -> None:
        """The upstream serves, or takes no new work."""
        book = self.config.rule_book
        if book is not None and announcement.service not in book.service_by_name:
            log.warning(
                "announcement_of_unknown_service",
                service=announcement.service,
                instance=announcement.instance,
                config=self.config.version()[0],
            )
            return
        if self.core.name == "serving" or announcement.leaving:
            self.target.receive_announcement(announcement)

    def leave_notice_received(self, instance: str, born_ms: int) -> None:
        """The upstream process takes no new work."""
        self.target.record_left_process(instance, born_ms)

    async def _find_upstream(self) -> None:
        """Look for an upstream that ran before this node started."""
        upstream = self.settings.upstream
        if upstream.address and upstream.service:
            host, port = split_address(upstream.address)
            self.target.health_check.path = upstream.health_path
            await self.target.discover(upstream.service, host, port)

    async def _join(self) -> None:
        """Learn of the other nodes and the configuration, from the store or from peers."""
        failures = 0
        while self.core.name == "serving":
            self._compare_with_seeds()
            if await self.registration.join():
                break
            failures += 1
            log.warning("platform_unreachable", failures=failures)
            await self.clock.sleep(self.registration.retry_delay_ms(failures))
        self._spread_me()
        self.config.start()
        for _ in range(CATCH_UP_ROUNDS):
            self.gossip.comparison.catch_up()
            await self.clock.sleep(CATCH_UP_PAUSE_MS)
        await self.registration.refresh_periodically()

    def _compare_with_seeds(self) -> None:
        for address in self.settings.peers.seeds:
            self.gossip.comparison.compare_with_address(split_address(address))

    def _seen_before(self, record: MemberRecord) -> None:
        """Somebody knows a record of an earlier process of this node."""
        if record.target_left and record.instance:
            self.target.record_left_process(record.instance, record.born_ms)

    def reload(self, settings: NodeSettings) -> None:
        """Take over the settings that may change while the node runs; the others are logged."""
        fixed = ("node", "platform")
        changed = [key for key in settings.__struct_fields__ if key not in fixed]
        changed = [key for key in changed if getattr(settings, key) != getattr(self.settings, key)]
        ignored = [key for key in fixed if getattr(settings, key) != getattr(self.settings, key)]
        log.info("settings_reloaded", changed=",".join(changed), needs_restart=",".join(ignored))
        self.settings = replace(settings, **{key: getattr(self.settings, key) for key in fixed})
        self.target.configure(settings.upstream)
        self.router.links = settings.links
        if self.settings.platform.adapter:
            self.retries.set_limits(self._retry_limits())
        if self.config.rule_book is not None:
            self._config_adopted(self.config.rule_book)

    def _own_service(self) -> str:
        return self.settings.upstream.service

    def _retry_limits(self) -> RetryLimits:
        budgets = self.settings.budgets
        return RetryLimits(
            budgets.retry_ratio, budgets.retry_slack, budgets.retry_window_s * MS_PER_SECOND
        )

    def drain(self) -> Deferred[None]:
        """Take no new work, finish what runs, then close; fires once closed."""
        if self.core.name in ("draining", "closed"):
            return self.core.closed
        self.lifecycle.drain()
        self._drain_started_ms = self.clock.now_ms()
        self.entry.drain(
            self._drain_started_ms + self.settings.limits.leaving_notice_ms,
            self._drain_started_ms + self._drain_limit_ms(),
        )
        self.target.leave()
        self._spread_me(state=MemberState.leaving)
        self._caller_factory.close_after_answers()
        if not self.target.process_has_left:
            ensureDeferred(self.registration.remove())  # type: ignore[arg-type]
        self.clock.call_later(self.settings.limits.leaving_notice_ms, self._close_when_drained)
        return self.core.closed

    def _close_when_drained(self) -> None:
        waited = self.clock.now_ms() - self._drain_started_ms
        if not self._idle() and waited < self._drain_limit_ms():
            self.clock.call_later(DRAIN_CHECK_MS, self._close_when_drained)
            return
        if not self._idle():
            log.error("drain_timeout", pending=self.entry.pending)
        ensureDeferred(self._close())  # type: ignore[arg-type]

    def _drain_limit_ms(self) -> float:
        limits = self.settings.limits
        if not limits.stop_grace_s:
            return limits.drain_ms
        return min(limits.drain_ms, limits.stop_grace_s * MS_PER_SECOND - STOP_RESERVE_MS)

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
        # The upstream may make calls of its own until its last one has ended, so callers are
        # accepted until then.
        self._stopped = [maybeDeferred(self._caller_port.stopListening)]
        self._caller_factory.close_idle()
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
        for factory in self._platform_factories:
            factory.close_idle()
            factory.close()
        self._caller_factory.close()
        self._peer_factory.close()
        self.peers.close()
        self.target.close()
        await self.store.close()
        self.lifecycle.drained()

    # What the parts tell the node

    def target_changed(self) -> None:
        """The upstream appeared, went down, or leaves: tell the other nodes."""
        announcement = self.target.announcement
        serving = self.target.serving
        self._spread_me(
            service=announcement.service if announcement and serving else "",
            slots=announcement.slots if announcement and serving else 0,
            instance=announcement.instance if announcement else "",
            born_ms=announcement.born_ms if announcement else 0,
            target_left=self.target.process_has_left,
        )
        if self.target.process_has_left:
            # A process that takes this one's place is to know of it, also when all nodes restart.
            ensureDeferred(self.registration.update())  # type: ignore[arg-type]

    def target_crashed(self, calls: list[Call]) -> None:
        """The upstream died while it ran `calls`: find out which of them did it."""
        suspects = [call for call in calls if call.crashed_upstreams]
        instance = self.target.announcement.instance if self.target.announcement else ""
        name = f"{self.table.local_record.node_id}.{instance}"
        for call in suspects or calls:
            if self.quarantine.harmless(call) and not call.crashed_upstreams:
                continue
            if self.quarantine.report(call.fingerprint, [name]):
                log.warning("request_suspect", fingerprint=call.fingerprint, upstream=name)
                upstreams = self.quarantine.crashed_upstreams(call)
                self.gossip.disseminate_crash(CrashReport(call.fingerprint, upstreams))

    def call_completed(self, call: Call) -> None:
        """The upstream answered a call, which is therefore harmless."""
        self.quarantine.completed(call)

    def crash_report_received(self, report: CrashReport) -> bool:
        """Another node tells of a request that crashed upstreams."""
        return self.quarantine.report(report.fingerprint, report.upstreams)

    def crash_reports(self) -> list[CrashReport]:
        """The newest reports, for nodes that missed them."""
        newest = list(self.quarantine.by_fingerprint.values())[-CRASH_REPORTS:]
        return [CrashReport(suspect.fingerprint, suspect.upstreams) for suspect in newest]

    def config_version_received(self, generation: int, change: str, member: MemberRecord) -> None:
        """Another node tells of its configuration."""
        self.config.version_received(generation, change, member)

    def config_version(self) -> tuple[int, str]:
        """Generation and change of the configuration in force."""
        return self.config.version()

    def _config_adopted(self, book: RuleBook) -> None:
        fleet = book.fleet
        if not self.settings.platform.adapter:
            self.retries.set_limits(RetryLimits(fleet.retry_percent / 100))
        upstream = self.settings.upstream
        service = book.service_by_name.get(upstream.service)
        self.target.health_check.path = (service and service.health_path) or upstream.health_path
        self._caller_factory.set_limits(self._caller_limits(fleet))
        self.paid_calls.set_rate(book.fleet.paid_call_bytes_per_s)
        self.gossip.socket.budget.set_rate(book.fleet.measure_bytes_per_s)
        self.gossip.socket.paid_budget.set_rate(book.fleet.paid_measure_bytes_per_s)
        self.gossip.disseminate_config()

    def _caller_limits(self, fleet: FleetRule) -> ServerLimits:
        """Bounds for callers: those of the configuration, else those of the settings."""
        limits = self.settings.limits
        return ServerLimits(
            fleet.header_bytes or limits.header_bytes,
            fleet.body_bytes or limits.body_bytes,
            fleet.header_time_ms or limits.header_time_ms,
            fleet.idle_time_ms or limits.idle_time_ms,
        )

    def _member_changed(self, record: MemberRecord) -> None:
        log.info(
            "member_changed",
            member=record.node_id,
            state=record.state.value,
            incarnation=record.incarnation,
            service=record.service,
            instance=record.instance,
            target_left=record.target_left,
        )
        self.router.member_changed(record)
        if record.state is MemberState.dead:
            self.peers.forget(record)

    def _spread_me(self, **changes: object) -> None:
        if changes:
            self.table.update_local_record(**changes)
        self.gossip.disseminate(self.table.local_record)
