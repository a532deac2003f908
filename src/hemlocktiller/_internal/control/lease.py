"""Leases stored in the object API; need no synchronised clocks.

The holder renews its lease by conditional updates, each of which raises
the version of the lease object. A candidate that observes the same version
for a whole lease duration, by its own monotonic clock, may acquire the
lease by a conditional update of that version. The holder measures its
lease from before it sent the last renewal and trusts it for slightly less
than the duration, so it stops acting as holder first. It checks its clock
before each order, so a holder that was paused finds its lease expired when
it resumes.

The fencing number is one above the version that the acquiring write
replaced. Renewals copy it, so it stays the same while a holder keeps the
lease. The next acquisition replaces a version higher than any that the
earlier holder wrote, so its fencing number is higher. A released lease is
not deleted but stored without a holder. If an operator deletes it, it is
first created again without a holder; as versions are counted for the whole
store, fencing numbers keep increasing.

They also increase when the store is restored from an older copy, as versions
do (see `store.versions`). A lease of an earlier era permits nothing from the
moment at which its holder learns of the restore. The copy may not know of that
holder, so any process acquires a lease, also a free one or its own, only after
it has seen it unchanged for a whole duration in the new era. The number is a
new one.

While the store doesn't answer, an expired lease permits nothing. What its
last holder may do then without it is decided by its `outage_permission`.
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
from hemlocktiller._internal.control import outage_permission
from hemlocktiller._internal.policy import store_backoff
from hemlocktiller._internal.store import backoff
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import versions
from hemlocktiller._internal.store import watch

KIND = "lease"
NO_HOLDER = ""
# Share of the duration for which the holder trusts its lease; the rest
# covers clocks that run at slightly different rates.
HOLDER_DURATION_RATIO = 0.9
ACQUIRE_JITTER_RATIO = 0.1
RELEASE_ATTEMPTS = 2

_LOG = logbook.Logger(__name__)
_HELD = prometheus_client.Gauge(
    "hemlocktiller_leases_held", "Leases held by this process"
)


class LeaseSettings(TypedDict):
    """How long a lease lasts and how often it is renewed."""

    duration_s: float
    renew_interval_s: float


class LeaseValue(TypedDict):
    """Stored value of a lease."""

    holder: str
    fencing_number: int
    renewals: int


DEFAULT_SETTINGS: LeaseSettings = {"duration_s": 10.0, "renew_interval_s": 3.0}


def boot_time_s() -> float:
    """Returns a monotonic time that advances during system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Lease:
    """Tries to acquire a lease, and renews it while it is held.

    Args:
        store: Client of the object API; its writer is the holder's id.
        name: Name of the lease.
        settings: Duration of the lease and interval of renewals.
        reactor: Twisted reactor that schedules acquisitions and renewals.
        on_change: Called with whether the lease is held, on each change.
        monotonic_s: Clock for the expiry of the lease.

    Attributes:
        outage_permission: What the last holder may do in an outage.
        backoff: Gives the waits after failures; exponential if None.
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
        self.outage_permission = outage_permission.OutagePermission(
            store.settings, monotonic_s
        )
        self.backoff: backoff.StoreBackoff | None = None
        self._observed: client.StoredObject | None = None
        self._needs_read = True
        self._observed_at_s = 0.0
        self._held_until_s = 0.0
        self._reported_held = False
        self._consecutive_failures = 0
        self._era_first_seen_s: dict[int, float] = {}
        self._stopped = False
        store.on_new_era.append(self._on_new_era)
        self._loop: defer.Deferred = defer.succeed(None)
        self._pause: defer.Deferred = defer.succeed(None)

    def start(self) -> None:
        """Starts to acquire and renew the lease in the background."""
        self._loop = defer.Deferred.fromCoroutine(self._run_loop())
        self._loop.addErrback(self._on_loop_failed)

    def fencing_number(self) -> int:
        """Returns the fencing number to send with an order.

        Must be called immediately before the order is sent.

        Raises:
            LeaseLost: The lease is not held or has expired.
        """
        if not self._update_held():
            raise exceptions.LeaseLost(f"lease {self._name} is not held")
        return self._observed.value["fencing_number"]

    def release(self) -> "defer.Deferred[None]":
        """Stops acquiring the lease, and releases it if it is held."""
        self._stopped = True
        self._loop.cancel()
        self._held_until_s = 0.0
        self.outage_permission.forget()
        self._update_held()
        return defer.Deferred.fromCoroutine(self._release_if_held())

    def take_over_in_outage(self, number: int) -> bool:
        """Acts in an outage for a holder that stops and named this process.

        Returns:
            Whether the number is that of the lease, by the store's last word.
        """
        if (
            self._stopped
            or self._observed is None
            or self._observed.value["fencing_number"] != number
            or not self._store.is_current(self._observed.version)
        ):
            return False
        self.outage_permission.take_over(number)
        self.retry_now()
        return True

    def retry_now(self) -> None:
        """Ends the pause after a failure, as the store answers again."""
        if self._consecutive_failures and not self._stopped:
            self._pause.cancel()

    def _retry_wait_s(self, error):
        """Returns the time to wait after a failure."""
        if self.backoff is None:
            return watch.backoff_s(
                self._store.settings, self._consecutive_failures
            )
        caller = store_backoff.Caller.PATIENT
        if self.outage_permission.has_number():
            caller = store_backoff.Caller.HOLDER
        return self.backoff.wait_s(caller, self._consecutive_failures, error)

    def _on_new_era(self, era):
        """Gives up a lease of the store's state before a restore."""
        self._needs_read = True
        # The copy may name this process as the holder of an earlier number.
        self._held_until_s = 0.0
        self.outage_permission.forget()
        self._era_known_since_s(era)
        self._update_held()

    def _era_known_since_s(self, era):
        """Returns since when this process has known an era of the store."""
        return self._era_first_seen_s.setdefault(era, self._monotonic_s())

    async def _release_if_held(self):
        try:
            for _ in range(RELEASE_ATTEMPTS):
                if not self._is_recorded_holder():
                    return
                value = {**self._observed.value, "holder": NO_HOLDER}
                await self._compare_and_swap(value)
        except exceptions.StoreError as error:
            _LOG.info(
                "lease {} was not released and will expire: {}",
                self._name,
                error,
            )

    async def _run_loop(self):
        """Acquires or renews the lease until `release` is called."""
        while not self._stopped:
            began_s = self._monotonic_s()
            try:
                wait_s = await self._acquire_or_renew()
                self._consecutive_failures = 0
                self.outage_permission.record_answer()
            except exceptions.StoreError as error:
                self._needs_read = True
                self.outage_permission.record_failure(began_s)
                wait_s = self._retry_wait_s(error)
                self._consecutive_failures += 1
            if not self._stopped:
                self._update_held()
                self._pause = task.deferLater(self._reactor, wait_s)
                try:
                    await self._pause
                except defer.CancelledError:
                    if self._stopped:
                        raise

    async def _acquire_or_renew(self):
        """Acquires or renews the lease once; returns the next delay."""
        if self._needs_read:
            # A stale read only delays an acquisition, as the update is
            # conditional. After a failure, an own write may have succeeded,
            # so the latest version is read.
            stored = await self._store.read(
                KIND, self._name, may_be_stale=self._consecutive_failures == 0
            )
            self._observe(stored)
        if self._observed is None:
            await self._compare_and_swap(_lease_value(NO_HOLDER, 0, 0))
        if self._is_recorded_holder() and self._has_current_number():
            await self._write_as_holder(_renewed_value(self._observed.value))
        elif self._can_acquire():
            await self._write_as_holder(
                _lease_value(self._store.writer, self._observed.version + 1, 0)
            )
        self._needs_read = not self._is_recorded_holder()
        if self._is_recorded_holder():
            return self._settings["renew_interval_s"]
        return self._settings["duration_s"] * random.uniform(
            1.0, 1.0 + ACQUIRE_JITTER_RATIO
        )

    async def _write_as_holder(self, value):
        """Acquires or renews the lease by writing a value.

        On success, the lease is held for its duration from before the write.
        """
        sent_at_s = self._monotonic_s()
        if await self._compare_and_swap(value):
            duration_s = self._settings["duration_s"] * HOLDER_DURATION_RATIO
            self._held_until_s = sent_at_s + duration_s
            self.outage_permission.record_held(
                self._observed.value["fencing_number"], self._held_until_s
            )

    async def _compare_and_swap(self, value):
        """Replaces the observed version; returns whether that succeeded."""
        version = self._observed.version if self._observed else 0
        try:
            stored = await self._store.update(KIND, self._name, value, version)
        except (
            exceptions.ObjectExists,
            exceptions.VersionConflict,
        ) as conflict:
            self._observe(conflict.current)
            return False
        self._observe(stored)
        return True

    def _observe(self, stored):
        """Records the stored lease and when its version was first seen."""
        observed_version = self._observed.version if self._observed else 0
        if stored is not None and stored.version != observed_version:
            self._observed_at_s = self._monotonic_s()
            self._era_known_since_s(versions.era_of(stored.version))
        self._observed = stored
        if not self._is_recorded_holder():
            self._held_until_s = 0.0
            self.outage_permission.forget()

    def _is_recorded_holder(self):
        """Returns whether the observed lease names this process as holder."""
        return (
            self._observed is not None
            and self._observed.value["holder"] == self._store.writer
        )

    def _has_current_number(self):
        """Returns whether the fencing number is of the lease's own era."""
        number = self._observed.value["fencing_number"]
        return versions.era_of(number) == versions.era_of(
            self._observed.version
        )

    def _can_acquire(self):
        """Returns whether the lease is free or was not renewed in time."""
        if self._observed is None:
            return False
        era = versions.era_of(self._observed.version)
        if era == 0 and self._observed.value["holder"] == NO_HOLDER:
            return True
        # After a restore, also a holder that the stored lease doesn't name
        # may still trust its own: the copy may not know it, or a late write
        # may have landed under a revision that was given out again.
        known_since_s = max(self._observed_at_s, self._era_known_since_s(era))
        unchanged_s = self._monotonic_s() - known_since_s
        return unchanged_s >= self._settings["duration_s"]

    def _update_held(self):
        """Returns whether the lease is held; calls `on_change` on a change."""
        held = (
            self._monotonic_s() < self._held_until_s
            and self._observed is not None
            and self._store.is_current(self._observed.version)
        )
        if held != self._reported_held:
            self._reported_held = held
            _HELD.inc(1 if held else -1)
            _LOG.info("lease {} {}", self._name, "held" if held else "lost")
            self._on_change(held)
        return held

    def _on_loop_failed(self, failure):
        if not self._stopped:
            _LOG.error(
                "lease {} is no longer acquired or renewed: {}",
                self._name,
                failure.getTraceback(),
            )


def _lease_value(
    holder: str, fencing_number: int, renewals: int
) -> LeaseValue:
    return {
        "holder": holder,
        "fencing_number": fencing_number,
        "renewals": renewals,
    }


def _renewed_value(value: LeaseValue) -> LeaseValue:
    return {**value, "renewals": value["renewals"] + 1}
