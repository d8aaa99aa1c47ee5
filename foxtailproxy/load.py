"""Load report of one target, which its node sends with each answer."""

from __future__ import annotations

from dataclasses import dataclass, field

HEADER_FIELD_COUNT = 10


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a target: running and queued calls, slots, service times in ms, and slowness.

    `service_ms` is the mean service time; `typical_service_ms` is the geometric mean, which is
    robust against a few stragglers. `wait_ms_by_class` holds the expected wait of each class that
    has calls waiting, `usual_ms_by_class` the run time of each class at the usual speed. `slowness`
    is the factor by which work takes longer than usual now, from a report of the upstream that is
    `slowness_age_ms` old; 0 if the upstream does not report it. `unreported_slowness` is the factor
    by which the latest calls took longer than that, `failure_rate` the share of calls that fail.
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
        """Return the expected wait for a slot in ms.

        `unreported_calls` is the number of calls ahead that the report does not include.
        """
        ahead = self.running + unreported_calls + 1 - self.slots
        residual_ms = max(0.0, ahead) * self.service_ms / max(1, self.slots)
        return residual_ms + self.wait_ms_by_class.get(class_name, 0.0)

    def occupancy(self, unreported_calls: float = 0.0) -> float:
        """Return the calls for each slot, with calls that the report does not include."""
        return (self.running + self.queued + unreported_calls) / max(1, self.slots)

    def to_header(self) -> bytes:
        """Serialize the load as a header value: fields separated by semicolons."""
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
    """Parse a value written by `Load.to_header`; return `None` if it is missing or malformed."""
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
