"""Racing operators lose no accepted edit, also when the store fails."""

from concurrent import futures
import json
import random
import threading

import pytest

from hemlocktiller._internal.cli.subcommands.exit_codes import ExitCode
from hemlocktiller._internal.config import snapshot

OPERATOR_COUNT = 4
EDITS_PER_OPERATOR = 2
MOST_ATTEMPTS = 60
FAULTS = (
    {},
    {"lose_replies": 2},
    {"outage": "refuse"},
    {"outage": "hang"},
    {"delay_s": 0.2},
)


def _names(document):
    return {
        workspace["workspace"]
        for plan in document["plans"]
        for workspace in plan["workspaces"]
    }


class Editor:
    """An operator who adds one workspace by get and apply.

    Attributes:
        version: Version that `apply` gave the edit; 0 if it could not tell.
        codes: Exit codes of all tries to apply.
    """

    def __init__(self, operators, name):
        self.version = 0
        self.codes = []
        self._operators = operators
        self._name = name

    def work(self):
        """Tries until the workspace is in the configuration."""
        for _ in range(MOST_ATTEMPTS):
            if self._is_in_force():
                return self
            self._apply()
        raise AssertionError(f"{self._name}: {self.codes}")

    def _is_in_force(self):
        run = self._operators.run("get", f"{self._name}.json", "--force")
        while run.code == ExitCode.STORE_UNAVAILABLE:
            run = self._operators.run("get", f"{self._name}.json", "--force")
        assert run.code == ExitCode.DONE, run
        path = self._operators.folder / f"{self._name}.json"
        is_there = self._name in _names(json.loads(path.read_text()))
        last = self.codes[-1] if self.codes else ExitCode.LOST_RACE
        told = {ExitCode.DONE: True, ExitCode.OUTCOME_UNKNOWN: is_there}
        assert is_there == told.get(last, False), self.codes
        return is_there

    def _apply(self):
        def change(document):
            digest = snapshot.key_digest(self._name)
            document["plans"][0]["workspaces"].append(
                {"workspace": self._name, "key_digest": digest}
            )

        self._operators.edit(f"{self._name}.json", change)
        run = self._operators.run("apply", f"{self._name}.json", "--json")
        self.codes.append(run.code)
        if run.code == ExitCode.DONE:
            self.version = run.json()["version"]


def _fail_now_and_then(operators, seed, ended):
    """Sets one fault after the other until the editors have ended."""
    rng = random.Random(seed)
    while not ended.wait(rng.uniform(0.2, 1.0)):
        operators.set_faults(**rng.choice(FAULTS))
    operators.set_faults()


def _work_of(operators, number):
    names = [f"added-{number}-{edit}" for edit in range(EDITS_PER_OPERATOR)]
    return {name: Editor(operators, name).work() for name in names}


def _race(operators, seed):
    """Lets all operators edit at once; returns the editors by name."""
    ended = threading.Event()
    with futures.ThreadPoolExecutor(OPERATOR_COUNT + 1) as pool:
        faults = pool.submit(_fail_now_and_then, operators, seed, ended)
        numbers = range(OPERATOR_COUNT)
        works = [pool.submit(_work_of, operators, n) for n in numbers]
        futures.wait(works)
        ended.set()
        faults.result()
    return {name: ed for work in works for name, ed in work.result().items()}


@pytest.mark.parametrize("seed", [1])
def test_racing_operators_lose_no_accepted_edit(configured, seed):
    first = _names(configured.config_writes()[0]["value"]["data"])
    editors = _race(configured, seed)
    writes = configured.config_writes()
    versions = [write["version"] for write in writes]
    assert versions == sorted(set(versions))
    before = first
    added = {}
    for write in writes[1:]:
        names = _names(write["value"]["data"])
        assert names > before
        assert len(names - before) == 1
        added[(names - before).pop()] = write["version"]
        before = names
    assert set(added) == set(editors)
    for name, editor in editors.items():
        assert editor.version in (0, added[name])
        assert editor.version or ExitCode.OUTCOME_UNKNOWN in editor.codes
