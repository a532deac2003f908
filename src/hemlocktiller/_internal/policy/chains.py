"""Chooses chains of targets that together hold all layers of a model."""

from collections.abc import Iterable
from collections.abc import Sequence
import heapq
from typing import NamedTuple

DEFAULT_STAGE_S = 0.02
DEFAULT_INTRA_DC_LINK_S = 0.0002
DEFAULT_INTER_DC_LINK_S = 0.001
EWMA_WEIGHT = 0.2
MAX_CHAINS = 64


class Target(NamedTuple):
    """A target that holds the layers [first_layer, end_layer) of a model.

    Attributes:
        target: Name of the target.
        data_centre: Data centre that it runs in.
        model: Name of the model.
        first_layer: First layer held.
        end_layer: Layer after the last one held.
        layer_count: Layers of the whole model.
        max_running: Maximum number of requests that it runs at once.
    """

    target: str
    data_centre: str
    model: str
    first_layer: int
    end_layer: int
    layer_count: int
    max_running: int = 1


class Chain(NamedTuple):
    """Targets that together hold all layers of a model.

    Attributes:
        targets: Targets in the order of their layers.
        cost_s: Expected time of one token through all of them.
    """

    targets: tuple[Target, ...]
    cost_s: float


class LatencyAverages:
    """Exponential moving averages of the times of stages and links."""

    def __init__(self) -> None:
        self._stage_s: dict[str, float] = {}
        self._link_s: dict[tuple[str, str], float] = {}

    def record_stage_time(self, target: str, time_s: float) -> None:
        """Records the time that a target took for one token."""
        _update_average(self._stage_s, target, time_s)

    def record_link_time(self, one: str, other: str, one_way_s: float) -> None:
        """Records half a round trip between two targets or data centres."""
        _update_average(self._link_s, _link_key(one, other), one_way_s)

    def stage_s(self, target: Target) -> float:
        """Returns the expected time of a stage for one token."""
        return self._stage_s.get(target.target, DEFAULT_STAGE_S)

    def link_s(self, sender: Target, receiver: Target) -> float:
        """Returns the expected one-way time of a link."""
        measured_s = self._link_s.get(
            _link_key(sender.target, receiver.target)
        )
        if measured_s is not None:
            return measured_s
        is_same_data_centre = sender.data_centre == receiver.data_centre
        data_centre_link = _link_key(sender.data_centre, receiver.data_centre)
        return self._link_s.get(
            data_centre_link,
            DEFAULT_INTRA_DC_LINK_S
            if is_same_data_centre
            else DEFAULT_INTER_DC_LINK_S,
        )

    def forget(self, target: str) -> None:
        """Drops the measurements of a target that left."""
        self._stage_s.pop(target, None)
        for link in [link for link in self._link_s if target in link]:
            del self._link_s[link]


def _update_average(averages: dict, key: object, time_s: float) -> None:
    """Adds a measurement to the exponential moving average of a key."""
    average_s = averages.get(key, time_s)
    averages[key] = average_s + EWMA_WEIGHT * (time_s - average_s)


def _link_key(one: str, other: str) -> tuple[str, str]:
    """Returns the key of a link, the same for both directions."""
    return (one, other) if one <= other else (other, one)


def choose_chains(
    targets: Iterable[Target],
    latencies: LatencyAverages,
    limit: int = MAX_CHAINS,
) -> list[Chain]:
    """Returns chains of the given targets, one for each first stage.

    Each is the shortest path from its first stage to the last layer. The cost
    of a target rises with the share of its capacity that earlier chains use,
    so that the chains spread over targets with the same layers.

    Args:
        targets: Targets of one model.
        latencies: Measured times.
        limit: Maximum number of chains.
    """
    by_first_layer: dict[int, list[Target]] = {}
    for target in targets:
        by_first_layer.setdefault(target.first_layer, []).append(target)
    first_stages = sorted(
        by_first_layer.get(0, []),
        key=lambda one: (latencies.stage_s(one), one.target),
    )
    use_ratios: dict[str, float] = {}
    chains = []
    for first_stage in first_stages[:limit]:
        path = _shortest_path(
            first_stage, by_first_layer, latencies, use_ratios
        )
        if path:
            chains.append(Chain(path, path_cost_s(path, latencies)))
        for target in path:
            use_ratio = first_stage.max_running / max(target.max_running, 1)
            use_ratios[target.target] = (
                use_ratios.get(target.target, 0.0) + use_ratio
            )
    return sorted(chains, key=lambda chain: chain.cost_s)


def path_cost_s(path: Sequence[Target], latencies: LatencyAverages) -> float:
    """Returns the expected time of one token through a path.

    The link from the last target back to the first is included.
    """
    stages_s = sum(latencies.stage_s(target) for target in path)
    links_s = sum(
        latencies.link_s(sender, receiver)
        for sender, receiver in zip(path, path[1:], strict=False)
    )
    return stages_s + links_s + latencies.link_s(path[-1], path[0])


def alternates(
    path: Sequence[Target], targets: Iterable[Target]
) -> list[Target]:
    """Returns the targets that can replace a target of a chain.

    They hold the same layers; those in the same data centre come first.
    """
    names_in_path = {target.target for target in path}
    stages = {
        (member.first_layer, member.end_layer): member for member in path
    }
    ranked = []
    for target in targets:
        replaced = stages.get((target.first_layer, target.end_layer))
        if replaced is None or target.target in names_in_path:
            continue
        is_remote = replaced.data_centre != target.data_centre
        ranked.append((replaced.first_layer, is_remote, target.target, target))
    return [entry[-1] for entry in sorted(ranked)]


def _shortest_path(
    first_stage: Target,
    by_first_layer: dict[int, list[Target]],
    latencies: LatencyAverages,
    use_ratios: dict[str, float],
) -> tuple[Target, ...]:
    """Returns the cheapest path from a first stage to the last layer.

    Uses Dijkstra's algorithm; () if no path reaches the last layer. The cost
    of a link depends on both ends, so the nodes are targets and not layer
    boundaries. The cost of a path includes the link from its last stage back
    to the first.
    """
    heap = [(0.0, first_stage.target, first_stage, (first_stage,), False)]
    settled = set()
    while heap:
        cost_s, name, target, path, is_complete = heapq.heappop(heap)
        if is_complete:
            return path
        if name in settled:
            continue
        settled.add(name)
        if target.end_layer == target.layer_count:
            complete_cost_s = cost_s + latencies.link_s(target, first_stage)
            heapq.heappush(heap, (complete_cost_s, name, target, path, True))
            continue
        for successor in by_first_layer.get(target.end_layer, ()):
            if successor.target in settled:
                continue
            use_factor = 1.0 + use_ratios.get(successor.target, 0.0)
            step_s = latencies.stage_s(successor) * use_factor
            step_s += latencies.link_s(target, successor)
            entry = (cost_s + step_s, successor.target, successor)
            heapq.heappush(heap, (*entry, (*path, successor), False))
    return ()


class ChainCache:
    """Cache of the chains for each data centre and model.

    The chains of a model are chosen again after its targets change.

    Args:
        latencies: Measured times. After they change, call `invalidate` to have
            the chains chosen with the new times.
    """

    def __init__(self, latencies: LatencyAverages) -> None:
        self._latencies = latencies
        self._targets: dict[str, Target] = {}
        self._by_model: dict[str, dict[str, Target]] = {}
        self._chains: dict[tuple[str, str], list[Chain]] = {}

    def add(self, target: Target) -> None:
        """Adds a target or replaces its description."""
        if self._targets.get(target.target) == target:
            return
        self.remove(target.target)
        self._targets[target.target] = target
        self._by_model.setdefault(target.model, {})[target.target] = target
        self.invalidate(target.model)

    def remove(self, name: str) -> None:
        """Removes a target that crashed or leaves."""
        target = self._targets.pop(name, None)
        if target is None:
            return
        del self._by_model[target.model][name]
        self.invalidate(target.model)

    def invalidate(self, model: str) -> None:
        """Drops the cached chains of a model; the next use chooses anew."""
        for key in [key for key in self._chains if key[1] == model]:
            del self._chains[key]

    def chains(self, data_centre: str, model: str) -> list[Chain]:
        """Returns the chains of a model, cheapest first.

        They stay within the data centre, unless its targets don't hold all
        layers of the model; then they may use the targets of any.
        """
        key = (data_centre, model)
        if key not in self._chains:
            self._chains[key] = self._choose(data_centre, model)
        return self._chains[key]

    def alternates(self, path: Sequence[Target]) -> list[Target]:
        """Returns the targets that can replace a target of a chain."""
        return alternates(path, self._by_model[path[0].model].values())

    def _choose(self, data_centre: str, model: str) -> list[Chain]:
        """Chooses chains within a data centre, or else across all of them."""
        targets = self._by_model.get(model, {}).values()
        local_targets = [
            target for target in targets if target.data_centre == data_centre
        ]
        return choose_chains(local_targets, self._latencies) or choose_chains(
            targets, self._latencies
        )
