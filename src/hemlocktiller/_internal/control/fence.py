"""Refuses control orders of earlier lease holders, beside the target.

A fence keeps the highest fencing number seen for each lease. It reads the
lease before each order, since a new holder may have given this target no
order yet, and refuses orders while it can't. Orders under one lease are
carried out one after the other, so that an order which was let through
can't overtake a later holder's order on its way to the target.
"""

from collections.abc import Callable
from typing import Any

import prometheus_client
from twisted.internet import defer

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.control import lease
from hemlocktiller._internal.store import client

_ORDERS = prometheus_client.Counter(
    "hemlocktiller_fence_orders", "Control orders by verdict", ["verdict"]
)


class Fence:
    """The highest fencing number of each lease."""

    def __init__(self, store: client.ObjectStore):
        self._store = store
        self._highest: dict[str, int] = {}
        self._turns: dict[str, defer.DeferredLock] = {}

    def highest(self, name: str) -> int | None:
        """Returns the highest number seen; None before the first read."""
        return self._highest.get(name)

    def run(
        self, name: str, fencing_number: int, order: Callable[[], Any]
    ) -> defer.Deferred:
        """Carries out an order unless its fencing number is too old.

        Args:
            name: Name of the lease.
            fencing_number: Number that the order carries.
            order: Carries out the order; may return a Deferred, which must
                fire in bounded time, as later orders wait for it.

        Returns:
            A Deferred of the order's result.

        Raises:
            StaleFence: A higher number was seen.
            StoreUnavailable: The lease can't be read.
        """
        turn = self._turns.setdefault(name, defer.DeferredLock())
        return turn.run(
            lambda: defer.Deferred.fromCoroutine(
                self._run(name, fencing_number, order)
            )
        )

    async def _run(self, name, fencing_number, order):
        try:
            highest = await self._read_highest(name)
        except exceptions.StoreError:
            _ORDERS.labels("unread").inc()
            raise
        if fencing_number < highest:
            _ORDERS.labels("stale").inc()
            raise exceptions.StaleFence(
                f"fencing number {fencing_number} is below {highest}"
            )
        self._highest[name] = fencing_number
        _ORDERS.labels("accepted").inc()
        return await defer.maybeDeferred(order)

    async def _read_highest(self, name):
        stored = await self._store.read(lease.KIND, name)
        number = stored.value["fencing_number"] if stored else 0
        highest = max(number, self._highest.get(name, 0))
        self._highest[name] = highest
        return highest
