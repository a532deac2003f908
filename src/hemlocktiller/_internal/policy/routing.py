"""Ranks the chains that can run a request by expected time."""

from collections.abc import Callable
from collections.abc import Sequence
import math
import random
from typing import NamedTuple

from hemlocktiller._internal.policy import breaker
from hemlocktiller._internal.policy import costs
from hemlocktiller._internal.policy import held_prompts
from hemlocktiller._internal.policy import load_estimates
from hemlocktiller._internal.schemas import messages

SAMPLE_SIZE = 4
DEADLINE_SAFETY_FACTOR = 1.5


class Candidate(NamedTuple):
    """A chain that may run the request.

    Attributes:
        target: Target of the first stage, where the request would wait.
        chain: Stages in the order of their layers.
        cost_s: Time that the chain takes for one token.
    """

    target: str
    chain: tuple[messages.Stage, ...] = ()
    cost_s: float = 0.0


class RequestInfo(NamedTuple):
    """Properties of a request that affect its routing.

    Attributes:
        plan: Plan that the request is charged to.
        prompt_words: Words of the prompt.
        output_tokens: Expected tokens of the answer.
        parts: Beginnings of the prompt, shortest first, in words.
        remaining_s: Time to the deadline.
    """

    plan: str
    prompt_words: int = 0
    output_tokens: int = 0
    parts: Sequence[held_prompts.Part] = ()
    remaining_s: float = math.inf


class Choice(NamedTuple):
    """A ranked candidate.

    Attributes:
        candidate: The candidate.
        expected_s: Expected time until the answer is complete.
        score: Sort key of the choices, lowest first.
        explanation: Parts of the expected time, shown by `explain`.
    """

    candidate: Candidate
    expected_s: float
    score: tuple[bool, float]
    explanation: str


class EntryState(NamedTuple):
    """State of an entry that affects routing."""

    loads: load_estimates.Loads
    held: held_prompts.HeldPrompts
    circuit_breakers: breaker.CircuitBreakers


def rank(
    candidates: Sequence[Candidate],
    request: RequestInfo,
    entry_state: EntryState,
    now_s: float,
    rng: random.Random,
    sample_size: int = SAMPLE_SIZE,
    weigh: Callable[..., held_prompts.Worth] = held_prompts.weigh,
) -> list[Choice]:
    """Ranks a few candidates, best first.

    Considers a random sample, and the candidates that hold most of the
    prompt. Without the sample, all entries with the same stale
    load reports would choose the same target.

    Args:
        candidates: Chains that the request may use.
        request: The request.
        entry_state: State of this entry.
        now_s: The time.
        rng: Source of the sample.
        sample_size: Size of the sample.
        weigh: See `held_prompts.weigh`.
    """
    usable = [
        candidate
        for candidate in candidates
        if entry_state.circuit_breakers.allows(candidate.target, now_s)
        and not entry_state.loads.is_leaving(candidate.target)
    ]
    beliefs = {
        candidate.target: entry_state.held.belief(
            candidate.target, request.parts, now_s
        )
        for candidate in usable
    }
    considered = _sample(usable, beliefs, rng, sample_size)
    estimates = [
        entry_state.loads.estimate(candidate.target, request.plan)
        for candidate in considered
    ]
    waits_s = [_wait_tokens(one) / one.tokens_per_s for one in estimates]
    mean_wait_s = sum(waits_s) / max(1, len(waits_s))
    choices = [
        _evaluate(
            candidate,
            request,
            estimate,
            beliefs[candidate.target],
            mean_wait_s,
            weigh,
        )
        for candidate, estimate in zip(considered, estimates, strict=True)
    ]
    return sorted(choices, key=lambda choice: choice.score)


def _sample(
    usable: list[Candidate],
    beliefs: dict[str, held_prompts.Belief],
    rng: random.Random,
    sample_size: int,
) -> list[Candidate]:
    """Returns a random sample and some that hold most of the prompt."""
    sampled_candidates = rng.sample(usable, min(sample_size, len(usable)))
    longest = max((belief.tokens for belief in beliefs.values()), default=0.0)
    if longest == 0.0:
        return sampled_candidates
    sampled_targets = {candidate.target for candidate in sampled_candidates}
    holders = [
        candidate
        for candidate in usable
        if beliefs[candidate.target].tokens == longest
        and candidate.target not in sampled_targets
    ]
    return sampled_candidates + rng.sample(
        holders, min(sample_size, len(holders))
    )


def _wait_tokens(estimate: load_estimates.Estimate) -> float:
    """Returns the cost of what a target serves before a new request."""
    return 0.0 if estimate.has_free_slot else estimate.backlog_tokens


def _evaluate(
    candidate: Candidate,
    request: RequestInfo,
    estimate: load_estimates.Estimate,
    belief: held_prompts.Belief,
    mean_wait_s: float,
    weigh: Callable[..., held_prompts.Worth],
) -> Choice:
    """Returns a candidate with its expected time and its score.

    On a target that can run the request at once, the score is the expected
    time. On a busy target, reading the prompt also delays the requests there,
    which the score adds. Candidates that would probably miss the deadline
    come last.
    """
    wait_tokens = _wait_tokens(estimate)
    wait_s = wait_tokens / estimate.tokens_per_s
    offer = held_prompts.Offer(
        wait_s,
        costs.PROMPT_WORD_TOKENS / estimate.tokens_per_s,
        0 if estimate.has_free_slot else estimate.requests,
        belief,
    )
    worth = weigh((offer,), request.prompt_words, mean_wait_s)
    output_s = request.output_tokens * candidate.cost_s
    expected_s = wait_s + worth.read_s + output_s
    is_late = DEADLINE_SAFETY_FACTOR * expected_s > request.remaining_s
    explanation = (
        f"{candidate.target}: wait {wait_s:.3f} s"
        f" ({estimate.requests} requests, {wait_tokens:.0f} tokens)"
        f" + prompt {worth.read_s:.3f} s ({worth.held_tokens:.0f} words held)"
        f" + output {output_s:.3f} s"
    )
    return Choice(
        candidate,
        expected_s,
        (is_late, expected_s + worth.price_s),
        explanation,
    )
