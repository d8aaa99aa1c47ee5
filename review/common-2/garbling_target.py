"""Target stand-in that at times sends the earlier answer again, cut at a random place.

The broken copy comes before the next answer on the same connection. Look-ups with an odd number at
the end of their path are answered 404, as things that do not exist, all others 200.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import time
import urllib.request

HEARTBEAT_S = 1.5
RUN_S = 0.005

COUNTERS_PATH = "/_standin/counters"

FAULT_S = 5.0
FAULT_PERIOD_S = 10.0
"""Length of one fault, and the time from the start of one to that of the next."""

PREFIX = "X-Foxtailproxy-"


class GarblingTarget:
    """HTTP server and heartbeats of one target; `share` of its answers follow a broken copy."""

    def __init__(self, arguments: argparse.Namespace, share: float) -> None:
        self.arguments = arguments
        self.share = share
        self.running = 0
        self.answered = 0
        self.broken_copies = 0
        self.rng = random.Random()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        earlier = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *header_lines = head.decode("latin-1").split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (item.partition(":") for item in header_lines)
                }
                await reader.readexactly(int(headers.get("content-length", 0)))
                path = line.split(" ")[1]
                if path == COUNTERS_PATH:
                    writer.write(self.counters())
                    continue
                if path == "/healthz":
                    writer.write(self.health())
                    earlier = b""
                    continue
                self.running += 1
                await asyncio.sleep(RUN_S)
                self.running -= 1
                answer = self.answer(path, headers.get(f"{PREFIX}attempt-id".lower(), ""))
                if earlier and self.is_faulty() and self.rng.random() < self.share:
                    writer.write(earlier[: self.rng.randrange(1, len(earlier))])
                    self.broken_copies += 1
                writer.write(answer)
                self.answered += 1
                earlier = answer
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def is_faulty(self) -> bool:
        return time.monotonic() % FAULT_PERIOD_S < FAULT_S

    def load(self) -> str:
        return f"{self.running},0,12,100"

    def counters(self) -> bytes:
        body = json.dumps({"answered": self.answered, "broken_copies": self.broken_copies})
        return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()

    def health(self) -> bytes:
        return (
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
            f"{PREFIX}Instance-Id: {self.arguments.instance}\r\n"
            f"{PREFIX}Backend-Load: {self.load()}\r\n\r\n"
        ).encode()

    def answer(self, path: str, attempt: str) -> bytes:
        """Return an answer with the usual headers of a web server in their usual order."""
        found = int(path.rpartition("/")[2] or 0) % 2 == 0
        body = f"{'found' if found else 'nothing'} for {attempt}"
        status = "200 OK" if found else "404 Not Found"
        return (
            f"HTTP/1.1 {status}\r\nDate: {time.strftime('%a, %d %b %Y %H:%M:%S GMT')}\r\n"
            "Server: jobs\r\nCache-Control: no-store\r\nVary: Accept\r\nETag: 1\r\n"
            "Content-Type: text/plain\r\n"
            f"{PREFIX}Attempt-Id: {attempt}\r\n"
            f"{PREFIX}Response-Signature: receipt.{attempt}\r\n"
            f"{PREFIX}Backend-Load: {self.load()}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        ).encode()

    async def announce(self) -> None:
        """Send heartbeats to the node."""
        born, sequence = int(time.time() * 1000), 0
        url = f"http://{self.arguments.control}/instances/{self.arguments.instance}"
        while True:
            sequence += 1
            body = {
                "service": self.arguments.service,
                "address": f"127.0.0.1:{self.arguments.port}",
                "zone": "any",
                "version": "v1",
                "slots": 12,
                "state": "ready",
                "cold_ms": 0,
                "sequence": sequence,
                "born": born,
            }
            request = urllib.request.Request(url, json.dumps(body).encode(), method="PUT")
            try:
                await asyncio.to_thread(urllib.request.urlopen, request, timeout=1)
            except OSError as error:
                print(f"no acknowledgement: {error!r}")
            await asyncio.sleep(HEARTBEAT_S)


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    for name in ("--service", "--control", "--instance", "--announced-port"):
        parser.add_argument(name)
    arguments = parser.parse_args()
    share = float(os.environ.get("GARBLED_SHARE", "0"))
    is_chosen = str(arguments.port) == os.environ.get("GARBLED_PORT", "")
    target = GarblingTarget(arguments, share if is_chosen else 0.0)
    server = await asyncio.start_server(target.serve, "127.0.0.1", arguments.port)
    async with server:
        await target.announce()


if __name__ == "__main__":
    asyncio.run(main())
