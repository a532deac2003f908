"""Fake of a target of the users' platform, which runs as a process.

A model target holds a range of layers and streams deterministic events;
before each event it calls every other stage of the path. Its streams can be
made to end with their connection, some of them inside an event. Some parts of
a prompt crash it before its first event. A plain target handles single calls.
Both can be made to name a limit of requests a second, which they only count.
Each run is appended to a journal file, which outlives a kill of the process.
On SIGTERM the target registers as draining and stops after a delay.
"""

import argparse
import io
import json
import os
import random
import secrets
import signal
import sys
import time
from urllib import parse

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers
from twisted.web import resource
from twisted.web import server

from tests.fakes import web

EVENT_INTERVAL_S = 0.02
DRAIN_DURATION_S = 2.5
LAYER_COUNT = 80
# Parts of a prompt that crash each model target that begins to answer it.
CRASHING_PARTS = range(0xC0, 0xCC)
CRASH_EXIT_CODE = 70


def event_of(request_id: str, number: int) -> bytes:
    """Returns an event of the only correct response to a request."""
    return b"id: %d\ndata: %s.%d\n\n" % (number, request_id.encode(), number)


class Target(resource.Resource):
    """The HTTP resource of a target, with its state.

    Attributes:
        id: Id of the process, as registered.
        born_ms: Wall clock time at which the process started.
        address: Registered address.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, options):
        super().__init__()
        self._options = options
        self.id = f"i-{secrets.token_hex(4)}"
        self.born_ms = int(time.time() * 1000)
        self.address = ""
        self._order_count = 0
        self._fencing_number = 0
        self._layers = (0, 0)
        self._is_draining = False
        self._heartbeat_count = 0
        # Share of streams that are broken off; None while streams have chunks.
        self._break_off_ratio = None
        # Requests a second that it says it takes; None if it names no limit.
        self._limit_per_s = None
        self._agent = client.Agent(reactor, connectTimeout=0.5)

    def send_heartbeat(self):
        """Renews the registration; a failure is retried by the next call."""
        self._heartbeat_count += 1
        body = json.dumps(self._registration()).encode()
        url = f"{self._options.store}/beat/{self.id}".encode()
        response_deferred = self._agent.request(
            b"POST",
            url,
            http_headers.Headers({}),
            client.FileBodyProducer(io.BytesIO(body)),
        )
        response_deferred.addCallbacks(client.readBody, lambda _: None)
        response_deferred.addErrback(lambda _: None)

    def drain(self):
        """Registers as draining, and stops after a delay."""
        self._is_draining = True
        self.send_heartbeat()
        self._append_journal("draining", "", 0)
        reactor.callLater(DRAIN_DURATION_S, reactor.stop)

    def _registration(self):
        first, end = self._layers
        value = {
            "backend": self._options.service,
            "address": self.address,
            "zone": "dc-a",
            "slots": 32,
            "state": "draining" if self._is_draining else "ready",
            "born": self.born_ms,
            "seq": self._heartbeat_count,
        }
        if self._options.service == "model":
            value["route_type"] = "card"
            if end:
                value["layers"] = {"from": first, "target": end, "version": 1}
        return value

    def render(self, request):
        """Handles a request of any method."""
        if self._is_draining:
            request.setHeader("Server-Leaving", "1")
        if self._limit_per_s is not None:
            request.setHeader("Server-Limit", str(self._limit_per_s))
        path = parse.urlsplit(request.uri.decode()).path
        if path == "/api/report":
            return _json_body(request, self._report_body())
        if path == "/api/order":
            return self._apply_order(request)
        if path == "/faults":
            self._set_faults(json.loads(request.content.read()))
            return b""
        if path == "/health":
            request.setHeader("Instance-Id", self.id)
            return b""
        if path == "/part":
            first, end = self._layers
            required_range = [
                int(request.args[name][0]) for name in (b"f", b"t")
            ]
            if (
                self._is_draining
                or not first <= required_range[0] < required_range[1] <= end
            ):
                request.setResponseCode(503)
            return b""
        if not self._accepts(request):
            return b""
        if self._limit_per_s is not None:
            request_id = request.getHeader("Request-Id")
            self._append_journal("limited_arrival", request_id, 0)
        if self._options.service == "model":
            stream = defer.Deferred.fromCoroutine(self._stream(request))
            stream.addErrback(lambda _: request.loseConnection())
            return server.NOT_DONE_YET
        return self._handle_call(request)

    def _set_faults(self, faults):
        if "break_off_ratio" in faults:
            self._break_off_ratio = faults["break_off_ratio"]
        if "limit_per_s" in faults:
            self._limit_per_s = faults["limit_per_s"]
            self._append_journal("limit", "", 0, per_s=self._limit_per_s)

    def _accepts(self, request):
        expected_id = request.getHeader("Target-Instance")
        if expected_id and expected_id != self.id:
            request.setResponseCode(421)
            request.setHeader("Instance-Id", self.id)
            return False
        if self._is_draining and self._options.service == "model":
            request.setResponseCode(503)
            request.setHeader("Not-Executed", "1")
            request.setHeader("At-Server", self.address)
            return False
        return True

    def _report_body(self):
        first, end = self._layers
        return {
            "born": self.born_ms,
            "seq": self._order_count,
            "busy": False,
            "pace": 1.0,
            "layers": {"from": first, "target": end, "version": 1},
        }

    def _apply_order(self, request):
        order = json.loads(request.content.read())
        if order.get("fence_token", 0) < self._fencing_number:
            request.setResponseCode(412)
        elif order.get("expect", self._order_count) != self._order_count:
            request.setResponseCode(409)
        else:
            self._fencing_number = order.get("fence_token", 0)
            self._order_count += 1
            self._layers = (order["from"], order["target"])
            self._append_journal("order", "", self._fencing_number)
            request.setResponseCode(202)
            self.send_heartbeat()
        return b""

    def _handle_call(self, request):
        request_id = request.getHeader("Request-Id")
        self._append_journal("run", request_id, 0, path=[self.address])
        request.setHeader("Request-Id", request_id)
        request.setHeader("Response-Signature", f"{self.id}.{request_id}")
        return b"done " + request_id.encode()

    async def _stream(self, request):
        request_id = request.getHeader("Request-Id")
        hops = _parse_hops(request.getHeader("Hop-Count"))
        covered_layers = [
            layer for _, first, end in hops for layer in range(first, end)
        ]
        if (
            covered_layers != list(range(LAYER_COUNT))
            or hops[0][0] != self.address
        ):
            self._append_journal("bad_path", request_id, 0)
        crashing_part = _find_crashing_part(request)
        if crashing_part:
            self._append_journal("part_arrival", request_id, crashing_part)
        disconnected = []
        request.notifyFinish().addErrback(disconnected.append)
        last_event_id = int(request.getHeader("Last-Event-Id") or 0)
        count = int(request.getHeader("Token-Usage").split(",")[1])
        last_number = 0
        if self._break_off_ratio is not None:
            _remove_framing(request)
            if random.random() < self._break_off_ratio:
                last_number = random.randint(last_event_id + 1, count)
        for number in range(last_event_id + 1, count + 1):
            failed_address = await self._find_failed_stage(hops[1:])
            if disconnected:
                return
            if failed_address:
                self._append_journal(
                    "stage_failed", request_id, number, stage=failed_address
                )
                self._end_failed_stream(
                    request, failed_address, number == last_event_id + 1
                )
                return
            if crashing_part:
                self._append_journal("part_crash", request_id, crashing_part)
                os._exit(CRASH_EXIT_CODE)
            if number == last_event_id + 1:
                self._start_stream(request, request_id, hops, last_event_id)
            event = event_of(request_id, number)
            if number == last_number:
                self._append_journal("break_off", request_id, number)
                request.write(event[: random.randrange(1, len(event))])
                request.loseConnection()
                return
            request.write(event)
            await task.deferLater(reactor, EVENT_INTERVAL_S)
        if not disconnected:
            if last_event_id >= count:
                self._start_stream(request, request_id, hops, last_event_id)
            request.finish()

    def _start_stream(self, request, request_id, hops, last_event_id):
        """Records a run, and sets the headers of its response."""
        path = [address for address, _, _ in hops]
        self._append_journal("run", request_id, last_event_id, path=path)
        request.setHeader("Request-Id", request_id)
        signature = f"{self.id}.{request_id}"
        request.setHeader("Response-Signature", signature)
        request.setHeader("Content-Type", "text/event-stream")

    def _end_failed_stream(self, request, failed_address, is_unstarted):
        """Ends a stream of which a stage failed.

        Args:
            request: The request.
            failed_address: Address of the failed stage.
            is_unstarted: Whether no event was sent yet.
        """
        if not is_unstarted:
            request.loseConnection()
            return
        request.setResponseCode(503)
        request.setHeader("Not-Executed", "1")
        request.setHeader("At-Server", failed_address)
        request.finish()

    async def _find_failed_stage(self, hops):
        """Returns the address of the first stage that fails, or ''."""
        for address, first, end in hops:
            url = f"http://{address}/part?f={first}&t={end}".encode()
            response_deferred = self._agent.request(b"GET", url)
            response_deferred.addTimeout(
                self._options.stage_timeout_s, reactor
            )
            try:
                response = await response_deferred
            except Exception:
                return address
            if response.code != 200:
                return address
        return ""

    def _append_journal(self, event_kind, request_id, number, **fields):
        web.append_line(
            self._options.journal,
            {
                "what": event_kind,
                "target": self.id,
                "service": self._options.service,
                "request": request_id,
                "number": number,
                "address": self.address,
                "at_s": time.time(),
                **fields,
            },
        )


def _remove_framing(request):
    """Lets the response end with its connection."""
    request.clientproto = b"HTTP/1.0"
    request.channel.persistent = False


def _json_body(request, value):
    request.setHeader("content-type", "application/json")
    return json.dumps(value).encode()


def _find_crashing_part(request):
    """Returns the first part that crashes the target, or 0."""
    entries = (request.getHeader("Prompt-Prefix") or "0:0").split(",")
    parts = [int(entry.partition(":")[0], 16) for entry in entries]
    return next((part for part in parts if part in CRASHING_PARTS), 0)


def _parse_hops(header):
    hops = []
    for part in header.split(","):
        address, _, span = part.partition("=")
        first, _, end = span.partition("-")
        hops.append((address, int(first), int(end)))
    return hops


def main(arguments=None) -> None:
    """Runs the target until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--service", choices=("model", "plain"))
    parser.add_argument("--store", required=True)
    parser.add_argument("--journal", required=True)
    parser.add_argument("--beat-s", type=float, default=0.5)
    parser.add_argument("--stage-timeout-s", type=float, default=1.0)
    parser.add_argument("--advertised", help="address of a relay before it")
    options = parser.parse_args(arguments)
    target = Target(options)
    port = reactor.listenTCP(
        options.port, server.Site(target), interface="127.0.0.1"
    )
    own_address = f"127.0.0.1:{port.getHost().port}"
    target.address = options.advertised or own_address
    task.LoopingCall(target.send_heartbeat).start(options.beat_s)
    signal.signal(
        signal.SIGTERM, lambda *_: reactor.callFromThread(target.drain)
    )
    sys.stdout.write(f"listening {own_address}\n")
    sys.stdout.flush()
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(sys.argv[1:])
