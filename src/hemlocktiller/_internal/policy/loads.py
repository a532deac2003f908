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
        backlog_tokens: Cost served there before a new request of the plan.
        tokens_per_s: Cost that the target serves in a second.
        requests: Requests that run or wait there.
        free: Whether a place to run is free.
    """

    backlog_tokens: float
    tokens_per_s: float
    requests: int
    free: bool


class _Sent(NamedTuple):
    """A request sent to a target."""

    plan: str
    cost_tokens: float
    sent_s: float


class _Target:
    """The last report of a target and the requests sent there."""

    def __init__(self) -> None:
        self.report: messages.Load | None = None
        self.reported_s = 0.0
        self.sent: dict[str, _Sent] = {}


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
        self,
        target: str,
        request: str,
        plan: str,
        cost_tokens: float,
        now_s: float,
    ) -> None:
        """Notes a request sent to a target."""
        state = self._targets.setdefault(target, _Target())
        state.sent[request] = _Sent(plan, cost_tokens, now_s)

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

    def estimate(self, target: str, plan: str) -> Estimate:
        """Returns the load of a target as a plan would meet it."""
        state = self._targets.get(target, _NOTHING)
        report = state.report
        unseen = [
            one
            for one in state.sent.values()
            if report is None or one.sent_s >= state.reported_s
        ]
        own_tokens = sum(one.cost_tokens for one in unseen if one.plan == plan)
        if report is None:
            rate = DEFAULT_TOKENS_PER_S
            return Estimate(own_tokens, rate, len(unseen), True)
        requests = report["queued"] + report["running"] + len(unseen)
        return Estimate(
            _reported_backlog(report, plan) + own_tokens,
            report["tokens_per_s"] or DEFAULT_TOKENS_PER_S,
            requests,
            requests < report["max_running"],
        )


_NOTHING = _Target()


def _reported_backlog(report: messages.Load, plan: str) -> float:
    """Returns a plan's backlog; the whole queue if none is reported."""
    backlogs = report.get("plan_backlog_tokens")
    if backlogs is None:
        return report["queued_cost_tokens"]
    return backlogs.get(plan, 0.0)
