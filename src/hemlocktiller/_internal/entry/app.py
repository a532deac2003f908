"""Builds an entry from its settings and connects its components."""

from typing import Any
from typing import NamedTuple

import logbook
from twisted.internet import defer

from hemlocktiller._internal import caller_connections
from hemlocktiller._internal import process as process_module
from hemlocktiller._internal.entry import controller
from hemlocktiller._internal.entry import http_api
from hemlocktiller._internal.entry import registrations
from hemlocktiller._internal.entry import request_context
from hemlocktiller._internal.entry import request_registry
from hemlocktiller._internal.entry import seed_discovery
from hemlocktiller._internal.entry import targets as targets_module
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.observe import admin
from hemlocktiller._internal.policy import budget
from hemlocktiller._internal.policy import costs
from hemlocktiller._internal.policy import rendezvous
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import vms as vms_module
from hemlocktiller._internal.store import watch

ENTRY_KIND = "entry"
# Callers may take this long to read the errors of requests that did not end.
LAST_ANSWERS_S = 0.5
STARTUP_LINK_WAIT_S = 3.0  # Then the entry is ready even if links are down.
MAX_REGISTRATIONS_PER_MESSAGE = 4096  # Limit in the message schema.

log = logbook.Logger(__name__)


class LostWork(NamedTuple):
    """Requests at a target when its link was lost.

    Attributes:
        process: Id of the target's process.
        running_s: How long each has run, by request digest.
        prompts: Prompt parts of those without output.
    """

    process: str
    running_s: dict[int, float]
    prompts: list[tuple[int, ...]]


class Entry:
    """An entry: its HTTP API, links to targets and periodic tasks.

    Attributes:
        process: Objects that the modules of this process share.
        reactor: Twisted reactor.
        settings: Settings of the entry.
        draining: Whether the entry is shutting down.
        registration: Registration of the entry in the object API.
        registry: Requests in progress.
        targets: Targets that the entry knows.
    """

    def __init__(self, process: process_module.Process) -> None:
        self.process = process
        self.reactor = process.reactor
        self.settings = process.settings
        self.draining = False
        self._rejects_requests = False
        self._caller_connections = caller_connections.CallerConnections()
        self.registration: dict[str, Any] = {}
        self._watches: list[watch.Watch] = []
        self._drained = defer.Deferred()
        self._lost_work_by_target: dict[str, LostWork] = {}
        # The same for silent targets, whose requests may have moved since.
        self._work_at_silence: dict[str, LostWork] = {}
        self.registry = request_registry.RequestRegistry()
        self.targets = targets_module.TargetPool(
            self.reactor,
            self.settings,
            process.local_identity,
            targets_module.TargetCallbacks(
                self._on_link_open,
                self._on_message,
                self._on_link_lost,
                self._on_target_died,
                self._on_silence,
            ),
            process.rng,
        )
        self._controller = controller.PlacementController(
            process.store,
            self.settings,
            self.targets,
            lambda: self._entry_data_centres,
            self.reactor,
        )
        self._registration_cleaner = registrations.RegistrationCleaner(
            process.store,
            self.settings,
            self.targets,
            self._controller.holds_data_centre_lease,
            self.reactor,
        )
        self._has_target_listing = False
        self._startup_complete = False
        self._started_s = self.reactor.seconds()
        self._seed_discovery = self._build_seed_discovery()
        self._entry_data_centres = {
            self.settings["name"]: self.settings["data_centre"]
        }
        self.registry.entry_count = lambda: len(self._entry_data_centres)
        self.process.suspects.trial_turn = lambda digest: rendezvous.rank(
            self.settings["name"],
            self._entry_data_centres,
            f"trial/{digest:x}",
        )
        self.registry.context = request_context.RequestContext(
            self.reactor,
            self.settings,
            self.targets,
            lambda: process.feed.current,
            lambda target: process.feed.push(target.link),
            budget.RetryBudget(self.settings["retries"]),
            process.suspects,
            process.part_evidence,
            costs.Estimator(),
            process.request_log,
            process.tracer,
            process.rng,
        )

    def start(self) -> defer.Deferred[None]:
        """Starts to listen and serve.

        Returns:
            A Deferred that fires once the entry has drained.
        """
        context = http_api.ApiContext(
            self.settings,
            self.registry,
            lambda: self.process.feed.current,
            lambda: self.draining,
            lambda: self._rejects_requests,
            self.targets.models,
            self.targets.services,
        )
        callers = self.settings["callers"]
        site = http_api.build_site(self.reactor, context)
        self._caller_connections = site.caller_connections
        self._listening = self.reactor.listenTCP(
            callers["port"],
            site,
            interface=callers["host"],
        )
        port = self._listening.getHost().port
        admin_port = admin.listen(
            self.reactor, self.settings["admin"], self._admin_pages()
        )
        self.registration = {
            "name": self.settings["name"],
            "admin_host": self.settings["admin"]["host"],
            "admin_port": admin_port.getHost().port,
            "data_centre": self.settings["data_centre"],
        }
        self._start_watches()
        self._seed_discovery.start()
        self._controller.start()
        self._registration_cleaner.start()
        process_module.register(
            self.process, ENTRY_KIND, self.settings["name"], self.registration
        )
        process_module.install_signal_handlers(self.reactor, self.drain)
        print(
            f"listening callers={callers['host']}:{port}"
            f" admin={self.registration['admin_host']}"
            f":{self.registration['admin_port']}",
            flush=True,
        )
        return self._drained

    def unready_reason(self) -> str:
        """Returns why the entry isn't ready, or an empty string."""
        if self.draining:
            return "draining"
        if self.process.feed.version() == 0:
            return "no configuration"
        if not self._is_startup_complete():
            return "links to targets are not open yet"
        return ""

    def _is_startup_complete(self) -> bool:
        """Returns whether all links were open at one time or the wait is over.

        Until then, the entry isn't ready. Later, the loss of targets doesn't
        make it unready again: callers get errors that say so.
        """
        if not self._startup_complete:
            links = [target.link for target in self.targets.by_name.values()]
            waited_s = self.reactor.seconds() - self._started_s
            all_open = bool(links) and None not in links
            self._startup_complete = all_open or waited_s > STARTUP_LINK_WAIT_S
        return self._startup_complete

    def status(self) -> dict[str, Any]:
        """Returns the state for the status page."""
        return {
            "name": self.settings["name"],
            "process": self.process.local_identity.process,
            "role": "entry",
            "data_centre": self.settings["data_centre"],
            "config_version": self.process.feed.version(),
            "leaving": self.draining,
            "ready": self.unready_reason() == "",
            "unready": self.unready_reason(),
            "requests": len(self.registry),
            "leases": self._controller.held_models(),
            "targets": {
                name: _target_status(target)
                for name, target in sorted(self.targets.by_name.items())
            },
        }

    def drain(self, reason: str) -> dict[str, Any]:
        """Starts to drain: fails the readiness check, then shuts down."""
        if not self.draining:
            log.info("draining, requested by: {}", reason)
            self.draining = True
            self._finish_drain()
        return self.status()

    @defer.inlineCallbacks
    def _finish_drain(self) -> defer.Deferred[None]:
        """Shuts down once callers have their answers, or after the timeout.

        The entry still accepts connections for `notice_s`, so that the
        failed readiness check is noticed first. New requests are then
        rejected, as they might not end before the timeout. Those that are in
        progress at the timeout fail with an error.
        """
        drain = self.settings["drain"]
        yield process_module.wait_until(
            self.reactor, lambda: False, drain["notice_s"]
        )
        self._rejects_requests = True
        yield self._listening.stopListening()
        yield process_module.wait_until(
            self.reactor, self._has_no_callers, drain["timeout_s"]
        )
        self.registry.abandon_all()
        yield process_module.wait_until(
            self.reactor, self._has_no_callers, LAST_ANSWERS_S
        )
        yield defer.Deferred.fromCoroutine(
            process_module.unregister(
                self.process,
                ENTRY_KIND,
                self.settings["name"],
                self.registration,
            )
        )
        self._seed_discovery.stop()
        self._controller.stop()
        self._registration_cleaner.stop()
        for object_watch in self._watches:
            object_watch.stop()
        self.targets.stop()
        self.reactor.callLater(
            process_module.POLL_INTERVAL_S, self._drained.callback, None
        )

    def _has_no_callers(self) -> bool:
        """Closes idle connections; returns whether no request is left."""
        self._caller_connections.close_idle()
        return len(self.registry) == 0 and not (
            self._caller_connections.has_open()
        )

    def _admin_pages(self) -> admin.PageFunctions:
        return admin.PageFunctions(
            self.unready_reason,
            self.status,
            lambda: self.drain("operator"),
            self.process.request_log.events,
            self.process.tracer.spans,
        )

    def _start_watches(self) -> None:
        store = self.process.store
        self._watches = [
            process_module.watch_config(self.process),
            watch.watch_kind(
                store, targets_module.TARGET_KIND, self._on_target_changes
            ),
            watch.watch_kind(store, ENTRY_KIND, self._on_entry_changes),
            vms_module.watch_vms(
                store, self.settings["vm_poll_s"], self._on_vms
            ),
        ]

    def _on_target_changes(
        self,
        changed: list[client.StoredObject],
        deleted: list[str],
        is_full_listing: bool,
        version: int,
    ) -> None:
        self._has_target_listing = True
        self.targets.on_registration_changes(changed, deleted, is_full_listing)

    def _target_registrations(self) -> list[dict[str, Any]]:
        """Returns the registrations of known targets, up to the limit."""
        targets = list(self.targets.by_name.values())
        return [
            target.record for target in targets[:MAX_REGISTRATIONS_PER_MESSAGE]
        ]

    def _on_seed_message(self, link: link_module.Link, message: Any) -> None:
        """Handles a message on a link to a seed agent."""
        if message["type"] == "targets":
            self.targets.add_peer_records(message["records"])
        elif message["type"] in ("heartbeat", "config"):
            self.process.feed.on_message(link, message)

    def _build_seed_discovery(self) -> seed_discovery.SeedDiscovery:
        handlers = link_module.Handlers(
            self.process.feed.on_open,
            self._on_seed_message,
            lambda link, reason: self.process.feed.on_down(link),
        )
        return seed_discovery.SeedDiscovery(
            self.reactor,
            self.settings["links"],
            self.process.local_identity,
            handlers,
            lambda: self._has_target_listing,
        )

    def _on_vms(self, vms: dict[str, vms_module.Vm]) -> None:
        self.targets.on_vms(vms)
        self._registration_cleaner.on_vms(vms)

    def _on_entry_changes(
        self,
        changed: list[client.StoredObject],
        deleted: list[str],
        is_full_listing: bool,
        version: int,
    ) -> None:
        if is_full_listing:
            self._entry_data_centres.clear()
        for stored in changed:
            self._entry_data_centres[stored.name] = stored.value["data_centre"]
        for name in deleted:
            self._entry_data_centres.pop(name, None)
        own_name = self.settings["name"]
        self._entry_data_centres[own_name] = self.settings["data_centre"]

    def _on_link_open(self, target: targets_module.Target) -> None:
        self.process.feed.on_open(target.link)
        self.process.suspects.on_open(target.link)
        self.process.part_evidence.on_open(target.link)

    def _on_message(self, target: targets_module.Target, message: Any) -> None:
        link = target.dialer.link
        if message["type"] in ("heartbeat", "config"):
            self.process.feed.on_message(link, message)
        elif message["type"] in ("suspects", "responses_seen"):
            self.process.suspects.on_message(link, message)
        elif message["type"] == "part_evidence":
            self.process.part_evidence.on_message(link, message)
        elif message["type"] == "order_result":
            self._controller.on_result(message)
        elif message["type"] == "targets_wanted":
            link.send(
                {"type": "targets", "records": self._target_registrations()}
            )
        elif message["type"] == "targets":
            self.targets.add_peer_records(message["records"])
        else:
            self.registry.on_message(message)

    def _on_link_lost(
        self,
        target: targets_module.Target,
        link: link_module.Link,
        reason: str,
    ) -> None:
        self.process.feed.on_down(link)
        self.process.suspects.on_down(link)
        self.process.part_evidence.on_down(link)
        lost = self._work_at(target, link)
        at_silence = self._work_at_silence.pop(target.name, None)
        if at_silence is not None:
            lost = lost._replace(
                running_s=at_silence.running_s | lost.running_s,
                prompts=[*at_silence.prompts, *lost.prompts],
            )
        self._lost_work_by_target[target.name] = lost
        self.registry.on_target_lost(target, reason)

    def _on_silence(self, target: targets_module.Target) -> None:
        """Moves the requests of a silent target that can run elsewhere.

        The link stays open while others wait for an answer on it.
        """
        if not target.link.is_silent:
            self._work_at_silence.pop(target.name, None)
            return
        self._work_at_silence[target.name] = self._work_at(target, target.link)
        self.registry.on_target_silent(target)
        if not self.registry.requests_at_target(target):
            target.link.abort(link_module.SILENCE)

    def _work_at(
        self, target: targets_module.Target, link: link_module.Link
    ) -> LostWork:
        return LostWork(
            link.peer["process"],
            self.registry.running_s_by_digest(target),
            self.registry.prompts_without_output(target),
        )

    def _on_target_died(self, target: targets_module.Target) -> None:
        log.warning("process of target {} has died", target.name)
        lost = self._lost_work_by_target.pop(target.name, LostWork("", {}, []))
        self.process.suspects.record_death(target.name, lost.running_s)
        self.process.part_evidence.record_death(
            f"{target.name}/{lost.process}", lost.prompts
        )


def _target_status(target: targets_module.Target) -> dict[str, Any]:
    link = target.link
    return {
        "live": link is not None,
        "leaving": target.is_leaving,
        "rtt_s": link.rtt_s if link else 0.0,
        "model": target.record["model"],
        "service": target.record["service"],
    }
