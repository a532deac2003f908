"""Room at targets that is kept for requests that are more urgent; pure.

Answers a load of several priority classes that together fill the targets:
without it, what can wait takes the last room, and an urgent request that
comes a moment later is late, or is refused, until an answer ends.

The number of urgent requests at a target varies even while their rate doesn't.
It is kept free by what the number rises above its mean: its standard
deviation, which is the square root of the mean for independent arrivals. So
little is kept of a large target, and nothing from the most urgent class.
"""

import math

# Never more than this is kept, so that the least urgent class runs at targets
# that fit a few requests only, too.
MAX_KEPT_RATIO = 0.25
# Standard deviation of the size of a request over its mean: prompts and
# outputs of chat requests are near exponential, and their sum varies less.
SIZE_VARIATION = 0.6


def size_margin_ratio(requests_that_fit: float) -> float:
    """Returns the share of room kept for sizes above their mean.

    Memory is reserved for the mean size of running requests. The sum of many
    stays close to it; at a target of little memory it doesn't, and requests
    beyond its room are turned away there.

    Args:
        requests_that_fit: Requests of usual size that the target has memory
            for.
    """
    if requests_that_fit <= 0.0:
        return MAX_KEPT_RATIO
    return min(MAX_KEPT_RATIO, SIZE_VARIATION / math.sqrt(requests_that_fit))


def kept_ratio(requests_that_fit: float, more_urgent_ratio: float) -> float:
    """Returns the share of a target's room that a request may not use.

    Args:
        requests_that_fit: Requests of usual size that the target has memory
            for.
        more_urgent_ratio: Share of the demand that is more urgent than the
            request, from 0 to 1.
    """
    if more_urgent_ratio <= 0.0:
        return 0.0
    if requests_that_fit <= 0.0:
        return MAX_KEPT_RATIO
    return min(
        MAX_KEPT_RATIO, math.sqrt(more_urgent_ratio / requests_that_fit)
    )


def more_urgent_ratio(
    rate_by_rank_per_s: dict[int, float], rank: int
) -> float:
    """Returns the share of the demand that is more urgent than a rank.

    Args:
        rate_by_rank_per_s: Arrivals by rank; 0 is the most urgent.
        rank: Rank of a request.
    """
    total_per_s = sum(rate_by_rank_per_s.values())
    if total_per_s <= 0.0:
        return 0.0
    urgent_per_s = sum(
        rate_per_s
        for other, rate_per_s in rate_by_rank_per_s.items()
        if other < rank
    )
    return urgent_per_s / total_per_s
