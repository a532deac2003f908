"""Promise 4: a call that may not be repeated runs at most once."""

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import scenarios
from tests.functional import schedules

KEY = harness.KEYS["events"]
CALLS_PER_BOOKING = 4

pytestmark = pytest.mark.promise(4)


def send(deployment, entry, body, key):
    callers = deployment.callers(entry)
    return client.call_service(callers, KEY, f"{key} {entry}", body, key)


def test_without_faults_every_booking_is_answered(deployment):
    outcome = scenarios.call_run(deployment, 0, faults=0)
    assert history.check_all_whole(outcome.exchanges) == []
    assert outcome.findings[4] == []
    assert len(deployment.all_bookings()) == scenarios.REQUESTS


@pytest.mark.parametrize("kind", schedules.CALL_FAULTS)
def test_each_fault_alone(deployment, kind):
    outcome = scenarios.call_run(deployment, 1, faults=1, kinds=(kind,))
    assert outcome.findings[4] == []


@pytest.mark.parametrize("seed", range(6))
def test_faults_in_pairs(deployment, seed):
    outcome = scenarios.call_run(deployment, seed, faults=2)
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


def claim_calls(deployment):
    stats = deployment.store_call("GET", "/stats").json()
    return sum(kinds.get("claim", 0) for kinds in stats["calls"].values())
