"""Seeded schedules of faults, and the faults that they name.

A schedule is a pure function of its seed. A fault starts once a given
number of requests has ended, and lasts for a number of polls, so that
a slow machine sees the same faults in the same order.
"""

import random
import time
from typing import NamedTuple

from tests.functional import client
from tests.functional.harness import Deployment
from tests.functional.process import POLL_S

START_POLLS = 100
SHORT_POLLS = 10
LONG_POLLS = 60

MODEL_FAULTS = (
    "kill_agent",
    "kill_engine",
    "freeze_agent",
    "freeze_engine",
    "cut_link",
    "freeze_link",
    "store_refuse",
    "store_hang",
    "leave_by_list",
    "terminate_agent",
    "freeze_entry",
    "kill_entry",
)
CALL_FAULTS = (
    "kill_agent",
    "kill_booking",
    "freeze_agent",
    "freeze_booking",
    "cut_link",
    "freeze_link",
    "store_refuse",
    "store_hang",
    "lose_replies",
    "terminate_agent",
    "freeze_entry",
    "kill_entry",
)


class Fault(NamedTuple):
    """A fault of a schedule.

    Attributes:
        kind: Name of the fault.
        name: The agent or entry that it hits.
        after_requests: Requests that end before it starts.
        polls: How long it lasts.
    """

    kind: str
    name: str
    after_requests: int
    polls: int


class Touched(NamedTuple):
    """What the faults of a schedule excuse in a history of layers."""

    lossy: frozenset[str]
    late: frozenset[str]


def make(seed: int, kinds, agents, entries, requests: int, count: int):
    """Returns the faults of a seed, in order.

    Args:
        seed: The seed; equal seeds give equal schedules.
        kinds: Names of faults to choose from.
        agents: Names of agents that may be hit.
        entries: Names of entries that may be hit.
        requests: Requests of the run.
        count: How many faults, each of another kind.
    """
    rng = random.Random(seed)
    faults = []
    for kind in rng.sample(list(kinds), count):
        names = entries if kind.endswith("_entry") else agents
        after = rng.randrange(requests // 8, requests // 2)
        polls = rng.choice((SHORT_POLLS, LONG_POLLS))
        faults.append(Fault(kind, rng.choice(list(names)), after, polls))
    return sorted(faults, key=lambda fault: fault.after_requests)


def relayed(faults: list[Fault]) -> set[str]:
    """Returns the agents that need a relay, since their links fail.

    A relay accepts connections while its agent is dead, so agents that
    are killed have none unless their links fail as well.
    """
    return {fault.name for fault in faults if fault.kind.endswith("_link")}


def start(deployment: Deployment, fault: Fault) -> None:
    """Starts a fault."""
    agent = deployment.agents.get(fault.name)
    target = f"{fault.name}-target"
    entry = deployment.entries.get(fault.name)
    actions = {
        "kill_agent": lambda: agent.kill(),
        "terminate_agent": lambda: agent.terminate(),
        "freeze_agent": lambda: agent.freeze(),
        "kill_engine": lambda: deployment.engines[target].process.kill(),
        "freeze_engine": lambda: deployment.engines[target].process.freeze(),
        "kill_booking": lambda: deployment.bookings[target].kill(),
        "freeze_booking": lambda: deployment.bookings[target].freeze(),
        "cut_link": lambda: deployment.cut_link(fault.name),
        "freeze_link": lambda: deployment.relays[fault.name].freeze(),
        "store_refuse": lambda: deployment.set_faults("refuse"),
        "store_hang": lambda: deployment.set_faults("hang"),
        "lose_replies": lambda: deployment.set_faults(
            lose_replies=3, kinds=["claim"]
        ),
        "leave_by_list": lambda: deployment.set_vm(
            f"vm-{fault.name}", "leaving"
        ),
        "freeze_entry": lambda: entry.freeze(),
        "kill_entry": lambda: entry.kill(),
    }
    actions[fault.kind]()


def end(deployment: Deployment, fault: Fault) -> None:
    """Ends a fault; what was killed is started again, but engines."""
    agent = deployment.agents.get(fault.name)
    target = f"{fault.name}-target"
    entry = deployment.entries.get(fault.name)
    actions = {
        "kill_agent": lambda: deployment.restart_agent(fault.name),
        "freeze_agent": lambda: agent.wake(),
        "freeze_engine": lambda: deployment.engines[target].process.wake(),
        "freeze_booking": lambda: deployment.bookings[target].wake(),
        "cut_link": lambda: deployment.restore_link(fault.name),
        "freeze_link": lambda: deployment.relays[fault.name].wake(),
        "store_refuse": lambda: deployment.set_faults(),
        "store_hang": lambda: deployment.set_faults(),
        "freeze_entry": lambda: entry.wake(),
        "kill_entry": lambda: entry.start(),
    }
    actions.get(fault.kind, lambda: None)()


def run(deployment: Deployment, faults: list[Fault], load: client.Load):
    """Starts and ends the faults of a schedule while a load runs."""
    waiting = list(faults)
    ending: list[tuple[int, Fault]] = []
    polls = 0
    while waiting or ending:
        for due in [one for one in ending if one[0] <= polls]:
            ending.remove(due)
            end(deployment, due[1])
        if waiting and _due(waiting[0], load, polls):
            fault = waiting.pop(0)
            start(deployment, fault)
            ending.append((polls + fault.polls, fault))
        time.sleep(POLL_S)
        polls += 1


def _due(fault: Fault, load: client.Load, polls: int) -> bool:
    return load.finished() >= fault.after_requests or polls >= START_POLLS


def touched(deployment: Deployment, faults: list[Fault]) -> Touched:
    """Returns what the faults excuse in the history of layers.

    A fault of one process can lose the output of its peers. Only the
    target of the fault can run late.
    """
    late = {f"{fault.name}-target" for fault in faults}
    if not faults:
        return Touched(frozenset(), frozenset())
    return Touched(frozenset(deployment.engines), frozenset(late))
