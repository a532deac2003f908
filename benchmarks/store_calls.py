"""Counts the store calls that real processes make against the stand-in.

It starts two booking services, their agents and two entries, and prints
the calls by method and kind: while idle (with the rate a process), for
bookings, for resent bookings, for an edit of the configuration, and for a
planned restart of one agent.
"""

import collections
from pathlib import Path
import tempfile
import time

from tests.functional import client
from tests.functional import harness
from tests.functional import scenarios

KEY = harness.KEYS["events"]
IDLE_S = 20.0
SETTLE_S = 2.0
BOOKINGS = 50
ROW = "{:<24} {:>6} {:>9} {}"


def _calls(deployment):
    """Returns the counts so far by method and kind."""
    stats = deployment.store_call("GET", "/stats").json()
    return collections.Counter(
        {
            f"{method} {kind}": count
            for method, kinds in stats["calls"].items()
            for kind, count in kinds.items()
        }
    )


def _measure(deployment, what, divisor, action, unit):
    """Prints the calls that an action adds, divided by its size."""
    before = _calls(deployment)
    action()
    added = _calls(deployment) - before
    detail = ", ".join(f"{name} {count}" for name, count in added.items())
    share = f"{added.total() / divisor:.2f}/{unit}"
    print(ROW.format(what, added.total(), share, f"({detail})"))


def _book(deployment, entry):
    for number in range(BOOKINGS):
        body = {"item": f"item {number}"}
        key = f"key {number}"
        answer = client.call_service(
            deployment.callers(entry), KEY, f"{entry} {key}", body, key
        )
        if not answer.whole:
            raise RuntimeError(f"no whole answer: {answer}")


def _edit(deployment):
    deployment.put_config(harness.config(share=0.4))
    time.sleep(SETTLE_S)


def _restart(deployment):
    agent = deployment.agents["b0"]
    agent.terminate()
    agent.wait()
    deployment.restart_agent("b0")
    deployment.wait_routable("b0")
    time.sleep(SETTLE_S)


def main():
    """Prints the table."""
    with tempfile.TemporaryDirectory() as directory:
        deployment = harness.Deployment(Path(directory))
        try:
            deployment.put_config(harness.config())
            scenarios.start_calls(deployment)
            _print_table(deployment)
        finally:
            deployment.stop()


def _print_table(deployment):
    processes = len(deployment.agents) + len(deployment.entries)
    steps = [
        ("idle", IDLE_S * processes, lambda: time.sleep(IDLE_S), "s/process"),
        ("bookings", BOOKINGS, lambda: _book(deployment, "e0"), "booking"),
        ("resends", BOOKINGS, lambda: _book(deployment, "e1"), "resend"),
        ("edit", 1, lambda: _edit(deployment), "edit"),
        ("restart of an agent", 1, lambda: _restart(deployment), "restart"),
    ]
    print(f"{processes} processes")
    for what, divisor, action, unit in steps:
        _measure(deployment, what, divisor, action, unit)


if __name__ == "__main__":
    main()
