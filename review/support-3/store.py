"""Stand-in of the platform's metadata store.

Objects have one revision counter. An answer takes 4 ms, as the sheets say.
Replicas write their entries at `PUT /beat/NAME`; an entry is removed after
three missed heartbeats.
"""

import argparse
import asyncio
import json
from urllib import parse

import http_messages as http

HISTORY_EVENTS = 5_000
ANSWER_S = 0.004
EXPIRY_HEARTBEATS = 3


class Store:
    """Objects by kind and name, with their history."""

    def __init__(self, heartbeat_s: float):
        self.heartbeat_s = heartbeat_s
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.beats_s: dict[str, float] = {}
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Stores a value; one that changes nothing is no new revision."""
        current = self.objects.get((kind, name))
        if current and _without_seq(current["spec"]) == _without_seq(spec):
            return current
        self.revision += 1
        created = (
            current["metadata"]["create_revision"]
            if current
            else self.revision
        )
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create_revision": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": {},
        }
        self.objects[kind, name] = item
        self._record(kind, item, False)
        return item

    def delete(self, kind, name):
        """Removes an object."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._record(kind, item, True)
        return item

    def _record(self, kind, item, is_deleted):
        self.events.append((self.revision, kind, item, is_deleted))
        del self.events[:-HISTORY_EVENTS]
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        """Removes the entries of replicas that are silent."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.heartbeat_s / 4)
            limit_s = loop.time() - EXPIRY_HEARTBEATS * self.heartbeat_s
            for name, beat_s in list(self.beats_s.items()):
                if beat_s < limit_s:
                    del self.beats_s[name]
                    self.delete("servers", name)

    async def serve(self, reader, writer):
        """Serves the calls of one connection."""
        while (request := await http.read_request(reader)) is not None:
            await asyncio.sleep(ANSWER_S)
            status, value = await self._handle(request)
            writer.write(http.encode_json(status, value, {"Store-Era": "0"}))
            try:
                await writer.drain()
            except ConnectionError:
                break
        writer.close()

    async def _handle(self, request):
        segments = [parse.unquote(one) for one in request.path.split("/")[1:]]
        query = dict(parse.parse_qsl(request.query))
        value = json.loads(request.body) if request.body else None
        if segments[0] == "beat":
            loop = asyncio.get_running_loop()
            if request.method == "DELETE":
                self.beats_s.pop(segments[1], None)
                self.delete("servers", segments[1])
                return 200, {}
            self.beats_s[segments[1]] = loop.time()
            return 200, self.put("servers", segments[1], value)
        kind = segments[2]
        name = segments[3] if len(segments) > 3 else None
        if request.method == "GET" and name is None:
            if "watch" in query:
                return await self._watch(kind, query)
            items = [
                item
                for (of_kind, _), item in sorted(self.objects.items())
                if of_kind == kind
            ]
            return 200, {
                "items": items,
                "has_more": False,
                "as_of": self.revision,
            }
        if request.method == "GET":
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        return self._write(request.method, kind, name, query, value)

    def _write(self, method, kind, name, query, value):
        if method == "POST":
            name = value["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 201, self.put(kind, name, value["spec"])
        item = self.objects.get((kind, name))
        if item is None:
            return 404, {}
        expected = query.get("revision")
        if method == "PUT":
            expected = value["metadata"].get("revision")
        if expected not in (None, "") and (
            int(expected) != item["metadata"]["revision"]
        ):
            return 409, item
        if method == "DELETE":
            return 200, self.delete(kind, name)
        return 200, self.put(kind, name, value["spec"])

    async def _watch(self, kind, query):
        after = int(float(query["watch"]))
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query.get("wait_ms", 0)) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            found = [
                {"object": item, "deleted": is_deleted}
                for at, of_kind, item, is_deleted in self.events
                if of_kind == kind and at > after
            ]
            left_s = end_s - loop.time()
            if found or left_s <= 0:
                return 200, {"events": found, "as_of": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue


def _without_seq(spec):
    if not isinstance(spec, dict):
        return spec
    return {name: value for name, value in spec.items() if name != "seq"}


async def main():
    """Runs the store until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--heartbeat-s", type=float, default=0.5)
    options = parser.parse_args()
    store = Store(options.heartbeat_s)
    server = await asyncio.start_server(store.serve, "127.0.0.1", options.port)
    expiring = asyncio.create_task(store.expire())
    print("listening", flush=True)
    async with server:
        await server.serve_forever()
    expiring.cancel()


if __name__ == "__main__":
    asyncio.run(main())
