"""Measures the work that retries waste when half of the fleet fails.

Runs real processes against fakes on one machine. All agents and engines of
half of the chains are killed at once while streams run. Callers do not retry;
the entries do.

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
MAX_TOKENS_RANGE = (20, 60)
KILL_DELAY_S = 0.6
WORKSPACE_KEY = harness.KEYS["events"]


class Outcome(NamedTuple):
    """What callers received and what the engines ran.

    Attributes:
        exchanges: All requests with their responses.
        wrong_answers: Descriptions of answers that differ from the reference.
        attempts_by_request: Number of attempts that ran any layer, by
            request id.
        ran_tokens: Tokens that last stages ran.
        delivered_tokens: Tokens that callers received.
        reprefilled_units: Units that attempts after the first prefilled in
            first stages.
    """

    exchanges: list[client.Exchange]
    wrong_answers: list[str]
    attempts_by_request: dict[str, int]
    ran_tokens: int
    delivered_tokens: int
    reprefilled_units: int


def start_deployment(
    deployment: harness.Deployment, chains: int, stages: int, **options: Any
) -> None:
    """Starts the chains and two entries, and waits until requests can run.

    Args:
        deployment: Where to start them.
        chains: Number of chains.
        stages: Stages of a chain.
        **options: Command-line options of the fake engines.
    """
    harness.start_chains(
        deployment, chains, stages, LAYER_COUNT, step_s=STEP_S, **options
    )
    harness.start_together(deployment.start_entry, ENTRIES)
    deployment.wait_ready()
    for name in deployment.agents:
        deployment.wait_routable(name)


def kill_half_under_load(
    deployment: harness.Deployment, chains: int, requests: int, seed: int
) -> Outcome:
    """Sends all requests at once and kills half of the chains.

    Args:
        deployment: Where `start_deployment` has started the chains.
        chains: Number of chains.
        requests: Number of requests, which are all open at the same time.
        seed: Seed of the choice of chains and of the lengths of answers.
    """
    rng = random.Random(seed)
    killed_chains = rng.sample(range(chains), chains // 2)
    with futures.ThreadPoolExecutor(requests) as pool:
        pending = [
            pool.submit(
                _send_request,
                deployment,
                number,
                rng.randint(*MAX_TOKENS_RANGE),
            )
            for number in range(requests)
        ]
        time.sleep(KILL_DELAY_S)
        _kill_chains(deployment, killed_chains)
        exchanges = [future.result() for future in pending]
    return _collect_outcome(deployment, exchanges)


def _send_request(
    deployment: harness.Deployment, number: int, max_tokens: int
) -> client.Exchange:
    entry = deployment.callers(ENTRIES[number % len(ENTRIES)])
    name = f"request {number}"
    return client.stream(
        entry, WORKSPACE_KEY, name, name, max_tokens=max_tokens
    )


def _kill_chains(deployment: harness.Deployment, chains: list[int]) -> None:
    prefixes = tuple(f"c{chain}s" for chain in chains)
    for name, agent in deployment.agents.items():
        if name.startswith(prefixes):
            deployment.engines[f"{name}-target"].process.kill()
            agent.kill()


def _collect_outcome(
    deployment: harness.Deployment, exchanges: list[client.Exchange]
) -> Outcome:
    requests = {exchange.request for exchange in exchanges}
    runs = [
        run
        for run in deployment.all_runs()
        if run.sequence.partition("/")[0] in requests
    ]
    sequences = {run.sequence for run in runs}
    attempts_by_request = {
        request: sum(
            sequence.startswith(f"{request}/") for sequence in sequences
        )
        for request in requests
    }
    last_stage_runs = [run for run in runs if run.end_layer == LAYER_COUNT]
    return Outcome(
        exchanges,
        history.check_answers(exchanges, _reference_answer),
        attempts_by_request,
        len(last_stage_runs),
        sum(len(exchange.tokens) for exchange in exchanges),
        _reprefilled_units(runs),
    )


def _reprefilled_units(runs: list[history.Run]) -> int:
    """Returns the units in the first steps of attempts after the first.

    The first step of an attempt prefills the prompt and the tokens generated
    before it.
    """
    first_indexes: dict[str, int] = {}
    for run in runs:
        if run.first_layer == 0 and not run.sequence.endswith("/1"):
            first_index = first_indexes.get(run.sequence, run.token_index)
            first_indexes[run.sequence] = min(first_index, run.token_index)
    return sum(index + 1 for index in first_indexes.values())


def _reference_answer(prompt: str, token_count: int) -> tuple[int, ...]:
    return tuple(model.reference(prompt, LAYER_COUNT, token_count))


def summarize(outcome: Outcome) -> dict[str, Any]:
    """Returns the printed figures of a run."""
    wasted_tokens = outcome.ran_tokens - outcome.delivered_tokens
    attempts = list(outcome.attempts_by_request.values())
    codes = [
        exchange.code for exchange in outcome.exchanges if not exchange.whole
    ]
    return {
        "requests": len(outcome.exchanges),
        "whole": sum(exchange.whole for exchange in outcome.exchanges),
        "errors": {code: codes.count(code) for code in sorted(set(codes))},
        "wrong": len(outcome.wrong_answers),
        "ran_tokens": outcome.ran_tokens,
        "delivered_tokens": outcome.delivered_tokens,
        "wasted_share": wasted_tokens / max(outcome.ran_tokens, 1),
        "reprefilled_units": outcome.reprefilled_units,
        "mean_attempts": sum(attempts) / max(len(attempts), 1),
        "most_attempts": max(attempts, default=0),
    }


def main(arguments: list[str] | None = None) -> None:
    """Measures the loss of half of the chains once for each seed."""
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
                start_deployment(deployment, options.chains, options.stages)
                outcome = kill_half_under_load(
                    deployment, options.chains, options.requests, seed
                )
            finally:
                deployment.stop()
            print(json.dumps({"seed": seed, **summarize(outcome)}), flush=True)


if __name__ == "__main__":
    main()
