"""Admission at a target: exact slots, weighted fair queues, bounds on long work, shedding.

Classes share the slots in proportion to their weights, by service time. The tenants of one class
take turns. Long work may hold only a share of the slots.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from foxtailproxy.ejection import FailureRate
from foxtailproxy.load import Load
from foxtailproxy.outcome import NotRun, NotRunReason
from foxtailproxy.speed import RunTimes, Slowness

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock

SERVICE_TIME_SMOOTHING = 0.1
"""Weight of the newest call in the mean service time."""

INITIAL_SERVICE_MS = 5.0
SHORTEST_SERVICE_MS = 0.1

USUAL_SHARE = 0.3
"""Usual run time of a class that was not seen yet, as a share of its objective."""

TYPICAL_HALF_LIFE_MS = 2000.0
"""Time in which the typical service time of a target that runs nothing loses half of its weight."""


@dataclass(eq=False, slots=True)
class Ticket:
    """One call's place at the target; exactly one of its two callbacks is called, once."""

    call: Call
    on_admit: Callable[[], None]
    on_refuse: Callable[[NotRun], None]
    entered_ms: float = 0.0
    started_ms: float = -1.0
    slowness: float = 1.0

    @property
    def running(self) -> bool:
        """Whether the ticket holds a slot."""
        return self.started_ms >= 0


@dataclass(eq=False, slots=True)
class ClassQueue:
    """The calls of one class that wait, by tenant, and what is known of the class."""

    weight: int
    virtual_ms: float = 0.0
    service_ms: float = INITIAL_SERVICE_MS
    size: int = 0
    by_tenant: OrderedDict[str, deque[Ticket]] = field(default_factory=OrderedDict)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket behind the others of its tenant."""
        self.by_tenant.setdefault(ticket.call.tenant, deque()).append(ticket)
        self.size += 1

    def first(self) -> Ticket:
        """The ticket whose turn it is."""
        return next(iter(self.by_tenant.values()))[0]

    def take_first(self) -> Ticket:
        """Remove the ticket whose turn it is and let the next tenant have its turn."""
        tenant, waiting = next(iter(self.by_tenant.items()))
        ticket = waiting.popleft()
        self.size -= 1
        if waiting:
            self.by_tenant.move_to_end(tenant)
        else:
            del self.by_tenant[tenant]
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Remove one ticket; `False` where it is not here."""
        waiting = self.by_tenant.get(ticket.call.tenant)
        if waiting is None or ticket not in waiting:
            return False
        waiting.remove(ticket)
        self.size -= 1
        if not waiting:
            del self.by_tenant[ticket.call.tenant]
        return True

    def longest(self) -> deque[Ticket]:
        """The waiting calls of the tenant that has the most."""
        return max(self.by_tenant.values(), key=len)

    def tickets(self) -> list[Ticket]:
        """All that wait."""
        return [ticket for waiting in self.by_tenant.values() for ticket in waiting]


class Admission:
    """Gives a target's slots to calls."""

    def __init__(self, clock: Clock, slots: int) -> None:
        self.slots = slots
        self.fair = True
        self.bound_long = True
        self.slowness = Slowness(clock)
        self.run_times = RunTimes(clock)
        self.failures = FailureRate(clock)
        self._clock = clock
        self._by_class: dict[str, ClassQueue] = {}
        self._running: set[Ticket] = set()
        self._queued = 0
        self._virtual_ms = 0.0
        self._service_ms = INITIAL_SERVICE_MS
        self._log_service = 0.0
        self._last_left_ms = clock.now_ms()

    def load(self) -> Load:
        """The target's load now."""
        typical_ms = math.exp(self._log_service)
        if not self._running:
            # What was slow a while ago is worth another try.
            idle_ms = self._clock.now_ms() - self._last_left_ms
            typical_ms *= 0.5 ** (idle_ms / TYPICAL_HALF_LIFE_MS)
        return Load(
            len(self._running),
            self._queued,
            self.slots,
            self._service_ms,
            typical_ms,
            self._waits() if self._queued else {},
            self.run_times.usual_ms_by_class() if self.slowness.has_report else {},
            self.slowness.latest if self.slowness.has_report else 0.0,
            self.slowness.age_ms if self.slowness.has_report else 0.0,
            self.run_times.unreported_slowness() if self.slowness.has_report else 1.0,
            self.failures.value(),
        )

    def expected_ms(self, call: Call) -> float:
        """Expected wait and run time of a call here, in ms; 0 where its class was never seen."""
        if self.run_times.usual_ms(call.rule.name) is None:
            return 0.0
        wait_ms = self._expected_wait_ms(self._queue_of(call)) if self._full else 0.0
        return wait_ms + self.run_ms(call)

    @property
    def _full(self) -> bool:
        return self._queued > 0 or len(self._running) >= self.slots

    def _waits(self) -> dict[str, float]:
        """Expected wait in ms of each class that has calls waiting, by its name."""
        return {
            key.rpartition("/")[2]: self._expected_wait_ms(queue)
            for key, queue in self._by_class.items()
            if queue.size
        }

    @property
    def idle(self) -> bool:
        """Whether no call runs or waits."""
        return not self._running and not self._queued

    def set_slots(self, slots: int) -> None:
        """Change the number of slots; running calls keep theirs."""
        self.slots = slots
        self._admit_waiting()

    def enter(self, ticket: Ticket) -> None:
        """Admit, hold or refuse a call."""
        ticket.entered_ms = self._clock.now_ms()
        queue = self._queue_of(ticket.call)
        if not self._queued and self._may_run(ticket):
            self._start(ticket, queue)
            return
        refusal = self._refusal(ticket, queue)
        if refusal is not None:
            ticket.on_refuse(refusal)
            return
        if not queue.size:
            queue.virtual_ms = max(queue.virtual_ms, self._virtual_ms)
        queue.push(ticket)
        self._queued += 1
        self._admit_waiting()

    def leave(self, ticket: Ticket) -> None:
        """A running call has ended; its slot goes to the next."""
        if ticket not in self._running:
            return
        self._running.discard(ticket)
        elapsed = self._clock.now_ms() - ticket.started_ms
        queue = self._queue_of(ticket.call)
        self.run_times.record(ticket.call.rule.name, elapsed, ticket.slowness)
        queue.service_ms += SERVICE_TIME_SMOOTHING * (elapsed - queue.service_ms)
        self._service_ms += SERVICE_TIME_SMOOTHING * (elapsed - self._service_ms)
        log_elapsed = math.log(max(elapsed, SHORTEST_SERVICE_MS))
        self._log_service += SERVICE_TIME_SMOOTHING * (log_elapsed - self._log_service)
        self._last_left_ms = self._clock.now_ms()
        self._admit_waiting()

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a call that still waits; `False` where it runs or has ended."""
        if not self._queue_of(ticket.call).remove(ticket):
            return False
        self._queued -= 1
        return True

    def refuse_all(self, reason: NotRunReason) -> None:
        """Refuse every call that waits."""
        for queue in self._by_class.values():
            for ticket in queue.tickets():
                self._drop(ticket, reason)

    def sweep(self) -> None:
        """Refuse the calls that have waited too long, and use slots that became free."""
        now = self._clock.now_ms()
        for queue in self._by_class.values():
            for ticket in queue.tickets():
                if ticket.call.deadline_ms <= now:
                    self._drop(ticket, NotRunReason.DEADLINE)
                elif now - ticket.entered_ms > ticket.call.rule.hold_ms:
                    self._drop(ticket, NotRunReason.HELD_TOO_LONG)
        self._admit_waiting()

    def _queue_of(self, call: Call) -> ClassQueue:
        queue = self._by_class.get(call.class_key)
        if queue is None:
            queue = ClassQueue(call.rule.weight)
            self._by_class[call.class_key] = queue
        queue.weight = call.rule.weight
        return queue

    # Which call may run

    def _may_run(self, ticket: Ticket) -> bool:
        if len(self._running) >= self.slots:
            return False
        if ticket.call.crashed_upstreams and self._suspect_running():
            return False
        return not self.bound_long or not self._is_long(ticket.call) or self._room_for_long(ticket)

    def _suspect_running(self) -> bool:
        return any(ticket.call.crashed_upstreams for ticket in self._running)

    def _is_long(self, call: Call) -> bool:
        return call.rule.long or self._long_running(call.class_key) > 0

    def _room_for_long(self, ticket: Ticket) -> bool:
        limit = max(1, self.slots * ticket.call.service.long_percent // 100)
        declared = sum(1 for other in self._running if other.call.rule.long)
        if ticket.call.rule.long:
            return declared < limit
        return self._long_running(ticket.call.class_key) < limit

    def _long_running(self, class_key: str) -> int:
        now = self._clock.now_ms()
        return sum(
            1
            for ticket in self._running
            if ticket.call.class_key == class_key
            and now - ticket.started_ms > ticket.call.service.long_after_ms
        )

    def _start(self, ticket: Ticket, queue: ClassQueue) -> None:
        ticket.started_ms = self._clock.now_ms()
        ticket.slowness = self.slowness.expected()
        self._running.add(ticket)
        self._virtual_ms = max(self._virtual_ms, queue.virtual_ms)
        queue.virtual_ms = max(queue.virtual_ms, self._virtual_ms)
        queue.virtual_ms += queue.service_ms / queue.weight
        ticket.on_admit()

    def _admit_waiting(self) -> None:
        while self._queued and len(self._running) < self.slots:
            queue = self._next_queue()
            if queue is None:
                return
            ticket = queue.take_first()
            self._queued -= 1
            if ticket.call.deadline_ms <= self._clock.now_ms():
                ticket.on_refuse(NotRun(NotRunReason.DEADLINE))
                continue
            if queue.size and self._too_late(ticket.call):
                # Its slot serves the next one in time.
                ticket.on_refuse(NotRun(NotRunReason.HELD_TOO_LONG))
                continue
            self._start(ticket, queue)

    def _too_late(self, call: Call) -> bool:
        """Whether a call that waited would end after its objective."""
        if not call.rule.objective_ms:
            return False
        return call.objective_left_ms(self._clock) < self.run_ms(call)

    def _next_queue(self) -> ClassQueue | None:
        ready = [q for q in self._by_class.values() if q.size and self._may_run(q.first())]
        if not ready:
            return None
        if self.fair:
            return min(ready, key=lambda queue: queue.virtual_ms)
        return min(ready, key=lambda queue: queue.first().entered_ms)

    # Which call may wait

    def _refusal(self, ticket: Ticket, queue: ClassQueue) -> NotRun | None:
        rule = ticket.call.rule
        wait_ms = self._expected_wait_ms(queue)
        if wait_ms > self._patience_ms(ticket.call) and not self._shed_lower(rule.priority):
            return NotRun(NotRunReason.OVERLOADED, int(wait_ms) + 1)
        if queue.size >= rule.queue and not self._shed_greedy_tenant(ticket, queue):
            return NotRun(NotRunReason.QUEUE_FULL, int(wait_ms) + 1)
        return None

    def _patience_ms(self, call: Call) -> float:
        """The longest wait after which running the call is still worth its slot, in ms."""
        longest_ms = min(call.rule.hold_ms, call.remaining_ms(self._clock))
        if not call.rule.objective_ms:
            return longest_ms
        # On the mean a slot becomes free after this time.
        turn_ms = self._service_ms / max(1, self.slots)
        spare_ms = call.objective_left_ms(self._clock) - self.run_ms(call) - turn_ms
        return min(longest_ms, spare_ms)

    def run_ms(self, call: Call) -> float:
        """Expected run time of a call at the speed of this moment, in ms."""
        usual_ms = self.run_times.usual_ms(call.rule.name)
        if usual_ms is None:
            usual_ms = call.rule.objective_ms * USUAL_SHARE
        return usual_ms * self.slowness.expected() * self.run_times.unreported_slowness()

    def _expected_wait_ms(self, queue: ClassQueue) -> float:
        weights = sum(q.weight for q in self._by_class.values() if q.size or q is queue)
        share = self.slots * queue.weight / weights
        return queue.size * queue.service_ms / max(share, 0.01)

    def _shed_lower(self, priority: int) -> bool:
        """Drop the newest waiting call of the least important class below `priority`."""
        lower = [
            queue
            for queue in self._by_class.values()
            if queue.size and queue.first().call.rule.priority < priority
        ]
        if not lower:
            return False
        queue = min(lower, key=lambda queue: queue.first().call.rule.priority)
        self._drop(queue.longest()[-1], NotRunReason.OVERLOADED)
        return True

    def _shed_greedy_tenant(self, ticket: Ticket, queue: ClassQueue) -> bool:
        """Make room for a tenant that has fewer calls waiting than another."""
        if not queue.size:
            return False
        longest = queue.longest()
        own = queue.by_tenant.get(ticket.call.tenant, ())
        if len(longest) <= len(own) + 1:
            return False
        self._drop(longest[-1], NotRunReason.QUEUE_FULL)
        return True

    def _drop(self, ticket: Ticket, reason: NotRunReason) -> None:
        if self.withdraw(ticket):
            ticket.on_refuse(NotRun(reason))
