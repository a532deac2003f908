"""Decides which target holds which layers; pure, without I/O.

Answers the load that memory binds: a chain of targets serves as many
requests at once as its tightest stage has memory for, each for as long as
its accelerators take for an answer. Chains stay inside a data centre, since
one pipe between data centres carries the activations of all prompts.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import functools
import itertools
import math
from typing import NamedTuple

from hemlocktiller._internal.policy import fleet

# A chain below this many requests of usual size at once is not worth its
# weights: the memory of one copy of the model is better spent elsewhere.
MIN_CHAIN_REQUESTS = 6
# A spare leaves room for this many, so that it is worth passing through.
SPARE_CHAIN_REQUESTS = 14
# The search takes the square of these states, 0.05 s at this many. The targets
# of a larger data centre are dealt into parts, and each is planned by itself.
MAX_STATES = 250


class Slot(NamedTuple):
    """A range of layers that a target of a kind should hold.

    Attributes:
        data_centre: Where.
        accelerator: Kind of accelerator it was planned for.
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


def plan(
    targets: Iterable[fleet.Target], engine: fleet.Engine
) -> tuple[Slot, ...]:
    """Returns the slots that serve best, for empty targets.

    Args:
        targets: Live targets of one service.
        engine: How they work.
    """
    by_data_centre: dict[str, dict[str, int]] = {}
    for target in targets:
        if target.accelerator in engine.accelerators:
            counts = by_data_centre.setdefault(target.data_centre, {})
            counts[target.accelerator] = counts.get(target.accelerator, 0) + 1
    slots: list[Slot] = []
    for data_centre, counts in sorted(by_data_centre.items()):
        chains = [
            chain
            for part, copies in _parts(counts).items()
            for chain in _best_chains(dict(part), engine) * copies
        ]
        for number, chain in enumerate(chains):
            slots.extend(_slots(data_centre, number, chain, engine))
    return tuple(slots)


def assign(
    slots: Iterable[Slot],
    targets: Iterable[fleet.Target],
    engine: fleet.Engine,
) -> list[Placement]:
    """Returns the loads that fill the slots, moving as little as possible.

    A target that holds a slot keeps it. Empty targets fill the others, and
    after them those that hold no slot: first those of the planned kind,
    then any that has the memory.

    Args:
        slots: The plan.
        targets: Live targets.
        engine: How they work.
    """
    open_slots, free = _match(slots, targets, engine)
    groups: dict[str, dict[tuple[str, bool], list[fleet.Target]]] = {}
    for target in reversed(free):
        groups.setdefault(target.data_centre, {}).setdefault(
            (target.accelerator, target.layers > 0), []
        ).append(target)
    placements = []
    for slot in sorted(open_slots, key=lambda one: one.chain):
        fitting = groups.get(slot.data_centre, {})
        best = _best_fit(slot, fitting, engine)
        if best is not None:
            target = fitting[best].pop()
            placements.append(
                Placement(target, slot.first_layer, slot.end_layer)
            )
    return placements


def spares(
    slots: Iterable[Slot],
    targets: Iterable[fleet.Target],
    engine: fleet.Engine,
) -> list[Placement]:
    """Returns ranges for empty targets that no slot needs.

    Each takes the layers that fewest others of its data centre hold.
    """
    _, free = _match(slots, targets, engine)
    coverage: dict[str, list[int]] = {}
    for target in targets:
        counts = coverage.setdefault(
            target.data_centre, [0] * engine.layer_count
        )
        for layer in range(target.first_layer, target.end_layer):
            counts[layer] += 1
    placements = []
    for target in free:
        kind = engine.accelerators[target.accelerator]
        layers = _most_layers(
            kind, engine, engine.usual_tokens * SPARE_CHAIN_REQUESTS
        )
        if target.layers or not layers:
            continue
        counts = coverage[target.data_centre]
        first = counts.index(min(counts))
        first = min(first, engine.layer_count - layers)
        placements.append(Placement(target, first, first + layers))
        for layer in range(first, first + layers):
            counts[layer] += 1
    return placements


def _match(slots, targets, engine):
    """Returns the slots without a holder, and targets without a slot."""
    free: list[fleet.Target] = []
    holders: dict[tuple[str, int, int], list[fleet.Target]] = {}
    for target in sorted(targets, key=lambda one: one.name):
        if target.accelerator not in engine.accelerators:
            continue
        if target.layers == 0:
            free.append(target)
            continue
        key = (target.data_centre, target.first_layer, target.end_layer)
        holders.setdefault(key, []).append(target)
    open_slots = []
    for slot in slots:
        key = (slot.data_centre, slot.first_layer, slot.end_layer)
        if holders.get(key):
            holders[key].pop()
        else:
            open_slots.append(slot)
    free.extend(target for left in holders.values() for target in left)
    return open_slots, free


def _most_layers(kind, engine, tokens):
    """Returns the most layers that leave room for some tokens."""
    per_layer_mb = engine.kv_mb_per_token / engine.layer_count
    most = int(kind.memory_mb / (engine.layer_mb + tokens * per_layer_mb))
    return min(most, engine.layer_count)


def room_tokens(
    accelerator: fleet.Accelerator, layers: int, engine: fleet.Engine
) -> float:
    """Returns the tokens that fit beside a number of layers."""
    free_mb = accelerator.memory_mb - layers * engine.layer_mb
    per_layer_mb = engine.kv_mb_per_token / engine.layer_count
    return max(0.0, free_mb) / (layers * per_layer_mb) if layers else 0.0


def _best_fit(slot, groups, engine):
    """Returns the group of free targets that suits a slot best, or None.

    Args:
        slot: The slot.
        groups: Free targets of its data centre by accelerator and by whether
            they hold layers.
        engine: How they work.
    """

    def badness(group):
        accelerator, holds_layers = group
        kind = engine.accelerators[accelerator]
        return holds_layers, accelerator != slot.accelerator, kind.step_factor

    layers = slot.end_layer - slot.first_layer
    fitting = [
        group
        for group, free in groups.items()
        if free
        and room_tokens(engine.accelerators[group[0]], layers, engine)
        >= engine.usual_tokens
    ]
    return min(fitting, key=badness, default=None)


def _parts(
    counts: Mapping[str, int],
) -> dict[tuple[tuple[str, int], ...], int]:
    """Deals the targets of a data centre into parts that can be searched.

    Returns:
        How many parts there are of each composition, in counts by kind.
        There are at most two compositions for each kind, so that the time of
        a plan does not grow with the data centre.
    """
    parts = 1
    # Parts of one target of each kind can't be made smaller.
    while (
        parts < max(counts.values())
        and _states(
            {kind: -(-count // parts) for kind, count in counts.items()}
        )
        > MAX_STATES
    ):
        parts += 1
    dealt: dict[tuple[tuple[str, int], ...], int] = {}
    for part in range(parts):
        composition = tuple(
            (kind, (part + 1) * count // parts - part * count // parts)
            for kind, count in sorted(counts.items())
        )
        dealt[composition] = dealt.get(composition, 0) + 1
    return dealt


def _best_chains(
    counts: Mapping[str, int], engine: fleet.Engine
) -> list[dict[str, int]]:
    """Returns the chains of one data centre with the most throughput."""
    kinds = sorted(
        counts, key=lambda kind: engine.accelerators[kind].step_factor
    )
    full = tuple(counts[kind] for kind in kinds)
    shapes = {
        shape: _throughput(dict(zip(kinds, shape, strict=True)), engine)
        for shape in itertools.product(*(range(n + 1) for n in full))
    }
    shapes = {shape: gain for shape, gain in shapes.items() if gain > 0.0}

    @functools.cache
    def best(left):
        found = (0.0, ())
        for shape, gain in shapes.items():
            rest = tuple(a - b for a, b in zip(left, shape, strict=True))
            if min(rest) < 0:
                continue
            below = best(rest)
            if below[0] + gain > found[0] + 1e-9:
                found = (below[0] + gain, (shape, *below[1]))
        return found

    return [
        {kind: n for kind, n in zip(kinds, shape, strict=True) if n}
        for shape in best(full)[1]
    ]


def _states(counts):
    return math.prod(count + 1 for count in counts.values())


def _throughput(chain: Mapping[str, int], engine: fleet.Engine) -> float:
    """Estimates the requests per second of a chain; 0 if it is too tight.

    By Little's law: requests that fit at once over the time of an answer.
    """
    ranges = _ranges(chain, engine)
    if not ranges:
        return 0.0
    usual_tokens = engine.usual_prompt_tokens + engine.usual_output_tokens / 2
    room = min(
        room_tokens(engine.accelerators[kind], end - first, engine)
        for kind, first, end in ranges
    )
    sequences = room / usual_tokens
    if sequences < MIN_CHAIN_REQUESTS:
        return 0.0
    share = {
        kind: sum(end - first for name, first, end in ranges if name == kind)
        / engine.layer_count
        for kind in chain
    }
    step_ms = (
        engine.step_ms
        + sequences * engine.sequence_ms
        + sequences * usual_tokens / 1000.0 * engine.context_ms_per_1k
    ) * sum(
        engine.accelerators[kind].step_factor * part
        for kind, part in share.items()
    )
    prefill_ms = (
        engine.usual_prompt_tokens
        / engine.prefill_tokens_per_ms
        * sum(
            engine.accelerators[kind].prefill_factor * part
            for kind, part in share.items()
        )
    )
    answer_ms = prefill_ms + engine.usual_output_tokens * step_ms
    return sequences / answer_ms * 1000.0


def _ranges(chain, engine):
    """Returns (kind, first, end) of each member, by memory; [] if short.

    Equal room at each stage means layers in proportion to memory.
    """
    members = [
        kind for kind in _member_order(chain) for _ in range(chain[kind])
    ]
    total_mb = sum(engine.accelerators[kind].memory_mb for kind in members)
    if total_mb <= engine.layer_count * engine.layer_mb:
        return []
    exact = [
        engine.accelerators[kind].memory_mb * engine.layer_count / total_mb
        for kind in members
    ]
    counts = [int(value) for value in exact]
    by_rest = sorted(range(len(members)), key=lambda i: counts[i] - exact[i])
    for index in by_rest[: engine.layer_count - sum(counts)]:
        counts[index] += 1
    ranges = []
    first = 0
    for kind, count in zip(members, counts, strict=True):
        if count:
            ranges.append((kind, first, first + count))
        first += count
    return ranges


def _member_order(chain):
    """Orders kinds; chains of one data centre share their later kinds."""
    return sorted(chain, key=lambda kind: (chain[kind], kind))


def _slots(data_centre, number, chain, engine):
    return [
        Slot(data_centre, kind, first, end, number)
        for kind, first, end in _ranges(chain, engine)
    ]
