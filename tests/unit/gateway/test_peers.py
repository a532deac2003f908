"""Messages between gateways, and how their receivers apply them."""

import random

import pytest
from twisted.internet import defer

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.gateway import demand
from hemlocktiller._internal.gateway import full_targets as full_targets_module
from hemlocktiller._internal.gateway import peers as peers_module
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.links import codec
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import occupancy
from hemlocktiller._internal.policy import plain_loads
from hemlocktiller._internal.policy import rendezvous
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import versions
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_app import make_settings
from tests.unit.gateway.test_app import UnresponsiveStore


class FakeLink:
    """An open link that records the messages sent."""

    def __init__(self, name, config_version=0):
        self.peer = {"name": name, "config_version": config_version}
        self.is_open = True
        self.sent = []

    def peer_accepts(self, message_type):
        """Returns whether the peer has a type of message: it has all."""
        return True

    def send(self, message, frame=None):
        """Records a message."""
        assert frame is None or codec.decode(frame) == message
        self.sent.append(message)

    def sent_types(self):
        """Returns the types of the messages sent."""
        return [message["type"] for message in self.sent]


class LinkedGateway:
    """One gateway with fake links to its peers.

    Attributes:
        offered_configs: Configurations received from peers.
        recovery_times_s: Times at which the store was reachable again.
        watcher_changes: Whether the gateway is a watcher, at each change.
    """

    def __init__(self, harness, stored):
        self.harness = harness
        self.store = UnresponsiveStore(harness.reactor)
        self.recovery_times_s = []
        self.watcher_changes = []
        self.occupancy = occupancy.Occupancy()
        self.demand = demand.DemandBoard()
        self.plain_loads = plain_loads.PlainLoads()
        self.plain_loads.has_times = True
        self.suspects = harness.context.crash_evidence.feed
        self.offered_configs = []
        self.stored = stored
        self.peers = peers_module.Peers(
            harness.reactor,
            make_settings(),
            self.store,
            peers_module.PeerHooks(
                harness.targets,
                self.occupancy,
                self.suspects,
                harness.context.crash_evidence.part_feed,
                lambda: self.stored,
                self._offer,
                lambda: self.recovery_times_s.append(
                    harness.reactor.seconds()
                ),
                self.watcher_changes.append,
                harness.dispatcher.full_targets,
                self.demand,
                self.plain_loads,
            ),
            random.Random(1),
        )

    def _offer(self, stored):
        self.offered_configs.append(stored)
        return True

    def open_link(self, name, config_version=0):
        """Opens a link from a peer."""
        link = FakeLink(name, config_version)
        self.peers._on_open(link)
        return link


@pytest.fixture
def gateway(harness):
    """A gateway that has applied configuration version 5."""
    return LinkedGateway(
        harness, peers_module.StoredCatalog(5, {"version": 5})
    )


def make_occupancy_message(*listed, whole=True, version=5):
    return {
        "type": "occupancy",
        "targets": [name for name, _, _ in listed],
        "token_layers": [tokens for _, tokens, _ in listed],
        "sequences": [sequences for _, _, sequences in listed],
        "prefill_tokens": [0 for _ in listed],
        "whole": whole,
        "config_version": version,
        "crossing_mbps": 100.0,
    }


def test_a_new_configuration_is_not_sent_to_all_peers(gateway):
    links = [gateway.open_link(f"g{i}", 4) for i in range(30)]
    gateway.harness.reactor.advance(2.0)
    assert all(link.sent_types() == ["occupancy"] for link in links)


def test_peers_learn_the_number_and_the_layers_of_layout_orders(gateway):
    first = gateway.open_link("g1")
    layers = (targets_module.ReportedLayers("t", 3, 0, 9),)
    gateway.peers.broadcast_layout(7, layers)
    second = gateway.open_link("g2")
    message, later = first.sent[-1], second.sent[-1]
    assert codec.decode(codec.encode(later)) == {
        "type": "layout",
        "fencing_number": 7,
        "layers": [],
    }
    words = []
    gateway.peers._hooks = gateway.peers._hooks._replace(
        on_layout=lambda *word: words.append(word)
    )
    gateway.peers._on_message(first, codec.decode(codec.encode(message)))
    assert words == [("g1", 7, list(layers))]


def test_one_peer_that_does_not_stop_succeeds_a_process_that_stops(gateway):
    links = [gateway.open_link(name) for name in ("g1", "g2", "g3")]
    words = []
    gateway.peers._hooks = gateway.peers._hooks._replace(
        on_layout_handed_over=lambda *word: words.append(word)
    )
    stop = {"type": "layout", "fencing_number": 0, "layers": []}
    gateway.peers._on_message(links[0], {**stop, "successor": ""})
    gateway.peers.announce_stop(7)
    sent = [codec.decode(codec.encode(link.sent[-1])) for link in links]
    assert {message["successor"] for message in sent} == {"g2"}
    gateway.peers._on_message(links[1], {**sent[0], "successor": "other"})
    assert words == []
    gateway.peers._on_message(links[2], {**sent[0], "successor": "gateway-1"})
    assert words == [("g3", 7)]


def test_a_peer_of_an_earlier_version_gets_no_word_on_layouts(gateway):
    link = gateway.open_link("g1")
    link.peer_accepts = lambda message_type: message_type != "layout"
    gateway.peers.broadcast_layout(7, ())
    assert "layout" not in link.sent_types()


def test_a_newer_configuration_is_requested_from_one_peer(gateway):
    links = [gateway.open_link(f"g{i}") for i in range(30)]
    for link in links:
        gateway.peers._on_message(link, make_occupancy_message(version=6))
    gateway.harness.reactor.advance(1.0)
    requested_links = [
        link for link in links if "catalog_wanted" in link.sent_types()
    ]
    assert len(requested_links) == 1


def test_a_configuration_from_the_store_is_not_requested_from_peers(gateway):
    link = gateway.open_link("g1")
    gateway.peers._on_message(link, make_occupancy_message(version=6))
    gateway.stored = peers_module.StoredCatalog(6, {"version": 6})
    gateway.harness.reactor.advance(1.0)
    assert "catalog_wanted" not in link.sent_types()


def test_the_configuration_is_sent_to_a_peer_that_requests_it(gateway):
    link = gateway.open_link("g1")
    gateway.peers._on_message(link, {"type": "catalog_wanted"})
    assert link.sent[-1]["version"] == 5


def test_the_configuration_of_a_peer_is_offered_to_the_gateway(gateway):
    link = gateway.open_link("g1")
    message = {"type": "catalog", "version": 6, "value": '{"version": 6}'}
    gateway.peers._on_message(link, message)
    assert gateway.offered_configs == [
        peers_module.StoredCatalog(6, {"version": 6})
    ]


def test_loads_of_peers_are_added_up(gateway):
    for name in ("g1", "g2"):
        gateway.peers._on_message(
            gateway.open_link(name), make_occupancy_message(("a", 10.0, 2))
        )
    now_s = gateway.harness.reactor.seconds()
    assert gateway.occupancy.load("a", now_s).sequences == 4


def test_a_target_that_a_peer_reports_down_is_probed(gateway):
    gateway.harness.register(make_target("a"))
    message = {
        "type": "target_health",
        "target": "a",
        "born_ms": 1,
        "is_down": True,
        "reason": "no answer",
    }
    gateway.peers._on_message(gateway.open_link("g1"), message)
    assert gateway.harness.pending_connection_count() == 1
    assert not gateway.harness.targets.is_down(make_target("a"))


def test_a_peer_can_report_a_target_as_draining(gateway):
    gateway.harness.register(make_target("a"))
    gateway.harness.targets.apply_peer_registration(
        "a", 9, make_target("a", state=fleet.DRAINING)
    )
    assert gateway.harness.targets.available("model") == []


def test_an_older_registration_from_a_peer_is_ignored(gateway):
    gateway.harness.register(make_target("a"))
    gateway.harness.targets.apply_peer_registration(
        "a", 1, make_target("a", state=fleet.DRAINING)
    )
    assert gateway.harness.targets.available("model")


def test_a_deletion_from_a_peer_is_applied_by_its_version(gateway):
    targets = gateway.harness.targets
    gateway.harness.register(make_target("a"))
    gateway.harness.reactor.advance(10.0)
    targets.apply_peer_registration("a", 7, make_target("a"))
    targets.apply_peer_registration("a", 6, None)
    assert "a" in targets.by_name
    targets.apply_peer_registration("a", 8, None)
    assert "a" not in targets.by_name
    targets.apply_peer_registration("a", 7, make_target("a"))
    assert "a" not in targets.by_name
    targets.apply_peer_registration("a", 9, make_target("a"))
    assert "a" in targets.by_name


def test_a_deletion_is_sent_to_peers_with_the_version_of_the_store(gateway):
    targets = gateway.harness.targets
    gateway.harness.register(make_target("a"))
    gateway.harness.reactor.advance(10.0)
    sent = []
    targets.on_registration = lambda *change: sent.append(change)
    targets.apply_registrations([], ["a"], False, 12)
    assert sent == [("a", 12, None)]


def test_a_deletion_without_version_is_applied_only_during_an_outage(gateway):
    targets = gateway.harness.targets
    gateway.harness.register(make_target("a"))
    gateway.harness.reactor.advance(10.0)
    targets.apply_peer_registration("a", 0, None)
    assert "a" in targets.by_name
    targets.record_store_outage()
    targets.apply_peer_registration("a", 0, None)
    assert "a" not in targets.by_name


def test_the_pace_reported_by_a_peer_is_applied(gateway):
    gateway.harness.register(make_target("a"))
    message = {
        "type": "target_pace", "target": "a", "born_ms": 1, "pace": 4.0
    }  # fmt: skip
    gateway.peers._on_message(gateway.open_link("g1"), message)
    assert gateway.harness.targets.pace("a") == 4.0


def test_the_pace_of_an_earlier_process_is_ignored(gateway):
    gateway.harness.register(make_target("a", born_ms=7))
    message = {
        "type": "target_pace", "target": "a", "born_ms": 1, "pace": 4.0
    }  # fmt: skip
    gateway.peers._on_message(gateway.open_link("g1"), message)
    assert gateway.harness.targets.pace("a") == 1.0


@pytest.mark.parametrize(
    ("name", "born_ms", "is_avoided"),
    [("a", 7, True), ("a", 1, False), ("unknown", 7, False)],
)
def test_a_target_that_a_peer_found_full_is_avoided_for_a_short_time(
    gateway, name, born_ms, is_avoided
):
    harness = gateway.harness
    harness.register(make_target("a", born_ms=7))
    message = {"type": "full_target", "target": name, "born_ms": born_ms}
    gateway.peers._on_message(gateway.open_link("g1"), message)
    full_targets = harness.dispatcher.full_targets
    assert full_targets.is_full("a") == is_avoided
    harness.reactor.advance(full_targets_module.BACKOFF_S)
    assert not full_targets.is_full("a")


def test_peers_are_told_once_of_a_full_target_of_uneven_services(harness):
    told = []
    full_targets = harness.dispatcher.full_targets
    full_targets.on_found_full = told.append
    target = make_target("a")
    full_targets.mark(target, tell_peers=False)
    assert told == []
    harness.reactor.advance(full_targets_module.BACKOFF_S)
    full_targets.mark(target, tell_peers=True)
    full_targets.mark(target, tell_peers=True)
    assert told == [target]


def test_one_of_all_linked_gateways_polls_a_target(harness):
    stored = peers_module.StoredCatalog(5, {})
    names = ["gateway-1", "gateway-2", "gateway-3"]
    gateways = [LinkedGateway(harness, stored) for _ in names]
    for name, one in zip(names, gateways, strict=True):
        one.peers._settings = make_settings(name=name)
        for other in names:
            if other != name:
                one.open_link(other)
    for target in ("a", "b", "c", "d"):
        poller_flags = [one.peers.is_poller(target) for one in gateways]
        assert poller_flags.count(True) == 1


def test_all_registered_gateways_are_counted(gateway):
    listed = [
        client.StoredObject(
            "gateways", f"a{i}", 1, {"host": "127.0.0.1", "port": 9}
        )
        for i in range(30)
    ]
    gateway.peers._update_dialers(client.Listing(1, listed))
    assert gateway.peers.count_gateways() == 31


def test_loads_with_columns_of_unequal_length_are_ignored(gateway):
    message = {**make_occupancy_message(("a", 10, 2)), "sequences": []}
    gateway.peers._on_message(gateway.open_link("g1"), message)
    now_s = gateway.harness.reactor.seconds()
    assert gateway.occupancy.load("a", now_s).sequences == 0


def test_the_occupancy_message_of_a_gateway_is_valid(gateway):
    gateway.occupancy.reserve(
        "r", (fleet.Stage(make_target("a"), 0, 40),), 100.4, 70.2, 0.0
    )
    link = gateway.open_link("g1")
    assert codec.decode(codec.encode(link.sent[0])) == link.sent[0]
    assert link.sent[0]["token_layers"] == [4016]


def test_transfer_rates_of_peers_are_added_up(gateway):
    for name in ("g1", "g2"):
        gateway.peers._on_message(
            gateway.open_link(name), make_occupancy_message()
        )
    now_s = gateway.harness.reactor.seconds()
    assert gateway.occupancy.inter_dc_mbps(now_s) == 200.0


def test_evidence_against_a_request_is_exchanged_with_peers(gateway):
    link = gateway.open_link("gateway-2")
    entry = {"digest": 7, "targets": ["a/1"], "expires_in_s": 60.0}
    message = {"type": "suspects", "entries": [entry]}
    gateway.peers._on_message(link, message)
    assert gateway.suspects.state(7) == "suspect"
    late = gateway.open_link("gateway-3")
    assert late.sent[-1]["type"] == "suspects"
    assert [one["digest"] for one in late.sent[-1]["entries"]] == [7]


@pytest.fixture
def outage(gateway, monkeypatch):
    """Starts the peers; the store fails while the yielded list is filled."""
    failures = []

    def read_all(kind, may_be_stale=False):
        if failures:
            return defer.fail(exceptions.StoreUnavailable("down"))
        return defer.succeed(client.Listing(1, []))

    gateway.store.read_all = read_all
    gateway.peers.start()
    yield failures
    gateway.peers.stop()


def test_a_store_outage_is_detected_while_watches_wait(gateway, outage):
    clock = gateway.harness.reactor
    outage.append("down")
    clock.pump([0.1] * 50)
    assert clock.seconds() - gateway.harness.targets.last_outage_s < 1.0
    outage.clear()
    clock.pump([0.1] * 6)
    assert len(gateway.recovery_times_s) == 1
    clock.pump([0.1] * 50)
    assert len(gateway.recovery_times_s) == 1


def test_an_outage_lasts_until_the_store_answers_again(gateway, outage):
    """Guards against removals of registrations that expired meanwhile."""
    clock = gateway.harness.reactor
    outage.append("down")
    clock.pump([0.1] * 50)
    outage.clear()
    while not gateway.recovery_times_s:
        clock.advance(0.01)
    targets = gateway.harness.targets
    assert targets.last_outage_s == gateway.recovery_times_s[0]


def test_few_of_many_gateways_are_watchers(gateway):
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


def test_a_gateway_becomes_a_watcher_when_its_peers_are_lost(gateway):
    links = [gateway.open_link(f"peer-{n}") for n in range(60)]
    assert gateway.watcher_changes == [False]
    for link in links:
        link.is_open = False
        gateway.peers._on_down(link, "closed")
    assert gateway.watcher_changes == [False, True]


def test_a_gateway_with_few_peers_stays_a_watcher(gateway):
    for n in range(peers_module.WATCHER_COUNT - 1):
        gateway.open_link(f"peer-{n}")
    assert gateway.watcher_changes == []


def test_few_of_many_gateways_announce_a_configuration_at_once(harness):
    names = [f"gateway-{number}" for number in range(30)]
    announcer_count = 0
    for name in names:
        one = LinkedGateway(harness, peers_module.StoredCatalog(5, {}))
        one.peers._settings = make_settings(name=name)
        links = [one.open_link(other) for other in names if other != name]
        one.stored = peers_module.StoredCatalog(6, {})
        one.peers.announce_config()
        versions_sent = {
            message["config_version"]
            for link in links
            for message in link.sent[1:]
        }
        announcer_count += versions_sent == {6}
    assert announcer_count == peers_module.WATCHER_COUNT


def test_registrations_of_the_first_listing_are_not_announced(gateway):
    announced = []
    targets = gateway.harness.targets
    targets.on_registration = lambda *change: announced.append(change[0])
    targets.apply_registrations(
        [client.StoredObject("t", "a", 1, make_target("a"))], [], True, 1
    )
    assert announced == []
    targets.apply_registrations(
        [client.StoredObject("t", "b", 2, make_target("b"))], [], False, 2
    )
    assert announced == ["b"]


def test_few_of_many_gateways_broadcast_registrations(harness):
    names = [f"gateway-{number}" for number in range(30)]
    broadcaster_count = 0
    for name in names:
        one = LinkedGateway(harness, peers_module.StoredCatalog(5, {}))
        one.peers._settings = make_settings(name=name)
        links = [one.open_link(other) for other in names if other != name]
        one.peers.broadcast_registration("a", 2, {"state": "draining"})
        broadcaster_count += "registration" in links[0].sent_types()
    assert broadcaster_count == peers_module.WATCHER_COUNT


def test_a_registration_of_a_later_era_tells_that_the_store_was_restored(
    gateway,
):
    link = gateway.open_link("peer")
    gateway.peers._on_message(
        link,
        {
            "type": "registration",
            "target": "a",
            "version": versions.join(2, 5),
            "value": "",
        },
    )
    assert gateway.store.learned_eras == [2]


def test_times_of_plain_answers_are_exchanged_until_they_expire(gateway):
    link = gateway.open_link("g1")
    message = make_occupancy_message() | {
        "plain_targets": ["p"],
        "plain_answer_ms": [110],
    }
    codec.encode(message)
    gateway.peers._on_message(link, message)
    now_s = gateway.harness.reactor.seconds()
    gateway.plain_loads.record_answer("p", 0.03, now_s)
    assert gateway.plain_loads.answer_ms("p", now_s) == 70.0
    sent = gateway.peers._occupancy_message({}, True)
    assert (sent["plain_targets"], sent["plain_answer_ms"]) == (["p"], [30])
    codec.encode(sent)
    later_s = now_s + plain_loads.TIMES_TTL_S
    assert gateway.plain_loads.answer_ms("p", later_s) == 0.0


@pytest.mark.parametrize("times_ms", [[], [0], [10**9]])
def test_times_of_plain_answers_that_no_target_has_are_ignored(
    gateway, times_ms
):
    gateway.peers._on_message(
        gateway.open_link("g1"),
        make_occupancy_message()
        | {"plain_targets": ["p"], "plain_answer_ms": times_ms},
    )
    now_s = gateway.harness.reactor.seconds()
    assert gateway.plain_loads.answer_ms("p", now_s) == 0.0


def test_messages_are_as_before_where_times_of_answers_do_not_count(gateway):
    gateway.plain_loads.has_times = False
    gateway.plain_loads.record_answer("p", 0.03, 0.0)
    assert "plain_targets" not in gateway.peers._occupancy_message({}, True)
