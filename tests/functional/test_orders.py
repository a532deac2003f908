"""Control orders: placement under a lease, fences at the agents."""

import pytest

from tests.functional import harness
from tests.functional.process import poll

POLLS = 1200


@pytest.fixture
def chains(deployment):
    """Two chains and two entries; options of the engines are usual."""
    harness.start_chains(deployment)
    deployment.start_entry("e0")
    deployment.start_entry("e1")
    deployment.wait_ready()
    return deployment


def orders_of(deployment):
    return [
        line
        for name in deployment.engines
        for line in deployment.engine_history(name)
        if line["part"] == "orders"
    ]


def holders(deployment):
    return [
        name
        for name, entry in deployment.entries.items()
        if deployment.status(entry).get("leases")
    ]


def test_a_lost_layer_range_is_loaded_by_a_spare_target(chains):
    poll(lambda: len(holders(chains)) == 1, POLLS, "one entry holds the lease")
    for name in ("c0s1", "c1s1"):
        chains.agents[name].kill()
        chains.engines[f"{name}-target"].process.kill()
    poll(lambda: len(orders_of(chains)) > 0, POLLS, "an order is given")
    chains.wait_serving("e0", POLLS)
    chains.wait_serving("e1", POLLS)
    orders = orders_of(chains)
    assert [order["kind"] for order in orders] == ["load_model"]
    assert orders[0]["accepted"]
    assert orders[0]["arguments"]["first_layer"] == "4"
