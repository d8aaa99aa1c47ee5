"""Stand-in for a target: heartbeats, slots with a short queue, receipts, load and health.

A request runs for the `work_ms` of its query, and its answer has the `answer_bytes` of its query.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from urllib.parse import parse_qs, urlsplit

from review.lib.http1 import Incomplete, Message, format_message, read_message
from review.lib.record import Record

BEAT_S = 1.5
QUEUE = 4


def receipt(attempt: str, body: bytes) -> str:
    """Return the receipt of an answer, by which a caller checks that it is the whole one."""
    return hashlib.sha256(attempt.encode() + body).hexdigest()[:24]


def answer_body(attempt: str, size: int) -> bytes:
    """Return the answer to an attempt: bytes that differ for each attempt."""
    line = f"answer to {attempt}\n".encode()
    return (line * (size // len(line) + 1))[: max(size, len(line))]


class Target:
    """One target process of a service, next to one node."""

    def __init__(self, record: Record, service: str, instance: str, slots: int) -> None:
        self.record = record
        self.service = service
        self.instance = instance
        self.slots = slots
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.run_counts: dict[str, int] = {}
        self.ended: set[str] = set()
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._address = ("", 0)
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self, listen: tuple[str, int]) -> None:
        """Serve at an address."""
        self._server = await asyncio.start_server(self._serve, *listen, limit=2**20)

    def start_beats(self, address: tuple[str, int], control: tuple[str, int]) -> None:
        """Send heartbeats that name `address` to the node."""
        self._address = address
        self._beats = asyncio.ensure_future(self._beat_forever(address, control))

    async def close(self) -> None:
        """End the process: no heartbeats, no listener, no running request."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.cancel()
        await asyncio.sleep(0.05)

    async def drain(self, control: tuple[str, int]) -> None:
        """Report that this process is draining, until the node has acknowledged it."""
        self.state = "draining"
        await self._beat(self._address, control)

    async def leave(self, control: tuple[str, int]) -> None:
        """Send the notice that this process is gone."""
        if self._beats is not None:
            self._beats.cancel()
        await self._call_node("DELETE", json.dumps({"born": self.born_ms}).encode(), control)

    async def _beat_forever(self, address: tuple[str, int], control: tuple[str, int]) -> None:
        while True:
            await self._beat(address, control)
            await asyncio.sleep(BEAT_S)

    async def _beat(self, address: tuple[str, int], control: tuple[str, int]) -> None:
        await self._call_node("PUT", self._next_beat(address), control)

    def _next_beat(self, address: tuple[str, int]) -> bytes:
        self.sequence += 1
        beat = {
            "service": self.service,
            "address": f"{address[0]}:{address[1]}",
            "zone": "tallinn-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_ms": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        return json.dumps(beat).encode()

    async def send_late_beat(self, control: tuple[str, int], late_s: float) -> None:
        """Send a heartbeat that arrives `late_s` after it was sent."""
        body = self._next_beat(self._address)
        await asyncio.sleep(late_s)
        await self._call_node("PUT", body, control)
        self.record.add("a heartbeat arrives late", self.instance, f"{late_s} s")

    async def _call_node(self, method: str, body: bytes, control: tuple[str, int]) -> None:
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*control), 1)
        except (OSError, TimeoutError):
            return
        try:
            head = {"Host": "control", "Content-Type": "application/json", "Connection": "close"}
            path = f"/instances/{self.instance}"
            writer.write(format_message(f"{method} {path} HTTP/1.1", head, body))
            answer = await asyncio.wait_for(read_message(reader), 1)
            if self.state != "ready" and answer is not None:
                self.record.add(
                    "node acknowledges", method, self.state, self.instance, answer.status
                )
        except (OSError, TimeoutError, Incomplete):
            pass
        finally:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = asyncio.current_task()
        assert connection is not None
        self._connections.add(connection)
        connection.add_done_callback(self._connections.discard)
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._handle(request))
                await writer.drain()
                if self.state != "ready":
                    return
        except (ConnectionError, Incomplete, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _headers(self) -> dict[str, str]:
        connection = {} if self.state == "ready" else {"Connection": "close"}
        return connection | {
            "X-Foxtailproxy-Backend-Load": f"{self.running},{self.waiting},{self.slots},100",
            "Keep-Alive": "timeout=15",
        }

    async def _handle(self, request: Message) -> bytes:
        headers = self._headers()
        url = urlsplit(request.start[1])
        if url.path == "/healthz":
            headers["X-Foxtailproxy-Instance-Id"] = self.instance
            status = "200 OK" if self.state == "ready" else "503 Draining"
            return format_message(f"HTTP/1.1 {status}", headers)
        attempt = request.headers.get("x-foxtailproxy-attempt-id", "")
        headers["X-Foxtailproxy-Attempt-Id"] = attempt
        expected = request.headers.get("x-foxtailproxy-expect-instance", self.instance)
        if expected != self.instance or self.waiting >= QUEUE:
            status = "421 Misdirected" if expected != self.instance else "503 Full"
            headers["X-Foxtailproxy-Not-Executed"] = "1"
            self.record.add("target refused", self.instance, self.service, attempt, status)
            return format_message(f"HTTP/1.1 {status}", headers)
        return await self._run(request, attempt, parse_qs(url.query))

    async def _run(self, request: Message, attempt: str, query: dict[str, list[str]]) -> bytes:
        self.waiting += 1
        await self._free.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            self.run_counts[attempt] = self.run_counts.get(attempt, 0) + 1
            self.record.add(
                "target runs", self.instance, self.service, attempt, *request.start[:2],
                f"host={request.headers.get('host')} body={len(request.body)}",
            )  # fmt: skip
            await asyncio.sleep(int(query.get("work_ms", ["5"])[0]) / 1000)
            self.ended.add(attempt)
            self.record.add("target answers", self.instance, self.service, attempt, "200")
        finally:
            self.running -= 1
            self._free.release()
        body = answer_body(attempt, int(query.get("answer_bytes", ["0"])[0]))
        headers = self._headers()
        headers["X-Foxtailproxy-Attempt-Id"] = attempt
        headers["X-Foxtailproxy-Response-Signature"] = receipt(attempt, body)
        return format_message("HTTP/1.1 200 OK", headers, body)
