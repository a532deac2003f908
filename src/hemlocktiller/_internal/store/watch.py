"""Watches of objects and kinds by long polling.

A watch reports only versions above the last one that it reported, also
after an outage, and never ends by itself.
"""

from collections.abc import Callable
import random
from typing import Any
from typing import Protocol

import logbook
import prometheus_client
from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.schemas import entry_settings
from hemlocktiller._internal.store import client

_LOG = logbook.Logger(__name__)
_FAILURES = prometheus_client.Counter(
    "hemlocktiller_store_watch_failures",
    "Watch calls that the object API did not answer",
    ["subject"],
)
_BACKOFF_EXPONENT_MAX = 16
_NEVER_READ = -1
# Many objects of a kind change together when a rack or a data centre comes
# back; a pause lets one poll bring them all.
KIND_PAUSE_S = 1.0


class OnChanges(Protocol):
    """Receives changes of a kind; `whole` says that `changed` is all."""

    def __call__(
        self,
        changed: list[client.StoredObject],
        deleted: list[str],
        whole: bool,
    ) -> None:
        """Handles the changes."""


def backoff_s(settings: entry_settings.Store, failures: int) -> float:
    """Returns a wait in seconds after a count of failures, with jitter."""
    exponent = min(failures, _BACKOFF_EXPONENT_MAX)
    longest_s = min(
        settings["retry_max_s"], settings["retry_min_s"] * 2**exponent
    )
    return random.uniform(longest_s / 2, longest_s)


class Watch:
    """Repeats a poll until it is stopped.

    The poll is a function that returns a Deferred of the seconds to wait
    before the next poll.

    Attributes:
        on_failure: Called after each poll that failed.
    """

    def __init__(
        self,
        store: client.ObjectStore,
        subject: str,
        poll: Callable[[], Any],
    ):
        self._store = store
        self._subject = subject
        self._poll = poll
        self._stopped = False
        self._failures = 0
        self._polling: defer.Deferred = defer.succeed(None)
        self.on_failure: Callable[[], None] = lambda: None
        self._running = defer.Deferred.fromCoroutine(self._run())
        self._running.addErrback(self._ended)

    def stop(self) -> None:
        """Ends the watch; nothing is reported afterwards."""
        self._stopped = True
        self._running.cancel()

    def renew(self) -> None:
        """Polls anew; the platform may have forgotten a waiting poll."""
        if not self._stopped:
            self._polling.cancel()

    async def _run(self):
        while not self._stopped:
            wait_s = await self._poll_once()
            if wait_s > 0 and not self._stopped:
                await task.deferLater(self._store.reactor, wait_s)

    async def _poll_once(self):
        try:
            self._polling = defer.Deferred.fromCoroutine(self._poll())
            wait_s = await self._polling
        except exceptions.StoreError as error:
            return self._failed(error)
        except defer.CancelledError:
            return 0.0
        if self._failures and not self._stopped:
            _LOG.info("watch of {} goes on", self._subject)
        self._failures = 0
        return wait_s

    def _failed(self, error):
        if self._stopped:
            return 0.0
        _FAILURES.labels(self._subject).inc()
        self.on_failure()
        if not self._failures:
            _LOG.warning("watch of {} fails: {}", self._subject, error)
        wait_s = backoff_s(self._store.settings, self._failures)
        self._failures += 1
        return wait_s

    def _ended(self, failure):
        if not self._stopped:
            _LOG.error(
                "watch of {} ended: {}",
                self._subject,
                failure.getTraceback(),
            )


def report(callback: Callable[..., None], *arguments: Any) -> None:
    """Calls a function; its errors are logged, so that a watch goes on."""
    try:
        callback(*arguments)
    except Exception:
        _LOG.exception("a watch's receiver failed")


def follow(
    store: client.ObjectStore,
    kind: str,
    name: str,
    on_object: Callable[[client.StoredObject | None], None],
) -> Watch:
    """Follows one object.

    The receiver is called once the object was first read, and then for
    each higher version; None stands for an object that does not exist.
    """
    last = _NEVER_READ

    async def poll():
        nonlocal last
        news = await store.wait_object(kind, name, last)
        if news is None:
            return 0.0
        version, stored = news
        if version <= last:
            return store.settings["retry_max_s"]
        last = version
        report(on_object, stored)
        return 0.0

    return Watch(store, f"{kind}/{name}", poll)


def follow_kind(
    store: client.ObjectStore,
    kind: str,
    on_changes: OnChanges,
    pause_s: float = KIND_PAUSE_S,
) -> Watch:
    """Follows all objects of a kind.

    The receiver first gets the whole kind, and the whole kind again when
    the store no longer knows what changed.

    Args:
        store: Client of the object API.
        kind: Kind of the objects.
        on_changes: Called with what changed.
        pause_s: Wait after a change, so that one poll brings many.
    """
    last = _NEVER_READ
    must_read_all = True

    async def read_all():
        nonlocal last, must_read_all
        listing = await store.read_all(kind)
        if listing.version < last:
            raise exceptions.StoreUnavailable("the listing is too old")
        last = listing.version
        must_read_all = False
        report(on_changes, listing.objects, [], True)
        return 0.0

    async def read_changes():
        nonlocal last, must_read_all
        try:
            changes = await store.wait_kind(kind, last)
        except client.HistoryTooOld:
            must_read_all = True
            return backoff_s(store.settings, 0)
        if changes is not None and changes.version > last:
            last = changes.version
            report(on_changes, changes.changed, changes.deleted, False)
            return pause_s if changes.changed else 0.0
        return 0.0

    async def poll():
        return await (read_all() if must_read_all else read_changes())

    return Watch(store, kind, poll)
