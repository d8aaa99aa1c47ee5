"""Draws from the allowances of customers, by the node at which their requests enter."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any, Protocol

import structlog
from twisted.internet.defer import Deferred, succeed

from foxtailproxy.clock import WorkTimer, cancel_timer
from foxtailproxy.customers.allowance import (
    ASK,
    CLOSED_SPREAD,
    MIN_CLOSED_MS,
    MS_PER_SECOND,
    OPEN,
    customer_digest,
)
from foxtailproxy.customers.rates import DecayingRate
from foxtailproxy.models.messages import AllowanceLevel, AllowanceUse
from foxtailproxy.outcome import NotRun, NotRunReason

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from foxtailproxy.clock import Clock
    from foxtailproxy.customers.allowance import AllowanceOwner
    from foxtailproxy.customers.allowance_exchange import AllowanceExchange
    from foxtailproxy.customers.owners import Owners
    from foxtailproxy.models.messages import MemberRecord

    Address = tuple[str, int]

log = structlog.get_logger()

REPORT_INTERVAL_MS = 250.0
"""Interval in milliseconds at which draws are reported while their level is open."""

REPEAT_MS = 250.0
"""Time in milliseconds after which a report without an answer is repeated."""

UNREPORTED_SHARE = 1 / 32
"""Part of the burst that one node may draw before it reports at once."""

ANSWER_WAIT_MS = 5.0
"""Longest wait for the answer of the owner, which is in the same region, in milliseconds."""

SILENT_AFTER_MS = 1500.0
"""Time without an answer to reports after which a node draws from its local share."""

EXPIRED_LIMIT = 2
SILENT_MS = 500.0
"""Time after so many unanswered questions in which a node asks, but does not wait for answers."""

OPEN_SHARE_FACTOR = 1.5
CLOSED_SHARE_FACTOR = 0.5
"""Local share without an owner, relative to the rate at which this node has been admitting: the sum
over all nodes is the rate of the customer if it was over its limit, and below it otherwise."""

EVEN_SHARE_FACTOR = 0.25
"""Part of an even share of the limit that each node has in addition."""

LOCAL_BURST_MS = 500.0
"""Time in which the local share refills one local burst, in milliseconds."""

LOCAL_FILL_MARGIN_SHARE = 0.25
"""Part of the margin that the local bursts of all nodes together may have at first."""

MAX_RETRY_AFTER_MS = 10_000.0
RETRY_SPREAD = 0.25
"""Longest `Retry-After` in milliseconds, and the relative spread of all."""

MAX_USES = 40
"""Most customers in one datagram."""

LOGGED_PER_S = 10
"""Rejections of one customer that are logged in one second; the rest are counted."""


class CustomerLimit(Protocol):
    """Customer and its limit over all nodes: a rate in requests per second, and a burst."""

    @property
    def name(self) -> str:
        """Name of the customer."""

    @property
    def rate_per_s(self) -> float:
        """Requests per second; 0 for no limit."""

    @property
    def burst(self) -> float:
        """Requests at once beyond that rate."""


@dataclass(slots=True)
class LocalShare:
    """Token bucket that a node uses while the owner does not answer."""

    rate_per_s: float
    burst: float
    tokens: float
    filled_ms: float

    def try_draw(self, now_ms: float) -> bool:
        """Draw a token if there is one."""
        elapsed_ms = max(0.0, now_ms - self.filled_ms)
        self.tokens = min(self.burst, self.tokens + elapsed_ms * self.rate_per_s / MS_PER_SECOND)
        self.filled_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def wait_ms(self) -> float:
        """Return the time until there is a token."""
        return max(0.0, 1 - self.tokens) / max(self.rate_per_s, 1e-3) * MS_PER_SECOND


@dataclass(frozen=True, slots=True)
class Drawn:
    """Draw of one request; `stream` is that of the reports which contain it."""

    customer: int = 0
    stream: int = 0


@dataclass(frozen=True, slots=True)
class AllowanceState:
    """What is known at this node of a customer's allowance; times in ms.

    `admits` tells whether the next request is admitted; `None` if the owner is asked or a local
    share begins. `level_age_ms` is the age of the owner's last answer, -1 without one.
    """

    name: str
    admits: bool | None
    owner_id: str = ""
    level_age_ms: float = -1.0
    wait_ms: float = 0.0


FREE = Drawn()
"""Draw of a request whose customer has no limit."""


@dataclass(eq=False, slots=True)
class Waiter:
    """Request that waits for the owner's answer."""

    request_id: str
    done: Deferred[Drawn | NotRun] = field(default_factory=Deferred)


@dataclass(eq=False, slots=True)
class Usage:
    """Draws of one customer at this node, and what its owner last answered.

    `entered` counts the requests and `total` the draws since the stream began, `acknowledged` the
    draws that the owner knows of.
    `over` tells whether the customer exceeded its limit at the last answer.
    """

    rule: CustomerLimit
    customer: int
    owner: MemberRecord
    stream: int
    admitted: DecayingRate
    demand: DecayingRate
    entered: int = 0
    total: int = 0
    acknowledged: int = 0
    sent_total: int = 0
    sent_sequence: int = -1
    answered_sequence: int = -1
    sent_ms: float = -math.inf
    unanswered_since_ms: float = math.inf
    limit: int = 0
    wait_ms: int = OPEN
    level_ms: float = -math.inf
    over: bool = False
    silent_until_ms: float = -math.inf
    expired: int = 0
    promised_ms: float = 0.0
    waiters: list[Waiter] = field(default_factory=list)
    timer: Any = None
    local: LocalShare | None = None
    logged_second: int = 0
    logged: int = 0
    suppressed: int = 0

    @property
    def needs_report(self) -> bool:
        """Whether there are draws or unused grants that the owner does not know of."""
        return self.total != self.acknowledged or self.limit > self.total

    def report_due(self, now_ms: float) -> bool:
        """Return whether to report now; while the level is closed, the next question does it."""
        if self.closed_left_ms(now_ms) or not self.needs_report:
            return False
        changed = self.total != self.sent_total or self.limit > self.total
        return changed or now_ms - self.sent_ms >= REPEAT_MS

    def closed_left_ms(self, now_ms: float) -> float:
        """Return how much longer the level is closed, in milliseconds; 0 if it is not."""
        return max(0.0, self.level_ms + self.wait_ms - now_ms) if self.wait_ms > 0 else 0.0

    def is_open(self) -> bool:
        """Return whether requests may be admitted without asking; also before the first level."""
        return self.wait_ms == OPEN

    def is_silent(self, now_ms: float) -> bool:
        """Return whether the owner has not answered for long."""
        unanswered_ms = now_ms - self.unanswered_since_ms
        return now_ms < self.silent_until_ms or unanswered_ms > SILENT_AFTER_MS


class Allowances:
    """Draws of the requests that enter at this node.

    `draw` costs nothing for a customer without a limit: no message, timer or state.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        owners: Owners,
        owner: AllowanceOwner,
        exchange: AllowanceExchange,
    ) -> None:
        self.drawn = 0
        self.rejected = 0
        self.drawn_locally = 0
        self.given_back = 0
        self.unanswered = 0
        self.usage_by_customer: dict[int, Usage] = {}
        self._limited: frozenset[int] | None = None
        self._clock = clock
        self._rng = rng
        self._owners = owners
        self._owner = owner
        self._exchange = exchange
        self._reports = WorkTimer(clock, REPORT_INTERVAL_MS, self._report_due)
        exchange.on_level = self._handle_level

    def close(self) -> None:
        """Report what is unreported, admit what waits from the local shares, and stop."""
        # A request that ends lets the next one on its connection draw, maybe for another customer.
        for usage in list(self.usage_by_customer.values()):
            self._decide_locally(usage)
        self._send([usage for usage in self.usage_by_customer.values() if usage.needs_report])
        self._reports.close()

    # Requests

    def draw(self, rule: CustomerLimit, request_id: str = "") -> Deferred[Drawn | NotRun]:
        """Draw one request from a customer's allowance, or reject it.

        The result fires at once, or after a round trip to the owner at most.
        """
        if not rule.rate_per_s or not self._is_limited(rule):
            return succeed(FREE)
        now_ms = self._clock.now_ms()
        usage = self._usage(rule, now_ms)
        usage.demand.add(now_ms)
        usage.entered += 1
        if usage.total < usage.limit:
            return succeed(self._admit(usage))
        if usage.closed_left_ms(now_ms):
            return succeed(self._reject(usage, request_id))
        if usage.is_silent(now_ms):
            drawn = self._draw_locally(usage, request_id)
            self._probe(usage, now_ms)
            return succeed(drawn)
        if usage.is_open():
            return succeed(self._admit(usage))
        waiter = Waiter(request_id)
        usage.waiters.append(waiter)
        if usage.timer is None:
            self._ask(usage)
        return waiter.done

    def give_back(self, drawn: Drawn) -> None:
        """Return the draw of a request that ended as "not run"."""
        usage = self.usage_by_customer.get(drawn.customer)
        if usage is None or usage.stream != drawn.stream:
            return
        self.given_back += 1
        usage.total -= 1
        self._reports.wake()

    def peek(self, rule: CustomerLimit) -> AllowanceState:
        """Return what `draw` would do with a request, without drawing or asking."""
        usage = self.usage_by_customer.get(customer_digest(rule.name))
        if not rule.rate_per_s:
            return AllowanceState("no-limit", True)
        if usage is None:
            return AllowanceState("no-requests-yet", True)
        now_ms = self._clock.now_ms()
        age_ms = now_ms - usage.level_ms if usage.level_ms > -math.inf else -1.0
        state, admits, wait_ms = self._peek_level(usage, now_ms)
        return AllowanceState(state, admits, usage.owner.node_id, age_ms, wait_ms)

    @staticmethod
    def _peek_level(usage: Usage, now_ms: float) -> tuple[str, bool | None, float]:
        """Return the state of a customer, whether it admits a request, and the wait in ms."""
        if usage.total < usage.limit:
            return "granted", True, 0.0
        closed_ms = usage.closed_left_ms(now_ms)
        if closed_ms:
            return "closed", False, closed_ms
        if usage.is_silent(now_ms):
            # Without a share so far, the first request begins one.
            share = None if usage.local is None else replace(usage.local)
            if share is None:
                return "owner-silent", None, 0.0
            admits = share.try_draw(now_ms)
            return "owner-silent", admits, 0.0 if admits else share.wait_ms()
        return ("open", True, 0.0) if usage.is_open() else ("ask", None, 0.0)

    def set_customers(self, rules: Iterable[CustomerLimit]) -> None:
        """Apply a configuration: forget the customers that it no longer limits."""
        limited = frozenset(customer_digest(rule.name) for rule in rules if rule.rate_per_s)
        self._limited = limited
        for customer in self.usage_by_customer.keys() - limited:
            usage = self.usage_by_customer.pop(customer)
            cancel_timer(usage.timer)
            for waiter in usage.waiters:
                waiter.done.callback(FREE)

    def _is_limited(self, rule: CustomerLimit) -> bool:
        """Return whether the configuration in force limits a customer.

        A request that waited since an earlier one may have a limit that was removed. No owner would
        answer for it, so that its draw would be reported again and again.
        """
        return self._limited is None or customer_digest(rule.name) in self._limited

    def _usage(self, rule: CustomerLimit, now_ms: float) -> Usage:
        """Return the state of a customer; a new owner's stream begins without draws."""
        customer = customer_digest(rule.name)
        owner = self._owners.owner_of(customer)
        usage = self.usage_by_customer.get(customer)
        if usage is None:
            rates = DecayingRate(now_ms), DecayingRate(now_ms)
            usage = Usage(rule, customer, owner, self._new_stream(), *rates)
            self.usage_by_customer[customer] = usage
        usage.rule = rule
        self._follow_owner(usage, owner)
        return usage

    def _follow_owner(self, usage: Usage, owner: MemberRecord) -> None:
        """Begin a new stream if the owner, or its process, has changed."""
        same = (owner.node_id, owner.boot_id) == (usage.owner.node_id, usage.owner.boot_id)
        usage.owner = owner
        if same:
            return
        # The last draws are reported to the new owner. The earlier ones count as paid, since its
        # bucket begins low; otherwise it would refuse what was drawn before it was known.
        unacknowledged = usage.total - usage.acknowledged
        rate_per_s = usage.admitted.per_s(self._clock.now_ms())
        last_draws = round(rate_per_s * REPORT_INTERVAL_MS / MS_PER_SECOND)
        usage.total = max(0, min(unacknowledged, last_draws))
        usage.acknowledged = usage.sent_total = 0
        usage.entered = usage.total
        usage.limit = usage.total
        usage.stream = self._new_stream()
        usage.sent_sequence = usage.answered_sequence = -1
        usage.sent_ms = -math.inf
        usage.unanswered_since_ms = math.inf
        usage.silent_until_ms = -math.inf
        if not usage.is_open():
            usage.wait_ms = ASK
        usage.local = None

    def _new_stream(self) -> int:
        # Random, so that reports of an earlier process at the same address are told apart.
        return self._rng.getrandbits(32)

    def _admit(self, usage: Usage) -> Drawn:
        self.drawn += 1
        usage.total += 1
        usage.admitted.add(self._clock.now_ms())
        self._reports.wake()
        # Draws that were granted are known to the owner already.
        unreported = usage.total - max(usage.sent_total, usage.limit)
        if usage.is_open() and unreported >= max(2.0, usage.rule.burst * UNREPORTED_SHARE):
            self._send([usage])
        return Drawn(usage.customer, usage.stream)

    def _reject(self, usage: Usage, request_id: str, local: bool = False) -> NotRun:
        self.rejected += 1
        retry_after_ms = self._retry_after_ms(usage)
        self._log_rejection(usage, request_id, retry_after_ms, local)
        return NotRun(NotRunReason.ALLOWANCE_EXCEEDED, retry_after_ms)

    def _retry_after_ms(self, usage: Usage) -> int:
        """Return when there is a token for one more, behind those that were told to come back."""
        now_ms = self._clock.now_ms()
        even_per_s = usage.rule.rate_per_s / self._owners.known_count()
        rate_per_s = max(usage.admitted.per_s(now_ms), even_per_s)
        begin_ms = now_ms + usage.closed_left_ms(now_ms)
        if usage.local is not None and not usage.closed_left_ms(now_ms):
            begin_ms += usage.local.wait_ms()
        turn_ms = max(begin_ms, usage.promised_ms) + MS_PER_SECOND / rate_per_s
        usage.promised_ms = min(turn_ms, now_ms + MAX_RETRY_AFTER_MS)
        spread = 1 + RETRY_SPREAD * (2 * self._rng.random() - 1)
        return max(1, round(min((usage.promised_ms - now_ms) * spread, MAX_RETRY_AFTER_MS)))

    def _log_rejection(
        self, usage: Usage, request_id: str, retry_after_ms: int, local: bool
    ) -> None:
        now_ms = self._clock.now_ms()
        second = int(now_ms // MS_PER_SECOND)
        if second != usage.logged_second:
            usage.logged_second, usage.logged = second, 0
        if usage.logged >= LOGGED_PER_S:
            usage.suppressed += 1
            return
        usage.logged += 1
        log.info(
            "allowance_exceeded",
            attempt=request_id,
            customer=usage.rule.name,
            rate_per_s=round(usage.rule.rate_per_s, 2),
            demand_here_per_s=round(usage.demand.per_s(now_ms), 1),
            admitted_here_per_s=round(usage.admitted.per_s(now_ms), 1),
            owner=usage.owner.node_id,
            level_age_ms=round(min(now_ms - usage.level_ms, 1e9)),
            decided_by="local-share" if local else "owner",
            retry_after_ms=retry_after_ms,
            unlogged=usage.suppressed,
        )
        usage.suppressed = 0

    # Local shares

    def _draw_locally(self, usage: Usage, request_id: str) -> Drawn | NotRun:
        now_ms = self._clock.now_ms()
        if usage.local is None:
            usage.local = self._local_share(usage, now_ms)
            log.warning(
                "allowance_owner_silent",
                attempt=request_id,
                customer=usage.rule.name,
                owner=usage.owner.node_id,
                level_age_ms=round(min(now_ms - usage.level_ms, 1e9)),
                local_rate_per_s=round(usage.local.rate_per_s, 2),
                nodes=self._owners.known_count(),
            )
        if not usage.local.try_draw(now_ms):
            return self._reject(usage, request_id, local=True)
        self.drawn_locally += 1
        return self._admit(usage)

    def _local_share(self, usage: Usage, now_ms: float) -> LocalShare:
        """Return the share of this node until the owner answers again."""
        rule, nodes = usage.rule, self._owners.known_count()
        factor = CLOSED_SHARE_FACTOR if usage.over else OPEN_SHARE_FACTOR
        even_per_s = EVEN_SHARE_FACTOR * rule.rate_per_s / nodes
        rate_per_s = factor * usage.admitted.per_s(now_ms) + even_per_s
        burst = 1 + rate_per_s * LOCAL_BURST_MS / MS_PER_SECOND
        if not usage.over:
            return LocalShare(rate_per_s, burst, burst, now_ms)
        first_fill = LOCAL_FILL_MARGIN_SHARE * self._owner.terms.margin(rule) / nodes
        # A share of a request is rounded at random, so that the sum over all nodes is kept.
        return LocalShare(rate_per_s, burst, min(1.0, first_fill) > self._rng.random(), now_ms)

    def _decide_locally(self, usage: Usage) -> None:
        waiters, usage.waiters = usage.waiters, []
        cancel_timer(usage.timer)
        usage.timer = None
        for waiter in waiters:
            waiter.done.callback(self._draw_locally(usage, waiter.request_id))

    # Reports and questions

    def _ask(self, usage: Usage) -> None:
        """Ask the owner for the requests that wait."""
        use = self._use(usage)
        usage.timer = self._clock.call_later(ANSWER_WAIT_MS / 2, self._ask_again, usage, use)
        if not self._send_to_owner([usage]):
            self._question_expired(usage)

    def _ask_again(self, usage: Usage, use: AllowanceUse) -> None:
        """Repeat a question, which or whose answer may be lost; the owner charges it only once."""
        usage.timer = self._clock.call_later(ANSWER_WAIT_MS / 2, self._question_expired, usage)
        self._exchange.report(usage.owner, usage.sent_sequence, [use])

    def _question_expired(self, usage: Usage) -> None:
        self.unanswered += 1
        usage.expired += 1
        if usage.expired >= EXPIRED_LIMIT:
            usage.silent_until_ms = self._clock.now_ms() + SILENT_MS
        self._decide_locally(usage)

    def _probe(self, usage: Usage, now_ms: float) -> None:
        if now_ms - usage.sent_ms >= REPORT_INTERVAL_MS:
            self._send([usage])

    def _report_due(self) -> bool:
        """Report draws; return whether there is more to report later."""
        now_ms = self._clock.now_ms()
        for usage in self.usage_by_customer.values():
            self._follow_owner(usage, self._owners.owner_of(usage.customer))
        usages = list(self.usage_by_customer.values())
        self._send([usage for usage in usages if usage.report_due(now_ms)])
        return any(usage.needs_report for usage in usages)

    def _send(self, usages: list[Usage]) -> None:
        """Send reports to the owners of some customers, one to each."""
        usages_by_owner: dict[str, list[Usage]] = {}
        for usage in usages:
            usages_by_owner.setdefault(usage.owner.node_id, []).append(usage)
        for same_owner in usages_by_owner.values():
            for start in range(0, len(same_owner), MAX_USES):
                self._send_to_owner(same_owner[start : start + MAX_USES])

    def _send_to_owner(self, usages: list[Usage]) -> bool:
        """Send a report to the common owner of some customers; return whether it was sent."""
        now_ms = self._clock.now_ms()
        sequence = self._exchange.next_sequence()
        uses = [self._use(usage) for usage in usages]
        for usage in usages:
            # The owner takes back what it granted and was not used, and answers with a new grant.
            usage.limit = min(usage.limit, usage.total)
            usage.sent_total = usage.total
            usage.sent_ms = now_ms
            usage.sent_sequence = sequence
            if usage.answered_sequence < 0:
                usage.answered_sequence = sequence - 1
            usage.unanswered_since_ms = min(usage.unanswered_since_ms, now_ms)
        return self._exchange.report(usages[0].owner, sequence, uses)

    @staticmethod
    def _use(usage: Usage) -> AllowanceUse:
        return AllowanceUse(
            usage.customer,
            usage.stream,
            usage.total,
            usage.total - usage.acknowledged,
            len(usage.waiters),
            usage.entered,
        )

    def _handle_level(self, owner: Address, sequence: int, level: AllowanceLevel) -> None:
        """Apply an answer that belongs to the current stream and is newer than the last one."""
        usage = self.usage_by_customer.get(level.customer)
        if usage is None or owner != (usage.owner.address, usage.owner.gossip_port):
            return
        if usage.answered_sequence < 0 or not (
            usage.answered_sequence < sequence <= usage.sent_sequence
        ):
            return
        now_ms = self._clock.now_ms()
        usage.answered_sequence = sequence
        usage.acknowledged = level.total
        usage.wait_ms = level.wait_ms
        usage.level_ms = now_ms
        usage.over = level.wait_ms >= MIN_CLOSED_MS * (1 - CLOSED_SPREAD)
        usage.unanswered_since_ms = math.inf
        usage.silent_until_ms = -math.inf
        usage.expired = 0
        usage.local = None
        if sequence == usage.sent_sequence:
            # A later report has returned what an earlier answer grants.
            usage.limit = level.total + level.granted
            self._serve_waiters(usage, now_ms)

    def _serve_waiters(self, usage: Usage, now_ms: float) -> None:
        cancel_timer(usage.timer)
        usage.timer = None
        waiters, usage.waiters = usage.waiters, []
        for index, waiter in enumerate(waiters):
            if usage.total < usage.limit or usage.is_open():
                waiter.done.callback(self._admit(usage))
            elif usage.closed_left_ms(now_ms):
                waiter.done.callback(self._reject(usage, waiter.request_id))
            else:
                # They came after the question was sent.
                usage.waiters = waiters[index:] + usage.waiters
                self._ask(usage)
                return
