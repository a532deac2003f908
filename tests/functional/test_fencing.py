"""Agents refuse control orders sent under an outdated lease.

Each test runs with an engine that checks fencing numbers itself and with
one that ignores them; the agent's own check has to suffice.
"""

import itertools
import json

import pytest

from tests.functional import client
from tests.functional import harness

API_KEY = harness.KEYS["events"]
LEASE_NAME = "lease-of-the-test"


@pytest.fixture(params=["checks", "ignores"])
def single_target(deployment, request):
    """One target with all layers of the model, and one entry."""
    deployment.start_engine("a-target", 0, 8, 8, fencing=request.param)
    deployment.start_agent("a")
    deployment.start_entry("e0")
    deployment.wait_ready()
    return deployment


def put_lease(deployment, fencing_number):
    """Creates or replaces the lease object in the store."""
    path = f"/objects/lease/{LEASE_NAME}"
    response = deployment.store_call("GET", path)
    headers = {"If-None-Match": "*"}
    if response.status == 200:
        headers = {"If-Match": f'"{response.json()["version"]}"'}
    value = {
        "holder": f"holder {fencing_number}",
        "fencing_number": fencing_number,
    }
    response = deployment.store_call("PUT", path, value, headers=headers)
    assert response.status == 200


@pytest.fixture
def send_order(single_target):
    """A function that sends an order and returns the agent's decision.

    It returns "accepted" or the reason of the refusal.
    """
    sender_numbers = itertools.count()

    def send(fencing_number):
        link = single_target.agents["a"].addresses["link"]
        options = ["--host", link.host, "--port", link.port]
        options += ["--lease", LEASE_NAME, "--fencing-number", fencing_number]
        name = f"sender{next(sender_numbers)}"
        module = "tests.functional.order_sender"
        sender = single_target.run(name, module, options, port_option=False)
        sender.wait()
        lines = sender.output().splitlines()
        decision = json.loads(lines[1])
        return "accepted" if decision["accepted"] else decision["reason"]

    return send


def accepted_fencing_numbers(deployment):
    """Returns the fencing numbers of the orders the engine accepted."""
    return [
        line["fencing_number"]
        for line in deployment.engine_history("a-target")
        if line["part"] == "orders" and line["accepted"]
    ]


def test_lower_fencing_number_is_refused(single_target, send_order):
    put_lease(single_target, 5)
    assert send_order(5) == "accepted"
    assert send_order(4) == "stale_fence"
    assert send_order(6) == "accepted"
    assert send_order(5) == "stale_fence"
    assert accepted_fencing_numbers(single_target) == [5, 6]


def test_former_holder_is_refused_before_the_new_holder_sends_an_order(
    single_target, send_order
):
    put_lease(single_target, 5)
    assert send_order(5) == "accepted"
    put_lease(single_target, 6)
    assert send_order(5) == "stale_fence"
    assert accepted_fencing_numbers(single_target) == [5]


def test_restarted_agent_refuses_orders_until_it_reads_the_lease(
    single_target, send_order
):
    put_lease(single_target, 7)
    assert send_order(7) == "accepted"
    single_target.set_faults("refuse")
    single_target.agents["a"].kill()
    single_target.restart_agent("a")
    single_target.wait_routable("a")
    assert send_order(7) == "lease_not_read"
    assert send_order(6) == "lease_not_read"
    exchange = client.complete(single_target.callers("e0"), API_KEY, "x", "x")
    assert exchange.whole
    single_target.set_faults()
    assert send_order(6) == "stale_fence"
    assert send_order(7) == "accepted"
    assert accepted_fencing_numbers(single_target) == [7, 7]
