"""Stand-in of the platform's store, as PROTOCOL describes it.

Registrations of kind `servers` are removed after three missed heartbeats,
which replicas send to `/beat/NAME`. That path and `/kept/NAME`, which stores
an entry of another writer, are not the system's to call.
"""

import argparse
import asyncio
import json
import time

import web

PAGE_OBJECTS = 500
MISSED_HEARTBEATS = 3


class Store:
    """Objects by kind and name, and the events of their changes."""

    def __init__(self, heartbeat_s):
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.beats_s = {}
        self.heartbeat_s = heartbeat_s

    def put(self, kind, name, spec, status=None):
        """Stores a value; one that is the same changes nothing."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["create_revision"] if known else None
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create_revision": created or self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self.objects[kind, name] = item
        self._record(kind, item, False)
        return item

    def delete(self, kind, name):
        """Removes an object, if it is there."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._record(kind, item, True)
        return item

    def beat(self, name, spec):
        """Writes the registration of a replica; only `seq` may differ."""
        self.beats_s[name] = time.monotonic()
        known = self.objects.get(("servers", name))
        old = {**known["spec"], "seq": 0} if known else None
        if old != {**spec, "seq": 0}:
            self.put("servers", name, spec)

    async def expire_forever(self):
        """Removes the registrations of replicas that fell silent."""
        while True:
            await asyncio.sleep(self.heartbeat_s / 4)
            limit_s = time.monotonic() - MISSED_HEARTBEATS * self.heartbeat_s
            for name in [n for n, at in self.beats_s.items() if at < limit_s]:
                del self.beats_s[name]
                self.delete("servers", name)

    def _record(self, kind, item, deleted):
        self.events.append(
            (self.revision, kind, {"object": item, "deleted": deleted})
        )
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, reader, writer):
        """Answers one call."""
        segments = request.path.strip("/").split("/")
        value = json.loads(request.body) if request.body else None
        if segments[0] == "beat":
            self.beat(segments[1], value)
            return web.response(200, {})
        if segments[0] == "kept":
            return web.response(200, self.put("servers", segments[1], value))
        if segments[:2] != ["api", "objects"]:
            return web.response(404, {})
        kind = segments[2]
        name = segments[3] if len(segments) > 3 else None
        if request.method == "GET" and name is None:
            if "watch" in request.query:
                return await self._watch(kind, request.query)
            return web.response(200, self._list(kind, request.query))
        if request.method == "GET":
            item = self.objects.get((kind, name))
            return web.response(200 if item else 404, item or {})
        if request.method == "POST":
            name = value["metadata"]["name"]
            if known := self.objects.get((kind, name)):
                return web.response(409, known)
            return web.response(201, self.put(kind, name, value["spec"]))
        known = self.objects.get((kind, name))
        if known is None:
            return web.response(404, {})
        expected = request.query.get("revision")
        if request.method == "PUT":
            expected = value["metadata"].get("revision")
        if expected and int(expected) != known["metadata"]["revision"]:
            return web.response(409, known)
        if request.method == "DELETE":
            self.beats_s.pop(name, None)
            return web.response(200, self.delete(kind, name))
        return web.response(200, self.put(kind, name, value["spec"]))

    def _list(self, kind, query):
        names = sorted(n for k, n in self.objects if k == kind)
        names = [name for name in names if name > query.get("after", "")]
        return {
            "items": [self.objects[kind, n] for n in names[:PAGE_OBJECTS]],
            "has_more": len(names) > PAGE_OBJECTS,
            "as_of": self.revision,
        }

    async def _watch(self, kind, query):
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self.changed
            found = [
                event
                for revision, of_kind, event in self.events
                if of_kind == kind and revision > int(query["watch"])
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return web.response(
                    200, {"events": found, "as_of": self.revision}
                )
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass


def main():
    """Runs the store until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--heartbeat-s", type=float, default=1.2)
    options = parser.parse_args()

    async def run():
        store = Store(options.heartbeat_s)
        server = await web.serve(store.handle, "127.0.0.1", options.port)
        print(f"listening {server.sockets[0].getsockname()[1]}", flush=True)
        await store.expire_forever()

    asyncio.run(run())


if __name__ == "__main__":
    main()
