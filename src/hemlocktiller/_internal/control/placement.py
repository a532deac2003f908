"""Decides which target should load which layers, without I/O.

A model can serve requests in a data centre only if each of its layer
ranges has a live target there. If a range has lost all of its targets, a
target of the range with the most targets is reassigned to it.
"""

from collections.abc import Iterable
from typing import NamedTuple

MIN_DONOR_TARGETS = 2  # Targets that a range must have to give one away.


class LoadedTarget(NamedTuple):
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
    reason: str


LayerRange = tuple[int, int]


def choose_move(
    live_targets: Iterable[LoadedTarget], known_ranges: Iterable[LayerRange]
) -> Move | None:
    """Returns a move that restores the first lost range, or None.

    Args:
        live_targets: Live targets of one model in one data centre.
        known_ranges: Layer ranges that the model has had there.
    """
    targets_by_range: dict[LayerRange, list[LoadedTarget]] = {}
    for loaded in live_targets:
        layer_range = (loaded.first_layer, loaded.end_layer)
        targets_by_range.setdefault(layer_range, []).append(loaded)
    lost_ranges = sorted(set(known_ranges) - set(targets_by_range))
    if not lost_ranges:
        return None
    donor_targets = _largest_range(targets_by_range)
    if donor_targets is None:
        return None
    moved = min(donor_targets, key=lambda one: (one.requests, one.target))
    first_layer, end_layer = lost_ranges[0]
    reason = (
        f"layers {first_layer} to {end_layer} have no live target,"
        f" layers {moved.first_layer} to {moved.end_layer}"
        f" have {len(donor_targets)}"
    )
    return Move(moved.target, first_layer, end_layer, reason)


def _largest_range(
    targets_by_range: dict[LayerRange, list[LoadedTarget]],
) -> list[LoadedTarget] | None:
    """Returns the targets of the range with the most; None if too few."""
    largest = max(targets_by_range.values(), key=len, default=[])
    return largest if len(largest) >= MIN_DONOR_TARGETS else None
