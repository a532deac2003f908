"""Rejects control orders that carry an outdated fencing number.

A fence runs in the agent of a target and keeps the highest fencing number
seen for each lease. It reads the lease before each order, since a new
holder may not have sent an order to this target yet, and rejects orders
while the lease can't be read. Orders under one lease run one at a time, so
that an accepted order can't overtake a later holder's order on the way to
the target.
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
    """Checks orders against the highest fencing number of each lease."""

    def __init__(self, store: client.ObjectStore):
        self._store = store
        self._highest_numbers: dict[str, int] = {}
        self._locks: dict[str, defer.DeferredLock] = {}

    def highest(self, name: str) -> int | None:
        """Returns the highest number seen; None before the first order."""
        return self._highest_numbers.get(name)

    def run(
        self, name: str, fencing_number: int, order: Callable[[], Any]
    ) -> defer.Deferred:
        """Runs an order unless its fencing number is outdated.

        Args:
            name: Name of the lease.
            fencing_number: Fencing number that the order carries.
            order: Runs the order; may return a Deferred, which must fire in
                bounded time, as later orders wait for it.

        Returns:
            A Deferred of the order's result.

        Raises:
            StaleFencingNumber: A higher fencing number was seen.
            StoreUnavailable: The lease can't be read.
        """
        lock = self._locks.setdefault(name, defer.DeferredLock())
        return lock.run(
            lambda: defer.Deferred.fromCoroutine(
                self._run_if_current(name, fencing_number, order)
            )
        )

    async def _run_if_current(self, name, fencing_number, order):
        try:
            highest = await self._read_highest(name)
        except exceptions.StoreError:
            _ORDERS.labels("unread").inc()
            raise
        if fencing_number < highest:
            _ORDERS.labels("stale").inc()
            raise exceptions.StaleFencingNumber(
                f"fencing number {fencing_number} is below {highest}"
            )
        self._highest_numbers[name] = fencing_number
        _ORDERS.labels("accepted").inc()
        return await defer.maybeDeferred(order)

    async def _read_highest(self, name):
        """Reads the lease; returns the highest fencing number seen so far."""
        stored = await self._store.read(lease.KIND, name)
        stored_number = stored.value["fencing_number"] if stored else 0
        highest = max(stored_number, self._highest_numbers.get(name, 0))
        self._highest_numbers[name] = highest
        return highest
