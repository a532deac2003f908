"""Tests of the exchange of evidence on prompt parts between processes."""

import random

import pytest
from twisted.internet import task

from hemlocktiller._internal.links import codec
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.links import part_evidence_feed
from tests.unit import feed_network
from tests.unit import memory_links

SETTINGS = {"suspect_ttl_s": 600.0}
CRASHING, FIRST, OTHER = 1, 2, 3


class Network(feed_network.Network):
    """Processes that exchange evidence on prompt parts."""

    def __init__(self, size, relays=False):
        super().__init__(
            size,
            lambda clock: part_evidence_feed.PartEvidenceFeed(
                clock, SETTINGS, relays
            ),
        )

    def crash(self, index, target, prompts):
        """Records a death at one process, with sound output after it."""
        self.feeds[index].record_death(target, prompts)
        self.clock.advance(0.2)
        for number in range(3):
            self.feeds[index].record_output((10**6 + number,))
        self.deliver()

    def condemned(self, parts):
        """Returns the condemned part at each process."""
        return [feed.condemned_part(parts) for feed in self.feeds]


def test_deaths_at_different_processes_condemn_a_part_at_all():
    network = Network(5)
    network.connect_all()
    for number in range(3):
        network.crash(number, f"t{number}", [(FIRST, CRASHING, 10 + number)])
    assert network.condemned((FIRST, CRASHING)) == [None] * 5
    network.crash(3, "t3", [(FIRST, CRASHING, 13)])
    network.crash(4, "t4", [(FIRST, CRASHING, 14)])
    assert network.condemned((FIRST, CRASHING)) == [CRASHING] * 5
    assert network.condemned((FIRST, OTHER)) == [None] * 5


def test_relays_pass_evidence_on_once():
    network = Network(5, relays=True)
    for first, second in ((0, 1), (1, 2), (2, 3), (3, 4), (4, 0), (0, 2)):
        network.connect(first, second)
    for number in range(5):
        network.crash(number, f"t{number}", [(FIRST, CRASHING)])
        network.clock.advance(1.0)
    assert network.condemned((FIRST, CRASHING)) == [CRASHING] * 5
    network.message_count = 0
    network.feeds[3].record_output((FIRST, CRASHING))
    network.deliver()
    assert network.condemned((FIRST, CRASHING)) == [None] * 5
    assert network.message_count < 50


def test_part_that_only_one_process_has_served_is_known_good_at_all():
    network = Network(5)
    network.connect_all()
    network.feeds[4].record_output((OTHER,))
    network.clock.advance(1.0)
    for number in range(5):
        network.crash(0, f"t{number}", [(OTHER,)])
    assert network.condemned((OTHER,)) == [None] * 5


def test_outputs_that_peers_tell_each_other_again_do_not_seem_later():
    network = Network(2)
    network.connect_all()
    network.crash(0, "t0", [(FIRST, CRASHING)])
    network.feeds[0].record_death("t1", [(FIRST, CRASHING)])
    network.deliver()
    known_s = [feed.parts.contrast_s() for feed in network.feeds]
    assert min(known_s) > 0.0
    for number in range(2, 22):
        network.feeds[number % 2].record_death(f"t{number}", [(OTHER,)])
        network.deliver()
    assert [feed.parts.contrast_s() for feed in network.feeds] == (
        pytest.approx(known_s)
    )


@pytest.mark.parametrize("relays", [False, True])
def test_output_that_peers_tell_each_other_again_drops_no_later_death(relays):
    network = Network(2, relays)
    network.connect_all()
    network.feeds[0].record_output((OTHER,))
    network.clock.advance(feed_network.LATENCY_S)
    network.feeds[1].record_death("t0", [(OTHER,)])
    network.deliver()
    for number in range(1, 21):
        network.feeds[number % 2].record_death(f"t{number}", [(OTHER,)])
        network.deliver()
    counts = [feed.parts.death_count(OTHER) for feed in network.feeds]
    assert counts == [21, 21]


def test_output_at_one_process_clears_a_part_at_all():
    network = Network(5)
    network.connect_all()
    for number in range(4):
        network.crash(0, f"t{number}", [(FIRST, OTHER)])
    network.crash(0, "t4", [(FIRST, OTHER)])
    assert network.condemned((OTHER,)) == [OTHER] * 5
    network.feeds[3].record_output((FIRST, OTHER))
    network.deliver()
    assert network.condemned((OTHER,)) == [None] * 5


def test_new_link_carries_the_evidence_so_far():
    network = Network(2)
    for number in range(5):
        network.crash(0, f"t{number}", [(FIRST, CRASHING)])
    network.connect(0, 1)
    network.deliver()
    assert network.condemned((CRASHING,)) == [CRASHING] * 2


def test_lost_link_gets_no_messages():
    network = Network(2)
    there, back = network.connect(0, 1)
    network.crash(0, "t0", [(OTHER,)])
    network.feeds[1].on_down(back)
    back.is_open = False
    network.feeds[1].record_output((OTHER,))
    assert network.messages == []


@pytest.mark.parametrize("size", [5, 20])
def test_messages_per_death_grow_with_the_number_of_processes(size):
    network = Network(size)
    network.connect_all()
    for feed in network.feeds:
        feed.record_output((FIRST,))
    network.clock.advance(1.0)
    network.crash(0, "t0", [(FIRST, CRASHING)])
    for feed in network.feeds:
        feed.record_output((FIRST,))
    network.deliver()
    assert network.message_count <= 4 * size


def test_messages_are_limited():
    network = Network(2)
    rng = random.Random(1)
    for number in range(200):
        prompts = [
            tuple(rng.getrandbits(64) for _ in range(32)) for _ in range(64)
        ]
        network.feeds[0].record_death(f"t{number}", prompts)
    network.clock.advance(1.0)
    network.feeds[1].record_output((FIRST,))
    network.connect(0, 1)
    sizes = [len(codec.encode(message)) for _, message in network.messages]
    assert max(sizes) < 64_000
    network.deliver()


@pytest.mark.parametrize("old_end", ["dialled", "accepted"])
def test_peer_of_an_older_version_keeps_its_link(monkeypatch, old_end):
    link_pair = memory_links.LinkPair()
    old = getattr(link_pair, old_end)
    new = (
        link_pair.accepted if old_end == "dialled" else link_pair.dialled
    ).link
    monkeypatch.setattr(
        old.link._ws, "available_subprotocols", ["hemlocktiller.v1"]
    )
    link_pair.connect()
    feed = part_evidence_feed.PartEvidenceFeed(task.Clock(), SETTINGS)
    feed.on_open(new)
    feed.record_death("t", [(CRASHING,)])
    link_pair.deliver_all()
    assert new.is_open
    assert not old.down_reasons
    assert old.messages == []


def test_peers_of_the_same_version_exchange_evidence():
    link_pair = memory_links.LinkPair()
    link_pair.connect()
    feed = part_evidence_feed.PartEvidenceFeed(task.Clock(), SETTINGS)
    feed.on_open(link_pair.dialled.link)
    feed.record_death("t", [(CRASHING,)])
    link_pair.deliver_all()
    (message,) = link_pair.accepted.messages
    assert message["type"] == part_evidence_feed.MESSAGE_TYPE
    assert (
        link_module.SUBPROTOCOLS[0] == link_pair.dialled.link._ws.subprotocol
    )
