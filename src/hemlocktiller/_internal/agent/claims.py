"""The ledger of calls that may not be repeated.

An agent creates a claim directly before it dispatches such a call, and
records the outcome afterwards: two writes a call. The claim is never taken
over because time has passed. What an agent can't record at once, it keeps
on recording in the background; if the agent dies before, the claim stays
started and a resend of the call meets an unknown outcome.
"""

import base64
from collections.abc import Callable
import hashlib
import json
import secrets
from typing import Any
from typing import NamedTuple

import logbook
import prometheus_client
from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.agent import claim_rules
from hemlocktiller._internal.schemas import agent_settings
from hemlocktiller._internal.schemas import messages
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import watch

KIND = "claim"
RECORDED_BODY_BYTES_MAX = 65_536
CONTENTION_TRIES = 8
DISPATCH_ID_BYTES = 12
SETTLE_WAIT_S = 1.0
ROUTER_SETTINGS: agent_settings.Service = {
    "name": "",
    "url": "",
    "timeout_s": 0.0,
    "claim_ttl_s": 86_400.0,
}

_LOG = logbook.Logger(__name__)
_BEGINS = prometheus_client.Counter(
    "hemlocktiller_claim_begins", "Begun claims by verdict", ["verdict"]
)
_UNSETTLED = prometheus_client.Gauge(
    "hemlocktiller_claims_unsettled", "Claims whose end is not written yet"
)

InProgress = claim_rules.InProgress
OutcomeUnknown = claim_rules.OutcomeUnknown
Mismatch = claim_rules.Mismatch
Void = claim_rules.Void


class Answer(NamedTuple):
    """An answer of the service; a recorded one may lack a large body."""

    status: int
    content_type: str
    body: bytes


class Begun(NamedTuple):
    """The call may be dispatched once, under this claim.

    Attributes:
        name: Name of the claim.
        dispatch: Random id of the dispatch.
        stored: The claim as it was written.
    """

    name: str
    dispatch: str
    stored: client.StoredObject


class Recorded(NamedTuple):
    """The call ran before, with this answer."""

    answer: Answer
    body_omitted: bool


class Unavailable(NamedTuple):
    """The claim could not be made, so nothing ran."""

    reason: str


def claim_name(call: messages.Call) -> str:
    """Returns the name of the claim of a call.

    The request id stands in for a missing idempotency key.
    """
    identity = ["key", call["idempotency_key"]]
    if not call["idempotency_key"]:
        identity = ["request", call["request"]]
    place = [call["workspace"], call["service"], *identity]
    return _digest(json.dumps(place).encode())


def fingerprint(call: messages.Call) -> str:
    """Returns the digest that tells one call of a key from another."""
    place = json.dumps([call["method"], call["path"]])
    return _digest(place.encode() + call["body"])


class Claims:
    """Begins, ends and voids claims for one process.

    Args:
        store: Client of the object API.
        settings: Settings of the service; `ROUTER_SETTINGS` for a router.
        reactor: Reactor that times the retries.
    """

    def __init__(
        self,
        store: client.ObjectStore,
        settings: agent_settings.Service,
        reactor: Any,
    ):
        self._store = store
        self._settings = settings
        self._reactor = reactor
        self._settling: set[defer.Deferred] = set()
        self._stopped = False

    @property
    def unsettled(self) -> int:
        """Count of claims whose end is not written yet."""
        return len(self._settling)

    def begin(
        self, call: messages.Call
    ) -> (
        "defer.Deferred[Begun | Recorded | Unavailable | claim_rules.Verdict]"
    ):
        """Claims a call directly before its dispatch.

        Only `Begun` allows the dispatch; with every other result, this
        attempt did not run and never will.
        """
        dispatch = secrets.token_hex(DISPATCH_ID_BYTES)
        return defer.Deferred.fromCoroutine(
            self._begin(claim_name(call), self._attempt(call, dispatch))
        )

    def finish(self, begun: Begun, answer: Answer) -> "defer.Deferred[None]":
        """Records the answer.

        Fires once it is written, or after `SETTLE_WAIT_S` while it is
        still being tried: the answer may go to the caller then, since the
        claim keeps the call from running again in any case.
        """
        outcome = _outcome(answer)
        return self._end(begun, claim_rules.FINISHED, outcome)

    def lose(self, begun: Begun) -> "defer.Deferred[None]":
        """Records that the call may have run without a known answer."""
        return self._end(begun, claim_rules.UNKNOWN, None)

    def not_run(self, begun: Begun) -> "defer.Deferred[None]":
        """Records that the service provably never got the call.

        Fires like `finish`; another attempt may claim the call once it is
        written, so wait for it before the answer that allows one.
        """
        return self._end(begun, claim_rules.VOID, None)

    def void(self, call: messages.Call) -> "defer.Deferred[Any]":
        """Keeps an attempt from ever starting, for a router.

        Fires with `Void`, which proves that the attempt did not run and
        never will, or with what else is known, as `begin` does.

        Raises:
            StoreUnavailable: Nothing is proved.
            WriteUnknown: Nothing is proved.
        """
        return defer.Deferred.fromCoroutine(
            self._void(claim_name(call), self._attempt(call, ""))
        )

    def stop(self) -> None:
        """Gives up what is not settled yet."""
        self._stopped = True
        for settling in list(self._settling):
            settling.cancel()

    def _attempt(self, call, dispatch):
        now_s = self._reactor.seconds()
        lifetime_s = call["expires_in_s"] + self._settings["timeout_s"]
        return claim_rules.Attempt(
            call["request"],
            call["attempt"],
            fingerprint(call),
            dispatch,
            self._store.writer,
            now_s + lifetime_s,
            now_s + max(lifetime_s, self._settings["claim_ttl_s"]),
        )

    async def _begin(self, name, attempt):
        def decide(value):
            return claim_rules.begin(value, attempt, self._reactor.seconds())

        try:
            verdict, stored = await self._change(name, decide, None)
        except exceptions.WriteUnknown as error:
            self._settle(name, self._voiding(attempt), None)
            verdict = Unavailable(str(error))
        except exceptions.StoreError as error:
            verdict = Unavailable(str(error))
        _BEGINS.labels(type(verdict).__name__).inc()
        if isinstance(verdict, claim_rules.Started):
            return Begun(name, attempt.dispatch, stored)
        return _public(verdict)

    async def _void(self, name, attempt):
        verdict, _ = await self._change(name, self._voiding(attempt), None)
        return _public(verdict)

    def _voiding(self, attempt):
        def decide(value):
            return claim_rules.void(value, attempt, self._reactor.seconds())

        return decide

    def _end(self, begun, state, outcome):
        def decide(value):
            return claim_rules.end(value, begun.dispatch, state, outcome)

        return self._settle(begun.name, decide, begun.stored)

    def _settle(self, name, decide, known):
        """Changes a claim, retrying until it is written or stopped.

        Returns:
            A Deferred that fires then, or after `SETTLE_WAIT_S`.
        """
        settling = defer.Deferred.fromCoroutine(
            self._keep_changing(name, decide, known)
        )
        self._settling.add(settling)
        _UNSETTLED.inc()
        waiting = defer.Deferred()
        timer = self._reactor.callLater(SETTLE_WAIT_S, waiting.callback, None)
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
                return await self._change(name, decide, known)
            except exceptions.StoreError:
                must_read = True
            if not self._stopped:
                wait_s = watch.backoff_s(self._store.settings, failures)
                failures += 1
                await task.deferLater(self._reactor, wait_s)
        return None

    async def _change(
        self,
        name: str,
        decide: Callable,
        known: client.StoredObject | None,
    ):
        """Applies a decision to a claim, again after a lost race.

        Args:
            name: Name of the claim.
            decide: Takes the value, returns a verdict or a `Put`.
            known: The claim as last known; None if it should not exist.

        Returns:
            The verdict, and the claim as written if it was.
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


def _outcome(answer):
    """Returns the record of an answer; a large body is left out."""
    is_large = len(answer.body) > RECORDED_BODY_BYTES_MAX
    return {
        "status": answer.status,
        "content_type": answer.content_type,
        "body": "" if is_large else base64.b64encode(answer.body).decode(),
        "body_omitted": is_large,
    }


def _public(verdict):
    """Returns a verdict with its recorded answer decoded."""
    if not isinstance(verdict, claim_rules.Recorded):
        return verdict
    outcome = verdict.outcome
    body = base64.b64decode(outcome["body"])
    answer = Answer(outcome["status"], outcome["content_type"], body)
    return Recorded(answer, outcome["body_omitted"])


def _fire_early(_, timer, waiting):
    if timer.active():
        timer.cancel()
        waiting.callback(None)


def _digest(content):
    return hashlib.sha256(content).hexdigest()
