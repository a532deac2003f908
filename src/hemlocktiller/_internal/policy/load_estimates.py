"""Load of the targets as an entry estimates it.

Load reports lag. The requests that this entry sent since the last report of a
target are added to it. Those of other entries are unknown, so routing chooses
from a random sample of the targets instead of the least loaded of all.
"""

from typing import NamedTuple

from hemlocktiller._internal.schemas import messages

DEFAULT_TOKENS_PER_S = 100.0


class Estimate(NamedTuple):
    """Estimated load of a target.

    Attributes:
        backlog_tokens: Cost of the requests that are served before a new one
            of the same plan.
        tokens_per_s: Cost that the target serves per second.
        requests: Requests that run or wait there.
        has_free_slot: Whether a new request can run at once.
    """

    backlog_tokens: float
    tokens_per_s: float
    requests: int
    has_free_slot: bool


class _SentRequest(NamedTuple):
    """A request that this entry sent to a target."""

    plan: str
    cost_tokens: float
    sent_s: float


class _TargetState:
    """The last report of a target and the own requests that run there."""

    def __init__(self) -> None:
        self.report: messages.Load | None = None
        self.reported_s = 0.0
        self.sent: dict[str, _SentRequest] = {}


class Loads:
    """Loads of targets, from their reports and the own requests since."""

    def __init__(self) -> None:
        self._targets: dict[str, _TargetState] = {}

    def record_report(self, load: messages.Load, now_s: float) -> None:
        """Stores a load report."""
        target = self._targets.setdefault(load["target"], _TargetState())
        target.report = load
        target.reported_s = now_s

    def record_sent(
        self,
        target: str,
        request_id: str,
        plan: str,
        cost_tokens: float,
        now_s: float,
    ) -> None:
        """Records that a request was sent to a target."""
        state = self._targets.setdefault(target, _TargetState())
        state.sent[request_id] = _SentRequest(plan, cost_tokens, now_s)

    def record_ended(self, target: str, request_id: str) -> None:
        """Records that a request ended."""
        state = self._targets.get(target)
        if state is not None:
            state.sent.pop(request_id, None)

    def forget(self, target: str) -> None:
        """Drops the state of a target that left."""
        self._targets.pop(target, None)

    def outstanding(self, target: str) -> int:
        """Returns the number of own requests at a target."""
        state = self._targets.get(target)
        return len(state.sent) if state is not None else 0

    def is_leaving(self, target: str) -> bool:
        """Returns whether a target reported that it is leaving."""
        state = self._targets.get(target)
        return bool(state and state.report and state.report["leaving"])

    def estimate(self, target: str, plan: str) -> Estimate:
        """Returns the estimated load of a target for requests of a plan."""
        state = self._targets.get(target, _EMPTY_STATE)
        report = state.report
        unreported = [
            one
            for one in state.sent.values()
            if report is None or one.sent_s >= state.reported_s
        ]
        own_tokens = sum(
            one.cost_tokens for one in unreported if one.plan == plan
        )
        if report is None:
            rate = DEFAULT_TOKENS_PER_S
            return Estimate(own_tokens, rate, len(unreported), True)
        requests = report["queued"] + report["running"] + len(unreported)
        return Estimate(
            _reported_backlog(report, plan) + own_tokens,
            report["tokens_per_s"] or DEFAULT_TOKENS_PER_S,
            requests,
            requests < report["max_running"],
        )


_EMPTY_STATE = _TargetState()


def _reported_backlog(report: messages.Load, plan: str) -> float:
    """Returns the reported backlog of a plan.

    Reports without backlogs by plan count the whole queue.
    """
    backlogs = report.get("plan_backlog_tokens")
    if backlogs is None:
        return report["queued_cost_tokens"]
    return backlogs.get(plan, 0.0)
