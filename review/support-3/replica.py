"""What all stand-ins of replicas share: entry, journal and heartbeats."""

import argparse
import asyncio
import contextlib
import json
import os
import secrets
import signal
import time

import http_messages as http


class Replica:
    """One process of a service.

    It answers as the pages say: `Request-Id` and a receipt on each answer, 421
    to a request for another replica, `Not-Executed` where it has not run one.

    Attributes:
        id: Its id in the store.
        born_ms: Time of its start.
        options: Command line.
        is_leaving: Whether it drains.
    """

    def __init__(self, options: argparse.Namespace):
        self.options = options
        self.id = f"i-{secrets.token_hex(4)}"
        self.born_ms = int(time.time() * 1000)
        self.address = f"127.0.0.1:{options.port}"
        self.is_leaving = False
        self._sequence = 0
        self._journal = os.open(
            options.journal, os.O_WRONLY | os.O_APPEND | os.O_CREAT
        )

    def record(self, event: str, request_id: str = "", **fields) -> None:
        """Writes a line; it outlives a kill of this process."""
        line = {
            "at_s": round(time.monotonic(), 3),
            "replica": self.options.name,
            "event": event,
            "request": request_id,
            **fields,
        }
        os.write(self._journal, json.dumps(line).encode() + b"\n")

    def entry(self) -> dict:
        """Returns the entry of this replica in the store."""
        self._sequence += 1
        return {
            "backend": self.options.service,
            "address": self.address,
            "zone": self.options.zone,
            "version": 1,
            "slots": self.options.slots,
            "state": "draining" if self.is_leaving else "ready",
            "warmup_left_ms": 0,
            "seq": self._sequence,
            "born": self.born_ms,
        }

    async def beat(self) -> None:
        """Writes the entry once."""
        host, _, port = self.options.store.partition(":")
        body = json.dumps(self.entry()).encode()
        await http.exchange(
            (host, int(port)),
            http.encode_request("PUT", f"/beat/{self.id}", {}, body),
            1.0,
        )

    async def _beat_always(self):
        while True:
            await self.beat()
            await asyncio.sleep(self.options.heartbeat_s)

    def head(self, request_id: str, **more: str) -> dict[str, str]:
        """Returns the headers that each of its answers has."""
        headers = {
            "Request-Id": request_id,
            "Instance-Id": self.id,
            "Response-Signature": f"sig.{self.id}.{request_id}",
            **{name.replace("_", "-"): text for name, text in more.items()},
        }
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    def refusal(self, request: http.Request) -> bytes | None:
        """Returns the answer to a request that it doesn't run, or None."""
        request_id = request.headers.get("request-id", "")
        if request.headers.get("target-instance", self.id) != self.id:
            self.record("misdirected", request_id)
            return http.encode_json(
                421, {}, {"Request-Id": request_id, "Not-Executed": "1"}
            )
        if not request_id:
            return http.encode_json(400, {}, {"Not-Executed": "1"})
        return None

    def health(self) -> bytes:
        """Returns the answer to a status check."""
        return http.encode_json(
            503 if self.is_leaving else 200, {}, {"Instance-Id": self.id}
        )

    async def run(self, handle) -> None:
        """Serves until it is killed, or has drained after SIGTERM.

        Args:
            handle: Coroutine function that answers one request; it gets the
                request and the writer, and returns whether the connection
                stays open.
        """

        async def serve(reader, writer):
            with contextlib.suppress(ConnectionError):
                request = await http.read_request(reader)
                while request is not None and await handle(request, writer):
                    request = await http.read_request(reader)
            writer.close()

        server = await asyncio.start_server(
            serve, "127.0.0.1", self.options.port
        )
        beating = asyncio.create_task(self._beat_always())
        loop = asyncio.get_running_loop()
        stopped = loop.create_future()

        def drain():
            self.is_leaving = True
            asyncio.create_task(self.beat())
            loop.call_later(
                self.options.drain_s,
                lambda: stopped.done() or stopped.set_result(None),
            )

        loop.add_signal_handler(signal.SIGTERM, drain)
        self.record("start", born=self.born_ms, id=self.id)
        print("listening", flush=True)
        async with server:
            await stopped
        beating.cancel()


def parser(description: str) -> argparse.ArgumentParser:
    """Returns the options that all replicas have."""
    made = argparse.ArgumentParser(description=description)
    made.add_argument("--name", required=True)
    made.add_argument("--port", type=int, required=True)
    made.add_argument("--service", required=True)
    made.add_argument("--store", required=True)
    made.add_argument("--journal", required=True)
    made.add_argument("--zone", default="z-a")
    made.add_argument("--slots", type=int, default=6)
    made.add_argument("--heartbeat-s", type=float, default=0.5)
    made.add_argument("--drain-s", type=float, default=3.0)
    return made
