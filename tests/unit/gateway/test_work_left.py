"""Load on targets of unequal speed, with answers of unequal length.

The counts of targets, the lengths of prompts and answers, and the accuracy of
callers' hints are those of a deployment of the users. Routes differ in the
mean length of their answers, and in whether callers give a hint.
"""

import math
import random

import pytest

from hemlocktiller._internal.gateway import dispatcher as dispatcher_module
from hemlocktiller._internal.policy import fleet
from tests.unit.gateway import test_load
from tests.unit.gateway.conftest import GatewayHarness

GATEWAY_COUNT = 9
COUNTS = {
    "dc-a": {"h100": 1, "a100": 1, "l4": 8, "t4": 11},
    "dc-b": {"a100": 2, "l4": 12, "t4": 5},
    "dc-c": {"a100": 2, "l4": 6, "t4": 10},
}
ACCELERATORS = {
    kind.name: kind
    for kind in (
        fleet.Accelerator("h100", 72_000.0, 1.4, 1.0),
        fleet.Accelerator("a100", 36_000.0, 3.1, 3.2),
        fleet.Accelerator("l4", 21_600.0, 16.0, 8.2),
        fleet.Accelerator("t4", 14_400.0, 15.0, 15.0),
    )
}
FAST_KINDS = {"h100", "a100"}
FIRST_EVENT_LIMIT_S = 0.6
# Requests per second at the crest of the users' demand, and in a burst.
CREST_PER_S = 95.0
BURST_PER_S = 160.0
# Answers that each gateway has seen before, as in the first half minute.
WARM_UP_ANSWERS = 200
ANSWER_TOKENS, ANSWER_SPREAD, ANSWER_MAX_RATIO = 144.0, 1.5, 2.5
# With it the targets can just run the crest.
KV_MB_PER_TOKEN = 0.4
PROMPT_TOKENS = 760.0
ANSWER_SIGMA = math.sqrt(math.log(1.0 + ANSWER_SPREAD**2))
# Half of the hints are off by a factor of more than 1.7.
HINT_SIGMA = 0.8


class UnevenSimulation(test_load.LoadSimulation):
    """Load on targets of unequal speed.

    Attributes:
        fast_shares: Share of each answered request's layers that fast
            targets ran.
    """

    accelerator_counts = COUNTS
    gateway_count = GATEWAY_COUNT

    def __init__(self, engine, service, predicts=True):
        self.fast_shares = []
        self._predicts = predicts
        self._predictions = {}
        super().__init__(
            GatewayHarness(),
            service._replace(engine=engine),
            latency_objective_s=FIRST_EVENT_LIMIT_S,
        )
        rng = random.Random(0)
        for gateway in self.gateways:
            for _ in range(WARM_UP_ANSWERS):
                _, output, hint = self.draw_lengths(rng)
                gateway.output_lengths.record("r", hint, output)

    def estimate_demand(self, gateway, prompt, expected):
        """Returns the demand that a gateway expects of a request."""
        if not self._predicts:
            return super().estimate_demand(gateway, prompt, expected)
        prediction = gateway.output_lengths.predict("r", expected, 0)
        key = f"r{self.submitted}"
        self._predictions[key] = (gateway, expected)
        return dispatcher_module.demand_left(
            prompt, prediction.remaining_tokens(0)
        )

    def _broadcast_loads(self, gateway_index):
        """Follows what requests have written, as their streams do."""
        for request, written in self.targets.progress():
            if self._predicts:
                gateway, *_ = self._predictions[request.key]
                gateway.occupancy.raise_reserved(
                    request.key, request.prompt_tokens + written
                )
        super()._broadcast_loads(gateway_index)

    def draw_lengths(self, rng):
        """Returns the tokens of a prompt, its answer and the caller's hint."""
        prompt = min(3 * PROMPT_TOKENS, PROMPT_TOKENS * _spread(rng, 0.83))
        output = min(
            ANSWER_MAX_RATIO * ANSWER_TOKENS,
            ANSWER_TOKENS * _spread(rng, ANSWER_SIGMA),
        )
        return prompt, output, output * rng.lognormvariate(0.0, HINT_SIGMA)

    def record_end(self, gateway, request, response_time_s):
        """Records what ran the request."""
        super().record_end(gateway, request, response_time_s)
        if self._predicts:
            *_, hint = self._predictions[request.key]
            gateway.output_lengths.record("r", hint, request.output_tokens)
        self.fast_shares.append(
            sum(
                stage.layers
                for stage in request.path
                if stage.target.accelerator in FAST_KINDS
            )
            / self.service.engine.layer_count
        )


def _spread(rng, sigma):
    """Returns a log-normal factor with a mean of 1."""
    return rng.lognormvariate(-sigma * sigma / 2, sigma)


@pytest.fixture
def uneven_engine(engine):
    """An engine of accelerators that differ tenfold in speed."""
    return engine._replace(
        kv_mb_per_token=KV_MB_PER_TOKEN,
        step_ms=0.85,
        prefill_tokens_per_ms=353.0,
        pipe_mbps=2700.0,
        stride=2,
        usual_prompt_tokens=PROMPT_TOKENS,
        usual_output_tokens=ANSWER_TOKENS,
        accelerators=ACCELERATORS,
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_answers_start_in_time_at_the_crest(
    uneven_engine, model_service, seed
):
    simulation = UnevenSimulation(uneven_engine, model_service)
    simulation.run(CREST_PER_S, seed)
    assert simulation.in_time_ratio() >= 0.95
    assert (
        simulation.rejected + simulation.targets.preempted
        <= 0.05 * simulation.submitted
    )


def test_fewer_requests_lose_their_memory_than_by_hints_alone(
    uneven_engine, model_service
):
    predicted = UnevenSimulation(uneven_engine, model_service)
    predicted.run(CREST_PER_S, 1)
    hinted = UnevenSimulation(uneven_engine, model_service, predicts=False)
    hinted.run(CREST_PER_S, 1)
    lost = predicted.rejected + predicted.targets.preempted
    assert lost < 0.5 * (hinted.rejected + hinted.targets.preempted)
