"""The fake platform inside the test's process, in virtual time."""

import treq.testing
from twisted.internet import task

from hemlocktiller._internal.store import client
from tests.fakes import platform
from tests.fakes import web

STEP_S = 0.05
# Rounds of request and response that a step delivers.
FLUSHES_PER_STEP = 4
STORE_SETTINGS = {
    "url": "http://127.0.0.1:1",
    "timeout_s": 2.0,
    "watch_timeout_s": 25.0,
    "retry_min_s": 0.1,
    "retry_max_s": 5.0,
}


class MemoryPlatform:
    """The fake platform, with clients that call it without a network.

    Attributes:
        clock: Virtual clock of the fake and its clients.
        state: The fake; see `platform.Platform`.
    """

    def __init__(self):
        self.clock = task.Clock()
        self.state = platform.Platform(self.clock)
        self._agent = treq.testing.RequestTraversalAgent(
            web.HandlerResource(self.state.handle)
        )

    def store(self, writer="test"):
        """Returns a new client of the object store."""
        return client.ObjectStore(
            STORE_SETTINGS, writer, self.clock, self._agent
        )

    def faults(self, **faults):
        """Replaces all faults by the given ones."""
        self.state.set_faults(faults)

    def writes(self, kind):
        """Returns the number of writes of a kind, including failed ones."""
        calls = self.state.calls
        return calls["PUT"][kind] + calls["DELETE"][kind]

    def run(self, duration_s):
        """Advances the virtual clock."""
        for _ in range(round(duration_s / STEP_S)):
            self._step()

    def result(self, deferred, limit_s=60.0):
        """Advances the clock until a Deferred fires.

        Returns its result or raises its failure; raises AssertionError if it
        doesn't fire within `limit_s`.
        """
        results = []
        deferred.addBoth(results.append)
        for _ in range(round(limit_s / STEP_S)):
            if results:
                break
            self._step()
        if not results:
            raise AssertionError("Deferred did not fire within the time limit")
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def _step(self):
        for _ in range(FLUSHES_PER_STEP):
            self.clock.advance(0)
            self._agent.flush()
        self.clock.advance(STEP_S)
