"""Requests that crash the upstreams that run them are kept from running again."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock

SUSPECTS = 1000
"""Suspect requests remembered at most."""

COMPLETED = 10_000
"""Requests remembered as harmless at most."""


@dataclass(slots=True)
class Suspect:
    """A request that was running when upstreams died; `upstreams` names them."""

    fingerprint: str
    seen_ms: float
    upstreams: list[str] = field(default_factory=list)


class Quarantine:
    """Counts, for each request fingerprint, the upstreams that died while they ran it."""

    def __init__(self, clock: Clock) -> None:
        self.by_fingerprint: dict[str, Suspect] = {}
        self._clock = clock
        self._completed: dict[int, None] = {}
        self._forgiven: dict[str, list[str]] = {}

    def report(self, fingerprint: str, upstreams: list[str]) -> bool:
        """Upstreams died while they ran a request; returns whether this is news."""
        forgiven = self._forgiven.get(fingerprint, ())
        upstreams = [name for name in upstreams if name not in forgiven]
        if not upstreams:
            return False
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None:
            suspect = Suspect(fingerprint, self._clock.now_ms())
            self.by_fingerprint[fingerprint] = suspect
            self._bound(self.by_fingerprint, SUSPECTS)
        news = [name for name in upstreams if name not in suspect.upstreams]
        suspect.upstreams.extend(news)
        if news:
            suspect.seen_ms = self._clock.now_ms()
        return bool(news)

    def completed(self, call: Call) -> None:
        """A request ran to its end, so it is not what crashes upstreams."""
        self._completed[call.local_key] = None
        self._bound(self._completed, COMPLETED)
        if self.by_fingerprint:
            self.by_fingerprint.pop(call.fingerprint, None)

    def harmless(self, call: Call) -> bool:
        """Whether the request is known to have run to its end here."""
        return call.local_key in self._completed

    def crashed_upstreams(self, call: Call) -> list[str]:
        """The upstreams that died while they ran the request."""
        suspect = self.by_fingerprint.get(call.fingerprint) if self.by_fingerprint else None
        return [] if suspect is None else list(suspect.upstreams)

    def blocked(self, call: Call, limit: int, duration_ms: float) -> bool:
        """Whether the request has crashed `limit` upstreams within the last `duration_ms`."""
        suspect = self.by_fingerprint.get(call.fingerprint) if self.by_fingerprint else None
        if suspect is None or len(suspect.upstreams) < limit:
            return False
        if self._clock.now_ms() - suspect.seen_ms > duration_ms:
            del self.by_fingerprint[call.fingerprint]
            return False
        return True

    def release(self, fingerprint: str) -> bool:
        """An operator lets a request run again; `False` where it was not suspect.

        The crashes known so far do not count any more, new ones do.
        """
        suspect = self.by_fingerprint.pop(fingerprint, None)
        if suspect is None:
            return False
        self._forgiven[fingerprint] = suspect.upstreams
        self._bound(self._forgiven, SUSPECTS)
        return True

    @staticmethod
    def _bound(entries: dict[Any, Any], most: int) -> None:
        if len(entries) > most:
            del entries[next(iter(entries))]
