"""Fake of the platform's object API and VM list.

Run `python -m tests.fakes.platform --port 0`.
"""

import argparse
import collections
import copy
import json
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import task

from tests.fakes import web

MAX_VALUE_BYTES = 1_000_000
MAX_CHANGES = 10_000
ERA_HEADER = "Object-Era"
NO_FAULTS = {"outage": "none", "delay_s": 0.0, "lose_replies": 0}


class Stored(NamedTuple):
    """An object, or its deletion if the value is None."""

    version: int
    value: object


class Change(NamedTuple):
    """A successful write."""

    version: int
    kind: str
    name: str
    value: object


def _object_response(kind, name, stored):
    return web.json_response(
        {
            "kind": kind,
            "name": name,
            "version": stored.version,
            "value": stored.value,
        }
    )


def _not_found_response(version):
    return web.json_response({"version": version}, 404)


class Platform:
    """State and request handler of the fake.

    Attributes:
        clock: Clock of delays and timeouts.
        version: Version of the last write.
        objects: Objects and deletions, by kind and name.
        changes: The newest writes.
        dropped_version: Version of the newest write that is no longer in
            `changes`.
        era: Number of restores.
        vms: The VM list, by name.
        vms_version: Version of the VM list.
        faults: Active faults, as set by `PUT /faults`.
        calls: Numbers of calls, by method and kind.
        waiting: Deferreds of the reads that wait for a change.
    """

    def __init__(self, clock):
        self.clock = clock
        self.version = 0
        self.objects = collections.defaultdict(dict)
        self.changes = []
        self.dropped_version = 0
        self.era = 0
        self.vms = {}
        self.vms_version = 0
        self.faults = dict(NO_FAULTS)
        self.calls = collections.defaultdict(collections.Counter)
        self.waiting = set()

    def handle(self, request, segments):
        """Handles a request; see `web.HandlerResource`."""
        method = request.method.decode()
        if segments[0] in ("faults", "stats", "log"):
            return self._handle_control(method, segments[0], request)
        if segments[0] == "vms" and method == "PUT":
            return self.put_vm(segments[1], json.load(request.content))
        kind = "vms" if segments[0] == "vms" else segments[1]
        self.calls[method][kind] += 1
        return self._handle_with_faults(kind, method, request, segments)

    def copy(self):
        """Returns a copy of the objects, to restore later."""
        return self.version, copy.deepcopy(self.objects), list(self.changes)

    def restore(self, copied):
        """Restores a copy: all later writes are gone.

        The history starts anew, and waiting reads are cut off.
        """
        self.version, objects, changes = copied
        self.objects = copy.deepcopy(objects)
        self.changes = list(changes)
        self.dropped_version = self.version
        self.era += 1
        waiting, self.waiting = self.waiting, set()
        for waiter in waiting:
            waiter.errback(ConnectionAbortedError("the store was restored"))

    def set_faults(self, faults):
        """Replaces all faults by the given ones."""
        self.faults = {**NO_FAULTS, **faults}
        self._wake_all()

    def _handle_control(self, method, page, request):
        if page == "faults" and method == "PUT":
            self.set_faults(json.load(request.content))
        pages = {
            "faults": self.faults,
            "stats": {"calls": self.calls, "waiting": len(self.waiting)},
            "log": [change._asdict() for change in self.changes],
        }
        return web.json_response(pages[page])

    def put_vm(self, name, vm):
        """Adds a VM to the list, or replaces it."""
        self.vms_version += 1
        self.vms[name] = {"name": name, **vm}
        self._wake_all()
        return web.json_response({"version": self.vms_version})

    def _current_outage(self, kind):
        kinds = self.faults.get("kinds")
        is_affected = kinds is None or kind in kinds
        return self.faults["outage"] if is_affected else "none"

    async def _apply_delay(self, kind):
        kinds = self.faults.get("kinds")
        if self.faults["delay_s"] and (kinds is None or kind in kinds):
            await task.deferLater(self.clock, self.faults["delay_s"])

    def _handle_with_faults(self, kind, method, request, segments):
        return defer.ensureDeferred(
            self._respond_with_faults(kind, method, request, segments)
        )

    async def _respond_with_faults(self, kind, method, request, segments):
        content = request.content.read()
        expected_etag = request.getHeader("if-match")
        must_create = request.getHeader("if-none-match") == "*"
        await self._hang_during_outage(kind)
        if self._current_outage(kind) == "refuse":
            return web.json_response({}, 503)
        await self._apply_delay(kind)
        if method == "GET":
            try:
                response = await self._read(kind, request, segments)
            except ConnectionAbortedError:
                return web.DROP_CONNECTION
            request.setHeader(ERA_HEADER, str(self.era))
            return response
        request.setHeader(ERA_HEADER, str(self.era))
        name = segments[2]
        if method == "DELETE":
            response = self._delete(kind, name, expected_etag)
        else:
            response = self._put(
                kind, name, content, expected_etag, must_create
            )
        return self._drop_reply_if_lossy(kind, response)

    async def _hang_during_outage(self, kind):
        if self._current_outage(kind) == "hang":
            await defer.Deferred()

    def _drop_reply_if_lossy(self, kind, response):
        kinds = self.faults.get("kinds")
        is_affected = kinds is None or kind in kinds
        if (
            response.status == 200
            and is_affected
            and self.faults["lose_replies"] > 0
        ):
            self.faults["lose_replies"] -= 1
            return web.DROP_CONNECTION
        return response

    async def _read(self, kind, request, segments):
        after = web.query_number(request, "after")
        timeout_s = web.query_number(request, "timeout_s") or 0.0
        deadline_s = self.clock.seconds() + timeout_s
        while True:
            if self._current_outage(kind) == "refuse":
                return web.json_response({}, 503)
            await self._hang_during_outage(kind)
            response = self._read_now(kind, segments, after)
            if response is not None:
                return response
            left_s = deadline_s - self.clock.seconds()
            if left_s <= 0:
                return web.Response(204)
            await self._wait_for_change(left_s)

    def _read_now(self, kind, segments, after):
        if segments[0] == "vms":
            return self._read_vms(after)
        if len(segments) == 2:
            return self._read_kind(kind, after)
        return self._read_object(kind, segments[2], after)

    def _read_vms(self, after):
        if after is not None and self.vms_version <= after:
            return None
        body = {"version": self.vms_version, "vms": list(self.vms.values())}
        return web.json_response(body)

    def _read_object(self, kind, name, after):
        stored = self.objects[kind].get(name, Stored(0, None))
        if after is not None and stored.version <= after:
            return None
        if stored.value is None:
            return _not_found_response(stored.version)
        return _object_response(kind, name, stored)

    def _read_kind(self, kind, after):
        if after is None:
            live_objects = self._live_objects(kind, self.objects[kind])
            return web.json_response(
                {"version": self.version, "objects": live_objects}
            )
        if after < self.dropped_version or after > self.version:
            return web.json_response({}, 410)
        names = {
            change.name
            for change in self.changes
            if change.kind == kind and change.version > after
        }
        if not names:
            return None
        body = {
            "version": self.version,
            "changed": self._live_objects(kind, names),
            "deleted": sorted(
                n for n in names if self.objects[kind][n].value is None
            ),
        }
        return web.json_response(body)

    def _live_objects(self, kind, names):
        found = [(name, self.objects[kind][name]) for name in sorted(names)]
        return [
            {"kind": kind, "name": name, **stored._asdict()}
            for name, stored in found
            if stored.value is not None
        ]

    def _current_version(self, kind, name):
        stored = self.objects[kind].get(name)
        if stored is None or stored.value is None:
            return 0
        return stored.version

    def _put(self, kind, name, content, expected_etag, must_create):
        if len(content) > MAX_VALUE_BYTES:
            return web.json_response({}, 413)
        current = self._current_version(kind, name)
        if must_create and current:
            return web.json_response({"version": current}, 412)
        if expected_etag is not None and expected_etag != f'"{current}"':
            return web.json_response({"version": current}, 412)
        if expected_etag is None and not must_create:
            return web.json_response({"error": "unconditional"}, 400)
        return self._commit(kind, name, json.loads(content))

    def _delete(self, kind, name, expected_etag):
        current = self._current_version(kind, name)
        if not current or expected_etag != f'"{current}"':
            return web.json_response({"version": current}, 412)
        return self._commit(kind, name, None)

    def _commit(self, kind, name, value):
        self.version += 1
        self.objects[kind][name] = Stored(self.version, value)
        self.changes.append(Change(self.version, kind, name, value))
        if len(self.changes) > MAX_CHANGES:
            self.dropped_version = self.changes.pop(0).version
        self._wake_all()
        return web.json_response({"version": self.version})

    async def _wait_for_change(self, timeout_s):
        waiter = defer.Deferred()
        self.waiting.add(waiter)
        timer = self.clock.callLater(timeout_s, self._wake_one, waiter)
        await waiter
        if timer.active():
            timer.cancel()

    def _wake_one(self, waiter):
        self.waiting.discard(waiter)
        waiter.callback(None)

    def _wake_all(self):
        for waiter in list(self.waiting):
            self._wake_one(waiter)


def main():
    """Runs the fake until it is stopped."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    web.run(Platform(reactor).handle, options.port)


if __name__ == "__main__":
    main()
