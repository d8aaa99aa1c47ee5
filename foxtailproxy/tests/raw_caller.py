"""Caller that reads responses byte by byte, and tells a complete one from one that was cut."""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass, field

from standins.fleet import ADDRESS

TIMEOUT_S = 3.0
BODILESS_STATUSES = (204, 304)


SHOWN_BYTES = 100
"""Bytes shown of what is no response."""


class ResponseCut(Exception):
    """Response that ended early, with what told it."""


class NotAResponse(Exception):
    """Bytes without a status line where a response should begin."""


@dataclass(slots=True)
class RawReply:
    """Response as a caller reads it; `cut` tells how it ended early, if it did."""

    status: int = 0
    header_by_name: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    cut: str = ""


class RawCaller:
    """Caller with one connection to a node.

    A slow one reads `read_bytes` at a time, with a pause of `pause_s` after each read.
    """

    def __init__(self, port: int, read_bytes: int = 65536, pause_s: float = 0.0) -> None:
        self._read_bytes = read_bytes
        self._pause_s = pause_s
        self._received = b""
        self._socket = socket.socket()
        if pause_s:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, read_bytes)
        self._socket.settimeout(TIMEOUT_S)
        self._socket.connect((ADDRESS, port))

    def send(self, method: str, target: str, host: str, attempt: str, version: str = "1.1") -> None:
        """Send a request without a body."""
        length = "Content-Length: 0\r\n" if method == "POST" else ""
        request = (
            f"{method} {target} HTTP/{version}\r\nHost: {host}\r\n{length}"
            f"X-Foxtailproxy-Attempt-Id: {attempt}\r\nX-Foxtailproxy-Timeout-Ms: 2000\r\n\r\n"
        )
        self._socket.sendall(request.encode())

    def read_reply(self, method: str) -> RawReply:
        """Read the next final response. Raises `NotAResponse`."""
        reply = RawReply()
        try:
            self._read_into(reply, method)
        except (OSError, ResponseCut) as error:
            reply.cut = repr(error)
        return reply

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _read_into(self, reply: RawReply, method: str) -> None:
        while reply.status < 200:
            head = self._read_until(b"\r\n\r\n")
            if not head.startswith(b"HTTP/1."):
                raise NotAResponse(head[:SHOWN_BYTES])
            lines = head.decode("latin-1").split("\r\n")
            reply.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            name, _, value = line.partition(":")
            reply.header_by_name[name.lower()] = value.strip()
        if method == "HEAD" or reply.status in BODILESS_STATUSES:
            return
        length = reply.header_by_name.get("content-length")
        if length is not None:
            self._read_body(reply, int(length))
        elif "transfer-encoding" in reply.header_by_name:
            while size := int(self._read_until(b"\r\n"), 16):
                self._read_body(reply, size)
                self._read_until(b"\r\n")
            self._read_until(b"\r\n")
        else:
            while data := self._received or self._receive():
                reply.body, self._received = reply.body + data, b""

    def _read_until(self, end: bytes) -> bytes:
        while end not in self._received:
            self._receive_more()
        line, _, self._received = self._received.partition(end)
        return line

    def _read_body(self, reply: RawReply, size: int) -> None:
        while size:
            if not self._received:
                self._receive_more()
            data, self._received = self._received[:size], self._received[size:]
            reply.body += data
            size -= len(data)

    def _receive_more(self) -> None:
        data = self._receive()
        if not data:
            raise ResponseCut("closed")
        self._received += data

    def _receive(self) -> bytes:
        data = self._socket.recv(self._read_bytes)
        time.sleep(self._pause_s)
        return data
