"""Queues requests that arrive before the first configuration is loaded.

After a restart, the balancer may send requests at once, while loading the
configuration takes milliseconds. A short wait serves these requests, whereas a
rejection costs their callers a retry.
"""

from collections.abc import Callable
from typing import Any

# The store answers in 4 ms, or in ten times that when it is slow; callers
# wait half a second for the first event.
HOLD_TIMEOUT_S = 0.4
# Far more than arrive in that time; a flood beyond it is rejected at once.
MAX_HELD_REQUESTS = 500


class StartupQueue:
    """Holds requests for a short time until they can be served.

    Args:
        reactor: Reactor.
        serve: Serves a request.
        reject: Answers a request with an error that asks for a retry.
    """

    def __init__(
        self,
        reactor: Any,
        serve: Callable[[Any], None],
        reject: Callable[[Any], None],
    ) -> None:
        self._reactor = reactor
        self._serve = serve
        self._reject = reject
        self._timers_by_request: dict[Any, Any] = {}

    def add(self, request: Any) -> None:
        """Holds a request, or rejects it if the queue is full."""
        if len(self._timers_by_request) >= MAX_HELD_REQUESTS:
            self._reject(request)
            return
        request.on_disconnect = lambda: self._remove(request)
        self._timers_by_request[request] = self._reactor.callLater(
            HOLD_TIMEOUT_S, self._expire, request
        )

    def serve_all(self) -> None:
        """Serves all held requests."""
        timers, self._timers_by_request = self._timers_by_request, {}
        for request, timer in timers.items():
            timer.cancel()
            self._serve(request)

    def reject_all(self) -> None:
        """Rejects all held requests, as the process stops."""
        timers, self._timers_by_request = self._timers_by_request, {}
        for request, timer in timers.items():
            timer.cancel()
            self._reject(request)

    def _expire(self, request):
        """Rejects a request that has been held for the maximum time."""
        del self._timers_by_request[request]
        self._reject(request)

    def _remove(self, request):
        timer = self._timers_by_request.pop(request, None)
        if timer is not None:
            timer.cancel()
