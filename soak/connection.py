"""Connection of a caller, which accounts for each byte that it receives."""

from __future__ import annotations

import re
import select
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

from standins.fleet import ADDRESS

TIMEOUT_S = 10.0
"""Longest wait for further bytes, far above the timeouts of requests."""

MAX_QUOTED_BYTES = 80

START = b"HTTP/1.1 "
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5]\d\d) [^\r\n]*")
HEADER = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n]*)")
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")
BODILESS_STATUSES = (204, 304)


class InvalidBytes(Exception):
    """Bytes that belong to no answer."""


class AnswerCut(Exception):
    """End of the connection before the end of an answer."""


@dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer; `closes` tells whether it is the last one of its connection."""

    status: int
    header_by_name: dict[str, str]
    body: bytes

    @property
    def closes(self) -> bool:
        """Whether the node closes the connection after the answer."""
        return "close" in self.header_by_name.get("connection", "").lower()


class CallerConnection:
    """Connection to a node; `read_bytes` and `pause_s` limit the speed of reading.

    `answer_begun` tells whether a byte of the answer that is being read has arrived.
    """

    def __init__(self, port: int, read_bytes: int, pause_s: float) -> None:
        self.answer_begun = False
        self._read_bytes = read_bytes
        self._pause_s = pause_s
        self._received = b""
        self._socket = socket.socket()
        if pause_s:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, read_bytes)
        self._socket.settimeout(TIMEOUT_S)
        self._socket.connect((ADDRESS, port))

    def send(self, data: bytes) -> None:
        """Send requests. Raises `OSError`."""
        self._socket.sendall(data)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def stays_open(self, wait_s: float) -> bool:
        """Return whether the connection is still open after some time without a request.

        Raises `InvalidBytes` if any byte arrives.
        """
        try:
            readable = select.select([self._socket], [], [], wait_s)[0]
            self._received += self._socket.recv(self._read_bytes) if readable else b""
        except OSError:
            return False
        if self._received:
            raise InvalidBytes(f"between answers: {self._quote()}")
        return not readable

    def read_answer(self) -> Answer:
        """Read the next final answer.

        Raises `InvalidBytes` for bytes that are no answer, `AnswerCut` or `OSError` if it ends
        early.
        """
        self.answer_begun = bool(self._received)
        status = 0
        while status < 200:
            status, header_by_name = self._read_head()
        body = b""
        if status not in BODILESS_STATUSES:
            body = self._read_body(header_by_name)
        return Answer(status, header_by_name, body)

    def _read_head(self) -> tuple[int, dict[str, str]]:
        head = self._read_until(b"\r\n\r\n", self._check_start)
        first, *lines = head.split(b"\r\n")
        start, headers = STATUS_LINE.fullmatch(first), list(map(HEADER.fullmatch, lines))
        if start is None or None in headers:
            raise InvalidBytes(f"as a head: {head!r}")
        header_by_name = {
            header[1].decode().lower(): header[2].decode("latin-1") for header in headers if header
        }
        return int(start[1]), header_by_name

    def _check_start(self) -> None:
        if not self._received.startswith(START[: len(self._received)]):
            raise InvalidBytes(f"in place of a status line: {self._quote()}")

    def _read_body(self, header_by_name: dict[str, str]) -> bytes:
        if "content-length" in header_by_name:
            return self._read_bytes_of_body(int(header_by_name["content-length"]))
        if header_by_name.get("transfer-encoding") != "chunked":
            raise InvalidBytes(f"an answer on a kept connection without an end: {header_by_name}")
        body = b""
        while size := self._read_chunk_size():
            body += self._read_bytes_of_body(size)
            self._expect_line_end()
        self._expect_line_end()
        return body

    def _read_chunk_size(self) -> int:
        line = self._read_until(b"\r\n")
        if CHUNK_SIZE.fullmatch(line) is None:
            raise InvalidBytes(f"as the size of a chunk: {line[:MAX_QUOTED_BYTES]!r}")
        return int(line, 16)

    def _expect_line_end(self) -> None:
        if line := self._read_until(b"\r\n"):
            raise InvalidBytes(f"after a chunk: {line[:MAX_QUOTED_BYTES]!r}")

    def _read_bytes_of_body(self, size: int) -> bytes:
        while len(self._received) < size:
            self._receive()
        data, self._received = self._received[:size], self._received[size:]
        return data

    def _read_until(self, end: bytes, check: Callable[[], None] = lambda: None) -> bytes:
        check()
        while end not in self._received:
            self._receive()
            check()
        data, _, self._received = self._received.partition(end)
        return data

    def _receive(self) -> None:
        data = self._socket.recv(self._read_bytes)
        if not data:
            raise AnswerCut
        self._received += data
        self.answer_begun = True
        time.sleep(self._pause_s)

    def _quote(self) -> str:
        return repr(self._received[:MAX_QUOTED_BYTES])
