"""In-memory network with simulated time, for code that opens connections through the reactor."""

from __future__ import annotations

from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from foxtailproxy.tests.http_sessions import RecordingTransport

LINK_DELAY_S = 0.0005

ESTABLISHED = b"\x01"


class FakeSocket:
    """Socket whose options have no effect."""

    def setsockopt(self, *_: Any) -> None:
        """Ignore the option."""

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Return the kernel's state of an open connection on which bytes have just arrived."""
        return ESTABLISHED + bytes(size - 1)


class SocketTransport(RecordingTransport):
    """In-memory transport with a socket, whose options have no effect."""

    def getHandle(self) -> FakeSocket:  # noqa: N802
        """Return the socket."""
        return FakeSocket()


class LinkedTransport(SocketTransport):
    """One end of a connection; `peer` is the protocol at the other end."""

    peer: Any = None

    def __init__(self, reactor: MemoryReactorClock) -> None:
        super().__init__()
        self._reactor = reactor

    def write(self, data: bytes) -> None:
        """Deliver bytes to the other end after the delay of the link."""
        self._reactor.callLater(LINK_DELAY_S, self._deliver, data)

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection at both ends."""
        self.abortConnection()

    def abortConnection(self) -> None:  # noqa: N802
        """Close the connection at both ends."""
        if not self.close_kind:
            self._reactor.callLater(LINK_DELAY_S, self._close)
        super().abortConnection()

    def _deliver(self, data: bytes) -> None:
        if not self.peer.transport.close_kind:
            self.peer.dataReceived(data)

    def _close(self) -> None:
        for protocol in (self.peer.transport.peer, self.peer):
            protocol.transport.close_kind = protocol.transport.close_kind or "closed"
            protocol.connectionLost(Failure(ConnectionDone()))


class NetworkReactor(MemoryReactorClock):
    """Reactor whose time moves only in `advance`; `server_by_port` holds factories of servers."""

    def __init__(self) -> None:
        super().__init__()
        self.server_by_port: dict[int, Any] = {}

    def connectTCP(  # noqa: N802
        self, host: Any, port: Any, factory: Any, timeout: Any = 30, bindAddress: Any = None
    ) -> Any:
        """Connect to the server at a port after the delay of the link."""
        self.callLater(LINK_DELAY_S, self._connect, factory, self.server_by_port[port])

    def _connect(self, client_factory: Any, server_factory: Any) -> None:
        client, server = client_factory.buildProtocol(None), server_factory.buildProtocol(None)
        client_transport, server_transport = LinkedTransport(self), LinkedTransport(self)
        client_transport.peer, server_transport.peer = server, client
        server.makeConnection(server_transport)
        client.makeConnection(client_transport)
