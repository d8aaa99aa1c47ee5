"""Stand-in for a target of the users' platform: heartbeats, receipts, load, health.

Usage: python -m standins.platform_target --port 7201 --service kalender \\
    --control 127.0.0.1:7105 --instance i-1

Each request is answered after the `run_ms` of its query, or 5 ms, with the attempt id, a receipt
and the load. `/_standin/` controls the stand-in: `ledger` (requests that ran), `drain` (announce it
in the heartbeats), `leave` (send a leave notice until it is acknowledged, and no more heartbeats),
`repeat` (send the last heartbeat of the ready target again, as one that arrives late), `seem-well`
(answer health checks with 200 from now on, also after the target has left).

Each run is written to standard output before it starts, so that none is missing after a kill.
"""

from __future__ import annotations

import sys
import time
from typing import Any

import click
import msgspec
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from standins.heartbeats import Heartbeats

HEADER_PREFIX = "x-foxtailproxy-"
DEFAULT_RUN_MS = b"5"


class ExecutedRequest(msgspec.Struct):
    """One request that ran; `at_s` is its start as Unix time, `cut` whether it was aborted."""

    attempt: str
    path: str
    caller: str
    timeout_ms: str
    at_s: float
    instance: str = ""
    cut: bool = False


class PlatformTarget:
    """HTTP interface of a target, with its heartbeats."""

    app = Klein()

    def __init__(self, service: str, address: str, control: str, instance: str, slots: int) -> None:
        self.heartbeats = Heartbeats(service, address, control, instance, slots)
        self.instance = instance
        self.slots = slots
        self.running = 0
        self.seems_well = False
        self.ledger: list[ExecutedRequest] = []

    @app.route("/healthz", methods=["GET"])
    def health(self, request: Any) -> bytes:
        """Answer a health check: 200 if the target is ready, with its process id and load."""
        self._set_load_header(request)
        request.setHeader(f"{HEADER_PREFIX}instance-id", self.instance)
        is_ready = self.heartbeats.state == "ready"
        request.setResponseCode(200 if is_ready or self.seems_well else 503)
        return b""

    @app.route("/_standin/<action>", methods=["GET", "POST"])
    def command(self, request: Any, action: str) -> Any:
        """Run a control command and return the ledger."""
        if action == "drain":
            self.heartbeats.drain()
        elif action == "leave":
            self.heartbeats.leave()
        elif action == "repeat":
            self.heartbeats.repeat()
        elif action == "seem-well":
            self.seems_well = True
        report = {"ledger": self.ledger, "acknowledged_s": self.heartbeats.acknowledged_s}
        return msgspec.json.encode(report)

    @app.route("/", branch=True)
    def run(self, request: Any) -> Any:
        """Run a request; answer 421 if it expects another process."""
        expected = request.getHeader(f"{HEADER_PREFIX}expect-instance")
        self._set_load_header(request)
        attempt = request.getHeader(f"{HEADER_PREFIX}attempt-id") or ""
        request.setHeader(f"{HEADER_PREFIX}attempt-id", attempt)
        if expected not in (None, self.instance):
            request.setResponseCode(421)
            return b""
        entry = ExecutedRequest(
            attempt,
            request.uri.decode(),
            request.getHeader(f"{HEADER_PREFIX}caller-service") or "",
            request.getHeader(f"{HEADER_PREFIX}timeout-ms") or "",
            time.time(),
            self.instance,
        )
        self.ledger.append(entry)
        sys.stdout.buffer.write(msgspec.json.encode(entry) + b"\n")
        sys.stdout.flush()
        self.running += 1
        run_ended: Deferred[bytes] = Deferred()
        twisted_reactor: Any = reactor
        run_ms = float(request.args.get(b"run_ms", [DEFAULT_RUN_MS])[0])
        timer = twisted_reactor.callLater(
            run_ms / 1000, run_ended.callback, b"ran " + attempt.encode()
        )

        def on_disconnect(_: Any) -> None:
            if timer.active():
                timer.cancel()
                self.running -= 1
                entry.cut = True

        request.notifyFinish().addErrback(on_disconnect)

        def on_run_end(body: bytes) -> bytes:
            self.running -= 1
            request.setHeader(f"{HEADER_PREFIX}response-signature", f"receipt.{attempt}")
            return body

        return run_ended.addCallback(on_run_end)

    def _set_load_header(self, request: Any) -> None:
        load = f"{self.running},0,{self.slots},100"
        request.setHeader(f"{HEADER_PREFIX}backend-load", load)


@click.command()
@click.option("--address", default="127.0.0.1")
@click.option("--port", type=int, required=True)
@click.option("--service", required=True)
@click.option("--control", required=True, help="Address for heartbeats, as IP:PORT.")
@click.option("--instance", required=True)
@click.option("--slots", type=int, default=12)
@click.option(
    "--announced-port", type=int, default=0, help="Port announced in heartbeats; 0 for --port."
)
def main(
    address: str,
    port: int,
    service: str,
    control: str,
    instance: str,
    slots: int,
    announced_port: int,
) -> None:
    """Run the stand-in until it is stopped."""
    twisted_reactor: Any = reactor
    announced_address = f"{address}:{announced_port or port}"
    target = PlatformTarget(service, announced_address, control, instance, slots)
    site = Site(target.app.resource())
    site.noisy = False
    twisted_reactor.listenTCP(port, site, interface=address)
    target.heartbeats.start()
    twisted_reactor.run()


if __name__ == "__main__":
    main()
