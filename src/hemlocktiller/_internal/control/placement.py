"""Decides which target should load which layers; pure, without I/O.

A model serves in a data centre only if each of its layer ranges has a
live target there. A range that has lost all of its targets gets one back
from the range that has the most to spare.
"""

from collections.abc import Iterable
from typing import NamedTuple

MIN_SPARE = 2  # Targets that a range must have before it gives one up.


class Placed(NamedTuple):
    """A target with the layers that it holds.

    Attributes:
        target: Name.
        first_layer: First layer held.
        end_layer: Layer after the last one held.
        layer_count: Layers of the whole model.
        accelerator_kind: Kind of accelerator.
        requests: Own requests that run or wait there.
    """

    target: str
    first_layer: int
    end_layer: int
    layer_count: int
    accelerator_kind: str
    requests: int


class Move(NamedTuple):
    """A target that should load other layers, and why."""

    target: str
    first_layer: int
    end_layer: int
    why: str


Range = tuple[int, int]


def decide(live: Iterable[Placed], known: Iterable[Range]) -> Move | None:
    """Returns the move that brings a lost range back, or None.

    Args:
        live: Live targets of one model in one data centre.
        known: Layer ranges that the model had there.
    """
    by_range: dict[Range, list[Placed]] = {}
    for placed in live:
        key = (placed.first_layer, placed.end_layer)
        by_range.setdefault(key, []).append(placed)
    lost = sorted(set(known) - set(by_range))
    if not lost:
        return None
    giver = _richest(by_range)
    if giver is None:
        return None
    spare = min(giver, key=lambda one: (one.requests, one.target))
    first_layer, end_layer = lost[0]
    why = (
        f"layers {first_layer} to {end_layer} have no live target,"
        f" layers {spare.first_layer} to {spare.end_layer}"
        f" have {len(giver)}"
    )
    return Move(spare.target, first_layer, end_layer, why)


def _richest(by_range: dict[Range, list[Placed]]) -> list[Placed] | None:
    """Returns the targets of the range with the most to spare."""
    found = max(by_range.values(), key=len, default=[])
    return found if len(found) >= MIN_SPARE else None
