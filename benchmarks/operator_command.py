"""Measures what the operators' program costs at several sizes.

For `check` and `apply` by workspaces, and for `status` by processes, it
prints processor time, peak memory and calls of the object API of one run,
then the slope, and what that comes to at the size to be reached. The
processes of `status` are many objects that name one stand-in.
"""

import os
from pathlib import Path
import sys
import tempfile
from typing import NamedTuple

from benchmarks import config_bytes
from tests.functional.operators import conftest

WORKSPACE_COUNTS = (10, 100, 355, 710)
PROCESS_COUNTS = (10, 400, 800, 1600)
PROCESSES_TO_REACH = 420 + 2800
WORKSPACES_TO_REACH = 710
KIB = 1024
ROW = "{:>8} {:>10} {:>8} {:>9} {:>11}"


class Cost(NamedTuple):
    """What one run of the program took."""

    cpu_s: float
    peak_mb: float
    store_calls: int


def _measured(operators, *words):
    """Runs the program; returns what it took."""
    before = _store_calls(operators)
    started = operators.begin(*words, "--settings", "operator.json")
    started.stdout.read()
    _, status, usage = os.wait4(started.pid, 0)
    started.returncode = os.waitstatus_to_exitcode(status)
    if started.returncode:
        raise SystemExit(started.stderr.read())
    cpu_s = usage.ru_utime + usage.ru_stime
    calls = _store_calls(operators) - before
    return Cost(cpu_s, usage.ru_maxrss / KIB, calls)


def _store_calls(operators):
    """Returns the calls that the object API has counted."""
    calls = operators.call_store("GET", "/stats")["calls"]
    return sum(count for kinds in calls.values() for count in kinds.values())


def _print_row(command, size, cost):
    """Prints the cost of one run."""
    cells = (f"{cost.cpu_s:.2f}", f"{cost.peak_mb:.0f}", cost.store_calls)
    print(ROW.format(command, size, *cells), flush=True)


def _print_slope(command, costs, size_to_reach):
    """Prints the slope between the smallest and the largest size."""
    (first_size, first), *_, (last_size, last) = costs
    span = last_size - first_size
    cpu_s = (last.cpu_s - first.cpu_s) / span
    peak_mb = (last.peak_mb - first.peak_mb) / span
    more = size_to_reach - last_size
    print(
        f"{command}: {cpu_s * 1_000:.3f} ms and {peak_mb * KIB:.1f} KiB each;"
        f" at {size_to_reach}: {last.cpu_s + cpu_s * more:.2f} s,"
        f" {last.peak_mb + peak_mb * more:.0f} MB"
    )


def _measure_edits(operators):
    """Measures `check` and `apply` by workspaces."""
    costs = {"check": [], "apply": []}
    for size in WORKSPACE_COUNTS:
        document = config_bytes.config_document(size)
        operators.write("edit.json", document)
        for command, measured in costs.items():
            cost = _measured(operators, command, "edit.json")
            measured.append((size, cost))
            _print_row(command, size, cost)
    for command, measured in costs.items():
        _print_slope(command, measured, WORKSPACES_TO_REACH)


def _measure_status(operators):
    """Measures `status` by processes."""
    admin = operators.start("admin", "tests.fakes.admin").address
    version = operators.run("status", "--json").json()["store_version"]
    state = {"name": "p", "config_version": version, "ready": True}
    conftest.client.json_call(admin, "PUT", "/state", state)
    costs = []
    registered = 0
    for size in PROCESS_COUNTS:
        for number in range(registered, size):
            operators.register("target", f"target-{number:05}", admin)
        registered = size
        cost = _measured(operators, "status")
        costs.append((size, cost))
        _print_row("status", size, cost)
    _print_slope("status", costs, PROCESSES_TO_REACH)


def main():
    """Prints the tables."""
    print(ROW.format("command", "size", "CPU s", "peak MB", "store calls"))
    with tempfile.TemporaryDirectory() as folder:
        operators = conftest.Operators(Path(folder))
        try:
            _measure_edits(operators)
            _measure_status(operators)
        finally:
            operators.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
