"""Promise 6: a planned stop cuts no request off."""

import threading

import pytest

from tests.functional import balancer
from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import scenarios

CALLERS = 8
MAX_TOKENS = 12

pytestmark = pytest.mark.promise(6)


class Callers:
    """Callers that go on until they are told to stop."""

    def __init__(self, deployment):
        self._balancer = balancer.Balancer(deployment)
        self._stop = threading.Event()
        self._load = client.Load(CALLERS)
        self._futures = [
            self._load.send(self._ask, number) for number in range(CALLERS)
        ]

    def _ask(self, caller):
        exchanges = []
        key = list(harness.KEYS.values())[caller % len(harness.KEYS)]
        while not self._stop.is_set():
            name = f"caller {caller} number {len(exchanges)}"
            send = client.stream if caller % 2 else client.complete
            exchanges.append(
                self._balancer.send(
                    send, key, name, name, max_tokens=MAX_TOKENS
                )
            )
        return exchanges

    def results(self):
        """Stops the callers and returns their exchanges."""
        self._stop.set()
        return [one for done in self._load.results() for one in done]


def replace(deployment, process):
    """Stops a process gracefully and starts it again."""
    process.terminate()
    assert process.wait() == 0
    if process.name in deployment.agents:
        deployment.restart_agent(process.name)
        deployment.wait_process_ready(process)
        deployment.wait_routable(process.name)
    else:
        process.start()
        deployment.wait_process_ready(process)
        deployment.wait_serving(process.name)


def check(deployment, exchanges):
    assert len(exchanges) > CALLERS
    assert history.check_all_whole(exchanges) == []
    findings = scenarios.check_models(deployment, exchanges, [])
    assert findings == {1: [], 2: [], 3: []}


def test_replacing_every_process_cuts_nothing_off(deployment):
    scenarios.start_models(deployment)
    callers = Callers(deployment)
    for process in [
        *deployment.agents.values(),
        *deployment.entries.values(),
    ]:
        replace(deployment, process)
    check(deployment, callers.results())


def test_stopping_a_whole_chain_at_once_cuts_nothing_off(deployment):
    scenarios.start_models(deployment)
    callers = Callers(deployment)
    leaving = [deployment.agents[f"c0s{stage}"] for stage in range(3)]
    for process in leaving:
        process.terminate()
    assert [process.wait() for process in leaving] == [0, 0, 0]
    check(deployment, callers.results())


def test_a_stop_in_a_store_outage_cuts_nothing_off(deployment):
    scenarios.start_models(deployment)
    callers = Callers(deployment)
    deployment.set_faults("refuse")
    for name in ("c0s0", "c0s1", "e0"):
        process = {**deployment.agents, **deployment.entries}[name]
        process.terminate()
        assert process.wait() == 0
    check(deployment, callers.results())


def test_replacing_the_agents_of_services_cuts_nothing_off(deployment):
    scenarios.start_calls(deployment, delay_s=0.02)
    load = client.Load(CALLERS)
    for number in range(scenarios.REQUESTS):
        load.send(scenarios.make_booking, deployment, number)
    for name in scenarios.CALL_AGENTS:
        replace(deployment, deployment.agents[name])
    exchanges = [one for done in load.results() for one in done]
    assert history.check_all_whole(exchanges) == []
    assert scenarios.check_calls(deployment, exchanges) == {3: [], 4: []}
