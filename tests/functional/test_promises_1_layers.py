"""Promise 1: each layer runs once, in order, for each token."""

import pytest

from tests.functional import client
from tests.functional import history
from tests.functional import scenarios
from tests.functional import schedules

pytestmark = pytest.mark.promise(1)


def hold(outcome, promise=1):
    assert outcome.findings[promise] == []


def test_without_faults_all_answers_are_whole(deployment):
    outcome = scenarios.run_prompts(deployment, 0, faults=0)
    assert history.check_all_whole(outcome.exchanges) == []
    hold(outcome)


@pytest.mark.parametrize("name", ["c0s1", "c0s2"])
@pytest.mark.parametrize("kind", ["kill_agent", "kill_engine"])
def test_streams_go_on_when_a_later_stage_dies(deployment, kind, name):
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
    "kind", [one for one in schedules.MODEL_FAULTS if "entry" not in one]
)
def test_each_fault_alone(deployment, kind):
    hold(scenarios.run_prompts(deployment, 1, faults=1, kinds=(kind,)))


@pytest.mark.parametrize("seed", range(4))
def test_faults_in_pairs(deployment, seed):
    hold(scenarios.run_prompts(deployment, seed, faults=2))
