"""Goodput by worth, fair service and retries of the policy.

Runs the policy's own functions on a virtual clock against a cost model of
continuous batching, beside baselines and variants with the same requests.

    python -m benchmarks.policy_goodput --seed 1 --duration-s 80
"""

import argparse
import collections
import functools
import statistics
from typing import NamedTuple

from benchmarks import policy_fleet as fleet
from benchmarks import policy_model as model
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import routing

WARMUP_RATIO = 0.25


class Goodput(NamedTuple):
    """Worth of the answers in time as a part of a bound.

    Attributes:
        ratio: Of the bound that honours the shares of plans and workspaces.
        by_plan: Of the bound that honours the shares of plans alone.
        long_ratio: Part of the long requests that are answered in time.
    """

    ratio: float
    by_plan: float
    long_ratio: float


def route(entry, request, state, now_s, affinity=True):
    """Chooses by load and prefix affinity."""
    candidates = [
        routing.Candidate(name, cost_s=entry.target_token_s[name])
        for name in entry.live_targets
    ]
    wanted = routing.RequestInfo(
        request.plan,
        request.prompt_words,
        state.expected_output_tokens,
        request.prefix_digests if affinity else (),
        request.deadline_s - now_s,
    )
    choices = routing.rank(
        candidates, wanted, entry.routing_state, now_s, entry.rng
    )
    return choices[0].candidate.target if choices else None


def round_robin(entry, request, state, now_s):
    """Chooses the next target in turn."""
    if not entry.live_targets:
        return None
    entry.round_robin_index += 1
    return entry.live_targets[
        entry.round_robin_index % len(entry.live_targets)
    ]


def least_outstanding(entry, request, state, now_s):
    """Chooses the target with the fewest own requests."""
    outstanding = entry.routing_state.loads.outstanding
    return min(entry.live_targets, key=outstanding, default=None)


def fair(order=fair_queue.by_worth_per_token, **limits):
    """Returns the maker of a fair queue."""
    settings = {**fleet.AGENT_LIMITS, **limits}
    return lambda: fair_queue.FairQueue(settings, model.PLAN_SHARES, order)


def budgeted(entry, now_s):
    return entry.retry_budget.try_retry(now_s)


def always(entry, now_s):
    return True


POLICY = fleet.Policy("policy", fair(), route, True, budgeted, True)
BASELINES = (
    fleet.Policy(
        "round robin", fleet.equal_share_queue, round_robin, False, always
    ),
    fleet.Policy(
        "least outstanding",
        fleet.equal_share_queue,
        least_outstanding,
        False,
        always,
    ),
)
VARIANTS = (
    POLICY._replace(
        name="lanes 2+2", make_queue=fair(reserved_short=2, reserved_long=2)
    ),
    POLICY._replace(
        name="lanes 2+4", make_queue=fair(reserved_short=2, reserved_long=4)
    ),
    POLICY._replace(
        name="by worth and deadline",
        make_queue=fair(fair_queue.by_worth_and_deadline),
    ),
    POLICY._replace(
        name="no affinity",
        choose_target=functools.partial(route, affinity=False),
    ),
    POLICY._replace(name="no early refusal", early_refusal=False),
    POLICY._replace(name="no lending", preemption=False),
    POLICY._replace(name="retries without budget", may_retry=always),
)


class Setting:
    """Size and seed of the runs."""

    def __init__(self, seed, duration_s, targets):
        self.seed = seed
        self.duration_s = duration_s
        self.speeds = model.mixed_speeds(targets)
        self.capacity = sum(self.speeds)
        self.warmup_s = WARMUP_RATIO * duration_s
        self.engine_s = self.capacity * (duration_s - self.warmup_s)

    def workload(self, plan_loads):
        """Returns the requests for the given loads."""
        return model.generate_workload(
            self.seed, self.capacity, self.duration_s, plan_loads
        )

    def run(self, policy, requests):
        """Returns the outcomes after the warm-up."""
        run = fleet.FleetSimulation(policy, self.seed, requests, self.speeds)
        outcomes = run.run(self.duration_s)
        return [one for one in outcomes if one.ended_s >= self.warmup_s]

    def offered(self, requests):
        """Returns the requests that arrive after the warm-up."""
        return [one for one in requests if one.arrival_s >= self.warmup_s]


def goodput(setting, policy, overload):
    """Returns the goodput at an overload of all plans alike."""
    loads = {
        name: share * overload for name, share in model.PLAN_SHARES.items()
    }
    requests = setting.workload(loads)
    outcomes = setting.run(policy, requests)
    worth = sum(one.request.worth for one in outcomes if one.met_deadline)
    offered = setting.offered(requests)
    bound = model.worth_upper_bound(offered, setting.engine_s)
    by_plan = model.worth_upper_bound(
        offered, setting.engine_s, workspace_shares=False
    )
    longs = [one for one in outcomes if one.request.max_tokens > 100]
    long_ratio = sum(one.met_deadline for one in longs) / max(1, len(longs))
    return Goodput(worth / bound, worth / by_plan, long_ratio)


def backlogged(setting, policy, overload=1.5, flooding="bronze"):
    """Returns each plan's service as a part of its entitled share.

    All plans ask for more than their shares, the flooding one for ten times
    its share. Service is the engine time of answers in time.
    """
    requests = setting.workload(_flood(overload, flooding))
    served = collections.Counter()
    for one in setting.run(policy, requests):
        if one.met_deadline:
            served[one.request.plan] += one.request.work_s
    return {
        name: served[name] / (share * setting.engine_s)
        for name, share in model.PLAN_SHARES.items()
    }


def within_share(setting, policy, load=0.9, flooding="bronze"):
    """Returns which part of its work each plan gets answered in time.

    The plans ask for less than their shares, but for the flooding one.
    """
    requests = setting.workload(_flood(load, flooding))
    last_s = setting.duration_s - max(
        plan.deadline_s for plan in model.PLANS.values()
    )
    served = collections.Counter()
    asked = collections.Counter()
    for one in setting.run(policy, requests):
        request = one.request
        if setting.warmup_s <= request.arrival_s < last_s:
            asked[request.plan] += request.work_s
            served[request.plan] += request.work_s * one.met_deadline
    return {name: served[name] / asked[name] for name in asked}


def _flood(load, flooding):
    """Returns the loads of a flood by one plan."""
    loads = {name: share * load for name, share in model.PLAN_SHARES.items()}
    return {**loads, flooding: model.PLAN_SHARES[flooding] * 10}


def take_back(setting, policy, load=0.5, lent="bronze"):
    """Returns the 95th percentile of the wait of the other plans, in s.

    The lent plan floods with answers ten times as long.
    """
    requests = [
        request._replace(
            output_tokens=10 * request.output_tokens,
            max_tokens=10 * request.max_tokens,
        )
        if request.plan == lent
        else request
        for request in setting.workload(_flood(load, lent))
    ]
    outcomes = setting.run(policy, requests)
    waits = [one.wait_s for one in outcomes if one.request.plan != lent]
    return statistics.quantiles(waits, n=20)[-1]


def half_fleet_loss(setting, policy, load=0.8):
    """Returns what the loss of half the fleet costs.

    Returns:
        Engine time spent on retried requests in vain or twice, as a part of
        the offered work; attempts per request; the part of the requests in
        time.
    """
    loads = {name: share * load for name, share in model.PLAN_SHARES.items()}
    requests = setting.workload(loads)
    run = fleet.FleetSimulation(policy, setting.seed, requests, setting.speeds)
    names = sorted(run.engines)
    run.rng.shuffle(names)
    run.schedule_at(
        setting.duration_s / 2, run.kill_targets, names[: len(names) // 2]
    )
    outcomes = run.run(setting.duration_s)
    offered_s = sum(request.work_s for request in requests)
    wasted_s = sum(
        one.repeated_prefill_s if one.met_deadline else one.engine_s
        for one in outcomes
        if one.attempts > 1
    )
    attempts = sum(one.attempts for one in outcomes) / len(outcomes)
    in_time = sum(one.met_deadline for one in outcomes) / len(outcomes)
    return wasted_s / offered_s, attempts, in_time


COLUMNS = (
    "policy",
    "goodput 1.5",
    "by plan",
    "long in time",
    "goodput 3",
    "by plan",
    "long in time",
    "flood: gold",
    "silver",
    "bronze",
    "below share: gold",
    "silver",
    "retry waste",
    "attempts",
    "in time",
    "wait s",
)


def row(setting, policy):
    """Returns the table's row of a policy."""
    figures = [
        *goodput(setting, policy, 1.5),
        *goodput(setting, policy, 3.0),
    ]
    figures += backlogged(setting, policy).values()
    served = within_share(setting, policy)
    figures += [served["gold"], served["silver"]]
    figures += half_fleet_loss(setting, policy)
    figures.append(take_back(setting, policy))
    return [policy.name, *(f"{figure:.3f}" for figure in figures)]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=80.0)
    parser.add_argument("--targets", type=int, default=30)
    parser.add_argument("--only", default="")
    arguments = parser.parse_args()
    setting = Setting(arguments.seed, arguments.duration_s, arguments.targets)
    policies = (POLICY, *BASELINES, *VARIANTS)
    print("| " + " | ".join(COLUMNS) + " |")
    print("|" + "---|" * len(COLUMNS))
    for policy in policies:
        if arguments.only in policy.name:
            print("| " + " | ".join(row(setting, policy)) + " |", flush=True)


if __name__ == "__main__":
    main()
