"""Requests that arrive before the first configuration.

After a restart the balancer may send callers at once, and the store answers
within milliseconds: a short wait serves them, a refusal costs them a retry.
"""

from collections.abc import Callable
from typing import Any

# The store's answer takes 4 ms, ten times that when it is slow; callers
# that wait for a first event have half a second.
HOLD_S = 0.4
# Far more than arrive in that time; a flood beyond it is refused at once.
HELD_MAX = 500


class EarlyRequests:
    """Holds requests until they can be served, for a short time each.

    Args:
        reactor: Reactor.
        serve: Serves a request.
        reject: Tells a caller to come back.
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
        self._held: dict[Any, Any] = {}

    def hold(self, caller: Any) -> None:
        """Holds a request, or rejects it if too many wait."""
        if len(self._held) >= HELD_MAX:
            self._reject(caller)
            return
        caller.on_gone = lambda: self._forget(caller)
        self._held[caller] = self._reactor.callLater(
            HOLD_S, self._expire, caller
        )

    def release(self) -> None:
        """Serves all that wait."""
        held, self._held = self._held, {}
        for caller, timer in held.items():
            timer.cancel()
            self._serve(caller)

    def _expire(self, caller):
        del self._held[caller]
        self._reject(caller)

    def _forget(self, caller):
        timer = self._held.pop(caller, None)
        if timer is not None:
            timer.cancel()
