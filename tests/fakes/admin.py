"""Stand-in for the admin pages of a process.

Run `python -m tests.fakes.admin --port 0`. `PUT /state` JSON sets what
`/status` shows; its `events`, by request, are what `/explain` shows.
"""

import argparse
import json

from twisted.internet import reactor

from tests.fakes import web

STOP_DELAY_S = 0.5


class Pages:
    """The state of the stand-in."""

    def __init__(self):
        self.state = {"ready": True, "events": {}}

    def handle(self, request, segments):
        """Answers one request; see `web.HandlerResource`."""
        call = request.method.decode(), segments[0]
        if call == ("PUT", "state"):
            self.state = json.load(request.content)
            return web.json_answer({})
        if call == ("POST", "drain"):
            self.state |= {"ready": False, "unready": "draining"}
            reactor.callLater(STOP_DELAY_S, reactor.stop)
            return web.json_answer({}, 202)
        if call == ("GET", "explain"):
            return self._explain(request.args[b"request"][0].decode())
        if call == ("GET", "status"):
            return web.json_answer(self.state)
        return web.json_answer({}, 404)

    def _explain(self, name):
        events = self.state["events"].get(name)
        if events is None:
            return web.json_answer({}, 404)
        return web.json_answer({"request": name, "events": events})


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    web.run(Pages().handle, parser.parse_args().port)
