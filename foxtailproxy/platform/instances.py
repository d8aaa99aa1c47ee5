"""The platform's calls to this node: heartbeats of the target beside it, and readiness."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import msgspec
import structlog
from klein import Klein
from twisted.web.server import Site

from foxtailproxy.models.messages import Announcement

if TYPE_CHECKING:
    from collections.abc import Callable

log = structlog.get_logger()

MAX_BEAT_BYTES = 65536

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

    cold_ms: int = 0
    """How much longer the target is slow after its start, not a moment."""


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
            "cold_ms": max(0, beat.cold_ms),
        }
        return msgspec.convert(values, Announcement)
    except (msgspec.MsgspecError, ValueError) as error:
        raise MalformedBeat(str(error)) from error


class ControlSite:
    """Takes the heartbeats of the target beside this node."""

    app = Klein()

    def __init__(self, listener: BeatListener) -> None:
        self._listener = listener

    def site(self) -> Site:
        """A site to listen with."""
        return _quiet_site(self.app)

    @app.route("/instances/<process>", methods=["PUT"])
    def beat(self, request: Any, process: str) -> bytes:
        """A heartbeat."""
        try:
            announcement = decode_beat(process, request.content.read(MAX_BEAT_BYTES))
        except MalformedBeat as error:
            log.warning("beat_malformed", instance=process, reason=str(error))
            return _json(request, 400, {"error": "malformed heartbeat"})
        self._listener.announced(announcement)
        return _json(request, 200, {})

    @app.route("/instances/<process>", methods=["DELETE"])
    def leave(self, request: Any, process: str) -> bytes:
        """The target takes no new work and ends soon."""
        body = request.content.read(MAX_BEAT_BYTES)
        try:
            born_ms = msgspec.json.decode(body, type=dict[str, Any]).get("born", 0) if body else 0
        except msgspec.MsgspecError:
            born_ms = 0
        self._listener.left(process, born_ms if isinstance(born_ms, int) else 0)
        return _json(request, 200, {})


class ReadySite:
    """Tells the platform whether this node takes requests."""

    app = Klein()

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def site(self) -> Site:
        """A site to listen with."""
        return _quiet_site(self.app)

    @app.route("/ready", methods=["GET"])
    def ready(self, request: Any) -> bytes:
        """200 where requests are served, else 503."""
        return _json(request, 200 if self._ready() else 503, {})


def _quiet_site(app: Klein) -> Site:
    site = Site(app.resource())
    site.noisy = False
    return site


def _json(request: Any, status: int, value: dict[str, str]) -> bytes:
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    return msgspec.json.encode(value)
