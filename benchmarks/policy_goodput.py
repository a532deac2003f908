"""Measures goodput, fairness and retries of the policy in simulation.

Goodput is the worth of the answers that meet their deadline. The policy's own
functions run on simulated time against a cost model of continuous batching.
Baselines and variants of the policy run on the same requests.

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
from hemlocktiller._internal.policy import held_prompts
from hemlocktiller._internal.policy import routing

WARMUP_RATIO = 0.25


class Goodput(NamedTuple):
    """Goodput as a ratio of its upper bounds.

    Attributes:
        workspace_bound_ratio: Ratio of the goodput to its upper bound under
            the shares of plans and workspaces.
        plan_bound_ratio: Ratio of the goodput to its upper bound under the
            shares of plans alone.
        long_in_time_ratio: Fraction of the long requests that meet their
            deadline.
    """

    workspace_bound_ratio: float
    plan_bound_ratio: float
    long_in_time_ratio: float


def choose_ranked(
    entry,
    request,
    state,
    now_s,
    prefix_affinity=True,
    weigh=held_prompts.weigh,
):
    """Chooses the target that the policy ranks first."""
    candidates = [
        routing.Candidate(name, cost_s=entry.target_token_s[name])
        for name in entry.live_targets
    ]
    request_info = routing.RequestInfo(
        request.plan,
        request.prompt_words,
        state.expected_output_tokens,
        request.parts if prefix_affinity else (),
        request.deadline_s - now_s,
    )
    choices = routing.rank(
        candidates,
        request_info,
        entry.routing_state,
        now_s,
        entry.rng,
        weigh=weigh,
    )
    return choices[0].candidate.target if choices else None


def choose_round_robin(entry, request, state, now_s):
    """Chooses the targets in turn."""
    if not entry.live_targets:
        return None
    entry.round_robin_index += 1
    return entry.live_targets[
        entry.round_robin_index % len(entry.live_targets)
    ]


def choose_least_outstanding(entry, request, state, now_s):
    """Chooses the target with the fewest open requests of the entry."""
    outstanding = entry.routing_state.loads.outstanding
    return min(entry.live_targets, key=outstanding, default=None)


def fair_queue_factory(sort_key=fair_queue.by_worth_per_token, **limits):
    """Returns a function that makes fair queues.

    Args:
        sort_key: Sort key for the requests of one workspace.
        **limits: Agent limits that differ from the default ones.
    """
    agent_limits = {**fleet.AGENT_LIMITS, **limits}
    return lambda: fair_queue.FairQueue(
        agent_limits, model.PLAN_SHARES, sort_key
    )


def retry_within_budget(entry, now_s):
    return entry.retry_budget.try_retry(now_s)


def retry_always(entry, now_s):
    return True


POLICY = fleet.Policy(
    "policy",
    fair_queue_factory(),
    choose_ranked,
    True,
    retry_within_budget,
    True,
)
BASELINES = (
    fleet.Policy(
        "round robin",
        fleet.equal_share_queue,
        choose_round_robin,
        False,
        retry_always,
    ),
    fleet.Policy(
        "least outstanding",
        fleet.equal_share_queue,
        choose_least_outstanding,
        False,
        retry_always,
    ),
)
VARIANTS = (
    POLICY._replace(
        name="lanes 2+2",
        make_queue=fair_queue_factory(reserved_short=2, reserved_long=2),
    ),
    POLICY._replace(
        name="lanes 2+4",
        make_queue=fair_queue_factory(reserved_short=2, reserved_long=4),
    ),
    POLICY._replace(
        name="by worth and deadline",
        make_queue=fair_queue_factory(fair_queue.by_worth_and_deadline),
    ),
    POLICY._replace(
        name="no affinity",
        choose_target=functools.partial(choose_ranked, prefix_affinity=False),
    ),
    POLICY._replace(name="no early refusal", early_refusal=False),
    POLICY._replace(name="no lending", preemption=False),
    POLICY._replace(name="retries without budget", may_retry=retry_always),
)


class Experiment:
    """Seed, duration and fleet of the simulations.

    Attributes:
        speeds: Relative speeds of the engines.
        capacity: Capacity of the fleet, in engine seconds per second.
        warmup_s: Time at the start that is not measured.
        measured_engine_s: Engine time of the fleet after the warm-up.
    """

    def __init__(self, seed, duration_s, target_count):
        self.seed = seed
        self.duration_s = duration_s
        self.speeds = model.mixed_speeds(target_count)
        self.capacity = sum(self.speeds)
        self.warmup_s = WARMUP_RATIO * duration_s
        self.measured_engine_s = self.capacity * (duration_s - self.warmup_s)

    def generate_workload(self, plan_loads):
        """Returns requests for the given fractions of the capacity."""
        return model.generate_workload(
            self.seed, self.capacity, self.duration_s, plan_loads
        )

    def simulate(self, policy, requests):
        """Returns the outcomes of the requests that end after the warm-up."""
        simulation = fleet.FleetSimulation(
            policy, self.seed, requests, self.speeds
        )
        outcomes = simulation.run(self.duration_s)
        return [one for one in outcomes if one.ended_s >= self.warmup_s]

    def measured_requests(self, requests):
        """Returns the requests that arrive after the warm-up."""
        return [one for one in requests if one.arrival_s >= self.warmup_s]


def measure_goodput(experiment, policy, overload):
    """Returns the goodput when all plans exceed their shares.

    Args:
        experiment: Experiment.
        policy: Policy to measure.
        overload: Offered load of each plan relative to its share.
    """
    plan_loads = {
        name: share * overload for name, share in model.PLAN_SHARES.items()
    }
    requests = experiment.generate_workload(plan_loads)
    outcomes = experiment.simulate(policy, requests)
    worth = sum(one.request.worth for one in outcomes if one.met_deadline)
    offered = experiment.measured_requests(requests)
    workspace_bound = model.worth_upper_bound(
        offered, experiment.measured_engine_s
    )
    plan_bound = model.worth_upper_bound(
        offered, experiment.measured_engine_s, workspace_shares=False
    )
    long_outcomes = [one for one in outcomes if one.request.max_tokens > 100]
    long_in_time_ratio = sum(one.met_deadline for one in long_outcomes) / max(
        1, len(long_outcomes)
    )
    return Goodput(
        worth / workspace_bound, worth / plan_bound, long_in_time_ratio
    )


def measure_backlogged_service(
    experiment, policy, overload=1.5, flooding_plan="bronze"
):
    """Returns each plan's service relative to its entitled engine time.

    All plans exceed their shares; the flooding one offers ten times its share.
    Service is the engine time of the answers that meet their deadline.
    """
    requests = experiment.generate_workload(
        _flood_loads(overload, flooding_plan)
    )
    served_s = collections.Counter()
    for one in experiment.simulate(policy, requests):
        if one.met_deadline:
            served_s[one.request.plan] += one.request.work_s
    return {
        name: served_s[name] / (share * experiment.measured_engine_s)
        for name, share in model.PLAN_SHARES.items()
    }


def measure_service_within_share(
    experiment, policy, load=0.9, flooding_plan="bronze"
):
    """Returns the fraction of each plan's work that meets its deadline.

    All plans but the flooding one stay within their shares. Requests count if
    they arrive after the warm-up, and early enough for the longest deadline of
    any plan to pass before the simulation ends.
    """
    requests = experiment.generate_workload(_flood_loads(load, flooding_plan))
    last_arrival_s = experiment.duration_s - max(
        plan.deadline_s for plan in model.PLANS.values()
    )
    served_s = collections.Counter()
    offered_s = collections.Counter()
    for one in experiment.simulate(policy, requests):
        request = one.request
        if experiment.warmup_s <= request.arrival_s < last_arrival_s:
            offered_s[request.plan] += request.work_s
            served_s[request.plan] += request.work_s * one.met_deadline
    return {name: served_s[name] / offered_s[name] for name in offered_s}


def _flood_loads(load, flooding_plan):
    """Returns plan loads of which one is ten times the plan's share.

    Args:
        load: Offered load of the other plans relative to their shares.
        flooding_plan: Plan that offers ten times its share.
    """
    plan_loads = {
        name: share * load for name, share in model.PLAN_SHARES.items()
    }
    return {
        **plan_loads,
        flooding_plan: model.PLAN_SHARES[flooding_plan] * 10,
    }


def measure_wait_p95_s(experiment, policy, load=0.5, flooding_plan="bronze"):
    """Returns the 95th percentile of the wait of the plans within share.

    The flooding plan has answers ten times as long as usual, so a slot that
    it uses beyond its share stays occupied for long unless the policy
    preempts.
    """
    requests = [
        request._replace(
            output_tokens=10 * request.output_tokens,
            max_tokens=10 * request.max_tokens,
        )
        if request.plan == flooding_plan
        else request
        for request in experiment.generate_workload(
            _flood_loads(load, flooding_plan)
        )
    ]
    outcomes = experiment.simulate(policy, requests)
    waits_s = [
        one.wait_s for one in outcomes if one.request.plan != flooding_plan
    ]
    return statistics.quantiles(waits_s, n=20)[-1]


def measure_half_fleet_loss(experiment, policy, load=0.8):
    """Measures the cost of losing half of the fleet halfway through.

    Returns:
        Engine time wasted on retried requests, as a fraction of the offered
        work; mean number of attempts per request; fraction of the requests
        that meet their deadline. Engine time is wasted if it repeats earlier
        prompt processing or if the request misses its deadline.
    """
    plan_loads = {
        name: share * load for name, share in model.PLAN_SHARES.items()
    }
    requests = experiment.generate_workload(plan_loads)
    simulation = fleet.FleetSimulation(
        policy, experiment.seed, requests, experiment.speeds
    )
    targets = sorted(simulation.engines)
    simulation.rng.shuffle(targets)
    simulation.schedule_at(
        experiment.duration_s / 2,
        simulation.kill_targets,
        targets[: len(targets) // 2],
    )
    outcomes = simulation.run(experiment.duration_s)
    offered_s = sum(request.work_s for request in requests)
    wasted_s = sum(
        one.repeated_prefill_s if one.met_deadline else one.engine_s
        for one in outcomes
        if one.attempts > 1
    )
    mean_attempts = sum(one.attempts for one in outcomes) / len(outcomes)
    in_time_ratio = sum(one.met_deadline for one in outcomes) / len(outcomes)
    return wasted_s / offered_s, mean_attempts, in_time_ratio


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


def table_row(experiment, policy):
    """Returns the table row of a policy, in the order of `COLUMNS`."""
    values = [
        *measure_goodput(experiment, policy, 1.5),
        *measure_goodput(experiment, policy, 3.0),
    ]
    values += measure_backlogged_service(experiment, policy).values()
    service_ratios = measure_service_within_share(experiment, policy)
    values += [service_ratios["gold"], service_ratios["silver"]]
    values += measure_half_fleet_loss(experiment, policy)
    values.append(measure_wait_p95_s(experiment, policy))
    return [policy.name, *(f"{value:.3f}" for value in values)]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=80.0)
    parser.add_argument("--targets", type=int, default=30)
    parser.add_argument("--only", default="")
    arguments = parser.parse_args()
    experiment = Experiment(
        arguments.seed, arguments.duration_s, arguments.targets
    )
    policies = (POLICY, *BASELINES, *VARIANTS)
    print("| " + " | ".join(COLUMNS) + " |")
    print("|" + "---|" * len(COLUMNS))
    for policy in policies:
        if arguments.only in policy.name:
            print(
                "| " + " | ".join(table_row(experiment, policy)) + " |",
                flush=True,
            )


if __name__ == "__main__":
    main()
