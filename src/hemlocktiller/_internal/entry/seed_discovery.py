"""Discovers targets through seed agents while the object API is down.

An entry that starts during an outage knows no targets. It connects to the
seed agents, a few that its settings name. A seed agent returns its own target,
relays the query to other entries and passes on the first answer. The link to
it also delivers the configuration.
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
    """Requests targets from seed agents until the object API responds.

    Args:
        reactor: Twisted reactor.
        settings: Settings of links, with the addresses of the seeds.
        local: Description of this process in its hello on each link.
        handlers: Handlers for the links to seeds.
        has_target_listing: Returns whether the object API has returned the
            list of targets.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        local: link_module.LocalProcess,
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
        """Schedules the first request; the object API may respond earlier."""
        if self._settings["seeds"]:
            self._schedule_request(FIRST_REQUEST_DELAY_S)

    def stop(self) -> None:
        """Stops the requests and closes the links to seeds."""
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
        """Requests targets on all open links; stops if they are listed."""
        if self._has_target_listing():
            self.stop()
            return
        if not self._dialers:
            self._dial_seeds()
        for seed_dialer in self._dialers:
            if seed_dialer.link is not None and seed_dialer.link.is_open:
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
        """Requests targets at once on a new link."""
        self._handlers.on_open(link)
        SEED_REQUESTS.inc()
        link.send({"type": "targets_wanted"})
