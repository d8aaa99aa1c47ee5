"""Stand-in for the platform's object store, with a fault switch over HTTP.

Usage: python -m standins.platform --port 7000

| call | meaning |
|---|---|
| `GET /objects/KIND/NAME` | one object |
| `GET /objects/KIND` | a page of the objects of a kind; `after`, `serializable` |
| `GET /objects/KIND?watch=REVISION&wait_ms=N` | wait for changes |
| `POST /objects/KIND/NAME` | create |
| `PUT /objects/KIND/NAME` | replace; a `revision` in `metadata` makes it conditional |
| `PUT /objects/KIND/NAME/status` | replace the status alone |
| `DELETE /objects/KIND/NAME` | remove, or mark while there are finalizers; `revision` |
| `POST /faults` | set the faults, as JSON |
| `POST /compact` | drop the history and cut the watches |
| `POST /snapshot`, `POST /restore` | remember the objects, and go back to them |
| `GET /counters` | calls served, by kind |
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass
from typing import Any

import click
import msgspec
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred, succeed
from twisted.web.server import Site

MAX_VALUE_BYTES = 1_048_576

PAGE_ITEMS = 50
"""Objects on one page of a listing; small, so that tests meet more than one page."""

HISTORY_EVENTS = 10_000


class Faults(msgspec.Struct):
    """What goes wrong.

    `lose_answers` is the share of writes whose answer is lost after they took effect, `late_ms`
    delays writes that are not answered, `delay_ms` is added to every answer, `silent` leaves calls
    without an answer, `busy` turns them away without doing anything.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_answers: float = 0.0
    late_ms: int = 0
    silent: bool = False
    busy: bool = False


class Metadata(msgspec.Struct):
    """What the store keeps about an object."""

    name: str
    revision: int = 0
    created: int = 0
    finalizers: list[str] = []
    deleting: bool = False


class Stored(msgspec.Struct):
    """One object."""

    metadata: Metadata
    spec: Any = None
    status: Any = None


class Written(msgspec.Struct):
    """The body of a write."""

    metadata: Metadata | None = None
    spec: Any = None
    status: Any = None


@dataclass(frozen=True, slots=True)
class Event:
    """One change."""

    revision: int
    kind: str
    stored: Stored
    deleted: bool


class Store:
    """The objects; revisions come from one counter and are never used again."""

    def __init__(self) -> None:
        self.by_path: dict[tuple[str, str], Stored] = {}
        self.revision = 1
        self.events: list[Event] = []
        self.oldest = 1
        self.waiting: list[tuple[str, Deferred[bool]]] = []

    def of_kind(self, kind: str, after: str) -> list[Stored]:
        """The objects of a kind whose names come after `after`."""
        names = sorted(name for k, name in self.by_path if k == kind and name > after)
        return [self.by_path[kind, name] for name in names]

    def since(self, kind: str, revision: int) -> list[Event]:
        """The changes in a kind after a revision."""
        return [e for e in self.events if e.kind == kind and e.revision > revision]

    def write(self, kind: str, name: str, written: Stored) -> Stored:
        """Write an object and wake the watches on its kind."""
        known = self.by_path.get((kind, name))
        if known is not None and _same(known, written):
            return known
        self.revision += 1
        created = self.revision if known is None else known.metadata.created
        metadata = msgspec.structs.replace(
            written.metadata, name=name, revision=self.revision, created=created
        )
        stored = Stored(metadata, written.spec, written.status)
        self.by_path[kind, name] = stored
        self._note(kind, stored, False)
        if metadata.deleting and not metadata.finalizers:
            self.remove(kind, name)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        self._note(kind, self.by_path.pop((kind, name)), True)

    def compact(self) -> None:
        """Drop the history and cut all watches."""
        self.events = []
        self.oldest = self.revision + 1
        waiting, self.waiting = self.waiting, []
        for _, done in waiting:
            done.callback(True)

    def _note(self, kind: str, stored: Stored, deleted: bool) -> None:
        self.events.append(Event(self.revision, kind, stored, deleted))
        del self.events[:-HISTORY_EVENTS]
        woken = [done for k, done in self.waiting if k == kind]
        self.waiting = [(k, done) for k, done in self.waiting if k != kind]
        for done in woken:
            done.callback(False)


def _same(known: Stored, written: Stored) -> bool:
    return (known.spec, known.status, known.metadata.finalizers, known.metadata.deleting) == (
        written.spec,
        written.status,
        written.metadata.finalizers,
        written.metadata.deleting,
    )


class PlatformStandIn:
    """The HTTP interface."""

    app = Klein()

    def __init__(self, seed: int) -> None:
        self.store = Store()
        self.faults = Faults()
        self.counters = {"reads": 0, "writes": 0, "watches": 0}
        self.snapshot: tuple[dict[tuple[str, str], Stored], int] = ({}, 1)
        self._rng = random.Random(seed)

    @app.route("/objects/<kind>/<name>", methods=["GET"])
    def read(self, request: Any, kind: str, name: str) -> Any:
        """One object."""
        self.counters["reads"] += 1
        stored = self.store.by_path.get((kind, name))
        return self._answer(request, 404 if stored is None else 200, stored)

    @app.route("/objects/<kind>", methods=["GET"])
    def list_or_watch(self, request: Any, kind: str) -> Any:
        """A page of the objects of a kind, or the changes in it."""
        if b"watch" in request.args:
            return self._watch(request, kind)
        self.counters["reads"] += 1
        after = request.args.get(b"after", [b""])[0].decode()
        found = self.store.of_kind(kind, after)
        page = {
            "items": found[:PAGE_ITEMS],
            "has_more": len(found) > PAGE_ITEMS,
            "current_rev": self.store.revision,
        }
        return self._answer(request, 200, page)

    @app.route("/objects/<kind>/<name>", methods=["POST"])
    def create(self, request: Any, kind: str, name: str) -> Any:
        """Create an object."""
        return self._write(request, kind, name, self._create)

    @app.route("/objects/<kind>/<name>", methods=["PUT"])
    def replace(self, request: Any, kind: str, name: str) -> Any:
        """Replace an object."""
        return self._write(request, kind, name, self._replace)

    @app.route("/objects/<kind>/<name>/status", methods=["PUT"])
    def replace_status(self, request: Any, kind: str, name: str) -> Any:
        """Replace the status of an object."""
        return self._write(request, kind, name, self._replace_status)

    @app.route("/objects/<kind>/<name>", methods=["DELETE"])
    def remove(self, request: Any, kind: str, name: str) -> Any:
        """Remove an object, or mark it while it has finalizers."""
        return self._write(request, kind, name, self._remove)

    def _write(self, request: Any, kind: str, name: str, act: Any) -> Any:
        self.counters["writes"] += 1
        if self.faults.outage or self.faults.busy:
            return self._answer(request, 503, None)
        body = request.content.read()
        if len(body) > MAX_VALUE_BYTES:
            return self._answer(request, 413, None)
        written = msgspec.json.decode(body, type=Written) if body else Written()
        asked = request.args.get(b"revision", [b"0"])[0]
        revision = int(asked) or (written.metadata.revision if written.metadata else 0)
        if self.faults.late_ms:
            loop: Any = reactor
            loop.callLater(self.faults.late_ms / 1000, act, kind, name, written, revision)
            return Deferred()
        status, value = act(kind, name, written, revision)
        return self._answer(request, status, value, is_write=True)

    def _create(self, kind: str, name: str, written: Written, revision: int) -> tuple[int, Any]:
        known = self.store.by_path.get((kind, name))
        if known is not None:
            return 409, known
        finalizers = written.metadata.finalizers if written.metadata else []
        stored = Stored(Metadata(name, finalizers=finalizers), written.spec, written.status)
        return 200, self.store.write(kind, name, stored)

    def _replace(self, kind: str, name: str, written: Written, revision: int) -> tuple[int, Any]:
        known = self.store.by_path.get((kind, name))
        if known is None:
            return 404, None
        if revision and revision != known.metadata.revision:
            return 409, known
        finalizers = written.metadata.finalizers if written.metadata else []
        metadata = msgspec.structs.replace(known.metadata, finalizers=finalizers)
        return 200, self.store.write(kind, name, Stored(metadata, written.spec, known.status))

    def _replace_status(
        self, kind: str, name: str, written: Written, revision: int
    ) -> tuple[int, Any]:
        known = self.store.by_path.get((kind, name))
        if known is None:
            return 404, None
        if revision and revision != known.metadata.revision:
            return 409, known
        stored = Stored(known.metadata, known.spec, written.status)
        return 200, self.store.write(kind, name, stored)

    def _remove(self, kind: str, name: str, written: Written, revision: int) -> tuple[int, Any]:
        known = self.store.by_path.get((kind, name))
        if known is None:
            return 404, None
        if revision and revision != known.metadata.revision:
            return 409, known
        if known.metadata.finalizers:
            metadata = msgspec.structs.replace(known.metadata, deleting=True)
            return 200, self.store.write(kind, name, Stored(metadata, known.spec, known.status))
        self.store.remove(kind, name)
        return 200, known

    def _watch(self, request: Any, kind: str) -> Any:
        """Wait for changes; at once where there are some, or the revision is not from here."""
        self.counters["watches"] += 1
        after = int(request.args[b"watch"][0])
        wait_s = int(request.args[b"wait_ms"][0]) / 1000
        if after + 1 < self.store.oldest or after > self.store.revision:
            return self._answer(request, 410, None)
        if self.store.since(kind, after) or self.faults.outage:
            return self._answer(request, 200, self._changes(kind, after))
        changed: Deferred[bool] = Deferred()
        waiting = (kind, changed)
        self.store.waiting.append(waiting)
        loop: Any = reactor
        timer = loop.callLater(wait_s, self._end_wait, waiting)

        def answer(cut: bool) -> Any:
            if timer.active():
                timer.cancel()
            if cut:
                request.transport.abortConnection()
                return Deferred()
            return self._answer(request, 200, self._changes(kind, after))

        return changed.addCallback(answer)

    def _changes(self, kind: str, after: int) -> dict[str, Any]:
        events = [
            {"object": event.stored, "deleted": event.deleted}
            for event in self.store.since(kind, after)
        ]
        return {"events": events, "current_rev": self.store.revision}

    def _end_wait(self, waiting: tuple[str, Deferred[None]]) -> None:
        if waiting in self.store.waiting:
            self.store.waiting.remove(waiting)
            waiting[1].callback(False)

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Set the faults."""
        self.faults = msgspec.json.decode(request.content.read(), type=Faults)
        return msgspec.json.encode(self.faults)

    @app.route("/compact", methods=["POST"])
    def compact(self, request: Any) -> bytes:
        """Drop the history and cut the watches."""
        self.store.compact()
        return b"{}"

    @app.route("/snapshot", methods=["POST"])
    def take_snapshot(self, request: Any) -> bytes:
        """Remember the objects as they are."""
        self.snapshot = (dict(self.store.by_path), self.store.revision)
        return b"{}"

    @app.route("/restore", methods=["POST"])
    def restore(self, request: Any) -> bytes:
        """Go back to the objects remembered."""
        self.store.by_path = dict(self.snapshot[0])
        self.store.revision = self.snapshot[1]
        self.store.events = [e for e in self.store.events if e.revision <= self.store.revision]
        return b"{}"

    @app.route("/counters", methods=["GET"])
    def show_counters(self, request: Any) -> bytes:
        """Calls served, by kind."""
        return msgspec.json.encode(self.counters)

    def _answer(self, request: Any, status: int, value: Any, is_write: bool = False) -> Any:
        if self.faults.silent:
            return Deferred()
        if self.faults.outage:
            status, value = 503, None
        elif self.faults.busy:
            status, value = 429, None
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
