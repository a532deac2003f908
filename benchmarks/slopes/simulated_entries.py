"""Many entries in one process, as far as an agent can tell.

The arguments are a JSON object: `host` and `port` of the agent's links,
`links` to open, `streams` to hold over all links, and the `chain`.
"""

import json
import random
import sys

from twisted.internet import reactor
from twisted.internet import task
from twisted.web import resource
from twisted.web import server

from benchmarks.slopes import resource_usage
from benchmarks.slopes import sample_data
from hemlocktiller._internal.links import dialer
from hemlocktiller._internal.links import link as link_module

HOST = "127.0.0.1"
TICK_S = 0.1
MAX_TOKENS = 100_000
CREDIT_TOKENS = 10_000_000
EXPIRES_IN_S = 3_600.0
PROMPT_WORDS = 100


class Entries:
    """The links to one agent and their streams."""

    def __init__(self, options):
        self.options = options
        self.links = []
        self.streams = set()
        self.counts = dict.fromkeys(
            ("tokens", "frames", "refused", "finished"), 0
        )
        self._version = 0
        self._begun = 0

    def run(self):
        """Serves until the process is ended."""
        address = dialer.Address(self.options["host"], self.options["port"])
        for number in range(self.options["links"]):
            dialer.Dialer(
                reactor,
                sample_data.LINKS,
                self._local(number),
                address,
                link_module.Handlers(
                    self.links.append, self._on_message, self._on_down
                ),
                lambda: None,
                random.Random(number),
            ).start()
        control = reactor.listenTCP(
            0, server.Site(_Control(self)), interface=HOST
        )
        print(f"listening control={HOST}:{control.getHost().port}", flush=True)
        task.LoopingCall(self._begin_missing).start(TICK_S)
        reactor.run()

    def stats(self):
        """Returns what the links have moved so far."""
        wire = sum(
            resource_usage.wire_bytes(link.transport) for link in self.links
        )
        return {
            "links": len(self.links),
            "streams": len(self.streams),
            "wire_bytes": wire,
            **self.counts,
        }

    def _local(self, number):
        return link_module.LocalProcess(
            f"p{number}", "entry", f"e{number}", "dc1", lambda: self._version
        )

    def _on_down(self, link, reason):
        self.links.remove(link)

    def _on_message(self, link, message):
        kind = message["type"]
        if kind == "config":
            self._version = max(self._version, message["version"])
        elif kind == "tokens":
            self.counts["frames"] += 1
            self.counts["tokens"] += sum(
                len(run["tokens"]) for run in message["runs"]
            )
        elif kind in ("refused", "failed", "finished"):
            self.streams.discard(message["request"])
            ended = "finished" if kind == "finished" else "refused"
            self.counts[ended] += 1

    def _begin_missing(self):
        if len(self.links) < self.options["links"] or self._version == 0:
            return
        for _ in range(self.options["streams"] - len(self.streams)):
            link = self.links[self._begun % len(self.links)]
            request = sample_data.stream_id(self._begun)
            self._begun += 1
            self.streams.add(request)
            link.send(self._start(request))

    def _start(self, request):
        return {
            "type": "start",
            "request": request,
            "attempt": 1,
            "workspace": "workspace-0000",
            "plan": "plan-000",
            "model": "drafts",
            "config_version": self._version,
            "prompt": " ".join(
                f"w{self._begun}x{place}" for place in range(PROMPT_WORDS)
            ),
            "max_tokens": MAX_TOKENS,
            "generated": [],
            "cost_tokens": 10.0,
            "worth": 1.0,
            "expires_in_s": EXPIRES_IN_S,
            "credit_tokens": CREDIT_TOKENS,
            "chain": self.options["chain"],
            "alternates": [],
            "digest": self._begun,
            "traceparent": "",
        }


class _Control(resource.Resource):
    """Shows the counts."""

    isLeaf = True

    def __init__(self, entries):
        super().__init__()
        self._entries = entries

    def render_GET(self, request):
        """Answers with the counts as JSON."""
        return json.dumps(self._entries.stats()).encode()


if __name__ == "__main__":
    Entries(json.loads(sys.argv[1])).run()
