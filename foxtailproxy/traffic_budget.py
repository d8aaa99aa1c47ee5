"""Byte budget of what nodes send to know each other, which keeps a reserve for the vital packets.

Comparisons send again the records that a full budget dropped. Nothing repeats an ack, a verdict or
the announcement of a configuration in time.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from foxtailproxy.token_bucket import TokenBucket

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock


class Purpose(StrEnum):
    """Purpose of a packet, the most vital first."""

    detection = "detection"
    """Pings, relayed pings and acks."""

    configuration = "configuration"
    """Announcements of the configuration's version."""

    verdict = "verdict"
    """Records of nodes that are suspect, leaving or dead."""

    comparison = "comparison"
    """Comparisons, and the records that a comparison found to be missing."""

    records = "records"
    """Other records."""

    paid_digest = "paid-digest"
    """First packets of comparisons with another region, which leave a reserve for the answers."""

    allowance_answer = "allowance-answer"
    """Answers to reports of draws, without which a node falls back to its local share, and the
    demand between regions."""

    allowance_report = "allowance-report"
    """Reports of draws from allowances; they repeat what an earlier one could not report."""

    load_answer = "load-answer"
    """Answers to load queries: a node that does not answer is taken for silent."""

    load_query = "load-query"
    """Queries before the first send of a call; without them it is placed on older reports."""

    load_requery = "load-requery"
    """Queries before further sends; when many calls need them, first sends get the bytes."""


ADVANCE_SHARE = {
    Purpose.detection: 1.0,
    Purpose.configuration: 0.85,
    Purpose.verdict: 0.7,
    Purpose.comparison: 0.6,
    Purpose.records: 0.5,
    Purpose.paid_digest: 0.1,
    Purpose.allowance_answer: 0.65,
    Purpose.allowance_report: 0.6,
    Purpose.load_answer: 0.2,
    Purpose.load_query: 0.0,
    Purpose.load_requery: -0.4,
}
"""Share of the bytes that may be sent in advance up to which a purpose may use them; the rest is a
reserve for the purposes before it. A negative share leaves a part of the saved bytes as well.
"""


class TrafficBudget:
    """Limiter of membership packets and load queries to `bytes_per_s`."""

    def __init__(self, clock: Clock, bytes_per_s: int) -> None:
        self._bucket = TokenBucket(clock, bytes_per_s)
        self._overdrawn_bytes = 0.0

    def set_rate(self, bytes_per_s: int) -> None:
        """Change the rate of the budget."""
        self._bucket.set_rate(bytes_per_s)

    def try_consume(self, purpose: Purpose, size_bytes: int) -> bool:
        """Consume bytes for a purpose; return whether its part of the budget allows it."""
        self._settle()
        if self._overdrawn_bytes and purpose is Purpose.records:
            return False
        return self._bucket.try_consume(size_bytes, ADVANCE_SHARE[purpose])

    def consume(self, size_bytes: int) -> None:
        """Consume bytes in any case; other records wait until the budget has paid for them."""
        self._overdrawn_bytes += size_bytes
        self._settle()

    def tokens(self) -> int:
        """Return the bytes left; negative if some were sent in advance."""
        return round(self._bucket.tokens())

    def _settle(self) -> None:
        """Charge overdrawn bytes to the part of the budget that records may use."""
        if self._overdrawn_bytes:
            share = ADVANCE_SHARE[Purpose.records]
            self._overdrawn_bytes -= self._bucket.consume_up_to(self._overdrawn_bytes, share)
