"""Gives control orders under a lease for each model of a data centre.

A few entries of the data centre, chosen by rendezvous hashing, bid for
each lease. Its holder watches the model's layer ranges and orders a spare
target to load a range that has lost all of its targets.
"""

from collections.abc import Callable
import secrets
from typing import Any

import logbook
import prometheus_client
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal import process as process_module
from hemlocktiller._internal.control import lease as lease_module
from hemlocktiller._internal.control import placement
from hemlocktiller._internal.entry import targets as targets_module
from hemlocktiller._internal.policy import subsets
from hemlocktiller._internal.store import client

INTERVAL_S = 1.0
ORDER_TIMEOUT_S = 90.0
GRACE_ROUNDS = 5  # Rounds for which a range may be missing before a move.
BIDDERS = 3
DATA_CENTRE_LEASE = ""  # No model has this name.
LEASE: lease_module.LeaseSettings = {
    "duration_s": 15.0,
    "renew_interval_s": 5.0,
}

log = logbook.Logger(__name__)

MOVES = prometheus_client.Counter(
    "hemlocktiller_placement_moves", "Orders to load other layers"
)
RESULTS = prometheus_client.Counter(
    "hemlocktiller_order_results", "Answers to orders by outcome", ["outcome"]
)


class Model:
    """One model of this data centre: its lease and what it had.

    Attributes:
        ranges: Layer ranges that were seen, with the layer count.
        missing_rounds: Rounds in a row in which a range was missing.
        busy_until_s: When an order that was given counts as lost.
    """

    def __init__(self, lease: lease_module.Lease) -> None:
        self.lease = lease
        self.ranges: set[placement.Range] = set()
        self.layer_count = 0
        self.missing_rounds = 0
        self.busy_until_s = 0.0


class Controller:
    """The models of this entry's data centre that it bids for."""

    def __init__(
        self,
        store: client.ObjectStore,
        settings: Any,
        targets: targets_module.Targets,
        entries: Callable[[], dict[str, str]],
        reactor: Any,
    ) -> None:
        self._store = store
        self._settings = settings
        self._targets = targets
        self._entries = entries
        self._reactor = reactor
        self._models: dict[str, Model] = {}
        self._orders: dict[str, Model] = {}
        self._loop = task.LoopingCall(self._round)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts to bid and to watch."""
        running = self._loop.start(INTERVAL_S, now=False)
        running.addErrback(process_module.log_end)

    def holds_data_centre(self) -> bool:
        """Tells whether this entry looks after the data centre itself."""
        model = self._models.get(DATA_CENTRE_LEASE)
        return model is not None and _number(model) is not None

    def stop(self) -> None:
        """Gives the leases back."""
        if self._loop.running:
            self._loop.stop()
        for model in self._models.values():
            model.lease.release()
        self._models.clear()

    def held(self) -> list[str]:
        """Returns the models whose lease is held here."""
        return [
            name
            for name, model in self._models.items()
            if name != DATA_CENTRE_LEASE and _number(model) is not None
        ]

    def on_result(self, message: Any) -> None:
        """Takes the answer to an order."""
        model = self._orders.pop(message["order"], None)
        RESULTS.labels(message["reason"] or "accepted").inc()
        if model is not None:
            model.busy_until_s = 0.0
            model.missing_rounds = 0

    def _round(self) -> None:
        for name in [DATA_CENTRE_LEASE, *self._targets.models()]:
            if name not in self._models and self._may_bid(name):
                self._bid(name)
        for name, model in self._models.items():
            if name != DATA_CENTRE_LEASE:
                self._watch(name, model)

    def _may_bid(self, model: str) -> bool:
        """Tells whether this entry is one of the lease's bidders."""
        here = self._settings["data_centre"]
        names = [
            name for name, centre in self._entries().items() if centre == here
        ]
        lease = self._lease_name(model)
        names.sort(key=lambda name: subsets.score(name, lease), reverse=True)
        return self._settings["name"] in names[:BIDDERS]

    def _bid(self, name: str) -> None:
        lease = lease_module.Lease(
            self._store, self._lease_name(name), LEASE, self._reactor
        )
        self._models[name] = Model(lease)
        lease.start()

    def _lease_name(self, model: str) -> str:
        return f"{self._settings['data_centre']}.{model}"

    def _watch(self, name: str, model: Model) -> None:
        live = self._placed(name, model)
        move = placement.decide(live, model.ranges)
        model.missing_rounds = model.missing_rounds + 1 if move else 0
        now_s = self._reactor.seconds()
        if move is None or now_s < model.busy_until_s:
            return
        if model.missing_rounds >= GRACE_ROUNDS:
            self._order(name, model, move)

    def _placed(self, name: str, model: Model) -> list[placement.Placed]:
        """Returns the live targets, and notes their layer ranges."""
        loads = self._targets.view.loads
        placed = []
        for target in self._targets.of_model(name):
            record = target.record
            if record["data_centre"] != self._settings["data_centre"]:
                continue
            model.ranges.add((record["first_layer"], record["end_layer"]))
            model.layer_count = record["layer_count"]
            placed.append(
                placement.Placed(
                    target.name,
                    record["first_layer"],
                    record["end_layer"],
                    record["layer_count"],
                    record["accelerator_kind"],
                    loads.outstanding(target.name),
                )
            )
        return placed

    def _order(self, name: str, model: Model, move: placement.Move) -> None:
        number = _number(model)
        link = self._targets.by_name[move.target].link
        if number is None or link is None:
            return
        order = secrets.token_hex(8)
        log.info("{} loads other layers: {}", move.target, move.why)
        MOVES.inc()
        self._orders[order] = model
        model.busy_until_s = self._reactor.seconds() + ORDER_TIMEOUT_S
        link.send(
            {
                "type": "order",
                "order": order,
                "lease": self._lease_name(name),
                "fencing_number": number,
                "kind": "load_model",
                "arguments": {
                    "model": name,
                    "first_layer": str(move.first_layer),
                    "end_layer": str(move.end_layer),
                    "layer_count": str(model.layer_count),
                },
            }
        )


def _number(model: Model) -> int | None:
    """Returns the fencing number, or None while the lease is not held."""
    try:
        return model.lease.fencing_number()
    except exceptions.LeaseLost:
        return None
