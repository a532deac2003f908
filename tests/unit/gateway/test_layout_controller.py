"""The layout's orders: who gives them, when, and with what condition."""

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
ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


class Duty:
    """The duty of one gateway, with a lease and a store in memory."""

    def __init__(self, bench, services):
        self.bench = bench
        self.number = FENCING_NUMBER
        self.stored = {}
        self.reported = model.TargetReport(1, 3, False, 1.0, 0, 0)
        bench.adapter = bench.adapter._replace(
            decode_report=lambda body: self.reported,
            encode_order=lambda *order: json.dumps(order).encode(),
        )
        bench.targets._adapter = bench.adapter
        self.layout = layout_controller.LayoutController(
            bench.reactor,
            SimpleNamespace(read=self._read, create=self._create),
            SimpleNamespace(fencing_number=self._fencing_number),
            bench.targets,
            bench.adapter,
            lambda: services,
        )
        self.layout.start()

    def _fencing_number(self):
        if not self.number:
            raise exceptions.LeaseLost("not held")
        return self.number

    def _read(self, kind, name):
        value = self.stored.get(name)
        stored = value and client.StoredObject(kind, name, 1, value)
        return defer.succeed(stored)

    def _create(self, kind, name, value):
        self.stored[name] = value
        return defer.succeed(None)

    def run(self, duration_s, answer=ACCEPTED):
        """Lets time pass; returns the orders that were sent.

        Args:
            duration_s: How long.
            answer: What targets answer to an order; b"" for nothing.
        """
        orders = []
        step_s = layout_controller.RECONCILE_INTERVAL_S / 2
        for _ in range(round(duration_s / step_s)):
            self.bench.reactor.advance(step_s)
            while self.bench.opened():
                sent = self.bench.connect()
                head, _, body = sent.transport.value().partition(b"\r\n\r\n")
                if head.startswith(b"GET /report"):
                    sent.answer(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
                    )
                    continue
                orders.append((sent.port, *json.loads(body)))
                if answer:
                    sent.answer(answer)
        return orders


@pytest.fixture
def empty_targets():
    """Returns three targets that hold no layers."""
    return [
        make_target(name, accelerator="fast", first_layer=0, end_layer=0)
        for name in "abc"
    ]


@pytest.fixture
def duty(bench, model_service, empty_targets):
    """The duty of one model service with three empty targets."""
    bench.register(*empty_targets)
    return Duty(bench, [model_service])


def test_all_layers_are_ordered_once_targets_have_settled(duty):
    assert duty.run(layout_controller.STABLE_TARGETS_S - 0.3) == []
    orders = duty.run(1.0)
    ranges = sorted((first, end) for _, first, end, *_ in orders)
    assert ranges[0][0] == 0
    assert ranges[-1][1] == 80
    assert all(order[3:] == (FENCING_NUMBER, 3) for order in orders)


def test_no_order_is_given_without_the_lease(duty):
    duty.number = 0
    assert duty.run(5.0) == []


def test_an_order_without_an_answer_is_not_repeated_at_once(duty):
    first = duty.run(layout_controller.STABLE_TARGETS_S + 0.5, answer=b"")
    assert first
    assert duty.run(layout_controller.REORDER_DELAY_S - 1.0, answer=b"") == []


def test_a_target_that_holds_something_else_gets_no_order(duty):
    duty.reported = duty.reported._replace(end_layer=12)
    assert duty.run(3.0) == []


def test_a_successor_goes_on_with_the_stored_plan(duty):
    duty.stored["model"] = [
        ["dc-a", "fast", 0, 40, 0],
        ["dc-a", "fast", 40, 80, 0],
    ]
    orders = duty.run(2.0)
    assert sorted(order[1:3] for order in orders) == [(0, 40), (40, 80)]


def test_each_model_service_gets_a_layout(bench, model_service, empty_targets):
    second = model_service._replace(name="second")
    others = [
        target._replace(
            name=f"{target.name}2", service="second", port=target.port + 1
        )
        for target in empty_targets
    ]
    bench.register(*empty_targets, *others)
    duty = Duty(bench, [model_service, second])
    assert duty.run(3.0)
    assert set(duty.stored) == {"model", "second"}
