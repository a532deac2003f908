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
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.gateway import upstream
from hemlocktiller._internal.gateway import wire as wire_module
from hemlocktiller._internal.observe import events
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
# A range whose target is gone is filled by another after this long; a
# target that restarts is back sooner and takes its range again.
REFILL_WAIT_S = 1.0

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
        self._seen: tuple[str, ...] = ()
        self._seen_s = 0.0
        self._quiet_until_s: dict[str, float] = {}
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
        names = tuple(sorted(targets_module.names(self._live(service))))
        now_s = self._reactor.seconds()
        if names != self._seen:
            self._seen = names
            self._seen_s = now_s
        settle_s = REFILL_WAIT_S if service.name in self._plans else SETTLE_S
        return bool(names) and now_s - self._seen_s >= settle_s

    def _live(self, service):
        return [
            target
            for target in self._targets.live(service.name)
            if target.state == model.READY
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
        placements = layout.assign(plan, self._live(service), service.engine)
        for placement in placements:
            name = placement.target.name
            if self._quiet_until_s.get(name, 0.0) > now_s:
                continue
            self._quiet_until_s[name] = now_s + QUIET_AFTER_ORDER_S
            self._targets.report(
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

    def _send(self, service, placement, report):
        """Orders a target that is still empty to load its layers."""
        number = self._fencing_number()
        target = placement.target
        if not number or report.end_layer > report.first_layer:
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
