"""The load of one target, as its node reports it with each answer."""

from __future__ import annotations

from dataclasses import dataclass

FIELD_COUNT = 5


@dataclass(frozen=True, slots=True)
class Load:
    """Calls running and queued, the slots they share, and service times in ms.

    `service_ms` is the mean, `typical_ms` the geometric mean, which a few stragglers do not move.
    """

    running: int
    queued: int
    slots: int
    service_ms: float
    typical_ms: float = 0.0

    def wait_ms(self, extra: float = 0.0) -> float:
        """Expected wait for a slot, in ms, with `extra` calls ahead that the report lacks."""
        ahead = self.running + self.queued + extra + 1 - self.slots
        return max(0.0, ahead) * self.service_ms / max(1, self.slots)

    def occupancy(self, extra: float = 0.0) -> float:
        """Calls for each slot, with `extra` calls that the report lacks."""
        return (self.running + self.queued + extra) / max(1, self.slots)

    def to_header(self) -> bytes:
        """The form sent with an answer: five numbers between semicolons."""
        return b"%d;%d;%d;%.2f;%.2f" % (
            self.running,
            self.queued,
            self.slots,
            self.service_ms,
            self.typical_ms,
        )


def parse_load(value: bytes | None) -> Load | None:
    """Read the form that `Load.to_header` writes; `None` where it is not one."""
    if value is None:
        return None
    fields = value.split(b";")
    if len(fields) != FIELD_COUNT:
        return None
    try:
        running, queued, slots = (int(field) for field in fields[:3])
        return Load(running, queued, slots, float(fields[3]), float(fields[4]))
    except ValueError:
        return None
