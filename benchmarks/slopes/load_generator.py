"""Streams completions from an entry and discards the responses.

The command-line argument is a JSON object: `host` and `port` of the entry,
workspace `keys` to use in turn, the `model`, and either the number of
`streams` to keep open or the `rate_per_s` at which new requests are sent. It
has `max_tokens` of each request and may have the `total` number of requests,
which is otherwise unlimited, `prompt_words`, and a `seed` that makes the
prompts differ from those of other seeds.
"""

import json
import sys

from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task

MAX_CONNECTIONS_PER_TICK = 20
TICK_S = 0.05


class _RequestProtocol(protocol.Protocol):
    """Sends one request and ignores the response."""

    def __init__(self, request, on_end):
        self._request = request
        self._on_end = on_end

    def connectionMade(self):
        """Sends the request."""
        self.transport.write(self._request)

    def connectionLost(self, reason=protocol.connectionDone):
        """Reports the end of the request."""
        self._on_end()


class LoadGenerator:
    """Sends requests to an entry.

    Attributes:
        options: See the module docstring.
        sent_count: Requests sent so far.
        open_count: Requests that have not ended.
    """

    def __init__(self, options):
        self.options = options
        self.sent_count = 0
        self.open_count = 0
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, options["host"], options["port"]
        )
        self._due_count = 0.0
        self._seed = options.get("seed", 1)

    def tick(self):
        """Sends the requests that are due."""
        if "rate_per_s" in self.options:
            self._due_count += self.options["rate_per_s"] * TICK_S
            count = int(self._due_count)
            self._due_count -= count
        else:
            count = min(
                MAX_CONNECTIONS_PER_TICK,
                self.options["streams"] - self.open_count,
            )
        if "total" in self.options:
            count = min(count, self.options["total"] - self.sent_count)
        for _ in range(count):
            self._send_request()

    def _send_request(self):
        number = self.sent_count
        self.sent_count += 1
        self.open_count += 1
        prompt = " ".join(
            f"seed{self._seed}word{number}x{place}"
            for place in range(self.options.get("prompt_words", 100))
        )
        body = json.dumps(
            {
                "model": self.options["model"],
                "prompt": prompt,
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
        connection = _RequestProtocol(head.encode() + body, self._on_end)
        endpoints.connectProtocol(self._endpoint, connection).addErrback(
            lambda _: self._on_end()
        )

    def _on_end(self):
        self.open_count -= 1


def main(options):
    """Sends requests until the process is killed."""
    generator = LoadGenerator(options)
    task.LoopingCall(generator.tick).start(TICK_S)
    print("listening", flush=True)
    reactor.run()


if __name__ == "__main__":
    main(json.loads(sys.argv[1]))
