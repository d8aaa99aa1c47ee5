"""The object store as the product sees it: versions, conditional updates, watches, typed failures.

An object has a path, `KIND/NAME`, and a value, which is JSON text.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from expression import Result


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object; `version` grows with each of its changes."""

    path: str
    version: int
    value: str


@dataclass(frozen=True, slots=True)
class ObjectListing:
    """All objects of a kind and the revision of the store at which they were read."""

    revision: int
    objects: list[StoredObject]


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed in a kind up to `revision`; `removed` holds paths."""

    revision: int
    objects: list[StoredObject]
    removed: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Conflict:
    """A conditional update failed: the object has another version, or exists already.

    `current` is the object as it is, where the store told it.
    """

    current: StoredObject | None = None


@dataclass(frozen=True, slots=True)
class Missing:
    """There is no such object."""


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer has the changes after the revision asked for: list again."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The store turned the call away; nothing was done."""

    cause: str


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No answer came; a write may have taken effect, or may do so later."""

    cause: str


StoreFailure = Conflict | Missing | HistoryGone | Refused | Unreachable


@dataclass(slots=True)
class StoreCounters:
    """Calls sent to the store, and those among them that brought no answer or a refusal."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    failures: int = 0


class Store(Protocol):
    """Calls to the store. No method raises; failures are results."""

    counters: StoreCounters

    async def close(self) -> None:
        """Close idle connections."""

    async def read(self, path: str, stale: bool = False) -> Result[StoredObject, StoreFailure]:
        """One object; where `stale`, it may be seconds old, for a lower price."""

    async def list_objects(
        self, kind: str, stale: bool = False
    ) -> Result[ObjectListing, StoreFailure]:
        """All objects of a kind; where `stale`, they may be seconds old, for a lower price."""

    async def create(self, path: str, value: str) -> Result[StoredObject, StoreFailure]:
        """Write an object that must not exist yet."""

    async def update(
        self, path: str, value: str, version: int
    ) -> Result[StoredObject, StoreFailure]:
        """Replace an object that must have `version`."""

    async def put(self, path: str, value: str) -> Result[StoredObject, StoreFailure]:
        """Write an object whatever its version."""

    async def delete(self, path: str, version: int | None) -> Result[None, StoreFailure]:
        """Remove an object, of `version` where one is given."""

    async def watch(self, kind: str, revision: int) -> Result[Changes, StoreFailure]:
        """Wait for changes in a kind after `revision`; empty where none came in time."""
