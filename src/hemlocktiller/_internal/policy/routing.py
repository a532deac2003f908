"""Ranks the chains that can run a request by expected time."""

from collections.abc import Sequence
import math
import random
from typing import NamedTuple

from hemlocktiller._internal.policy import breaker
from hemlocktiller._internal.policy import costs
from hemlocktiller._internal.policy import load_estimates
from hemlocktiller._internal.policy import prefixes
from hemlocktiller._internal.schemas import messages

SAMPLE_SIZE = 4
BUSY_PROMPT_WEIGHT = 100.0
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
        prefixes: Digests of the prompt's prefixes, shortest first.
        remaining_s: Time to the deadline.
    """

    plan: str
    prompt_words: int = 0
    output_tokens: int = 0
    prefixes: Sequence[int] = ()
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
    cached: prefixes.CachedPrefixes
    circuit_breakers: breaker.CircuitBreakers


def rank(
    candidates: Sequence[Candidate],
    request: RequestInfo,
    entry_state: EntryState,
    now_s: float,
    rng: random.Random,
    sample_size: int = SAMPLE_SIZE,
) -> list[Choice]:
    """Ranks a few candidates, best first.

    Considers a random sample, and the candidates with the longest cached
    prefix of the prompt. Without the sample, all entries with the same stale
    load reports would choose the same target.

    Args:
        candidates: Chains that the request may use.
        request: The request.
        entry_state: State of this entry.
        now_s: The time.
        rng: Source of the sample.
        sample_size: Size of the sample.
    """
    usable = [
        candidate
        for candidate in candidates
        if entry_state.circuit_breakers.allows(candidate.target, now_s)
        and not entry_state.loads.is_leaving(candidate.target)
    ]
    cached_words = {
        candidate.target: entry_state.cached.cached_words(
            candidate.target, request.prefixes, now_s
        )
        for candidate in usable
    }
    considered = _sample(usable, cached_words, rng, sample_size)
    choices = [
        _evaluate(
            candidate, request, entry_state, cached_words[candidate.target]
        )
        for candidate in considered
    ]
    return sorted(choices, key=lambda choice: choice.score)


def _sample(
    usable: list[Candidate],
    cached_words: dict[str, int],
    rng: random.Random,
    sample_size: int,
) -> list[Candidate]:
    """Returns a random sample and some with the longest cached prefix."""
    sampled_candidates = rng.sample(usable, min(sample_size, len(usable)))
    longest = max(cached_words.values(), default=0)
    if longest == 0:
        return sampled_candidates
    sampled_targets = {candidate.target for candidate in sampled_candidates}
    best_cached = [
        candidate
        for candidate in usable
        if cached_words[candidate.target] == longest
        and candidate.target not in sampled_targets
    ]
    return sampled_candidates + rng.sample(
        best_cached, min(sample_size, len(best_cached))
    )


def _evaluate(
    candidate: Candidate,
    request: RequestInfo,
    entry_state: EntryState,
    cached_words: int,
) -> Choice:
    """Returns a candidate with its expected time and its score.

    On a target that can run the request at once, the score is the expected
    time. On a busy target, each uncached word of the prompt also delays all
    requests that wait there, so the time of the prompt has a high weight
    relative to the wait. Candidates that would probably miss the deadline
    come last.
    """
    estimate = entry_state.loads.estimate(candidate.target, request.plan)
    wait_tokens = 0.0 if estimate.has_free_slot else estimate.backlog_tokens
    wait_s = wait_tokens / estimate.tokens_per_s
    uncached_words = max(0, request.prompt_words - cached_words)
    prompt_tokens = costs.PROMPT_WORD_TOKENS * uncached_words
    prompt_s = prompt_tokens / estimate.tokens_per_s
    output_s = request.output_tokens * candidate.cost_s
    expected_s = wait_s + prompt_s + output_s
    is_late = DEADLINE_SAFETY_FACTOR * expected_s > request.remaining_s
    prompt_weight = 0.0 if estimate.has_free_slot else BUSY_PROMPT_WEIGHT
    score = (is_late, expected_s + prompt_weight * prompt_s)
    explanation = (
        f"{candidate.target}: wait {wait_s:.3f} s"
        f" ({estimate.requests} requests, {wait_tokens:.0f} tokens)"
        f" + prompt {prompt_s:.3f} s ({cached_words} words cached)"
        f" + output {output_s:.3f} s"
    )
    return Choice(candidate, expected_s, score, explanation)
