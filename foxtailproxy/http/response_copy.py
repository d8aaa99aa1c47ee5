"""Check of a body that only the end of its connection ends against a copy of its response."""

from __future__ import annotations

import httptools


class ResponseCopy:
    """Copy of a response, read from the bytes that follow the body of the first one.

    An upstream that sends a response twice proves where the first one ends if both have the same
    body.
    """

    def __init__(self, first_body: bytes) -> None:
        self._expected = first_body
        self._body = b""
        self._head_complete = False
        self._complete = False
        self._has_framing = False
        self._parser = httptools.HttpResponseParser(self)

    @property
    def agrees(self) -> bool:
        """Whether the body of the copy so far is the same."""
        return self._head_complete and self._body == self._expected

    @property
    def agrees_at_close(self) -> bool:
        """Whether the body is the same if only the end of the connection completes the copy."""
        return self.agrees and not self._has_framing

    def feed(self, data: bytes) -> bool:
        """Read the next bytes; return whether the copy is complete by its own framing, or wrong."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Bytes after a complete copy are of no interest.
            self._head_complete = self._head_complete and self._complete
            return True
        return self._complete or not self._expected.startswith(self._body)

    # Parser callbacks

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record whether the copy tells where its body ends."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_framing = True

    def on_headers_complete(self) -> None:
        """Record that the head of the copy is complete."""
        self._head_complete = True

    def on_body(self, data: bytes) -> None:
        """Add bytes to the body of the copy."""
        if not self._complete:
            self._body += data

    def on_message_complete(self) -> None:
        """Record that the copy is complete."""
        self._complete = True
