"""Measures requests and tokens per second of CPU time of the real programs.

    python -m benchmarks.entry_throughput [SEED]

Callers keep streams open at one entry until 1,000 requests have ended. Each
request is for 32 tokens and runs on one of two chains of two stages. The
output has the CPU time and the peak memory of the entry and of each agent.
"""

import sys
import time

from benchmarks.slopes import deployment as deployment_module
from benchmarks.slopes import resource_usage
from tests.functional import harness

REQUEST_COUNT = 1_000
OPEN_STREAMS = 40
MAX_TOKENS = 32
LOAD_TIMEOUT_S = 120.0
STEP_S = 0.005
MIB = 1024 * 1024
LIMITS = {"running": 64, "queued": 512}


def _start_processes(deployment):
    """Starts two chains, a booking service and an entry; returns the entry."""
    deployment.put_config(_config_document())
    harness.start_chains(
        deployment, chains=2, stages=2, step_s=STEP_S, sequences=128
    )
    deployment.start_booking("b0-target")
    deployment.start_agent("b0")
    entry = deployment.start_entry("e0")
    for process in (*deployment.agents.values(), entry):
        deployment.wait_process_ready(process)
    deployment.wait_for_links("e0", len(deployment.agents))
    return entry


def _config_document():
    """Returns a configuration that allows the model and the service.

    It has 10 workspaces, as many as there are today.
    """
    document = deployment_module.unlimited_config(10)
    for allowance in document["allowances"]:
        allowance["models"] = [harness.MODEL]
        allowance["services"] = [harness.SERVICE]
    return document


def _sum_counter(deployment, process, name):
    """Returns the sum of a counter's samples.

    Args:
        deployment: Where the process runs.
        process: Process whose metrics are read.
        name: Name of the counter, or a sample's name with its labels.
    """
    metrics = deployment.admin(process, "/metrics").body.decode()
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in metrics.splitlines()
        if line.startswith(name) and not line.startswith(f"{name}_created")
    )


def _run_load(deployment, entry, seed):
    """Sends the requests and waits until they have ended.

    Returns:
        The elapsed time and the CPU time by process, in seconds.
    """
    processes = {"entry": entry, **deployment.agents}
    before_s = {
        name: resource_usage.cpu_s(process.pid)
        for name, process in processes.items()
    }
    started_s = time.monotonic()
    deployment.start_load_generator(
        "e0",
        streams=OPEN_STREAMS,
        total=REQUEST_COUNT,
        max_tokens=MAX_TOKENS,
        model=harness.MODEL,
        prompt_words=40,
        seed=seed,
    )
    counter = "hemlocktiller_request_ends_total"
    while _sum_counter(deployment, entry, counter) < REQUEST_COUNT:
        if time.monotonic() - started_s > LOAD_TIMEOUT_S:
            raise TimeoutError(
                f"not all requests ended within {LOAD_TIMEOUT_S} s"
            )
        time.sleep(0.2)
    elapsed_s = time.monotonic() - started_s
    used_cpu_s = {
        name: resource_usage.cpu_s(process.pid) - before_s[name]
        for name, process in processes.items()
    }
    return elapsed_s, used_cpu_s


def main(seed):
    """Prints the figures; returns 1 if a request did not complete."""
    with deployment_module.temporary_deployment() as deployment:
        entry = _start_processes(deployment)
        elapsed_s, used_cpu_s = _run_load(deployment, entry, seed)
        completed = _sum_counter(
            deployment, entry, 'hemlocktiller_request_ends_total{outcome="ok"}'
        )
        tokens = sum(
            _sum_counter(deployment, agent, "hemlocktiller_tokens_total")
            for agent in deployment.agents.values()
        )
        print(
            f"{REQUEST_COUNT} requests, {completed:.0f} completed,"
            f" {tokens:.0f} tokens in {elapsed_s:.1f} s"
        )
        entry_cpu_s = used_cpu_s["entry"]
        print(
            f"entry: {entry_cpu_s:.2f} s of CPU time,"
            f" {REQUEST_COUNT / entry_cpu_s:.0f} requests and"
            f" {tokens / entry_cpu_s:.0f} tokens per second of CPU time"
        )
        for name, process in {"entry": entry, **deployment.agents}.items():
            peak_bytes = resource_usage.peak_resident_bytes(process.pid)
            print(
                f"{name}: {used_cpu_s[name]:.2f} s of CPU time,"
                f" peak {peak_bytes / MIB:.1f} MiB"
            )
    return 0 if completed == REQUEST_COUNT else 1


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else 1))
