"""Crowd of clients that do not finish what they send, for scenarios with real processes."""

from __future__ import annotations

import selectors
import socket
import time

from foxtailproxy.tests.live import HOST
from standins.fleet import ADDRESS

HEAD_BYTES = 16_000
"""Size of a request head; 16,384 bytes are allowed."""

ONE_BYTE_CHUNKS = 60_000
PIPELINED_REQUESTS = 1_400
LARGE_ANSWER_BYTES = 60_000
LARGE_ANSWERS = 150
SHORT_LINE = b"a:\r\n"
ODD_LINES = b"x-odd:\r\n" * 40 + b"x-%s: 1\r\n" % (b"long" * 10) + b"b: \r\nX-oDd:\t\r\n" * 8

QUIET_S = 2.0
"""Time without progress of any client after which the crowd has sent what the node takes."""

MAX_SEND_S = 60.0
RECEIVE_BUFFER_BYTES = 4096


def _head(method: str, path: str, *lines: str) -> bytes:
    return "\r\n".join((f"{method} {path} HTTP/1.1", f"Host: {HOST}", *lines, "")).encode()


def _padded_head(start: bytes, lines: bytes) -> bytes:
    return start + lines * ((HEAD_BYTES - len(start)) // len(lines))


def payloads(traffic: str) -> list[bytes]:
    """Return what the clients of a crowd send, in turn."""
    post = _head("POST", "/bookings", "Content-Length: 1000")
    chunked = _head("POST", "/bookings", "Transfer-Encoding: chunked") + b"\r\n"
    slow = _head("POST", "/bookings", "Content-Length: 0", "X-Run-Ms: 60000") + b"\r\n"
    get = _head("GET", "/days") + b"\r\n"
    large = _head("POST", "/bookings", "Content-Length: 0", f"X-Answer-Bytes: {LARGE_ANSWER_BYTES}")
    return {
        "heads of 4-byte lines and an unfinished body": [_padded_head(post, SHORT_LINE) + b"\r\n."],
        "heads of odd lines and an unfinished body": [_padded_head(post, ODD_LINES) + b"\r\n."],
        "unfinished heads of 4-byte lines": [_padded_head(post, SHORT_LINE)],
        "bodies in 1-byte chunks without their end": [chunked + b"1\r\n.\r\n" * ONE_BYTE_CHUNKS],
        "bodies in 256 KB chunks without their end": [chunked + b"40000\r\n" + b"." * 0x3FFFF],
        "many requests behind one that still runs": [slow + get * PIPELINED_REQUESTS],
        "many requests and read no answer": [(large + b"\r\n") * LARGE_ANSWERS],
        "nothing or half a head": [b"", post],
    }[traffic]


class Crowd:
    """Clients of one port that send and never read."""

    def __init__(self, port: int, count: int, payloads: list[bytes]) -> None:
        self._port = port
        self._count = count
        self._payloads = payloads
        self._sockets: list[socket.socket] = []

    def send(self) -> None:
        """Connect all clients and send until all is sent or nothing more is taken."""
        selector = selectors.DefaultSelector()
        for number in range(self._count):
            client = self._connect()
            if client is None:
                continue
            payload = memoryview(self._payloads[number % len(self._payloads)])
            selector.register(client, selectors.EVENT_WRITE, payload)
        started_s = progress_s = time.monotonic()
        while selector.get_map() and time.monotonic() - started_s < MAX_SEND_S:
            for key, _ in selector.select(QUIET_S / 10):
                client = key.fileobj
                assert isinstance(client, socket.socket)
                try:
                    sent = client.send(key.data) if key.data else 0
                except BlockingIOError:
                    continue
                except OSError:
                    selector.unregister(client)
                    continue
                progress_s = time.monotonic()
                if sent == len(key.data):
                    selector.unregister(client)
                else:
                    selector.modify(client, selectors.EVENT_WRITE, key.data[sent:])
            if time.monotonic() - progress_s > QUIET_S:
                break
        selector.close()
        time.sleep(QUIET_S)

    def _connect(self) -> socket.socket | None:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        client.settimeout(QUIET_S)
        try:
            client.connect((ADDRESS, self._port))
        except OSError:
            client.close()
            return None
        client.setblocking(False)
        self._sockets.append(client)
        return client

    def close(self) -> None:
        """Close all clients."""
        for client in self._sockets:
            client.close()
