"""Start tags of start-time fair queueing, for one level of flows."""

from collections.abc import Iterable

MIN_WEIGHT = 1e-6
IDLE_TAGS_LIMIT = 1024


class StartTags:
    """Virtual time and the start tag of each flow.

    A flow that becomes backlogged starts at the virtual time, so that it
    can neither save up service while idle nor pay for service that it got
    while nobody else wanted it.
    """

    def __init__(self) -> None:
        self._virtual = 0.0
        self._tags: dict[str, float] = {}
        self._floors: dict[str, float] = {}

    def activate(self, flow: str) -> None:
        """Starts a backlogged period of a flow."""
        self._forget_idle()
        tag = max(self._virtual, self._tags.get(flow, 0.0))
        self._tags[flow] = tag
        self._floors[flow] = self._virtual

    def ordered(self, flows: Iterable[str]) -> list[str]:
        """Returns flows by their start tags, lowest first, then by name."""
        return sorted(flows, key=lambda flow: (self._tags[flow], flow))

    def charge(self, flow: str, cost: float, weight: float) -> None:
        """Serves a flow: advances the virtual time and the flow's tag."""
        self._virtual = max(self._virtual, self._tags[flow])
        self._tags[flow] += cost / max(weight, MIN_WEIGHT)

    def correct(self, flow: str, cost_change: float, weight: float) -> None:
        """Changes the cost charged before, down to the period's start."""
        if flow not in self._tags:
            return
        tag = self._tags[flow] + cost_change / max(weight, MIN_WEIGHT)
        self._tags[flow] = max(self._floors[flow], tag)

    def lag(self, flow: str, weight: float) -> float:
        """Returns the cost that others are served before this flow is."""
        tag = self._tags.get(flow, 0.0)
        return max(0.0, tag - self._virtual) * max(weight, MIN_WEIGHT)

    def _forget_idle(self) -> None:
        """Drops tags that equal those of a flow never seen."""
        if len(self._tags) < IDLE_TAGS_LIMIT:
            return
        idle = [
            flow for flow, tag in self._tags.items() if tag < self._virtual
        ]
        for flow in idle:
            del self._tags[flow]
            del self._floors[flow]
