"""Goodput by worth, fair service and retries of the policy.

Runs the policy's own functions on a virtual clock against a cost model of
continuous batching, beside baselines and variants with the same requests.

    python -m benchmarks.policy_goodput --seed 1 --duration-s 80
"""

import argparse
import collections
import functools

from benchmarks import policy_fleet as fleet
from benchmarks import policy_model as model
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import routing

WARMUP_RATIO = 0.25


def route(entry, request, attempt, now_s, affinity=True):
    """Chooses by load and prefix affinity."""
    candidates = [
        routing.Candidate(name, cost_s=entry.token_s[name])
        for name in entry.alive
    ]
    wanted = routing.Request(
        request.plan,
        request.prompt_words,
        attempt.output_tokens,
        request.prefixes if affinity else (),
        request.deadline_s - now_s,
    )
    choices = routing.rank(candidates, wanted, entry.view, now_s, entry.rng)
    return choices[0].candidate.target if choices else None


def round_robin(entry, request, attempt, now_s):
    """Chooses the next target in turn."""
    if not entry.alive:
        return None
    entry.turn += 1
    return entry.alive[entry.turn % len(entry.alive)]


def least_outstanding(entry, request, attempt, now_s):
    """Chooses the target with the fewest own requests."""
    outstanding = entry.view.loads.outstanding
    return min(entry.alive, key=outstanding, default=None)


def fair(order=fair_queue.by_worth_per_token, **limits):
    """Returns the maker of a fair queue."""
    settings = {**fleet.LIMITS, **limits}
    return lambda: fair_queue.FairQueue(settings, model.SHARES, order)


def budgeted(entry, now_s):
    return entry.budget.try_retry(now_s)


def always(entry, now_s):
    return True


POLICY = fleet.Policy("policy", fair(), route, True, budgeted)
BASELINES = (
    fleet.Policy("round robin", fleet.fifo_queue, round_robin, False, always),
    fleet.Policy(
        "least outstanding",
        fleet.fifo_queue,
        least_outstanding,
        False,
        always,
    ),
)
VARIANTS = (
    POLICY._replace(
        name="no lanes", make_queue=fair(reserved_short=0, reserved_long=0)
    ),
    POLICY._replace(
        name="lanes 2+2", make_queue=fair(reserved_short=2, reserved_long=2)
    ),
    POLICY._replace(
        name="by worth and deadline",
        make_queue=fair(fair_queue.by_worth_and_deadline),
    ),
    POLICY._replace(
        name="no affinity", choose=functools.partial(route, affinity=False)
    ),
    POLICY._replace(name="no early refusal", early_refusal=False),
)


class Setting:
    """Size and seed of the runs."""

    def __init__(self, seed, duration_s, targets):
        self.seed = seed
        self.duration_s = duration_s
        self.speeds = model.speeds(targets)
        self.capacity = sum(self.speeds)
        self.warmup_s = WARMUP_RATIO * duration_s
        self.engine_s = self.capacity * (duration_s - self.warmup_s)

    def workload(self, plan_loads):
        return model.workload(
            self.seed, self.capacity, self.duration_s, plan_loads
        )

    def run(self, policy, requests):
        """Returns the outcomes after the warm-up."""
        run = fleet.Fleet(policy, self.seed, requests, self.speeds)
        outcomes = run.run(self.duration_s)
        return [one for one in outcomes if one.end_s >= self.warmup_s]

    def offered(self, requests):
        return [one for one in requests if one.arrival_s >= self.warmup_s]


def goodput(setting, policy, overload):
    """Returns the worth of the answers in time, as a part of the bound."""
    loads = {name: share * overload for name, share in model.SHARES.items()}
    requests = setting.workload(loads)
    outcomes = setting.run(policy, requests)
    worth = sum(one.request.worth for one in outcomes if one.in_time)
    bound = model.bound(setting.offered(requests), setting.engine_s)
    longs = [one for one in outcomes if one.request.max_tokens > 100]
    long_ratio = sum(one.in_time for one in longs) / max(1, len(longs))
    wasted_s = sum(one.engine_s for one in outcomes if not one.in_time)
    return worth / bound, long_ratio, wasted_s / setting.engine_s


def flood(setting, policy, load, flooding="bronze"):
    """Returns each plan's service as a part of its entitlement.

    The other plans offer their share times `load`, the flooding one ten
    times its share. Service is the engine time of answers in time; the
    entitlement is the share, or what is offered if that is less.
    """
    loads = {name: share * load for name, share in model.SHARES.items()}
    loads[flooding] = model.SHARES[flooding] * 10
    requests = setting.workload(loads)
    outcomes = setting.run(policy, requests)
    served = collections.Counter()
    for one in outcomes:
        if one.in_time:
            served[one.request.plan] += one.request.work_s
    offered = collections.Counter()
    for request in setting.offered(requests):
        offered[request.plan] += request.work_s
    return {
        name: served[name] / min(offered[name], share * setting.engine_s)
        for name, share in model.SHARES.items()
    }


def half_fleet_loss(setting, policy, load=0.8):
    """Returns what the loss of half the fleet costs.

    Returns:
        Engine time spent on retried requests in vain or twice, as a part of
        the offered work; attempts per request; the part of the requests in
        time.
    """
    loads = {name: share * load for name, share in model.SHARES.items()}
    requests = setting.workload(loads)
    run = fleet.Fleet(policy, setting.seed, requests, setting.speeds)
    names = sorted(run.engines)
    run.rng.shuffle(names)
    run.at(setting.duration_s / 2, run.kill, names[: len(names) // 2])
    outcomes = run.run(setting.duration_s)
    offered_s = sum(request.work_s for request in requests)
    wasted_s = sum(
        one.repeated_s if one.in_time else one.engine_s
        for one in outcomes
        if one.attempts > 1
    )
    attempts = sum(one.attempts for one in outcomes) / len(outcomes)
    in_time = sum(one.in_time for one in outcomes) / len(outcomes)
    return wasted_s / offered_s, attempts, in_time


def rows(setting, policies):
    """Yields the table's rows as lists of texts."""
    for policy in policies:
        row = [policy.name]
        for overload in (1.5, 3.0):
            figures = goodput(setting, policy, overload)
            row += [f"{figure:.3f}" for figure in figures]
        for load in (0.9, 1.5):
            served = flood(setting, policy, load)
            row += [f"{served[name]:.3f}" for name in ("gold", "silver")]
        figures = half_fleet_loss(setting, policy)
        row += [f"{figure:.3f}" for figure in figures]
        yield row


HEADER = (
    "| policy | goodput 1.5 | long in time | lost work"
    " | goodput 3 | long in time | lost work"
    " | flood, gold 0.9 | silver 0.9 | gold 1.5 | silver 1.5"
    " | retries waste | attempts | in time |"
)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=80.0)
    parser.add_argument("--targets", type=int, default=30)
    parser.add_argument("--only", default="")
    arguments = parser.parse_args()
    setting = Setting(arguments.seed, arguments.duration_s, arguments.targets)
    policies = (POLICY, *BASELINES, *VARIANTS)
    print(HEADER)
    print("|" + "---|" * HEADER.count(" | ") + "---|")
    for row in rows(
        setting, [one for one in policies if arguments.only in one.name]
    ):
        print("| " + " | ".join(row) + " |", flush=True)


if __name__ == "__main__":
    main()
