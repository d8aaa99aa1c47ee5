"""Stand-in for a target of the users' platform whose answers stutter, break off or come slowly.

Usage: python -m standins.stuttering_target --port 7201 --service kalender \\
    --control 127.0.0.1:7105 --instance i-1 [--plain] [--silent-s 2]

The query of a request chooses its answer, with the names of `standins.answer_scripts`: `framing`,
`event`, `copy` (the framing of the copy), `status`, `size`, and `run_ms`, the time before it. Where
it has several values for a name, each target process draws one, in the same place for all names.
Without an event, the answer is sent once, with a length and status 200. So is one that needs an
earlier exchange on its connection if there was none. With `--plain`, `plain_event` takes the place
of `event`, and `plain_run_ms` that of `run_ms` if it is given. `/_standin/drain` and
`/_standin/leave` announce that the target leaves.

Each run is written to standard output before it is answered, so that none is missing after a kill.
"""

from __future__ import annotations

import os
import signal
import sys
import time
import zlib
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, urlsplit

import click
import msgspec
from twisted.internet import reactor
from twisted.internet.protocol import Factory

from standins.answer_scripts import (
    IS_DECLINED,
    NOT_EXECUTED_HEADER,
    STATUS_LINE_BY_EVENT,
    STATUS_LINE_BY_FRAMING,
    TO_HEAD,
    AnswerScript,
    ScriptPlayer,
    answer_pieces,
    body_with_status,
    error_body_of,
    quoting,
    whole_answer,
)
from standins.heartbeats import Heartbeats

OK = b"200 OK"
HEAD_END = b"\r\n\r\n"
HEALTH_PATH = "/healthz"
COMMAND_PATH = "/_standin/"
NOT_READY = b"HTTP/1.1 503 Not Ready\r\nContent-Length: 0\r\n\r\n"
MISDIRECTED = (
    b"HTTP/1.1 421 Misdirected\r\nX-Foxtailproxy-Attempt-Id: %s\r\nContent-Length: 0\r\n%s\r\n"
)
DEFAULT_SIZE = 1500


class ScriptedRun(msgspec.Struct):
    """One request that ran; `at_s` is its start as Unix time.

    `checksum` is that of the request's body, `status` that of the answer, `earlier` the kind of the
    exchange before it on its connection.
    """

    attempt: str
    method: str
    path: str
    checksum: int
    caller: str
    at_s: float
    instance: str
    status: int
    scripted: bool
    earlier: str


class CutRun(msgspec.Struct):
    """Run whose connection was closed before its answer was sent; `at_s` is the Unix time."""

    cut_attempt: str
    at_s: float


class StutteringTarget(ScriptPlayer):
    """Connection to the target."""

    def __init__(self) -> None:
        super().__init__()
        self._received = b""
        self._earlier: tuple[bytes, bytes, bytes] | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Write at once."""
        self.transport.setTcpNoDelay(True)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report an answer that was not sent to its end."""
        if self.playing and self._earlier is not None:
            self.factory.write_line(CutRun(self._earlier[0].decode(), time.time()))
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer the request if it is complete; a node sends one at a time."""
        self._received += data
        head, end, body = self._received.partition(HEAD_END)
        lines = head.decode("latin-1").split("\r\n")
        header_by_name = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        if not end or len(body) < int(header_by_name.get("content-length", 0)):
            return
        self._received = b""
        method, target, _ = lines[0].split(" ")
        self._answer(method, target, header_by_name, zlib.crc32(body))

    def _answer(
        self, method: str, target: str, header_by_name: dict[str, str], checksum: int
    ) -> None:
        factory: StutteringTargetFactory = self.factory
        attempt = header_by_name.get("x-foxtailproxy-attempt-id", "").encode()
        path = urlsplit(target).path
        if path == HEALTH_PATH and factory.heartbeats.state != "ready":
            self.transport.write(NOT_READY)
            return
        if path == HEALTH_PATH:
            self._earlier = (b"", b"well", OK)
            self.transport.write(
                whole_answer("with a length", b"", b"well", factory.identity_headers)
            )
            return
        if path.startswith(COMMAND_PATH):
            factory.run_command(path.removeprefix(COMMAND_PATH))
            self.transport.write(
                whole_answer("with a length", b"", b"{}", factory.identity_headers)
            )
            return
        expected = header_by_name.get("x-foxtailproxy-expect-instance", factory.instance)
        if expected != factory.instance:
            self.transport.write(MISDIRECTED % (attempt, factory.identity_headers))
            return
        draw = zlib.crc32(attempt + factory.instance.encode())
        value_by_name = {
            name: values[draw % len(values)]
            for name, values in parse_qs(urlsplit(target).query).items()
        }
        prefix = "plain_" if factory.plain else ""
        script = AnswerScript(
            value_by_name.get("framing", "with a length"),
            value_by_name.get(f"{prefix}event", ""),
            value_by_name.get("copy", "-"),
        )
        earlier = self._earlier
        earlier_kind = "none"
        if earlier is not None:
            earlier_kind = "earlier" if earlier[0] else "health check"
        scripted = bool(script.event)
        if "earlier" in script.event or "health check" in script.event:
            scripted = scripted and earlier_kind in script.event
        if not scripted:
            framing = TO_HEAD if method == "HEAD" else "with a length"
            script = AnswerScript(framing, "is sent once", "-")
        status = HTTPStatus(int(value_by_name.get("status", HTTPStatus.OK)) if scripted else 200)
        status_line = b"%d %s" % (status, status.phrase.encode())
        size = int(value_by_name.get("size", DEFAULT_SIZE))
        body = body_with_status(attempt, status, size)
        if script.event in STATUS_LINE_BY_EVENT:
            status_line = STATUS_LINE_BY_EVENT[script.event]
            body = error_body_of(attempt, size)
        self._earlier = (attempt, body, status_line)
        factory.write_line(
            ScriptedRun(
                attempt.decode(),
                method,
                target,
                checksum,
                header_by_name.get("x-foxtailproxy-caller-service", ""),
                time.time(),
                factory.instance,
                int(STATUS_LINE_BY_FRAMING.get(script.framing, status_line)[:3]),
                scripted,
                earlier_kind,
            )
        )
        headers = factory.identity_headers
        if "quotes" in script.event:
            body = quoting(body)
        own, earlier_copy = (
            whole_answer(script.copy_framing, *copied[:2], headers, copied[2])
            for copied in ((attempt, body, status_line), earlier or (attempt, body, status_line))
        )
        if script.event == IS_DECLINED:
            headers += NOT_EXECUTED_HEADER
        answer = answer_pieces(script.framing, attempt, body, headers, status_line)
        run_ms = int(value_by_name.get(f"{prefix}run_ms", value_by_name.get("run_ms", 0)))
        self.play(script, answer, own, earlier_copy, run_ms)

    def end_process(self) -> None:
        """End this process as a crash does."""
        os.kill(os.getpid(), signal.SIGKILL)


class StutteringTargetFactory(Factory):
    """Factory of a `StutteringTarget` for each connection; a `plain` one plays `plain_event`."""

    protocol = StutteringTarget
    noisy = False

    def __init__(self, heartbeats: Heartbeats, slots: int, plain: bool) -> None:
        self.heartbeats = heartbeats
        self.instance = heartbeats.instance
        self.plain = plain
        self.identity_headers = (
            f"X-Foxtailproxy-Instance-Id: {self.instance}\r\n"
            f"X-Foxtailproxy-Backend-Load: 0,0,{slots},100\r\n"
        ).encode()

    def run_command(self, action: str) -> None:
        """Announce that the target leaves; `action` is `drain` or `leave`."""
        if action == "drain":
            self.heartbeats.drain()
        elif action == "leave":
            self.heartbeats.leave()

    def write_line(self, line: ScriptedRun | CutRun) -> None:
        """Write a line to standard output."""
        sys.stdout.buffer.write(msgspec.json.encode(line) + b"\n")
        sys.stdout.flush()


@click.command()
@click.option("--address", default="127.0.0.1")
@click.option("--port", type=int, required=True)
@click.option("--service", required=True)
@click.option("--control", required=True, help="Address for heartbeats, as IP:PORT.")
@click.option("--instance", required=True)
@click.option("--slots", type=int, default=12)
@click.option("--announced-port", type=int, default=0, help="Port announced; 0 for --port.")
@click.option("--plain", is_flag=True, help="Play the scripts of plain targets only.")
@click.option("--silent-s", type=float, default=0.0, help="Time before the first heartbeat.")
def main(
    address: str,
    port: int,
    service: str,
    control: str,
    instance: str,
    slots: int,
    announced_port: int,
    plain: bool,
    silent_s: float,
) -> None:
    """Run the stand-in until it is stopped."""
    twisted_reactor: Any = reactor
    announced_address = f"{address}:{announced_port or port}"
    heartbeats = Heartbeats(service, announced_address, control, instance, slots)
    factory = StutteringTargetFactory(heartbeats, slots, plain)
    twisted_reactor.listenTCP(port, factory, interface=address)
    twisted_reactor.callLater(silent_s, heartbeats.start)
    twisted_reactor.run()


if __name__ == "__main__":
    main()
