"""Promise 4: a call that may not be repeated runs at most once."""

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import process
from tests.functional import scenarios
from tests.functional import schedules

API_KEY = harness.KEYS["events"]
MAX_CLAIM_CALLS_PER_BOOKING = 4
MAX_POLLS = 400

pytestmark = pytest.mark.promise(4)


def send_booking(deployment, entry, body, idempotency_key):
    """Sends a booking to an entry under an idempotency key."""
    entry_address = deployment.callers(entry)
    name = f"{idempotency_key} at {entry}"
    return client.call_service(
        entry_address, API_KEY, name, body, f"key {idempotency_key}"
    )


def test_every_booking_is_answered_without_faults(deployment):
    outcome = scenarios.run_bookings(deployment, 0, faults=0)
    assert history.check_all_whole(outcome.exchanges) == []
    assert outcome.findings[4] == []
    assert len(deployment.all_bookings()) == scenarios.REQUESTS


@pytest.mark.parametrize("kind", schedules.CALL_FAULTS)
def test_single_fault(deployment, kind):
    outcome = scenarios.run_bookings(deployment, 1, faults=1, kinds=(kind,))
    assert outcome.findings[4] == []


@pytest.mark.parametrize("seed", range(6))
def test_pairs_of_faults(deployment, seed):
    outcome = scenarios.run_bookings(deployment, seed, faults=2)
    assert outcome.findings[4] == []


def test_resend_to_another_entry_gets_the_recorded_answer(deployment):
    scenarios.start_calls(deployment)
    first = send_booking(deployment, "e0", {"item": "a"}, "k")
    second = send_booking(deployment, "e1", {"item": "a"}, "k")
    assert first.whole
    assert second.body == first.body
    assert len(deployment.all_bookings()) == 1


@pytest.mark.parametrize("crash_field", ["crash", "crash-after"])
def test_call_that_crashed_its_service_is_not_repeated(
    deployment, crash_field
):
    scenarios.start_calls(deployment)
    body = {"item": "a", crash_field: True}
    exchanges = [
        send_booking(deployment, entry, body, "k")
        for entry in ("e0", "e1", "e0")
    ]
    assert [exchange.whole for exchange in exchanges] == [False] * 3
    assert exchanges[0].ran == "unknown"
    running_states = [
        service.running() for service in deployment.bookings.values()
    ]
    assert running_states.count(False) == 1
    assert len(deployment.all_bookings()) <= 1
    assert history.check_errors(exchanges) == []


def test_store_calls_per_booking_are_bounded(deployment):
    scenarios.start_calls(deployment)
    calls_before = claim_call_count(deployment)
    booking_count = 16
    for number in range(booking_count):
        assert send_booking(
            deployment, "e0", {"item": number}, f"k{number}"
        ).whole
    claim_calls = claim_call_count(deployment) - calls_before
    assert 0 < claim_calls <= MAX_CLAIM_CALLS_PER_BOOKING * booking_count


def test_store_outage_between_claim_and_outcome(deployment):
    scenarios.start_calls(deployment, delay_s=0.5)
    load = client.Load()
    load.send(send_booking, deployment, "e0", {"item": "a"}, "k")
    process.poll(deployment.all_bookings, MAX_POLLS, "the booking runs")
    deployment.set_faults("refuse")
    exchanges = load.results()
    exchanges.append(send_booking(deployment, "e1", {"item": "a"}, "k"))
    deployment.set_faults()
    for entry in ("e0", "e1", "e0", "e1"):
        exchanges.append(send_booking(deployment, entry, {"item": "a"}, "k"))
    assert exchanges[0].whole
    assert_booked_at_most_once(deployment, exchanges)
    assert len(deployment.all_bookings()) == 1


def test_agent_frozen_between_claim_and_dispatch(deployment):
    deployment.put_config(harness.config(deadline_s=2.0))
    scenarios.start_calls(deployment)
    deployment.set_faults(delay_s=1.0, kinds=["claim"])
    load = client.Load()
    for number in range(4):
        body = {"item": number}
        load.send(send_booking, deployment, "e0", body, f"k{number}")
    process.poll(
        lambda: claim_call_count(deployment) >= 4, MAX_POLLS, "claims begin"
    )
    for agent in deployment.agents.values():
        agent.freeze()
    process.poll(lambda: load.finished() == 4, MAX_POLLS, "deadlines pass")
    deployment.set_faults()
    exchanges = load.results()
    for agent in deployment.agents.values():
        agent.resume()
    for entry in ("e0", "e1", "e0", "e1"):
        for number in range(4):
            body = {"item": number}
            exchanges.append(
                send_booking(deployment, entry, body, f"k{number}")
            )
    assert_booked_at_most_once(deployment, exchanges)


@pytest.mark.parametrize("kind", ["lose_replies", "store_refuse"])
def test_concurrent_resends_run_once(deployment, kind):
    scenarios.start_calls(deployment, delay_s=0.1)
    load = client.Load()
    fault = schedules.Fault(kind, "b0", 0, schedules.SHORT_POLLS)
    schedules.inject_fault(deployment, fault)
    for number in range(16):
        entry = scenarios.ENTRIES[number % 2]
        load.send(
            send_booking, deployment, entry, {"item": number // 4}, number // 4
        )
    exchanges = load.results()
    deployment.set_faults()
    for number in range(4):
        exchanges.append(
            send_booking(deployment, "e0", {"item": number}, number)
        )
    assert_booked_at_most_once(deployment, exchanges)


def assert_booked_at_most_once(deployment, exchanges):
    """Asserts that promises 3 and 4 hold for all bookings."""
    assert scenarios.check_calls(deployment, exchanges) == {3: [], 4: []}


def claim_call_count(deployment):
    """Returns how many calls of kind "claim" the store has received."""
    stats = deployment.store_call("GET", "/stats").json()
    return sum(kinds.get("claim", 0) for kinds in stats["calls"].values())
