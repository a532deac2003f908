"""Starts a small deployment for a case: store, replicas and gateways.

The gateways are started with the command of `deploy/system.toml`.
"""

import contextlib
import http.client
import json
import os
from pathlib import Path
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

SUPPORT = Path(__file__).resolve().parent
ROOT = SUPPORT.parent.parent
START_TIMEOUT_S = 30.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# Tells a replica to leave without a word.
LEAVE = signal.SIGTERM

BOUNDS = """\
first_start=true
in_tolerance=false
limits.cpu_share=1.0
limits.cores=1
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
tolerate.machines=1
tolerate.zones=0
tolerate.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.outer_ms=5000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_extra=200
bounds.recover_s=12
bounds.pass_ms=120
bounds.again_s=0
bounds.stall_ms=2000
bounds.require_fence=true
provider.form=objects
provider.writes_per_s=400
provider.reads_per_s=2000
provider.history_s=20
provider.value_bytes=1048576
provider.ttl_min_ms=1000
"""


class CouldNotRun(Exception):
    """The case could not be played, so that it says nothing."""


class Deployment:
    """Processes of one run; `stop` ends them all.

    Attributes:
        lines: What is written to `record.txt` at the end.
        runs_file: File to which the replicas write what they run.
        store: Address of the store, as `host:port`.
    """

    def __init__(self, case_folder):
        self.case_folder = Path(case_folder)
        self.lines = []
        self.began_s = time.time()
        self._folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.runs_file = self._folder / "runs"
        self.runs_file.touch()
        self._processes = {}
        self.store = ""
        self.gateways = {}
        self.config_version = 0

    def note(self, text, /, **fields):
        """Adds a line to the record."""
        line = f"{time.time() - self.began_s:8.3f} {text}"
        if fields:
            line += " " + json.dumps(fields, sort_keys=True)
        self.lines.append(line)

    def _start(self, name, command, environment=None, needs_port=True):
        output = self._folder / f"{name}.out"
        with output.open("wb") as out:
            child = subprocess.Popen(
                [str(word) for word in command],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
                env=dict(os.environ, **(environment or {})),
                cwd=ROOT,
            )
        self._processes[name] = child
        if not needs_port:
            return 0

        def port():
            for line in output.read_text().splitlines(keepends=True):
                if line.startswith("listening ") and line.endswith("\n"):
                    return int(line.split()[1])
            if child.poll() is not None:
                raise CouldNotRun(f"{name} ended: {output.read_text()}")
            return 0

        return self.wait_for(port, f"{name} listens")

    def wait_for(self, condition, what, timeout_s=START_TIMEOUT_S):
        """Returns the first true result of a condition."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if result := condition():
                return result
            time.sleep(0.05)
        raise CouldNotRun(f"not in time: {what}")

    def start_store(self):
        """Starts the store."""
        port = self._start("store", [sys.executable, SUPPORT / "store.py"])
        self.store = f"127.0.0.1:{port}"

    def start_replica(self, name, service, *options):
        """Starts a replica; returns its address."""
        port = self._start(
            name,
            [sys.executable, SUPPORT / "replica.py"]
            + ["--id", name, "--service", service, "--store", self.store]
            + ["--record", self.runs_file, *options],
        )
        return f"127.0.0.1:{port}"

    def wait_until_loaded(self, count):
        """Waits until so many model replicas have registered all layers."""

        def is_loaded():
            _, body = self.call_store("GET", "/api/objects/servers")
            layers = [item["spec"].get("layers") for item in body["items"]]
            return sum(map(bool, layers)) >= count

        self.wait_for(is_loaded, "model replicas hold layers")

    def is_gone(self, name):
        """Returns whether a replica has no entry in the store."""
        status, _ = self.call_store("GET", f"/api/objects/servers/{name}")
        return status == 404

    def call_store(self, method, path, value=None):
        """Calls the store; returns status and body."""
        host, port = self.store.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        with contextlib.closing(connection):
            body = json.dumps(value) if value is not None else None
            connection.request(method, path, body)
            response = connection.getresponse()
            return response.status, json.loads(response.read() or "{}")

    def put_config(self, spec):
        """Writes the next configuration; returns when it was confirmed."""
        self.config_version += 1
        spec = {"version": self.config_version, **spec}
        value = {"metadata": {"name": "main"}, "spec": spec}
        if self.config_version == 1:
            status, _ = self.call_store("POST", "/api/objects/config", value)
        else:
            status, _ = self.call_store(
                "PUT", "/api/objects/config/main", value
            )
        if status not in (200, 201):
            raise CouldNotRun(f"the store answered {status}")
        self.note("operator: configuration confirmed", **spec)
        return time.monotonic()

    def start_gateway(self, name, store=None):
        """Starts a gateway; returns the address that callers connect to."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        ports = free_ports(4)
        settings = self._folder / f"{name}.conf"
        settings.write_text(
            f"node={name}\nrole=gateway\nmachine_class=edge\nserves=edge\n"
            "ip=127.0.0.1\nzone=zone-a\nregion=region-a\n"
            "zones.zone-a=region-a\nseeds=\n"
            f"listen.front=127.0.0.1:{ports[0]}\n"
            f"listen.ready=127.0.0.1:{ports[1]}\n"
            f"port_range={ports[2]},{ports[3]}\n"
            f"provider.address={store or self.store}\n" + BOUNDS
        )
        environment = {
            "HEMLOCKTILLER_NODE_FILE": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        self._start(name, command, environment, needs_port=False)
        self.gateways[name] = (ports[0], ports[1])
        self.wait_for(lambda: self.is_ready(name), f"{name} is ready")
        return ("127.0.0.1", ports[0])

    def is_ready(self, name):
        """Returns whether a gateway says that it is ready."""
        if self._processes[name].poll() is not None:
            raise CouldNotRun(f"{name} ended: {self.output(name)[-2000:]}")
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.gateways[name][1], timeout=1
        )
        with contextlib.closing(connection):
            try:
                connection.request("GET", "/api/ready")
                return connection.getresponse().status == 200
            except OSError:
                return False

    def output(self, name):
        """Returns what a process has written."""
        return (self._folder / f"{name}.out").read_text(errors="replace")

    def kill(self, name):
        """Kills a process that this run started."""
        self.note(f"killed {name}")
        self._processes[name].send_signal(signal.SIGKILL)
        self._processes[name].wait()

    def has_ended(self, name):
        """Returns whether a process has ended by itself or was killed."""
        return self._processes[name].poll() is not None

    def signal(self, name, number):
        """Sends a signal to a process that this run started."""
        self.note(f"signal {int(number)} to {name}")
        self._processes[name].send_signal(number)

    def runs(self):
        """Returns what the replicas have recorded."""
        text = self.runs_file.read_text().rpartition("\n")[0]
        return [json.loads(line) for line in text.splitlines()]

    def stop(self):
        """Ends all processes and writes the record."""
        for child in self._processes.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
                child.wait()
        text = "\n".join(self.lines)
        text += "\n\nrun and answered by the replicas\n"
        text += self.runs_file.read_text()
        (self.case_folder / "record.txt").write_text(text)
        shutil.rmtree(self._folder, ignore_errors=True)


def free_ports(count):
    """Returns ports that nothing listens on."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _ in range(count)
        ]
        return [one.getsockname()[1] for one in sockets]


def has_trouble():
    """Returns whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(case_folder, case):
    """Plays a case and exits with its result.

    Args:
        case_folder: Folder of the case.
        case: Called with the deployment; returns whether the rule held.
    """
    deployment = Deployment(case_folder)
    result = COULD_NOT_RUN
    try:
        result = HELD if case(deployment) else BROKEN
    except Exception as error:
        deployment.note(f"could not run: {error!r}")
    finally:
        deployment.note(f"result {result}")
        deployment.stop()
    print(f"result {result}")
    sys.exit(result)
