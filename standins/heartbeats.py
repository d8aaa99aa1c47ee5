"""Announcements of a stand-in for a target of the users' platform."""

from __future__ import annotations

import sys
import time
from typing import Any

import msgspec
import treq
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall, deferLater

HEARTBEAT_INTERVAL_S = 0.5
LEAVE_INTERVAL_S = 0.5


class Heartbeats:
    """Heartbeats of a target to the node at `control`, and its leave notice."""

    def __init__(self, service: str, address: str, control: str, instance: str, slots: int) -> None:
        self.service = service
        self.address = address
        self.control = control
        self.instance = instance
        self.slots = slots
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.acknowledged_s = 0.0
        self.last_ready_heartbeat = b""
        self.heartbeat_loop: LoopingCall | None = None

    def drain(self) -> None:
        """Announce in the heartbeats that the target leaves."""
        self.state = "draining"

    def leave(self) -> None:
        """Send a leave notice until it is acknowledged, and no more heartbeats."""
        self.state = "left"
        assert self.heartbeat_loop is not None
        self.heartbeat_loop.stop()
        ensureDeferred(self._leave())  # type: ignore[arg-type]

    def repeat(self) -> None:
        """Send the last heartbeat of the ready target again, as one that arrives late."""
        ensureDeferred(self._repeat_heartbeat())  # type: ignore[arg-type]

    def start(self) -> None:
        """Start sending heartbeats."""
        self.heartbeat_loop = LoopingCall(self._start_heartbeat)
        self.heartbeat_loop.start(HEARTBEAT_INTERVAL_S)

    def _start_heartbeat(self) -> Any:
        return ensureDeferred(self._send_heartbeat())  # type: ignore[arg-type]

    async def _send_heartbeat(self) -> None:
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": "any",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_ms": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        text = msgspec.json.encode(body)
        if self.state == "ready":
            self.last_ready_heartbeat = text
        await self._call_node("PUT", text, tells_leaving=self.state != "ready")

    async def _leave(self) -> None:
        twisted_reactor: Any = reactor
        while not self.acknowledged_s:
            await self._call_node("DELETE", None, tells_leaving=True)
            await deferLater(twisted_reactor, LEAVE_INTERVAL_S)

    async def _repeat_heartbeat(self) -> None:
        await self._call_node("PUT", self.last_ready_heartbeat, tells_leaving=False)

    async def _call_node(self, method: str, body: bytes | None, tells_leaving: bool) -> None:
        url = f"http://{self.control}/instances/{self.instance}"
        try:
            response = await treq.request(method, url, data=body, timeout=1, persistent=False)
            await treq.content(response)
        except Exception as error:
            print(
                f"the node did not acknowledge {method} {url}: {type(error).__name__}",
                file=sys.stderr,
            )
            return
        if response.code == 200 and tells_leaving and not self.acknowledged_s:
            self.acknowledged_s = time.time()
            line = {"instance": self.instance, "acknowledged_s": self.acknowledged_s}
            sys.stdout.buffer.write(msgspec.json.encode(line) + b"\n")
            sys.stdout.flush()
