"""Soak test of the gateways under seeded faults.

`python -m tests.functional.gateway_soak --seeds 0:50 --jobs 4` prints a line
for each seed. Callers reuse each connection until it fails, while a series of
faults is injected, which may overlap. Then the recorded history is checked
against the gateways' guarantees.
"""

import argparse
import concurrent.futures
import contextlib
import http.client
import itertools
import json
import math
from pathlib import Path
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
from typing import NamedTuple
import zlib

from tests.fakes import platform_target
from tests.functional import gateway_deployment
from tests.functional import process
from tests.functional import soak_checks
from tests.functional import soak_silences

LOAD_DURATION_S = 8.0
SETTLE_DELAY_S = 4.0
CALLER_COUNT = 8
SAMPLE_INTERVAL_S = 0.2
FAULTS = (
    "kill_gateway", "pause_gateway", "term_gateway", "kill_target",
    "pause_target", "term_target", "store_busy", "store_silent",
    "store_slow", "store_lose", "cut_link", "config",
)  # fmt: skip
# Drawn after the others, which keeps the earlier draws of each seed.
ADDITIONAL_FAULTS = (
    "slow_link", "silent_link", "one_way_link",
    "slow_target", "silent_target", "one_way_target", "reset_target",
    "step_clock",
)  # fmt: skip
# Drawn only on demand, last of all, which keeps the draws of each seed.
RESTORE_FAULT = "restore_store"
UNDELIMITED_FAULT = "undelimited_targets"
SILENCE_FAULT = "silence_targets"
# A sound target may be silent that long.
SILENCE_RANGE_S = (0.8, 1.6)
SILENT_TARGET_COUNT = 4
CRASH_FAULT = "crash_targets"
# Time with sound requests only, and then with some that crash targets.
CRASH_START_S = 5.0
CRASH_DURATION_S = 18.0
CRASH_RATIO = 0.25
CRASH_RESTART_DELAY_S = 1.0
LIMIT_FAULT = "limit_targets"
LIMITS_PER_S = (0.4, 1.2, 3.0)
# Limits begin early and outlast `CONTACT_S`, as they are checked after it.
LIMIT_START_RANGE_S = (0.3, 1.5)
LIMIT_DURATION_RANGE_S = (5.0, 7.0)
# Share of the streams that targets then break off inside an event.
BREAK_OFF_RATIO = 0.3
ONE_WAY_MODES = ("no_requests", "no_answers")
# How long the store is away before it comes back from a copy.
RESTORE_OUTAGE_S = 0.3


class Fault(NamedTuple):
    """A fault of a schedule.

    Attributes:
        at_s: Start, since the start of the load.
        kind: Kind, one of `FAULTS` or `ADDITIONAL_FAULTS`.
        selector: Selects the gateway, target or relay, modulo their number.
        duration_s: Duration.
    """

    at_s: float
    kind: str
    selector: int
    duration_s: float


class ExtraFaults(NamedTuple):
    """Numbers of the faults that are drawn only on demand.

    Attributes:
        restores: Restores of the store.
        undelimited: Times at which the streams of targets have no framing,
            and some are broken off.
        silences: Times at which several targets in turn are silent.
        crashing_parts: Parts of prompts that crash targets.
        excludes_others: Whether all other faults are left out.
        mixed_silences: Times at which silences meet other events, each of a
            kind in `soak_silences.KINDS`.
        limits: Times at which targets name a limit of requests a second.
    """

    restores: int = 0
    undelimited: int = 0
    silences: int = 0
    crashing_parts: int = 0
    excludes_others: bool = False
    mixed_silences: int = 0
    limits: int = 0


NO_EXTRA_FAULTS = ExtraFaults()


def schedule(seed: int, extra: ExtraFaults = NO_EXTRA_FAULTS) -> list[Fault]:
    """Returns the faults drawn from a seed, in the order of their start."""
    rng = random.Random(seed)
    faults = [_draw_fault(rng, FAULTS) for _ in range(rng.randint(3, 7))]
    faults += [
        _draw_fault(rng, ADDITIONAL_FAULTS) for _ in range(rng.randint(0, 3))
    ]
    if extra.excludes_others:
        faults = []
    faults += [
        _draw_fault(rng, (kind,))
        for kind, count in (
            (RESTORE_FAULT, extra.restores),
            (UNDELIMITED_FAULT, extra.undelimited),
        )
        for _ in range(count)
    ]
    faults += [
        _draw_fault(rng, (SILENCE_FAULT,))._replace(
            duration_s=rng.uniform(*SILENCE_RANGE_S)
        )
        for _ in range(extra.silences)
    ]
    faults += [
        _draw_fault(rng, (CRASH_FAULT,))._replace(
            at_s=CRASH_START_S, duration_s=CRASH_DURATION_S
        )
        for _ in range(extra.crashing_parts)
    ]
    faults += [
        _draw_fault(rng, tuple(soak_silences.KINDS))._replace(
            duration_s=rng.uniform(*SILENCE_RANGE_S)
        )
        for _ in range(extra.mixed_silences)
    ]
    faults += [
        _draw_fault(rng, (LIMIT_FAULT,))._replace(
            at_s=rng.uniform(*LIMIT_START_RANGE_S),
            duration_s=rng.uniform(*LIMIT_DURATION_RANGE_S),
        )
        for _ in range(extra.limits)
    ]
    return sorted(faults)


def _draw_fault(rng, kinds):
    return Fault(
        rng.uniform(0.3, LOAD_DURATION_S - 2.0),
        rng.choice(kinds),
        rng.randrange(12),
        rng.uniform(0.3, 2.5),
    )


class LoadCallers:
    """Threads that send requests to random gateways until `stop`.

    Attributes:
        exchanges: Requests with their responses.
        crashing_parts: Parts that some of the drafts have in their prompt.
    """

    def __init__(self, deployment, seed):
        self.exchanges: list[soak_checks.Exchange] = []
        self.crashing_parts: list[int] = []
        self._deployment = deployment
        self._stop_requested = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(seed, i), daemon=True)
            for i in range(CALLER_COUNT)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stops sending and waits for the last responses."""
        self._stop_requested.set()
        for thread in self._threads:
            thread.join(soak_checks.CALLER_TIMEOUT_S * 2)

    def _run(self, seed, number):
        rng = random.Random(f"{seed}/{number}")
        connection = None
        gateway = None
        count = 0
        while not self._stop_requested.is_set():
            if connection is None:
                gateway = rng.choice(self._deployment.gateways)
                connection = http.client.HTTPConnection(
                    gateway.address.host,
                    gateway.address.port,
                    timeout=soak_checks.CALLER_TIMEOUT_S,
                )
            kind = rng.choice(("draft", "draft", "booking", "lookup"))
            count += 1
            parts = self.crashing_parts[:]
            is_sound = not parts or kind != "draft"
            exchange = send(
                connection,
                gateway.name,
                kind,
                f"{seed}-{number}-{count}",
                0
                if is_sound or rng.random() > CRASH_RATIO
                else rng.choice(parts),
                # Drafts that are alike count as one request that crashes.
                resource=f"{seed}-{number}-{count}" if parts else "1",
            )
            self.exchanges.append(exchange)
            if not exchange.is_whole:
                connection.close()
                connection = None
            time.sleep(rng.uniform(0.0, 0.15))


def prompt_prefix(request_id: str, crashing_part: int = 0) -> str:
    """Returns the parts of a prompt: a shared one, maybe another, its own."""
    own_part = zlib.crc32(request_id.encode())
    middle_part = crashing_part or (0xB0 + own_part % 5)
    parts = [0xA0 + own_part % 3, middle_part, 0x100 + own_part]
    if middle_part == 0xB0:
        del parts[1]
    return ",".join(f"{part:x}:30" for part in parts)


def send(
    connection, gateway, kind, request_id, crashing_part=0, resource="1"
) -> soak_checks.Exchange:
    """Sends one request and reads its response up to the end or a failure."""
    at_s = time.time()
    body = b""
    status = 0
    headers = {
        "Host": gateway_deployment.HOSTNAME,
        "Request-Id": request_id,
        "Deadline-Ms": str(int(soak_checks.CALLER_TIMEOUT_S * 1000)),
        "Key": gateway_deployment.API_KEY,
        "Token-Usage": f"100,{soak_checks.EVENT_COUNT}",
        "Prompt-Prefix": prompt_prefix(request_id, crashing_part),
    }
    is_whole = False
    try:
        method = "GET" if kind == "lookup" else "POST"
        content = b"{}" if method == "POST" else None
        connection.request(method, f"/{kind}/{resource}", content, headers)
        response = connection.getresponse()
        status = response.status
        while part := response.read1(65536):
            body += part
        # `read1` does not close the response at the end of a body with a
        # Content-Length, so the connection could not be used again.
        response.read()
        is_whole = True
    except (OSError, http.client.HTTPException):
        connection.close()
    return soak_checks.Exchange(
        kind,
        request_id,
        gateway,
        at_s,
        status,
        body,
        is_whole,
        time.time(),
        crashing_part,
    )


# Exit codes of a gateway that an injected fault has ended.
FAULT_EXIT_CODES = (-signal.SIGKILL, -signal.SIGTERM)


class Injector:
    """Injects faults into a deployment.

    The method `_KIND`, or the function in `soak_silences.KINDS`, injects and
    reverts the fault of that kind.

    Attributes:
        impaired: Links to targets that had a fault.
        ended: Links to targets that were killed or terminated.
        paused: Links to targets that were suspended for any duration.
        disturbed_gateways: Gateways that were killed, suspended or had their
            clock stepped.
        restarted: Names of the gateways that were told to stop.
        deployment: The deployment.
        silencing: Held while targets are silent.
        errors: Messages of faults that could not be injected.
        threads: Threads that inject faults.
    """

    def __init__(self, deployment, crashing_parts):
        self.impaired: list[soak_checks.ImpairedLink] = []
        self.ended: list[soak_checks.ImpairedLink] = []
        self.paused: list[soak_checks.ImpairedLink] = []
        self.disturbed_gateways: list[soak_checks.DisturbedGateway] = []
        self.restarted: set[str] = set()
        self.errors: list[str] = []
        self.deployment = deployment
        self._numbers = itertools.count(1)
        self.threads: list[threading.Thread] = []
        self._restarting = threading.Lock()
        self.silencing = threading.Lock()
        self._crashing_parts = crashing_parts

    def start(self, fault: Fault) -> None:
        """Injects and reverts a fault in a new thread."""
        thread = threading.Thread(
            target=self._run_fault, args=(fault,), daemon=True
        )
        thread.start()
        self.threads.append(thread)

    def _run_fault(self, fault):
        try:
            if fault.kind in soak_silences.KINDS:
                soak_silences.KINDS[fault.kind](self, fault)
            else:
                getattr(self, f"_{fault.kind}")(fault)
        except Exception as error:
            self.errors.append(f"{fault.kind} failed: {error!r}")

    def _select_gateway(self, fault):
        gateways = self.deployment.gateways
        return gateways[fault.selector % len(gateways)]

    def select_target(self, fault):
        """Returns the name and process of the target of a fault."""
        names = sorted(self.deployment.targets)
        name = names[fault.selector % len(names)]
        return name, self.deployment.targets[name]

    def _kill_gateway(self, fault):
        gateway = self._select_gateway(fault)
        with self._disturbed(gateway):
            gateway.kill()
            time.sleep(fault.duration_s / 2)
            self._restart(gateway)

    def _term_gateway(self, fault):
        gateway = self._select_gateway(fault)
        self.restarted.add(gateway.name)
        gateway.terminate()
        try:
            gateway.wait(180)
        except process.ProcessFailed:
            with self._disturbed(gateway):
                gateway.kill()
        self._restart(gateway)

    def _step_clock(self, fault):
        gateway = self._select_gateway(fault)
        with self._disturbed(gateway):
            gateway.signal(signal.SIGUSR1)
            time.sleep(fault.duration_s)
            gateway.signal(signal.SIGUSR2)

    @contextlib.contextmanager
    def _disturbed(self, gateway):
        """Records that a gateway is out of touch, also a while later."""
        start_s = time.time()
        yield
        until_s = time.time() + soak_checks.CONTACT_S
        self.disturbed_gateways.append(
            soak_checks.DisturbedGateway(gateway.name, start_s, until_s)
        )

    def _restart(self, gateway):
        with self._restarting:
            while not gateway.running():
                try:
                    gateway.start()
                except process.ProcessFailed:
                    # Another fault may have killed it during its start.
                    if gateway.wait() not in FAULT_EXIT_CODES:
                        raise

    def _pause_gateway(self, fault):
        gateway = self._select_gateway(fault)
        with self._disturbed(gateway):
            gateway.freeze()
            time.sleep(fault.duration_s)
            gateway.resume()

    def replace_target(self, name):
        """Starts another target in place of one, which is left running."""
        number = next(self._numbers)
        service = name.partition("-")[0]
        started = self.deployment.start_target(
            f"{service}-new-{number}", service
        )
        self.deployment.replaced_targets.append(self.deployment.targets[name])
        self.deployment.targets[name] = started

    def _kill_target(self, fault):
        name, target = self.select_target(fault)
        self._record_end(target)
        target.kill()
        time.sleep(fault.duration_s / 2)
        self.replace_target(name)

    def _pause_target(self, fault):
        _, target = self.select_target(fault)
        address = self.deployment.registered_address(target)
        start_s = time.time()
        target.freeze()
        time.sleep(fault.duration_s)
        target.resume()
        self.paused.append(
            soak_checks.ImpairedLink(address, start_s, time.time())
        )

    def _term_target(self, fault):
        name, target = self.select_target(fault)
        self.replace_target(name)
        self._record_end(target)
        target.terminate()

    def _record_end(self, target):
        address = self.deployment.registered_address(target)
        self.ended.append(
            soak_checks.ImpairedLink(address, time.time(), math.inf)
        )

    def _silence_targets(self, fault):
        """Suspends targets in turn, two to four of them at a time."""
        overlap_count = 2 + fault.selector // 4
        with self.silencing:
            targets = self._select_silent_targets(fault)
            for number in range(len(targets) + overlap_count - 1):
                if number < len(targets):
                    targets[number].freeze()
                time.sleep(fault.duration_s / overlap_count)
                if number >= overlap_count - 1:
                    targets[number - overlap_count + 1].resume()
            time.sleep(soak_silences.RECOVERY_S)

    def _select_silent_targets(self, fault):
        """Returns targets that began runs, or else the later stages."""
        begun = {
            row["address"]
            for row in self.deployment.read_journal()
            if row["what"] == "run"
        }
        service = "plain" if fault.selector % 4 == 0 else "model"
        is_first = fault.selector % 4 != 1
        targets = [
            target
            for name, target in sorted(self.deployment.targets.items())
            if name.startswith(service)
            and (self.deployment.registered_address(target) in begun)
            == is_first
        ]
        return targets[:SILENT_TARGET_COUNT]

    def _with_store_state(self, fault, **state):
        self.deployment.call_store("POST", "/control", state)
        time.sleep(fault.duration_s)
        self.deployment.call_store(
            "POST", "/control", {"mode": "up", "delay_s": 0.0}
        )

    def _store_busy(self, fault):
        self._with_store_state(fault, mode="busy")

    def _store_silent(self, fault):
        self._with_store_state(fault, mode="silent")

    def _store_lose(self, fault):
        self._with_store_state(fault, mode="lose")

    def _restore_store(self, fault):
        """Restores the store from a copy, after a moment without it."""
        store_call = self.deployment.call_store
        store_call("POST", "/control", {"copy": True})
        time.sleep(fault.duration_s)
        store_call("POST", "/control", {"mode": "busy"})
        time.sleep(RESTORE_OUTAGE_S)
        store_call("POST", "/control", {"mode": "up", "restore": True})
        self.deployment.rewrite_config()

    def _store_slow(self, fault):
        self._with_store_state(fault, delay_s=0.25)

    def _cut_link(self, fault):
        relays = self.deployment.store_relays
        relay = relays[fault.selector % len(relays)]
        relay.signal(signal.SIGUSR1)
        time.sleep(fault.duration_s)
        relay.signal(signal.SIGUSR2)

    def _with_store_relay_mode(self, fault, mode):
        relays = self.deployment.store_relays
        relay = relays[fault.selector % len(relays)]
        relay.set_mode(mode)
        time.sleep(fault.duration_s)
        relay.set_mode("up")

    def _slow_link(self, fault):
        self._with_store_relay_mode(fault, "slow")

    def _silent_link(self, fault):
        self._with_store_relay_mode(fault, "silent")

    def _one_way_link(self, fault):
        self._with_store_relay_mode(fault, ONE_WAY_MODES[fault.selector % 2])

    def _with_impaired_target_relay(self, fault, begin, end):
        relays = list(self.deployment.target_relays.values())
        relay = relays[fault.selector % len(relays)]
        address = f"{relay.address.host}:{relay.address.port}"
        start_s = time.time()
        begin(relay)
        time.sleep(fault.duration_s)
        end(relay)
        self.impaired.append(
            soak_checks.ImpairedLink(address, start_s, time.time())
        )

    def _with_target_relay_mode(self, fault, mode):
        self._with_impaired_target_relay(
            fault,
            lambda relay: relay.set_mode(mode),
            lambda relay: relay.set_mode("up"),
        )

    def _slow_target(self, fault):
        self._with_target_relay_mode(fault, "slow")

    def _silent_target(self, fault):
        self._with_target_relay_mode(fault, "silent")

    def _one_way_target(self, fault):
        self._with_target_relay_mode(fault, ONE_WAY_MODES[fault.selector % 2])

    def _reset_target(self, fault):
        self._with_impaired_target_relay(
            fault,
            lambda relay: relay.signal(signal.SIGUSR1),
            lambda relay: relay.signal(signal.SIGUSR2),
        )

    def _crash_targets(self, fault):
        """Lets requests crash targets, which are started again."""
        part = platform_target.CRASHING_PARTS[fault.selector]
        self._crashing_parts.append(part)
        end_s = time.monotonic() + fault.duration_s
        while time.monotonic() < end_s:
            time.sleep(SAMPLE_INTERVAL_S)
            crashed = [
                name
                for name, target in self.deployment.targets.items()
                if not target.running()
                and target.wait() == platform_target.CRASH_EXIT_CODE
            ]
            if crashed:
                time.sleep(CRASH_RESTART_DELAY_S)
            for name in crashed:
                self.replace_target(name)
        self._crashing_parts.remove(part)

    def _limit_targets(self, fault):
        """Lets one target, or all of a service, name a limit."""
        name, target = self.select_target(fault)
        targets = [target]
        if fault.selector % 4:
            service = "plain" if fault.selector % 2 else "model"
            targets = [
                target
                for name, target in sorted(self.deployment.targets.items())
                if name.startswith(service)
            ]
        limit_per_s = LIMITS_PER_S[fault.selector % len(LIMITS_PER_S)]
        for limit, pause_s in ((limit_per_s, fault.duration_s), (None, 0.0)):
            for target in targets:
                _set_faults(target, limit_per_s=limit)
            time.sleep(pause_s)

    def _undelimited_targets(self, fault):
        """Lets streams end with their connection, some inside an event."""
        models = [
            target
            for name, target in sorted(self.deployment.targets.items())
            if name.startswith("model")
        ]
        for ratio in (BREAK_OFF_RATIO, None):
            for target in models:
                _set_faults(target, break_off_ratio=ratio)
            time.sleep(fault.duration_s)

    def _config(self, fault):
        try:
            self.deployment.put_config()
        except (OSError, ValueError, http.client.HTTPException):
            # It may have been stored although the response was lost;
            # the stored version is read at the end of the run.
            return


def _set_faults(target, **faults):
    """Sets the faults of a target, unless another fault has stopped it."""
    connection = http.client.HTTPConnection(
        target.address.host,
        target.address.port,
        timeout=soak_checks.CALLER_TIMEOUT_S,
    )
    try:
        connection.request("POST", "/faults", json.dumps(faults))
        connection.getresponse().read()
    except (OSError, http.client.HTTPException):
        return
    finally:
        connection.close()


class ConfigVersionSampler:
    """Samples the configuration version in force at each gateway.

    Attributes:
        samples: Name, process id and version, in the order of sampling.
    """

    def __init__(self, deployment):
        self.samples: list[tuple[str, int, int]] = []
        self._deployment = deployment
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self):
        """Stops sampling."""
        self._stop_requested.set()
        self._thread.join(10.0)

    def _run(self):
        while not self._stop_requested.wait(SAMPLE_INTERVAL_S):
            for gateway in self._deployment.gateways:
                pid = gateway.pid
                version = gateway.config_version()
                if version is not None and pid == gateway.pid:
                    self.samples.append((gateway.name, pid, version))


def run(
    seed: int,
    directory: Path,
    extra: ExtraFaults = NO_EXTRA_FAULTS,
) -> tuple[list[str], list[soak_checks.Exchange]]:
    """Runs the soak with one seed; returns violations and exchanges.

    Args:
        seed: Seed of faults and requests.
        directory: Directory for settings and logs.
        extra: Faults on demand, beside the others.
    """
    faults = schedule(seed, extra)
    has_many_paths = (
        extra.silences or extra.mixed_silences or extra.crashing_parts
    )
    options = gateway_deployment.MANY_PATHS if has_many_paths else {}
    deployment = gateway_deployment.Deployment(directory, **options)
    try:
        deployment.wait_until_serving()
        sampler = ConfigVersionSampler(deployment)
        callers = LoadCallers(deployment, seed)
        injector = Injector(deployment, callers.crashing_parts)
        start_s = time.monotonic()
        for fault in faults:
            time.sleep(max(0.0, start_s + fault.at_s - time.monotonic()))
            injector.start(fault)
        time.sleep(max(0.0, start_s + LOAD_DURATION_S - time.monotonic()))
        for thread in injector.threads:
            thread.join(30.0)
        time.sleep(SETTLE_DELAY_S)
        callers.stop()
        sampler.stop()
        problems = soak_checks.check_history(
            callers.exchanges,
            deployment.read_journal(),
            sampler.samples,
            injector.impaired,
            injector.ended,
            injector.paused,
            injector.disturbed_gateways,
        )
        if all(fault.kind == CRASH_FAULT for fault in faults):
            journal = deployment.read_journal()
            problems.extend(
                soak_checks.check_crashes(callers.exchanges, journal)
            )
        disturbed_names = {one.name for one in injector.disturbed_gateways}
        problems.extend(
            soak_checks.check_limits(
                callers.exchanges,
                deployment.read_journal(),
                disturbed_names | injector.restarted,
            )
        )
        problems.extend(injector.errors)
        problems.extend(_check_recovery(deployment))
        return problems, callers.exchanges
    finally:
        deployment.stop()


def _check_recovery(deployment):
    """Returns the gateways that do not serve normally after the faults."""
    problems = []
    newest = deployment.stored_version()
    for gateway in deployment.gateways:
        version = gateway.config_version()
        if version != newest:
            problems.append(
                f"{gateway.name} has configuration {version},"
                f" the newest is {newest}"
            )
        for kind in ("draft", "booking"):
            connection = http.client.HTTPConnection(
                gateway.address.host,
                gateway.address.port,
                timeout=soak_checks.CALLER_TIMEOUT_S,
            )
            probe = send(connection, gateway.name, kind, f"last-{kind}")
            connection.close()
            if probe.status != 200 or not probe.is_whole:
                problems.append(
                    f"{gateway.name} answers a {kind} with {probe.status}"
                    " after the faults"
                )
    return problems


def run_and_report(
    seed: int, kept_logs: Path | None, extra: ExtraFaults
) -> bool:
    """Runs one seed and prints its result.

    Args:
        seed: Seed of faults and requests.
        extra: Faults on demand.
        kept_logs: Directory for the logs of a failed run; None to drop them.

    Returns:
        Whether there were no violations.
    """
    directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    try:
        problems, exchanges = run(seed, directory, extra)
    except process.ProcessFailed as error:
        print(f"NOT RUN seed {seed}: {error}", flush=True)
        shutil.rmtree(directory)
        return False
    whole = sum(
        exchange.is_whole and exchange.status == 200 for exchange in exchanges
    )
    faults = schedule(seed, extra)
    kinds = "+".join(fault.kind for fault in faults)
    verdict = "FAILED" if problems else "holds"
    print(
        f"{verdict} seed {seed} {kinds}: {whole} of {len(exchanges)} complete",
        flush=True,
    )
    for finding in problems[:5]:
        print(f"  {finding}", flush=True)
    if problems and kept_logs is not None:
        shutil.copytree(
            directory, kept_logs / f"seed-{seed}", dirs_exist_ok=True
        )
    shutil.rmtree(directory)
    return not problems


def main(arguments=None) -> int:
    """Runs a range of seeds; returns 1 if any failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0:10", help="FIRST:END")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument(
        "--restores", type=int, default=0, help="restores of the store a seed"
    )
    parser.add_argument(
        "--undelimited",
        type=int,
        default=0,
        help="times a seed at which streams have no framing",
    )
    parser.add_argument(
        "--silences",
        type=int,
        default=0,
        help="times a seed at which several targets in turn are silent",
    )
    parser.add_argument(
        "--mixed-silences",
        type=int,
        default=0,
        help="times a seed at which silences meet other events",
    )
    parser.add_argument(
        "--crashing-parts",
        type=int,
        default=0,
        help="parts of prompts a seed that crash targets",
    )
    parser.add_argument(
        "--limits",
        type=int,
        default=0,
        help="times a seed at which targets name a limit",
    )
    parser.add_argument(
        "--only",
        action="store_true",
        help="leave out all faults that have no option here",
    )
    parser.add_argument(
        "--keep", type=Path, help="directory for the logs of failed seeds"
    )
    options = parser.parse_args(arguments)
    first, _, end = options.seeds.partition(":")
    seeds = range(int(first), int(end))
    extra = ExtraFaults(
        options.restores,
        options.undelimited,
        options.silences,
        options.crashing_parts,
        options.only,
        options.mixed_silences,
        options.limits,
    )
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = list(
            pool.map(
                lambda seed: run_and_report(seed, options.keep, extra),
                seeds,
            )
        )
    print(f"runs {len(results)}, failed {results.count(False)}")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
