"""Measures an entry by links, streams, tokens, requests and workspaces.

Each function starts a deployment of its own, with simulated agents.
"""

import time

from benchmarks.slopes import deployment as deployment_module
from benchmarks.slopes import resource_usage

SETTLE_S = 3.0
WINDOW_S = 6.0


def measure_idle_links(link_count, reports=True, **agent_options):
    """Measures an entry with idle links.

    Args:
        link_count: Links, each to one simulated agent.
        reports: Whether the agents send load reports.
        **agent_options: Further options of the simulated agents.

    Returns:
        Rates per second and memory; see `_measure_window`.
    """
    with deployment_module.temporary_deployment() as deployment:
        entry = deployment_module.start_linked_entry(
            deployment,
            link_count,
            reports=reports,
            streaming=False,
            **agent_options,
        )
        time.sleep(SETTLE_S)
        return _measure_window(deployment, entry)


def measure_open_streams(stream_count, target_count=4):
    """Returns the memory of an entry with open streams without tokens."""
    with deployment_module.temporary_deployment() as deployment:
        entry = deployment_module.start_linked_entry(
            deployment, target_count, streaming=False
        )
        deployment.start_load_generator(
            "e0", streams=stream_count, max_tokens=1_000_000
        )
        _wait_until(
            lambda: (
                deployment.simulated_agent_stats()["streams"] >= stream_count
            )
        )
        time.sleep(SETTLE_S)
        return {
            "resident_bytes": resource_usage.resident_bytes(entry.pid),
            "streams": deployment.simulated_agent_stats()["streams"],
        }


def measure_tokens(
    stream_count, tokens_per_message=1, target_count=4, tick_s=0.05
):
    """Measures an entry whose streams receive tokens.

    Args:
        stream_count: Open streams.
        tokens_per_message: Tokens of a stream that are sent at once.
        target_count: Targets that serve the streams.
        tick_s: Interval at which tokens are sent.

    Returns:
        Rates per second and memory; see `_measure_window`.
    """
    with deployment_module.temporary_deployment() as deployment:
        entry = deployment_module.start_linked_entry(
            deployment,
            target_count,
            tokens_each=tokens_per_message,
            tick_s=tick_s,
        )
        deployment.start_load_generator(
            "e0", streams=stream_count, max_tokens=1_000_000
        )
        _wait_until(
            lambda: (
                deployment.simulated_agent_stats()["streams"] >= stream_count
            )
        )
        time.sleep(SETTLE_S)
        return _measure_window(deployment, entry)


def measure_requests(rate_per_s, target_count=4, targets_per_model=4):
    """Measures an entry that receives requests for one token each.

    Args:
        rate_per_s: Rate of the requests.
        target_count: Targets.
        targets_per_model: Targets that serve the same model.

    Returns:
        Rates per second and memory; see `_measure_window`.
    """
    with deployment_module.temporary_deployment() as deployment:
        entry = deployment_module.start_linked_entry(
            deployment, target_count, targets_per_model, tick_s=0.02
        )
        deployment.start_load_generator(
            "e0", rate_per_s=rate_per_s, max_tokens=1
        )
        time.sleep(SETTLE_S)
        return _measure_window(deployment, entry)


def measure_workspaces(workspace_count):
    """Returns the memory of an idle entry by workspaces configured."""
    with deployment_module.temporary_deployment() as deployment:
        entry = deployment_module.start_linked_entry(
            deployment, 4, workspace_count=workspace_count
        )
        time.sleep(SETTLE_S)
        return {"resident_bytes": resource_usage.resident_bytes(entry.pid)}


def _measure_window(deployment, entry):
    """Measures an entry and its links for `WINDOW_S`.

    Returns:
        Processor time, traffic, tokens, messages with tokens and started
        requests, each per second, and the resident memory.
    """
    before = deployment.simulated_agent_stats()
    cpu_before_s = resource_usage.cpu_s(entry.pid)
    started_s = time.monotonic()
    time.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - started_s
    used_cpu_s = resource_usage.cpu_s(entry.pid) - cpu_before_s
    after = deployment.simulated_agent_stats()
    rates = {
        name: (after[name] - before[name]) / elapsed_s
        for name in ("wire_bytes", "tokens", "frames", "starts")
    }
    return {
        "cpu_s_per_s": used_cpu_s / elapsed_s,
        "resident_bytes": resource_usage.resident_bytes(entry.pid),
        "peak_bytes": resource_usage.peak_resident_bytes(entry.pid),
        **{f"{name}_per_s": rate for name, rate in rates.items()},
    }


def _wait_until(condition, timeout_s=60.0):
    """Waits until a condition on the streams holds."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError("the streams did not open in time")
        time.sleep(0.2)
