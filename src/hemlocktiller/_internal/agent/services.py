"""Makes the calls of the plain service beside an agent.

A call that may not be repeated and carries an idempotency key is claimed
in the object API right before it is made, so that it runs at most once
whichever agents it reaches.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import logbook
import prometheus_client
from twisted.internet import defer
from twisted.python import failure

from hemlocktiller._internal import exceptions
from hemlocktiller._internal import http_client
from hemlocktiller._internal.agent import claim_rules
from hemlocktiller._internal.agent import claims as claims_module
from hemlocktiller._internal.agent import heads
from hemlocktiller._internal.agent import runs
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.observe import traces

RETRY_AFTER_S = 1.0

log = logbook.Logger(__name__)

CALLS = prometheus_client.Counter(
    "hemlocktiller_service_calls",
    "Calls of the service by outcome",
    ["outcome"],
)


class Outcome(NamedTuple):
    """How a call ended."""

    ran: str
    reason: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    replayed: bool = False
    retry_after_s: float = 0.0


class Events(NamedTuple):
    """What the owner does on events of the service."""

    on_done: Callable[[heads.Done], None]
    on_died: Callable[[], None]


class Services:
    """The calls that run at the service."""

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        claims: claims_module.Claims,
        tracer: traces.Tracer,
        events: Events,
    ) -> None:
        self.running = 0
        self._started_s: dict[runs.Key, tuple[int, float]] = {}
        self._reactor = reactor
        self._settings = settings
        self._claims = claims
        self._tracer = tracer
        self._events = events
        self._http = http_client.agent(reactor)

    def begin(self, call: Any, link: link_module.Link) -> None:
        """Makes a call that left the queue and answers on its link."""
        self.running += 1
        now_s = self._reactor.seconds()
        self._started_s[runs.place_of(call)] = (call["digest"], now_s)
        done = defer.maybeDeferred(self._outcome, call)
        done.addErrback(_unexpected)
        done.addCallback(self._answer, call, link)

    @property
    def unsettled(self) -> int:
        """Claims whose end is not written yet."""
        return self._claims.unsettled

    def running_s(self) -> dict[int, float]:
        """Returns how long each digest has been running here."""
        now_s = self._reactor.seconds()
        return {
            digest: now_s - started_s
            for digest, started_s in self._started_s.values()
        }

    def _outcome(self, call: Any) -> defer.Deferred[Outcome]:
        methods = self._settings["service"]["repeatable_methods"]
        if call["method"] in methods or not call["idempotency_key"]:
            return self._dispatch(call)
        return self._claimed(call)

    @defer.inlineCallbacks
    def _claimed(self, call: Any) -> defer.Deferred[Outcome]:
        expires_at_s = self._reactor.seconds() + call["expires_in_s"]
        try:
            begun = yield self._begin_claim(call, expires_at_s)
        except exceptions.StoreDown as error:
            return Outcome("no", error.code, retry_after_s=error.retry_after_s)
        if not isinstance(begun, claims_module.Begun):
            return _claim_outcome(begun)
        if self._reactor.seconds() >= expires_at_s:
            yield self._claims.not_run(begun.claim)
            return Outcome("no", "expired", retry_after_s=RETRY_AFTER_S)
        outcome = yield self._dispatch(call)
        if outcome.ran == "no":
            yield self._claims.not_run(begun.claim)
        elif outcome.ran == "yes":
            yield self._claims.finish(begun.claim, _recorded(outcome))
        else:
            yield self._claims.lose(begun.claim)
        return outcome

    def _begin_claim(
        self, call: Any, expires_at_s: float
    ) -> defer.Deferred[Any]:
        name = claims_module.claim_name(
            call["workspace"],
            call["service"],
            call["idempotency_key"],
            call["request"],
        )
        fingerprint = claims_module.fingerprint(
            call["method"], call["path"], call["body"]
        )
        return self._claims.begin(
            name, fingerprint, call["request"], call["attempt"], expires_at_s
        )

    @defer.inlineCallbacks
    def _dispatch(self, call: Any) -> defer.Deferred[Outcome]:
        settings = self._settings["service"]
        headers = {"Content-Type": call["content_type"]}
        if not call["content_type"]:
            headers = {}
        span = self._tracer.start(
            "service", call["traceparent"], request=call["request"]
        )
        headers["traceparent"] = traces.traceparent(span)
        request = http_client.Request(
            call["method"],
            settings["url"] + call["path"],
            call["body"],
            headers,
            min(settings["timeout_s"], max(call["expires_in_s"], 0.001)),
        )
        try:
            reply = yield http_client.call(self._reactor, self._http, request)
        except Exception:
            reason = failure.Failure()
            span.end()
            if reason.check(*http_client.PEER_DIED):
                self._events.on_died()
            return _failed(reason)
        span.end()
        return Outcome("yes", "", reply.status, reply.content_type, reply.body)

    def _answer(
        self, outcome: Outcome, call: Any, link: link_module.Link
    ) -> None:
        self.running -= 1
        self._started_s.pop(runs.place_of(call), None)
        CALLS.labels(outcome.reason or "ok").inc()
        if link.up:
            link.send(
                {
                    "type": "call_result",
                    "request": call["request"],
                    "attempt": call["attempt"],
                    "status": outcome.status,
                    "content_type": outcome.content_type,
                    "body": outcome.body,
                    "ran": outcome.ran,
                    "reason": outcome.reason,
                    "replayed": outcome.replayed,
                    "retry_after_s": outcome.retry_after_s,
                }
            )
        self._events.on_done(heads.Done(runs.place_of(call), 1))


def _failed(reason: failure.Failure) -> Outcome:
    if http_client.never_sent(reason):
        return Outcome("no", "service_down", retry_after_s=RETRY_AFTER_S)
    return Outcome("unknown", "no_answer", retry_after_s=RETRY_AFTER_S)


def _unexpected(reason: failure.Failure) -> Outcome:
    log.error("a call ended unexpectedly: {}", reason.getTraceback())
    return Outcome("unknown", "internal", retry_after_s=RETRY_AFTER_S)


def _recorded(outcome: Outcome) -> claim_rules.Outcome:
    return claims_module.outcome(
        outcome.status, outcome.content_type, outcome.body
    )


def _claim_outcome(verdict: claim_rules.Verdict) -> Outcome:
    """Returns the outcome of a call that may not be made now."""
    if isinstance(verdict, claim_rules.Recorded):
        recorded = verdict.outcome
        return Outcome(
            "yes",
            "",
            recorded["status"],
            recorded["content_type"],
            claims_module.outcome_body(recorded),
            replayed=True,
        )
    if isinstance(verdict, claim_rules.InProgress):
        wait_s = verdict.retry_after_s
        return Outcome("unknown", "in_progress", retry_after_s=wait_s)
    if isinstance(verdict, claim_rules.OutcomeUnknown):
        wait_s = verdict.retry_after_s
        return Outcome("unknown", "outcome_unknown", retry_after_s=wait_s)
    reason = "void"
    if isinstance(verdict, claim_rules.Mismatch):
        reason = "key_conflict"
    return Outcome("no", reason, retry_after_s=RETRY_AFTER_S)
