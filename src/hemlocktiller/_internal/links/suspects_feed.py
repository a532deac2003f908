"""Passes evidence on crashing requests along the links.

Evidence goes out on each open link before any later message, so a target
that is asked to run a suspect knows of it.
"""

from collections.abc import Mapping
from typing import Any

import logbook
import prometheus_client

from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.policy import suspects

MAX_ENTRIES = 1024  # The schema's limit for one message.

log = logbook.Logger(__name__)

PASSED_ON = prometheus_client.Counter(
    "hemlocktiller_suspects_passed_on", "Evidence sent to peers"
)


class SuspectsFeed:
    """The evidence of this process and the links that it goes to.

    Args:
        reactor: Reactor.
        settings: Time that a suspect is remembered.
        relays: Whether a peer's evidence goes on to the other links; not
            needed where each process is linked to all.
    """

    def __init__(
        self, reactor: Any, settings: Any, relays: bool = True
    ) -> None:
        self.suspects = suspects.Suspects(settings)
        self._relays = relays
        self._reactor = reactor
        self._links: set[link_module.Link] = set()

    def state(self, digest: int) -> suspects.State:
        """Returns what is known of a request."""
        return self.suspects.state(digest, self._reactor.seconds())

    def may_join(self, digest: int, running_s: Mapping[int, float]) -> bool:
        """Tells whether a request may start beside those that run."""
        now_s = self._reactor.seconds()
        return self.suspects.may_join(digest, running_s, now_s)

    def succeeded(self, digest: int) -> None:
        """Clears a request that was answered in full."""
        self.suspects.succeeded(digest, self._reactor.seconds())

    def died(self, target: str, running_s: Mapping[int, float]) -> None:
        """Takes the death of a target and passes the evidence on.

        A target that ran nothing counts too: when many die at once, the
        cause is not a request.
        """
        now_s = self._reactor.seconds()
        if running_s:
            log.warning("{} died with {} requests", target, len(running_s))
        self.suspects.died(target, running_s, now_s)
        entries = [
            entry
            for entry in self.suspects.export(now_s)
            if entry["digest"] in running_s
        ]
        self._send(entries, None)

    def on_open(self, link: link_module.Link) -> None:
        """Sends all evidence to a new peer."""
        self._links.add(link)
        entries = self.suspects.export(self._reactor.seconds())
        self._send_to(link, entries)

    def on_down(self, link: link_module.Link) -> None:
        """Forgets a lost link."""
        self._links.discard(link)

    def on_message(self, link: link_module.Link, message: Any) -> None:
        """Takes a peer's evidence and passes on what is new."""
        now_s = self._reactor.seconds()
        fresh = self.suspects.merge(message["entries"], now_s)
        if self._relays:
            self._send(fresh, link)

    def _send(
        self, entries: list[Any], source: link_module.Link | None
    ) -> None:
        for link in list(self._links):
            if link is not source:
                self._send_to(link, entries)

    def _send_to(self, link: link_module.Link, entries: list[Any]) -> None:
        if not entries or not link.up:
            return
        PASSED_ON.inc(len(entries))
        for first in range(0, len(entries), MAX_ENTRIES):
            part = entries[first : first + MAX_ENTRIES]
            link.send({"type": "suspects", "entries": part})
