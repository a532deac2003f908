"""Links from this agent to other agents, one for each peer."""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.links import codec
from hemlocktiller._internal.links import dialer
from hemlocktiller._internal.links import link as link_module

REFUSED = "refused"
TIMEOUT = "timeout"


class ConnectCallbacks(NamedTuple):
    """Callbacks for a link that opened or could not be opened."""

    on_connected: Callable[[link_module.Link], None]
    on_failed: Callable[[str], None]


class Peers:
    """Open links by peer name, and callbacks for links being opened.

    Peers are identified by the name of their target.

    Args:
        reactor: Twisted reactor.
        settings: Settings of links.
        local: Description of this process in its hello on each link.
        handlers: Handlers for the links that this agent dials.
        rng: Random numbers for the backoff of dialers.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        local: link_module.LocalProcess,
        handlers: link_module.Handlers,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._local = local
        self._handlers = handlers
        self._rng = rng
        self._links: dict[str, link_module.Link] = {}
        self._dialers: dict[str, dialer.Dialer] = {}
        self._pending: dict[str, list[ConnectCallbacks]] = {}

    def add(self, link: link_module.Link) -> None:
        """Adds an open link, whichever side dialled it."""
        name = link.peer["name"]
        self._links[name] = link
        for callbacks in self._pending.pop(name, []):
            callbacks.on_connected(link)

    def remove(self, link: link_module.Link) -> bool:
        """Removes a lost link; returns False if it was already replaced."""
        name = link.peer["name"]
        if not self.is_current(link):
            return False
        del self._links[name]
        return True

    def is_current(self, link: link_module.Link) -> bool:
        """Returns whether messages to its peer are sent on this link."""
        return self._links.get(link.peer["name"]) is link

    def send(self, name: str, message: codec.Message) -> bool:
        """Sends a message to a peer; returns False if no link is open."""
        link = self._links.get(name)
        if link is None:
            return False
        link.send(message)
        return True

    def connect(self, stage: Any, callbacks: ConnectCallbacks) -> None:
        """Connects to the agent of a stage and calls back with the outcome."""
        name = stage["target"]
        link = self._links.get(name)
        if link is not None:
            callbacks.on_connected(link)
            return
        pending = self._pending.setdefault(name, [])
        pending.append(callbacks)
        if len(pending) == 1:
            self._reactor.callLater(
                self._settings["connect_timeout_s"],
                self._on_connect_timeout,
                name,
                pending,
            )
        self._dial(name, dialer.Address(stage["host"], stage["port"]))

    def stop(self) -> None:
        """Stops all dialers of this agent."""
        for link_dialer in self._dialers.values():
            link_dialer.stop()
        self._dialers.clear()

    def _dial(self, name: str, address: dialer.Address) -> None:
        """Starts to dial a peer, unless its address is dialled already."""
        current = self._dialers.get(name)
        if current is not None and current.address == address:
            return
        if current is not None:
            current.stop()
        self._dialers[name] = dialer.Dialer(
            self._reactor,
            self._settings,
            self._local,
            address,
            self._handlers,
            lambda: self._on_refused(name),
            self._rng,
        )
        self._dialers[name].start()

    def _on_refused(self, name: str) -> None:
        """Gives up on a peer that refused the connection."""
        self._stop_dialer(name)
        self._fail_pending(name, REFUSED)

    def _on_connect_timeout(
        self, name: str, pending: list[ConnectCallbacks]
    ) -> None:
        """Gives up on a peer unless its link has opened meanwhile."""
        if self._pending.get(name) is not pending:
            return
        self._stop_dialer(name)
        self._fail_pending(name, TIMEOUT)

    def _stop_dialer(self, name: str) -> None:
        current = self._dialers.pop(name, None)
        if current is not None:
            current.stop()

    def _fail_pending(self, name: str, reason: str) -> None:
        for callbacks in self._pending.pop(name, []):
            callbacks.on_failed(reason)
