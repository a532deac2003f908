"""Fake client of the object API whose calls end as the test decides.

Each call is pending until the test completes it: with its actual result, with
a refusal, or with an unknown outcome. A write of unknown outcome has taken
effect, takes effect later, or never does.
"""

import copy
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import versions

SETTINGS = {"retry_min_s": 0.1, "retry_max_s": 1.0}


class Call(NamedTuple):
    """A pending call.

    Attributes:
        store: Client that made the call.
        is_write: Whether it creates or updates an object.
        kind: Kind of the object.
        name: Name of the object.
        value: New value of a write.
        version: Expected version of a write; 0 to create the object.
        answer: Fires with the result.
        may_be_stale: Whether a read may return the version before.
    """

    store: "ScriptedStore"
    is_write: bool
    kind: str
    name: str
    value: object
    version: int
    answer: defer.Deferred
    may_be_stale: bool = False


class Objects:
    """Stored objects and pending calls, shared by several clients.

    Attributes:
        clock: Virtual clock of the clients.
        version: Revision of the last write.
        era: Number of restores.
        stored: Objects by kind and name.
        previous: Their previous versions, by kind and name.
        calls: Pending calls.
        late: Writes of unknown outcome that may still take effect.
        slow: Calls that took effect, with results not yet returned.
    """

    def __init__(self):
        self.clock = task.Clock()
        self.version = 0
        self.era = 0
        self.stored = {}
        self.previous = {}
        self.calls = []
        self.late = []
        self.slow = []

    def apply(self, call):
        """Executes a call; returns its result or raises its error."""
        key = (call.kind, call.name)
        current = self.stored.get(key)
        if not call.is_write:
            return current
        if current is not None:
            self.previous[key] = current
        # The store compares revisions, whatever era they are of.
        current_revision = versions.revision_of(
            current.version if current else 0
        )
        if current_revision != versions.revision_of(call.version):
            if call.version:
                raise exceptions.VersionConflict("changed", current)
            raise exceptions.ObjectExists("exists", current)
        self.version += 1
        version = versions.join(self.era, self.version)
        stored = client.StoredObject(*key, version, call.value)
        self.stored[key] = stored
        return stored

    def copy(self):
        """Returns a copy of the objects, to restore later."""
        return self.version, copy.copy(self.stored)

    def restore(self, copied):
        """Restores a copy: what was written since is gone."""
        self.version, stored = copied
        self.era += 1
        self.stored = {
            key: one._replace(
                version=versions.join(
                    self.era, versions.revision_of(one.version)
                )
            )
            for key, one in stored.items()
        }
        self.previous.clear()

    def answer(self, call, how):
        """Completes a pending call.

        Args:
            call: The call.
            how: `ok` returns the result. `slow` executes the call now, and
                `reply` returns the result. `refused` fails without an
                effect. `lost` executes a write and `late` leaves it to
                `land`; both fail with an unknown outcome. `old` returns the
                version before to a read that may be stale.
        """
        self.calls.remove(call)
        if how == "old" and call.may_be_stale:
            key = (call.kind, call.name)
            self._fire(call, self.previous.get(key))
            return
        if how == "refused" or not call.is_write and how in ("lost", "late"):
            self._fire(call, exceptions.StoreUnavailable("refused"))
            return
        if how == "late":
            self.late.append(call)
            self._fire(call, exceptions.WriteOutcomeUnknown("late"))
            return
        result = self._execute(call)
        if how == "lost":
            self._fire(call, exceptions.WriteOutcomeUnknown("lost"))
        elif how == "slow":
            self.slow.append((call, result, self.era))
        else:
            self._fire_of_era(call, result, self.era)

    def reply(self, number):
        """Returns the result of a slow call."""
        self._fire_of_era(*self.slow.pop(number))

    def _execute(self, call):
        """Returns the result or error of a call, as its client gets it."""
        if call.version and not call.store.is_current(call.version):
            # The client reads the object instead of writing it.
            current = self.stored.get((call.kind, call.name))
            return exceptions.VersionConflict("outdated", current)
        try:
            result = self.apply(call)
        except exceptions.StoreError as error:
            return error
        if call.version and versions.era_of(call.version) != self.era:
            return exceptions.WriteOutcomeUnknown("restored meanwhile")
        return result

    def _fire_of_era(self, call, result, era):
        """Completes a call with an answer of an era, unless it is outdated."""
        if era < (call.store.era or 0):
            error = exceptions.StoreUnavailable
            if call.is_write:
                error = exceptions.WriteOutcomeUnknown
            self._fire(call, error("outdated"))
            return
        if not call.store.dead:
            call.store.learn_era(era)
        self._fire(call, result)

    def land(self, call):
        """Executes a late write, if its version condition still holds."""
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
    """The client of one process; a dead process gets no results."""

    def __init__(self, objects, writer):
        self.objects = objects
        self.writer = writer
        self.reactor = objects.clock
        self.settings = SETTINGS
        self.dead = False
        self.era = None
        self.on_new_era = []

    def learn_era(self, era):
        """Takes note of the era of an answer."""
        previous, self.era = self.era, era
        if previous is not None and era > previous:
            for callback in self.on_new_era:
                callback(era)

    def is_current(self, version):
        """Returns whether a version is of the newest era known."""
        return versions.era_of(version) == (self.era or 0)

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
        # A cancelled call may still take effect, so it stays pending.
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
