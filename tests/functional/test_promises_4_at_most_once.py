"""Promise 4: a call that may not be repeated runs at most once."""

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import process
from tests.functional import scenarios
from tests.functional import schedules

KEY = harness.KEYS["events"]
CALLS_PER_BOOKING = 4
POLLS = 400

pytestmark = pytest.mark.promise(4)


def send(deployment, entry, body, key):
    callers = deployment.callers(entry)
    name = f"{key} at {entry}"
    return client.call_service(callers, KEY, name, body, f"key {key}")


def test_without_faults_every_booking_is_answered(deployment):
    outcome = scenarios.run_bookings(deployment, 0, faults=0)
    assert history.check_all_whole(outcome.exchanges) == []
    assert outcome.findings[4] == []
    assert len(deployment.all_bookings()) == scenarios.REQUESTS


@pytest.mark.parametrize("kind", schedules.CALL_FAULTS)
def test_each_fault_alone(deployment, kind):
    outcome = scenarios.run_bookings(deployment, 1, faults=1, kinds=(kind,))
    assert outcome.findings[4] == []


@pytest.mark.parametrize("seed", range(6))
def test_faults_in_pairs(deployment, seed):
    outcome = scenarios.run_bookings(deployment, seed, faults=2)
    assert outcome.findings[4] == []


def test_a_resend_to_another_entry_gets_the_recorded_answer(deployment):
    scenarios.start_calls(deployment)
    first = send(deployment, "e0", {"item": "a"}, "k")
    second = send(deployment, "e1", {"item": "a"}, "k")
    assert first.whole
    assert second.body == first.body
    assert len(deployment.all_bookings()) == 1


@pytest.mark.parametrize("word", ["crash", "crash-after"])
def test_a_service_that_dies_is_not_called_again(deployment, word):
    scenarios.start_calls(deployment)
    body = {"item": "a", word: True}
    exchanges = [
        send(deployment, entry, body, "k") for entry in ("e0", "e1", "e0")
    ]
    assert [one.whole for one in exchanges] == [False] * 3
    assert exchanges[0].ran == "unknown"
    alive = [one.running() for one in deployment.bookings.values()]
    assert alive.count(False) == 1
    assert len(deployment.all_bookings()) <= 1
    assert history.check_errors(exchanges) == []


def test_the_store_calls_of_a_booking_are_bounded(deployment):
    scenarios.start_calls(deployment)
    before = claim_calls(deployment)
    bookings = 16
    for number in range(bookings):
        assert send(deployment, "e0", {"item": number}, f"k{number}").whole
    calls = claim_calls(deployment) - before
    assert 0 < calls <= CALLS_PER_BOOKING * bookings


def test_an_outage_between_claim_and_outcome(deployment):
    scenarios.start_calls(deployment, delay_s=0.5)
    load = client.Load()
    load.send(send, deployment, "e0", {"item": "a"}, "k")
    process.poll(deployment.all_bookings, POLLS, "the booking runs")
    deployment.set_faults("refuse")
    exchanges = load.results()
    exchanges.append(send(deployment, "e1", {"item": "a"}, "k"))
    deployment.set_faults()
    for entry in ("e0", "e1", "e0", "e1"):
        exchanges.append(send(deployment, entry, {"item": "a"}, "k"))
    assert exchanges[0].whole
    check(deployment, exchanges)
    assert len(deployment.all_bookings()) == 1


def test_an_agent_frozen_between_claim_and_dispatch(deployment):
    deployment.put_config(harness.config(deadline_s=2.0))
    scenarios.start_calls(deployment)
    deployment.set_faults(delay_s=1.0, kinds=["claim"])
    load = client.Load()
    for number in range(4):
        body = {"item": number}
        load.send(send, deployment, "e0", body, f"k{number}")
    process.poll(lambda: claim_calls(deployment) >= 4, POLLS, "claims begin")
    for agent in deployment.agents.values():
        agent.freeze()
    process.poll(lambda: load.finished() == 4, POLLS, "deadlines pass")
    deployment.set_faults()
    exchanges = load.results()
    for agent in deployment.agents.values():
        agent.resume()
    for entry in ("e0", "e1", "e0", "e1"):
        for number in range(4):
            body = {"item": number}
            exchanges.append(send(deployment, entry, body, f"k{number}"))
    check(deployment, exchanges)


@pytest.mark.parametrize("kind", ["lose_replies", "store_refuse"])
def test_resends_at_the_same_time_run_once(deployment, kind):
    scenarios.start_calls(deployment, delay_s=0.1)
    load = client.Load()
    fault = schedules.Fault(kind, "b0", 0, schedules.SHORT_POLLS)
    schedules.inject_fault(deployment, fault)
    for number in range(16):
        entry = scenarios.ENTRIES[number % 2]
        load.send(send, deployment, entry, {"item": number // 4}, number // 4)
    exchanges = load.results()
    deployment.set_faults()
    for number in range(4):
        exchanges.append(send(deployment, "e0", {"item": number}, number))
    check(deployment, exchanges)


def check(deployment, exchanges):
    assert scenarios.check_calls(deployment, exchanges) == {3: [], 4: []}


def claim_calls(deployment):
    stats = deployment.store_call("GET", "/stats").json()
    return sum(kinds.get("claim", 0) for kinds in stats["calls"].values())
