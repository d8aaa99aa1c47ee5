"""Errors of HTTP connections and exchanges."""

from __future__ import annotations


class HttpError(Exception):
    """Base class of the errors of one HTTP exchange."""


class ConnectFailed(HttpError):
    """Connection that could not be opened; nothing was sent."""


class ConnectClosed(ConnectFailed):
    """The server closed a connection as soon as it was open."""


class ConnectReset(ConnectFailed):
    """The server reset a connection while it was opened, or as soon as it was open."""


class ConnectRefused(ConnectFailed):
    """Connection that the other end refused: nothing listens there."""


class ConnectionLost(HttpError):
    """Connection that closed before the exchange was complete."""


class ReadTimeout(HttpError):
    """Connection on which nothing was received within the time limit."""


class BodyTruncated(HttpError):
    """Body that ended before it was complete."""


class BodyOverrun(HttpError):
    """Body with more bytes than its head declares."""


class BodyConsumed(HttpError):
    """Body of which something else has read at least the beginning."""


class BodyTooLarge(HttpError):
    """Body that exceeds the size limit."""


class MalformedResponse(HttpError):
    """Received bytes that are not an HTTP response."""


class InvalidStatus(MalformedResponse):
    """Response whose status does not exist, or an interim one with a body or for an upgrade.

    The server runs, and has run the request.
    """


class StrayResponse(HttpError):
    """Response to another request that cannot be separated from the expected one."""


class DeadlineExceeded(HttpError):
    """Exchange whose deadline passed."""


class ExchangeCancelled(HttpError):
    """Exchange that its caller cancelled."""
