"""Measures how long callers wait after a failure.

Real processes on the stand-ins, on one machine: three chains of two
stages and two entries; with --relayed, a relay before each later stage, as
link-cut needs. Each trial opens streams and, at a random moment, injects one
fault; new requests follow at once.

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

CHAINS = 3
STREAMS = 6
NEW_REQUESTS = 3
STEP_S = 0.007  # Two stages and the hops make about 20 ms a token.
STREAM_TOKENS = 400
NEW_TOKENS = 8
LEAD_S = (0.4, 0.7)
OBSERVED_S = 5.0
OBSERVED_MIN_S = 0.3
SETTLED_TOKENS = 10
TARGET_S = 1.0
KEY = harness.KEYS["events"]


class Fault(NamedTuple):
    """A fault that one trial injects, and how it is mended.

    Attributes:
        stage: Stage whose streams are hit; -1 if an entry is.
        inject: Injects the fault at an agent, or at an entry.
        mend: Undoes it.
    """

    stage: int
    inject: Callable[[harness.Deployment, str], None]
    mend: Callable[[harness.Deployment, str], None]


class Watcher:
    """A stream and the times at which its tokens came."""

    def __init__(self, entry: Any, name: str) -> None:
        self.times_s: list[float] = []
        self.stopped = False
        self.exchange: Any = None
        self._stream = client.Stream(
            entry, KEY, name, name, max_tokens=STREAM_TOKENS
        )
        self.request = self._stream.exchange.request
        self._thread = threading.Thread(target=self._read)
        self._thread.start()

    def stop(self) -> None:
        """Hangs up after the next token."""
        self.stopped = True
        self._thread.join()

    def stall_s(self, fault_s: float) -> float:
        """Returns the longest gap that ends after a fault.

        Infinite if no token came after it, zero if the answer was whole.
        """
        after = [at_s for at_s in self.times_s if at_s > fault_s]
        if self.exchange is not None and self.exchange.whole:
            return 0.0
        if not after or self.exchange is not None:
            return math.inf
        before = [at_s for at_s in self.times_s if at_s <= fault_s]
        times_s = [*before[-1:], *after]
        gaps_s = [
            late - early
            for early, late in zip(times_s, times_s[1:], strict=False)
        ]
        return max(gaps_s, default=after[0] - fault_s)

    def settled(self, fault_s: float) -> bool:
        """Tells whether the stream goes on after a fault, or has ended."""
        after = sum(at_s > fault_s for at_s in self.times_s)
        return after >= SETTLED_TOKENS or self.exchange is not None

    def _read(self) -> None:
        while not self.stopped:
            have = len(self.times_s)
            exchange = self._stream.read(have + 1)
            if len(exchange.tokens) == have:
                if not self.stopped:
                    self.exchange = exchange
                return
            new = len(exchange.tokens) - have
            self.times_s += [time.monotonic()] * new
        self._stream.close()


def _restart_engine(deployment: harness.Deployment, name: str) -> None:
    """Starts an engine again at its old port."""
    process = deployment.engines[f"{name}-target"].process
    process.arguments[1] = str(process.address.port)
    process.start()


def _restart_entry(deployment: harness.Deployment, name: str) -> None:
    deployment.entries[name].start()


FAULTS = {
    "none": Fault(1, lambda *_: None, lambda *_: None),
    "later-engine": Fault(
        1,
        lambda d, name: d.engines[f"{name}-target"].process.kill(),
        _restart_engine,
    ),
    "later-agent": Fault(
        1,
        lambda d, name: d.agents[name].kill(),
        lambda d, name: d.restart_agent(name),
    ),
    "first-agent": Fault(
        0,
        lambda d, name: d.agents[name].kill(),
        lambda d, name: d.restart_agent(name),
    ),
    "link-cut": Fault(
        1,
        lambda d, name: d.cut_link(name),
        lambda d, name: d.restore_link(name),
    ),
    "later-freeze": Fault(
        1,
        lambda d, name: d.agents[name].freeze(),
        lambda d, name: d.agents[name].resume(),
    ),
    "first-freeze": Fault(
        0,
        lambda d, name: d.agents[name].freeze(),
        lambda d, name: d.agents[name].resume(),
    ),
    "entry": Fault(-1, lambda d, name: d.entries[name].kill(), _restart_entry),
}


class Samples(NamedTuple):
    """What the trials of one fault gave, in seconds."""

    streams_s: list[float]
    answers_s: list[float]


def start(directory: Path, relayed: bool) -> harness.Deployment:
    """Starts the processes, with the product's own link settings."""
    deployment = harness.Deployment(directory)
    deployment.put_config(harness.config())

    def start_stage(name: str) -> None:
        first = 4 * int(name[-1])
        deployment.start_engine(
            f"{name}-target", first, first + 4, 8, step_s=STEP_S
        )
        deployment.start_agent(
            name, relayed=relayed and name[-1] == "1", links=_links()
        )

    names = [
        f"c{chain}s{stage}" for chain in range(CHAINS) for stage in (0, 1)
    ]
    harness.start_together(start_stage, names)
    for name in ("e0", "e1"):
        deployment.start_entry(name, links=_links())
    deployment.wait_ready()
    for name in names:
        deployment.wait_routable(name)
    return deployment


def _links() -> dict[str, Any]:
    return {"secret": harness.LINK_SECRET}


def run(
    deployment: harness.Deployment, kind: str, trials: int, seed: int
) -> Samples:
    """Runs the trials of one fault.

    Each mends its fault while the next one begins, on another victim, so
    that one target at a time is away.
    """
    rng = random.Random(f"{kind} {seed}")
    samples = Samples([], [])
    victim = ""
    mending = None
    for number in range(trials):
        trial = Trial(deployment, kind, f"{kind} {number}", rng)
        last = victim
        victim = trial.run(last, samples, mending)
        mending = threading.Thread(
            target=_mend, args=(deployment, kind, victim)
        )
        mending.start()
        if kind == "entry":
            mending.join()
    mending.join()
    return samples


def _mend(deployment: harness.Deployment, kind: str, victim: str) -> None:
    FAULTS[kind].mend(deployment, victim)
    if kind == "entry":
        deployment.wait_process_ready(deployment.entries[victim])
        deployment.wait_serving(victim)
    else:
        deployment.wait_process_ready(deployment.agents[victim])
        deployment.wait_routable(victim)


class Trial(NamedTuple):
    """One fault under streams."""

    deployment: harness.Deployment
    kind: str
    label: str
    rng: random.Random

    def run(
        self,
        last_victim: str,
        samples: Samples,
        mending: threading.Thread | None,
    ) -> str:
        """Adds what callers saw to the samples; returns the victim."""
        entry = "e1" if last_victim == "e0" else "e0"
        watchers = self._open_streams(entry)
        time.sleep(self.rng.uniform(*LEAD_S))
        if mending is not None:
            mending.join()
        victim, hit = self._victim(entry, last_victim, watchers)
        fault = FAULTS[self.kind]
        fault_s = time.monotonic()
        fault.inject(self.deployment, victim)
        other = "e1" if victim == "e0" else "e0"
        answers = self._ask(other if self.kind == "entry" else entry)
        _observe(hit, fault_s)
        samples.streams_s.extend(one.stall_s(fault_s) for one in hit)
        samples.answers_s.extend(
            one.ended_s - fault_s if one.whole else math.inf
            for one in answers.results()
        )
        for watcher in watchers:
            watcher.stop()
        return victim

    def _open_streams(self, entry: str) -> list[Watcher]:
        address = self.deployment.callers(entry)
        return [
            Watcher(address, f"{self.label} {index}")
            for index in range(STREAMS)
        ]

    def _victim(
        self, entry: str, last: str, watchers: list[Watcher]
    ) -> tuple[str, list[Watcher]]:
        """Chooses the agent that most streams pass through."""
        stage = FAULTS[self.kind].stage
        if stage < 0:
            return entry, []
        names = [f"c{chain}s{stage}" for chain in range(CHAINS)]
        hits = {
            name: _streams_at(self.deployment, name, watchers)
            for name in names
            if name != last
        }
        victim = max(hits, key=lambda name: len(hits[name]))
        return victim, hits[victim]

    def _ask(self, entry: str) -> client.Load:
        """Sends new requests."""
        load = client.Load()
        for index in range(NEW_REQUESTS):
            name = f"{self.label} new {index}"
            load.send(
                client.complete,
                self.deployment.callers(entry),
                KEY,
                name,
                name,
                max_tokens=NEW_TOKENS,
            )
        return load


def _streams_at(
    deployment: harness.Deployment, name: str, watchers: list[Watcher]
) -> list[Watcher]:
    """Returns the streams that pass through an agent."""
    sequences = {
        line["sequence"].partition("/")[0]
        for line in deployment.engine_history(f"{name}-target")
        if line["part"] == "runs"
    }
    return [one for one in watchers if one.request in sequences]


def _observe(hit: list[Watcher], fault_s: float) -> None:
    """Waits until all streams that were hit go on, or have ended."""
    time.sleep(OBSERVED_MIN_S)
    while time.monotonic() < fault_s + OBSERVED_S:
        if all(one.settled(fault_s) for one in hit):
            return
        time.sleep(0.02)


def report(kind: str, what: str, values_s: list[float]) -> dict[str, Any]:
    """Returns a row of the table."""
    return {
        "fault": kind,
        "measured": what,
        "count": len(values_s),
        "median_s": percentiles.percentile(values_s, 0.5),
        "p95_s": percentiles.percentile(values_s, 0.95),
        "worst_s": max(values_s, default=math.nan),
        "within_target": sum(value <= TARGET_S for value in values_s),
    }


def main(arguments: list[str] | None = None) -> None:
    """Runs the faults that are named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kinds", nargs="+", choices=FAULTS)
    parser.add_argument("--trials", type=int, default=30)
    parser.add_argument("--relayed", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as directory:
        deployment = start(Path(directory), options.relayed)
        try:
            for kind in options.kinds:
                samples = run(deployment, kind, options.trials, options.seed)
                for what, values_s in samples._asdict().items():
                    print(json.dumps(report(kind, what, values_s)), flush=True)
        finally:
            deployment.stop()


if __name__ == "__main__":
    main()
