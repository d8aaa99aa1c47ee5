"""A relay in front of a server, whose open connections can be made silent for good."""

from __future__ import annotations

import asyncio
import ctypes
import socket
import struct
from typing import Any

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
RETURN_NOTHING = struct.pack("HBBI", 0x06, 0, 0, 0)
"""A packet filter that drops each packet, so that the kernel does not acknowledge it either."""


def _drop_packets(sock: Any) -> None:
    code = ctypes.create_string_buffer(RETURN_NOTHING)
    program = struct.pack("HL", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


class Relay:
    """Passes bytes between its address and a server; `silence` keeps connections open but mute.

    `partition` has them acknowledge nothing and makes new ones hang, as if no packet arrived.

    The server sees the relay's own IP address.
    """

    def __init__(self) -> None:
        self.upstream: tuple[str, int] | None = None
        self._live: set[asyncio.Task[None]] = set()
        self._mute: list[asyncio.StreamWriter] = []
        self._writers: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self._server: asyncio.Server | None = None
        self._dropping: list[Any] = []

    async def start(self, listen: tuple[str, int]) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._accept, *listen)

    def heal(self, upstream: tuple[str, int]) -> None:
        """Pass on new connections again; those that were silenced end."""
        self.upstream = upstream
        for sock in self._dropping:
            if sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        self._dropping = []
        for writer in self._mute:
            writer.close()
        self._mute.clear()

    async def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._live:
            task.cancel()
        for writer in [*self._mute, *self._writers.values()]:
            writer.close()
        await asyncio.sleep(0.05)

    def silence(self) -> None:
        """Pass on nothing more on open connections, and answer no new ones for now."""
        self.upstream = None
        for task in list(self._live):
            self._mute.append(self._writers[task])
            task.cancel()

    def partition(self) -> None:
        """Drop all packets of open connections and of attempts to open one."""
        self.silence()
        assert self._server is not None
        self._dropping = [
            *self._server.sockets,
            *(writer.get_extra_info("socket") for writer in self._mute),
        ]
        for sock in self._dropping:
            _drop_packets(sock)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.upstream is None:
            self._mute.append(writer)
            return
        own_ip = writer.get_extra_info("sockname")[0]
        upstream_reader, upstream_writer = await asyncio.open_connection(
            *self.upstream, local_addr=(own_ip, 0)
        )
        forward = asyncio.ensure_future(_copy(reader, upstream_writer))
        back = asyncio.ensure_future(_copy(upstream_reader, writer))
        for task, own_writer in ((forward, upstream_writer), (back, writer)):
            self._live.add(task)
            self._writers[task] = own_writer
            task.add_done_callback(self._live.discard)


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.close()
    except ConnectionError:
        writer.close()
