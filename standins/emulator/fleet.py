"""Emulated fleet: nodes with their routers, targets and dispatchers, and callers beside them."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import replace
from typing import Any

from expression import Error
from msgspec.structs import replace as replace_fields
from twisted.internet.defer import Deferred, DeferredList, ensureDeferred

from foxtailproxy.call import Call
from foxtailproxy.clock import Clock
from foxtailproxy.config.rules import RuleBook
from foxtailproxy.dispatch import Dispatcher
from foxtailproxy.gossip_socket import PACKET_OVERHEAD_BYTES
from foxtailproxy.http.errors import HttpError
from foxtailproxy.http.messages import RequestHead
from foxtailproxy.load_exchange import LoadExchange
from foxtailproxy.metrics import Metrics
from foxtailproxy.models.messages import Announcement, MemberRecord, MemberState
from foxtailproxy.models.rules import FleetRule, Rules
from foxtailproxy.models.settings import LimitsSection, LinksSection, UpstreamSection
from foxtailproxy.outcome import NotRun, Outcome, Unknown, UnknownReason
from foxtailproxy.placement import Placement
from foxtailproxy.quarantine import Quarantine
from foxtailproxy.retry_budget import RetryBudgets, RetryLimits
from foxtailproxy.routing import PeerChoice, Router
from foxtailproxy.target import Target
from foxtailproxy.traffic_budget import Purpose, TrafficBudget
from standins.emulator.load import FleetLoad, RequestClass, RequestRecord, UpstreamFault
from standins.emulator.timeline import Timeline
from standins.emulator.upstream import EmulatedDialect, EmulatedUpstream, Work

REGIONS = ("pohja", "louna")

LINKS = LinksSection(data_center_cost_per_mb=14, region_cost_per_mb=100)

SLOT_PERCENT = 80

RETRY_LIMITS = RetryLimits(ratio=0.2, slack=430, window_ms=10_000)

REPLAY_BYTES = 65_536

LEAD_MS = 4_000.0
"""Time before the first request, in which the byte budgets of new nodes fill up."""

DRAIN_MS = 20_000.0
"""Time after the last request in which callers still get their answers."""

MAX_RETRY_WAIT_SHARE = 1 / 3
"""Largest time for which a caller waits before it sends a request again, as a share of the time
that it has left."""

IMPATIENT_WAIT_MS = 20.0


class Listener:
    """Listener of a target; it removes a target that is down from the routers."""

    def __init__(self, fleet: EmulatedFleet, node_id: str) -> None:
        self._fleet = fleet
        self._node_id = node_id

    def target_changed(self) -> None:
        """Tell the other nodes whether the target serves."""
        self._fleet.target_changed(self._node_id)

    def target_crashed(self, calls: list[Call]) -> None:
        """Ignore the event."""

    def call_completed(self, call: Call) -> None:
        """Ignore the event."""


class EmulatedPeers:
    """Client of one node for calls to the targets of the others."""

    def __init__(self, fleet: EmulatedFleet, node: EmulatedNode) -> None:
        self._fleet = fleet
        self._node = node
        self._member_by_send: dict[str, MemberRecord] = {}

    async def send_call(self, call: Call, member: MemberRecord) -> Outcome:
        """Send a call to the target of `member` and return its outcome."""
        fleet = self._fleet
        delay_ms = fleet.one_way_ms(self._node.member, member)
        self._member_by_send[call.send_id] = member
        await fleet.clock.sleep(delay_ms)
        target = fleet.node_by_id[member.node_id].target
        outcome = await target.run(replace(call))
        if outcome.is_ok():
            try:
                await outcome.ok.body.buffer(REPLAY_BYTES)
            except HttpError:
                outcome = Error(Unknown(UnknownReason.ANSWER_CUT))
        load = target.load()
        await fleet.clock.sleep(delay_ms)
        del self._member_by_send[call.send_id]
        self._node.router.record_load(member.node_id, load)
        answer_bytes = outcome.ok.body.size if outcome.is_ok() else 0
        fleet.count_bytes(self._node.member, member, len(call.payload or b"") + answer_bytes)
        return outcome

    def cancel(self, send_id: str) -> None:
        """Cancel a send of an idempotent call whose answer is no longer needed."""
        member = self._member_by_send.get(send_id)
        if member is not None:
            target = self._fleet.node_by_id[member.node_id].target
            delay_ms = self._fleet.one_way_ms(self._node.member, member)
            self._fleet.clock.call_later(delay_ms, target.cancel, send_id)

    def withdraw(self, send_id: str) -> None:
        """Do nothing: an emulated send reaches the peer at once."""


class EmulatedNode:
    """One node, its upstream and its callers."""

    def __init__(self, fleet: EmulatedFleet, member: MemberRecord) -> None:
        rng = random.Random(fleet.rng.random())
        upstream_rng = random.Random(fleet.rng.random())
        clock = fleet.clock
        dialect: Any = EmulatedDialect()
        self.member = member
        self.upstream = EmulatedUpstream(clock, upstream_rng, fleet.load.profile, fleet.find_work)
        self.target = Target(
            clock,
            None,
            Listener(fleet, member.node_id),
            dialect,
            UpstreamSection(slot_percent=SLOT_PERCENT, reuse_idle_ms=1000, overdue_ms=500),
            log_calls=False,
        )
        self.target.receive_announcement(
            Announcement(member.service, "upstream", 1, fleet.load.profile.slots, instance="i")
        )
        self.target._pool = self.upstream  # type: ignore[assignment]
        self.router = Router(
            clock,
            member.node_id,
            member.region,
            member.data_center,
            self.target,
            lambda size: True,
            rng,
            replace_fields(LINKS, leave_by_chance=fleet.load.leave_by_chance),
        )
        self.retry_budgets = RetryBudgets(clock, RETRY_LIMITS, lambda: fleet.load.node_count)
        self.metrics = Metrics()
        peers: Any = EmulatedPeers(fleet, self)
        budget = TrafficBudget(clock, fleet.load.measure_bytes_per_s)
        paid_budget = TrafficBudget(clock, fleet.load.paid_measure_bytes_per_s)
        self._budgets = (budget, paid_budget)
        self.loads = LoadExchange(clock, self.target, member.region, rng, self._send_datagram)
        self._fleet = fleet
        self.dispatcher = Dispatcher(
            clock,
            LimitsSection(),
            self.target,
            self.router,
            Placement(self.router, self.loads),
            peers,
            Quarantine(clock),
            self.retry_budgets,
            self.metrics,
            log_calls=False,
        )

    def _send_datagram(self, purpose: Purpose, data: bytes, address: tuple[str, int]) -> bool:
        fleet = self._fleet
        receiver = fleet.node_by_id[address[0]]
        size = len(data) + PACKET_OVERHEAD_BYTES
        budget, paid_budget = self._budgets
        paid = receiver.member.region != self.member.region
        if paid and not paid_budget.try_consume(purpose, size):
            return False
        if not budget.try_consume(purpose, size):
            return False
        fleet.counters["load_bytes"] += size
        fleet.count_bytes(self.member, receiver.member, size)
        delay_ms = fleet.one_way_ms(self.member, receiver.member)
        source = (self.member.address, self.member.gossip_port)
        fleet.clock.call_later(delay_ms, receiver.loads.handle_datagram, data, source)
        return True


class EmulatedFleet:
    """All nodes of a deployment under one load; `records` is what the callers got."""

    def __init__(self, load: FleetLoad, seed: int) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self._arrival_rng = random.Random(seed + 1)
        self.timeline = Timeline()
        self.clock = Clock(self.timeline)
        self.records: list[RequestRecord] = []
        self.nested_calls: Counter[str] = Counter()
        self.counters: Counter[str] = Counter()
        self.report_ages_ms: list[float] = []
        self._class_by_name = {item.name: item for item in load.classes}
        self._rule_by_name = {item.name: item.rule() for item in load.classes}
        self._service_rule_by_name = {item.name: item.service_rule() for item in load.classes}
        self._rule_book = RuleBook(Rules(FleetRule(), [], [], []))
        self._work_by_attempt: dict[str, Work] = {}
        self._attempts = 0
        self.node_by_id: dict[str, EmulatedNode] = {}
        for member in self._make_members():
            self.node_by_id[member.node_id] = EmulatedNode(self, member)
        self._nodes = list(self.node_by_id.values())
        for node in self._nodes:
            for other in self._nodes:
                if other is not node:
                    node.router.update_member(other.member)
            self._observe_choices(node)

    def _make_members(self) -> list[MemberRecord]:
        services = [
            service for service, count in self.load.targets_by_service.items() for _ in range(count)
        ]
        self.rng.shuffle(services)
        members = []
        for number, service in enumerate(services):
            data_center = number % self.load.data_centers
            members.append(
                MemberRecord(
                    node_id=f"n{number}",
                    incarnation=1,
                    state=MemberState.alive,
                    region=REGIONS[data_center % 2],
                    data_center=f"dc{data_center}",
                    address=f"n{number}",
                    peer_port=1,
                    gossip_port=1,
                    admin_port=1,
                    service=service,
                    slots=self.load.profile.slots,
                    boot_id=f"b{number}",
                )
            )
        return members

    def _observe_choices(self, node: EmulatedNode) -> None:
        """Count the choices of a node's router and keep the ages of the reports behind them."""
        choose_from = node.router.choose_from

        def observed(*args: Any, **kwargs: Any) -> Any:
            choice = choose_from(*args, **kwargs)
            self.counters["choices"] += 1
            if isinstance(choice, PeerChoice):
                self.report_ages_ms.append(choice.view.load_age_ms)
            return choice

        node.router.choose_from = observed  # type: ignore[method-assign]

    def target_changed(self, node_id: str) -> None:
        """Tell all routers whether a target serves."""
        node = self.node_by_id.get(node_id)
        if node is None:
            return
        slots = self.load.profile.slots if node.target.serving else 0
        member = replace_member(node.member, slots)
        for other in self._nodes:
            if other is not node:
                other.router.update_member(member)

    def one_way_ms(self, sender: MemberRecord, receiver: MemberRecord) -> float:
        """Return the time from one node to another, with the work of the receiver."""
        if sender.data_center == receiver.data_center:
            return self.load.node_ms + self.load.data_center_ms
        same_region = sender.region == receiver.region
        return self.load.node_ms + (
            self.load.region_ms if same_region else self.load.other_region_ms
        )

    def count_bytes(self, caller: MemberRecord, target: MemberRecord, size: int) -> None:
        """Count the bytes of a call on the link that it took."""
        if caller.region != target.region:
            self.counters["region_bytes"] += size
        elif caller.data_center != target.data_center:
            self.counters["data_center_bytes"] += size

    def find_work(self, attempt_id: str) -> Work:
        """Return the work of an attempt."""
        return self._work_by_attempt[attempt_id]

    # Running

    def run(self) -> list[RequestRecord]:
        """Play the load and return what the callers got."""
        self.timeline.run_until(LEAD_MS / 1000)
        for node in self._nodes:
            for request_class in self.load.classes:
                if request_class.rate_per_s:
                    self._schedule_arrival(node, request_class, LEAD_MS)
        for fault in self.load.faults:
            self.clock.call_later(fault.at_ms, self._begin_fault, fault)
        self.timeline.run_until((LEAD_MS + self.load.duration_ms + DRAIN_MS) / 1000)
        return self.records

    def _begin_fault(self, fault: UpstreamFault) -> None:
        nodes = [node for node in self._nodes if fault.service in ("", node.member.service)]
        chosen = self.rng.sample(nodes, round(fault.share * len(nodes)))
        for node in chosen:
            self._set_fault(node.upstream, fault, True)
            self.clock.call_later(fault.for_ms, self._set_fault, node.upstream, fault, False)

    @staticmethod
    def _set_fault(upstream: EmulatedUpstream, fault: UpstreamFault, begins: bool) -> None:
        if fault.kind == "slow":
            upstream.set_slow_factor(fault.factor if begins else 1.0)
        elif fault.kind == "shed":
            upstream.shed_share = fault.factor if begins else 0.0
        elif fault.kind == "errors":
            upstream.error_share = fault.factor if begins else 0.0
        elif begins:
            upstream.stop()
        else:
            upstream.start()

    def _rate_factor(self, node: EmulatedNode, now_ms: float) -> float:
        number = int(node.member.data_center.removeprefix("dc"))
        phase = 0.1 + 0.08 * number
        angle = 2 * math.pi * (now_ms / self.load.wave_ms + phase)
        factor = 1 + self.load.swing * math.sin(angle)
        for burst in self.load.bursts:
            if burst.at_ms <= now_ms - LEAD_MS < burst.at_ms + burst.for_ms:
                factor *= burst.factor
        return factor

    def _schedule_arrival(
        self, node: EmulatedNode, request_class: RequestClass, now_ms: float
    ) -> None:
        """Schedule the next arrival of a Poisson process whose rate changes, by thinning."""
        most = max([1.0, *(burst.factor for burst in self.load.bursts)]) * (1 + self.load.swing)
        rate_per_ms = request_class.rate_per_s / self.load.node_count / 1000
        while True:
            now_ms += self._arrival_rng.expovariate(rate_per_ms * most)
            if now_ms >= LEAD_MS + self.load.duration_ms:
                return
            if self._arrival_rng.random() * most < self._rate_factor(node, now_ms):
                break
        delay_ms = now_ms - self.clock.now_ms()
        self.clock.call_later(delay_ms, self._arrive, node, request_class, now_ms)

    def _arrive(self, node: EmulatedNode, request_class: RequestClass, now_ms: float) -> None:
        self._schedule_arrival(node, request_class, now_ms)
        record = RequestRecord(request_class, now_ms, node.member.data_center)
        self.records.append(record)
        impatient = self._arrival_rng.random() < self.load.impatient_share
        ensureDeferred(
            self._request(
                node, record, self._draw_work_ms(request_class, self._arrival_rng), impatient
            )
        )

    def _draw_work_ms(self, request_class: RequestClass, rng: random.Random) -> float:
        spread = request_class.spread
        work_ms = request_class.work_ms * math.exp(rng.gauss(-spread * spread / 2, spread))
        is_tail = rng.random() < request_class.tail_share
        return work_ms * (request_class.tail_factor if is_tail else 1.0)

    async def _request(
        self, node: EmulatedNode, record: RequestRecord, work_ms: float, impatient: bool
    ) -> None:
        """Send a request as a caller does, with its retries."""
        request_class = record.request_class
        end_ms = record.due_ms + request_class.deadline_ms
        for _ in range(request_class.retries + 1):
            left_ms = end_ms - self.clock.now_ms()
            if left_ms <= 0:
                return
            record.attempts += 1
            outcome = await self._attempt(node, request_class, left_ms, work_ms, 1)
            if outcome.is_ok() and outcome.ok.head.status < 500:
                record.answered_ms = self.clock.now_ms()
                return
            record.failure = "error answer" if outcome.is_ok() else str(outcome.error.reason)
            not_run = outcome.is_error() and isinstance(outcome.error, NotRun)
            record.refusals += not_run
            if not not_run and not request_class.idempotent:
                return
            left_ms = end_ms - self.clock.now_ms()
            wait_ms = min(
                outcome.error.retry_after_ms if outcome.is_error() else 100.0,
                left_ms * MAX_RETRY_WAIT_SHARE,
            )
            await self.clock.sleep(IMPATIENT_WAIT_MS if impatient else max(0.0, wait_ms))

    async def _attempt(
        self,
        node: EmulatedNode,
        request_class: RequestClass,
        caller_left_ms: float,
        work_ms: float,
        depth: int,
    ) -> Outcome:
        """Send one attempt of a request or of a nested call through a node."""
        await self.clock.sleep(self.load.node_ms)
        now_ms = self.clock.now_ms()
        rule = self._rule_by_name[request_class.name]
        left_ms = min(rule.deadline_ms, caller_left_ms)
        self._attempts += 1
        call = Call(
            head=RequestHead(b"GET", b"/", []),
            service=self._service_rule_by_name[request_class.name],
            rule=rule,
            tenant="",
            deadline_ms=now_ms + left_ms,
            depth=depth,
            payload=bytes(request_class.request_bytes),
            received_ms=now_ms,
            caller_deadline_ms=now_ms + caller_left_ms,
            attempt_id=f"a{self._attempts}",
        )
        self._work_by_attempt[call.attempt_id] = self._make_work(node, request_class, work_ms, call)
        result: Deferred[Outcome] = Deferred()
        timer = self.clock.call_later(left_ms + 50, self._time_out, node, call, result)
        running = ensureDeferred(node.dispatcher.run(call, self._rule_book))
        running.addCallback(lambda outcome: result.called or result.callback(outcome))
        outcome = await result
        timer.cancel()
        self.counters["calls"] += 1
        self.counters["sends"] += call.send_number + 1
        self._work_by_attempt.pop(call.attempt_id, None) if running.called else None
        await self.clock.sleep(self.load.node_ms / 2)
        return outcome

    def _time_out(self, node: EmulatedNode, call: Call, result: Deferred[Outcome]) -> None:
        if not result.called:
            node.dispatcher.cancel(call)
            result.callback(Error(Unknown(UnknownReason.DEADLINE)))

    def _make_work(
        self, node: EmulatedNode, request_class: RequestClass, work_ms: float, call: Call
    ) -> Work:
        nested = request_class.nested
        work = Work(work_ms / 2, work_ms / 2, bytes(request_class.answer_bytes))
        if nested is not None and self.rng.random() < nested.share:
            work.run_calls = lambda: ensureDeferred(self._run_nested(node, call, request_class))
        return work

    async def _run_nested(
        self, origin: EmulatedNode, parent: Call, request_class: RequestClass
    ) -> bool:
        nested = request_class.nested
        assert nested is not None
        nested_class = self._class_by_name[nested.class_name]
        choice = parent.last_choice
        node_id = choice.estimate.node_id if choice is not None else ""
        node = self.node_by_id.get(node_id, origin)
        calls = []
        for _ in range(nested.count):
            left_ms = min(parent.deadline_ms - self.clock.now_ms(), nested_class.deadline_ms)
            attempt = ensureDeferred(
                self._attempt(
                    node,
                    nested_class,
                    left_ms,
                    self._draw_work_ms(nested_class, self.rng),
                    parent.depth + 1,
                )
            )
            if not nested.together and not self._answered(await attempt):
                return False
            calls.append(attempt)
        if not nested.together:
            return True
        results = await DeferredList(calls)
        return all(self._answered(outcome) for _, outcome in results)

    def _answered(self, outcome: Outcome) -> bool:
        answered = outcome.is_ok() and outcome.ok.head.status < 500
        reason = "answered" if answered else "failed"
        if outcome.is_error():
            reason = str(outcome.error.reason)
        self.nested_calls[reason] += 1
        return answered


def replace_member(member: MemberRecord, slots: int) -> MemberRecord:
    """Return a member record with other slots."""
    return replace_fields(member, slots=slots, incarnation=member.incarnation + 1)
