"""Deployments whose resource usage is measured.

Entries and agents under measurement run the real programs. Their peers and
the platform are simulated or fakes. The processes started here don't need
`PYTHONPATH` to be set.
"""

import contextlib
import json
from pathlib import Path
import tempfile

from benchmarks import config_bytes
from benchmarks.slopes import resource_usage
from benchmarks.slopes import sample_data
from tests.functional import client
from tests.functional import harness
from tests.functional import process

DEADLINE_S = 3_600.0
MODEL = "model-00"
KEY_COUNT = 10
LINK_POLLS = 600


class MeasuredDeployment(harness.Deployment):
    """A deployment in which one process can simulate many agents.

    Attributes:
        simulated_agents: The process that simulates the agents; set by
            `start_simulated_agents`.
    """

    def start_simulated_agents(self, **options):
        """Starts the process that simulates the agents.

        Args:
            **options: Options of `benchmarks.slopes.simulated_agents`.
        """
        self.simulated_agents = self.run(
            "farm",
            "benchmarks.slopes.simulated_agents",
            [json.dumps(options)],
            port_option=False,
        )

    def simulated_agent_stats(self):
        """Returns the statistics of the simulated agents' links."""
        response = client.http_call(
            self.simulated_agents.addresses["control"], "GET", "/"
        )
        return response.json()

    def register_targets(self, count, targets_per_model):
        """Registers targets, all at the address of the simulated agents."""
        link = self.simulated_agents.addresses["link"]
        for number in range(count):
            name = f"target-{number:04}"
            model = f"model-{number // targets_per_model:02}"
            registration = sample_data.registration(
                name, link.host, link.port, model
            )
            response = self.store_call(
                "PUT",
                f"/objects/target/{name}",
                registration,
                headers={"If-None-Match": "*"},
            )
            assert response.status == 200, response

    def start_load_generator(self, entry, **options):
        """Starts a load generator that sends requests to an entry.

        Args:
            entry: Name of the entry.
            **options: Options of `benchmarks.slopes.load_generator`.
        """
        address = self.callers(entry)
        options = {
            "host": address.host,
            "port": address.port,
            "model": MODEL,
            "keys": [f"key-{number}" for number in range(KEY_COUNT)],
            **options,
        }
        name = f"callers-{len(self._processes)}"
        arguments = [json.dumps(options)]
        child = process.Process(
            name,
            "benchmarks.slopes.load_generator",
            arguments,
            self.directory,
        )
        self._processes.append(child)
        # The load generator listens on no port, so its line has no address.
        child._read_addresses = lambda: (
            "listening" in child._output.read_text()
        )
        return child.start()

    def wait_for_links(self, entry, count):
        """Waits until an entry has live links to exactly `count` targets."""
        process.poll(
            lambda: self._live_target_count(entry) == count,
            LINK_POLLS,
            f"{entry} has {count} links",
        )

    def _live_target_count(self, entry):
        targets = self.status(self.entries[entry]).get("targets", {})
        return sum(target["live"] for target in targets.values())


def unlimited_config(workspace_count):
    """Returns a configuration with limits too high for a benchmark to hit."""
    document = config_bytes.config_document(workspace_count)
    for plan in document["plans"]:
        plan["deadline_s"] = DEADLINE_S
        plan["limits"] = {
            "requests_per_s": 1e6,
            "burst_requests": 1e6,
            "running_requests": 1_000_000,
            "output_tokens": 1_000_000,
        }
    return document


@contextlib.contextmanager
def temporary_deployment():
    """Yields a deployment with only the platform running; stops it after."""
    resource_usage.precompile_bytecode()
    with tempfile.TemporaryDirectory(
        prefix="hemlocktiller-stage-"
    ) as directory:
        deployment = MeasuredDeployment(Path(directory))
        try:
            yield deployment
        finally:
            deployment.stop()


def start_linked_entry(
    deployment,
    target_count,
    targets_per_model=4,
    workspace_count=710,
    **agent_options,
):
    """Starts an entry and waits until it has links to all targets.

    Args:
        deployment: Deployment with only the platform running.
        target_count: Targets, all of simulated agents.
        targets_per_model: Targets that serve the same model.
        workspace_count: Workspaces in the configuration.
        **agent_options: Options of the simulated agents.

    Returns:
        The process of the entry.
    """
    deployment.put_config(unlimited_config(workspace_count))
    deployment.start_simulated_agents(**agent_options)
    deployment.register_targets(target_count, targets_per_model)
    entry = deployment.start_entry("e0", links=sample_data.LINK_SETTINGS)
    deployment.wait_for_links("e0", target_count)
    return entry
