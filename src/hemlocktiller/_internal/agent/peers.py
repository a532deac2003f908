"""Links from one agent to others, one for each pair."""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.links import codec
from hemlocktiller._internal.links import dialer
from hemlocktiller._internal.links import link as link_module

REFUSED = "refused"
TIMEOUT = "timeout"


class Waiter(NamedTuple):
    """What to do when a link opens, or can't be opened."""

    on_link: Callable[[link_module.Link], None]
    on_failed: Callable[[str], None]


class Peers:
    """Open links by name, and those who wait for one to open."""

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        local: link_module.Local,
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
        self._waiters: dict[str, list[Waiter]] = {}

    def add(self, link: link_module.Link) -> None:
        """Records an open link, whoever dialled it."""
        name = link.peer["name"]
        self._links[name] = link
        for waiter in self._waiters.pop(name, []):
            waiter.on_link(link)

    def remove(self, link: link_module.Link) -> bool:
        """Forgets a lost link; tells whether the peer has no other."""
        name = link.peer["name"]
        if self._links.get(name) is not link:
            return False
        del self._links[name]
        return True

    def send(self, target: str, message: codec.Message) -> bool:
        """Sends on an open link; tells whether there is one."""
        link = self._links.get(target)
        if link is None:
            return False
        link.send(message)
        return True

    def with_link(self, stage: Any, waiter: Waiter) -> None:
        """Calls the waiter once a link to a stage is open or failed."""
        name = stage["target"]
        link = self._links.get(name)
        if link is not None:
            waiter.on_link(link)
            return
        waiters = self._waiters.setdefault(name, [])
        waiters.append(waiter)
        if len(waiters) == 1:
            self._reactor.callLater(
                self._settings["connect_timeout_s"],
                self._give_up,
                name,
                waiters,
            )
        self._dial(name, dialer.Address(stage["host"], stage["port"]))

    def stop(self) -> None:
        """Closes all links that this end dialled."""
        for one in self._dialers.values():
            one.stop()
        self._dialers.clear()

    def _dial(self, name: str, address: dialer.Address) -> None:
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
            lambda: self._refused(name),
            self._rng,
        )
        self._dialers[name].start()

    def _refused(self, name: str) -> None:
        self._drop_dialer(name)
        self._fail_waiters(name, REFUSED)

    def _give_up(self, name: str, waiters: list[Waiter]) -> None:
        if self._waiters.get(name) is not waiters:
            return
        self._drop_dialer(name)
        self._fail_waiters(name, TIMEOUT)

    def _drop_dialer(self, name: str) -> None:
        current = self._dialers.pop(name, None)
        if current is not None:
            current.stop()

    def _fail_waiters(self, name: str, reason: str) -> None:
        for waiter in self._waiters.pop(name, []):
            waiter.on_failed(reason)
