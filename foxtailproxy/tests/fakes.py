"""Fakes of what lies around the parts of a node."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Ok
from twisted.internet import task
from twisted.internet.defer import Deferred

from foxtailproxy.call import Call
from foxtailproxy.clock import Clock
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.errors import ConnectFailed
from foxtailproxy.http.messages import RequestHead, ResponseHead
from foxtailproxy.models.messages import MemberRecord, MemberState
from foxtailproxy.models.rules import ClassRule, ServiceRule
from foxtailproxy.models.settings import LimitsSection
from foxtailproxy.outcome import Answer, Outcome
from foxtailproxy.store import (
    Changes,
    Conflict,
    Missing,
    ObjectListing,
    StoredObject,
    Unreachable,
)

LIMITS = LimitsSection()


def fake_clock() -> Clock:
    """A clock that moves only when it is told to."""
    return Clock(task.Clock())


def advance(clock: Clock, ms: float, step_ms: float = 10.0) -> None:
    """Let time pass."""
    remaining_ms = ms
    while remaining_ms > 0:
        clock.source.advance(min(step_ms, remaining_ms) / 1000)
        remaining_ms -= step_ms


def make_member(node_id: str, **fields: Any) -> MemberRecord:
    """A node's record."""
    values: dict[str, Any] = {
        "node_id": node_id,
        "incarnation": 1,
        "state": MemberState.alive,
        "region": "pohja",
        "data_center": "tallinn-a",
        "address": node_id,
        "peer_port": 1,
        "gossip_port": 1,
        "admin_port": 1,
        "service": "kalender",
        "slots": 2,
        "boot_id": f"boot-{node_id}",
    }
    return MemberRecord(**(values | fields))


def make_call(clock: Clock, deadline_ms: float = 5000, **fields: Any) -> Call:
    """A call of one class; `rule` holds the keys of the class."""
    rule = {"service": "kalender", "name": "lookup", "idempotent": True} | fields.pop("rule", {})
    service = {"name": "kalender", "hosts": ["kalender"]} | fields.pop("service", {})
    path = fields.pop("path", "/days")
    return Call(
        head=RequestHead(b"GET", path.encode(), [(b"host", b"kalender")]),
        service=ServiceRule(**service),
        rule=ClassRule(**rule),
        tenant=fields.pop("tenant", ""),
        deadline_ms=clock.now_ms() + deadline_ms,
        depth=1,
        payload=b"",
        **fields,
    )


def make_answer(text: bytes = b"answer", status: int = 200) -> Outcome:
    """An upstream's answer."""
    return Ok(Answer(ResponseHead(status, b"OK", []), BodyStream.of(text)))


class NullTargetListener:
    """Listens to a target and does nothing."""

    def target_changed(self) -> None:
        """Not of interest."""

    def target_crashed(self, calls: list[Call]) -> None:
        """Not of interest."""

    def call_completed(self, call: Call) -> None:
        """Not of interest."""


@dataclass
class PlatformFaults:
    """Shares of writes that go wrong, and whether the platform is out."""

    lost_request_share: float = 0.0
    lost_answer_share: float = 0.0
    delayed_write_share: float = 0.0
    outage: bool = False


@dataclass
class FakePlatform:
    """The platform's object API in memory; answers after a random time of up to `latency_ms`."""

    clock: Clock
    rng: random.Random
    latency_ms: float = 5.0
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    object_by_path: dict[str, StoredObject] = field(default_factory=dict)
    revision: int = 0

    def _delay_answer(self) -> Deferred[None]:
        return self.clock.sleep(self.rng.random() * self.latency_ms)

    async def read(self, path: str, stale: bool = False) -> Any:
        """One object."""
        await self._delay_answer()
        if self.faults.outage:
            return Error(Unreachable("outage"))
        stored = self.object_by_path.get(path)
        return Error(Missing()) if stored is None else Ok(stored)

    async def create(self, path: str, value: str) -> Any:
        """Write an object that must not exist yet."""
        return await self._write(path, lambda current: current is None, value)

    async def update(self, path: str, value: str, version: int) -> Any:
        """Replace an object that must have `version`."""
        return await self._write(
            path, lambda current: current is not None and current.version == version, value
        )

    async def delete(self, path: str, version: int | None) -> Any:
        """Remove an object of `version`."""
        return await self._write(
            path, lambda current: current is not None and version in (None, current.version), None
        )

    async def watch(self, kind: str, revision: int) -> Any:
        """What changed after a revision, at once."""
        await self._delay_answer()
        if self.faults.outage:
            return Error(Unreachable("outage"))
        changed = [o for o in self.object_by_path.values() if o.version > revision]
        return Ok(Changes(self.revision, changed))

    async def list_objects(self, kind: str, stale: bool = False) -> Any:
        """All objects of a kind."""
        await self._delay_answer()
        if self.faults.outage:
            return Error(Unreachable("outage"))
        return Ok(ObjectListing(self.revision, list(self.object_by_path.values())))

    async def _write(self, path: str, condition: Any, value: str | None) -> Any:
        await self._delay_answer()
        if self.faults.outage or self.rng.random() < self.faults.lost_request_share:
            return Error(Unreachable("lost before"))
        if self.rng.random() < self.faults.delayed_write_share:
            delay_ms = self.rng.random() * 2000
            self.clock.call_later(delay_ms, self._apply, path, condition, value)
            return Error(Unreachable("late"))
        result = self._apply(path, condition, value)
        await self._delay_answer()
        if self.rng.random() < self.faults.lost_answer_share:
            return Error(Unreachable("lost after"))
        return result

    def _apply(self, path: str, condition: Any, value: str | None) -> Any:
        if not condition(self.object_by_path.get(path)):
            return Error(Conflict())
        self.revision += 1
        if value is None:
            del self.object_by_path[path]
            return Ok(None)
        stored = StoredObject(path, self.revision, value)
        self.object_by_path[path] = stored
        return Ok(stored)


class FakePeers:
    """Lets nodes ask each other about claims; `runs_by_address` holds the live ones."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.runs_by_address: dict[str, Any] = {}
        self._clock = clock
        self._rng = rng

    async def ask_claim(self, claim_id: str, call: Call, address: str, port: int) -> Outcome:
        """The outcome of the claim's call, once it is known. Raises `ConnectFailed`."""
        from foxtailproxy.outcome import Unknown, UnknownReason

        await self._clock.sleep(self._rng.random() * 5)
        runs = self.runs_by_address.get(address)
        if runs is None:
            raise ConnectFailed
        run = runs.find(claim_id)
        if run is None:
            return Error(Unknown(UnknownReason.ANSWER_NOT_KEPT))
        outcome_received: Deferred[Outcome] = Deferred()
        run.wait(outcome_received.callback)
        return await outcome_received
