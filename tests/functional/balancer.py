"""Stand-in for the platform's balancer before the entries."""

import itertools

from tests.functional import client
from tests.functional import harness

TRIES = 200


class Balancer:
    """Passes requests to the entries that are healthy, in turn.

    As a balancer does, it goes on to the next entry only if the
    connection is refused, so that nothing was sent.
    """

    def __init__(self, deployment: harness.Deployment):
        self._deployment = deployment
        self._turns = itertools.count()

    def send(self, ask, key, name, prompt, **fields) -> client.Exchange:
        """Sends a request to a healthy entry."""
        for _ in range(TRIES):
            exchange = ask(self._pick(), key, name, prompt, **fields)
            if "ConnectionRefused" not in exchange.message:
                return exchange
        return exchange

    def _pick(self):
        names = list(self._deployment.entries)
        for _ in range(TRIES):
            name = names[next(self._turns) % len(names)]
            process = self._deployment.entries[name]
            if not process.running():
                continue
            if self._deployment.admin(process, "/readyz").status == 200:
                return self._deployment.callers(name)
        raise AssertionError("no entry is ready")
