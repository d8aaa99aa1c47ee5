"""Connections to one server, kept open between exchanges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from foxtailproxy.http.client import ClientConnection
from foxtailproxy.http.errors import ConnectFailed

if TYPE_CHECKING:
    from typing import Any

CONNECT_TIMEOUT_MS = 1000
"""Longest wait for a connection to open, in milliseconds, where the pool is given none."""

IDLE_CONNECTIONS = 64
"""Idle connections kept for one server."""

IDLE_MARGIN_MS = 1000
"""Time before the end of a server's idle timeout from which a connection is not used again; the
timeout is stated in whole seconds."""

DEFAULT_IDLE_MS = 8000
"""Longest idle time where a server states no timeout, in milliseconds."""


class ConnectionPool:
    """Opens connections to `address`:`port` and keeps idle ones for the next exchange."""

    def __init__(
        self,
        reactor: Any,
        address: str,
        port: int,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
    ) -> None:
        self.address = address
        self.port = port
        self.open_count = 0
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_ms / 1000
        self._idle: list[ClientConnection] = []
        self._all: set[ClientConnection] = set()
        self._closed = False

    async def acquire(
        self, fresh: bool = False, longest_idle_ms: float | None = None
    ) -> ClientConnection:
        """A connection that no exchange uses; a new one where `fresh`.

        One that has been idle for longer than `longest_idle_ms` is not used. Raises
        `ConnectFailed`.
        """
        self._drop_old()
        while self._idle and not fresh:
            connection = self._idle[-1]
            if longest_idle_ms is not None and self._idle_ms(connection) > longest_idle_ms:
                break
            self._idle.pop()
            if not connection.closed:
                return connection
        return await self._open()

    def _idle_ms(self, connection: ClientConnection) -> float:
        return self._reactor.seconds() * 1000 - connection.idle_since_ms

    def _drop_old(self) -> None:
        """Close the connections that the server is about to close; the oldest come first."""
        while self._idle:
            connection = self._idle[0]
            stated_ms = connection.stated_idle_ms
            limit_ms = DEFAULT_IDLE_MS if stated_ms is None else stated_ms - IDLE_MARGIN_MS
            if self._idle_ms(connection) < limit_ms:
                return
            self._idle.pop(0)
            connection.abort()

    async def _open(self) -> ClientConnection:
        endpoint = TCP4ClientEndpoint(
            self._reactor, self.address, self.port, self._connect_timeout_s
        )
        try:
            connection = await connectProtocol(endpoint, ClientConnection())
        except Exception as error:
            raise ConnectFailed(str(error)) from error
        connection.on_idle = self._release
        connection.on_closed = self._forget
        self._all.add(connection)
        self.open_count += 1
        return connection

    def _release(self, connection: ClientConnection) -> None:
        if self._closed or len(self._idle) >= IDLE_CONNECTIONS:
            connection.abort()
        else:
            connection.idle_since_ms = self._reactor.seconds() * 1000
            self._idle.append(connection)

    def _forget(self, connection: ClientConnection) -> None:
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def drop_idle(self) -> None:
        """Close the idle connections, so that the next exchange opens a new one."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def close(self) -> None:
        """Close every idle connection now, and each other one when its exchange ends."""
        self._closed = True
        self.drop_idle()
