"""Stand-in for an upstream: announcements, cold start, load shedding, cancellation, faults.

Usage: python -m standins.upstream --port 7201 --service kalender --admin 127.0.0.1:7103

Every request is answered with a body derived from it, after a run time that the request or the
faults set. The ledger records the requests that ran. Requests to `/_standin/` control the stand-in.

| request header | meaning |
|---|---|
| `x-run-ms` | run time, in ms |
| `x-crash: 1` | the process exits at the end of the run time, without an answer |
| `x-answer-bytes` | size of the answer's body, in bytes |
| `x-stream-ms` | time over which the answer's body is sent, in ms |
"""

from __future__ import annotations

import hashlib
import os
import random
import sys
import time
import uuid
from typing import Any

import click
import msgspec
import treq
from twisted.internet import reactor
from twisted.internet.task import LoopingCall
from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

ANNOUNCE_INTERVAL_S = 1.0
BODY_CHUNKS = 10


class Faults(msgspec.Struct):
    """Faults to inject; a process is `cold_factor` times slower for `cold_ms` after its start."""

    fail_fast: bool = False
    shed: bool = False
    slow_factor: float = 1.0
    cold_ms: int = 0
    cold_factor: float = 5.0
    cut_body: bool = False


class LedgerEntry(msgspec.Struct):
    """One request that ran; `at_s` is the Unix time of its start."""

    attempt: str
    key: str
    tag: str
    path: str
    finished: bool
    at_s: float = 0.0


def expected_body(method: bytes, path: bytes, tag: bytes, payload: bytes, size: int) -> bytes:
    """Return the answer's body for a request: its digest, repeated to `size` bytes."""
    digest = hashlib.sha256(b"\0".join((method, path, tag, payload))).hexdigest().encode()
    return (digest * (size // len(digest) + 1))[:size]


class UpstreamStandIn(Resource):
    """HTTP resource that runs requests; `run_ms` is the mean run time."""

    isLeaf = True  # noqa: N815

    def __init__(self, slots: int, run_ms: float, seed: int) -> None:
        super().__init__()
        self.slots = slots
        self.run_ms = run_ms
        self.faults = Faults()
        self.ledger: list[LedgerEntry] = []
        self.running = 0
        self.max_running = 0
        self.leaving = False
        self._rng = random.Random(seed)
        loop: Any = reactor
        self._started_s = loop.seconds()

    def render(self, request: Request) -> Any:
        """Run a request, answer it with an injected fault, or handle a control request."""
        if request.path.startswith(b"/_standin/"):
            return self._handle_control(request)
        if self.faults.shed:
            request.setResponseCode(503)
            request.setHeader("foxtail-outcome", "not-run; reason=overloaded")
            return b"shed\n"
        if self.faults.fail_fast:
            request.setResponseCode(500)
            return b"failed\n"
        self._run(request)
        return NOT_DONE_YET

    def _run(self, request: Request) -> None:
        entry = LedgerEntry(
            request.getHeader("foxtail-attempt") or "",
            request.getHeader("idempotency-key") or "",
            request.getHeader("x-tag") or "",
            request.path.decode(),
            False,
            time.time(),
        )
        self.ledger.append(entry)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        request.notifyFinish().addBoth(lambda _: self._run_ended())
        loop: Any = reactor
        delay_s = self._run_duration_s(request)
        if request.getHeader("x-crash"):
            loop.callLater(delay_s, os._exit, 66)
            return
        timer = loop.callLater(delay_s, self._answer, request, entry)
        request.notifyFinish().addErrback(lambda _: timer.active() and timer.cancel())

    def _run_duration_s(self, request: Request) -> float:
        requested_ms = request.getHeader("x-run-ms")
        run_ms = float(requested_ms) if requested_ms else self._rng.expovariate(1 / self.run_ms)
        run_ms *= self.faults.slow_factor
        loop: Any = reactor
        if (loop.seconds() - self._started_s) * 1000 < self.faults.cold_ms:
            run_ms *= self.faults.cold_factor
        return run_ms / 1000

    def _answer(self, request: Request, entry: LedgerEntry) -> None:
        entry.finished = True
        size = int(request.getHeader("x-answer-bytes") or 100)
        tag = (request.getHeader("x-tag") or "").encode()
        body = expected_body(request.method, request.path, tag, request.content.read(), size)
        stream_ms = float(request.getHeader("x-stream-ms") or 0)
        request.setHeader("content-length", str(size))
        if self.faults.cut_body:
            request.write(body[: size // 2])
            request.transport.abortConnection()
        elif stream_ms:
            chunk_bytes = size // BODY_CHUNKS + 1
            self._stream(
                request, [body[i : i + chunk_bytes] for i in range(0, size, chunk_bytes)], stream_ms
            )
        else:
            request.write(body)
            request.finish()

    def _stream(self, request: Request, chunks: list[bytes], stream_ms: float) -> None:
        if request._disconnected:
            return
        if not chunks:
            request.finish()
            return
        request.write(chunks[0])
        loop: Any = reactor
        loop.callLater(stream_ms / BODY_CHUNKS / 1000, self._stream, request, chunks[1:], stream_ms)

    def _run_ended(self) -> None:
        self.running -= 1

    def _handle_control(self, request: Request) -> bytes:
        request.setHeader("content-type", "application/json")
        command = request.path.rpartition(b"/")[2]
        if command == b"ledger":
            return msgspec.json.encode(self.ledger)
        if command == b"state":
            return msgspec.json.encode({"running": self.running, "most": self.max_running})
        if command == b"faults":
            self.faults = msgspec.json.decode(request.content.read(), type=Faults)
            return msgspec.json.encode(self.faults)
        if command == b"leave":
            self.leaving = True
            return b"{}"
        request.setResponseCode(404)
        return b"{}"


class Announcer:
    """Sender of periodic announcements of the upstream to its node, until the upstream leaves."""

    def __init__(
        self, standin: UpstreamStandIn, admin_address: str, announcement: dict[str, Any]
    ) -> None:
        self._standin = standin
        self._admin_address = admin_address
        self._announcement = announcement

    def start(self) -> None:
        """Start the periodic announcements."""
        LoopingCall(self._announce).start(ANNOUNCE_INTERVAL_S)

    def _announce(self) -> None:
        if self._standin.leaving:
            return
        body = msgspec.json.encode(self._announcement)
        url = f"http://{self._admin_address}/announce"
        posted = treq.post(url, data=body, timeout=2, persistent=False)
        posted.addCallback(treq.content)
        posted.addErrback(lambda _: None)


@click.command()
@click.option("--address", default="127.0.0.1")
@click.option("--port", type=int, required=True)
@click.option("--service", required=True)
@click.option("--slots", type=int, default=12)
@click.option("--run-ms", type=float, default=5.0)
@click.option("--admin", help="Admin address of the node beside the upstream, as ip:port.")
@click.option("--seed", type=int, default=1)
def main(
    address: str, port: int, service: str, slots: int, run_ms: float, admin: str | None, seed: int
) -> None:
    """Run the stand-in until it is stopped."""
    loop: Any = reactor
    standin = UpstreamStandIn(slots, run_ms, seed)
    site = Site(standin)
    site.noisy = False
    loop.listenTCP(port, site, interface=address)
    if admin is not None:
        announcement = {
            "service": service,
            "address": address,
            "port": port,
            "slots": slots,
            "instance": uuid.uuid4().hex[:12],
        }
        Announcer(standin, admin, announcement).start()
    print("ready", file=sys.stderr, flush=True)
    loop.run()


if __name__ == "__main__":
    main()
