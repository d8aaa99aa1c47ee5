"""Writing to a socket without a turn of the reactor."""

from __future__ import annotations

from typing import Any


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
