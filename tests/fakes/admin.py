"""Fake of the admin pages of a process.

Run `python -m tests.fakes.admin --port 0`. The JSON object sent with
`PUT /state` is what `/status` returns; its `events`, a mapping by request,
are what `/explain` returns.
"""

import argparse
import json

from twisted.internet import reactor

from tests.fakes import web

DRAIN_STOP_DELAY_S = 0.5


class AdminPages:
    """State and request handler of the fake."""

    def __init__(self):
        self.state = {"ready": True, "events": {}}

    def handle(self, request, segments):
        """Handles a request; see `web.HandlerResource`."""
        endpoint = request.method.decode(), segments[0]
        if endpoint == ("PUT", "state"):
            self.state = json.load(request.content)
            return web.json_response({})
        if endpoint == ("POST", "drain"):
            self.state |= {"ready": False, "unready": "draining"}
            reactor.callLater(DRAIN_STOP_DELAY_S, reactor.stop)
            return web.json_response({}, 202)
        if endpoint == ("GET", "explain"):
            return self._explain(request.args[b"request"][0].decode())
        if endpoint == ("GET", "status"):
            return web.json_response(self.state)
        return web.json_response({}, 404)

    def _explain(self, request_id):
        events = self.state["events"].get(request_id)
        if events is None:
            return web.json_response({}, 404)
        return web.json_response({"request": request_id, "events": events})


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    web.run(AdminPages().handle, parser.parse_args().port)
