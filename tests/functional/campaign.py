"""Runs the seeded fault scenarios with many seeds.

`python -m tests.functional.campaign --seeds 0:20` prints a line for each run,
the command that replays each failed one, and the number of histories checked.
"""

import argparse
from pathlib import Path
import sys
import tempfile

from tests.functional import harness
from tests.functional import process
from tests.functional import scenarios

SCENARIOS = {"model": scenarios.run_prompts, "call": scenarios.run_bookings}


def run_scenario(scenario: str, seed: int, faults: int) -> scenarios.Outcome:
    """Runs one scenario in a new deployment."""
    with tempfile.TemporaryDirectory() as directory:
        deployment = harness.Deployment(Path(directory))
        try:
            deployment.put_config(harness.config())
            return SCENARIOS[scenario](deployment, seed, faults)
        finally:
            deployment.stop()


def run_and_report(scenario: str, seed: int, faults: int) -> tuple[int, bool]:
    """Runs one scenario and prints its result.

    Returns:
        The number of requests whose history was checked, and whether there
        were no violations.
    """
    command = (
        f"python -m tests.functional.campaign --seeds {seed}:{seed + 1}"
        f" --scenarios {scenario} --faults {faults}"
    )
    try:
        outcome = run_scenario(scenario, seed, faults)
    except process.ProcessFailed as error:
        print(f"NOT RUN {command}: {error}", flush=True)
        return 0, False
    findings = [
        f"guarantee {guarantee}: {finding}"
        for guarantee, messages in outcome.findings.items()
        for finding in messages
    ]
    fault_names = [f"{fault.kind}({fault.name})" for fault in outcome.faults]
    verdict = "FAILED" if findings else "holds"
    print(
        f"{verdict} {scenario} seed {seed} {'+'.join(fault_names)}:"
        f" {outcome.whole()} of {len(outcome.exchanges)} complete",
        flush=True,
    )
    for finding in findings[:5]:
        print(f"  {finding}", flush=True)
    if findings:
        print(f"  replay: {command}", flush=True)
    return len(outcome.exchanges), not findings


def main(arguments=None) -> int:
    """Runs the campaign; returns 1 if any run failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0:20", help="FIRST:END")
    parser.add_argument("--scenarios", default=",".join(SCENARIOS))
    parser.add_argument(
        "--faults", default="1,2", help="faults per run, comma-separated"
    )
    options = parser.parse_args(arguments)
    first, _, end = options.seeds.partition(":")
    results = [
        run_and_report(scenario, seed, int(faults))
        for scenario in options.scenarios.split(",")
        for faults in options.faults.split(",")
        for seed in range(int(first), int(end))
    ]
    failed = sum(not holds for _, holds in results)
    checked = sum(count for count, _ in results)
    print(f"runs {len(results)}, failed {failed}, histories {checked}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
