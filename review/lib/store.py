"""Stand-in for the platform's metadata store: objects, conditional writes, lists and watches."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import Counter
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from review.lib.http1 import Incomplete, Message, format_message, read_message


class Store:
    """The store, with all objects in memory and the whole history kept."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.open_watches: Counter[str] = Counter()
        self.down = False
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator does."""
        await self._write(kind, name, {"metadata": {"name": name}, "spec": spec})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                watcher_ip = writer.get_extra_info("peername")[0]
                is_watch = "watch=" in request.start[1]
                self.open_watches[watcher_ip] += is_watch
                try:
                    status, value = await self._handle(request)
                finally:
                    self.open_watches[watcher_ip] -= is_watch
                head = {"Content-Type": "application/json"}
                body = json.dumps(value).encode()
                writer.write(format_message(f"HTTP/1.1 {status} Status", head, body))
                await writer.drain()
        except (ConnectionError, Incomplete, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(self, request: Message) -> tuple[int, Any]:
        if self.down:
            return 503, {}
        url = urlsplit(request.start[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.strip("/").split("/")]
        kind, name = parts[1], parts[2] if len(parts) > 2 else ""
        method = request.start[0]
        if method == "GET":
            return await self._read(kind, name, query)
        current = self.objects.get((kind, name))
        body = json.loads(request.body) if request.body else {}
        expected = body.get("metadata", {}).get("revision", query.get("revision"))
        if method == "POST" and current is not None:
            return 409, current
        if method != "POST" and current is None:
            return 404, {}
        if current is not None and int(expected or 0) not in (0, current["metadata"]["revision"]):
            return 409, current
        if method == "DELETE":
            await self._remove(kind, name)
            return 200, {}
        return 200, await self._write(kind, name, body)

    async def _read(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, Any]:
        if name:
            found = self.objects.get((kind, name))
            return (404, {}) if found is None else (200, found)
        if "watch" in query:
            return 200, await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        items = [item for (item_kind, _), item in sorted(self.objects.items()) if item_kind == kind]
        return 200, {"items": items, "has_more": False, "current_rev": self.revision}

    async def _watch(self, kind: str, since: int, wait_s: float) -> Any:
        def events() -> list[Any]:
            return [
                {"object": item, "deleted": deleted}
                for revision, event_kind, item, deleted in self.events
                if event_kind == kind and revision > since
            ]

        async with self._changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait_for(lambda: bool(events())), wait_s)
            return {"events": events(), "current_rev": self.revision}

    async def _write(self, kind: str, name: str, body: dict[str, Any]) -> dict[str, Any]:
        async with self._changed:
            self.revision += 1
            current = self.objects.get((kind, name))
            created = current["metadata"]["created"] if current else self.revision
            metadata: dict[str, Any] = {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            }
            item = {"metadata": metadata, "spec": body.get("spec"), "status": None}
            self.objects[kind, name] = item
            self.events.append((self.revision, kind, item, False))
            self._changed.notify_all()
            return item

    async def _remove(self, kind: str, name: str) -> None:
        async with self._changed:
            self.revision += 1
            self.events.append((self.revision, kind, self.objects.pop((kind, name)), True))
            self._changed.notify_all()
