"""Seeded fault schedules, and the injection of their faults.

A schedule is a pure function of its seed. A fault starts once a given number
of requests has ended and lasts for a number of polls instead of a time, so
that a slow machine gets the same faults in the same order.
"""

import random
import time
from typing import NamedTuple

from tests.functional import client
from tests.functional.harness import Deployment
from tests.functional.process import POLL_S

MAX_WAIT_POLLS = 100
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
    """One fault of a schedule.

    Attributes:
        kind: Kind of fault, one of `MODEL_FAULTS` or `CALL_FAULTS`.
        name: Agent or entry that it affects.
        after_requests: Number of ended requests after which it starts.
        polls: Duration, in polls.
    """

    kind: str
    name: str
    after_requests: int
    polls: int


class ExcusedEngines(NamedTuple):
    """Engines for which faults explain irregular runs of layers.

    Attributes:
        lossy: Engines whose output may have been lost.
        late: Engines that may have been delayed.
    """

    lossy: frozenset[str]
    late: frozenset[str]


def make_schedule(
    seed: int, kinds, agents, entries, requests: int, count: int
):
    """Returns faults drawn from a seed, in the order of their start.

    Args:
        seed: Seed; equal seeds give equal schedules.
        kinds: Kinds of faults to choose from.
        agents: Names of agents that may be affected.
        entries: Names of entries that may be affected.
        requests: Number of requests in the scenario.
        count: Number of faults, each of a different kind.
    """
    rng = random.Random(seed)
    faults = []
    for kind in rng.sample(list(kinds), count):
        names = entries if kind.endswith("_entry") else agents
        start_after = rng.randrange(requests // 8, requests // 2)
        polls = rng.choice((SHORT_POLLS, LONG_POLLS))
        faults.append(Fault(kind, rng.choice(list(names)), start_after, polls))
    return sorted(faults, key=lambda fault: fault.after_requests)


def relayed_agents(faults: list[Fault]) -> set[str]:
    """Returns the agents whose link faults need a relay.

    A relay accepts connections even while its agent is down, which would
    hide refused connections, so other agents get none.
    """
    return {fault.name for fault in faults if fault.kind.endswith("_link")}


def inject_fault(deployment: Deployment, fault: Fault) -> None:
    """Injects a fault."""
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


def revert_fault(deployment: Deployment, fault: Fault) -> None:
    """Reverts a fault; killed agents and entries are restarted.

    Killed targets and agents that were told to leave stay down.
    """
    agent = deployment.agents.get(fault.name)
    target = f"{fault.name}-target"
    entry = deployment.entries.get(fault.name)
    actions = {
        "kill_agent": lambda: deployment.restart_agent(fault.name),
        "freeze_agent": lambda: agent.resume(),
        "freeze_engine": lambda: deployment.engines[target].process.resume(),
        "freeze_booking": lambda: deployment.bookings[target].resume(),
        "cut_link": lambda: deployment.restore_link(fault.name),
        "freeze_link": lambda: deployment.relays[fault.name].resume(),
        "store_refuse": lambda: deployment.set_faults(),
        "store_hang": lambda: deployment.set_faults(),
        "freeze_entry": lambda: entry.resume(),
        "kill_entry": lambda: entry.start(),
    }
    actions.get(fault.kind, lambda: None)()


def run(deployment: Deployment, faults: list[Fault], load: client.Load):
    """Injects and reverts the faults of a schedule during a load."""
    pending = list(faults)
    active: list[tuple[int, Fault]] = []
    polls = 0
    while pending or active:
        for due_item in [item for item in active if item[0] <= polls]:
            active.remove(due_item)
            revert_fault(deployment, due_item[1])
        if pending and _is_due(pending[0], load, polls):
            fault = pending.pop(0)
            inject_fault(deployment, fault)
            active.append((polls + fault.polls, fault))
        time.sleep(POLL_S)
        polls += 1


def _is_due(fault: Fault, load: client.Load, polls: int) -> bool:
    return load.finished() >= fault.after_requests or polls >= MAX_WAIT_POLLS


def excused_engines(
    deployment: Deployment, faults: list[Fault]
) -> ExcusedEngines:
    """Returns the engines whose irregular runs the faults explain.

    A fault in one process can lose the output of any engine, but it delays
    only the engine that it affects.
    """
    late = {f"{fault.name}-target" for fault in faults}
    if not faults:
        return ExcusedEngines(frozenset(), frozenset())
    return ExcusedEngines(frozenset(deployment.engines), frozenset(late))
