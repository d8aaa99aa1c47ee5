"""The load of one target, as its node reports it with each answer."""

from __future__ import annotations

from dataclasses import dataclass, field

HEADER_FIELD_COUNT = 10


@dataclass(frozen=True, slots=True)
class Load:
    """Calls running and queued, the slots they share, service times in ms, and the speed.

    `service_ms` is the mean, `typical_ms` the geometric mean, which a few stragglers do not move.
    `wait_by_class` holds the expected wait in ms of the classes that have calls waiting,
    `run_by_class` the usual run time in ms of each class at the usual speed. `slowness` tells how
    many times longer work takes now, by a report of the upstream that is `slowness_age_ms` old; 0
    where it does not report it. `drag` is what the latest calls took beyond that, `failing` the
    share of the calls that fail.
    """

    running: int
    queued: int
    slots: int
    service_ms: float
    typical_service_ms: float = 0.0
    wait_ms_by_class: dict[str, float] = field(default_factory=dict)
    usual_ms_by_class: dict[str, float] = field(default_factory=dict)
    slowness: float = 0.0
    slowness_age_ms: float = 0.0
    unreported_slowness: float = 1.0
    failure_rate: float = 0.0

    def wait_ms(self, class_name: str, unreported_calls: float = 0.0) -> float:
        """Expected wait for a slot, in ms, with `extra` calls ahead that the report lacks."""
        ahead = self.running + unreported_calls + 1 - self.slots
        residual_ms = max(0.0, ahead) * self.service_ms / max(1, self.slots)
        return residual_ms + self.wait_ms_by_class.get(class_name, 0.0)

    def occupancy(self, unreported_calls: float = 0.0) -> float:
        """Calls for each slot, with `extra` calls that the report lacks."""
        return (self.running + self.queued + unreported_calls) / max(1, self.slots)

    def to_header(self) -> bytes:
        """The form sent with an answer: numbers, then times by class, between semicolons."""
        return b"%d;%d;%d;%.1f;%.1f;%s;%s;%.2f,%.0f;%.2f;%.2f" % (
            self.running,
            self.queued,
            self.slots,
            self.service_ms,
            self.typical_service_ms,
            _format_times(self.wait_ms_by_class),
            _format_times(self.usual_ms_by_class),
            self.slowness,
            self.slowness_age_ms,
            self.unreported_slowness,
            self.failure_rate,
        )


def _format_times(times: dict[str, float]) -> bytes:
    return ",".join(f"{name}={ms:.0f}" for name, ms in times.items()).encode()


def _parse_times(text: str) -> dict[str, float]:
    times = {}
    for part in text.split(",") if text else ():
        name, _, value = part.partition("=")
        times[name] = float(value)
    return times


def parse_load(value: bytes | None) -> Load | None:
    """Read the form that `Load.to_header` writes; `None` where it is not one."""
    if value is None:
        return None
    fields = value.decode("latin-1").split(";")
    if len(fields) != HEADER_FIELD_COUNT:
        return None
    try:
        running, queued, slots = (int(part) for part in fields[:3])
        slowness, _, age_ms = fields[7].partition(",")
        return Load(
            running,
            queued,
            slots,
            float(fields[3]),
            float(fields[4]),
            _parse_times(fields[5]),
            _parse_times(fields[6]),
            float(slowness),
            float(age_ms),
            float(fields[8]),
            float(fields[9]),
        )
    except ValueError:
        return None
