"""Admission at a target: exact slots, weighted fair queues, limits on long calls, load shedding.

Classes share the slots in proportion to their weights, measured in service time, and the tenants of
one class in equal parts. Long calls may hold only a share of the slots.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from foxtailproxy.clock import MS_PER_SECOND
from foxtailproxy.ejection import FailureRate
from foxtailproxy.load import Load
from foxtailproxy.outcome import NotRun, NotRunReason
from foxtailproxy.speed import RunTimes, Slowness
from foxtailproxy.target_side.cold_start import ColdStart
from foxtailproxy.target_side.inner_calls import is_inner, waits_for_deadline
from foxtailproxy.target_side.tenant_shares import TenantShares

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock

SERVICE_TIME_WEIGHT = 0.1
"""Weight of the latest call in the exponentially weighted mean service time."""

INITIAL_SERVICE_MS = 5.0
MIN_SERVICE_MS = 0.1

DEFAULT_RUN_SHARE = 0.3
"""Assumed run time of a class without a recorded run time, as a share of its objective."""

TYPICAL_SERVICE_HALF_LIFE_MS = 2000.0
"""Half-life of the typical service time of a target that runs nothing, in milliseconds."""


@dataclass(eq=False, slots=True)
class Ticket:
    """Request of a call for a slot; exactly one of its two callbacks is called, once.

    `slowness` is the expected slowness of the target when the call started, `sent_ms` the time at
    which it was sent to the upstream, `charged_ms` the service time charged to its tenant.
    """

    call: Call
    on_admit: Callable[[], None]
    on_reject: Callable[[NotRun], None]
    arrived_ms: float = 0.0
    started_ms: float = -1.0
    slowness: float = 1.0
    sent_ms: float = -1.0
    charged_ms: float = 0.0

    @property
    def running(self) -> bool:
        """Whether the ticket holds a slot."""
        return self.started_ms >= 0


class QueueKey(NamedTuple):
    """What the calls of a queue have in common.

    Customers of one class may have different priorities.
    """

    class_key: str
    inner: bool
    priority: int
    weight: int


@dataclass(eq=False, slots=True)
class ClassQueue:
    """Waiting calls of one class and priority by tenant.

    They share a weight, a virtual time and a mean service time. They are the `inner` calls of the
    class, which upstreams make, or its other calls.
    """

    weight: int
    inner: bool = False
    virtual_time_ms: float = 0.0
    service_ms: float = INITIAL_SERVICE_MS
    size: int = 0
    by_tenant: OrderedDict[str, deque[Ticket]] = field(default_factory=OrderedDict)
    shares: TenantShares = field(default_factory=TenantShares)

    def push(self, ticket: Ticket) -> None:
        """Append a ticket to the queue of its tenant."""
        if ticket.call.tenant not in self.by_tenant:
            self.shares.join(ticket.call.tenant)
        self.by_tenant.setdefault(ticket.call.tenant, deque()).append(ticket)
        self.size += 1

    def peek(self) -> Ticket:
        """Return the next ticket without removing it."""
        return self.by_tenant[self._next_tenant()][0]

    def _next_tenant(self) -> str:
        """Return the tenant that got the least service time, of equal ones that next in turn."""
        if len(self.by_tenant) == 1:
            return next(iter(self.by_tenant))
        return min(self.by_tenant, key=self.shares.served_ms)

    def calls_ahead(self, tenant: str) -> int:
        """Return how many waiting calls would run before one more call of a tenant, by turns."""
        own = len(self.by_tenant.get(tenant, ()))
        others = (waiting for name, waiting in self.by_tenant.items() if name != tenant)
        return own + sum(min(len(waiting), own + 1) for waiting in others)

    def pop(self) -> Ticket:
        """Remove and return the next ticket, and pass the turn to the next tenant."""
        tenant = self._next_tenant()
        waiting = self.by_tenant[tenant]
        ticket = waiting.popleft()
        self.size -= 1
        if waiting:
            self.by_tenant.move_to_end(tenant)
        else:
            del self.by_tenant[tenant]
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Remove one ticket; return `False` if it is not in this queue."""
        waiting = self.by_tenant.get(ticket.call.tenant)
        if waiting is None or ticket not in waiting:
            return False
        waiting.remove(ticket)
        self.size -= 1
        if not waiting:
            del self.by_tenant[ticket.call.tenant]
        return True

    @property
    def priority(self) -> int:
        """Priority of the next ticket."""
        return self.peek().call.rule.priority

    def longest_tenant_queue(self) -> deque[Ticket]:
        """Return the waiting calls of the tenant that has the most."""
        return max(self.by_tenant.values(), key=len)

    def tickets(self) -> list[Ticket]:
        """Return all waiting tickets."""
        return [ticket for waiting in self.by_tenant.values() for ticket in waiting]


class Admission:
    """Allocation of a target's slots to calls."""

    def __init__(self, clock: Clock, slots: int) -> None:
        self.slots = slots
        self.fair_queueing = True
        self.limit_long_calls = True
        self.slowness = Slowness(clock)
        self.run_times = RunTimes(clock)
        self.failure_rate = FailureRate(clock)
        self.cold = ColdStart(clock)
        self._clock = clock
        self._queue_by_key: dict[QueueKey, ClassQueue] = {}
        self._running: set[Ticket] = set()
        self._queued = 0
        self._virtual_time_ms = 0.0
        self._service_ms = INITIAL_SERVICE_MS
        self._mean_log_service = 0.0
        self._last_ended_ms = clock.now_ms()

    def load(self) -> Load:
        """Return the current load of the target."""
        typical_ms = math.exp(self._mean_log_service)
        if not self._running:
            # Decay while idle, so that a target that was slow a while ago is tried again.
            idle_ms = self._clock.now_ms() - self._last_ended_ms
            typical_ms *= 0.5 ** (idle_ms / TYPICAL_SERVICE_HALF_LIFE_MS)
        slots, service_ms = self._reported_slots()
        return Load(
            len(self._running),
            self._queued,
            slots,
            service_ms,
            typical_ms,
            self._wait_by_class() if self._full else {},
            self.run_times.usual_ms_by_class() if self.slowness.has_report else {},
            max(self.slowness.latest, self.cold.slowness) if self.slowness.has_report else 0.0,
            self.slowness.age_ms if self.slowness.has_report else 0.0,
            self.run_times.unreported_slowness() if self.slowness.has_report else 1.0,
            self.failure_rate.value(),
        )

    def expected_ms(self, call: Call) -> float:
        """Return the expected wait and run time of a call, in ms; 0 if its class never ran here."""
        if self.run_times.usual_ms(call.rule.name) is None:
            return 0.0
        queue = self._queue_of(call)
        wait_ms = (
            self._expected_wait_ms(queue, queue.calls_ahead(call.tenant)) if self._full else 0.0
        )
        return wait_ms + self.expected_run_ms(call)

    def _reported_slots(self) -> tuple[int, float]:
        """Return the slots and the mean service time in ms to report.

        While starts are limited, they are those of a target that takes calls at that rate, so that
        peers send no more.
        """
        rate_per_s = self.cold.start_rate_per_s() if self.cold.limiting else 0.0
        if not rate_per_s or not self.slots:
            return self.slots, self._service_ms
        interval_ms = MS_PER_SECOND / rate_per_s
        slots = min(self.slots, max(1, round(self._service_ms / interval_ms)))
        return slots, max(self._service_ms, slots * interval_ms)

    @property
    def _has_free_slot(self) -> bool:
        return len(self._running) < self.slots

    @property
    def _full(self) -> bool:
        return self._queued > 0 or len(self._running) >= self.slots or not self.cold.may_start()

    def _wait_by_class(self) -> dict[str, float]:
        """Return the expected wait in ms of each class that has calls waiting, by class name.

        A class with calls of several priorities has the mean of its waiting calls. While starts are
        limited, it is that of each class that ever had a call.
        """
        sizes: dict[str, int] = {}
        waits_ms: dict[str, float] = {}
        for key, queue in self._queue_by_key.items():
            if queue.size or self.cold.limiting:
                name = key.class_key.rpartition("/")[2]
                size = max(1, queue.size)
                sizes[name] = sizes.get(name, 0) + size
                waits_ms[name] = waits_ms.get(name, 0.0) + self._expected_wait_ms(queue) * size
        return {name: waits_ms[name] / size for name, size in sizes.items()}

    @property
    def idle(self) -> bool:
        """Whether no call runs or waits."""
        return not self._running and not self._queued

    def set_slots(self, slots: int) -> None:
        """Change the number of slots; running calls keep theirs."""
        self.slots = slots
        self._admit_waiting()

    def submit(self, ticket: Ticket) -> None:
        """Start, queue or reject a call."""
        ticket.arrived_ms = self._clock.now_ms()
        queue = self._queue_of(ticket.call)
        if not self._queued and self._may_run(ticket):
            self._start(ticket, queue)
            return
        rejection = self._rejection(ticket, queue)
        if rejection is not None:
            ticket.on_reject(rejection)
            return
        if not queue.size:
            queue.virtual_time_ms = max(queue.virtual_time_ms, self._virtual_time_ms)
        queue.push(ticket)
        self._queued += 1
        self._admit_waiting()

    def release(self, ticket: Ticket, ran: bool = True) -> None:
        """Record the service time of a call that `ran`, and pass its slot to the next call."""
        if ticket not in self._running:
            return
        self._running.discard(ticket)
        self.cold.end(ticket)
        served_ms = self._clock.now_ms() - ticket.started_ms if ran else 0.0
        shares = self._queue_of(ticket.call).shares
        shares.correct(ticket.call.tenant, served_ms - ticket.charged_ms)
        if ran:
            self._record_service_time(ticket)
        self._admit_waiting()

    def _record_service_time(self, ticket: Ticket) -> None:
        elapsed = self._clock.now_ms() - ticket.started_ms
        queue = self._queue_of(ticket.call)
        self.run_times.record(ticket.call.rule.name, elapsed, ticket.slowness)
        queue.service_ms += SERVICE_TIME_WEIGHT * (elapsed - queue.service_ms)
        self._service_ms += SERVICE_TIME_WEIGHT * (elapsed - self._service_ms)
        log_elapsed = math.log(max(elapsed, MIN_SERVICE_MS))
        self._mean_log_service += SERVICE_TIME_WEIGHT * (log_elapsed - self._mean_log_service)
        self._last_ended_ms = self._clock.now_ms()

    def dequeue(self, ticket: Ticket) -> bool:
        """Remove a waiting call; return `False` if it is running or has ended."""
        if not self._queue_of(ticket.call).remove(ticket):
            return False
        self._queued -= 1
        return True

    def reject_waiting(self, reason: NotRunReason) -> None:
        """Reject every waiting call."""
        for queue in self._queue_by_key.values():
            for ticket in queue.tickets():
                self._reject(ticket, reason)

    def sweep(self) -> None:
        """Reject the calls that have waited too long, and start waiting calls in free slots."""
        now = self._clock.now_ms()
        for queue in self._queue_by_key.values():
            for ticket in queue.tickets():
                if ticket.call.deadline_ms <= now:
                    self._reject(ticket, NotRunReason.DEADLINE)
                elif now - ticket.arrived_ms > ticket.call.rule.hold_ms:
                    self._reject(ticket, NotRunReason.HELD_TOO_LONG)
        self._admit_waiting()

    def _queue_of(self, call: Call) -> ClassQueue:
        rule = call.rule
        key = QueueKey(call.class_key, is_inner(call), rule.priority, rule.weight)
        queue = self._queue_by_key.get(key)
        if queue is None:
            service_ms = self._service_ms_of(call.class_key)
            queue = ClassQueue(rule.weight, key.inner, service_ms=service_ms)
            self._queue_by_key[key] = queue
        return queue

    def _service_ms_of(self, class_key: str) -> float:
        """Return the service time of a class as one of its queues knows it, in ms."""
        known = (queue for key, queue in self._queue_by_key.items() if key.class_key == class_key)
        queue = next(known, None)
        return INITIAL_SERVICE_MS if queue is None else queue.service_ms

    # Starting calls

    def _may_run(self, ticket: Ticket) -> bool:
        if len(self._running) >= self.slots or not self.cold.may_start():
            return False
        if ticket.call.crashed_upstreams and self._has_running_suspect():
            return False
        return (
            not self.limit_long_calls
            or not self._is_long(ticket.call)
            or self._has_room_for_long(ticket)
        )

    def _has_running_suspect(self) -> bool:
        return any(ticket.call.crashed_upstreams for ticket in self._running)

    def _is_long(self, call: Call) -> bool:
        return call.rule.long or self._count_long_running(call.class_key) > 0

    def _has_room_for_long(self, ticket: Ticket) -> bool:
        limit = max(1, self.slots * ticket.call.service.long_percent // 100)
        declared_long = sum(1 for other in self._running if other.call.rule.long)
        if ticket.call.rule.long:
            return declared_long < limit
        return self._count_long_running(ticket.call.class_key) < limit

    def _count_long_running(self, class_key: str) -> int:
        now = self._clock.now_ms()
        return sum(
            1
            for ticket in self._running
            if ticket.call.class_key == class_key
            and now - ticket.started_ms > ticket.call.service.long_after_ms
        )

    def _start(self, ticket: Ticket, queue: ClassQueue) -> None:
        ticket.started_ms = self._clock.now_ms()
        ticket.slowness = self.expected_slowness()
        self._running.add(ticket)
        self.cold.start(ticket)
        ticket.charged_ms = queue.service_ms
        queue.shares.start(ticket.call.tenant, queue.service_ms)
        self._virtual_time_ms = max(self._virtual_time_ms, queue.virtual_time_ms)
        queue.virtual_time_ms = max(queue.virtual_time_ms, self._virtual_time_ms)
        queue.virtual_time_ms += queue.service_ms / queue.weight
        ticket.on_admit()

    def _admit_waiting(self) -> None:
        while self._queued and len(self._running) < self.slots:
            queue = self._next_queue()
            if queue is None:
                return
            ticket = queue.pop()
            self._queued -= 1
            if ticket.call.deadline_ms <= self._clock.now_ms():
                ticket.on_reject(NotRun(NotRunReason.DEADLINE))
                continue
            if queue.size and self._would_miss_objective(ticket.call):
                # Leave the slot to the next call, which may still end in time.
                ticket.on_reject(NotRun(NotRunReason.HELD_TOO_LONG))
                continue
            self._start(ticket, queue)

    def _would_miss_objective(self, call: Call) -> bool:
        """Return whether a call that waited would end after its objective.

        For an inner call that other targets rejected its deadline counts.
        """
        if waits_for_deadline(call):
            return call.remaining_ms(self._clock) < self.expected_run_ms(call)
        if not call.rule.objective_ms:
            return False
        return call.objective_left_ms(self._clock) < self.expected_run_ms(call)

    def _next_queue(self) -> ClassQueue | None:
        ready = [q for q in self._queue_by_key.values() if q.size and self._may_run(q.peek())]
        if not ready:
            return None
        inner_priorities = [q.priority for q in ready if q.inner]
        if inner_priorities:
            # A request that already runs elsewhere waits for an inner call.
            least = max(inner_priorities)
            ready = [q for q in ready if q.inner or q.priority > least]
        if self.fair_queueing:
            return min(ready, key=lambda queue: queue.virtual_time_ms)
        return min(ready, key=lambda queue: queue.peek().arrived_ms)

    # Queueing and load shedding

    def _rejection(self, ticket: Ticket, queue: ClassQueue) -> NotRun | None:
        rule = ticket.call.rule
        wait_ms = self._expected_wait_ms(queue, queue.calls_ahead(ticket.call.tenant))
        if wait_ms > self._max_useful_wait_ms(ticket.call) and not self._shed_lower_priority(
            rule.priority, queue.inner
        ):
            if self.cold.limiting and not self.cold.may_start() and self._has_free_slot:
                self.cold.rejections += 1
                return NotRun(NotRunReason.COLD, int(wait_ms) + 1)
            return NotRun(NotRunReason.OVERLOADED, int(wait_ms) + 1)
        if queue.size >= rule.queue and not self._shed_longest_tenant(ticket, queue):
            return NotRun(NotRunReason.QUEUE_FULL, int(wait_ms) + 1)
        return None

    def _max_useful_wait_ms(self, call: Call) -> float:
        """Return the longest wait after which the call is still worth a slot, in ms."""
        max_wait_ms = min(call.rule.hold_ms, call.remaining_ms(self._clock))
        if waits_for_deadline(call):
            return min(max_wait_ms, call.remaining_ms(self._clock) - self.expected_run_ms(call))
        if not call.rule.objective_ms:
            return max_wait_ms
        # Mean time until a slot becomes free.
        slot_interval_ms = self._service_ms / max(1, self.slots)
        spare_ms = (
            call.objective_left_ms(self._clock) - self.expected_run_ms(call) - slot_interval_ms
        )
        return min(max_wait_ms, spare_ms)

    def expected_run_ms(self, call: Call) -> float:
        """Return the expected run time of a call at the current speed, in ms."""
        usual_ms = self.run_times.usual_ms(call.rule.name)
        if usual_ms is None:
            usual_ms = call.rule.objective_ms * DEFAULT_RUN_SHARE
        return usual_ms * self.expected_slowness() * self.run_times.unreported_slowness()

    def expected_slowness(self) -> float:
        """Return the factor by which work is expected to take longer than usual now."""
        return max(self.slowness.expected(), self.cold.slowness)

    def _expected_wait_ms(self, queue: ClassQueue, ahead: int | None = None) -> float:
        """Return the expected wait in ms after `ahead` calls of a queue; after all if `None`."""
        ahead = queue.size if ahead is None else ahead
        share = self.slots * self._weight_share(queue)
        wait_ms = ahead * queue.service_ms / max(share, 0.01)
        if not queue.inner:
            inner_ms = sum(q.size * q.service_ms for q in self._queue_by_key.values() if q.inner)
            wait_ms += inner_ms / max(1, self.slots)
        return max(wait_ms, self._cold_wait_ms(queue, ahead)) if self.cold.limiting else wait_ms

    def _weight_share(self, queue: ClassQueue) -> float:
        total_weight = sum(
            q.weight
            for q in self._queue_by_key.values()
            if (q.size or q is queue) and q.inner == queue.inner
        )
        return queue.weight / total_weight

    def _cold_wait_ms(self, queue: ClassQueue, calls_ahead: int) -> float:
        ahead = calls_ahead / self._weight_share(queue)
        if not queue.inner:
            ahead += sum(q.size for q in self._queue_by_key.values() if q.inner)
        return self.cold.wait_ms(min(self._queued, ahead))

    def _shed_lower_priority(self, priority: int, inner: bool) -> bool:
        """Shed a waiting call of the lowest-priority class below `priority`, if there is one.

        An `inner` call also sheds others of its priority. The newest call of the tenant with the
        most waiting calls is rejected, inner calls last. Return whether a call was shed.
        """
        lower_queues = [
            queue
            for queue in self._queue_by_key.values()
            if queue.size and queue.priority < priority + (inner and not queue.inner)
        ]
        if not lower_queues:
            return False
        queue = min(lower_queues, key=lambda queue: (queue.inner, queue.priority))
        self._reject(queue.longest_tenant_queue()[-1], NotRunReason.OVERLOADED)
        return True

    def _shed_longest_tenant(self, ticket: Ticket, queue: ClassQueue) -> bool:
        """Shed the newest waiting call of the tenant with the most, to make room for `ticket`.

        Nothing is shed unless the tenant of `ticket` has fewer calls waiting, this one included.
        Return whether a call was shed.
        """
        if not queue.size:
            return False
        longest_queue = queue.longest_tenant_queue()
        tenant_queue = queue.by_tenant.get(ticket.call.tenant, ())
        if len(longest_queue) <= len(tenant_queue) + 1:
            return False
        self._reject(longest_queue[-1], NotRunReason.QUEUE_FULL)
        return True

    def _reject(self, ticket: Ticket, reason: NotRunReason) -> None:
        if self.dequeue(ticket):
            ticket.on_reject(NotRun(reason))
