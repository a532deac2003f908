"""Concurrent operators lose no accepted edit, even if the store fails."""

from concurrent import futures
import json
import random
import threading

import pytest

from hemlocktiller._internal.cli.subcommands.exit_codes import ExitCode
from hemlocktiller._internal.config import snapshot

OPERATOR_COUNT = 4
EDITS_PER_OPERATOR = 2
MAX_ATTEMPTS = 60
FAULTS = (
    {},
    {"lose_replies": 2},
    {"outage": "refuse"},
    {"outage": "hang"},
    {"delay_s": 0.2},
)


def _workspace_names(document):
    """Returns the names of all workspaces in a configuration."""
    return {
        workspace["workspace"]
        for plan in document["plans"]
        for workspace in plan["workspaces"]
    }


class WorkspaceEditor:
    """Adds one workspace to the configuration with `get` and `apply`.

    Attributes:
        version: Version that `apply` reported; 0 if its outcome was unknown.
        exit_codes: Exit codes of all runs of `apply`.
    """

    def __init__(self, operators, name):
        self.version = 0
        self.exit_codes = []
        self._operators = operators
        self._name = name

    def add_until_in_force(self):
        """Retries until the workspace is in the configuration."""
        for _ in range(MAX_ATTEMPTS):
            if self._is_in_force():
                return self
            self._apply()
        raise AssertionError(f"{self._name}: {self.exit_codes}")

    def _is_in_force(self):
        result = self._operators.run("get", f"{self._name}.json", "--force")
        while result.exit_code == ExitCode.STORE_UNAVAILABLE:
            result = self._operators.run(
                "get", f"{self._name}.json", "--force"
            )
        assert result.exit_code == ExitCode.DONE, result
        path = self._operators.folder / f"{self._name}.json"
        is_present = self._name in _workspace_names(
            json.loads(path.read_text())
        )
        last_exit_code = (
            self.exit_codes[-1] if self.exit_codes else ExitCode.LOST_RACE
        )
        expected_by_exit_code = {
            ExitCode.DONE: True,
            ExitCode.OUTCOME_UNKNOWN: is_present,
        }
        assert is_present == expected_by_exit_code.get(
            last_exit_code, False
        ), self.exit_codes
        return is_present

    def _apply(self):
        def add_workspace(document):
            digest = snapshot.key_digest(self._name)
            document["plans"][0]["workspaces"].append(
                {"workspace": self._name, "key_digest": digest}
            )

        self._operators.edit_file(f"{self._name}.json", add_workspace)
        result = self._operators.run("apply", f"{self._name}.json", "--json")
        self.exit_codes.append(result.exit_code)
        if result.exit_code == ExitCode.DONE:
            self.version = result.json()["version"]


def _inject_random_faults(operators, seed, editors_done):
    """Sets random faults of the store until all editors are done."""
    rng = random.Random(seed)
    while not editors_done.wait(rng.uniform(0.2, 1.0)):
        operators.set_faults(**rng.choice(FAULTS))
    operators.set_faults()


def _add_workspaces(operators, operator_number):
    """Adds the workspaces of one operator, one after the other."""
    workspace_names = [
        f"added-{operator_number}-{edit}" for edit in range(EDITS_PER_OPERATOR)
    ]
    return {
        name: WorkspaceEditor(operators, name).add_until_in_force()
        for name in workspace_names
    }


def _run_concurrent_editors(operators, seed):
    """Runs all operators at once; returns the editors by workspace."""
    editors_done = threading.Event()
    with futures.ThreadPoolExecutor(OPERATOR_COUNT + 1) as pool:
        fault_injection = pool.submit(
            _inject_random_faults, operators, seed, editors_done
        )
        operator_numbers = range(OPERATOR_COUNT)
        running_edits = [
            pool.submit(_add_workspaces, operators, operator_number)
            for operator_number in operator_numbers
        ]
        futures.wait(running_edits)
        editors_done.set()
        fault_injection.result()
    return {
        name: editor
        for running_edit in running_edits
        for name, editor in running_edit.result().items()
    }


@pytest.mark.parametrize("seed", [1])
def test_concurrent_operators_lose_no_accepted_edit(
    configured_operators, seed
):
    initial_names = _workspace_names(
        configured_operators.config_writes()[0]["value"]["data"]
    )
    editors = _run_concurrent_editors(configured_operators, seed)
    writes = configured_operators.config_writes()
    versions = [write["version"] for write in writes]
    assert versions == sorted(set(versions))
    names_before = initial_names
    versions_by_name = {}
    for write in writes[1:]:
        names_after = _workspace_names(write["value"]["data"])
        assert names_after > names_before
        assert len(names_after - names_before) == 1
        versions_by_name[(names_after - names_before).pop()] = write["version"]
        names_before = names_after
    assert set(versions_by_name) == set(editors)
    for name, editor in editors.items():
        assert editor.version in (0, versions_by_name[name])
        assert editor.version or ExitCode.OUTCOME_UNKNOWN in editor.exit_codes
