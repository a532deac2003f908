"""Promise 5: a leaving target gets no new work within 2 seconds."""

import time

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import scenarios

LEAVE_BOUND_S = 2.0
LOAD_ROUNDS = 16
KEY = harness.KEYS["events"]

pytestmark = pytest.mark.promise(5)


def first_runs(deployment, target):
    """Returns when each sequence first ran at an engine."""
    first_s = {}
    for run in history.parse_runs(target, deployment.engine_history(target)):
        at_s = first_s.setdefault(run.sequence, run.at_s)
        first_s[run.sequence] = min(at_s, run.at_s)
    return first_s


def new_work(deployment, name, left_s):
    """Returns the sequences that began too late at a leaving target."""
    first_s = first_runs(deployment, f"{name}-target")
    return [
        sequence
        for sequence, at_s in first_s.items()
        if at_s > left_s + LEAVE_BOUND_S
    ]


def ask_for_a_while(deployment, load, label):
    """Sends requests until well after the bound."""
    end_s = time.monotonic() + 2 * LEAVE_BOUND_S
    number = 0
    while time.monotonic() < end_s:
        for entry in deployment.entries:
            name = f"{label} {entry} {number}"
            callers = deployment.callers(entry)
            load.send(client.complete, callers, KEY, name, name)
        number += 1
        time.sleep(LEAVE_BOUND_S / LOAD_ROUNDS)


def start(deployment, relayed=()):
    harness.start_chains(deployment, layer_count=12, relayed=relayed)
    harness.start_together(deployment.start_entry, scenarios.ENTRIES)
    deployment.wait_ready()


def leave_by_list(deployment, name):
    deployment.set_vm(f"vm-{name}", "leaving")


def leave_by_sigterm(deployment, name):
    deployment.agents[name].terminate()


def leave_by_page(deployment, name):
    answer = deployment.admin(deployment.agents[name], "/drain", "POST")
    assert answer.status in range(200, 300)


@pytest.mark.parametrize("name", ["c0s0", "c0s1"])
@pytest.mark.parametrize(
    "leave", [leave_by_list, leave_by_sigterm, leave_by_page]
)
def test_a_leaving_target_gets_no_new_work(deployment, leave, name):
    start(deployment)
    load = client.Load()
    left_s = time.time()
    leave(deployment, name)
    ask_for_a_while(deployment, load, "leaving")
    exchanges = load.results()
    assert new_work(deployment, name, left_s) == []
    assert history.check_all_whole(exchanges) == []
    assert deployment.agents[name].wait() == 0


@pytest.mark.parametrize("fault", ["freeze_link", "cut_link"])
def test_the_list_is_enough_when_links_fail(deployment, fault):
    start(deployment, relayed=["c0s0"])
    load = client.Load()
    left_s = time.time()
    leave_by_list(deployment, "c0s0")
    if fault == "freeze_link":
        deployment.relays["c0s0"].freeze()
    else:
        deployment.cut_link("c0s0")
    ask_for_a_while(deployment, load, "failing link")
    deployment.relays["c0s0"].resume()
    deployment.restore_link("c0s0")
    ask_for_a_while(deployment, load, "restored link")
    load.results()
    assert new_work(deployment, "c0s0", left_s) == []


def test_a_frozen_agent_refuses_what_waited_for_it(deployment):
    start(deployment)
    load = client.Load()
    deployment.agents["c0s0"].freeze()
    for number in range(8):
        for entry in scenarios.ENTRIES:
            name = f"frozen {entry} {number}"
            callers = deployment.callers(entry)
            load.send(client.complete, callers, KEY, name, name)
    left_s = time.time()
    leave_by_list(deployment, "c0s0")
    time.sleep(1.5 * LEAVE_BOUND_S)
    deployment.agents["c0s0"].resume()
    exchanges = load.results()
    assert new_work(deployment, "c0s0", left_s) == []
    runs = deployment.all_runs()
    assert history.check_answers(exchanges, scenarios.reference) == []
    assert history.check_not_run(exchanges, runs, []) == []


def test_a_leaving_service_gets_no_new_calls(deployment):
    scenarios.start_calls(deployment)
    deployment.agents["b0"].terminate()
    assert deployment.agents["b0"].wait() == 0
    before = len(deployment.booking_history("b0-target"))
    exchanges = []
    for number in range(16):
        exchanges += scenarios.make_booking(deployment, number)
    assert len(deployment.booking_history("b0-target")) == before
    assert history.check_all_whole(exchanges) == []
