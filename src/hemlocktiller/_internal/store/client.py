"""Client of the platform's object API.

When the reply of a write is lost, the client reads the object back and
determines the outcome from the envelope of its value; see `writes`.

The platform's revisions are joined with the era of the store to versions, see
`versions`. An answer of an earlier era than the newest one known is dropped.
"""

from collections.abc import Callable
import secrets
from typing import Any

import logbook
import prometheus_client
from twisted.internet import defer

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.schemas import entry_settings
from hemlocktiller._internal.store import objects
from hemlocktiller._internal.store import transport
from hemlocktiller._internal.store import versions
from hemlocktiller._internal.store import writes

MAX_WRITE_ATTEMPTS = 3
NONCE_BYTES = 12
# The watch after one that was not answered is answered at once, which shows
# whether the store is there and what had changed before.
CHECK_WAIT_S = 0.001

# Raised where an answer lacks a field, or where a field has another type.
_STRUCTURE_ERRORS = (KeyError, TypeError, AttributeError, ValueError)

_LOG = logbook.Logger(__name__)

StoredObject = objects.StoredObject
Listing = objects.Listing
Changes = objects.Changes

_CALLS = prometheus_client.Counter(
    "hemlocktiller_store_calls",
    "Calls to the platform's store",
    ["method", "kind"],
)
_RESULTS = prometheus_client.Counter(
    "hemlocktiller_store_call_results",
    "Calls to the platform's store by how they ended",
    ["kind", "outcome"],
)
_ERA = prometheus_client.Gauge(
    "hemlocktiller_store_era",
    "Number of times that the platform's store was restored from a copy",
)
_OUTDATED_ANSWERS = prometheus_client.Counter(
    "hemlocktiller_store_outdated_answers",
    "Answers dropped because the store was restored after them",
    ["kind"],
)
_LOST_REPLIES = prometheus_client.Counter(
    "hemlocktiller_store_lost_replies",
    "Writes whose reply was lost",
    ["kind"],
)


class VersionTooOld(exceptions.StoreError):
    """The store no longer has the changes since a version.

    The caller must read all objects of the kind again.
    """


class ObjectStore:
    """Reads, watches and conditionally writes objects.

    Attributes:
        settings: Settings of the object API, with defaults filled in.
        watch_timeouts_s: Timeouts of watch requests by kind, for kinds
            whose timeout differs from `watch_timeout_s` of the settings.
        watch_pauses_s: Pauses of a watch after a change by kind, for kinds
            whose pause differs from that of the watch.
        writer: Id of this process, new at each start.
        era: Newest era of the store that is known; None before the first
            answer.
        on_new_era: Called with the era after the store was restored.
        reactor: Reactor that schedules the calls and their timeouts.
    """

    def __init__(
        self,
        settings: entry_settings.Store,
        writer: str,
        reactor,
        agent=None,
        custom_transport=None,
    ):
        """Creates a client.

        Args:
            settings: Settings of the object API.
            writer: Id of this process.
            reactor: Reactor that schedules the calls and their timeouts.
            agent: HTTP agent to use instead of a new one.
            custom_transport: Transport to use instead of
                `transport.Transport`, for platforms with another API.
        """
        self.settings = settings
        self.watch_timeouts_s: dict[str, float] = {}
        self.watch_pauses_s: dict[str, float] = {}
        self.reactor = reactor
        self.writer = writer
        self.era: int | None = None
        self.on_new_era: list[Callable[[int], None]] = []
        # Paths of watches whose last call was cut off.
        self._cut_off: set[tuple[str, ...]] = set()
        # Paths of watches, and of those whose next call doesn't wait.
        self._watched: set[tuple[str, ...]] = set()
        self._unanswered: set[tuple[str, ...]] = set()
        self._transport = custom_transport or transport.Transport(
            settings, reactor, agent
        )

    def check_watches(self) -> None:
        """Has the next call of each watch answered at once.

        Its answer holds what had changed before, apart from what changes
        later.
        """
        self._unanswered |= self._watched

    def learn_era(self, era: int) -> None:
        """Takes note of the era of an answer, or of a peer's version.

        The callbacks are called before the answer is used. They must not
        cancel calls, as its own may be among them.
        """
        if self.era is not None and era <= self.era:
            return
        is_first = self.era is None
        self.era = era
        _ERA.set(era)
        if is_first:
            return
        _LOG.warning("the store was restored from a copy: era {}", era)
        for callback in list(self.on_new_era):
            callback(era)

    def is_current(self, version: int) -> bool:
        """Returns whether a version is of the newest era known."""
        return versions.era_of(version) == (self.era or 0)

    def close(self) -> defer.Deferred:
        """Closes the idle connections."""
        return self._transport.close()

    def read(
        self, kind: str, name: str, may_be_stale: bool = False
    ) -> "defer.Deferred[StoredObject | None]":
        """Reads an object; None if it does not exist.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            may_be_stale: Whether the platform may answer with a state that
                is some seconds old, which is cheaper on some platforms.

        Raises:
            StoreUnavailable: The object could not be read.
        """
        return _start(
            self._read(kind, name, may_be_stale), exceptions.StoreUnavailable
        )

    def read_all(
        self, kind: str, may_be_stale: bool = False
    ) -> "defer.Deferred[Listing]":
        """Reads all objects of a kind.

        Args:
            kind: Kind of the objects.
            may_be_stale: Whether the platform may answer with a state that
                is some seconds old, which is cheaper on some platforms.

        Raises:
            StoreUnavailable: The kind could not be read.
        """
        return _start(
            self._read_all(kind, may_be_stale), exceptions.StoreUnavailable
        )

    def wait_for_object(
        self, kind: str, name: str, after: int
    ) -> "defer.Deferred[tuple[int, StoredObject | None] | None]":
        """Waits for a version of an object above `after` by a long poll.

        Returns:
            A Deferred that fires with the version and the object, which is
            None if the object does not exist; with None alone if nothing
            changed before the timeout.

        Raises:
            StoreUnavailable: The platform did not answer.
        """
        return _start(
            self._wait_for_object(kind, name, after),
            exceptions.StoreUnavailable,
        )

    def wait_for_changes(
        self, kind: str, after: int
    ) -> "defer.Deferred[Changes | None]":
        """Waits for changes of a kind after a version by a long poll.

        Returns:
            A Deferred that fires with the changes; with None if nothing
            changed before the timeout.

        Raises:
            VersionTooOld: The store no longer has the changes since `after`.
            StoreUnavailable: The platform did not answer.
        """
        return _start(
            self._wait_for_changes(kind, after), exceptions.StoreUnavailable
        )

    def wait_for_vms(self, after: int) -> "defer.Deferred[dict | None]":
        """Waits for a VM list newer than version `after` by a long poll.

        Returns:
            A Deferred that fires with the list as the platform sent it;
            with None if there was no newer list before the timeout.

        Raises:
            StoreUnavailable: The platform did not answer.
        """
        return _start(self._wait_for_vms(after), exceptions.StoreUnavailable)

    def create(
        self, kind: str, name: str, value: Any
    ) -> "defer.Deferred[StoredObject]":
        """Creates an object.

        Raises:
            ObjectExists: An object of that name already exists.
            StoreUnavailable: Nothing was written.
            WriteOutcomeUnknown: Whether the object was written is unknown.
        """
        return self.update(kind, name, value, 0)

    def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> "defer.Deferred[StoredObject]":
        """Replaces the given version of an object.

        Raises:
            VersionConflict: The object has another version or is gone.
            StoreUnavailable: Nothing was written.
            WriteOutcomeUnknown: Whether the object was written is unknown.
        """
        nonce = secrets.token_hex(NONCE_BYTES)
        body = objects.encode_envelope(value, self.writer, nonce, version)
        write = writes.Write(kind, name, version, nonce, value, body)
        return _start(
            self._write("PUT", write), exceptions.WriteOutcomeUnknown
        )

    def delete(
        self, kind: str, name: str, version: int
    ) -> "defer.Deferred[None]":
        """Deletes the given version of an object.

        Succeeds if the object does not exist.

        Raises:
            VersionConflict: The object has another version.
            StoreUnavailable: Nothing was deleted.
            WriteOutcomeUnknown: Whether the object was deleted is unknown.
        """
        write = writes.Write(kind, name, version)
        return _start(
            self._write("DELETE", write), exceptions.WriteOutcomeUnknown
        )

    async def _read(self, kind, name, may_be_stale):
        with_origin = await self._read_with_origin(kind, name, may_be_stale)
        return with_origin.stored if with_origin else None

    async def _read_with_origin(self, kind, name, may_be_stale=False):
        """Returns an object with its last write, or None."""
        query = _staleness_query(may_be_stale)
        reply = await self._get("read", kind, ("objects", kind, name), query)
        if reply.status == 404:
            return None
        body = _successful_body(reply)
        return writes.ObjectWithOrigin(
            objects.parse_object(kind, body, reply.era),
            objects.parse_origin(body),
        )

    async def _read_all(self, kind, may_be_stale):
        query = _staleness_query(may_be_stale)
        reply = await self._get("read_all", kind, ("objects", kind), query)
        body = _successful_body(reply)
        return Listing(
            versions.join(reply.era, body["version"]),
            objects.parse_objects(kind, body["objects"], reply.era),
        )

    async def _wait_for_object(self, kind, name, after):
        reply = await self._long_poll(kind, ("objects", kind, name), after)
        if reply.status == 204:
            return None
        if reply.status == 404:
            revision = (reply.body or {}).get("version", 0)
            return versions.join(reply.era, revision), None
        stored = objects.parse_object(kind, _successful_body(reply), reply.era)
        return stored.version, stored

    async def _wait_for_changes(self, kind, after):
        if not self.is_current(after):
            raise VersionTooOld(f"the store was restored after {after}")
        reply = await self._long_poll(kind, ("objects", kind), after)
        if reply.era != versions.era_of(after):
            # The revision was given out again, or the answer is an empty one.
            raise VersionTooOld(f"the store was restored after {after}")
        if reply.status == 204:
            return None
        if reply.status == 410:
            raise VersionTooOld(f"changes after {after} are not known")
        body = _successful_body(reply)
        changed = objects.parse_objects(kind, body["changed"], reply.era)
        version = versions.join(reply.era, body["version"])
        return Changes(version, changed, body["deleted"])

    async def _wait_for_vms(self, after):
        reply = await self._long_poll("vms", ("vms",), after)
        return None if reply.status == 204 else _successful_body(reply)

    async def _long_poll(self, kind, segments, after):
        default_wait_s = self.settings["watch_timeout_s"]
        wait_s = self.watch_timeouts_s.get(kind, default_wait_s)
        # Below 0 for "any version", also for one of an earlier era.
        revision = -1
        if after >= 0 and self.is_current(after):
            revision = versions.revision_of(after)
        self._watched.add(segments)
        was_cut_off = segments in self._cut_off
        if was_cut_off or segments in self._unanswered:
            wait_s = CHECK_WAIT_S
        query = {"after": revision, "timeout_s": wait_s}
        try:
            reply = await self._get("watch", kind, segments, query, wait_s)
        except exceptions.StoreUnavailable as lost_reply:
            self._unanswered.add(segments)
            if was_cut_off or lost_reply.outcome != transport.CONNECTION_LOST:
                raise
            self._cut_off.add(segments)
            raise exceptions.WatchCutOff.ended(
                str(lost_reply), lost_reply.outcome
            ) from lost_reply
        self._cut_off.discard(segments)
        self._unanswered.discard(segments)
        return reply

    async def _get(self, method, kind, segments, query=None, wait_s=0.0):
        _CALLS.labels(method, kind).inc()
        try:
            reply = await self._call(
                kind, "GET", segments, query, wait_s=wait_s
            )
            self._check_era(reply, kind)
        except exceptions.WriteOutcomeUnknown as lost_reply:
            raise exceptions.StoreUnavailable.ended(
                str(lost_reply), lost_reply.outcome, lost_reply.retry_after_s
            ) from lost_reply
        return reply

    async def _call(self, kind, *call, **options):
        """Makes a call and counts how it ended."""
        try:
            reply = await self._transport.call(*call, **options)
        except exceptions.StoreError as error:
            _RESULTS.labels(kind, error.outcome).inc()
            raise
        except defer.CancelledError:
            _RESULTS.labels(kind, "cancelled").inc()
            raise
        _RESULTS.labels(kind, "answered").inc()
        return reply

    def _check_era(self, reply, kind):
        """Learns the era of a reply.

        Raises:
            WriteOutcomeUnknown: The reply is of an earlier era, in which what
                it says has happened may be gone.
        """
        self.learn_era(reply.era)
        if reply.era < self.era:
            _OUTDATED_ANSWERS.labels(kind).inc()
            _LOG.warning(
                "dropped an answer of the store on {}: era {}, now {}",
                kind,
                reply.era,
                self.era,
            )
            raise exceptions.WriteOutcomeUnknown(
                f"an answer of era {reply.era}, now it is {self.era}"
            )

    async def _write(self, method, write):
        """Sends a write until its outcome is known.

        Gives up after `MAX_WRITE_ATTEMPTS` attempts.
        """
        lost_reply = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                reply = await self._send(method, write)
            except exceptions.StoreUnavailable as unavailable:
                if lost_reply:
                    raise lost_reply from unavailable
                raise
            except exceptions.WriteOutcomeUnknown as unknown_outcome:
                _LOST_REPLIES.labels(write.kind).inc()
                lost_reply = unknown_outcome
            else:
                if reply.status != 412:
                    return _written_object(write, reply)
            outcome = await self._read_back(write, lost_reply)
            if outcome is not None:
                return _unwrap_outcome(outcome)
        raise lost_reply or writes.conflict_error(write, None)

    async def _send(self, method, write):
        if write.base_version and not self.is_current(write.base_version):
            return transport.Reply(412, None, self.era or 0)
        _CALLS.labels(method.lower(), write.kind).inc()
        headers = {"If-None-Match": "*"}
        if write.base_version:
            revision = versions.revision_of(write.base_version)
            headers = {"If-Match": f'"{revision}"'}
        if write.body is not None:
            headers["Content-Type"] = "application/json"
        segments = ("objects", write.kind, write.name)
        reply = await self._call(
            write.kind, method, segments, headers=headers, body=write.body
        )
        self._check_era(reply, write.kind)
        return reply

    async def _read_back(self, write, lost_reply):
        """Reads the object back and returns the outcome of the write.

        Returns:
            The outcome; None if the write must be sent again.
        """
        try:
            read_back = await self._read_with_origin(write.kind, write.name)
        except exceptions.StoreUnavailable as read_error:
            raise lost_reply or writes.conflict_error(
                write, None
            ) from read_error
        return writes.resolve_outcome(
            write, read_back, reply_was_lost=bool(lost_reply)
        )


def _start(call, error_type):
    """Starts a call; returns a Deferred that fires with its result.

    Args:
        call: Coroutine of the call.
        error_type: Store error for an answer of another structure.
    """
    return defer.Deferred.fromCoroutine(_check_structure(call, error_type))


async def _check_structure(call, error_type):
    try:
        return await call
    except _STRUCTURE_ERRORS as error:
        raise error_type(
            f"the store's answer has another structure: {error!r}"
        ) from error


def _staleness_query(may_be_stale):
    """Returns the query arguments of a read."""
    return {"stale": 1} if may_be_stale else None


def _successful_body(reply):
    """Returns the body of a reply; raises unless it is a 200 with JSON."""
    if reply.status != 200 or reply.body is None:
        raise exceptions.StoreError(f"unexpected status {reply.status}")
    return reply.body


def _written_object(write, reply):
    """Returns the object that a write has stored; None for a delete.

    Raises:
        WriteOutcomeUnknown: The store was restored meanwhile, so the write
            may have replaced another one that got the same revision.
    """
    body = _successful_body(reply)
    version = versions.join(reply.era, body["version"])
    if writes.is_of_another_era(write, version):
        raise exceptions.WriteOutcomeUnknown(
            f"the store was restored before {write.kind} {write.name} was"
            " written"
        )
    if write.body is None:
        return None
    return StoredObject(write.kind, write.name, version, write.value)


def _unwrap_outcome(outcome):
    if outcome.is_error():
        raise outcome.error
    return outcome.ok
