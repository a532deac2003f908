"""Percentiles of small samples."""

import math


def percentile(values: list[float], fraction: float) -> float:
    """Returns a percentile by the nearest-rank method, without interpolation.

    Args:
        values: The sample; the percentile of an empty sample is NaN.
        fraction: Rank of the percentile, between 0 and 1.
    """
    if not values:
        return math.nan
    rank = max(math.ceil(fraction * len(values)), 1)
    return sorted(values)[rank - 1]
