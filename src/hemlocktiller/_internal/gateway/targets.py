"""Registry of the targets of each service, with their health.

A target is down from a failed probe until a later probe is answered. Its
process may only be silent meanwhile, or answer with errors; it has ended if
it refuses connections while no response arrives from it, has been replaced, or
has lost its registration and stays silent.
"""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import math
import random
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal import http_exchange
from hemlocktiller._internal.gateway import limited_targets
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import platform_adapter
from hemlocktiller._internal.gateway import upstream
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import breaker
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import lost_registrations
from hemlocktiller._internal.policy import target_limits
from hemlocktiller._internal.policy import target_pauses
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import versions

# A healthy target of the same region answers within a few milliseconds, a
# loaded one within tens of milliseconds.
PROBE_TIMEOUT_S = 0.3
# Pause between the probes of a target that is down.
PROBE_INTERVAL_S = 0.5
# A target without a registration has ended after this many probes in a row
# that were not answered in time, which take 2.7 s. They are counted instead
# of timed, as a pause of this process makes a time-out late.
MAX_SILENT_PROBES_AFTER_REMOVAL = 4
# After its last registration a target serves for many seconds at most. One
# that still breaks probes off after this many is left alone: after 20 s if
# each fails at once, and 32 s if each takes as long as it may, without pauses
# that the target asks for.
MAX_PROBES_AFTER_REMOVAL = 40
EXPIRED_REGISTRATION_GRACE_S = lost_registrations.RETURN_S
# A target with too many connections may refuse more and serve those it has, so
# a refusal shows no end for this long after output of the target. Twice the
# pause between probes: it takes a second refusal.
MAX_OUTPUT_AGE_S = 1.0
OTHER_PROCESS_REASON = "another process answers"
# Smaller relative changes of a target's pace are not sent to peers.
PACE_CHANGE_MIN_RATIO = 0.2
# Processes that have said that they leave, or that have ended; the oldest are
# forgotten first.
MAX_LEAVING_PROCESSES = 10_000
MAX_ENDED_PROCESSES = 10_000
MAX_OUTPUT_PROCESSES = 10_000
# Weight of the newest result in the moving average of failed requests.
FAILURE_AVERAGE_WEIGHT = 0.2

TARGETS_DOWN = prometheus_client.Gauge(
    "hemlocktiller_targets_down", "Targets believed to be down"
)
PAUSES = prometheus_client.Counter(
    "hemlocktiller_target_pauses",
    "Answers of targets that ask for a pause without requests",
)
PROBES = prometheus_client.Counter(
    "hemlocktiller_target_probes", "Probes of targets by result", ["result"]
)
ENDS_WITHDRAWN = prometheus_client.Counter(
    "hemlocktiller_target_ends_withdrawn",
    "Processes of targets that were believed to have ended, and answered",
)


class _ProcessEnd(NamedTuple):
    """The belief that the process of a target has ended.

    Attributes:
        recorded_s: Time at which it was first held.
        reason: What it is based on, for logs.
    """

    recorded_s: float
    reason: str


class ReportedLayers(NamedTuple):
    """Layers that a target reported, as a half-open range.

    Attributes:
        name: Id of its registration.
        born_ms: Start time of its process, by its clock.
        first_layer: First layer held.
        end_layer: Layer after the last one held.
    """

    name: str
    born_ms: int
    first_layer: int
    end_layer: int


class Targets:
    """Registered targets by name, with the state of their health.

    Args:
        reactor: Reactor.
        adapter: The platform's adapter.
        health_path: Returns the path of the health probes of a service.
        bounds: Time bounds for targets whose registration was removed.

    Attributes:
        by_name: Registered targets by name.
        on_down: Called with a target that was marked as down, or whose
            process was replaced, and with the reason.
        on_survival: Called with a target that has answered a probe as the
            process that was registered, or that was wrongly believed to
            have ended.
        on_unproven_survival: Called with a target that was believed to have
            ended, and whose health page is served by a process that may have
            been started since.
        on_confirmed_end: Called with a target whose process is known to have
            been replaced by another one.
        on_change: Called after any change of registrations or health.
        on_health: Called when this process marks a target as down or up,
            with the target, whether it is down, and the reason.
        on_pace: Called with a target and the pace that it reported, if that
            differs enough from the last one.
        on_registration: Called with name, version and value of each change
            that the store reported; the value is None for a deletion, whose
            version is that of the store afterwards.
        is_loaded: Whether the registrations have been read from the store.
        last_outage_s: Time of the last failure to reach the store, or of its
            return.
        limits: Targets that name a limit of requests a second.
    """

    def __init__(
        self,
        reactor: Any,
        adapter: platform_adapter.PlatformAdapter,
        health_path: Callable,
        bounds: lost_registrations.Bounds = lost_registrations.DEFAULT_BOUNDS,
    ) -> None:
        self.by_name: dict[str, fleet.Target] = {}
        self.on_down: list[Callable[[fleet.Target, str], None]] = []
        self.on_survival: list[Callable[[fleet.Target], None]] = []
        self.on_unproven_survival: list[Callable[[fleet.Target], None]] = []
        self.on_confirmed_end: list[Callable[[fleet.Target], None]] = []
        self.on_change: list[Callable[[], None]] = []
        self.on_health: Callable[[fleet.Target, bool, str], None] = (
            lambda target, is_down, reason: None
        )
        self.on_pace: Callable[[fleet.Target, float], None] = (
            lambda target, pace: None
        )
        self.on_registration: Callable[[str, int, Any], None] = (
            lambda name, version, value: None
        )
        self.is_loaded = False
        self.last_outage_s = -EXPIRED_REGISTRATION_GRACE_S
        self._store_contact = lost_registrations.StoreContact(bounds)
        self._reactor = reactor
        self._adapter = adapter
        self._health_path = health_path
        self._circuit_breakers = breaker.CircuitBreakers()
        # Time since which targets are down, by name; the end of the pause if
        # they are not probed in one.
        self._down_since_s: dict[str, float] = {}
        # Ids of the processes that are being probed.
        self._probing: set[str] = set()
        # Timers of the next probes of targets that are down, by process.
        self._probe_timers: dict[str, Any] = {}
        self._removal_timers: dict[str, Any] = {}
        self._version_by_name: dict[str, int] = {}
        self._paces: dict[str, float] = {}
        self._failure_ratios: dict[str, float] = {}
        self._pauses = target_pauses.TargetPauses()
        self.limits = limited_targets.LimitedTargets(reactor)
        # Start of the processes that have said that they leave, by name.
        self._leaving_born_ms: dict[str, int] = {}
        # Ends of processes by their ids, oldest first.
        self._ended_processes: dict[str, _ProcessEnd] = {}
        # Processes that were believed to have ended, and at whose address
        # one of unknown start has answered; oldest first.
        self._doubted_processes: dict[str, None] = {}
        # Time of the last output by process, unless an exchange with it has
        # ended since.
        self._output_s: dict[str, float] = {}
        # Unanswered probes, since the last output, of the processes without a
        # registration that are being probed.
        self._unanswered_removal_probes: dict[str, int] = {}

    def apply_registrations(
        self,
        changed: list[client.StoredObject],
        deleted: list[str],
        is_full_listing: bool,
        version: int,
    ) -> None:
        """Applies changes of registrations that the store reported.

        Args:
            changed: Registrations that were added or changed.
            deleted: Names of deleted registrations.
            is_full_listing: Whether `changed` is the complete list, so that
                all other targets are gone.
            version: Version of the store up to which the changes are
                complete.
        """
        is_first = not self.is_loaded
        self.is_loaded = True
        for stored in changed:
            before = self.by_name.get(stored.name)
            if is_full_listing and self._is_known_gone(stored):
                events.emit("registration_outdated", target=stored.name)
                self._version_by_name[stored.name] = stored.version
                continue
            is_newer = self._apply_registration(
                stored.name, stored.version, stored.value
            )
            # Peers already have what was stored before this process started,
            # and what a restored store lists without a change.
            is_changed = self.by_name.get(stored.name) != before
            if is_newer and is_changed and not is_first:
                self.on_registration(stored.name, stored.version, stored.value)
        if is_full_listing:
            listed_names = {stored.name for stored in changed}
            deleted = [
                name for name in self.by_name if name not in listed_names
            ]
        for name in deleted:
            if version < self._version_by_name.get(name, 0):
                # A peer has reported a later registration.
                continue
            if name in self.by_name:
                self.on_registration(name, version, None)
            self._version_by_name[name] = version
            self._remove_after_grace(name, is_from_peer=False)
        if changed or deleted:
            self._notify_changed()

    def available(self, service: str) -> list[fleet.Target]:
        """Returns the targets of a service that may get new requests.

        Draining targets, those that are down, being probed or in a pause that
        they asked for, those whose limit leaves no request to this process
        now, and those with an open circuit breaker are left out.
        """
        now_s = self._reactor.seconds()
        return [
            target
            for target in self.by_name.values()
            if target.service == service
            and target.state == fleet.READY
            and target.name not in self._down_since_s
            and target.process_id not in self._probing
            and self.request_wait_s(target) <= 0
            and self._circuit_breakers.allows(target.name, now_s)
        ]

    def live(self, service: str) -> list[fleet.Target]:
        """Returns the targets of a service that are not marked as down."""
        return [
            target
            for target in self.by_name.values()
            if target.service == service
            and target.name not in self._down_since_s
        ]

    def possibly_serving(
        self, service: str, max_silence_s: float
    ) -> list[fleet.Target]:
        """Returns the targets of a service that serve or may do so again.

        Args:
            service: Name of the service.
            max_silence_s: Targets that have been down for longer, without
                pauses that they asked for, are left out, as well as those
                known to have ended.
        """
        now_s = self._reactor.seconds()
        return [
            target
            for target in self.by_name.values()
            if target.service == service
            and now_s - self._down_since_s.get(target.name, now_s)
            <= max_silence_s
            and not self.has_ended(target)
        ]

    def find_by_address(self, address: str) -> fleet.Target | None:
        """Returns the target at an address (`host:port`), if any."""
        for target in self.by_name.values():
            if target.address == address:
                return target
        return None

    def is_down(self, target: fleet.Target) -> bool:
        """Returns whether a target is down, removed or restarted since."""
        registered = self.by_name.get(target.name)
        if registered is None or target.name in self._down_since_s:
            return True
        return registered.born_ms != target.born_ms

    def has_ended(self, target: fleet.Target) -> bool:
        """Returns whether the process of a target is known to have ended.

        One that doesn't answer may only be silent, and one that is no longer
        registered may still serve.
        """
        registered = self.by_name.get(target.name)
        if registered is not None and registered.born_ms != target.born_ms:
            return True
        return target.process_id in self._ended_processes

    def is_registered(self, target: fleet.Target) -> bool:
        """Returns whether the process of a target is the registered one."""
        registered = self.by_name.get(target.name)
        return registered is not None and registered.born_ms == target.born_ms

    def is_leaving(self, target: fleet.Target) -> bool:
        """Returns whether a target drains, or has said that it leaves."""
        if self._leaving_born_ms.get(target.name) == target.born_ms:
            return True
        registered = self.by_name.get(target.name)
        return registered is not None and registered.state == fleet.DRAINING

    def pace(self, name: str) -> float:
        """Returns the relative step time of a target; 1 is nominal."""
        return self._paces.get(name, 1.0)

    def failure_ratio(self, name: str) -> float:
        """Returns the moving average of a target's failed requests, 0 to 1."""
        return self._failure_ratios.get(name, 0.0)

    def record_request_sent(self, target: fleet.Target) -> None:
        """Records that a request was sent to a target."""
        self._circuit_breakers.record_sent(
            target.name, self._reactor.seconds()
        )
        self.limits.record_request_sent(target)

    def record_response_head(
        self,
        target: fleet.Target,
        status: int,
        headers: Any,
        sent_s: float | None = None,
        is_probe: bool = False,
    ) -> None:
        """Applies what a target says of itself in a response.

        Args:
            target: The target that the request was sent to.
            status: HTTP status.
            headers: Headers of the response.
            sent_s: When the request was sent; None for now.
            is_probe: Whether the request was a probe.
        """
        response_head = self._adapter.decode_response_head(status, headers)
        if response_head.is_wrong_target:
            return
        if response_head.is_leaving:
            self._record_leaving(target)
        if response_head.pause_s is not None:
            self._record_pause(target, response_head.pause_s)
        if sent_s is None:
            sent_s = self._reactor.seconds()
        self.limits.record_response_head(
            target, response_head, sent_s, is_probe
        )

    def probe_head_recorder(
        self, target: fleet.Target
    ) -> Callable[[int, http_exchange.Headers], None]:
        """Returns what records the head of the answer to a probe sent now."""
        return functools.partial(
            self.record_response_head,
            target,
            sent_s=self._reactor.seconds(),
            is_probe=True,
        )

    def pause_left_s(self, target: fleet.Target) -> float:
        """Returns how long a target still wants no requests; 0 if not."""
        if not self._pauses:
            return 0.0
        return self._pauses.left_s(target.process_id, self._reactor.seconds())

    def try_probe(self, target: fleet.Target) -> bool:
        """Returns whether a target may be probed now, and counts the probe.

        One in a pause is probed once.
        """
        return self._pauses.try_probe(
            target.process_id, self._reactor.seconds()
        )

    def request_wait_s(self, target: fleet.Target) -> float:
        """Returns the time until a target takes a request; 0 if it does now.

        A limit holds for requests that are sent to its target; as a later
        stage of a path it gets none.
        """
        wait_s = self.pause_left_s(target)
        if target.first_layer > 0:
            return wait_s
        return max(wait_s, self.limits.wait_s(target))

    def service_wait_s(self, service: str) -> float:
        """Returns the time until a target of a service takes a request.

        It is 0 if one of them does now, or if there is none.
        """
        waits_s = [
            self.request_wait_s(target)
            for target in self._first_targets(service)
        ]
        return min(waits_s, default=0.0)

    def binding_room(self, service: str) -> target_limits.Room | None:
        """Returns what this process may start at a service under limits.

        It is None unless all targets that requests are sent to name a limit,
        and none of them takes a request of this process now.
        """
        if not self.limits.turns:
            return None
        targets = self._first_targets(service)
        if not targets or not all(map(self.limits.is_limited, targets)):
            return None
        room = self.limits.turns.room(
            (
                (target.process_id, self.pause_left_s(target))
                for target in targets
            ),
            self._reactor.seconds(),
        )
        return room if room.wait_s > 0 else None

    def _first_targets(self, service):
        """Returns the targets of a service that requests are sent to."""
        return [
            target
            for target in self.live(service)
            if target.state == fleet.READY
            and target.first_layer == 0
            and (target.layers > 0 or not target.accelerator)
        ]

    def _record_pause(self, target, pause_s):
        """Sends no requests to a target for the time that it asked for."""
        self._pauses.record(
            target.process_id,
            pause_s,
            self._reactor.seconds(),
            random.random(),
        )
        PAUSES.inc()
        events.emit("target_pause", target=target.name, pause_s=pause_s)

    def _record_leaving(self, target):
        """Sends no new requests to a process that has said that it leaves.

        What it says goes before its registration, which may be older.
        """
        if self._leaving_born_ms.get(target.name) == target.born_ms:
            return
        self._leaving_born_ms[target.name] = target.born_ms
        if len(self._leaving_born_ms) > MAX_LEAVING_PROCESSES:
            del self._leaving_born_ms[next(iter(self._leaving_born_ms))]
        registered = self.by_name.get(target.name)
        events.emit(
            "target_leaving",
            target=target.name,
            registered_state=registered.state if registered else None,
        )
        if registered is not None and registered.born_ms == target.born_ms:
            self.by_name[target.name] = registered._replace(
                state=fleet.DRAINING
            )
            self._notify_changed()

    def record_request_success(self, target: fleet.Target) -> None:
        """Records that a target answered a request."""
        if not self.is_registered(target):
            return
        self._circuit_breakers.record_success(target.name)
        self._update_failure_ratio(target.name, 0.0)

    def record_request_failure(
        self, target: fleet.Target, reason: str
    ) -> None:
        """Records a failed request, and probes the target."""
        if not self.is_registered(target):
            return
        self._circuit_breakers.record_failure(
            target.name, self._reactor.seconds()
        )
        self._update_failure_ratio(target.name, 1.0)
        self.probe_suspect(target, reason)

    def record_output(self, target: fleet.Target) -> None:
        """Records that bytes of a response to a request have arrived."""
        process_id = target.process_id
        self._output_s[process_id] = self._reactor.seconds()
        if process_id in self._unanswered_removal_probes:
            self._unanswered_removal_probes[process_id] = 0
        if len(self._output_s) > MAX_OUTPUT_PROCESSES:
            del self._output_s[next(iter(self._output_s))]

    def record_exchange_end(self, target: fleet.Target) -> None:
        """Records that a connection ended, as all do when a process ends.

        The next output of another connection shows that it has not ended.
        """
        self._output_s.pop(target.process_id, None)

    def shows_end(
        self, target: fleet.Target, failure: http_exchange.ExchangeFailure
    ) -> bool:
        """Returns whether a failure shows that a target's process has ended.

        Its port refuses connections, and no response is arriving from it.
        """
        return failure.was_refused and not self._has_recent_output(target)

    def _has_recent_output(self, target):
        output_s = self._output_s.get(target.process_id, -math.inf)
        return self._reactor.seconds() - output_s <= MAX_OUTPUT_AGE_S

    def record_connection_lost(self, target: fleet.Target) -> None:
        """Records that the connection of a request was lost.

        A target that is no longer registered serves until it ends, so it is
        probed.
        """
        if target.name not in self.by_name and not self.has_ended(target):
            self._probe_removed(target)

    def probe_suspect(self, target: fleet.Target, reason: str) -> None:
        """Probes a target, unless a probe is already in progress.

        One that is no longer registered is probed until it answers or is known
        to have ended.
        """
        if not self.is_registered(target):
            if target.name not in self.by_name and not self.has_ended(target):
                self._probe_removed(target)
            return
        if target.process_id in self._probing:
            return
        events.emit("target_suspected", target=target.name, reason=reason)
        self._probe(target)

    def mark_down(
        self, target: fleet.Target, reason: str, has_ended: bool = False
    ) -> None:
        """Marks a target as down until it answers a probe.

        Args:
            target: The target.
            reason: Why, for logs.
            has_ended: Whether it refused a connection, which shows that its
                process has ended unless a response arrives from it.
        """
        name = target.name
        if not self.is_registered(target):
            return
        has_ended = has_ended and not self._has_recent_output(target)
        if name in self._down_since_s:
            if has_ended:
                self._record_ended(target, reason)
            return
        if has_ended:
            self._add_ended_process(target, reason)
        self._down_since_s[name] = self._reactor.seconds()
        TARGETS_DOWN.set(len(self._down_since_s))
        events.emit(
            "target_down", target=name, reason=reason, has_ended=has_ended
        )
        self.on_health(target, True, reason)
        self._notify_down(target, reason)
        self._probe_down_after(PROBE_INTERVAL_S, target)
        self._notify_changed()

    def _is_known_gone(self, stored):
        """Returns whether a restored store lists a target that has left.

        A target that is there after all renews its registration, which gives
        it a higher version.
        """
        known_version = self._version_by_name.get(stored.name)
        return (
            known_version is not None
            and stored.name not in self.by_name
            and versions.era_of(stored.version)
            > versions.era_of(known_version)
        )

    def record_store_outage(self, failed_after_s: float = 0.0) -> None:
        """Records that the platform's object store does not answer.

        Args:
            failed_after_s: How long the call took that shows it.
        """
        self.last_outage_s = self._reactor.seconds()
        self._store_contact.record_failure(self.last_outage_s, failed_after_s)

    def record_store_restore(self) -> None:
        """Records that the store was restored without some registrations."""
        self.last_outage_s = self._reactor.seconds()
        self._store_contact.record_loss(self.last_outage_s)

    def record_store_return(self) -> None:
        """Records that the store answers again after an outage."""
        self.last_outage_s = self._reactor.seconds()
        self.record_store_answer()

    def record_store_answer(self) -> None:
        """Records that the store has answered a call."""
        self._store_contact.record_answer(self._reactor.seconds())

    def record_registrations_read(self, sent_s: float) -> None:
        """Records that the store has answered the watch of registrations.

        Args:
            sent_s: When the call was sent.
        """
        self.record_store_answer()
        self._store_contact.record_registrations(sent_s)

    def request_report(
        self,
        target: fleet.Target,
        on_report: Callable[[model.TargetReport], None],
        on_failed: Callable[[http_exchange.ExchangeFailure], None],
    ) -> None:
        """Requests the status report of a model target.

        Args:
            target: The target.
            on_report: Called with the decoded report.
            on_failed: Called with the failure if there is no valid report.
        """

        def on_done(status, body):
            try:
                if status != 200:
                    raise ValueError(f"status {status}")
                report = self._adapter.decode_report(body)
            except ValueError as error:
                on_failed(
                    http_exchange.ExchangeFailure(
                        f"bad report: {error}",
                        was_sent=True,
                        was_answered=True,
                    )
                )
                return
            if is_same_process(report, target):
                self._withdraw_end(target, "reports")
            if self.is_registered(target) and not is_other_process(
                report, target
            ):
                self._record_reported_pace(target, report.pace)
            on_report(report)

        upstream.request_once(
            self._reactor,
            target,
            ("GET", self._adapter.report_path, b""),
            PROBE_TIMEOUT_S,
            on_done,
            on_failed,
            self.probe_head_recorder(target),
        )

    def verify_peer_health(
        self, name: str, born_ms: int, is_down: bool, reason: str
    ) -> None:
        """Probes a target whose health a peer sees differently.

        Only a probe of this process changes the state of the target. One with
        a limit isn't probed by all gateways at once.
        """
        target = self.by_name.get(name)
        if target is None or target.born_ms != born_ms:
            return
        if is_down and name not in self._down_since_s:
            if not self.limits.is_limited(target):
                self.probe_suspect(target, reason)
        elif not is_down and name in self._down_since_s:
            self._probe(target)

    def apply_peer_registration(
        self, name: str, version: int, value: Any
    ) -> None:
        """Applies a change of a registration that a peer has received.

        A deletion by a peer of an earlier build has version 0, which does not
        show whether it is newer. It is applied only while this process's own
        watch of the store fails.
        """
        if value is not None:
            if self._apply_registration(name, version, value):
                self._notify_changed()
            return
        if version > 0:
            known_version = self._version_by_name.get(name, 0)
            if version > known_version:
                known_era = versions.era_of(known_version)
                if known_version and versions.era_of(version) > known_era:
                    # The peer knows of a restore that lost it.
                    self.record_store_restore()
                self._version_by_name[name] = version
                self._remove_after_grace(name, is_from_peer=True)
                self._notify_changed()
            return
        now_s = self._reactor.seconds()
        if (
            now_s - self.last_outage_s < EXPIRED_REGISTRATION_GRACE_S
            and name in self.by_name
        ):
            self._remove(name)
            self._notify_changed()

    def apply_peer_pace(self, name: str, born_ms: int, pace: float) -> None:
        """Applies the pace that a target reported to a peer."""
        target = self.by_name.get(name)
        if target is not None and target.born_ms == born_ms:
            self._set_pace(target, pace)

    def apply_reported_layers(self, reported: ReportedLayers) -> bool:
        """Applies layers that a target reports but can't register.

        Returns:
            Whether they differ from those known of that process.
        """
        target = self.by_name.get(reported.name)
        if target is None or target.born_ms != reported.born_ms:
            return False
        changed = target._replace(
            first_layer=reported.first_layer, end_layer=reported.end_layer
        )
        if changed == target:
            return False
        self.by_name[reported.name] = changed
        events.emit(
            "target_layers",
            target=reported.name,
            layers=[reported.first_layer, reported.end_layer],
        )
        self._notify_changed()
        return True

    def poll_reports(self, is_poller: Callable[[str], bool]) -> None:
        """Requests the reports of model targets, to detect slow ones.

        Args:
            is_poller: Returns whether this process polls a target, by name.
        """
        for target in list(self.by_name.values()):
            should_poll = (
                target.layers > 0
                and target.name not in self._down_since_s
                and self.pause_left_s(target) <= 0
            )
            if (
                should_poll
                and is_poller(target.name)
                and self.limits.try_poll(target)
            ):
                self.limits.record_probe_sent(target)
                self.request_report(
                    target,
                    lambda report: None,
                    lambda failure, target=target: self.probe_suspect(
                        target, f"no report: {failure.reason}"
                    ),
                )

    def _record_reported_pace(self, target, pace):
        """Records a reported pace, and passes a large change to peers."""
        if self._set_pace(target, pace):
            self.on_pace(target, pace)

    def _set_pace(self, target, pace):
        """Sets the pace of a target; returns whether the change is large."""
        previous = self._paces.get(target.name, 1.0)
        self._paces[target.name] = max(1.0, pace)
        is_changed = abs(pace - previous) > PACE_CHANGE_MIN_RATIO * previous
        if is_changed:
            events.emit("target_pace", target=target.name, pace=pace)
        return is_changed

    def _apply_registration(self, name, version, value):
        """Applies a registration; returns whether its version is newer."""
        known_version = self._version_by_name.get(name, 0)
        if version <= known_version:
            return False
        self._version_by_name[name] = version
        is_restored = versions.era_of(version) > versions.era_of(known_version)
        self._put_target(name, value, is_restored)
        return True

    def _put_target(self, name, value, is_restored):
        """Adds or replaces a target; resets the health of a new process.

        Args:
            name: Name of the target.
            value: Its registration.
            is_restored: Whether this is the first one after a restore of the
                store, so that it may be older than the one in force.
        """
        target = self._adapter.decode_target(name, value)
        previous = self.by_name.get(name)
        if target is None or (
            previous and previous.born_ms > target.born_ms == 0
        ):
            # Without a start time it is not from the process that is there.
            events.emit("registration_ignored", target=name)
            return
        if (
            is_restored
            and previous is not None
            and target.born_ms < previous.born_ms
        ):
            # The later process registers again; see `_is_known_gone`.
            events.emit("registration_outdated", target=name)
            return
        if _has_begun_to_drain(previous, target):
            # Only an outdated copy of the store says that it is ready.
            events.emit("registration_outdated", target=name)
            target = target._replace(state=previous.state)
        if self._leaving_born_ms.get(name) == target.born_ms:
            target = target._replace(state=fleet.DRAINING)
        removal = self._removal_timers.pop(name, None)
        if removal is not None:
            removal.cancel()
        self.by_name[name] = target
        if previous is None:
            self._withdraw_end(target, "registers")
        elif target != previous:
            # It may have written this before it ended.
            self._doubt_end(target, "registers")
        if previous is None or previous.born_ms != target.born_ms:
            self._reset_health(name)
            if previous is not None:
                self._add_ended_process(previous, "started again")
                self._notify_confirmed_end(previous)
                self._notify_down(previous, "started again")
        if previous is None or previous.state != target.state:
            events.emit(
                "target_state",
                target=name,
                service=target.service,
                state=target.state,
                layers=[target.first_layer, target.end_layer],
            )
        self._remove_older_at_address(target)

    def _remove_older_at_address(self, target):
        """Removes the older of two registrations of one address."""
        for other in list(self.by_name.values()):
            is_same_address = other.address == target.address
            if is_same_address and other.name != target.name:
                is_other_older = other.born_ms <= target.born_ms
                self._remove(
                    other.name if is_other_older else target.name,
                    is_replaced=True,
                )

    def _remove_after_grace(self, name, is_from_peer):
        """Removes a target, with a delay if it may be there after all.

        A registration that expired during an outage of the store may be
        written again within that delay.
        """
        if name not in self.by_name or name in self._removal_timers:
            return
        now_s = self._reactor.seconds()
        delay_s = self._store_contact.keep_until_s(now_s, is_from_peer) - now_s
        if delay_s <= 0 or self.by_name[name].state != fleet.READY:
            self._remove(name)
            return
        events.emit(
            "target_removal_delayed", target=name, delay_s=round(delay_s, 3)
        )
        self._removal_timers[name] = self._reactor.callLater(
            delay_s, self._on_grace_over, name
        )

    def _on_grace_over(self, name):
        del self._removal_timers[name]
        self._remove(name)
        self._notify_changed()

    def _remove(self, name, is_replaced=False):
        target = self.by_name.pop(name, None)
        if target is None:
            return
        is_down = name in self._down_since_s
        events.emit("target_gone", target=name, service=target.service)
        self._reset_health(name)
        if self.has_ended(target):
            return
        if is_replaced:
            self._record_replaced(target, "another process has its address")
        elif is_down:
            self._probe_removed(target)

    def _probe_removed(self, target):
        """Probes a process that has lost its registration, until it is known.

        Only a refused connection, another process at its address or silence
        show that it has ended; otherwise it serves on without a registration.
        """
        if target.process_id not in self._unanswered_removal_probes:
            self._unanswered_removal_probes[target.process_id] = 0
            self._probe_removed_again(target, MAX_PROBES_AFTER_REMOVAL)

    def _probe_removed_again(self, target, probes_left):
        """Sends a probe of a series, unless the series is over."""
        is_unknown = target.name not in self.by_name and not self.has_ended(
            target
        )
        if not is_unknown or probes_left <= 0:
            self._unanswered_removal_probes.pop(target.process_id, None)
            return
        probe_again = functools.partial(
            self._probe_removed_again, target, probes_left - 1
        )
        if not self.try_probe(target):
            self._reactor.callLater(self.pause_left_s(target), probe_again)
            return

        def on_answer():
            self._unanswered_removal_probes.pop(target.process_id, None)

        def on_report(report):
            on_answer()
            if is_other_process(report, target):
                self._record_replaced(target, OTHER_PROCESS_REASON)

        def on_other_process():
            on_answer()
            self._record_replaced(target, OTHER_PROCESS_REASON)

        def on_failed(failure):
            if failure.was_answered:
                on_answer()
                return
            silent_probes = 0
            if failure.has_timed_out:
                silent_probes = (
                    self._unanswered_removal_probes[target.process_id] + 1
                )
            if target.name not in self.by_name and (
                self.shows_end(target, failure)
                or silent_probes >= MAX_SILENT_PROBES_AFTER_REMOVAL
            ):
                self._unanswered_removal_probes.pop(target.process_id, None)
                self._record_ended(
                    target, f"no longer registered: {failure.reason}"
                )
                return
            self._unanswered_removal_probes[target.process_id] = silent_probes
            self._reactor.callLater(PROBE_INTERVAL_S, probe_again)

        self._send_probe(
            target, on_report, on_answer, on_other_process, on_failed
        )

    def _record_ended(self, target, reason):
        """Records that the process of a target has ended."""
        if target.process_id in self._ended_processes:
            return
        self._add_ended_process(target, reason)
        events.emit("target_ended", target=target.name, reason=reason)
        self._notify_down(target, reason)

    def _record_replaced(self, target, reason):
        """Records that another process has taken the place of a target's."""
        self._notify_confirmed_end(target)
        self._record_ended(target, reason)

    def _add_ended_process(self, target, reason):
        self._ended_processes.setdefault(
            target.process_id, _ProcessEnd(self._reactor.seconds(), reason)
        )
        if len(self._ended_processes) > MAX_ENDED_PROCESSES:
            del self._ended_processes[next(iter(self._ended_processes))]

    def _withdraw_end(self, target, evidence):
        """Drops the belief that a process has ended, as it shows itself."""
        was_doubted = target.process_id in self._doubted_processes
        self._doubted_processes.pop(target.process_id, None)
        if self._drop_end(target, evidence) or was_doubted:
            self._notify_survival(target)

    def _doubt_end(self, target, evidence):
        """Drops the belief that a process has ended, without a proof.

        Something serves at its address, which may have been started since, so
        what its end was evidence of is not withdrawn.
        """
        if not self._drop_end(target, evidence):
            return
        self._doubted_processes[target.process_id] = None
        if len(self._doubted_processes) > MAX_ENDED_PROCESSES:
            del self._doubted_processes[next(iter(self._doubted_processes))]
        for callback in list(self.on_unproven_survival):
            callback(target)

    def _drop_end(self, target, evidence):
        """Drops the belief that a process has ended; returns if it was held.

        Args:
            target: The target.
            evidence: What it is dropped for, for logs.
        """
        end = self._ended_processes.pop(target.process_id, None)
        if end is None:
            return False
        ENDS_WITHDRAWN.inc()
        events.emit(
            "target_end_withdrawn",
            target=target.name,
            born_ms=target.born_ms,
            believed_s=round(self._reactor.seconds() - end.recorded_s, 3),
            reason=end.reason,
            evidence=evidence,
        )
        return True

    def _notify_survival(self, target):
        for callback in list(self.on_survival):
            callback(target)

    def _notify_confirmed_end(self, target):
        self._doubted_processes.pop(target.process_id, None)
        for callback in list(self.on_confirmed_end):
            callback(target)

    def _reset_health(self, name):
        """Drops what is known about the health of an earlier process."""
        self._circuit_breakers.forget(name)
        self._down_since_s.pop(name, None)
        self._paces.pop(name, None)
        self._failure_ratios.pop(name, None)
        TARGETS_DOWN.set(len(self._down_since_s))

    def _notify_down(self, target, reason):
        for callback in list(self.on_down):
            callback(target, reason)

    def _update_failure_ratio(self, name, failed):
        """Updates the moving average; `failed` is 1 for a failure, else 0."""
        previous_ratio = self._failure_ratios.get(name, 0.0)
        self._failure_ratios[name] = (
            previous_ratio + FAILURE_AVERAGE_WEIGHT * (failed - previous_ratio)
        )

    def _probe(self, target):
        """Probes a target, by its report or a plain service's health page.

        The target is marked as down or up by the result.
        """
        process_id = target.process_id
        if not self.is_registered(target) or process_id in self._probing:
            return
        if not self.try_probe(target):
            if target.name in self._down_since_s:
                pause_left_s = self.pause_left_s(target)
                # Nothing shows meanwhile whether it is still silent.
                self._down_since_s[target.name] = (
                    self._reactor.seconds() + pause_left_s
                )
                self._probe_down_after(pause_left_s, target)
            return
        self._probing.add(process_id)
        self._send_probe(
            target,
            lambda report: self._on_report_probe_answered(target, report),
            lambda: self._on_health_probe_answered(target),
            lambda: self._on_other_process_answered(target),
            lambda failure: self._on_probe_failed(target, failure),
        )

    def _probe_down_after(self, delay_s, target):
        """Sets the time of the next probe of a target that is down."""
        process_id = target.process_id
        timer = self._probe_timers.pop(process_id, None)
        if timer is not None:
            timer.cancel()
        self._probe_timers[process_id] = self._reactor.callLater(
            delay_s, self._probe_down, target
        )

    def _probe_down(self, target):
        """Probes a target again, if it is still registered and down."""
        del self._probe_timers[target.process_id]
        if target.name in self._down_since_s:
            self._probe(target)

    def _send_probe(
        self, target, on_report, on_health, on_other_process, on_failed
    ):
        """Requests the report of a model target, or a plain one's health.

        Args:
            target: The target.
            on_report: Called with the report of a model target.
            on_health: Called if a plain target's health page was served.
            on_other_process: Called instead if it names another target.
            on_failed: Called with the failure if there is no valid answer.
        """
        self.limits.record_probe_sent(target)
        if target.accelerator:
            self.request_report(target, on_report, on_failed)
            return
        record_head = self.probe_head_recorder(target)
        answering_name = ""

        def on_head(status, headers):
            nonlocal answering_name
            head = self._adapter.decode_response_head(status, headers)
            answering_name = head.target_name
            if answering_name in ("", target.name):
                record_head(status, headers)

        def on_done(status, body):
            if answering_name in ("", target.name):
                on_health()
            else:
                on_other_process()

        upstream.request_once(
            self._reactor,
            target,
            ("GET", self._health_path(target.service), b""),
            PROBE_TIMEOUT_S,
            on_done,
            on_failed,
            on_head,
        )

    def _on_report_probe_answered(self, target, report):
        if is_same_process(report, target):
            self._notify_survival(target)
        elif not is_other_process(report, target):
            self._doubt_end(target, "report")
        self._on_probe_answered(target)

    def _on_health_probe_answered(self, target):
        # A health page doesn't say when its process was started.
        self._doubt_end(target, "health page")
        self._on_probe_answered(target)

    def _on_other_process_answered(self, target):
        """Handles a probe that another target has answered."""
        PROBES.labels("dead").inc()
        self._probing.discard(target.process_id)
        self._record_replaced(target, OTHER_PROCESS_REASON)
        if target.name in self._down_since_s:
            self._probe_down_after(PROBE_INTERVAL_S, target)
        self.mark_down(target, OTHER_PROCESS_REASON, has_ended=True)

    def _on_probe_answered(self, target):
        PROBES.labels("alive").inc()
        self._probing.discard(target.process_id)
        if not self.is_registered(target):
            return
        if self._down_since_s.pop(target.name, None) is not None:
            TARGETS_DOWN.set(len(self._down_since_s))
            events.emit("target_up", target=target.name)
            self.on_health(target, False, "answers")
        self._notify_changed()

    def _on_probe_failed(self, target, failure):
        PROBES.labels("dead").inc()
        self._probing.discard(target.process_id)
        if not self.is_registered(target):
            self._on_removed_target_failed(target, failure)
            return
        if target.name in self._down_since_s:
            self._probe_down_after(PROBE_INTERVAL_S, target)
        self.mark_down(target, failure.reason, has_ended=failure.was_refused)

    def _on_removed_target_failed(self, target, failure):
        """Handles a probe that failed after the registration was removed."""
        if self.has_ended(target):
            return
        if self.shows_end(target, failure):
            self._record_ended(target, failure.reason)
        else:
            self._probe_removed(target)

    def _notify_changed(self):
        for callback in list(self.on_change):
            callback()


def _has_begun_to_drain(
    previous: fleet.Target | None, target: fleet.Target
) -> bool:
    """Returns whether a ready target was draining before: it never returns."""
    return (
        previous is not None
        and previous.born_ms == target.born_ms
        and previous.state == fleet.DRAINING
        and target.state == fleet.READY
    )


def is_same_process(report: model.TargetReport, target: fleet.Target) -> bool:
    """Returns whether a report shows that a target's process is alive.

    Without a start time it may be of a process that was started since.
    """
    return report.born_ms == target.born_ms != 0


def is_other_process(report: model.TargetReport, target: fleet.Target) -> bool:
    """Returns whether a report is of another process than the target's.

    One without a start time doesn't show that.
    """
    return report.born_ms not in (0, target.born_ms) and target.born_ms != 0


def target_names(targets: Iterable[fleet.Target]) -> list[str]:
    """Returns the names of targets."""
    return [target.name for target in targets]
