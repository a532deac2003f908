"""Fixtures that run the operators' program against stand-ins."""

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


class Run(NamedTuple):
    """What one run of the program came to."""

    code: int
    output: str
    errors: str

    def json(self):
        """Returns the JSON that was printed."""
        return json.loads(self.output)


class Operators:
    """The store's stand-in and the operators' program.

    Attributes:
        folder: Folder of the operators' files.
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
        """Starts a stand-in that ends with the test."""
        process = Process(name, module, ["--port", 0], self.folder)
        self._processes.append(process)
        return process.start()

    def stop(self) -> None:
        """Ends all stand-ins."""
        for process in self._processes:
            process.kill()

    def write_settings(self, **fields) -> None:
        """Writes the settings of the program."""
        document = {
            "store": {"url": self.store.url(), "timeout_s": 0.5},
            **fields,
        }
        path = self.folder / "operator.json"
        path.write_text("// Settings.\n" + json.dumps(document))

    def begin(self, *words) -> subprocess.Popen:
        """Starts one run of the program."""
        module = "hemlocktiller._internal.cli.operator"
        command = [sys.executable, "-m", module, *map(str, words)]
        path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        return subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            cwd=self.folder,
            env=dict(os.environ, PYTHONPATH=path),
        )

    def run(self, *words) -> Run:
        """Runs the program with the settings of the test."""
        return end(self.begin(*words, "--settings", "operator.json"))

    def write(self, name: str, document) -> Path:
        """Writes a file to apply."""
        path = self.folder / name
        path.write_text(json.dumps(document))
        return path

    def edit(self, name: str, change) -> None:
        """Changes a file that `get` wrote."""
        document = json.loads((self.folder / name).read_text())
        change(document)
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
        """Returns the successful writes of the configuration."""
        writes = self.call_store("GET", "/log")
        return [write for write in writes if write["kind"] == "config"]

    def register(self, kind: str, name: str, address) -> None:
        """Writes the object that names a process and its admin pages."""
        value = {"admin_host": address.host, "admin_port": address.port}
        self.create(kind, name, value)

    def create(self, kind: str, name: str, value) -> int:
        """Writes a new object; returns its version."""
        headers = {"If-None-Match": "*"}
        path = f"/objects/{kind}/{name}"
        answer = self.call_store("PUT", path, value, headers=headers)
        return answer["version"]


def end(started: subprocess.Popen) -> Run:
    """Waits for the end of a run."""
    output, errors = started.communicate(timeout=RUN_TIMEOUT_S)
    return Run(started.returncode, output, errors)


@pytest.fixture
def operators(tmp_path):
    """The operators' program and a store without configuration."""
    running = Operators(tmp_path)
    yield running
    running.stop()


@pytest.fixture
def document():
    """A configuration without findings, free to change."""
    return copy.deepcopy(DOCUMENT)


@pytest.fixture
def configured(operators, document):
    """The program, and a store that holds what is in first.json."""
    path = operators.write("first.json", document)
    value = json.loads(objects.encode_envelope(document, "test", "", 0))
    version = operators.create("config", "main", value)
    config_versions.write_base(
        path, config_versions.ConfigVersion(version, document)
    )
    return operators
