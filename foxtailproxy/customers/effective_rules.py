"""Rules of a class under the terms of a customer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from foxtailproxy.customers.priority import weight_of

if TYPE_CHECKING:
    from foxtailproxy.customers.identity import Customer
    from foxtailproxy.models.rules import ClassRule

MAX_CACHED_RULES = 4096
"""Maximum number of cached rules; one takes about half a kilobyte."""


class EffectiveRules:
    """Cache of the rules of one configuration under the terms of its customers.

    Customers with equal terms share an entry. An entry keeps the rule that it was made from, whose
    identity is part of the key, alive.
    """

    def __init__(self) -> None:
        self._rules_by_terms: dict[
            tuple[int, int, tuple[str, ...]], tuple[ClassRule, ClassRule | None]
        ] = {}

    def find(self, rule: ClassRule, customer: Customer) -> ClassRule | None:
        """Return the rule for a customer's requests; `None` if no region is allowed for them."""
        if customer.priority < 0 and not customer.regions:
            return rule
        key = (id(rule), customer.priority, customer.regions)
        cached = self._rules_by_terms.get(key)
        if cached is None:
            if len(self._rules_by_terms) >= MAX_CACHED_RULES:
                self._rules_by_terms.clear()
            cached = (rule, effective_rule(rule, customer))
            self._rules_by_terms[key] = cached
        return cached[1]


def effective_rule(rule: ClassRule, customer: Customer) -> ClassRule | None:
    """Return a rule with the customer's priority, and the regions that both allow.

    `None` if both name regions and have none in common.
    """
    regions = common_regions(rule.regions, customer.regions)
    if regions is None:
        return None
    if customer.priority < 0:
        return replace(rule, regions=regions)
    weight = weight_of(customer.priority)
    return replace(rule, regions=regions, priority=customer.priority, weight=weight)


def common_regions(first: list[str], second: tuple[str, ...]) -> list[str] | None:
    """Return the regions in both lists, of which an empty one stands for all; `None` if none is."""
    if not first or not second:
        return list(first or second)
    return [region for region in first if region in second] or None
