"""Search for the head of another response inside the bytes of a body."""

from __future__ import annotations

import re
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtailproxy.http.messages import HeaderList, ResponseHead

START = b"HTTP/"
STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [1-9][0-9]{2}(?: [^\r\n]*)?")
STATUS_START = re.compile(rb"HTTP/[0-9]\.[0-9] [1-9][0-9]{2}")
STATUS_IN_VALUE = re.compile(rb"[\w.+/-]HTTP/[0-9]\.[0-9] [1-9][0-9]{2}(?: |$)")
INTERIM_START = re.compile(rb"HTTP/[0-9]\.[0-9] 1[0-9]{2}")
STATUS_BYTES = len(b"HTTP/1.1 200")
HEADER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*")
LINE_END = b"\r\n"

MAX_LINE_BYTES = 8192
"""Maximum size of a line of a head that is searched for; a longer one is taken for text."""

MAX_STATUS_LINE_BYTES = 256

MAX_SEEN_RESPONSES = 2048
"""Maximum number of earlier requests to a server whose responses are recognized."""

MAX_RECENT_HEADS = 64
"""Number of responses of a server whose copies are recognized if they are cut inside their head."""


class SeenResponses:
    """Ids of the responses to the latest requests to one server, and the latest heads."""

    def __init__(self) -> None:
        self._ids: dict[str, None] = {}
        self.recent_heads: deque[ResponseHead] = deque(maxlen=MAX_RECENT_HEADS)

    def add(self, response_id: str) -> None:
        """Add the id of a response; it is empty if the headers do not tell whose it is."""
        self._ids.pop(response_id, None)
        self._ids[response_id] = None
        if len(self._ids) > MAX_SEEN_RESPONSES:
            del self._ids[next(iter(self._ids))]

    def __contains__(self, response_id: str | None) -> bool:
        """Return whether a response with this id was seen; one without an id is not found."""
        return bool(response_id) and response_id in self._ids


class StrayHeadScanner:
    """Scanner for heads with a header for which `is_stray` is true.

    A body may quote a response, so a head counts only if one of its headers says whose it is.
    `stray_start` is the offset in the body of the head that was found, `stray_header` that header,
    and `size` the number of bytes that were scanned.
    """

    __slots__ = ("stray_header", "stray_start", "_is_stray", "_pending", "_in_head", "size")

    def __init__(self, is_stray: Callable[[HeaderList], bool]) -> None:
        self.stray_header: HeaderList = []
        self.stray_start = -1
        self._is_stray = is_stray
        self._pending = bytearray()
        self._in_head = False
        self.size = 0

    def feed(self, data: bytes) -> bool:
        """Scan the next bytes of the body; return whether a stray head is among them."""
        self.size += len(data)
        window = self._pending
        searched = max(0, len(window) - 1)
        window += data
        position = 0
        while True:
            if not self._in_head:
                position = self._find_status_line(window, position)
            limit = MAX_LINE_BYTES if self._in_head else MAX_STATUS_LINE_BYTES
            line_end = window.find(LINE_END, max(position, searched), position + limit)
            if line_end < 0 and len(window) - position <= limit:
                del window[:position]
                return False
            line = bytes(window[position:line_end]) if line_end >= 0 else b""
            was_in_head = self._in_head
            if self._examine(line, position):
                return True
            if self._in_head:
                position = line_end + len(LINE_END)
            elif not was_in_head:
                # Another head may begin inside the line that is no status line.
                position += len(START)

    def _find_status_line(self, window: bytearray, position: int) -> int:
        """Return where a status line begins or may begin; the size of `window` if nowhere."""
        match = STATUS_START.search(window, position)
        if match is not None:
            return match.start()
        start = window.find(START, max(position, len(window) - STATUS_BYTES + 1))
        return start if start >= 0 else len(window) - _partial_start_size(window)

    def _examine(self, line: bytes, position: int) -> bool:
        """Process a line of a head, or the first one; return whether it makes the head stray."""
        if not self._in_head:
            self._in_head = STATUS_LINE.fullmatch(line) is not None
            if self._in_head:
                self.stray_header = []
                self.stray_start = self.size - len(self._pending) + position
            return False
        self._in_head = HEADER_LINE.fullmatch(line) is not None
        if not self._in_head:
            return False
        name, _, value = line.partition(b":")
        self.stray_header = [(name.lower(), value.strip())]
        return self._is_stray(self.stray_header)

    def ends_like_head(self, head: ResponseHead) -> bool:
        """Return whether the bytes so far end inside what may be a copy of `head`."""
        line = bytes(self._pending).removesuffix(b"\r").lower()
        status_line = b"http/1.1 %d %s" % (head.status, head.reason.lower())
        # A copy may begin inside a line, also inside one of a head that the body quotes.
        status_start = line[max(0, line.rfind(START.lower())) :]
        if len(status_start) >= STATUS_BYTES and status_line.startswith(status_start):
            return True
        if not self._in_head:
            return False
        if line or not self.stray_header:
            return any((b"%s: %s" % pair).lower().startswith(line) for pair in head.headers)
        _, value = self.stray_header[0]
        return self.stray_header[0] in head.headers or value.lower().endswith(status_line)


def holds_another_head(head: ResponseHead, response_id: Callable[[HeaderList], str | None]) -> bool:
    """Return whether a head was cut in its status line or a header, and another one continues it.

    A header may quote a status line, but not directly behind a word, not that of an interim
    response, and not before the header from which `response_id` tells whose response it is: what
    follows may be a head of its own.
    """
    if START in head.reason:
        return True
    for index, (_, value) in enumerate(head.headers):
        if START not in value:
            continue
        if STATUS_IN_VALUE.search(value) is not None or INTERIM_START.search(value) is not None:
            return True
        if STATUS_START.search(value) is not None and response_id(head.headers[index + 1 :]):
            return True
    return False


def starts_response(data: bytes) -> bool:
    """Return whether bytes begin, or may begin, with a status line."""
    return data.startswith(START[: len(data)])


def _partial_start_size(window: bytearray) -> int:
    """Return how many bytes at the end of `window` may begin a status line."""
    for size in range(min(len(START) - 1, len(window)), 0, -1):
        if window.endswith(START[:size]):
            return size
    return 0
