"""What an entry knows of the load of the targets.

Reports lag. What the entry sent since the last report is added to it; what
other entries sent meanwhile stays unknown, which is why routing samples.
"""

from typing import NamedTuple

from hemlocktiller._internal.schemas import messages

DEFAULT_TOKENS_PER_S = 100.0


class Estimate(NamedTuple):
    """The load of a target as far as it is known.

    Attributes:
        cost_tokens: Cost of what waits there.
        tokens_per_s: Cost that the target serves in a second.
        requests: Requests that run or wait there.
        free: Whether a place to run is free.
        plan_served_tokens: Tokens served lately, by plan.
    """

    cost_tokens: float
    tokens_per_s: float
    requests: int
    free: bool
    plan_served_tokens: dict[str, float]


class _Target:
    """The last report of a target and the requests sent there."""

    def __init__(self) -> None:
        self.report: messages.Load | None = None
        self.reported_s = 0.0
        self.sent: dict[str, tuple[float, float]] = {}


class Loads:
    """Load of each target: its last report and the own requests since."""

    def __init__(self) -> None:
        self._targets: dict[str, _Target] = {}

    def report(self, load: messages.Load, now_s: float) -> None:
        """Takes a load report."""
        target = self._targets.setdefault(load["target"], _Target())
        target.report = load
        target.reported_s = now_s

    def sent(
        self, target: str, request: str, cost_tokens: float, now_s: float
    ) -> None:
        """Notes a request sent to a target."""
        state = self._targets.setdefault(target, _Target())
        state.sent[request] = (cost_tokens, now_s)

    def done(self, target: str, request: str) -> None:
        """Notes that a request ended."""
        state = self._targets.get(target)
        if state is not None:
            state.sent.pop(request, None)

    def forget(self, target: str) -> None:
        """Drops a target that left."""
        self._targets.pop(target, None)

    def outstanding(self, target: str) -> int:
        """Returns the own requests at a target."""
        state = self._targets.get(target)
        return len(state.sent) if state is not None else 0

    def leaving(self, target: str) -> bool:
        """Returns whether a target reported that it leaves."""
        state = self._targets.get(target)
        return bool(state and state.report and state.report["leaving"])

    def estimate(self, target: str) -> Estimate:
        """Returns the load of a target as far as it is known."""
        state = self._targets.get(target)
        if state is None:
            return Estimate(0.0, DEFAULT_TOKENS_PER_S, 0, True, {})
        unseen = [
            cost_tokens
            for cost_tokens, sent_s in state.sent.values()
            if state.report is None or sent_s >= state.reported_s
        ]
        report = state.report
        if report is None:
            rate = DEFAULT_TOKENS_PER_S
            return Estimate(sum(unseen), rate, len(unseen), True, {})
        requests = report["queued"] + report["running"] + len(unseen)
        return Estimate(
            report["queued_cost_tokens"] + sum(unseen),
            report["tokens_per_s"] or DEFAULT_TOKENS_PER_S,
            requests,
            requests < report["max_running"],
            report["plan_served_tokens"],
        )
