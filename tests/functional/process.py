"""Starts, signals and stops child processes of the functional tests."""

from collections.abc import Iterator
import functools
import itertools
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
PORT_IN_USE_ERROR = "Address already in use"
PORT_RETRIES = 10
PORT_RETRY_DELAY_S = 0.5
# Below the local ports that Linux assigns to connections and to listeners on
# port 0, which could take the port of a process while that is restarted.
FIRST_PORT = 20_480
END_PORT = 32_768
PORT_BLOCK_SIZE = 512

_reservations: list[socket.socket] = []


class Address(NamedTuple):
    """Host and port that a process listens on."""

    host: str
    port: int

    def url(self, path: str = "") -> str:
        """Returns the URL of a path at this address."""
        return f"http://{self.host}:{self.port}{path}"


class ProcessFailed(AssertionError):
    """A condition did not come true in time, or a child process failed."""


def poll(condition, polls: int, what: str, poll_s: float = POLL_S):
    """Returns the first true result of `condition`.

    Args:
        condition: Called without arguments until its result is true.
        polls: Maximum number of calls.
        what: Description of the condition, for the error message.
        poll_s: Time between calls.

    Raises:
        ProcessFailed: No call returned a true result.
    """
    for _ in range(polls):
        result = condition()
        if result:
            return result
        time.sleep(poll_s)
    raise ProcessFailed(f"not within {polls} polls: {what}")


class Process:
    """A child process whose stdout and stderr are written to files.

    Attributes:
        name: Name of the process, unique in its deployment.
        module: Python module that it runs.
        arguments: Command-line arguments.
        addresses: Listening addresses by label; a sole one has the label "".
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

        A restarted process reuses its ports. Another process may have taken
        one that was not from `free_ports` meanwhile, so the start is retried
        while the port is in use.
        """
        for _ in range(PORT_RETRIES):
            previous_length = (
                len(self.errors()) if self._errors.exists() else 0
            )
            try:
                return self._start()
            except ProcessFailed:
                if PORT_IN_USE_ERROR not in self.errors()[previous_length:]:
                    raise
            time.sleep(PORT_RETRY_DELAY_S)
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
            self._read_addresses, START_POLLS, f"{self.name} listens"
        )
        return self

    def _command(self) -> list[str]:
        return [sys.executable, "-m", self.module, *self.arguments]

    def _environment(self) -> dict[str, str]:
        path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        return dict(os.environ, PYTHONPATH=path, PYTHONUNBUFFERED="1")

    def _read_addresses(self) -> dict[str, Address]:
        has_ended = not self.running()
        addresses = {}
        for line in self._output.read_text().splitlines(keepends=True):
            if line.endswith("\n"):
                addresses = addresses or self._parse_addresses(line)
        # A short-lived process may finish successfully between two polls.
        has_succeeded = bool(addresses) and self._child.returncode == 0
        if has_ended and not has_succeeded:
            raise ProcessFailed(
                f"{self.name} ended with {self._child.returncode}:"
                f" {self.errors()[-2000:]}"
            )
        return addresses

    def _parse_addresses(self, line: str) -> dict[str, Address]:
        """Returns the addresses in a line of output, or {} if it has none."""
        if line.startswith("listening "):
            return parse_listening_line(line)
        return {}

    @property
    def address(self) -> Address:
        """The address of a process that listens on only one."""
        return self.addresses[""]

    @property
    def pid(self) -> int:
        """The process id."""
        return self._child.pid

    def running(self) -> bool:
        """Returns whether the process was started and has not exited."""
        return self._child is not None and self._child.poll() is None

    def output(self) -> str:
        """Returns what the process wrote to stdout since its last start."""
        return self._output.read_text()

    def errors(self) -> str:
        """Returns what the process wrote to stderr in all its starts."""
        return self._errors.read_text(errors="replace")

    def signal(self, number: int) -> None:
        """Sends a signal to the process if it still runs."""
        if self.running():
            self._child.send_signal(number)

    def kill(self) -> None:
        """Kills the process with SIGKILL and reaps it."""
        self.signal(signal.SIGKILL)
        if self._child is not None:
            self._child.wait()

    def freeze(self) -> None:
        """Suspends the process with SIGSTOP until `resume`."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Requests a graceful shutdown with SIGTERM."""
        self.signal(signal.SIGTERM)

    def wait(self, polls: int = EXIT_POLLS) -> int:
        """Waits until the process exits; returns its exit code."""
        poll(lambda: not self.running(), polls, f"{self.name} ends")
        return self._child.returncode


def free_ports(count: int) -> list[int]:
    """Returns loopback ports that nothing listens on.

    Other test processes don't use them, also while nothing listens on them.
    This process may return them again after `PORT_BLOCK_SIZE` others.

    Raises:
        ProcessFailed: All ports are in use.
    """
    candidates = itertools.islice(_port_cycle(), PORT_BLOCK_SIZE)
    ports = list(itertools.islice(filter(_is_free, candidates), count))
    if len(ports) < count:
        raise ProcessFailed("all ports of this test process are in use")
    return ports


@functools.cache
def _port_cycle() -> Iterator[int]:
    """Returns an endless iterator over a block of ports of this process."""
    for block in range(FIRST_PORT, END_PORT, PORT_BLOCK_SIZE):
        if _reserve_block(block):
            return itertools.cycle(range(block, block + PORT_BLOCK_SIZE))
    raise ProcessFailed("all port blocks are used by other test processes")


def _reserve_block(first_port: int) -> bool:
    """Reserves a block of ports until this process exits.

    The reservation is a UDP socket on the first port of the block. It doesn't
    affect TCP connections.
    """
    reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        reservation.bind(("127.0.0.1", first_port))
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    return True


def _is_free(port: int) -> bool:
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True


def parse_listening_line(line: str) -> dict[str, Address]:
    """Parses the line that a process prints once it listens.

    Args:
        line: `listening HOST:PORT` or `listening LABEL=HOST:PORT ...`.
    """
    addresses = {}
    for word in line.split()[1:]:
        label, _, host_port = word.rpartition("=")
        host, _, port = host_port.rpartition(":")
        addresses[label] = Address(host, int(port))
    return addresses
