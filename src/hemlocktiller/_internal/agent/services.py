"""Sends calls to the plain service that an agent serves.

For a call that must not be repeated and that has an idempotency key, the
agent acquires a claim directly before it sends the call. A claim is an
idempotency record in the object store. It ensures that the call runs at most
once, whichever agents receive it.
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
from hemlocktiller._internal.agent import first_stage
from hemlocktiller._internal.agent import stage_runs
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.observe import traces

DEFAULT_RETRY_AFTER_S = 1.0
# What a frame with the response of a call holds beside its body.
MAX_RESULT_FIELD_BYTES = 65_536

log = logbook.Logger(__name__)

CALLS = prometheus_client.Counter(
    "hemlocktiller_service_calls",
    "Calls of the service by outcome",
    ["outcome"],
)


class CallOutcome(NamedTuple):
    """Result of a call, for the entry.

    Attributes:
        ran: Whether the service ran the call: yes, no or unknown.
        reason: Error code, or empty if there is a response.
        status: HTTP status of the response.
        content_type: Content type of the response.
        body: Body of the response.
        replayed: Whether the response was recorded by an earlier attempt.
        retry_after_s: Delay in seconds after which a retry makes sense.
    """

    ran: str
    reason: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    replayed: bool = False
    retry_after_s: float = 0.0


class Callbacks(NamedTuple):
    """Callbacks for the end of calls and the death of the service.

    Attributes:
        on_done: A call has ended.
        on_died: The service process died during a call.
    """

    on_done: Callable[[first_stage.EndedRequest], None]
    on_died: Callable[[], None]


class ServiceCalls:
    """Sends calls to the service and tracks those that are running.

    Args:
        reactor: Twisted reactor.
        settings: Settings of the agent.
        claims: Claims of this process.
        tracer: Creates the spans of calls.
        callbacks: Callbacks for the end of calls and the death of the
            service.

    Attributes:
        running_count: Count of calls that are running.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        claims: claims_module.Claims,
        tracer: traces.Tracer,
        callbacks: Callbacks,
    ) -> None:
        self.running_count = 0
        # Request digest and start time of each running call.
        self._running_calls: dict[
            stage_runs.AttemptKey, tuple[int, float]
        ] = {}
        self._reactor = reactor
        self._settings = settings
        self._claims = claims
        self._tracer = tracer
        self._callbacks = callbacks

    def start_call(self, call: Any, link: link_module.Link) -> None:
        """Starts a dequeued call; its result is sent on `link`."""
        self.running_count += 1
        now_s = self._reactor.seconds()
        self._running_calls[stage_runs.attempt_key(call)] = (
            call["digest"],
            now_s,
        )
        done = defer.maybeDeferred(self._run_call, call)
        done.addErrback(_unexpected_error_outcome)
        done.addCallback(self._send_result, call, link)

    @property
    def pending_claim_writes(self) -> int:
        """Count of claims whose final state is not written yet."""
        return self._claims.pending_write_count

    def running_s_by_digest(self) -> dict[int, float]:
        """Returns how long the calls have been running, by request digest."""
        now_s = self._reactor.seconds()
        return {
            digest: now_s - started_s
            for digest, started_s in self._running_calls.values()
        }

    def _run_call(self, call: Any) -> defer.Deferred[CallOutcome]:
        """Sends a call to the service, under a claim if it needs one."""
        repeatable_methods = self._settings["service"]["repeatable_methods"]
        if call["method"] in repeatable_methods or not call["idempotency_key"]:
            return self._dispatch(call)
        return self._run_with_claim(call)

    @defer.inlineCallbacks
    def _run_with_claim(self, call: Any) -> defer.Deferred[CallOutcome]:
        """Sends a call if its claim is acquired and records the outcome."""
        expires_at_s = self._reactor.seconds() + call["expires_in_s"]
        try:
            acquired = yield self._acquire_claim(call)
        except exceptions.StoreDown as error:
            return CallOutcome(
                "no", error.code, retry_after_s=error.retry_after_s
            )
        if not isinstance(acquired, claims_module.Acquired):
            return _outcome_without_dispatch(acquired)
        if self._reactor.seconds() >= expires_at_s:
            yield self._claims.record_not_run(acquired.claim)
            return CallOutcome(
                "no", "expired", retry_after_s=DEFAULT_RETRY_AFTER_S
            )
        outcome = yield self._dispatch(call)
        if outcome.ran == "no":
            yield self._claims.record_not_run(acquired.claim)
        elif outcome.ran == "yes":
            yield self._claims.record_answer(
                acquired.claim, _recorded_outcome(outcome)
            )
        else:
            yield self._claims.record_unknown(acquired.claim)
        return outcome

    def _acquire_claim(self, call: Any) -> defer.Deferred[Any]:
        name = claims_module.claim_name(
            call["workspace"],
            call["service"],
            call["idempotency_key"],
            call["request"],
        )
        fingerprint = claims_module.call_fingerprint(
            call["method"], call["path"], call["body"]
        )
        return self._claims.acquire(
            name,
            fingerprint,
            call["request"],
            call["attempt"],
            call["expires_in_s"],
        )

    @defer.inlineCallbacks
    def _dispatch(self, call: Any) -> defer.Deferred[CallOutcome]:
        """Sends a call to the service and waits for its response.

        A connection that the service closes counts as its death. A timeout
        doesn't: a service that is slow or silent may still run the call.
        """
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
            self._settings["links"]["frame_bytes"] - MAX_RESULT_FIELD_BYTES,
        )
        try:
            reply = yield http_client.send_once(self._reactor, request)
        except Exception:
            cause = failure.Failure()
            span.end()
            if cause.check(http_client.ResponseBrokenOff):
                self._callbacks.on_died()
            return _http_failure_outcome(cause)
        span.end()
        return CallOutcome(
            "yes", "", reply.status, reply.content_type, reply.body
        )

    def _send_result(
        self, outcome: CallOutcome, call: Any, link: link_module.Link
    ) -> None:
        """Sends the outcome of a call to the entry and frees its slot."""
        self.running_count -= 1
        self._running_calls.pop(stage_runs.attempt_key(call), None)
        CALLS.labels(outcome.reason or "ok").inc()
        if link.is_open:
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
        self._callbacks.on_done(
            first_stage.EndedRequest(stage_runs.attempt_key(call), 1)
        )


def _http_failure_outcome(cause: failure.Failure) -> CallOutcome:
    """Returns the outcome of a call that got no complete response."""
    if cause.check(http_client.RequestNotSent):
        return CallOutcome(
            "no", "service_down", retry_after_s=DEFAULT_RETRY_AFTER_S
        )
    return CallOutcome(
        "unknown", "no_answer", retry_after_s=DEFAULT_RETRY_AFTER_S
    )


def _unexpected_error_outcome(cause: failure.Failure) -> CallOutcome:
    """Logs an unexpected error and returns the outcome of its call."""
    log.error("unexpected error in a service call: {}", cause.getTraceback())
    return CallOutcome(
        "unknown", "internal", retry_after_s=DEFAULT_RETRY_AFTER_S
    )


def _recorded_outcome(outcome: CallOutcome) -> claim_rules.Outcome:
    """Returns the record of an outcome for the claim of its call."""
    return claims_module.encode_outcome(
        outcome.status, outcome.content_type, outcome.body
    )


def _outcome_without_dispatch(verdict: claim_rules.Verdict) -> CallOutcome:
    """Returns the outcome of a call whose claim was not acquired."""
    if isinstance(verdict, claim_rules.Recorded):
        recorded = verdict.outcome
        return CallOutcome(
            "yes",
            "",
            recorded["status"],
            recorded["content_type"],
            claims_module.decode_body(recorded),
            replayed=True,
        )
    if isinstance(verdict, claim_rules.InProgress):
        wait_s = verdict.retry_after_s
        return CallOutcome("unknown", "in_progress", retry_after_s=wait_s)
    if isinstance(verdict, claim_rules.OutcomeUnknown):
        wait_s = verdict.retry_after_s
        return CallOutcome("unknown", "outcome_unknown", retry_after_s=wait_s)
    reason = "void"
    if isinstance(verdict, claim_rules.Mismatch):
        reason = "key_conflict"
    return CallOutcome("no", reason, retry_after_s=DEFAULT_RETRY_AFTER_S)
