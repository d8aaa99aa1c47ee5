"""Connections to one server, kept open between exchanges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from foxtailproxy.http.client import ClientConnection
from foxtailproxy.http.errors import ConnectFailed

if TYPE_CHECKING:
    from typing import Any

CONNECT_TIMEOUT_S = 1
"""Seconds to wait for a connection to open."""

IDLE_CONNECTIONS = 64
"""Idle connections kept for one server."""


class ConnectionPool:
    """Opens connections to `address`:`port` and keeps idle ones for the next exchange."""

    def __init__(self, reactor: Any, address: str, port: int) -> None:
        self.address = address
        self.port = port
        self.open_count = 0
        self._reactor = reactor
        self._idle: list[ClientConnection] = []
        self._all: set[ClientConnection] = set()
        self._closed = False

    async def acquire(self, fresh: bool = False) -> ClientConnection:
        """A connection that no exchange uses; a new one where `fresh`.

        Raises `ConnectFailed`.
        """
        while self._idle and not fresh:
            connection = self._idle.pop()
            if not connection.closed:
                return connection
        return await self._open()

    async def _open(self) -> ClientConnection:
        endpoint = TCP4ClientEndpoint(self._reactor, self.address, self.port, CONNECT_TIMEOUT_S)
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
