"""Promise 6: a planned stop cuts no request off."""

import threading

import pytest

from tests.functional import balancer
from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import scenarios

CALLER_COUNT = 8
MAX_TOKENS = 12

pytestmark = pytest.mark.promise(6)


class ContinuousCallers:
    """Threads that send requests one after the other until stopped."""

    def __init__(self, deployment):
        self._balancer = balancer.Balancer(deployment)
        self._stop_requested = threading.Event()
        self._load = client.Load(CALLER_COUNT)
        self._futures = [
            self._load.send(self._send_until_stopped, number)
            for number in range(CALLER_COUNT)
        ]

    def _send_until_stopped(self, caller_number):
        exchanges = []
        api_key = list(harness.KEYS.values())[
            caller_number % len(harness.KEYS)
        ]
        while not self._stop_requested.is_set():
            name = f"caller {caller_number} number {len(exchanges)}"
            send_request = (
                client.stream if caller_number % 2 else client.complete
            )
            exchanges.append(
                self._balancer.send(
                    send_request, api_key, name, name, max_tokens=MAX_TOKENS
                )
            )
        return exchanges

    def stop_and_collect(self):
        """Stops all callers; returns their exchanges."""
        self._stop_requested.set()
        return [
            exchange
            for caller_exchanges in self._load.results()
            for exchange in caller_exchanges
        ]


def restart_gracefully(deployment, process):
    """Stops a process by SIGTERM, restarts it and waits until it serves."""
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


def assert_no_request_cut_off(deployment, exchanges):
    """Asserts that all answers are complete and promises 1 to 3 hold."""
    assert len(exchanges) > CALLER_COUNT
    assert history.check_all_whole(exchanges) == []
    findings = scenarios.check_models(deployment, exchanges, [])
    assert findings == {1: [], 2: [], 3: []}


def test_restart_of_every_process_cuts_off_no_request(deployment):
    scenarios.start_models(deployment)
    callers = ContinuousCallers(deployment)
    for process in [
        *deployment.agents.values(),
        *deployment.entries.values(),
    ]:
        restart_gracefully(deployment, process)
    assert_no_request_cut_off(deployment, callers.stop_and_collect())


def test_stop_of_a_whole_chain_cuts_off_no_request(deployment):
    scenarios.start_models(deployment)
    callers = ContinuousCallers(deployment)
    leaving = [deployment.agents[f"c0s{stage}"] for stage in range(3)]
    for process in leaving:
        process.terminate()
    assert [process.wait() for process in leaving] == [0, 0, 0]
    assert_no_request_cut_off(deployment, callers.stop_and_collect())


def test_stop_during_a_store_outage_cuts_off_no_request(deployment):
    scenarios.start_models(deployment)
    callers = ContinuousCallers(deployment)
    deployment.set_faults("refuse")
    for name in ("c0s0", "c0s1", "e0"):
        process = {**deployment.agents, **deployment.entries}[name]
        process.terminate()
        assert process.wait() == 0
    assert_no_request_cut_off(deployment, callers.stop_and_collect())


def test_restart_of_service_agents_cuts_off_no_request(deployment):
    scenarios.start_calls(deployment, delay_s=0.02)
    load = client.Load(CALLER_COUNT)
    for number in range(scenarios.REQUESTS):
        load.send(scenarios.make_booking, deployment, number)
    for name in scenarios.CALL_AGENTS:
        restart_gracefully(deployment, deployment.agents[name])
    exchanges = [
        exchange
        for booking_exchanges in load.results()
        for exchange in booking_exchanges
    ]
    assert history.check_all_whole(exchanges) == []
    assert scenarios.check_calls(deployment, exchanges) == {3: [], 4: []}
