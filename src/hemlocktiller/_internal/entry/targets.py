"""The targets that an entry knows, with a link to each.

The object API says which targets exist; links say which are alive and
how loaded they are.
"""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal.links import dialer
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.policy import breaker
from hemlocktiller._internal.policy import chains
from hemlocktiller._internal.policy import loads
from hemlocktiller._internal.policy import prefixes
from hemlocktiller._internal.policy import routing
from hemlocktiller._internal.store import vms as vms_module

KIND = "target"

LIVE_TARGETS = prometheus_client.Gauge(
    "hemlocktiller_live_targets", "Targets with an open link"
)
TARGET_DEATHS = prometheus_client.Counter(
    "hemlocktiller_target_deaths", "Targets seen to have died"
)


class Observer(NamedTuple):
    """What the owner does on events of targets."""

    on_open: Callable[["Target"], None]
    on_message: Callable[["Target", Any], None]
    on_lost: Callable[["Target", str], None]
    on_died: Callable[["Target"], None]


class Target:
    """State of one target at this entry.

    Attributes:
        record: The target's registration.
        process: Process that was last seen there.
        leaving: Whether the target said that it leaves.
        unready: Whether it said that it can't take work now.
        vm_leaving: Whether the VM list says that its VM leaves.
    """

    def __init__(self, record: Any) -> None:
        self.record = record
        self.process = ""
        self.leaving = False
        self.unready = False
        self.vm_leaving = False
        self.dialer: dialer.Dialer | None = None

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.record["target"]

    @property
    def link(self) -> link_module.Link | None:
        """The open link, or None."""
        link = self.dialer.link if self.dialer else None
        return link if link is not None and link.up else None

    @property
    def usable(self) -> bool:
        """Whether the target takes new work, as far as is known."""
        refuses = self.leaving or self.unready or self.vm_leaving
        return self.link is not None and not refuses


class Targets:
    """All targets by name."""

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        local: link_module.Local,
        observer: Observer,
        rng: random.Random,
    ) -> None:
        self.by_name: dict[str, Target] = {}
        self.view = routing.View(
            loads.Loads(), prefixes.CachedPrefixes(), breaker.Breaker()
        )
        self.costs = chains.Costs()
        self.chooser = chains.Chooser(self.costs)
        self._reactor = reactor
        self._settings = settings
        self._local = local
        self._observer = observer
        self._rng = rng
        self._leaving_vms: set[str] = set()
        self._retired: set[Target] = set()

    def on_changes(
        self, changed: list[Any], deleted: list[str], whole: bool
    ) -> None:
        """Takes registrations from the object API."""
        if whole:
            names = {stored.name for stored in changed}
            deleted = [name for name in self.by_name if name not in names]
        for name in deleted:
            self._remove(name)
        for stored in changed:
            self._set(stored.value)

    def add_records(self, records: list[Any]) -> None:
        """Takes registrations from a peer; those known here go first."""
        for record in records:
            if record["target"] not in self.by_name:
                self._set(record)

    def on_vms(self, vms: dict[str, vms_module.Vm]) -> None:
        """Marks the targets on VMs that the VM list calls leaving."""
        self._leaving_vms = {
            name for name, vm in vms.items() if vm.state == vms_module.LEAVING
        }
        for target in self.by_name.values():
            self._check_vm(target)

    def models(self) -> list[str]:
        """Returns the models of all known targets."""
        names = {target.record["model"] for target in self.by_name.values()}
        return sorted(names - {""})

    def services(self) -> list[str]:
        """Returns the services of all known targets."""
        names = {target.record["service"] for target in self.by_name.values()}
        return sorted(names - {""})

    def of_model(self, model: str) -> list[Target]:
        """Returns the usable targets that hold layers of a model."""
        return [
            target
            for target in self.by_name.values()
            if target.record["model"] == model and target.usable
        ]

    def of_service(self, service: str) -> list[Target]:
        """Returns the usable targets of a plain service."""
        return [
            target
            for target in self.by_name.values()
            if target.record["service"] == service and target.usable
        ]

    def stop(self) -> None:
        """Closes all links."""
        for name in list(self.by_name):
            self._remove(name)
        for target in self._retired:
            target.dialer.stop()

    def _set(self, record: Any) -> None:
        current = self.by_name.get(record["target"])
        address = dialer.Address(record["host"], record["port"])
        if current is not None and current.dialer.address == address:
            current.record = record
            self._check_vm(current)
            return
        if current is not None:
            self._remove(current.name)
        target = Target(record)
        self.by_name[target.name] = target
        target.dialer = dialer.Dialer(
            self._reactor,
            self._settings["links"],
            self._local,
            address,
            self._handlers(target),
            lambda: self._on_refused(target),
            self._rng,
        )
        self._check_vm(target)
        target.dialer.start()

    def _check_vm(self, target: Target) -> None:
        target.vm_leaving = target.record["vm"] in self._leaving_vms
        self._tell_vm(target)
        self._refresh(target)

    def _tell_vm(self, target: Target) -> None:
        """Tells an agent what the VM list says of its VM."""
        if target.vm_leaving and target.link is not None:
            message = {"type": "vm_leaving", "vm": target.record["vm"]}
            target.link.send(message)

    def _remove(self, name: str) -> None:
        target = self.by_name.pop(name, None)
        if target is None:
            return
        self._leave(target)
        if target.link is not None:
            self._retired.add(target)
        target.dialer.retire()
        self.view.loads.forget(name)
        self.view.cached.forget(name)
        self.view.breaker.forget(name)

    def _handlers(self, target: Target) -> link_module.Handlers:
        return link_module.Handlers(
            lambda link: self._on_open(target, link),
            lambda link, message: self._on_message(target, message),
            lambda link, reason: self._on_down(target, reason),
        )

    def _on_open(self, target: Target, link: link_module.Link) -> None:
        process = link.peer["process"]
        if target.process not in ("", process):
            self._died(target)
        target.process = process
        self._tell_vm(target)
        target.leaving = False
        target.unready = False
        self._refresh(target)
        self._observer.on_open(target)

    def _on_message(self, target: Target, message: Any) -> None:
        kind = message["type"]
        if kind == "load":
            self._on_load(target, message)
        elif kind == "leaving":
            self._leave(target)
        self._observer.on_message(target, message)

    def _on_load(self, target: Target, message: Any) -> None:
        now_s = self._reactor.seconds()
        if target.unready != message["leaving"]:
            target.unready = message["leaving"]
            self._refresh(target)
        self.view.loads.report(message, now_s)
        self.view.cached.note(target.name, message["prefixes"], now_s)

    def _on_down(self, target: Target, reason: str) -> None:
        self._retired.discard(target)
        self._refresh(target)
        self._observer.on_lost(target, reason)

    def _on_refused(self, target: Target) -> None:
        if target.process:
            target.process = ""
            self._died(target)

    def _died(self, target: Target) -> None:
        TARGET_DEATHS.inc()
        self.view.cached.forget(target.name)
        self._observer.on_died(target)

    def _leave(self, target: Target) -> None:
        target.leaving = True
        self._refresh(target)

    def _refresh(self, target: Target) -> None:
        """Tells the chooser of chains whether a target may be used."""
        if self.by_name.get(target.name, target) is not target:
            return  # Another registration has taken its place.
        if target.usable and target.record["model"]:
            self.chooser.add(chain_target(target))
        else:
            self.chooser.remove(target.name)
        self._count_live()

    def _count_live(self) -> None:
        live = sum(target.link is not None for target in self.by_name.values())
        LIVE_TARGETS.set(live)


def chain_target(target: Target) -> chains.Target:
    """Returns what the choice of chains has to know of a target."""
    record = target.record
    return chains.Target(
        **{name: record[name] for name in chains.Target._fields}
    )
