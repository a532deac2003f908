"""Chooses the chain of stages, or the service target, of a request."""

from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.entry import attempts
from hemlocktiller._internal.entry import outcomes
from hemlocktiller._internal.entry import targets as targets_module
from hemlocktiller._internal.policy import chains
from hemlocktiller._internal.policy import prefixes
from hemlocktiller._internal.policy import routing

MAX_ALTERNATES = 16


class Needs(NamedTuple):
    """What an attempt is expected to need.

    Attributes:
        output_tokens: Tokens that are still to come.
        remaining_s: Time to the deadline.
    """

    output_tokens: float
    remaining_s: float


class Route(NamedTuple):
    """Where an attempt goes, and why."""

    target: targets_module.Target
    chain: tuple[Any, ...]
    alternates: tuple[Any, ...]
    why: str


def choose(
    shared: attempts.Shared,
    call: outcomes.ModelCall,
    needs: Needs,
    excluded: set[str],
) -> Route | None:
    """Returns the best chain for a model request, or None."""
    usable = {
        target.name: target
        for target in shared.targets.of_model(call.model)
        if target.name not in excluded and _allowed(call.caller.view, target)
    }
    candidates = [
        routing.Candidate(
            chain.targets[0].target,
            tuple(stage_of(usable[one.target]) for one in chain.targets),
            chain.cost_s,
        )
        for chain in _chains(shared, call.model, usable)
    ]
    words = len(call.prompt.split())
    request = routing.Request(
        call.caller.view.plan["plan"],
        words,
        needs.output_tokens,
        prefixes.digests(call.prompt),
        needs.remaining_s,
    )
    now_s = shared.reactor.seconds()
    ranked = routing.rank(
        candidates, request, shared.targets.view, now_s, shared.rng
    )
    if not ranked:
        return None
    best = ranked[0]
    head = usable[best.candidate.target]
    chain = best.candidate.chain
    shared.targets.view.cached.note(head.name, request.prefixes, now_s)
    return Route(head, chain, _alternates(chain, usable), best.explanation)


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
        routing.Request(call.caller.view.plan["plan"]),
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


def _chains(
    shared: attempts.Shared,
    model: str,
    usable: dict[str, targets_module.Target],
) -> list[chains.Chain]:
    """Returns the chains that use nothing but usable targets."""
    chooser = shared.targets.chooser
    known = chooser.chains(shared.settings["data_centre"], model)
    found = [
        chain
        for chain in known
        if all(one.target in usable for one in chain.targets)
    ]
    if found or not usable:
        return found
    some = [targets_module.chain_target(one) for one in usable.values()]
    return chains.choose(some, shared.targets.costs)


def _alternates(
    chain: tuple[Any, ...], usable: dict[str, targets_module.Target]
) -> tuple[Any, ...]:
    """Returns stages that may replace one after the first."""
    path = [
        targets_module.chain_target(usable[stage["target"]]) for stage in chain
    ]
    others = [targets_module.chain_target(one) for one in usable.values()]
    found = chains.alternates(path, others)
    later = [one for one in found if one.first_layer > 0]
    return tuple(
        stage_of(usable[one.target]) for one in later[:MAX_ALTERNATES]
    )
