"""Removes the registrations of targets that are gone for good.

A target that drains removes its own registration. One that dies does not,
so the holder of the data centre's lease removes registrations whose VM
has been missing from the VM list for a while and which no link reaches.
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
    """When each VM of this data centre was first found missing."""

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
        """Starts to look for registrations without a VM."""
        running = self._loop.start(CHECK_INTERVAL_S, now=False)
        running.addErrback(process_module.log_end)

    def stop(self) -> None:
        """Looks no more."""
        if self._loop.running:
            self._loop.stop()

    def on_vms(self, vms: dict[str, Any]) -> None:
        """Takes the names on the VM list."""
        self._listed_vms = set(vms)

    def find_expired(self) -> list[str]:
        """Returns the targets whose VM has been missing for long."""
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
        """Tells whether the VM list lacks a target's VM; a link disproves."""
        vm = target.record["vm"]
        is_local = (
            target.record["data_centre"] == self._settings["data_centre"]
        )
        if self._listed_vms is None or not vm or not is_local:
            return False
        return vm not in self._listed_vms and target.link is None

    def _remove_expired(self) -> defer.Deferred[None] | None:
        names = self.find_expired()
        if not names or not self._holds_lease():
            return None
        return defer.Deferred.fromCoroutine(self._remove_registrations(names))

    async def _remove_registrations(self, names: list[str]) -> None:
        for name in names:
            try:
                await self._remove_registration(name)
            except exceptions.StoreError as error:
                log.info("registration {} is kept: {}", name, error)

    async def _remove_registration(self, name: str) -> None:
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
        log.info("target {} is removed: its VM is gone", name)
