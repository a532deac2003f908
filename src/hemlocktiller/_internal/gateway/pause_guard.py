"""Detects that this process was paused, so that what it knows is outdated.

A process that was stopped or whose VM was suspended finds requests and news
of the store in its sockets when it goes on, in no certain order. What it knew
before may have run out: a target has left, or a key was revoked. Until it has
read the store again it starts no new work, though no longer than callers can
be made to wait.
"""

from collections.abc import Callable
from typing import Any

import prometheus_client
from twisted.internet import defer

from hemlocktiller._internal.observe import events

# Longer than the event loop of a slow VM is blocked, shorter than the time
# within which a target that drains must be known (2 s).
MIN_PAUSE_S = 1.0
# The store answers within tens of milliseconds. Without an answer the process
# goes on with what it knows, as during any outage of the store.
MAX_REFRESH_S = 0.4

PAUSES = prometheus_client.Counter(
    "hemlocktiller_process_pauses", "Pauses of this process that it detected"
)


class PauseGuard:
    """Compares the times of regular ticks, and of checks between them.

    Args:
        reactor: Reactor.
        refresh: Reads again what may be outdated; its Deferred fires once
            that is applied, and doesn't fail.
        on_refreshed: Called when new work may start again.
        boot_time_s: Clock that also runs while the VM is suspended.
    """

    def __init__(
        self,
        reactor: Any,
        refresh: Callable[[], defer.Deferred],
        on_refreshed: Callable[[], None],
        boot_time_s: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._refresh = refresh
        self._on_refreshed = on_refreshed
        self._boot_time_s = boot_time_s
        self._last_tick_s: float | None = None
        self._refresh_timer: Any = None

    def tick(self) -> None:
        """Notes that the process runs; called several times a second."""
        if not self.is_outdated():
            self._last_tick_s = self._boot_time_s()

    def is_outdated(self) -> bool:
        """Returns whether new work must wait for news from the store."""
        if self._refresh_timer is not None:
            return True
        now_s = self._boot_time_s()
        if self._last_tick_s is None:
            return False
        pause_s = now_s - self._last_tick_s
        if pause_s < MIN_PAUSE_S:
            return False
        PAUSES.inc()
        events.emit("paused", pause_s=round(pause_s, 2))
        self._last_tick_s = now_s
        self._refresh_timer = self._reactor.callLater(
            MAX_REFRESH_S, self._finish, "no answer of the store"
        )
        self._refresh().addCallback(lambda _: self._finish("read again"))
        return self._refresh_timer is not None

    def _finish(self, outcome: str) -> None:
        """Ends the refresh, unless it has ended already."""
        if self._refresh_timer is None:
            return
        if self._refresh_timer.active():
            self._refresh_timer.cancel()
        self._refresh_timer = None
        self._last_tick_s = self._boot_time_s()
        events.emit("refreshed", outcome=outcome)
        self._on_refreshed()
