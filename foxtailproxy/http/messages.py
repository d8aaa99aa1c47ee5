"""Request and response heads of HTTP/1.1."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Headers that apply to a single connection."""

FRAMING_HEADERS = frozenset((b"content-length", b"expect"))
"""Headers that each hop sets anew to match the body."""

BODILESS_STATUSES = frozenset((204, 304))

MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599

SWITCHING_PROTOCOLS = 101

HeaderList = list[tuple[bytes, bytes]]
"""Header names in lower case with their values, in the order received."""


@dataclass(slots=True)
class RequestHead:
    """Request line and headers of one request."""

    method: bytes
    target: bytes
    headers: HeaderList
    http_version: str = "1.1"


@dataclass(slots=True)
class ResponseHead:
    """Status line and headers of one response."""

    status: int
    reason: bytes
    headers: HeaderList = field(default_factory=list)


def get_header(headers: HeaderList, name: bytes) -> bytes | None:
    """Return the first value of the header `name`, or `None`."""
    for key, value in headers:
        if key == name:
            return value
    return None


def get_header_text(headers: HeaderList, name: bytes) -> str:
    """Return the first value of the header `name` as text, or an empty string."""
    value = get_header(headers, name)
    return "" if value is None else value.decode("latin-1")


def end_to_end_headers(headers: HeaderList) -> HeaderList:
    """Return the headers that may be forwarded to the next hop."""
    listed = connection_options(headers)
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in FRAMING_HEADERS and name not in listed
    ]


def connection_options(headers: HeaderList) -> frozenset[bytes]:
    """Return the names listed in the Connection header, in lower case."""
    value = get_header(headers, b"connection")
    if value is None:
        return frozenset()
    return frozenset(part.strip().lower() for part in value.split(b","))


def parse_keep_alive_timeout(headers: HeaderList) -> float | None:
    """Return the idle timeout from the Keep-Alive header in milliseconds, or `None`."""
    for part in get_header_text(headers, b"keep-alive").split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdecimal():
            return int(value) * 1000.0
    return None


def is_valid_response(status: int, headers: HeaderList) -> bool:
    """Return whether a response to a request without an upgrade may have this status and framing.

    An interim response has no body.
    """
    if status == SWITCHING_PROTOCOLS or not MIN_STATUS <= status <= MAX_STATUS:
        return False
    if status >= MIN_FINAL_STATUS:
        return True
    length = get_header(headers, b"content-length")
    return (length is None or not int(length)) and not get_header(headers, b"transfer-encoding")


def reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of `status`."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"


def format_request(head: RequestHead, length: int | None) -> bytes:
    """Serialize a request head; `length` in bytes, or `None` for a chunked body."""
    lines = [b"%s %s HTTP/1.1" % (head.method, head.target)]
    lines.extend([b"%s: %s" % pair for pair in head.headers])
    if length is None:
        lines.append(b"transfer-encoding: chunked")
    elif length or head.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d" % length)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def format_response(head: ResponseHead, framing: HeaderList) -> bytes:
    """Serialize a response head with the headers that frame its body."""
    lines = [b"HTTP/1.1 %d %s" % (head.status, head.reason)]
    lines.extend([b"%s: %s" % pair for pair in head.headers])
    lines.extend([b"%s: %s" % pair for pair in framing])
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def format_chunk(data: bytes) -> bytes:
    """Serialize one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
