"""Stand-in for the platform's object API, with a fault switch over HTTP.

Usage: python -m standins.platform --port 7000

| call | meaning |
|---|---|
| `GET /v1/objects/NAME` | one object |
| `GET /v1/objects?prefix=P` | all objects under a prefix |
| `PUT /v1/objects/NAME` | write; `If-Match: VERSION` or `If-None-Match: *` make it conditional |
| `DELETE /v1/objects/NAME` | remove; `If-Match` makes it conditional |
| `GET /v1/watch?prefix=P&after=REVISION&wait_ms=N` | wait for changes |
| `POST /faults` | set the faults, as JSON |
| `GET /counters` | calls served, by kind |
"""

from __future__ import annotations

import random
import sys
from typing import Any

import click
import msgspec
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred, succeed
from twisted.web.server import Site

MAX_VALUE_BYTES = 1_048_576


class Faults(msgspec.Struct):
    """What goes wrong: `lose_answers` is the share of writes whose answer is lost after they took
    effect, `delay_ms` is added to every answer."""

    outage: bool = False
    delay_ms: int = 0
    lose_answers: float = 0.0


class Stored(msgspec.Struct):
    """One object."""

    name: str
    version: int
    value: str


class Listing(msgspec.Struct):
    """Objects and the revision they were read at."""

    revision: int
    objects: list[Stored]


class Store:
    """The objects; versions come from one revision counter and are never used again."""

    def __init__(self) -> None:
        self.by_name: dict[str, Stored] = {}
        self.revision = 0
        self.waiting: list[tuple[str, Deferred[None]]] = []

    def listing(self, prefix: str, after: int = -1) -> Listing:
        """The objects under `prefix` that changed after a revision."""
        found = [
            stored
            for stored in self.by_name.values()
            if stored.name.startswith(prefix) and stored.version > after
        ]
        return Listing(self.revision, sorted(found, key=lambda stored: stored.name))

    def write(self, name: str, value: str) -> Stored:
        """Write an object and wake the watches on it."""
        self.revision += 1
        stored = Stored(name, self.revision, value)
        self.by_name[name] = stored
        self._wake(name)
        return stored

    def remove(self, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        del self.by_name[name]
        self._wake(name)

    def _wake(self, name: str) -> None:
        woken = [done for prefix, done in self.waiting if name.startswith(prefix)]
        self.waiting = [(p, done) for p, done in self.waiting if not name.startswith(p)]
        for done in woken:
            done.callback(None)


class PlatformStandIn:
    """The HTTP interface."""

    app = Klein()

    def __init__(self, seed: int) -> None:
        self.store = Store()
        self.faults = Faults()
        self.counters = {"reads": 0, "writes": 0, "watches": 0}
        self.snapshot: tuple[dict[str, Stored], int] = ({}, 0)
        self._rng = random.Random(seed)

    @app.route("/v1/objects/<path:name>", methods=["GET"])
    def read(self, request: Any, name: str) -> Any:
        """One object."""
        self.counters["reads"] += 1
        stored = self.store.by_name.get(name)
        return self._answer(request, 404 if stored is None else 200, stored)

    @app.route("/v1/objects", methods=["GET"])
    def list_objects(self, request: Any) -> Any:
        """All objects under a prefix."""
        self.counters["reads"] += 1
        prefix = request.args.get(b"prefix", [b""])[0].decode()
        return self._answer(request, 200, self.store.listing(prefix))

    @app.route("/v1/objects/<path:name>", methods=["PUT"])
    def write(self, request: Any, name: str) -> Any:
        """Write an object, on a condition where one is given."""
        self.counters["writes"] += 1
        if self.faults.outage:
            return self._answer(request, 503, None)
        value = request.content.read()
        if len(value) > MAX_VALUE_BYTES:
            return self._answer(request, 413, None)
        known = self.store.by_name.get(name)
        if not self._condition_holds(request, known):
            return self._answer(request, 412, None)
        return self._answer(request, 200, self.store.write(name, value.decode()), True)

    @app.route("/v1/objects/<path:name>", methods=["DELETE"])
    def remove(self, request: Any, name: str) -> Any:
        """Remove an object, on a condition where one is given."""
        self.counters["writes"] += 1
        if self.faults.outage:
            return self._answer(request, 503, None)
        known = self.store.by_name.get(name)
        if known is None:
            return self._answer(request, 404, None)
        if not self._condition_holds(request, known):
            return self._answer(request, 412, None)
        self.store.remove(name)
        return self._answer(request, 200, known, True)

    @app.route("/v1/watch", methods=["GET"])
    def watch(self, request: Any) -> Any:
        """Wait for changes; at once where there are some, or the revision is not from here."""
        self.counters["watches"] += 1
        prefix = request.args[b"prefix"][0].decode()
        after = int(request.args[b"after"][0])
        wait_s = int(request.args[b"wait_ms"][0]) / 1000
        listing = self.store.listing(prefix, after)
        if listing.objects or after > self.store.revision or self.faults.outage:
            return self._answer(request, 200, listing)
        changed: Deferred[None] = Deferred()
        waiting = (prefix, changed)
        self.store.waiting.append(waiting)
        loop: Any = reactor
        timer = loop.callLater(wait_s, self._end_wait, waiting)

        def answer(_: None) -> Any:
            if timer.active():
                timer.cancel()
            return self._answer(request, 200, self.store.listing(prefix, after))

        return changed.addCallback(answer)

    def _end_wait(self, waiting: tuple[str, Deferred[None]]) -> None:
        if waiting in self.store.waiting:
            self.store.waiting.remove(waiting)
            waiting[1].callback(None)

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Set the faults."""
        self.faults = msgspec.json.decode(request.content.read(), type=Faults)
        return msgspec.json.encode(self.faults)

    @app.route("/snapshot", methods=["POST"])
    def take_snapshot(self, request: Any) -> bytes:
        """Remember the objects as they are."""
        self.snapshot = (dict(self.store.by_name), self.store.revision)
        return b"{}"

    @app.route("/restore", methods=["POST"])
    def restore(self, request: Any) -> bytes:
        """Go back to the objects remembered."""
        self.store.by_name = dict(self.snapshot[0])
        self.store.revision = self.snapshot[1]
        return b"{}"

    @app.route("/counters", methods=["GET"])
    def show_counters(self, request: Any) -> bytes:
        """Calls served, by kind."""
        return msgspec.json.encode(self.counters)

    @staticmethod
    def _condition_holds(request: Any, known: Stored | None) -> bool:
        if request.getHeader("if-none-match") == "*":
            return known is None
        match = request.getHeader("if-match")
        return match is None or (known is not None and int(match) == known.version)

    def _answer(self, request: Any, status: int, value: Any, is_write: bool = False) -> Any:
        if self.faults.outage:
            status, value = 503, None
        if is_write and self._rng.random() < self.faults.lose_answers:
            request.transport.abortConnection()
            return Deferred()
        request.setResponseCode(status)
        request.setHeader("content-type", "application/json")
        body = msgspec.json.encode(value)
        if not self.faults.delay_ms:
            return succeed(body)
        later: Deferred[bytes] = Deferred()
        loop: Any = reactor
        loop.callLater(self.faults.delay_ms / 1000, later.callback, body)
        return later


@click.command()
@click.option("--address", default="127.0.0.1")
@click.option("--port", type=int, required=True)
@click.option("--seed", type=int, default=1)
def main(address: str, port: int, seed: int) -> None:
    """Run the stand-in until it is stopped."""
    loop: Any = reactor
    site = Site(PlatformStandIn(seed).app.resource())
    site.noisy = False
    loop.listenTCP(port, site, interface=address)
    print("ready", file=sys.stderr, flush=True)
    loop.run()


if __name__ == "__main__":
    main()
