"""Preemption of running requests of plans that exceed their share.

A plan may use the idle share of another plan. When the other plan has a
request waiting, a running request is cancelled and its slot returned.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple

from prometheus_client import Counter

from hemlocktiller._internal.policy import fair_queue

PREEMPTED = Counter(
    "hemlocktiller_lending_preempted",
    "Running requests cancelled for an entitled plan, by their plan",
    ["plan"],
)
PREEMPTIONS_PER_S = 2.0
PREEMPTION_BURST = 4.0
MAX_PREEMPTIONS_PER_REQUEST = 2
MAX_WAIT_FOR_FREE_SLOT_S = 0.5


class RunningRequest(NamedTuple):
    """A running request that could be resumed later.

    Attributes:
        request_id: Request id.
        plan: Plan that the request is billed to.
        worth: Value of an answer that meets the deadline.
        started_s: Time at which the request started.
        preemptions: How often the request was preempted before.
    """

    request_id: str
    plan: str
    worth: float
    started_s: float
    preemptions: int = 0


class Preemptor:
    """Chooses running requests to preempt, rate-limited by a token bucket."""

    def __init__(self) -> None:
        self._tokens = PREEMPTION_BURST
        self._refilled_at_s = 0.0

    def preempt(
        self,
        queued: fair_queue.QueuedRequest,
        running: Sequence[RunningRequest],
        shares: Mapping[str, float],
        slots: int,
        now_s: float,
        next_free_s: float = math.inf,
    ) -> RunningRequest | None:
        """Returns the request to cancel for a queued one, if any.

        The plan of the queued request must use less than its share of the
        slots, and the other plan must still have its own share afterwards.
        Nothing is preempted if a slot will be free soon, since a preempted
        request has to process its prompt again.

        Args:
            queued: The request that waits for a slot.
            running: The running requests.
            shares: Entitled share of each plan.
            slots: Number of requests that may run at once.
            now_s: Current time.
            next_free_s: Expected time until a slot is free.
        """
        if next_free_s <= MAX_WAIT_FOR_FREE_SLOT_S:
            return None
        self._refill(now_s)
        if self._tokens < 1.0:
            return None
        victim = choose_victim(queued.plan, running, shares, slots)
        if victim is not None:
            self._tokens -= 1.0
            PREEMPTED.labels(victim.plan).inc()
        return victim

    def _refill(self, now_s: float) -> None:
        """Refills the token bucket for the time since the last refill."""
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        tokens = self._tokens + elapsed_s * PREEMPTIONS_PER_S
        self._tokens = min(PREEMPTION_BURST, tokens)
        self._refilled_at_s = now_s


def choose_victim(
    plan: str,
    running: Sequence[RunningRequest],
    shares: Mapping[str, float],
    slots: int,
) -> RunningRequest | None:
    """Returns the running request to preempt for a plan, if any.

    Prefers the lowest worth, then the plan furthest over its share, then
    the latest start, which loses the least work.
    """
    used_slots = dict.fromkeys(shares, 0)
    for request in running:
        used_slots[request.plan] = used_slots.get(request.plan, 0) + 1
    entitled_slots = shares.get(plan, 0.0) * slots
    if used_slots.get(plan, 0) + 1 > entitled_slots:
        return None
    excess_slots = {
        name: count - shares.get(name, 0.0) * slots
        for name, count in used_slots.items()
    }
    candidates = [
        request
        for request in running
        if request.plan != plan
        and excess_slots[request.plan] >= 1.0
        and request.preemptions < MAX_PREEMPTIONS_PER_REQUEST
    ]
    return min(
        candidates,
        key=lambda request: (
            request.worth,
            -excess_slots[request.plan],
            -request.started_s,
        ),
        default=None,
    )
