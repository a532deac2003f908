"""Callers that stream completions from an entry and drop what they get.

The arguments are a JSON object: `host`, `port`, `keys`, `streams` to hold
open at once, or `rate_per_s` of new requests, `total` requests if they end,
`max_tokens`, `prompt_words`, and `seed`, which the prompts depend on.
"""

import json
import sys

from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task

MAX_OPENING = 20  # connections a tick
TICK_S = 0.05


class Caller(protocol.Protocol):
    """One request."""

    def __init__(self, request, on_end):
        self._request = request
        self._on_end = on_end

    def connectionMade(self):
        """Sends the request."""
        self.transport.write(self._request)

    def connectionLost(self, reason=protocol.connectionDone):
        """Counts the end."""
        self._on_end()


class Callers:
    """The open requests."""

    def __init__(self, options):
        self.options = options
        self.opened = 0
        self.open = 0
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, options["host"], options["port"]
        )
        self._owed = 0.0
        self._seed = options.get("seed", 1)

    def tick(self):
        """Opens the requests that are due."""
        if "rate_per_s" in self.options:
            self._owed += self.options["rate_per_s"] * TICK_S
            due = int(self._owed)
            self._owed -= due
        else:
            due = min(MAX_OPENING, self.options["streams"] - self.open)
        if "total" in self.options:
            due = min(due, self.options["total"] - self.opened)
        for _ in range(due):
            self._open()

    def _open(self):
        number = self.opened
        self.opened += 1
        self.open += 1
        words = " ".join(
            f"seed{self._seed}word{number}x{place}"
            for place in range(self.options.get("prompt_words", 100))
        )
        body = json.dumps(
            {
                "model": self.options["model"],
                "prompt": words,
                "max_tokens": self.options["max_tokens"],
                "stream": True,
            }
        ).encode()
        keys = self.options["keys"]
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"
            "Connection: close\r\nContent-Type: application/json\r\n"
            f"Authorization: Bearer {keys[number % len(keys)]}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        caller = Caller(head.encode() + body, self._ended)
        endpoints.connectProtocol(self._endpoint, caller).addErrback(
            lambda _: self._ended()
        )

    def _ended(self):
        self.open -= 1


def main(options):
    """Calls until the process is ended."""
    callers = Callers(options)
    task.LoopingCall(callers.tick).start(TICK_S)
    print("listening", flush=True)
    reactor.run()


if __name__ == "__main__":
    main(json.loads(sys.argv[1]))
