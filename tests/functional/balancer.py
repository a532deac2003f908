"""Fake of the platform's load balancer in front of the entries."""

import itertools

from tests.functional import client
from tests.functional import harness

MAX_TRIES = 200


class Balancer:
    """Sends requests to the ready entries, round-robin.

    It tries another entry only if the connection was refused, since then
    nothing of the request was sent.
    """

    def __init__(self, deployment: harness.Deployment):
        self._deployment = deployment
        self._turn = itertools.count()

    def send(self, ask, key, name, prompt, **fields) -> client.Exchange:
        """Sends a request to a ready entry.

        Args:
            ask: `client.complete` or `client.stream`.
            key: Workspace key.
            name: The test's name of the request.
            prompt: Prompt to send.
            **fields: Further fields of the request.
        """
        for _ in range(MAX_TRIES):
            exchange = ask(
                self._next_ready_entry(), key, name, prompt, **fields
            )
            if "ConnectionRefused" not in exchange.message:
                return exchange
        return exchange

    def _next_ready_entry(self):
        names = list(self._deployment.entries)
        for _ in range(MAX_TRIES):
            name = names[next(self._turn) % len(names)]
            process = self._deployment.entries[name]
            if not process.running():
                continue
            if self._deployment.admin(process, "/readyz").status == 200:
                return self._deployment.callers(name)
        raise AssertionError("no entry is ready")
