"""Stand-in for the network between two processes: a TCP relay that injects faults.

Usage: python -m standins.relay --port 7300 --to 127.0.0.1:7102 --control 7301

| call to the control port | meaning |
|---|---|
| `POST /silence` | all open connections silently drop their data from now on; new ones work |
| `POST /refuse` | as `/silence`, and new connections are reset at once |
| `POST /reset` | all open connections are reset |
| `POST /delay?ms=50` | data received from now on is forwarded after this delay |
| `POST /cut?way=to` | data to the target address (`to`), or from it (`from`), is dropped |
| `POST /heal` | all faults end; connections that dropped data are reset |
| `GET /counters` | numbers of accepted connections and forwarded bytes |
"""

from __future__ import annotations

import sys
from collections import deque
from collections.abc import Callable
from typing import Any

import click
import msgspec
from klein import Klein
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.web.server import Site

from foxtailproxy.http.transport import write_now


class Side(Protocol):
    """One of the two TCP connections that the relay joins.

    `accepted` marks the one that a client opened; a `silent` one drops the data that it receives.
    """

    transport: Any = None

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.silent = False
        self.accepted = False
        self.other_side: Side | None = None
        self.pending_data: list[bytes] = []
        self._delayed: deque[Callable[[], None]] = deque()
        self._due_s = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection with the relay."""
        self.transport.setTcpNoDelay(True)
        self.relay.sides.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward data, unless the connection is silent."""
        if self.relay.cut_direction == ("to" if self.accepted else "from"):
            self.silent = True
        if self.silent:
            return
        self.relay.byte_count += len(data)
        self._in_order(lambda: self._forward(data))

    def _in_order(self, action: Callable[[], None]) -> None:
        """Run an action after the delay, and after those before it."""
        loop: Any = reactor
        now_s = loop.seconds()
        self._due_s = max(self._due_s, now_s + self.relay.delay_ms / 1000)
        if self._due_s > now_s or self._delayed:
            self._delayed.append(action)
            loop.callLater(self._due_s - now_s, lambda: self._delayed.popleft()())
        else:
            action()

    def _forward(self, data: bytes) -> None:
        if self.other_side is None:
            self.pending_data.append(data)
        elif self.other_side.transport is not None and self.other_side.connected:
            write_now(self.other_side.transport, data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """End the other side in the same way, unless this one is silent."""
        self.relay.sides.discard(self)
        if not self.silent:
            closed = reason.check(ConnectionDone) is not None
            self._in_order(lambda: self._end_other_side(closed))

    def _end_other_side(self, closed: bool) -> None:
        if self.other_side is None:
            return
        if closed:
            self.other_side.transport.loseConnection()
        else:
            self.other_side.transport.abortConnection()


class Relay(Factory):
    """Factory that accepts connections and relays each to one address."""

    noisy = False

    def __init__(self, address: str, port: int) -> None:
        self.sides: set[Side] = set()
        self.connection_count = 0
        self.byte_count = 0
        self.refusing = False
        self.delay_ms = 0.0
        self.cut_direction = ""
        self.connect_to(address, port)

    def connect_to(self, address: str, port: int) -> None:
        """Relay the connections that are opened from now on to an address."""
        self._endpoint = TCP4ClientEndpoint(reactor, address, port)

    def buildProtocol(self, addr: Any) -> Side:  # noqa: N802
        """Accept a connection and connect to the target address."""
        self.connection_count += 1
        client_side = Side(self)
        client_side.accepted = True
        if self.refusing:
            loop: Any = reactor
            loop.callLater(0, lambda: client_side.transport.abortConnection())
            return client_side
        connecting = connectProtocol(self._endpoint, Side(self))
        connecting.addCallbacks(
            lambda server_side: self._link_sides(client_side, server_side),
            lambda _: client_side.transport.loseConnection(),
        )
        return client_side

    @staticmethod
    def _link_sides(client_side: Side, server_side: Side) -> None:
        client_side.other_side, server_side.other_side = server_side, client_side
        for data in client_side.pending_data:
            server_side.transport.write(data)


class RelayControl:
    """HTTP interface that injects faults."""

    app = Klein()

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    @app.route("/silence", methods=["POST"])
    def silence(self, request: Any) -> bytes:
        """Silence all open connections."""
        for side in self.relay.sides:
            side.silent = True
        return b"{}"

    @app.route("/refuse", methods=["POST"])
    def refuse(self, request: Any) -> bytes:
        """Silence all open connections and reset new ones."""
        self.relay.refusing = True
        return self.silence(request)

    @app.route("/reset", methods=["POST"])
    def reset(self, request: Any) -> bytes:
        """Reset all open connections."""
        for side in list(self.relay.sides):
            side.transport.abortConnection()
        return b"{}"

    @app.route("/delay", methods=["POST"])
    def delay(self, request: Any) -> bytes:
        """Delay the data received from now on."""
        self.relay.delay_ms = float(request.args[b"ms"][0])
        return b"{}"

    @app.route("/cut", methods=["POST"])
    def cut(self, request: Any) -> bytes:
        """Drop the data of one direction."""
        self.relay.cut_direction = request.args[b"way"][0].decode()
        return b"{}"

    @app.route("/heal", methods=["POST"])
    def heal(self, request: Any) -> bytes:
        """End all faults and reset the connections that dropped data."""
        self.relay.refusing = False
        self.relay.delay_ms = 0.0
        self.relay.cut_direction = ""
        for side in list(self.relay.sides):
            if side.silent:
                side.transport.abortConnection()
        return b"{}"

    @app.route("/counters", methods=["GET"])
    def counters(self, request: Any) -> bytes:
        """Return the numbers of accepted connections and forwarded bytes."""
        return msgspec.json.encode(
            {"connections": self.relay.connection_count, "bytes": self.relay.byte_count}
        )


@click.command()
@click.option("--address", default="127.0.0.1")
@click.option("--port", type=int, required=True)
@click.option("--to", required=True, help="Address to relay to, as ip:port.")
@click.option("--control", type=int, required=True)
def main(address: str, port: int, to: str, control: int) -> None:
    """Run the stand-in until it is stopped."""
    loop: Any = reactor
    host, _, target_port = to.rpartition(":")
    relay = Relay(host, int(target_port))
    site = Site(RelayControl(relay).app.resource())
    site.noisy = False
    loop.listenTCP(port, relay, interface=address)
    loop.listenTCP(control, site, interface=address)
    print("ready", file=sys.stderr, flush=True)
    loop.run()


if __name__ == "__main__":
    main()
