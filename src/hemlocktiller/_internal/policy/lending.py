"""Return of lent capacity to the plan that is entitled to it."""

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
PREEMPTIONS_BURST = 4.0
PREEMPTIONS_OF_ONE = 2
PATIENCE_S = 0.5


class Running(NamedTuple):
    """A request that runs and could be resumed later.

    Attributes:
        request: Request id.
        plan: Plan that pays for it.
        worth: Worth of an answer in time.
        started_s: When it started.
        preemptions: Times that it was cancelled before.
    """

    request: str
    plan: str
    worth: float
    started_s: float
    preemptions: int = 0


class Lender:
    """Chooses the running request to cancel, at a bounded rate."""

    def __init__(self) -> None:
        self._tokens = PREEMPTIONS_BURST
        self._filled_s = 0.0

    def preempt(
        self,
        waiting: fair_queue.Item,
        running: Sequence[Running],
        shares: Mapping[str, float],
        places: int,
        now_s: float,
        next_free_s: float = math.inf,
    ) -> Running | None:
        """Returns the request to cancel for a waiting one, if any.

        The waiting plan must hold less than its share of the places, and
        the other plan must keep its own share without the cancelled one.
        A place that comes free soon by itself is waited for, as what is
        cancelled has to run its prompt again.

        Args:
            waiting: The request that waits.
            running: The requests that run.
            shares: Entitled share of each plan.
            places: Requests that may run at once.
            now_s: The time.
            next_free_s: Expected time until a place comes free.
        """
        if next_free_s <= PATIENCE_S:
            return None
        self._fill(now_s)
        if self._tokens < 1.0:
            return None
        victim = choose(waiting.plan, running, shares, places)
        if victim is not None:
            self._tokens -= 1.0
            PREEMPTED.labels(victim.plan).inc()
        return victim

    def _fill(self, now_s: float) -> None:
        """Adds the preemptions allowed since the last time."""
        elapsed_s = max(0.0, now_s - self._filled_s)
        tokens = self._tokens + elapsed_s * PREEMPTIONS_PER_S
        self._tokens = min(PREEMPTIONS_BURST, tokens)
        self._filled_s = now_s


def choose(
    plan: str,
    running: Sequence[Running],
    shares: Mapping[str, float],
    places: int,
) -> Running | None:
    """Returns the lent request to take back for a plan, if any.

    It is the one of the lowest worth, then of the plan furthest over its
    share, then the one started last, which loses the least work.
    """
    used = dict.fromkeys(shares, 0)
    for one in running:
        used[one.plan] = used.get(one.plan, 0) + 1
    entitled = shares.get(plan, 0.0) * places
    if used.get(plan, 0) + 1 > entitled:
        return None
    over = {
        name: count - shares.get(name, 0.0) * places
        for name, count in used.items()
    }
    lent = [
        one
        for one in running
        if one.plan != plan
        and over[one.plan] >= 1.0
        and one.preemptions < PREEMPTIONS_OF_ONE
    ]
    return min(
        lent,
        key=lambda one: (one.worth, -over[one.plan], -one.started_s),
        default=None,
    )
