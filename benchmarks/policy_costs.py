"""Measures the CPU time of single operations of the policy.

The numbers of targets, entries and models are those that the system is
designed for.

python -m benchmarks.policy_costs
"""

import random
import time

from benchmarks import policy_fleet
from benchmarks import policy_model
from hemlocktiller._internal.policy import breaker
from hemlocktiller._internal.policy import chains
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import held_prompts
from hemlocktiller._internal.policy import load_estimates
from hemlocktiller._internal.policy import prefixes
from hemlocktiller._internal.policy import rendezvous
from hemlocktiller._internal.policy import routing

TARGET_COUNT = 2800
DATA_CENTRE_COUNT = 20
MODEL_COUNT = 19
ENTRY_COUNT = 420
LAYERS_PER_MODEL = 80


def mean_cpu_s(function, repeats):
    """Returns the mean CPU time of one call."""
    start_s = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - start_s) / repeats


def make_targets():
    """Returns the targets of all models.

    Each holds half of the layers of a model; pairs of consecutive targets
    hold a whole model in one data centre.
    """
    targets = []
    for number in range(TARGET_COUNT):
        first_layer = number % 2 * LAYERS_PER_MODEL // 2
        pair = number // 2
        targets.append(
            chains.Target(
                f"t{number}",
                f"dc{pair % DATA_CENTRE_COUNT}",
                f"m{pair // DATA_CENTRE_COUNT % MODEL_COUNT}",
                first_layer,
                first_layer + LAYERS_PER_MODEL // 2,
                LAYERS_PER_MODEL,
            )
        )
    return targets


def rank_cpu_s(target_count):
    """Returns the CPU time of ranking a number of targets.

    A third of the targets hold a beginning of the prompt.
    """
    entry_state = routing.EntryState(
        load_estimates.Loads(),
        held_prompts.HeldPrompts(),
        breaker.CircuitBreakers(),
    )
    prompt = " ".join(str(number) for number in range(500))
    beginnings = prefixes.describe("m", "w", prompt).beginnings
    for number in range(0, target_count, 3):
        entry_state.held.record_sent(f"t{number}", beginnings[:3], 0.0)
    candidates = [
        routing.Candidate(f"t{number}") for number in range(target_count)
    ]
    request = routing.RequestInfo("p", 500, 100, beginnings, 10.0)
    rng = random.Random(1)
    return mean_cpu_s(
        lambda: routing.rank(candidates, request, entry_state, 1.0, rng), 300
    )


def push_and_pop_cpu_s(queue_length):
    """Returns the CPU time of a push and a pop at a queue length."""
    limits = {**policy_fleet.AGENT_LIMITS, "queued": 2 * queue_length}
    queue = fair_queue.FairQueue(limits, policy_model.PLAN_SHARES)
    plans = list(policy_model.PLAN_SHARES)
    rng = random.Random(1)

    def push(number):
        item = fair_queue.QueuedRequest(
            f"r{number}",
            plans[number % len(plans)],
            f"w{number % 10}",
            rng.uniform(10, 500),
            1.0,
            1e6,
        )
        queue.push(item)

    for number in range(queue_length):
        push(number)
    numbers = iter(range(queue_length, 10**9))

    def push_and_pop():
        push(next(numbers))
        queue.pop(0.0, 0, 0)

    return mean_cpu_s(push_and_pop, 1000)


def main():
    targets = make_targets()
    chain_cache = chains.ChainCache(chains.LatencyAverages())
    add_all_s = mean_cpu_s(
        lambda: [chain_cache.add(target) for target in targets], 1
    )
    print(f"add {TARGET_COUNT} targets: {add_all_s * 1e3:.1f} ms")

    def get_chains(invalidate):
        if invalidate:
            chain_cache.invalidate("m3")
        chain_cache.chains("dc3", "m3")

    print(
        "chains anew:"
        f" {mean_cpu_s(lambda: get_chains(True), 200) * 1e6:.0f} us"
    )
    print(
        "chains kept:"
        f" {mean_cpu_s(lambda: get_chains(False), 1000) * 1e6:.2f} us"
    )
    for count in (4, 30, 150):
        print(f"rank {count} targets: {rank_cpu_s(count) * 1e6:.0f} us")
    prompt = "word " * 500
    digest_s = mean_cpu_s(lambda: prefixes.digests(prompt), 1000)
    print(f"digests of 500 words: {digest_s * 1e6:.0f} us")
    for length in (16, 256):
        print(
            f"push and pop at {length}:"
            f" {push_and_pop_cpu_s(length) * 1e6:.0f} us"
        )
    entries = [
        f"e{number}" for number in range(ENTRY_COUNT // DATA_CENTRE_COUNT)
    ]
    agents_by_model = {}
    for target in targets:
        if target.data_centre == "dc3":
            agents_by_model.setdefault(target.model, []).append(target.target)
    linked_agents_s = mean_cpu_s(
        lambda: rendezvous.linked_agents("e3", entries, agents_by_model), 20
    )
    print(f"links of an entry: {linked_agents_s * 1e3:.1f} ms")


if __name__ == "__main__":
    main()
