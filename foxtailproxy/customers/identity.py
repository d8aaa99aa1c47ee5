"""Identification of customers by the keys that their callers send."""

from __future__ import annotations

import hashlib
import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog

from foxtailproxy.http.messages import end_to_end_headers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtailproxy.http.messages import HeaderList
    from foxtailproxy.models.rules import CustomerRule

log = structlog.get_logger()

AUTHORIZATION = b"authorization"
SCHEME = b"bearer"

DIGEST_BYTES = 16
SECRET_BYTES = 32


@dataclass(frozen=True, slots=True)
class Customer:
    """Customer without its keys, so that no representation of it can show one.

    `priority` is -1 if that of the route applies; `rate_per_s` is in requests per second over all
    nodes, and 0 for no limit; empty `regions` stand for all.
    """

    name: str
    priority: int = -1
    rate_per_s: float = 0.0
    burst: float = 0.0
    regions: tuple[str, ...] = ()


class CustomerDirectory:
    """Index of the customers of one configuration by a digest of their keys.

    The digest is keyed with a random secret, so that the time of a look-up tells nothing about the
    keys that exist.
    """

    def __init__(self, rules: Iterable[CustomerRule]) -> None:
        self._secret = os.urandom(SECRET_BYTES)
        self._customer_by_digest: dict[bytes, Customer] = {}
        self.customer_by_name: dict[str, Customer] = {}
        for rule in rules:
            self._add(rule)

    def __bool__(self) -> bool:
        """Return whether the configuration has customers, so that requests need a key."""
        return bool(self.customer_by_name)

    def find(self, headers: HeaderList) -> Customer | None:
        """Return the customer whose key a request carries; `None` without exactly one known key."""
        key = bearer_key(headers)
        return None if key is None else self._customer_by_digest.get(self._digest(key))

    def _add(self, rule: CustomerRule) -> None:
        customer = Customer(
            rule.name, rule.priority, rule.rate_per_s, rule.burst, tuple(rule.regions)
        )
        customer = self.customer_by_name.setdefault(rule.name, customer)
        for key in rule.keys:
            owner = self._customer_by_digest.setdefault(self._digest(key.encode()), customer)
            if owner is not customer:
                # The first customer keeps the key, as the first of several equal routes does.
                log.warning("customer_key_shared", customer=rule.name, owner=owner.name)

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=self._secret).digest()


def bearer_key(headers: HeaderList) -> bytes | None:
    """Return the key in the Authorization header; `None` if it is missing, repeated or malformed.

    Of several Authorization headers none is used: other systems may have checked another one.
    """
    values = [value for name, value in headers if name == AUTHORIZATION]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    return key if scheme.lower() == SCHEME and key else None


def identified_headers(headers: HeaderList, tenant_header: bytes, customer: str) -> HeaderList:
    """Return the headers to forward: without the key, and with the name of the customer, if any.

    Headers that the Connection header lists are dropped first: the node that forwards the request
    would otherwise drop the customer's name if a caller listed its header there.
    """
    forwarded = [
        pair
        for pair in end_to_end_headers(headers)
        if pair[0] not in (AUTHORIZATION, tenant_header)
    ]
    if customer:
        forwarded.append((tenant_header, customer.encode()))
    return forwarded
