"""Detection of an upstream that refuses calls although it has free slots.

Its health check may pass meanwhile. After a few refusals in a row its node sends no more calls,
except single trial calls at a growing interval, until one is run.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock

log = structlog.get_logger()

REFUSAL_LIMIT = 4
"""Refusals in a row after which no more calls are sent. An upstream that refuses half of its calls
reaches it with one call in 16."""

MIN_TRIAL_INTERVAL_MS = 100.0
MAX_TRIAL_INTERVAL_MS = 2000.0
"""Shortest and longest interval between trial calls, in milliseconds; it doubles with each trial
call that is refused. The longest one bounds how long a recovered upstream stays unused."""

OFFER_MS = 50.0
"""Time in which a trial call is offered to one node only, in milliseconds."""

MAX_TRIAL_MS = 5000.0
"""Time after which a trial call that has not ended makes way for another one, in milliseconds."""


class RefusalGuard:
    """Count of the upstream's refusals in a row, and the trial calls after too many."""

    def __init__(self, clock: Clock) -> None:
        self.refusing = False
        self.rejections = 0
        self._clock = clock
        self._in_a_row = 0
        self._interval_ms = MIN_TRIAL_INTERVAL_MS
        self._due_ms = 0.0
        self._trials = 0
        self._trial: str | None = None
        self._offered_ms = -math.inf

    @property
    def open(self) -> bool:
        """Whether a call may be sent now."""
        return not self.refusing or self._clock.now_ms() >= self._due_ms

    @property
    def wait_ms(self) -> float:
        """Time until a call may be sent, in ms."""
        return 0.0 if self.open else self._due_ms - self._clock.now_ms()

    def reset(self) -> None:
        """Forget the refusals of an earlier process."""
        self.refusing = False
        self._in_a_row = 0
        self._trial = None

    def offer(self) -> bool:
        """Return whether a trial call may be offered to the node that asks; at most one at a time.

        A node that does not take it makes way for the next one after a while.
        """
        now_ms = self._clock.now_ms()
        if not self.open or now_ms < self._offered_ms + OFFER_MS:
            return False
        self._offered_ms = now_ms
        return True

    def admit(self, key: str) -> bool:
        """Return whether a call, `key` until it ends, may be sent; it may be a trial call."""
        if not self.refusing:
            return True
        if not self.open:
            self.rejections += 1
            return False
        self._trial = key
        self._trials += 1
        self._due_ms = self._clock.now_ms() + MAX_TRIAL_MS
        return True

    def end(self, key: str) -> None:
        """Count the end of a call; a trial call that was not sent makes way for the next one."""
        if self.refusing and self._trial == key:
            self._trial = None
            self._due_ms = self._clock.now_ms()

    def record_run(self) -> None:
        """Record that the upstream ran a call."""
        self._in_a_row = 0
        if self.refusing:
            self.refusing = False
            self._trial = None
            log.info("upstream_runs_again", trials=self._trials, rejections=self.rejections)

    def record_refusal(self, key: str) -> bool:
        """Record a refusal of a call in spite of free slots; return whether it is one too many."""
        self._in_a_row += 1
        if self.refusing:
            if self._trial == key:
                self._trial = None
                self._interval_ms = min(MAX_TRIAL_INTERVAL_MS, 2 * self._interval_ms)
                self._due_ms = self._clock.now_ms() + self._interval_ms
            return False
        if self._in_a_row < REFUSAL_LIMIT:
            return False
        self.refusing = True
        self._trials = 0
        self._interval_ms = MIN_TRIAL_INTERVAL_MS
        self._due_ms = self._clock.now_ms() + self._interval_ms
        log.warning("upstream_refuses", in_a_row=self._in_a_row, trial_in_ms=self._interval_ms)
        return True
