"""The admin port, whose libraries are loaded on its first connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import Factory

if TYPE_CHECKING:
    from foxtailproxy.node import Node


class AdminFactory(Factory):
    """A factory that loads the admin site on the first connection.

    Loading its libraries takes a third of a node's start-up time.
    """

    noisy = False

    def __init__(self, node: Node) -> None:
        self._node = node
        self._site: Any = None

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the protocol for a connection of an operator or an announcing upstream."""
        if self._site is None:
            from foxtailproxy.admin import AdminSite

            self._site = AdminSite(self._node).site()
            self._site.doStart()
        return self._site.buildProtocol(addr)
