"""Counts the object API calls of real processes, with a fake object API.

Starts two booking services, their agents and two entries, and prints the
calls by method and kind of object: of idle processes (with the rate per
process), of bookings, of repeated bookings, of an edit of the configuration,
and of a planned restart of one agent.
"""

import collections
from pathlib import Path
import tempfile
import time

from tests.functional import client
from tests.functional import harness
from tests.functional import scenarios

WORKSPACE_KEY = harness.KEYS["events"]
IDLE_S = 20.0
SETTLE_S = 2.0
BOOKING_COUNT = 50
ROW_FORMAT = "{:<24} {:>6} {:>9} {}"


def _call_counts(deployment):
    """Returns the number of calls so far by method and kind."""
    stats = deployment.store_call("GET", "/stats").json()
    return collections.Counter(
        {
            f"{method} {kind}": count
            for method, kinds in stats["calls"].items()
            for kind, count in kinds.items()
        }
    )


def _print_calls_of(deployment, label, divisor, action, unit):
    """Runs an action and prints the calls that were made meanwhile.

    Args:
        deployment: The running deployment.
        label: First cell of the printed row.
        divisor: Number of units that the calls are divided by.
        action: Function to run, without arguments.
        unit: Name of a unit.
    """
    before = _call_counts(deployment)
    action()
    added = _call_counts(deployment) - before
    detail = ", ".join(f"{name} {count}" for name, count in added.items())
    calls_per_unit = f"{added.total() / divisor:.2f}/{unit}"
    print(
        ROW_FORMAT.format(label, added.total(), calls_per_unit, f"({detail})")
    )


def _make_bookings(deployment, entry):
    for number in range(BOOKING_COUNT):
        body = {"item": f"item {number}"}
        key = f"key {number}"
        answer = client.call_service(
            deployment.callers(entry),
            WORKSPACE_KEY,
            f"{entry} {key}",
            body,
            key,
        )
        if not answer.whole:
            raise RuntimeError(f"booking got an incomplete answer: {answer}")


def _edit_config(deployment):
    deployment.put_config(harness.config(share=0.4))
    time.sleep(SETTLE_S)


def _restart_agent(deployment):
    agent = deployment.agents["b0"]
    agent.terminate()
    agent.wait()
    deployment.restart_agent("b0")
    deployment.wait_routable("b0")
    time.sleep(SETTLE_S)


def main():
    """Starts the deployment and prints the table."""
    with tempfile.TemporaryDirectory() as directory:
        deployment = harness.Deployment(Path(directory))
        try:
            deployment.put_config(harness.config())
            scenarios.start_calls(deployment)
            _print_table(deployment)
        finally:
            deployment.stop()


def _print_table(deployment):
    process_count = len(deployment.agents) + len(deployment.entries)
    steps = [
        (
            "idle",
            IDLE_S * process_count,
            lambda: time.sleep(IDLE_S),
            "s/process",
        ),
        (
            "bookings",
            BOOKING_COUNT,
            lambda: _make_bookings(deployment, "e0"),
            "booking",
        ),
        (
            "resends",
            BOOKING_COUNT,
            lambda: _make_bookings(deployment, "e1"),
            "resend",
        ),
        ("edit", 1, lambda: _edit_config(deployment), "edit"),
        (
            "restart of an agent",
            1,
            lambda: _restart_agent(deployment),
            "restart",
        ),
    ]
    print(f"{process_count} processes")
    for label, divisor, action, unit in steps:
        _print_calls_of(deployment, label, divisor, action, unit)


if __name__ == "__main__":
    main()
