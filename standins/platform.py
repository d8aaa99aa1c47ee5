"""Stand-in for the platform's object store, with faults that are set over HTTP.

Usage: python -m standins.platform --port 7000

| call | meaning |
|---|---|
| `GET /objects/KIND/NAME` | read one object |
| `GET /objects/KIND` | list a page of the objects of a kind; `after`, `serializable` |
| `GET /objects/KIND?watch=REVISION&wait_ms=N` | wait for changes |
| `POST /objects/KIND/NAME` | create |
| `PUT /objects/KIND/NAME` | replace; a `revision` in `metadata` makes it conditional |
| `PUT /objects/KIND/NAME/status` | replace the status alone |
| `DELETE /objects/KIND/NAME` | delete, or mark as deleting if it has finalizers; `revision` |
| `POST /faults` | set the faults, as JSON |
| `POST /compact` | drop the history and close the watches |
| `POST /snapshot`, `POST /restore` | take a snapshot, and come back from it in the next era |
| `GET /counters` | number of reads, writes and watches |
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
"""Objects on one page of a listing; small, so that tests get listings of several pages."""

HISTORY_EVENTS = 10_000


class StoreFaults(msgspec.Struct):
    """Faults of the store.

    `lose_answers` is the share of writes whose response is lost after they took effect, `late_ms`
    delays writes that get no response, `delay_ms` is added to every response, `silent` leaves calls
    without a response, `busy` rejects them without any effect.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_answers: float = 0.0
    late_ms: int = 0
    silent: bool = False
    busy: bool = False


class Metadata(msgspec.Struct):
    """Metadata of an object."""

    name: str
    revision: int = 0
    created: int = 0
    finalizers: list[str] = []
    deleting: bool = False


class ObjectRecord(msgspec.Struct):
    """One object with its metadata."""

    metadata: Metadata
    spec: Any = None
    status: Any = None


class WriteRequest(msgspec.Struct):
    """Body of a write."""

    metadata: Metadata | None = None
    spec: Any = None
    status: Any = None


@dataclass(frozen=True, slots=True)
class ChangeEvent:
    """Change of one object."""

    revision: int
    kind: str
    record: ObjectRecord
    deleted: bool


class ObjectStore:
    """Objects in memory; revisions come from one counter and are never reused within an era."""

    def __init__(self) -> None:
        self.era = 1
        self.by_path: dict[tuple[str, str], ObjectRecord] = {}
        self.revision = 1
        self.events: list[ChangeEvent] = []
        self.oldest_revision = 1
        self.watchers: list[tuple[str, Deferred[bool]]] = []

    def list_after(self, kind: str, after: str) -> list[ObjectRecord]:
        """Return the objects of a kind whose names sort after `after`."""
        names = sorted(
            name for stored_kind, name in self.by_path if stored_kind == kind and name > after
        )
        return [self.by_path[kind, name] for name in names]

    def events_since(self, kind: str, revision: int) -> list[ChangeEvent]:
        """Return the changes in a kind after a revision."""
        return [event for event in self.events if event.kind == kind and event.revision > revision]

    def write(self, kind: str, name: str, new_record: ObjectRecord) -> ObjectRecord:
        """Write an object and notify the watches on its kind."""
        current = self.by_path.get((kind, name))
        if current is not None and _is_unchanged(current, new_record):
            return current
        self.revision += 1
        created = self.revision if current is None else current.metadata.created
        metadata = msgspec.structs.replace(
            new_record.metadata, name=name, revision=self.revision, created=created
        )
        record = ObjectRecord(metadata, new_record.spec, new_record.status)
        self.by_path[kind, name] = record
        self._record_event(kind, record, False)
        if metadata.deleting and not metadata.finalizers:
            self.remove(kind, name)
        return record

    def remove(self, kind: str, name: str) -> None:
        """Delete an object and notify the watches on its kind."""
        self.revision += 1
        self._record_event(kind, self.by_path.pop((kind, name)), True)

    def compact(self) -> None:
        """Drop the history and close all watches."""
        self.events = []
        self.oldest_revision = self.revision + 1
        self._cut_watches()

    def restore(self, by_path: dict[tuple[str, str], ObjectRecord], revision: int) -> None:
        """Come back from an older copy: revisions go back, the era rises, all watches are cut."""
        self.era += 1
        self.by_path = dict(by_path)
        self.revision = revision
        self.events = [event for event in self.events if event.revision <= revision]
        self._cut_watches()

    def _cut_watches(self) -> None:
        watchers, self.watchers = self.watchers, []
        for _, changed in watchers:
            changed.callback(True)

    def _record_event(self, kind: str, record: ObjectRecord, deleted: bool) -> None:
        self.events.append(ChangeEvent(self.revision, kind, record, deleted))
        del self.events[:-HISTORY_EVENTS]
        notified = [changed for watched_kind, changed in self.watchers if watched_kind == kind]
        self.watchers = [
            (watched_kind, changed)
            for watched_kind, changed in self.watchers
            if watched_kind != kind
        ]
        for changed in notified:
            changed.callback(False)


def _is_unchanged(current: ObjectRecord, new_record: ObjectRecord) -> bool:
    return (
        current.spec,
        current.status,
        current.metadata.finalizers,
        current.metadata.deleting,
    ) == (
        new_record.spec,
        new_record.status,
        new_record.metadata.finalizers,
        new_record.metadata.deleting,
    )


class PlatformStandIn:
    """HTTP interface of the stand-in; `late_writes` schedules the writes that get no response."""

    app = Klein()

    def __init__(self, seed: int) -> None:
        self.late_writes: Any = reactor
        self.store = ObjectStore()
        self.faults = StoreFaults()
        self.counters = {"reads": 0, "writes": 0, "watches": 0}
        self.snapshot: tuple[dict[tuple[str, str], ObjectRecord], int] = ({}, 1)
        self._rng = random.Random(seed)

    @app.route("/objects/<kind>/<name>", methods=["GET"])
    def read(self, request: Any, kind: str, name: str) -> Any:
        """Read one object."""
        self.counters["reads"] += 1
        stored = self.store.by_path.get((kind, name))
        return self._respond(request, 404 if stored is None else 200, stored)

    @app.route("/objects/<kind>", methods=["GET"])
    def list_or_watch(self, request: Any, kind: str) -> Any:
        """List a page of the objects of a kind, or wait for changes in the kind."""
        if b"watch" in request.args:
            return self._watch(request, kind)
        self.counters["reads"] += 1
        after = request.args.get(b"after", [b""])[0].decode()
        objects = self.store.list_after(kind, after)
        page = {
            "items": objects[:PAGE_ITEMS],
            "has_more": len(objects) > PAGE_ITEMS,
            "current_rev": self.store.revision,
        }
        return self._respond(request, 200, page)

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
        """Replace the status of an object alone."""
        return self._write(request, kind, name, self._replace_status)

    @app.route("/objects/<kind>/<name>", methods=["DELETE"])
    def remove(self, request: Any, kind: str, name: str) -> Any:
        """Delete an object, or mark it as deleting if it has finalizers."""
        return self._write(request, kind, name, self._remove)

    def _write(self, request: Any, kind: str, name: str, operation: Any) -> Any:
        self.counters["writes"] += 1
        if self.faults.outage or self.faults.busy:
            return self._respond(request, 503, None)
        body = request.content.read()
        if len(body) > MAX_VALUE_BYTES:
            return self._respond(request, 413, None)
        write_request = msgspec.json.decode(body, type=WriteRequest) if body else WriteRequest()
        requested_revision = request.args.get(b"revision", [b"0"])[0]
        revision = int(requested_revision) or (
            write_request.metadata.revision if write_request.metadata else 0
        )
        if self.faults.late_ms:
            self.late_writes.callLater(
                self.faults.late_ms / 1000, operation, kind, name, write_request, revision
            )
            return Deferred()
        status, value = operation(kind, name, write_request, revision)
        return self._respond(request, status, value, is_write=True)

    def _create(
        self, kind: str, name: str, write_request: WriteRequest, revision: int
    ) -> tuple[int, Any]:
        current = self.store.by_path.get((kind, name))
        if current is not None:
            return 409, current
        finalizers = write_request.metadata.finalizers if write_request.metadata else []
        stored = ObjectRecord(
            Metadata(name, finalizers=finalizers), write_request.spec, write_request.status
        )
        return 200, self.store.write(kind, name, stored)

    def _replace(
        self, kind: str, name: str, write_request: WriteRequest, revision: int
    ) -> tuple[int, Any]:
        current = self.store.by_path.get((kind, name))
        if current is None:
            return 404, None
        if revision and revision != current.metadata.revision:
            return 409, current
        finalizers = write_request.metadata.finalizers if write_request.metadata else []
        metadata = msgspec.structs.replace(current.metadata, finalizers=finalizers)
        return 200, self.store.write(
            kind, name, ObjectRecord(metadata, write_request.spec, current.status)
        )

    def _replace_status(
        self, kind: str, name: str, write_request: WriteRequest, revision: int
    ) -> tuple[int, Any]:
        current = self.store.by_path.get((kind, name))
        if current is None:
            return 404, None
        if revision and revision != current.metadata.revision:
            return 409, current
        stored = ObjectRecord(current.metadata, current.spec, write_request.status)
        return 200, self.store.write(kind, name, stored)

    def _remove(
        self, kind: str, name: str, write_request: WriteRequest, revision: int
    ) -> tuple[int, Any]:
        current = self.store.by_path.get((kind, name))
        if current is None:
            return 404, None
        if revision and revision != current.metadata.revision:
            return 409, current
        if current.metadata.finalizers:
            metadata = msgspec.structs.replace(current.metadata, deleting=True)
            return 200, self.store.write(
                kind, name, ObjectRecord(metadata, current.spec, current.status)
            )
        self.store.remove(kind, name)
        return 200, current

    def _watch(self, request: Any, kind: str) -> Any:
        """Wait for changes; respond at once if there are some.

        A revision before the history, or above the store's own, gets 410 at once.
        """
        self.counters["watches"] += 1
        after = int(request.args[b"watch"][0])
        wait_s = int(request.args[b"wait_ms"][0]) / 1000
        if after + 1 < self.store.oldest_revision or after > self.store.revision:
            return self._respond(request, 410, None)
        if self.store.events_since(kind, after) or self.faults.outage:
            return self._respond(request, 200, self._changes(kind, after))
        changed: Deferred[bool] = Deferred()
        watcher = (kind, changed)
        self.store.watchers.append(watcher)
        twisted_reactor: Any = reactor
        timer = twisted_reactor.callLater(wait_s, self._end_watch, watcher)

        def on_change(is_cut: bool) -> Any:
            if timer.active():
                timer.cancel()
            if is_cut:
                request.transport.abortConnection()
                return Deferred()
            return self._respond(request, 200, self._changes(kind, after))

        return changed.addCallback(on_change)

    def _changes(self, kind: str, after: int) -> dict[str, Any]:
        events = [
            {"object": event.record, "deleted": event.deleted}
            for event in self.store.events_since(kind, after)
        ]
        return {"events": events, "current_rev": self.store.revision}

    def _end_watch(self, watcher: tuple[str, Deferred[None]]) -> None:
        if watcher in self.store.watchers:
            self.store.watchers.remove(watcher)
            watcher[1].callback(False)

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Set the faults."""
        self.faults = msgspec.json.decode(request.content.read(), type=StoreFaults)
        return msgspec.json.encode(self.faults)

    @app.route("/compact", methods=["POST"])
    def compact(self, request: Any) -> bytes:
        """Drop the history and close the watches."""
        self.store.compact()
        return b"{}"

    @app.route("/snapshot", methods=["POST"])
    def take_snapshot(self, request: Any) -> bytes:
        """Take a snapshot of the objects."""
        self.snapshot = (dict(self.store.by_path), self.store.revision)
        return b"{}"

    @app.route("/restore", methods=["POST"])
    def restore(self, request: Any) -> bytes:
        """Restore the objects and the revision of the snapshot, and begin the next era."""
        self.store.restore(*self.snapshot)
        return b"{}"

    @app.route("/counters", methods=["GET"])
    def show_counters(self, request: Any) -> bytes:
        """Return the number of reads, writes and watches."""
        return msgspec.json.encode(self.counters)

    def _respond(self, request: Any, status: int, value: Any, is_write: bool = False) -> Any:
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
        request.setHeader("Store-Era", str(self.store.era))
        body = msgspec.json.encode(value)
        if not self.faults.delay_ms:
            return succeed(body)
        delayed_body: Deferred[bytes] = Deferred()
        twisted_reactor: Any = reactor
        twisted_reactor.callLater(self.faults.delay_ms / 1000, delayed_body.callback, body)
        return delayed_body


@click.command()
@click.option("--address", default="127.0.0.1")
@click.option("--port", type=int, required=True)
@click.option("--seed", type=int, default=1)
def main(address: str, port: int, seed: int) -> None:
    """Run the stand-in until it is stopped."""
    twisted_reactor: Any = reactor
    site = Site(PlatformStandIn(seed).app.resource())
    site.noisy = False
    twisted_reactor.listenTCP(port, site, interface=address)
    print("ready", file=sys.stderr, flush=True)
    twisted_reactor.run()


if __name__ == "__main__":
    main()
