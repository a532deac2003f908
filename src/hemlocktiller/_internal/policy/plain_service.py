"""Chooses a target of a plain service; pure, without I/O.

A request takes one of a few slots at a target. Targets whose answers fail
less often come first; among these, the one with the fewest requests per slot,
or where the times of answers are known, the one that answers first.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import math
import random

from hemlocktiller._internal.policy import fleet

# A target queues a few requests beyond its slots and rejects any more.
MAX_REQUESTS_PER_SLOT = 2.0
# Failure ratios are compared in steps of this size, to ignore noise.
FAILURE_RATIO_STEP = 0.25
# Times of answers are compared in steps of this factor: a target that is as
# slow as that makes callers late, and smaller differences are chance.
ANSWER_TIME_STEP = 2.0


def choose_target(
    targets: Iterable[fleet.Target],
    outstanding: Callable[[str], int],
    failure_ratio: Callable[[str], float],
    data_centre: str,
    excluded: Collection[str],
    rng: random.Random,
    answer_ms: Callable[[str], float] = lambda name: 0.0,
) -> fleet.Target | None:
    """Returns the target for a request, or None if all are full.

    Args:
        targets: Targets that accept requests.
        outstanding: Returns the number of own requests at a target, by name.
        failure_ratio: Returns the share of a target's recent answers that
            failed, by name.
        data_centre: Data centre of this process; its targets win ties.
        excluded: Names of targets that the request was already sent to.
        rng: Breaks ties at random, so that not all processes choose the same
            target.
        answer_ms: Returns the mean time of a target's answers, by name; 0 if
            it is unknown, which counts as that of the fastest target.
    """
    targets = list(targets)
    times_ms = {target.name: answer_ms(target.name) for target in targets}
    least_ms = min(filter(None, times_ms.values()), default=1.0)

    def sort_key(target):
        requests_per_slot = outstanding(target.name) / max(1, target.slots)
        failure_level = int(failure_ratio(target.name) / FAILURE_RATIO_STEP)
        is_remote = target.data_centre != data_centre
        slowdown = max(1.0, times_ms[target.name] / least_ms)
        level = ANSWER_TIME_STEP ** int(math.log(slowdown, ANSWER_TIME_STEP))
        return (
            failure_level,
            # An idle target that is slow is as good as a busy one.
            round(requests_per_slot * level + level - 1.0, 1),
            is_remote,
            rng.random(),
        )

    available = [
        target
        for target in targets
        if target.name not in excluded
        and outstanding(target.name)
        < max(1, target.slots) * MAX_REQUESTS_PER_SLOT
    ]
    return min(available, key=sort_key, default=None)
