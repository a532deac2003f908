"""Fake of a plain service whose bookings must not be repeated.

Run `python -m tests.fakes.booking --port 0`.
"""

import argparse
import json
import os
import time

from twisted.internet import defer
from twisted.internet import task

from tests.fakes import web

CRASH_EXIT_CODE = 70


class BookingService:
    """State and request handler of the fake.

    Fields of a booking's body cause faults: `crash` and `crash-after` end the
    process before or after the booking is recorded, and `hang` leaves the
    request without a response.
    """

    def __init__(self, clock, delay_s=0.0, history_file=""):
        self.clock = clock
        self.delay_s = delay_s
        self.history_file = history_file
        self.recorded_runs = []

    def handle(self, request, segments):
        """Handles a request; see `web.HandlerResource`."""
        if segments == ["history"]:
            return web.json_response({"runs": self.recorded_runs})
        if request.method == b"POST":
            body = json.load(request.content)
            return defer.ensureDeferred(self._book(request, body))
        return self._count_bookings(segments[-1])

    def _count_bookings(self, item):
        count = sum(
            run["body"].get("item") == item for run in self.recorded_runs
        )
        status = 200 if count else 404
        return web.json_response({"item": item, "count": count}, status)

    async def _book(self, request, body):
        if body.get("crash"):
            os._exit(CRASH_EXIT_CODE)
        run = {
            "body": body,
            "at_s": time.time(),
            "key": request.getHeader("idempotency-key") or "",
        }
        self.recorded_runs.append(run)
        web.append_line(self.history_file, run)
        if body.get("crash-after"):
            os._exit(CRASH_EXIT_CODE)
        if body.get("hang"):
            await defer.Deferred()
        if self.delay_s:
            await task.deferLater(self.clock, self.delay_s)
        response_body = {
            "booking": len(self.recorded_runs),
            "item": body.get("item"),
        }
        return web.json_response(response_body, 201)


def main():
    """Runs the fake until it is stopped."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--delay-s", type=float, default=0.0)
    parser.add_argument("--history-file", default="")
    options = parser.parse_args()
    booking_service = BookingService(
        reactor, options.delay_s, options.history_file
    )
    web.run(booking_service.handle, options.port)


if __name__ == "__main__":
    main()
