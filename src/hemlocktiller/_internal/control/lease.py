"""Leases in the object API, held without synchronised clocks.

The holder renews its lease by conditional updates, each of which raises
the version of the lease object. A bidder that sees the same version for a
whole lease duration, by its own monotonic clock, may take the lease by an
update of that version. The holder counts from before it sent the last
renewal, and a little less than the duration, so it stops first. It checks
its clock before each order, so a holder that was paused finds its lease
expired when it wakes.

The fencing number is one above the version that the acquiring write
replaced. It is written with the acquisition and copied by renewals, so it
is the same while a holder keeps the lease. The next acquisition replaces a
version that is higher than all of the earlier holder's, so its number is
higher. A lease is never deleted but marked as free; if an operator deletes
it, it is created as free first, and as versions are counted for the whole
store, its numbers go on growing.
"""

from collections.abc import Callable
import random
import time
from typing import Any

import logbook
import prometheus_client
from twisted.internet import defer
from twisted.internet import task
from typing_extensions import TypedDict

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import watch

KIND = "lease"
FREE = ""
# Share of the duration for which the holder trusts its lease; the rest
# covers clocks that run at slightly different rates.
HOLDER_RATIO = 0.9
BID_JITTER_RATIO = 0.1
FREE_TRIES = 2

_LOG = logbook.Logger(__name__)
_HELD = prometheus_client.Gauge(
    "hemlocktiller_leases_held", "Leases held by this process"
)


class LeaseSettings(TypedDict):
    """How long a lease lasts and how often it is renewed."""

    duration_s: float
    renew_interval_s: float


class LeaseValue(TypedDict):
    """The stored value of a lease."""

    holder: str
    fencing_number: int
    renewals: int


DEFAULT_SETTINGS: LeaseSettings = {"duration_s": 10.0, "renew_interval_s": 3.0}


def boot_time_s() -> float:
    """Returns a time in seconds that also counts while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Lease:
    """Bids for a lease, and renews it while it is held.

    Args:
        store: Client of the object API; its writer is the holder's id.
        name: Name of the lease.
        settings: Duration and interval of renewal.
        reactor: Reactor that times bids and renewals.
        on_change: Called with whether the lease is held.
        monotonic_s: Clock that expiry is judged by.
    """

    def __init__(
        self,
        store: client.ObjectStore,
        name: str,
        settings: LeaseSettings,
        reactor: Any,
        on_change: Callable[[bool], None] = lambda held: None,
        monotonic_s: Callable[[], float] = boot_time_s,
    ):
        self._store = store
        self._name = name
        self._settings = settings
        self._reactor = reactor
        self._on_change = on_change
        self._monotonic_s = monotonic_s
        self._known: client.StoredObject | None = None
        self._must_read = True
        self._seen_at_s = 0.0
        self._held_until_s = 0.0
        self._was_held = False
        self._failures = 0
        self._stopped = False
        self._running: defer.Deferred = defer.succeed(None)

    def start(self) -> None:
        """Starts to bid."""
        self._running = defer.Deferred.fromCoroutine(self._run())
        self._running.addErrback(self._ended)

    def fencing_number(self) -> int:
        """Returns the number to send with an order, right before it.

        Raises:
            LeaseLost: The lease is not held, or no longer.
        """
        if not self._note_held():
            raise exceptions.LeaseLost(f"lease {self._name} is not held")
        return self._known.value["fencing_number"]

    def release(self) -> "defer.Deferred[None]":
        """Stops bidding, and frees the lease if it is held."""
        self._stopped = True
        self._running.cancel()
        self._held_until_s = 0.0
        self._note_held()
        return defer.Deferred.fromCoroutine(self._free())

    async def _free(self):
        try:
            for _ in range(FREE_TRIES):
                if not self._is_own():
                    return
                value = {**self._known.value, "holder": FREE}
                await self._put(value)
        except exceptions.StoreError as error:
            _LOG.info("lease {} is left to expire: {}", self._name, error)

    async def _run(self):
        while not self._stopped:
            try:
                wait_s = await self._step()
                self._failures = 0
            except exceptions.StoreError:
                self._must_read = True
                wait_s = watch.backoff_s(self._store.settings, self._failures)
                self._failures += 1
            if not self._stopped:
                self._note_held()
                await task.deferLater(self._reactor, wait_s)

    async def _step(self):
        """Bids or renews once; returns the wait in seconds."""
        if self._must_read:
            # An older version only delays a bid: it is taken by a condition.
            # After a failure the own version may be newer than that.
            stored = await self._store.read(
                KIND, self._name, may_be_stale=self._failures == 0
            )
            self._observe(stored)
        if self._known is None:
            await self._put(_value(FREE, 0, 0))
        if self._is_own():
            await self._hold(_renewed(self._known.value))
        elif self._may_take():
            await self._hold(
                _value(self._store.writer, self._known.version + 1, 0)
            )
        self._must_read = not self._is_own()
        if self._is_own():
            return self._settings["renew_interval_s"]
        return self._settings["duration_s"] * random.uniform(
            1.0, 1.0 + BID_JITTER_RATIO
        )

    async def _hold(self, value):
        sent_at_s = self._monotonic_s()
        if await self._put(value):
            duration_s = self._settings["duration_s"] * HOLDER_RATIO
            self._held_until_s = sent_at_s + duration_s

    async def _put(self, value):
        """Replaces the known version; tells whether it did."""
        version = self._known.version if self._known else 0
        try:
            stored = await self._store.update(KIND, self._name, value, version)
        except (
            exceptions.ObjectExists,
            exceptions.VersionConflict,
        ) as lost:
            self._observe(lost.current)
            return False
        self._observe(stored)
        return True

    def _observe(self, stored):
        """Notes when a version was first seen."""
        known_version = self._known.version if self._known else 0
        if stored is not None and stored.version != known_version:
            self._seen_at_s = self._monotonic_s()
        self._known = stored
        if not self._is_own():
            self._held_until_s = 0.0

    def _is_own(self):
        return (
            self._known is not None
            and self._known.value["holder"] == self._store.writer
        )

    def _may_take(self):
        if self._known is None:
            return False
        if self._known.value["holder"] == FREE:
            return True
        unchanged_s = self._monotonic_s() - self._seen_at_s
        return unchanged_s >= self._settings["duration_s"]

    def _note_held(self):
        """Reports a change of whether the lease is held."""
        held = self._monotonic_s() < self._held_until_s
        if held != self._was_held:
            self._was_held = held
            _HELD.inc(1 if held else -1)
            _LOG.info("lease {} {}", self._name, "held" if held else "lost")
            self._on_change(held)
        return held

    def _ended(self, failure):
        if not self._stopped:
            _LOG.error("lease {}: {}", self._name, failure.getTraceback())


def _value(holder: str, fencing_number: int, renewals: int) -> LeaseValue:
    return {
        "holder": holder,
        "fencing_number": fencing_number,
        "renewals": renewals,
    }


def _renewed(value: LeaseValue) -> LeaseValue:
    return {**value, "renewals": value["renewals"] + 1}
