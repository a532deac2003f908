"""Starts a small deployment: a store, replicas, and gateways of the project.

The gateways are started with the command of `deploy/system.toml`. All
processes listen on loopback addresses and are ended by `stop`.
"""

import asyncio
import contextlib
import json
import os
from pathlib import Path
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http_messages as http

SUPPORT = Path(__file__).resolve().parent
ROOT = SUPPORT.parent.parent
START_TIMEOUT_S = 20.0
HOST = "desk.example"
HEARTBEAT_S = 0.5
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_extra": 200,
    "recover_s": 12,
    "stall_ms": 2000,
}


class CannotRun(Exception):
    """The case can't be run here."""


class Process:
    """A child process."""

    def __init__(self, name: str, command: list[str], directory: Path, env):
        self.name = name
        self._command = command
        self._directory = directory
        self._env = env
        self._child: subprocess.Popen | None = None

    def start(self) -> "Process":
        """Starts the process."""
        with (self._directory / f"{self.name}.log").open("ab") as output:
            self._child = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=self._env,
            )
        return self

    def is_running(self) -> bool:
        """Returns whether the process runs."""
        return self._child is not None and self._child.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal, if the process runs."""
        if self.is_running():
            self._child.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self._child is not None:
            if self.is_running():
                self._child.kill()
            self._child.wait()

    @property
    def log(self) -> str:
        """What the process wrote."""
        return (self._directory / f"{self.name}.log").read_text(
            errors="replace"
        )


class Deployment:
    """All processes of one run.

    Attributes:
        journal: File in which replicas record what they run.
        gateways: Gateways by name.
        replicas: Replicas by name.
        relays: Relays before replicas, by the names of these.
        advertised: Addresses of these relays.
    """

    def __init__(self, record):
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = Path(self._folder.name)
        self.journal = self.directory / "journal"
        self.journal.touch()
        self.record = record
        self.gateways: dict[str, Process] = {}
        self.replicas: dict[str, Process] = {}
        self.relays: dict[str, Process] = {}
        self.advertised: dict[str, str] = {}
        self.ports: dict[str, int] = {}
        self._fronts: dict[str, tuple[str, int]] = {}
        self._ready: dict[str, tuple[str, int]] = {}
        self._settings: dict[str, Path] = {}
        self.store_port = free_port()
        self.store = self._python(
            "store",
            "store.py",
            "--port",
            self.store_port,
            "--heartbeat-s",
            HEARTBEAT_S,
        ).start()
        self._is_config_stored = False
        try:
            self._wait_for_port(self.store_port)
        except CannotRun:
            self.stop()
            raise

    def _python(self, name, script, *arguments):
        command = [sys.executable, str(SUPPORT / script)]
        command += [str(one) for one in arguments]
        env = dict(os.environ, PYTHONUNBUFFERED="1")
        return Process(name, command, self.directory, env)

    def start_replica(self, name: str, script: str, service: str, **options):
        """Starts a replica; one of a name that ended takes its port again."""
        port = self.ports.setdefault(name, free_port())
        arguments = [
            "--name", name,
            "--port", port,
            "--service", service,
            "--store", f"127.0.0.1:{self.store_port}",
            "--journal", self.journal,
            "--heartbeat-s", HEARTBEAT_S,
        ]  # fmt: skip
        for option, value in options.items():
            arguments += [f"--{option.replace('_', '-')}", value]
        self.replicas[name] = self._python(name, script, *arguments).start()
        self._wait_for_port(port)
        return self.replicas[name]

    def start_relayed_replica(
        self, name: str, script: str, service: str, **options
    ):
        """Starts a replica behind a relay, whose address it registers."""
        port = self.ports.setdefault(name, free_port())
        relay_port = free_port()
        self.relays[name] = self._python(
            f"to-{name}",
            "relay.py",
            "--port",
            relay_port,
            "--target-port",
            port,
        ).start()
        self._wait_for_port(relay_port)
        self.advertised[name] = f"127.0.0.1:{relay_port}"
        options["advertised"] = self.advertised[name]
        return self.start_replica(name, script, service, **options)

    def start_gateway(self, name: str, store_address: str = "") -> Process:
        """Starts a gateway, or starts one that has ended again."""
        if name not in self._settings:
            self._write_settings(name, store_address)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["HEMLOCKTILLER_NODE_FILE"] = str(self._settings[name])
        self.gateways[name] = Process(name, words, self.directory, env).start()
        return self.gateways[name]

    def _write_settings(self, name, store_address):
        front, ready, first, last = (free_port() for _ in range(4))
        self._fronts[name] = ("127.0.0.1", front)
        self._ready[name] = ("127.0.0.1", ready)
        fields = {
            "node": name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": "edge",
            "ip": "127.0.0.1",
            "zone": "z-a",
            "region": "r",
            "zones.z-a": "r",
            "listen.front": f"127.0.0.1:{front}",
            "listen.ready": f"127.0.0.1:{ready}",
            "port_range": f"{first},{last}",
            "first_start": "true",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "provider.address": store_address
            or f"127.0.0.1:{self.store_port}",
            "provider.form": "objects",
            "provider.writes_per_s": 400,
            "provider.reads_per_s": 2000,
            "provider.history_s": 20,
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
        }
        path = self.directory / f"{name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
        self._settings[name] = path

    def front(self, name: str) -> tuple[str, int]:
        """Returns the address on which a gateway takes requests."""
        return self._fronts[name]

    async def put_config(self, config: dict) -> None:
        """Writes a configuration; the answer is its confirmation."""
        body = {"metadata": {"name": "main"}, "spec": config}
        path = "/api/objects/config"
        method = "POST"
        if self._is_config_stored:
            path, method = f"{path}/main", "PUT"
        answer = await http.exchange(
            ("127.0.0.1", self.store_port),
            http.encode_request(method, path, {}, json.dumps(body).encode()),
            2.0,
        )
        if answer.status not in (200, 201):
            raise CannotRun(f"configuration: {answer}")
        self._is_config_stored = True
        self.record("config_confirmed", version=config["version"])

    async def wait_until_ready(self, name: str) -> None:
        """Waits until a gateway says that it is ready."""
        end_s = time.monotonic() + START_TIMEOUT_S
        request = http.encode_request("GET", "/api/ready", {"Host": HOST})
        while time.monotonic() < end_s:
            answer = await http.exchange(self._ready[name], request, 1.0)
            if answer.status == 200:
                return
            if not self.gateways[name].is_running():
                break
            await asyncio.sleep(0.1)
        log = self.gateways[name].log[-800:]
        raise CannotRun(f"{name} isn't ready: {log}")

    def read_journal(self) -> list[dict]:
        """Returns what replicas recorded."""
        return [
            json.loads(line) for line in self.journal.read_text().splitlines()
        ]

    def stop(self) -> None:
        """Ends all processes that were started."""
        children = [
            *self.gateways.values(),
            *self.replicas.values(),
            *self.relays.values(),
        ]
        for child in [*children, self.store]:
            child.signal(signal.SIGCONT)
            child.kill()
        self._folder.cleanup()

    def _wait_for_port(self, port):
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError):
                socket.create_connection(("127.0.0.1", port), 0.5).close()
                return
            time.sleep(0.05)
        raise CannotRun(f"nothing listens on port {port}")


# Below the ports that Linux takes for the near ends of connections, and below
# those of the project's tests, which may run beside a case.
PORTS = range(10_000, 20_000)
_used_ports: set[int] = set()


def free_port() -> int:
    """Returns a port that is free and was not returned before."""
    while True:
        port = random.choice(PORTS)
        if port in _used_ports:
            continue
        _used_ports.add(port)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("127.0.0.1", port))
            return port


def route(name: str, kind: str, service: str, **fields) -> dict:
    """Returns a route with the path prefix `/NAME/`."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "priority": 1,
        "backend": service,
        "attempts": 1,
        **fields,
    }


def plain_service(name: str) -> dict:
    """Returns a plain service."""
    return {"name": name, "health_check": "/health", "max_connections": 110}


def configuration(
    version: int, routes: list[dict], services: list[dict], **fields
) -> dict:
    """Returns a whole configuration."""
    return {
        "version": version,
        "routes": routes,
        "backends": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        **fields,
    }
