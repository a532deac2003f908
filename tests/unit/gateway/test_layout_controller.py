"""Layout orders: which gateway sends them, when, and with which fencing."""

import json
from types import SimpleNamespace

import pytest
from twisted.internet import defer

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.gateway import layout_controller
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.store import client
from tests.unit.gateway.conftest import make_target

FENCING_NUMBER = 7
ACCEPTED_RESPONSE = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


class ControllerHarness:
    """The layout controller of one gateway, with an in-memory lease and store.

    Attributes:
        services: Configured services.
        held_fencing_number: Fencing number of the lease; 0 if it is not held.
        stored_plans: Values in the store, by name of the model service.
        target_report: The report that every target returns.
        silent_ports: Ports that answer nothing.
        refusing_ports: Ports that refuse connections.
    """

    def __init__(self, harness, services):
        self.harness = harness
        self.held_fencing_number = FENCING_NUMBER
        self.services = services
        self.stored_plans = {}
        self.silent_ports = set()
        self.refusing_ports = set()
        self.target_report = model.TargetReport(1, 3, False, 1.0, 0, 0)
        harness.adapter = harness.adapter._replace(
            decode_report=lambda body: self.target_report,
            encode_order=lambda *order: json.dumps(order).encode(),
        )
        harness.targets._adapter = harness.adapter
        self.controller = layout_controller.LayoutController(
            harness.reactor,
            SimpleNamespace(read=self._read, create=self._create),
            SimpleNamespace(fencing_number=self._fencing_number),
            harness.targets,
            harness.adapter,
            lambda: services,
        )
        self.controller.start()

    def _fencing_number(self):
        if not self.held_fencing_number:
            raise exceptions.LeaseLost("not held")
        return self.held_fencing_number

    def _read(self, kind, name):
        value = self.stored_plans.get(name)
        stored = value and client.StoredObject(kind, name, 1, value)
        return defer.succeed(stored)

    def _create(self, kind, name, value):
        self.stored_plans[name] = value
        return defer.succeed(None)

    def advance_clock(self, duration_s, order_response=ACCEPTED_RESPONSE):
        """Advances the clock; returns the orders that were sent.

        Args:
            duration_s: Time to advance.
            order_response: Response of targets to an order; b"" for none.
        """
        orders = []
        step_s = layout_controller.RECONCILE_INTERVAL_S / 2
        for _ in range(round(duration_s / step_s)):
            self.harness.reactor.advance(step_s)
            while self.harness.pending_connection_count():
                if self.harness.next_port() in self.refusing_ports:
                    self.harness.refuse_connection()
                    continue
                connection = self.harness.accept_connection()
                if connection.port in self.silent_ports:
                    continue
                head, _, body = connection.transport.value().partition(
                    b"\r\n\r\n"
                )
                if head.startswith(b"GET /report"):
                    connection.respond(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
                    )
                    continue
                orders.append((connection.port, *json.loads(body)))
                if order_response:
                    connection.respond(order_response)
        return orders


@pytest.fixture
def empty_targets():
    """Three targets that hold no layers."""
    return [
        make_target(name, accelerator="fast", first_layer=0, end_layer=0)
        for name in "abc"
    ]


@pytest.fixture
def controller_harness(harness, model_service, empty_targets):
    """The layout controller of a model service with three empty targets."""
    harness.register(*empty_targets)
    return ControllerHarness(harness, [model_service])


def test_all_layers_are_ordered_once_targets_are_stable(controller_harness):
    assert (
        controller_harness.advance_clock(
            layout_controller.STABLE_TARGETS_S - 0.3
        )
        == []
    )
    orders = controller_harness.advance_clock(1.0)
    ranges = sorted((first, end) for _, first, end, *_ in orders)
    assert ranges[0][0] == 0
    assert ranges[-1][1] == 80
    assert all(order[3:] == (FENCING_NUMBER, 3) for order in orders)


def test_no_order_is_sent_without_the_lease(controller_harness):
    controller_harness.held_fencing_number = 0
    assert controller_harness.advance_clock(5.0) == []


def test_an_order_without_a_response_is_not_repeated_immediately(
    controller_harness,
):
    orders = controller_harness.advance_clock(
        layout_controller.STABLE_TARGETS_S + 0.5, order_response=b""
    )
    assert orders
    assert (
        controller_harness.advance_clock(
            layout_controller.REORDER_DELAY_S - 1.0, order_response=b""
        )
        == []
    )


def test_a_target_that_reports_another_range_gets_no_order(controller_harness):
    controller_harness.target_report = (
        controller_harness.target_report._replace(end_layer=12)
    )
    assert controller_harness.advance_clock(3.0) == []


def test_a_new_lease_holder_continues_the_stored_plan(controller_harness):
    controller_harness.stored_plans["model"] = [
        ["dc-a", "fast", 0, 40, 0],
        ["dc-a", "fast", 40, 80, 0],
    ]
    orders = controller_harness.advance_clock(2.0)
    assert sorted(order[1:3] for order in orders) == [(0, 40), (40, 80)]


def test_each_model_service_gets_a_layout(
    harness, model_service, empty_targets
):
    second_service = model_service._replace(name="second")
    second_targets = [
        target._replace(
            name=f"{target.name}2", service="second", port=target.port + 1
        )
        for target in empty_targets
    ]
    harness.register(*empty_targets, *second_targets)
    controller_harness = ControllerHarness(
        harness, [model_service, second_service]
    )
    assert controller_harness.advance_clock(3.0)
    assert set(controller_harness.stored_plans) == {"model", "second"}


def test_a_plan_that_a_restored_store_lacks_is_written_again(
    controller_harness,
):
    controller_harness.advance_clock(3.0)
    plan = controller_harness.stored_plans.pop("model")
    controller_harness.controller.on_lease(False)
    controller_harness.controller.on_lease(True)
    assert controller_harness.advance_clock(1.0) == []
    assert controller_harness.stored_plans["model"] == plan


def test_a_lost_plan_is_taken_from_what_the_targets_hold(
    harness, model_service
):
    """A holder that has never read the plan moves no layers."""
    ranges = {"a": (0, 25), "b": (25, 60), "c": (60, 80)}
    harness.register(
        *(
            make_target(
                name, accelerator="fast", first_layer=first, end_layer=end
            )
            for name, (first, end) in ranges.items()
        )
    )
    controller_harness = ControllerHarness(harness, [model_service])
    assert controller_harness.advance_clock(5.0) == []
    stored = controller_harness.stored_plans["model"]
    assert [tuple(row[2:4]) for row in stored] == list(ranges.values())


def register_holders(harness, ranges):
    """Registers targets that hold ranges of layers, by name."""
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


@pytest.fixture
def serving_harness(harness, model_service):
    """A controller whose plan is filled, with one target more."""
    ranges = {"a": (0, 25), "b": (25, 60), "c": (60, 80), "d": (0, 10)}
    register_holders(harness, ranges)
    serving = ControllerHarness(harness, [model_service])
    serving.stored_plans["model"] = [
        ["dc-a", "fast", *ranges[name], 0] for name in "abc"
    ]
    # It is the report of the target that would get an order.
    serving.target_report = serving.target_report._replace(end_layer=10)
    assert serving.advance_clock(2.0) == []
    return serving


def suspect(serving, name):
    """Lets the registry probe a target; returns the target."""
    target = serving.harness.targets.by_name[name]
    serving.harness.targets.probe_suspect(target, "test")
    return target


def silence(serving, name):
    """Lets a target answer nothing from now on; returns it."""
    target = suspect(serving, name)
    serving.silent_ports.add(target.port)
    return target


def test_the_range_of_a_target_that_is_silent_for_a_second_is_not_filled(
    serving_harness,
):
    target = silence(serving_harness, "b")
    assert serving_harness.advance_clock(1.25) == []
    assert serving_harness.harness.targets.is_down(target)
    serving_harness.silent_ports.clear()
    assert serving_harness.advance_clock(5.0) == []
    assert not serving_harness.harness.targets.is_down(target)


def test_the_range_of_a_target_that_stays_silent_is_filled(serving_harness):
    silence(serving_harness, "b")
    orders = serving_harness.advance_clock(
        layout_controller.MAX_SILENCE_S + 1.5
    )
    assert [order[1:3] for order in orders] == [(25, 60)]


def test_the_range_of_a_target_that_has_ended_is_filled_at_once(
    serving_harness,
):
    target = suspect(serving_harness, "b")
    serving_harness.refusing_ports.add(target.port)
    orders = serving_harness.advance_clock(0.75)
    assert [order[1:3] for order in orders] == [(25, 60)]


def test_the_range_of_a_silent_target_that_is_removed_is_filled_at_once(
    serving_harness,
):
    silence(serving_harness, "b")
    serving_harness.advance_clock(0.75)
    serving_harness.harness.targets.apply_registrations([], ["b"], False, 2)
    orders = serving_harness.advance_clock(0.75)
    assert [order[1:3] for order in orders] == [(25, 60)]


def test_a_range_is_filled_by_no_silent_target(serving_harness):
    registry = serving_harness.harness.targets
    other = registry.by_name["d"]._replace(name="e", port=6001)
    serving_harness.harness.register(other)
    silence(serving_harness, "d")
    serving_harness.advance_clock(0.5)
    ended = suspect(serving_harness, "b")
    serving_harness.refusing_ports.add(ended.port)
    orders = serving_harness.advance_clock(1.0)
    assert [(order[0], *order[1:3]) for order in orders] == [(6001, 25, 60)]


def test_a_range_of_a_silent_target_is_not_filled_by_the_next_lease_holder(
    serving_harness, model_service
):
    silence(serving_harness, "b")
    assert serving_harness.advance_clock(0.5) == []
    serving_harness.held_fencing_number = 0
    next_holder = ControllerHarness(serving_harness.harness, [model_service])
    next_holder.stored_plans = serving_harness.stored_plans
    next_holder.target_report = serving_harness.target_report
    next_holder.silent_ports = serving_harness.silent_ports
    assert next_holder.advance_clock(0.75) == []
    next_holder.silent_ports.clear()
    assert next_holder.advance_clock(5.0) == []


def test_a_plan_lost_while_a_target_is_silent_still_has_its_range(
    serving_harness, model_service
):
    serving_harness.harness.targets.apply_registrations([], ["d"], False, 2)
    silence(serving_harness, "b")
    assert serving_harness.advance_clock(0.5) == []
    serving_harness.held_fencing_number = 0
    next_holder = ControllerHarness(serving_harness.harness, [model_service])
    next_holder.silent_ports = serving_harness.silent_ports
    assert next_holder.advance_clock(1.5) == []
    next_holder.silent_ports.clear()
    assert next_holder.advance_clock(3.0) == []
    stored = next_holder.stored_plans["model"]
    assert [tuple(row[2:4]) for row in stored] == [(0, 25), (25, 60), (60, 80)]


def test_a_gateway_that_starts_while_a_target_is_silent_fills_no_range(
    harness, model_service
):
    """It takes the target for sound until a poll of its report fails."""
    ranges = {"a": (0, 25), "b": (25, 60), "c": (60, 80), "d": (0, 10)}
    register_holders(harness, ranges)
    starting = ControllerHarness(harness, [model_service])
    starting.stored_plans["model"] = [
        ["dc-a", "fast", *ranges[name], 0] for name in "abc"
    ]
    starting.target_report = starting.target_report._replace(end_layer=10)
    silent = harness.targets.by_name["b"]
    starting.silent_ports.add(silent.port)
    for _ in range(5):
        harness.targets.poll_reports(lambda name: True)
        assert starting.advance_clock(0.25) == []
    assert harness.targets.is_down(silent)
    starting.silent_ports.clear()
    assert starting.advance_clock(5.0) == []


def test_a_service_that_returns_while_a_target_is_silent_has_its_plan(
    serving_harness, model_service
):
    serving_harness.services.clear()
    silence(serving_harness, "b")
    assert serving_harness.advance_clock(0.75) == []
    serving_harness.services.append(model_service)
    assert serving_harness.advance_clock(0.5) == []
    serving_harness.silent_ports.clear()
    assert serving_harness.advance_clock(5.0) == []
