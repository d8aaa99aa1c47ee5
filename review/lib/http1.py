"""A small HTTP/1.1 reader and writer on asyncio streams, for stand-ins and callers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

CRLF = b"\r\n"


class Incomplete(Exception):
    """The connection ended before the message was complete."""


@dataclass
class Message:
    """A request or a response; `start` holds the three parts of its first line."""

    start: tuple[str, str, str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; `None` at a clean end. Raises `Incomplete` or `ConnectionError`."""
    head = await _read_head(reader)
    if head is None:
        return None
    lines = head.decode("latin-1").split("\r\n")
    parts = lines[0].split(" ", 2) + ["", ""]
    message = Message((parts[0], parts[1], parts[2]))
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            message.headers[name.strip().lower()] = value.strip()
    if parts[0].startswith("HTTP/") and message.status < 200:
        return await read_message(reader)
    message.body = await _read_body(reader, message.headers)
    return message


async def _read_head(reader: asyncio.StreamReader) -> bytes | None:
    try:
        return (await reader.readuntil(CRLF + CRLF))[:-4]
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Incomplete(f"head ends after {len(error.partial)} bytes") from error
        return None


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return await _read_chunks(reader)
        length = int(headers.get("content-length", "0"))
        return await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise Incomplete(f"body ends after {len(error.partial)} bytes") from error


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    chunks: list[bytes] = []
    while True:
        size = int((await reader.readuntil(CRLF)).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return b"".join(chunks)
        chunks.append(chunk[:-2])


def format_message(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a Content-Length if it has a body or is a response."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    if body or first_line.startswith("HTTP/"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + CRLF + CRLF + body
