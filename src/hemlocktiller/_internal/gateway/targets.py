"""The targets of each service, and what is believed of their health."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import prometheus_client

from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import upstream
from hemlocktiller._internal.gateway import wire as wire_module
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import breaker
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.store import client

# A live target of the region answers in a few ms, a loaded one in tens.
PROBE_TIMEOUT_S = 0.3
# How often a target that is down is asked again.
PROBE_INTERVAL_S = 0.5
# The platform has lapsed registrations back two seconds after an outage.
LAPSE_GRACE_S = 2.4
# Smaller changes of a target's slowness are not worth telling.
PACE_CHANGE = 0.2
# Failed share of a target's recent answers, as a moving average.
FAILURE_WEIGHT = 0.2

DOWN = prometheus_client.Gauge(
    "hemlocktiller_targets_down", "Targets believed to be down"
)
PROBES = prometheus_client.Counter(
    "hemlocktiller_target_probes", "Probes of targets by result", ["result"]
)


class Targets:
    """Registered targets by name, with evidence on their health.

    Attributes:
        by_name: The targets.
        on_down: Called with a target that was found to be down.
        on_change: Called after any change.
        on_health: Called with what this process found of a target.
        on_pace: Called with a slowness that a target reported anew.
        on_registration: Called with name, version and value of each change
            that the store reported; the value is None for a deletion.
    """

    def __init__(
        self, reactor: Any, wire: wire_module.Wire, health_path: Callable
    ) -> None:
        self.by_name: dict[str, fleet.Target] = {}
        self.on_down: list[Callable[[fleet.Target, str], None]] = []
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
        self.known = False
        self.outage_s = -LAPSE_GRACE_S
        self._reactor = reactor
        self._wire = wire
        self._health_path = health_path
        self._breaker = breaker.Breaker()
        self._down: dict[str, fleet.Target] = {}
        self._probing: set[str] = set()
        self._lapsed: dict[str, Any] = {}
        self._versions: dict[str, int] = {}
        self._paces: dict[str, float] = {}
        self._failure_ratios: dict[str, float] = {}

    def take(
        self,
        changed: list[client.StoredObject],
        deleted: list[str],
        whole: bool,
    ) -> None:
        """Takes changed and deleted registrations."""
        is_first = not self.known
        self.known = True
        for stored in changed:
            is_news = self._take_one(stored.name, stored.version, stored.value)
            # What stood in the store before this process is no news to others.
            if is_news and not is_first:
                self.on_registration(stored.name, stored.version, stored.value)
        if whole:
            listed = {stored.name for stored in changed}
            deleted = [name for name in self.by_name if name not in listed]
        for name in deleted:
            if name in self.by_name:
                self.on_registration(name, 0, None)
            self._lapse(name)
        if changed or deleted:
            self._changed()

    def of_service(self, service: str) -> list[fleet.Target]:
        """Returns the targets of a service that may take new requests."""
        now_s = self._reactor.seconds()
        return [
            target
            for target in self.by_name.values()
            if target.service == service
            and target.state == fleet.READY
            and target.name not in self._down
            and target.name not in self._probing
            and self._breaker.allows(target.name, now_s)
        ]

    def live(self, service: str) -> list[fleet.Target]:
        """Returns all targets of a service that are not known to be dead."""
        return [
            target
            for target in self.by_name.values()
            if target.service == service and target.name not in self._down
        ]

    def at(self, address: str) -> fleet.Target | None:
        """Returns the target at an address."""
        for target in self.by_name.values():
            if target.address == address:
                return target
        return None

    def is_down(self, target: fleet.Target) -> bool:
        """Tells whether a target is believed to be down or is gone."""
        current = self.by_name.get(target.name)
        if current is None or target.name in self._down:
            return True
        return current.born_ms != target.born_ms

    def pace(self, name: str) -> float:
        """Returns the slowness of a target; 1 is usual."""
        return self._paces.get(name, 1.0)

    def failure_ratio(self, name: str) -> float:
        """Returns the share of its recent answers that failed."""
        return self._failure_ratios.get(name, 0.0)

    def sent(self, target: fleet.Target) -> None:
        """Notes that a request was sent."""
        self._breaker.sent(target.name, self._reactor.seconds())

    def succeeded(self, target: fleet.Target) -> None:
        """Notes that a request was answered."""
        self._breaker.succeeded(target.name)
        self._rate(target.name, 0.0)

    def failed(self, target: fleet.Target, reason: str) -> None:
        """Notes a failure, and asks the target whether it lives."""
        self._breaker.failed(target.name, self._reactor.seconds())
        self._rate(target.name, 1.0)
        self.suspect(target, reason)

    def suspect(self, target: fleet.Target, reason: str) -> None:
        """Asks a target whether it lives, unless that is under way."""
        name = target.name
        if name not in self.by_name or name in self._probing:
            return
        events.emit("target_suspected", target=name, reason=reason)
        self._probe(target)

    def mark_down(self, target: fleet.Target, reason: str) -> None:
        """Believes that a target is down until it answers a probe."""
        name = target.name
        if name in self._down or name not in self.by_name:
            return
        self._down[name] = target
        DOWN.set(len(self._down))
        events.emit("target_down", target=name, reason=reason)
        self.on_health(target, True, reason)
        self._tell_down(target, reason)
        self._reactor.callLater(PROBE_INTERVAL_S, self._probe, target)
        self._changed()

    def store_lost(self) -> None:
        """Notes that the platform's store does not answer."""
        self.outage_s = self._reactor.seconds()

    def report(
        self,
        target: fleet.Target,
        on_report: Callable[[model.Report], None],
        on_failed: Callable[[str], None],
    ) -> None:
        """Asks a model target for its report."""

        def on_done(status, body):
            try:
                if status != 200:
                    raise ValueError(f"status {status}")
                report = self._wire.report(body)
            except ValueError as error:
                on_failed(f"bad report: {error}")
                return
            self._note_pace(target, report.pace)
            on_report(report)

        upstream.call(
            self._reactor,
            target,
            ("GET", self._wire.report_path, b""),
            PROBE_TIMEOUT_S,
            on_done,
            lambda failed: on_failed(failed.reason),
        )

    def heard(
        self, name: str, born_ms: int, is_down: bool, reason: str
    ) -> None:
        """Takes what a peer found of a target; the own probe decides."""
        target = self.by_name.get(name)
        if target is None or target.born_ms != born_ms:
            return
        if is_down and name not in self._down:
            self.suspect(target, reason)
        elif not is_down and name in self._down:
            self._probe(target)

    def heard_registration(self, name: str, version: int, value: Any) -> None:
        """Takes what the store told a peer.

        A deletion has no version, so it counts only while the own watch of
        the store fails.
        """
        if value is not None:
            if self._take_one(name, version, value):
                self._changed()
            return
        now_s = self._reactor.seconds()
        if now_s - self.outage_s < LAPSE_GRACE_S and name in self.by_name:
            self._remove(name)
            self._changed()

    def heard_pace(self, name: str, born_ms: int, pace: float) -> None:
        """Takes the slowness that a target reported to a peer."""
        target = self.by_name.get(name)
        if target is not None and target.born_ms == born_ms:
            self._set_pace(target, pace)

    def poll(self, is_own: Callable[[str], bool]) -> None:
        """Asks model targets for their reports, to notice slow ones.

        Args:
            is_own: Tells whether this process is the one to ask a target.
        """
        for target in list(self.by_name.values()):
            is_asked = target.layers > 0 and target.name not in self._down
            if is_asked and is_own(target.name):
                self.report(
                    target,
                    lambda report: None,
                    lambda reason, target=target: self.suspect(
                        target, f"no report: {reason}"
                    ),
                )

    def _note_pace(self, target, pace):
        """Notes a reported slowness, and tells peers of a change."""
        if self._set_pace(target, pace):
            self.on_pace(target, pace)

    def _set_pace(self, target, pace):
        """Sets the slowness of a target; tells whether it changed much."""
        before = self._paces.get(target.name, 1.0)
        self._paces[target.name] = max(1.0, pace)
        is_news = abs(pace - before) > PACE_CHANGE * before
        if is_news:
            events.emit("target_pace", target=target.name, pace=pace)
        return is_news

    def _take_one(self, name, version, value):
        """Takes a registration; tells whether it was news."""
        if version <= self._versions.get(name, 0):
            return False
        self._versions[name] = version
        self._put(name, value)
        return True

    def _put(self, name, value):
        target = self._wire.target(name, value)
        if target is None:
            events.emit("registration_ignored", target=name)
            return
        before = self.by_name.get(name)
        timer = self._lapsed.pop(name, None)
        if timer is not None:
            timer.cancel()
        self.by_name[name] = target
        if before is None or before.born_ms != target.born_ms:
            self._forget(name)
            if before is not None:
                self._tell_down(before, "started again")
        if before is None or before.state != target.state:
            events.emit(
                "target_state",
                target=name,
                service=target.service,
                state=target.state,
                layers=[target.first_layer, target.end_layer],
            )
        self._replace_at_address(target)

    def _replace_at_address(self, target):
        """Drops an older registration of the same address."""
        for other in list(self.by_name.values()):
            same = other.address == target.address
            if same and other.name != target.name:
                older = other.born_ms <= target.born_ms
                self._remove(other.name if older else target.name)

    def _lapse(self, name):
        """Takes a deletion; after an outage it may be undone soon."""
        if name not in self.by_name or name in self._lapsed:
            return
        grace_s = self.outage_s + LAPSE_GRACE_S - self._reactor.seconds()
        if grace_s <= 0 or self.by_name[name].state != fleet.READY:
            self._remove(name)
            return
        self._lapsed[name] = self._reactor.callLater(
            grace_s, self._lapse_over, name
        )

    def _lapse_over(self, name):
        del self._lapsed[name]
        self._remove(name)
        self._changed()

    def _remove(self, name):
        target = self.by_name.pop(name, None)
        if target is None:
            return
        events.emit("target_gone", target=name, service=target.service)
        self._forget(name)

    def _forget(self, name):
        self._breaker.forget(name)
        self._down.pop(name, None)
        self._paces.pop(name, None)
        self._failure_ratios.pop(name, None)
        DOWN.set(len(self._down))

    def _tell_down(self, target, reason):
        for callback in list(self.on_down):
            callback(target, reason)

    def _rate(self, name, failed):
        ratio = self._failure_ratios.get(name, 0.0)
        self._failure_ratios[name] = ratio + FAILURE_WEIGHT * (failed - ratio)

    def _probe(self, target):
        name = target.name
        current = self.by_name.get(name)
        if current is None or current.born_ms != target.born_ms:
            self._down.pop(name, None)
            return
        if name in self._probing:
            return
        self._probing.add(name)
        if target.accelerator:
            self.report(
                target,
                lambda report: self._alive(target),
                lambda reason: self._dead(target, reason),
            )
            return
        upstream.call(
            self._reactor,
            target,
            ("GET", self._health_path(target.service), b""),
            PROBE_TIMEOUT_S,
            lambda status, body: self._alive(target),
            lambda failed: self._dead(target, failed.reason),
        )

    def _alive(self, target):
        PROBES.labels("alive").inc()
        self._probing.discard(target.name)
        if self._down.pop(target.name, None) is not None:
            DOWN.set(len(self._down))
            events.emit("target_up", target=target.name)
            self.on_health(target, False, "answers")
        self._changed()

    def _dead(self, target, reason):
        PROBES.labels("dead").inc()
        self._probing.discard(target.name)
        if target.name in self._down:
            self._reactor.callLater(PROBE_INTERVAL_S, self._probe, target)
            return
        self.mark_down(target, reason)

    def _changed(self):
        for callback in list(self.on_change):
            callback()


def names(targets: Iterable[fleet.Target]) -> list[str]:
    """Returns the names of targets, for logs."""
    return [target.name for target in targets]
