"""Orders targets to load the layer ranges that a model is missing.

Each model of a data centre has a lease. A few entries of the data centre,
chosen by rendezvous hashing, compete for it. The holder checks the model's
layer ranges periodically and orders a spare target to load a range that
has lost all of its targets.
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
from hemlocktiller._internal.policy import rendezvous
from hemlocktiller._internal.store import client

CHECK_INTERVAL_S = 1.0
ORDER_TIMEOUT_S = 90.0
MISSING_ROUNDS_BEFORE_MOVE = 5  # Checks in a row that find a range missing.
MAX_LEASE_CANDIDATES = 3
# Key of the data centre's own lease among those of its models, none of which
# has an empty name. Its holder removes stale registrations.
DATA_CENTRE_LEASE = ""
LEASE_SETTINGS: lease_module.LeaseSettings = {
    "duration_s": 15.0,
    "renew_interval_s": 5.0,
}

log = logbook.Logger(__name__)

PLACEMENT_MOVES = prometheus_client.Counter(
    "hemlocktiller_placement_moves", "Orders to load other layers"
)
ORDER_RESULTS = prometheus_client.Counter(
    "hemlocktiller_order_results", "Answers to orders by outcome", ["outcome"]
)


class ModelState:
    """Lease and placement state of one model in this data centre.

    Attributes:
        lease: Lease that this entry holds or tries to acquire.
        known_ranges: Layer ranges that targets have held.
        layer_count: Number of layers of the model.
        missing_rounds: Consecutive checks that found a range without a
            target.
        order_deadline_s: Reactor time until which no other order is sent,
            unless the result of the last one arrives.
    """

    def __init__(self, lease: lease_module.Lease) -> None:
        self.lease = lease
        self.known_ranges: set[placement.LayerRange] = set()
        self.layer_count = 0
        self.missing_rounds = 0
        self.order_deadline_s = 0.0


class PlacementController:
    """Keeps the layer ranges of the local data centre's models loaded.

    Covers the models for whose lease this entry is a candidate.

    Args:
        store: Client of the object API.
        settings: Settings of the entry.
        targets: Targets that the entry knows.
        entry_data_centres: Returns the data centre of each entry by name.
        reactor: Twisted reactor.
    """

    def __init__(
        self,
        store: client.ObjectStore,
        settings: Any,
        targets: targets_module.TargetPool,
        entry_data_centres: Callable[[], dict[str, str]],
        reactor: Any,
    ) -> None:
        self._store = store
        self._settings = settings
        self._targets = targets
        self._entry_data_centres = entry_data_centres
        self._reactor = reactor
        self._models: dict[str, ModelState] = {}
        self._models_by_order_id: dict[str, ModelState] = {}
        self._loop = task.LoopingCall(self._check_models)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts the periodic check."""
        loop_done = self._loop.start(CHECK_INTERVAL_S, now=False)
        loop_done.addErrback(process_module.log_stopped_call)

    def holds_data_centre_lease(self) -> bool:
        """Returns whether this entry holds the lease of its data centre."""
        model = self._models.get(DATA_CENTRE_LEASE)
        return model is not None and _fencing_number(model) is not None

    def stop(self) -> None:
        """Stops the periodic check and releases all leases."""
        if self._loop.running:
            self._loop.stop()
        for model in self._models.values():
            model.lease.release()
        self._models.clear()

    def held_models(self) -> list[str]:
        """Returns the names of the models whose lease this entry holds."""
        return [
            name
            for name, model in self._models.items()
            if name != DATA_CENTRE_LEASE and _fencing_number(model) is not None
        ]

    def on_result(self, message: Any) -> None:
        """Handles the result of an order; allows the next one to be sent."""
        model = self._models_by_order_id.pop(message["order"], None)
        ORDER_RESULTS.labels(message["reason"] or "accepted").inc()
        if model is not None:
            model.order_deadline_s = 0.0
            model.missing_rounds = 0

    def _check_models(self) -> None:
        """Competes for leases and checks the layer ranges of their models."""
        for name in [DATA_CENTRE_LEASE, *self._targets.models()]:
            if name not in self._models and self._is_lease_candidate(name):
                self._start_lease(name)
        for name, model in self._models.items():
            if name != DATA_CENTRE_LEASE:
                self._check_layer_ranges(name, model)

    def _is_lease_candidate(self, model: str) -> bool:
        """Returns whether this entry may compete for a model's lease."""
        own_data_centre = self._settings["data_centre"]
        entry_names = [
            name
            for name, data_centre in self._entry_data_centres().items()
            if data_centre == own_data_centre
        ]
        lease = self._lease_name(model)
        entry_names.sort(
            key=lambda name: rendezvous.score(name, lease), reverse=True
        )
        return self._settings["name"] in entry_names[:MAX_LEASE_CANDIDATES]

    def _start_lease(self, name: str) -> None:
        lease = lease_module.Lease(
            self._store, self._lease_name(name), LEASE_SETTINGS, self._reactor
        )
        self._models[name] = ModelState(lease)
        lease.start()

    def _lease_name(self, model: str) -> str:
        return f"{self._settings['data_centre']}.{model}"

    def _check_layer_ranges(self, name: str, model: ModelState) -> None:
        """Orders a move if a layer range has been missing for long enough."""
        placements = self._usable_placements(name, model)
        move = placement.choose_move(placements, model.known_ranges)
        model.missing_rounds = model.missing_rounds + 1 if move else 0
        now_s = self._reactor.seconds()
        if move is None or now_s < model.order_deadline_s:
            return
        if model.missing_rounds >= MISSING_ROUNDS_BEFORE_MOVE:
            self._send_order(name, model, move)

    def _usable_placements(
        self, name: str, model: ModelState
    ) -> list[placement.LoadedTarget]:
        """Returns the usable local targets and records their layer ranges."""
        loads = self._targets.routing_state.loads
        placements = []
        for target in self._targets.usable_for_model(name):
            record = target.record
            if record["data_centre"] != self._settings["data_centre"]:
                continue
            model.known_ranges.add(
                (record["first_layer"], record["end_layer"])
            )
            model.layer_count = record["layer_count"]
            placements.append(
                placement.LoadedTarget(
                    target.name,
                    record["first_layer"],
                    record["end_layer"],
                    record["layer_count"],
                    record["accelerator_kind"],
                    loads.outstanding(target.name),
                )
            )
        return placements

    def _send_order(
        self, name: str, model: ModelState, move: placement.Move
    ) -> None:
        """Orders a target to load other layers, if the lease is held."""
        fencing_number = _fencing_number(model)
        link = self._targets.by_name[move.target].link
        if fencing_number is None or link is None:
            return
        order_id = secrets.token_hex(8)
        log.info(
            "ordering {} to load other layers: {}", move.target, move.reason
        )
        PLACEMENT_MOVES.inc()
        self._models_by_order_id[order_id] = model
        model.order_deadline_s = self._reactor.seconds() + ORDER_TIMEOUT_S
        link.send(
            {
                "type": "order",
                "order": order_id,
                "lease": self._lease_name(name),
                "fencing_number": fencing_number,
                "kind": "load_model",
                "arguments": {
                    "model": name,
                    "first_layer": str(move.first_layer),
                    "end_layer": str(move.end_layer),
                    "layer_count": str(model.layer_count),
                },
            }
        )


def _fencing_number(model: ModelState) -> int | None:
    """Returns the fencing number, or None while the lease is not held."""
    try:
        return model.lease.fencing_number()
    except exceptions.LeaseLost:
        return None
