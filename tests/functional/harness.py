"""Starts Hemlocktiller processes and test fakes on the loopback interface."""

from collections.abc import Callable
from collections.abc import Collection
from concurrent import futures
import hashlib
import json
from pathlib import Path
import signal
from typing import Any
from typing import NamedTuple

from tests.functional import client
from tests.functional import history
from tests.functional.process import Address
from tests.functional.process import free_ports
from tests.functional.process import poll
from tests.functional.process import Process

MODEL = "drafts"
SERVICE = "booking"
DATA_CENTRE = "dc1"
LINK_SECRET = "secret-of-the-functional-tests"
READY_POLLS = 400
MAX_CONCURRENT_STARTS = 6
CALL_TIMEOUT_S = 2.0
SEED_AGENT_COUNT = 3
KEYS = {"events": "key-events", "federation": "key-federation"}
PLAN_LIMITS = {
    "requests_per_s": 500,
    "burst_requests": 1000,
    "running_requests": 400,
    "output_tokens": 4096,
}


class Engine(NamedTuple):
    """A fake model engine, the layers that it serves and its history file."""

    process: Process
    first_layer: int
    end_layer: int
    history_file: Path


def config(share: float = 0.5, **changes: Any) -> dict[str, Any]:
    """Returns a configuration with one plan for each workspace in `KEYS`.

    Args:
        share: Capacity share of each plan.
        **changes: Plan fields to add or replace.
    """
    plans = [
        {
            "plan": f"plan-{workspace}",
            "share": share,
            "worth": 1.0,
            "deadline_s": 30.0,
            "limits": dict(PLAN_LIMITS),
            "workspaces": [
                {"workspace": workspace, "key_digest": digest(key)}
            ],
            **changes,
        }
        for workspace, key in KEYS.items()
    ]
    allowances = [
        {"plan": plan["plan"], "models": [MODEL], "services": [SERVICE]}
        for plan in plans
    ]
    return {"plans": plans, "allowances": allowances}


def digest(key: str) -> str:
    """Returns the SHA-256 digest of a workspace key, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


class Deployment:
    """The processes of one test; `stop` kills those that still run.

    Attributes:
        directory: Directory of settings, output and history files.
        platform: Fake of the object API and the VM list.
        engines: Fake model engines by name.
        bookings: Fake booking services by name.
        agents: Agents by name; agent `a` serves the target `a-target`.
        entries: Entries by name.
        relays: TCP relays in front of the agents' link ports, by agent name.
        config_versions: Versions of the configurations written, in order.
    """

    def __init__(self, directory: Path):
        self.directory = directory
        self.engines: dict[str, Engine] = {}
        self.bookings: dict[str, Process] = {}
        self.agents: dict[str, Process] = {}
        self.entries: dict[str, Process] = {}
        self.relays: dict[str, Process] = {}
        self._processes: list[Process] = []
        self.platform = self.run("platform", "tests.fakes.platform", [])
        self.config_versions: list[int] = []

    def run(self, name, module, arguments, port_option=True) -> Process:
        """Starts a process that `stop` kills at the latest.

        Args:
            name: Name of the process, unique in the deployment.
            module: Module to run.
            arguments: Command-line arguments.
            port_option: Whether to add `--port 0`, for a free port.
        """
        command_line = ["--port", 0, *arguments] if port_option else arguments
        process = Process(name, module, command_line, self.directory)
        self._processes.append(process)
        return process.start()

    def stop(self) -> None:
        """Kills all processes that still run, the last started first."""
        for process in reversed(self._processes):
            process.kill()

    # Platform

    def store_call(self, method, path, document=None, **options):
        """Sends a request to the fake object API."""
        return client.json_call(
            self.platform.address, method, path, document, **options
        )

    def put_config(self, document) -> int:
        """Creates or updates the configuration; returns its new version."""
        response = self.store_call("GET", "/objects/config/main")
        headers = {"If-None-Match": "*"}
        if response.status == 200:
            headers = {"If-Match": f'"{response.json()["version"]}"'}
        response = self.store_call(
            "PUT", "/objects/config/main", document, headers=headers
        )
        assert response.status == 200, response
        self.config_versions.append(response.json()["version"])
        return self.config_versions[-1]

    def set_faults(self, outage="none", **fields) -> None:
        """Sets the faults that the fake object API injects."""
        document = {"outage": outage, **fields}
        response = self.store_call("PUT", "/faults", document)
        assert response.status < 300, response

    def set_vm(self, name: str, state: str) -> None:
        """Sets the state of a VM in the VM list."""
        document = {
            "host": "127.0.0.1",
            "data_centre": DATA_CENTRE,
            "state": state,
        }
        response = self.store_call("PUT", f"/vms/{name}", document)
        assert response.status < 300, response

    # Targets

    def start_engine(
        self, name, first_layer, end_layer, layer_count, **options
    ) -> Process:
        """Starts a fake model engine.

        Args:
            name: Name of the engine.
            first_layer: First layer that it serves.
            end_layer: Layer after the last one that it serves.
            layer_count: Layers of the whole model.
            **options: Further command-line options of the fake.
        """
        history_file = self.directory / f"{name}.history"
        fields = {
            "model": MODEL,
            "first_layer": first_layer,
            "end_layer": end_layer,
            "layer_count": layer_count,
            "accelerator_kind": "kind-a",
            "history_file": history_file,
            **options,
        }
        process = self.run(
            name, "tests.fakes.engine", _command_line_options(fields)
        )
        self.engines[name] = Engine(
            process, first_layer, end_layer, history_file
        )
        return process

    def start_booking(self, name, **options) -> Process:
        """Starts a fake booking service."""
        fields = {"history_file": self.directory / f"{name}.history"}
        self.bookings[name] = self.run(
            name,
            "tests.fakes.booking",
            _command_line_options(fields | options),
        )
        return self.bookings[name]

    def start_agent(
        self, name: str, relayed: bool = False, delay_s: float = 0.0, **fields
    ) -> Process:
        """Starts the agent of the engine or booking service `{name}-target`.

        Args:
            name: Name of the agent.
            relayed: Whether peers connect to it through a TCP relay.
            delay_s: One-way delay of the relay.
            **fields: Settings that replace the defaults.
        """
        settings = self._settings(name) | {
            "link": {"host": "127.0.0.1", "port": 0},
            "accelerator_kind": "kind-a",
            **self._target_settings(f"{name}-target"),
        }
        self.set_vm(f"vm-{name}", "live")
        if relayed:
            settings["advertise"] = self._start_relay(name, delay_s)
        settings |= fields
        agent = self._start_program(name, "agent", settings)
        if relayed:
            self._connect_relay(name, agent)
        self.agents[name] = agent
        return agent

    def _target_settings(self, target: str) -> dict[str, Any]:
        if target in self.engines:
            address = self.engines[target].process.address
            return {"engine": {"url": address.url()}}
        address = self.bookings[target].address
        return {"service": {"name": SERVICE, "url": address.url()}}

    def _target_file(self, name: str) -> Path:
        return self.directory / f"{name}.target"

    def _start_relay(self, name: str, delay_s: float) -> dict[str, Any]:
        command_line = ["--target-file", self._target_file(name)]
        command_line += ["--delay-s", delay_s]
        relay = self.run(
            f"{name}-relay", "tests.functional.proxy", command_line
        )
        self.relays[name] = relay
        return relay.address._asdict()

    def _connect_relay(self, name: str, agent: Process) -> None:
        link = agent.addresses["link"]
        self._target_file(name).write_text(f"{link.host}:{link.port}")

    def cut_link(self, name: str) -> None:
        """Aborts all links through an agent's relay and refuses new ones."""
        self.relays[name].signal(signal.SIGUSR1)

    def restore_link(self, name: str) -> None:
        """Lets an agent's relay accept links again after `cut_link`."""
        self.relays[name].signal(signal.SIGUSR2)

    def restart_agent(self, name: str) -> Process:
        """Restarts an agent that has exited, with the same settings."""
        agent = self.agents[name].start()
        if name in self.relays:
            self._connect_relay(name, agent)
        return agent

    # Entries

    def start_entry(self, name: str, **fields) -> Process:
        """Starts an entry; `fields` replace its default settings."""
        settings = self._settings(name) | {
            "callers": {"host": "127.0.0.1", "port": 0},
            "vm_poll_s": 0.25,
            **fields,
        }
        settings["links"]["seeds"] = self._seed_addresses()
        self.entries[name] = self._start_program(name, "entry", settings)
        return self.entries[name]

    def _seed_addresses(self) -> list[dict[str, Any]]:
        """Returns link addresses of the first few agents without a relay."""
        agents = [
            agent
            for name, agent in self.agents.items()
            if name not in self.relays
        ]
        links = [
            agent.addresses["link"] for agent in agents[:SEED_AGENT_COUNT]
        ]
        return [link._asdict() for link in links]

    def callers(self, name: str) -> Address:
        """Returns the address on which an entry accepts callers."""
        return self.entries[name].addresses["callers"]

    def _settings(self, name: str) -> dict[str, Any]:
        return {
            "name": name,
            "data_centre": DATA_CENTRE,
            "vm": f"vm-{name}",
            "admin": {"host": "127.0.0.1", "port": 0},
            "store": {
                "url": self.platform.address.url(),
                "timeout_s": 1.0,
                "watch_timeout_s": 5.0,
                "retry_max_s": 0.5,
            },
            "links": {
                "secret": LINK_SECRET,
                "heartbeat_interval_s": 0.25,
                "silence_timeout_s": 1.5,
                "reconnect_max_s": 0.25,
            },
            "drain": {"timeout_s": 30.0},
        }

    def _start_program(self, name, program, settings) -> Process:
        """Starts a Hemlocktiller program; a restart uses the same ports.

        A port 0 in the settings is replaced by a free port.
        """
        for label, value in settings.items():
            if isinstance(value, dict) and value.get("port") == 0:
                settings[label] = value | {"port": free_ports(1)[0]}
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1))
        module = f"hemlocktiller._internal.cli.{program}"
        process = self.run(
            name, module, ["--settings", path], port_option=False
        )
        for label, address in process.addresses.items():
            settings[label] = address._asdict()
        path.write_text(json.dumps(settings, indent=1))
        return process

    # Waiting

    def wait_ready(self) -> None:
        """Waits until all processes are ready and all entries serve."""
        for process in [*self.agents.values(), *self.entries.values()]:
            if process.running():
                self.wait_process_ready(process)
        for name in self.entries:
            self.wait_serving(name)

    def wait_process_ready(self, process: Process) -> None:
        """Waits until `/readyz` of a process answers 200."""
        poll(
            lambda: self.admin(process, "/readyz").status == 200,
            READY_POLLS,
            f"{process.name} is ready",
        )

    def wait_routable(self, name: str) -> None:
        """Waits until each running entry can route requests to an agent."""
        for entry in self.entries.values():
            if entry.running():
                poll(
                    lambda entry=entry: self._can_route_to(entry, name),
                    READY_POLLS,
                    f"{entry.name} uses {name}",
                )

    def _can_route_to(self, entry: Process, name: str) -> bool:
        target = self.status(entry).get("targets", {}).get(name, {})
        return bool(target.get("live")) and not target.get("leaving")

    def wait_serving(self, entry: str, polls: int = READY_POLLS) -> None:
        """Waits until an entry completes a prompt and a service call.

        Kinds of targets that the deployment does not have are left out.
        """
        if self.engines:
            poll(lambda: self._answers_prompt(entry), polls, f"{entry} model")
        if self.bookings:
            poll(
                lambda: self._answers_service_call(entry),
                polls,
                f"{entry} service",
            )

    def _answers_prompt(self, entry: str) -> bool:
        key = KEYS["events"]
        name = f"probe of {entry}"
        return client.complete(
            self.callers(entry), key, name, name, max_tokens=1
        ).whole

    def _answers_service_call(self, entry: str) -> bool:
        response = client.http_call(
            self.callers(entry),
            "GET",
            f"/services/{SERVICE}/bookings/probe",
            headers=client.authorize(KEYS["events"]),
        )
        return (
            response.status in (200, 404) and b'"error"' not in response.body
        )

    def admin(self, process: Process, path: str, method="GET"):
        """Requests an admin page; the status is 0 if the connection fails."""
        try:
            return client.http_call(
                process.addresses["admin"],
                method,
                path,
                timeout_s=CALL_TIMEOUT_S,
            )
        except OSError:
            return client.Response(0, {}, b"")

    def status(self, process: Process) -> dict[str, Any]:
        """Returns the status page of a process, or {} if it is unreachable."""
        return self.admin(process, "/status").json() or {}

    def explain(self, request: str) -> list[Any]:
        """Returns the `/explain` pages of the running entries."""
        path = f"/explain?request={request}"
        pages = [
            self.admin(entry, path)
            for entry in self.entries.values()
            if entry.running()
        ]
        return [page.json() for page in pages if page.status == 200]

    # Histories

    def engine_history(self, name: str) -> list[dict[str, Any]]:
        """Returns the recorded history of an engine, running or not."""
        return _read_lines(self.engines[name].history_file)

    def booking_history(self, name: str) -> list[dict[str, Any]]:
        """Returns the recorded history of a service, running or not."""
        return _read_lines(self.directory / f"{name}.history")

    def all_runs(self) -> list[history.Run]:
        """Returns the runs of all engines."""
        return [
            run
            for name in self.engines
            for run in history.parse_runs(name, self.engine_history(name))
        ]

    def all_bookings(self) -> list[history.Booking]:
        """Returns the bookings of all services."""
        return [
            booking
            for name in self.bookings
            for booking in history.parse_bookings(
                name, self.booking_history(name)
            )
        ]


def _command_line_options(options) -> list[str]:
    command_line = []
    for name, value in options.items():
        command_line += ["--" + name.replace("_", "-"), str(value)]
    return command_line


def _read_lines(path: Path) -> list[dict[str, Any]]:
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]


def start_chains(
    deployment: Deployment,
    chains: int = 2,
    stages: int = 2,
    layer_count: int = 8,
    relayed: Collection[str] = (),
    **options,
) -> None:
    """Starts engines and agents that form chains of equally long stages.

    A chain holds all layers of the model; the agent of stage 1 in chain 0
    is named `c0s1`.

    Args:
        deployment: Where to start them.
        chains: Number of chains.
        stages: Stages of a chain.
        layer_count: Layers of the model.
        relayed: Agents that peers connect to through a TCP relay.
        **options: Command-line options of the engines.
    """
    layers_per_stage = layer_count // stages
    first_layers = {
        f"c{chain}s{stage}": stage * layers_per_stage
        for chain in range(chains)
        for stage in range(stages)
    }

    def start(name: str) -> None:
        first_layer = first_layers[name]
        deployment.start_engine(
            f"{name}-target",
            first_layer,
            first_layer + layers_per_stage,
            layer_count,
            **options,
        )
        deployment.start_agent(name, relayed=name in relayed)

    start_together(start, first_layers)


def start_together(start: Callable[[str], Any], names) -> None:
    """Calls `start` with each name, a few at the same time."""
    with futures.ThreadPoolExecutor(MAX_CONCURRENT_STARTS) as pool:
        list(pool.map(start, names))


def start_bookings(
    deployment: Deployment,
    count: int = 2,
    relayed: Collection[str] = (),
    **options,
) -> None:
    """Starts booking services and their agents `b0`, `b1` and so on."""

    def start(name: str) -> None:
        deployment.start_booking(f"{name}-target", **options)
        deployment.start_agent(name, relayed=name in relayed)

    start_together(start, [f"b{number}" for number in range(count)])
