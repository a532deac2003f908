"""A small plain replica: one process, one service, HTTP/1.1 on loopback.

It registers itself in the store, answers `GET /health`, and runs every other
request: it waits for the work time, then answers with a signed body of two
lines. A request with another `Target-Instance` gets 421. Each run is appended
to the record before it is answered.

`POST /control` changes how it behaves:
    work_s      time that a request runs before its answer begins
    unframed    the answer has neither a length nor chunks; it ends with its
                connection
    pause_s     time between the first and the second half of the body
    hold        requests that arrive are run, but not answered
    leave       the registration is removed from the store; all answers carry
                `Server-Leaving: 1`
"""

import argparse
import asyncio
import json
import os
import secrets
import time
from urllib import parse
from urllib import request as urllib_request

BODY_LINE_BYTES = 600


def body_of(request_id):
    """Returns the only whole body of the answer to a request."""
    first = f"begin {request_id} ".encode().ljust(BODY_LINE_BYTES, b"a")
    second = f" {request_id} end".encode().rjust(BODY_LINE_BYTES, b"z")
    return first + b"\n" + second + b"\n"


class Replica:
    """State of the replica."""

    def __init__(self, options):
        self.options = options
        self.id = f"i-{secrets.token_hex(4)}"
        self.born_ms = int(time.time() * 1000)
        self.address = ""
        self.beats = 0
        self.is_leaving = False
        self.behaviour = {
            "work_s": options.work_s,
            "unframed": False,
            "pause_s": 0.0,
            "hold": False,
        }

    def record(self, what, **fields):
        """Appends a line to the record, also if the process is killed."""
        line = {
            "at": round(time.time(), 4),
            "who": self.options.name,
            "what": what,
            **fields,
        }
        with open(self.options.record, "a") as record:
            record.write(json.dumps(line) + "\n")

    def call_store(self, method, path, value=None):
        """Sends one request to the store."""
        body = None if value is None else json.dumps(value).encode()
        call = urllib_request.Request(
            f"http://{self.options.store}{path}", body, method=method
        )
        with urllib_request.urlopen(call, timeout=2) as answer:
            return answer.read()

    def beat(self):
        """Renews the registration."""
        self.beats += 1
        registration = {
            "backend": self.options.service,
            "address": self.address,
            "zone": "dc-a",
            "slots": 32,
            "state": "ready",
            "version": "1",
            "warmup_left_ms": 0,
            "born": self.born_ms,
            "seq": self.beats,
        }
        self.call_store("POST", f"/beat/{self.id}", registration)

    async def beat_forever(self):
        """Renews the registration until the replica leaves."""
        while not self.is_leaving:
            try:
                await asyncio.to_thread(self.beat)
            except OSError as error:
                self.record("beat_failed", error=str(error))
            await asyncio.sleep(self.options.beat_s)

    async def leave(self):
        """Removes the registration; the replica goes on serving."""
        self.is_leaving = True
        await asyncio.to_thread(
            self.call_store, "DELETE", f"/api/objects/servers/{self.id}"
        )
        self.record("entry_removed", id=self.id)

    async def serve_connection(self, reader, writer):
        """Serves the requests of one connection, one after the other."""
        try:
            while await self.serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve_request(self, reader, writer):
        """Serves one request; returns whether the connection is kept."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, separator, value = line.partition(":")
            if separator:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        path = parse.urlsplit(target).path
        if path == "/control":
            return await self.apply_control(json.loads(body), writer)
        if path == "/health":
            return await self.answer(
                writer, 200, b"", {"Instance-Id": self.id}
            )
        if path.startswith("/api/"):
            return await self.answer(writer, 404, b"", {})
        return await self.run(method, path, headers, writer)

    async def apply_control(self, control, writer):
        """Changes the behaviour."""
        if control.pop("leave", False):
            await self.leave()
        self.behaviour.update(control)
        return await self.answer(writer, 200, b"{}", {})

    async def run(self, method, path, headers, writer):
        """Runs a request of a client."""
        request_id = headers.get("request-id", "")
        if headers.get("target-instance", self.id) != self.id:
            self.record("wrong_target", id=request_id)
            return await self.answer(writer, 421, b"", {"Not-Executed": "1"})
        if not request_id:
            return await self.answer(writer, 400, b"", {"Not-Executed": "1"})
        self.record("run", id=request_id, method=method, path=path)
        behaviour = dict(self.behaviour)
        await asyncio.sleep(behaviour["work_s"])
        if behaviour["hold"]:
            await asyncio.Event().wait()
        signed = {
            "Request-Id": request_id,
            "Response-Signature": f"{self.id}.{request_id}",
        }
        return await self.answer(
            writer, 200, body_of(request_id), signed, behaviour
        )

    async def answer(self, writer, status, body, headers, behaviour=None):
        """Writes an answer; returns whether the connection is kept."""
        behaviour = behaviour or {"unframed": False, "pause_s": 0.0}
        headers = dict(headers)
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if behaviour["unframed"]:
            headers["Connection"] = "close"
        else:
            headers["Content-Length"] = str(len(body))
        head = f"HTTP/1.1 {status} -\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in headers.items()
        )
        half = len(body) // 2
        writer.write(head.encode() + b"\r\n" + body[:half])
        await writer.drain()
        if behaviour["pause_s"]:
            self.record("half_sent", id=headers.get("Request-Id", ""))
            await asyncio.sleep(behaviour["pause_s"])
        writer.write(body[half:])
        await writer.drain()
        return not behaviour["unframed"]


async def main():
    """Runs the replica until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", default="plain")
    parser.add_argument("--store", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--beat-s", type=float, default=0.5)
    parser.add_argument("--work-s", type=float, default=0.02)
    replica = Replica(parser.parse_args())
    server = await asyncio.start_server(
        replica.serve_connection, "127.0.0.1", replica.options.port
    )
    port = server.sockets[0].getsockname()[1]
    replica.address = f"127.0.0.1:{port}"
    replica.record("start", id=replica.id, pid=os.getpid())
    print(f"listening {replica.address}", flush=True)
    await replica.beat_forever()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
