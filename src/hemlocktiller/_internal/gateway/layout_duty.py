"""Gives the layout's orders while this process holds the lease.

The plan lies in the store, so that a successor goes on with it instead of
moving layers around. Orders carry the lease's fencing number and the count
of orders that the target had accepted, so that a late one does nothing.
"""

from typing import Any

import prometheus_client
from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.control import lease as lease_module
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.gateway import upstream
from hemlocktiller._internal.gateway import wire as wire_module
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import layout
from hemlocktiller._internal.store import client

KIND = "layouts"
INTERVAL_S = 0.25
# Registrations of a deployment that starts come in within its first beats;
# the plan waits until none has come for this long.
SETTLE_S = 1.0
ORDER_TIMEOUT_S = 1.0
# An order without an answer may be carried out seconds later; the target is
# left alone for that long.
QUIET_AFTER_ORDER_S = 3.0
# A load under way counts as done for this long: all layers of a large card
# while others load as well.
PENDING_S = 12.0
# A release starts a new target before the old one drains; it is kept for
# the old one's range for this long.
SPARE_WAIT_S = 4.0

ORDERS = prometheus_client.Counter(
    "hemlocktiller_layout_orders", "Layout orders by result", ["result"]
)


class LayoutDuty:
    """Keeps the layout of model services as planned, while leading."""

    def __init__(
        self,
        reactor: Any,
        store: client.ObjectStore,
        lease: lease_module.Lease,
        targets: targets_module.Targets,
        wire: wire_module.Wire,
        services: Any,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._lease = lease
        self._targets = targets
        self._wire = wire
        self._services = services
        self._plans: dict[str, tuple[layout.Slot, ...]] = {}
        self._seen: dict[str, tuple[tuple[str, ...], float]] = {}
        self._quiet_until_s: dict[str, float] = {}
        self._first_seen_s: dict[str, float] = {}
        self._pending: dict[str, tuple[layout.Placement, float]] = {}
        self._is_busy = False
        self._loop = task.LoopingCall(self._round)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts to look after the layout."""
        self._loop.start(INTERVAL_S, now=False)

    def stop(self) -> None:
        """Gives no more orders."""
        if self._loop.running:
            self._loop.stop()

    def on_lease(self, is_held: bool) -> None:
        """Drops the plan that was read under an earlier lease."""
        events.emit("lease", is_held=is_held)
        self._plans.clear()

    def _round(self):
        if self._is_busy or not self._fencing_number():
            return
        self._is_busy = True
        done = defer.Deferred.fromCoroutine(self._keep())
        done.addErrback(self._failed)
        done.addBoth(self._idle)

    def _idle(self, _):
        self._is_busy = False

    def _failed(self, reason):
        if reason.check(exceptions.StoreError, exceptions.LeaseLost):
            events.emit("layout_waits", reason=str(reason.value))
            return
        events.emit("layout_failed", reason=reason.getTraceback())

    def _fencing_number(self):
        try:
            return self._lease.fencing_number()
        except exceptions.LeaseLost:
            return 0

    async def _keep(self):
        for service in self._services():
            if service.engine is None or not self._is_settled(service):
                continue
            plan = await self._plan(service)
            self._order(service, plan)

    def _is_settled(self, service):
        """Tells whether a service is planned, or its targets are all here."""
        names = tuple(sorted(targets_module.target_names(self._live(service))))
        now_s = self._reactor.seconds()
        if self._seen.get(service.name, ((), 0.0))[0] != names:
            self._seen[service.name] = (names, now_s)
        if service.name in self._plans:
            return True
        return bool(names) and now_s - self._seen[service.name][1] >= SETTLE_S

    def _live(self, service):
        return [
            target
            for target in self._targets.live(service.name)
            if target.state == fleet.READY
        ]

    async def _plan(self, service):
        """Returns the plan: ours, the store's, or a new one."""
        if service.name in self._plans:
            return self._plans[service.name]
        stored = await self._store.read(KIND, service.name)
        if stored is not None:
            plan = tuple(layout.Slot(*row) for row in stored.value)
        else:
            plan = layout.plan(self._live(service), service.engine)
            rows = [list(slot) for slot in plan]
            await self._store.create(KIND, service.name, rows)
            events.emit("layout_planned", slots=len(plan))
        self._plans[service.name] = plan
        return plan

    def _order(self, service, plan):
        now_s = self._reactor.seconds()
        live = [self._as_ordered(one, now_s) for one in self._live(service)]
        placements = layout.assign(plan, live, service.engine)
        if not placements:
            idle = [one for one in live if self._is_settled_in(one, now_s)]
            placements = layout.spares(plan, idle, service.engine)
        for placement in placements:
            name = placement.target.name
            if self._quiet_until_s.get(name, 0.0) > now_s:
                continue
            self._quiet_until_s[name] = now_s + QUIET_AFTER_ORDER_S
            self._targets.request_report(
                placement.target,
                lambda report, placement=placement: self._send(
                    service, placement, report
                ),
                lambda reason, placement=placement: events.emit(
                    "order_waits",
                    target=placement.target.name,
                    reason=reason,
                ),
            )

    def _as_ordered(self, target, now_s):
        """Returns a target with the layers that it was ordered to load."""
        ordered = self._pending.get(target.name)
        if ordered is None:
            return target
        placement, since_s = ordered
        is_same = placement.target.born_ms == target.born_ms
        if not is_same or now_s - since_s > PENDING_S:
            del self._pending[target.name]
            return target
        return target._replace(
            first_layer=placement.first_layer, end_layer=placement.end_layer
        )

    def _is_settled_in(self, target, now_s):
        """Tells whether a target has been idle for long, or holds layers."""
        since_s = self._first_seen_s.setdefault(target.name, now_s)
        return target.layers > 0 or now_s - since_s >= SPARE_WAIT_S

    def _send(self, service, placement, report):
        """Orders a target to load layers, if it holds what we think."""
        number = self._fencing_number()
        target = placement.target
        held = (report.first_layer, report.end_layer)
        if not number or held != (target.first_layer, target.end_layer):
            return
        if report.is_busy or report.born_ms not in (0, target.born_ms):
            return
        kind = service.engine.accelerators[target.accelerator]
        layers = placement.end_layer - placement.first_layer
        if layers * service.engine.layer_mb > kind.memory_mb:
            events.emit("order_too_large", target=target.name, layers=layers)
            return
        body = self._wire.place_order(
            placement.first_layer,
            placement.end_layer,
            number,
            report.orders,
        )

        def note(result):
            if result in (200, 202):
                now_s = self._reactor.seconds()
                self._pending[target.name] = (placement, now_s)
            ORDERS.labels(str(result)).inc()
            events.emit(
                "order",
                target=target.name,
                layers=[placement.first_layer, placement.end_layer],
                fencing_number=number,
                after_orders=report.orders,
                result=result,
            )

        upstream.call(
            self._reactor,
            target,
            ("POST", self._wire.order_path, body),
            ORDER_TIMEOUT_S,
            lambda status, _: note(status),
            lambda failed: note(failed.reason),
        )
