"""A call of a plain service at an entry, across all of its attempts.

A call is retried only if the earlier attempt provably did not run, if its
method is repeatable, or if it carries an idempotency key. With a key, a
claim in the object API keeps the call from running a second time.
"""

from collections.abc import Callable
from typing import Any

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.entry import base_request
from hemlocktiller._internal.entry import call_types
from hemlocktiller._internal.entry import request_context
from hemlocktiller._internal.entry import routes
from hemlocktiller._internal.observe import traces

REPEATABLE_METHODS = ("GET", "HEAD")
SERVICE_DOWN = "service_down"
NON_RETRYABLE_REASONS = ("key_conflict", "void")
ERROR_TYPES_BY_REASON = {
    "in_progress": exceptions.InProgress,
    "key_conflict": exceptions.IdempotencyKeyConflict,
    "store_unavailable": exceptions.StoreDown,
    "deadline": exceptions.DeadlineExceeded,
}


class ServiceRequest(base_request.BaseRequest):
    """State of a call of a plain service."""

    _interruption_type = exceptions.OutcomeUnknown

    def __init__(
        self,
        context: request_context.RequestContext,
        call: call_types.ServiceCall,
        on_response: Callable[[call_types.ServiceResponse], None],
        on_error: Callable[[exceptions.RequestError], None],
    ) -> None:
        super().__init__(context, call, on_error)
        self._on_response = on_response

    def start_next_attempt(self) -> None:
        """Chooses a target and sends the next attempt, if one may be sent."""
        if not self._prepare_attempt():
            return
        route = self._choose_route(self._excluded_targets)
        if route is None:
            self._on_no_route()
        else:
            self._send(route)

    def on_message(self, message: Any) -> None:
        """Handles a message of a target, unless its attempt is stale."""
        if not self._is_current_attempt(message):
            return
        if message["type"] == "refused":
            self._on_refused(message)
        elif message["type"] == "call_result":
            self._on_call_result(message)

    def on_target_lost(self, reason: str) -> None:
        """Retries on another target if that can't run the call twice."""
        self._may_have_run = True
        self._record_target_failure()
        self._retry_or_fail(reason)

    @property
    def _is_repeatable(self) -> bool:
        return self.call.method in REPEATABLE_METHODS

    def _choose_route(self, excluded: set[str]) -> routes.Route | None:
        return routes.choose_service_route(self._context, self.call, excluded)

    def _is_served_by(self, record: Any) -> bool:
        return record["service"] == self.call.service

    def _attempt_message(self, route: routes.Route) -> dict[str, Any]:
        view = self.call.caller.workspace_view
        return {
            "type": "call",
            **self._attempt_fields,
            "workspace": view.workspace,
            "plan": view.plan["plan"],
            "service": self.call.service,
            "config_version": self.call.caller.config_version,
            "method": self.call.method,
            "path": self.call.path,
            "content_type": self.call.content_type,
            "body": self.call.body,
            "idempotency_key": self.call.idempotency_key,
            "repeatable": self._is_repeatable,
            "expires_in_s": self._time_left_s,
            "cost_tokens": self._cost_tokens,
            "worth": view.plan["worth"],
            "digest": self.call.request_digest,
            "traceparent": traces.traceparent(self._span),
        }

    def _on_refused(self, message: Any) -> None:
        reason = message["reason"]
        self._add_event("refused", target=self.target.name, why=reason)
        self._retry_after_s = max(
            message["retry_after_s"], base_request.DEFAULT_RETRY_AFTER_S
        )
        if reason == base_request.STALE_CONFIG:
            self._release_target()
            self._schedule_attempt(base_request.STALE_CONFIG_WAIT_S)
            return
        self._exclude_target()
        self._retry_or_fail(reason)

    def _on_call_result(self, message: Any) -> None:
        if message["reason"]:
            self._on_call_failed(message)
            return
        self._add_event(
            "answered",
            target=self.target.name,
            status=message["status"],
            replayed=message["replayed"],
        )
        self._finish_successfully()
        self._on_response(
            call_types.ServiceResponse(
                message["status"],
                message["content_type"],
                message["body"],
                message["replayed"],
            )
        )

    def _on_call_failed(self, message: Any) -> None:
        """Handles a result without a response; retries if that is safe."""
        reason = message["reason"]
        self._add_event("no_answer", target=self.target.name, why=reason)
        self._retry_after_s = max(
            message["retry_after_s"], base_request.DEFAULT_RETRY_AFTER_S
        )
        if message["ran"] != "no":
            self._may_have_run = True
        if reason == SERVICE_DOWN:
            self._record_target_failure()
        else:
            self._exclude_target()
        if reason in NON_RETRYABLE_REASONS:
            self._fail_with_reason(reason)
        elif message["ran"] == "no" or self._is_repeatable:
            self._retry_or_fail(reason)
        else:
            self._fail_with_reason(reason)

    def _retry_or_fail(self, reason: str) -> None:
        """Retries the call if that is safe and allowed, or fails it."""
        is_safe_to_retry = (
            not self._may_have_run
            or self._is_repeatable
            or bool(self.call.idempotency_key)
        )
        if is_safe_to_retry and self._consume_retry(reason):
            self._schedule_retry()
        else:
            self._fail_with_reason(reason)

    def _on_no_route(self) -> None:
        """Waits, retries with the excluded targets allowed, or fails."""
        if self._wait_for_silent_target():
            return
        if not self._excluded_targets:
            self._fail_with_reason("no_target")
            return
        self.attempt_number += 1
        self._excluded_targets.clear()
        self._retry_or_fail("no_target")

    def _fail_with_reason(self, reason: str) -> None:
        """Fails the call with the error for a reason."""
        error_type = ERROR_TYPES_BY_REASON.get(reason)
        is_refusal = error_type in (None, exceptions.StoreDown)
        if is_refusal and self._may_have_run:
            error_type = exceptions.OutcomeUnknown
        elif error_type is None and reason == "no_target":
            error_type = exceptions.NoTarget
        elif error_type is None:
            error_type = exceptions.Overloaded
        message = f"the call of {self.call.service} ended: {reason}"
        self._finish_with_error(
            error_type(message, self._run_status, self._retry_after_s)
        )

    def _on_deadline(self) -> None:
        if self.target is not None:
            self._may_have_run = True
        self._cancel_attempt()
        self._fail_with_reason("deadline")
