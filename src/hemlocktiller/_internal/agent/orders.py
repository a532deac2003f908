"""Executes control orders, fenced by the lease of their sender."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import logbook
import prometheus_client
from twisted.internet import defer
from twisted.python import failure

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.agent import engine_client
from hemlocktiller._internal.control import fence as fence_module
from hemlocktiller._internal.links import link as link_module

log = logbook.Logger(__name__)

ORDERS = prometheus_client.Counter(
    "hemlocktiller_orders", "Control orders by outcome", ["outcome"]
)


class TargetOperations(NamedTuple):
    """Operations on the target that orders use.

    Attributes:
        engine: Client of the engine; None for a plain service.
        pause: Refuses new requests and waits until none is running; the
            result is False if any still is after the timeout.
        resume: Accepts requests again once the engine reports its layers.
        drain: Refuses new requests and shuts down once none is running;
            takes the reason.
    """

    engine: engine_client.EngineClient | None
    pause: Callable[[], defer.Deferred]
    resume: Callable[[], None]
    drain: Callable[[str], Any]


class OrderExecutor:
    """Executes the orders that this agent receives.

    Args:
        fence: Rejects orders whose fencing number is stale.
        operations: Operations on the target.
    """

    def __init__(
        self, fence: fence_module.Fence, operations: TargetOperations
    ) -> None:
        self._fence = fence
        self._operations = operations

    def on_order(self, link: link_module.Link, message: Any) -> None:
        """Executes an order unless its fencing number is stale."""
        deferred = self._fence.run(
            message["lease"],
            message["fencing_number"],
            lambda: self._execute(message),
        )
        deferred.addErrback(_failure_reason)
        deferred.addCallback(self._send_result, link, message)

    @defer.inlineCallbacks
    def _execute(self, message: Any) -> defer.Deferred[str]:
        """Executes an order and returns a reason code; "" on success."""
        log.info(
            "executing order {} under lease {}",
            message["kind"],
            message["lease"],
        )
        if message["kind"] == "drain":
            self._operations.drain("order")
            return ""
        if self._operations.engine is None:
            return "no_engine"
        idle = yield self._operations.pause()
        try:
            if not idle:
                return "busy"
            reply = yield self._operations.engine.forward_order(
                message["kind"],
                message["fencing_number"],
                message["arguments"],
            )
        finally:
            self._operations.resume()
        return "" if reply.status == 200 else "refused_by_engine"

    def _send_result(
        self, reason: str, link: link_module.Link, message: Any
    ) -> None:
        """Reports the outcome of an order; an empty reason means success."""
        ORDERS.labels(reason or "accepted").inc()
        if link.is_open:
            link.send(
                {
                    "type": "order_result",
                    "order": message["order"],
                    "accepted": reason == "",
                    "reason": reason,
                }
            )


def _failure_reason(cause: failure.Failure) -> str:
    """Returns the reason code for an order that failed."""
    if cause.check(exceptions.StaleFencingNumber):
        return "stale_fence"
    if cause.check(exceptions.StoreError):
        return "lease_not_read"
    log.error("order failed: {}", cause.getTraceback())
    return "failed"
