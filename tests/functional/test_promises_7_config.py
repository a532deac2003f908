"""Promise 7: an accepted configuration is in force, and never older."""

import json

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import process
from tests.functional import scenarios

POLLS = 400
EDITS = 6
KEY = harness.KEYS["events"]

pytestmark = pytest.mark.promise(7)


class Watcher:
    """Samples the version in force at every process."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.samples = []

    def processes(self):
        """Returns the processes that run."""
        deployment = self.deployment
        both = [*deployment.agents.values(), *deployment.entries.values()]
        return [child for child in both if child.running()]

    def sample(self, child):
        """Samples one process; returns its version."""
        version = self.deployment.status(child).get("config_version")
        if version is not None:
            self.samples.append(history.Sample(child.name, version))
        return version

    def all_have(self, version, processes=None):
        """Tells whether all processes have a version."""
        names = processes or self.processes()
        return [self.sample(one) for one in names] == [version] * len(names)

    def wait(self, version, processes=None):
        """Waits until all processes have a version."""
        process.poll(
            lambda: self.all_have(version, processes),
            POLLS,
            f"all have version {version}",
        )

    def check(self):
        """Checks the samples taken so far."""
        assert len(self.samples) > 0
        assert history.check_versions(self.samples) == []


@pytest.fixture
def watcher(deployment):
    harness.start_chains(deployment, chains=2, layer_count=12)
    harness.start_together(deployment.start_entry, scenarios.ENTRIES)
    deployment.wait_ready()
    return Watcher(deployment)


def edit(deployment, number):
    return deployment.put_config(harness.config(share=0.1 + number / 100))


def without_events():
    """Returns a configuration in which one workspace has a new key."""
    document = harness.config()
    digest = harness.digest("another key")
    document["plans"][0]["workspaces"][0]["key_digest"] = digest
    return document


def test_edits_reach_every_process(deployment, watcher):
    for number in range(EDITS):
        watcher.wait(edit(deployment, number))
    watcher.check()


def test_an_agent_restarted_while_the_store_hangs(deployment, watcher):
    version = edit(deployment, 0)
    watcher.wait(version)
    deployment.set_faults("hang")
    deployment.agents["c0s0"].kill()
    deployment.restart_agent("c0s0")
    watcher.wait(version)
    exchange = client.complete(deployment.callers("e1"), KEY, "x", "x")
    assert exchange.whole
    deployment.set_faults()
    watcher.wait(edit(deployment, 1))
    watcher.check()


def test_an_entry_restarted_in_an_outage_has_the_config(deployment, watcher):
    version = edit(deployment, 0)
    watcher.wait(version)
    deployment.set_faults("refuse")
    deployment.entries["e0"].kill()
    deployment.entries["e0"].start()
    watcher.wait(version)
    deployment.wait_serving("e0")
    watcher.check()


def test_an_entry_without_config_admits_nothing(deployment, watcher):
    deployment.set_faults("refuse")
    entry = deployment.entries["e0"]
    entry.kill()
    entry.start()
    exchanges = [
        client.complete(deployment.callers("e0"), KEY, f"n{n}", f"n{n}")
        for n in range(8)
    ]
    if watcher.sample(entry) == 0:
        assert deployment.admin(entry, "/readyz").status == 503
    runs = deployment.all_runs()
    assert history.check_errors(exchanges) == []
    assert history.check_not_run(exchanges, runs, []) == []
    assert history.check_answers(exchanges, scenarios.reference) == []
    deployment.set_faults()
    deployment.wait_serving("e0")


def test_every_agent_restarted_in_an_outage(deployment, watcher):
    version = edit(deployment, 0)
    watcher.wait(version)
    deployment.set_faults("refuse")
    for name in list(deployment.agents):
        deployment.agents[name].kill()
        deployment.restart_agent(name)
    watcher.wait(version)
    watcher.check()
    deployment.wait_serving("e1")


@pytest.mark.parametrize("name", ["c0s1", "e0"])
def test_a_process_frozen_over_edits_catches_up(deployment, watcher, name):
    both = {**deployment.agents, **deployment.entries}
    both[name].freeze()
    others = [one for one in watcher.processes() if one.name != name]
    for number in range(EDITS):
        version = edit(deployment, number)
    watcher.wait(version, others)
    both[name].resume()
    watcher.wait(version)
    watcher.check()


@pytest.mark.parametrize("name", ["c0s1", "e0"])
def test_versions_survive_a_restart_and_edits(deployment, watcher, name):
    both = {**deployment.agents, **deployment.entries}
    for number in range(EDITS):
        version = edit(deployment, number)
        both[name].kill()
        if name in deployment.agents:
            deployment.restart_agent(name)
        else:
            both[name].start()
        watcher.wait(version)
    watcher.check()


def open_connections(callers, count):
    """Returns connections that the entry has accepted already."""
    connections = []
    for _ in range(count):
        connection = client.http.client.HTTPConnection(*callers, timeout=30)
        connection.request("GET", "/v1/models", headers=client.authorize(KEY))
        connection.getresponse().read()
        connections.append(connection)
    return connections


def answer_of(connection):
    response = connection.getresponse()
    body = response.read()
    connection.close()
    return response.status, response.getheader("x-request-id"), body


def test_an_older_version_admits_nothing_at_a_newer_target(
    deployment, watcher
):
    frozen = deployment.entries["e0"]
    connections = open_connections(deployment.callers("e0"), 8)
    frozen.freeze()
    for number, connection in enumerate(connections):
        document = {
            "model": "drafts",
            "prompt": f"revoked {number}",
            "max_tokens": 4,
        }
        body = json.dumps(document)
        connection.request(
            "POST", "/v1/completions", body, client.authorize(KEY)
        )
    version = deployment.put_config(without_events())
    others = [one for one in watcher.processes() if one is not frozen]
    watcher.wait(version, others)
    frozen.resume()
    answers = [answer_of(connection) for connection in connections]
    runs = deployment.all_runs()
    ran = {history.request_id_of(run.sequence) for run in runs}
    assert [status for status, _, _ in answers] == [401] * 8
    assert not ran & {request for _, request, _ in answers}
    watcher.wait(version)
    watcher.check()


def test_a_broken_document_changes_nothing(deployment, watcher):
    version = edit(deployment, 0)
    watcher.wait(version)
    answer = deployment.store_call("GET", "/objects/config/main")
    value = {"writer": "x", "nonce": "", "data": {"plans": "all"}}
    headers = {"If-Match": f'"{answer.json()["version"]}"'}
    path = "/objects/config/main"
    deployment.store_call("PUT", path, value, headers=headers)
    for entry in scenarios.ENTRIES:
        name = f"after {entry}"
        callers = deployment.callers(entry)
        assert client.complete(callers, KEY, name, name).whole
    watcher.wait(edit(deployment, 1))
    watcher.check()
