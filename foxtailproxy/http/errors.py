"""What can go wrong on one HTTP connection."""

from __future__ import annotations


class HttpError(Exception):
    """Base of the errors of one HTTP exchange."""


class ConnectFailed(HttpError):
    """No connection could be opened; nothing was sent."""


class ConnectionLost(HttpError):
    """The connection ended before the exchange did."""


class ReadTimeout(HttpError):
    """The connection gave no sign of life for too long."""


class BodyTruncated(HttpError):
    """A body ended before its declared end."""


class BodyTooLarge(HttpError):
    """A body is larger than allowed."""


class MalformedResponse(HttpError):
    """The bytes received are not an HTTP response."""


class DeadlineExceeded(HttpError):
    """The deadline of the exchange passed."""


class ExchangeCancelled(HttpError):
    """The caller does not want the answer any more."""
