"""Chooses the targets that a request passes through; pure, without I/O.

Answers the load of one request on top of what runs: the cheapest way, by
predicted time, through holders of all layers in order, each of which has
memory left for the request.
"""

from collections.abc import Callable
from collections.abc import Iterable
import heapq
import itertools
import math
from typing import NamedTuple

from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import layout
from hemlocktiller._internal.policy import occupancy

# One way between targets of a data centre and of two, from the platform's
# figures of its network; only their ratio matters for the choice.
HOP_MS = 0.1
CROSSING_MS = 0.5
# A prompt that crosses holds up all others on the shared pipe, so its time
# there counts several times.
CROSSING_WEIGHT = 4.0
# Part of a target's memory that is promised; beyond it engines preempt.
MEMORY_RATIO = 0.95
MAX_STAGES = 32
# Holders of the same layers in a data centre are interchangeable: a path
# needs the best of them, and another where that one has no room for all.
KEPT_OF_EQUAL = 2
# What is left counts this much in the search, so that it follows few ways and
# the path found takes at most this many times the least time. Times predicted
# from loads that are a quarter of a second old are no better than that.
SEARCH_WEIGHT = 1.1
# Of more than this many a sample is looked at. The best of eight is nearly as
# good as that of all, and gateways that know the same choose apart by it.
SAMPLED_OF_EQUAL = 8
# Beyond this share of the pipe no path crosses: transfers wait for one
# another there, and each of them holds up all stages of its request.
PIPE_SHARE = 0.4


def crossing_megabits(
    path: fleet.Path, prompt_tokens: float, engine: fleet.Engine
) -> float:
    """Returns what a prompt sends between data centres on a path."""
    crossings = sum(
        left.target.data_centre != right.target.data_centre
        for left, right in itertools.pairwise(path)
    )
    return crossings * prompt_tokens * engine.activation_mb * 8.0


class Need(NamedTuple):
    """What a request takes.

    Attributes:
        prompt_tokens: Tokens to read.
        output_tokens: Tokens expected in the answer.
        reserved_tokens: Tokens for which memory is asked.
    """

    prompt_tokens: float
    output_tokens: float
    reserved_tokens: float


class View(NamedTuple):
    """What is known of the targets at a moment.

    Attributes:
        engine: How they work.
        load: Load of a target by name.
        pace: Slowness of a target by name; 1 is usual.
        is_full: Whether a target turned work down a moment ago.
        crossing_mbps: What all send between data centres of late.
        bias: Factor on the predicted time at a data centre; differs between
            requests, so that gateways that know the same choose apart.
        sample: Returns some of many holders, for a sample of given size.
    """

    engine: fleet.Engine
    load: Callable[[str], occupancy.Load]
    pace: Callable[[str], float]
    is_full: Callable[[str], bool]
    crossing_mbps: float = 0.0
    bias: Callable[[str], float] = lambda data_centre: 1.0
    sample: Callable[[list[fleet.Target], int], list[fleet.Target]] = (
        lambda holders, size: holders[:size]
    )


class _Holder(NamedTuple):
    """A target with what a request meets there.

    Attributes:
        target: The target.
        max_layers: Most layers that it has memory for.
        read_ms: Time to read the prompt, for each layer.
        step_ms: Time of a token, for each layer.
        wait_ms: Time until the prompts before it are read.
        stops: Layers at which a path may leave it: its end, and where
            another target of its data centre begins.
    """

    target: fleet.Target
    max_layers: float
    read_ms: float
    step_ms: float
    wait_ms: float
    stops: tuple[int, ...]


class Choice(NamedTuple):
    """A path and the time that it should take."""

    path: fleet.Path
    first_event_ms: float
    total_ms: float


def capacity(target: fleet.Target, engine: fleet.Engine) -> float:
    """Returns the tokens times layers that a target has memory for."""
    kind = engine.accelerators[target.accelerator]
    return layout.room_tokens(kind, target.layers, engine) * target.layers


def choose(
    holders: Iterable[fleet.Target], need: Need, view: View
) -> Choice | None:
    """Returns the path that should answer soonest, or None if all is full.

    An A* search over (layer reached, last target); at each step a target
    runs on to its end or to where another holder begins. What is left is
    bounded from below by the fastest holder of each layer in the data centre,
    or in another one after a crossing.
    """
    usable = _usable(holders, need, view)
    last_layer = view.engine.layer_count
    if not usable:
        return None
    left_ms = _least_left(usable, need, view)
    least_ms = min(left[0] for left in left_ms.values())
    if least_ms == math.inf:
        return None
    by_layer: dict[int, list[_Holder]] = {}
    order = itertools.count()
    heap: list = [(least_ms, next(order), 0.0, 0, None, 0.0, ())]
    done: set[tuple[int, str]] = set()
    while heap:
        _, _, total, layer, last, first_ms, path = heapq.heappop(heap)
        if layer >= last_layer:
            return Choice(path, first_ms, total)
        key = (layer, last.name if last else "")
        if key in done or len(path) >= MAX_STAGES:
            continue
        done.add(key)
        if layer not in by_layer:
            by_layer[layer] = [
                one
                for one in usable
                if one.target.first_layer <= layer < one.target.end_layer
            ]
        for holder in by_layer[layer]:
            target = holder.target
            if any(stage.target is target for stage in path):
                continue
            hop_read_ms, hop_ms = _hop(last, target, need, view)
            if hop_read_ms == math.inf:
                continue
            least_after_ms = left_ms[target.data_centre]
            for end in holder.stops:
                layers = end - layer
                if not 0 < layers <= holder.max_layers:
                    continue
                first = holder.read_ms * layers + holder.wait_ms + hop_read_ms
                reached = (
                    total
                    + first
                    + need.output_tokens * (holder.step_ms * layers + hop_ms)
                )
                heapq.heappush(
                    heap,
                    (
                        reached + SEARCH_WEIGHT * least_after_ms[end],
                        next(order),
                        reached,
                        end,
                        target,
                        first_ms + first,
                        (*path, fleet.Stage(target, layer, end)),
                    ),
                )
    return None


def _least_left(usable, need, view):
    """Returns by data centre the least ms from each layer on.

    What is left at a layer is run in the data centre that was reached, or
    in any other after a crossing; inf where a layer has no holder.
    """
    last_layer = view.engine.layer_count
    fastest: dict[str, list[float]] = {}
    for holder in usable:
        layer_ms = holder.read_ms + need.output_tokens * holder.step_ms
        first, end = holder.target.first_layer, holder.target.end_layer
        layers = fastest.setdefault(
            holder.target.data_centre, [math.inf] * last_layer
        )
        for layer in range(first, min(end, last_layer)):
            if layer_ms < layers[layer]:
                layers[layer] = layer_ms
    crossing_ms, token_ms = _crossing(need, view)
    crossing_ms += need.output_tokens * token_ms
    left_ms = {
        data_centre: [0.0] * (last_layer + 1) for data_centre in fastest
    }
    for layer in reversed(range(last_layer)):
        stay_ms = {
            data_centre: layers[layer] + left_ms[data_centre][layer + 1]
            for data_centre, layers in fastest.items()
        }
        moved_ms = min(stay_ms.values()) + crossing_ms
        for data_centre, own_ms in stay_ms.items():
            left_ms[data_centre][layer] = min(own_ms, moved_ms)
    return left_ms


def _usable(holders, need, view):
    """Returns the holders that have room for at least one layer."""
    held = [
        target
        for target in holders
        if target.layers
        and target.accelerator in view.engine.accelerators
        and not view.is_full(target.name)
    ]
    starts: dict[str, set[int]] = {}
    groups: dict[tuple[str, int, int], list[fleet.Target]] = {}
    for target in held:
        key = (target.data_centre, target.first_layer, target.end_layer)
        groups.setdefault(key, []).append(target)
        starts.setdefault(target.data_centre, set()).add(target.first_layer)
    usable: list[_Holder] = []
    for (data_centre, *_), equal in groups.items():
        joints = sorted(starts[data_centre])
        usable.extend(_best_of_equal(equal, need, view, joints))
    return usable


def _best_of_equal(equal, need, view, starts):
    """Returns the best of the targets that hold the same layers."""
    if len(equal) > SAMPLED_OF_EQUAL:
        equal = view.sample(equal, SAMPLED_OF_EQUAL)
    holders = [_holder(target, need, view, starts) for target in equal]
    holders = [holder for holder in holders if holder.max_layers >= 1]
    if len(holders) <= KEPT_OF_EQUAL:
        return holders

    def badness(holder):
        layers = holder.target.layers
        layer_ms = holder.read_ms + need.output_tokens * holder.step_ms
        has_room = holder.max_layers >= layers
        return not has_room, layer_ms * layers + holder.wait_ms

    return heapq.nsmallest(KEPT_OF_EQUAL, holders, key=badness)


def _holder(target, need, view, starts):
    engine = view.engine
    kind = engine.accelerators[target.accelerator]
    load = view.load(target.name)
    pace = view.pace(target.name) * view.bias(target.data_centre)
    left = capacity(target, engine) * MEMORY_RATIO - load.token_layers
    max_layers = left / need.reserved_tokens
    if load.sequences >= engine.max_sequences:
        max_layers = 0
    context = load.token_layers / target.layers + need.prompt_tokens
    step_ms = (
        engine.step_ms
        + (load.sequences + 1) * engine.sequence_ms
        + context / 1000.0 * engine.context_ms_per_1k
    )
    read_ms = (
        kind.prefill_factor
        * pace
        / engine.prefill_tokens_per_ms
        / engine.layer_count
    )
    inner = [at for at in starts if target.first_layer < at < target.end_layer]
    return _Holder(
        target,
        max_layers,
        need.prompt_tokens * read_ms,
        step_ms * kind.step_factor * pace / engine.layer_count,
        load.prefill_tokens * read_ms,
        (target.end_layer, *inner),
    )


def _hop(last, target, need, view):
    """Returns ms to pass on the prompt, and each token; inf for no way."""
    engine = view.engine
    if last is None:
        return 0.0, 0.0
    megabits = need.prompt_tokens * engine.activation_mb * 8.0
    if last.data_centre == target.data_centre:
        return megabits / engine.link_mbps * 1000.0, HOP_MS
    return _crossing(need, view)


def _crossing(need, view):
    """Returns ms to pass on the prompt between data centres, and a token."""
    engine = view.engine
    free = 1.0 - view.crossing_mbps / (engine.pipe_mbps * PIPE_SHARE)
    if free <= 0.0:
        return math.inf, CROSSING_MS
    megabits = need.prompt_tokens * engine.activation_mb * 8.0
    crossing_ms = megabits / engine.pipe_mbps * 1000.0
    return crossing_ms * CROSSING_WEIGHT / free, CROSSING_MS
