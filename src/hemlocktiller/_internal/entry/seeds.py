"""Finds targets through agents while the object API can't be asked.

An entry that starts in an outage knows nobody. It dials a few agents
named in its settings; an agent passes the question on to another entry
and the answer back. The configuration comes along with the link.
"""

from collections.abc import Callable
import random
from typing import Any

import prometheus_client

from hemlocktiller._internal.links import dialer
from hemlocktiller._internal.links import link as link_module

ASK_AFTER_S = 1.0
ASK_AGAIN_S = 2.0

ASKED = prometheus_client.Counter(
    "hemlocktiller_seeds_asked", "Agents asked for targets"
)


class Seeds:
    """The agents that are asked until the object API answers."""

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        local: link_module.Local,
        handlers: link_module.Handlers,
        has_listing: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._local = local
        self._handlers = handlers
        self._has_listing = has_listing
        self._dialers: list[dialer.Dialer] = []
        self._timer: Any = None

    def start(self) -> None:
        """Asks after a while, unless the object API answered first."""
        if self._settings["seeds"]:
            self._ask_later(ASK_AFTER_S)

    def stop(self) -> None:
        """Asks no more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for one in self._dialers:
            one.stop()
        self._dialers.clear()

    def _ask_later(self, wait_s: float) -> None:
        self._timer = self._reactor.callLater(wait_s, self._ask)

    def _ask(self) -> None:
        if self._has_listing():
            self.stop()
            return
        if not self._dialers:
            self._dial()
        for one in self._dialers:
            if one.link is not None and one.link.up:
                ASKED.inc()
                one.link.send({"type": "targets_wanted"})
        self._ask_later(ASK_AGAIN_S)

    def _dial(self) -> None:
        handlers = self._handlers._replace(on_open=self._on_open)
        for seed in self._settings["seeds"]:
            one = dialer.Dialer(
                self._reactor,
                self._settings,
                self._local,
                dialer.Address(seed["host"], seed["port"]),
                handlers,
                lambda: None,
                random.Random(seed["port"]),
            )
            self._dialers.append(one)
            one.start()

    def _on_open(self, link: link_module.Link) -> None:
        self._handlers.on_open(link)
        ASKED.inc()
        link.send({"type": "targets_wanted"})
