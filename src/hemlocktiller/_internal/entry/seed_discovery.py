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

FIRST_REQUEST_DELAY_S = 1.0
REQUEST_INTERVAL_S = 2.0

SEED_REQUESTS = prometheus_client.Counter(
    "hemlocktiller_seeds_asked", "Agents asked for targets"
)


class SeedDiscovery:
    """The agents that are asked until the object API answers."""

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        local: link_module.Local,
        handlers: link_module.Handlers,
        has_target_listing: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._local = local
        self._handlers = handlers
        self._has_target_listing = has_target_listing
        self._dialers: list[dialer.Dialer] = []
        self._request_timer: Any = None

    def start(self) -> None:
        """Asks after a while, unless the object API answered first."""
        if self._settings["seeds"]:
            self._schedule_request(FIRST_REQUEST_DELAY_S)

    def stop(self) -> None:
        """Asks no more."""
        if self._request_timer is not None and self._request_timer.active():
            self._request_timer.cancel()
        for seed_dialer in self._dialers:
            seed_dialer.stop()
        self._dialers.clear()

    def _schedule_request(self, wait_s: float) -> None:
        self._request_timer = self._reactor.callLater(
            wait_s, self._request_targets
        )

    def _request_targets(self) -> None:
        if self._has_target_listing():
            self.stop()
            return
        if not self._dialers:
            self._dial_seeds()
        for seed_dialer in self._dialers:
            if seed_dialer.link is not None and seed_dialer.link.up:
                SEED_REQUESTS.inc()
                seed_dialer.link.send({"type": "targets_wanted"})
        self._schedule_request(REQUEST_INTERVAL_S)

    def _dial_seeds(self) -> None:
        handlers = self._handlers._replace(on_open=self._on_open)
        for seed in self._settings["seeds"]:
            seed_dialer = dialer.Dialer(
                self._reactor,
                self._settings,
                self._local,
                dialer.Address(seed["host"], seed["port"]),
                handlers,
                lambda: None,
                random.Random(seed["port"]),
            )
            self._dialers.append(seed_dialer)
            seed_dialer.start()

    def _on_open(self, link: link_module.Link) -> None:
        self._handlers.on_open(link)
        SEED_REQUESTS.inc()
        link.send({"type": "targets_wanted"})
