"""The ledger of calls that may not be repeated.

An agent creates a claim directly before it dispatches such a call, and
records the outcome afterwards: two writes a call. The claim is never taken
over because time has passed. What an agent can't record at once, it keeps
on recording in the background; if the agent dies before, the claim stays
started and a resend of the call meets an unknown outcome.
"""

import base64
import hashlib
import json
import secrets
from typing import NamedTuple

import prometheus_client
from twisted.internet import defer

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.agent import claim_rules
from hemlocktiller._internal.agent import claim_writer
from hemlocktiller._internal.store import client

CLAIM_TTL_S = 86_400.0
RECORDED_BODY_BYTES_MAX = 65_536
RETRY_AFTER_S = 5.0
DISPATCH_ID_BYTES = 12

_BEGINS = prometheus_client.Counter(
    "hemlocktiller_claim_begins", "Begun claims by verdict", ["verdict"]
)

Recorded = claim_rules.Recorded
InProgress = claim_rules.InProgress
OutcomeUnknown = claim_rules.OutcomeUnknown
Mismatch = claim_rules.Mismatch
Void = claim_rules.Void


class Claim(NamedTuple):
    """A claim that this process holds.

    Attributes:
        name: Name of the claim.
        dispatch: Random id of the dispatch.
        stored: The claim as it was written.
    """

    name: str
    dispatch: str
    stored: client.StoredObject


class Begun(NamedTuple):
    """The call may be dispatched once, under this claim."""

    claim: Claim


def claim_name(workspace: str, service: str, key: str, request: str) -> str:
    """Returns the name of the claim of a call.

    Args:
        workspace: Workspace name.
        service: Service name.
        key: Idempotency key; empty if the caller gave none.
        request: Request id, which stands in for a missing key.
    """
    identity = ["key", key] if key else ["request", request]
    return _digest(json.dumps([workspace, service, *identity]).encode())


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Returns the digest that tells one call of a key from another."""
    return _digest(json.dumps([method, path]).encode() + body)


def outcome(
    status: int, content_type: str, body: bytes
) -> claim_rules.Outcome:
    """Returns the record of an answer; a large body is left out."""
    is_large = len(body) > RECORDED_BODY_BYTES_MAX
    return {
        "status": status,
        "content_type": content_type,
        "body": "" if is_large else base64.b64encode(body).decode(),
        "body_omitted": is_large,
    }


def outcome_body(recorded: claim_rules.Outcome) -> bytes:
    """Returns the body of a recorded answer."""
    return base64.b64decode(recorded["body"])


class Claims:
    """Begins, ends and voids claims for one process.

    Args:
        store: Client of the object API.
        process: Process id, new at each start.
        ttl_s: Time in seconds that a claim is kept.
    """

    def __init__(
        self,
        store: client.ObjectStore,
        process: str,
        ttl_s: float = CLAIM_TTL_S,
    ):
        self._reactor = store.reactor
        self._writer = claim_writer.ClaimWriter(store)
        self._process = process
        self._ttl_s = ttl_s

    @property
    def unsettled(self) -> int:
        """Count of claims whose end is not written yet."""
        return self._writer.unsettled

    def begin(
        self,
        name: str,
        fingerprint: str,
        request: str,
        attempt: int,
        ends_at_s: float,
    ) -> "defer.Deferred[Begun | claim_rules.Verdict]":
        """Claims a call directly before its dispatch.

        Only `Begun` allows the dispatch; with every other result, this
        attempt did not run and never will.

        Args:
            name: Name of the claim; see `claim_name`.
            fingerprint: Digest of the call; see `fingerprint`.
            request: Request id.
            attempt: Attempt number within the request.
            ends_at_s: When the dispatch is over at the latest, in seconds
                since the epoch.

        Raises:
            StoreDown: The claim could not be made, so nothing ran.
        """
        dispatch = secrets.token_hex(DISPATCH_ID_BYTES)
        made = self._attempt(
            request, attempt, fingerprint, dispatch, ends_at_s
        )
        return defer.Deferred.fromCoroutine(self._begin(name, made))

    def finish(
        self, claim: Claim, recorded: claim_rules.Outcome
    ) -> "defer.Deferred[None]":
        """Records the answer.

        Fires once it is written, or after `claim_writer.SETTLE_WAIT_S`
        while it is still being tried: the answer may go to the caller
        then, since the claim keeps the call from running again anyway.
        """
        return self._end(claim, claim_rules.FINISHED, recorded)

    def lose(self, claim: Claim) -> "defer.Deferred[None]":
        """Records that the call may have run without a known answer."""
        return self._end(claim, claim_rules.UNKNOWN, None)

    def not_run(self, claim: Claim) -> "defer.Deferred[None]":
        """Records that the service provably never got the call.

        Fires like `finish`; another attempt may claim the call once it is
        written, so wait for it before the answer that allows one.
        """
        return self._end(claim, claim_rules.VOID, None)

    def void(
        self, name: str, request: str, attempt: int
    ) -> "defer.Deferred[claim_rules.Verdict]":
        """Keeps an attempt from ever starting, for a router.

        `Void` proves that the attempt did not run and never will; with
        every other result it may have run.

        Raises:
            StoreUnavailable: Nothing is proved.
            WriteUnknown: Nothing is proved.
        """
        made = self._attempt(request, attempt, "", "", self._now_s())
        return defer.Deferred.fromCoroutine(self._void(name, made))

    def stop(self) -> None:
        """Gives up what is not settled yet."""
        self._writer.stop()

    def _now_s(self):
        return self._reactor.seconds()

    def _attempt(self, request, attempt, fingerprint, dispatch, ends_at_s):
        return claim_rules.Attempt(
            request,
            attempt,
            fingerprint,
            dispatch,
            self._process,
            ends_at_s,
            self._now_s() + self._ttl_s,
        )

    async def _begin(self, name, attempt):
        def decide(value):
            return claim_rules.begin(value, attempt, self._now_s())

        try:
            verdict, stored = await self._writer.change(name, decide, None)
        except exceptions.WriteUnknown as error:
            self._writer.settle(name, self._voiding(attempt), None)
            raise self._store_down(error) from error
        except exceptions.StoreError as error:
            raise self._store_down(error) from error
        _BEGINS.labels(type(verdict).__name__).inc()
        if isinstance(verdict, claim_rules.Started):
            return Begun(Claim(name, attempt.dispatch, stored))
        return verdict

    def _store_down(self, error):
        _BEGINS.labels("StoreDown").inc()
        return exceptions.StoreDown(str(error), "no", RETRY_AFTER_S)

    async def _void(self, name, attempt):
        verdict, _ = await self._writer.change(
            name, self._voiding(attempt), None
        )
        return verdict

    def _voiding(self, attempt):
        def decide(value):
            return claim_rules.void(value, attempt, self._now_s())

        return decide

    def _end(self, claim, state, recorded):
        def decide(value):
            return claim_rules.end(value, claim.dispatch, state, recorded)

        return self._writer.settle(claim.name, decide, claim.stored)


def _digest(content):
    return hashlib.sha256(content).hexdigest()
