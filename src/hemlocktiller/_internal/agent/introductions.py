"""Passes an entry's question for targets on to another entry."""

from collections.abc import Iterable
from typing import Any

import prometheus_client

from hemlocktiller._internal.links import link as link_module

PASSED_ON = prometheus_client.Counter(
    "hemlocktiller_introductions", "Questions for targets passed on"
)


class Introductions:
    """The entries that wait for the answer of another entry."""

    def __init__(self) -> None:
        self._waiting: set[link_module.Link] = set()

    def on_wanted(
        self,
        link: link_module.Link,
        links: Iterable[link_module.Link],
        record: Any,
    ) -> None:
        """Answers for this target and asks the other entries.

        Args:
            link: Link of the entry that asks.
            links: All open links of this agent.
            record: Registration of this target; empty before it has one.
        """
        if record:
            link.send({"type": "targets", "records": [record]})
        others = [
            other
            for other in links
            if other.peer["role"] == "entry"
            and other is not link
            and other not in self._waiting
        ]
        if not others:
            return
        self._waiting.add(link)
        PASSED_ON.inc()
        for other in others:
            other.send({"type": "targets_wanted"})

    def on_targets(self, message: Any) -> None:
        """Passes an answer on to all that wait."""
        waiting = list(self._waiting)
        self._waiting.clear()
        for link in waiting:
            if link.up:
                link.send(message)

    def on_down(self, link: link_module.Link) -> None:
        """Forgets a lost link."""
        self._waiting.discard(link)
