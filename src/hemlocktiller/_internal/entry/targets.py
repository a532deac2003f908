"""Targets that an entry knows, with a link to each.

The object API lists which targets exist. Links show which of them are
alive and how loaded they are.
"""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

import logbook
import prometheus_client

from hemlocktiller._internal.links import dialer
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.policy import breaker
from hemlocktiller._internal.policy import chains
from hemlocktiller._internal.policy import held_prompts
from hemlocktiller._internal.policy import load_estimates
from hemlocktiller._internal.policy import routing
from hemlocktiller._internal.store import vms as vms_module

log = logbook.Logger(__name__)

TARGET_KIND = "target"
# Larger numbers in a registration are of no target, and some can't be computed
# with.
MAX_RECORD_NUMBER = 1_000_000
_RECORD_TEXTS = (
    "target",
    "host",
    "admin_host",
    "data_centre",
    "vm",
    "model",
    "accelerator_kind",
    "service",
)
_RECORD_NUMBERS = (
    "port",
    "admin_port",
    "first_layer",
    "end_layer",
    "layer_count",
    "max_running",
)
# A sound target goes on within this time after its silence is noticed.
MAX_SILENCE_S = 2.0

LIVE_TARGETS = prometheus_client.Gauge(
    "hemlocktiller_live_targets", "Targets with an open link"
)
REGISTRATIONS_IGNORED = prometheus_client.Counter(
    "hemlocktiller_registrations_ignored",
    "Stored registrations of targets that are none",
)
TARGET_DEATHS = prometheus_client.Counter(
    "hemlocktiller_target_deaths", "Targets seen to have died"
)


class TargetCallbacks(NamedTuple):
    """Callbacks for events of targets.

    Attributes:
        on_open: Called when the link to a target opens.
        on_message: Called with each message of a target.
        on_link_lost: Called with the link and the reason when it goes down.
        on_target_died: Called when the process of a target has died.
        on_silence: Called when a target with requests falls silent, and when
            it goes on.
    """

    on_open: Callable[["Target"], None]
    on_message: Callable[["Target", Any], None]
    on_link_lost: Callable[["Target", link_module.Link, str], None]
    on_target_died: Callable[["Target"], None]
    on_silence: Callable[["Target"], None]


class Target:
    """State of one target as seen by this entry.

    Attributes:
        record: The target's registration.
        peer_process: Id of the process at the other end of the last link,
            or an empty string if there is none.
        is_leaving: Whether the target announced that it is shutting down, or
            its registration was removed.
        is_unready: Whether its last load report said that it takes no new
            work.
        is_vm_leaving: Whether the VM list marks its VM as leaving.
        silent_since_s: When its silence was noticed; None if it answers or
            its process has ended.
        dialer: Keeps the link to the target open; set once it is dialled.
    """

    def __init__(self, record: Any) -> None:
        self.record = record
        self.peer_process = ""
        self.is_leaving = False
        self.is_unready = False
        self.is_vm_leaving = False
        self.silent_since_s: float | None = None
        self.dialer: dialer.Dialer | None = None

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.record["target"]

    @property
    def link(self) -> link_module.Link | None:
        """The open link, or None."""
        link = self.dialer.link if self.dialer else None
        return link if link is not None and link.is_open else None

    @property
    def is_usable(self) -> bool:
        """Whether the target answers and takes new requests."""
        answers = self.link is not None and not self.link.is_silent
        return answers and not self.refuses_requests

    @property
    def refuses_requests(self) -> bool:
        """Whether the target takes no new requests, as far as is known."""
        return self.is_leaving or self.is_unready or self.is_vm_leaving


class TargetPool:
    """All known targets, with their links and routing state.

    Attributes:
        by_name: Targets by name.
        routing_state: State that routing reads.
        latency_averages: Moving averages of the times of stages and links.
        chain_cache: Chains of the usable targets.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        local: link_module.LocalProcess,
        callbacks: TargetCallbacks,
        rng: random.Random,
    ) -> None:
        self.by_name: dict[str, Target] = {}
        self.routing_state = routing.EntryState(
            load_estimates.Loads(),
            held_prompts.HeldPrompts(),
            breaker.CircuitBreakers(),
        )
        self.latency_averages = chains.LatencyAverages()
        self.chain_cache = chains.ChainCache(self.latency_averages)
        self._reactor = reactor
        self._settings = settings
        self._local = local
        self._callbacks = callbacks
        self._rng = rng
        self._leaving_vms: set[str] = set()
        # Removed targets whose link is still open.
        self._removed_targets: set[Target] = set()

    def on_registration_changes(
        self, changed: list[Any], deleted: list[str], is_full_listing: bool
    ) -> None:
        """Applies changes of registrations in the object API."""
        if is_full_listing:
            names = {stored.name for stored in changed}
            deleted = [name for name in self.by_name if name not in names]
        for name in deleted:
            self._remove(name)
        for stored in changed:
            if is_valid_record(stored.value):
                self._add_or_update(stored.value)
            else:
                REGISTRATIONS_IGNORED.inc()
                log.warning("registration {} is ignored", stored.name)

    def add_peer_records(self, records: list[Any]) -> None:
        """Adds the targets that a peer knows and this entry doesn't."""
        for record in records:
            if record["target"] not in self.by_name and is_valid_record(
                record
            ):
                self._add_or_update(record)

    def on_vms(self, vms: dict[str, vms_module.Vm]) -> None:
        """Marks the targets whose VMs are leaving, as the VM list says."""
        self._leaving_vms = {
            name for name, vm in vms.items() if vm.state == vms_module.LEAVING
        }
        for target in self.by_name.values():
            self._update_vm_state(target)

    def models(self) -> list[str]:
        """Returns the models of all known targets."""
        names = {target.record["model"] for target in self.by_name.values()}
        return sorted(names - {""})

    def services(self) -> list[str]:
        """Returns the services of all known targets."""
        names = {target.record["service"] for target in self.by_name.values()}
        return sorted(names - {""})

    def usable_for_model(self, model: str) -> list[Target]:
        """Returns the usable targets that hold layers of a model."""
        return [
            target
            for target in self.by_name.values()
            if target.record["model"] == model and target.is_usable
        ]

    def usable_for_service(self, service: str) -> list[Target]:
        """Returns the usable targets of a plain service."""
        return [
            target
            for target in self.by_name.values()
            if target.record["service"] == service and target.is_usable
        ]

    def recently_silent(self) -> list[Target]:
        """Returns the silent targets that may soon take requests again."""
        earliest_s = self._reactor.seconds() - MAX_SILENCE_S
        return [
            target
            for target in self.by_name.values()
            if target.silent_since_s is not None
            and target.silent_since_s > earliest_s
            and not target.refuses_requests
        ]

    def stop(self) -> None:
        """Closes all links."""
        for name in list(self.by_name):
            self._remove(name)
        for target in self._removed_targets:
            target.dialer.stop()

    def _add_or_update(self, record: Any) -> None:
        """Adds a target, or updates it; a new address needs a new link."""
        current = self.by_name.get(record["target"])
        address = dialer.Address(record["host"], record["port"])
        if current is not None and current.dialer.address == address:
            current.record = record
            self._update_vm_state(current)
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
            lambda: self._on_connection_refused(target),
            self._rng,
        )
        self._update_vm_state(target)
        target.dialer.start()

    def _update_vm_state(self, target: Target) -> None:
        target.is_vm_leaving = target.record["vm"] in self._leaving_vms
        self._notify_vm_leaving(target)
        self._update_chain_cache(target)

    def _notify_vm_leaving(self, target: Target) -> None:
        """Notifies an agent if the VM list marks its VM as leaving."""
        if target.is_vm_leaving and target.link is not None:
            message = {"type": "vm_leaving", "vm": target.record["vm"]}
            target.link.send(message)

    def _remove(self, name: str) -> None:
        """Removes a target; an open link stays until the peer closes it."""
        target = self.by_name.pop(name, None)
        if target is None:
            return
        self._mark_leaving(target)
        if target.link is not None:
            self._removed_targets.add(target)
        target.dialer.stop_reconnecting()
        self.routing_state.loads.forget(name)
        self.routing_state.held.forget(name)
        self.routing_state.circuit_breakers.forget(name)

    def _handlers(self, target: Target) -> link_module.Handlers:
        return link_module.Handlers(
            lambda link: self._on_open(target, link),
            lambda link, message: self._on_message(target, message),
            lambda link, reason: self._on_link_down(target, link, reason),
            lambda link: self._on_silence(target),
        )

    def _on_open(self, target: Target, link: link_module.Link) -> None:
        """Handles a new link; another process id shows that one has died."""
        peer_process = link.peer["process"]
        if target.peer_process not in ("", peer_process):
            self._on_process_died(target)
        target.peer_process = peer_process
        self._notify_vm_leaving(target)
        target.is_leaving = False
        target.is_unready = False
        target.silent_since_s = None
        self._update_chain_cache(target)
        self._callbacks.on_open(target)

    def _on_message(self, target: Target, message: Any) -> None:
        message_type = message["type"]
        if message_type == "load":
            self._on_load(target, message)
        elif message_type == "leaving":
            self._mark_leaving(target)
        self._callbacks.on_message(target, message)

    def _on_load(self, target: Target, message: Any) -> None:
        now_s = self._reactor.seconds()
        if target.is_unready != message["leaving"]:
            target.is_unready = message["leaving"]
            self._update_chain_cache(target)
        self.routing_state.loads.record_report(message, now_s)
        self.routing_state.held.record_reported(
            target.name, message["prefixes"], now_s
        )

    def _on_link_down(
        self, target: Target, link: link_module.Link, reason: str
    ) -> None:
        self._removed_targets.discard(target)
        if reason == link_module.SILENCE and target.silent_since_s is None:
            target.silent_since_s = self._reactor.seconds()
        self._update_chain_cache(target)
        self._callbacks.on_link_lost(target, link, reason)

    def _on_silence(self, target: Target) -> None:
        is_silent = target.link.is_silent
        target.silent_since_s = self._reactor.seconds() if is_silent else None
        self._update_chain_cache(target)
        self._callbacks.on_silence(target)

    def _on_connection_refused(self, target: Target) -> None:
        """Records the death of a known process, as nothing listens now."""
        target.silent_since_s = None
        if target.peer_process:
            target.peer_process = ""
            self._on_process_died(target)

    def _on_process_died(self, target: Target) -> None:
        TARGET_DEATHS.inc()
        self.routing_state.held.forget(target.name)
        self._callbacks.on_target_died(target)

    def _mark_leaving(self, target: Target) -> None:
        target.is_leaving = True
        self._update_chain_cache(target)

    def _update_chain_cache(self, target: Target) -> None:
        """Adds a target to the chain cache or removes it."""
        if self.by_name.get(target.name, target) is not target:
            return  # A newer registration has replaced this target.
        if target.is_usable and target.record["model"]:
            self.chain_cache.add(chain_target(target))
        else:
            self.chain_cache.remove(target.name)
        self._update_live_gauge()

    def _update_live_gauge(self) -> None:
        live_count = sum(
            target.link is not None for target in self.by_name.values()
        )
        LIVE_TARGETS.set(live_count)


def is_valid_record(record: Any) -> bool:
    """Returns whether a stored value is the registration of a target.

    Any process may write objects of their kind.
    """
    return (
        isinstance(record, dict)
        and all(
            isinstance(record.get(name), str) and record[name].isprintable()
            for name in _RECORD_TEXTS
        )
        and all(
            type(record.get(name)) is int
            and 0 <= record[name] <= MAX_RECORD_NUMBER
            for name in _RECORD_NUMBERS
        )
        and record["target"] != ""
        and record["host"] != ""
        and record["port"] in dialer.PORTS
    )


def chain_target(target: Target) -> chains.Target:
    """Returns the fields of a target from which chains are chosen."""
    record = target.record
    return chains.Target(
        **{name: record[name] for name in chains.Target._fields}
    )
