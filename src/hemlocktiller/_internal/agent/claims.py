"""Idempotency records of calls that must run at most once.

An agent creates a claim directly before it dispatches such a call, and
records the outcome afterwards: two writes per call. A claim never passes
to another dispatcher by timeout. A failed write of the outcome is retried
in the background. If the agent dies before it succeeds, the claim stays in
the `started` state and a retry of the call gets an unknown outcome.
"""

import base64
from collections.abc import Callable
import hashlib
import json
import secrets
import time
from typing import NamedTuple

import prometheus_client
from twisted.internet import defer

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.agent import claim_rules
from hemlocktiller._internal.agent import claim_writer
from hemlocktiller._internal.store import client

CLAIM_TTL_S = 86_400.0
RECORDED_BODY_BYTES_MAX = 65_536
STORE_DOWN_RETRY_S = 5.0
DISPATCH_ID_BYTES = 12

_ACQUISITIONS = prometheus_client.Counter(
    "hemlocktiller_claim_begins", "Begun claims by verdict", ["verdict"]
)

Recorded = claim_rules.Recorded
InProgress = claim_rules.InProgress
OutcomeUnknown = claim_rules.OutcomeUnknown
Mismatch = claim_rules.Mismatch
Void = claim_rules.Void


class Claim(NamedTuple):
    """A claim held by this process.

    Attributes:
        name: Name of the claim.
        dispatch_id: Random id of the dispatch.
        stored: Stored object of the claim, as last written.
    """

    name: str
    dispatch_id: str
    stored: client.StoredObject


class Acquired(NamedTuple):
    """Allows one dispatch of the call, under this claim."""

    claim: Claim


def claim_name(workspace: str, service: str, key: str, request_id: str) -> str:
    """Returns the object name of the claim of a call.

    Args:
        workspace: Workspace name.
        service: Service name.
        key: Idempotency key; empty if the caller sent none.
        request_id: Request id, used if there is no key.
    """
    identity = ["key", key] if key else ["request", request_id]
    return _digest(json.dumps([workspace, service, *identity]).encode())


def call_fingerprint(method: str, path: str, body: bytes) -> str:
    """Returns a digest to detect that a key is reused for another call."""
    return _digest(json.dumps([method, path]).encode() + body)


def encode_outcome(
    status: int, content_type: str, body: bytes
) -> claim_rules.Outcome:
    """Returns the record of a response; omits a body that is too large."""
    is_large = len(body) > RECORDED_BODY_BYTES_MAX
    return {
        "status": status,
        "content_type": content_type,
        "body": "" if is_large else base64.b64encode(body).decode(),
        "body_omitted": is_large,
    }


def decode_body(outcome: claim_rules.Outcome) -> bytes:
    """Returns the decoded body of a recorded response."""
    return base64.b64decode(outcome["body"])


class Claims:
    """Acquires, completes and voids claims for one process.

    Args:
        store: Client of the object API.
        process_id: Process id, new at each start.
        ttl_s: Retention time of a claim in seconds.
        wall_clock_s: Clock of the times in claims. They are compared by
            other VMs, whose monotonic clocks have another origin.
    """

    def __init__(
        self,
        store: client.ObjectStore,
        process_id: str,
        ttl_s: float = CLAIM_TTL_S,
        wall_clock_s: Callable[[], float] = time.time,
    ):
        self._wall_clock_s = wall_clock_s
        self._writer = claim_writer.ClaimWriter(store)
        self._process_id = process_id
        self._ttl_s = ttl_s

    @property
    def pending_write_count(self) -> int:
        """Count of claims whose final state is not written yet."""
        return self._writer.pending_write_count

    def acquire(
        self,
        name: str,
        fingerprint: str,
        request_id: str,
        attempt_number: int,
        expires_in_s: float,
    ) -> "defer.Deferred[Acquired | claim_rules.Verdict]":
        """Acquires the claim of a call, directly before its dispatch.

        Only `Acquired` allows the dispatch. With any other result, this
        attempt did not run and never will.

        Args:
            name: Name of the claim; see `claim_name`.
            fingerprint: Digest of the call; see `call_fingerprint`.
            request_id: Request id.
            attempt_number: Attempt number within the request.
            expires_in_s: Time until the latest end of the dispatch.

        Raises:
            StoreDown: The claim could not be written, so nothing ran.
        """
        dispatch_id = secrets.token_hex(DISPATCH_ID_BYTES)
        attempt = self._new_attempt(
            request_id,
            attempt_number,
            fingerprint,
            dispatch_id,
            self._wall_clock_s() + expires_in_s,
        )
        return defer.Deferred.fromCoroutine(self._acquire(name, attempt))

    def record_answer(
        self, claim: Claim, outcome: claim_rules.Outcome
    ) -> "defer.Deferred[None]":
        """Records the response of the call.

        Fires once it is written, or after `claim_writer.WRITE_WAIT_S`
        while the write is still retried. The response may go to the caller
        then, since the claim in any case prevents a second run.
        """
        return self._write_final_state(claim, claim_rules.FINISHED, outcome)

    def record_unknown(self, claim: Claim) -> "defer.Deferred[None]":
        """Records that the call may have run but its response is lost."""
        return self._write_final_state(claim, claim_rules.UNKNOWN, None)

    def record_not_run(self, claim: Claim) -> "defer.Deferred[None]":
        """Records that the service provably never received the call.

        Fires like `record_answer`. Another attempt can acquire the claim
        once this is written, so wait for it before a response that tells
        the caller to retry.
        """
        return self._write_final_state(claim, claim_rules.VOID, None)

    def void_attempt(
        self, name: str, request_id: str, attempt_number: int
    ) -> "defer.Deferred[claim_rules.Verdict]":
        """Prevents an attempt from ever starting, at any process.

        `Void` proves that the attempt did not run and never will. With any
        other result it may have run.

        Raises:
            StoreUnavailable: The attempt may have run or may still run.
            WriteOutcomeUnknown: The attempt may have run or may still run.
        """
        attempt = self._new_attempt(
            request_id, attempt_number, "", "", self._wall_clock_s()
        )
        return defer.Deferred.fromCoroutine(self._void_attempt(name, attempt))

    def stop(self) -> None:
        """Cancels the writes that are still being retried."""
        self._writer.stop()

    def _new_attempt(
        self, request_id, attempt_number, fingerprint, dispatch_id, ends_at_s
    ):
        return claim_rules.Attempt(
            request_id,
            attempt_number,
            fingerprint,
            dispatch_id,
            self._process_id,
            ends_at_s,
            self._wall_clock_s() + self._ttl_s,
        )

    async def _acquire(self, name, attempt):
        """Acquires a claim.

        If it is not known whether the write took effect, the attempt is
        voided in the background, so that it doesn't hold the claim for good.
        """

        def decide(value):
            return claim_rules.decide_acquire(
                value, attempt, self._wall_clock_s()
            )

        try:
            verdict, stored = await self._writer.apply_change(
                name, decide, None
            )
        except exceptions.WriteOutcomeUnknown as error:
            self._writer.write_in_background(
                name, self._void_decision(attempt), None
            )
            raise self._store_down_error(error) from error
        except exceptions.StoreError as error:
            raise self._store_down_error(error) from error
        _ACQUISITIONS.labels(type(verdict).__name__).inc()
        if isinstance(verdict, claim_rules.Started):
            return Acquired(Claim(name, attempt.dispatch, stored))
        return verdict

    def _store_down_error(self, error):
        """Counts a failed acquisition and returns its error."""
        _ACQUISITIONS.labels("StoreDown").inc()
        return exceptions.StoreDown(str(error), "no", STORE_DOWN_RETRY_S)

    async def _void_attempt(self, name, attempt):
        verdict, _ = await self._writer.apply_change(
            name, self._void_decision(attempt), None
        )
        return verdict

    def _void_decision(self, attempt):
        """Returns the function that decides how to void an attempt."""

        def decide(value):
            return claim_rules.decide_void(
                value, attempt, self._wall_clock_s()
            )

        return decide

    def _write_final_state(self, claim, state, outcome):
        """Writes the final state of a claim, with background retries."""

        def decide(value):
            return claim_rules.decide_end(
                value, claim.dispatch_id, state, outcome
            )

        return self._writer.write_in_background(
            claim.name, decide, claim.stored
        )


def _digest(data):
    return hashlib.sha256(data).hexdigest()
