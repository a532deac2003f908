"""A request that crashes every engine that runs it.

Retrying it on one target after the other would stop the whole fleet. The
entries stop after two targets and refuse later copies of the request.
"""

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import scenarios

API_KEY = harness.KEYS["events"]
CRASHING_PROMPT = "CRASH-ENGINE of a menu"
CHAIN_COUNT = 5
OTHER_REQUEST_COUNT = 24


@pytest.fixture
def five_chains(deployment):
    """Five chains of two stages and two entries."""
    harness.start_chains(
        deployment, chains=CHAIN_COUNT, stages=2, layer_count=12, step_s=0.005
    )
    harness.start_together(deployment.start_entry, scenarios.ENTRIES)
    deployment.wait_ready()
    return deployment


def stopped_engines(deployment):
    """Returns the names of the engines that no longer run."""
    return [
        name
        for name, engine in deployment.engines.items()
        if not engine.process.running()
    ]


def test_crashing_request_stops_at_two_targets_and_others_complete(
    five_chains,
):
    load = client.Load()
    for number in range(OTHER_REQUEST_COUNT):
        name = f"bystander {number}"
        entry = five_chains.callers(scenarios.ENTRIES[number % 2])
        load.send(client.stream, entry, API_KEY, name, name, max_tokens=40)
    crash_exchanges = [
        client.complete(
            five_chains.callers(entry), API_KEY, "crash", CRASHING_PROMPT
        )
        for entry in ("e0", "e1", "e0", "e1")
    ]
    other_exchanges = load.results()
    assert len(stopped_engines(five_chains)) <= 2
    assert [exchange.whole for exchange in crash_exchanges] == [False] * 4
    assert crash_exchanges[-1].code == "crashes_targets"
    assert crash_exchanges[-2].code == "crashes_targets"
    assert history.check_errors(crash_exchanges) == []
    assert history.check_all_whole(other_exchanges) == []
    findings = history.check_answers(other_exchanges, scenarios.reference)
    assert findings == []
    later_exchange = client.complete(
        five_chains.callers("e1"), API_KEY, "later", "later"
    )
    assert later_exchange.whole
