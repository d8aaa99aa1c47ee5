"""Check of a body that only the end of its connection ends against a copy of its response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.http.messages import HeaderList

FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class ResponseCopy:
    """Copy of a response, read from the bytes that follow the body of the first one.

    An upstream that sends a response twice proves where the first one ends if both have the same
    body. `is_own` tells by the status and the headers whether both are the same response.
    """

    def __init__(self, first_body: bytes, is_own: Callable[[int, HeaderList], bool]) -> None:
        self._expected = first_body
        self._is_own = is_own
        self._headers: HeaderList = []
        self._body = b""
        self._head_complete = False
        self._complete = False
        self._is_other = False
        self._parser = httptools.HttpResponseParser(self)

    @property
    def agrees(self) -> bool:
        """Whether the body of the copy so far is the same."""
        return self._head_complete and not self._is_other and self._body == self._expected

    @property
    def agrees_at_close(self) -> bool:
        """Whether the body is the same if only the end of the connection completes the copy."""
        has_framing = any(name in FRAMING_HEADERS for name, _ in self._headers)
        return self.agrees and not has_framing

    def feed(self, data: bytes) -> bool:
        """Read the next bytes; return whether the copy is complete by its own framing, or wrong."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Bytes after a complete copy are of no interest.
            self._head_complete = self._head_complete and self._complete
            return True
        return self._complete or self._is_other or not self._expected.startswith(self._body)

    # Parser callbacks

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, or a trailer."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Record that the head is complete, and whether it is that of another response."""
        if not self._complete:
            self._head_complete = True
            self._is_other = not self._is_own(self._parser.get_status_code(), self._headers)

    def on_body(self, data: bytes) -> None:
        """Add bytes to the body of the copy."""
        if not self._complete:
            self._body += data

    def on_message_complete(self) -> None:
        """Record that the copy is complete."""
        self._complete = True
