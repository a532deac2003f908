"""Starts a small deployment on loopback addresses for a case of the review.

The gateways are the project's own program, started with the command of
`deploy/system.toml` and a settings file of the form that `DEPLOY.md` shows.
The store is the project's own fake (`tests/fakes/objects_api.py`); the
replicas are `review/support/replica.py`.
"""

import http.client
import json
import os
from pathlib import Path
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = Path(__file__).resolve().parents[2]
HOSTNAME = "desk.example"
API_KEY = "key-1"
DRAIN_MS = 2000
CONFIG_APPLY_MS = 2000
CONTACT_MS = 3000
START_WAIT_S = 30.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played."""


def free_ports(count):
    """Returns loopback ports that nothing listens on."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def gateway_command():
    """Returns the command of the gateway's role in the deploy file."""
    with open(ROOT / "deploy" / "system.toml", "rb") as deploy_file:
        roles = tomllib.load(deploy_file)["roles"]
    return roles["gateway"]["run"].split(" ")


def configuration(version, routes, limits=None, services=("plain",)):
    """Returns a configuration as the operator stores it."""
    return {
        "version": version,
        "routes": routes,
        "backends": [
            {
                "name": name,
                "health_check": "/health",
                "max_connections": 200,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            **(limits or {}),
        },
        "tenants": [{"name": "w", "api_keys": [API_KEY]}],
    }


def route(name, kind, attempts, service="plain", timeout_ms=4000):
    """Returns a route of a configuration."""
    return {
        "name": name,
        "hostname": HOSTNAME,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 200,
        "priority": 1,
        "backend": service,
        "attempts": attempts,
    }


class Child:
    """A process that the case has started."""

    def __init__(self, lab, name, command, environment=None):
        self.name = name
        self._out = lab.folder / f"{name}.{len(lab.children)}.out"
        with open(self._out, "wb") as out:
            self._process = subprocess.Popen(
                [str(word) for word in command],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                cwd=ROOT,
                env={**os.environ, **(environment or {})},
            )

    @property
    def pid(self):
        """The process id."""
        return self._process.pid

    def output(self):
        """Returns what the process has written."""
        return self._out.read_text(errors="replace")

    def is_running(self):
        """Returns whether the process has not ended."""
        return self._process.poll() is None

    def signal(self, number):
        """Sends a signal if the process still runs."""
        if self.is_running():
            self._process.send_signal(number)

    def wait(self, timeout_s):
        """Waits until the process has ended."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired as expired:
            raise CouldNotRun(f"{self.name} has not ended") from expired

    def kill(self):
        """Kills the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self._process.wait()

    def listening_address(self):
        """Waits for the line that names the address."""
        deadline = time.monotonic() + START_WAIT_S
        while time.monotonic() < deadline:
            lines = [
                line
                for line in self.output().splitlines()
                if line.startswith("listening ")
            ]
            if lines:
                return lines[-1].split(" ", 1)[1]
            if not self.is_running():
                break
            time.sleep(0.02)
        raise CouldNotRun(f"{self.name} did not start: {self.output()[-800:]}")


class Lab:
    """The processes of one play of a case, and its record."""

    def __init__(self, case_folder):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_path = Path(case_folder) / "record.txt"
        self.record_path.write_text("")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.children = []
        self._lock = threading.Lock()
        self._python_path = os.pathsep.join(
            [str(ROOT / "target" / "deps"), str(ROOT / "src"), str(ROOT)]
        )
        self.store = None
        self.store_address = ""
        self.settings = {}

    def record(self, what, **fields):
        """Appends a line to the record."""
        line = {"at": round(time.time(), 4), "who": "case", "what": what}
        with self._lock, open(self.record_path, "a") as record:
            record.write(json.dumps({**line, **fields}) + "\n")

    def read_record(self):
        """Returns the lines of the record."""
        lines = self.record_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def start(self, name, command):
        """Starts a stand-in."""
        child = Child(self, name, command, {"PYTHONPATH": self._python_path})
        self.children.append(child)
        return child

    def start_store(self):
        """Starts the store."""
        command = [sys.executable, "-m", "tests.fakes.objects_api"]
        self.store = self.start("store", command)
        self.store_address = self.store.listening_address()

    def call_store(self, method, path, value=None):
        """Sends one call to the store, as the operator does."""
        connection = http.client.HTTPConnection(self.store_address, timeout=5)
        try:
            body = None if value is None else json.dumps(value)
            connection.request(method, path, body)
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read() or b"{}")
        finally:
            connection.close()

    def put_config(self, value):
        """Stores a configuration; returns the time of the confirmation."""
        body = {"metadata": {"name": "main"}, "spec": value}
        status, _ = self.call_store("POST", "/api/objects/config", body)
        if status == 409:
            status, _ = self.call_store(
                "PUT", "/api/objects/config/main", body
            )
        if status not in (200, 201):
            raise CouldNotRun(f"configuration: status {status}")
        self.record("config", version=value["version"])
        return time.time()

    def start_replica(self, name, port=0, **options):
        """Starts a replica; returns the process and its address."""
        words = [
            word
            for key, value in options.items()
            for word in (f"--{key.replace('_', '-')}", value)
        ]
        child = self.start(
            name,
            [
                sys.executable,
                ROOT / "review" / "support" / "replica.py",
                "--name", name,
                "--store", self.store_address,
                "--record", self.record_path,
                "--port", port,
                *words,
            ],
        )  # fmt: skip
        return child, child.listening_address()

    def control(self, address, **behaviour):
        """Changes the behaviour of a replica."""
        connection = http.client.HTTPConnection(address, timeout=5)
        try:
            connection.request("POST", "/control", json.dumps(behaviour))
            connection.getresponse().read()
        finally:
            connection.close()

    def start_gateway(self, number, count=1, store_address=None):
        """Starts a gateway; returns the process and its front address."""
        name = f"edge-{number}"
        ports = free_ports(4)
        address = store_address or self.store_address
        settings = self.folder / f"{name}.conf"
        settings.write_text(
            f"node={name}\n"
            "role=gateway\n"
            "machine_class=edge\n"
            "serves=edge\n"
            "ip=127.0.0.1\n"
            "zone=dc-a\n"
            f"listen.front=127.0.0.1:{ports[0]}\n"
            f"listen.ready=127.0.0.1:{ports[1]}\n"
            f"port_range={ports[2]},{ports[3]}\n"
            "first_start=true\n"
            "discovery=platform\n"
            "entry=vip\n"
            "heartbeat_ms=500\n"
            f"bounds.contact_ms={CONTACT_MS}\n"
            f"bounds.drain_ms={DRAIN_MS}\n"
            f"bounds.config_apply_ms={CONFIG_APPLY_MS}\n"
            "bounds.grace_s=8\n"
            "bounds.budget_window_s=10\n"
            "bounds.retry_budget_ratio=0.2\n"
            "bounds.retry_budget_extra=200\n"
            f"provider.address={address}\n"
            "provider.form=objects\n"
            "provider.history_s=20\n"
        )
        child = Child(
            self,
            name,
            gateway_command(),
            {
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "HEMLOCKTILLER_NODE_FILE": str(settings),
            },
        )
        child.ready_address = f"127.0.0.1:{ports[1]}"
        self.children.append(child)
        return child, f"127.0.0.1:{ports[0]}"

    def wait_ready(self, gateways):
        """Waits until each gateway says that it is ready."""
        deadline = time.monotonic() + START_WAIT_S
        for gateway in gateways:
            while not self._is_ready(gateway):
                if time.monotonic() > deadline or not gateway.is_running():
                    raise CouldNotRun(
                        f"{gateway.name} is not ready:"
                        f" {gateway.output()[-800:]}"
                    )
                time.sleep(0.05)

    def _is_ready(self, gateway):
        connection = http.client.HTTPConnection(
            gateway.ready_address, timeout=1
        )
        try:
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def send(
        self,
        front,
        request_id,
        method,
        path,
        body=b"",
        deadline_ms=4000,
        connection=None,
        headers=None,
    ):
        """Sends one client attempt; returns status, headers and body.

        The status is 0 if the connection ends without a complete answer.
        """
        sent_at = time.time()
        own = connection is None
        connection = connection or http.client.HTTPConnection(
            front, timeout=deadline_ms / 1000 + 2
        )
        result = (0, {}, b"")
        error = ""
        try:
            connection.request(
                method,
                path,
                body or None,
                {
                    "Host": HOSTNAME,
                    "Request-Id": request_id,
                    "Deadline-Ms": str(deadline_ms),
                    "Key": API_KEY,
                    **(headers or {}),
                },
            )
            answer = connection.getresponse()
            received = {
                name.lower(): value for name, value in answer.getheaders()
            }
            result = (answer.status, received, answer.read())
        except (OSError, http.client.HTTPException) as failure:
            error = repr(failure)
        finally:
            if own:
                connection.close()
        self.record(
            "request",
            id=request_id,
            method=method,
            path=path,
            sent_at=round(sent_at, 4),
            status=result[0],
            signature=result[1].get("response-signature", ""),
            body_bytes=len(result[2]),
            error=error,
        )
        return result

    def stop(self):
        """Kills all processes that were started."""
        for child in reversed(self.children):
            child.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case_folder, run):
    """Plays a case; exits with the code that the review's issue names."""
    lab = Lab(case_folder)
    code = COULD_NOT_RUN
    try:
        is_broken, text = run(lab)
        code = BROKEN if is_broken else HELD
        lab.record("verdict", broken=is_broken, text=text)
        print(("BROKEN: " if is_broken else "held: ") + text)
    except (CouldNotRun, OSError) as reason:
        lab.record("could_not_run", reason=str(reason))
        print(f"could not run: {reason}")
    finally:
        lab.stop()
    sys.exit(code)
