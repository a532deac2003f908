"""How long an edit takes to reach all processes of a data centre by links.

Real links and configuration feeds run in virtual time. Some entries read
the edit from the object API at once; all others get it from their peers.
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
ONE_WAY_S = 0.0005
STEP_S = 0.05
SETTLE_S = 1.0
LONGEST_S = 60.0
SEED = 1


class Spread(NamedTuple):
    """How one edit spread.

    Attributes:
        links: Links between all processes.
        everywhere_s: Time until the last process had it.
        pushes: Configurations sent.
        push_bytes: Bytes of their bodies.
    """

    links: int
    everywhere_s: float
    pushes: int
    push_bytes: int


class _Transport:
    """One direction of a connection with a delay."""

    def __init__(self, clock):
        self._clock = clock
        self.peer = None

    def setTcpNoDelay(self, enabled):
        """Has no effect in memory."""

    def write(self, data):
        """Delivers bytes after the delay."""
        self._clock.callLater(ONE_WAY_S, self.peer.dataReceived, data)

    def loseConnection(self):
        """Is not expected in a run without failures."""
        raise AssertionError("a link was closed")

    abortConnection = loseConnection


def spread(readers: int, agents_of_entry: int = 1, entries_of_agent: int = 3):
    """Returns how an edit spreads that so many entries read at once."""
    clock = task.Clock()
    entries = [f"entry-{number:02}" for number in range(ENTRY_COUNT)]
    groups = {model: [] for model in range(sample_data.MODEL_COUNT)}
    for number in range(AGENT_COUNT):
        name = f"agent-{number:03}"
        groups[number % sample_data.MODEL_COUNT].append(name)
    agents = [name for group in groups.values() for name in group]
    rng = random.Random(SEED)
    feeds = {
        name: config_feed.ConfigFeed(clock, random.Random(rng.random()))
        for name in [*entries, *agents]
    }
    document = config_bytes.config_document(710)
    first = snapshot.build(1, document)
    for feed in feeds.values():
        feed.apply_if_newer(first)
    links = 0
    for entry in entries:
        chosen = rendezvous.linked_agents(
            entry, entries, groups, agents_of_entry, entries_of_agent
        )
        for agent in sorted(chosen):
            _connect(clock, rng, (entry, feeds[entry]), (agent, feeds[agent]))
            links += 1
    _run(clock, SETTLE_S)
    return _edit(clock, feeds, entries[:readers], document, links)


def _edit(clock, feeds, readers, document, links):
    """Puts an edit in force at the readers and waits for the others."""
    document = copy.deepcopy(document)
    document["plans"][0]["share"] = 0.001
    edited = snapshot.build(2, document)
    pushes = config_feed.PUSHES._value.get()
    push_bytes = config_feed.PUSH_BYTES._value.get()
    started_s = clock.seconds()
    for name in readers:
        feeds[name].apply_if_newer(edited)
    while any(feed.version() < 2 for feed in feeds.values()):
        clock.advance(STEP_S / 10)
        if clock.seconds() - started_s > LONGEST_S:
            raise AssertionError("the edit did not reach all processes")
    everywhere_s = clock.seconds() - started_s
    _run(clock, SETTLE_S)
    return Spread(
        links,
        everywhere_s,
        int(config_feed.PUSHES._value.get() - pushes),
        int(config_feed.PUSH_BYTES._value.get() - push_bytes),
    )


def _connect(clock, rng, dialler, acceptor):
    """Links two feeds."""
    accepted = _end(clock, link_module.AcceptedLink, *acceptor)
    dialled = _end(clock, link_module.DialledLink, *dialler)
    here, there = _Transport(clock), _Transport(clock)
    here.peer, there.peer = accepted, dialled
    accepted.makeConnection(there)
    # Heartbeats of different links don't beat at the same moment.
    wait_s = rng.uniform(0, sample_data.LINKS["heartbeat_interval_s"])
    clock.callLater(wait_s, dialled.makeConnection, here)


def _end(clock, kind, name, feed):
    handlers = link_module.Handlers(
        feed.on_open,
        lambda link, message: feed.on_message(link, message),
        lambda link, reason: feed.on_down(link),
    )
    local = link_module.LocalProcess(name, "entry", name, "dc1", feed.version)
    return kind(clock, sample_data.LINKS, local, handlers)


def _run(clock, duration_s):
    for _ in range(round(duration_s / STEP_S)):
        clock.advance(STEP_S)
