"""Token buckets of customers, kept by the node that owns a customer's allowance."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import structlog

from foxtailproxy.customers.rates import DecayingRate, ReportedRate
from foxtailproxy.models.messages import AllowanceLevel

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from foxtailproxy.clock import Clock
    from foxtailproxy.customers.allowance_client import CustomerLimit
    from foxtailproxy.models.messages import AllowanceUse
    from foxtailproxy.models.rules import CustomerRule

    Address = tuple[str, int]

log = structlog.get_logger()

MS_PER_SECOND = 1000.0
SECONDS_PER_MINUTE = 60.0

OPEN = 0
ASK = -1
"""Values of `AllowanceLevel.wait_ms`; a positive one is a time in milliseconds."""

OPEN_SHARE = 0.5
"""Share of the bucket from which nodes may draw without asking."""

REPORT_LAG_MS = 250.0
"""Time by which batched reports arrive late, in milliseconds. The bucket holds as many more tokens
as are refilled meanwhile, so that a steady use below the rate never finds it empty."""

SPLIT_TOKENS = 5.0
"""Least number of such tokens, since the regions divide the burst of a small customer."""

LAG_MARGIN_SHARE = 0.25
OVERDRAFT_MARGIN_SHARE = 0.25
FIRST_FILL_MARGIN_SHARE = 0.25
"""Parts of the margin that the settings leave beyond the allowance of one window: for late reports,
for shares that are granted before their tokens are refilled, and for the bucket of a new owner."""

MAX_ANSWERS_PER_S = 20.0
"""Rate of the answers of one owner to nodes whose customers exceed their limits."""

MIN_CLOSED_MS = 250.0
MAX_CLOSED_MS = 10_000.0
MAX_ASKS_PER_S = MS_PER_SECOND / MIN_CLOSED_MS
"""Bounds of the time between two grants to a node of a customer that exceeds its limit, and of the
rate of its questions."""

EARLY_SHARE = 0.25
"""Part of that time after which a node may ask again that got nothing for lack of tokens."""

CLOSED_SPREAD = 0.2
"""Relative spread of that time, so that the nodes do not ask in step."""

OVER_MEMORY_MS = 2000.0
"""Time after the last rejection during which a customer counts as over its limit."""

ACTIVE_MS = 2 * MAX_CLOSED_MS
"""Time after its last report during which a node counts as a source of demand."""

STREAM_MEMORY_MS = 60_000.0
"""Time after its last report for which a stream is remembered, to recognise repeated datagrams."""

DIGEST_BYTES = 8


def customer_digest(name: str) -> int:
    """Return the number that stands for a customer in datagrams."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).digest(), "big")


@dataclass(frozen=True, slots=True)
class AllowanceTerms:
    """Terms under which the requests of a customer are counted.

    All nodes together may admit (rate x window + burst) x (1 + `overage`) + `slack` requests in any
    window of `window_ms`.
    """

    window_ms: float = 5000.0
    overage: float = 0.0
    slack: float = 0.0

    def margin(self, rule: CustomerLimit) -> float:
        """Return the requests that one window may have beyond the allowance."""
        allowance = rule.rate_per_s * self.window_ms / MS_PER_SECOND + rule.burst
        return allowance * self.overage + self.slack


@dataclass(slots=True)
class Account:
    """Draws of one stream of reports from one bucket.

    `charged` is the part of the stream's total, and of what was granted beyond it, that the bucket
    has paid for.
    """

    charged: int
    demand: ReportedRate
    sequence: int = -1
    entered: int = 0
    heard_ms: float = 0.0
    last_level: AllowanceLevel | None = None


@dataclass(slots=True)
class Bucket:
    """Token bucket of one customer; `tokens` is negative if reports exceeded it."""

    rule: CustomerRule
    capacity: float
    overdraft: float
    tokens: float
    filled_ms: float
    demand: DecayingRate
    share: float = 1.0
    over_until_ms: float = -math.inf
    account_by_stream: dict[int, Account] = field(default_factory=dict)
    stream_by_sender: dict[Address, int] = field(default_factory=dict)

    def fill(self, now_ms: float, rate_per_s: float) -> None:
        """Add the tokens since the last time, up to one burst after a long sleep of the process."""
        elapsed_ms = max(0.0, now_ms - self.filled_ms)
        self.tokens = min(self.capacity, self.tokens + elapsed_ms * rate_per_s / MS_PER_SECOND)
        self.filled_ms = now_ms

    @property
    def rate_per_s(self) -> float:
        """Rate of the customer in this region, in requests per second."""
        return self.rule.rate_per_s * self.share

    def demand_per_s(self, now_ms: float) -> float:
        """Return the requests that enter at all nodes of the region, per second."""
        return self.demand.per_s(now_ms)

    def ask_rates(self, now_ms: float) -> list[float]:
        """Return the requests per second at each node that reported lately."""
        accounts = map(self.account_by_stream.__getitem__, self.stream_by_sender.values())
        return [item.demand.per_s() for item in accounts if now_ms - item.heard_ms < ACTIVE_MS]

    def account(self, sender: Address, use: AllowanceUse, now_ms: float) -> Account:
        """Return the account of a report, a new one for a new stream."""
        account = self.account_by_stream.get(use.stream)
        if account is None:
            self._forget_streams(now_ms)
            account = Account(use.total - use.unacknowledged, ReportedRate(now_ms - ACTIVE_MS))
            account.entered = max(0, use.entered - max(0, use.unacknowledged) - use.waiting)
            self.account_by_stream[use.stream] = account
            self.stream_by_sender[sender] = use.stream
        return account

    def _forget_streams(self, now_ms: float) -> None:
        """Forget streams that can no longer be repeated, and their senders."""
        for stream, account in list(self.account_by_stream.items()):
            if now_ms - account.heard_ms > STREAM_MEMORY_MS:
                del self.account_by_stream[stream]
        known = self.account_by_stream
        self.stream_by_sender = {
            sender: stream for sender, stream in self.stream_by_sender.items() if stream in known
        }


class AllowanceOwner:
    """Buckets of the customers that this node owns.

    Each region has an owner of its own. `region_share` returns the part of the rate that its demand
    gives this region, and `live_share` the part of the region's nodes that this node can reach: in
    a partition, the owner on the other side grants the rest.
    """

    def __init__(
        self,
        clock: Clock,
        terms: AllowanceTerms,
        rng: random.Random,
        live_share: Callable[[], float],
        region_share: Callable[[int, Bucket], float] = lambda customer, bucket: 1.0,
    ) -> None:
        self.terms = terms
        self.granted = 0
        self.refused = 0
        self.repeated = 0
        self.bucket_by_customer: dict[int, Bucket] = {}
        self._clock = clock
        self._rng = rng
        self.on_owned: Callable[[int], None] = lambda customer: None
        self._live_share = live_share
        self._region_share = region_share
        self._rule_by_customer: dict[int, CustomerRule] = {}

    def set_customers(self, rules: Iterable[CustomerRule]) -> None:
        """Apply a configuration: buckets keep their tokens, up to the new burst."""
        self._rule_by_customer = {
            customer_digest(rule.name): rule for rule in rules if rule.rate_per_s
        }
        for customer, bucket in list(self.bucket_by_customer.items()):
            rule = self._rule_by_customer.get(customer)
            if rule is None:
                del self.bucket_by_customer[customer]
                continue
            bucket.fill(self._clock.now_ms(), bucket.rate_per_s)
            self._apply_rule(customer, bucket, rule)

    def release(self, is_owned: Callable[[CustomerRule], bool]) -> None:
        """Forget the buckets of customers that another node owns now."""
        for customer, bucket in list(self.bucket_by_customer.items()):
            if not is_owned(bucket.rule):
                del self.bucket_by_customer[customer]
                log.info("allowance_released", customer=bucket.rule.name)

    def restart_buckets(self) -> None:
        """Lower all buckets to the fill of a new owner: others may have owned them meanwhile."""
        for bucket in self.bucket_by_customer.values():
            bucket.fill(self._clock.now_ms(), bucket.rate_per_s)
            bucket.tokens = min(bucket.tokens, self._first_fill(bucket.rule) * bucket.share)

    def settle(self, sender: Address, sequence: int, use: AllowanceUse) -> AllowanceLevel | None:
        """Charge a node's draws and grant what waits; `None` for an old or unknown report.

        A report that is repeated gets the same answer again, and is not charged again.
        """
        bucket = self.bucket(use.customer)
        if bucket is None:
            return None
        now_ms = self._clock.now_ms()
        bucket.fill(now_ms, bucket.rate_per_s)
        self._apply_rule(use.customer, bucket, bucket.rule)
        account = bucket.account(sender, use, now_ms)
        if sequence <= account.sequence:
            self.repeated += 1
            return account.last_level if sequence == account.sequence else None
        account.sequence = sequence
        account.heard_ms = now_ms
        entered = max(0, use.entered - account.entered)
        account.entered = max(account.entered, use.entered)
        account.demand.add(now_ms, entered)
        bucket.demand.add(now_ms, entered)
        # Draws that were granted but not used return; unreported ones may exceed the bucket.
        bucket.tokens = min(bucket.capacity, bucket.tokens + account.charged - use.total)
        bucket.tokens = max(bucket.tokens, -self._max_debt(bucket.rule))
        granted, wait_ms = self._decide(bucket, use, account.demand.per_s(), now_ms)
        bucket.tokens -= granted
        account.charged = use.total + granted
        self.granted += granted
        self.refused += max(0, use.waiting - granted)
        account.last_level = AllowanceLevel(use.customer, use.total, granted, wait_ms)
        return account.last_level

    def _decide(
        self, bucket: Bucket, use: AllowanceUse, node_demand_per_s: float, now_ms: float
    ) -> tuple[int, int]:
        """Return the draws to grant, and the level as in `AllowanceLevel.wait_ms`."""
        rate_per_s = bucket.rate_per_s
        over = now_ms < bucket.over_until_ms
        if not over and bucket.tokens >= use.waiting:
            left = bucket.tokens - use.waiting
            return use.waiting, OPEN if left >= bucket.capacity * OPEN_SHARE else ASK
        demand_per_s = bucket.demand_per_s(now_ms)
        if not over and demand_per_s <= rate_per_s:
            # The bucket is low for a moment only; nodes need not take turns.
            granted = max(0, math.floor(bucket.tokens))
            missing = use.waiting - granted - (bucket.tokens - granted)
            return granted, max(1, round(max(1.0, missing) / rate_per_s * MS_PER_SECOND))
        wait_ms = self._closed_ms(now_ms, bucket)
        wanted = max(use.waiting, round(node_demand_per_s * wait_ms / MS_PER_SECOND))
        node_share = min(1.0, node_demand_per_s / demand_per_s) if demand_per_s else 1.0
        fair = rate_per_s * wait_ms / MS_PER_SECOND * node_share
        granted = self._share(bucket, wanted, fair)
        if demand_per_s > rate_per_s:
            if not over:
                log.info(
                    "allowance_over",
                    customer=bucket.rule.name,
                    rate_per_s=round(rate_per_s, 2),
                    demand_per_s=round(demand_per_s, 1),
                    nodes=len(bucket.ask_rates(now_ms)),
                    tokens=round(bucket.tokens, 1),
                    share=round(bucket.share, 3),
                )
            bucket.over_until_ms = now_ms + OVER_MEMORY_MS
        if granted < use.waiting:
            wait_ms = self._refused_ms(bucket, granted, fair, wait_ms)
        spread = 1 + CLOSED_SPREAD * (2 * self._rng.random() - 1)
        return granted, round(min(max(wait_ms * spread, 1.0), MAX_CLOSED_MS))

    @staticmethod
    def _refused_ms(bucket: Bucket, granted: int, fair: float, wait_ms: float) -> float:
        """Return the time until there is a token, for a node that did not get what waits."""
        if fair >= 1:
            # It will get its share as soon as the debt is paid; later, tokens would overflow.
            wait_ms = max(MIN_CLOSED_MS, wait_ms * EARLY_SHARE)
        missing = 1 - (bucket.tokens - granted)
        return max(wait_ms, missing / bucket.rate_per_s * MS_PER_SECOND)

    @staticmethod
    def _share(bucket: Bucket, wanted: int, fair: float) -> int:
        """Return what a node gets of a bucket that does not suffice for all."""
        available = bucket.tokens + bucket.overdraft * (fair >= 1)
        share = max(fair, bucket.tokens / 2, 1.0 if bucket.tokens >= 1 else 0.0)
        return max(0, math.floor(min(wanted, share, available)))

    def _closed_ms(self, now_ms: float, bucket: Bucket) -> float:
        """Return the time between two grants to one node, which bounds the rate of answers."""
        rates = [
            rate
            for item in self.bucket_by_customer.values()
            if item is bucket or now_ms < item.over_until_ms
            for rate in item.ask_rates(now_ms)
        ]
        if sum(min(rate, MAX_ASKS_PER_S) for rate in rates) <= MAX_ANSWERS_PER_S:
            return MIN_CLOSED_MS
        askers = len(rates)
        return min(max(MIN_CLOSED_MS, askers / MAX_ANSWERS_PER_S * MS_PER_SECOND), MAX_CLOSED_MS)

    def bucket(self, customer: int) -> Bucket | None:
        """Return the bucket of a customer, a new one if needed; `None` if it has no limit."""
        bucket = self.bucket_by_customer.get(customer)
        rule = self._rule_by_customer.get(customer)
        if bucket is not None or rule is None:
            return bucket
        now_ms = self._clock.now_ms()
        bucket = Bucket(rule, 0.0, 0.0, math.inf, now_ms, DecayingRate(now_ms))
        self.bucket_by_customer[customer] = bucket
        self._apply_rule(customer, bucket, rule)
        bucket.tokens = min(bucket.capacity, self._first_fill(rule) * bucket.share)
        log.info(
            "allowance_owned",
            customer=rule.name,
            rate_per_s=rule.rate_per_s,
            tokens=round(bucket.tokens, 1),
            share=round(bucket.share, 3),
        )
        self.on_owned(customer)
        return bucket

    def _apply_rule(self, customer: int, bucket: Bucket, rule: CustomerRule) -> None:
        """Derive the bucket's rate and capacity from the rule and this region's share."""
        margin = self.terms.margin(rule)
        lag_tokens = rule.rate_per_s * REPORT_LAG_MS / MS_PER_SECOND
        bucket.rule = rule
        bucket.share = self._live_share() * self._region_share(customer, bucket)
        lag_capacity = min(max(lag_tokens, SPLIT_TOKENS), margin * LAG_MARGIN_SHARE)
        bucket.capacity = max(1.0, (rule.burst + lag_capacity) * bucket.share)
        bucket.overdraft = min(margin * OVERDRAFT_MARGIN_SHARE, lag_tokens) * bucket.share
        bucket.tokens = min(bucket.tokens, bucket.capacity)

    def _first_fill(self, rule: CustomerRule) -> float:
        """Return the tokens of a new owner: the last one may just have given away a whole burst."""
        return min(rule.burst, self.terms.margin(rule) * FIRST_FILL_MARGIN_SHARE)

    def _max_debt(self, rule: CustomerRule) -> float:
        """Return the largest debt: after a window without draws it is paid."""
        return rule.rate_per_s * self.terms.window_ms / MS_PER_SECOND + rule.burst
