"""Synthetic workload, engine cost model and goodput bound of the benchmark.

The engines use continuous batching: each step generates one token of every
running request. A step takes a fixed time, plus a time for each running
request and for each prompt word that is processed in it.
"""

import collections
import itertools
import random
from typing import NamedTuple

from hemlocktiller._internal.policy import held_prompts
from hemlocktiller._internal.policy import prefixes

ENGINE_SLOTS = 16
STEP_BASE_S = 0.02
STEP_PER_SEQUENCE_S = 0.0005
PROMPT_WORD_S = 0.0002
FULL_BATCH_TOKEN_S = STEP_BASE_S / ENGINE_SLOTS + STEP_PER_SEQUENCE_S
RELATIVE_SPEEDS = (1.0, 0.8, 0.5)
MAX_CACHED_PREFIXES = 24
TEMPLATES_PER_WORKSPACE = 4
SHORT_REQUEST_RATIO = 0.7


class PromptShape(NamedTuple):
    """Lengths of prompts, in words.

    Attributes:
        shared_words: Words that prompts of one template begin with.
        min_suffix_words: Fewest words after them.
        max_suffix_words: Most words after them.
    """

    shared_words: int = 256
    min_suffix_words: int = 20
    max_suffix_words: int = 120


DEFAULT_PROMPTS = PromptShape()


class Plan(NamedTuple):
    """A plan of the workload.

    Attributes:
        share: Share of the engine time that the plan is entitled to.
        worth: Value of an answer that meets the deadline.
        deadline_s: Time from arrival to deadline.
        workspace_weights: Relative request rate of each workspace.
    """

    share: float
    worth: float
    deadline_s: float
    workspace_weights: tuple[float, ...]


PLANS = {
    "gold": Plan(0.5, 3.0, 20.0, (4.0, 1.0, 1.0)),
    "silver": Plan(0.35, 2.0, 30.0, (4.0, 1.0, 1.0)),
    "bronze": Plan(0.15, 1.0, 40.0, (6.0, 1.0, 1.0, 1.0)),
}
PLAN_SHARES = {name: plan.share for name, plan in PLANS.items()}


class Request(NamedTuple):
    """A request.

    Attributes:
        request_id: Request id.
        arrival_s: Time of arrival.
        plan: Name of the plan.
        workspace: Name of the workspace.
        template: Number of the prompt template. Prompts with the same
            template share a prefix.
        suffix_words: Words of the prompt after the shared prefix.
        max_tokens: Maximum length of the answer.
        output_tokens: Actual length of the answer; unknown to the policy
            until the answer is complete.
        shared_words: Words of the shared prefix.
    """

    request_id: str
    arrival_s: float
    plan: str
    workspace: str
    template: int
    suffix_words: int
    max_tokens: int
    output_tokens: int
    shared_words: int = DEFAULT_PROMPTS.shared_words

    @property
    def worth(self):
        """Value of an answer that meets the deadline."""
        return PLANS[self.plan].worth

    @property
    def deadline_s(self):
        """Time by which the answer must be complete."""
        return self.arrival_s + PLANS[self.plan].deadline_s

    @property
    def prompt_words(self):
        """Number of words in the prompt."""
        return self.shared_words + self.suffix_words

    @property
    def parts(self):
        """Beginnings of the shared prefix, shortest first."""
        return tuple(
            held_prompts.Part(self.template * 8 + index, words)
            for index, words in enumerate(prefixes.PREFIX_WORD_COUNTS)
            if words <= self.shared_words
        )

    @property
    def work_s(self):
        """Engine time at full batch with the shared prefix cached."""
        return (
            self.suffix_words * PROMPT_WORD_S
            + self.output_tokens * FULL_BATCH_TOKEN_S
        )


def step_s(speed, sequences, prompt_words):
    """Returns the duration of one step of an engine.

    Args:
        speed: Relative speed of the engine.
        sequences: Number of running requests.
        prompt_words: Prompt words processed in the step.
    """
    reference_s = (
        STEP_BASE_S
        + STEP_PER_SEQUENCE_S * sequences
        + PROMPT_WORD_S * prompt_words
    )
    return reference_s / speed


def full_batch_tokens_per_s(speed):
    """Returns the token rate of an engine at full batch."""
    return speed / FULL_BATCH_TOKEN_S


def mixed_speeds(count):
    """Returns the relative speeds of a fleet of mixed accelerators."""
    return [
        RELATIVE_SPEEDS[index % len(RELATIVE_SPEEDS)] for index in range(count)
    ]


def _random_request(
    rng, plan_name, plan, workspace, arrival_s, number, prompts
):
    """Returns a request with random template and lengths."""
    is_short = rng.random() < SHORT_REQUEST_RATIO
    max_tokens = rng.randint(30, 100) if is_short else rng.randint(160, 500)
    return Request(
        f"{plan_name}-{number}",
        arrival_s,
        plan_name,
        f"{plan_name}-w{workspace}",
        (list(PLANS).index(plan_name) * 8 + workspace)
        * TEMPLATES_PER_WORKSPACE
        + rng.randrange(TEMPLATES_PER_WORKSPACE),
        rng.randint(prompts.min_suffix_words, prompts.max_suffix_words),
        max_tokens,
        max(1, round(max_tokens * rng.uniform(0.4, 0.8))),
        prompts.shared_words,
    )


def generate_workload(
    seed, capacity, duration_s, plan_loads, prompts=DEFAULT_PROMPTS
):
    """Returns random requests in order of arrival.

    The requests of each plan arrive as a Poisson process.

    Args:
        seed: Random seed.
        capacity: Capacity of the fleet, in engine seconds per second.
        duration_s: Time during which requests arrive.
        plan_loads: Offered load of each plan, as a fraction of the capacity.
        prompts: Lengths of the prompts.
    """
    requests = []
    for plan_name, load in plan_loads.items():
        rng = random.Random(f"{seed} {plan_name}")
        plan = PLANS[plan_name]
        sample = [
            _random_request(rng, plan_name, plan, 0, 0.0, 0, prompts)
            for _ in range(4000)
        ]
        mean_work_s = sum(request.work_s for request in sample) / len(sample)
        rate_per_s = load * capacity / mean_work_s
        arrival_s = rng.expovariate(rate_per_s)
        for number in itertools.count():
            if arrival_s >= duration_s:
                break
            workspaces = range(len(plan.workspace_weights))
            workspace = rng.choices(workspaces, plan.workspace_weights)[0]
            requests.append(
                _random_request(
                    rng, plan_name, plan, workspace, arrival_s, number, prompts
                )
            )
            arrival_s += rng.expovariate(rate_per_s)
    return sorted(requests, key=lambda request: request.arrival_s)


class KnapsackItem(NamedTuple):
    """A request, or the part of one that did not fit a budget.

    Attributes:
        worth: Worth of the item.
        work_s: Engine time that the item needs.
    """

    worth: float
    work_s: float


def _fill_knapsack(items, budget_s):
    """Solves the fractional knapsack problem for a budget of engine time.

    Takes the items with the most worth per engine second first; the last one
    is taken in part.

    Returns:
        The worth gained, the items left over, and the unused budget in s.
    """
    worth = 0.0
    leftover = []
    for item in sorted(items, key=lambda one: -one.worth / one.work_s):
        taken_s = min(item.work_s, budget_s)
        taken_worth = item.worth * taken_s / item.work_s
        worth += taken_worth
        budget_s -= taken_s
        if taken_s < item.work_s:
            leftover.append(
                KnapsackItem(item.worth - taken_worth, item.work_s - taken_s)
            )
    return worth, leftover, budget_s


def _max_min_fair(demands_s, weights, budget_s):
    """Returns the weighted max-min fair allocation of a budget.

    Uses progressive filling: all allocations grow in proportion to their
    weights until their demands are met or the budget is used up.
    """
    allocations_s = dict.fromkeys(demands_s, 0.0)
    unsatisfied = {
        name for name, demand_s in demands_s.items() if demand_s > 0
    }
    while unsatisfied and budget_s > 1e-9:
        total_weight = sum(weights[name] for name in unsatisfied)
        increment_s = min(
            (demands_s[name] - allocations_s[name]) / weights[name]
            for name in unsatisfied
        )
        increment_s = min(increment_s, budget_s / total_weight)
        for name in unsatisfied:
            allocations_s[name] += increment_s * weights[name]
        budget_s -= increment_s * total_weight
        unsatisfied = {
            name
            for name in unsatisfied
            if demands_s[name] - allocations_s[name] > 1e-9
        }
    return allocations_s


def _total_work_by(requests, field):
    """Returns the total work of the requests by the value of a field."""
    totals_s = collections.Counter()
    for request in requests:
        totals_s[getattr(request, field)] += request.work_s
    return totals_s


def _group_by(requests, field):
    """Returns lists of the requests by the value of a field."""
    groups = collections.defaultdict(list)
    for request in requests:
        groups[getattr(request, field)].append(request)
    return groups


def worth_upper_bound(requests, engine_s, workspace_shares=True):
    """Returns an upper bound on the worth that any policy can gain.

    Each plan spends the engine time that it is entitled to on its requests
    with the most worth per engine second. All output lengths are known and
    all shared prefixes are cached. Time that a plan does not use goes to the
    remaining requests of all plans, by worth per engine second.

    Args:
        requests: Offered requests.
        engine_s: Available engine time at full batch.
        workspace_shares: Whether the workspaces of a plan are entitled to
            equal parts of the plan's share.
    """
    worth = 0.0
    leftover = []
    unused_s = engine_s
    for plan_name, plan_requests in _group_by(requests, "plan").items():
        entitled_s = PLAN_SHARES[plan_name] * engine_s
        groups = {"": plan_requests}
        budgets_s = {"": entitled_s}
        if workspace_shares:
            groups = _group_by(plan_requests, "workspace")
            demands_s = _total_work_by(plan_requests, "workspace")
            budgets_s = _max_min_fair(
                demands_s, dict.fromkeys(groups, 1.0), entitled_s
            )
        for group, members in groups.items():
            items = [KnapsackItem(one.worth, one.work_s) for one in members]
            group_worth, group_leftover, group_unused_s = _fill_knapsack(
                items, budgets_s[group]
            )
            worth += group_worth
            leftover += group_leftover
            unused_s -= budgets_s[group] - group_unused_s
    return worth + _fill_knapsack(leftover, max(0.0, unused_s))[0]
