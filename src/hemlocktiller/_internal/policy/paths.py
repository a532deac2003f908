"""Chooses the path of a request through the targets; pure, without I/O.

A path is the sequence of targets that together run all layers of the model
in order. The choice adds one request to those that already run: it returns
the path with the least predicted time on which every target has enough free
memory for the request.
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

# One-way network latency within a data centre and between two, from the
# platform's figures; only their ratio affects the choice.
INTRA_DC_HOP_MS = 0.1
INTER_DC_HOP_MS = 0.5
# A prompt sent between data centres delays all other transfers on the shared
# pipe, so its transfer time is weighted by this factor.
INTER_DC_TRANSFER_WEIGHT = 4.0
# Share of a target's memory that may be reserved; engines preempt requests
# beyond it.
MAX_MEMORY_RATIO = 0.95
MAX_STAGES = 32
# Targets of a data centre that hold the same layers are interchangeable. The
# search keeps the best one, and a second one in case the best lacks memory for
# all of its layers.
MAX_REPLICAS_KEPT = 2
# Weighted A*: inflating the estimate of the remaining time expands fewer
# nodes, and the path found takes at most this many times the least time.
# Predictions from loads that are 0.25 s old are no more accurate than that.
HEURISTIC_WEIGHT = 1.1
# Larger sets of replicas are sampled. The best of 8 is nearly as good as the
# best of all, and sampling keeps gateways with the same information from all
# choosing the same target.
REPLICA_SAMPLE_SIZE = 8
# Above this utilization of the pipe no path leaves its data centre: transfers
# queue behind one another, and each stalls all stages of its request.
MAX_PIPE_UTILIZATION = 0.4


def inter_dc_megabits(
    path: fleet.Path, prompt_tokens: float, engine: fleet.Engine
) -> float:
    """Returns the data that a prompt sends between data centres on a path."""
    inter_dc_hops = sum(
        sender.target.data_centre != receiver.target.data_centre
        for sender, receiver in itertools.pairwise(path)
    )
    return inter_dc_hops * prompt_tokens * engine.activation_mb * 8.0


class RequestDemand(NamedTuple):
    """Resources that a request needs.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        output_tokens: Expected tokens of the answer.
        reserved_tokens: Tokens to reserve memory for.
    """

    prompt_tokens: float
    output_tokens: float
    reserved_tokens: float


class TargetsState(NamedTuple):
    """State of the targets at the time of a choice.

    Attributes:
        engine: Performance model of the targets' engines.
        load: Returns the load of a target, by name.
        pace: Returns the slowdown factor of a target, by name; 1 is normal.
        is_full: Returns whether a target, by name, rejected work recently.
        inter_dc_mbps: Recent traffic of all gateways between data centres.
        cost_factor: Returns a factor for the predicted times in a data
            centre. It differs between requests, so that gateways with the
            same information don't all choose the same path.
        sample: Returns a sample of the given size from a list of targets.
        delay_weight: Weight of the time that a request costs those that run
            at its targets, relative to its own; 0 if it doesn't count.
    """

    engine: fleet.Engine
    load: Callable[[str], occupancy.Load]
    pace: Callable[[str], float]
    is_full: Callable[[str], bool]
    inter_dc_mbps: float = 0.0
    cost_factor: Callable[[str], float] = lambda data_centre: 1.0
    sample: Callable[[list[fleet.Target], int], list[fleet.Target]] = (
        lambda targets, size: targets[:size]
    )
    delay_weight: float = 0.0


class _TargetEstimate(NamedTuple):
    """Predicted cost of running a request at a target.

    Attributes:
        target: The target.
        max_layers: Maximum number of layers that it has free memory for.
        prefill_ms_per_layer: Time to prefill the prompt in one layer.
        decode_ms_per_layer: Time to decode one token in one layer.
        prefill_wait_ms: Time to finish the prefills queued before this one.
        exit_layers: Layers at which a path may leave the target: its end
            layer, and the first layers of other targets of its data centre.
    """

    target: fleet.Target
    max_layers: float
    prefill_ms_per_layer: float
    decode_ms_per_layer: float
    prefill_wait_ms: float
    exit_layers: tuple[int, ...]


class PathChoice(NamedTuple):
    """A path and its predicted times."""

    path: fleet.Path
    first_event_ms: float
    total_ms: float


def token_layer_capacity(target: fleet.Target, engine: fleet.Engine) -> float:
    """Returns the memory of a target, in tokens times layers."""
    kind = engine.accelerators[target.accelerator]
    return (
        layout.kv_capacity_tokens(kind, target.layers, engine) * target.layers
    )


def find_fastest_path(
    targets: Iterable[fleet.Target], demand: RequestDemand, state: TargetsState
) -> PathChoice | None:
    """Returns the path with the least predicted time, or None if none fits.

    A weighted A* search over (layer reached, last target). At each step a
    target runs up to its end layer or to the first layer of another target.
    The heuristic takes the fastest target for each remaining layer, in the
    current data centre or in another one after a transfer.
    """
    estimates = _usable_targets(targets, demand, state)
    model_end = state.engine.layer_count
    if not estimates:
        return None
    remaining_ms = _remaining_lower_bounds(estimates, demand, state)
    lower_bound_ms = min(bounds_ms[0] for bounds_ms in remaining_ms.values())
    if lower_bound_ms == math.inf:
        return None
    estimates_by_layer: dict[int, list[_TargetEstimate]] = {}
    tie_breaker = itertools.count()
    heap: list = [(lower_bound_ms, next(tie_breaker), 0.0, 0, None, 0.0, ())]
    expanded: set[tuple[int, str]] = set()
    while heap:
        _, _, cost_ms, layer, previous, first_event_ms, path = heapq.heappop(
            heap
        )
        if layer >= model_end:
            return PathChoice(path, first_event_ms, cost_ms)
        key = (layer, previous.name if previous else "")
        if key in expanded or len(path) >= MAX_STAGES:
            continue
        expanded.add(key)
        if layer not in estimates_by_layer:
            estimates_by_layer[layer] = [
                one
                for one in estimates
                if one.target.first_layer <= layer < one.target.end_layer
            ]
        for estimate in estimates_by_layer[layer]:
            target = estimate.target
            if any(stage.target is target for stage in path):
                continue
            hop_prefill_ms, hop_decode_ms = _hop_costs(
                previous, target, demand, state
            )
            if hop_prefill_ms == math.inf:
                continue
            remaining_after_ms = remaining_ms[target.data_centre]
            for stage_end in estimate.exit_layers:
                run_layers = stage_end - layer
                if not 0 < run_layers <= estimate.max_layers:
                    continue
                stage_prefill_ms = (
                    estimate.prefill_ms_per_layer * run_layers
                    + estimate.prefill_wait_ms
                    + hop_prefill_ms
                )
                next_cost_ms = (
                    cost_ms
                    + stage_prefill_ms
                    + demand.output_tokens
                    * (
                        estimate.decode_ms_per_layer * run_layers
                        + hop_decode_ms
                    )
                )
                heapq.heappush(
                    heap,
                    (
                        next_cost_ms
                        + HEURISTIC_WEIGHT * remaining_after_ms[stage_end],
                        next(tie_breaker),
                        next_cost_ms,
                        stage_end,
                        target,
                        first_event_ms + stage_prefill_ms,
                        (*path, fleet.Stage(target, layer, stage_end)),
                    ),
                )
    return None


def _remaining_lower_bounds(estimates, demand, state):
    """Returns lower bounds of the time from each layer on, in ms.

    The bounds are listed by data centre and indexed by layer. The remaining
    layers run in that data centre or, after a transfer, in any other; the
    bound is inf if no target holds one of them.
    """
    model_end = state.engine.layer_count
    fastest_ms: dict[str, list[float]] = {}
    for estimate in estimates:
        layer_ms = (
            estimate.prefill_ms_per_layer
            + demand.output_tokens * estimate.decode_ms_per_layer
        )
        range_start, range_end = (
            estimate.target.first_layer,
            estimate.target.end_layer,
        )
        layer_costs_ms = fastest_ms.setdefault(
            estimate.target.data_centre, [math.inf] * model_end
        )
        for layer in range(range_start, min(range_end, model_end)):
            if layer_ms < layer_costs_ms[layer]:
                layer_costs_ms[layer] = layer_ms
    move_ms, move_token_ms = _inter_dc_hop_costs(demand, state)
    move_ms += demand.output_tokens * move_token_ms
    remaining_ms = {
        data_centre: [0.0] * (model_end + 1) for data_centre in fastest_ms
    }
    for layer in reversed(range(model_end)):
        stay_ms = {
            data_centre: layer_costs_ms[layer]
            + remaining_ms[data_centre][layer + 1]
            for data_centre, layer_costs_ms in fastest_ms.items()
        }
        best_moved_ms = min(stay_ms.values()) + move_ms
        for data_centre, dc_stay_ms in stay_ms.items():
            remaining_ms[data_centre][layer] = min(dc_stay_ms, best_moved_ms)
    return remaining_ms


def _usable_targets(targets, demand, state):
    """Returns estimates for the targets that can run at least one layer."""
    available = [
        target
        for target in targets
        if target.layers
        and target.accelerator in state.engine.accelerators
        and not state.is_full(target.name)
    ]
    first_layers: dict[str, set[int]] = {}
    replica_groups: dict[tuple[str, int, int], list[fleet.Target]] = {}
    for target in available:
        key = (target.data_centre, target.first_layer, target.end_layer)
        replica_groups.setdefault(key, []).append(target)
        first_layers.setdefault(target.data_centre, set()).add(
            target.first_layer
        )
    estimates: list[_TargetEstimate] = []
    for (data_centre, *_), replicas in replica_groups.items():
        handover_layers = sorted(first_layers[data_centre])
        estimates.extend(
            _best_replicas(replicas, demand, state, handover_layers)
        )
    return estimates


def _best_replicas(replicas, demand, state, handover_layers):
    """Returns estimates for the best targets that hold the same layers."""
    if len(replicas) > REPLICA_SAMPLE_SIZE:
        replicas = state.sample(replicas, REPLICA_SAMPLE_SIZE)
    estimates = [
        _estimate_target(target, demand, state, handover_layers)
        for target in replicas
    ]
    estimates = [
        estimate for estimate in estimates if estimate.max_layers >= 1
    ]
    if len(estimates) <= MAX_REPLICAS_KEPT:
        return estimates

    def sort_key(estimate):
        layers = estimate.target.layers
        layer_ms = (
            estimate.prefill_ms_per_layer
            + demand.output_tokens * estimate.decode_ms_per_layer
        )
        fits_all_layers = estimate.max_layers >= layers
        return (
            not fits_all_layers,
            layer_ms * layers + estimate.prefill_wait_ms,
        )

    return heapq.nsmallest(MAX_REPLICAS_KEPT, estimates, key=sort_key)


def _estimate_target(target, demand, state, handover_layers):
    """Returns the predicted cost of running a request at a target.

    Args:
        target: The target.
        demand: Resources that the request needs.
        state: State of the targets.
        handover_layers: First layers of all targets of the data centre.
    """
    engine = state.engine
    kind = engine.accelerators[target.accelerator]
    load = state.load(target.name)
    time_factor = state.pace(target.name) * state.cost_factor(
        target.data_centre
    )
    free_token_layers = (
        token_layer_capacity(target, engine) * MAX_MEMORY_RATIO
        - load.token_layers
    )
    max_layers = free_token_layers / demand.reserved_tokens
    if load.sequences >= engine.max_sequences:
        max_layers = 0
    context_tokens = load.token_layers / target.layers + demand.prompt_tokens
    decode_step_ms = (
        engine.step_ms
        + (load.sequences + 1) * engine.sequence_ms
        + context_tokens / 1000.0 * engine.context_ms_per_1k
    )
    if state.delay_weight:
        decode_step_ms += state.delay_weight * _delay_of_others_ms(
            load, demand, engine
        )
    prefill_ms_per_token_layer = (
        kind.prefill_time_factor
        * time_factor
        / engine.prefill_tokens_per_ms
        / engine.layer_count
    )
    inner_layers = [
        layer
        for layer in handover_layers
        if target.first_layer < layer < target.end_layer
    ]
    return _TargetEstimate(
        target,
        max_layers,
        demand.prompt_tokens * prefill_ms_per_token_layer,
        decode_step_ms
        * kind.decode_time_factor
        * time_factor
        / engine.layer_count,
        load.prefill_tokens * prefill_ms_per_token_layer,
        (target.end_layer, *inner_layers),
    )


def _delay_of_others_ms(load, demand, engine):
    """Returns the ms that a request adds to the steps of others, in sum.

    Sequences that end during its answer are replaced by others.
    """
    mean_context_tokens = demand.prompt_tokens + demand.output_tokens / 2.0
    return load.sequences * (
        engine.sequence_ms
        + mean_context_tokens / 1000.0 * engine.context_ms_per_1k
    )


def _hop_costs(previous, target, demand, state):
    """Returns the ms to send the prompt, and one token, to the next stage.

    The time for the prompt is inf if the pipe between the data centres has
    no capacity left.
    """
    engine = state.engine
    if previous is None:
        return 0.0, 0.0
    prompt_megabits = demand.prompt_tokens * engine.activation_mb * 8.0
    if previous.data_centre == target.data_centre:
        return prompt_megabits / engine.link_mbps * 1000.0, INTRA_DC_HOP_MS
    return _inter_dc_hop_costs(demand, state)


def _inter_dc_hop_costs(demand, state):
    """Returns the ms to send a prompt, and a token, between data centres."""
    engine = state.engine
    free_ratio = 1.0 - state.inter_dc_mbps / (
        engine.pipe_mbps * MAX_PIPE_UTILIZATION
    )
    if free_ratio <= 0.0:
        return math.inf, INTER_DC_HOP_MS
    prompt_megabits = demand.prompt_tokens * engine.activation_mb * 8.0
    transfer_ms = prompt_megabits / engine.pipe_mbps * 1000.0
    return transfer_ms * INTER_DC_TRANSFER_WEIGHT / free_ratio, INTER_DC_HOP_MS
