"""Load on a plain service: nine gateways, three targets of six slots.

A target runs as many requests as it has slots, queues as many more and
rejects any beyond. The tests check what callers observe: the share of the
answers within the latency objective, and refusals.
"""

import random

import pytest

from hemlocktiller._internal.gateway import calls
from hemlocktiller._internal.policy import budget
from hemlocktiller._internal.policy import plain_loads
from tests.fakes import connections
from tests.unit.gateway.conftest import GatewayHarness
from tests.unit.gateway.conftest import make_target

GATEWAY_COUNT = 9
SLOTS = 6
QUEUE_LENGTH = 6
STEP_S = 0.002
STEPS_PER_REPORT = 125
DURATION_S = 6.0
WORK_S = 0.0225
LATENCY_OBJECTIVE_S = 0.146
# Requests per second of the users, and in bursts up to the capacity of all
# targets, which is 800 per second.
QUIET_PER_S = 7.4
BUSY_PER_S = 300.0
BURST_PER_S = 600.0
ONE_SLOW_TARGET = (1.0, 1.0, 5.0)
ONE_VERY_SLOW_TARGET = (1.0, 1.0, 20.0)


class PlainTarget:
    """A target that runs some requests at once and queues a few more."""

    def __init__(self, reactor, rng, work_s):
        self._reactor = reactor
        self._rng = rng
        self._work_s = work_s
        self._running = 0
        self._queue = []
        self.rejected = 0

    def accept(self, connection):
        """Runs, queues or rejects the request of a connection."""
        if self._running < SLOTS:
            self._run(connection)
        elif len(self._queue) < QUEUE_LENGTH:
            self._queue.append(connection)
        else:
            self.rejected += 1
            connection.respond(
                b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
            )

    def _run(self, connection):
        self._running += 1
        work_s = self._work_s * self._rng.lognormvariate(-0.125, 0.5)
        self._reactor.callLater(work_s, self._end, connection)

    def _end(self, connection):
        self._running -= 1
        if not connection.transport.disconnecting:
            connection.respond(
                b"HTTP/1.1 200 OK\r\nSignature: s\r\n"
                b"Content-Length: 4\r\n\r\ndone"
            )
        while self._queue and self._running < SLOTS:
            waiting = self._queue.pop(0)
            if not waiting.transport.disconnecting:
                self._run(waiting)


class PlainSimulation:
    """Gateways and targets, with the results that callers got."""

    def __init__(
        self, service, route, work_factors=(1.0, 1.0, 1.0), has_times=True
    ):
        self.harness = GatewayHarness()
        self.reactor = self.harness.reactor
        self._service = service
        self._has_times = has_times
        self._route = route._replace(target_latency_s=LATENCY_OBJECTIVE_S)
        self._rng = random.Random(1)
        self.targets_by_port = {
            3000 + number: PlainTarget(
                self.reactor, self._rng, WORK_S * factor
            )
            for number, factor in enumerate(work_factors)
        }
        self.harness.register(
            *(
                make_target(
                    f"t{port}",
                    service="plain",
                    accelerator="",
                    slots=SLOTS,
                    port=port,
                    data_centre=f"dc-{'abc'[port % 3]}",
                )
                for port in self.targets_by_port
            )
        )
        self.gateways = [self._make_gateway(i) for i in range(GATEWAY_COUNT)]
        self._accepted = 0
        self._admitted = []

    def _make_gateway(self, number):
        own_budget = budget.RetryBudget(
            {"budget_ratio": 0.2, "budget_min_per_s": 5.0}
        )
        context = self.harness.context._replace(
            retry_budget_for=lambda service: own_budget,
            data_centre=f"dc-{'abc'[number % 3]}",
            node=f"g{number}",
        )
        loads = plain_loads.PlainLoads()
        loads.has_times = self._has_times
        return context, loads

    def _exchange_loads(self):
        """Sends the loads by one gateway to the others."""
        step = round(self.reactor.seconds() / STEP_S) % STEPS_PER_REPORT
        number, rest = divmod(step, STEPS_PER_REPORT // GATEWAY_COUNT)
        if rest or number >= GATEWAY_COUNT:
            return
        now_s = self.reactor.seconds()
        reported = self.gateways[number][1].own_times_ms(now_s)
        for _, loads in self.gateways:
            if loads is not self.gateways[number][1]:
                loads.apply_peer_times(
                    f"g{number}",
                    list(reported),
                    list(reported.values()),
                    now_s,
                )

    def run(self, per_s, seed=1):
        """Sends requests at random times, and lets the last ones end."""
        rng = random.Random(seed)
        for _ in range(round(DURATION_S / STEP_S)):
            left = rng.expovariate(1.0)
            while left < per_s * STEP_S:
                self._send(rng)
                left += rng.expovariate(1.0)
            self._step()
        for _ in range(round(1.0 / STEP_S)):
            self._step()
        return self

    def _step(self):
        while self._accepted < len(self.reactor.tcpClients):
            port = self.reactor.tcpClients[self._accepted][1]
            is_stopped = self.reactor.connectors[
                self._accepted
            ].stoppedConnecting
            if not is_stopped:
                connection = connections.accept(self.reactor, self._accepted)
                self.targets_by_port[port].accept(connection)
            self._accepted += 1
        self._exchange_loads()
        self.reactor.advance(STEP_S)

    def _send(self, rng):
        context, outstanding = rng.choice(self.gateways)
        admitted = self.harness.admit(
            self._service, self._route, request_id=f"r{len(self._admitted)}"
        )
        received = admitted.caller_request
        finish = received.finish_response

        def record_end():
            received.took_s = self.reactor.seconds() - received.received_at_s
            finish()

        received.finish_response = record_end
        self._admitted.append(received)
        calls.Call(
            context, outstanding, rng, admitted, lambda call: None
        ).start()

    def in_time_ratio(self):
        """Returns the share of requests that were answered in time."""
        return sum(
            one.status == 200 and one.took_s <= LATENCY_OBJECTIVE_S
            for one in self._admitted
        ) / len(self._admitted)

    def refused_ratio(self):
        """Returns the share of requests that got no answer of a target."""
        return sum(one.status != 200 for one in self._admitted) / len(
            self._admitted
        )


@pytest.mark.parametrize("per_s", [3 * QUIET_PER_S, BURST_PER_S])
def test_equal_targets_answer_in_time(plain_service, booking_route, per_s):
    simulation = PlainSimulation(plain_service, booking_route).run(per_s)
    assert simulation.refused_ratio() == 0.0
    assert simulation.in_time_ratio() >= 0.999


@pytest.mark.parametrize(
    ("per_s", "min_in_time"),
    [(QUIET_PER_S, 0.97), (3 * QUIET_PER_S, 0.97), (BUSY_PER_S, 0.99)],
)
def test_few_calls_wait_for_a_slow_target(
    plain_service, booking_route, per_s, min_in_time
):
    simulation = PlainSimulation(
        plain_service, booking_route, ONE_SLOW_TARGET
    ).run(per_s)
    assert simulation.refused_ratio() == 0.0
    assert simulation.in_time_ratio() >= min_in_time


def test_a_lost_attempt_shows_that_its_target_is_slow(
    plain_service, lookup_route
):
    """A lookup is answered by its second target before the slow one."""
    late_ratios = [
        1.0
        - PlainSimulation(
            plain_service, lookup_route, ONE_VERY_SLOW_TARGET, has_times
        )
        .run(3 * QUIET_PER_S)
        .in_time_ratio()
        for has_times in (True, False)
    ]
    assert late_ratios[0] < 0.5 * late_ratios[1]


def test_a_slow_target_is_used_when_the_others_are_full(
    plain_service, booking_route
):
    simulation = PlainSimulation(
        plain_service, booking_route, ONE_SLOW_TARGET
    ).run(BURST_PER_S)
    without_times = PlainSimulation(
        plain_service, booking_route, ONE_SLOW_TARGET, has_times=False
    ).run(BURST_PER_S)
    assert simulation.in_time_ratio() > without_times.in_time_ratio()
    assert simulation.refused_ratio() < 1.25 * without_times.refused_ratio()
