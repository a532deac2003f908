"""Measures how long callers wait after a failure.

Runs real processes against fakes on one machine: three chains of two stages
and two entries. With --relayed, a TCP relay is in front of the agent of each
second stage; link-cut needs it. Each trial opens streams, injects one fault
at a random time and then sends new requests.

    python -m benchmarks.recovery later-engine first-agent --trials 30
"""

import argparse
from collections.abc import Callable
import json
import math
from pathlib import Path
import random
import tempfile
import threading
import time
from typing import Any
from typing import NamedTuple

from benchmarks import percentiles
from tests.functional import client
from tests.functional import harness

CHAIN_COUNT = 3
STREAM_COUNT = 6
NEW_REQUEST_COUNT = 3
STEP_S = 0.007  # Two stages and the hops take about 20 ms per token
MAX_STREAM_TOKENS = 400
MAX_NEW_REQUEST_TOKENS = 8
FAULT_DELAY_RANGE_S = (0.4, 0.7)
MAX_OBSERVATION_S = 5.0
MIN_OBSERVATION_S = 0.3
SETTLED_TOKENS = 10
WAIT_GOAL_S = 1.0
WORKSPACE_KEY = harness.KEYS["events"]


class Fault(NamedTuple):
    """A fault that a trial injects, and how to undo it.

    Attributes:
        stage: Stage of the agent whose streams are affected; -1 if the fault
            is injected at an entry.
        inject: Injects the fault, given the name of the agent or entry.
        undo: Undoes it, given the same name.
    """

    stage: int
    inject: Callable[[harness.Deployment, str], None]
    undo: Callable[[harness.Deployment, str], None]


class StreamReader:
    """Reads a stream in a thread and records when its tokens arrive.

    Attributes:
        token_times_s: Monotonic times at which the tokens arrived.
        is_stopped: Whether `stop` was called.
        final_exchange: The exchange if the stream has ended, else None.
        request: Request id.
    """

    def __init__(self, entry: Any, name: str) -> None:
        self.token_times_s: list[float] = []
        self.is_stopped = False
        self.final_exchange: Any = None
        self._stream = client.Stream(
            entry, WORKSPACE_KEY, name, name, max_tokens=MAX_STREAM_TOKENS
        )
        self.request = self._stream.exchange.request
        self._thread = threading.Thread(target=self._read)
        self._thread.start()

    def stop(self) -> None:
        """Closes the connection after the next token."""
        self.is_stopped = True
        self._thread.join()

    def stall_s(self, fault_s: float) -> float:
        """Returns the longest gap between tokens that ends after a fault.

        It is infinite if no token arrived after the fault or the stream
        failed, and 0 if the stream completed.
        """
        after = [at_s for at_s in self.token_times_s if at_s > fault_s]
        if self.final_exchange is not None and self.final_exchange.whole:
            return 0.0
        if not after or self.final_exchange is not None:
            return math.inf
        before = [at_s for at_s in self.token_times_s if at_s <= fault_s]
        times_s = [*before[-1:], *after]
        gaps_s = [
            next_s - previous_s
            for previous_s, next_s in zip(times_s, times_s[1:], strict=False)
        ]
        return max(gaps_s, default=after[0] - fault_s)

    def is_settled(self, fault_s: float) -> bool:
        """Returns whether the stream resumed after a fault, or has ended."""
        after = sum(at_s > fault_s for at_s in self.token_times_s)
        return after >= SETTLED_TOKENS or self.final_exchange is not None

    def _read(self) -> None:
        while not self.is_stopped:
            token_count = len(self.token_times_s)
            exchange = self._stream.read(token_count + 1)
            if len(exchange.tokens) == token_count:
                if not self.is_stopped:
                    self.final_exchange = exchange
                return
            new_tokens = len(exchange.tokens) - token_count
            self.token_times_s += [time.monotonic()] * new_tokens
        self._stream.close()


def _restart_engine(deployment: harness.Deployment, name: str) -> None:
    """Restarts the engine of an agent on the same port."""
    process = deployment.engines[f"{name}-target"].process
    process.arguments[1] = str(process.address.port)
    process.start()


def _restart_entry(deployment: harness.Deployment, name: str) -> None:
    deployment.entries[name].start()


FAULTS = {
    "none": Fault(1, lambda *_: None, lambda *_: None),
    "later-engine": Fault(
        1,
        lambda deployment, name: deployment.engines[
            f"{name}-target"
        ].process.kill(),
        _restart_engine,
    ),
    "later-agent": Fault(
        1,
        lambda deployment, name: deployment.agents[name].kill(),
        lambda deployment, name: deployment.restart_agent(name),
    ),
    "first-agent": Fault(
        0,
        lambda deployment, name: deployment.agents[name].kill(),
        lambda deployment, name: deployment.restart_agent(name),
    ),
    "link-cut": Fault(
        1,
        lambda deployment, name: deployment.cut_link(name),
        lambda deployment, name: deployment.restore_link(name),
    ),
    "later-freeze": Fault(
        1,
        lambda deployment, name: deployment.agents[name].freeze(),
        lambda deployment, name: deployment.agents[name].resume(),
    ),
    "first-freeze": Fault(
        0,
        lambda deployment, name: deployment.agents[name].freeze(),
        lambda deployment, name: deployment.agents[name].resume(),
    ),
    "entry": Fault(
        -1,
        lambda deployment, name: deployment.entries[name].kill(),
        _restart_entry,
    ),
}


class Samples(NamedTuple):
    """Waiting times of callers in the trials of one fault.

    Attributes:
        streams_s: Longest stall of each stream that the fault affected.
        answers_s: Time from the fault to the end of the response, for each
            new request; infinite if the response is not complete.
    """

    streams_s: list[float]
    answers_s: list[float]


def start_deployment(directory: Path, relayed: bool) -> harness.Deployment:
    """Starts the processes with the default link settings."""
    deployment = harness.Deployment(directory)
    deployment.put_config(harness.config())

    def start_stage(name: str) -> None:
        first_layer = 4 * int(name[-1])
        deployment.start_engine(
            f"{name}-target", first_layer, first_layer + 4, 8, step_s=STEP_S
        )
        deployment.start_agent(
            name,
            relayed=relayed and name[-1] == "1",
            links=_link_settings(),
        )

    names = [
        f"c{chain}s{stage}" for chain in range(CHAIN_COUNT) for stage in (0, 1)
    ]
    harness.start_together(start_stage, names)
    for name in ("e0", "e1"):
        deployment.start_entry(name, links=_link_settings())
    deployment.wait_ready()
    for name in names:
        deployment.wait_routable(name)
    return deployment


def _link_settings() -> dict[str, Any]:
    """Returns settings that leave all but the secret to the defaults."""
    return {"secret": harness.LINK_SECRET}


def run_trials(
    deployment: harness.Deployment, fault_name: str, trials: int, seed: int
) -> Samples:
    """Runs the trials of one fault.

    A fault is undone while the next trial opens its streams. That trial waits
    for this before it injects its own fault at another process, so that only
    one target at a time is down.
    """
    rng = random.Random(f"{fault_name} {seed}")
    samples = Samples([], [])
    process_name = ""
    undo_thread = None
    for number in range(trials):
        trial = Trial(deployment, fault_name, f"{fault_name} {number}", rng)
        previous_process = process_name
        process_name = trial.run(previous_process, samples, undo_thread)
        undo_thread = threading.Thread(
            target=_undo_fault, args=(deployment, fault_name, process_name)
        )
        undo_thread.start()
        if fault_name == "entry":
            undo_thread.join()
    undo_thread.join()
    return samples


def _undo_fault(
    deployment: harness.Deployment, fault_name: str, process_name: str
) -> None:
    """Undoes a fault and waits until the process serves requests again."""
    FAULTS[fault_name].undo(deployment, process_name)
    if fault_name == "entry":
        deployment.wait_process_ready(deployment.entries[process_name])
        deployment.wait_serving(process_name)
    else:
        deployment.wait_process_ready(deployment.agents[process_name])
        deployment.wait_routable(process_name)


class Trial(NamedTuple):
    """One fault while streams run.

    Attributes:
        deployment: Where to inject it.
        fault_name: Key of `FAULTS`.
        label: Prefix of the names of its requests.
        rng: Generator of the time of the fault.
    """

    deployment: harness.Deployment
    fault_name: str
    label: str
    rng: random.Random

    def run(
        self,
        previous_process: str,
        samples: Samples,
        undo_thread: threading.Thread | None,
    ) -> str:
        """Adds the waiting times of callers to the samples.

        Args:
            previous_process: Agent or entry at which the previous trial
                injected its fault; empty in the first trial.
            samples: Updated in place.
            undo_thread: Undoes the previous fault; joined before the next is
                injected.

        Returns:
            The agent or entry at which the fault was injected.
        """
        entry = "e1" if previous_process == "e0" else "e0"
        readers = self._open_streams(entry)
        time.sleep(self.rng.uniform(*FAULT_DELAY_RANGE_S))
        if undo_thread is not None:
            undo_thread.join()
        process_name, affected_readers = self._choose_process(
            entry, previous_process, readers
        )
        fault = FAULTS[self.fault_name]
        fault_s = time.monotonic()
        fault.inject(self.deployment, process_name)
        other_entry = "e1" if process_name == "e0" else "e0"
        load = self._send_new_requests(
            other_entry if self.fault_name == "entry" else entry
        )
        _wait_until_settled(affected_readers, fault_s)
        samples.streams_s.extend(
            affected_reader.stall_s(fault_s)
            for affected_reader in affected_readers
        )
        samples.answers_s.extend(
            exchange.ended_s - fault_s if exchange.whole else math.inf
            for exchange in load.results()
        )
        for reader in readers:
            reader.stop()
        return process_name

    def _open_streams(self, entry: str) -> list[StreamReader]:
        address = self.deployment.callers(entry)
        return [
            StreamReader(address, f"{self.label} {index}")
            for index in range(STREAM_COUNT)
        ]

    def _choose_process(
        self, entry: str, previous_process: str, readers: list[StreamReader]
    ) -> tuple[str, list[StreamReader]]:
        """Returns where to inject the fault, and the affected streams.

        This is the entry, or the agent with the most streams in the stage of
        the fault, other than that of the previous trial.
        """
        stage = FAULTS[self.fault_name].stage
        if stage < 0:
            return entry, []
        names = [f"c{chain}s{stage}" for chain in range(CHAIN_COUNT)]
        readers_by_agent = {
            name: _readers_through_agent(self.deployment, name, readers)
            for name in names
            if name != previous_process
        }
        agent = max(
            readers_by_agent, key=lambda name: len(readers_by_agent[name])
        )
        return agent, readers_by_agent[agent]

    def _send_new_requests(self, entry: str) -> client.Load:
        load = client.Load()
        for index in range(NEW_REQUEST_COUNT):
            name = f"{self.label} new {index}"
            load.send(
                client.complete,
                self.deployment.callers(entry),
                WORKSPACE_KEY,
                name,
                name,
                max_tokens=MAX_NEW_REQUEST_TOKENS,
            )
        return load


def _readers_through_agent(
    deployment: harness.Deployment, agent: str, readers: list[StreamReader]
) -> list[StreamReader]:
    """Returns the readers of streams that run on the engine of an agent."""
    requests = {
        line["sequence"].partition("/")[0]
        for line in deployment.engine_history(f"{agent}-target")
        if line["part"] == "runs"
    }
    return [reader for reader in readers if reader.request in requests]


def _wait_until_settled(readers: list[StreamReader], fault_s: float) -> None:
    """Waits until all streams resumed after a fault, or have ended."""
    time.sleep(MIN_OBSERVATION_S)
    while time.monotonic() < fault_s + MAX_OBSERVATION_S:
        if all(reader.is_settled(fault_s) for reader in readers):
            return
        time.sleep(0.02)


def summarize(
    fault_name: str, quantity: str, values_s: list[float]
) -> dict[str, Any]:
    """Returns a row of the table."""
    return {
        "fault": fault_name,
        "measured": quantity,
        "count": len(values_s),
        "median_s": percentiles.percentile(values_s, 0.5),
        "p95_s": percentiles.percentile(values_s, 0.95),
        "worst_s": max(values_s, default=math.nan),
        "within_target": sum(value <= WAIT_GOAL_S for value in values_s),
    }


def main(arguments: list[str] | None = None) -> None:
    """Measures the faults named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kinds", nargs="+", choices=FAULTS)
    parser.add_argument("--trials", type=int, default=30)
    parser.add_argument("--relayed", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as directory:
        deployment = start_deployment(Path(directory), options.relayed)
        try:
            for fault_name in options.kinds:
                samples = run_trials(
                    deployment, fault_name, options.trials, options.seed
                )
                for quantity, values_s in samples._asdict().items():
                    print(
                        json.dumps(summarize(fault_name, quantity, values_s)),
                        flush=True,
                    )
        finally:
            deployment.stop()


if __name__ == "__main__":
    main()
