"""Limits of a workspace on request rate, concurrency and output length."""

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
MAX_TRACKED_WORKSPACES = 4096


class AdmissionDecision(NamedTuple):
    """Whether a request is admitted.

    Attributes:
        allowed: Whether the request is admitted.
        limit: Name of the limit that was reached; empty if allowed.
        retry_after_s: Time after which the client should retry.
    """

    allowed: bool
    limit: str = ""
    retry_after_s: float = 0.0


class _WorkspaceState:
    """Token bucket and number of running requests of a workspace."""

    def __init__(self, tokens: float, now_s: float) -> None:
        self.tokens = tokens
        self.refilled_at_s = now_s
        self.running = 0


class WorkspaceLimits:
    """Enforces this entry's part of the limits of each workspace.

    The platform's load balancer spreads the requests of a workspace over
    the entries, so each of N entries enforces 1/N of a limit, but allows
    at least one request.
    """

    def __init__(self) -> None:
        self._workspaces: dict[str, _WorkspaceState] = {}

    def admit(
        self, workspace: str, limits: config.Limits, entries: int, now_s: float
    ) -> AdmissionDecision:
        """Admits a request and counts it as running, if the limits allow it.

        Args:
            workspace: Workspace of the request.
            limits: Limits of the workspace's plan.
            entries: Number of live entries that share the limits.
            now_s: Current time.
        """
        rate_per_s = limits["requests_per_s"] / entries
        burst = max(1.0, limits["burst_requests"] / entries)
        state = self._refilled_state(workspace, rate_per_s, burst, now_s)
        max_running = max(1, math.ceil(limits["running_requests"] / entries))
        if state.running >= min(max_running, limits["running_requests"]):
            REFUSED.labels("running_requests").inc()
            return AdmissionDecision(
                False, "running_requests", RUNNING_RETRY_AFTER_S
            )
        if state.tokens < 1.0:
            REFUSED.labels("requests_per_s").inc()
            missing = 1.0 - state.tokens
            wait_s = missing / rate_per_s if rate_per_s else math.inf
            return AdmissionDecision(
                False, "requests_per_s", min(wait_s, 3600.0)
            )
        state.tokens -= 1.0
        state.running += 1
        return AdmissionDecision(True)

    def release(self, workspace: str) -> None:
        """Stops counting an admitted request as running."""
        state = self._workspaces.get(workspace)
        if state is not None and state.running > 0:
            state.running -= 1

    def running(self, workspace: str) -> int:
        """Returns the number of requests of a workspace that run here."""
        state = self._workspaces.get(workspace)
        return state.running if state is not None else 0

    def _refilled_state(
        self, workspace: str, rate_per_s: float, burst: float, now_s: float
    ) -> _WorkspaceState:
        """Returns the state of a workspace, its bucket refilled up to now."""
        state = self._workspaces.get(workspace)
        if state is None:
            self._evict_longest_idle()
            state = _WorkspaceState(burst, now_s)
            self._workspaces[workspace] = state
        elapsed_s = max(0.0, now_s - state.refilled_at_s)
        state.tokens = min(burst, state.tokens + elapsed_s * rate_per_s)
        state.refilled_at_s = now_s
        return state

    def _evict_longest_idle(self) -> None:
        """Evicts the longest idle workspace if too many are tracked."""
        if len(self._workspaces) < MAX_TRACKED_WORKSPACES:
            return
        idle = [
            name
            for name, state in self._workspaces.items()
            if state.running == 0
        ]
        oldest = min(
            idle,
            key=lambda name: self._workspaces[name].refilled_at_s,
            default=None,
        )
        self._workspaces.pop(oldest, None)


def allowed_output_tokens(requested: int, limits: config.Limits) -> int:
    """Returns the maximum number of tokens of an answer."""
    return min(requested, limits["output_tokens"])
