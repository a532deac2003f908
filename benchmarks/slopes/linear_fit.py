"""Straight lines fitted to measured costs."""

import math
import statistics
from typing import NamedTuple


class LinearFit(NamedTuple):
    """A least-squares line through the costs measured at several sizes.

    Attributes:
        name: What was measured.
        unit: Unit of the cost.
        per: Name of the unit in which the size is counted.
        points: Measured pairs of size and cost.
        intercept: Cost at size 0 by the line.
        slope: Cost of one more unit of size.
        max_error: Largest distance of a point from the line, as a share of
            the largest cost.
    """

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]
    intercept: float
    slope: float
    max_error: float

    def cost_at(self, size: float) -> float:
        """Returns the cost at a size by the line."""
        return self.intercept + self.slope * size


def fit_line(name, unit, per, points) -> LinearFit:
    """Fits a line to points of at least three different sizes.

    Raises:
        ValueError: There are fewer than three sizes.
    """
    sizes = [size for size, _ in points]
    if len(set(sizes)) < 3:
        raise ValueError(
            "a line is fitted to costs at three different sizes or more"
        )
    costs = [cost for _, cost in points]
    line = statistics.linear_regression(sizes, costs)
    largest = max(abs(cost) for cost in costs) or 1.0
    max_distance = max(
        abs(cost - line.intercept - line.slope * size) for size, cost in points
    )
    return LinearFit(
        name,
        unit,
        per,
        tuple(points),
        line.intercept,
        line.slope,
        max_distance / largest,
    )


def print_fit(fit: LinearFit) -> None:
    """Prints a fitted line and its points."""
    points = "  ".join(
        f"{size:g}: {_format_number(cost)}" for size, cost in fit.points
    )
    print(f"{fit.name}")
    print(f"    {points} {fit.unit}")
    print(
        f"    {_format_number(fit.slope)} {fit.unit} per {fit.per},"
        f" base {_format_number(fit.intercept)},"
        f" worst point off by {fit.max_error:.0%}"
    )


def _format_number(value: float) -> str:
    """Formats a number with three significant digits."""
    if value == 0 or not math.isfinite(value):
        return f"{value}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{value:,.{digits}f}"
