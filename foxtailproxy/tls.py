"""Exclusion of the TLS libraries from a process that does not use them."""

from __future__ import annotations

import sys

TLS_MODULE = "OpenSSL"

HTTPS_PREFIX = "https://"


def prevent_tls_import(platform_url: str) -> None:
    """Prevent Twisted from importing TLS if the platform URL does not use it.

    This saves a fifth of the node's memory. Call it before the first import of the reactor.
    """
    if not platform_url.startswith(HTTPS_PREFIX):
        modules: dict[str, object] = sys.modules  # type: ignore[assignment]
        modules.setdefault(TLS_MODULE, None)
