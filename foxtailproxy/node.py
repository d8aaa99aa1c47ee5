"""A node: construction, start and shutdown of its components."""

from __future__ import annotations

import gc
import random
import socket
import time
from typing import TYPE_CHECKING, Any

import structlog
from msgspec.structs import replace
from twisted.internet.defer import DeferredList, TimeoutError, ensureDeferred, maybeDeferred

from foxtailproxy.admin_port import AdminFactory
from foxtailproxy.call import new_id
from foxtailproxy.caller_server import CallerServer
from foxtailproxy.caller_socket import LISTEN_BACKLOG
from foxtailproxy.claims import Claims
from foxtailproxy.clock import Clock
from foxtailproxy.config.settings import split_address
from foxtailproxy.config_sync import ConfigSync, IniConfigSource
from foxtailproxy.constraints.evacuation import EVACUATION_KIND, Evacuations
from foxtailproxy.customers.freshness import ConfigFreshness
from foxtailproxy.customers.node_allowances import NodeAllowances
from foxtailproxy.dialect import Dialect, FoxtailDialect
from foxtailproxy.dispatch import Dispatcher
from foxtailproxy.first_announcement import FirstAnnouncement
from foxtailproxy.gossip import Gossip
from foxtailproxy.http.client_bounds import client_bounds
from foxtailproxy.http.server import ServerFactory, ServerLimits
from foxtailproxy.http.transport import accept_waiting_and_close
from foxtailproxy.lifecycle import LifecycleState, build_lifecycle, log_close_failure
from foxtailproxy.load_exchange import LoadExchange
from foxtailproxy.membership import MemberTable
from foxtailproxy.metrics import Metrics
from foxtailproxy.models.messages import CrashReport, MemberRecord, MemberState
from foxtailproxy.models.rules import FleetRule
from foxtailproxy.peer_client import PeerClient
from foxtailproxy.peer_server import PeerServer
from foxtailproxy.placement import Placement
from foxtailproxy.platform.configuration import PlatformConfigSource
from foxtailproxy.platform.dialect import PlatformDialect
from foxtailproxy.platform.store_client import WATCH_WAIT_MS, StoreClient
from foxtailproxy.quarantine import Quarantine
from foxtailproxy.registration import Registration
from foxtailproxy.retry_budget import RetryBudgets, RetryLimits
from foxtailproxy.routing import Router
from foxtailproxy.storage.kind_watch import KindWatch
from foxtailproxy.storage.store_era import StoreEra
from foxtailproxy.target import Target
from foxtailproxy.token_bucket import TokenBucket
from foxtailproxy.traffic_budget import TrafficBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.internet.task import LoopingCall

    from foxtailproxy.call import Call
    from foxtailproxy.config.rules import RuleBook
    from foxtailproxy.models.messages import Announcement
    from foxtailproxy.models.settings import CustomersSection, NodeSettings

log = structlog.get_logger()

BOOT_ID_LENGTH = 12

DRAIN_CHECK_MS = 50

CATCH_UP_ROUNDS = 2
CATCH_UP_PAUSE_MS = 500
"""Number of comparisons that a new process starts in its first second, and the time between them:
a datagram may be lost, and other nodes may have started at the same moment."""

MAX_DISCOVERY_MS = 300
"""Longest time for which a new process looks for its upstream before it registers. A registered
record that names the upstream's service need not be exchanged between all nodes a second time."""

MAX_ACCEPT_DELAY_MS = 500
"""Longest time for which callers wait in the listen queue until a new process has a configuration.
Without one, their requests are rejected."""

MAX_RECORD_WAIT_MS = 1000
"""Longest time for which the upstream is not used after a new process has a configuration, while it
has not read the record of the earlier process: it may tell that the upstream has left."""

MAX_LEAVING_SAVE_MS = 800
"""Longest time for which the acknowledgement of a leaving waits for the store. The upstream waits
for a second."""

MS_PER_SECOND = 1000

STOP_RESERVE_MS = 400
"""Time before the end of the grace period at which a shutdown stops waiting for calls, in
milliseconds."""

MAX_NODE_HEADER_LINES = 64
"""Maximum number of header lines that nodes add to a request."""

MAX_CRASH_REPORTS = 8
"""Maximum number of crash reports sent along with a comparison."""


class Node:
    """The daemon that runs beside one upstream."""

    def __init__(self, reactor: Any, settings: NodeSettings, seed: int | None = None) -> None:
        self.settings = settings
        self.clock = Clock(reactor)
        self.state = LifecycleState()
        self.lifecycle = build_lifecycle(self.state)
        self.metrics = Metrics()
        self.quarantine = Quarantine(self.clock)
        self.client_bounds = client_bounds(settings.limits)
        self._reactor = reactor
        self._ports: list[Any] = []
        self._platform_factories: list[ServerFactory] = []
        self._loops: list[LoopingCall] = []
        self._caller_port: Any = None
        self._peer_port: Any = None
        self._accepts_callers = False
        self._drain_started_ms = 0.0
        rng = random.Random(seed)
        self._build(reactor, rng)

    def _build(self, reactor: Any, rng: random.Random) -> None:
        limits = self.settings.limits
        fleet = FleetRule()
        clock = self.clock
        self.table = MemberTable(
            clock,
            self._build_local_record(),
            self._member_changed,
            self._gossip_local_record,
            self._handle_earlier_record,
        )
        self.paid_call_budget = TokenBucket(clock, fleet.paid_call_bytes_per_s)
        uses_adapter = self.settings.platform.adapter
        upstream = self.settings.upstream
        dialect: Dialect = (
            PlatformDialect(self._local_service) if uses_adapter else FoxtailDialect()
        )
        self.dialect = dialect
        self.target = Target(clock, reactor, self, dialect, upstream, self.settings.node.log_calls)
        self.target.knows_left_processes = False
        self.target.admission.cold.terms = self.settings.cold_start
        self.target.admission.cold.get_rate_per_s = self._cold_per_s
        self.router = Router(
            clock,
            self.table.local_record.node_id,
            self.table.local_record.region,
            self.table.local_record.data_center,
            self.target,
            self.paid_call_budget.try_consume,
            rng,
            self.settings.links,
        )
        self.peers = PeerClient(clock, reactor, limits, self.router.record_load)
        self.store_era = StoreEra(clock)
        self.store = StoreClient(reactor, self.settings.platform, self.store_era)
        self.evacuations = Evacuations(
            clock,
            self.store_era,
            self._evacuations_changed,
            lambda: self.gossip.disseminate_config(),
        )
        self.registration = Registration(
            clock,
            self.store,
            self.table,
            rng,
            lambda: self.state.name == "serving",
            self.store_era,
        )
        self.first_announcement = FirstAnnouncement(
            clock, self.target, lambda: self.registration.registered
        )
        self.config_sync = ConfigSync(
            clock,
            self.store,
            self.peers,
            self.table,
            rng,
            self._config_adopted,
            lambda members: self.gossip.send_state(members),
            PlatformConfigSource() if uses_adapter else IniConfigSource(),
            self.store_era,
            self._evacuation_watches(),
        )
        self.retry_budgets = RetryBudgets(
            clock, self._retry_limits(), lambda: len(self.table.live_peers()) + 1
        )
        self.gossip = Gossip(
            clock,
            self.table,
            self,
            rng,
            TrafficBudget(clock, fleet.measure_bytes_per_s),
            TrafficBudget(clock, fleet.paid_measure_bytes_per_s),
        )
        socket = self.gossip.socket
        socket.extension = self.evacuations
        self.loads = LoadExchange(
            clock, self.target, self.table.local_record.region, rng, socket.send_datagram
        )
        socket.on_load_datagram = self.loads.handle_datagram
        self.freshness = ConfigFreshness(
            clock, self.table, rng, socket.send_datagram, self.config_version
        )
        self.config_sync.on_store_answer = self.freshness.store_answered
        socket.on_freshness_datagram = self.freshness.handle_datagram
        self.allowances = NodeAllowances(
            clock, self.table, self.settings.customers, rng, socket.send_datagram
        )
        socket.on_allowance_datagram = self.allowances.handle_datagram
        self.claims = Claims(
            clock, limits, self.store, self.peers, self.table.local_record, self.store_era
        )
        dispatcher = Dispatcher(
            clock,
            limits,
            self.target,
            self.router,
            Placement(self.router, self.loads),
            self.peers,
            self.quarantine,
            self.retry_budgets,
            self.metrics,
            self.settings.node.log_calls,
        )
        self.caller_server = CallerServer(
            clock,
            limits,
            self.config_sync,
            dispatcher,
            self.claims,
            self.metrics,
            dialect,
            self.settings.node.log_calls,
            self.freshness,
            self.allowances.draws,
        )
        self.caller_server.inner_depth_of = self.target.inner_depth
        self.peer_server = PeerServer(
            clock,
            limits,
            self.target,
            self.config_sync,
            self.claims.runs,
            self.table.local_record.boot_id,
        )
        server_limits = ServerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_time_ms,
            limits.idle_time_ms,
            # Nodes add headers of their own to those of a caller.
            limits.header_lines + MAX_NODE_HEADER_LINES,
        )
        self._caller_factory = ServerFactory(
            self.caller_server.handle,
            self._caller_limits(fleet),
            clock,
            self.caller_server.may_overlap,
            self.client_bounds,
        )
        self._peer_factory = ServerFactory(self.peer_server.handle, server_limits, clock)

    def _build_local_record(self) -> MemberRecord:
        node = self.settings.node
        return MemberRecord(
            node_id=node.node_id,
            # The start time: a later process must outrank earlier ones, which left no state behind.
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

    def start(self, caller_socket: socket.socket | None = None) -> None:
        """Open all sockets and join the other nodes. Raises `CannotListenError`.

        `caller_socket` is used for callers if it listens at their address.
        """
        node = self.settings.node
        listen = self._reactor.listenTCP
        self._peer_port = listen(node.peer_port, self._peer_factory, interface=node.address)
        self._ports = [
            listen(node.admin_port, AdminFactory(self), interface=node.address),
            self._reactor.listenUDP(node.gossip_port, self.gossip.socket, interface=node.address),
        ]
        self._listen_for_callers(caller_socket)
        self._listen_for_platform()
        self.gossip.start()
        self._configure_freshness(self.settings.customers)
        self._loops.append(self.clock.repeat(1000, self.claims.runs.sweep))
        self.lifecycle.started()
        discovery = ensureDeferred(self._discover_upstream())  # type: ignore[arg-type]
        ensureDeferred(self._join(discovery))  # type: ignore[arg-type]
        gc.collect()
        gc.freeze()

    def _listen_for_callers(self, caller_socket: socket.socket | None) -> None:
        """Listen for callers, but accept none before there is a configuration."""
        node = self.settings.node
        endpoint = split_address(node.caller_address, node.address, node.caller_port)
        if caller_socket is not None and caller_socket.getsockname() == endpoint:
            self._caller_port = self._reactor.adoptStreamPort(
                caller_socket.fileno(), socket.AF_INET, self._caller_factory
            )
        else:
            self._caller_port = self._reactor.listenTCP(
                endpoint[1], self._caller_factory, LISTEN_BACKLOG, endpoint[0]
            )
        if caller_socket is not None:
            caller_socket.close()
        self._caller_port.stopReading()
        self.clock.call_later(MAX_ACCEPT_DELAY_MS, self._accept_callers)

    def _accept_callers(self) -> None:
        """Accept callers, unless the port does so already."""
        if not self._accepts_callers:
            self._accepts_callers = True
            self._caller_port.startReading()

    def _listen_for_platform(self) -> None:
        """Open the ports for requests from the platform, if the settings define them."""
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
                factory = ServerFactory(
                    handle,
                    self._caller_limits(FleetRule()),
                    self.clock,
                    bounds=self.client_bounds,
                )
                self._platform_factories.append(factory)
                self._ports.append(self._reactor.listenTCP(port, factory, interface=host))

    def ready(self) -> bool:
        """Return whether the node serves requests: it has a configuration and is not stopping."""
        return self.state.name == "serving" and self.config_sync.rule_book is not None

    def names_local_upstream(self, announcement: Announcement) -> bool:
        """Return whether an announcement has the service and address that the settings define."""
        upstream = self.settings.upstream
        endpoint = (announcement.address, announcement.port)
        return (not upstream.service or announcement.service == upstream.service) and (
            split_address(upstream.address, *endpoint) == endpoint
        )

    async def announcement_received(self, announcement: Announcement) -> bool:
        """Handle an announcement: the upstream serves, or accepts no new calls.

        Return whether it may be acknowledged.
        """
        if announcement.leaving:
            self.target.receive_announcement(announcement)
            return await self._may_acknowledge_leaving(announcement.instance)
        rule_book = self.config_sync.rule_book
        if rule_book is not None and announcement.service not in rule_book.service_by_name:
            log.warning(
                "announcement_of_unknown_service",
                service=announcement.service,
                instance=announcement.instance,
                config=self.config_sync.version()[0],
            )
            return True
        if self.state.name == "serving":
            self.first_announcement.receive(announcement)
        return True

    async def leave_notice_received(self, instance: str, born_ms: int) -> bool:
        """Handle the notice that an upstream process accepts no new calls.

        Return whether it may be acknowledged.
        """
        self.target.record_left_process(instance, born_ms)
        return await self._may_acknowledge_leaving(instance)

    async def _may_acknowledge_leaving(self, instance: str) -> bool:
        """Return whether the leaving of an upstream process is in effect, and stored."""
        if self.target.uses_instance(instance):
            log.warning("leaving_not_acknowledged", instance=instance, cause="newer-process")
            return False
        return await self._is_leaving_saved()

    async def _is_leaving_saved(self) -> bool:
        """Return whether the store has the leaving of the upstream, so that it outlives all nodes.

        Without an acknowledgement the upstream repeats its notice.
        """
        saved = self.registration.save_leaving()
        try:
            await saved.addTimeout(MAX_LEAVING_SAVE_MS / MS_PER_SECOND, self.clock.source)
        except TimeoutError:
            log.warning(
                "leaving_not_acknowledged", cause="not-stored", waited_ms=MAX_LEAVING_SAVE_MS
            )
            return False
        return True

    async def _discover_upstream(self) -> None:
        """Look for an upstream that was running before this node started."""
        upstream = self.settings.upstream
        if upstream.address and upstream.service:
            host, port = split_address(upstream.address)
            self.target.health_check.path = upstream.health_path
            await self.target.discover(upstream.service, host, port)

    async def _join(self, discovery: Deferred[None]) -> None:
        """Get the members and the configuration from the store or from peers."""
        timeout = self.clock.sleep(MAX_DISCOVERY_MS)
        await DeferredList([discovery, timeout], fireOnOneCallback=True)
        # Sent before the registration, whose answer lets calls in; nothing waits for it.
        if self.settings.platform.evacuations:
            ensureDeferred(self.evacuations.read(self.store))  # type: ignore[arg-type]
        failures = 0
        while self.state.name == "serving":
            self._compare_with_seeds()
            joined = await self.registration.join()
            if self.registration.registered:
                self._earlier_record_read()
            if joined:
                break
            failures += 1
            log.warning("platform_unreachable", failures=failures)
            await self.clock.sleep(self.registration.retry_delay_ms(failures))
        if self.state.name != "serving":
            return
        self._gossip_local_record()
        self.config_sync.start()
        for _ in range(CATCH_UP_ROUNDS):
            self.gossip.comparison.catch_up()
            await self.clock.sleep(CATCH_UP_PAUSE_MS)
        await self.registration.refresh_periodically()

    def _compare_with_seeds(self) -> None:
        for address in self.settings.peers.seeds:
            self.gossip.comparison.compare_with_address(split_address(address))

    def _handle_earlier_record(self, record: MemberRecord) -> None:
        """Apply a record of an earlier process of this node, whose upstream may have left."""
        if record.target_left and record.instance:
            self.target.record_left_process(record.instance, record.born_ms)

    def reload(self, settings: NodeSettings) -> None:
        """Apply the settings that may change at run time and log those that need a restart."""
        restart_only = ("node", "platform")
        changed = [key for key in settings.__struct_fields__ if key not in restart_only]
        changed = [key for key in changed if getattr(settings, key) != getattr(self.settings, key)]
        ignored = [
            key for key in restart_only if getattr(settings, key) != getattr(self.settings, key)
        ]
        log.info("settings_reloaded", changed=",".join(changed), needs_restart=",".join(ignored))
        self.settings = replace(
            settings, **{key: getattr(self.settings, key) for key in restart_only}
        )
        self.target.configure(settings.upstream)
        self.target.admission.cold.terms = settings.cold_start
        self.router.links = settings.links
        self._configure_freshness(settings.customers)
        self.client_bounds.configure(settings.limits)
        self.allowances.configure(settings.customers)
        if self.settings.platform.adapter:
            self.retry_budgets.set_limits(self._retry_limits())
        if self.config_sync.rule_book is not None:
            self._config_adopted(self.config_sync.rule_book)

    def _configure_freshness(self, section: CustomersSection) -> None:
        """Apply the settings on rejections by nodes whose configuration may be outdated."""
        self.freshness.configure(section)
        self.store.watch_wait_ms = int(min(WATCH_WAIT_MS, self.freshness.watch_wait_ms))

    def _local_service(self) -> str:
        return self.settings.upstream.service

    def _retry_limits(self) -> RetryLimits:
        budgets = self.settings.budgets
        return RetryLimits(
            budgets.retry_ratio, budgets.retry_slack, budgets.retry_window_s * MS_PER_SECOND
        )

    def drain(self) -> Deferred[None]:
        """Accept no new work, finish running calls and close; the deferred fires once closed."""
        if self.state.name in ("draining", "closed"):
            return self.state.closed
        self.lifecycle.drain()
        self._drain_started_ms = self.clock.now_ms()
        self._attempt(
            self.caller_server.drain,
            self._drain_started_ms + self.settings.limits.leaving_notice_ms,
            self._drain_started_ms + self._drain_limit_ms(),
        )
        self._attempt(self.target.leave)
        self._attempt(self._gossip_local_record, state=MemberState.leaving)
        self._attempt(self._caller_factory.close_after_responses)
        self._attempt(self._accept_callers)
        if not self.target.process_has_left:
            self._attempt(self.registration.remove)
        self.clock.call_later(self.settings.limits.leaving_notice_ms, self._close_when_drained)
        return self.state.closed

    def _close_when_drained(self) -> None:
        if not self._idle() and not self._has_drain_time_passed():
            self.clock.call_later(DRAIN_CHECK_MS, self._close_when_drained)
            return
        if not self._idle():
            log.error("drain_timeout", pending=self.caller_server.pending)
        ensureDeferred(self._close())  # type: ignore[arg-type]

    def _has_drain_time_passed(self) -> bool:
        return self.clock.now_ms() - self._drain_started_ms >= self._drain_limit_ms()

    def _drain_limit_ms(self) -> float:
        limits = self.settings.limits
        if not limits.stop_grace_s:
            return limits.drain_ms
        return min(limits.drain_ms, limits.stop_grace_s * MS_PER_SECOND - STOP_RESERVE_MS)

    def _idle(self) -> bool:
        factories = (self._caller_factory, self._peer_factory, *self._platform_factories)
        responding = any(c.busy for factory in factories for c in factory.connections)
        return (
            not responding
            and self.caller_server.pending == 0
            and self.peer_server.idle
            and self.target.admission.idle
        )

    async def _close(self) -> None:
        # The upstream may send calls through this node until its last call has ended, so the
        # caller port stays open until then.
        await self._attempt(self._close_server, self._caller_port, self._caller_factory)
        for loop in self._loops:
            await self._attempt(loop.stop)
        await self._attempt(self._gossip_local_record, state=MemberState.dead)
        await self._attempt(self._close_server, self._peer_port, self._peer_factory)
        for close in (
            self.config_sync.close,
            self.evacuations.close,
            self.registration.close,
            self.first_announcement.close,
            self.freshness.close,
            self.allowances.close,
            self.gossip.close,
            self.peer_server.close,
        ):
            await self._attempt(close)
        await DeferredList([self._attempt(port.stopListening) for port in self._ports])
        for factory in self._platform_factories:
            await self._attempt(factory.close_idle)
            await self._attempt(factory.close)
        for close in (
            self._caller_factory.close,
            self._peer_factory.close,
            self.peers.close,
            self.target.close,
        ):
            await self._attempt(close)
        self.lifecycle.drained()

    def _attempt(self, function: Callable[..., Any], *args: Any, **kwargs: Any) -> Deferred[Any]:
        """Call a function that drains or closes a part; log its error, which ends nothing else."""
        return maybeDeferred(function, *args, **kwargs).addErrback(log_close_failure, function)

    async def _close_server(self, port: Any, factory: ServerFactory) -> None:
        """Close a port and its connections, once what has arrived there is answered."""
        accept_waiting_and_close(port, LISTEN_BACKLOG)
        while True:
            await self.clock.sleep(DRAIN_CHECK_MS)
            # The timers of a reactor that was held up run before it reads from its sockets.
            await self.clock.sleep(0)
            if self._idle() or self._has_drain_time_passed():
                break
        factory.close_idle()

    # Notifications from the components

    def target_changed(self) -> None:
        """Tell the peers that the upstream appeared, went down or is leaving."""
        announcement, process = self.target.announcement, self.target.process
        serving = self.target.serving
        self._gossip_local_record(
            service=announcement.service if announcement and serving else "",
            slots=announcement.slots if announcement and serving else 0,
            instance=process.instance if process else "",
            born_ms=process.born_ms if process else 0,
            target_left=self.target.process_has_left,
        )
        if self.target.process_has_left:
            # Stored, so that this node's next process knows of it even if all nodes restart.
            self.registration.save_leaving()

    def target_crashed(self, calls: list[Call]) -> None:
        """Report those of `calls` that may have crashed the upstream while it ran them."""
        suspect_calls = [call for call in calls if call.crashed_upstreams]
        if suspect_calls:
            # A copy that was sent before an earlier crash was reported does not carry it.
            suspect_calls = [
                call
                for call in calls
                if call.crashed_upstreams or self.quarantine.crashed_upstreams(call)
            ]
        instance = self.target.announcement.instance if self.target.announcement else ""
        upstream_id = f"{self.table.local_record.node_id}.{instance}"
        for call in suspect_calls or calls:
            if self.quarantine.has_completed(call) and not call.crashed_upstreams:
                continue
            if self.quarantine.record_crash(call.fingerprint, [upstream_id]):
                log.warning("request_suspect", fingerprint=call.fingerprint, upstream=upstream_id)
                upstreams = self.quarantine.crashed_upstreams(call)
                self.gossip.disseminate_crash(CrashReport(call.fingerprint, upstreams))

    def call_completed(self, call: Call) -> None:
        """Record that the upstream answered a call, which is therefore harmless."""
        self.quarantine.record_completion(call)

    def crash_report_received(self, report: CrashReport) -> bool:
        """Record a peer's report of a request that crashed upstreams; return whether it is new."""
        return self.quarantine.record_crash(report.fingerprint, report.upstreams)

    def crash_reports(self) -> list[CrashReport]:
        """Return the newest crash reports, for peers that missed them."""
        newest = list(self.quarantine.suspects.values())[-MAX_CRASH_REPORTS:]
        return [CrashReport(suspect.fingerprint, suspect.upstreams) for suspect in newest]

    def config_version_received(self, generation: int, change: str, member: MemberRecord) -> None:
        """Handle a peer's notice of the configuration that it has."""
        self.config_sync.version_received(generation, change, member)

    def config_version(self) -> tuple[int, str]:
        """Return the generation and change of the configuration in force."""
        return self.config_sync.version()

    def store_state_received(self, lost: bool, member: MemberRecord) -> None:
        """Handle a peer's notice that it has lost the store, or reaches it."""
        self.config_sync.store_state_received(lost, member)

    def store_lost(self) -> bool:
        """Return whether this node watches the store in vain."""
        return self.config_sync.store_lost

    def _config_adopted(self, rule_book: RuleBook) -> None:
        self.allowances.set_customers(rule_book.customers)
        fleet = rule_book.fleet
        if not self.settings.platform.adapter:
            self.retry_budgets.set_limits(RetryLimits(fleet.retry_percent / 100))
        upstream = self.settings.upstream
        service = rule_book.service_by_name.get(upstream.service)
        self.target.health_check.path = (service and service.health_path) or upstream.health_path
        self._caller_factory.set_limits(self._caller_limits(fleet))
        self.paid_call_budget.set_rate(rule_book.fleet.paid_call_bytes_per_s)
        self.gossip.socket.budget.set_rate(rule_book.fleet.measure_bytes_per_s)
        self.gossip.socket.paid_budget.set_rate(rule_book.fleet.paid_measure_bytes_per_s)
        self.gossip.disseminate_config()
        if self.target.knows_left_processes:
            self._accept_callers()
        else:
            self.clock.call_later(MAX_RECORD_WAIT_MS, self._use_target)

    def _evacuation_watches(self) -> list[KindWatch]:
        """Return the watch of the evacuations, if the settings ask for it."""
        if not self.settings.platform.evacuations:
            return []
        return [KindWatch(self.store, EVACUATION_KIND, self.store_era, self.evacuations)]

    def _evacuations_changed(self, data_centers: frozenset[str]) -> None:
        self.router.index.set_evacuated(data_centers)
        self.target.set_evacuated(self.table.local_record.data_center in data_centers)

    def _cold_per_s(self) -> float | None:
        """Return the rate of the upstream's service while cold; `None` without a configuration."""
        rule_book = self.config_sync.rule_book
        announcement = self.target.announcement
        if rule_book is None or announcement is None:
            return None
        service = rule_book.service_by_name.get(announcement.service)
        return 0.0 if service is None else service.cold_per_s

    def _use_target(self) -> None:
        """Use the upstream although the record of the earlier process may not have been read."""
        if not self.target.knows_left_processes:
            log.warning("earlier_record_not_read", waited_ms=MAX_RECORD_WAIT_MS)
            self._earlier_record_read()

    def _earlier_record_read(self) -> None:
        """Use the upstream; accept callers, who were not to be told that there is no target."""
        self.target.knows_left_processes = True
        if self.config_sync.rule_book is not None:
            self._accept_callers()

    def _caller_limits(self, fleet: FleetRule) -> ServerLimits:
        """Return the limits for callers: the configuration's, or else those of the settings."""
        limits = self.settings.limits
        return ServerLimits(
            fleet.header_bytes or limits.header_bytes,
            fleet.body_bytes or limits.body_bytes,
            fleet.header_time_ms or limits.header_time_ms,
            fleet.idle_time_ms or limits.idle_time_ms,
            limits.header_lines,
            limits.request_memory_bytes,
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
        self.router.update_member(record)
        self.allowances.update_member(record)
        if record.state is MemberState.dead:
            self.peers.remove_peer(record)

    def _gossip_local_record(self, **changes: object) -> None:
        if changes:
            self.table.update_local_record(**changes)
        self.gossip.disseminate(self.table.local_record)
