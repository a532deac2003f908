"""Relays an entry's query for known targets to the other entries."""

from collections.abc import Iterable
from typing import Any

import prometheus_client

from hemlocktiller._internal.links import link as link_module

RELAYED_QUERIES = prometheus_client.Counter(
    "hemlocktiller_introductions", "Questions for targets passed on"
)


class TargetQueryRelay:
    """Relays target queries and returns the answers to the asking entries."""

    def __init__(self) -> None:
        # Links to entries that have asked and have no answer yet.
        self._waiting_links: set[link_module.Link] = set()

    def on_targets_wanted(
        self,
        link: link_module.Link,
        links: Iterable[link_module.Link],
        registration: Any,
    ) -> None:
        """Answers with this agent's target and queries the other entries.

        Entries that wait for an answer themselves are not queried.

        Args:
            link: Link to the entry that asks.
            links: All open links of this agent.
            registration: Registration of this target; empty before it has
                one.
        """
        if registration:
            link.send({"type": "targets", "records": [registration]})
        other_entries = [
            other_link
            for other_link in links
            if other_link.peer["role"] == "entry"
            and other_link is not link
            and other_link not in self._waiting_links
        ]
        if not other_entries:
            return
        self._waiting_links.add(link)
        RELAYED_QUERIES.inc()
        for other_link in other_entries:
            other_link.send({"type": "targets_wanted"})

    def on_targets(self, link: link_module.Link, message: Any) -> None:
        """Relays an answer to all entries that wait for one.

        Args:
            link: Link to the entry that answers.
            message: The answer.
        """
        waiting_links = list(self._waiting_links)
        self._waiting_links.clear()
        for link in waiting_links:
            if link.is_open:
                link.send(message)

    def on_down(self, link: link_module.Link) -> None:
        """Stops waiting on behalf of a lost link."""
        self._waiting_links.discard(link)
