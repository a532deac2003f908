"""Stand-in of a replica, as PROTOCOL describes it.

A plain replica answers each request after some work. With `--unframed`, an
answer has no length and ends with its connection, and its body is written in
pieces. A model replica streams events along a path of which it is the first
part; later parts are not asked. Each run is appended to the record as a line
of JSON before the replica begins its work.
"""

import argparse
import asyncio
import json
import os
import signal
import time
from urllib import request as url_request

import web

PIECE_COUNT = 10
# A request with this in its path, or in the body of a stream, crashes the
# replica that begins to run it.
CRASHING = b"crashes-replicas"


class Replica:
    """One replica; `born` is the time of its start."""

    def __init__(self, options):
        self.options = options
        self.born_ms = int(time.time() * 1000)
        self.address = ""
        self.layers = None
        self.orders = 0
        self.fence = 0
        self.beats = 0
        self.running = 0
        self._leaving = asyncio.Event()

    def registration(self):
        """Returns the entry of this replica in the store."""
        options = self.options
        self.beats += 1
        entry = {
            "backend": options.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": options.slots,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": self.beats,
            "born": self.born_ms,
        }
        if options.accelerator:
            entry["route_type"] = options.accelerator
            if self.layers:
                entry["layers"] = self.layers
        return entry

    async def beat_forever(self):
        """Writes the registration at each heartbeat."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._leaving.set)
        await asyncio.sleep(self.options.first_beat_s)
        while not self._leaving.is_set():
            await asyncio.to_thread(self._call_store, "POST", "beat")
            try:
                await asyncio.wait_for(
                    self._leaving.wait(), self.options.heartbeat_s
                )
            except TimeoutError:
                pass
        # It never reports `draining`: its entry goes, and it serves on.
        await asyncio.to_thread(
            self._call_store, "DELETE", "api/objects/servers"
        )
        await asyncio.sleep(self.options.serves_s)

    def _call_store(self, method, path):
        is_beat = method == "POST"
        call = url_request.Request(
            f"http://{self.options.store}/{path}/{self.options.id}",
            json.dumps(self.registration()).encode() if is_beat else None,
            method=method,
        )
        try:
            url_request.urlopen(call, timeout=2).read()
        except OSError:
            pass

    def record(self, what, request, **fields):
        """Appends a line to the record of all replicas."""
        line = {
            "at": round(time.time(), 3),
            "what": what,
            "replica": self.options.id,
            "request": request.headers.get("request-id", ""),
            "path": request.path,
            "tenant": request.headers.get("tenant", ""),
            **fields,
        }
        with open(self.options.record, "a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")

    async def handle(self, request, reader, writer):
        """Answers a request, a probe, a report or an order."""
        options = self.options
        expected = request.headers.get("target-instance", options.id)
        if request.path == "/health":
            return web.response(200, b"", (("Instance-Id", options.id),))
        if request.path == "/api/report" and options.accelerator:
            return web.response(200, self.report())
        if expected != options.id:
            return web.response(421, b"", (("Instance-Id", options.id),))
        if request.path == "/api/order" and options.accelerator:
            return self.order(json.loads(request.body))
        request_id = request.headers.get("request-id", "")
        if not request_id:
            return web.response(400, b"", (("Not-Executed", "1"),))
        if self.running >= options.slots:
            return web.response(503, b"", (("Not-Executed", "1"),))
        self.running += 1
        try:
            if options.accelerator:
                return await self.stream(request, writer)
            return await self.run(request, writer)
        finally:
            self.running -= 1

    def report(self):
        """Returns the state of a model replica."""
        report = {
            "stage": "both",
            "models": [],
            "busy": False,
            "seq": self.orders,
            "waiting": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 1_000_000,
            "handles": 0,
            "pace": 1.0,
            "born": self.born_ms,
        }
        if self.layers:
            report["layers"] = self.layers
        return report

    def order(self, order):
        """Takes an order to hold layers."""
        if order.get("fence_token", self.fence) < self.fence:
            return web.response(412, {})
        self.fence = order.get("fence_token", self.fence)
        if order.get("expect", self.orders) != self.orders:
            return web.response(409, {})
        self.orders += 1
        self.layers = [
            {"from": order["from"], "target": order["target"], "version": 1}
        ]
        return web.response(202, {})

    def body_of(self, request):
        """Returns the body of the answer to a request."""
        line = f"{request.headers['request-id']} {request.path}\n".encode()
        return (line * 40)[: self.options.body_bytes]

    async def run(self, request, writer):
        """Runs a plain request."""
        self.record("run", request)
        if CRASHING in request.path.encode():
            self.record("crashed", request)
            os._exit(1)
        await asyncio.sleep(self.options.work_s)
        body = self.body_of(request)
        headers = (
            ("Request-Id", request.headers["request-id"]),
            ("Response-Signature", f"{self.options.id}.{len(body)}"),
        )
        if not self.options.unframed:
            return web.response(200, body, headers)
        head = "".join(f"{name}: {value}\r\n" for name, value in headers)
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        size = -(-len(body) // PIECE_COUNT)
        for start in range(0, len(body), size):
            if start:
                await asyncio.sleep(self.options.piece_s)
            writer.write(body[start : start + size])
            await writer.drain()
        self.record("answered", request)
        return None

    async def stream(self, request, writer):
        """Runs a streaming request; its events have increasing ids."""
        await asyncio.sleep(self.options.prefill_s)
        hops = request.headers.get("hop-count", "")
        self.record("run", request, hops=hops)
        if CRASHING in request.body:
            self.record("crashed", request)
            os._exit(1)
        first = int(request.headers.get("last-event-id") or 0) + 1
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Request-Id: {request.headers['request-id']}\r\n"
            f"Response-Signature: {self.options.id}.s\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(first, self.options.events + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.options.piece_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record("answered", request)
        return b""


def main():
    """Runs the replica until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--accelerator", default="")
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--heartbeat-s", type=float, default=1.2)
    parser.add_argument("--first-beat-s", type=float, default=0.0)
    parser.add_argument("--serves-s", type=float, default=3.0)
    parser.add_argument("--work-s", type=float, default=0.03)
    parser.add_argument("--piece-s", type=float, default=0.05)
    parser.add_argument("--body-bytes", type=int, default=800)
    parser.add_argument("--prefill-s", type=float, default=0.05)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--unframed", action="store_true")
    options = parser.parse_args()

    async def run():
        replica = Replica(options)
        server = await web.serve(replica.handle, "127.0.0.1", options.port)
        port = server.sockets[0].getsockname()[1]
        replica.address = f"127.0.0.1:{port}"
        print(f"listening {port}", flush=True)
        await replica.beat_forever()

    asyncio.run(run())


if __name__ == "__main__":
    main()
