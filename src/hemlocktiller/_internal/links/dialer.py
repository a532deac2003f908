"""Keeps a link to an address open; reconnects with exponential backoff."""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

from hemlocktiller._internal.links import link as link_module

BACKOFF_FACTOR = 2.0


PORTS = range(1, 65_536)


class Address(NamedTuple):
    """Address at which a peer accepts links."""

    host: str
    port: int


class Dialer:
    """Opens an outbound link and reopens it whenever it is lost.

    Attributes:
        link: The link of the current connection, or None.
        address: Address of the peer.
        refused: Whether the last connection attempt was refused. Nothing
            listens at the address then, so the process is gone.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        local: link_module.LocalProcess,
        address: Address,
        handlers: link_module.Handlers,
        on_refused: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self.link: link_module.Link | None = None
        self.address = address
        self.refused = False
        self._reactor = reactor
        self._settings = settings
        self._local = local
        self._handlers = handlers
        self._on_refused = on_refused
        self._rng = rng
        self._backoff_s = settings["reconnect_min_s"]
        self._stopped = False
        self._dial_timer: Any = None

    def start(self) -> None:
        """Starts a connection attempt."""
        self._dial_timer = None
        if self._stopped:
            return
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor,
            self.address.host,
            self.address.port,
            timeout=self._settings["connect_timeout_s"],
        )
        factory = protocol.Factory.forProtocol(self._new_link)
        factory.noisy = False
        connected = endpoint.connect(factory)
        connected.addErrback(self._on_connect_failed)

    def stop(self) -> None:
        """Closes the link and stops reconnecting."""
        self._stopped = True
        if self._dial_timer is not None:
            self._dial_timer.cancel()
            self._dial_timer = None
        if self.link is not None:
            self.link.close()

    def stop_reconnecting(self) -> None:
        """Stops reconnecting; an open link stays until the peer closes it."""
        if self.link is None or not self.link.is_open:
            self.stop()
            return
        self._stopped = True

    def _new_link(self) -> link_module.Link:
        handlers = link_module.Handlers(
            self._on_open,
            self._handlers.on_message,
            self._on_down,
            self._handlers.on_silence,
        )
        self.link = link_module.DialledLink(
            self._reactor, self._settings, self._local, handlers
        )
        return self.link

    def _on_open(self, link: link_module.Link) -> None:
        self.refused = False
        self._backoff_s = self._settings["reconnect_min_s"]
        self._handlers.on_open(link)

    def _on_down(self, link: link_module.Link, reason: str) -> None:
        self.link = None
        was_open = link.peer is not None
        if was_open:
            self._handlers.on_down(link, reason)
        self._schedule_dial(0.0 if was_open else self._next_delay_s())

    def _on_connect_failed(self, reason: failure.Failure) -> None:
        self.link = None
        self.refused = reason.check(error.ConnectionRefusedError) is not None
        if self.refused:
            self._on_refused()
        self._schedule_dial(self._next_delay_s())

    def _next_delay_s(self) -> float:
        """Returns the backoff, with jitter, and increases it for next time."""
        delay_s = self._backoff_s
        max_backoff_s = self._settings["reconnect_max_s"]
        self._backoff_s = min(delay_s * BACKOFF_FACTOR, max_backoff_s)
        return delay_s * self._rng.uniform(0.5, 1.0)

    def _schedule_dial(self, delay_s: float) -> None:
        if self._stopped:
            return
        self._dial_timer = self._reactor.callLater(delay_s, self.start)
