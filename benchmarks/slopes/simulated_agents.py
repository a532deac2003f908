"""Many agents in one process, as far as an entry can tell.

All links are accepted on one port. Each agent sends load reports, and
streams tokens to the requests that it is given. A control page tells what
the links have moved.
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
LOAD_INTERVAL_S = 1.0


DEFAULTS = {
    "reports": True,
    "plans": sample_data.PLAN_COUNT,
    "prefixes": sample_data.PREFIX_COUNT,
    "tick_s": 0.05,
    "tokens_each": 1,
    "streaming": True,
}


class Farm:
    """The agents and the streams that each link carries."""

    def __init__(self, options):
        self.options = {**DEFAULTS, **options}
        self.streams = {}
        self.token_count = 0
        self.frame_count = 0
        self.starts = 0
        self._version = 0
        self._rng = random.Random(1)
        self._report = sample_data.load(
            self.options["plans"], self.options["prefixes"]
        )
        handlers = link_module.Handlers(
            self._on_open, self._on_message, self._on_down
        )
        local = link_module.LocalProcess(
            "farm", "agent", "farm", "dc1", lambda: self._version
        )
        self.listener = listener.Listener(
            reactor, sample_data.LINKS, local, handlers
        )

    def run(self):
        """Serves until the process is ended."""
        links = reactor.listenTCP(0, self.listener, interface=HOST)
        control = reactor.listenTCP(
            0, server.Site(_Control(self)), interface=HOST
        )
        print(
            f"listening link={HOST}:{links.getHost().port}"
            f" control={HOST}:{control.getHost().port}",
            flush=True,
        )
        if self.options["reports"]:
            task.LoopingCall(self._report_all).start(LOAD_INTERVAL_S)
        if self.options["streaming"]:
            task.LoopingCall(self._stream_all).start(self.options["tick_s"])
        reactor.run()

    def stats(self):
        """Returns what the links have moved so far."""
        return {
            "links": len(self.streams),
            "wire_bytes": sum(
                resource_usage.wire_bytes(link.transport)
                for link in self.streams
            ),
            "streams": sum(map(len, self.streams.values())),
            "tokens": self.token_count,
            "frames": self.frame_count,
            "starts": self.starts,
        }

    def _on_open(self, link):
        self.streams[link] = {}

    def _on_down(self, link, reason):
        self.streams.pop(link, None)

    def _on_message(self, link, message):
        if message["type"] == "start":
            self.starts += 1
            key = message["request"], message["attempt"]
            self.streams[link][key] = [0, message]
            link.send(_place("started", key))
        elif message["type"] == "config":
            self._version = max(self._version, message["version"])
        elif message["type"] == "cancel":
            key = message["request"], message["attempt"]
            self.streams[link].pop(key, None)

    def _report_all(self):
        for link in list(self.streams):
            link.send(self._report)

    def _stream_all(self):
        for link in list(self.streams):
            self._stream(link)

    def _stream(self, link):
        runs = []
        finished = []
        for key, state in self.streams[link].items():
            sent, start = state
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
            state[0] = sent + count
            if state[0] >= start["max_tokens"]:
                finished.append(key)
        if runs:
            link.send({"type": "tokens", "runs": runs})
            self.frame_count += 1
            self.token_count += sum(len(run["tokens"]) for run in runs)
        for key in finished:
            sent, _ = self.streams[link].pop(key)
            link.send(
                _place("finished", key)
                | {
                    "token_count": sent,
                    "prompt_token_count": 100,
                    "reason": "length",
                }
            )


class _Control(resource.Resource):
    """Shows the counts."""

    isLeaf = True

    def __init__(self, farm):
        super().__init__()
        self._farm = farm

    def render_GET(self, request):
        """Answers with the counts as JSON."""
        return json.dumps(self._farm.stats()).encode()


def _place(kind, key):
    return {"type": kind, "request": key[0], "attempt": key[1]}


if __name__ == "__main__":
    Farm(json.loads(sys.argv[1])).run()
