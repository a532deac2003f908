"""Helpers that the handlers of streams and calls share.

A handler (`streams.Stream` or `calls.Call`) serves one request in progress.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal import http_exchange
from hemlocktiller._internal.gateway import crashes as crashes_module
from hemlocktiller._internal.gateway import ingress
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import platform_adapter
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.gateway import waiting_calls as waiting
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import budget
from hemlocktiller._internal.policy import fleet

RESPONSES = prometheus_client.Counter(
    "hemlocktiller_gateway_answers",
    "Answers to callers by kind of route and outcome",
    ["kind", "outcome"],
)
FIRST_BYTE_LATENCY_S = prometheus_client.Histogram(
    "hemlocktiller_gateway_first_seconds",
    "Time to the first byte of an answer",
    ["kind"],
    buckets=(0.05, 0.1, 0.2, 0.35, 0.5, 0.89, 1.5, 3.0, 10.0),
)

# How often handlers check for silent targets: a third of the shortest silence
# that they act on.
PROGRESS_CHECK_INTERVAL_S = 0.1
STATUS_SERVICE_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504


class RequestContext(NamedTuple):
    """Shared services that handlers of requests use.

    Attributes:
        reactor: Reactor.
        adapter: The platform's adapter.
        targets: The targets.
        retry_budget_for: Returns the retry budget of a service.
        crash_evidence: Tracks requests that crash targets.
        data_centre: Where this process runs.
        node: Name of this process.
        waiting_calls: Calls that wait for a target with a limit.
    """

    reactor: Any
    adapter: platform_adapter.PlatformAdapter
    targets: targets_module.Targets
    retry_budget_for: Callable[[str], budget.RetryBudget]
    crash_evidence: crashes_module.CrashEvidence
    data_centre: str
    node: str
    waiting_calls: waiting.WaitingCalls


class AdmittedRequest(NamedTuple):
    """A request that was authenticated and routed.

    Attributes:
        caller_request: The HTTP request and its response.
        parsed_headers: Its decoded headers.
        route: Its route.
        service: The service that it is sent to.
        workspace: Workspace of its API key; empty on public routes.
        priority: Its priority class; 0 is the most urgent.
        body: Its body.
        config_version: Version of the configuration that admitted it.
        rank: Its priority class if the requests of its service differ in
            it, so that the class decides who is served first; else None.
    """

    caller_request: ingress.CallerRequest
    parsed_headers: platform_adapter.RequestHeaders
    route: model.Route
    service: model.Service
    workspace: str
    priority: int
    body: bytes
    config_version: int
    rank: int | None = None


def request_deadline_s(admitted: AdmittedRequest) -> float:
    """Returns the time at which the caller or the route times out."""
    time_limit_s = admitted.route.timeout_s
    if admitted.parsed_headers.time_left_s is not None:
        time_limit_s = min(time_limit_s, admitted.parsed_headers.time_left_s)
    return admitted.caller_request.received_at_s + time_limit_s


def request_digest(admitted: AdmittedRequest) -> int:
    """Returns a digest that is the same for retries of a request."""
    return crashes_module.digest(
        admitted.workspace, admitted.caller_request.uri, admitted.body
    )


def handle_target_down(
    context: RequestContext,
    in_progress: Iterable[Any],
    target: fleet.Target,
    reason: str,
) -> None:
    """Handles the loss of a target.

    A crash is recorded first, as handlers look it up to decide whether to
    send their request to another target. A silent target has not crashed; it
    is handled again once it is known to have ended.

    Args:
        context: Shared services.
        in_progress: Handlers of the requests in progress.
        target: The target that is down.
        reason: Why it is considered down.
    """
    in_progress = list(in_progress)
    if context.targets.has_ended(target):
        waiting = [
            handler
            for handler in in_progress
            if handler.awaits_output_from(target)
        ]
        context.crash_evidence.record_target_down(
            target,
            {handler.digest: handler.request_id for handler in waiting},
            [
                crashes_module.RequestPrompt(
                    handler.request_id, handler.prompt_parts
                )
                for handler in waiting
            ],
        )
    for handler in in_progress:
        handler.on_target_down(target, reason)


def send_to_target(
    context: RequestContext,
    admitted: AdmittedRequest,
    target: fleet.Target,
    callbacks: http_exchange.ExchangeCallbacks,
    path: fleet.Path = (),
    last_event_id: str = "",
) -> http_exchange.Exchange:
    """Sends a request to a target.

    The body of a stream is not limited: its handler limits each event.

    Args:
        context: Shared services.
        admitted: The request.
        target: The target; the first of the path.
        callbacks: Callbacks for the response.
        path: Stages of a model request.
        last_event_id: Event after which a stream is resumed.
    """
    caller_request = admitted.caller_request
    remaining_s = request_deadline_s(admitted) - context.reactor.seconds()
    headers = context.adapter.encode_request_headers(
        admitted.parsed_headers,
        platform_adapter.DispatchDetails(
            target,
            path,
            remaining_s,
            admitted.workspace,
            last_event_id,
            admitted.rank,
        ),
    )
    context.targets.record_request_sent(target)
    sent_s = context.reactor.seconds()

    def on_head(status: int, response_headers: http_exchange.Headers) -> None:
        context.targets.record_output(target)
        context.targets.record_response_head(
            target, status, response_headers, sent_s
        )
        callbacks.on_head(status, response_headers)

    def on_data(data: bytes) -> None:
        context.targets.record_output(target)
        callbacks.on_data(data)

    def on_end(failure: http_exchange.ExchangeFailure | None) -> None:
        if failure is None or failure.was_sent:
            context.targets.record_exchange_end(target)
        callbacks.on_end(failure)

    request_parts = (
        caller_request.method.decode("latin-1"),
        caller_request.uri.decode("latin-1"),
        headers,
        admitted.body,
    )
    return http_exchange.Exchange(
        context.reactor,
        (target.host, target.port),
        request_parts,
        http_exchange.ExchangeCallbacks(on_head, on_data, on_end),
        None if path else http_exchange.MAX_BODY_BYTES,
    )


def respond_with_error(
    context: RequestContext,
    admitted: AdmittedRequest,
    status: int,
    reason: str,
    retry_after_s: float = 0.0,
) -> None:
    """Responds with an error that the gateway itself reports."""
    headers = []
    if retry_after_s > 0.0:
        retry_after = f"{retry_after_s:.2f}".encode()
        headers.append((b"Retry-After", retry_after))
    record_completion(context, admitted, f"{status}", reason)
    admitted.caller_request.respond(status, headers, reason.encode() + b"\n")


def record_completion(
    context: RequestContext,
    admitted: AdmittedRequest,
    outcome: str,
    reason: str = "",
    **fields: Any,
) -> None:
    """Counts and logs a request that has ended."""
    RESPONSES.labels(admitted.route.kind, outcome).inc()
    duration_s = (
        context.reactor.seconds() - admitted.caller_request.received_at_s
    )
    events.emit(
        "request_end",
        request=admitted.parsed_headers.request_id,
        route=admitted.route.name,
        outcome=outcome,
        reason=reason,
        took_ms=round(duration_s * 1000),
        **fields,
    )
