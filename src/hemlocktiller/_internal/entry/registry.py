"""The requests that are in progress at an entry, by request id."""

from collections.abc import Callable
from typing import Any

import prometheus_client

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.entry import attempts
from hemlocktiller._internal.entry import model_requests
from hemlocktiller._internal.entry import outcomes
from hemlocktiller._internal.entry import service_requests
from hemlocktiller._internal.entry import targets as targets_module
from hemlocktiller._internal.policy import limits

OPEN_REQUESTS = prometheus_client.Gauge(
    "hemlocktiller_open_requests", "Requests in progress at this entry"
)
ENDS = prometheus_client.Counter(
    "hemlocktiller_request_ends", "Requests that ended by outcome", ["outcome"]
)

Request = model_requests.ModelRequest | service_requests.ServiceRequest
MODEL_MESSAGES = ("started", "refused", "failed", "finished")


class Registry:
    """Open requests, and the way from a message to its request.

    Attributes:
        shared: What all requests use.
        entries: Returns how many entries share the limits.
    """

    def __init__(self) -> None:
        self.shared: attempts.Shared | None = None
        self.entries: Callable[[], int] = lambda: 1
        self._limits = limits.WorkspaceLimits()
        self._open: dict[str, Request] = {}

    def __len__(self) -> int:
        return len(self._open)

    def admit(self, caller: outcomes.Caller) -> None:
        """Counts a request in; `begin_model` or `begin_service` follows.

        Raises:
            LimitExceeded: The workspace is over a limit of its plan.
        """
        view = caller.view
        now_s = self.shared.reactor.seconds()
        admission = self._limits.admit(
            view.workspace, view.limits, max(self.entries(), 1), now_s
        )
        if not admission.allowed:
            raise exceptions.LimitExceeded(
                f"workspace {view.workspace} is over {admission.limit}",
                retry_after_s=admission.retry_after_s,
            )

    def begin_model(
        self, call: outcomes.ModelCall, sink: outcomes.Sink
    ) -> None:
        """Begins a model request."""

        def on_end(usage: outcomes.Usage) -> None:
            self._ended(call.request, "ok")
            sink.on_end(usage)

        def on_error(error: exceptions.RequestError) -> None:
            self._ended(call.request, error.code)
            sink.on_error(error)

        request = model_requests.ModelRequest(
            self.shared, call, outcomes.Sink(sink.on_tokens, on_end, on_error)
        )
        self._begin(call.request, request)

    def begin_service(
        self,
        call: outcomes.ServiceCall,
        on_answer: Callable[[outcomes.ServiceAnswer], None],
        on_error: Callable[[exceptions.RequestError], None],
    ) -> None:
        """Begins a call of a plain service."""

        def answered(answer: outcomes.ServiceAnswer) -> None:
            self._ended(call.request, "ok")
            on_answer(answer)

        def failed(error: exceptions.RequestError) -> None:
            self._ended(call.request, error.code)
            on_error(error)

        request = service_requests.ServiceRequest(
            self.shared, call, answered, failed
        )
        self._begin(call.request, request)

    def grant(self, request_id: str, tokens: int) -> None:
        """Passes on that a caller took tokens."""
        request = self._open.get(request_id)
        if request is not None:
            request.grant(tokens)

    def cancel(self, request_id: str) -> None:
        """Ends a request whose caller has gone."""
        request = self._open.get(request_id)
        if request is not None:
            self._ended(request_id, "cancelled")
            request.cancel()

    def on_message(self, message: Any) -> None:
        """Passes a target's message to its request."""
        kind = message["type"]
        if kind == "tokens":
            for run in message["runs"]:
                request = self._open.get(run["request"])
                if request is not None:
                    request.on_tokens(run)
        elif kind in MODEL_MESSAGES or kind == "call_result":
            request = self._open.get(message["request"])
            if request is not None:
                request.on_message(message)

    def at_target(self, target: targets_module.Target) -> list[Request]:
        """Returns the requests whose current attempt is at a target."""
        return [
            request
            for request in self._open.values()
            if request.target is target
        ]

    def running_s(self, target: targets_module.Target) -> dict[int, float]:
        """Returns how long each digest has been running at a target."""
        now_s = self.shared.reactor.seconds()
        return {
            request.call.digest: now_s - request.sent_s
            for request in self.at_target(target)
        }

    def on_target_lost(
        self, target: targets_module.Target, reason: str
    ) -> None:
        """Tells the requests at a target that its link went down."""
        for request in self.at_target(target):
            request.on_target_lost(reason)

    def _begin(self, request_id: str, request: Request) -> None:
        self._open[request_id] = request
        OPEN_REQUESTS.set(len(self._open))
        request.begin()

    def _ended(self, request_id: str, outcome: str) -> None:
        request = self._open.pop(request_id, None)
        if request is None:
            return
        self._limits.finished(request.call.caller.view.workspace)
        ENDS.labels(outcome).inc()
        OPEN_REQUESTS.set(len(self._open))
