"""Simulates many entries in one process, to measure an agent.

The command-line argument is a JSON object: `host` and `port` of the agent's
links, the number of `links` to open, the total number of `streams` to keep
open over all links, and the `chain` of their requests. A control page shows
what the links have transferred.
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
START_INTERVAL_S = 0.1
MAX_TOKENS = 100_000
CREDIT_TOKENS = 10_000_000
EXPIRES_IN_S = 3_600.0
PROMPT_WORD_COUNT = 100


class SimulatedEntries:
    """The simulated entries, one per link to the agent.

    Attributes:
        options: See the module docstring.
        links: Open links.
        streams: Ids of the requests that have not ended.
        counts: Totals of received tokens and of messages that carry tokens,
            and of refused or failed and of finished requests.
    """

    def __init__(self, options):
        self.options = options
        self.links = []
        self.streams = set()
        self.counts = dict.fromkeys(
            ("tokens", "frames", "refused", "finished"), 0
        )
        self._config_version = 0
        self._start_count = 0

    def run(self):
        """Serves until the process is killed."""
        address = dialer.Address(self.options["host"], self.options["port"])
        for number in range(self.options["links"]):
            dialer.Dialer(
                reactor,
                sample_data.LINK_SETTINGS,
                self._local_process(number),
                address,
                link_module.Handlers(
                    self.links.append, self._on_message, self._on_down
                ),
                lambda: None,
                random.Random(number),
            ).start()
        control = reactor.listenTCP(
            0, server.Site(_ControlPage(self)), interface=HOST
        )
        print(f"listening control={HOST}:{control.getHost().port}", flush=True)
        task.LoopingCall(self._start_missing_streams).start(START_INTERVAL_S)
        reactor.run()

    def stats(self):
        """Returns the open links and streams, and the totals so far."""
        wire_bytes = sum(
            resource_usage.connection_bytes(link.transport)
            for link in self.links
        )
        return {
            "links": len(self.links),
            "streams": len(self.streams),
            "wire_bytes": wire_bytes,
            **self.counts,
        }

    def _local_process(self, number):
        return link_module.LocalProcess(
            f"p{number}",
            "entry",
            f"e{number}",
            "dc1",
            lambda: self._config_version,
        )

    def _on_down(self, link, reason):
        self.links.remove(link)

    def _on_message(self, link, message):
        kind = message["type"]
        if kind == "config":
            self._config_version = max(
                self._config_version, message["version"]
            )
        elif kind == "tokens":
            self.counts["frames"] += 1
            self.counts["tokens"] += sum(
                len(run["tokens"]) for run in message["runs"]
            )
        elif kind in ("refused", "failed", "finished"):
            self.streams.discard(message["request"])
            outcome = "finished" if kind == "finished" else "refused"
            self.counts[outcome] += 1

    def _start_missing_streams(self):
        """Starts streams up to the wanted number, evenly over the links.

        Does nothing until all links are open and a configuration has been
        received.
        """
        if (
            len(self.links) < self.options["links"]
            or self._config_version == 0
        ):
            return
        for _ in range(self.options["streams"] - len(self.streams)):
            link = self.links[self._start_count % len(self.links)]
            request = sample_data.request_id(self._start_count)
            self._start_count += 1
            self.streams.add(request)
            link.send(self._start_message(request))

    def _start_message(self, request):
        return {
            "type": "start",
            "request": request,
            "attempt": 1,
            "workspace": "workspace-0000",
            "plan": "plan-000",
            "model": "drafts",
            "config_version": self._config_version,
            "prompt": " ".join(
                f"w{self._start_count}x{place}"
                for place in range(PROMPT_WORD_COUNT)
            ),
            "max_tokens": MAX_TOKENS,
            "generated": [],
            "cost_tokens": 10.0,
            "worth": 1.0,
            "expires_in_s": EXPIRES_IN_S,
            "credit_tokens": CREDIT_TOKENS,
            "chain": self.options["chain"],
            "alternates": [],
            "digest": self._start_count,
            "traceparent": "",
        }


class _ControlPage(resource.Resource):
    """HTTP page with the statistics."""

    isLeaf = True

    def __init__(self, entries):
        super().__init__()
        self._entries = entries

    def render_GET(self, request):
        """Answers with the statistics as JSON."""
        return json.dumps(self._entries.stats()).encode()


if __name__ == "__main__":
    SimulatedEntries(json.loads(sys.argv[1])).run()
