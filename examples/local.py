"""Runs a small local deployment on the test fakes, for development.

Starts the object API, two chains of two engines, two booking services,
an agent for each engine and service, and two entries, all on the loopback
interface. Prints how to send requests, and stops everything on Ctrl-C.
"""

import argparse
from pathlib import Path
import signal
import sys
import tempfile
import time

from tests.functional import harness

ENTRIES = ("entry-1", "entry-2")
POLL_INTERVAL_S = 0.2
HELP_TEXT = """
Ready. Stream a draft:
  curl -N -H 'Authorization: Bearer {key}' http://{callers}/v1/completions \\
    -d '{{"model": "{model}", "prompt": "kosher menu for 120", \
"max_tokens": 20, "stream": true}}'
Make a booking, at most once even if the request is repeated:
  curl -H 'Authorization: Bearer {key}' -H 'Idempotency-Key: hall-1' \\
    -H 'Content-Type: application/json' \\
    http://{callers}/services/{service}/bookings -d '{{"item": "hall"}}'
Show how a request was handled (its id is in x-request-id):
  curl 'http://{admin}/explain?request=ID'
Metrics: http://{admin}/metrics   State: http://{admin}/status
Ctrl-C stops everything.
"""


def _start(deployment: harness.Deployment) -> None:
    """Starts all processes and waits until they are ready."""
    deployment.put_config(harness.config())
    harness.start_chains(deployment, step_s=0.02)
    harness.start_bookings(deployment)
    for name in ENTRIES:
        deployment.start_entry(name)
    deployment.wait_ready()


def _print_help(deployment: harness.Deployment) -> None:
    """Prints sample commands with the addresses of the first entry."""
    entry = deployment.entries[ENTRIES[0]]
    callers = entry.addresses["callers"]
    admin = entry.addresses["admin"]
    text = HELP_TEXT.format(
        key=harness.KEYS["events"],
        callers=f"{callers.host}:{callers.port}",
        admin=f"{admin.host}:{admin.port}",
        model=harness.MODEL,
        service=harness.SERVICE,
    )
    print(text, flush=True)


def main() -> int:
    """Runs the deployment until Ctrl-C; with `--once`, until it is ready."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--once",
        action="store_true",
        help="stop as soon as everything is ready",
    )
    once = parser.parse_args().once
    received_signals: list[int] = []
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(
            number, lambda signum, _: received_signals.append(signum)
        )
    with tempfile.TemporaryDirectory() as folder:
        deployment = harness.Deployment(Path(folder))
        try:
            _start(deployment)
            _print_help(deployment)
            while not received_signals and not once:
                time.sleep(POLL_INTERVAL_S)
        finally:
            deployment.stop()
    print("stopped")
    return 0


if __name__ == "__main__":
    sys.exit(main())
