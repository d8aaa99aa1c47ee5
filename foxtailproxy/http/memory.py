"""Account of the memory that the unfinished requests of all clients hold."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Protocol

import structlog

if TYPE_CHECKING:
    from foxtailproxy.http.messages import HeaderList

log = structlog.get_logger()

HEADER_LINE_BYTES = 230
"""Memory of one header line besides its text: two byte strings, and their pair in the list that was
received and in the one that is forwarded."""

EXCHANGE_BYTES = 6144
"""Memory of the objects of one request: its exchange, body, handler and call."""

SHED_TO_SHARE = 0.9
"""Share of the limit to which holders are shed, so that not each further byte sheds one."""


def head_bytes(headers: HeaderList) -> int:
    """Return the memory that decoded headers take, in bytes."""
    text = sum(len(name) + len(value) for name, value in headers)
    return len(headers) * HEADER_LINE_BYTES + text


class MemoryHolder(Protocol):
    """Connection whose requests hold memory."""

    def shed(self) -> None:
        """Close the connection and free what its requests hold."""


class MemoryAccount:
    """Memory of all holders together, in bytes, which stays below `limit_bytes`.

    `shed_count` counts the holders that were shed.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.shed_count = 0
        self._bytes_by_holder: dict[MemoryHolder, int] = {}

    def charge(self, holder: MemoryHolder, size: int) -> None:
        """Record that `holder` holds `size` bytes now; shed the largest ones above the limit."""
        self.total_bytes += size - self._bytes_by_holder.get(holder, 0)
        self._bytes_by_holder[holder] = size
        if self.total_bytes > self.limit_bytes:
            self.shed()

    def release(self, holder: MemoryHolder) -> None:
        """Record that `holder` holds nothing."""
        self.total_bytes -= self._bytes_by_holder.pop(holder, 0)

    def shed(self) -> None:
        """Shed the holders of the most memory until the total is well below the limit."""
        target_bytes = self.limit_bytes * SHED_TO_SHARE
        held_bytes, holders = self.total_bytes, len(self._bytes_by_holder)
        heap = [(-size, id(holder), holder) for holder, size in self._bytes_by_holder.items()]
        heapq.heapify(heap)
        shed_count = 0
        while heap and self.total_bytes > target_bytes:
            holder = heapq.heappop(heap)[2]
            if holder in self._bytes_by_holder:
                self.release(holder)
                holder.shed()
                shed_count += 1
        self.shed_count += shed_count
        log.warning(
            "clients_shed",
            closed=shed_count,
            clients=holders,
            held_bytes=held_bytes,
            left_bytes=self.total_bytes,
            limit_bytes=self.limit_bytes,
        )
