"""Layouts of uneven targets are repaired while the store is away."""

import pytest
from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.control import lease as lease_module
from hemlocktiller._internal.control import outage_permission
from hemlocktiller._internal.gateway import app
from hemlocktiller._internal.gateway import layout_controller
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.policy import fleet
from tests.fakes import memory
from tests.unit.gateway.conftest import ACCELERATORS
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_layout_controller import ACCEPTED_RESPONSE
from tests.unit.gateway.test_layout_controller import ControllerHarness
from tests.unit.gateway.test_layout_controller import suspect

# `d` and `e` hold layers that no planned range needs.
RANGES = {"a": (0, 25), "b": (25, 60), "c": (60, 80), "d": (0, 10)}
STEP_S = layout_controller.RECONCILE_INTERVAL_S / 2
OUTDATED_RESPONSE = (
    b"HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n"
)
# The lease runs out, and two calls after that fail.
REPAIR_DELAY_S = 5.0


class Gateway(ControllerHarness):
    """A gateway's layout controller with a lease in the fake store.

    Attributes:
        is_turned_away: Whether the store refuses this gateway's calls.
        words: What it told its peers.
    """

    def __init__(self, platform, harness, service, name):
        super().__init__(harness, [service])
        self.platform = platform
        self.is_turned_away = False
        self.announcements = []
        self.store = platform.store(name)
        self.store.settings = {**memory.STORE_SETTINGS, "retry_max_s": 0.5}
        send = self.store._transport.call
        self.store._transport.call = lambda *call, **options: (
            defer.fail(exceptions.StoreUnavailable("503"))
            if self.is_turned_away
            else send(*call, **options)
        )
        self.lease = lease_module.Lease(
            self.store,
            app.LAYOUT_LEASE_NAME,
            app.LAYOUT_LEASE_SETTINGS,
            harness.reactor,
            self.controller.on_lease,
            platform.clock.seconds,
        )
        self.controller._store = self.store
        self.controller._lease = self.lease
        self.controller.on_announcement = lambda *announcement: (
            self.announcements.append(announcement)
        )
        self.lease.start()

    def die(self):
        """Ends the process, without telling the store."""
        self.controller.stop()
        self.lease._stopped = True
        self.lease._loop.cancel()

    def advance(self, duration_s, response=ACCEPTED_RESPONSE):
        """Advances all clocks; returns the orders sent by all gateways."""
        orders = []
        for _ in range(round(duration_s / STEP_S)):
            self.platform.run(STEP_S + 0.025)
            orders += self.advance_clock(STEP_S, order_response=response)
        return orders

    def lose(self, name):
        """Ends a target: its port refuses connections."""
        self.refusing_ports.add(suspect(self, name).port)


@pytest.fixture
def uneven_service(model_service, engine):
    """A service one of whose accelerators is 12 times as slow as another."""
    slowest = fleet.Accelerator("slowest", 21_600.0, 30.0, 15.0)
    kinds = {**ACCELERATORS, "slowest": slowest}
    return model_service._replace(engine=engine._replace(accelerators=kinds))


def register(harness, ranges):
    """Registers targets that hold ranges of layers."""
    harness.register(
        *(
            make_target(
                name,
                accelerator="fast",
                first_layer=first,
                end_layer=end,
                port=5000 + ord(name),
            )
            for name, (first, end) in ranges.items()
        )
    )


def start_serving(platform, harness, service):
    """Returns a gateway that holds the lease; all layers have a holder."""
    register(harness, RANGES)
    store = platform.store("operator")
    rows = [["dc-a", "fast", *RANGES[name], 0] for name in "abc"]
    platform.result(
        store.create(layout_controller.PLAN_KIND, service.name, rows)
    )
    gateway = Gateway(platform, harness, service, "first")
    gateway.target_report = gateway.target_report._replace(end_layer=10)
    assert gateway.advance(4.0) == []
    assert gateway.lease.fencing_number()
    return gateway


@pytest.fixture
def serving(platform, harness, uneven_service):
    """The holder of the lease of an uneven service."""
    return start_serving(platform, harness, uneven_service)


@pytest.mark.parametrize("outage", ["refuse", "hang"])
def test_layers_lost_in_an_outage_are_loaded_before_its_end(
    platform, serving, outage
):
    number = serving.lease.fencing_number()
    platform.faults(outage=outage)
    serving.advance(REPAIR_DELAY_S + 2.0)
    with pytest.raises(exceptions.LeaseLost):
        serving.lease.fencing_number()
    serving.lose("b")
    orders = serving.advance(2.0)
    assert [order[1:4] for order in orders] == [(25, 60, number)]
    # It keeps counting as the holder of its new range.
    assert serving.advance(20.0) == []


def test_other_layouts_wait_for_the_store(platform, harness, model_service):
    serving = start_serving(platform, harness, model_service)
    platform.faults(outage="refuse")
    serving.advance(REPAIR_DELAY_S)
    serving.lose("b")
    assert serving.advance(10.0) == []
    assert serving.announcements == []


def test_an_outage_moves_no_spare(platform, serving):
    empty = make_target("e", accelerator="fast", end_layer=0, port=6001)
    platform.faults(outage="refuse")
    serving.advance(REPAIR_DELAY_S)
    serving.harness.register(empty)
    assert serving.advance(10.0) == []


def test_what_a_drain_uncovers_is_loaded_while_it_still_serves(
    platform, serving
):
    """A crash and two targets that leave at once, in an outage."""
    register(serving.harness, {"e": (0, 10), "f": (0, 10)})
    platform.faults(outage="refuse")
    serving.advance(REPAIR_DELAY_S)
    by_name = serving.harness.targets.by_name
    for name in "ac":
        serving.harness.targets._record_leaving(by_name[name])
    serving.lose("b")
    orders = serving.advance(1.5)
    assert sorted(order[1:3] for order in orders) == [
        RANGES[name] for name in "abc"
    ]
    assert not any(
        serving.harness.targets.is_down(by_name[name]) for name in "ac"
    )


def test_requests_and_peers_learn_what_targets_hold(platform, serving):
    platform.faults(outage="refuse")
    serving.advance(REPAIR_DELAY_S)
    serving.lose("b")
    serving.advance(2.0)
    serving.target_report = serving.target_report._replace(
        first_layer=25, end_layer=60
    )
    serving.advance(1.5)
    loaded = serving.harness.targets.by_name["d"]
    assert (loaded.first_layer, loaded.end_layer) == (25, 60)
    assert [layers for _, layers in serving.announcements if layers] == [
        (targets_module.ReportedLayers("d", 1, 25, 60),)
    ]


def test_nobody_repairs_once_the_holder_died_until_the_store_is_back(
    platform, serving, uneven_service
):
    second = Gateway(platform, serving.harness, uneven_service, "second")
    second.target_report = serving.target_report
    number = serving.lease.fencing_number()
    second.advance(1.0)
    platform.faults(outage="refuse")
    second.advance(REPAIR_DELAY_S)
    serving.die()
    second.lose("b")
    assert second.advance(10.0) == []
    platform.faults()
    # Any process waits for a whole lease without a renewal.
    lease_s = app.LAYOUT_LEASE_SETTINGS["duration_s"]
    (order,) = second.advance(lease_s + 2.0)
    assert order[1:3] == (25, 60)
    assert order[3] > number


def test_a_holder_that_stops_in_an_outage_hands_the_repair_over(
    platform, serving, uneven_service
):
    second = Gateway(platform, serving.harness, uneven_service, "second")
    second.target_report = serving.target_report
    number = serving.lease.fencing_number()
    second.advance(8.0)
    platform.faults(outage="refuse")
    second.advance(REPAIR_DELAY_S)
    assert serving.controller.number_to_hand_over() == number
    serving.controller.stop()
    serving.lease.release()
    # A number that the store has not named is of no use.
    second.controller.take_over("bad", 2**60)
    second.lose("b")
    assert second.advance(1.0) == []
    second.controller.take_over("first", number)
    orders = second.advance(2.0)
    assert [order[1:4] for order in orders] == [(25, 60, number)]
    platform.faults()
    second.advance(8.0)
    assert second.lease.fencing_number() > number


def turn_away(platform, serving, service):
    """Has the store turn the holder away; returns the new one."""
    second = Gateway(platform, serving.harness, service, "second")
    second.target_report = serving.target_report
    second.controller.stop()
    second.advance(1.0)
    serving.is_turned_away = True
    serving.advance(REPAIR_DELAY_S + 3.0)
    assert second.lease.fencing_number()
    return second


def test_the_holder_that_the_store_turns_away_stops_at_the_first_412(
    platform, serving, uneven_service
):
    turn_away(platform, serving, uneven_service)
    serving.lose("b")
    assert len(serving.advance(1.5, OUTDATED_RESPONSE)) == 1
    assert serving.advance(30.0) == []


def test_the_holder_that_the_store_turns_away_stops_at_a_peers_word(
    platform, serving, uneven_service
):
    second = turn_away(platform, serving, uneven_service)
    number = second.lease.fencing_number()
    serving.controller.apply_announcement("second", number, ())
    serving.lose("b")
    assert serving.advance(30.0) == []


def test_a_holder_tells_its_number_once(platform, serving):
    serving.advance(10.0)
    assert serving.announcements == [(serving.lease.fencing_number(), ())]


def test_an_absurd_number_of_a_peer_ends_one_outage_only(platform, serving):
    serving.controller.apply_announcement("bad", 2**60, ())
    serving.advance(3.0)
    platform.faults(outage="refuse")
    serving.advance(REPAIR_DELAY_S)
    serving.lose("b")
    assert len(serving.advance(1.5)) == 1


def test_a_peers_word_on_unknown_layers_has_no_effect(serving):
    before = dict(serving.harness.targets.by_name)
    rows = [("d", 1, 60, 81), ("d", 1, 9, 3), ("d", 2, 0, 5), ("x", 1, 0, 5)]
    serving.controller.apply_announcement(
        "bad", 1, [targets_module.ReportedLayers(*row) for row in rows]
    )
    assert serving.harness.targets.by_name == before


def test_an_order_whose_answer_is_lost_is_repeated_rarely_and_refusably(
    platform, serving
):
    """The target carries it out 12 s late."""
    platform.faults(outage="refuse")
    serving.advance(REPAIR_DELAY_S)
    serving.lose("b")
    orders = serving.advance(12.0, b"")
    assert 0 < len(orders) <= 12.0 / layout_controller.REORDER_DELAY_S
    # Each names the count of accepted orders, so one at most takes effect.
    assert {order[4] for order in orders} == {3}
    serving.target_report = serving.target_report._replace(
        accepted_orders=4, first_layer=25, end_layer=60
    )
    assert serving.advance(10.0) == []
    assert serving.harness.targets.by_name["d"].end_layer == 60


def test_a_store_that_is_back_with_an_older_state_ends_the_repair(
    platform, serving
):
    copied = platform.state.copy()
    platform.faults(outage="refuse")
    serving.advance(REPAIR_DELAY_S)
    platform.state.restore(copied)
    # A peer's message tells the era before the store answers this process.
    serving.store.learn_era(1)
    serving.lose("b")
    assert serving.advance(5.0) == []


def test_a_paused_holder_orders_nothing_before_it_knows_of_the_outage(
    platform, serving
):
    serving.lose("b")
    # Its timers stand still for longer than its lease lasts.
    platform.run(20.0)
    writes = platform.writes(lease_module.KIND)
    platform.faults(outage="hang")
    assert serving.advance(2.0) == []
    assert platform.writes(lease_module.KIND) > writes
    assert len(serving.advance(7.0)) == 1


def test_a_repair_without_the_store_ends_after_a_while(platform, serving):
    platform.faults(outage="refuse")
    serving.advance(70.0)
    serving.lose("b")
    assert serving.advance(10.0) == []


def test_a_call_that_failed_in_a_pause_is_no_evidence():
    clock = task.Clock()
    permission = outage_permission.OutagePermission(
        {"timeout_s": 1.0, "retry_max_s": 0.5}, clock.seconds
    )

    def pass_time(duration_s, failing):
        for _ in range(round(duration_s / 0.5)):
            clock.advance(0.5)
            if failing:
                permission.record_failure(clock.seconds() - 0.25)
            permission.number()

    permission.record_held(7, 2.0)
    pass_time(1.0, failing=False)
    clock.advance(1.5)
    # Its timer fires before the answer that has arrived is read.
    permission.record_failure(clock.seconds() - 1.25)
    assert permission.number()[0] == 0
    clock.advance(0.25)
    permission.record_failure(clock.seconds() - 0.25)
    assert permission.number()[0] == 0
    pass_time(1.0, failing=True)
    assert permission.number()[0] == 7
    clock.advance(2.0)
    assert permission.number()[0] == 0
    pass_time(1.0, failing=True)
    permission.record_answer()
    assert permission.number()[0] == 0
