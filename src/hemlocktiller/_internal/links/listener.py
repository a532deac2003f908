"""Accepts links from other processes."""

from typing import Any

from twisted.internet import protocol

from hemlocktiller._internal.links import link as link_module


class Listener(protocol.ServerFactory):
    """Protocol factory that creates a link for each accepted connection."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        local: link_module.LocalProcess,
        handlers: link_module.Handlers,
    ) -> None:
        self._arguments = (reactor, settings, local, handlers)

    def buildProtocol(self, addr: Any) -> link_module.Link:
        """Returns the link of a new connection."""
        return link_module.AcceptedLink(*self._arguments)
