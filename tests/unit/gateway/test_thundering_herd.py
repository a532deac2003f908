"""All callers reconnect at once to gateways that know no peers' loads.

This is the load after all gateways failed together: within 0.25 s each
gateway receives the requests of several seconds, before it has received the
loads of its peers.
"""

import itertools
import random

import pytest

from hemlocktiller._internal.gateway import dispatcher as dispatcher_module
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import paths
from tests.unit.gateway.conftest import make_target

GATEWAY_COUNT = 30
# Two short chains of fast accelerators and ten of middle ones: every gateway
# prefers the former, which have memory for a third of the requests.
CHAINS = (("fast", 3), ("fast", 3)) + 10 * (("middle", 4),)
REQUESTS_PER_GATEWAY = 8
BURST_DURATION_S = 0.25
# Share of requests that targets of an overloaded fleet may reject: the ratio
# of retries to requests that the platform allows.
REJECTED_RATIO_MAX = 0.2


class FleetSimulation:
    """Gateways and chains of targets, with counts of dispatched requests."""

    def __init__(self, harness, service):
        self.harness = harness
        self.service = service
        for chain, (accelerator, stages) in enumerate(CHAINS):
            cuts = [
                round(stage * service.engine.layer_count / stages)
                for stage in range(stages + 1)
            ]
            harness.register(
                *(
                    make_target(
                        f"{chain}-{stage}",
                        port=2000 + chain * 10 + stage,
                        data_centre=f"dc-{chain % 3}",
                        accelerator=accelerator,
                        first_layer=cuts[stage],
                        end_layer=cuts[stage + 1],
                    )
                    for stage in range(stages)
                )
            )
        self.gateways = [
            dispatcher_module.Dispatcher(
                harness.reactor,
                harness.targets,
                f"dc-{n % 3}",
                random.Random(n),
            )
            for n in range(GATEWAY_COUNT)
        ]
        for gateway in self.gateways:
            gateway.occupancy.count_gateways = lambda: GATEWAY_COUNT
        self.used_token_layers: dict[str, float] = {}
        self._keys = itertools.count()
        self.dispatched = 0
        self.rejected = 0
        self.refused = 0

    def send(self, gateway_index):
        """Submits a request to a gateway."""
        gateway = self.gateways[gateway_index]
        key = f"request {next(self._keys)}"
        demand = dispatcher_module.estimate_demand(
            700, 200, self.service.engine
        )
        item = fair_queue.QueuedRequest(
            key, "p", "w", 900, 1.0, self.harness.reactor.seconds() + 1.2
        )

        def start(choice):
            self._dispatch(gateway, key, choice, demand)

        def refuse(retry_after_s, reason):
            self.refused += 1

        gateway.submit(
            dispatcher_module.PathRequest(
                key, item, self.service, demand, start, refuse
            )
        )

    def _dispatch(self, gateway, key, choice, demand):
        """Dispatches a request; it is rejected if a stage lacks memory."""
        self.dispatched += 1
        fits = all(
            self.used_token_layers.get(stage.target.name, 0.0)
            + demand.reserved_tokens * stage.layers
            <= paths.token_layer_capacity(stage.target, self.service.engine)
            for stage in choice.path
        )
        if not fits:
            self.rejected += 1
            gateway.mark_full(choice.path[0].target)
            gateway.discard(key)
            return
        for stage in choice.path:
            used_token_layers = self.used_token_layers.get(
                stage.target.name, 0.0
            )
            self.used_token_layers[stage.target.name] = (
                used_token_layers + demand.reserved_tokens * stage.layers
            )

    def broadcast_loads(self, gateway_index):
        """Sends the loads of one gateway to all others."""
        gateway = self.gateways[gateway_index]
        load_by_target = dict(gateway.occupancy.own_loads())
        for other in self.gateways:
            if other is not gateway:
                other.occupancy.apply_peer_loads(
                    f"g{gateway_index}",
                    load_by_target,
                    self.harness.reactor.seconds(),
                )


@pytest.fixture
def fleet(harness, model_service):
    """Thirty gateways and twelve chains of targets."""
    return FleetSimulation(harness, model_service)


def simulate(fleet, requests_per_gateway, duration_s):
    """Sends requests at random times, and each gateway's loads once.

    Args:
        fleet: The gateways and targets.
        requests_per_gateway: Requests that each gateway receives.
        duration_s: Period that the requests are spread over.
    """
    rng = random.Random(5)
    steps = [
        (rng.uniform(0.0, duration_s), action, gateway_index)
        for gateway_index in range(GATEWAY_COUNT)
        for action in (
            fleet.broadcast_loads,
            *requests_per_gateway * (fleet.send,),
        )
    ]
    start_s = fleet.harness.reactor.seconds()
    for at_s, action, gateway_index in sorted(steps, key=lambda step: step[0]):
        now_s = fleet.harness.reactor.seconds() - start_s
        fleet.harness.reactor.advance(max(0.0, at_s - now_s))
        action(gateway_index)


def test_few_requests_of_a_thundering_herd_are_rejected(fleet):
    simulate(fleet, REQUESTS_PER_GATEWAY, BURST_DURATION_S)
    assert fleet.dispatched > GATEWAY_COUNT
    assert fleet.rejected <= REJECTED_RATIO_MAX * fleet.dispatched


def test_usual_traffic_is_dispatched_immediately(fleet):
    for _ in range(4):
        simulate(fleet, 1, 0.25)
    assert fleet.dispatched == 4 * GATEWAY_COUNT
