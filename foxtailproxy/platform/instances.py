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

MAX_HEARTBEAT_BYTES = 65536

INSTANCES_PATH = "/instances/"

READY = "ready"
DRAINING = "draining"
HEARTBEAT_STATES = frozenset((READY, DRAINING))


class Heartbeat(msgspec.Struct):
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


class HeartbeatListener(Protocol):
    """Is told what the target says."""

    def announcement_received(self, announcement: Announcement) -> None:
        """The target serves, or takes no new work."""

    def leave_notice_received(self, instance: str, born_ms: int) -> None:
        """The target process takes no new work."""


class HeartbeatError(Exception):
    """A heartbeat that cannot be read or names no target to use."""


def decode_heartbeat(instance: str, body: bytes) -> Announcement:
    """The announcement in a heartbeat of the process `instance`. Raises `MalformedBeat`."""
    try:
        heartbeat = msgspec.json.decode(body, type=Heartbeat)
        host, _, port = heartbeat.address.rpartition(":")
        if heartbeat.state not in HEARTBEAT_STATES or not host or not instance:
            raise HeartbeatError(f"state {heartbeat.state!r}, address {heartbeat.address!r}")
        values = {
            "service": heartbeat.service,
            "address": host,
            "port": int(port),
            "slots": heartbeat.slots,
            "instance": instance,
            "born_ms": heartbeat.born,
            "sequence": heartbeat.sequence,
            "leaving": heartbeat.state == DRAINING,
        }
        return msgspec.convert(values, Announcement)
    except (msgspec.MsgspecError, ValueError) as error:
        raise HeartbeatError(str(error)) from error


class ControlHandler:
    """Serves the heartbeats of the target beside this node."""

    def __init__(self, listener: HeartbeatListener) -> None:
        self._listener = listener

    async def handle(self, exchange: ServerExchange) -> None:
        """Serve one call: `PUT` for a heartbeat, `DELETE` for a notice of leave."""
        instance = _instance_from_path(exchange.head.target)
        try:
            is_complete = await exchange.body.buffer(MAX_HEARTBEAT_BYTES)
        except HttpError as error:
            log.warning("beat_cut", instance=instance, error=type(error).__name__)
            return
        body = exchange.body.held() if is_complete else b""
        if not instance or exchange.head.method not in (b"PUT", b"DELETE"):
            _respond(exchange, 404)
        elif exchange.head.method == b"DELETE":
            self._listener.leave_notice_received(instance, _decode_born(body))
            _respond(exchange, 200)
        else:
            self._handle_heartbeat(exchange, instance, body)

    def _handle_heartbeat(self, exchange: ServerExchange, instance: str, body: bytes) -> None:
        try:
            announcement = decode_heartbeat(instance, body)
        except HeartbeatError as error:
            log.warning("beat_malformed", instance=instance, reason=str(error))
            _respond(exchange, 400)
            return
        self._listener.announcement_received(announcement)
        _respond(exchange, 200)


class ReadyHandler:
    """Tells the platform whether this node takes requests."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(self, exchange: ServerExchange) -> None:
        """Serve one call: 200 where requests are served, else 503."""
        _respond(exchange, 200 if self._is_ready() else 503)


def _instance_from_path(target: bytes) -> str:
    """The process named in a path, or an empty string."""
    path = target.partition(b"?")[0].decode("latin-1")
    if not path.startswith(INSTANCES_PATH):
        return ""
    return unquote(path[len(INSTANCES_PATH) :])


def _decode_born(body: bytes) -> int:
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
    head = messages.ResponseHead(status, messages.reason_of(status), headers)
    exchange.respond(head, BodyStream.of(b"{}"))
