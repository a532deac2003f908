"""Limits of each workspace on rate, concurrency and answer length."""

import math
from typing import NamedTuple

from prometheus_client import Counter

from hemlocktiller._internal.schemas import config

REFUSED = Counter(
    "hemlocktiller_limits_refused",
    "Requests refused because their workspace is over a limit",
    ["limit"],
)
RUNNING_RETRY_AFTER_S = 1.0
IDLE_LIMIT = 4096


class Admission(NamedTuple):
    """Whether a request may go on.

    Attributes:
        allowed: Whether it may.
        limit: The limit that was reached; empty if allowed.
        retry_after_s: When to come back.
    """

    allowed: bool
    limit: str = ""
    retry_after_s: float = 0.0


class _Workspace:
    """A token bucket and a count of running requests."""

    def __init__(self, tokens: float, now_s: float) -> None:
        self.tokens = tokens
        self.filled_s = now_s
        self.running = 0


class WorkspaceLimits:
    """Applies this entry's part of the limits of each workspace.

    The platform's balancer spreads a workspace over the entries, so each
    entry allows one part in their number, and at least one request.
    """

    def __init__(self) -> None:
        self._workspaces: dict[str, _Workspace] = {}

    def admit(
        self, workspace: str, limits: config.Limits, entries: int, now_s: float
    ) -> Admission:
        """Counts a request in, if the limits allow it.

        Args:
            workspace: Workspace of the request.
            limits: Limits of its plan.
            entries: Live entries that share the limits.
            now_s: The time.
        """
        rate_per_s = limits["requests_per_s"] / entries
        burst = max(1.0, limits["burst_requests"] / entries)
        state = self._filled(workspace, rate_per_s, burst, now_s)
        running = max(1, math.ceil(limits["running_requests"] / entries))
        if state.running >= min(running, limits["running_requests"]):
            REFUSED.labels("running_requests").inc()
            return Admission(False, "running_requests", RUNNING_RETRY_AFTER_S)
        if state.tokens < 1.0:
            REFUSED.labels("requests_per_s").inc()
            missing = 1.0 - state.tokens
            wait_s = missing / rate_per_s if rate_per_s else math.inf
            return Admission(False, "requests_per_s", min(wait_s, 3600.0))
        state.tokens -= 1.0
        state.running += 1
        return Admission(True)

    def finished(self, workspace: str) -> None:
        """Counts an admitted request out."""
        state = self._workspaces.get(workspace)
        if state is not None and state.running > 0:
            state.running -= 1

    def running(self, workspace: str) -> int:
        """Returns the requests of a workspace in progress here."""
        state = self._workspaces.get(workspace)
        return state.running if state is not None else 0

    def _filled(
        self, workspace: str, rate_per_s: float, burst: float, now_s: float
    ) -> _Workspace:
        """Returns a workspace with its bucket filled up to now."""
        state = self._workspaces.get(workspace)
        if state is None:
            self._forget_idle()
            state = _Workspace(burst, now_s)
            self._workspaces[workspace] = state
        elapsed_s = max(0.0, now_s - state.filled_s)
        state.tokens = min(burst, state.tokens + elapsed_s * rate_per_s)
        state.filled_s = now_s
        return state

    def _forget_idle(self) -> None:
        """Drops the longest idle workspace when there are too many."""
        if len(self._workspaces) < IDLE_LIMIT:
            return
        idle = [
            name
            for name, state in self._workspaces.items()
            if state.running == 0
        ]
        oldest = min(
            idle,
            key=lambda name: self._workspaces[name].filled_s,
            default=None,
        )
        self._workspaces.pop(oldest, None)


def output_tokens(requested: int, limits: config.Limits) -> int:
    """Returns the tokens that an answer may have."""
    return min(requested, limits["output_tokens"])
