"""Applies the decisions of `claim_rules` to the stored claims."""

from collections.abc import Callable

import logbook
import prometheus_client
from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.agent import claim_rules
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import watch

CLAIM_KIND = "claim"
CONFLICT_ATTEMPTS_MAX = 8
WRITE_WAIT_S = 1.0

_LOG = logbook.Logger(__name__)
_PENDING_WRITES = prometheus_client.Gauge(
    "hemlocktiller_claims_unsettled", "Claims whose end is not written yet"
)

DecideChange = Callable[
    [claim_rules.ClaimValue | None], claim_rules.Put | claim_rules.Verdict
]


class ClaimWriter:
    """Changes claims, at once or with retries in the background.

    Args:
        store: Client of the object API.
    """

    def __init__(self, store: client.ObjectStore):
        self._store = store
        self._pending_writes: set[defer.Deferred] = set()
        self._stopped = False

    @property
    def pending_write_count(self) -> int:
        """Count of background writes that have not ended."""
        return len(self._pending_writes)

    def stop(self) -> None:
        """Cancels all background writes."""
        self._stopped = True
        for pending_write in list(self._pending_writes):
            pending_write.cancel()

    def write_in_background(
        self,
        name: str,
        decide: DecideChange,
        last_known: client.StoredObject | None,
    ) -> "defer.Deferred[None]":
        """Applies a decision to a claim, with retries until `stop`.

        Args:
            name: Name of the claim.
            decide: As for `apply_change`.
            last_known: As for `apply_change`.

        Returns:
            A Deferred that fires once the write ends, or after
            `WRITE_WAIT_S` while it is still retried.
        """
        pending_write = defer.Deferred.fromCoroutine(
            self._apply_until_written(name, decide, last_known)
        )
        self._pending_writes.add(pending_write)
        _PENDING_WRITES.inc()
        wait_done = defer.Deferred()
        timer = self._store.reactor.callLater(
            WRITE_WAIT_S, wait_done.callback, None
        )
        pending_write.addBoth(self._on_write_done, pending_write)
        pending_write.addCallback(_stop_waiting, timer, wait_done)
        return wait_done

    def _on_write_done(self, result, pending_write):
        """Removes a background write that ended; logs an unexpected error."""
        self._pending_writes.discard(pending_write)
        _PENDING_WRITES.dec()
        if isinstance(result, failure.Failure) and not self._stopped:
            _LOG.error(
                "could not write the final state of a claim: {}", result
            )

    async def _apply_until_written(self, name, decide, last_known):
        """Retries `apply_change`; reads the claim again before each retry."""
        failures = 0
        must_read = False
        while not self._stopped:
            try:
                if must_read:
                    last_known = await self._store.read(CLAIM_KIND, name)
                return await self.apply_change(name, decide, last_known)
            except exceptions.StoreError:
                must_read = True
            if not self._stopped:
                wait_s = watch.backoff_s(self._store.settings, failures)
                failures += 1
                await task.deferLater(self._store.reactor, wait_s)
        return None

    async def apply_change(
        self,
        name: str,
        decide: DecideChange,
        last_known: client.StoredObject | None,
    ) -> tuple[claim_rules.Verdict, client.StoredObject | None]:
        """Applies a decision to a claim; retries after a version conflict.

        Args:
            name: Name of the claim.
            decide: Takes the current value, returns a verdict or a `Put`.
            last_known: The claim as last read; None if it should not exist.

        Returns:
            The verdict, and the claim as written or last read.

        Raises:
            StoreUnavailable: Nothing was written.
            WriteOutcomeUnknown: Whether the write took effect is not known.
        """
        for _ in range(CONFLICT_ATTEMPTS_MAX):
            decision = decide(last_known.value if last_known else None)
            if not isinstance(decision, claim_rules.Put):
                return decision, last_known
            version = last_known.version if last_known else 0
            try:
                stored = await self._store.update(
                    CLAIM_KIND, name, decision.value, version
                )
            except (
                exceptions.ObjectExists,
                exceptions.VersionConflict,
            ) as conflict:
                last_known = conflict.current
            else:
                return decision.verdict, stored
            if last_known is None:
                last_known = await self._store.read(CLAIM_KIND, name)
        raise exceptions.StoreUnavailable(
            f"gave up on claim {name} after repeated version conflicts"
        )


def _stop_waiting(_, timer, wait_done):
    """Fires the Deferred of a background write, unless its wait is over."""
    if timer.active():
        timer.cancel()
        wait_done.callback(None)
