"""Fleet of real processes under load, for one scenario."""

from __future__ import annotations

import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from twisted.internet import reactor, threads
from twisted.internet.defer import Deferred

from foxtailproxy.config.builder import Configuration
from standins.fleet import Fleet, Member
from standins.load import NO_ANSWER, LoadGenerator, RequestProfile, RequestResult

LOCATIONS = (
    ("pohja", "tallinn-a"),
    ("pohja", "tallinn-b"),
    ("louna", "tartu-a"),
    ("louna", "tartu-b"),
)

HOST = "kalender.example"

LOOKUP = RequestProfile("lookup", HOST, "GET", "/days", 60.0, run_ms=5.0, max_sends=3)
BOOKING = RequestProfile(
    "booking", HOST, "POST", "/bookings", 40.0, run_ms=20.0, keyed=True, max_sends=4
)
KEYLESS_BOOKING = RequestProfile("plain", HOST, "POST", "/bookings", 40.0, run_ms=20.0)
STREAM = RequestProfile(
    "stream", HOST, "GET", "/days", 5.0, run_ms=5.0, answer_bytes=200_000, stream_ms=1500
)

RUN_TIMEOUT_S = 60


def services_ini(**fleet_rules: Any) -> str:
    """Return the configuration of one service with look-ups and bookings, as INI."""
    config = Configuration(**{"retry_percent": 50} | fleet_rules)
    kalender = config.service("kalender", hosts=[HOST])
    kalender.idempotent("lookup", methods=["GET"], deadline_ms=4000, attempts=4)
    kalender.at_most_once("booking", methods=["POST"], deadline_ms=4000)
    return config.to_ini()


@dataclass
class LiveFleet:
    """Fleet with its callers, and the results of their requests."""

    folder: Any = field(default_factory=tempfile.TemporaryDirectory)
    results: list[RequestResult] = field(default_factory=list)
    event_times_s: dict[str, float] = field(default_factory=dict)
    limits: dict[str, Any] = field(default_factory=dict)
    node_settings: dict[str, Any] = field(default_factory=dict)

    def start(self, count: int, **fleet_rules: Any) -> None:
        """Start the platform and `count` nodes with an upstream each."""
        folder = Path(self.folder.name)
        self.fleet = Fleet(folder, limits=self.limits, node_settings=self.node_settings)
        self.fleet.start_platform()
        for number in range(count):
            self.fleet.add_member(f"n{number}", *LOCATIONS[number % len(LOCATIONS)], "kalender")
        self.fleet.start_members()
        self.fleet.apply_config(services_ini(**fleet_rules))

    @property
    def members(self) -> list[Member]:
        """Nodes of the fleet, with their upstreams."""
        return self.fleet.members

    def run_load(
        self,
        shapes: list[RequestProfile],
        duration_s: float,
        events: list[tuple[float, Callable[[], Any]]] | None = None,
        ports: list[int] | None = None,
        seed: int = 1,
    ) -> None:
        """Send a load and wait for its results; call each of `events` at its time in seconds."""
        ports = ports or [member.caller_port for member in self.members]
        self.results += threads.blockingCallFromThread(
            reactor, self._start_load, shapes, duration_s, events or [], ports, seed
        )

    def _start_load(
        self,
        shapes: list[RequestProfile],
        duration_s: float,
        events: list[tuple[float, Callable[[], Any]]],
        ports: list[int],
        seed: int,
    ) -> Deferred[list[RequestResult]]:
        callers = LoadGenerator(ports, seed)
        self.callers = callers
        loop: Any = reactor
        for at_s, event in events:
            loop.callLater(at_s, threads.deferToThread, event)
        finished = callers.run(shapes, duration_s).addTimeout(duration_s + RUN_TIMEOUT_S, loop)
        return finished.addCallback(lambda _: callers.report.results)

    def close(self) -> None:
        """Stop all processes and delete their files."""
        if hasattr(self, "fleet"):
            self.fleet.close()
        self.folder.cleanup()

    # Results that scenarios check

    def repeated_bookings(self) -> list[str]:
        """Return the tags of bookings that ran more than once."""
        runs = Counter(entry["tag"] for entry in self.fleet.ledger())
        bookings = {result.tag for result in self.results if result.profile.method == "POST"}
        return [tag for tag in bookings if runs[tag] > 1]

    def false_rejections(self) -> list[str]:
        """Return the tags of bookings that had run before their caller got "not run"."""
        first_run_s: dict[str, float] = {}
        for entry in self.fleet.ledger():
            first_run_s[entry["tag"]] = min(
                entry["at_s"], first_run_s.get(entry["tag"], entry["at_s"])
            )
        return [
            result.tag
            for result in self.results
            if result.outcome == "not-run"
            and first_run_s.get(result.tag, result.ended_at_s) < result.ended_at_s
        ]

    def outcome_counts(self, shape_name: str) -> Counter[str]:
        """Count the outcomes of the requests of a shape."""
        return Counter(
            result.outcome for result in self.results if result.profile.name == shape_name
        )

    def failed_requests(self) -> list[RequestResult]:
        """Return requests with no answer, a failure, or a wrong or incomplete answer."""
        return [
            result
            for result in self.results
            if result.outcome in (NO_ANSWER, "refused", "failed") or not result.body_valid
        ]
