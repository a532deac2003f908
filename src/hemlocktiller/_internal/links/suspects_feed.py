"""Distributes evidence on requests that crash targets over the links.

Evidence is sent on all open links at once, before any later message. A target
that is asked to run a suspect has therefore received the evidence against it.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import logbook
import prometheus_client

from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.policy import suspects

MAX_ENTRIES_PER_MESSAGE = 1024  # The schema's limit for one message.

log = logbook.Logger(__name__)

ENTRIES_SENT = prometheus_client.Counter(
    "hemlocktiller_suspects_passed_on", "Evidence sent to peers"
)


class SuspectsFeed:
    """Exchanges the evidence of this process with its peers.

    Args:
        reactor: Twisted reactor that supplies the time.
        settings: Time for which evidence is kept.
        relays: Whether a peer's evidence is forwarded to the other links;
            not needed where each process is linked to all others.
        on_condemned: See `Suspects`.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        relays: bool = True,
        on_condemned: Callable[[int, list[str]], None] | None = None,
    ) -> None:
        self.suspects = suspects.Suspects(settings, on_condemned=on_condemned)
        self._relays_evidence = relays
        self._reactor = reactor
        self._links: set[link_module.Link] = set()

    def state(self, digest: int) -> suspects.State:
        """Returns the state of a request."""
        return self.suspects.state(digest, self._reactor.seconds())

    def may_run_beside(
        self, digest: int, running_s: Mapping[int, float]
    ) -> bool:
        """Returns whether a request may start on a target.

        See `Suspects.may_run_beside`.
        """
        now_s = self._reactor.seconds()
        return self.suspects.may_run_beside(digest, running_s, now_s)

    def record_success(self, digest: int) -> None:
        """Clears a request that completed, unless it is condemned."""
        self.suspects.record_success(digest, self._reactor.seconds())

    def record_death(
        self, target: str, running_s: Mapping[int, float]
    ) -> None:
        """Records the death of a target and sends the evidence to all peers.

        Targets without running requests are recorded as well: if many
        targets die at once, the cause is not a request.
        """
        now_s = self._reactor.seconds()
        if running_s:
            log.warning(
                "target {} died with {} running requests",
                target,
                len(running_s),
            )
        self.suspects.record_death(target, running_s, now_s)
        entries = [
            entry
            for entry in self.suspects.export(now_s)
            if entry["digest"] in running_s
        ]
        self._broadcast(entries, None)

    def on_open(self, link: link_module.Link) -> None:
        """Adds a new link and sends all evidence to its peer."""
        self._links.add(link)
        entries = self.suspects.export(self._reactor.seconds())
        self._send_to(link, entries)

    def on_down(self, link: link_module.Link) -> None:
        """Removes a lost link."""
        self._links.discard(link)

    def on_message(self, link: link_module.Link, message: Any) -> None:
        """Merges a peer's evidence and forwards the new entries."""
        now_s = self._reactor.seconds()
        new_entries = self.suspects.merge(message["entries"], now_s)
        for entry in new_entries:
            log.info(
                "{} reports the death of {} under request {:x}",
                link.peer["name"],
                ", ".join(entry["targets"]),
                entry["digest"],
            )
        if self._relays_evidence:
            self._broadcast(new_entries, link)

    def _broadcast(
        self, entries: list[Any], source: link_module.Link | None
    ) -> None:
        for link in list(self._links):
            if link is not source:
                self._send_to(link, entries)

    def _send_to(self, link: link_module.Link, entries: list[Any]) -> None:
        if not entries or not link.is_open:
            return
        ENTRIES_SENT.inc(len(entries))
        for start in range(0, len(entries), MAX_ENTRIES_PER_MESSAGE):
            batch = entries[start : start + MAX_ENTRIES_PER_MESSAGE]
            link.send({"type": "suspects", "entries": batch})
