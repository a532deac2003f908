"""A client of the object API whose calls end as a test says.

Each call waits until the test answers it: with its true outcome, with a
refusal, or as unknown, where the write took effect, will later, or never
does.
"""

from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.store import client

SETTINGS = {"retry_min_s": 0.1, "retry_max_s": 1.0}


class Call(NamedTuple):
    """A call that waits for its answer."""

    store: "ScriptedStore"
    is_write: bool
    kind: str
    name: str
    value: object
    version: int
    answer: defer.Deferred
    may_be_stale: bool = False


class Objects:
    """The objects and calls that several clients share."""

    def __init__(self):
        self.clock = task.Clock()
        self.version = 0
        self.stored = {}
        self.replaced = {}
        self.calls = []
        self.late = []
        self.slow = []

    def apply(self, call):
        """Carries out a call; returns its result or raises its error."""
        place = (call.kind, call.name)
        current = self.stored.get(place)
        if not call.is_write:
            return current
        if current is not None:
            self.replaced[place] = current
        if (current.version if current else 0) != call.version:
            if call.version:
                raise exceptions.VersionConflict("changed", current)
            raise exceptions.ObjectExists("exists", current)
        self.version += 1
        stored = client.StoredObject(*place, self.version, call.value)
        self.stored[place] = stored
        return stored

    def answer(self, call, how):
        """Ends a waiting call as the word says.

        Args:
            call: The call.
            how: `ok`, `slow`, `refused`, `lost`, `late` or `old`. A slow
                call takes effect now and is answered by `reply`; a read
                that may be stale is answered `old` by the version before.
        """
        self.calls.remove(call)
        if how == "old" and call.may_be_stale:
            place = (call.kind, call.name)
            self._fire(call, self.replaced.get(place))
            return
        if how == "refused" or not call.is_write and how in ("lost", "late"):
            self._fire(call, exceptions.StoreUnavailable("refused"))
            return
        if how == "late":
            self.late.append(call)
            self._fire(call, exceptions.WriteOutcomeUnknown("late"))
            return
        try:
            result = self.apply(call)
        except exceptions.StoreError as error:
            result = error
        if how == "lost":
            result = exceptions.WriteOutcomeUnknown("lost")
        if how == "slow":
            self.slow.append((call, result))
        else:
            self._fire(call, result)

    def reply(self, number):
        """Answers a slow call."""
        self._fire(*self.slow.pop(number))

    def land(self, call):
        """Lets a late write take effect, if its condition still holds."""
        self.late.remove(call)
        try:
            self.apply(call)
        except exceptions.StoreError:
            pass

    def _fire(self, call, result):
        if call.store.dead:
            return
        if isinstance(result, Exception):
            call.answer.errback(result)
        else:
            call.answer.callback(result)


class ScriptedStore:
    """The client of one process; a dead process gets no answers."""

    def __init__(self, objects, writer):
        self.objects = objects
        self.writer = writer
        self.reactor = objects.clock
        self.settings = SETTINGS
        self.dead = False

    def read(self, kind, name, may_be_stale=False):
        """Reads an object."""
        return self._call(False, kind, name, None, 0, may_be_stale)

    def create(self, kind, name, value):
        """Creates an object."""
        return self._call(True, kind, name, value, 0)

    def update(self, kind, name, value, version):
        """Replaces a version of an object."""
        return self._call(True, kind, name, value, version)

    def _call(self, is_write, kind, name, value, version, may_be_stale=False):
        # A cancelled call may still take effect, so its answer is kept.
        answer = defer.Deferred(lambda cancelled: None)
        self.objects.calls.append(
            Call(
                self,
                is_write,
                kind,
                name,
                value,
                version,
                answer,
                may_be_stale,
            )
        )
        return answer
