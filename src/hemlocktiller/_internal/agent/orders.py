"""Carries out control orders, fenced by the lease of their giver."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import logbook
import prometheus_client
from twisted.internet import defer
from twisted.python import failure

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.agent import engine as engine_module
from hemlocktiller._internal.control import fence as fence_module
from hemlocktiller._internal.links import link as link_module

log = logbook.Logger(__name__)

ORDERS = prometheus_client.Counter(
    "hemlocktiller_orders", "Control orders by outcome", ["outcome"]
)


class Target(NamedTuple):
    """What orders do to the target.

    Attributes:
        engine: Client of the engine; None for a plain service.
        pause: Takes no new work and waits until nothing runs.
        resume: Takes new work again, with what the engine holds then.
        drain: Starts to leave.
    """

    engine: engine_module.EngineClient | None
    pause: Callable[[], defer.Deferred]
    resume: Callable[[], None]
    drain: Callable[[str], Any]


class Orders:
    """The orders that arrive at this agent."""

    def __init__(self, fence: fence_module.Fence, target: Target) -> None:
        self._fence = fence
        self._target = target

    def on_order(self, link: link_module.Link, message: Any) -> None:
        """Carries out an order unless its fencing number is too old."""
        done = self._fence.run(
            message["lease"],
            message["fencing_number"],
            lambda: self._carry_out(message),
        )
        done.addErrback(_reason_of)
        done.addCallback(self._answer, link, message)

    @defer.inlineCallbacks
    def _carry_out(self, message: Any) -> defer.Deferred[str]:
        """Returns why an order was not carried out; "" if it was."""
        log.info("order {} under {}", message["kind"], message["lease"])
        if message["kind"] == "drain":
            self._target.drain("order")
            return ""
        if self._target.engine is None:
            return "no_engine"
        idle = yield self._target.pause()
        try:
            if not idle:
                return "busy"
            reply = yield self._target.engine.order(
                message["kind"],
                message["fencing_number"],
                message["arguments"],
            )
        finally:
            self._target.resume()
        return "" if reply.status == 200 else "refused_by_engine"

    def _answer(
        self, reason: str, link: link_module.Link, message: Any
    ) -> None:
        ORDERS.labels(reason or "accepted").inc()
        if link.up:
            link.send(
                {
                    "type": "order_result",
                    "order": message["order"],
                    "accepted": reason == "",
                    "reason": reason,
                }
            )


def _reason_of(reason: failure.Failure) -> str:
    """Returns the reason code of an order that failed."""
    if reason.check(exceptions.StaleFence):
        return "stale_fence"
    if reason.check(exceptions.StoreError):
        return "lease_not_read"
    log.error("an order failed: {}", reason.getTraceback())
    return "failed"
