"""Placement: control orders that the lease holder among the entries sends."""

import pytest

from tests.functional import harness
from tests.functional.process import poll

MAX_POLLS = 1200


@pytest.fixture
def two_chains(deployment):
    """Two chains with default engine options, and two entries."""
    harness.start_chains(deployment)
    deployment.start_entry("e0")
    deployment.start_entry("e1")
    deployment.wait_ready()
    return deployment


def received_orders(deployment):
    """Returns the control orders that all engines recorded."""
    return [
        line
        for name in deployment.engines
        for line in deployment.engine_history(name)
        if line["part"] == "orders"
    ]


def lease_holders(deployment):
    """Returns the names of the entries that hold a lease."""
    return [
        name
        for name, entry in deployment.entries.items()
        if deployment.status(entry).get("leases")
    ]


def test_spare_target_loads_a_lost_layer_range(two_chains):
    poll(
        lambda: len(lease_holders(two_chains)) == 1,
        MAX_POLLS,
        "one entry holds the lease",
    )
    for name in ("c0s1", "c1s1"):
        two_chains.agents[name].kill()
        two_chains.engines[f"{name}-target"].process.kill()
    poll(
        lambda: len(received_orders(two_chains)) > 0,
        MAX_POLLS,
        "an order is given",
    )
    two_chains.wait_serving("e0", MAX_POLLS)
    two_chains.wait_serving("e1", MAX_POLLS)
    orders = received_orders(two_chains)
    assert [order["kind"] for order in orders] == ["load_model"]
    assert orders[0]["accepted"]
    assert orders[0]["arguments"]["first_layer"] == "4"
