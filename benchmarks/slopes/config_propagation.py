"""Measures how fast a configuration edit reaches all processes over links.

Real links and configuration feeds of one data centre run in virtual time.
Some entries read the edit from the object API at the same moment; all other
processes receive it from their peers.
"""

import copy
import random
from typing import NamedTuple

from twisted.internet import task

from benchmarks import config_bytes
from benchmarks.slopes import sample_data
from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.links import config_feed
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.policy import rendezvous

ENTRY_COUNT = 21
AGENT_COUNT = 140
ONE_WAY_DELAY_S = 0.0005
STEP_S = 0.05
SETTLE_S = 1.0
MAX_PROPAGATION_S = 60.0
SEED = 1


class Propagation(NamedTuple):
    """How an edit reached all processes.

    Attributes:
        link_count: Links between the processes.
        duration_s: Time until the last process had the edit in force.
        push_count: Configurations sent.
        push_bytes: Total size of their bodies.
    """

    link_count: int
    duration_s: float
    push_count: int
    push_bytes: int


class _DelayedTransport:
    """One direction of a connection with a delay, in memory."""

    def __init__(self, clock):
        self._clock = clock
        self.receiver = None

    def setTcpNoDelay(self, enabled):
        """Has no effect in memory."""

    def write(self, data):
        """Delivers bytes after the delay."""
        self._clock.callLater(
            ONE_WAY_DELAY_S, self.receiver.dataReceived, data
        )

    def loseConnection(self):
        """Fails, as no link is closed in a run without faults."""
        raise AssertionError("a link was closed unexpectedly")

    abortConnection = loseConnection


def measure_propagation(
    reader_count: int, agents_of_entry: int = 1, entries_of_agent: int = 3
):
    """Returns how an edit reaches all processes.

    Args:
        reader_count: Entries that read the edit from the object API.
        agents_of_entry: Minimum number of agents of each model that an entry
            links to.
        entries_of_agent: Minimum number of entries that link to each agent.
    """
    clock = task.Clock()
    entries = [f"entry-{number:02}" for number in range(ENTRY_COUNT)]
    agents_by_model = {model: [] for model in range(sample_data.MODEL_COUNT)}
    for number in range(AGENT_COUNT):
        name = f"agent-{number:03}"
        agents_by_model[number % sample_data.MODEL_COUNT].append(name)
    agents = [name for group in agents_by_model.values() for name in group]
    rng = random.Random(SEED)
    feeds = {
        name: config_feed.ConfigFeed(clock, random.Random(rng.random()))
        for name in [*entries, *agents]
    }
    document = config_bytes.config_document(710)
    initial = snapshot.build(1, document)
    for feed in feeds.values():
        feed.apply_if_newer(initial)
    link_count = 0
    for entry in entries:
        linked = rendezvous.linked_agents(
            entry, entries, agents_by_model, agents_of_entry, entries_of_agent
        )
        for agent in sorted(linked):
            _connect(clock, rng, (entry, feeds[entry]), (agent, feeds[agent]))
            link_count += 1
    _run(clock, SETTLE_S)
    return _propagate_edit(
        clock, feeds, entries[:reader_count], document, link_count
    )


def _propagate_edit(clock, feeds, readers, document, link_count):
    """Applies an edit at the readers and waits until all processes have it."""
    document = copy.deepcopy(document)
    document["plans"][0]["share"] = 0.001
    edited = snapshot.build(2, document)
    push_count_before = config_feed.PUSHES._value.get()
    push_bytes_before = config_feed.PUSH_BYTES._value.get()
    started_s = clock.seconds()
    for name in readers:
        feeds[name].apply_if_newer(edited)
    while any(feed.version() < 2 for feed in feeds.values()):
        clock.advance(STEP_S / 10)
        if clock.seconds() - started_s > MAX_PROPAGATION_S:
            raise AssertionError("the edit did not reach all processes")
    duration_s = clock.seconds() - started_s
    _run(clock, SETTLE_S)
    return Propagation(
        link_count,
        duration_s,
        int(config_feed.PUSHES._value.get() - push_count_before),
        int(config_feed.PUSH_BYTES._value.get() - push_bytes_before),
    )


def _connect(clock, rng, dialler, acceptor):
    """Links two processes, each a pair of name and feed."""
    accepted = _link_end(clock, link_module.AcceptedLink, *acceptor)
    dialled = _link_end(clock, link_module.DialledLink, *dialler)
    to_acceptor, to_dialler = (
        _DelayedTransport(clock),
        _DelayedTransport(clock),
    )
    to_acceptor.receiver, to_dialler.receiver = accepted, dialled
    accepted.makeConnection(to_dialler)
    # The random delay keeps the heartbeats of the links from coinciding.
    delay_s = rng.uniform(0, sample_data.LINK_SETTINGS["heartbeat_interval_s"])
    clock.callLater(delay_s, dialled.makeConnection, to_acceptor)


def _link_end(clock, link_class, name, feed):
    handlers = link_module.Handlers(
        feed.on_open,
        lambda link, message: feed.on_message(link, message),
        lambda link, reason: feed.on_down(link),
    )
    local = link_module.LocalProcess(name, "entry", name, "dc1", feed.version)
    return link_class(clock, sample_data.LINK_SETTINGS, local, handlers)


def _run(clock, duration_s):
    for _ in range(round(duration_s / STEP_S)):
        clock.advance(STEP_S)
