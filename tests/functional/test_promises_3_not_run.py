"""Promise 3: what is said not to have run has not run."""

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import scenarios

pytestmark = pytest.mark.promise(3)


def test_refused_overload_has_not_run(deployment):
    limits = {"running": 1, "queued": 1}
    deployment.start_engine("c1s0-target", 0, 12, 12, step_s=0.02)
    deployment.start_agent("c1s0", limits=limits)
    document = harness.config(deadline_s=1.0)
    deployment.put_config(document)
    deployment.start_entry("e0")
    deployment.wait_ready()
    load = client.Load()
    for number in range(64):
        name = f"burst {number}"
        entry = deployment.callers("e0")
        key = harness.KEYS["events"]
        load.send(client.complete, entry, key, name, name, max_tokens=40)
    exchanges = load.results()
    runs = deployment.all_runs()
    refused = [exchange for exchange in exchanges if exchange.ran == "no"]
    assert refused, "the burst was meant to be more than can be served"
    assert history.check_not_run(exchanges, runs, []) == []
    assert history.check_errors(exchanges) == []


@pytest.mark.parametrize("seed", range(7, 10))
def test_model_faults_in_pairs(deployment, seed):
    outcome = scenarios.run_prompts(deployment, seed, faults=2)
    assert outcome.findings[3] == []


@pytest.mark.parametrize("seed", range(10, 13))
def test_call_faults_in_pairs(deployment, seed):
    outcome = scenarios.run_bookings(deployment, seed, faults=2)
    assert outcome.findings[3] == []


def test_a_store_outage_refuses_bookings_as_not_run(deployment):
    scenarios.start_calls(deployment)
    deployment.set_faults("refuse")
    refused = scenarios.make_booking_without_key(deployment, 0)
    refused += [
        client.call_service(
            deployment.callers("e0"),
            harness.KEYS["events"],
            "outage",
            {"item": "outage"},
            "key of the outage",
        )
    ]
    bookings = deployment.all_bookings()
    assert [one.ran for one in refused if not one.whole].count("no") >= 1
    assert history.check_not_run(refused, [], bookings) == []
    assert history.check_at_most_once(refused, bookings) == []
