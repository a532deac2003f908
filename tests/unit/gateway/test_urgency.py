"""Competing demand of three priority classes while targets are lost.

Five, 27 or 68 gateways send requests of three classes to a fleet that loses
targets for some seconds and has them back. Refused callers come back once,
at the time that they were told, and reach any gateway. The tests check what
each class gets in time and at all, and that the overload ends.
"""

import random
from typing import NamedTuple

import pytest

from hemlocktiller._internal.gateway import dispatcher as dispatcher_module
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.store import client
from tests.fakes import simulated_targets
from tests.unit.gateway import test_load
from tests.unit.gateway.conftest import GatewayHarness

# Objective in seconds and share of the requests, by priority class.
CLASSES = ((0.5, 0.32), (0.6, 0.48), (1.2, 0.20))
PER_S = 48.0
LOSS_AT_S, RETURN_AT_S, END_S = 3.0, 8.0, 15.0
# Refused callers are back and served within this time.
LAST_ARRIVAL_S = 12.0
# Time after the return of the targets in which an overload has to end.
RECOVERY_S = 2.0
TIME_BUDGET_S = 20.0
# As the gateway sends a request to other targets when one is full.
DISPATCHES_MAX = 4
# Callers wait as told for up to this part of the time that they have left.
HONOURED_RATIO = 1 / 3
FLOOD = "flood"
WORKSPACE_WEIGHTS = (30, 20, 10) + 21 * (2,)
# Callers need a more urgent class to be served at most this much less often.
SERVED_DIFFERENCE_MAX = 0.05
# An overload has ended if this share is in time, as without one.
ORDINARY_IN_TIME = 0.95


class Outcome(NamedTuple):
    """What a caller got.

    Attributes:
        rank: Priority class.
        workspace: The caller's workspace.
        at_s: When the request was first sent.
        first_event_s: Time to the first event; None if it was not served.
    """

    rank: int
    workspace: str
    at_s: float
    first_event_s: float | None


class RankedLoad(test_load.LoadSimulation):
    """The play: gateways, targets that are lost, and callers that return.

    Attributes:
        outcomes: What callers got, by request.
        refused_at: Time and class of each refusal.
    """

    def __init__(self, service, gateway_count, is_ranked=True):
        super().__init__(
            GatewayHarness(), service, gateway_count=gateway_count
        )
        self._is_ranked = is_ranked
        self.outcomes = {}
        self.refused_at = []
        self._version = 1
        for gateway in self.gateways:
            gateway.demand.services = frozenset(["model"])

    def play(self, seed, per_s=PER_S, losses=6, flood_per_s=0.0):
        """Plays the load, with some targets lost in the middle of it.

        Args:
            seed: Seed of the arrivals.
            per_s: Requests per second.
            losses: Number of targets that are lost.
            flood_per_s: Further requests of one workspace at one gateway
                during that time.
        """
        rng = random.Random(seed)
        steps_per_report = round(
            self.gateways[0].occupancy.report_interval_s()
            / simulated_targets.STEP_S
        )
        holders = self.harness.targets.available("model")
        lost = [one for one in holders if one.accelerator == "middle"][:losses]
        for step in range(round(END_S / simulated_targets.STEP_S)):
            elapsed_s = step * simulated_targets.STEP_S
            for at_s, state in (
                (LOSS_AT_S, fleet.DRAINING),
                (RETURN_AT_S, fleet.READY),
            ):
                if step == round(at_s / simulated_targets.STEP_S):
                    self._replace_state(lost, state)
            for _ in range(
                test_load._poisson(rng, per_s * simulated_targets.STEP_S)
            ):
                rank = rng.choices(range(3), [one for _, one in CLASSES])[0]
                workspace = rng.choices(
                    range(len(WORKSPACE_WEIGHTS)), WORKSPACE_WEIGHTS
                )[0]
                self._begin(
                    rng, Outcome(rank, f"w{workspace}", elapsed_s, None)
                )
            if LOSS_AT_S <= elapsed_s < RETURN_AT_S:
                for _ in range(
                    test_load._poisson(
                        rng, flood_per_s * simulated_targets.STEP_S
                    )
                ):
                    self._begin(rng, Outcome(1, FLOOD, elapsed_s, None), 0)
            self.targets.advance()
            self.harness.reactor.advance(simulated_targets.STEP_S)
            self._broadcast_due(step, steps_per_report)

    def _broadcast_loads(self, gateway_index):
        """Sends the loads and the demand of a gateway to all others."""
        super()._broadcast_loads(gateway_index)
        sender = self.gateways[gateway_index]
        now_s = self.harness.reactor.seconds()
        rows = self.tell(gateway_index, sender.demand.rows(now_s))
        for peer in self.gateways:
            if peer is not sender and rows is not None:
                peer.demand.apply_peer(f"g{gateway_index}", rows, now_s)

    def tell(self, gateway_index, rows):
        """Returns what a gateway tells peers; None if it is silent."""
        return rows

    def _replace_state(self, lost, state):
        for one in lost:
            self._version += 1
            born_ms = one.born_ms + (state == fleet.READY)
            self.harness.targets.apply_registrations(
                [
                    client.StoredObject(
                        "t",
                        one.name,
                        self._version,
                        one._replace(state=state, born_ms=born_ms),
                    )
                ],
                [],
                False,
                self._version,
            )

    def _begin(self, rng, outcome, gateway_index=None):
        """Sends the first attempt of a caller."""
        key = f"r{len(self.outcomes)}"
        self.outcomes[key] = outcome
        self._send(
            rng,
            key,
            self.harness.reactor.seconds(),
            TIME_BUDGET_S,
            gateway_index=gateway_index,
        )

    def _send(
        self,
        rng,
        key,
        first_sent_s,
        time_left_s,
        attempt=0,
        gateway_index=None,
    ):
        """Sends an attempt of a caller to a gateway, or to any."""
        outcome = self.outcomes[key]
        reactor = self.harness.reactor
        now_s = reactor.seconds()
        gateway = (
            rng.choice(self.gateways)
            if gateway_index is None
            else self.gateways[gateway_index]
        )
        attempt_key = f"{key}/{attempt}"
        dispatches = []
        objective_s = CLASSES[outcome.rank][0]
        prompt = min(2280.0, 734.0 * test_load._spread(rng, 0.6))
        output = min(590.0, 195.0 * test_load._spread(rng, 0.6))
        item = fair_queue.QueuedRequest(
            attempt_key,
            f"priority {outcome.rank}",
            outcome.workspace,
            prompt + output,
            1.0,
            now_s + dispatcher_module.admission.MAX_WAIT_S,
        )

        def on_first(first_s):
            gateway.occupancy.record_prefill_done(attempt_key)
            self.outcomes[key] = outcome._replace(first_event_s=first_s)

        def start(choice):
            waited_s = reactor.seconds() - first_sent_s
            request = simulated_targets.Request(
                attempt_key,
                choice.path,
                prompt,
                output,
                lambda first_s: on_first(waited_s + first_s),
                lambda _: gateway.discard(attempt_key),
            )
            if not self.targets.accept(request):
                gateway.mark_full(choice.path[0].target)
                gateway.discard(attempt_key)
                dispatches.append(attempt_key)
                if len(dispatches) > DISPATCHES_MAX:
                    refuse(0.5, "full")
                else:
                    gateway.submit_resumed(path_request)

        def refuse(retry_after_s, reason):
            self.refused_at.append((reactor.seconds(), outcome.rank))
            if attempt:
                return
            wait_s = min(retry_after_s, time_left_s * HONOURED_RATIO)
            reactor.callLater(
                wait_s,
                self._send,
                rng,
                key,
                first_sent_s,
                time_left_s - wait_s,
                attempt + 1,
                gateway_index,
            )

        path_request = dispatcher_module.PathRequest(
            attempt_key,
            item,
            self.service,
            dispatcher_module.estimate_demand(
                prompt, output, self.service.engine
            ),
            start,
            refuse,
            latency_objective_s=objective_s,
        )
        if self._is_ranked:
            path_request = path_request._replace(
                rank=outcome.rank,
                time_left_s=time_left_s,
                has_waited=attempt > 0,
            )
        gateway.submit(path_request)

    def chosen(self, rank, from_s=0.0, until_s=LAST_ARRIVAL_S):
        """Returns the outcomes of a class, by the time of the first try."""
        return [
            one
            for one in self.outcomes.values()
            if one.rank == rank
            and from_s <= one.at_s < until_s
            and one.workspace != FLOOD
        ]

    def in_time(self, rank, **period):
        """Returns the share of a class with a first event in time."""
        chosen = self.chosen(rank, **period)
        return sum(
            one.first_event_s is not None
            and one.first_event_s <= CLASSES[rank][0]
            for one in chosen
        ) / len(chosen)

    def served(self, rank, **period):
        """Returns the share of a class that was served at all."""
        chosen = self.chosen(rank, **period)
        return sum(one.first_event_s is not None for one in chosen) / len(
            chosen
        )


def during_loss(load, measure):
    """Returns a measure of each class while the targets are lost."""
    return [
        measure(rank, from_s=LOSS_AT_S, until_s=RETURN_AT_S)
        for rank in range(len(CLASSES))
    ]


def assert_urgent_first(load):
    """Checks the order of the classes while targets are lost."""
    in_time = during_loss(load, load.in_time)
    assert in_time[0] >= max(in_time[1:]), in_time
    served = during_loss(load, load.served)
    assert served[0] >= max(served[1:]) - SERVED_DIFFERENCE_MAX, served
    assert min(served) > 0.0


@pytest.mark.parametrize("gateway_count", [5, 27, 68])
def test_the_most_urgent_class_is_served_first(model_service, gateway_count):
    load = RankedLoad(model_service, gateway_count)
    load.play(1)
    assert_urgent_first(load)
    after = {"from_s": RETURN_AT_S + RECOVERY_S}
    in_time = [load.in_time(rank, **after) for rank in range(3)]
    assert min(in_time) >= ORDINARY_IN_TIME, in_time


def test_every_class_is_served_in_an_overload_of_urgent_work(model_service):
    """Ordinary arrivals alone exceed what the lost targets leave."""
    load = RankedLoad(model_service, 5)
    load.play(1, 1.6 * PER_S, 8)
    started = during_loss(load, load.served)
    assert min(started) > 0.0
    assert_urgent_first(load)


def _frozen(load, gateway_index, rows):
    return load.first_rows.setdefault(gateway_index, rows)


def _silent(load, gateway_index, rows):
    return None


def _nonsense(load, gateway_index, rows):
    return [
        {**row, "arrivals": 90_000, "waiting": 90_000, "starts": 0}
        for row in rows
    ] + [{"rank": -1}, {"rank": "urgent"}, 7]


@pytest.mark.parametrize("fault", [_frozen, _silent, _nonsense])
@pytest.mark.parametrize("faulty_count", [1, 5])
def test_peers_that_tell_nothing_true_leave_the_order(
    model_service, fault, faulty_count
):
    load = RankedLoad(model_service, 5)
    load.first_rows = {}
    load.tell = lambda index, rows: (
        fault(load, index, rows) if index < faulty_count else rows
    )
    load.play(1)
    assert_urgent_first(load)


@pytest.mark.parametrize("rank", range(len(CLASSES)))
def test_a_flood_of_one_workspace_leaves_the_others(model_service, rank):
    """It comes at one gateway; its class is in the middle."""
    load = RankedLoad(model_service, 27)
    load.play(1, losses=0, flood_per_s=PER_S)
    in_time = during_loss(load, load.in_time)
    assert in_time[rank] >= ORDINARY_IN_TIME, in_time
