"""A request that crashes its targets stops at two of them."""

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import scenarios

KEY = harness.KEYS["events"]
CRASH = "CRASH-ENGINE of a menu"
CHAINS = 5
BYSTANDERS = 24


@pytest.fixture
def crowd(deployment):
    harness.start_chains(
        deployment, chains=CHAINS, stages=2, layer_count=12, step_s=0.005
    )
    harness.start_together(deployment.start_entry, scenarios.ENTRIES)
    deployment.wait_ready()
    return deployment


def dead(deployment):
    return [
        name
        for name, engine in deployment.engines.items()
        if not engine.process.running()
    ]


def test_it_stops_at_two_targets_and_bystanders_are_served(crowd):
    load = client.Load()
    for number in range(BYSTANDERS):
        name = f"bystander {number}"
        entry = crowd.callers(scenarios.ENTRIES[number % 2])
        load.send(client.stream, entry, KEY, name, name, max_tokens=40)
    crashes = [
        client.complete(crowd.callers(entry), KEY, "crash", CRASH)
        for entry in ("e0", "e1", "e0", "e1")
    ]
    exchanges = load.results()
    assert len(dead(crowd)) <= 2
    assert [one.whole for one in crashes] == [False] * 4
    assert crashes[-1].code == "crashes_targets"
    assert crashes[-2].code == "crashes_targets"
    assert history.check_errors(crashes) == []
    assert history.check_all_whole(exchanges) == []
    findings = history.check_answers(exchanges, scenarios.reference)
    assert findings == []
    later = client.complete(crowd.callers("e1"), KEY, "later", "later")
    assert later.whole
