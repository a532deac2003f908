"""What one more linked entry, stream or token costs an agent."""

import json
import time

from benchmarks.slopes import deployment as stage_module
from benchmarks.slopes import resource_usage
from benchmarks.slopes import sample_data
from tests.functional import client

SETTLE_S = 3.0
WINDOW_S = 6.0
LAYER_COUNT = 8
MOST_RUNNING = 512
STEP_S = 0.02


def links(count):
    """Returns what so many linked entries cost an idle agent."""
    with stage_module.new() as stage:
        agents = _start_agents(stage, 1)
        entries = _start_entries(stage, agents, count, 0)
        return _window(stage, agents, entries)


def streams(count, stages=1, link_count=4):
    """Returns what so many running streams cost the agents of a chain."""
    with stage_module.new() as stage:
        agents = _start_agents(stage, stages)
        entries = _start_entries(stage, agents, link_count, count)
        return _window(stage, agents, entries)


def _start_agents(stage, stages):
    """Starts a chain of agents with their engines."""
    stage.put_config(stage_module.document(710))
    step = LAYER_COUNT // stages
    agents = []
    for index in range(stages):
        name = f"s{index}"
        first = index * step
        stage.start_engine(
            f"{name}-target",
            first,
            first + step,
            LAYER_COUNT,
            step_s=STEP_S,
            sequences=MOST_RUNNING,
        )
        limits = {"running": MOST_RUNNING, "queued": MOST_RUNNING}
        agent = stage.start_agent(name, links=sample_data.LINKS, limits=limits)
        stage.wait_process_ready(agent)
        agents.append(agent)
    return agents


def _start_entries(stage, agents, links, streams):
    """Starts the process that plays the entries; waits until it is up."""
    step = LAYER_COUNT // len(agents)
    chain = [
        {
            "target": f"s{index}",
            "host": agent.addresses["link"].host,
            "port": agent.addresses["link"].port,
            "first_layer": index * step,
            "end_layer": (index + 1) * step,
        }
        for index, agent in enumerate(agents)
    ]
    address = agents[0].addresses["link"]
    options = {
        "host": address.host,
        "port": address.port,
        "links": links,
        "streams": streams,
        "chain": chain,
    }
    entries = stage.run(
        "entries",
        "benchmarks.slopes.simulated_entries",
        [json.dumps(options)],
        port_option=False,
    )
    time.sleep(SETTLE_S)
    found = _stats(entries)
    assert found["links"] == links, found
    assert found["streams"] == streams, found
    return entries


def _stats(entries):
    """Returns what the links of the entries have moved."""
    return client.http_call(entries.addresses["control"], "GET", "/").json()


def _window(stage, agents, entries):
    """Returns what the agents used in a window of time, head first."""
    before = _stats(entries)
    cpu_s = [resource_usage.cpu_s(agent.pid) for agent in agents]
    started_s = time.monotonic()
    time.sleep(WINDOW_S)
    spent_s = time.monotonic() - started_s
    used_s = [
        resource_usage.cpu_s(agent.pid) - earlier
        for agent, earlier in zip(agents, cpu_s, strict=True)
    ]
    after = _stats(entries)
    return {
        "head_cpu_s_per_s": used_s[0] / spent_s,
        "tail_cpu_s_per_s": used_s[-1] / spent_s,
        "head_resident_bytes": resource_usage.resident_bytes(agents[0].pid),
        "tail_resident_bytes": resource_usage.resident_bytes(agents[-1].pid),
        **{
            f"{name}_per_s": (after[name] - before[name]) / spent_s
            for name in ("wire_bytes", "tokens", "frames", "refused")
        },
    }
