"""Stand-in for the platform's object API and VM list.

Run `python -m tests.fakes.platform --port 0`.
"""

import argparse
import collections
import json
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import task

from tests.fakes import web

VALUE_LIMIT_BYTES = 1_000_000
KEPT_CHANGES = 10_000
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


def _object_answer(kind, name, stored):
    return web.json_answer(
        {
            "kind": kind,
            "name": name,
            "version": stored.version,
            "value": stored.value,
        }
    )


def _gone(version):
    return web.json_answer({"version": version}, 404)


class Platform:
    """The state of the stand-in."""

    def __init__(self, clock):
        self.clock = clock
        self.version = 0
        self.objects = collections.defaultdict(dict)
        self.changes = []
        self.dropped_version = 0
        self.vms = {}
        self.vms_version = 0
        self.faults = dict(NO_FAULTS)
        self.calls = collections.defaultdict(collections.Counter)
        self.waiting = set()

    def handle(self, request, segments):
        """Answers one request; see `web.HandlerResource`."""
        method = request.method.decode()
        if segments[0] in ("faults", "stats", "log"):
            return self._control(method, segments[0], request)
        if segments[0] == "vms" and method == "PUT":
            return self.put_vm(segments[1], json.load(request.content))
        kind = "vms" if segments[0] == "vms" else segments[1]
        self.calls[method][kind] += 1
        return self._faulty(kind, method, request, segments)

    def set_faults(self, faults):
        """Sets faults; those not named end."""
        self.faults = {**NO_FAULTS, **faults}
        self._wake()

    def _control(self, method, page, request):
        if page == "faults" and method == "PUT":
            self.set_faults(json.load(request.content))
        pages = {
            "faults": self.faults,
            "stats": {"calls": self.calls, "waiting": len(self.waiting)},
            "log": [change._asdict() for change in self.changes],
        }
        return web.json_answer(pages[page])

    def put_vm(self, name, vm):
        """Adds or replaces a VM of the list."""
        self.vms_version += 1
        self.vms[name] = {"name": name, **vm}
        self._wake()
        return web.json_answer({"version": self.vms_version})

    def _outage(self, kind):
        kinds = self.faults.get("kinds")
        hit = kinds is None or kind in kinds
        return self.faults["outage"] if hit else "none"

    async def _after_delay(self, kind):
        kinds = self.faults.get("kinds")
        if self.faults["delay_s"] and (kinds is None or kind in kinds):
            await task.deferLater(self.clock, self.faults["delay_s"])

    def _faulty(self, kind, method, request, segments):
        return defer.ensureDeferred(
            self._faulty_steps(kind, method, request, segments)
        )

    async def _faulty_steps(self, kind, method, request, segments):
        content = request.content.read()
        match = request.getHeader("if-match")
        must_create = request.getHeader("if-none-match") == "*"
        await self._refuse_or_hang(kind)
        if self._outage(kind) == "refuse":
            return web.json_answer({}, 503)
        await self._after_delay(kind)
        if method == "GET":
            return await self._read(kind, request, segments)
        name = segments[2]
        if method == "DELETE":
            answer = self._delete(kind, name, match)
        else:
            answer = self._put(kind, name, content, match, must_create)
        return self._maybe_lost(kind, answer)

    async def _refuse_or_hang(self, kind):
        if self._outage(kind) == "hang":
            await defer.Deferred()

    def _maybe_lost(self, kind, answer):
        kinds = self.faults.get("kinds")
        hit = kinds is None or kind in kinds
        if answer.status == 200 and hit and self.faults["lose_replies"] > 0:
            self.faults["lose_replies"] -= 1
            return web.DROP
        return answer

    async def _read(self, kind, request, segments):
        after = web.number_argument(request, "after")
        timeout_s = web.number_argument(request, "timeout_s") or 0.0
        deadline_s = self.clock.seconds() + timeout_s
        while True:
            if self._outage(kind) == "refuse":
                return web.json_answer({}, 503)
            await self._refuse_or_hang(kind)
            answer = self._read_now(kind, segments, after)
            if answer is not None:
                return answer
            left_s = deadline_s - self.clock.seconds()
            if left_s <= 0:
                return web.Answer(204)
            await self._change_or_timeout(left_s)

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
        return web.json_answer(body)

    def _read_object(self, kind, name, after):
        stored = self.objects[kind].get(name, Stored(0, None))
        if after is not None and stored.version <= after:
            return None
        if stored.value is None:
            return _gone(stored.version)
        return _object_answer(kind, name, stored)

    def _read_kind(self, kind, after):
        if after is None:
            live = self._live(kind, self.objects[kind])
            return web.json_answer({"version": self.version, "objects": live})
        if after < self.dropped_version:
            return web.json_answer({}, 410)
        names = {
            change.name
            for change in self.changes
            if change.kind == kind and change.version > after
        }
        if not names:
            return None
        body = {
            "version": self.version,
            "changed": self._live(kind, names),
            "deleted": sorted(
                n for n in names if self.objects[kind][n].value is None
            ),
        }
        return web.json_answer(body)

    def _live(self, kind, names):
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

    def _put(self, kind, name, content, match, must_create):
        if len(content) > VALUE_LIMIT_BYTES:
            return web.json_answer({}, 413)
        current = self._current_version(kind, name)
        if must_create and current:
            return web.json_answer({"version": current}, 412)
        if match is not None and match != f'"{current}"':
            return web.json_answer({"version": current}, 412)
        if match is None and not must_create:
            return web.json_answer({"error": "unconditional"}, 400)
        return self._commit(kind, name, json.loads(content))

    def _delete(self, kind, name, match):
        current = self._current_version(kind, name)
        if not current or match != f'"{current}"':
            return web.json_answer({"version": current}, 412)
        return self._commit(kind, name, None)

    def _commit(self, kind, name, value):
        self.version += 1
        self.objects[kind][name] = Stored(self.version, value)
        self.changes.append(Change(self.version, kind, name, value))
        if len(self.changes) > KEPT_CHANGES:
            self.dropped_version = self.changes.pop(0).version
        self._wake()
        return web.json_answer({"version": self.version})

    async def _change_or_timeout(self, timeout_s):
        woken = defer.Deferred()
        self.waiting.add(woken)
        timer = self.clock.callLater(timeout_s, self._wake_one, woken)
        await woken
        if timer.active():
            timer.cancel()

    def _wake_one(self, woken):
        self.waiting.discard(woken)
        woken.callback(None)

    def _wake(self):
        for woken in list(self.waiting):
            self._wake_one(woken)


def main():
    """Runs the stand-in."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    web.run(Platform(reactor).handle, options.port)


if __name__ == "__main__":
    main()
