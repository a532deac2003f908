"""Chooses the targets that a request passes through; pure, without I/O.

Answers the load of one request on top of what runs: the cheapest way, by
predicted time, through holders of all layers in order, each of which has
memory left for the request.
"""

from collections.abc import Callable
from collections.abc import Iterable
import heapq
import itertools
from typing import NamedTuple

from hemlocktiller._internal.gateway import model
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
        room: Measured room of a target in tokens times layers, or None.
    """

    engine: model.Engine
    load: Callable[[str], occupancy.Load]
    pace: Callable[[str], float]


class Choice(NamedTuple):
    """A path and the time that it should take."""

    path: model.Path
    first_event_ms: float
    total_ms: float


def capacity(target: model.Target, engine: model.Engine) -> float:
    """Returns the tokens times layers that a target has memory for."""
    kind = engine.accelerators[target.accelerator]
    return layout.room_tokens(kind, target.layers, engine) * target.layers


def has_room(
    target: model.Target, layers: int, need: Need, view: View
) -> bool:
    """Tells whether a target can take a request for some layers."""
    used = view.load(target.name)
    asked = used.token_layers + need.reserved_tokens * layers
    if used.sequences >= view.engine.max_sequences:
        return False
    return asked <= capacity(target, view.engine) * MEMORY_RATIO


def choose(
    holders: Iterable[model.Target], need: Need, view: View
) -> Choice | None:
    """Returns the path that should answer soonest, or None if all is full.

    A shortest-path search over (layer reached, last target); at each step a
    target runs on to its end or to where another holder begins.
    """
    usable = [
        target
        for target in holders
        if target.layers and target.accelerator in view.engine.accelerators
    ]
    ends = sorted({target.first_layer for target in usable})
    costs = {target.name: _cost(target, need, view) for target in usable}
    order = itertools.count()
    heap: list = [(0.0, next(order), 0, None, 0.0, ())]
    done: set[tuple[int, str]] = set()
    last_layer = view.engine.layer_count
    while heap:
        total, _, layer, last, first_ms, path = heapq.heappop(heap)
        if layer >= last_layer:
            return Choice(path, first_ms, total)
        key = (layer, last.name if last else "")
        if key in done or len(path) >= MAX_STAGES:
            continue
        done.add(key)
        for target in usable:
            if not target.first_layer <= layer < target.end_layer:
                continue
            if any(stage.target is target for stage in path):
                continue
            reading_ms, step_ms, waiting_ms = costs[target.name]
            hop_read_ms, hop_ms = _hop(last, target, need, view.engine)
            for end in _stops(target, layer, ends):
                layers = end - layer
                if not has_room(target, layers, need, view):
                    continue
                first = (
                    first_ms + reading_ms * layers + waiting_ms + hop_read_ms
                )
                more = (
                    reading_ms * layers
                    + waiting_ms
                    + hop_read_ms
                    + need.output_tokens * (step_ms * layers + hop_ms)
                )
                stage = model.Stage(target, layer, end)
                heapq.heappush(
                    heap,
                    (
                        total + more,
                        next(order),
                        end,
                        target,
                        first,
                        (*path, stage),
                    ),
                )
    return None


def _stops(target, layer, starts):
    """Returns the layers at which a path may leave a target."""
    inner = [at for at in starts if layer < at < target.end_layer]
    return [target.end_layer, *inner]


def _cost(target, need, view):
    """Returns ms a layer to read the prompt and for a token, and the wait."""
    engine = view.engine
    kind = engine.accelerators[target.accelerator]
    load = view.load(target.name)
    pace = view.pace(target.name)
    sequences = load.sequences + 1
    context = (load.token_layers / max(1, target.layers)) + need.prompt_tokens
    step_ms = (
        engine.step_ms
        + sequences * engine.sequence_ms
        + context / 1000.0 * engine.context_ms_per_1k
    )
    per_token_ms = (
        kind.prefill_factor
        * pace
        / engine.prefill_tokens_per_ms
        / engine.layer_count
    )
    return (
        need.prompt_tokens * per_token_ms,
        step_ms * kind.step_factor * pace / engine.layer_count,
        load.prefill_tokens * per_token_ms,
    )


def _hop(last, target, need, engine):
    """Returns ms to pass on the prompt, and each token."""
    if last is None:
        return 0.0, 0.0
    megabits = need.prompt_tokens * engine.activation_mb * 8.0
    if last.data_centre == target.data_centre:
        return megabits / engine.link_mbps * 1000.0, HOP_MS
    crossing_ms = megabits / engine.pipe_mbps * 1000.0
    return crossing_ms * CROSSING_WEIGHT, CROSSING_MS
