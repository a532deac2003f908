"""Simulates many agents in one process, to measure an entry.

All links are accepted on one port. Each simulated agent sends load reports,
and streams tokens of the requests that it receives. A control page shows what
the links have transferred.

The command-line argument is a JSON object of options that override `DEFAULTS`:
`reports` tells whether load reports are sent, each with as many `plans` and
`prefixes`; `streaming` tells whether tokens are sent, `tokens_each` for each
request every `tick_s`.
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
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.links import listener

HOST = "127.0.0.1"
LOAD_REPORT_INTERVAL_S = 1.0
DEFAULTS = {
    "reports": True,
    "plans": sample_data.PLAN_COUNT,
    "prefixes": sample_data.PREFIX_COUNT,
    "tick_s": 0.05,
    "tokens_each": 1,
    "streaming": True,
}


class SimulatedAgents:
    """The simulated agents, one per accepted link.

    Attributes:
        options: See the module docstring.
        streams: Open requests of each link: the number of tokens sent and the
            start message, by request id and attempt.
        token_count: Tokens sent.
        frame_count: Messages sent that carry tokens.
        start_count: Start messages received.
        listener: Accepts the links.
    """

    def __init__(self, options):
        self.options = {**DEFAULTS, **options}
        self.streams = {}
        self.token_count = 0
        self.frame_count = 0
        self.start_count = 0
        self._config_version = 0
        self._rng = random.Random(1)
        self._load_report = sample_data.load_report(
            self.options["plans"], self.options["prefixes"]
        )
        handlers = link_module.Handlers(
            self._on_open, self._on_message, self._on_down
        )
        local = link_module.LocalProcess(
            "farm", "agent", "farm", "dc1", lambda: self._config_version
        )
        self.listener = listener.Listener(
            reactor, sample_data.LINK_SETTINGS, local, handlers
        )

    def run(self):
        """Serves until the process is killed."""
        links = reactor.listenTCP(0, self.listener, interface=HOST)
        control = reactor.listenTCP(
            0, server.Site(_ControlPage(self)), interface=HOST
        )
        print(
            f"listening link={HOST}:{links.getHost().port}"
            f" control={HOST}:{control.getHost().port}",
            flush=True,
        )
        if self.options["reports"]:
            task.LoopingCall(self._send_load_reports).start(
                LOAD_REPORT_INTERVAL_S
            )
        if self.options["streaming"]:
            task.LoopingCall(self._send_tokens).start(self.options["tick_s"])
        reactor.run()

    def stats(self):
        """Returns the open links and streams, and the totals so far."""
        return {
            "links": len(self.streams),
            "wire_bytes": sum(
                resource_usage.connection_bytes(link.transport)
                for link in self.streams
            ),
            "streams": sum(map(len, self.streams.values())),
            "tokens": self.token_count,
            "frames": self.frame_count,
            "starts": self.start_count,
        }

    def _on_open(self, link):
        self.streams[link] = {}

    def _on_down(self, link, reason):
        self.streams.pop(link, None)

    def _on_message(self, link, message):
        if message["type"] == "start":
            self.start_count += 1
            key = message["request"], message["attempt"]
            self.streams[link][key] = [0, message]
            link.send(_attempt_message("started", key))
        elif message["type"] == "config":
            self._config_version = max(
                self._config_version, message["version"]
            )
        elif message["type"] == "cancel":
            key = message["request"], message["attempt"]
            self.streams[link].pop(key, None)

    def _send_load_reports(self):
        for link in list(self.streams):
            link.send(self._load_report)

    def _send_tokens(self):
        for link in list(self.streams):
            self._send_link_tokens(link)

    def _send_link_tokens(self, link):
        """Sends the next tokens of all streams of a link in one message."""
        runs = []
        finished = []
        for key, stream in self.streams[link].items():
            sent, start = stream
            count = min(
                self.options["tokens_each"], start["max_tokens"] - sent
            )
            tokens = [self._rng.randrange(50_000) for _ in range(count)]
            runs.append(
                {
                    "request": key[0],
                    "attempt": key[1],
                    "first_index": sent,
                    "tokens": tokens,
                }
            )
            stream[0] = sent + count
            if stream[0] >= start["max_tokens"]:
                finished.append(key)
        if runs:
            link.send({"type": "tokens", "runs": runs})
            self.frame_count += 1
            self.token_count += sum(len(run["tokens"]) for run in runs)
        for key in finished:
            sent, _ = self.streams[link].pop(key)
            link.send(
                _attempt_message("finished", key)
                | {
                    "token_count": sent,
                    "prompt_token_count": 100,
                    "reason": "length",
                }
            )


class _ControlPage(resource.Resource):
    """HTTP page with the statistics."""

    isLeaf = True

    def __init__(self, agents):
        super().__init__()
        self._agents = agents

    def render_GET(self, request):
        """Answers with the statistics as JSON."""
        return json.dumps(self._agents.stats()).encode()


def _attempt_message(kind, key):
    """Returns a message of a type about one attempt of a request."""
    return {"type": kind, "request": key[0], "attempt": key[1]}


if __name__ == "__main__":
    SimulatedAgents(json.loads(sys.argv[1])).run()
