"""What gateways tell each other, and what they make of it."""

import random

import pytest
from twisted.internet import defer

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.gateway import peers as peers_module
from hemlocktiller._internal.links import codec
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import occupancy
from hemlocktiller._internal.policy import rendezvous
from hemlocktiller._internal.store import client
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_app import make_settings
from tests.unit.gateway.test_app import SilentStore


class FakeLink:
    """An open link that keeps what was sent."""

    def __init__(self, name, config_version=0):
        self.peer = {"name": name, "config_version": config_version}
        self.is_open = True
        self.sent = []

    def send(self, message, frame=None):
        """Keeps a message."""
        assert frame is None or codec.decode(frame) == message
        self.sent.append(message)

    def kinds(self):
        """Returns the types of what was sent."""
        return [message["type"] for message in self.sent]


class Network:
    """The links of one gateway."""

    def __init__(self, bench, stored):
        self.bench = bench
        self.store = SilentStore(bench.reactor)
        self.store_back = []
        self.watcher = []
        self.occupancy = occupancy.Occupancy()
        self.suspects = bench.context.crash_evidence.feed
        self.offered = []
        self.stored = stored
        self.peers = peers_module.Peers(
            bench.reactor,
            make_settings(),
            self.store,
            peers_module.PeerHooks(
                bench.targets,
                self.occupancy,
                self.suspects,
                lambda: self.stored,
                self._offer,
                lambda: self.store_back.append(bench.reactor.seconds()),
                self.watcher.append,
            ),
            random.Random(1),
        )

    def _offer(self, stored):
        self.offered.append(stored)
        return True

    def link(self, name, config_version=0):
        """Opens a link to a peer."""
        link = FakeLink(name, config_version)
        self.peers._on_open(link)
        return link


@pytest.fixture
def network(bench):
    """A gateway with configuration 5 in force."""
    return Network(bench, peers_module.StoredCatalog(5, {"version": 5}))


def loads(*rows, whole=True, version=5):
    return {
        "type": "occupancy",
        "targets": [name for name, _, _ in rows],
        "token_layers": [tokens for _, tokens, _ in rows],
        "sequences": [sequences for _, _, sequences in rows],
        "prefill_tokens": [0 for _ in rows],
        "whole": whole,
        "config_version": version,
        "crossing_mbps": 100.0,
    }


def test_a_new_configuration_is_not_sent_to_all(network):
    links = [network.link(f"g{i}", 4) for i in range(30)]
    network.bench.reactor.advance(2.0)
    assert all(link.kinds() == ["occupancy"] for link in links)


def test_one_peer_is_asked_for_a_newer_configuration(network):
    links = [network.link(f"g{i}") for i in range(30)]
    for link in links:
        network.peers._on_message(link, loads(version=6))
    network.bench.reactor.advance(1.0)
    asked = [link for link in links if "catalog_wanted" in link.kinds()]
    assert len(asked) == 1


def test_nobody_is_asked_once_the_store_has_told(network):
    link = network.link("g1")
    network.peers._on_message(link, loads(version=6))
    network.stored = peers_module.StoredCatalog(6, {"version": 6})
    network.bench.reactor.advance(1.0)
    assert "catalog_wanted" not in link.kinds()


def test_the_configuration_is_sent_to_a_peer_that_asks(network):
    link = network.link("g1")
    network.peers._on_message(link, {"type": "catalog_wanted"})
    assert link.sent[-1]["version"] == 5


def test_a_peers_configuration_is_offered(network):
    link = network.link("g1")
    message = {"type": "catalog", "version": 6, "value": '{"version": 6}'}
    network.peers._on_message(link, message)
    assert network.offered == [peers_module.StoredCatalog(6, {"version": 6})]


def test_loads_of_peers_add_up(network):
    for name in ("g1", "g2"):
        network.peers._on_message(network.link(name), loads(("a", 10.0, 2)))
    now_s = network.bench.reactor.seconds()
    assert network.occupancy.load("a", now_s).sequences == 4


def test_a_target_that_a_peer_finds_down_is_asked_itself(network):
    network.bench.register(make_target("a"))
    message = {
        "type": "target_health",
        "target": "a",
        "born_ms": 1,
        "is_down": True,
        "reason": "no answer",
    }
    network.peers._on_message(network.link("g1"), message)
    assert network.bench.opened() == 1
    assert not network.bench.targets.is_down(make_target("a"))


def test_draining_is_heard_from_a_peer(network):
    network.bench.register(make_target("a"))
    network.bench.targets.apply_peer_registration(
        "a", 9, make_target("a", state=fleet.DRAINING)
    )
    assert network.bench.targets.available("model") == []


def test_older_news_of_a_registration_change_nothing(network):
    network.bench.register(make_target("a"))
    network.bench.targets.apply_peer_registration(
        "a", 1, make_target("a", state=fleet.DRAINING)
    )
    assert network.bench.targets.available("model")


def test_a_peers_deletion_counts_only_while_the_own_watch_fails(network):
    targets = network.bench.targets
    network.bench.register(make_target("a"))
    network.bench.reactor.advance(10.0)
    targets.apply_peer_registration("a", 0, None)
    assert "a" in targets.by_name
    targets.record_store_outage()
    targets.apply_peer_registration("a", 0, None)
    assert "a" not in targets.by_name


def test_the_slowness_that_a_peer_heard_counts(network):
    network.bench.register(make_target("a"))
    message = {
        "type": "target_pace", "target": "a", "born_ms": 1, "pace": 4.0
    }  # fmt: skip
    network.peers._on_message(network.link("g1"), message)
    assert network.bench.targets.pace("a") == 4.0


def test_the_slowness_of_an_earlier_process_does_not_count(network):
    network.bench.register(make_target("a", born_ms=7))
    message = {
        "type": "target_pace", "target": "a", "born_ms": 1, "pace": 4.0
    }  # fmt: skip
    network.peers._on_message(network.link("g1"), message)
    assert network.bench.targets.pace("a") == 1.0


def test_one_of_all_linked_gateways_polls_a_target(bench):
    stored = peers_module.StoredCatalog(5, {})
    names = ["gateway-1", "gateway-2", "gateway-3"]
    networks = [Network(bench, stored) for _ in names]
    for name, one in zip(names, networks, strict=True):
        one.peers._settings = make_settings(name=name)
        for other in names:
            if other != name:
                one.link(other)
    for target in ("a", "b", "c", "d"):
        owners = [one.peers.is_poller(target) for one in networks]
        assert owners.count(True) == 1


def test_all_registered_gateways_share_the_repeats(network):
    rows = [
        client.StoredObject(
            "gateways", f"a{i}", 1, {"host": "127.0.0.1", "port": 9}
        )
        for i in range(30)
    ]
    network.peers._update_dialers(client.Listing(1, rows))
    assert network.peers.count_gateways() == 31


def test_loads_with_columns_of_unlike_length_are_dropped(network):
    message = {**loads(("a", 10, 2)), "sequences": []}
    network.peers._on_message(network.link("g1"), message)
    now_s = network.bench.reactor.seconds()
    assert network.occupancy.load("a", now_s).sequences == 0


def test_the_loads_of_a_gateway_pass_the_links_checks(network):
    network.occupancy.reserve(
        "r", (fleet.Stage(make_target("a"), 0, 40),), 100.4, 70.2, 0.0
    )
    link = network.link("g1")
    assert codec.decode(codec.encode(link.sent[0])) == link.sent[0]
    assert link.sent[0]["token_layers"] == [4016]


def test_crossings_of_peers_add_up(network):
    for name in ("g1", "g2"):
        network.peers._on_message(network.link(name), loads())
    now_s = network.bench.reactor.seconds()
    assert network.occupancy.inter_dc_mbps(now_s) == 200.0


def test_evidence_against_a_request_goes_to_and_comes_from_peers(network):
    link = network.link("gateway-2")
    entry = {"digest": 7, "targets": ["a/1"], "expires_in_s": 60.0}
    message = {"type": "suspects", "entries": [entry]}
    network.peers._on_message(link, message)
    assert network.suspects.state(7) == "suspect"
    late = network.link("gateway-3")
    assert late.sent[-1]["type"] == "suspects"
    assert [one["digest"] for one in late.sent[-1]["entries"]] == [7]


@pytest.fixture
def outage(network, monkeypatch):
    """Starts the links; returns a list whose being filled is an outage."""
    lasting = []

    def read_all(kind, may_be_stale=False):
        if lasting:
            return defer.fail(exceptions.StoreUnavailable("down"))
        return defer.succeed(client.Listing(1, []))

    network.store.read_all = read_all
    network.peers.start()
    yield lasting
    network.peers.stop()


def test_an_outage_of_the_store_is_noticed_while_watches_wait(network, outage):
    clock = network.bench.reactor
    outage.append("down")
    clock.pump([0.1] * 50)
    assert clock.seconds() - network.bench.targets.last_outage_s < 1.0
    outage.clear()
    clock.pump([0.1] * 6)
    assert len(network.store_back) == 1
    clock.pump([0.1] * 50)
    assert len(network.store_back) == 1


def test_few_of_many_gateways_ask_the_store_often(network):
    count = 30
    names = [f"gateway-{n}" for n in range(count)]
    chosen = [
        name
        for name in names
        if rendezvous.is_chosen(
            name,
            [other for other in names if other != name],
            peers_module.GATEWAY_KIND,
            peers_module.WATCHER_COUNT,
        )
    ]
    assert len(chosen) == peers_module.WATCHER_COUNT


def test_a_gateway_asks_often_again_when_those_who_did_are_lost(network):
    links = [network.link(f"peer-{n}") for n in range(60)]
    assert network.watcher == [False]
    for link in links:
        link.is_open = False
        network.peers._on_down(link, "closed")
    assert network.watcher == [False, True]


def test_a_gateway_without_many_peers_asks_often(network):
    for n in range(peers_module.WATCHER_COUNT - 1):
        network.link(f"peer-{n}")
    assert network.watcher == []


def test_what_the_store_held_at_the_start_is_not_told(network):
    told = []
    targets = network.bench.targets
    targets.on_registration = lambda *news: told.append(news[0])
    targets.apply_registrations(
        [client.StoredObject("t", "a", 1, make_target("a"))], [], 1
    )
    assert told == []
    targets.apply_registrations(
        [client.StoredObject("t", "b", 2, make_target("b"))], [], 0
    )
    assert told == ["b"]


def test_few_of_many_gateways_tell_what_the_store_reports(bench):
    names = [f"gateway-{number}" for number in range(30)]
    tellers = 0
    for name in names:
        one = Network(bench, peers_module.StoredCatalog(5, {}))
        one.peers._settings = make_settings(name=name)
        links = [one.link(other) for other in names if other != name]
        one.peers.broadcast_registration("a", 2, {"state": "draining"})
        tellers += "registration" in links[0].kinds()
    assert tellers == peers_module.WATCHER_COUNT
