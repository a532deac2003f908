"""Compares ways to weigh what targets hold of a prompt.

Prompts of 512 words on average share their first 26, 128 or 384 words with
those of the same template; engines have memory for a tenth of the templates,
or for all. Prints the goodput of each way and the share of the shared words
that were found held.

    python -m benchmarks.held_prompts --seed 1 --targets 9
"""

import argparse
import functools

from benchmarks import policy_fleet
from benchmarks import policy_goodput
from benchmarks import policy_model
from hemlocktiller._internal.policy import held_prompts
from hemlocktiller._internal.policy import rendezvous

PROMPT_WORDS = 512
SUFFIX_SPREAD_WORDS = 50
SHARED_RATIOS = (0.05, 0.25, 0.75)
SCARCE_PREFIXES, AMPLE_PREFIXES = 4, 40
OVERLOADS = (0.8, 1.5, 3.0)
HUNDREDFOLD = 100.0
MAX_LOAD_RATIO = 1.25


def weigh_by_factor(offers, prompt_words, usual_wait_s, factor):
    """Multiplies the time to read by a factor on a busy target."""
    (offer,) = offers
    held_words = 0.0
    if offer.belief.age_s < held_prompts.HELD_TTL_S:
        held_words = offer.belief.tokens
    read_s = (prompt_words - held_words) * offer.token_read_s
    price_s = factor * read_s if offer.delayed_requests else 0.0
    saved_s = held_words * offer.token_read_s
    return held_prompts.Worth(held_words, saved_s, read_s, price_s)


def choose_by_rendezvous(entry, request, state, now_s):
    """Chooses the first target by hash that is not loaded above average."""
    loads = entry.routing_state.loads
    requests = {
        name: loads.estimate(name, request.plan).requests
        for name in entry.live_targets
    }
    if not requests:
        return None
    bound = MAX_LOAD_RATIO * (sum(requests.values()) + 1) / len(requests)
    by_score = sorted(
        requests,
        key=lambda name: rendezvous.score(str(request.template), name),
    )
    return next((one for one in by_score if requests[one] < bound), None)


def variant(name, **options):
    choose = functools.partial(policy_goodput.choose_ranked, **options)
    return policy_goodput.POLICY._replace(name=name, choose_target=choose)


VARIANTS = (
    variant("nothing held", prefix_affinity=False),
    variant(
        "time saved, once",
        weigh=functools.partial(weigh_by_factor, factor=0.0),
    ),
    variant(
        "a hundredfold",
        weigh=functools.partial(weigh_by_factor, factor=HUNDREDFOLD),
    ),
    policy_goodput.POLICY._replace(
        name="rendezvous", choose_target=choose_by_rendezvous
    ),
    policy_goodput.POLICY._replace(name="policy"),
)


def measure(experiment, policy, overload, prompts, max_prefixes):
    """Returns the goodput, and the share of the shared words found held."""
    plan_loads = {
        name: share * overload
        for name, share in policy_model.PLAN_SHARES.items()
    }
    requests = policy_model.generate_workload(
        experiment.seed,
        experiment.capacity,
        experiment.duration_s,
        plan_loads,
        prompts,
    )
    simulation = policy_fleet.FleetSimulation(
        policy, experiment.seed, requests, experiment.speeds, max_prefixes
    )
    outcomes = simulation.run(experiment.duration_s)
    worth = sum(
        one.request.worth
        for one in outcomes
        if one.met_deadline and one.ended_s >= experiment.warmup_s
    )
    bound = policy_model.worth_upper_bound(
        experiment.measured_requests(requests), experiment.measured_engine_s
    )
    return worth / bound, simulation.held_words / simulation.shared_words


def prompt_shape(shared_ratio):
    """Returns prompts that share this part of their mean length."""
    shared_words = round(PROMPT_WORDS * shared_ratio)
    suffix_words = PROMPT_WORDS - shared_words
    return policy_model.PromptShape(
        shared_words,
        suffix_words - SUFFIX_SPREAD_WORDS,
        suffix_words + SUFFIX_SPREAD_WORDS,
    )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=80.0)
    parser.add_argument("--targets", type=int, default=9)
    parser.add_argument("--only", default="")
    arguments = parser.parse_args()
    experiment = policy_goodput.Experiment(
        arguments.seed, arguments.duration_s, arguments.targets
    )
    memories = (("scarce", SCARCE_PREFIXES), ("ample", AMPLE_PREFIXES))
    columns = [
        f"{name} at {load:g}" for name, _ in memories for load in OVERLOADS
    ]
    print("| shared | way | " + " | ".join(columns) + " |")
    print("|" + "---|" * (2 + len(columns)))
    for ratio in SHARED_RATIOS:
        for policy in VARIANTS:
            if arguments.only not in policy.name:
                continue
            cells = []
            for _, max_prefixes in memories:
                for overload in OVERLOADS:
                    goodput, held_ratio = measure(
                        experiment,
                        policy,
                        overload,
                        prompt_shape(ratio),
                        max_prefixes,
                    )
                    cells.append(f"{goodput:.3f} ({held_ratio:.2f})")
            row = [f"{ratio:.0%}", policy.name, *cells]
            print("| " + " | ".join(row) + " |", flush=True)


if __name__ == "__main__":
    main()
