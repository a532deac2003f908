"""Writes the changes of claims that the rules decide."""

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

KIND = "claim"
CONTENTION_TRIES = 8
SETTLE_WAIT_S = 1.0

_LOG = logbook.Logger(__name__)
_UNSETTLED = prometheus_client.Gauge(
    "hemlocktiller_claims_unsettled", "Claims whose end is not written yet"
)

Decide = Callable[
    [claim_rules.ClaimValue | None], claim_rules.Put | claim_rules.Verdict
]


class ClaimWriter:
    """Writes claims, some of them in the background.

    Args:
        store: Client of the object API.
    """

    def __init__(self, store: client.ObjectStore):
        self._store = store
        self._settling: set[defer.Deferred] = set()
        self._stopped = False

    @property
    def unsettled(self) -> int:
        """Count of changes in the background."""
        return len(self._settling)

    def stop(self) -> None:
        """Gives up what is not settled yet."""
        self._stopped = True
        for settling in list(self._settling):
            settling.cancel()

    def settle(
        self,
        name: str,
        decide: Decide,
        known: client.StoredObject | None,
    ) -> "defer.Deferred[None]":
        """Changes a claim, retrying until it is written or stopped.

        Args:
            name: Name of the claim.
            decide: As for `change`.
            known: As for `change`.

        Returns:
            A Deferred that fires then, or after `SETTLE_WAIT_S`.
        """
        settling = defer.Deferred.fromCoroutine(
            self._keep_changing(name, decide, known)
        )
        self._settling.add(settling)
        _UNSETTLED.inc()
        waiting = defer.Deferred()
        timer = self._store.reactor.callLater(
            SETTLE_WAIT_S, waiting.callback, None
        )
        settling.addBoth(self._settled, settling)
        settling.addCallback(_fire_early, timer, waiting)
        return waiting

    def _settled(self, result, settling):
        self._settling.discard(settling)
        _UNSETTLED.dec()
        if isinstance(result, failure.Failure) and not self._stopped:
            _LOG.error("a claim is not settled: {}", result)

    async def _keep_changing(self, name, decide, known):
        failures = 0
        must_read = False
        while not self._stopped:
            try:
                if must_read:
                    known = await self._store.read(KIND, name)
                return await self.change(name, decide, known)
            except exceptions.StoreError:
                must_read = True
            if not self._stopped:
                wait_s = watch.backoff_s(self._store.settings, failures)
                failures += 1
                await task.deferLater(self._store.reactor, wait_s)
        return None

    async def change(
        self,
        name: str,
        decide: Decide,
        known: client.StoredObject | None,
    ) -> tuple[claim_rules.Verdict, client.StoredObject | None]:
        """Applies a decision to a claim, again after a lost race.

        Args:
            name: Name of the claim.
            decide: Takes the value, returns a verdict or a `Put`.
            known: The claim as last known; None if it should not exist.

        Returns:
            The verdict, and the claim as written or last known.

        Raises:
            StoreUnavailable: Nothing was written.
            WriteUnknown: It can't be told whether it was written.
        """
        for _ in range(CONTENTION_TRIES):
            decision = decide(known.value if known else None)
            if not isinstance(decision, claim_rules.Put):
                return decision, known
            version = known.version if known else 0
            try:
                stored = await self._store.update(
                    KIND, name, decision.value, version
                )
            except (
                exceptions.ObjectExists,
                exceptions.VersionConflict,
            ) as conflict:
                known = conflict.current
            else:
                return decision.verdict, stored
            if known is None:
                known = await self._store.read(KIND, name)
        raise exceptions.StoreUnavailable(f"claim {name} is contended")


def _fire_early(_, timer, waiting):
    if timer.active():
        timer.cancel()
        waiting.callback(None)
