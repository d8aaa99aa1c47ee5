"""Fake of the store that sums the price of its calls."""

from __future__ import annotations

import random
from typing import Any

from expression import Error, Ok

from foxtailproxy.clock import Clock
from foxtailproxy.models.messages import MemberRecord
from foxtailproxy.roster import Roster, decode_roster, encode_roster, roster_path
from foxtailproxy.store import (
    Conflict,
    Missing,
    ObjectListing,
    Refused,
    StoredObject,
    Unreachable,
)
from foxtailproxy.tests.fakes import FakePlatform

STALE_CALL_PRICE = 0.1


class PricedStore(FakePlatform):
    """In-memory store that sums the price of its calls.

    It can reject writes, lose answers, and answer stale reads from a copy that is `stale_ms` old.
    """

    total_price = 0.0
    rejects_writes = False
    loses_answers = False
    stale_ms = 0.0

    def __init__(self, clock: Clock, rng: random.Random, latency_ms: float = 5.0) -> None:
        super().__init__(clock, rng, latency_ms)
        self.history: list[tuple[float, str, StoredObject | None]] = []

    async def read(self, path: str, stale: bool = False) -> Any:
        """Read an object."""
        self.total_price += STALE_CALL_PRICE if stale else 1
        return await super().read(path, stale)

    async def list_objects(self, kind: str, stale: bool = False) -> Any:
        """List the objects of a kind."""
        self.total_price += STALE_CALL_PRICE if stale else 1
        listing = await super().list_objects(kind, stale)
        if listing.is_error() or not stale:
            return listing
        copy: dict[str, StoredObject] = {}
        for changed_ms, path, stored in self.history:
            if changed_ms > self.clock.now_ms() - self.stale_ms:
                break
            if stored is None:
                copy.pop(path, None)
            else:
                copy[path] = stored
        return Ok(ObjectListing(self.revision, list(copy.values())))

    async def create(self, path: str, value: str) -> Any:
        """Create an object that must not exist yet."""
        return await self._change(path, value, lambda current: current is None)

    async def update(self, path: str, value: str, version: int) -> Any:
        """Replace an object if it has `version`."""
        if path not in self.object_by_path:
            self.total_price += 1
            return Error(Missing())
        return await self._change(
            path, value, lambda current: current is not None and current.version == version
        )

    async def put(self, path: str, value: str) -> Any:
        """Write an object regardless of its version."""
        return await self._change(path, value, lambda current: True)

    async def _change(self, path: str, value: str, condition: Any) -> Any:
        self.total_price += 1
        if self.rejects_writes:
            return Error(Refused("status 429"))
        written = await self._write(path, condition, value)
        if written.is_error() and isinstance(written.error, Conflict):
            return Error(Conflict(self.object_by_path.get(path)))
        return Error(Unreachable("answer lost")) if self.loses_answers else written

    def _apply(self, path: str, condition: Any, value: str | None) -> Any:
        result = super()._apply(path, condition, value)
        if result.is_ok():
            self.history.append((self.clock.now_ms(), path, result.ok))
        return result

    def roster(self, data_center: str) -> Roster:
        """Return a roster, empty if there is none."""
        stored = self.object_by_path.get(roster_path(data_center))
        return Roster() if stored is None else decode_roster(stored.version, stored.value)

    def set_roster(self, data_center: str, records: list[MemberRecord]) -> None:
        """Write a roster as a node would have."""
        self._apply(roster_path(data_center), lambda current: True, encode_roster(records))
