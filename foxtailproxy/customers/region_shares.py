"""Division of a customer's rate between regions, by the demand in each.

Traffic between regions is scarce, so only the owners of a customer in each region exchange its
demand, about once a second. A region raises its own part only after the others have confirmed its
demand, that is, after they have lowered theirs: in a partition the parts stay as they were.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
import structlog

from foxtailproxy.clock import WorkTimer
from foxtailproxy.customers.allowance import SECONDS_PER_MINUTE
from foxtailproxy.models.messages import AllowanceDemand, RegionDemand
from foxtailproxy.traffic_budget import Purpose

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.clock import Clock
    from foxtailproxy.customers.allowance import AllowanceOwner, Bucket
    from foxtailproxy.customers.owners import Owners
    from foxtailproxy.models.messages import MemberRecord

    Address = tuple[str, int]

log = structlog.get_logger()

DEMAND_MARK = b"\x05"
"""First byte of the datagrams; no other datagram begins with it."""

EXCHANGE_MS = 1000.0
"""Interval in milliseconds at which the demand is sent to the other regions."""

REFRESH_MS = 4000.0
"""Time in milliseconds after which a demand is sent again that has not changed."""

REPLY_MS = 700.0
"""Time after a datagram to a region in which another one to it is not needed, in milliseconds."""

BASE_SHARE = 0.1
"""Least part of the rate that is divided evenly, so that a region without demand can begin."""

STEADY_SHARE = 0.1
"""Change of the demand, relative to it and to the rate, up to which the last value stands."""

LEARNING_MS = 3000.0
"""Time in milliseconds in which a new owner learns the demand; until then it keeps to that which
the other regions had from the last owner."""

UNKNOWN = -1
"""Demand that is not known."""

MAX_DEMANDS = 40
"""Most customers in one datagram."""


@dataclass(slots=True)
class Demands:
    """Demand of one customer by region, in requests per minute.

    `own_per_min` is what was last sent to the other regions, `confirmed_by_region` what each of
    them said that it has, and `inherited_per_min` what they had when this node became the owner.
    """

    began_ms: float
    own_per_min: int = UNKNOWN
    inherited_per_min: int = UNKNOWN
    by_region: dict[str, int] = field(default_factory=dict)
    confirmed_by_region: dict[str, int] = field(default_factory=dict)
    sent_ms_by_region: dict[str, float] = field(default_factory=dict)

    def settled_per_min(self) -> int:
        """Return the own demand as far as all regions that were heard of know it."""
        confirmed = [self.confirmed_by_region.get(region, 0) for region in self.by_region]
        return max(0, min([self.own_per_min, *confirmed]))


class RegionShares:
    """Parts of the customers' rates that this region may grant."""

    def __init__(
        self, clock: Clock, owners: Owners, send: Callable[[Purpose, bytes, Address], bool]
    ) -> None:
        self.sent = 0
        self.skipped = 0
        self.malformed = 0
        self._clock = clock
        self._owners = owners
        self._send = send
        self._owner: AllowanceOwner | None = None
        self._demands_by_customer: dict[int, Demands] = {}
        self._timer = WorkTimer(clock, EXCHANGE_MS, self._exchange)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(AllowanceDemand)

    def follow(self, owner: AllowanceOwner) -> None:
        """Exchange the demand of the customers that an owner has buckets for."""
        self._owner = owner
        owner.on_owned = self._begin

    def close(self) -> None:
        """Stop the exchange."""
        self._timer.close()

    def share_of(self, customer: int, bucket: Bucket) -> float:
        """Return the part of a customer's rate that this region may grant."""
        counts = self._owners.count_by_region()
        if len(counts) <= 1:
            return 1.0
        demands = self._demands_of(customer)
        total = sum(counts.values())
        # A region gets its part of the nodes until it and this one know each other's demand.
        known = demands.by_region.keys() & demands.confirmed_by_region.keys()
        heard = {region: demands.by_region[region] for region in counts.keys() & known}
        own_region = self._owners.local_region
        unheard = sum(
            count
            for region, count in counts.items()
            if region not in heard and region != own_region
        )
        if not heard or demands.own_per_min == UNKNOWN:
            return counts[own_region] / total
        own, others = demands.settled_per_min(), sum(heard.values())
        rate_per_min = bucket.rule.rate_per_s * SECONDS_PER_MINUTE
        # The rest of the rate is divided evenly, since the demand of small customers fluctuates.
        base = max(rate_per_min * BASE_SHARE, rate_per_min - own - others) / len(counts)
        own_part, other_parts = own + base, others + base * len(heard)
        return (1 - unheard / total) * own_part / (own_part + other_parts)

    def _demands_of(self, customer: int) -> Demands:
        demands = self._demands_by_customer.get(customer)
        if demands is None:
            demands = self._demands_by_customer[customer] = Demands(self._clock.now_ms())
        return demands

    # Exchange

    def _begin(self, customer: int) -> None:
        self._demands_of(customer)
        self._send_to_regions([customer], reply=True)
        self._timer.wake()

    def _exchange(self) -> bool:
        """Send the demand of the active customers; return whether there are any."""
        assert self._owner is not None
        buckets = self._owner.bucket_by_customer
        for customer in self._demands_by_customer.keys() - buckets.keys():
            del self._demands_by_customer[customer]
        active = []
        for customer, bucket in buckets.items():
            demands = self._demands_of(customer)
            previous = demands.own_per_min
            if self._measure(demands, bucket) or previous:
                active.append(customer)
        self._send_to_regions([item for item in active if self._is_due(item)], reply=True)
        return bool(active)

    def _is_due(self, customer: int) -> bool:
        """Return whether a region does not have the demand, or has not heard of it for long."""
        demands = self._demands_by_customer[customer]
        regions = {owner.region for owner in self._owners.peer_owners_of(customer)}
        confirmed = demands.confirmed_by_region
        if any(confirmed.get(region) != demands.own_per_min for region in regions):
            return True
        since_ms = self._clock.now_ms() - REFRESH_MS
        return any(demands.sent_ms_by_region.get(region, 0) < since_ms for region in regions)

    def _measure(self, demands: Demands, bucket: Bucket) -> bool:
        """Take the present demand of this region to be sent to the others, unless it is steady.

        Return whether there is any.
        """
        own_per_min = demands.own_per_min
        now_ms = self._clock.now_ms()
        measured_per_min = math.ceil(bucket.demand_per_s(now_ms) * SECONDS_PER_MINUTE)
        if now_ms - demands.began_ms < LEARNING_MS:
            demands.own_per_min = demands.inherited_per_min
        else:
            steady = STEADY_SHARE * max(bucket.rule.rate_per_s * SECONDS_PER_MINUTE, own_per_min)
            if abs(measured_per_min - own_per_min) > steady or own_per_min == UNKNOWN:
                demands.own_per_min = measured_per_min
        return measured_per_min > 0 or demands.own_per_min > 0

    def _send_to_regions(self, customers: list[int], reply: bool) -> None:
        customers_by_owner: dict[str, list[int]] = defaultdict(list)
        owner_by_id: dict[str, MemberRecord] = {}
        for customer in customers:
            for owner in self._owners.peer_owners_of(customer):
                customers_by_owner[owner.node_id].append(customer)
                owner_by_id[owner.node_id] = owner
        for owner_id, same_owner in customers_by_owner.items():
            for start in range(0, len(same_owner), MAX_DEMANDS):
                self._send_demands(
                    owner_by_id[owner_id], same_owner[start : start + MAX_DEMANDS], reply
                )

    def _send_demands(self, owner: MemberRecord, customers: list[int], reply: bool) -> None:
        items = []
        for customer in customers:
            demands = self._demands_by_customer[customer]
            demands.sent_ms_by_region[owner.region] = self._clock.now_ms()
            confirmed = demands.by_region.get(owner.region, -1)
            items.append(RegionDemand(customer, demands.own_per_min, confirmed))
        data = self._encoder.encode(AllowanceDemand(self._owners.local_region, reply, items))
        address = (owner.address, owner.gossip_port)
        if self._send(Purpose.allowance_answer, DEMAND_MARK + data, address):
            self.sent += 1
        else:
            self.skipped += 1

    def handle_datagram(self, datagram: bytes, address: Address) -> None:
        """Apply the demand in another region, and tell it the demand in this one if it asks."""
        try:
            message = self._decoder.decode(datagram[1:])
        except msgspec.MsgspecError as error:
            self.malformed += 1
            log.warning("allowance_datagram_malformed", sender=address[0], error=str(error)[:100])
            return
        if message.region == self._owners.local_region:
            return
        asked = [item.customer for item in message.demands if self._apply(message.region, item)]
        if message.reply and asked:
            self._reply(message.region, asked)

    def _apply(self, region: str, item: RegionDemand) -> bool:
        """Apply the demand of one customer; return whether the sender needs this region's."""
        assert self._owner is not None
        bucket = self._owner.bucket(item.customer)
        if bucket is None:
            return False
        demands = self._demands_of(item.customer)
        if item.demand_per_min != UNKNOWN:
            demands.by_region[region] = item.demand_per_min
        if item.confirmed_per_min != UNKNOWN:
            demands.confirmed_by_region[region] = item.confirmed_per_min
            if demands.own_per_min == UNKNOWN:
                demands.own_per_min = demands.inherited_per_min = item.confirmed_per_min
        self._timer.wake()
        unsent_ms = self._clock.now_ms() - demands.sent_ms_by_region.get(region, -math.inf)
        return unsent_ms > REPLY_MS or item.confirmed_per_min == UNKNOWN

    def _reply(self, region: str, customers: list[int]) -> None:
        for customer in customers:
            bucket = self._owner.bucket(customer) if self._owner else None
            if bucket is not None:
                self._measure(self._demands_by_customer[customer], bucket)
            for owner in self._owners.peer_owners_of(customer):
                if owner.region == region:
                    self._send_demands(owner, [customer], reply=False)
