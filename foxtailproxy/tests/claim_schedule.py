"""Random schedules of callers that send one idempotency key to several nodes."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from expression import Error
from twisted.internet.defer import ensureDeferred

from foxtailproxy.call import Call
from foxtailproxy.claims import Claims
from foxtailproxy.outcome import NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from foxtailproxy.tests.fakes import (
    LIMITS,
    FakePeers,
    FakePlatform,
    PlatformFaults,
    advance,
    fake_clock,
    make_answer,
    make_call,
    make_member,
)

NODES = ("a", "b", "c")
SENDS = 4
SPREAD_MS = 300
LONGEST_PAUSE_MS = 3000
SCHEDULE_MS = 20_000


@dataclass
class Told:
    """What a caller was told, and when."""

    at_ms: float
    outcome: Outcome


@dataclass
class Schedule:
    """One schedule: what ran and what callers were told."""

    seed: int
    claims_on: bool = True
    runs_ms: list[float] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)

    def play(self) -> Schedule:
        """Run the schedule to its end."""
        self.rng = random.Random(self.seed)
        self.clock = fake_clock()
        self.platform = FakePlatform(self.clock, self.rng)
        self.platform.faults = PlatformFaults(
            lost_request_share=self.rng.choice((0.0, 0.2)),
            lost_answer_share=self.rng.choice((0.0, 0.3)),
            delayed_write_share=self.rng.choice((0.0, 0.2)),
        )
        self.peers = FakePeers(self.clock, self.rng)
        self.claims_by_node = {name: self._claims(name) for name in NODES}
        for _ in range(SENDS):
            self.clock.call_later(self.rng.random() * SPREAD_MS, self._send)
        if self.rng.random() < 0.3:
            self.clock.call_later(self.rng.random() * SPREAD_MS, self._outage)
        if self.rng.random() < 0.3:
            self.clock.call_later(self.rng.random() * SPREAD_MS, self._kill)
        advance(self.clock, SCHEDULE_MS, 5.0)
        return self

    def _claims(self, name: str) -> Claims:
        claims = Claims(self.clock, LIMITS, self.platform, self.peers, make_member(name))
        self.peers.runs_by_address[name] = claims.runs
        return claims

    def _outage(self) -> None:
        self.platform.faults.outage = True
        self.clock.call_later(200, setattr, self.platform.faults, "outage", False)

    def _kill(self) -> None:
        self.peers.runs_by_address.pop(self.rng.choice(NODES), None)

    def _send(self) -> None:
        call = make_call(
            self.clock, 60_000, rule={"name": "booking", "idempotent": False}, key="key-1"
        )
        ensureDeferred(self._serve(self.rng.choice(NODES), call))

    async def _serve(self, node: str, call: Call) -> None:
        if not self.claims_on:
            self.told.append(Told(self.clock.now_ms(), await self._dispatch(node)))
            return
        claims = self.claims_by_node[node]
        claimed = await claims.take(call)
        if claimed.is_error():
            self.told.append(Told(self.clock.now_ms(), claimed.error))
            return
        if self.rng.random() < 0.3:
            # The holder is paused and wakes later, believing that it still holds the key.
            await self.clock.sleep(self.rng.random() * LONGEST_PAUSE_MS)
        outcome = await self._dispatch(node)
        if self._alive(node):
            self.told.append(Told(self.clock.now_ms(), outcome))
            await claims.settle(claimed.ok, outcome)

    async def _dispatch(self, node: str) -> Outcome:
        if not self._alive(node):
            return Error(Unknown(UnknownReason.PEER_LOST))
        kind = self.rng.choice(("answer", "answer", "refused", "lost"))
        if kind == "refused":
            return Error(NotRun(NotRunReason.QUEUE_FULL))
        self.runs_ms.append(self.clock.now_ms())
        await self.clock.sleep(self.rng.random() * 50)
        if kind == "lost":
            return Error(Unknown(UnknownReason.UPSTREAM_LOST))
        return make_answer()

    def _alive(self, node: str) -> bool:
        return node in self.peers.runs_by_address

    def false_refusals(self) -> int:
        """Callers that were told "not run" after the booking had run."""
        return sum(
            1
            for told in self.told
            if told.outcome.is_error()
            and isinstance(told.outcome.error, NotRun)
            and any(run_ms <= told.at_ms for run_ms in self.runs_ms)
        )
