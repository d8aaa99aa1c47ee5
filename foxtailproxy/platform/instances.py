"""The platform's calls to this node: heartbeats of the target beside it, and readiness."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol
from urllib.parse import unquote

import msgspec
import structlog

from foxtailproxy.http import messages
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.errors import HttpError
from foxtailproxy.models.messages import Announcement

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.http.exchange import ServerExchange

log = structlog.get_logger()

MAX_BEAT_BYTES = 65536

INSTANCES_PATH = "/instances/"

READY = "ready"
DRAINING = "draining"
STATES = frozenset((READY, DRAINING))


class Beat(msgspec.Struct):
    """What a target says of itself with each heartbeat."""

    service: str
    address: str
    slots: int
    state: str
    sequence: int
    born: int = 0
    """Unix milliseconds of the target's start; tells two processes with one id apart."""


class LeaveNotice(msgspec.Struct):
    """What a target may say as it leaves."""

    born: int = 0
    """As in a heartbeat."""


class BeatListener(Protocol):
    """Is told what the target says."""

    def announced(self, announcement: Announcement) -> None:
        """The target serves, or takes no new work."""

    def left(self, instance: str, born_ms: int) -> None:
        """The target process takes no new work."""


class MalformedBeat(Exception):
    """A heartbeat that cannot be read or names no target to use."""


def decode_beat(instance: str, body: bytes) -> Announcement:
    """The announcement in a heartbeat of the process `instance`. Raises `MalformedBeat`."""
    try:
        beat = msgspec.json.decode(body, type=Beat)
        host, _, port = beat.address.rpartition(":")
        if beat.state not in STATES or not host or not instance:
            raise MalformedBeat(f"state {beat.state!r}, address {beat.address!r}")
        values = {
            "service": beat.service,
            "address": host,
            "port": int(port),
            "slots": beat.slots,
            "instance": instance,
            "born_ms": beat.born,
            "sequence": beat.sequence,
            "leaving": beat.state == DRAINING,
        }
        return msgspec.convert(values, Announcement)
    except (msgspec.MsgspecError, ValueError) as error:
        raise MalformedBeat(str(error)) from error


class ControlHandler:
    """Serves the heartbeats of the target beside this node."""

    def __init__(self, listener: BeatListener) -> None:
        self._listener = listener

    async def handle(self, exchange: ServerExchange) -> None:
        """Serve one call: `PUT` for a heartbeat, `DELETE` for a notice of leave."""
        instance = _instance_of(exchange.head.target)
        try:
            whole = await exchange.body.buffer(MAX_BEAT_BYTES)
        except HttpError as error:
            log.warning("beat_cut", instance=instance, error=type(error).__name__)
            return
        body = exchange.body.buffered() if whole else b""
        if not instance or exchange.head.method not in (b"PUT", b"DELETE"):
            _respond(exchange, 404)
        elif exchange.head.method == b"DELETE":
            self._listener.left(instance, _read_born(body))
            _respond(exchange, 200)
        else:
            self._beat(exchange, instance, body)

    def _beat(self, exchange: ServerExchange, instance: str, body: bytes) -> None:
        try:
            announcement = decode_beat(instance, body)
        except MalformedBeat as error:
            log.warning("beat_malformed", instance=instance, reason=str(error))
            _respond(exchange, 400)
            return
        self._listener.announced(announcement)
        _respond(exchange, 200)


class ReadyHandler:
    """Tells the platform whether this node takes requests."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    async def handle(self, exchange: ServerExchange) -> None:
        """Serve one call: 200 where requests are served, else 503."""
        _respond(exchange, 200 if self._ready() else 503)


def _instance_of(target: bytes) -> str:
    """The process named in a path, or an empty string."""
    path = target.partition(b"?")[0].decode("latin-1")
    if not path.startswith(INSTANCES_PATH):
        return ""
    return unquote(path[len(INSTANCES_PATH) :])


def _read_born(body: bytes) -> int:
    """The start in a notice of leave, which may have no body; 0 where it is not told."""
    if not body:
        return 0
    try:
        return msgspec.json.decode(body, type=LeaveNotice).born
    except msgspec.MsgspecError as error:
        log.warning("leave_malformed", reason=str(error))
        return 0


def _respond(exchange: ServerExchange, status: int) -> None:
    headers = [(b"content-type", b"application/json")]
    head = messages.ResponseHead(status, messages.reason_phrase(status), headers)
    exchange.respond(head, BodyStream.from_bytes(b"{}"))
