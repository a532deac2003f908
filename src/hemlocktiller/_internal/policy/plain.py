"""Chooses a target of a plain service; pure, without I/O.

Answers the load of requests that take one of few places at a target: the
fewest own requests per place wins, after targets that fail more often.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import random

from hemlocktiller._internal.policy import fleet

# A target queues a few requests beyond its slots; more are refused there.
QUEUE_RATIO = 2.0
# Failed shares are compared in steps, so that noise decides nothing.
FAILURE_STEP = 0.25


def choose(
    targets: Iterable[fleet.Target],
    outstanding: Callable[[str], int],
    failure_ratio: Callable[[str], float],
    data_centre: str,
    avoid: Collection[str],
    rng: random.Random,
) -> fleet.Target | None:
    """Returns the target for a request; None if all are full.

    Args:
        targets: Targets that may take requests.
        outstanding: Own requests at a target.
        failure_ratio: Share of a target's recent answers that failed.
        data_centre: Where this process runs; near targets win ties.
        avoid: Names of targets that the request has been at.
        rng: Breaks ties, so that not all entries choose alike.
    """

    def rank(target):
        load = outstanding(target.name) / max(1, target.slots)
        failing = int(failure_ratio(target.name) / FAILURE_STEP)
        far = target.data_centre != data_centre
        return (failing, round(load, 1), far, rng.random())

    fitting = [
        target
        for target in targets
        if target.name not in avoid
        and outstanding(target.name) < max(1, target.slots) * QUEUE_RATIO
    ]
    return min(fitting, key=rank, default=None)
