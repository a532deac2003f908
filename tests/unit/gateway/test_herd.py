"""All callers come back at once, to gateways that have heard of nobody.

Answers the load after all gateways were lost together: in a quarter of a
second each gets several seconds' worth of requests, and knows of no other's.
"""

import itertools
import random

import pytest

from hemlocktiller._internal.gateway import dispatcher as dispatcher_module
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import paths
from tests.unit.gateway.conftest import make_target

GATEWAYS = 30
# Two short chains of fast accelerators and ten of middle ones: all want to
# go by the former, which hold a third of what comes.
CHAINS = (("fast", 3), ("fast", 3)) + 10 * (("middle", 4),)
HERD_EACH = 8
HERD_S = 0.25
# Requests that an overloaded fleet may offer in vain: the share of repeats
# that the platform allows of all requests.
VAIN_MAX = 0.2


class Fleet:
    """Gateways before chains of equal targets, and what was offered."""

    def __init__(self, bench, service):
        self.bench = bench
        self.service = service
        for chain, (accelerator, stages) in enumerate(CHAINS):
            cuts = [
                round(stage * service.engine.layer_count / stages)
                for stage in range(stages + 1)
            ]
            bench.register(
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
                bench.reactor, bench.targets, f"dc-{n % 3}", random.Random(n)
            )
            for n in range(GATEWAYS)
        ]
        for gateway in self.gateways:
            gateway.occupancy.count_gateways = lambda: GATEWAYS
        self.used: dict[str, float] = {}
        self._keys = itertools.count()
        self.offers = 0
        self.vain = 0
        self.refused = 0

    def send(self, number):
        """Sends a request to a gateway."""
        gateway = self.gateways[number]
        key = f"request {next(self._keys)}"
        need = dispatcher_module.estimate_demand(700, 200, self.service.engine)
        item = fair_queue.QueuedRequest(
            key, "p", "w", 900, 1.0, self.bench.reactor.seconds() + 1.2
        )

        def start(choice):
            self._offer(gateway, key, choice, need)

        def refuse(retry_after_s, reason):
            self.refused += 1

        gateway.submit(
            dispatcher_module.PathRequest(
                key, item, self.service, need, start, refuse
            )
        )

    def _offer(self, gateway, key, choice, need):
        """A target takes a request while it has memory for it."""
        self.offers += 1
        room = all(
            self.used.get(stage.target.name, 0.0)
            + need.reserved_tokens * stage.layers
            <= paths.token_layer_capacity(stage.target, self.service.engine)
            for stage in choice.path
        )
        if not room:
            self.vain += 1
            gateway.mark_full(choice.path[0].target)
            gateway.discard(key)
            return
        for stage in choice.path:
            used = self.used.get(stage.target.name, 0.0)
            self.used[stage.target.name] = (
                used + need.reserved_tokens * stage.layers
            )

    def tell(self, number):
        """One gateway tells its loads to all others."""
        gateway = self.gateways[number]
        own = dict(gateway.occupancy.own_loads())
        for other in self.gateways:
            if other is not gateway:
                other.occupancy.apply_peer_loads(
                    f"g{number}", own, self.bench.reactor.seconds()
                )


@pytest.fixture
def fleet(bench, model_service):
    """Thirty gateways before ten chains."""
    return Fleet(bench, model_service)


def play(fleet, each, during_s):
    """Sends requests to all gateways over a time, in which each tells once."""
    rng = random.Random(5)
    moments = [
        (rng.uniform(0.0, during_s), step, number)
        for number in range(GATEWAYS)
        for step in (fleet.tell, *each * (fleet.send,))
    ]
    began_s = fleet.bench.reactor.seconds()
    for at_s, step, number in sorted(moments, key=lambda one: one[0]):
        now_s = fleet.bench.reactor.seconds() - began_s
        fleet.bench.reactor.advance(max(0.0, at_s - now_s))
        step(number)


def test_a_herd_is_not_offered_in_vain(fleet):
    play(fleet, HERD_EACH, HERD_S)
    assert fleet.offers > GATEWAYS
    assert fleet.vain <= VAIN_MAX * fleet.offers


def test_usual_traffic_is_neither_refused_nor_kept_waiting(fleet):
    for _ in range(4):
        play(fleet, 1, 0.25)
    assert fleet.offers == 4 * GATEWAYS
