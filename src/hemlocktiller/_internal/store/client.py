"""Client of the platform's object API.

When the reply of a write is lost, the client reads the object back and
decides the outcome by the envelope of its value; see `writes`.
"""

import secrets
from typing import Any

import prometheus_client
from twisted.internet import defer

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.schemas import entry_settings
from hemlocktiller._internal.store import objects
from hemlocktiller._internal.store import transport
from hemlocktiller._internal.store import writes

WRITE_TRIES = 3
NONCE_BYTES = 12

StoredObject = objects.StoredObject
Listing = objects.Listing
Changes = objects.Changes

_CALLS = prometheus_client.Counter(
    "hemlocktiller_store_calls",
    "Calls to the platform's store",
    ["method", "kind"],
)
_LOST_REPLIES = prometheus_client.Counter(
    "hemlocktiller_store_lost_replies",
    "Writes whose reply was lost",
    ["kind"],
)


class HistoryTooOld(exceptions.StoreError):
    """The store no longer knows the changes asked for; read all again."""


class ObjectStore:
    """Reads, watches and conditionally writes objects.

    Attributes:
        settings: Settings of the object API, with defaults filled in.
        watch_timeouts_s: Times that watches of a kind wait for a change,
            where they differ from the settings.
        writer: Id of this process, new at each start.
        reactor: Reactor that times the calls.
    """

    def __init__(
        self,
        settings: entry_settings.Store,
        writer: str,
        reactor,
        agent=None,
        carrier=None,
    ):
        """Creates a client.

        Args:
            settings: Settings of the object API.
            writer: Id of this process.
            reactor: Reactor that times the calls.
            agent: HTTP agent to use instead of an own one.
            carrier: Carries the calls instead of `transport.Transport`,
                for platforms whose pages differ.
        """
        self.settings = settings
        self.watch_timeouts_s: dict[str, float] = {}
        self.reactor = reactor
        self.writer = writer
        self._transport = carrier or transport.Transport(
            settings, reactor, agent
        )

    def close(self) -> defer.Deferred:
        """Closes the kept connections."""
        return self._transport.close()

    def read(
        self, kind: str, name: str, may_be_stale: bool = False
    ) -> "defer.Deferred[StoredObject | None]":
        """Reads an object; None if it does not exist.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            may_be_stale: Whether an object some seconds old will do, which
                is cheaper on some platforms.

        Raises:
            StoreUnavailable: The object could not be read.
        """
        return defer.Deferred.fromCoroutine(
            self._read(kind, name, may_be_stale)
        )

    def read_all(
        self, kind: str, may_be_stale: bool = False
    ) -> "defer.Deferred[Listing]":
        """Reads all objects of a kind.

        Args:
            kind: Kind of the objects.
            may_be_stale: Whether objects some seconds old will do, which
                is cheaper on some platforms.

        Raises:
            StoreUnavailable: The kind could not be read.
        """
        return defer.Deferred.fromCoroutine(self._read_all(kind, may_be_stale))

    def wait_object(
        self, kind: str, name: str, after: int
    ) -> "defer.Deferred[tuple[int, StoredObject | None] | None]":
        """Waits for a version of an object above `after`.

        Returns:
            A Deferred of the version and the object, which is None if the
            object does not exist; None alone if nothing changed in time.

        Raises:
            StoreUnavailable: The platform did not answer.
        """
        return defer.Deferred.fromCoroutine(
            self._wait_object(kind, name, after)
        )

    def wait_kind(
        self, kind: str, after: int
    ) -> "defer.Deferred[Changes | None]":
        """Waits for changes of a kind after a version.

        Returns:
            A Deferred of the changes; None if nothing changed in time.

        Raises:
            HistoryTooOld: The changes since then are no longer known.
            StoreUnavailable: The platform did not answer.
        """
        return defer.Deferred.fromCoroutine(self._wait_kind(kind, after))

    def wait_vms(self, after: int) -> "defer.Deferred[dict | None]":
        """Waits for a VM list newer than `after`; None if there is none.

        Raises:
            StoreUnavailable: The platform did not answer.
        """
        return defer.Deferred.fromCoroutine(self._wait_vms(after))

    def create(
        self, kind: str, name: str, value: Any
    ) -> "defer.Deferred[StoredObject]":
        """Creates an object.

        Raises:
            ObjectExists: An object of that name was there already.
            StoreUnavailable: Nothing was written.
            WriteUnknown: It can't be told whether it was written.
        """
        return self.update(kind, name, value, 0)

    def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> "defer.Deferred[StoredObject]":
        """Replaces the given version of an object.

        Raises:
            VersionConflict: The object has another version or is gone.
            StoreUnavailable: Nothing was written.
            WriteUnknown: It can't be told whether it was written.
        """
        nonce = secrets.token_hex(NONCE_BYTES)
        body = objects.wrap(value, self.writer, nonce, version)
        write = writes.Write(kind, name, version, nonce, value, body)
        return defer.Deferred.fromCoroutine(self._write("PUT", write))

    def delete(
        self, kind: str, name: str, version: int
    ) -> "defer.Deferred[None]":
        """Deletes the given version of an object; absence is success.

        Raises:
            VersionConflict: The object has another version.
            StoreUnavailable: Nothing was deleted.
            WriteUnknown: It can't be told whether it was deleted.
        """
        write = writes.Write(kind, name, version)
        return defer.Deferred.fromCoroutine(self._write("DELETE", write))

    async def _read(self, kind, name, may_be_stale):
        found = await self._find(kind, name, may_be_stale)
        return found.stored if found else None

    async def _find(self, kind, name, may_be_stale=False):
        """Returns an object with the write that stored it, or None."""
        query = _staleness(may_be_stale)
        reply = await self._get("read", kind, ("objects", kind, name), query)
        if reply.status == 404:
            return None
        body = _expected(reply)
        return writes.Found(objects.stored(kind, body), objects.origin(body))

    async def _read_all(self, kind, may_be_stale):
        query = _staleness(may_be_stale)
        reply = await self._get("read_all", kind, ("objects", kind), query)
        body = _expected(reply)
        return Listing(
            body["version"], objects.all_stored(kind, body["objects"])
        )

    async def _wait_object(self, kind, name, after):
        reply = await self._wait(kind, ("objects", kind, name), after)
        if reply.status == 204:
            return None
        if reply.status == 404:
            version = (reply.body or {}).get("version", 0)
            return version, None
        stored = objects.stored(kind, _expected(reply))
        return stored.version, stored

    async def _wait_kind(self, kind, after):
        reply = await self._wait(kind, ("objects", kind), after)
        if reply.status == 204:
            return None
        if reply.status == 410:
            raise HistoryTooOld(f"changes after {after} are not known")
        body = _expected(reply)
        changed = objects.all_stored(kind, body["changed"])
        return Changes(body["version"], changed, body["deleted"])

    async def _wait_vms(self, after):
        reply = await self._wait("vms", ("vms",), after)
        return None if reply.status == 204 else _expected(reply)

    async def _wait(self, kind, segments, after):
        usual_s = self.settings["watch_timeout_s"]
        wait_s = self.watch_timeouts_s.get(kind, usual_s)
        query = {"after": after, "timeout_s": wait_s}
        return await self._get("watch", kind, segments, query, wait_s)

    async def _get(self, method, kind, segments, query=None, wait_s=0.0):
        _CALLS.labels(method, kind).inc()
        try:
            return await self._transport.call(
                "GET", segments, query, wait_s=wait_s
            )
        except exceptions.WriteUnknown as lost:
            raise exceptions.StoreUnavailable(str(lost)) from lost

    async def _write(self, method, write):
        """Sends a write until its outcome is known or tries run out."""
        lost = None
        for _ in range(WRITE_TRIES):
            try:
                reply = await self._send(method, write)
            except exceptions.StoreUnavailable as refused:
                if lost:
                    raise lost from refused
                raise
            except exceptions.WriteUnknown as unknown:
                _LOST_REPLIES.labels(write.kind).inc()
                lost = unknown
            else:
                if reply.status != 412:
                    return _written(write, _expected(reply))
            outcome = await self._read_back(write, lost)
            if outcome is not None:
                return _unwrapped(outcome)
        raise lost or writes.conflict(write, None)

    async def _send(self, method, write):
        _CALLS.labels(method.lower(), write.kind).inc()
        headers = {"If-None-Match": "*"}
        if write.base_version:
            headers = {"If-Match": f'"{write.base_version}"'}
        if write.body is not None:
            headers["Content-Type"] = "application/json"
        segments = ("objects", write.kind, write.name)
        return await self._transport.call(
            method, segments, headers=headers, body=write.body
        )

    async def _read_back(self, write, lost):
        """Returns the outcome that a read shows, or None if it does not."""
        try:
            found = await self._find(write.kind, write.name)
        except exceptions.StoreUnavailable as unread:
            raise lost or writes.conflict(write, None) from unread
        return writes.judge(write, found, may_have_run=bool(lost))


def _staleness(may_be_stale):
    """Returns the query of a read."""
    return {"stale": 1} if may_be_stale else None


def _expected(reply):
    """Returns the body of a successful reply."""
    if reply.status != 200 or reply.body is None:
        raise exceptions.StoreError(f"unexpected status {reply.status}")
    return reply.body


def _written(write, body):
    if write.body is None:
        return None
    return StoredObject(write.kind, write.name, body["version"], write.value)


def _unwrapped(outcome):
    if outcome.is_error():
        raise outcome.error
    return outcome.ok
