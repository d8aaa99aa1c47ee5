"""The load of one target, as its node reports it with each answer."""

from __future__ import annotations

from dataclasses import dataclass, field

FIELD_COUNT = 6


@dataclass(frozen=True, slots=True)
class Load:
    """Calls running and queued, the slots they share, and service times in ms.

    `service_ms` is the mean, `typical_ms` the geometric mean, which a few stragglers do not move.
    `wait_by_class` holds the expected wait in ms of the classes that have calls waiting.
    """

    running: int
    queued: int
    slots: int
    service_ms: float
    typical_ms: float = 0.0
    wait_by_class: dict[str, float] = field(default_factory=dict)

    def wait_ms(self, class_name: str, extra: float = 0.0) -> float:
        """Expected wait for a slot, in ms, with `extra` calls ahead that the report lacks."""
        ahead = self.running + extra + 1 - self.slots
        residual_ms = max(0.0, ahead) * self.service_ms / max(1, self.slots)
        return residual_ms + self.wait_by_class.get(class_name, 0.0)

    def occupancy(self, extra: float = 0.0) -> float:
        """Calls for each slot, with `extra` calls that the report lacks."""
        return (self.running + self.queued + extra) / max(1, self.slots)

    def to_header(self) -> bytes:
        """The form sent with an answer: five numbers and the waits, between semicolons."""
        waits = ",".join(f"{name}={ms:.1f}" for name, ms in self.wait_by_class.items())
        return b"%d;%d;%d;%.2f;%.2f;%s" % (
            self.running,
            self.queued,
            self.slots,
            self.service_ms,
            self.typical_ms,
            waits.encode(),
        )


def parse_load(value: bytes | None) -> Load | None:
    """Read the form that `Load.to_header` writes; `None` where it is not one."""
    if value is None:
        return None
    fields = value.split(b";", FIELD_COUNT - 1)
    if len(fields) != FIELD_COUNT:
        return None
    try:
        running, queued, slots = (int(part) for part in fields[:3])
        waits = {}
        for part in fields[5].decode("latin-1").split(",") if fields[5] else ():
            name, _, wait_ms = part.partition("=")
            waits[name] = float(wait_ms)
        return Load(running, queued, slots, float(fields[3]), float(fields[4]), waits)
    except ValueError:
        return None
