"""Load on a whole layout: five gateways before a model of the targets.

The layout is that of one of the users' small deployments, in three data
centres; prompts and answers vary as theirs do. What is checked is what callers
get: the first event within the latency objective, few preemptions, and
nothing refused that fits.
"""

import random

import pytest

from hemlocktiller._internal.gateway import dispatcher as dispatcher_module
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import layout
from hemlocktiller._internal.policy import paths
from tests.fakes import target_model
from tests.unit.gateway.conftest import Bench
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_layout import ZONES

GATEWAYS = 5
FIRST_EVENT_S = 0.5
DURATION_S = 8.0
# Requests per second of the users' quiet day, and of a day with high load in
# a burst of 1.25 times.
QUIET_PER_S = 33.0
BURST_PER_S = 59.0
PROMPT_TOKENS, OUTPUT_TOKENS = 734.0, 195.0


class Play:
    """Gateways and targets, and what callers got.

    Attributes:
        first_s: Times until first events.
        took_s: Times of whole answers.
        refused: Requests that were refused.
        asked: Requests.
    """

    def __init__(self, bench, service, choose=None):
        self.bench = bench
        self.service = service
        self.targets = target_model.Targets(service.engine)
        self.first_s = []
        self.took_s = []
        self.refused = 0
        self.asked = 0
        empty = [
            make_target(
                f"{data_centre}-{kind}-{number}",
                data_centre=data_centre,
                accelerator=kind,
                port=2000 + 100 * place + 20 * rank + number,
                first_layer=0,
                end_layer=0,
            )
            for place, (data_centre, kinds) in enumerate(ZONES.items())
            for rank, (kind, count) in enumerate(kinds.items())
            for number in range(count)
        ]
        plan = layout.plan_ranges(empty, service.engine)
        bench.register(
            *(
                one.target._replace(
                    first_layer=one.first_layer, end_layer=one.end_layer
                )
                for one in layout.fill_ranges(plan, empty, service.engine)
            )
        )
        self.gateways = [
            dispatcher_module.Dispatcher(
                bench.reactor,
                bench.targets,
                list(ZONES)[number % len(ZONES)],
                random.Random(number),
            )
            for number in range(GATEWAYS)
        ]
        for gateway in self.gateways:
            gateway.occupancy.count_gateways = lambda: GATEWAYS
            if choose is not None:
                gateway.choose_path = choose(gateway, service)

    def run(self, per_s, seed):
        """Sends requests at random moments for `DURATION_S`."""
        rng = random.Random(seed)
        steps = round(DURATION_S / target_model.STEP_S)
        told_steps = round(
            self.gateways[0].occupancy.report_interval_s()
            / target_model.STEP_S
        )
        for step in range(steps):
            for _ in range(_poisson(rng, per_s * target_model.STEP_S)):
                self._ask(rng)
            self.targets.advance()
            self.bench.reactor.advance(target_model.STEP_S)
            self._tell((step * GATEWAYS // told_steps) % GATEWAYS)

    def in_time(self):
        """Returns the share of requests with a first event in time."""
        in_time = sum(took_s <= FIRST_EVENT_S for took_s in self.first_s)
        return in_time / self.asked

    def _ask(self, rng):
        self.asked += 1
        key = f"r{self.asked}"
        gateway = rng.choice(self.gateways)
        prompt = min(
            2280.0, rng.lognormvariate(0.0, 0.8) * PROMPT_TOKENS / 1.4
        )
        output = min(590.0, rng.lognormvariate(0.0, 0.7) * OUTPUT_TOKENS / 1.3)
        expected = output * rng.lognormvariate(0.0, 0.5)
        need = dispatcher_module.estimate_demand(
            prompt, expected, self.service.engine
        )
        now_s = self.bench.reactor.seconds()
        item = fair_queue.QueuedRequest(
            key, "p", "w", prompt + expected, 1.0, now_s + 1
        )

        def end(took_s):
            self.took_s.append(took_s)
            gateway.discard(key)

        def first(took_s):
            self.first_s.append(took_s)
            gateway.occupancy.record_prefill_done(key)

        def start(choice):
            sent_s = self.bench.reactor.seconds()
            request = target_model.Request(
                key, choice.path, prompt, output,
                lambda took_s: first(sent_s - now_s + took_s), end,
            )  # fmt: skip
            if not self.targets.accept(request):
                gateway.mark_full(choice.path[0].target)
                gateway.discard(key)
                self.refused += 1

        def refuse(retry_after_s, reason):
            self.refused += 1

        gateway.submit(
            dispatcher_module.PathRequest(
                key, item, self.service, need, start, refuse
            )
        )

    def _tell(self, number):
        own = dict(self.gateways[number].occupancy.own_loads())
        now_s = self.bench.reactor.seconds()
        for other in self.gateways:
            if other is not self.gateways[number]:
                other.occupancy.apply_peer_loads(f"g{number}", own, now_s)


def _spread(rng, sigma):
    """Returns a factor of mean 1, log-normal as the users' sizes."""
    return rng.lognormvariate(-sigma * sigma / 2, sigma)


def _poisson(rng, mean):
    """Returns how many requests come in a step."""
    count = 0
    left = rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count


def in_turn(gateway, service):
    """Chooses whole chains in turn, as a gateway that knows no loads."""
    state = {"next": gateway._rng.randrange(100)}

    def choose(job):
        holders = gateway._targets.available(service.name)
        by_start = {}
        for one in holders:
            by_start.setdefault(one.data_centre, []).append(one)
        state["next"] += 1
        name = sorted(by_start)[state["next"] % len(by_start)]
        view = paths.TargetsState(
            service.engine,
            lambda name: paths.occupancy.NO_LOAD,
            lambda name: 1.0,
            lambda name: False,
        )
        return paths.find_fastest_path(by_start[name], job.token_demand, view)

    return choose


def quantile(values, share):
    return sorted(values)[int(len(values) * share)]


@pytest.mark.parametrize("seed", [1, 2])
def test_a_quiet_day_is_served_in_time(bench, model_service, seed):
    play = Play(bench, model_service)
    play.run(QUIET_PER_S, seed)
    assert play.refused == 0
    assert play.in_time() >= 0.95


def test_a_burst_is_served_better_than_in_turn(bench, model_service):
    play = Play(bench, model_service)
    play.run(BURST_PER_S, 1)
    other = Play(Bench(), model_service, in_turn)
    other.run(BURST_PER_S, 1)
    assert play.in_time() >= 0.95
    assert play.refused + play.targets.preempted <= 0.01 * play.asked
    assert play.refused < other.refused
    assert play.targets.preempted < other.targets.preempted
