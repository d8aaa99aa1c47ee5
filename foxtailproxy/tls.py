"""Keeps the TLS libraries out of a process that does not use them."""

from __future__ import annotations

import sys

TLS_MODULE = "OpenSSL"

HTTPS_PREFIX = "https://"


def prevent_tls_import(platform_url: str) -> None:
    """Make Twisted do without TLS where the platform is reached without it.

    This saves a fifth of the node's memory. It must come before the first import of the reactor.
    """
    if not platform_url.startswith(HTTPS_PREFIX):
        modules: dict[str, object] = sys.modules  # type: ignore[assignment]
        modules.setdefault(TLS_MODULE, None)
