"""Orders targets to load layers while this process holds the lease.

The plan is kept in the object store, so that the next holder of the lease
follows it instead of moving layers to other targets. An order carries the
lease's fencing number and the count of orders that the target had accepted,
so that the target rejects an order that is out of date.

In an outage of the store, the last holder goes on with the plan that it knows
for services with uneven accelerators; see `policy.outage_repair`. It orders
only layers that have no sound holder, and tells its peers what the targets
hold then, as they can't register it.
"""

from collections.abc import Callable
from collections.abc import Sequence
import functools
from typing import Any

import prometheus_client
from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.control import lease as lease_module
from hemlocktiller._internal.gateway import platform_adapter
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.gateway import upstream
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import layout
from hemlocktiller._internal.store import client

PLAN_KIND = "layouts"
RECONCILE_INTERVAL_S = 0.25
# The registrations of a starting deployment arrive within its first
# heartbeats; a plan is made once the set of targets is unchanged for this
# long.
STABLE_TARGETS_S = 1.0
ORDER_TIMEOUT_S = 1.0
# An order without an answer may still be executed seconds later, so the
# target gets no other order for this long.
REORDER_DELAY_S = 3.0
# An accepted order counts as executed for this long: the time to load all
# layers of a large accelerator while other targets load as well.
PENDING_ORDER_TTL_S = 12.0
# A rolling release starts a new target before the old one drains. For this
# long the new one is held back for the old one's range instead of becoming a
# spare.
SPARE_MIN_AGE_S = 4.0
# A sound target may be silent for a second or so, and its return
# shows within a probe and the pause before it, 0.8 s. For this long after it
# is marked as down it keeps its layers in the plan.
MAX_SILENCE_S = 2.5
# In an outage, the layers of a target that was ordered to load are asked for
# this often until it has them, so that requests use them at once.
LAYERS_POLL_INTERVAL_S = 1.0
STATUS_OUTDATED_NUMBER = 412
# Gateways without the lease read the plan ahead, to repair by it if the
# holder stops in an outage.
PLAN_READ_INTERVAL_S = 5.0

ORDERS = prometheus_client.Counter(
    "hemlocktiller_layout_orders", "Layout orders by result", ["result"]
)
OUTAGE_ORDERS = prometheus_client.Counter(
    "hemlocktiller_layout_outage_orders",
    "Layout orders sent while the store did not answer, by result",
    ["result"],
)


class LayoutController:
    """Keeps the layers that targets hold in line with the stored plans.

    Args:
        reactor: Reactor.
        store: Client of the object API.
        lease: Lease of the process that sends orders.
        targets: Registry of the targets.
        adapter: The platform's adapter.
        services: Returns the configured services.

    Attributes:
        on_announcement: Called with the fencing number in use, and with the
            layers that targets hold but can't register, to tell peers.
    """

    def __init__(
        self,
        reactor: Any,
        store: client.ObjectStore,
        lease: lease_module.Lease,
        targets: targets_module.Targets,
        adapter: platform_adapter.PlatformAdapter,
        services: Any,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._lease = lease
        self._targets = targets
        self._adapter = adapter
        self._services = services
        self._plans: dict[str, tuple[layout.PlannedRange, ...]] = {}
        self._known_plans: dict[str, tuple[layout.PlannedRange, ...]] = {}
        self._names_and_stable_since_s: dict[
            str, tuple[tuple[str, ...], float]
        ] = {}
        self._next_order_s: dict[str, float] = {}
        self._first_seen_s: dict[str, float] = {}
        self._pending_orders: dict[str, tuple[layout.Placement, float]] = {}
        self._is_reconciling = False
        self._is_repairing_in_outage = False
        self._announced_number = 0
        self._next_layers_poll_s: dict[str, float] = {}
        self._next_plan_read_s: dict[str, float] = {}
        self.on_announcement: Callable[
            [int, Sequence[targets_module.ReportedLayers]], None
        ] = lambda number, layers: None
        self._loop = task.LoopingCall(self._start_reconciling)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts the periodic reconciliation."""
        self._loop.start(RECONCILE_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops the periodic reconciliation."""
        if self._loop.running:
            self._loop.stop()

    def on_lease(self, is_held: bool) -> None:
        """Drops the plans that were read under an earlier lease."""
        events.emit("lease", is_held=is_held)
        self._plans.clear()

    def _start_reconciling(self):
        """Starts a reconciliation, unless one runs or the lease is lost."""
        held_number = self._fencing_number()
        uneven_services = [
            service
            for service in self._services()
            if fleet.is_uneven(service.engine)
        ]
        if uneven_services:
            self._announce_number(held_number)
            self._repair_in_outage(uneven_services, held_number)
            if not held_number:
                self._read_plans_ahead(uneven_services)
        if self._is_reconciling or not held_number:
            return
        self._is_reconciling = True
        running = defer.Deferred.fromCoroutine(self._reconcile())
        running.addErrback(self._log_failure)
        running.addBoth(self._finish_reconciling)

    def number_to_hand_over(self) -> int | None:
        """Returns the number that a successor may use when this one stops.

        0 if this process has none; None without a service that needs one.
        """
        if not any(
            fleet.is_uneven(service.engine) for service in self._services()
        ):
            return None
        number, _ = self._lease.outage_permission.number()
        return self._fencing_number() or number

    def take_over(self, peer: str, number: int) -> None:
        """Repairs in an outage for a holder that stops."""
        events.emit(
            "layout_handed_over",
            peer=peer,
            fencing_number=number,
            is_taken=self._lease.take_over_in_outage(number),
        )

    def _read_plans_ahead(self, services):
        """Reads the plans that this process doesn't know, now and then."""
        now_s = self._reactor.seconds()
        for service in services:
            if (
                service.name in self._known_plans
                or self._next_plan_read_s.get(service.name, 0.0) > now_s
            ):
                continue
            self._next_plan_read_s[service.name] = now_s + PLAN_READ_INTERVAL_S
            reading = self._store.read(
                PLAN_KIND, service.name, may_be_stale=True
            )
            reading.addCallbacks(
                functools.partial(self._keep_plan, service.name),
                self._log_failure,
            )

    def _keep_plan(self, name, stored):
        if stored is not None:
            self._known_plans.setdefault(
                name,
                tuple(layout.PlannedRange(*row) for row in stored.value),
            )

    def apply_announcement(
        self,
        peer: str,
        number: int,
        layers: Sequence[targets_module.ReportedLayers],
    ) -> None:
        """Applies what a peer announced of its orders and of targets.

        Args:
            peer: Name of the peer.
            number: Fencing number that it orders with.
            layers: Layers that it has seen in reports of targets.
        """
        permission = self._lease.outage_permission
        if permission.record_newer(number):
            events.emit("layout_number", peer=peer, fencing_number=number)
        engines = {
            service.name: service.engine
            for service in self._services()
            if fleet.is_uneven(service.engine)
        }
        ignored = []
        for reported in layers:
            target = self._targets.by_name.get(reported.name)
            engine = engines.get(target.service) if target else None
            if engine is None or not (
                0
                <= reported.first_layer
                <= reported.end_layer
                <= engine.layer_count
            ):
                ignored.append(reported.name)
                continue
            self._targets.apply_reported_layers(reported)
        if ignored:
            events.emit("layers_ignored", peer=peer, targets=ignored[:5])

    def _announce_number(self, held_number):
        """Tells peers the number of a lease that was acquired."""
        if held_number and held_number != self._announced_number:
            self._announced_number = held_number
            self.on_announcement(held_number, ())

    def _repair_in_outage(self, services, held_number):
        """Orders layers that lack a holder while the store is away."""
        number, reason = self._lease.outage_permission.number()
        is_repairing = bool(number and not held_number)
        if is_repairing != self._is_repairing_in_outage:
            self._is_repairing_in_outage = is_repairing
            events.emit(
                "layout_outage",
                is_repairing=is_repairing,
                reason=reason,
                fencing_number=number,
            )
        if not is_repairing:
            return
        for service in services:
            plan = self._known_plans.get(service.name)
            if plan:
                self._order_missing_layers(service, plan, is_outage=True)
                self._poll_loading_targets(service)

    def _poll_loading_targets(self, service):
        """Asks targets for their layers until they have those ordered."""
        now_s = self._reactor.seconds()
        for target in self._ready_targets(service):
            placement, _ = self._pending_orders.get(target.name, (None, 0.0))
            if (
                placement is None
                or placement.target.born_ms != target.born_ms
                or (placement.first_layer, placement.end_layer)
                == (target.first_layer, target.end_layer)
                or self._next_layers_poll_s.get(target.name, 0.0) > now_s
            ):
                continue
            self._next_layers_poll_s[target.name] = (
                now_s + LAYERS_POLL_INTERVAL_S
            )
            self._targets.request_report(
                target,
                functools.partial(self._apply_report, target),
                lambda failure: None,
            )

    def _apply_report(self, target, report):
        """Applies the layers in a report, and tells peers of them."""
        number, _ = self._lease.outage_permission.number()
        if not number or targets_module.is_other_process(report, target):
            return
        reported = targets_module.ReportedLayers(
            target.name, target.born_ms, report.first_layer, report.end_layer
        )
        if self._targets.apply_reported_layers(reported):
            self.on_announcement(number, (reported,))

    def _finish_reconciling(self, _):
        self._is_reconciling = False

    def _log_failure(self, reason):
        if reason.check(exceptions.StoreError, exceptions.LeaseLost):
            events.emit("layout_waits", reason=str(reason.value))
            return
        events.emit("layout_failed", reason=reason.getTraceback())

    def _fencing_number(self):
        """Returns the number of the held lease, or 0 if it is not held."""
        try:
            return self._lease.fencing_number()
        except exceptions.LeaseLost:
            return 0

    async def _reconcile(self):
        """Orders targets to load the layers that the plans lack."""
        for service in self._services():
            if service.engine is None or not self._is_plannable(service):
                continue
            plan = await self._read_or_create_plan(service)
            self._order_missing_layers(service, plan)

    def _is_plannable(self, service):
        """Returns whether a service has a plan, or one can be made now.

        A plan can be made once the set of targets is stable.
        """
        names = tuple(
            sorted(targets_module.target_names(self._ready_targets(service)))
        )
        now_s = self._reactor.seconds()
        if (
            self._names_and_stable_since_s.get(service.name, ((), 0.0))[0]
            != names
        ):
            self._names_and_stable_since_s[service.name] = (names, now_s)
        if service.name in self._plans:
            return True
        return (
            bool(names)
            and now_s - self._names_and_stable_since_s[service.name][1]
            >= STABLE_TARGETS_S
        )

    def _ready_targets(self, service):
        """Returns the ready targets of a service that are not lost."""
        return [
            target
            for target in self._targets.possibly_serving(
                service.name, MAX_SILENCE_S
            )
            if target.state == fleet.READY
        ]

    async def _read_or_create_plan(self, service):
        """Returns the cached plan, the stored one, or a new one."""
        if service.name in self._plans:
            return self._plans[service.name]
        stored = await self._store.read(PLAN_KIND, service.name)
        if stored is not None:
            plan = tuple(layout.PlannedRange(*row) for row in stored.value)
        else:
            plan = self._recover_plan(service) or layout.plan_ranges(
                self._ready_targets(service), service.engine
            )
            rows = [list(planned_range) for planned_range in plan]
            await self._store.create(PLAN_KIND, service.name, rows)
            events.emit("layout_planned", slots=len(plan))
        self._plans[service.name] = plan
        self._known_plans[service.name] = plan
        return plan

    def _recover_plan(self, service):
        """Returns the plan that a restored store has lost, if there was one.

        A process that has not read it takes what the targets hold for it, so
        that they don't load other layers.
        """
        if service.name in self._known_plans:
            return self._known_plans[service.name]
        return layout.held_ranges(self._ready_targets(service), service.engine)

    def _order_missing_layers(self, service, plan, is_outage=False):
        """Orders layers for ranges without a holder, or else for spares.

        Args:
            service: The service.
            plan: Its plan.
            is_outage: Whether to order by the permission for an outage, and
                nothing for spares.
        """
        now_s = self._reactor.seconds()
        candidates = [
            self._with_pending_order(candidate, now_s, is_outage)
            for candidate in self._ready_targets(service)
        ]
        silent_names = {
            candidate.name
            for candidate in candidates
            if self._targets.is_down(candidate)
        }
        placements = layout.fill_ranges(
            plan, candidates, service.engine, silent_names
        )
        if not placements and not is_outage:
            available = [
                candidate
                for candidate in candidates
                if self._is_available_as_spare(candidate, now_s)
            ]
            placements = layout.place_spare_targets(
                plan, available, service.engine, silent_names
            )
        for placement in placements:
            name = placement.target.name
            if self._next_order_s.get(name, 0.0) > now_s:
                continue
            self._next_order_s[name] = now_s + REORDER_DELAY_S
            self._targets.request_report(
                placement.target,
                lambda report, placement=placement: self._send_order(
                    service, placement, report, is_outage
                ),
                lambda failure, placement=placement: events.emit(
                    "order_waits",
                    target=placement.target.name,
                    reason=failure.reason,
                ),
            )

    def _with_pending_order(self, target, now_s, is_outage):
        """Returns a target as if its accepted order were executed.

        In an outage it can't register that, so the time until its order
        counts as lost starts only at the end of the outage.
        """
        pending = self._pending_orders.get(target.name)
        if pending is None:
            return target
        placement, accepted_s = pending
        is_same_process = placement.target.born_ms == target.born_ms
        if is_outage and is_same_process:
            accepted_s = now_s
            self._pending_orders[target.name] = (placement, now_s)
        if not is_same_process or now_s - accepted_s > PENDING_ORDER_TTL_S:
            del self._pending_orders[target.name]
            return target
        return target._replace(
            first_layer=placement.first_layer, end_layer=placement.end_layer
        )

    def _is_available_as_spare(self, target, now_s):
        """Returns whether a target holds layers, or has waited long enough."""
        first_seen_s = self._first_seen_s.setdefault(target.name, now_s)
        return target.layers > 0 or now_s - first_seen_s >= SPARE_MIN_AGE_S

    def _send_order(self, service, placement, report, is_outage):
        """Sends an order, if the report confirms the state of the target.

        The held layers must be those of the registration, no order may be
        in progress, and the process must not have been restarted.
        """
        held_number = (
            self._lease.outage_permission.number()[0]
            if is_outage
            else self._fencing_number()
        )
        target = placement.target
        held_range = (report.first_layer, report.end_layer)
        if is_outage:
            self._apply_report(target, report)
        if not held_number or held_range != (
            target.first_layer,
            target.end_layer,
        ):
            return
        if report.is_executing_order or report.born_ms not in (
            0,
            target.born_ms,
        ):
            return
        accelerator_kind = service.engine.accelerators[target.accelerator]
        layers = placement.end_layer - placement.first_layer
        if layers * service.engine.layer_mb > accelerator_kind.memory_mb:
            events.emit("order_too_large", target=target.name, layers=layers)
            return
        body = self._adapter.encode_order(
            placement.first_layer,
            placement.end_layer,
            held_number,
            report.accepted_orders,
        )

        def on_result(result):
            """Records and logs the HTTP status, or why there is none."""
            if result in (200, 202):
                now_s = self._reactor.seconds()
                self._pending_orders[target.name] = (placement, now_s)
            if result == STATUS_OUTDATED_NUMBER and is_outage:
                self._lease.outage_permission.record_refused(held_number)
            ORDERS.labels(str(result)).inc()
            if is_outage:
                OUTAGE_ORDERS.labels(str(result)).inc()
            events.emit(
                "order",
                target=target.name,
                layers=[placement.first_layer, placement.end_layer],
                fencing_number=held_number,
                after_orders=report.accepted_orders,
                result=result,
            )

        upstream.request_once(
            self._reactor,
            target,
            ("POST", self._adapter.order_path, body),
            ORDER_TIMEOUT_S,
            lambda status, _: on_result(status),
            lambda failure: on_result(failure.reason),
            self._targets.probe_head_recorder(target),
        )
