"""Runs a small deployment on the stand-ins, for developers.

Starts the object API, two chains of two engines, two booking services,
an agent beside each of them and two entries, all on the loopback; prints
how to send requests, and stops everything on Ctrl-C.
"""

import argparse
from pathlib import Path
import signal
import sys
import tempfile
import time

from tests.functional import harness

ENTRIES = ("entry-1", "entry-2")
POLL_S = 0.2
HELP = """
Ready. A draft, streamed:
  curl -N -H 'Authorization: Bearer {key}' http://{callers}/v1/completions \\
    -d '{{"model": "{model}", "prompt": "kosher menu for 120", \
"max_tokens": 20, "stream": true}}'
A booking, at most once however often it is sent:
  curl -H 'Authorization: Bearer {key}' -H 'Idempotency-Key: hall-1' \\
    -H 'Content-Type: application/json' \\
    http://{callers}/services/{service}/bookings -d '{{"item": "hall"}}'
Why a request went where it did (its id is in x-request-id):
  curl 'http://{admin}/explain?request=ID'
Metrics: http://{admin}/metrics   State: http://{admin}/status
Ctrl-C stops everything.
"""


def _start(deployment: harness.Deployment) -> None:
    deployment.put_config(harness.config())
    harness.start_chains(deployment, step_s=0.02)
    harness.start_bookings(deployment)
    for name in ENTRIES:
        deployment.start_entry(name)
    deployment.wait_ready()


def _show_help(deployment: harness.Deployment) -> None:
    entry = deployment.entries[ENTRIES[0]]
    callers = entry.addresses["callers"]
    admin = entry.addresses["admin"]
    text = HELP.format(
        key=harness.KEYS["events"],
        callers=f"{callers.host}:{callers.port}",
        admin=f"{admin.host}:{admin.port}",
        model=harness.MODEL,
        service=harness.SERVICE,
    )
    print(text, flush=True)


def main() -> int:
    """Runs the deployment until Ctrl-C, or once with `--once`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--once", action="store_true", help="stop once everything is ready"
    )
    once = parser.parse_args().once
    stopped: list[int] = []
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda signum, _: stopped.append(signum))
    with tempfile.TemporaryDirectory() as folder:
        deployment = harness.Deployment(Path(folder))
        try:
            _start(deployment)
            _show_help(deployment)
            while not stopped and not once:
                time.sleep(POLL_S)
        finally:
            deployment.stop()
    print("stopped")
    return 0


if __name__ == "__main__":
    sys.exit(main())
