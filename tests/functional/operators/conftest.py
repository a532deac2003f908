"""Fixtures that run the operators' program, `hemlocktiller`, on stand-ins."""

import copy
import json
import os
from pathlib import Path
import subprocess
import sys
from typing import NamedTuple

import pytest

from hemlocktiller._internal.cli.subcommands import config_versions
from hemlocktiller._internal.store import objects
from tests.functional import client
from tests.functional.process import Address
from tests.functional.process import Process
from tests.functional.process import ROOT
from tests.unit.config.conftest import DOCUMENT

RUN_TIMEOUT_S = 60


class CommandResult(NamedTuple):
    """Exit code and output of one run of the program."""

    exit_code: int
    stdout: str
    stderr: str

    def json(self):
        """Returns the JSON that the run printed to stdout."""
        return json.loads(self.stdout)


class Operators:
    """Runs the operators' program against a stand-in of the store.

    Attributes:
        folder: Working directory of the program.
        store: Address of the store's stand-in.
    """

    def __init__(self, folder: Path, store: Address | None = None):
        self.folder = folder
        self._processes = []
        self.store = store or self._start_store()
        self.write_settings()

    def _start_store(self) -> Address:
        return self.start("platform", "tests.fakes.platform").address

    def start(self, name: str, module: str) -> Process:
        """Starts a stand-in that `stop` ends."""
        process = Process(name, module, ["--port", 0], self.folder)
        self._processes.append(process)
        return process.start()

    def stop(self) -> None:
        """Ends all stand-ins."""
        for process in self._processes:
            process.kill()

    def write_settings(self, **fields) -> None:
        """Writes operator.json, the settings; fields override the defaults."""
        document = {
            "store": {"url": self.store.url(), "timeout_s": 0.5},
            **fields,
        }
        path = self.folder / "operator.json"
        path.write_text("// Settings.\n" + json.dumps(document))

    def begin(self, *arguments) -> subprocess.Popen:
        """Starts the program without waiting for it."""
        module = "hemlocktiller._internal.cli.operator"
        command = [sys.executable, "-m", module, *map(str, arguments)]
        path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        return subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            cwd=self.folder,
            env=dict(os.environ, PYTHONPATH=path),
        )

    def run(self, *arguments) -> CommandResult:
        """Runs the program with operator.json and waits for its exit."""
        return wait_for_exit(
            self.begin(*arguments, "--settings", "operator.json")
        )

    def write(self, name: str, document) -> Path:
        """Writes a JSON file to the working directory; returns its path."""
        path = self.folder / name
        path.write_text(json.dumps(document))
        return path

    def edit_file(self, name: str, change_document) -> None:
        """Applies a function to the document in a JSON file."""
        document = json.loads((self.folder / name).read_text())
        change_document(document)
        self.write(name, document)

    def call_store(self, method: str, path: str, document=None, **options):
        """Calls the store's stand-in; returns the JSON of its answer."""
        answer = client.json_call(
            self.store, method, path, document, **options
        )
        assert answer.status == 200, answer
        return answer.json()

    def set_faults(self, **faults) -> None:
        """Sets the faults of the store's stand-in."""
        self.call_store("PUT", "/faults", faults)

    def config_writes(self) -> list[dict]:
        """Returns the successful writes of the configuration, in order."""
        writes = self.call_store("GET", "/log")
        return [write for write in writes if write["kind"] == "config"]

    def register(self, kind: str, name: str, address) -> None:
        """Creates the store object with a process's admin address."""
        value = {"admin_host": address.host, "admin_port": address.port}
        self.create_object(kind, name, value)

    def create_object(self, kind: str, name: str, value) -> int:
        """Creates an object in the store; returns its version."""
        headers = {"If-None-Match": "*"}
        path = f"/objects/{kind}/{name}"
        answer = self.call_store("PUT", path, value, headers=headers)
        return answer["version"]


def wait_for_exit(child: subprocess.Popen) -> CommandResult:
    """Waits until a run exits; returns its result."""
    stdout, stderr = child.communicate(timeout=RUN_TIMEOUT_S)
    return CommandResult(child.returncode, stdout, stderr)


@pytest.fixture
def operators(tmp_path):
    """The operators' program and a store without configuration."""
    operators_cli = Operators(tmp_path)
    yield operators_cli
    operators_cli.stop()


@pytest.fixture
def document():
    """A valid configuration, copied so that a test may change it."""
    return copy.deepcopy(DOCUMENT)


@pytest.fixture
def configured_operators(operators, document):
    """The program and a store that holds the configuration in first.json."""
    path = operators.write("first.json", document)
    value = json.loads(objects.encode_envelope(document, "test", "", 0))
    version = operators.create_object("config", "main", value)
    config_versions.write_base(
        path, config_versions.ConfigVersion(version, document)
    )
    return operators
