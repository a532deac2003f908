"""Messages, settings and registrations of the sizes to design for."""

import random

PLAN_COUNT = 71
PREFIX_COUNT = 64
MODEL_COUNT = 19
LINK_SECRET = "a shared secret of the benchmarks"
LINK_SETTINGS = {
    "secret": LINK_SECRET,
    "heartbeat_interval_s": 0.5,
    "silence_timeout_s": 2.0,
    "coalesce_s": 0.004,
    "reconnect_min_s": 0.05,
    "reconnect_max_s": 1.0,
    "frame_bytes": 4 * 1024 * 1024,
    "connect_timeout_s": 5.0,
}
CONFIG_VERSION = 10_000_000


def heartbeat(echo=False):
    """Returns a heartbeat with the high counters of months of uptime."""
    return {
        "type": "heartbeat",
        "sequence": 10_000_000,
        "echo": echo,
        "config_version": CONFIG_VERSION,
    }


def load_report(
    plan_count=PLAN_COUNT, prefix_count=PREFIX_COUNT, target="target-0000"
):
    """Returns the load report of a target at its concurrency limit.

    Args:
        plan_count: Plans with a backlog.
        prefix_count: Reported prompt prefixes.
        target: Name of the target.
    """
    rng = random.Random(1)
    return {
        "type": "load",
        "target": target,
        "queued": 40,
        "running": 64,
        "max_running": 64,
        "queued_cost_tokens": 41_234.0,
        "tokens_per_s": 3_250.5,
        "leaving": False,
        "plan_backlog_tokens": {
            f"plan-{number:03}": rng.uniform(1e6, 1e9)
            for number in range(plan_count)
        },
        "prefixes": [rng.getrandbits(64) for _ in range(prefix_count)],
    }


def registration(name, host, port, model="model-00", layers=(0, 8, 8)):
    """Returns the registration of a model target.

    Args:
        name: Name of the target.
        host: Host of its agent.
        port: Port of its agent.
        model: Model that it serves.
        layers: First layer, layer after the last one, and layers of the
            whole model.
    """
    return {
        "target": name,
        "host": host,
        "port": port,
        "admin_host": host,
        "admin_port": port,
        "data_centre": "region-1-b",
        "vm": f"vm-{name}",
        "model": model,
        "first_layer": layers[0],
        "end_layer": layers[1],
        "layer_count": layers[2],
        "accelerator_kind": "kind-a",
        "service": "",
        "max_running": 64,
    }


def token_message(
    first_stream, stream_count, tokens_per_stream, first_index=0
):
    """Returns a message with tokens of several streams."""
    return {
        "type": "tokens",
        "runs": [
            {
                "request": request_id(first_stream + number),
                "attempt": 1,
                "first_index": first_index,
                "tokens": [
                    (number * 7919 + place) % 50_000
                    for place in range(tokens_per_stream)
                ],
            }
            for number in range(stream_count)
        ],
    }


def request_id(number):
    """Returns a request id of the form that entries generate."""
    return f"0123456789abcdef-{number}"
