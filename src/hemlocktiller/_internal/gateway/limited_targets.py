"""Targets that name a limit of requests a second, here or at a peer."""

from collections.abc import Callable
from typing import Any

import prometheus_client

from hemlocktiller._internal.gateway import platform_adapter
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import target_limits

LIMITED = prometheus_client.Gauge(
    "hemlocktiller_targets_limited",
    "Processes of targets that name a limit of requests a second",
)
SENDS = prometheus_client.Counter(
    "hemlocktiller_limited_target_sends",
    "Requests and probes sent to targets that name a limit",
    ["kind"],
)
UNREADABLE = prometheus_client.Counter(
    "hemlocktiller_target_limits_unreadable",
    "Answers that name a limit that can't be read",
)


class LimitedTargets:
    """Keeps this gateway to its turns at targets that name a limit.

    Attributes:
        turns: The limits and the turns at them.
        on_announcement: Called with what peers have to be told of a limit.
    """

    def __init__(self, reactor: Any) -> None:
        self.turns = target_limits.TargetLimits()
        self.on_announcement: Callable[[target_limits.Announcement], None] = (
            lambda announcement: None
        )
        self._reactor = reactor
        self._return_times = target_limits.ReturnTimes()

    def is_limited(self, target: fleet.Target) -> bool:
        """Returns whether a target names a limit."""
        return self.turns.limit_per_s(target.process_id) is not None

    def wait_s(self, target: fleet.Target) -> float:
        """Returns the time until a target takes a request of this gateway."""
        if not self.turns:
            return 0.0
        return self.turns.turn_wait_s(
            target.process_id, self._reactor.seconds()
        )

    def return_after_s(
        self,
        service: str,
        room: target_limits.Room,
        waiting: int,
        time_left_s: float,
    ) -> float:
        """Returns when a caller that is rejected now should come back.

        Args:
            service: Name of the service.
            room: What may start at it.
            waiting: Requests that wait for it.
            time_left_s: Time until the caller's deadline.
        """
        return self._return_times.next_s(
            service, room, waiting, time_left_s, self._reactor.seconds()
        )

    def record_request_sent(self, target: fleet.Target) -> None:
        """Records that a request is sent to a target."""
        if self.is_limited(target):
            SENDS.labels("request").inc()
            self.turns.use_turn(target.process_id, self._reactor.seconds())

    def record_probe_sent(self, target: fleet.Target) -> None:
        """Records that a probe is sent to a target."""
        if self.is_limited(target):
            SENDS.labels("probe").inc()

    def try_poll(self, target: fleet.Target) -> bool:
        """Returns whether a target's report may be polled now."""
        return self.turns.try_poll(target.process_id, self._reactor.seconds())

    def record_response_head(
        self,
        target: fleet.Target,
        response_head: platform_adapter.ResponseHead,
        sent_s: float,
        is_probe: bool,
    ) -> None:
        """Applies what an answer of a target says of its limit.

        Args:
            target: The target.
            response_head: Head of the answer.
            sent_s: When the request was sent.
            is_probe: Whether the request was a probe.
        """
        process_id = target.process_id
        now_s = self._reactor.seconds()
        if response_head.limit_per_s is not None:
            has_changed = self.turns.record_named(
                process_id, response_head.limit_per_s, is_probe, now_s
            )
        elif response_head.names_limit:
            UNREADABLE.inc()
            return
        else:
            has_changed = self.turns.record_unnamed(
                process_id, is_probe, sent_s, now_s
            )
        if has_changed:
            source = "probe" if is_probe else "request"
            self._log_change(process_id, source)
        announcement = self.turns.take_announcement(process_id, now_s)
        if announcement is not None:
            self.on_announcement(announcement)

    def apply_announcement(
        self, announcement: target_limits.Announcement
    ) -> None:
        """Applies what a peer tells of a limit."""
        if self.turns.apply_announcement(
            announcement, self._reactor.seconds()
        ):
            self._log_change(announcement.process_id, "peer")

    def announcements(self) -> list[target_limits.Announcement]:
        """Returns what a newly linked peer has to be told."""
        return self.turns.announcements(self._reactor.seconds())

    def _log_change(self, process_id, source):
        LIMITED.set(len(self.turns))
        events.emit(
            "target_limit",
            process=process_id,
            limit_per_s=self.turns.limit_per_s(process_id),
            source=source,
            gateways=self.turns.turn_order().count,
        )
