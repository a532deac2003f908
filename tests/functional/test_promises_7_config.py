"""Promise 7: an accepted configuration takes effect and never reverts."""

import json

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import process
from tests.functional import scenarios

MAX_POLLS = 400
EDIT_COUNT = 6
API_KEY = harness.KEYS["events"]

pytestmark = pytest.mark.promise(7)


class ConfigVersionSampler:
    """Records the configuration version that each process reports.

    Attributes:
        deployment: The deployment whose processes are asked.
        samples: All versions seen, in the order of the requests.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.samples = []

    def running_processes(self):
        """Returns the agents and entries that run."""
        deployment = self.deployment
        children = [*deployment.agents.values(), *deployment.entries.values()]
        return [child for child in children if child.running()]

    def sample(self, child):
        """Records the version of one process and returns it."""
        version = self.deployment.status(child).get("config_version")
        if version is not None:
            self.samples.append(history.Sample(child.name, version))
        return version

    def all_report(self, version, processes=None):
        """Tells whether all processes report a version."""
        children = processes or self.running_processes()
        return [self.sample(child) for child in children] == [version] * len(
            children
        )

    def wait_for_version(self, version, processes=None):
        """Waits until all processes report a version."""
        process.poll(
            lambda: self.all_report(version, processes),
            MAX_POLLS,
            f"all have version {version}",
        )

    def assert_never_older(self):
        """Asserts that no process went back to an older version."""
        assert len(self.samples) > 0
        assert history.check_versions(self.samples) == []


@pytest.fixture
def version_sampler(deployment):
    """A sampler of two chains and two entries."""
    harness.start_chains(deployment, chains=2, layer_count=12)
    harness.start_together(deployment.start_entry, scenarios.ENTRIES)
    deployment.wait_ready()
    return ConfigVersionSampler(deployment)


def put_edited_config(deployment, edit_number):
    """Stores a configuration that differs by number; returns its version."""
    return deployment.put_config(harness.config(share=0.1 + edit_number / 100))


def config_with_replaced_events_key():
    """Returns a configuration that replaces the API key of `events`."""
    document = harness.config()
    digest = harness.digest("another key")
    document["plans"][0]["workspaces"][0]["key_digest"] = digest
    return document


def test_each_edit_reaches_every_process(deployment, version_sampler):
    for edit_number in range(EDIT_COUNT):
        version_sampler.wait_for_version(
            put_edited_config(deployment, edit_number)
        )
    version_sampler.assert_never_older()


def test_agent_restarted_while_the_store_hangs_gets_the_config(
    deployment, version_sampler
):
    version = put_edited_config(deployment, 0)
    version_sampler.wait_for_version(version)
    deployment.set_faults("hang")
    deployment.agents["c0s0"].kill()
    deployment.restart_agent("c0s0")
    version_sampler.wait_for_version(version)
    exchange = client.complete(deployment.callers("e1"), API_KEY, "x", "x")
    assert exchange.whole
    deployment.set_faults()
    version_sampler.wait_for_version(put_edited_config(deployment, 1))
    version_sampler.assert_never_older()


def test_entry_restarted_in_an_outage_gets_the_config(
    deployment, version_sampler
):
    version = put_edited_config(deployment, 0)
    version_sampler.wait_for_version(version)
    deployment.set_faults("refuse")
    deployment.entries["e0"].kill()
    deployment.entries["e0"].start()
    version_sampler.wait_for_version(version)
    deployment.wait_serving("e0")
    version_sampler.assert_never_older()


def test_entry_without_config_admits_nothing(deployment, version_sampler):
    deployment.set_faults("refuse")
    entry = deployment.entries["e0"]
    entry.kill()
    entry.start()
    exchanges = [
        client.complete(
            deployment.callers("e0"),
            API_KEY,
            f"n{request_number}",
            f"n{request_number}",
        )
        for request_number in range(8)
    ]
    if version_sampler.sample(entry) == 0:
        assert deployment.admin(entry, "/readyz").status == 503
    runs = deployment.all_runs()
    assert history.check_errors(exchanges) == []
    assert history.check_not_run(exchanges, runs, []) == []
    assert history.check_answers(exchanges, scenarios.reference) == []
    deployment.set_faults()
    deployment.wait_serving("e0")


def test_all_agents_restarted_in_an_outage_get_the_config(
    deployment, version_sampler
):
    version = put_edited_config(deployment, 0)
    version_sampler.wait_for_version(version)
    deployment.set_faults("refuse")
    for name in list(deployment.agents):
        deployment.agents[name].kill()
        deployment.restart_agent(name)
    version_sampler.wait_for_version(version)
    version_sampler.assert_never_older()
    deployment.wait_serving("e1")


@pytest.mark.parametrize("name", ["c0s1", "e0"])
def test_process_frozen_during_edits_catches_up(
    deployment, version_sampler, name
):
    children = {**deployment.agents, **deployment.entries}
    children[name].freeze()
    others = [
        child
        for child in version_sampler.running_processes()
        if child.name != name
    ]
    for edit_number in range(EDIT_COUNT):
        version = put_edited_config(deployment, edit_number)
    version_sampler.wait_for_version(version, others)
    children[name].resume()
    version_sampler.wait_for_version(version)
    version_sampler.assert_never_older()


@pytest.mark.parametrize("name", ["c0s1", "e0"])
def test_version_is_not_lost_by_restarts_between_edits(
    deployment, version_sampler, name
):
    children = {**deployment.agents, **deployment.entries}
    for edit_number in range(EDIT_COUNT):
        version = put_edited_config(deployment, edit_number)
        children[name].kill()
        if name in deployment.agents:
            deployment.restart_agent(name)
        else:
            children[name].start()
        version_sampler.wait_for_version(version)
    version_sampler.assert_never_older()


def open_connections(entry_address, count):
    """Opens connections and completes one request on each.

    The entry has then accepted them, so that it reads later requests on
    them even if it was frozen in between.
    """
    connections = []
    for _ in range(count):
        connection = client.http.client.HTTPConnection(
            *entry_address, timeout=30
        )
        connection.request(
            "GET", "/v1/models", headers=client.authorize(API_KEY)
        )
        connection.getresponse().read()
        connections.append(connection)
    return connections


def read_answer(connection):
    """Returns status, request id and body of the next response."""
    response = connection.getresponse()
    body = response.read()
    connection.close()
    return response.status, response.getheader("x-request-id"), body


def test_entry_with_an_older_version_runs_nothing_at_newer_targets(
    deployment, version_sampler
):
    frozen = deployment.entries["e0"]
    connections = open_connections(deployment.callers("e0"), 8)
    frozen.freeze()
    for connection_number, connection in enumerate(connections):
        document = {
            "model": "drafts",
            "prompt": f"revoked {connection_number}",
            "max_tokens": 4,
        }
        body = json.dumps(document)
        connection.request(
            "POST", "/v1/completions", body, client.authorize(API_KEY)
        )
    version = deployment.put_config(config_with_replaced_events_key())
    others = [
        child
        for child in version_sampler.running_processes()
        if child is not frozen
    ]
    version_sampler.wait_for_version(version, others)
    frozen.resume()
    answers = [read_answer(connection) for connection in connections]
    runs = deployment.all_runs()
    ran = {history.request_id_of(run.sequence) for run in runs}
    assert [status for status, _, _ in answers] == [401] * 8
    assert not ran & {request for _, request, _ in answers}
    version_sampler.wait_for_version(version)
    version_sampler.assert_never_older()


def test_invalid_document_changes_nothing(deployment, version_sampler):
    version = put_edited_config(deployment, 0)
    version_sampler.wait_for_version(version)
    answer = deployment.store_call("GET", "/objects/config/main")
    value = {"writer": "x", "nonce": "", "data": {"plans": "all"}}
    headers = {"If-Match": f'"{answer.json()["version"]}"'}
    path = "/objects/config/main"
    deployment.store_call("PUT", path, value, headers=headers)
    for entry in scenarios.ENTRIES:
        name = f"after {entry}"
        entry_address = deployment.callers(entry)
        assert client.complete(entry_address, API_KEY, name, name).whole
    version_sampler.wait_for_version(put_edited_config(deployment, 1))
    version_sampler.assert_never_older()
