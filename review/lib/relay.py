"""A relay in front of a server, whose open connections can be made silent for good."""

from __future__ import annotations

import asyncio


class Relay:
    """Passes bytes between its address and a server; `silence` keeps connections open but mute.

    The server sees the relay's own IP address.
    """

    def __init__(self) -> None:
        self.upstream: tuple[str, int] | None = None
        self._live: set[asyncio.Task[None]] = set()
        self._mute: list[asyncio.StreamWriter] = []
        self._writers: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self._server: asyncio.Server | None = None

    async def start(self, listen: tuple[str, int]) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._accept, *listen)

    def heal(self, upstream: tuple[str, int]) -> None:
        """Pass on new connections again; those that were silenced end."""
        self.upstream = upstream
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
