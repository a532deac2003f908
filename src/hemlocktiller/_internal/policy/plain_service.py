"""Chooses a target of a plain service; pure, without I/O.

A request takes one of a few slots at a target. Targets whose answers fail
less often come first; among these, the one with the fewest own requests per
slot.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import random

from hemlocktiller._internal.policy import fleet

# A target queues a few requests beyond its slots and rejects any more.
MAX_REQUESTS_PER_SLOT = 2.0
# Failure ratios are compared in steps of this size, to ignore noise.
FAILURE_RATIO_STEP = 0.25


def choose_target(
    targets: Iterable[fleet.Target],
    outstanding: Callable[[str], int],
    failure_ratio: Callable[[str], float],
    data_centre: str,
    excluded: Collection[str],
    rng: random.Random,
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
    """

    def sort_key(target):
        requests_per_slot = outstanding(target.name) / max(1, target.slots)
        failure_level = int(failure_ratio(target.name) / FAILURE_RATIO_STEP)
        is_remote = target.data_centre != data_centre
        return (
            failure_level,
            round(requests_per_slot, 1),
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
