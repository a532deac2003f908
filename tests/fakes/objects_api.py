"""Stand-in of the users' object store, as its protocol page describes it.

Run as a process. `POST /control` sets what it does to calls: `mode` is
`up`, `busy` (503), `silent` (no answer) or `lose` (writes are done and not
answered), and `delay_s` slows every answer. Registrations of kind `servers`
expire after three missed heartbeats.
"""

import argparse
import json
import sys

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from tests.fakes import web

HISTORY_MAX = 2_000
EXPIRY_BEATS = 3


class Objects:
    """Objects by kind and name, with one revision counter."""

    def __init__(self, beat_s: float):
        self._beat_s = beat_s
        self._objects: dict[tuple[str, str], dict] = {}
        self._beaten_s: dict[str, float] = {}
        self._events: list[tuple[int, str, dict, bool]] = []
        self._waiting: list[defer.Deferred] = []
        self.revision = 1
        self.mode = "up"
        self.delay_s = 0.0

    def get(self, kind, name):
        """Returns an object, or None."""
        return self._objects.get((kind, name))

    def listed(self, kind):
        """Returns all objects of a kind by name."""
        return [
            item
            for (of_kind, _), item in sorted(self._objects.items())
            if of_kind == kind
        ]

    def put(self, kind, name, spec):
        """Stores a value; one that changes nothing makes no event."""
        before = self._objects.get((kind, name))
        if before is not None and _content(before["spec"]) == _content(spec):
            return before
        self.revision += 1
        item = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": None,
        }
        self._objects[kind, name] = item
        self._tell(kind, item, False)
        return item

    def delete(self, kind, name):
        """Removes an object."""
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._tell(kind, item, True)

    def beat(self, name, spec):
        """Takes a heartbeat of a target."""
        self._beaten_s[name] = reactor.seconds()
        return self.put("servers", name, spec)

    def expire(self):
        """Removes targets that missed their heartbeats."""
        oldest_s = reactor.seconds() - EXPIRY_BEATS * self._beat_s
        for name, beaten_s in list(self._beaten_s.items()):
            if beaten_s < oldest_s:
                del self._beaten_s[name]
                self.delete("servers", name)

    def since(self, kind, revision):
        """Returns the events of a kind after a revision; None if too old."""
        is_cut = len(self._events) == HISTORY_MAX
        if is_cut and revision < self._events[0][0]:
            return None
        return [
            {"object": item, "deleted": deleted}
            for at, of_kind, item, deleted in self._events
            if of_kind == kind and at > revision
        ]

    def changed(self):
        """Returns a Deferred of the next change."""
        waiting = defer.Deferred()
        self._waiting.append(waiting)
        return waiting

    def _tell(self, kind, item, deleted):
        self._events.append((self.revision, kind, item, deleted))
        del self._events[:-HISTORY_MAX]
        waiting, self._waiting = self._waiting, []
        for one in waiting:
            one.callback(None)


def _content(spec):
    """Returns a value without what each heartbeat changes."""
    if not isinstance(spec, dict):
        return spec
    return {key: value for key, value in spec.items() if key != "seq"}


class Pages:
    """Answers calls from the objects."""

    def __init__(self, objects: Objects):
        self._objects = objects

    def handle(self, request, segments):
        """Answers one call; returns a Deferred."""
        return defer.Deferred.fromCoroutine(self._handle(request, segments))

    async def _handle(self, request, segments):
        objects = self._objects
        body = request.content.read()
        value = json.loads(body) if body else None
        if segments == ["control"]:
            objects.mode = value.get("mode", objects.mode)
            objects.delay_s = value.get("delay_s", objects.delay_s)
            return web.json_answer({})
        if segments[:1] == ["beat"]:
            return web.json_answer(objects.beat(segments[1], value))
        if objects.delay_s:
            await task.deferLater(reactor, objects.delay_s)
        mode = objects.mode
        if mode == "busy":
            return web.json_answer({}, 503)
        if mode == "silent":
            await defer.Deferred()
        method = request.method.decode()
        answer = await self._call(method, segments[2:], request, value)
        if mode == "lose" and method != "GET":
            return web.DROP
        return answer

    async def _call(self, method, segments, request, value):
        kind = segments[0]
        name = segments[1] if len(segments) > 1 else None
        if method == "GET" and name is None:
            if b"watch" in request.args:
                return await self._watch(kind, request)
            return web.json_answer(
                {
                    "items": self._objects.listed(kind),
                    "has_more": False,
                    "as_of": self._objects.revision,
                }
            )
        if method == "GET":
            item = self._objects.get(kind, name)
            return web.json_answer(item or {}, 200 if item else 404)
        if method == "POST":
            name = value["metadata"]["name"]
            if self._objects.get(kind, name):
                return web.json_answer(self._objects.get(kind, name), 409)
            return web.json_answer(
                self._objects.put(kind, name, value["spec"])
            )
        return self._write(method, kind, name, request, value)

    def _write(self, method, kind, name, request, value):
        item = self._objects.get(kind, name)
        if item is None:
            return web.json_answer({}, 404)
        wanted = web.number_argument(request, "revision")
        if method == "PUT":
            wanted = value["metadata"].get("revision")
        if wanted is not None and wanted != item["metadata"]["revision"]:
            return web.json_answer(item, 409)
        if method == "DELETE":
            self._objects.delete(kind, name)
            return web.json_answer(item)
        return web.json_answer(self._objects.put(kind, name, value["spec"]))

    async def _watch(self, kind, request):
        revision = web.number_argument(request, "watch")
        until_s = reactor.seconds()
        until_s += web.number_argument(request, "wait_ms") / 1000.0
        while True:
            events = self._objects.since(kind, revision)
            if events is None:
                return web.json_answer({}, 410)
            left_s = until_s - reactor.seconds()
            if events or left_s <= 0:
                return web.json_answer(
                    {"events": events, "as_of": self._objects.revision}
                )
            waiting = self._objects.changed()
            waiting.addTimeout(left_s, reactor)
            try:
                await waiting
            except defer.TimeoutError:
                continue


def main(arguments=None) -> None:
    """Runs the store until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--beat-s", type=float, default=0.5)
    options = parser.parse_args(arguments)
    objects = Objects(options.beat_s)
    task.LoopingCall(objects.expire).start(options.beat_s)
    web.run(Pages(objects).handle, options.port)


if __name__ == "__main__":
    main(sys.argv[1:])
