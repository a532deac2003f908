"""Straight lines through measured points."""

import math
import statistics
from typing import NamedTuple


class Slope(NamedTuple):
    """What one more unit costs, from measured points.

    Attributes:
        name: What was measured.
        unit: Unit of the cost.
        per: What one more of is counted.
        points: Measured pairs of size and cost.
        base: Cost at size 0, by the line.
        slope: Cost of one more.
        error: Largest distance of a point from the line, as a share of the
            largest cost.
    """

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]
    base: float
    slope: float
    error: float

    def at(self, size: float) -> float:
        """Returns the cost at a size, by the line."""
        return self.base + self.slope * size


def fit(name, unit, per, points) -> Slope:
    """Returns the least-squares line through points of three sizes or more.

    Raises:
        ValueError: With fewer than three sizes.
    """
    sizes = [size for size, _ in points]
    if len(set(sizes)) < 3:
        raise ValueError("a slope needs three sizes")
    costs = [cost for _, cost in points]
    line = statistics.linear_regression(sizes, costs)
    largest = max(abs(cost) for cost in costs) or 1.0
    error = max(
        abs(cost - line.intercept - line.slope * size) for size, cost in points
    )
    return Slope(
        name,
        unit,
        per,
        tuple(points),
        line.intercept,
        line.slope,
        error / largest,
    )


def show(slope: Slope) -> None:
    """Prints a slope with its points."""
    points = "  ".join(
        f"{size:g}: {_short(cost)}" for size, cost in slope.points
    )
    print(f"{slope.name}")
    print(f"    {points} {slope.unit}")
    print(
        f"    {_short(slope.slope)} {slope.unit} per {slope.per},"
        f" base {_short(slope.base)},"
        f" worst point off by {slope.error:.0%}"
    )


def _short(value: float) -> str:
    """Formats a number with three significant digits."""
    if value == 0 or not math.isfinite(value):
        return f"{value}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{value:,.{digits}f}"
