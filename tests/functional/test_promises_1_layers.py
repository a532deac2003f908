"""Promise 1: each layer runs once, in order, for each token."""

import pytest

from tests.functional import client
from tests.functional import history
from tests.functional import scenarios
from tests.functional import schedules

pytestmark = pytest.mark.promise(1)


def assert_promise_kept(outcome, promise=1):
    """Asserts that a run's checks found no violation of a promise."""
    assert outcome.findings[promise] == []


def test_all_answers_are_complete_without_faults(deployment):
    outcome = scenarios.run_prompts(deployment, 0, faults=0)
    assert history.check_all_whole(outcome.exchanges) == []
    assert_promise_kept(outcome)


@pytest.mark.parametrize("name", ["c0s1", "c0s2"])
@pytest.mark.parametrize("kind", ["kill_agent", "kill_engine"])
def test_streams_continue_after_a_later_stage_fails(deployment, kind, name):
    scenarios.start_models(deployment)
    load = client.Load(scenarios.CALLERS)
    for number in range(scenarios.REQUESTS):
        load.send(scenarios.send_prompt, deployment, number)
    fault = schedules.Fault(kind, name, 8, schedules.SHORT_POLLS)
    schedules.run(deployment, [fault], load)
    exchanges = load.results()
    findings = scenarios.check_models(deployment, exchanges, [fault])
    assert findings[1] == []
    runs = deployment.all_runs()
    assert history.check_one_attempt(runs, scenarios.LAYER_COUNT) == []
    assert history.check_all_whole(exchanges) == []


@pytest.mark.parametrize(
    "kind",
    [
        fault_kind
        for fault_kind in schedules.MODEL_FAULTS
        if "entry" not in fault_kind
    ],
)
def test_single_fault(deployment, kind):
    assert_promise_kept(
        scenarios.run_prompts(deployment, 1, faults=1, kinds=(kind,))
    )


@pytest.mark.parametrize("seed", range(4))
def test_pairs_of_faults(deployment, seed):
    assert_promise_kept(scenarios.run_prompts(deployment, seed, faults=2))
