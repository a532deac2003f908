"""Removes the registrations of targets whose VM no longer exists.

A target that drains removes its own registration. One that crashes does
not, so the holder of the data centre's lease removes a registration if its
VM has been missing from the VM list for a while and no link to the target
is open.
"""

from collections.abc import Callable
from typing import Any

import logbook
import prometheus_client
from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal import process as process_module
from hemlocktiller._internal.entry import targets as targets_module
from hemlocktiller._internal.store import client

CHECK_INTERVAL_S = 10.0
VM_MISSING_TIMEOUT_S = 60.0

log = logbook.Logger(__name__)

REGISTRATIONS_REMOVED = prometheus_client.Counter(
    "hemlocktiller_registrations_removed",
    "Registrations removed because their VM is gone",
)


class RegistrationCleaner:
    """Removes stale registrations in the local data centre.

    Args:
        store: Client of the object API.
        settings: Settings of the entry.
        targets: Targets that the entry knows.
        holds_lease: Returns whether this entry holds the lease of its data
            centre.
        reactor: Twisted reactor.
    """

    def __init__(
        self,
        store: client.ObjectStore,
        settings: Any,
        targets: targets_module.TargetPool,
        holds_lease: Callable[[], bool],
        reactor: Any,
    ) -> None:
        self._store = store
        self._settings = settings
        self._targets = targets
        self._holds_lease = holds_lease
        self._reactor = reactor
        self._listed_vms: set[str] | None = None
        self._missing_since_s: dict[str, float] = {}
        self._loop = task.LoopingCall(self._remove_expired)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts the periodic check."""
        loop_done = self._loop.start(CHECK_INTERVAL_S, now=False)
        loop_done.addErrback(process_module.log_stopped_call)

    def stop(self) -> None:
        """Stops the periodic check."""
        if self._loop.running:
            self._loop.stop()

    def on_vms(self, vms: dict[str, Any]) -> None:
        """Stores the names on the current VM list."""
        self._listed_vms = set(vms)

    def find_expired(self) -> list[str]:
        """Returns the targets whose VM has been missing past the timeout."""
        now_s = self._reactor.seconds()
        missing = {
            target.name
            for target in self._targets.by_name.values()
            if self._is_missing(target)
        }
        self._missing_since_s = {
            name: self._missing_since_s.get(name, now_s) for name in missing
        }
        return [
            name
            for name, since_s in self._missing_since_s.items()
            if now_s - since_s >= VM_MISSING_TIMEOUT_S
        ]

    def _is_missing(self, target: targets_module.Target) -> bool:
        """Returns whether a local target has an unlisted VM and no open link.

        An open link shows that the VM exists, whatever the list says.
        """
        vm = target.record["vm"]
        is_local = (
            target.record["data_centre"] == self._settings["data_centre"]
        )
        if self._listed_vms is None or not vm or not is_local:
            return False
        return vm not in self._listed_vms and target.link is None

    def _remove_expired(self) -> defer.Deferred[None] | None:
        """Removes the registrations found expired, if the lease is held."""
        names = self.find_expired()
        if not names or not self._holds_lease():
            return None
        return defer.Deferred.fromCoroutine(self._remove_registrations(names))

    async def _remove_registrations(self, names: list[str]) -> None:
        for name in names:
            try:
                await self._remove_registration(name)
            except exceptions.StoreError as error:
                log.info("could not remove registration {}: {}", name, error)

    async def _remove_registration(self, name: str) -> None:
        """Removes a registration unless its target is back meanwhile.

        That is so if it has an open link or is registered on another VM.
        """
        stored = await self._store.read(targets_module.TARGET_KIND, name)
        target = self._targets.by_name.get(name)
        if stored is None or target is None or target.link is not None:
            return
        if stored.value["vm"] != target.record["vm"]:
            return
        await self._store.delete(
            targets_module.TARGET_KIND, name, stored.version
        )
        REGISTRATIONS_REMOVED.inc()
        log.info("removed registration {}: its VM no longer exists", name)
