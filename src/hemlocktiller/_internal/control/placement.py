"""Decides which target should load which layers, without I/O.

A model can serve requests in a data centre only if each of its layer
ranges has a live target there. If a range has lost all of its targets, a
target of the range with the most targets is reassigned to it.
"""

from collections.abc import Iterable
from typing import NamedTuple

MIN_DONOR_TARGETS = 2  # Targets that a range needs to give one up.


class Placed(NamedTuple):
    """A target with the layers that it has loaded.

    Attributes:
        target: Name of the target.
        first_layer: First loaded layer.
        end_layer: Layer after the last loaded one.
        layer_count: Number of layers of the whole model.
        accelerator_kind: Kind of accelerator.
        requests: Number of this process's requests that run or wait there.
    """

    target: str
    first_layer: int
    end_layer: int
    layer_count: int
    accelerator_kind: str
    requests: int


class Move(NamedTuple):
    """A target that should load other layers, with the reason."""

    target: str
    first_layer: int
    end_layer: int
    why: str


Range = tuple[int, int]


def decide(
    live_targets: Iterable[Placed], known_ranges: Iterable[Range]
) -> Move | None:
    """Returns a move that restores the first lost range, or None.

    Args:
        live_targets: Live targets of one model in one data centre.
        known_ranges: Layer ranges that the model has had there.
    """
    targets_by_range: dict[Range, list[Placed]] = {}
    for placed in live_targets:
        layer_range = (placed.first_layer, placed.end_layer)
        targets_by_range.setdefault(layer_range, []).append(placed)
    lost_ranges = sorted(set(known_ranges) - set(targets_by_range))
    if not lost_ranges:
        return None
    donor = _largest_range(targets_by_range)
    if donor is None:
        return None
    moved = min(donor, key=lambda one: (one.requests, one.target))
    first_layer, end_layer = lost_ranges[0]
    why = (
        f"layers {first_layer} to {end_layer} have no live target,"
        f" layers {moved.first_layer} to {moved.end_layer}"
        f" have {len(donor)}"
    )
    return Move(moved.target, first_layer, end_layer, why)


def _largest_range(
    targets_by_range: dict[Range, list[Placed]],
) -> list[Placed] | None:
    """Returns the targets of the range with the most; None if too few."""
    largest = max(targets_by_range.values(), key=len, default=[])
    return largest if len(largest) >= MIN_DONOR_TARGETS else None
