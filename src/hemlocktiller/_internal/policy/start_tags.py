"""Start tags of start-time fair queueing (SFQ) for one level of flows."""

from collections.abc import Iterable

MIN_WEIGHT = 1e-6
MAX_TRACKED_FLOWS = 1024


class StartTags:
    """Virtual time and the start tag of each flow.

    A flow that becomes backlogged gets a start tag of at least the virtual
    time. It neither accumulates credit while idle nor is penalised for
    service that it received while no other flow was backlogged.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._tags: dict[str, float] = {}
        self._period_starts: dict[str, float] = {}

    def activate(self, flow: str) -> None:
        """Marks a flow as backlogged and sets its start tag."""
        self._prune_idle()
        tag = max(self._virtual_time, self._tags.get(flow, 0.0))
        self._tags[flow] = tag
        self._period_starts[flow] = self._virtual_time

    def sort_flows(self, flows: Iterable[str]) -> list[str]:
        """Sorts flows by start tag, lowest first, then by name."""
        return sorted(flows, key=lambda flow: (self._tags[flow], flow))

    def charge(self, flow: str, cost: float, weight: float) -> None:
        """Charges a served flow and advances the virtual time to its tag."""
        self._virtual_time = max(self._virtual_time, self._tags[flow])
        self._tags[flow] += cost / max(weight, MIN_WEIGHT)

    def correct(self, flow: str, cost_change: float, weight: float) -> None:
        """Adjusts the cost charged to a flow.

        The tag does not fall below the virtual time at which the flow's
        backlogged period began.
        """
        if flow not in self._tags:
            return
        tag = self._tags[flow] + cost_change / max(weight, MIN_WEIGHT)
        self._tags[flow] = max(self._period_starts[flow], tag)

    def lead(self, flow: str, weight: float) -> float:
        """Returns how far a flow is ahead of the virtual time, as a cost."""
        tag = self._tags.get(flow, 0.0)
        return max(0.0, tag - self._virtual_time) * max(weight, MIN_WEIGHT)

    def _prune_idle(self) -> None:
        """Drops tags below the virtual time once too many are tracked.

        Such a flow would be treated like one that was never seen.
        """
        if len(self._tags) < MAX_TRACKED_FLOWS:
            return
        idle = [
            flow
            for flow, tag in self._tags.items()
            if tag < self._virtual_time
        ]
        for flow in idle:
            del self._tags[flow]
            del self._period_starts[flow]
