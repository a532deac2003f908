"""Measures an agent by linked entries, streams and tokens."""

import json
import time

from benchmarks.slopes import deployment as deployment_module
from benchmarks.slopes import resource_usage
from benchmarks.slopes import sample_data
from tests.functional import client

SETTLE_S = 3.0
WINDOW_S = 6.0
LAYER_COUNT = 8
MAX_RUNNING = 512
STEP_S = 0.02


def measure_idle_links(link_count):
    """Measures an idle agent with links to simulated entries.

    Args:
        link_count: Links, each to one simulated entry.

    Returns:
        Rates per second and memory; see `_measure_window`.
    """
    with deployment_module.temporary_deployment() as deployment:
        agents = _start_chain(deployment, 1)
        entries = _start_simulated_entries(deployment, agents, link_count, 0)
        return _measure_window(deployment, agents, entries)


def measure_streams(stream_count, stage_count=1, link_count=4):
    """Measures the agents of a chain that runs streams.

    Args:
        stream_count: Running streams over all links.
        stage_count: Stages of the chain, with one agent each.
        link_count: Links, each to one simulated entry.

    Returns:
        Rates per second and memory; see `_measure_window`.
    """
    with deployment_module.temporary_deployment() as deployment:
        agents = _start_chain(deployment, stage_count)
        entries = _start_simulated_entries(
            deployment, agents, link_count, stream_count
        )
        return _measure_window(deployment, agents, entries)


def _start_chain(deployment, stage_count):
    """Starts the agents of a chain, head first, and their engines."""
    deployment.put_config(deployment_module.unlimited_config(710))
    layers_per_stage = LAYER_COUNT // stage_count
    agents = []
    for index in range(stage_count):
        name = f"s{index}"
        first_layer = index * layers_per_stage
        deployment.start_engine(
            f"{name}-target",
            first_layer,
            first_layer + layers_per_stage,
            LAYER_COUNT,
            step_s=STEP_S,
            sequences=MAX_RUNNING,
        )
        limits = {"running": MAX_RUNNING, "queued": MAX_RUNNING}
        agent = deployment.start_agent(
            name, links=sample_data.LINK_SETTINGS, limits=limits
        )
        deployment.wait_process_ready(agent)
        agents.append(agent)
    return agents


def _start_simulated_entries(deployment, agents, link_count, stream_count):
    """Starts the process that simulates the entries; waits until it is up.

    Args:
        deployment: Deployment that the agents run in.
        agents: Agents of the chain; the entries link to the first.
        link_count: Links to open.
        stream_count: Streams to keep open over all links.

    Returns:
        The process of the simulated entries.
    """
    layers_per_stage = LAYER_COUNT // len(agents)
    chain = [
        {
            "target": f"s{index}",
            "host": agent.addresses["link"].host,
            "port": agent.addresses["link"].port,
            "first_layer": index * layers_per_stage,
            "end_layer": (index + 1) * layers_per_stage,
        }
        for index, agent in enumerate(agents)
    ]
    address = agents[0].addresses["link"]
    options = {
        "host": address.host,
        "port": address.port,
        "links": link_count,
        "streams": stream_count,
        "chain": chain,
    }
    entries = deployment.run(
        "entries",
        "benchmarks.slopes.simulated_entries",
        [json.dumps(options)],
        port_option=False,
    )
    time.sleep(SETTLE_S)
    stats = _stats(entries)
    assert stats["links"] == link_count, stats
    assert stats["streams"] == stream_count, stats
    return entries


def _stats(entries):
    """Returns the statistics of the simulated entries' links."""
    return client.http_call(entries.addresses["control"], "GET", "/").json()


def _measure_window(deployment, agents, entries):
    """Measures the agents of a chain and the entries for `WINDOW_S`.

    Returns:
        Processor time of the first and last agent and the entries' traffic,
        tokens, messages with tokens and refused requests, each per second,
        and the resident memory of the first and last agent.
    """
    before = _stats(entries)
    cpu_before_s = [resource_usage.cpu_s(agent.pid) for agent in agents]
    started_s = time.monotonic()
    time.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - started_s
    used_cpu_s = [
        resource_usage.cpu_s(agent.pid) - earlier_s
        for agent, earlier_s in zip(agents, cpu_before_s, strict=True)
    ]
    after = _stats(entries)
    return {
        "head_cpu_s_per_s": used_cpu_s[0] / elapsed_s,
        "tail_cpu_s_per_s": used_cpu_s[-1] / elapsed_s,
        "head_resident_bytes": resource_usage.resident_bytes(agents[0].pid),
        "tail_resident_bytes": resource_usage.resident_bytes(agents[-1].pid),
        **{
            f"{name}_per_s": (after[name] - before[name]) / elapsed_s
            for name in ("wire_bytes", "tokens", "frames", "refused")
        },
    }
