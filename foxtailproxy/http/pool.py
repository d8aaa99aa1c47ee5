"""Pool of persistent connections to one server."""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING

import structlog
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import deferLater

from foxtailproxy.clock import AWAKE_MS
from foxtailproxy.http.client import ClientConnection
from foxtailproxy.http.errors import ConnectClosed, ConnectFailed, ConnectRefused, ConnectReset
from foxtailproxy.http.stray_head import SeenResponses

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

log = structlog.get_logger()

MS_PER_SECOND = 1000

CONFIRM_TIMEOUT_MS = 100
"""Time in milliseconds after which a server that does not refuse a connection counts as running."""

CONNECT_TIMEOUT_MS = 1000
"""Default timeout for opening a connection, in milliseconds."""

MAX_IDLE_CONNECTIONS = 64
"""Maximum number of idle connections kept open to one server."""

IDLE_TIMEOUT_MARGIN_MS = 1000
"""Time before the end of the server's keep-alive timeout from which a connection is not reused, in
milliseconds; the server states the timeout in whole seconds."""

DEFAULT_IDLE_TIMEOUT_MS = 8000
"""Maximum idle time where the server states no keep-alive timeout, in milliseconds."""

CONFIRM_DELAY_MS = 20
"""Time from the end of a connection to the verdict whether the server runs, in milliseconds. A
process that was killed accepted connections for up to 2.1 ms after the end of an earlier one."""


class ConnectionPool:
    """Pool of connections to `address`:`port` that reuses idle ones.

    `leaving` is set once the server has announced that it ends, `replaced` once another one has
    that address.
    """

    def __init__(
        self,
        reactor: Any,
        address: str,
        port: int,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
    ) -> None:
        self.address = address
        self.port = port
        self.opened_count = 0
        self.leaving = False
        self.replaced = False
        self._reactor = reactor
        self._connect_timeout_ms = connect_timeout_ms
        self._seen_responses = SeenResponses()
        self._idle: list[ClientConnection] = []
        self._open_connections: set[ClientConnection] = set()
        self._closed = False

    async def acquire(
        self, force_new: bool = False, max_idle_ms: float | None = None
    ) -> ClientConnection:
        """Return a connection that is not in use; a new one where `force_new`.

        A connection that has been idle for longer than `max_idle_ms` is not reused. Raises
        `ConnectFailed`.
        """
        self._close_expired()
        if force_new:
            self._close_unused()
        while self._idle and not force_new:
            connection = self._idle[-1]
            if max_idle_ms is not None and self._idle_ms(connection) > max_idle_ms:
                break
            self._idle.pop()
            if not connection.closed:
                return connection
        connection = await self._open()
        self._close_unused()
        return connection

    def _idle_ms(self, connection: ClientConnection) -> float:
        return self._reactor.seconds() * 1000 - connection.idle_since_ms

    def _close_expired(self) -> None:
        """Close the idle connections that the server is about to close; the oldest come first."""
        while self._idle:
            connection = self._idle[0]
            timeout_ms = connection.keep_alive_timeout_ms
            limit_ms = (
                DEFAULT_IDLE_TIMEOUT_MS
                if timeout_ms is None
                else timeout_ms - IDLE_TIMEOUT_MARGIN_MS
            )
            if self._idle_ms(connection) < limit_ms:
                return
            self._idle.pop(0)
            connection.abort()

    async def _open(self, timeout_ms: float | None = None) -> ClientConnection:
        timeout_ms = self._connect_timeout_ms if timeout_ms is None else timeout_ms
        started_ms = self._reactor.seconds() * MS_PER_SECOND
        try:
            connection = await self._connect(timeout_ms)
        except ConnectFailed:
            late_ms = self._reactor.seconds() * MS_PER_SECOND - started_ms - timeout_ms
            if late_ms <= AWAKE_MS:
                raise
            # The timeout passed while this process was suspended.
            connection = await self._connect(timeout_ms)
        connection.on_idle = self.release
        connection.on_closed = self._remove
        connection.confirm_end = self.may_run
        connection.open_watch = self.open_watch
        connection.seen_responses = self._seen_responses
        self._open_connections.add(connection)
        self.opened_count += 1
        return connection

    async def _connect(self, timeout_ms: float) -> ClientConnection:
        endpoint = TCP4ClientEndpoint(
            self._reactor, self.address, self.port, timeout_ms / MS_PER_SECOND
        )
        try:
            return await connectProtocol(endpoint, ClientConnection())
        except ConnectionRefusedError as error:
            raise ConnectRefused(str(error)) from error
        except Exception as error:
            if getattr(error, "osError", None) == errno.ECONNRESET:
                raise ConnectReset(str(error)) from error
            raise ConnectFailed(str(error)) from error

    async def may_run(self) -> bool:
        """Return whether the server may still run: nothing shows that it has ended.

        A connection that stays open shows that it runs; one that is not made in time shows nothing.
        One that is refused shows that the server has ended, unless it is `leaving` and has an
        earlier one open: then it only finishes its work. One that is closed or reset at once comes
        from a server that is full, which has earlier ones open, or from a relay in front of one
        that has ended. Once the server is `replaced`, the connection would be to another.
        """
        earlier_connections = list(self._open_connections)
        check = await self._checked_connection()
        if isinstance(check, ConnectReset):
            # The process may have ended after the connection was made.
            check = await self._checked_connection()
        if isinstance(check, ClientConnection):
            self._keep_unused(check)
            return True
        if isinstance(check, ConnectRefused) and not self.leaving:
            return False
        if isinstance(check, ConnectRefused | ConnectReset | ConnectClosed):
            return any(not connection.ended_by_peer for connection in earlier_connections)
        return True

    async def _checked_connection(self) -> ClientConnection | ConnectFailed:
        """Open a connection; return it once a server that has ended would have ended it."""
        check = await self._check_connection()
        await deferLater(self._reactor, CONFIRM_DELAY_MS / MS_PER_SECOND)
        # The timers of a reactor that was held up run before it reads from its sockets.
        await deferLater(self._reactor, 0)
        if self.replaced:
            if isinstance(check, ClientConnection):
                check.abort()
            return ConnectRefused("replaced")
        if isinstance(check, ClientConnection) and check.closed:
            check = ConnectClosed() if check.closed_regularly else ConnectReset()
        if isinstance(check, ConnectFailed):
            log.info("server_check_failed", port=self.port, error=type(check).__name__)
        return check

    async def _check_connection(self) -> ClientConnection | ConnectFailed:
        if self.replaced:
            return ConnectRefused("replaced")
        try:
            return await self._open(CONFIRM_TIMEOUT_MS)
        except ConnectFailed as error:
            return error

    async def open_watch(self, on_ended: Callable[[], None]) -> ClientConnection | None:
        """Open a connection without exchanges, whose end tells that the server may have ended.

        Returns `None` if that is not possible. The caller is to abort it.
        """
        if self.replaced:
            return None
        try:
            watch = await self._open(CONFIRM_TIMEOUT_MS)
        except ConnectFailed:
            return None

        def ended(connection: ClientConnection) -> None:
            self._remove(connection)
            on_ended()

        watch.on_closed = ended
        return None if watch.closed else watch

    def _keep_unused(self, connection: ClientConnection) -> None:
        if self._idle or any(other.busy for other in self._open_connections):
            connection.abort()
        else:
            self.release(connection)

    def _close_unused(self) -> None:
        """Close idle connections that had no exchange; a server may wait for one before others."""
        for connection in list(self._idle):
            if not connection.exchange_count:
                connection.abort()

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection that is not in use any more for the next exchange, or close it."""
        if self._closed or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            connection.abort()
        else:
            connection.was_idle = True
            connection.idle_since_ms = self._reactor.seconds() * 1000
            self._idle.append(connection)

    def is_at_address_of(self, other: ConnectionPool) -> bool:
        """Return whether the connections of both pools go to the same address."""
        return (self.address, self.port) == (other.address, other.port)

    def _remove(self, connection: ClientConnection) -> None:
        self._open_connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close_idle_connections(self) -> None:
        """Close all idle connections, so that the next exchange opens a new one."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def close(self) -> None:
        """Close idle connections now and the others when their exchange ends."""
        self._closed = True
        self.close_idle_connections()
