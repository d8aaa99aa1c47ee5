"""The port for operators, whose libraries are loaded with its first connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import Factory

if TYPE_CHECKING:
    from foxtailproxy.node import Node


class AdminFactory(Factory):
    """Loads the admin site with its first connection: its libraries take a third of a start."""

    noisy = False

    def __init__(self, node: Node) -> None:
        self._node = node
        self._site: Any = None

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """A connection of an operator, or of an upstream that announces itself."""
        if self._site is None:
            from foxtailproxy.admin import AdminSite

            self._site = AdminSite(self._node).site()
            self._site.doStart()
        return self._site.buildProtocol(addr)
