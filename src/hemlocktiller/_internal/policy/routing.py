"""Choice among the chains that can run a request."""

from collections.abc import Sequence
import math
import random
from typing import NamedTuple

from hemlocktiller._internal.policy import breaker
from hemlocktiller._internal.policy import costs
from hemlocktiller._internal.policy import loads
from hemlocktiller._internal.policy import prefixes
from hemlocktiller._internal.schemas import messages

SAMPLED = 4
BUSY_PROMPT_FACTOR = 100.0
SLACK_FACTOR = 1.5


class Candidate(NamedTuple):
    """A chain that may run the request.

    Attributes:
        target: Target of the first stage, where the request would queue.
        chain: Stages in the order of their layers.
        cost_s: Time that the chain needs for one token.
    """

    target: str
    chain: tuple[messages.Stage, ...] = ()
    cost_s: float = 0.0


class Request(NamedTuple):
    """What routing needs to know of a request.

    Attributes:
        plan: Plan that pays for it.
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
        expected_s: Expected time to the complete answer.
        score: Order of the choices, lowest first.
        explanation: The parts of that time, for `explain`.
    """

    candidate: Candidate
    expected_s: float
    score: tuple[bool, float]
    explanation: str


class View(NamedTuple):
    """The state of an entry that routing reads."""

    loads: loads.Loads
    cached: prefixes.CachedPrefixes
    breaker: breaker.Breaker


def rank(
    candidates: Sequence[Candidate],
    request: Request,
    view: View,
    now_s: float,
    rng: random.Random,
    sampled: int = SAMPLED,
) -> list[Choice]:
    """Ranks a few candidates, best first.

    Looks at a random sample and at the candidates that hold the longest
    cached prefix of the prompt, so that entries that know the same late
    facts don't all choose the same target.

    Args:
        candidates: Chains that the request is allowed to use.
        request: The request.
        view: State of this entry.
        now_s: The time.
        rng: Source of the sample.
        sampled: Size of the sample.
    """
    usable = [
        candidate
        for candidate in candidates
        if view.breaker.allows(candidate.target, now_s)
        and not view.loads.leaving(candidate.target)
    ]
    cached_words = {
        candidate.target: view.cached.cached_words(
            candidate.target, request.prefixes, now_s
        )
        for candidate in usable
    }
    looked_at = _sample(usable, cached_words, rng, sampled)
    choices = [
        _choice(candidate, request, view, cached_words[candidate.target])
        for candidate in looked_at
    ]
    return sorted(choices, key=lambda choice: choice.score)


def _sample(
    usable: list[Candidate],
    cached_words: dict[str, int],
    rng: random.Random,
    sampled: int,
) -> list[Candidate]:
    """Returns a random sample with the best cached ones added."""
    chosen = rng.sample(usable, min(sampled, len(usable)))
    longest = max(cached_words.values(), default=0)
    if longest == 0:
        return chosen
    targets = {candidate.target for candidate in chosen}
    holders = [
        candidate
        for candidate in usable
        if cached_words[candidate.target] == longest
        and candidate.target not in targets
    ]
    return chosen + rng.sample(holders, min(sampled, len(holders)))


def _choice(
    candidate: Candidate, request: Request, view: View, cached_words: int
) -> Choice:
    """Returns a candidate with its expected time and its score.

    Where places are free, the expected time alone decides. On a busy
    target, each word that is not cached also delays all that wait there,
    and so counts many times; the wait matters less while it leaves the
    deadline in reach.
    """
    estimate = view.loads.estimate(candidate.target, request.plan)
    wait_tokens = 0.0 if estimate.free else estimate.backlog_tokens
    wait_s = wait_tokens / estimate.tokens_per_s
    uncached_words = max(0, request.prompt_words - cached_words)
    prompt_tokens = costs.PROMPT_WORD_TOKENS * uncached_words
    prompt_s = prompt_tokens / estimate.tokens_per_s
    output_s = request.output_tokens * candidate.cost_s
    expected_s = wait_s + prompt_s + output_s
    late = SLACK_FACTOR * expected_s > request.remaining_s
    factor = 0.0 if estimate.free else BUSY_PROMPT_FACTOR
    score = (late, expected_s + factor * prompt_s)
    explanation = (
        f"{candidate.target}: wait {wait_s:.3f} s"
        f" ({estimate.requests} requests, {wait_tokens:.0f} tokens)"
        f" + prompt {prompt_s:.3f} s ({cached_words} words cached)"
        f" + output {output_s:.3f} s"
    )
    return Choice(candidate, expected_s, score, explanation)
