"""Seeded faults against gateways, with the promises checked by outcome.

`python -m tests.functional.gateway_soak --seeds 0:50 --jobs 4` prints a
line for each seed. Callers keep open connections until the process is gone;
faults come in series and overlap.
"""

import argparse
import concurrent.futures
import http.client
import json
from pathlib import Path
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
from typing import NamedTuple

from tests.fakes import platform_target
from tests.functional import gateway_deployment
from tests.functional import process

LOAD_S = 8.0
SETTLE_S = 4.0
CALLERS = 8
EVENTS = 30
CALLER_TIMEOUT_S = 4.0
# The platform's bound for work sent to a target that said it leaves.
DRAIN_S = 2.0
SAMPLE_S = 0.2
NOT_RUN = (408, 421, 429, 503)
FAULTS = (
    "kill_gateway", "pause_gateway", "term_gateway", "kill_target",
    "pause_target", "term_target", "store_busy", "store_silent",
    "store_slow", "store_lose", "cut_link", "config",
)  # fmt: skip


LATER_FAULTS = (
    "slow_link", "silent_link", "one_way_link",
    "slow_target", "silent_target", "one_way_target", "reset_target",
    "step_clock",
)  # fmt: skip
ONE_WAY_MODES = ("no_requests", "no_answers")
# What a link held back arrives right after it has healed.
HEALED_S = 1.0


class Fault(NamedTuple):
    """A fault, when it starts and how long it lasts."""

    at_s: float
    kind: str
    number: int
    for_s: float


class Exchange(NamedTuple):
    """What a caller sent and got; status 0 is no answer."""

    kind: str
    request_id: str
    gateway: str
    at_s: float
    status: int
    body: bytes
    is_whole: bool


def schedule(seed: int) -> list[Fault]:
    """Returns the faults of a seed."""
    rng = random.Random(seed)
    faults = [_draw(rng, FAULTS) for _ in range(rng.randint(3, 7))]
    faults += [_draw(rng, LATER_FAULTS) for _ in range(rng.randint(0, 3))]
    return sorted(faults)


def _draw(rng, kinds):
    return Fault(
        rng.uniform(0.3, LOAD_S - 2.0),
        rng.choice(kinds),
        rng.randrange(12),
        rng.uniform(0.3, 2.5),
    )


class Callers:
    """Threads that send requests until they are stopped."""

    def __init__(self, deployment, seed):
        self.exchanges: list[Exchange] = []
        self._deployment = deployment
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(seed, i), daemon=True)
            for i in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Waits until each caller has its last answer."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(CALLER_TIMEOUT_S * 2)

    def _run(self, seed, number):
        rng = random.Random(f"{seed}/{number}")
        connection = None
        gateway = None
        count = 0
        while not self._stopped.is_set():
            if connection is None:
                gateway = rng.choice(self._deployment.gateways)
                connection = http.client.HTTPConnection(
                    gateway.address.host,
                    gateway.address.port,
                    timeout=CALLER_TIMEOUT_S,
                )
            kind = rng.choice(("draft", "draft", "booking", "lookup"))
            count += 1
            exchange = send(
                connection, gateway.name, kind, f"{seed}-{number}-{count}"
            )
            self.exchanges.append(exchange)
            if not exchange.is_whole:
                connection.close()
                connection = None
            time.sleep(rng.uniform(0.0, 0.15))


def send(connection, gateway, kind, request_id) -> Exchange:
    """Sends one request and reads its whole answer, if it has one."""
    at_s = time.time()
    body = b""
    status = 0
    headers = {
        "Host": gateway_deployment.HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(int(CALLER_TIMEOUT_S * 1000)),
        "Key": gateway_deployment.KEY,
        "Token-Usage": f"100,{EVENTS}",
    }
    is_whole = False
    try:
        method = "GET" if kind == "lookup" else "POST"
        content = b"{}" if method == "POST" else None
        connection.request(method, f"/{kind}/1", content, headers)
        response = connection.getresponse()
        status = response.status
        while part := response.read1(65536):
            body += part
        # `read1` does not note the end of a body with a length.
        response.read()
        is_whole = True
    except (OSError, http.client.HTTPException):
        connection.close()
    return Exchange(kind, request_id, gateway, at_s, status, body, is_whole)


# Exit codes of a gateway that the soak itself has ended.
ENDED_BY_FAULTS = (-signal.SIGKILL, -signal.SIGTERM)


class Harmed(NamedTuple):
    """A target's link, and when it was harmed."""

    address: str
    from_s: float
    until_s: float


class Injector:
    """Carries out faults on a deployment.

    Attributes:
        harmed: Links to targets that were harmed.
        errors: Faults that could not be carried out.
    """

    def __init__(self, deployment):
        self.harmed: list[Harmed] = []
        self.errors: list[str] = []
        self._deployment = deployment
        self._count = 0
        self.threads: list[threading.Thread] = []
        self._restarting = threading.Lock()

    def start(self, fault: Fault) -> None:
        """Starts a fault; it ends in a thread of its own."""
        thread = threading.Thread(
            target=self._carry_out, args=(fault,), daemon=True
        )
        thread.start()
        self.threads.append(thread)

    def _carry_out(self, fault):
        try:
            getattr(self, f"_{fault.kind}")(fault)
        except Exception as error:
            self.errors.append(f"{fault.kind} failed: {error!r}")

    def _gateway(self, fault):
        gateways = self._deployment.gateways
        return gateways[fault.number % len(gateways)]

    def _target(self, fault):
        names = sorted(self._deployment.targets)
        name = names[fault.number % len(names)]
        return name, self._deployment.targets[name]

    def _kill_gateway(self, fault):
        gateway = self._gateway(fault)
        gateway.kill()
        time.sleep(fault.for_s / 2)
        self._restart(gateway)

    def _term_gateway(self, fault):
        gateway = self._gateway(fault)
        gateway.terminate()
        try:
            gateway.wait(180)
        except process.ProcessFailed:
            gateway.kill()
        self._restart(gateway)

    def _step_clock(self, fault):
        gateway = self._gateway(fault)
        gateway.signal(signal.SIGUSR1)
        time.sleep(fault.for_s)
        gateway.signal(signal.SIGUSR2)

    def _restart(self, gateway):
        with self._restarting:
            while not gateway.running():
                try:
                    gateway.start()
                except process.ProcessFailed:
                    # Another fault may have ended it as it started.
                    if gateway.wait() not in ENDED_BY_FAULTS:
                        raise

    def _pause_gateway(self, fault):
        gateway = self._gateway(fault)
        gateway.freeze()
        time.sleep(fault.for_s)
        gateway.wake()

    def _replacement(self, name):
        self._count += 1
        service = name.partition("-")[0]
        started = self._deployment.start_target(
            f"{service}-new-{self._count}", service
        )
        self._deployment.retired.append(self._deployment.targets[name])
        self._deployment.targets[name] = started

    def _kill_target(self, fault):
        name, target = self._target(fault)
        target.kill()
        time.sleep(fault.for_s / 2)
        self._replacement(name)

    def _pause_target(self, fault):
        _, target = self._target(fault)
        target.freeze()
        time.sleep(fault.for_s)
        target.wake()

    def _term_target(self, fault):
        name, target = self._target(fault)
        self._replacement(name)
        target.terminate()

    def _store(self, fault, **state):
        self._deployment.call_store("POST", "/control", state)
        time.sleep(fault.for_s)
        self._deployment.call_store(
            "POST", "/control", {"mode": "up", "delay_s": 0.0}
        )

    def _store_busy(self, fault):
        self._store(fault, mode="busy")

    def _store_silent(self, fault):
        self._store(fault, mode="silent")

    def _store_lose(self, fault):
        self._store(fault, mode="lose")

    def _store_slow(self, fault):
        self._store(fault, delay_s=0.25)

    def _cut_link(self, fault):
        links = self._deployment.links
        link = links[fault.number % len(links)]
        link.signal(signal.SIGUSR1)
        time.sleep(fault.for_s)
        link.signal(signal.SIGUSR2)

    def _link(self, fault, mode):
        links = self._deployment.links
        link = links[fault.number % len(links)]
        link.set_mode(mode)
        time.sleep(fault.for_s)
        link.set_mode("up")

    def _slow_link(self, fault):
        self._link(fault, "slow")

    def _silent_link(self, fault):
        self._link(fault, "silent")

    def _one_way_link(self, fault):
        self._link(fault, ONE_WAY_MODES[fault.number % 2])

    def _target_link(self, fault, begin, end):
        links = list(self._deployment.target_links.values())
        link = links[fault.number % len(links)]
        address = f"{link.address.host}:{link.address.port}"
        began_s = time.time()
        begin(link)
        time.sleep(fault.for_s)
        end(link)
        self.harmed.append(Harmed(address, began_s, time.time()))

    def _target_mode(self, fault, mode):
        self._target_link(
            fault,
            lambda link: link.set_mode(mode),
            lambda link: link.set_mode("up"),
        )

    def _slow_target(self, fault):
        self._target_mode(fault, "slow")

    def _silent_target(self, fault):
        self._target_mode(fault, "silent")

    def _one_way_target(self, fault):
        self._target_mode(fault, ONE_WAY_MODES[fault.number % 2])

    def _reset_target(self, fault):
        self._target_link(
            fault,
            lambda link: link.signal(signal.SIGUSR1),
            lambda link: link.signal(signal.SIGUSR2),
        )

    def _config(self, fault):
        try:
            self._deployment.put_config()
        except (OSError, ValueError, http.client.HTTPException):
            # Whether it was stored is not known before the end.
            return


class Sampler:
    """Reads the version in force of each gateway, now and then."""

    def __init__(self, deployment):
        self.samples: list[tuple[str, int, int]] = []
        self._deployment = deployment
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self):
        """Ends the sampling."""
        self._stopped.set()
        self._thread.join(10.0)

    def _run(self):
        while not self._stopped.wait(SAMPLE_S):
            for gateway in self._deployment.gateways:
                pid = gateway.pid
                version = gateway.config_version()
                if version is not None and pid == gateway.pid:
                    self.samples.append((gateway.name, pid, version))


def findings(exchanges, journal, samples, harmed=()) -> list[str]:
    """Returns what the history of a run breaks; pure."""
    found = []
    runs: dict[str, list[dict]] = {}
    for row in journal:
        if row["what"] == "run":
            runs.setdefault(row["request"], []).append(row)
        elif row["what"] == "bad_path":
            found.append(f"{row['request']}: a path without all layers")
    for exchange in exchanges:
        found.extend(_exchange_findings(exchange, runs))
    found.extend(_drain_findings(journal, harmed))
    newest: dict[tuple[str, int], int] = {}
    for name, pid, version in samples:
        if version < newest.get((name, pid), 0):
            found.append(f"{name} went back to configuration {version}")
        newest[name, pid] = version
    return found


def _exchange_findings(exchange, runs):
    found = []
    ran = runs.get(exchange.request_id, [])
    place = f"{exchange.kind} {exchange.request_id}"
    if exchange.kind == "booking" and len(ran) > 1:
        found.append(f"{place} ran {len(ran)} times")
    if exchange.kind == "booking" and ran and exchange.status in NOT_RUN:
        found.append(f"{place} was answered {exchange.status} and ran")
    if exchange.status != 200:
        return found
    if exchange.kind != "draft":
        wanted = b"done " + exchange.request_id.encode()
        if exchange.is_whole and exchange.body != wanted:
            found.append(f"{place} got another answer")
        return found
    wanted = b"".join(
        platform_target.event_of(exchange.request_id, number)
        for number in range(1, EVENTS + 1)
    )
    if not wanted.startswith(exchange.body):
        found.append(f"{place}: events are missing, twice or another's")
    elif exchange.is_whole and exchange.body != wanted:
        found.append(f"{place} looks complete and is not")
    return found


def _drain_findings(journal, harmed):
    """Returns work that came after a target had drained.

    What a harmed link has held back since before that is no finding, as the
    platform's rules say too.
    """
    drained_s = {
        row["target"]: row["at_s"]
        for row in journal
        if row["what"] == "draining"
    }
    return [
        f"{row['request']} reached {row['target']} after it drained"
        for row in journal
        if row["what"] == "run"
        and row["at_s"] > drained_s.get(row["target"], 1e12) + DRAIN_S
        and not any(_was_held(row, link) for link in harmed)
    ]


def _was_held(row, link):
    until_s = link.until_s + HEALED_S
    return (
        row["address"] == link.address and link.from_s < row["at_s"] < until_s
    )


def run(seed: int, directory: Path) -> tuple[list[str], list[Exchange]]:
    """Plays one seed; returns its findings and exchanges."""
    deployment = gateway_deployment.Deployment(directory)
    try:
        deployment.wait_until_serving()
        sampler = Sampler(deployment)
        callers = Callers(deployment, seed)
        injector = Injector(deployment)
        began_s = time.monotonic()
        for fault in schedule(seed):
            time.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
            injector.start(fault)
        time.sleep(max(0.0, began_s + LOAD_S - time.monotonic()))
        for thread in injector.threads:
            thread.join(30.0)
        time.sleep(SETTLE_S)
        callers.stop()
        sampler.stop()
        journal = [
            json.loads(line)
            for line in deployment.journal.read_text().splitlines()
        ]
        found = findings(
            callers.exchanges, journal, sampler.samples, injector.harmed
        )
        found.extend(injector.errors)
        found.extend(_recovery_findings(deployment))
        return found, callers.exchanges
    finally:
        deployment.stop()


def _recovery_findings(deployment):
    """Checks that each gateway serves again after the faults."""
    found = []
    newest = deployment.stored_version()
    for gateway in deployment.gateways:
        version = gateway.config_version()
        if version != newest:
            found.append(
                f"{gateway.name} has configuration {version},"
                f" the newest is {newest}"
            )
        for kind in ("draft", "booking"):
            connection = http.client.HTTPConnection(
                gateway.address.host,
                gateway.address.port,
                timeout=CALLER_TIMEOUT_S,
            )
            last = send(connection, gateway.name, kind, f"last-{kind}")
            connection.close()
            if last.status != 200 or not last.is_whole:
                found.append(
                    f"{gateway.name} answers a {kind} with {last.status}"
                    " after the faults"
                )
    return found


def report(seed: int, keep: Path | None) -> bool:
    """Plays one seed and prints its line; tells whether all holds."""
    directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    try:
        found, exchanges = run(seed, directory)
    except process.ProcessFailed as error:
        print(f"NOT RUN seed {seed}: {error}", flush=True)
        shutil.rmtree(directory)
        return False
    whole = sum(one.is_whole and one.status == 200 for one in exchanges)
    kinds = "+".join(fault.kind for fault in schedule(seed))
    verdict = "FAILED" if found else "holds"
    print(
        f"{verdict} seed {seed} {kinds}: {whole} of {len(exchanges)} whole",
        flush=True,
    )
    for finding in found[:5]:
        print(f"  {finding}", flush=True)
    if found and keep is not None:
        shutil.copytree(directory, keep / f"seed-{seed}", dirs_exist_ok=True)
    shutil.rmtree(directory)
    return not found


def main(arguments=None) -> int:
    """Plays seeds; returns 1 if any does not hold."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0:10", help="FIRST:END")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--keep", type=Path, help="logs of failed seeds")
    options = parser.parse_args(arguments)
    first, _, end = options.seeds.partition(":")
    seeds = range(int(first), int(end))
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = list(
            pool.map(lambda seed: report(seed, options.keep), seeds)
        )
    print(f"runs {len(results)}, failed {results.count(False)}")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
