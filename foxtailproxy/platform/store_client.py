"""HTTP client of the platform's object store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import quote, urlencode

import msgspec
import structlog
from expression import Error, Ok, Result
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from foxtailproxy.clock import Clock
from foxtailproxy.http.transport import enable_tcp_keepalive
from foxtailproxy.platform.headers import STORE_ERA
from foxtailproxy.storage.store_era import StoreEra
from foxtailproxy.store import (
    Changes,
    Conflict,
    HistoryGone,
    Missing,
    ObjectListing,
    Refused,
    StoreCounters,
    StoredObject,
    StoreFailure,
    Unreachable,
)

if TYPE_CHECKING:
    from foxtailproxy.models.settings import PlatformSection

log = structlog.get_logger()

WATCH_WAIT_MS = 25_000
"""Time that the store may hold a watch open without changes, in milliseconds; it allows 30,000."""

MS_PER_SECOND = 1000

STALE_READ_QUERY = {"serializable": 1}
"""Query of a read that may be answered from a stale copy; it costs a tenth of a current read."""


class ObjectMetadata(msgspec.Struct):
    """Metadata of a stored object."""

    name: str
    revision: int
    """Revision of the object's last change; it is the object's version."""


class WireObject(msgspec.Struct):
    """Object in the store's JSON format."""

    metadata: ObjectMetadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class ListPage(msgspec.Struct):
    """One page of a listing."""

    items: list[WireObject]
    current_rev: int
    """Revision of the store, not of an object."""
    has_more: bool = False


class WatchEvent(msgspec.Struct):
    """One change; for a deletion `object` is the last state."""

    object: WireObject
    deleted: bool = False


class WatchResponse(msgspec.Struct):
    """Response to a watch, with the changes after the given revision."""

    events: list[WatchEvent]
    current_rev: int


@dataclass(frozen=True, slots=True)
class StoreReply:
    """Body of an answer of the store, and the store's era."""

    body: bytes
    era: int


@implementer(IAgentEndpointFactory)
class _StoreEndpointFactory:
    """Factory of endpoints whose connections detect that the store no longer knows them."""

    def __init__(self, reactor: Any, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Return an endpoint for the host and port of `uri`."""
        host = uri.host.decode("ascii")
        return _KeepaliveEndpoint(
            TCP4ClientEndpoint(self._reactor, host, uri.port, timeout=self._timeout_s)
        )


class _KeepaliveEndpoint:
    """Endpoint that enables TCP keep-alive probes on each new connection."""

    def __init__(self, endpoint: TCP4ClientEndpoint) -> None:
        self._endpoint = endpoint

    def connect(self, factory: Any) -> Deferred[Any]:
        """Connect and enable the keep-alive probes."""
        return self._endpoint.connect(factory).addCallback(self._enable_keepalive)

    @staticmethod
    def _enable_keepalive(protocol: Any) -> Any:
        enable_tcp_keepalive(protocol.transport)
        return protocol


class _BodyReader(Protocol):
    """Reader of a response's body; cancelling `body` closes the connection.

    A body without a length ends with its connection: JSON that is cut does not decode.
    """

    transport: Any = None

    def __init__(self) -> None:
        self.body: Deferred[bytes] = Deferred(lambda _: self.transport.loseConnection())
        self._received = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep the bytes."""
        self._received += data

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Complete the body if it is whole or has no length, and fail it otherwise."""
        if self.body.called:
            return
        if reason.check(ResponseDone, PotentialDataLoss):
            self.body.callback(bytes(self._received))
        else:
            self.body.errback(reason)


class StoreClient:
    """Client of the platform's store; implements `foxtailproxy.store.Store`.

    Each call has its own connection, since a response does not name the call that it answers: on a
    shared one, a second copy of a response could be taken for the response to the next call.
    """

    def __init__(
        self, reactor: Any, settings: PlatformSection, era: StoreEra | None = None
    ) -> None:
        self.counters = StoreCounters()
        self.watch_wait_ms = WATCH_WAIT_MS
        self.era = era or StoreEra(Clock(reactor))
        self._is_unavailable = False
        self._url = settings.url
        self._timeout_s = settings.timeout_ms / MS_PER_SECOND
        self._reactor = reactor
        endpoints = _StoreEndpointFactory(reactor, self._timeout_s)
        agent: Any = Agent.usingEndpointFactory(reactor, endpoints)
        self._treq = HTTPClient(agent)

    async def read(self, path: str, stale: bool = False) -> Result[StoredObject, StoreFailure]:
        """Read one object; if `stale`, it may be seconds old."""
        self.counters.reads += 1
        kind, name = _split_path(path)
        query = f"?{urlencode(STALE_READ_QUERY)}" if stale else ""
        result = await self._send("GET", _object_path(kind, name) + query, None)
        return result.bind(lambda reply: _decode_object(kind, reply.body))

    async def list_objects(
        self, kind: str, stale: bool = False
    ) -> Result[ObjectListing, StoreFailure]:
        """List all objects of a kind, page by page."""
        objects: list[StoredObject] = []
        eras: set[int] = set()
        query: dict[str, str | int] = {**STALE_READ_QUERY} if stale else {}
        while True:
            self.counters.reads += 1
            result = await self._send("GET", _kind_path(kind, query), None)
            page = result.bind(lambda reply: _decode(reply.body, ListPage))
            if page.is_error():
                return Error(page.error)
            eras.add(result.ok.era)
            if len(eras) > 1:
                return Error(Unreachable("the store was restored during the listing"))
            objects += [_to_object(kind, item) for item in page.ok.items]
            if not page.ok.has_more or not page.ok.items:
                return Ok(ObjectListing(page.ok.current_rev, objects, result.ok.era))
            query["after"] = page.ok.items[-1].metadata.name

    async def create(self, path: str, value: str) -> Result[StoredObject, StoreFailure]:
        """Create an object that must not exist yet."""
        return await self._write("POST", path, value, None)

    async def update(
        self, path: str, value: str, version: int
    ) -> Result[StoredObject, StoreFailure]:
        """Replace an object that must have `version`."""
        return await self._write("PUT", path, value, version)

    async def put(self, path: str, value: str) -> Result[StoredObject, StoreFailure]:
        """Write an object regardless of its version: replace it, or create it if it is missing."""
        result = await self._write("PUT", path, value, None)
        if result.is_error() and isinstance(result.error, Missing):
            return await self._write("POST", path, value, None)
        return result

    async def delete(self, path: str, version: int | None) -> Result[None, StoreFailure]:
        """Delete an object, which must have `version` if one is given."""
        self.counters.writes += 1
        kind, name = _split_path(path)
        query = "" if version is None else f"?revision={version}"
        result = await self._send("DELETE", _object_path(kind, name) + query, None)
        return result.map(lambda _: None)

    async def watch(self, kind: str, revision: int) -> Result[Changes, StoreFailure]:
        """Wait for changes in a kind after `revision`; the result is empty if none came in time."""
        self.counters.watches += 1
        path = _kind_path(kind, {"watch": revision, "wait_ms": self.watch_wait_ms})
        result = await self._send("GET", path, None, self.watch_wait_ms / MS_PER_SECOND)
        response = result.bind(lambda reply: _decode(reply.body, WatchResponse))
        return response.map(lambda decoded: _to_changes(kind, decoded, result.ok.era))

    async def _write(
        self, method: str, path: str, value: str, version: int | None
    ) -> Result[StoredObject, StoreFailure]:
        self.counters.writes += 1
        kind, name = _split_path(path)
        metadata: dict[str, Any] = {"name": name, "finalizers": []}
        if version is not None:
            metadata["revision"] = version
        body = msgspec.json.encode({"metadata": metadata, "spec": msgspec.Raw(value.encode())})
        result = await self._send(method, _object_path(kind, name), body)
        return result.bind(lambda reply: _decode_object(kind, reply.body))

    async def _send(
        self, method: str, path: str, data: bytes | None, extra_timeout_s: float = 0.0
    ) -> Result[StoreReply, StoreFailure]:
        result = await self._exchange(method, path, data, self._timeout_s + extra_timeout_s)
        is_unavailable = result.is_error() and isinstance(result.error, Refused | Unreachable)
        if is_unavailable:
            self.counters.failures += 1
            log.warning("store_call_failed", method=method, path=path, failure=repr(result.error))
        if is_unavailable != self._is_unavailable:
            self._is_unavailable = is_unavailable
            log.warning("store_lost" if is_unavailable else "store_regained")
        return result

    async def _exchange(
        self, method: str, path: str, data: bytes | None, timeout_s: float
    ) -> Result[StoreReply, StoreFailure]:
        headers: Any = {} if data is None else {"content-type": "application/json"}
        try:
            response = await self._treq.request(
                method,
                self._url + path,
                headers=headers,
                data=data,
                timeout=timeout_s,
                allow_redirects=False,
                unbuffered=True,
            )
            reader = _BodyReader()
            response.deliverBody(reader)
            body = await reader.body.addTimeout(timeout_s, self._reactor)
        except CancelledError:
            return Error(Unreachable("the request was cancelled"))
        except Exception as error:
            return Error(Unreachable(type(error).__name__))
        era = self._read_era(response.headers)
        return _to_result(response.code, path, body).map(lambda body: StoreReply(body, era))

    def _read_era(self, headers: Any) -> int:
        """Return the era in an answer, or the known one if it has none."""
        value = headers.getRawHeaders(STORE_ERA, [b""])[0]
        if not value.isdigit():
            return self.era.number
        self.era.observe(int(value), "platform")
        return int(value)


def _to_result(status: int, path: str, body: bytes) -> Result[bytes, StoreFailure]:
    """Convert a status and body of the store into a result."""
    if 200 <= status < 300:
        return Ok(body)
    if status == 404:
        return Error(Missing())
    if status == 409:
        kind = path.split("/")[2]
        current = _decode_object(kind, body)
        return Error(Conflict(current.ok if current.is_ok() else None))
    if status == 410:
        return Error(HistoryGone())
    if status in (429, 503):
        return Error(Refused(f"the store answered status {status}"))
    return Error(Unreachable(f"the store answered status {status}"))


def _split_path(path: str) -> tuple[str, str]:
    kind, _, name = path.partition("/")
    return kind, name


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _kind_path(kind: str, query: dict[str, str | int]) -> str:
    path = f"/objects/{quote(kind, safe='')}"
    return f"{path}?{urlencode(query)}" if query else path


def _to_object(kind: str, item: WireObject) -> StoredObject:
    return StoredObject(
        f"{kind}/{item.metadata.name}", item.metadata.revision, bytes(item.spec).decode()
    )


def _to_changes(kind: str, response: WatchResponse, era: int) -> Changes:
    is_deleted_by_name = {event.object.metadata.name: event.deleted for event in response.events}
    return Changes(
        response.current_rev,
        [
            _to_object(kind, event.object)
            for event in response.events
            if not event.deleted and not is_deleted_by_name[event.object.metadata.name]
        ],
        [f"{kind}/{name}" for name, is_deleted in is_deleted_by_name.items() if is_deleted],
        era,
    )


def _decode_object(kind: str, body: bytes) -> Result[StoredObject, StoreFailure]:
    return _decode(body, WireObject).map(lambda item: _to_object(kind, item))


def _decode(body: bytes, model: type[Any]) -> Result[Any, StoreFailure]:
    try:
        return Ok(msgspec.json.decode(body, type=model))
    except msgspec.MsgspecError:
        return Error(Unreachable("the response body is malformed"))
