"""Percentiles of small samples."""

import math


def at(values: list[float], share: float) -> float:
    """Returns the smallest value that a share of the values don't exceed.

    Args:
        values: The sample; the result of an empty one is not a number.
        share: Between 0 and 1.
    """
    if not values:
        return math.nan
    rank = max(math.ceil(share * len(values)), 1)
    return sorted(values)[rank - 1]
