"""Bounds for all clients of a process together, from the memory and descriptors of its instance."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from typing import TYPE_CHECKING

from foxtailproxy.http.connection_limit import ConnectionLimit
from foxtailproxy.http.memory import MemoryAccount

if TYPE_CHECKING:
    from foxtailproxy.models.settings import LimitsSection

BYTES_PER_MB = 1_048_576

UNKNOWN_MEMORY_MB = 256.0
"""Memory of an instance that the settings do not tell."""

CONNECTION_BYTES = 12_288
"""Memory of an open connection without a request: its transport, protocol and parser."""

CONNECTIONS_MEMORY_PERCENT = 15
"""Share of the instance's memory for open connections."""


@dataclass(slots=True)
class ClientBounds:
    """Bounds that the servers for clients share."""

    memory: MemoryAccount
    connections: ConnectionLimit

    def configure(self, limits: LimitsSection) -> None:
        """Apply changed settings."""
        self.memory.limit_bytes = unfinished_bytes(limits)
        self.connections.limit = max_connections(limits)


def client_bounds(limits: LimitsSection) -> ClientBounds:
    """Return the bounds that follow from the settings."""
    return ClientBounds(
        MemoryAccount(unfinished_bytes(limits)), ConnectionLimit(max_connections(limits))
    )


def unfinished_bytes(limits: LimitsSection) -> int:
    """Return the memory for the unfinished requests of all clients, in bytes."""
    return int(_memory_bytes(limits) * limits.unfinished_percent / 100)


def max_connections(limits: LimitsSection) -> int:
    """Return the number of connections that all clients may have open."""
    system_fds = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    known = [fds for fds in (limits.max_fds, system_fds) if fds > 0]
    by_memory = int(_memory_bytes(limits) * CONNECTIONS_MEMORY_PERCENT / 100 / CONNECTION_BYTES)
    by_fds = int(min(known) * limits.client_fd_percent / 100) if known else by_memory
    return max(1, min(by_fds, by_memory))


def _memory_bytes(limits: LimitsSection) -> float:
    return (limits.memory_mb or UNKNOWN_MEMORY_MB) * BYTES_PER_MB
