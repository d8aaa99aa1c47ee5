"""A fleet of real processes under load, for one scenario."""

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

PLACES = (
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
PLAIN_BOOKING = RequestProfile("plain", HOST, "POST", "/bookings", 40.0, run_ms=20.0)
STREAM = RequestProfile(
    "stream", HOST, "GET", "/days", 5.0, run_ms=5.0, answer_bytes=200_000, stream_ms=1500
)

RUN_LIMIT_S = 60


def configuration(**fleet: Any) -> str:
    """One service with look-ups and bookings."""
    config = Configuration(**{"retry_percent": 50} | fleet)
    kalender = config.service("kalender", hosts=[HOST])
    kalender.idempotent("lookup", methods=["GET"], deadline_ms=4000, attempts=4)
    kalender.at_most_once("booking", methods=["POST"], deadline_ms=4000)
    return config.to_ini()


@dataclass
class Live:
    """One fleet with its callers."""

    folder: Any = field(default_factory=tempfile.TemporaryDirectory)
    ended: list[RequestResult] = field(default_factory=list)
    marks: dict[str, float] = field(default_factory=dict)

    def start(self, count: int, **fleet_rules: Any) -> None:
        """Start a platform and `count` nodes with an upstream each."""
        self.fleet = Fleet(Path(self.folder.name))
        self.fleet.start_platform()
        for number in range(count):
            self.fleet.add_member(f"n{number}", *PLACES[number % len(PLACES)], "kalender")
        self.fleet.start_members()
        self.fleet.apply_config(configuration(**fleet_rules))

    @property
    def members(self) -> list[Member]:
        """The nodes."""
        return self.fleet.members

    def run(
        self,
        shapes: list[RequestProfile],
        duration_s: float,
        events: list[tuple[float, Callable[[], Any]]] | None = None,
        ports: list[int] | None = None,
        seed: int = 1,
    ) -> None:
        """Send a load; `events` are called at their times in seconds."""
        ports = ports or [member.caller_port for member in self.members]
        self.ended += threads.blockingCallFromThread(
            reactor, self._run, shapes, duration_s, events or [], ports, seed
        )

    def _run(
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
        done = callers.run(shapes, duration_s).addTimeout(duration_s + RUN_LIMIT_S, loop)
        return done.addCallback(lambda _: callers.report.results)

    def close(self) -> None:
        """End all processes."""
        if hasattr(self, "fleet"):
            self.fleet.close()
        self.folder.cleanup()

    # What is checked

    def doubles(self) -> list[str]:
        """Bookings that ran more than once."""
        runs = Counter(entry["tag"] for entry in self.fleet.ledger())
        bookings = {one.tag for one in self.ended if one.profile.method == "POST"}
        return [tag for tag in bookings if runs[tag] > 1]

    def false_refusals(self) -> list[str]:
        """Bookings that had run when their caller was told "not run"."""
        begun: dict[str, float] = {}
        for entry in self.fleet.ledger():
            begun[entry["tag"]] = min(entry["at_s"], begun.get(entry["tag"], entry["at_s"]))
        return [
            one.tag
            for one in self.ended
            if one.outcome == "not-run" and begun.get(one.tag, one.ended_at_s) < one.ended_at_s
        ]

    def outcomes(self, name: str) -> Counter[str]:
        """How the requests of a shape ended."""
        return Counter(one.outcome for one in self.ended if one.profile.name == name)

    def cut(self) -> list[RequestResult]:
        """Requests that got no answer, or not their own."""
        return [
            one
            for one in self.ended
            if one.outcome in (NO_ANSWER, "refused", "failed") or not one.body_valid
        ]
