"""HTTP handlers for the platform's calls to this node: target heartbeats and readiness."""

from __future__ import annotations

import math
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

MAX_INSTANCE_LENGTH = 64
"""Maximum length of a target's id, as in an announcement."""

MAX_COLD_MS = 600_000
"""Longest cold time in a heartbeat that is passed on, in milliseconds."""

INSTANCES_PATH = "/instances/"

READY = "ready"
DRAINING = "draining"
HEARTBEAT_STATES = frozenset((READY, DRAINING))


class Heartbeat(msgspec.Struct):
    """Body of a target's heartbeat.

    A body that lacks a field is not from a target, so fields that are not used are required too.
    """

    service: str
    address: str
    zone: str
    version: str
    """Version of the target's software."""
    slots: int
    state: str
    cold_ms: int | float
    """How much longer the target stays cold."""
    sequence: int
    born: int
    """Start time of the target in Unix milliseconds; distinguishes two processes with one id."""


class LeaveNotice(msgspec.Struct):
    """Optional body of the notice that a target sends as it leaves."""

    born: int = 0
    """Start time of the target, as in a heartbeat."""


class HeartbeatListener(Protocol):
    """Receiver of the local target's announcements and leave notices."""

    def names_local_upstream(self, announcement: Announcement) -> bool:
        """Return whether an announcement has the local target's service and address."""

    async def announcement_received(self, announcement: Announcement) -> bool:
        """Handle an announcement: the target serves, or takes no new calls.

        Return whether it may be acknowledged.
        """

    async def leave_notice_received(self, instance: str, born_ms: int) -> bool:
        """Handle a leave notice: the target process takes no new calls.

        Return whether it may be acknowledged.
        """


class HeartbeatError(Exception):
    """Malformed heartbeat, or one without a usable target."""


def decode_heartbeat(instance: str, body: bytes) -> Announcement:
    """Return the announcement in a heartbeat of process `instance`. Raises `HeartbeatError`."""
    if not instance.isprintable():
        # The id is sent in the heads of requests, which a line break would split.
        raise HeartbeatError(f"heartbeat of instance {instance!r}, which is not printable")
    try:
        heartbeat = msgspec.json.decode(body, type=Heartbeat)
        host, _, port = heartbeat.address.rpartition(":")
        if heartbeat.state not in HEARTBEAT_STATES or not host or not instance:
            raise HeartbeatError(
                f"heartbeat of instance {instance!r} has state {heartbeat.state!r} and address "
                f"{heartbeat.address!r}; expected an instance id, state {READY} or {DRAINING}, and "
                "address IP:PORT"
            )
        values = {
            "service": heartbeat.service,
            "address": host,
            "port": int(port),
            "slots": heartbeat.slots,
            "instance": instance,
            "born_ms": heartbeat.born,
            "sequence": heartbeat.sequence,
            "leaving": heartbeat.state == DRAINING,
            "cold_ms": _known_cold_ms(heartbeat.cold_ms),
        }
        return msgspec.convert(values, Announcement)
    except (msgspec.MsgspecError, ValueError) as error:
        raise HeartbeatError(str(error)) from error


class ControlHandler:
    """HTTP handler for the heartbeats and leave notices of the local target."""

    def __init__(self, listener: HeartbeatListener) -> None:
        self._listener = listener

    async def handle(self, exchange: ServerExchange) -> None:
        """Handle one request: `PUT` for a heartbeat, `DELETE` for a leave notice."""
        instance = instance_from_path(exchange.head.target)
        try:
            is_complete = await exchange.body.buffer(MAX_HEARTBEAT_BYTES)
        except HttpError as error:
            log.warning("control_request_incomplete", instance=instance, error=type(error).__name__)
            return
        body = exchange.body.buffered() if is_complete else b""
        if not instance or exchange.head.method not in (b"PUT", b"DELETE"):
            _respond(exchange, 404)
        elif exchange.head.method == b"DELETE":
            await self._handle_leave_notice(exchange, instance, body)
        else:
            await self._handle_heartbeat(exchange, instance, body)

    async def _handle_leave_notice(
        self, exchange: ServerExchange, instance: str, body: bytes
    ) -> None:
        if len(instance) > MAX_INSTANCE_LENGTH:
            log.warning("leave_notice_malformed", reason="the instance id is too long")
            _respond(exchange, 400)
            return
        may_acknowledge = await self._listener.leave_notice_received(
            instance, _decode_born_ms(body)
        )
        _respond(exchange, 200 if may_acknowledge else 503)

    async def _handle_heartbeat(self, exchange: ServerExchange, instance: str, body: bytes) -> None:
        try:
            announcement = decode_heartbeat(instance, body)
        except HeartbeatError as error:
            log.warning("heartbeat_malformed", instance=instance, reason=str(error))
            _respond(exchange, 400)
            return
        if not self._listener.names_local_upstream(announcement):
            log.warning(
                "heartbeat_of_other_target",
                instance=instance,
                service=announcement.service,
                address=announcement.address,
                port=announcement.port,
            )
            _respond(exchange, 400)
            return
        may_acknowledge = await self._listener.announcement_received(announcement)
        _respond(exchange, 200 if may_acknowledge else 503)


class ReadyHandler:
    """HTTP handler for the platform's readiness checks of this node."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(self, exchange: ServerExchange) -> None:
        """Answer one check: 200 if the node is ready, else 503."""
        _respond(exchange, 200 if self._is_ready() else 503)


def instance_from_path(target: bytes) -> str:
    """Return the process id in a request's path, or an empty string."""
    path = target.partition(b"?")[0].decode("latin-1")
    if not path.startswith(INSTANCES_PATH):
        return ""
    return unquote(path[len(INSTANCES_PATH) :])


def _decode_born_ms(body: bytes) -> int:
    """Return the start time in a leave notice; 0 if it has none or has no body."""
    if not body:
        return 0
    try:
        return msgspec.json.decode(body, type=LeaveNotice).born
    except msgspec.MsgspecError as error:
        log.warning("leave_notice_malformed", reason=str(error))
        return 0


def _known_cold_ms(value: float) -> int:
    """Return the cold time in a heartbeat in ms; -1 if it is negative or infinite."""
    if not 0 <= value < math.inf:
        return -1
    return min(math.ceil(value), MAX_COLD_MS)


def _respond(exchange: ServerExchange, status: int) -> None:
    headers = [(b"content-type", b"application/json")]
    head = messages.ResponseHead(status, messages.reason_phrase(status), headers)
    exchange.respond(head, BodyStream.from_bytes(b"{}"))
