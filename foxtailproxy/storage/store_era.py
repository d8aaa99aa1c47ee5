"""Era of the store: a number that rises each time the store comes back from an older copy.

Revisions are comparable within one era only. What was written since the copy is gone, so each
component that keeps something in the store registers a listener and writes or reads it again.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.clock import Clock

log = structlog.get_logger()

RESTORE_GRACE_MS = 5000
"""Time after a rise in which nothing that is missing from the store counts as removed. In that time
operators, upstreams and nodes write again what the restore has lost."""

NEWS_MS = 60_000
"""Time for which gossip carries a change: nodes that it did not reach at once hear of it in this
time from each peer."""


class StoreEra:
    """The highest era that the store's answers or peers told; 0 until the first one."""

    def __init__(self, clock: Clock) -> None:
        self.number = 0
        self.rises = 0
        self._clock = clock
        self._known_ms = -math.inf
        self._rose_ms = -math.inf
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` once after each rise."""
        self._listeners.append(listener)

    def observe(self, number: int, source: str) -> None:
        """Handle the era in an answer of the store or in a packet; lower ones are late."""
        if number <= self.number:
            return
        previous, self.number = self.number, number
        self._known_ms = self._clock.now_ms()
        if not previous:
            # Nothing that this process knows rests on an earlier era.
            return
        self.rises += 1
        self._rose_ms = self._known_ms
        log.warning("store_era_rose", era=number, previous_era=previous, source=source)
        for listener in self._listeners:
            listener()

    @property
    def grace_left_ms(self) -> float:
        """Time in ms for which nothing counts as removed; 0 if the era has been known for long.

        It also begins with the first era that a process learns, as the rise may have just been.
        """
        return max(0.0, self._known_ms + RESTORE_GRACE_MS - self._clock.now_ms())

    @property
    def rise_grace_left_ms(self) -> float:
        """The same, but only after a rise that this process has seen."""
        return max(0.0, self._rose_ms + RESTORE_GRACE_MS - self._clock.now_ms())

    @property
    def is_news(self) -> bool:
        """Whether a rise was seen so recently that peers may not know of it."""
        return self._clock.now_ms() - self._rose_ms < NEWS_MS
