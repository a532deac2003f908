"""Deployments to measure: the real programs on stand-ins.

`PYTHONPATH` need not be set for the processes started here.
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
READY_POLLS = 600


class Stage(harness.Deployment):
    """A deployment with agents that one process plays."""

    def start_farm(self, **options):
        """Starts the process that plays the agents."""
        self.farm = self.run(
            "farm",
            "benchmarks.slopes.simulated_agents",
            [json.dumps(options)],
            port_option=False,
        )

    def farm_stats(self):
        """Returns what the links of the farm have moved."""
        answer = client.http_call(self.farm.addresses["control"], "GET", "/")
        return answer.json()

    def put_targets(self, count, targets_per_model):
        """Registers so many targets, all of them played by the farm."""
        link = self.farm.addresses["link"]
        for number in range(count):
            name = f"target-{number:04}"
            model = f"model-{number // targets_per_model:02}"
            record = sample_data.record(name, link.host, link.port, model)
            answer = self.store_call(
                "PUT",
                f"/objects/target/{name}",
                record,
                headers={"If-None-Match": "*"},
            )
            assert answer.status == 200, answer

    def start_callers(self, entry, **options):
        """Starts callers of an entry."""
        address = self.callers(entry)
        options = {
            "host": address.host,
            "port": address.port,
            "model": MODEL,
            "keys": [f"key-{number}" for number in range(KEY_COUNT)],
            **options,
        }
        name = f"callers-{len(self._processes)}"
        words = [json.dumps(options)]
        child = process.Process(
            name, "benchmarks.slopes.load_generator", words, self.directory
        )
        self._processes.append(child)
        # It listens nowhere, so its line names no address.
        child._read_addresses = lambda: (
            "listening" in child._output.read_text()
        )
        return child.start()

    def wait_links(self, entry, count):
        """Waits until an entry has links to so many targets."""
        process.poll(
            lambda: self._live(entry) == count,
            READY_POLLS,
            f"{entry} has {count} links",
        )

    def _live(self, entry):
        targets = self.status(self.entries[entry]).get("targets", {})
        return sum(target["live"] for target in targets.values())


def document(workspace_count):
    """Returns a configuration without limits that a benchmark would meet."""
    made = config_bytes.config_document(workspace_count)
    for plan in made["plans"]:
        plan["deadline_s"] = DEADLINE_S
        plan["limits"] = {
            "requests_per_s": 1e6,
            "burst_requests": 1e6,
            "running_requests": 1_000_000,
            "output_tokens": 1_000_000,
        }
    return made


@contextlib.contextmanager
def new():
    """Gives a stage with the object API up; ends what still runs."""
    resource_usage.cache_byte_code()
    with tempfile.TemporaryDirectory(prefix="hemlocktiller-stage-") as folder:
        stage = Stage(Path(folder))
        try:
            yield stage
        finally:
            stage.stop()


def start_entry(stage, targets, targets_per_model=4, workspaces=710, **farm):
    """Starts an entry with links to so many targets; returns its process."""
    stage.put_config(document(workspaces))
    stage.start_farm(**farm)
    stage.put_targets(targets, targets_per_model)
    entry = stage.start_entry("e0", links=sample_data.LINKS)
    stage.wait_links("e0", targets)
    return entry
