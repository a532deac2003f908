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
from hemlocktiller._internal.entry import request_state
from hemlocktiller._internal.entry import routes
from hemlocktiller._internal.observe import traces

REPEATABLE_METHODS = ("GET", "HEAD")
COST_TOKENS = 1.0
SERVICE_DOWN = "service_down"
FINAL_REASONS = ("key_conflict", "void")
ERRORS = {
    "in_progress": exceptions.InProgress,
    "key_conflict": exceptions.KeyConflict,
    "store_unavailable": exceptions.StoreDown,
    "deadline": exceptions.DeadlineExceeded,
}


class ServiceRequest(request_state.RequestState):
    """State of a call of a plain service."""

    def __init__(
        self,
        shared: attempts.Shared,
        call: outcomes.ServiceCall,
        on_answer: Callable[[outcomes.ServiceAnswer], None],
        on_error: Callable[[exceptions.RequestError], None],
    ) -> None:
        super().__init__(shared, call, COST_TOKENS, on_error)
        self._on_answer = on_answer

    def begin(self) -> None:
        """Sends the next attempt."""
        if not self._may_begin():
            return
        route = routes.choose_service(self._shared, self.call, self._excluded)
        if route is None:
            self._no_route()
        else:
            self._send(route, self._message)

    def on_message(self, message: Any) -> None:
        """Takes a message of the current attempt's target."""
        if not self._is_current(message):
            return
        if message["type"] == "refused":
            self._on_refused(message)
        elif message["type"] == "call_result":
            self._on_result(message)

    def on_target_lost(self, reason: str) -> None:
        """Goes on elsewhere if that can't run the call twice."""
        self._may_have_run = True
        self._failed_target()
        self._lost(reason)

    @property
    def _repeatable(self) -> bool:
        return self.call.method in REPEATABLE_METHODS

    def _message(self) -> dict[str, Any]:
        view = self.call.caller.view
        return {
            "type": "call",
            **self._place,
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
            "expires_in_s": self._time_left_s,
            "cost_tokens": self._cost_tokens,
            "worth": view.plan["worth"],
            "digest": self.call.digest,
            "traceparent": traces.traceparent(self._span),
        }

    def _on_refused(self, message: Any) -> None:
        reason = message["reason"]
        self._note("refused", target=self.target.name, why=reason)
        self._retry_after_s = max(
            message["retry_after_s"], request_state.RETRY_AFTER_S
        )
        if reason == request_state.STALE_CONFIG:
            self._release_target()
            self._begin_later(request_state.STALE_WAIT_S)
            return
        self._exclude_target()
        self._lost(reason)

    def _on_result(self, message: Any) -> None:
        if message["reason"]:
            self._on_no_answer(message)
            return
        self._note(
            "answered",
            target=self.target.name,
            status=message["status"],
            replayed=message["replayed"],
        )
        self._succeeded()
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
        self._retry_after_s = max(
            message["retry_after_s"], request_state.RETRY_AFTER_S
        )
        if message["ran"] != "no":
            self._may_have_run = True
        if reason == SERVICE_DOWN:
            self._failed_target()
        else:
            self._exclude_target()
        if reason in FINAL_REASONS:
            self._give_up(reason)
        elif message["ran"] == "no" or self._repeatable:
            self._lost(reason)
        else:
            self._give_up(reason)

    def _lost(self, reason: str) -> None:
        """Begins another attempt, or ends the call."""
        safe = (
            not self._may_have_run
            or self._repeatable
            or bool(self.call.idempotency_key)
        )
        if safe and self._may_retry(reason):
            self._back_off()
        else:
            self._give_up(reason)

    def _no_route(self) -> None:
        if not self._excluded:
            self._give_up("no_target")
            return
        self.attempt += 1
        self._excluded.clear()
        self._lost("no_target")

    def _give_up(self, reason: str) -> None:
        """Gives the final answer at once, with when to come back."""
        kind = ERRORS.get(reason)
        if kind is None and self._may_have_run:
            kind = exceptions.OutcomeUnknown
        elif kind is None and reason == "no_target":
            kind = exceptions.NoTarget
        elif kind is None:
            kind = exceptions.Overloaded
        message = f"the call of {self.call.service} ended: {reason}"
        self._fail(kind(message, self._ran, self._retry_after_s))

    def _on_deadline(self) -> None:
        if self.target is not None:
            self._may_have_run = True
        self._cancel_attempt()
        self._give_up("deadline")
