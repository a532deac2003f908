"""Load on a complete layout: five gateways and simulated targets.

The layout is that of a small deployment of the users in three data centres,
and the lengths of prompts and outputs are distributed as theirs are. The tests
check what callers observe: a first event within the latency objective, few
preemptions, and no rejection of requests that fit.
"""

import math
import random

import pytest

from hemlocktiller._internal.gateway import dispatcher as dispatcher_module
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import layout
from hemlocktiller._internal.policy import paths
from tests.fakes import simulated_targets
from tests.unit.gateway.conftest import GatewayHarness
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_layout import ACCELERATOR_COUNTS

GATEWAY_COUNT = 5
FIRST_EVENT_LIMIT_S = 0.5
DURATION_S = 8.0
# Requests per second of the users on a quiet day, and in a burst of 1.25 times
# the rate of a busy day.
QUIET_PER_S = 33.0
# More than the targets can run, for longer than a burst.
OVERLOAD_PER_S = 100.0
BURST_PER_S = 59.0
PROMPT_TOKENS, OUTPUT_TOKENS = 734.0, 195.0


class LoadSimulation:
    """Gateways and simulated targets, with the results that callers got.

    Attributes:
        first_event_times_s: Times from request to first event.
        response_times_s: Times from dispatch to the end of the response.
        rejected: Number of rejected requests.
        submitted: Number of submitted requests.
        accelerator_counts: Targets by data centre and accelerator.
        gateway_count: Number of gateways.
    """

    accelerator_counts = ACCELERATOR_COUNTS
    gateway_count = GATEWAY_COUNT

    def __init__(
        self,
        harness,
        service,
        choose_path_factory=None,
        latency_objective_s=math.inf,
        gateway_count=None,
    ):
        if gateway_count is not None:
            self.gateway_count = gateway_count
        self.harness = harness
        self.service = service
        self.targets = simulated_targets.Targets(service.engine)
        self.first_event_times_s = []
        self.response_times_s = []
        self._latency_objective_s = latency_objective_s
        self.rejected = 0
        self.submitted = 0
        empty = [
            make_target(
                f"{data_centre}-{kind}-{number}",
                data_centre=data_centre,
                accelerator=kind,
                port=2000 + 100 * data_centre_index + 20 * kind_index + number,
                first_layer=0,
                end_layer=0,
            )
            for data_centre_index, (data_centre, kinds) in enumerate(
                self.accelerator_counts.items()
            )
            for kind_index, (kind, count) in enumerate(kinds.items())
            for number in range(count)
        ]
        plan = layout.plan_ranges(empty, service.engine)
        harness.register(
            *(
                one.target._replace(
                    first_layer=one.first_layer, end_layer=one.end_layer
                )
                for one in layout.fill_ranges(plan, empty, service.engine)
            )
        )
        self.gateways = [
            dispatcher_module.Dispatcher(
                harness.reactor,
                harness.targets,
                list(self.accelerator_counts)[
                    number % len(self.accelerator_counts)
                ],
                random.Random(number),
            )
            for number in range(self.gateway_count)
        ]
        for gateway in self.gateways:
            gateway.occupancy.count_gateways = lambda: self.gateway_count
            if choose_path_factory is not None:
                gateway.choose_path = choose_path_factory(gateway, service)

    def run(self, per_s, seed):
        """Submits requests at random times for `DURATION_S`."""
        rng = random.Random(seed)
        steps = round(DURATION_S / simulated_targets.STEP_S)
        steps_per_report = round(
            self.gateways[0].occupancy.report_interval_s()
            / simulated_targets.STEP_S
        )
        for step in range(steps):
            for _ in range(_poisson(rng, per_s * simulated_targets.STEP_S)):
                self._submit_request(rng)
            self.targets.advance()
            self.harness.reactor.advance(simulated_targets.STEP_S)
            self._broadcast_due(step, steps_per_report)

    def in_time_ratio(self):
        """Returns the share of requests with a first event in time."""
        in_time_count = sum(
            time_s <= FIRST_EVENT_LIMIT_S
            for time_s in self.first_event_times_s
        )
        return in_time_count / self.submitted

    def draw_lengths(self, rng):
        """Returns the tokens of a prompt, its output and the caller's hint."""
        prompt = min(
            2280.0, rng.lognormvariate(0.0, 0.8) * PROMPT_TOKENS / 1.4
        )
        output = min(590.0, rng.lognormvariate(0.0, 0.7) * OUTPUT_TOKENS / 1.3)
        return prompt, output, output * rng.lognormvariate(0.0, 0.5)

    def estimate_demand(self, gateway, prompt, expected):
        """Returns the demand that a gateway expects of a request."""
        return dispatcher_module.estimate_demand(
            prompt, expected, self.service.engine
        )

    def record_end(self, gateway, request, response_time_s):
        """Handles the end of a response."""
        self.response_times_s.append(response_time_s)
        gateway.discard(request.key)

    def _submit_request(self, rng):
        self.submitted += 1
        key = f"r{self.submitted}"
        gateway = rng.choice(self.gateways)
        prompt, output, expected = self.draw_lengths(rng)
        demand = self.estimate_demand(gateway, prompt, expected)
        now_s = self.harness.reactor.seconds()
        item = fair_queue.QueuedRequest(
            key, "p", "w", prompt + expected, 1.0, now_s + 1
        )

        def on_first(first_event_s):
            self.first_event_times_s.append(first_event_s)
            gateway.occupancy.record_prefill_done(key)

        def start(choice):
            dispatched_s = self.harness.reactor.seconds()
            request = simulated_targets.Request(
                key, choice.path, prompt, output,
                lambda first_s: on_first(dispatched_s - now_s + first_s),
                lambda took_s: self.record_end(gateway, request, took_s),
            )  # fmt: skip
            if not self.targets.accept(request):
                gateway.mark_full(choice.path[0].target)
                gateway.discard(key)
                self.rejected += 1

        def refuse(retry_after_s, reason):
            self.rejected += 1

        gateway.submit(
            dispatcher_module.PathRequest(
                key,
                item,
                self.service,
                demand,
                start,
                refuse,
                latency_objective_s=self._latency_objective_s,
            )  # fmt: skip
        )

    def _broadcast_due(self, step, steps_per_report):
        """Sends the loads of the gateways whose turn it is."""
        count = len(self.gateways)
        first = step * count // steps_per_report
        last = (step + 1) * count // steps_per_report
        for turn in range(first, max(last, first + 1)):
            self._broadcast_loads(turn % count)

    def _broadcast_loads(self, gateway_index):
        load_by_target = dict(
            self.gateways[gateway_index].occupancy.own_loads()
        )
        now_s = self.harness.reactor.seconds()
        for peer in self.gateways:
            if peer is not self.gateways[gateway_index]:
                peer.occupancy.apply_peer_loads(
                    f"g{gateway_index}", load_by_target, now_s
                )


def _spread(rng, sigma):
    """Returns a log-normal factor with a mean of 1, as users' sizes have."""
    return rng.lognormvariate(-sigma * sigma / 2, sigma)


def _poisson(rng, mean):
    """Draws the number of requests of a step from a Poisson distribution."""
    count = 0
    left = rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count


def choose_round_robin(gateway, service):
    """Returns a round-robin choice of chains, which ignores loads."""
    state = {"next": gateway._rng.randrange(100)}

    def choose(path_request):
        holders = gateway._targets.available(service.name)
        holders_by_data_centre = {}
        for one in holders:
            holders_by_data_centre.setdefault(one.data_centre, []).append(one)
        state["next"] += 1
        name = sorted(holders_by_data_centre)[
            state["next"] % len(holders_by_data_centre)
        ]
        state_without_loads = paths.TargetsState(
            service.engine,
            lambda name: paths.occupancy.NO_LOAD,
            lambda name: 1.0,
            lambda name: False,
        )
        return paths.find_fastest_path(
            holders_by_data_centre[name],
            path_request.token_demand,
            state_without_loads,
        )

    return choose


def quantile(values, share):
    return sorted(values)[int(len(values) * share)]


@pytest.mark.parametrize("seed", [1, 2])
def test_quiet_load_meets_the_latency_objective(harness, model_service, seed):
    simulation = LoadSimulation(harness, model_service)
    simulation.run(QUIET_PER_S, seed)
    assert simulation.rejected == 0
    assert simulation.in_time_ratio() >= 0.95


def test_a_burst_is_served_better_than_by_round_robin(harness, model_service):
    simulation = LoadSimulation(harness, model_service)
    simulation.run(BURST_PER_S, 1)
    round_robin = LoadSimulation(
        GatewayHarness(), model_service, choose_round_robin
    )
    round_robin.run(BURST_PER_S, 1)
    assert simulation.in_time_ratio() >= 0.95
    assert (
        simulation.rejected + simulation.targets.preempted
        <= 0.01 * simulation.submitted
    )
    assert simulation.rejected < round_robin.rejected
    assert simulation.targets.preempted < round_robin.targets.preempted


def test_more_answers_are_in_time_in_an_overload_that_lasts(model_service):
    """A long queue would start every request late."""
    short_queue = LoadSimulation(
        GatewayHarness(),
        model_service,
        latency_objective_s=FIRST_EVENT_LIMIT_S,
    )
    short_queue.run(OVERLOAD_PER_S, 1)
    long_queue = LoadSimulation(GatewayHarness(), model_service)
    long_queue.run(OVERLOAD_PER_S, 1)
    assert short_queue.in_time_ratio() > 1.1 * long_queue.in_time_ratio()
    # It starts as many: the queue never runs empty.
    assert len(short_queue.first_event_times_s) > 0.95 * len(
        long_queue.first_event_times_s
    )
