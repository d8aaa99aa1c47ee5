"""Watch of a server while the reader of a response without a length waits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from foxtailproxy.http.transport import EndNotice, is_ended_by_peer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from foxtailproxy.http.client import ClientConnection

WATCH_PAUSE_S = 0.5
"""Pause before a server that does not keep a connection for as long is watched by another, in s."""


class ServerWatch:
    """Watch of the server of one body that the end of its connection `transport` ends.

    The close of a server that ends may wait behind bytes that are not read. By the time that it
    arrives, another server may have the address. So the server is watched by another connection,
    which `open_connection` opens, and checked by `confirm_end` as soon as either connection ends.
    `verdict` is whether the server ran when the connection of the body ended; `None` before that.
    """

    def __init__(
        self,
        transport: Any,
        confirm_end: Callable[[], Awaitable[bool]],
        open_connection: Callable[[Callable[[], None]], Awaitable[ClientConnection | None]] | None,
    ) -> None:
        self.verdict: Deferred[bool] | None = None
        self._transport = transport
        self._confirm_end = confirm_end
        self._open_connection = open_connection
        self._notice = EndNotice(transport, self._body_connection_ended)
        self._connection: ClientConnection | None = None
        self._opened_s = 0.0
        self._closed = False

    def start(self) -> None:
        """Start to watch."""
        self._notice.start()
        ensureDeferred(self._open())  # type: ignore[arg-type]

    def close(self) -> None:
        """Stop watching, because the connection of the body has ended."""
        self._closed = True
        self._notice.close()
        if self._connection is not None:
            self._connection.abort()

    def _body_connection_ended(self) -> None:
        if not self._closed and self.verdict is None:
            self.verdict = ensureDeferred(self._confirm_end())  # type: ignore[arg-type]

    def connection_ended(self) -> None:
        """Check the server, because the connection that watches it has ended or did not open."""
        if not self._closed and self.verdict is None:
            self.verdict = ensureDeferred(self._confirm_or_reopen())  # type: ignore[assignment]

    async def _open(self) -> None:
        if self._open_connection is None:
            return
        self._opened_s = self._transport.reactor.seconds()
        self._connection = await self._open_connection(self.connection_ended)
        if self._connection is None:
            self.connection_ended()
        elif self._closed:
            self._connection.abort()

    async def _confirm_or_reopen(self) -> bool:
        """Return whether the server runs, and watch it again if its body has not ended."""
        runs = await self._confirm_end()
        if runs and (self._closed or is_ended_by_peer(self._transport)):
            # The server closed during the check, which may have been too early for that.
            return await self._confirm_end()
        if runs:
            self.verdict = None
            ensureDeferred(self._reopen())  # type: ignore[arg-type]
        return runs

    async def _reopen(self) -> None:
        reactor = self._transport.reactor
        if reactor.seconds() - self._opened_s < WATCH_PAUSE_S:
            await deferLater(reactor, WATCH_PAUSE_S)
        if not self._closed and self.verdict is None:
            await self._open()
