"""Requests in progress at an entry, by request id."""

from collections.abc import Callable
from typing import Any

import prometheus_client

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.entry import call_types
from hemlocktiller._internal.entry import model_requests
from hemlocktiller._internal.entry import request_context
from hemlocktiller._internal.entry import service_requests
from hemlocktiller._internal.entry import targets as targets_module
from hemlocktiller._internal.policy import limits

OPEN_REQUESTS = prometheus_client.Gauge(
    "hemlocktiller_open_requests", "Requests in progress at this entry"
)
REQUEST_ENDS = prometheus_client.Counter(
    "hemlocktiller_request_ends", "Requests that ended by outcome", ["outcome"]
)

Request = model_requests.ModelRequest | service_requests.ServiceRequest
MODEL_MESSAGE_TYPES = ("started", "refused", "failed", "finished")


class RequestRegistry:
    """Tracks requests in progress and dispatches messages to them.

    Attributes:
        context: Components of the entry that all requests use; set after
            construction.
        entry_count: Returns how many entries share the limits of workspaces.
    """

    def __init__(self) -> None:
        self.context: request_context.RequestContext | None = None
        self.entry_count: Callable[[], int] = lambda: 1
        self._limits = limits.WorkspaceLimits()
        self._requests: dict[str, Request] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def admit(self, caller: call_types.CallerIdentity) -> None:
        """Counts a request against the limits of its workspace.

        A call of `start_model_request` or `start_service_call` follows.

        Raises:
            LimitExceeded: The workspace is over a limit of its plan.
        """
        view = caller.workspace_view
        now_s = self.context.reactor.seconds()
        admission = self._limits.admit(
            view.workspace, view.limits, max(self.entry_count(), 1), now_s
        )
        if not admission.allowed:
            raise exceptions.LimitExceeded(
                f"workspace {view.workspace} is over {admission.limit}",
                retry_after_s=admission.retry_after_s,
            )

    def start_model_request(
        self, call: call_types.ModelCall, sink: call_types.ResponseSink
    ) -> None:
        """Starts a model request and registers it."""

        def on_end(usage: call_types.Usage) -> None:
            self._remove(call.request_id, "ok")
            sink.on_end(usage)

        def on_error(error: exceptions.RequestError) -> None:
            self._remove(call.request_id, error.code)
            sink.on_error(error)

        request = model_requests.ModelRequest(
            self.context,
            call,
            call_types.ResponseSink(sink.on_tokens, on_end, on_error),
        )
        self._start(call.request_id, request)

    def start_service_call(
        self,
        call: call_types.ServiceCall,
        on_response: Callable[[call_types.ServiceResponse], None],
        on_error: Callable[[exceptions.RequestError], None],
    ) -> None:
        """Starts a call of a plain service and registers it."""

        def on_call_completed(response: call_types.ServiceResponse) -> None:
            self._remove(call.request_id, "ok")
            on_response(response)

        def on_call_failed(error: exceptions.RequestError) -> None:
            self._remove(call.request_id, error.code)
            on_error(error)

        request = service_requests.ServiceRequest(
            self.context, call, on_call_completed, on_call_failed
        )
        self._start(call.request_id, request)

    def grant_credit(self, request_id: str, tokens: int) -> None:
        """Grants a request's target credit for tokens that were consumed."""
        request = self._requests.get(request_id)
        if request is not None:
            request.grant_credit(tokens)

    def cancel(self, request_id: str) -> None:
        """Cancels a request whose caller has disconnected."""
        request = self._requests.get(request_id)
        if request is not None:
            self._remove(request_id, "cancelled")
            request.cancel()

    def abandon_all(self) -> None:
        """Fails all requests, as this process ends."""
        for request in list(self._requests.values()):
            request.abandon()

    def on_message(self, message: Any) -> None:
        """Dispatches a target's message to its request."""
        message_type = message["type"]
        if message_type == "tokens":
            for token_run in message["runs"]:
                request = self._requests.get(token_run["request"])
                if request is not None:
                    request.on_tokens(token_run)
        elif (
            message_type in MODEL_MESSAGE_TYPES
            or message_type == "call_result"
        ):
            request = self._requests.get(message["request"])
            if request is not None:
                request.on_message(message)

    def requests_at_target(
        self, target: targets_module.Target
    ) -> list[Request]:
        """Returns the requests whose current attempt is at a target."""
        return [
            request
            for request in self._requests.values()
            if request.target is target
        ]

    def running_s_by_digest(
        self, target: targets_module.Target
    ) -> dict[int, float]:
        """Returns how long each request has run at a target, by digest."""
        now_s = self.context.reactor.seconds()
        return {
            request.call.request_digest: now_s - request.attempt_sent_at_s
            for request in self.requests_at_target(target)
        }

    def prompts_without_output(
        self, target: targets_module.Target
    ) -> list[tuple[int, ...]]:
        """Returns the prompt parts of requests that wait for their output."""
        return [
            request.prompt_parts
            for request in self.requests_at_target(target)
            if not request.has_output
        ]

    def on_target_lost(
        self, target: targets_module.Target, reason: str
    ) -> None:
        """Notifies the requests at a target that its link went down."""
        for request in self.requests_at_target(target):
            request.on_target_lost(reason)

    def on_target_silent(self, target: targets_module.Target) -> None:
        """Notifies the requests at a target that it has fallen silent."""
        for request in self.requests_at_target(target):
            request.on_target_silent()

    def _start(self, request_id: str, request: Request) -> None:
        self._requests[request_id] = request
        OPEN_REQUESTS.set(len(self._requests))
        request.start_next_attempt()

    def _remove(self, request_id: str, outcome: str) -> None:
        """Removes a request that ended and releases its workspace's limit."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return
        self._limits.release(request.call.caller.workspace_view.workspace)
        REQUEST_ENDS.labels(outcome).inc()
        OPEN_REQUESTS.set(len(self._requests))
