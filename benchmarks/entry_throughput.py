"""Requests and tokens per processor second of the real programs.

    python -m benchmarks.entry_throughput [SEED]

Callers keep streams open at one entry until 1,000 requests have ended;
each asks for 32 tokens. Two chains of two stages serve them. Printed are
what the entry and the agents spent, and the peak memory of each program.
"""

import sys
import time

from benchmarks.slopes import deployment as deployment_module
from benchmarks.slopes import resource_usage
from tests.functional import harness

REQUESTS = 1_000
STREAMS = 40
MAX_TOKENS = 32
LIMIT_S = 120.0
STEP_S = 0.005
MIB = 1024 * 1024
LIMITS = {"running": 64, "queued": 512}


def _start(stage):
    """Starts two chains and an entry."""
    stage.put_config(_document())
    harness.start_chains(
        stage, chains=2, stages=2, step_s=STEP_S, sequences=128
    )
    stage.start_booking("b0-target")
    stage.start_agent("b0")
    entry = stage.start_entry("e0")
    for process in (*stage.agents.values(), entry):
        stage.wait_process_ready(process)
    stage.wait_for_links("e0", len(stage.agents))
    return entry


def _document():
    """Returns a configuration of today's size that allows the model."""
    document = deployment_module.unlimited_config(10)
    for allowance in document["allowances"]:
        allowance["models"] = [harness.MODEL]
        allowance["services"] = [harness.SERVICE]
    return document


def _sum(stage, process, name):
    """Returns the sum of a counter over its labels."""
    page = stage.admin(process, "/metrics").body.decode()
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in page.splitlines()
        if line.startswith(name) and not line.startswith(f"{name}_created")
    )


def _run(stage, entry, seed):
    """Sends the requests; returns the counts and the seconds spent."""
    programs = {"entry": entry, **stage.agents}
    before = {
        name: resource_usage.cpu_s(one.pid) for name, one in programs.items()
    }
    started_s = time.monotonic()
    stage.start_load_generator(
        "e0",
        streams=STREAMS,
        total=REQUESTS,
        max_tokens=MAX_TOKENS,
        model=harness.MODEL,
        prompt_words=40,
        seed=seed,
    )
    ends = "hemlocktiller_request_ends_total"
    while _sum(stage, entry, ends) < REQUESTS:
        if time.monotonic() - started_s > LIMIT_S:
            raise TimeoutError("the requests did not end in time")
        time.sleep(0.2)
    wall_s = time.monotonic() - started_s
    used_s = {
        name: resource_usage.cpu_s(one.pid) - before[name]
        for name, one in programs.items()
    }
    return wall_s, used_s


def main(seed):
    """Runs the benchmark and prints its figures."""
    with deployment_module.temporary_deployment() as stage:
        entry = _start(stage)
        wall_s, used_s = _run(stage, entry, seed)
        ok = _sum(
            stage, entry, 'hemlocktiller_request_ends_total{outcome="ok"}'
        )
        tokens = sum(
            _sum(stage, one, "hemlocktiller_tokens_total")
            for one in stage.agents.values()
        )
        print(
            f"{REQUESTS} requests, {ok:.0f} whole, {tokens:.0f} tokens"
            f" in {wall_s:.1f} s"
        )
        entry_s = used_s["entry"]
        print(
            f"entry: {entry_s:.2f} s of processor time,"
            f" {REQUESTS / entry_s:.0f} requests and"
            f" {tokens / entry_s:.0f} tokens per processor second"
        )
        for name, one in {"entry": entry, **stage.agents}.items():
            print(
                f"{name}: {used_s[name]:.2f} s of processor time,"
                f" peak"
                f" {resource_usage.peak_resident_bytes(one.pid) / MIB:.1f} MiB"
            )
    return 0 if ok == REQUESTS else 1


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else 1))
