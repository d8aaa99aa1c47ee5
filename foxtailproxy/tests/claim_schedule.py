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

NODE_NAMES = ("a", "b", "c")
SENDS_PER_KEY = 4
MAX_START_DELAY_MS = 300
MAX_HOLDER_PAUSE_MS = 3000
SCHEDULE_DURATION_MS = 20_000


@dataclass
class CallerReply:
    """The outcome that a caller got, and the time at which it got it."""

    at_ms: float
    outcome: Outcome


@dataclass
class Schedule:
    """One random schedule, with the times of its runs and the replies to its callers."""

    seed: int
    use_claims: bool = True
    run_times_ms: list[float] = field(default_factory=list)
    replies: list[CallerReply] = field(default_factory=list)

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
        self.claims_by_node = {name: self._create_claims(name) for name in NODE_NAMES}
        for _ in range(SENDS_PER_KEY):
            self.clock.call_later(self.rng.random() * MAX_START_DELAY_MS, self._send_call)
        if self.rng.random() < 0.3:
            self.clock.call_later(self.rng.random() * MAX_START_DELAY_MS, self._start_outage)
        if self.rng.random() < 0.3:
            self.clock.call_later(self.rng.random() * MAX_START_DELAY_MS, self._crash_node)
        advance(self.clock, SCHEDULE_DURATION_MS, 5.0)
        return self

    def _create_claims(self, name: str) -> Claims:
        member = make_member(name, address=name)
        claims = Claims(self.clock, LIMITS, self.platform, self.peers, member)
        self.peers.runs_by_address[name] = claims.runs
        return claims

    def _start_outage(self) -> None:
        self.platform.faults.outage = True
        self.clock.call_later(200, setattr, self.platform.faults, "outage", False)

    def _crash_node(self) -> None:
        self.peers.runs_by_address.pop(self.rng.choice(NODE_NAMES), None)

    def _send_call(self) -> None:
        call = make_call(
            self.clock, 60_000, rule={"name": "booking", "idempotent": False}, key="key-1"
        )
        ensureDeferred(self._serve(self.rng.choice(NODE_NAMES), call))

    async def _serve(self, node: str, call: Call) -> None:
        if not self.use_claims:
            self.replies.append(CallerReply(self.clock.now_ms(), await self._dispatch(node)))
            return
        claims = self.claims_by_node[node]
        claimed = await claims.acquire(call)
        if claimed.is_error():
            self.replies.append(CallerReply(self.clock.now_ms(), claimed.error))
            return
        if self.rng.random() < 0.3:
            # The holder is paused and resumes later, assuming that it still holds the key.
            await self.clock.sleep(self.rng.random() * MAX_HOLDER_PAUSE_MS)
        outcome = await self._dispatch(node)
        if self._is_alive(node):
            self.replies.append(CallerReply(self.clock.now_ms(), outcome))
            await claims.complete(claimed.ok, outcome)

    async def _dispatch(self, node: str) -> Outcome:
        if not self._is_alive(node):
            return Error(Unknown(UnknownReason.PEER_LOST))
        result = self.rng.choice(("answer", "answer", "rejected", "lost"))
        if result == "rejected":
            return Error(NotRun(NotRunReason.QUEUE_FULL))
        self.run_times_ms.append(self.clock.now_ms())
        await self.clock.sleep(self.rng.random() * 50)
        if result == "lost":
            return Error(Unknown(UnknownReason.UPSTREAM_LOST))
        return make_answer()

    def _is_alive(self, node: str) -> bool:
        return node in self.peers.runs_by_address

    def count_false_not_run(self) -> int:
        """Count the callers that got "not run" after the booking had run."""
        return sum(
            1
            for reply in self.replies
            if reply.outcome.is_error()
            and isinstance(reply.outcome.error, NotRun)
            and any(run_time_ms <= reply.at_ms for run_time_ms in self.run_times_ms)
        )
