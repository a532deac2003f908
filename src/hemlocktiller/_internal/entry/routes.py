"""Chooses the chain of stages or the service target for a request."""

from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.entry import call_types
from hemlocktiller._internal.entry import request_context
from hemlocktiller._internal.entry import targets as targets_module
from hemlocktiller._internal.policy import chains
from hemlocktiller._internal.policy import prefixes
from hemlocktiller._internal.policy import routing

MAX_ALTERNATES = 16


class RemainingWork(NamedTuple):
    """Expected work of an attempt.

    Attributes:
        output_tokens: Expected number of tokens still to be generated.
        remaining_s: Time left until the deadline.
    """

    output_tokens: float
    remaining_s: float


class Route(NamedTuple):
    """Destination of an attempt.

    Attributes:
        target: Target of the first stage, or of the service.
        chain: Stages of a model request in the order of their layers.
        alternates: Stages that may replace a later stage of the chain.
        explanation: Why this route was chosen, for the request log.
    """

    target: targets_module.Target
    chain: tuple[Any, ...]
    alternates: tuple[Any, ...]
    explanation: str


def choose_model_route(
    context: request_context.RequestContext,
    call: call_types.ModelCall,
    prompt_info: prefixes.PromptInfo,
    remaining_work: RemainingWork,
    excluded: set[str],
) -> Route | None:
    """Returns the best route for a model request, or None.

    Args:
        context: Components of the entry.
        call: The model request.
        prompt_info: Length and beginnings of its prompt.
        remaining_work: Expected work of the attempt.
        excluded: Names of targets that must not be used.
    """
    usable_targets = {
        target.name: target
        for target in context.targets.usable_for_model(call.model)
        if target.name not in excluded
        and is_allowed(call.caller.workspace_view, target)
    }
    candidates = [
        routing.Candidate(
            chain.targets[0].target,
            tuple(
                stage_record(usable_targets[member.target])
                for member in chain.targets
            ),
            chain.cost_s,
        )
        for chain in _usable_chains(context, call.model, usable_targets)
    ]
    request = routing.RequestInfo(
        call.caller.workspace_view.plan["plan"],
        prompt_info.word_count,
        remaining_work.output_tokens,
        prompt_info.beginnings,
        remaining_work.remaining_s,
    )
    now_s = context.reactor.seconds()
    ranked = routing.rank(
        candidates, request, context.targets.routing_state, now_s, context.rng
    )
    if not ranked:
        return None
    best = ranked[0]
    first_target = usable_targets[best.candidate.target]
    chain = best.candidate.chain
    context.targets.routing_state.held.record_sent(
        first_target.name, request.parts, now_s
    )
    return Route(
        first_target,
        chain,
        _alternate_stages(chain, usable_targets),
        best.explanation,
    )


def choose_service_route(
    context: request_context.RequestContext,
    call: call_types.ServiceCall,
    excluded: set[str],
) -> Route | None:
    """Returns the best route for a call of a plain service, or None.

    Args:
        context: Components of the entry.
        call: The call.
        excluded: Names of targets that must not be used.
    """
    usable_targets = [
        target
        for target in context.targets.usable_for_service(call.service)
        if target.name not in excluded
        and is_allowed(call.caller.workspace_view, target)
    ]
    candidates = [routing.Candidate(target.name) for target in usable_targets]
    now_s = context.reactor.seconds()
    ranked = routing.rank(
        candidates,
        routing.RequestInfo(call.caller.workspace_view.plan["plan"]),
        context.targets.routing_state,
        now_s,
        context.rng,
    )
    if not ranked:
        return None
    best = ranked[0]
    target = context.targets.by_name[best.candidate.target]
    return Route(target, (), (), best.explanation)


def stage_record(target: targets_module.Target) -> dict[str, Any]:
    """Returns the fields that describe a target as a stage of a chain."""
    record = target.record
    names = ("target", "host", "port", "first_layer", "end_layer")
    return {name: record[name] for name in names}


def is_allowed(
    view: snapshot.WorkspaceView, target: targets_module.Target
) -> bool:
    """Returns whether the caller's plan may use a target."""
    record = target.record
    return snapshot.may_use_target(
        view, record["data_centre"], record["accelerator_kind"]
    )


def _usable_chains(
    context: request_context.RequestContext,
    model: str,
    usable_targets: dict[str, targets_module.Target],
) -> list[chains.Chain]:
    """Returns chains that consist of usable targets only.

    If each cached chain contains another target, chains are chosen anew
    among the usable ones.
    """
    chain_cache = context.targets.chain_cache
    cached_chains = chain_cache.chains(context.settings["data_centre"], model)
    matching_chains = [
        chain
        for chain in cached_chains
        if all(member.target in usable_targets for member in chain.targets)
    ]
    if matching_chains or not usable_targets:
        return matching_chains
    chain_targets = [
        targets_module.chain_target(candidate)
        for candidate in usable_targets.values()
    ]
    return chains.choose_chains(
        chain_targets, context.targets.latency_averages
    )


def _alternate_stages(
    chain: tuple[Any, ...], usable_targets: dict[str, targets_module.Target]
) -> tuple[Any, ...]:
    """Returns stages that may replace a later stage of a chain."""
    chain_targets = [
        targets_module.chain_target(usable_targets[stage["target"]])
        for stage in chain
    ]
    usable_chain_targets = [
        targets_module.chain_target(candidate)
        for candidate in usable_targets.values()
    ]
    alternate_targets = chains.alternates(chain_targets, usable_chain_targets)
    later_alternates = [
        candidate
        for candidate in alternate_targets
        if candidate.first_layer > 0
    ]
    return tuple(
        stage_record(usable_targets[candidate.target])
        for candidate in later_alternates[:MAX_ALTERNATES]
    )
