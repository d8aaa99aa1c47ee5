"""TCP options, and writes that bypass the reactor."""

from __future__ import annotations

import ctypes
import errno
import fcntl
import select
import socket
import struct
import termios
from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

if TYPE_CHECKING:
    from collections.abc import Callable

log = structlog.get_logger()

KEEP_ALIVE_IDLE_S = 1
"""Idle time after which the kernel sends the first keep-alive probe, in seconds."""

KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2

USER_TIMEOUT_MS = 2000
"""Time after which a connection with unacknowledged data is aborted, in milliseconds; within it,
two packets lost in a row are retransmitted."""


def enable_tcp_keepalive(transport: Any) -> None:
    """Make the kernel abort a connection whose remote end has gone without closing it."""
    tcp_socket = transport.getHandle()
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8
"""States, in the first byte of the kernel's `TCP_INFO`, of a connection that the other end reset,
and of one that it closed."""


def is_ended_by_peer(transport: Any) -> bool:
    """Return whether the remote end closed or reset a connection, also behind bytes not read."""
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:
        return False
    state: bytes = get_handle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state[0] in (TCP_CLOSE, TCP_CLOSE_WAIT)


LAST_DATA_RECEIVED_OFFSET = 52
"""Offset in the kernel's `TCP_INFO` of the milliseconds since bytes last arrived, 32 bits long."""


def ms_since_last_arrival(transport: Any) -> int:
    """Return the time since the kernel received the last bytes from the remote end.

    A connection may have waited in a listen queue, or this process may have been suspended.
    """
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:
        return 0
    size = LAST_DATA_RECEIVED_OFFSET + struct.calcsize("I")
    info: bytes = get_handle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    elapsed_ms: int = struct.unpack_from("I", info, LAST_DATA_RECEIVED_OFFSET)[0]
    return elapsed_ms


@implementer(IReadDescriptor)
class EndNotice:
    """Notice, while a connection is not read, that the remote end closed or reset it.

    `on_ended` is called once, unless the notice is closed first.
    """

    def __init__(self, transport: Any, on_ended: Callable[[], None]) -> None:
        self._reactor = transport.reactor
        self._handle = transport.getHandle()
        self._on_ended = on_ended
        self._epoll = select.epoll()

    def start(self) -> None:
        """Wait for the end of the connection."""
        self._epoll.register(self._handle, select.EPOLLRDHUP)
        self._reactor.addReader(self)

    def close(self) -> None:
        """Stop waiting; has no effect the second time."""
        if not self._epoll.closed:
            self._reactor.removeReader(self)
            self._epoll.close()

    # Twisted read descriptor

    def fileno(self) -> int:
        """Return the descriptor that becomes readable when the connection ends."""
        return self._epoll.fileno()

    def doRead(self) -> None:  # noqa: N802
        """Report the end of the connection."""
        self.close()
        self._on_ended()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Stop waiting, because the reactor stops."""
        self.close()

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name of this descriptor in the reactor's log."""
        return type(self).__name__


def has_unsent_bytes(transport: Any) -> bool:
    """Return whether bytes that were written are still in the memory of this process."""
    return bool(getattr(transport, "dataBuffer", b"") or getattr(transport, "_tempDataBuffer", ()))


def unsent_bytes(transport: Any) -> int:
    """Return the number of bytes that were written and are still in the memory of this process."""
    return len(getattr(transport, "dataBuffer", b"")) + getattr(transport, "_tempDataLen", 0)


def abort_now(transport: Any) -> None:
    """Abort a connection and free its descriptor; must not be called while it is being read.

    `abortConnection` frees it in the next iteration of the reactor, before which many other
    connections may be accepted or read.
    """
    if getattr(transport, "socket", None) is None:
        transport.abortConnection()
    else:
        transport.connectionLost(Failure(ConnectionAborted()))


def has_unacknowledged_bytes(transport: Any) -> bool:
    """Return whether the remote end has yet to acknowledge bytes that the kernel has for it."""
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:
        return False
    queued = fcntl.ioctl(get_handle(), termios.TIOCOUTQ, struct.pack("i", 0))
    return bool(struct.unpack("i", queued)[0])


def end_writing_once_sent(transport: Any) -> None:
    """Close the sending side of a connection after all bytes that were written to it are sent."""
    # Twisted resumes a paused producer in place of the close, and does not come back to it.
    if transport.producer is not None:
        transport.unregisterProducer()
    transport.loseWriteConnection()


LOAD_BYTE, JUMP_IF_SET, RETURN = 0x30, 0x45, 0x06
FLAGS_OFFSET, SYN_FLAG = 13, 0x02
WHOLE_PACKET = 0xFFFF_FFFF
SYN_DROPPER = (
    (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (JUMP_IF_SET, 0, 1, SYN_FLAG),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, WHOLE_PACKET),
)
"""Packet filter for a listening socket, as instructions of the kernel's `struct sock_filter`: it
drops the packets that begin a connection and passes those that complete one."""

SO_ATTACH_FILTER = 26
"""Socket option that Python does not name; its number is the same on x86-64 and arm64."""


def _drop_new_clients(listener: socket.socket) -> None:
    """Make the kernel ignore clients that begin to connect, where it supports that."""
    instructions = b"".join(struct.pack("HBBI", *instruction) for instruction in SYN_DROPPER)
    buffer = ctypes.create_string_buffer(instructions)
    program = struct.pack("HP", len(SYN_DROPPER), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        log.info("clients_not_held_off", error=repr(error))


def accept_waiting_and_close(port: Any, backlog: int) -> None:
    """Accept the clients in the listen queue, then close the port before others can join them.

    The kernel resets the connections that are in the queue when the port is closed; `stopListening`
    closes it in the next iteration of the reactor only. A client that begins to connect between the
    last accept and the close is refused when it repeats its first packet.
    """
    # The kernel's queue holds one more than it is told.
    port.numberAccepts = backlog + 1
    port.doRead()
    _drop_new_clients(port.socket)
    port.numberAccepts = backlog + 1
    port.doRead()
    port.connectionLost(Failure(ConnectionDone()))


def write_now(transport: Any, data: bytes) -> int:
    """Send as much as the socket accepts immediately; the reactor sends the rest later.

    Return 0, or the error number with which the connection was found to be lost, which the reactor
    detects later. Twisted's `write` waits for the next iteration of the reactor, which costs three
    more system calls for each message.
    """
    stream = getattr(transport, "socket", None)
    if has_unsent_bytes(transport) or stream is None or transport.disconnecting:
        transport.write(data)
        return 0
    try:
        sent = stream.send(data)
    except (BlockingIOError, InterruptedError):
        sent = 0
    except OSError as error:
        transport.write(data)
        return error.errno or errno.EIO
    if sent < len(data):
        transport.write(data[sent:])
    return 0
