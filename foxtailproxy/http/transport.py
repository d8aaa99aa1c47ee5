"""Options of sockets, and writing to one without a turn of the reactor."""

from __future__ import annotations

import socket
from typing import Any

KEEP_ALIVE_IDLE_S = 1
"""Quiet time after which the kernel asks the other side for a sign of life, in seconds."""

KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2

USER_TIMEOUT_MS = 2000
"""Time after which a connection with data that nobody acknowledges is cut, in milliseconds; two
lost packets in a row are sent again within it."""


def enable_tcp_keepalive(transport: Any) -> None:
    """Make the kernel cut a connection whose other side has gone without a word."""
    tcp_socket = transport.getHandle()
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def write_now(transport: Any, data: bytes) -> None:
    """Send at once what the socket takes; the reactor sends the rest when there is room.

    Twisted's own `write` waits for the next turn of the reactor, which costs three system calls
    more for each message.
    """
    pending = getattr(transport, "dataBuffer", b"") or getattr(transport, "_tempDataBuffer", ())
    write_some = getattr(transport, "writeSomeData", None)
    if pending or write_some is None or transport.disconnecting:
        transport.write(data)
        return
    sent = write_some(data)
    if not isinstance(sent, int):
        # The connection is lost; the reactor finds out in its own time.
        transport.write(data)
    elif sent < len(data):
        transport.write(data[sent:])
