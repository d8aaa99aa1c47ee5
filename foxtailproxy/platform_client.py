"""The platform's object API: versions, conditional updates and watches, over HTTP."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import msgspec
import treq
from expression import Error, Ok, Result
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError
from twisted.web.client import Agent, HTTPConnectionPool

from foxtailproxy.models.messages import ObjectListing, StoredObject

if TYPE_CHECKING:
    from foxtailproxy.models.settings import PlatformSection

WATCH_WAIT_MS = 20_000
"""Time that the platform may hold a watch open without news, in milliseconds."""

POOLED_CONNECTIONS = 8


@dataclass(frozen=True, slots=True)
class Conflict:
    """A conditional update failed: the object has another version, or exists already."""


@dataclass(frozen=True, slots=True)
class Missing:
    """There is no such object."""


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No answer came; a write may or may not have taken effect."""

    cause: str


PlatformFailure = Conflict | Missing | Unreachable


@dataclass(slots=True)
class PlatformCounters:
    """Requests sent to the platform."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


class PlatformClient:
    """Calls the object API. No method raises; failures are results."""

    def __init__(self, reactor: Any, settings: PlatformSection) -> None:
        self.counters = PlatformCounters()
        self._url = settings.url
        self._timeout_s = settings.timeout_ms / 1000
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = POOLED_CONNECTIONS
        pool.retryAutomatically = False
        self._pool = pool
        self._agent: Any = Agent(reactor, connectTimeout=self._timeout_s, pool=pool)
        self._treq = HTTPClient(self._agent)  # type: ignore[arg-type]

    async def close(self) -> None:
        """Close idle connections."""
        await self._pool.closeCachedConnections()

    async def read(self, name: str) -> Result[StoredObject, PlatformFailure]:
        """The object `name`."""
        self.counters.reads += 1
        answer = await self._send("GET", f"/v1/objects/{quote(name)}", None, {})
        return answer.bind(lambda body: _decode(body, StoredObject))

    async def list_objects(self, prefix: str) -> Result[ObjectListing, PlatformFailure]:
        """All objects whose names start with `prefix`."""
        self.counters.reads += 1
        path = f"/v1/objects?prefix={quote(prefix)}"
        answer = await self._send("GET", path, None, {})
        return answer.bind(lambda body: _decode(body, ObjectListing))

    async def create(self, name: str, value: str) -> Result[StoredObject, PlatformFailure]:
        """Write an object that must not exist yet."""
        return await self._write(name, value, {"if-none-match": "*"})

    async def update(
        self, name: str, value: str, version: int
    ) -> Result[StoredObject, PlatformFailure]:
        """Replace an object that must have `version`."""
        return await self._write(name, value, {"if-match": str(version)})

    async def put(self, name: str, value: str) -> Result[StoredObject, PlatformFailure]:
        """Write an object whatever its version."""
        return await self._write(name, value, {})

    async def delete(self, name: str, version: int | None) -> Result[None, PlatformFailure]:
        """Remove an object, of `version` where one is given."""
        self.counters.writes += 1
        headers = {} if version is None else {"if-match": str(version)}
        answer = await self._send("DELETE", f"/v1/objects/{quote(name)}", None, headers)
        return answer.map(lambda _: None)

    async def watch(self, prefix: str, revision: int) -> Result[ObjectListing, PlatformFailure]:
        """Wait for changes under `prefix` after `revision`; empty where none came in time."""
        self.counters.watches += 1
        path = f"/v1/watch?prefix={quote(prefix)}&after={revision}&wait_ms={WATCH_WAIT_MS}"
        answer = await self._send("GET", path, None, {}, WATCH_WAIT_MS / 1000)
        return answer.bind(lambda body: _decode(body, ObjectListing))

    async def _write(
        self, name: str, value: str, headers: dict[str, str]
    ) -> Result[StoredObject, PlatformFailure]:
        self.counters.writes += 1
        answer = await self._send("PUT", f"/v1/objects/{quote(name)}", value.encode(), headers)
        return answer.bind(lambda body: _decode(body, StoredObject))

    async def _send(
        self,
        method: str,
        path: str,
        data: bytes | None,
        headers: Any,
        extra_s: float = 0.0,
    ) -> Result[bytes, PlatformFailure]:
        timeout_s = self._timeout_s + extra_s
        try:
            response = await self._treq.request(
                method, self._url + path, headers=headers, data=data, timeout=timeout_s
            )
            body = await treq.content(response).addTimeout(timeout_s, self._agent._reactor)
        except CancelledError:
            return Error(Unreachable("cancelled"))
        except Exception as error:
            return Error(Unreachable(type(error).__name__))
        if response.code == 404:
            return Error(Missing())
        if response.code == 412:
            return Error(Conflict())
        if response.code >= 300:
            return Error(Unreachable(f"status {response.code}"))
        return Ok(body)


def _decode(body: bytes, model: type[Any]) -> Result[Any, PlatformFailure]:
    try:
        return Ok(msgspec.json.decode(body, type=model))
    except msgspec.MsgspecError:
        return Error(Unreachable("malformed answer"))
