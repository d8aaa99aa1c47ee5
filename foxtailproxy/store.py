"""Interface of the object store: versions, conditional updates, watches and typed failures.

An object has a path, `KIND/NAME`, and a value, which is JSON text.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from expression import Result


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object; `version` grows with each of its changes."""

    path: str
    version: int
    value: str


@dataclass(frozen=True, slots=True)
class ObjectListing:
    """All objects of a kind, and the revision and era of the store at which they were read."""

    revision: int
    objects: list[StoredObject]
    era: int = 0


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes in a kind up to `revision`; `removed` holds the paths of removed objects.

    No path is among both: the latest change of an object counts. Revisions are comparable only
    within one `era`.
    """

    revision: int
    objects: list[StoredObject]
    removed: list[str] = field(default_factory=list)
    era: int = 0


@dataclass(frozen=True, slots=True)
class Conflict:
    """A failed conditional write: the object has another version, or exists already.

    `current` is the current object if the store returned it.
    """

    current: StoredObject | None = None


@dataclass(frozen=True, slots=True)
class Missing:
    """A request for an object that does not exist."""


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """A watch from a revision whose later changes the store no longer has; list the kind again."""


@dataclass(frozen=True, slots=True)
class Refused:
    """A request that the store rejected without effect."""

    cause: str


@dataclass(frozen=True, slots=True)
class Unreachable:
    """A request without an answer; a write may have taken effect, or may do so later."""

    cause: str


StoreFailure = Conflict | Missing | HistoryGone | Refused | Unreachable


@dataclass(slots=True)
class StoreCounters:
    """Counts of requests to the store, and of those that were rejected or got no answer."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    failures: int = 0


class Store(Protocol):
    """Client of the object store. No method raises; failures are results."""

    counters: StoreCounters

    async def read(self, path: str, stale: bool = False) -> Result[StoredObject, StoreFailure]:
        """Read an object; with `stale` it may be seconds old, at a lower price."""

    async def list_objects(
        self, kind: str, stale: bool = False
    ) -> Result[ObjectListing, StoreFailure]:
        """List all objects of a kind; with `stale` they may be seconds old, at a lower price."""

    async def create(self, path: str, value: str) -> Result[StoredObject, StoreFailure]:
        """Create an object that must not exist yet."""

    async def update(
        self, path: str, value: str, version: int
    ) -> Result[StoredObject, StoreFailure]:
        """Replace an object that must have `version`."""

    async def put(self, path: str, value: str) -> Result[StoredObject, StoreFailure]:
        """Write an object regardless of its version."""

    async def delete(self, path: str, version: int | None) -> Result[None, StoreFailure]:
        """Delete an object; if `version` is given, the object must have it."""

    async def watch(self, kind: str, revision: int) -> Result[Changes, StoreFailure]:
        """Wait for changes in a kind after `revision`; return none if none came in time."""
