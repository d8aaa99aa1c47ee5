"""Limit of the open connections of all clients, which share the descriptors with the node's own."""

from __future__ import annotations

from typing import Protocol

import structlog

log = structlog.get_logger()

LOG_EVERY = 100
"""Number of connections closed for each line in the log after the first."""


class LimitedConnection(Protocol):
    """Connection of a client."""

    @property
    def waits_for_client(self) -> bool:
        """Whether the client, and not the node, has to act next."""

    def shed(self) -> None:
        """Close the connection and free its descriptor."""


class ConnectionLimit:
    """Open connections of all clients, at most `limit`, by the time of their last activity.

    `closed_count` counts those that were closed to make room, or because there was none.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.closed_count = 0
        # In the order of the last activity, the earliest first.
        self._connections: dict[LimitedConnection, None] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def make_room(self) -> bool:
        """Return whether another connection may open; close the longest silent one if it must."""
        if len(self._connections) < self.limit:
            return True
        self._record_closed()
        for connection in self._connections:
            if connection.waits_for_client:
                self.remove(connection)
                connection.shed()
                return True
        return False

    def _record_closed(self) -> None:
        if self.closed_count % LOG_EVERY == 0:
            log.warning("client_connections_full", limit=self.limit, closed=self.closed_count)
        self.closed_count += 1

    def touch(self, connection: LimitedConnection) -> None:
        """Record that a connection opened or that its client sent bytes."""
        self._connections.pop(connection, None)
        self._connections[connection] = None

    def remove(self, connection: LimitedConnection) -> None:
        """Record that a connection has closed."""
        self._connections.pop(connection, None)
