"""Decides which target loads which layers; pure, without I/O.

The layout maximizes the throughput of chains of targets that together hold
all layers. Memory limits it: a chain runs as many requests at once as fit
at the stage with the least free memory, each for as long as the accelerators
take for an answer. Chains stay inside a data centre, since the activations
of all prompts share one pipe between data centres.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import functools
import itertools
import math
from typing import NamedTuple

from hemlocktiller._internal.policy import fleet

# A chain that fits fewer concurrent requests of usual size than this is not
# worth the memory for its weights, which is better used in other chains.
MIN_CHAIN_REQUESTS = 6
# A spare target keeps memory for this many requests beside its layers, so that
# routing requests through it pays off.
SPARE_RANGE_REQUESTS = 14
# The time of the search grows with the square of its states and is 0.05 s at
# this many. Larger data centres are split into parts that are planned apart.
MAX_SEARCH_STATES = 250


class PlannedRange(NamedTuple):
    """A planned range of layers, to be held by one target.

    Attributes:
        data_centre: Data centre of the target.
        accelerator: Kind of accelerator that the range was planned for.
        first_layer: First layer.
        end_layer: Layer after the last one.
        chain: Number of the chain within the data centre.
    """

    data_centre: str
    accelerator: str
    first_layer: int
    end_layer: int
    chain: int


class Placement(NamedTuple):
    """A target that should load a range of layers."""

    target: fleet.Target
    first_layer: int
    end_layer: int


def plan_ranges(
    targets: Iterable[fleet.Target], engine: fleet.Engine
) -> tuple[PlannedRange, ...]:
    """Returns the ranges of the chains with the highest total throughput.

    The layers that the targets hold now are not considered.

    Args:
        targets: Live targets of one service.
        engine: Performance model of their engines.
    """
    by_data_centre: dict[str, dict[str, int]] = {}
    for target in targets:
        if target.accelerator in engine.accelerators:
            kind_counts = by_data_centre.setdefault(target.data_centre, {})
            kind_counts[target.accelerator] = (
                kind_counts.get(target.accelerator, 0) + 1
            )
    planned_ranges: list[PlannedRange] = []
    for data_centre, kind_counts in sorted(by_data_centre.items()):
        chains = [
            members
            for composition, part_count in _partition(
                kind_counts, engine
            ).items()
            for members in _best_chains(dict(composition), engine) * part_count
        ]
        for chain_number, members in enumerate(chains):
            planned_ranges.extend(
                _chain_ranges(data_centre, chain_number, members, engine)
            )
    return tuple(planned_ranges)


def held_ranges(
    targets: Sequence[fleet.Target], engine: fleet.Engine
) -> tuple[PlannedRange, ...]:
    """Returns the ranges that targets hold, as a plan that needs no load.

    Answers the loss of a plan while its targets serve. Without a data centre
    that holds all layers nothing is returned, as a new plan serves more.

    Args:
        targets: Ready targets of one service.
        engine: Engine of the service.
    """
    holders = [target for target in targets if target.layers > 0]
    held_layers: dict[str, set[int]] = {}
    for target in holders:
        held_layers.setdefault(target.data_centre, set()).update(
            range(target.first_layer, target.end_layer)
        )
    if all(len(held) < engine.layer_count for held in held_layers.values()):
        return ()
    return tuple(
        PlannedRange(
            target.data_centre,
            target.accelerator,
            target.first_layer,
            target.end_layer,
            0,
        )
        for target in sorted(holders, key=lambda one: one.name)
    )


def fill_ranges(
    planned_ranges: Iterable[PlannedRange],
    targets: Iterable[fleet.Target],
    engine: fleet.Engine,
    silent_names: Collection[str] = (),
) -> list[Placement]:
    """Returns placements that fill the planned ranges with the fewest loads.

    A target that holds the layers of a range keeps them. The other ranges go
    to empty targets first and then to targets whose layers match no range;
    among these, to targets of the planned kind of accelerator first and then
    to any with enough memory.

    Args:
        planned_ranges: The plan.
        targets: Targets that are not lost.
        engine: Performance model of their engines.
        silent_names: Names of targets that keep the layers they hold, but
            can't be ordered to load any now.
    """
    unfilled_ranges, free_targets = _match_holders(
        planned_ranges, targets, engine, silent_names
    )
    free_by_data_centre: dict[
        str, dict[tuple[str, bool], list[fleet.Target]]
    ] = {}
    for target in reversed(free_targets):
        free_by_data_centre.setdefault(target.data_centre, {}).setdefault(
            (target.accelerator, target.layers > 0), []
        ).append(target)
    placements = []
    for planned_range in sorted(unfilled_ranges, key=lambda one: one.chain):
        free_by_group = free_by_data_centre.get(planned_range.data_centre, {})
        group = _best_fit(planned_range, free_by_group, engine)
        if group is not None:
            target = free_by_group[group].pop()
            placements.append(
                Placement(
                    target, planned_range.first_layer, planned_range.end_layer
                )
            )
    return placements


def place_spare_targets(
    planned_ranges: Iterable[PlannedRange],
    targets: Iterable[fleet.Target],
    engine: fleet.Engine,
    silent_names: Collection[str] = (),
) -> list[Placement]:
    """Returns placements for empty targets that no planned range requires.

    Each placement starts at the layer that has the fewest holders in the data
    centre. The arguments are those of `fill_ranges`.
    """
    _, free_targets = _match_holders(
        planned_ranges, targets, engine, silent_names
    )
    holder_counts: dict[str, list[int]] = {}
    for target in targets:
        layer_holders = holder_counts.setdefault(
            target.data_centre, [0] * engine.layer_count
        )
        for layer in range(target.first_layer, target.end_layer):
            layer_holders[layer] += 1
    placements = []
    for target in free_targets:
        kind = engine.accelerators[target.accelerator]
        layers = _max_layers(
            kind, engine, engine.usual_tokens * SPARE_RANGE_REQUESTS
        )
        if target.layers or not layers:
            continue
        layer_holders = holder_counts[target.data_centre]
        range_start = layer_holders.index(min(layer_holders))
        range_start = min(range_start, engine.layer_count - layers)
        placements.append(Placement(target, range_start, range_start + layers))
        for layer in range(range_start, range_start + layers):
            layer_holders[layer] += 1
    return placements


def _match_holders(planned_ranges, targets, engine, silent_names):
    """Matches planned ranges with the targets that hold their layers.

    Returns:
        The ranges without a holder, and the targets without a range that can
        be ordered to load one.
    """
    free_targets: list[fleet.Target] = []
    holders: dict[tuple[str, int, int], list[fleet.Target]] = {}
    for target in sorted(targets, key=lambda one: one.name):
        if target.accelerator not in engine.accelerators:
            continue
        if target.layers == 0:
            free_targets.append(target)
            continue
        key = (target.data_centre, target.first_layer, target.end_layer)
        holders.setdefault(key, []).append(target)
    unfilled_ranges = []
    for planned_range in planned_ranges:
        key = (
            planned_range.data_centre,
            planned_range.first_layer,
            planned_range.end_layer,
        )
        if holders.get(key):
            holders[key].pop()
        else:
            unfilled_ranges.append(planned_range)
    free_targets.extend(
        target for unmatched in holders.values() for target in unmatched
    )
    return unfilled_ranges, [
        target for target in free_targets if target.name not in silent_names
    ]


def _max_layers(kind, engine, tokens):
    """Returns how many layers fit beside the KV cache of some tokens."""
    per_layer_mb = engine.kv_mb_per_token / engine.layer_count
    layers_that_fit = int(
        kind.memory_mb / (engine.layer_mb + tokens * per_layer_mb)
    )
    return min(layers_that_fit, engine.layer_count)


def kv_capacity_tokens(
    accelerator: fleet.Accelerator, layers: int, engine: fleet.Engine
) -> float:
    """Returns how many tokens of KV cache fit beside a number of layers."""
    free_mb = accelerator.memory_mb - layers * engine.layer_mb
    per_layer_mb = engine.kv_mb_per_token / engine.layer_count
    return max(0.0, free_mb) / (layers * per_layer_mb) if layers else 0.0


def _best_fit(planned_range, free_by_group, engine):
    """Returns the group of free targets to fill a range from, or None.

    Args:
        planned_range: The range.
        free_by_group: Free targets of its data centre, by accelerator and by
            whether they hold layers.
        engine: Performance model of their engines.
    """

    def sort_key(group):
        accelerator, holds_layers = group
        kind = engine.accelerators[accelerator]
        return (
            holds_layers,
            accelerator != planned_range.accelerator,
            kind.decode_time_factor,
        )

    layers = planned_range.end_layer - planned_range.first_layer
    fitting = [
        group
        for group, free_targets in free_by_group.items()
        if free_targets
        and kv_capacity_tokens(engine.accelerators[group[0]], layers, engine)
        >= engine.usual_tokens
    ]
    return min(fitting, key=sort_key, default=None)


def _partition(
    kind_counts: Mapping[str, int], engine: fleet.Engine
) -> dict[tuple[tuple[str, int], ...], int]:
    """Splits the targets of a data centre into parts small enough to search.

    Returns:
        The number of parts of each composition; a composition is the number
        of targets of each kind. There are at most two compositions for each
        kind, so that the time of a plan does not grow with the data centre.
    """
    part_count = 1
    # Parts with one target of each kind can't be split further.
    while (
        part_count < max(kind_counts.values())
        and _state_count(
            {
                kind: -(-count // part_count)
                for kind, count in kind_counts.items()
            }
        )
        > MAX_SEARCH_STATES
    ):
        part_count += 1
    offsets = _remainder_offsets(kind_counts, engine, part_count)
    parts_by_composition: dict[tuple[tuple[str, int], ...], int] = {}
    for part in range(part_count):
        composition = tuple(
            (kind, _count_in_part(count, part, part_count, offsets[kind]))
            for kind, count in sorted(kind_counts.items())
        )
        parts_by_composition[composition] = (
            parts_by_composition.get(composition, 0) + 1
        )
    return parts_by_composition


def _count_in_part(count, part, part_count, offset):
    """Returns how many of `count` targets a part gets.

    Targets that can't be spread evenly go to the last parts, or, with an
    offset, to as many parts before them.
    """
    shifted = (part + offset) % part_count
    return (shifted + 1) * count // part_count - shifted * count // part_count


def _remainder_offsets(kind_counts, engine, part_count):
    """Returns for each kind which parts get what can't be spread evenly.

    Where kinds differ much, one target of a large kind makes or breaks a
    part, so the remainders of the kinds go to different parts.
    """
    offsets = dict.fromkeys(kind_counts, 0)
    if not fleet.is_uneven(engine):
        return offsets
    taken = 0
    for kind in sorted(
        kind_counts,
        key=lambda kind: (-engine.accelerators[kind].memory_mb, kind),
    ):
        offsets[kind] = taken
        taken = (taken + kind_counts[kind] % part_count) % part_count
    return offsets


def _best_chains(
    kind_counts: Mapping[str, int], engine: fleet.Engine
) -> list[dict[str, int]]:
    """Returns the chains with the highest total throughput.

    Args:
        kind_counts: Targets of each kind of accelerator to build chains from.
        engine: Performance model of their engines.

    Returns:
        The number of members of each kind, for each chain.
    """
    kinds = sorted(
        kind_counts,
        key=lambda kind: engine.accelerators[kind].decode_time_factor,
    )
    all_targets = tuple(kind_counts[kind] for kind in kinds)
    throughput_by_chain = {
        chain: _throughput(dict(zip(kinds, chain, strict=True)), engine)
        for chain in itertools.product(
            *(range(count + 1) for count in all_targets)
        )
    }
    throughput_by_chain = {
        chain: throughput
        for chain, throughput in throughput_by_chain.items()
        if throughput > 0.0
    }

    @functools.cache
    def best_split(remaining):
        """Returns the highest total throughput and the chains that have it."""
        found = (0.0, ())
        for chain, throughput in throughput_by_chain.items():
            rest = tuple(
                available - taken
                for available, taken in zip(remaining, chain, strict=True)
            )
            if min(rest) < 0:
                continue
            rest_split = best_split(rest)
            if rest_split[0] + throughput > found[0] + 1e-9:
                found = (
                    rest_split[0] + throughput,
                    (chain, *rest_split[1]),
                )
        return found

    return [
        {
            kind: count
            for kind, count in zip(kinds, chain, strict=True)
            if count
        }
        for chain in best_split(all_targets)[1]
    ]


def _state_count(counts):
    """Returns how many subsets of targets, by kind, a search considers."""
    return math.prod(count + 1 for count in counts.values())


def _throughput(chain: Mapping[str, int], engine: fleet.Engine) -> float:
    """Returns the predicted requests per second of a chain.

    By Little's law, these are the concurrent requests that fit, divided by
    the time of an answer; 0 if fewer than `MIN_CHAIN_REQUESTS` fit.
    """
    ranges = _layer_ranges(chain, engine)
    if not ranges:
        return 0.0
    mean_context_tokens = (
        engine.usual_prompt_tokens + engine.usual_output_tokens / 2
    )
    room_tokens = min(
        kv_capacity_tokens(engine.accelerators[kind], end - first, engine)
        for kind, first, end in ranges
    )
    concurrent_requests = room_tokens / mean_context_tokens
    if fleet.is_uneven(engine):
        # Memory beyond what the first stage can run at once is better used
        # in another chain.
        concurrent_requests = min(concurrent_requests, engine.max_sequences)
    if concurrent_requests < MIN_CHAIN_REQUESTS:
        return 0.0
    layer_share = {
        kind: sum(end - first for name, first, end in ranges if name == kind)
        / engine.layer_count
        for kind in chain
    }
    decode_step_ms = (
        engine.step_ms
        + concurrent_requests * engine.sequence_ms
        + concurrent_requests
        * mean_context_tokens
        / 1000.0
        * engine.context_ms_per_1k
    ) * sum(
        engine.accelerators[kind].decode_time_factor * share
        for kind, share in layer_share.items()
    )
    prefill_ms = (
        engine.usual_prompt_tokens
        / engine.prefill_tokens_per_ms
        * sum(
            engine.accelerators[kind].prefill_time_factor * share
            for kind, share in layer_share.items()
        )
    )
    answer_ms = prefill_ms + engine.usual_output_tokens * decode_step_ms
    return concurrent_requests / answer_ms * 1000.0


def _layer_ranges(chain, engine):
    """Returns (kind, first layer, end layer) for each member of a chain.

    Members get layers in proportion to their memory, so that each stage has
    about the same room for requests. [] if the weights take all the memory.
    """
    members = [
        kind for kind in _member_order(chain) for _ in range(chain[kind])
    ]
    total_mb = sum(engine.accelerators[kind].memory_mb for kind in members)
    if total_mb <= engine.layer_count * engine.layer_mb:
        return []
    exact_counts = [
        engine.accelerators[kind].memory_mb * engine.layer_count / total_mb
        for kind in members
    ]
    layer_counts = [int(value) for value in exact_counts]
    by_remainder = sorted(
        range(len(members)), key=lambda i: layer_counts[i] - exact_counts[i]
    )
    for index in by_remainder[: engine.layer_count - sum(layer_counts)]:
        layer_counts[index] += 1
    ranges = []
    range_start = 0
    for kind, count in zip(members, layer_counts, strict=True):
        if count:
            ranges.append((kind, range_start, range_start + count))
        range_start += count
    return ranges


def _member_order(chain):
    """Returns the kinds of a chain, those with the fewest members first.

    The later stages of the chains of a data centre are thus of the same kinds.
    """
    return sorted(chain, key=lambda kind: (chain[kind], kind))


def _chain_ranges(data_centre, number, chain, engine):
    """Returns the planned ranges of the members of a chain."""
    return [
        PlannedRange(data_centre, kind, first, end, number)
        for kind, first, end in _layer_ranges(chain, engine)
    ]
