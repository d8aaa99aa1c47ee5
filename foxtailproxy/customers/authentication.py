"""Decision on a request by the key that it carries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog

from foxtailproxy.config.rules import Match
from foxtailproxy.customers.identity import AUTHORIZATION, bearer_key
from foxtailproxy.http import messages
from foxtailproxy.outcome import NotRun, NotRunReason

if TYPE_CHECKING:
    from collections import Counter

    from foxtailproxy.config.rules import RuleBook
    from foxtailproxy.customers.freshness import ConfigFreshness
    from foxtailproxy.customers.identity import Customer

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Identified:
    """A request with the key of a customer, and the rules under that customer's terms."""

    customer: Customer
    match: Match


@dataclass(frozen=True, slots=True)
class NoCustomer:
    """A request that needs no key and carries none that is known."""

    match: Match


class Authentication:
    """Decisions on requests by their keys; `counts` holds their number by result.

    `freshness` is given if requests that need a key are rejected while the configuration in force
    may be outdated.
    """

    def __init__(self, counts: Counter[str], freshness: ConfigFreshness | None = None) -> None:
        self._counts = counts
        self._freshness = freshness

    def decide(
        self, rule_book: RuleBook, match: Match, headers: messages.HeaderList, attempt_id: str
    ) -> Identified | NoCustomer | NotRun:
        """Return the customer of a request with its rules, or why the request is rejected."""
        if not rule_book.directory:
            return NoCustomer(match)
        exempt = match.rule.auth_exempt
        if not exempt and self._freshness is not None and self._freshness.stale:
            self._freshness.log_rejection(attempt_id)
            self._counts["configuration-stale"] += 1
            return NotRun(NotRunReason.CONFIGURATION_STALE)
        customer = rule_book.directory.find(headers)
        if customer is not None:
            return self._apply_terms(rule_book, match, customer, attempt_id)
        if exempt:
            self._counts["no-customer"] += 1
            return NoCustomer(match)
        cause = missing_cause(headers)
        self._counts[cause] += 1
        log.info("request_unauthenticated", attempt=attempt_id, rule=match.rule.name, cause=cause)
        return NotRun(NotRunReason.UNAUTHENTICATED)

    def _apply_terms(
        self, rule_book: RuleBook, match: Match, customer: Customer, attempt_id: str
    ) -> Identified | NotRun:
        rule = rule_book.effective_rules.find(match.rule, customer)
        if rule is None:
            self._counts["no-allowed-region"] += 1
            log.info(
                "no_allowed_region",
                attempt=attempt_id,
                customer=customer.name,
                customer_regions=" ".join(customer.regions),
                rule=match.rule.name,
                rule_regions=" ".join(match.rule.regions),
            )
            return NotRun(NotRunReason.NO_ALLOWED_TARGET)
        self._counts["identified"] += 1
        return Identified(customer, match if rule is match.rule else Match(match.service, rule))


def missing_cause(headers: messages.HeaderList) -> str:
    """Return why no customer was found; the cause shows nothing of the header."""
    if messages.get_header(headers, AUTHORIZATION) is None:
        return "missing-key"
    return "malformed-key" if bearer_key(headers) is None else "unknown-key"
