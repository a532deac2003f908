"""Promise 3: a request reported as not run has not run anywhere."""

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import scenarios

pytestmark = pytest.mark.promise(3)


def test_requests_refused_under_overload_have_not_run(deployment):
    limits = {"running": 1, "queued": 1}
    deployment.start_engine("c1s0-target", 0, 12, 12, step_s=0.02)
    deployment.start_agent("c1s0", limits=limits)
    config_document = harness.config(deadline_s=1.0)
    deployment.put_config(config_document)
    deployment.start_entry("e0")
    deployment.wait_ready()
    load = client.Load()
    for number in range(64):
        name = f"burst {number}"
        entry_address = deployment.callers("e0")
        api_key = harness.KEYS["events"]
        load.send(
            client.complete, entry_address, api_key, name, name, max_tokens=40
        )
    exchanges = load.results()
    runs = deployment.all_runs()
    refused_exchanges = [
        exchange for exchange in exchanges if exchange.ran == "no"
    ]
    assert refused_exchanges, "the burst must exceed the capacity"
    assert history.check_not_run(exchanges, runs, []) == []
    assert history.check_errors(exchanges) == []


@pytest.mark.parametrize("seed", range(7, 10))
def test_pairs_of_model_faults(deployment, seed):
    outcome = scenarios.run_prompts(deployment, seed, faults=2)
    assert outcome.findings[3] == []


@pytest.mark.parametrize("seed", range(10, 13))
def test_pairs_of_call_faults(deployment, seed):
    outcome = scenarios.run_bookings(deployment, seed, faults=2)
    assert outcome.findings[3] == []


def test_bookings_refused_in_a_store_outage_have_not_run(deployment):
    scenarios.start_calls(deployment)
    deployment.set_faults("refuse")
    exchanges = scenarios.make_booking_without_key(deployment, 0)
    exchanges += [
        client.call_service(
            deployment.callers("e0"),
            harness.KEYS["events"],
            "outage",
            {"item": "outage"},
            "key of the outage",
        )
    ]
    bookings = deployment.all_bookings()
    assert [
        exchange.ran for exchange in exchanges if not exchange.whole
    ].count("no") >= 1
    assert history.check_not_run(exchanges, [], bookings) == []
    assert history.check_at_most_once(exchanges, bookings) == []
