"""What streams and calls share: a request in progress and its clocks."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal.gateway import crashes as crashes_module
from hemlocktiller._internal.gateway import ingress
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.gateway import upstream
from hemlocktiller._internal.gateway import wire as wire_module
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import budget
from hemlocktiller._internal.policy import fleet

OUTCOMES = prometheus_client.Counter(
    "hemlocktiller_gateway_answers",
    "Answers to callers by kind of route and outcome",
    ["kind", "outcome"],
)
FIRST_S = prometheus_client.Histogram(
    "hemlocktiller_gateway_first_seconds",
    "Time to the first byte of an answer",
    ["kind"],
    buckets=(0.05, 0.1, 0.2, 0.35, 0.5, 0.89, 1.5, 3.0, 10.0),
)

# How often requests in progress look at their clocks: a third of the shortest
# silence that they act on.
CHECK_INTERVAL_S = 0.1
STATUS_OVERLOADED = 503
STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504


class Context(NamedTuple):
    """What requests are served with.

    Attributes:
        reactor: Reactor.
        wire: The platform's adapter.
        targets: The targets.
        budgets: Returns the retry budget of a service.
        crashes: Evidence against requests that crash targets.
        data_centre: Where this process runs.
        node: Name of this process.
    """

    reactor: Any
    wire: wire_module.Wire
    targets: targets_module.Targets
    budgets: Callable[[str], budget.RetryBudget]
    crashes: crashes_module.Crashes
    data_centre: str
    node: str


class Admitted(NamedTuple):
    """A request that the configuration allows.

    Attributes:
        caller: The caller's request.
        asked: What its headers ask for.
        route: Its route.
        service: The service that it goes to.
        workspace: Workspace of its key; empty on public routes.
        priority: Its rank; 0 is the most urgent.
        body: Its body.
        config_version: Version that it was admitted under.
    """

    caller: ingress.CallerRequest
    asked: wire_module.Asked
    route: model.Route
    service: model.Service
    workspace: str
    priority: int
    body: bytes
    config_version: int


def deadline_s(admitted: Admitted) -> float:
    """Returns when the caller or the route gives up."""
    longest_s = admitted.route.timeout_s
    if admitted.asked.time_left_s is not None:
        longest_s = min(longest_s, admitted.asked.time_left_s)
    return admitted.caller.arrived_s + longest_s


def digest(admitted: Admitted) -> int:
    """Returns the digest by which a request is known when it comes again."""
    return crashes_module.digest(
        admitted.workspace, admitted.caller.uri, admitted.body
    )


def target_down(
    context: Context,
    in_progress: Iterable[Any],
    target: fleet.Target,
    reason: str,
) -> None:
    """Takes the loss of a target; the evidence first, as moves need it."""
    in_progress = list(in_progress)
    waiting = {
        work.digest: work.request_id
        for work in in_progress
        if work.is_waiting_at(target)
    }
    context.crashes.target_down(target, waiting)
    for work in in_progress:
        work.lost(target, reason)


def send(
    context: Context,
    admitted: Admitted,
    target: fleet.Target,
    upstream_events: upstream.Events,
    path: fleet.Path = (),
    last_event_id: str = "",
) -> upstream.Exchange:
    """Sends a request to a target.

    Args:
        context: What it is served with.
        admitted: The request.
        target: The target; the first of the path.
        upstream_events: What to do with the answer.
        path: Stages of a model request.
        last_event_id: Event after which a stream goes on.
    """
    caller = admitted.caller
    left_s = deadline_s(admitted) - context.reactor.seconds()
    headers = context.wire.dispatch_headers(
        admitted.asked,
        wire_module.Dispatch(
            target, path, left_s, admitted.workspace, last_event_id
        ),
    )
    context.targets.sent(target)
    request = (
        caller.method.decode("latin-1"),
        caller.uri.decode("latin-1"),
        headers,
        admitted.body,
    )
    return upstream.Exchange(
        context.reactor, (target.host, target.port), request, upstream_events
    )


def refuse(
    context: Context,
    admitted: Admitted,
    status: int,
    reason: str,
    retry_after_s: float = 0.0,
) -> None:
    """Answers a request with a failure of our own."""
    headers = []
    if retry_after_s > 0.0:
        value = f"{retry_after_s:.2f}".encode()
        headers.append((b"Retry-After", value))
    finished(context, admitted, f"{status}", reason)
    admitted.caller.answer(status, headers, reason.encode() + b"\n")


def finished(
    context: Context,
    admitted: Admitted,
    outcome: str,
    reason: str = "",
    **facts: Any,
) -> None:
    """Counts and logs the end of a request."""
    OUTCOMES.labels(admitted.route.kind, outcome).inc()
    took_s = context.reactor.seconds() - admitted.caller.arrived_s
    events.emit(
        "request_end",
        request=admitted.asked.request_id,
        route=admitted.route.name,
        outcome=outcome,
        reason=reason,
        took_ms=round(took_s * 1000),
        **facts,
    )
