"""A request or a part of a prompt that crashes every engine that runs it.

Retrying it on one target after the other would stop the whole fleet. The
entries stop after two targets and refuse later copies of the request. A part
that different prompts share is refused after a few crashes.
"""

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import process
from tests.functional import scenarios

API_KEY = harness.KEYS["events"]
CRASHING_PROMPT = "CRASH-ENGINE of a menu"
CHAIN_COUNT = 5
OTHER_REQUEST_COUNT = 24
ENGINE_COUNT = 6
LEADING_PART = " ".join(f"leading{number}" for number in range(16))
CRASHING_PART = " ".join(["CRASH-ENGINE"] * 16)
CRASHING_PROMPT_COUNT = 10
SOUND_PROMPTS_PER_CRASHING_ONE = 4
MAX_CRASHES = 5 + 3


@pytest.fixture
def five_chains(deployment):
    """Five chains of two stages and two entries."""
    harness.start_chains(
        deployment, chains=CHAIN_COUNT, stages=2, layer_count=12, step_s=0.005
    )
    harness.start_together(deployment.start_entry, scenarios.ENTRIES)
    deployment.wait_ready()
    return deployment


@pytest.fixture
def six_engines(deployment):
    """Six engines with all layers, which can be restarted, and two entries."""

    def start(name):
        (port,) = process.free_ports(1)
        deployment.start_engine(f"{name}-target", 0, 12, 12, port=port)
        deployment.start_agent(name)

    names = [f"a{number}" for number in range(ENGINE_COUNT)]
    harness.start_together(start, names)
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


def send_prompt(deployment, name, parts):
    """Sends a prompt of some parts and words of its own; returns the exchange.

    Successive prompts of a kind go to the two entries in turn.
    """
    entry = scenarios.ENTRIES[int(name.split()[-1]) % 2]
    prompt = " ".join([*parts, *[f"{name} word"] * 20])
    return client.complete(deployment.callers(entry), API_KEY, name, prompt)


def restart_engines(deployment):
    """Restarts the engines that have crashed; returns their number."""
    names = stopped_engines(deployment)
    for name in names:
        deployment.engines[name].process.start()
    for agent in deployment.agents.values():
        deployment.wait_process_ready(agent)
    return len(names)


def test_different_prompts_with_a_crashing_part_stop_after_few_crashes(
    six_engines,
):
    crash_count = 0
    crash_exchanges, sound_exchanges = [], []
    for number in range(CRASHING_PROMPT_COUNT):
        for index in range(SOUND_PROMPTS_PER_CRASHING_ONE):
            name = f"sound {number * SOUND_PROMPTS_PER_CRASHING_ONE + index}"
            sound_exchanges.append(
                send_prompt(six_engines, name, [LEADING_PART])
            )
        parts = [LEADING_PART, CRASHING_PART]
        crash_exchanges.append(
            send_prompt(six_engines, f"crash {number}", parts)
        )
        crash_count += restart_engines(six_engines)
    assert crash_count <= MAX_CRASHES
    codes = [exchange.code for exchange in crash_exchanges]
    assert codes[-4:] == ["crashes_targets"] * 4
    assert history.check_errors(crash_exchanges) == []
    assert history.check_all_whole(sound_exchanges) == []
