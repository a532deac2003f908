"""Orders under an old lease change nothing, whatever the engine checks."""

import itertools
import json

import pytest

from tests.functional import client
from tests.functional import harness

KEY = harness.KEYS["events"]
LEASE = "lease-of-the-test"


@pytest.fixture(params=["checks", "ignores"])
def target(deployment, request):
    """A whole model on one engine, and an entry."""
    deployment.start_engine("a-target", 0, 8, 8, fencing=request.param)
    deployment.start_agent("a")
    deployment.start_entry("e0")
    deployment.wait_ready()
    return deployment


def put_lease(deployment, number):
    path = f"/objects/lease/{LEASE}"
    answer = deployment.store_call("GET", path)
    headers = {"If-None-Match": "*"}
    if answer.status == 200:
        headers = {"If-Match": f'"{answer.json()["version"]}"'}
    value = {"holder": f"holder {number}", "fencing_number": number}
    answer = deployment.store_call("PUT", path, value, headers=headers)
    assert answer.status == 200


@pytest.fixture
def order(target):
    """Sends an order under a fencing number; returns its outcome."""
    counter = itertools.count()

    def send(number):
        link = target.agents["a"].addresses["link"]
        words = ["--host", link.host, "--port", link.port]
        words += ["--lease", LEASE, "--fencing-number", number]
        name = f"sender{next(counter)}"
        module = "tests.functional.order_sender"
        sender = target.run(name, module, words, port_option=False)
        sender.wait()
        lines = sender.output().splitlines()
        result = json.loads(lines[1])
        return "accepted" if result["accepted"] else result["reason"]

    return send


def orders_of(deployment):
    return [
        line["fencing_number"]
        for line in deployment.engine_history("a-target")
        if line["part"] == "orders" and line["accepted"]
    ]


def test_an_older_number_is_refused(target, order):
    put_lease(target, 5)
    assert order(5) == "accepted"
    assert order(4) == "stale_fence"
    assert order(6) == "accepted"
    assert order(5) == "stale_fence"
    assert orders_of(target) == [5, 6]


def test_a_paused_holder_is_refused_before_the_next_one_orders(target, order):
    put_lease(target, 5)
    assert order(5) == "accepted"
    put_lease(target, 6)
    assert order(5) == "stale_fence"
    assert orders_of(target) == [5]


def test_an_agent_without_memory_reads_the_lease_first(target, order):
    put_lease(target, 7)
    assert order(7) == "accepted"
    target.set_faults("refuse")
    target.agents["a"].kill()
    target.restart_agent("a")
    target.wait_routable("a")
    assert order(7) == "lease_not_read"
    assert order(6) == "lease_not_read"
    served = client.complete(target.callers("e0"), KEY, "x", "x")
    assert served.whole
    target.set_faults()
    assert order(6) == "stale_fence"
    assert order(7) == "accepted"
    assert orders_of(target) == [7, 7]
