"""Promise 5: a leaving target gets no new work within 2 seconds."""

import time

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import scenarios

LEAVE_BOUND_S = 2.0
REQUEST_ROUNDS_PER_BOUND = 16
API_KEY = harness.KEYS["events"]

pytestmark = pytest.mark.promise(5)


def first_run_times(deployment, target_name):
    """Returns the time of each sequence's first run at an engine."""
    first_run_at_s = {}
    for run in history.parse_runs(
        target_name, deployment.engine_history(target_name)
    ):
        at_s = first_run_at_s.setdefault(run.sequence, run.at_s)
        first_run_at_s[run.sequence] = min(at_s, run.at_s)
    return first_run_at_s


def sequences_started_after_bound(deployment, name, left_at_s):
    """Returns the sequences a leaving target started after the bound."""
    first_run_at_s = first_run_times(deployment, f"{name}-target")
    return [
        sequence
        for sequence, at_s in first_run_at_s.items()
        if at_s > left_at_s + LEAVE_BOUND_S
    ]


def send_requests_past_bound(deployment, load, label):
    """Sends requests to all entries for twice the bound."""
    end_s = time.monotonic() + 2 * LEAVE_BOUND_S
    number = 0
    while time.monotonic() < end_s:
        for entry in deployment.entries:
            name = f"{label} {entry} {number}"
            entry_address = deployment.callers(entry)
            load.send(client.complete, entry_address, API_KEY, name, name)
        number += 1
        time.sleep(LEAVE_BOUND_S / REQUEST_ROUNDS_PER_BOUND)


def start_two_chains(deployment, relayed=()):
    """Starts two chains and two entries, some agents behind a relay."""
    harness.start_chains(deployment, layer_count=12, relayed=relayed)
    harness.start_together(deployment.start_entry, scenarios.ENTRIES)
    deployment.wait_ready()


def leave_by_list(deployment, name):
    """Marks the agent's VM as leaving in the platform's list of VMs."""
    deployment.set_vm(f"vm-{name}", "leaving")


def leave_by_sigterm(deployment, name):
    """Sends SIGTERM to the agent."""
    deployment.agents[name].terminate()


def leave_by_page(deployment, name):
    """Drains the agent through its admin page."""
    response = deployment.admin(deployment.agents[name], "/drain", "POST")
    assert response.status in range(200, 300)


@pytest.mark.parametrize("name", ["c0s0", "c0s1"])
@pytest.mark.parametrize(
    "leave", [leave_by_list, leave_by_sigterm, leave_by_page]
)
def test_leaving_target_gets_no_new_work(deployment, leave, name):
    start_two_chains(deployment)
    load = client.Load()
    left_at_s = time.time()
    leave(deployment, name)
    send_requests_past_bound(deployment, load, "leaving")
    exchanges = load.results()
    assert sequences_started_after_bound(deployment, name, left_at_s) == []
    assert history.check_all_whole(exchanges) == []
    assert deployment.agents[name].wait() == 0


@pytest.mark.parametrize("fault", ["freeze_link", "cut_link"])
def test_vm_list_alone_stops_new_work_when_links_fail(deployment, fault):
    start_two_chains(deployment, relayed=["c0s0"])
    load = client.Load()
    left_at_s = time.time()
    leave_by_list(deployment, "c0s0")
    if fault == "freeze_link":
        deployment.relays["c0s0"].freeze()
    else:
        deployment.cut_link("c0s0")
    send_requests_past_bound(deployment, load, "failing link")
    deployment.relays["c0s0"].resume()
    deployment.restore_link("c0s0")
    send_requests_past_bound(deployment, load, "restored link")
    load.results()
    assert sequences_started_after_bound(deployment, "c0s0", left_at_s) == []


def test_agent_frozen_while_leaving_refuses_requests_queued_for_it(deployment):
    start_two_chains(deployment)
    load = client.Load()
    deployment.agents["c0s0"].freeze()
    for number in range(8):
        for entry in scenarios.ENTRIES:
            name = f"frozen {entry} {number}"
            entry_address = deployment.callers(entry)
            load.send(client.complete, entry_address, API_KEY, name, name)
    left_at_s = time.time()
    leave_by_list(deployment, "c0s0")
    time.sleep(1.5 * LEAVE_BOUND_S)
    deployment.agents["c0s0"].resume()
    exchanges = load.results()
    assert sequences_started_after_bound(deployment, "c0s0", left_at_s) == []
    runs = deployment.all_runs()
    assert history.check_answers(exchanges, scenarios.reference) == []
    assert history.check_not_run(exchanges, runs, []) == []


def test_leaving_service_gets_no_new_calls(deployment):
    scenarios.start_calls(deployment)
    deployment.agents["b0"].terminate()
    assert deployment.agents["b0"].wait() == 0
    bookings_before = len(deployment.booking_history("b0-target"))
    exchanges = []
    for number in range(16):
        exchanges += scenarios.make_booking(deployment, number)
    assert len(deployment.booking_history("b0-target")) == bookings_before
    assert history.check_all_whole(exchanges) == []
