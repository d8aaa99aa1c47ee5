"""Fakes of the collaborators of a node's components, and factories of their values."""

from __future__ import annotations

import random
import zlib
from contextlib import contextmanager
from dataclasses import dataclass, field
from ipaddress import IPv4Address
from typing import TYPE_CHECKING, Any

import structlog
from expression import Error, Ok
from structlog.testing import LogCapture
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

if TYPE_CHECKING:
    from collections.abc import Iterator

LIMITS = LimitsSection()

FIRST_ADDRESS = int(IPv4Address("10.0.0.1"))
ADDRESS_COUNT = 2**24 - 2


def fake_clock() -> Clock:
    """Return a clock that moves only in `advance`."""
    return Clock(task.Clock())


def advance(clock: Clock, ms: float, step_ms: float = 10.0) -> None:
    """Advance the clock by `ms`, in steps of at most `step_ms`."""
    remaining_ms = ms
    while remaining_ms > 0:
        clock.source.advance(min(step_ms, remaining_ms) / 1000)
        remaining_ms -= step_ms


@contextmanager
def captured_log() -> Iterator[list[Any]]:
    """Collect the log entries of all levels, as dictionaries, while the context is active."""
    suppressing = structlog.get_config()
    capture = LogCapture()
    structlog.configure(processors=[capture], wrapper_class=structlog.stdlib.BoundLogger)
    try:
        yield capture.entries
    finally:
        structlog.configure(**suppressing)


def address_of(node_id: str) -> str:
    """Return the IP address of a member that is given none."""
    return str(IPv4Address(FIRST_ADDRESS + zlib.crc32(node_id.encode()) % ADDRESS_COUNT))


def make_member(node_id: str, **fields: Any) -> MemberRecord:
    """Return the membership record of a node, with `fields` replacing the defaults."""
    values: dict[str, Any] = {
        "node_id": node_id,
        "incarnation": 1,
        "state": MemberState.alive,
        "region": "pohja",
        "data_center": "tallinn-a",
        "address": address_of(node_id),
        "peer_port": 1,
        "gossip_port": 1,
        "admin_port": 1,
        "service": "kalender",
        "slots": 2,
        "boot_id": f"boot-{node_id}",
    }
    return MemberRecord(**(values | fields))


def make_call(clock: Clock, deadline_ms: float = 5000, **fields: Any) -> Call:
    """Return a call; `rule` and `service` replace keys of its class rule and service rule."""
    rule = {"service": "kalender", "name": "lookup", "idempotent": True} | fields.pop("rule", {})
    service = {"name": "kalender", "hosts": ["kalender"]} | fields.pop("service", {})
    path = fields.pop("path", "/days")
    return Call(
        head=RequestHead(b"GET", path.encode(), [(b"host", b"kalender")]),
        service=ServiceRule(**service),
        rule=ClassRule(**rule),
        tenant=fields.pop("tenant", ""),
        deadline_ms=clock.now_ms() + deadline_ms,
        depth=fields.pop("depth", 1),
        payload=b"",
        **fields,
    )


def make_answer(text: bytes = b"answer", status: int = 200) -> Outcome:
    """Return an upstream's answer."""
    return Ok(Answer(ResponseHead(status, b"OK", []), BodyStream.from_bytes(text)))


class NullTargetListener:
    """Listener of a target that ignores all events."""

    def target_changed(self) -> None:
        """Ignore the event."""

    def target_crashed(self, calls: list[Call]) -> None:
        """Ignore the event."""

    def call_completed(self, call: Call) -> None:
        """Ignore the event."""


@dataclass
class PlatformFaults:
    """Shares of writes with each fault, and whether the platform has an outage."""

    lost_request_share: float = 0.0
    lost_answer_share: float = 0.0
    delayed_write_share: float = 0.0
    outage: bool = False


@dataclass
class FakePlatform:
    """In-memory object API of the platform; each answer takes a random time up to `latency_ms`."""

    clock: Clock
    rng: random.Random
    latency_ms: float = 5.0
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    object_by_path: dict[str, StoredObject] = field(default_factory=dict)
    revision: int = 0

    def _delay_answer(self) -> Deferred[None]:
        return self.clock.sleep(self.rng.random() * self.latency_ms)

    async def read(self, path: str, stale: bool = False) -> Any:
        """Read an object."""
        await self._delay_answer()
        if self.faults.outage:
            return Error(Unreachable("outage"))
        stored = self.object_by_path.get(path)
        return Error(Missing()) if stored is None else Ok(stored)

    async def create(self, path: str, value: str) -> Any:
        """Create an object that must not exist yet."""
        return await self._write(path, lambda current: current is None, value)

    async def update(self, path: str, value: str, version: int) -> Any:
        """Replace an object if it has `version`."""
        return await self._write(
            path, lambda current: current is not None and current.version == version, value
        )

    async def delete(self, path: str, version: int | None) -> Any:
        """Delete an object if it has `version`, or any version if that is `None`."""
        return await self._write(
            path, lambda current: current is not None and version in (None, current.version), None
        )

    async def watch(self, kind: str, revision: int) -> Any:
        """Return the changes after a revision without waiting for one."""
        await self._delay_answer()
        if self.faults.outage:
            return Error(Unreachable("outage"))
        changed = [o for o in self.object_by_path.values() if o.version > revision]
        return Ok(Changes(self.revision, changed))

    async def list_objects(self, kind: str, stale: bool = False) -> Any:
        """List all objects, whatever their kind."""
        await self._delay_answer()
        if self.faults.outage:
            return Error(Unreachable("outage"))
        return Ok(ObjectListing(self.revision, list(self.object_by_path.values())))

    async def _write(self, path: str, condition: Any, value: str | None) -> Any:
        await self._delay_answer()
        if self.faults.outage or self.rng.random() < self.faults.lost_request_share:
            return Error(Unreachable("request lost"))
        if self.rng.random() < self.faults.delayed_write_share:
            delay_ms = self.rng.random() * 2000
            self.clock.call_later(delay_ms, self._apply, path, condition, value)
            return Error(Unreachable("write delayed"))
        result = self._apply(path, condition, value)
        await self._delay_answer()
        if self.rng.random() < self.faults.lost_answer_share:
            return Error(Unreachable("answer lost"))
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
    """Client for claims held by peers; `runs_by_address` holds the run tables of live nodes."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.runs_by_address: dict[str, Any] = {}
        self._clock = clock
        self._rng = rng

    async def query_claim(self, claim_id: str, call: Call, address: str, port: int) -> Outcome:
        """Wait for the outcome of the claim's call and return it. Raises `ConnectFailed`."""
        from foxtailproxy.outcome import Unknown, UnknownReason

        await self._clock.sleep(self._rng.random() * 5)
        runs = self.runs_by_address.get(address)
        if runs is None:
            raise ConnectFailed
        run = runs.find(claim_id)
        if run is None:
            return Error(Unknown(UnknownReason.ANSWER_NOT_KEPT))
        outcome_received: Deferred[Outcome] = Deferred()
        run.add_callback(outcome_received.callback)
        return await outcome_received
