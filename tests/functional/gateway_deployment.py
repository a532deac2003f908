"""Starts gateways with fake targets and a fake store as local processes."""

import http.client
import json
from pathlib import Path
import signal
import sys
import time

from tests.functional import process

LAYER_COUNT = 80
ACCELERATOR_MEMORY_MB = 100_000.0
MODEL_TARGET_COUNT = 4
PLAIN_TARGET_COUNT = 2
GATEWAY_COUNT = 3
STAGE_TIMEOUT_S = 1.0
# Enough paths for several at a time to fail, and stages that outwait silence.
MANY_PATHS = {"model_target_count": 8, "stage_timeout_s": 2.0}
HEARTBEAT_INTERVAL_S = 0.5
HOSTNAME = "drafts.example"
API_KEY = "key-1"
CALL_TIMEOUT_S = 5.0


class Gateway(process.Process):
    """A gateway, started from its settings file as the platform does."""

    def __init__(self, name: str, settings: Path, directory: Path):
        super().__init__(name, "", (), directory)
        self.settings = settings

    def _command(self):
        program = process.ROOT / "platform" / "main.py"
        return [sys.executable, "-m", "tests.fakes.stepping_clock", program]

    def _environment(self):
        environment = super()._environment()
        return dict(environment, HEMLOCKTILLER_NODE_FILE=str(self.settings))

    def _parse_addresses(self, line):
        if '"event": "start"' in line:
            event = json.loads(line[line.index("{") :])
            return {"": process.Address(*event["callers"])}
        return {}

    def fetch_page(self, path: str) -> tuple[int, str]:
        """Returns status and body of a readiness or metrics page."""
        fields = dict(
            line.split("=", 1) for line in self.settings.read_text().split()
        )
        host, _, port = fields["listen.ready"].partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read().decode()
        finally:
            connection.close()

    def config_version(self) -> int | None:
        """Returns the configuration version in force; None if unreachable."""
        try:
            _, text = self.fetch_page("/metrics")
        except (OSError, http.client.HTTPException):
            return None
        for line in text.splitlines():
            if line.startswith("hemlocktiller_gateway_config_version "):
                return int(float(line.split()[1]))
        return None


class Relay(process.Process):
    """A TCP relay in front of the store or a target."""

    def __init__(self, name: str, directory: Path):
        self._target_file = directory / f"{name}.target"
        self._mode_file = directory / f"{name}.mode"
        relay_options = ["--target-file", self._target_file]
        relay_options += ["--mode-file", self._mode_file]
        super().__init__(
            name, "tests.functional.proxy", relay_options, directory
        )

    def set_target(self, address: process.Address) -> None:
        """Forwards new connections to an address."""
        self._target_file.write_text(f"{address.host}:{address.port}")

    def set_mode(self, mode: str) -> None:
        """Applies one of the modes in `proxy.MODES`."""
        self._mode_file.write_text(mode)
        self.signal(signal.SIGHUP)


class Deployment:
    """All processes of one run; `stop` kills them.

    Attributes:
        journal_file: File in which targets record what they run.
        last_config_version: Version of the configuration written last.
        replaced_targets: Targets that others have replaced.
        store: The fake store.
        targets: Fake targets by name.
        gateways: The gateways.
        store_relays: Relays between each gateway and the store.
        target_relays: Relays in front of every second target, by its name.
    """

    def __init__(
        self,
        directory: Path,
        model_target_count: int = MODEL_TARGET_COUNT,
        stage_timeout_s: float = STAGE_TIMEOUT_S,
    ):
        self._directory = directory
        self._model_target_count = model_target_count
        self._stage_timeout_s = stage_timeout_s
        self.journal_file = directory / "journal"
        self.journal_file.touch()
        self.last_config_version = 0
        self.replaced_targets: list[process.Process] = []
        self.target_relays: dict[str, Relay] = {}
        self.store = process.Process(
            "store",
            "tests.fakes.objects_api",
            ["--beat-s", HEARTBEAT_INTERVAL_S],
            directory,
        ).start()
        self.put_config()
        self.targets = {
            **{f"model-{i}": "model" for i in range(model_target_count)},
            **{f"plain-{i}": "plain" for i in range(PLAIN_TARGET_COUNT)},
        }
        self.targets = {
            name: self.start_target(name, service, number % 2 == 0)
            for number, (name, service) in enumerate(self.targets.items())
        }
        self.store_relays = [
            self._start_store_relay(i) for i in range(GATEWAY_COUNT)
        ]
        self.gateways = [self._start_gateway(i) for i in range(GATEWAY_COUNT)]

    def start_target(self, name, service, is_relayed=False):
        """Starts a fake target, optionally behind a relay."""
        relay_options = []
        if is_relayed:
            relay = Relay(f"to-{name}", self._directory).start()
            self.target_relays[name] = relay
            relay_options = ["--advertised", f"127.0.0.1:{relay.address.port}"]
        target = process.Process(
            name,
            "tests.fakes.platform_target",
            [
                "--service", service,
                "--store", self.store.address.url(),
                "--journal", self.journal_file,
                "--beat-s", HEARTBEAT_INTERVAL_S,
                "--stage-timeout-s", self._stage_timeout_s,
                *relay_options,
            ],
            self._directory,
        ).start()  # fmt: skip
        if is_relayed:
            relay.set_target(target.address)
        return target

    def registered_address(self, target: process.Process) -> str:
        """Returns the address of a target, or that of its relay."""
        address = self.target_relays.get(target.name, target).address
        return f"{address.host}:{address.port}"

    def read_journal(self) -> list[dict]:
        """Returns what the targets have recorded so far."""
        # The last line may still be being written.
        written = self.journal_file.read_text().rpartition("\n")[0]
        return [json.loads(line) for line in written.splitlines()]

    def call_store(self, method: str, path: str, value=None) -> dict:
        """Sends one request to the store; returns the JSON answer."""
        connection = http.client.HTTPConnection(
            self.store.address.host,
            self.store.address.port,
            timeout=CALL_TIMEOUT_S,
        )
        try:
            body = json.dumps(value) if value is not None else None
            connection.request(method, path, body)
            return json.loads(connection.getresponse().read() or "{}")
        finally:
            connection.close()

    def put_config(self) -> None:
        """Writes the next version of the configuration."""
        self.last_config_version += 1
        self.rewrite_config()

    def rewrite_config(self) -> None:
        """Writes the newest version of the configuration once more."""
        spec = configuration(self.last_config_version)
        path = "/api/objects/config"
        metadata = {"name": "main"}
        if self.last_config_version == 1:
            self.call_store("POST", path, {"metadata": metadata, "spec": spec})
            return
        value = {"metadata": metadata, "spec": spec}
        self.call_store("PUT", f"{path}/main", value)

    def stored_version(self) -> int:
        """Returns the configuration version in the store."""
        item = self.call_store("GET", "/api/objects/config/main")
        return item["spec"]["version"]

    def wait_until_serving(self) -> None:
        """Waits until layers are assigned and each gateway is ready."""
        process.poll(
            self._is_layout_complete,
            400,
            "layers are assigned to the model targets",
        )
        for gateway in self.gateways:
            process.poll(
                lambda gateway=gateway: is_ready(gateway),
                400,
                f"{gateway.name} is ready",
            )
        time.sleep(0.5)

    def stop(self) -> None:
        """Kills all processes of the deployment, also suspended ones."""
        children = [
            *self.gateways,
            *self.store_relays,
            *self.target_relays.values(),
            *self.targets.values(),
            *self.replaced_targets,
            self.store,
        ]
        for child in children:
            child.resume()
            child.kill()

    def _is_layout_complete(self):
        items = self.call_store("GET", "/api/objects/servers")["items"]
        assigned = [item for item in items if item["spec"].get("layers")]
        return len(assigned) >= self._model_target_count

    def _start_store_relay(self, number):
        relay = Relay(f"link-{number}", self._directory)
        relay.set_target(self.store.address)
        return relay.start()

    def _start_gateway(self, number):
        relay_address = self.store_relays[number].address
        ports = process.free_ports(4)
        settings = self._directory / f"gateway-{number}.conf"
        settings.write_text(
            f"node=gateway-{number}\n"
            "zone=dc-a\n"
            "ip=127.0.0.1\n"
            f"listen.front=127.0.0.1:{ports[0]}\n"
            f"listen.ready=127.0.0.1:{ports[1]}\n"
            f"port_range={ports[2]},{ports[3]}\n"
            "bounds.contact_ms=3000\n"
            "bounds.drain_ms=2000\n"
            "bounds.config_apply_ms=2000\n"
            "bounds.grace_s=8\n"
            "bounds.budget_window_s=10\n"
            "bounds.retry_budget_ratio=0.2\n"
            "bounds.retry_budget_extra=200\n"
            f"provider.address={relay_address.host}:{relay_address.port}\n"
            "provider.history_s=20\n"
        )
        return Gateway(f"gateway-{number}", settings, self._directory).start()


def is_ready(gateway: Gateway) -> bool:
    """Returns whether a gateway reports that it is ready."""
    try:
        return gateway.fetch_page("/api/ready")[0] == 200
    except (OSError, http.client.HTTPException):
        return False


def configuration(version: int) -> dict:
    """Returns a configuration in the format of the platform."""

    def route(name, kind, service, attempts, **fields):
        return {
            "name": name,
            "hostname": HOSTNAME,
            "path_prefix": f"/{name}/",
            "route_type": kind,
            "timeout_ms": 8000,
            "target_latency_ms": 300,
            "priority": 1,
            "backend": service,
            "attempts": attempts,
            **fields,
        }

    engine = {
        "slots": 32,
        "kv_token_bytes": 1_836_000,
        "link_mbps": 400_000.0,
        "stride": 3,
        "models": [{"name": "m", "load_s": 1.0}],
        "step_ms": 1.0,
        "per_seq_ms": 0.01,
        "context_per_k": 0.02,
        "read_per_s": 100_000.0,
        "usual": {"prompt": 100, "answer": 30},
        "layers": LAYER_COUNT,
        "layer_mb": 1750.0,
        "act_bytes": 90_000,
        "pipe_mbps": 18_000.0,
        "kinds": [
            {
                "name": "card",
                "mb": ACCELERATOR_MEMORY_MB,
                "pace": 1.0,
                "read_x": 1.0,
            }
        ],
    }
    return {
        "version": version,
        "routes": [
            route("draft", "streaming", "model", 2, resumable=True),
            route("booking", "non_idempotent", "plain", 1),
            route("lookup", "idempotent", "plain", 2),
        ],
        "backends": [
            {
                "name": "model",
                "health_check": "/health",
                "max_connections": 500,
                "engine": engine,
            },
            {
                "name": "plain",
                "health_check": "/health",
                "max_connections": 100,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "w", "api_keys": [API_KEY]}],
    }
