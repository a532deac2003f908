"""Measures the cost of `hemlocktiller`, the operators' program.

Runs `check` and `apply` with several numbers of workspaces, and `status` with
several numbers of processes. Prints CPU time, peak memory and calls of the
object API for each run, then the slope and the extrapolation to the planned
size. The processes of `status` are objects that all have the admin address of
one fake.
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
PLANNED_PROCESS_COUNT = 420 + 2800  # Entries and replicas
PLANNED_WORKSPACE_COUNT = 710
KIB_PER_MIB = 1024
ROW = "{:>8} {:>10} {:>8} {:>9} {:>11}"


class RunCost(NamedTuple):
    """Resources that one run of the program used.

    Attributes:
        cpu_s: CPU time, user and system.
        peak_mib: Largest resident memory.
        store_calls: Calls of the object API.
    """

    cpu_s: float
    peak_mib: float
    store_calls: int


def _measure_run(operators, *arguments):
    """Runs the program; returns its cost."""
    calls_before = _count_store_calls(operators)
    child = operators.begin(*arguments, "--settings", "operator.json")
    child.stdout.read()
    _, status, usage = os.wait4(child.pid, 0)
    child.returncode = os.waitstatus_to_exitcode(status)
    if child.returncode:
        raise SystemExit(child.stderr.read())
    cpu_s = usage.ru_utime + usage.ru_stime
    store_calls = _count_store_calls(operators) - calls_before
    return RunCost(cpu_s, usage.ru_maxrss / KIB_PER_MIB, store_calls)


def _count_store_calls(operators):
    """Returns the number of calls that the object API has served so far."""
    calls = operators.call_store("GET", "/stats")["calls"]
    return sum(count for kinds in calls.values() for count in kinds.values())


def _print_row(command, size, cost):
    cells = (f"{cost.cpu_s:.2f}", f"{cost.peak_mib:.0f}", cost.store_calls)
    print(ROW.format(command, size, *cells), flush=True)


def _print_slope(command, costs, planned_size):
    """Prints the slope and the cost at the planned size.

    Args:
        command: Subcommand that was run.
        costs: Pairs of size and cost, with sizes in ascending order.
        planned_size: Size that the slope is extrapolated to.
    """
    (min_size, min_cost), *_, (max_size, max_cost) = costs
    size_range = max_size - min_size
    cpu_s = (max_cost.cpu_s - min_cost.cpu_s) / size_range
    peak_mib = (max_cost.peak_mib - min_cost.peak_mib) / size_range
    added_size = planned_size - max_size
    print(
        f"{command}: {cpu_s * 1_000:.3f} ms and"
        f" {peak_mib * KIB_PER_MIB:.1f} KiB each; at {planned_size}:"
        f" {max_cost.cpu_s + cpu_s * added_size:.2f} s,"
        f" {max_cost.peak_mib + peak_mib * added_size:.0f} MiB"
    )


def _measure_edits(operators):
    """Measures `check` and `apply` with several numbers of workspaces."""
    costs_by_command = {"check": [], "apply": []}
    for size in WORKSPACE_COUNTS:
        document = config_bytes.config_document(size)
        operators.write("edit.json", document)
        for command, costs in costs_by_command.items():
            cost = _measure_run(operators, command, "edit.json")
            costs.append((size, cost))
            _print_row(command, size, cost)
    for command, costs in costs_by_command.items():
        _print_slope(command, costs, PLANNED_WORKSPACE_COUNT)


def _measure_status(operators):
    """Measures `status` with several numbers of processes."""
    admin = operators.start("admin", "tests.fakes.admin").address
    version = operators.run("status", "--json").json()["store_version"]
    state = {"name": "p", "config_version": version, "ready": True}
    conftest.client.json_call(admin, "PUT", "/state", state)
    costs = []
    registered_count = 0
    for size in PROCESS_COUNTS:
        for number in range(registered_count, size):
            operators.register("target", f"target-{number:05}", admin)
        registered_count = size
        cost = _measure_run(operators, "status")
        costs.append((size, cost))
        _print_row("status", size, cost)
    _print_slope("status", costs, PLANNED_PROCESS_COUNT)


def main():
    """Prints the table with the slopes of each subcommand."""
    print(ROW.format("command", "size", "CPU s", "peak MiB", "store calls"))
    with tempfile.TemporaryDirectory() as directory:
        operators = conftest.Operators(Path(directory))
        try:
            _measure_edits(operators)
            _measure_status(operators)
        finally:
            operators.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
