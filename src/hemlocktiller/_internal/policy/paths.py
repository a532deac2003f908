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
    """

    engine: fleet.Engine
    load: Callable[[str], occupancy.Load]
    pace: Callable[[str], float]
    is_full: Callable[[str], bool]
    crossing_mbps: float = 0.0
    bias: Callable[[str], float] = lambda data_centre: 1.0


class _Holder(NamedTuple):
    """A target with what a request meets there.

    Attributes:
        target: The target.
        max_layers: Most layers that it has memory for.
        read_ms: Time to read the prompt, for each layer.
        step_ms: Time of a token, for each layer.
        wait_ms: Time until the prompts before it are read.
        stops: Layers at which a path may leave it.
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
    bounded from below by the fastest holder of each layer.
    """
    usable = _usable(holders, need, view)
    last_layer = view.engine.layer_count
    left_ms = _least_left(usable, need, last_layer)
    if left_ms is None:
        return None
    by_layer: dict[int, list[_Holder]] = {}
    order = itertools.count()
    heap: list = [(left_ms[0], next(order), 0.0, 0, None, 0.0, ())]
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
                        reached + left_ms[end],
                        next(order),
                        reached,
                        end,
                        target,
                        first_ms + first,
                        (*path, fleet.Stage(target, layer, end)),
                    ),
                )
    return None


def _least_left(usable, need, last_layer):
    """Returns the least ms from each layer on; None if one has no holder."""
    fastest = [math.inf] * last_layer
    for holder in usable:
        layer_ms = holder.read_ms + need.output_tokens * holder.step_ms
        first, end = holder.target.first_layer, holder.target.end_layer
        for layer in range(first, min(end, last_layer)):
            if layer_ms < fastest[layer]:
                fastest[layer] = layer_ms
    if math.inf in fastest:
        return None
    left_ms = [0.0]
    for layer_ms in reversed(fastest):
        left_ms.append(left_ms[-1] + layer_ms)
    left_ms.reverse()
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
    starts = sorted({target.first_layer for target in held})
    usable = []
    for target in held:
        holder = _holder(target, need, view, starts)
        if holder.max_layers >= 1:
            usable.append(holder)
    return usable


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
    free = 1.0 - view.crossing_mbps / (engine.pipe_mbps * PIPE_SHARE)
    if free <= 0.0:
        return math.inf, CROSSING_MS
    crossing_ms = megabits / engine.pipe_mbps * 1000.0
    return crossing_ms * CROSSING_WEIGHT / free, CROSSING_MS
