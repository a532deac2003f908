"""Stand-in for a plain service whose bookings may not be repeated.

Run `python -m tests.fakes.booking --port 0`.
"""

import argparse
import json
import os
import time

from twisted.internet import defer
from twisted.internet import task

from tests.fakes import web

CRASH_CODE = 70


class Booking:
    """The state of the stand-in."""

    def __init__(self, clock, delay_s=0.0, history_file=""):
        self.clock = clock
        self.delay_s = delay_s
        self.history_file = history_file
        self.runs = []

    def handle(self, request, segments):
        """Answers one request; see `web.HandlerResource`."""
        if segments == ["history"]:
            return web.json_answer({"runs": self.runs})
        if request.method == b"POST":
            body = json.load(request.content)
            return defer.ensureDeferred(self._book(request, body))
        return self._look_up(segments[-1])

    def _look_up(self, item):
        count = sum(run["body"].get("item") == item for run in self.runs)
        status = 200 if count else 404
        return web.json_answer({"item": item, "count": count}, status)

    async def _book(self, request, body):
        if body.get("crash"):
            os._exit(CRASH_CODE)
        run = {
            "body": body,
            "at_s": time.time(),
            "key": request.getHeader("idempotency-key") or "",
        }
        self.runs.append(run)
        web.append_line(self.history_file, run)
        if body.get("crash-after"):
            os._exit(CRASH_CODE)
        if body.get("hang"):
            await defer.Deferred()
        if self.delay_s:
            await task.deferLater(self.clock, self.delay_s)
        answer = {"booking": len(self.runs), "item": body.get("item")}
        return web.json_answer(answer, 201)


def main():
    """Runs the stand-in."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--delay-s", type=float, default=0.0)
    parser.add_argument("--history-file", default="")
    options = parser.parse_args()
    booking = Booking(reactor, options.delay_s, options.history_file)
    web.run(booking.handle, options.port)


if __name__ == "__main__":
    main()
