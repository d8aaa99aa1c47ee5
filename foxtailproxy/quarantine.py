"""Quarantine of requests that crash the upstreams that run them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from foxtailproxy.call import Call
    from foxtailproxy.clock import Clock

MAX_SUSPECTS = 1000
"""Maximum number of suspect requests kept."""

MAX_COMPLETED = 10_000
"""Maximum number of completed requests kept."""


@dataclass(slots=True)
class SuspectRequest:
    """Request that was running when `upstreams` died."""

    fingerprint: str
    last_crash_ms: float
    upstreams: list[str] = field(default_factory=list)


class Quarantine:
    """Register of the upstreams that died while they ran a request, by its fingerprint."""

    def __init__(self, clock: Clock) -> None:
        self.suspects: dict[str, SuspectRequest] = {}
        self._clock = clock
        self._completed_hashes: dict[int, None] = {}
        self._ignored_by_fingerprint: dict[str, list[str]] = {}

    def record_crash(self, fingerprint: str, upstreams: list[str]) -> bool:
        """Record upstreams that died while they ran a request; return whether any is new."""
        ignored = self._ignored_by_fingerprint.get(fingerprint, ())
        upstreams = [name for name in upstreams if name not in ignored]
        if not upstreams:
            return False
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            suspect = SuspectRequest(fingerprint, self._clock.now_ms())
            self.suspects[fingerprint] = suspect
            self._evict_oldest(self.suspects, MAX_SUSPECTS)
        new_upstreams = [name for name in upstreams if name not in suspect.upstreams]
        suspect.upstreams.extend(new_upstreams)
        if new_upstreams:
            suspect.last_crash_ms = self._clock.now_ms()
            # The newest crash comes last: comparisons report those, and the first is evicted.
            self.suspects[fingerprint] = self.suspects.pop(fingerprint)
        return bool(new_upstreams)

    def record_completion(self, call: Call) -> None:
        """Record that a request ran to completion, so it is not the cause of a crash."""
        self._completed_hashes[call.in_process_hash] = None
        self._evict_oldest(self._completed_hashes, MAX_COMPLETED)
        if self.suspects:
            self.suspects.pop(call.fingerprint, None)

    def has_completed(self, call: Call) -> bool:
        """Return whether the request is known to have run to completion at this node."""
        return call.in_process_hash in self._completed_hashes

    def crashed_upstreams(self, call: Call) -> list[str]:
        """Return the upstreams that died while they ran the request."""
        suspect = self.suspects.get(call.fingerprint) if self.suspects else None
        return [] if suspect is None else list(suspect.upstreams)

    def is_quarantined(self, call: Call, crash_limit: int, duration_ms: float) -> bool:
        """Return whether the request is quarantined.

        It is if it crashed at least `crash_limit` upstreams, the last one within `duration_ms`.
        """
        suspect = self.suspects.get(call.fingerprint) if self.suspects else None
        if suspect is None or len(suspect.upstreams) < crash_limit:
            return False
        if self._clock.now_ms() - suspect.last_crash_ms > duration_ms:
            del self.suspects[call.fingerprint]
            return False
        return True

    def release(self, fingerprint: str) -> bool:
        """Release a request from quarantine; return `False` if it was not suspect.

        Crashes recorded so far are ignored from now on; new ones count.
        """
        suspect = self.suspects.pop(fingerprint, None)
        if suspect is None:
            return False
        self._ignored_by_fingerprint[fingerprint] = suspect.upstreams
        self._evict_oldest(self._ignored_by_fingerprint, MAX_SUSPECTS)
        return True

    @staticmethod
    def _evict_oldest(entries: dict[Any, Any], max_entries: int) -> None:
        if len(entries) > max_entries:
            del entries[next(iter(entries))]
