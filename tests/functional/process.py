"""Child processes of the functional tests."""

import os
from pathlib import Path
import signal
import socket
import subprocess
import sys
import time
from typing import NamedTuple

POLL_S = 0.05
START_POLLS = 600
EXIT_POLLS = 1200
ROOT = Path(__file__).parents[2]
PORT_TAKEN = "Address already in use"
PORT_TRIES = 10
PORT_WAIT_S = 0.5


class Address(NamedTuple):
    """A listening address."""

    host: str
    port: int

    def url(self, path: str = "") -> str:
        """Returns the URL of a path at this address."""
        return f"http://{self.host}:{self.port}{path}"


class ProcessFailed(AssertionError):
    """A child process did not start, or did not end, within its polls."""


def poll(condition, polls: int, what: str, poll_s: float = POLL_S):
    """Returns the first true result of `condition`.

    Args:
        condition: Called without arguments until its result is true.
        polls: Most calls.
        what: Named in the error.
        poll_s: Time between calls.

    Raises:
        ProcessFailed: No call gave a true result.
    """
    for _ in range(polls):
        result = condition()
        if result:
            return result
        time.sleep(poll_s)
    raise ProcessFailed(f"not within {polls} polls: {what}")


class Process:
    """One child process, with its output in files.

    Attributes:
        name: Name of the process, unique in its deployment.
        addresses: Listening addresses by label, "" for the only one.
    """

    def __init__(self, name: str, module: str, arguments, directory: Path):
        self.name = name
        self.module = module
        self.arguments = [str(argument) for argument in arguments]
        self.addresses: dict[str, Address] = {}
        self._output = directory / f"{name}.out"
        self._errors = directory / f"{name}.err"
        self._child: subprocess.Popen | None = None

    def start(self) -> "Process":
        """Starts the process and waits until it prints its addresses.

        A restarted process keeps its ports; one that a connection of
        another test has taken meanwhile comes free again in a moment.
        """
        for _ in range(PORT_TRIES):
            known = len(self.errors()) if self._errors.exists() else 0
            try:
                return self._start()
            except ProcessFailed:
                if PORT_TAKEN not in self.errors()[known:]:
                    raise
            time.sleep(PORT_WAIT_S)
        return self._start()

    def _start(self) -> "Process":
        with self._output.open("wb") as out, self._errors.open("ab") as err:
            self._child = subprocess.Popen(
                self._command(),
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                env=self._environment(),
                cwd=ROOT,
            )
        self.addresses = poll(
            self._listening, START_POLLS, f"{self.name} listens"
        )
        return self

    def _command(self) -> list[str]:
        return [sys.executable, "-m", self.module, *self.arguments]

    def _environment(self) -> dict[str, str]:
        path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        return dict(os.environ, PYTHONPATH=path, PYTHONUNBUFFERED="1")

    def _listening(self) -> dict[str, Address]:
        has_ended = not self.running()
        addresses = {}
        for line in self._output.read_text().splitlines(keepends=True):
            if line.endswith("\n"):
                addresses = addresses or self._addresses_in(line)
        # One that has done its work between two polls did not fail.
        is_done = bool(addresses) and self._child.returncode == 0
        if has_ended and not is_done:
            raise ProcessFailed(
                f"{self.name} ended with {self._child.returncode}:"
                f" {self.errors()[-2000:]}"
            )
        return addresses

    def _addresses_in(self, line: str) -> dict[str, Address]:
        """Returns the addresses that a line of output names, if any."""
        if line.startswith("listening "):
            return parse_listening(line)
        return {}

    @property
    def address(self) -> Address:
        """The address of a process that listens at one only."""
        return self.addresses[""]

    @property
    def pid(self) -> int:
        """The process id."""
        return self._child.pid

    def running(self) -> bool:
        """Tells whether the process has not ended yet."""
        return self._child is not None and self._child.poll() is None

    def output(self) -> str:
        """Returns what the process wrote to stdout."""
        return self._output.read_text()

    def errors(self) -> str:
        """Returns what the process wrote to stderr."""
        return self._errors.read_text(errors="replace")

    def signal(self, number: int) -> None:
        """Sends a signal to this process, if it still runs."""
        if self.running():
            self._child.send_signal(number)

    def kill(self) -> None:
        """Ends the process without any notice and collects it."""
        self.signal(signal.SIGKILL)
        if self._child is not None:
            self._child.wait()

    def freeze(self) -> None:
        """Stops the process until `wake`."""
        self.signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Lets a frozen process go on."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks the process to end gracefully."""
        self.signal(signal.SIGTERM)

    def wait(self, polls: int = EXIT_POLLS) -> int:
        """Waits until the process has ended; returns its exit code."""
        poll(lambda: not self.running(), polls, f"{self.name} ends")
        return self._child.returncode


def free_ports(count: int) -> list[int]:
    """Returns ports of the loopback that nothing listens on."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def parse_listening(line: str) -> dict[str, Address]:
    """Parses the line that a process prints when it can be reached.

    Args:
        line: `listening HOST:PORT` or `listening LABEL=HOST:PORT ...`.
    """
    addresses = {}
    for word in line.split()[1:]:
        label, _, place = word.rpartition("=")
        host, _, port = place.rpartition(":")
        addresses[label] = Address(host, int(port))
    return addresses
