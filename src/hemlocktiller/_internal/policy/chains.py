"""Choice of the targets that together hold all layers of a model."""

from collections.abc import Iterable
from collections.abc import Sequence
import heapq
from typing import NamedTuple

STAGE_S = 0.02
NEAR_LINK_S = 0.0002
FAR_LINK_S = 0.001
EWMA_WEIGHT = 0.2
CHAINS_LIMIT = 64


class Target(NamedTuple):
    """A target that holds the layers [first_layer, end_layer) of a model.

    Attributes:
        target: Name.
        data_centre: Data centre.
        model: Model.
        first_layer: First layer held.
        end_layer: Layer after the last one held.
        layer_count: Layers of the whole model.
        max_running: Requests that it runs at once.
    """

    target: str
    data_centre: str
    model: str
    first_layer: int
    end_layer: int
    layer_count: int
    max_running: int = 1


class Chain(NamedTuple):
    """Targets in the order of their layers.

    Attributes:
        targets: The targets.
        cost_s: Expected time for one token through all of them.
    """

    targets: tuple[Target, ...]
    cost_s: float


class Costs:
    """Measured times of stages and links, as moving averages."""

    def __init__(self) -> None:
        self._stage_s: dict[str, float] = {}
        self._link_s: dict[tuple[str, str], float] = {}

    def stage_measured(self, target: str, time_s: float) -> None:
        """Takes the time that a target needed for one token."""
        _average(self._stage_s, target, time_s)

    def link_measured(self, one: str, other: str, one_way_s: float) -> None:
        """Takes half a round trip between two targets or data centres."""
        _average(self._link_s, _pair(one, other), one_way_s)

    def stage_s(self, target: Target) -> float:
        """Returns the expected time of a stage for one token."""
        return self._stage_s.get(target.target, STAGE_S)

    def link_s(self, one: Target, other: Target) -> float:
        """Returns the expected one-way time of a link."""
        known_s = self._link_s.get(_pair(one.target, other.target))
        if known_s is not None:
            return known_s
        near = one.data_centre == other.data_centre
        pair = _pair(one.data_centre, other.data_centre)
        return self._link_s.get(pair, NEAR_LINK_S if near else FAR_LINK_S)

    def forget(self, target: str) -> None:
        """Drops a target that left."""
        self._stage_s.pop(target, None)
        for pair in [pair for pair in self._link_s if target in pair]:
            del self._link_s[pair]


def _average(known: dict, key: object, time_s: float) -> None:
    """Adds a measurement to a moving average."""
    before_s = known.get(key, time_s)
    known[key] = before_s + EWMA_WEIGHT * (time_s - before_s)


def _pair(one: str, other: str) -> tuple[str, str]:
    """Returns the key of a link, the same for both directions."""
    return (one, other) if one <= other else (other, one)


def choose(
    targets: Iterable[Target], costs: Costs, limit: int = CHAINS_LIMIT
) -> list[Chain]:
    """Returns chains over the given targets, one for each first stage.

    Each is the shortest path from its first stage to the last layer. A
    stage that an earlier chain uses costs more, by the places taken, so
    that the chains spread over equal stages.

    Args:
        targets: Targets of one model.
        costs: Measured times.
        limit: Most chains to return.
    """
    by_first: dict[int, list[Target]] = {}
    for target in targets:
        by_first.setdefault(target.first_layer, []).append(target)
    firsts = sorted(
        by_first.get(0, []), key=lambda one: (costs.stage_s(one), one.target)
    )
    uses: dict[str, float] = {}
    chains = []
    for first in firsts[:limit]:
        path = _shortest(first, by_first, costs, uses)
        if path:
            chains.append(Chain(path, path_cost_s(path, costs)))
        for target in path:
            share = first.max_running / max(target.max_running, 1)
            uses[target.target] = uses.get(target.target, 0.0) + share
    return sorted(chains, key=lambda chain: chain.cost_s)


def path_cost_s(path: Sequence[Target], costs: Costs) -> float:
    """Returns the expected time of one token, the way back included."""
    stages_s = sum(costs.stage_s(target) for target in path)
    links_s = sum(
        costs.link_s(one, other)
        for one, other in zip(path, path[1:], strict=False)
    )
    return stages_s + links_s + costs.link_s(path[-1], path[0])


def alternates(
    path: Sequence[Target], targets: Iterable[Target]
) -> list[Target]:
    """Returns the targets that can replace a stage of a chain.

    They hold the same layers; those in the stage's data centre come first.
    """
    used = {target.target for target in path}
    stages = {(one.first_layer, one.end_layer): one for one in path}
    found = []
    for target in targets:
        stage = stages.get((target.first_layer, target.end_layer))
        if stage is None or target.target in used:
            continue
        far = stage.data_centre != target.data_centre
        found.append((stage.first_layer, far, target.target, target))
    return [entry[-1] for entry in sorted(found)]


def _shortest(
    first: Target,
    by_first: dict[int, list[Target]],
    costs: Costs,
    uses: dict[str, float],
) -> tuple[Target, ...]:
    """Returns the cheapest path from a stage to the last layer (Dijkstra).

    Links depend on both ends, so the nodes are targets and not layer
    boundaries; the last stage also pays for the link back to the first.
    """
    heap = [(0.0, first.target, first, (first,), False)]
    settled = set()
    while heap:
        cost_s, name, target, path, closed = heapq.heappop(heap)
        if closed:
            return path
        if name in settled:
            continue
        settled.add(name)
        if target.end_layer == target.layer_count:
            back_s = cost_s + costs.link_s(target, first)
            heapq.heappush(heap, (back_s, name, target, path, True))
            continue
        for successor in by_first.get(target.end_layer, ()):
            if successor.target in settled:
                continue
            taken = 1.0 + uses.get(successor.target, 0.0)
            step_s = costs.stage_s(successor) * taken
            step_s += costs.link_s(target, successor)
            entry = (cost_s + step_s, successor.target, successor)
            heapq.heappush(heap, (*entry, (*path, successor), False))
    return ()


class Chooser:
    """Chains by data centre and model, kept until their targets change.

    Args:
        costs: Measured times; `refresh` takes their changes in.
    """

    def __init__(self, costs: Costs) -> None:
        self._costs = costs
        self._targets: dict[str, Target] = {}
        self._by_model: dict[str, dict[str, Target]] = {}
        self._kept: dict[tuple[str, str], list[Chain]] = {}

    def add(self, target: Target) -> None:
        """Adds a target or replaces what is known of it."""
        if self._targets.get(target.target) == target:
            return
        self.remove(target.target)
        self._targets[target.target] = target
        self._by_model.setdefault(target.model, {})[target.target] = target
        self.refresh(target.model)

    def remove(self, name: str) -> None:
        """Drops a target that died or leaves."""
        target = self._targets.pop(name, None)
        if target is None:
            return
        del self._by_model[target.model][name]
        self.refresh(target.model)

    def refresh(self, model: str) -> None:
        """Has the chains of a model chosen anew at their next use."""
        for key in [key for key in self._kept if key[1] == model]:
            del self._kept[key]

    def chains(self, data_centre: str, model: str) -> list[Chain]:
        """Returns the chains of a model, cheapest first.

        They stay within the data centre; only if it holds no whole model,
        they may use all data centres.
        """
        key = (data_centre, model)
        if key not in self._kept:
            self._kept[key] = self._choose(data_centre, model)
        return self._kept[key]

    def alternates(self, path: Sequence[Target]) -> list[Target]:
        """Returns the targets that can replace a stage of a chain."""
        return alternates(path, self._by_model[path[0].model].values())

    def _choose(self, data_centre: str, model: str) -> list[Chain]:
        targets = self._by_model.get(model, {}).values()
        near = [one for one in targets if one.data_centre == data_centre]
        return choose(near, self._costs) or choose(targets, self._costs)
