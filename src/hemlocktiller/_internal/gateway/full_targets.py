"""Targets that turned requests away for lack of room, here or at a peer."""

from collections.abc import Callable
from typing import Any

import prometheus_client

from hemlocktiller._internal.policy import fleet

# A target that rejected a request as full is used again once some of its
# requests should have ended: a tenth of the time of a typical response.
BACKOFF_S = 0.2

MARKS = prometheus_client.Counter(
    "hemlocktiller_gateway_full_targets",
    "Times that a target was avoided as full, by who was turned away",
    ["seen_by"],
)


class FullTargets:
    """Avoids full targets for a short time.

    Many gateways that share a target of little memory find it full at the same
    time, each by a request that is turned away and spends a retry. So the one
    that finds out first tells the others.

    Attributes:
        on_found_full: Called with a target that turned away a request of this
            process, where peers are to be told.
    """

    def __init__(self, reactor: Any) -> None:
        self.on_found_full: Callable[[fleet.Target], None] = lambda target: (
            None
        )
        self._reactor = reactor
        self._until_s: dict[str, float] = {}

    def mark(self, target: fleet.Target, tell_peers: bool) -> None:
        """Avoids a target that turned away a request of this process."""
        MARKS.labels("gateway").inc()
        was_full = self.is_full(target.name)
        self._avoid(target)
        if tell_peers and not was_full:
            self.on_found_full(target)

    def mark_by_peer(self, target: fleet.Target) -> None:
        """Avoids a target that turned away a request of a peer."""
        MARKS.labels("peer").inc()
        self._avoid(target)

    def is_full(self, name: str) -> bool:
        """Returns whether a target is avoided now."""
        until_s = self._until_s.get(name)
        if until_s is None:
            return False
        if until_s > self._reactor.seconds():
            return True
        del self._until_s[name]
        return False

    def _avoid(self, target):
        self._until_s[target.name] = self._reactor.seconds() + BACKOFF_S
