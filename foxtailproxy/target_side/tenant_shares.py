"""Shares of the tenants of one class, by the service time that they got.

Turns by number of calls would give a tenant with long calls a multiple of the service time of the
others.
"""

from __future__ import annotations

MAX_TENANTS = 256
"""Maximum number of tenants whose service time is kept."""


class TenantShares:
    """Service time that the tenants of one class got, in ms.

    A tenant that had no calls for a while is not owed the time in which it had none: it counts as
    having got as much as the one whose call started last.
    """

    def __init__(self) -> None:
        self._served_ms: dict[str, float] = {}
        self._floor_ms = 0.0

    def __len__(self) -> int:
        """Return the number of tenants whose service time is kept."""
        return len(self._served_ms)

    def served_ms(self, tenant: str) -> float:
        """Return the service time that a tenant counts as having got, in ms."""
        return self._served_ms.get(tenant, self._floor_ms)

    def join(self, tenant: str) -> None:
        """Record that a tenant without waiting calls has one."""
        self._set(tenant, max(self._floor_ms, self.served_ms(tenant)))

    def start(self, tenant: str, expected_ms: float) -> None:
        """Record the start of a call that is expected to run for `expected_ms`."""
        self._floor_ms = max(self._floor_ms, self.served_ms(tenant))
        self._set(tenant, self.served_ms(tenant) + expected_ms)

    def correct(self, tenant: str, excess_ms: float) -> None:
        """Record by how much longer than expected a call ran; below 0 if it was shorter."""
        if tenant in self._served_ms:
            self._served_ms[tenant] += excess_ms

    def _set(self, tenant: str, served_ms: float) -> None:
        self._served_ms[tenant] = served_ms
        if len(self._served_ms) > MAX_TENANTS:
            self._forget_lowest(tenant)

    def _forget_lowest(self, tenant: str) -> None:
        """Forget the tenant that got the least, which loses nothing beyond the floor."""
        others = (name for name in self._served_ms if name != tenant)
        del self._served_ms[min(others, key=self.served_ms)]
