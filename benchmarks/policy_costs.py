"""Processor time of single decisions at the sizes of the target.

python -m benchmarks.policy_costs
"""

import random
import time

from benchmarks import policy_fleet
from benchmarks import policy_model
from hemlocktiller._internal.policy import breaker
from hemlocktiller._internal.policy import chains
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import load_estimates
from hemlocktiller._internal.policy import prefixes
from hemlocktiller._internal.policy import rendezvous
from hemlocktiller._internal.policy import routing

TARGETS = 2800
DATA_CENTRES = 20
MODELS = 19
ENTRIES = 420
LAYERS = 80


def cpu_s(function, repeats):
    """Returns the processor time of one call."""
    start_s = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - start_s) / repeats


def targets():
    """Returns the targets of all models; each holds half a model."""
    found = []
    for number in range(TARGETS):
        half = number % 2 * LAYERS // 2
        place = number // 2
        found.append(
            chains.Target(
                f"t{number}",
                f"dc{place % DATA_CENTRES}",
                f"m{place // DATA_CENTRES % MODELS}",
                half,
                half + LAYERS // 2,
                LAYERS,
            )
        )
    return found


def rank_s(count):
    """Returns the time to rank among a number of targets."""
    view = routing.EntryState(
        load_estimates.Loads(),
        prefixes.CachedPrefixes(),
        breaker.CircuitBreakers(),
    )
    prompt = " ".join(str(number) for number in range(500))
    known = prefixes.digests(prompt)
    for number in range(0, count, 3):
        view.cached.record(f"t{number}", known[:3], 0.0)
    candidates = [routing.Candidate(f"t{number}") for number in range(count)]
    request = routing.RequestInfo("p", 500, 100, known, 10.0)
    rng = random.Random(1)
    return cpu_s(
        lambda: routing.rank(candidates, request, view, 1.0, rng), 300
    )


def queue_s(length):
    """Returns the time of one push and one pop at a queue length."""
    limits = {**policy_fleet.AGENT_LIMITS, "queued": 2 * length}
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

    for number in range(length):
        push(number)
    numbers = iter(range(length, 10**9))

    def push_and_pop():
        push(next(numbers))
        queue.pop(0.0, 0, 0)

    return cpu_s(push_and_pop, 1000)


def main():
    known = targets()
    chooser = chains.ChainCache(chains.LatencyAverages())
    add_s = cpu_s(lambda: [chooser.add(target) for target in known], 1)
    print(f"add {TARGETS} targets: {add_s * 1e3:.1f} ms")

    def choose(refresh):
        if refresh:
            chooser.invalidate("m3")
        chooser.chains("dc3", "m3")

    print(f"chains anew: {cpu_s(lambda: choose(True), 200) * 1e6:.0f} us")
    print(f"chains kept: {cpu_s(lambda: choose(False), 1000) * 1e6:.2f} us")
    for count in (4, 30, 150):
        print(f"rank {count} targets: {rank_s(count) * 1e6:.0f} us")
    prompt = "word " * 500
    digest_s = cpu_s(lambda: prefixes.digests(prompt), 1000)
    print(f"digests of 500 words: {digest_s * 1e6:.0f} us")
    for length in (16, 256):
        print(f"push and pop at {length}: {queue_s(length) * 1e6:.0f} us")
    entries = [f"e{number}" for number in range(ENTRIES // DATA_CENTRES)]
    groups = {}
    for target in known:
        if target.data_centre == "dc3":
            groups.setdefault(target.model, []).append(target.target)
    links_s = cpu_s(
        lambda: rendezvous.linked_agents("e3", entries, groups), 20
    )
    print(f"links of an entry: {links_s * 1e3:.1f} ms")


if __name__ == "__main__":
    main()
