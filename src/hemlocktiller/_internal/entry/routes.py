"""Chooses the chain of stages, or the service target, of a request."""

from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.entry import attempts
from hemlocktiller._internal.entry import outcomes
from hemlocktiller._internal.entry import targets as targets_module
from hemlocktiller._internal.policy import prefixes
from hemlocktiller._internal.policy import routing

MAX_ALTERNATES = 16


class Route(NamedTuple):
    """Where an attempt goes, and why."""

    target: targets_module.Target
    chain: tuple[Any, ...]
    alternates: tuple[Any, ...]
    why: str


def choose(
    shared: attempts.Shared, call: outcomes.ModelCall, excluded: set[str]
) -> Route | None:
    """Returns the best chain for a model request, or None."""
    usable = [
        target
        for target in shared.targets.of_model(call.model)
        if target.name not in excluded and _allowed(call.caller.view, target)
    ]
    stages = [stage_of(target) for target in usable]
    candidates = [
        routing.Candidate(chain[0]["target"], chain)
        for chain in _chains(shared, stages)
    ]
    request = routing.Request(
        call.max_tokens + len(call.prompt.split()),
        len(call.prompt.split()),
        call.max_tokens,
        prefixes.digests(call.prompt),
    )
    now_s = shared.reactor.seconds()
    ranked = routing.rank(
        candidates, request, shared.targets.view, now_s, shared.rng
    )
    if not ranked:
        return None
    best = ranked[0]
    chain = best.candidate.chain
    names = {stage["target"] for stage in chain}
    others = [stage for stage in stages if stage["target"] not in names]
    return Route(
        shared.targets.by_name[best.candidate.target],
        chain,
        tuple(_alternates(chain, others)),
        best.explanation,
    )


def choose_service(
    shared: attempts.Shared, call: outcomes.ServiceCall, excluded: set[str]
) -> Route | None:
    """Returns the best target of a plain service, or None."""
    usable = [
        target
        for target in shared.targets.of_service(call.service)
        if target.name not in excluded and _allowed(call.caller.view, target)
    ]
    candidates = [routing.Candidate(target.name) for target in usable]
    now_s = shared.reactor.seconds()
    ranked = routing.rank(
        candidates,
        routing.Request(1.0),
        shared.targets.view,
        now_s,
        shared.rng,
    )
    if not ranked:
        return None
    best = ranked[0]
    target = shared.targets.by_name[best.candidate.target]
    return Route(target, (), (), best.explanation)


def stage_of(target: targets_module.Target) -> dict[str, Any]:
    """Returns a target as a stage of a chain."""
    record = target.record
    names = ("target", "host", "port", "first_layer", "end_layer")
    return {name: record[name] for name in names}


def _allowed(
    view: snapshot.WorkspaceView, target: targets_module.Target
) -> bool:
    record = target.record
    return snapshot.may_use_target(
        view, record["data_centre"], record["accelerator_kind"]
    )


def _alternates(chain: Any, others: list[Any]) -> list[Any]:
    """Returns stages that may replace one after the first."""
    wanted = {
        (stage["first_layer"], stage["end_layer"]) for stage in chain[1:]
    }
    found = [
        stage
        for stage in others
        if (stage["first_layer"], stage["end_layer"]) in wanted
    ]
    return found[:MAX_ALTERNATES]


def _chains(
    shared: attempts.Shared, stages: list[Any]
) -> list[tuple[Any, ...]]:
    """Returns a chain for each stage that holds the first layers."""
    end_layers = {
        target.record["target"]: target.record["layer_count"]
        for target in shared.targets.by_name.values()
    }
    found = []
    for first in stages:
        if first["first_layer"] != 0:
            continue
        chain = _complete(shared, [first], stages, end_layers[first["target"]])
        if chain is not None:
            found.append(tuple(chain))
    return found


def _complete(
    shared: attempts.Shared,
    chain: list[Any],
    stages: list[Any],
    layer_count: int,
) -> list[Any] | None:
    while chain[-1]["end_layer"] < layer_count:
        layer = chain[-1]["end_layer"]
        following = [
            stage for stage in stages if stage["first_layer"] == layer
        ]
        if not following:
            return None
        loads = shared.targets.view.loads
        chain.append(
            min(
                following,
                key=lambda stage: loads.estimate(stage["target"]).requests,
            )
        )
    return chain
