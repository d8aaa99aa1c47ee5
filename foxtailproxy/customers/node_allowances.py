"""Allowances of one node: its draws, the buckets that it owns, and their datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foxtailproxy.customers.allowance import (
    MS_PER_SECOND,
    AllowanceOwner,
    AllowanceTerms,
    customer_digest,
)
from foxtailproxy.customers.allowance_client import Allowances
from foxtailproxy.customers.allowance_exchange import AllowanceExchange
from foxtailproxy.customers.owners import Owners
from foxtailproxy.customers.region_shares import DEMAND_MARK, RegionShares

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from foxtailproxy.clock import Clock
    from foxtailproxy.membership import MemberTable
    from foxtailproxy.models.messages import MemberRecord
    from foxtailproxy.models.rules import CustomerRule
    from foxtailproxy.models.settings import CustomersSection
    from foxtailproxy.traffic_budget import Purpose

    Address = tuple[str, int]


def allowance_terms(section: CustomersSection) -> AllowanceTerms:
    """Return the terms that the settings define."""
    return AllowanceTerms(
        section.allowance_window_s * MS_PER_SECOND,
        section.allowance_overage,
        section.allowance_slack,
    )


class NodeAllowances:
    """The parts of the allowances at one node."""

    def __init__(
        self,
        clock: Clock,
        table: MemberTable,
        section: CustomersSection,
        rng: random.Random,
        send: Callable[[Purpose, bytes, Address], bool],
    ) -> None:
        self._table = table
        self._refutation_count = table.refutation_count
        self.owners = Owners(clock, table.local_record)
        terms = allowance_terms(section)
        self.regions = RegionShares(clock, self.owners, send)
        self.owner = AllowanceOwner(
            clock, terms, rng, self.owners.live_share, self.regions.share_of
        )
        self.regions.follow(self.owner)
        self.exchange = AllowanceExchange(table.local_record, rng, self.owner, send)
        self.draws = Allowances(clock, rng, self.owners, self.owner, self.exchange)

    def configure(self, section: CustomersSection) -> None:
        """Apply changed settings; the buckets take them with the next configuration."""
        self.owner.terms = allowance_terms(section)

    def set_customers(self, customers: list[CustomerRule]) -> None:
        """Apply the customers of a configuration."""
        self.owner.set_customers(customers)
        self.draws.set_customers(customers)

    def update_member(self, record: MemberRecord) -> None:
        """Apply a newer record of another node."""
        if self.owners.update_member(record):
            self.owner.release(self._is_owned)

    def handle_datagram(self, datagram: bytes, address: Address) -> None:
        """Handle a datagram from another node."""
        if self._table.refutation_count != self._refutation_count:
            # Others took this node for dead, so that another owner may have granted tokens.
            self._refutation_count = self._table.refutation_count
            self.owner.restart_buckets()
        if datagram.startswith(DEMAND_MARK):
            self.regions.handle_datagram(datagram, address)
        else:
            self.exchange.handle_datagram(datagram, address)

    def counters(self) -> dict[str, float]:
        """Return the counters and gauges for the metrics."""
        return {
            "allowance_drawn": self.draws.drawn,
            "allowance_rejected": self.draws.rejected,
            "allowance_drawn_locally": self.draws.drawn_locally,
            "allowance_given_back": self.draws.given_back,
            "allowance_unanswered": self.draws.unanswered,
            "allowance_reports": self.exchange.reports,
            "allowance_answers": self.exchange.answers,
            "allowance_demands": self.regions.sent,
            "allowance_skipped": self.exchange.skipped + self.regions.skipped,
            "allowance_malformed": self.exchange.malformed + self.regions.malformed,
            "allowance_granted": self.owner.granted,
            "allowance_refused": self.owner.refused,
            "allowance_repeated": self.owner.repeated,
            "allowance_owned": len(self.owner.bucket_by_customer),
        }

    def close(self) -> None:
        """Report the last draws."""
        self.draws.close()
        self.regions.close()

    def _is_owned(self, rule: CustomerRule) -> bool:
        owner = self.owners.owner_of(customer_digest(rule.name))
        return owner.node_id == self.owners.local_id
