"""One call of a plain service at an entry, through all of its attempts.

An attempt follows another only if the earlier one provably did not run,
if the call may be repeated, or if it carries an idempotency key: then the
claim in the object API keeps a second dispatch from running.
"""

from collections.abc import Callable
from typing import Any

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.entry import attempts
from hemlocktiller._internal.entry import outcomes
from hemlocktiller._internal.entry import routes
from hemlocktiller._internal.entry import targets as targets_module
from hemlocktiller._internal.observe import traces
from hemlocktiller._internal.policy import suspects

REPEATABLE_METHODS = ("GET", "HEAD")
RETRY_AFTER_S = 1.0
SERVICE_DOWN = "service_down"
ERRORS = {
    "in_progress": exceptions.InProgress,
    "key_conflict": exceptions.KeyConflict,
    "store_unavailable": exceptions.StoreDown,
    "deadline": exceptions.DeadlineExceeded,
}


class ServiceRequest:
    """State of a call of a plain service."""

    def __init__(
        self,
        shared: attempts.Shared,
        call: outcomes.ServiceCall,
        on_answer: Callable[[outcomes.ServiceAnswer], None],
        on_error: Callable[[exceptions.RequestError], None],
    ) -> None:
        self.call = call
        self.attempt = 0
        self.target: targets_module.Target | None = None
        self.sent_s = 0.0
        self.ended = False
        self._shared = shared
        self._on_answer = on_answer
        self._on_error = on_error
        self._excluded: set[str] = set()
        self._may_have_run = False
        self._retry_after_s = RETRY_AFTER_S
        plan = call.caller.view.plan
        now_s = shared.reactor.seconds()
        self._deadline_s = now_s + plan["deadline_s"]
        self._span = shared.tracer.start(
            "request", call.traceparent, request=call.request
        )
        self._timer = shared.reactor.callLater(
            plan["deadline_s"], self._on_deadline
        )
        self._wait: Any = None

    def begin(self) -> None:
        """Sends the next attempt."""
        self._wait = None
        if self._held_back() or not self._readmitted():
            return
        route = routes.choose_service(self._shared, self.call, self._excluded)
        if route is None:
            self._lost("no_target")
            return
        self.attempt += 1
        self.target = route.target
        attempts.ATTEMPTS.inc()
        self._note("attempt", target=route.target.name, why=route.why)
        self._shared.push_config(route.target)
        route.target.link.send(self._message())
        now_s = self._shared.reactor.seconds()
        self.sent_s = now_s
        view = self._shared.targets.view
        view.loads.sent(
            route.target.name,
            self.call.request,
            self.call.caller.view.plan["plan"],
            1.0,
            now_s,
        )
        view.breaker.sent(route.target.name, now_s)

    def cancel(self) -> None:
        """Ends the request since its caller has gone.

        A call that may have reached its service is left to finish there.
        """
        if not self.ended:
            self._note("cancelled")
            self._cancel_attempt()
            self._end()

    def on_message(self, message: Any) -> None:
        """Takes a message of the current attempt's target."""
        same = message["attempt"] == self.attempt
        if not same or self.target is None:
            attempts.STALE_ANSWERS.inc()
            return
        if message["type"] == "refused":
            self._on_refused(message)
        elif message["type"] == "call_result":
            self._on_result(message)

    def on_target_lost(self, reason: str) -> None:
        """Goes on elsewhere if that can't run the call twice."""
        self._may_have_run = True
        self._shared.targets.view.breaker.failed(
            self.target.name, self._shared.reactor.seconds()
        )
        self._exclude_target()
        self._lost(reason)

    def _readmitted(self) -> bool:
        """Admits the call under the newest configuration, or ends it."""
        try:
            self.call = attempts.readmit(self._shared, self.call)
        except exceptions.RequestError as error:
            error.ran = "unknown" if self._may_have_run else "no"
            self._fail(error)
            return False
        return True

    def _held_back(self) -> bool:
        """Ends a request that crashes targets; waits while undecided."""
        state = self._shared.suspects.state(self.call.digest)
        if state == "condemned":
            ran = "unknown" if self._may_have_run else "no"
            message = "targets died while they ran this request"
            self._fail(exceptions.CrashesTargets(message, ran))
        elif state == "undecided":
            self._wait = self._shared.reactor.callLater(
                suspects.DECISION_S, self.begin
            )
        return state in ("condemned", "undecided")

    @property
    def _repeatable(self) -> bool:
        return self.call.method in REPEATABLE_METHODS

    def _message(self) -> dict[str, Any]:
        view = self.call.caller.view
        left_s = self._deadline_s - self._shared.reactor.seconds()
        return {
            "type": "call",
            "request": self.call.request,
            "attempt": self.attempt,
            "workspace": view.workspace,
            "plan": view.plan["plan"],
            "service": self.call.service,
            "config_version": self.call.caller.config_version,
            "method": self.call.method,
            "path": self.call.path,
            "content_type": self.call.content_type,
            "body": self.call.body,
            "idempotency_key": self.call.idempotency_key,
            "repeatable": self._repeatable,
            "expires_in_s": max(left_s, 0.0),
            "cost_tokens": 1.0,
            "worth": view.plan["worth"],
            "digest": self.call.digest,
            "traceparent": traces.traceparent(self._span),
        }

    def _on_refused(self, message: Any) -> None:
        reason = message["reason"]
        self._note("refused", target=self.target.name, why=reason)
        self._retry_after_s = max(message["retry_after_s"], RETRY_AFTER_S)
        if reason == "stale_config":
            self._release_target()
        else:
            self._exclude_target()
        self._lost(reason)

    def _on_result(self, message: Any) -> None:
        if message["reason"]:
            self._on_no_answer(message)
            return
        now_s = self._shared.reactor.seconds()
        self._shared.budget.record_success(now_s)
        self._shared.suspects.succeeded(self.call.digest)
        self._shared.targets.view.breaker.succeeded(self.target.name)
        self._note(
            "answered",
            target=self.target.name,
            status=message["status"],
            replayed=message["replayed"],
        )
        self._end()
        self._on_answer(
            outcomes.ServiceAnswer(
                message["status"],
                message["content_type"],
                message["body"],
                message["replayed"],
            )
        )

    def _on_no_answer(self, message: Any) -> None:
        reason = message["reason"]
        self._note("no_answer", target=self.target.name, why=reason)
        self._retry_after_s = max(message["retry_after_s"], RETRY_AFTER_S)
        if message["ran"] == "no":
            self._note_down(reason)
            self._exclude_target()
            self._lost(reason)
            return
        self._may_have_run = True
        if self._repeatable:
            self._exclude_target()
            self._lost(reason)
        else:
            self._release_target()
            self._give_up(reason)

    def _note_down(self, reason: str) -> None:
        """Keeps other calls away from a target whose service is down."""
        if reason == SERVICE_DOWN:
            now_s = self._shared.reactor.seconds()
            view = self._shared.targets.view
            view.breaker.failed(self.target.name, now_s)

    def _lost(self, reason: str) -> None:
        """Begins another attempt, or ends the request."""
        safe = (
            not self._may_have_run
            or self._repeatable
            or bool(self.call.idempotency_key)
        )
        none_left = reason == "no_target" and not self._excluded
        if not safe or none_left:
            self._give_up(reason)
            return
        if not attempts.may_retry(self._shared, max(self.attempt, 1), reason):
            self._give_up(reason)
            return
        if reason == "no_target":
            self.attempt += 1
            self._excluded.clear()
        wait_s = attempts.backoff_s(self._shared, self.attempt)
        self._wait = self._shared.reactor.callLater(wait_s, self.begin)

    def _give_up(self, reason: str) -> None:
        """Gives the final answer at once, with when to come back."""
        ran = "unknown" if self._may_have_run else "no"
        kind = ERRORS.get(reason)
        if kind is None and self._may_have_run:
            kind = exceptions.OutcomeUnknown
        elif kind is None and reason == "no_target":
            kind = exceptions.NoTarget
        elif kind is None:
            kind = exceptions.Overloaded
        message = f"the call of {self.call.service} ended: {reason}"
        self._fail(kind(message, ran, self._retry_after_s))

    def _on_deadline(self) -> None:
        if self.target is not None:
            self._may_have_run = True
            self._cancel_attempt()
        self._give_up("deadline")

    def _fail(self, error: exceptions.RequestError) -> None:
        if self.ended:
            return
        self._note("error", code=error.code, ran=error.ran, why=str(error))
        self._end()
        self._on_error(error)

    def _end(self) -> None:
        self.ended = True
        self._release_target()
        self._span.end()
        for timer in (self._timer, self._wait):
            if timer is not None and timer.active():
                timer.cancel()

    def _cancel_attempt(self) -> None:
        """Takes the call out of the target's queue, if it still waits."""
        link = self.target.link if self.target else None
        if link is not None:
            link.send(
                {
                    "type": "cancel",
                    "request": self.call.request,
                    "attempt": self.attempt,
                }
            )

    def _exclude_target(self) -> None:
        if self.target is not None:
            self._excluded.add(self.target.name)
        self._release_target()

    def _release_target(self) -> None:
        if self.target is None:
            return
        loads = self._shared.targets.view.loads
        loads.done(self.target.name, self.call.request)
        self.target = None

    def _note(self, event: str, **fields: Any) -> None:
        self._shared.journal.note(
            self.call.request, event, attempt=self.attempt, **fields
        )
