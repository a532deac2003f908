"""Calls that wait for a target, where all of their service name limits.

Answers the load in which a plain service takes fewer requests than come: the
most urgent class gets the next one, and inside a class the workspace that got
the fewest. What can't start in time is rejected at once.
"""

import collections
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.policy import target_limits
from hemlocktiller._internal.policy import urgency

# Longest wait of a call, and as a share of the time that its caller has left.
MAX_WAIT_S = 1.2
MAX_WAIT_RATIO = 0.5
POLL_INTERVAL_S = 0.05
LIMIT_REASON = "limits of targets"
FULL_REASON = "no target has a free place"

WAITING = prometheus_client.Gauge(
    "hemlocktiller_gateway_waiting_calls",
    "Calls that wait for a target with a limit",
)


class WaitingCall(NamedTuple):
    """A call that no target takes now.

    Attributes:
        key: Identifies it.
        service: Name of its service.
        priority: Its class; 0 is the most urgent.
        workspace: Workspace that sent it.
        time_left_s: Time until its deadline.
        try_start: Sends it to a target; returns whether one took it.
        reject: Rejects it, with the reason and, if limits are, the time to
            retry after in seconds.
    """

    key: str
    service: str
    priority: int
    workspace: str
    time_left_s: float
    try_start: Callable[[], bool]
    reject: Callable[..., None]


class WaitingCalls:
    """Calls by service, in the order in which they are started."""

    def __init__(self, reactor: Any, targets: targets_module.Targets) -> None:
        self._reactor = reactor
        self._targets = targets
        self._queues: dict[str, urgency.UrgencyQueue] = {}
        self._calls: dict[str, WaitingCall] = {}
        # Calls of each workspace that were started since none waited.
        self._started: dict[str, collections.Counter[str]] = {}
        self._timer: Any = None

    def has_waiting(self, service: str) -> bool:
        """Returns whether calls to a service wait."""
        return service in self._queues

    def submit(self, call: WaitingCall) -> None:
        """Starts a call, lets it wait, or rejects it or a less urgent one."""
        now_s = self._reactor.seconds()
        max_wait_s = min(MAX_WAIT_S, call.time_left_s * MAX_WAIT_RATIO)
        queue = self._queues.setdefault(call.service, urgency.UrgencyQueue())
        self._calls[call.key] = call
        queue.push(
            urgency.WaitingRequest(
                call.key,
                call.priority,
                call.priority,
                call.workspace,
                1.0,
                now_s + max_wait_s,
            )
        )
        WAITING.set(len(self._calls))
        self._process_service(call.service)
        self._schedule()

    def discard(self, key: str) -> None:
        """Removes a call that has ended, if it waits."""
        call = self._calls.get(key)
        if call is not None:
            self._remove(call)

    def _process(self):
        self._timer = None
        for service in list(self._queues):
            self._process_service(service)
        self._schedule()

    def _process_service(self, service):
        """Starts what has its turn, and rejects what can't start in time.

        The next request on a connection may come as one on it is rejected.
        """
        now_s = self._reactor.seconds()
        queue = self._queues.get(service, ())
        if not queue:
            return
        for item in queue.expired(now_s):
            if item.request_id in self._calls:
                self._reject(self._calls[item.request_id])
        while len(queue):
            item = queue.first(
                queue.orders()[0], self._started.get(service, {})
            )
            call = self._calls[item.request_id]
            if not call.try_start():
                break
            self._remove(call)
            started = self._started.setdefault(service, collections.Counter())
            started[call.workspace] += 1
        if not len(queue):
            self._started.pop(service, None)
        room = self._targets.binding_room(service)
        starts = target_limits.count_starts(room, MAX_WAIT_S) if room else 0
        while len(queue) > starts:
            self._reject(self._calls[queue.last().request_id])

    def _reject(self, call):
        """Rejects a call, for its caller to return when there is room."""
        self._remove(call)
        room = self._targets.binding_room(call.service)
        if room is None:
            call.reject(FULL_REASON)
            return
        waiting = len(self._queues.get(call.service, ()))
        retry_after_s = self._targets.limits.return_after_s(
            call.service, room, waiting, call.time_left_s
        )
        call.reject(LIMIT_REASON, retry_after_s)

    def _remove(self, call):
        del self._calls[call.key]
        queue = self._queues[call.service]
        queue.remove(call.key)
        if not len(queue):
            del self._queues[call.service]
        WAITING.set(len(self._calls))

    def _schedule(self):
        if self._calls and self._timer is None:
            self._timer = self._reactor.callLater(
                POLL_INTERVAL_S, self._process
            )
