"""Connections between a client and a server that a test reads and writes step by step."""

from __future__ import annotations

import errno
import select
import socket
from functools import cache
from random import Random
from typing import Any

from twisted.internet import task
from twisted.internet.posixbase import _DisconnectSelectableMixin

FIN, RESET, LEFT = "closed", "reset", "left"
"""How a client saw its connection end; it left before that in the last case."""

TCP_ESTABLISHED, TCP_CLOSE_WAIT = 1, 8


class HandReactor(_DisconnectSelectableMixin, task.Clock):
    """Reactor of one connection, which reads, writes and tells the time when it is told to."""

    def __init__(self) -> None:
        super().__init__()
        self.reading: set[Any] = set()
        self.writing: set[Any] = set()
        self.addReader, self.removeReader = self.reading.add, self.reading.discard
        self.addWriter, self.removeWriter = self.writing.add, self.writing.discard

    def read(self) -> None:
        """Read from the connection."""
        for connection in list(self.reading):
            self._end(connection, connection.doRead(), True)

    def write(self) -> None:
        """Write to the connection."""
        for connection in list(self.writing):
            self._end(connection, connection.doWrite(), False)

    def _end(self, connection: Any, why: Any, is_read: bool) -> None:
        if why:
            self._disconnectSelectable(connection, why, is_read)


@cache
def _idle_socket() -> socket.socket:
    """Return a socket for system calls that need one; its queues stay empty."""
    return socket.socketpair()[0]


class MemorySocket:
    """Socket of the server whose kernel takes and returns random parts, or nothing."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._capacity = random.choice((100, 2000, 30_000))
        self._resets = False
        self.to_client = bytearray()
        self.from_client = bytearray()
        self.client_ended = False
        self.end = ""

    @property
    def free_bytes(self) -> int:
        """Number of bytes that may be sent now."""
        return self._capacity - len(self.to_client)

    def send(self, data: bytes) -> int:
        """Take a random part of the bytes."""
        random = self._random
        if self.end:
            raise BrokenPipeError(errno.EPIPE, "")
        size = min(len(data), self.free_bytes)
        if size and random.random() < 0.5:
            size = random.randint(0, size)
        if not size and data:
            raise BlockingIOError(errno.EAGAIN, "")
        self.to_client += data[:size]
        return size

    def recv(self, size: int) -> bytes:
        """Return a random part of what the client sent."""
        if not self.from_client and not self.client_ended:
            raise BlockingIOError(errno.EAGAIN, "")
        size = min(size, len(self.from_client), self._random.choice((1, 40, 500, size)))
        data = bytes(self.from_client[:size])
        del self.from_client[:size]
        return data

    def shutdown(self, how: int) -> None:
        """Close the sending side."""
        self.end = self.end or FIN

    def setsockopt(self, level: int, option: int, value: object) -> None:
        """Note that a close is to reset the connection."""
        self._resets = self._resets or option == socket.SO_LINGER

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Return the state of the connection."""
        state = TCP_CLOSE_WAIT if self.client_ended else TCP_ESTABLISHED
        return bytes([state]).ljust(size, b"\0")

    def close(self) -> None:
        """Close the connection; a reset drops a random part of what is not delivered."""
        if self._resets or self.from_client:
            self.end = RESET
            del self.to_client[self._random.randint(0, len(self.to_client)) :]
        self.end = self.end or FIN

    def setblocking(self, blocking: bool) -> None:
        """Do nothing."""

    def fileno(self) -> int:
        """Return the descriptor of a socket without bytes."""
        return _idle_socket().fileno()


class MemoryLink:
    """Connection in memory; `end` is how the client saw it end."""

    def __init__(self, random: Random) -> None:
        self.server = MemorySocket(random)
        self.end = ""

    def readable(self) -> bool:
        """Whether the server can read."""
        return bool(self.server.from_client or self.server.client_ended)

    def writable(self) -> bool:
        """Whether the server can write."""
        return self.server.free_bytes > 0 or bool(self.server.end)

    def has_data(self) -> bool:
        """Whether the client can read, or see the end."""
        return not self.end and bool(self.server.to_client or self.server.end)

    def read(self, size: int) -> bytes:
        """Return what the client reads, and note the end behind it."""
        data = bytes(self.server.to_client[:size])
        del self.server.to_client[:size]
        if not data:
            self.end = self.end or self.server.end
        return data

    def send(self, data: bytes) -> int:
        """Send bytes of the client."""
        self.server.from_client += data
        return len(data)

    def half_close(self) -> None:
        """Close the client's sending side."""
        self.server.client_ended = True

    def leave(self) -> None:
        """Close the client's connection."""
        self.half_close()
        self.end = self.end or LEFT

    def wait(self) -> None:
        """Do nothing: nothing is on its way."""

    def close(self) -> None:
        """Do nothing."""


class SocketLink:
    """Real connection with small buffers; `end` is how the client saw it end."""

    def __init__(self, random: Random) -> None:
        self.end = ""
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, random.choice((1, 10_000)))
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            self._client = socket.socket()
            self._client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, random.choice((1, 10_000)))
            self._client.connect(listener.getsockname())
            self.server = listener.accept()[0]
        self._client.setblocking(False)

    def _is_ready(self, end: socket.socket, events: int, timeout_ms: int = 0) -> bool:
        if end.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(end, events)
        return bool(poll.poll(timeout_ms))

    def readable(self) -> bool:
        """Whether the server can read."""
        return self._is_ready(self.server, select.POLLIN)

    def writable(self) -> bool:
        """Whether the server can write."""
        return self._is_ready(self.server, select.POLLOUT)

    def has_data(self) -> bool:
        """Whether the client can read, or see the end."""
        return not self.end and self._is_ready(self._client, select.POLLIN)

    def read(self, size: int) -> bytes:
        """Return what the client reads, and note the end behind it."""
        try:
            data = self._client.recv(size)
        except BlockingIOError:
            return b""
        except ConnectionResetError:
            self.end = RESET
            return b""
        if not data:
            self.end = FIN
        return data

    def send(self, data: bytes) -> int:
        """Send bytes of the client; return the number that was taken or is lost."""
        try:
            return self._client.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            return len(data)

    def half_close(self) -> None:
        """Close the client's sending side."""
        try:
            self._client.shutdown(socket.SHUT_WR)
        except OSError:
            # The server has reset the connection.
            return

    def leave(self) -> None:
        """Close the client's connection."""
        self.end = self.end or LEFT
        self._client.close()

    def wait(self) -> None:
        """Wait shortly for what the kernel sends by a timer."""
        self._is_ready(self._client, select.POLLIN, 3)

    def close(self) -> None:
        """Close both ends."""
        self._client.close()
        self.server.close()
