"""Measures what retries waste when half of the fleet dies under load.

Real processes on the stand-ins, on one machine. All agents and engines of
half of the chains are killed at once while streams run. Each caller asks
once; the entries retry on their own.

    python -m benchmarks.half_fleet --chains 8 --stages 1 --requests 60
"""

import argparse
from concurrent import futures
import json
from pathlib import Path
import random
import tempfile
import time
from typing import Any
from typing import NamedTuple

from tests.fakes import model
from tests.functional import client
from tests.functional import harness
from tests.functional import history

ENTRIES = ("e0", "e1")
LAYER_COUNT = 8
STEP_S = 0.015
TOKENS = (20, 60)
LEAD_S = 0.6
KEY = harness.KEYS["events"]


class Outcome(NamedTuple):
    """What the callers got and what the engines ran.

    Attributes:
        exchanges: All requests with their answers.
        wrong: Answers that differ from the reference.
        attempts: Attempts that ran any layer, by request.
        ran_tokens: Tokens that last stages ran.
        delivered_tokens: Tokens that callers got.
        reprefilled_units: Units that later attempts ran through first
            stages again.
    """

    exchanges: list[client.Exchange]
    wrong: list[str]
    attempts: dict[str, int]
    ran_tokens: int
    delivered_tokens: int
    reprefilled_units: int


def start(
    deployment: harness.Deployment, chains: int, stages: int, **options: Any
) -> None:
    """Starts the chains and two entries."""
    harness.start_chains(
        deployment, chains, stages, LAYER_COUNT, step_s=STEP_S, **options
    )
    harness.start_together(deployment.start_entry, ENTRIES)
    deployment.wait_ready()
    for name in deployment.agents:
        deployment.wait_routable(name)


def run(
    deployment: harness.Deployment, chains: int, requests: int, seed: int
) -> Outcome:
    """Sends all requests at once and kills half of the chains."""
    rng = random.Random(seed)
    dead = rng.sample(range(chains), chains // 2)
    with futures.ThreadPoolExecutor(requests) as pool:
        sent = [
            pool.submit(_ask, deployment, number, rng.randint(*TOKENS))
            for number in range(requests)
        ]
        time.sleep(LEAD_S)
        _kill(deployment, dead)
        exchanges = [one.result() for one in sent]
    return _outcome(deployment, exchanges)


def _ask(
    deployment: harness.Deployment, number: int, tokens: int
) -> client.Exchange:
    entry = deployment.callers(ENTRIES[number % len(ENTRIES)])
    name = f"request {number}"
    return client.stream(entry, KEY, name, name, max_tokens=tokens)


def _kill(deployment: harness.Deployment, dead: list[int]) -> None:
    prefixes = tuple(f"c{chain}s" for chain in dead)
    for name, agent in deployment.agents.items():
        if name.startswith(prefixes):
            deployment.engines[f"{name}-target"].process.kill()
            agent.kill()


def _outcome(
    deployment: harness.Deployment, exchanges: list[client.Exchange]
) -> Outcome:
    ours = {one.request for one in exchanges}
    runs = [
        run
        for run in deployment.all_runs()
        if run.sequence.partition("/")[0] in ours
    ]
    sequences = {run.sequence for run in runs}
    attempts = {
        request: sum(one.startswith(f"{request}/") for one in sequences)
        for request in ours
    }
    last = [run for run in runs if run.end_layer == LAYER_COUNT]
    return Outcome(
        exchanges,
        history.check_answers(exchanges, _reference),
        attempts,
        len(last),
        sum(len(one.tokens) for one in exchanges),
        _reprefilled_units(runs),
    )


def _reprefilled_units(runs: list[history.Run]) -> int:
    """Counts the units of the first step of each attempt after the first."""
    firsts: dict[str, int] = {}
    for run in runs:
        if run.first_layer == 0 and not run.sequence.endswith("/1"):
            known = firsts.get(run.sequence, run.token_index)
            firsts[run.sequence] = min(known, run.token_index)
    return sum(index + 1 for index in firsts.values())


def _reference(prompt: str, count: int) -> tuple[int, ...]:
    return tuple(model.reference(prompt, LAYER_COUNT, count))


def report(outcome: Outcome) -> dict[str, Any]:
    """Returns the figures of a run."""
    wasted = outcome.ran_tokens - outcome.delivered_tokens
    attempts = list(outcome.attempts.values())
    codes = [one.code for one in outcome.exchanges if not one.whole]
    return {
        "requests": len(outcome.exchanges),
        "whole": sum(one.whole for one in outcome.exchanges),
        "errors": {code: codes.count(code) for code in sorted(set(codes))},
        "wrong": len(outcome.wrong),
        "ran_tokens": outcome.ran_tokens,
        "delivered_tokens": outcome.delivered_tokens,
        "wasted_share": wasted / max(outcome.ran_tokens, 1),
        "reprefilled_units": outcome.reprefilled_units,
        "mean_attempts": sum(attempts) / max(len(attempts), 1),
        "most_attempts": max(attempts, default=0),
    }


def main(arguments: list[str] | None = None) -> None:
    """Runs one loss of half of the fleet for each seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--chains", type=int, default=8)
    parser.add_argument("--stages", type=int, default=1)
    parser.add_argument("--requests", type=int, default=60)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    options = parser.parse_args(arguments)
    for seed in options.seeds:
        with tempfile.TemporaryDirectory() as directory:
            deployment = harness.Deployment(Path(directory))
            try:
                deployment.put_config(harness.config())
                start(deployment, options.chains, options.stages)
                outcome = run(
                    deployment, options.chains, options.requests, seed
                )
            finally:
                deployment.stop()
            print(json.dumps({"seed": seed, **report(outcome)}), flush=True)


if __name__ == "__main__":
    main()
