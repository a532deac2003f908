"""Promise 2: each caller gets its own answer, complete or marked as cut."""

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import scenarios
from tests.functional import schedules

API_KEY = harness.KEYS["events"]

pytestmark = pytest.mark.promise(2)


@pytest.mark.parametrize(
    "kind", ["freeze_agent", "freeze_link", "freeze_entry", "kill_entry"]
)
def test_late_answers_reach_only_their_own_caller(deployment, kind):
    outcome = scenarios.run_prompts(deployment, 2, faults=1, kinds=(kind,))
    assert outcome.findings[2] == []


@pytest.mark.parametrize("seed", range(4, 7))
def test_pairs_of_faults(deployment, seed):
    outcome = scenarios.run_prompts(deployment, seed, faults=2)
    assert outcome.findings[2] == []


def test_request_ids_are_not_reused_after_an_entry_restart(deployment):
    harness.start_chains(deployment, chains=1, layer_count=12)
    entry = deployment.start_entry("e0")
    deployment.wait_ready()
    exchanges = []
    for round_number in range(2):
        for number in range(8):
            name = f"run {round_number} number {number}"
            entry_address = deployment.callers("e0")
            exchanges.append(
                client.complete(entry_address, API_KEY, name, name)
            )
        entry.kill()
        entry.start()
        deployment.wait_ready()
    assert history.check_all_whole(exchanges) == []
    assert history.check_answers(exchanges, scenarios.reference) == []


def test_stream_is_marked_incomplete_when_its_targets_fail(deployment):
    harness.start_chains(
        deployment, chains=1, layer_count=12, step_s=schedules.POLL_S
    )
    deployment.start_entry("e0")
    deployment.wait_ready()
    stream = client.Stream(
        deployment.callers("e0"), API_KEY, "cut", "cut", max_tokens=200
    )
    stream.read(min_tokens=2)
    for name in ("c0s0-target", "c0s1-target"):
        deployment.engines[name].process.kill()
    exchange = stream.read()
    assert not exchange.whole
    assert exchange.code
    assert exchange.ran in ("yes", "unknown")
    assert history.check_answers([exchange], scenarios.reference) == []
