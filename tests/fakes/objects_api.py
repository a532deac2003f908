"""Fake of the users' object store, as its protocol page describes it.

Runs as a process. `POST /control` injects faults: `mode` is `up`, `busy`
(503), `silent` (no response) or `lose` (writes take effect, but their
connection is closed without a response), and `delay_s` delays every response.
`copy` keeps a copy of all objects, and `restore` restores it: what was written
since is gone, and `Store-Era` rises.
Registrations of kind `servers` expire after three missed heartbeats.
"""

import argparse
import copy
import json
import sys

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from tests.fakes import web

ERA_HEADER = "Store-Era"
MAX_HISTORY_EVENTS = 2_000
EXPIRY_HEARTBEATS = 3


class Objects:
    """Objects by kind and name, with one revision counter.

    Attributes:
        revision: Revision of the last change.
        era: Number of restores.
        mode: Current fault, as set by `POST /control`.
        delay_s: Delay of each response.
    """

    def __init__(self, heartbeat_interval_s: float):
        self._heartbeat_interval_s = heartbeat_interval_s
        self._objects: dict[tuple[str, str], dict] = {}
        self._heartbeat_times_s: dict[str, float] = {}
        self._events: list[tuple[int, str, dict, bool]] = []
        self._change_waiters: list[defer.Deferred] = []
        self._copy: tuple | None = None
        self.revision = 1
        self.era = 0
        self.mode = "up"
        self.delay_s = 0.0

    def get(self, kind, name):
        """Returns an object, or None."""
        return self._objects.get((kind, name))

    def list_kind(self, kind):
        """Returns all objects of a kind, ordered by name."""
        return [
            item
            for (of_kind, _), item in sorted(self._objects.items())
            if of_kind == kind
        ]

    def put(self, kind, name, spec):
        """Stores a value; an unchanged value creates no revision or event."""
        current = self._objects.get((kind, name))
        if current is not None and _comparable_value(
            current["spec"]
        ) == _comparable_value(spec):
            return current
        self.revision += 1
        item = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": None,
        }
        self._objects[kind, name] = item
        self._record_event(kind, item, False)
        return item

    def delete(self, kind, name):
        """Removes an object."""
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._record_event(kind, item, True)

    def apply_heartbeat(self, name, spec):
        """Applies a heartbeat of a target, which renews its registration."""
        self._heartbeat_times_s[name] = reactor.seconds()
        return self.put("servers", name, spec)

    def expire(self):
        """Removes registrations of targets that missed heartbeats."""
        expiry_cutoff_s = (
            reactor.seconds() - EXPIRY_HEARTBEATS * self._heartbeat_interval_s
        )
        for name, heartbeat_s in list(self._heartbeat_times_s.items()):
            if heartbeat_s < expiry_cutoff_s:
                del self._heartbeat_times_s[name]
                self.delete("servers", name)

    def events_after(self, kind, revision):
        """Returns the events of a kind after a revision.

        Returns None if the history does not reach back to the revision, or
        the revision does not exist.
        """
        is_truncated = len(self._events) == MAX_HISTORY_EVENTS
        if is_truncated and revision < self._events[0][0]:
            return None
        if revision > self.revision or (
            self._copy and self.era and revision < self._copy[0]
        ):
            return None
        return [
            {"object": item, "deleted": deleted}
            for at, of_kind, item, deleted in self._events
            if of_kind == kind and at > revision
        ]

    def make_copy(self):
        """Keeps a copy of all objects and their revision."""
        self._copy = (self.revision, copy.deepcopy(self._objects))

    def restore(self):
        """Restores the copy; waiting watches are cut off."""
        self.revision, objects = self._copy
        self._objects = copy.deepcopy(objects)
        self._events.clear()
        self.era += 1
        waiters, self._change_waiters = self._change_waiters, []
        for waiter in waiters:
            waiter.errback(ConnectionAbortedError("the store was restored"))

    def next_change(self):
        """Returns a Deferred that fires at the next change of any object."""
        change = defer.Deferred()
        self._change_waiters.append(change)
        return change

    def _record_event(self, kind, item, deleted):
        self._events.append((self.revision, kind, item, deleted))
        del self._events[:-MAX_HISTORY_EVENTS]
        waiters, self._change_waiters = self._change_waiters, []
        for waiter in waiters:
            waiter.callback(None)


def _comparable_value(spec):
    """Returns a value without the heartbeat's sequence number."""
    if not isinstance(spec, dict):
        return spec
    return {key: value for key, value in spec.items() if key != "seq"}


class StoreHandler:
    """Request handler of the object store."""

    def __init__(self, objects: Objects):
        self._objects = objects

    def handle(self, request, segments):
        """Handles a request; returns a Deferred of the response."""
        return defer.Deferred.fromCoroutine(self._handle(request, segments))

    async def _handle(self, request, segments):
        objects = self._objects
        body = request.content.read()
        value = json.loads(body) if body else None
        if segments == ["control"]:
            objects.mode = value.get("mode", objects.mode)
            objects.delay_s = value.get("delay_s", objects.delay_s)
            if value.get("copy"):
                objects.make_copy()
            if value.get("restore"):
                objects.restore()
            return web.json_response({})
        if segments[:1] == ["beat"]:
            return web.json_response(
                objects.apply_heartbeat(segments[1], value)
            )
        if objects.delay_s:
            await task.deferLater(reactor, objects.delay_s)
        mode = objects.mode
        if mode == "busy":
            return web.json_response({}, 503)
        if mode == "silent":
            await defer.Deferred()
        method = request.method.decode()
        try:
            response = await self._handle_call(
                method, segments[2:], request, value
            )
        except ConnectionAbortedError:
            return web.DROP_CONNECTION
        request.setHeader(ERA_HEADER, str(objects.era))
        if mode == "lose" and method != "GET":
            return web.DROP_CONNECTION
        return response

    async def _handle_call(self, method, segments, request, value):
        kind = segments[0]
        name = segments[1] if len(segments) > 1 else None
        if method == "GET" and name is None:
            if b"watch" in request.args:
                return await self._watch(kind, request)
            return web.json_response(
                {
                    "items": self._objects.list_kind(kind),
                    "has_more": False,
                    "as_of": self._objects.revision,
                }
            )
        if method == "GET":
            item = self._objects.get(kind, name)
            return web.json_response(item or {}, 200 if item else 404)
        if method == "POST":
            name = value["metadata"]["name"]
            if self._objects.get(kind, name):
                return web.json_response(self._objects.get(kind, name), 409)
            return web.json_response(
                self._objects.put(kind, name, value["spec"])
            )
        return self._write(method, kind, name, request, value)

    def _write(self, method, kind, name, request, value):
        item = self._objects.get(kind, name)
        if item is None:
            return web.json_response({}, 404)
        expected_revision = web.query_number(request, "revision")
        if method == "PUT":
            expected_revision = value["metadata"].get("revision")
        if (
            expected_revision is not None
            and expected_revision != item["metadata"]["revision"]
        ):
            return web.json_response(item, 409)
        if method == "DELETE":
            self._objects.delete(kind, name)
            return web.json_response(item)
        return web.json_response(self._objects.put(kind, name, value["spec"]))

    async def _watch(self, kind, request):
        revision = web.query_number(request, "watch")
        deadline_s = reactor.seconds()
        deadline_s += web.query_number(request, "wait_ms") / 1000.0
        while True:
            events = self._objects.events_after(kind, revision)
            if events is None:
                return web.json_response({}, 410)
            left_s = deadline_s - reactor.seconds()
            if events or left_s <= 0:
                return web.json_response(
                    {"events": events, "as_of": self._objects.revision}
                )
            change = self._objects.next_change()
            change.addTimeout(left_s, reactor)
            try:
                await change
            except defer.TimeoutError:
                continue


def main(arguments=None) -> None:
    """Runs the fake until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--beat-s", type=float, default=0.5)
    options = parser.parse_args(arguments)
    objects = Objects(options.beat_s)
    task.LoopingCall(objects.expire).start(options.beat_s)
    web.run(StoreHandler(objects).handle, options.port)


if __name__ == "__main__":
    main(sys.argv[1:])
