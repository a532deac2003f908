"""The platform's stand-in inside the test's process, in virtual time."""

import treq.testing
from twisted.internet import task

from hemlocktiller._internal.store import client
from tests.fakes import platform
from tests.fakes import web

STEP_S = 0.05
FLUSHES = 4
STORE_SETTINGS = {
    "url": "http://127.0.0.1:1",
    "timeout_s": 2.0,
    "watch_timeout_s": 25.0,
    "retry_min_s": 0.1,
    "retry_max_s": 5.0,
}


class MemoryPlatform:
    """The stand-in with clients that reach it without a network.

    Attributes:
        clock: The virtual clock of the stand-in and its clients.
        state: The stand-in, see `platform.Platform`.
    """

    def __init__(self):
        self.clock = task.Clock()
        self.state = platform.Platform(self.clock)
        self._agent = treq.testing.RequestTraversalAgent(
            web.HandlerResource(self.state.handle)
        )

    def store(self, writer="test"):
        """Returns a new client."""
        return client.ObjectStore(
            STORE_SETTINGS, writer, self.clock, self._agent
        )

    def faults(self, **faults):
        """Sets faults; those not named end."""
        self.state.set_faults(faults)

    def writes(self, kind):
        """Counts the writes of a kind, also those that failed."""
        calls = self.state.calls
        return calls["PUT"][kind] + calls["DELETE"][kind]

    def run(self, duration_s):
        """Lets virtual time pass."""
        for _ in range(round(duration_s / STEP_S)):
            self._step()

    def result(self, deferred, limit_s=60.0):
        """Lets time pass until a result is there; returns or raises it."""
        results = []
        deferred.addBoth(results.append)
        for _ in range(round(limit_s / STEP_S)):
            if results:
                break
            self._step()
        if not results:
            raise AssertionError("no result in time")
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def _step(self):
        for _ in range(FLUSHES):
            self.clock.advance(0)
            self._agent.flush()
        self.clock.advance(STEP_S)
