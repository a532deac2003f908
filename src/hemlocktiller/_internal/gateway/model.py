"""What a gateway knows of its deployment: routes, services, targets."""

from collections.abc import Mapping
from typing import Literal
from typing import NamedTuple

from hemlocktiller._internal.policy import attempts
from hemlocktiller._internal.policy import fleet

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAMING = "streaming"
RouteKind = Literal["idempotent", "non_idempotent", "streaming"]


class Service(NamedTuple):
    """A service; `engine` is None unless it serves a model in layers."""

    name: str
    health_path: str
    max_connections: int
    engine: fleet.Engine | None


class Route(NamedTuple):
    """Which requests go to which service, and how.

    Attributes:
        name: Name of the route.
        host: Host that it serves.
        path_prefix: Path prefix, with a slash at both ends.
        kind: What may be repeated.
        timeout_s: Longest time until the final answer.
        target_latency_s: Time to the answer, or to its first event.
        priority: Rank; 0 is the most urgent.
        services: Services and their weights.
        attempts: Most targets that one request may run on.
        is_public: Whether no key is needed.
        is_resumable: Whether a stream may go on at another target.
        max_gap_s: Longest pause between events that is still in time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    services: tuple[tuple[str, float], ...]
    attempts: int
    is_public: bool
    is_resumable: bool
    max_gap_s: float

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind == STREAMING:
            return self.is_resumable
        return self.kind == IDEMPOTENT

    @property
    def allowance(self) -> attempts.Allowance:
        """How often, and at how many targets, a request may run."""
        return attempts.Allowance(self.may_repeat, self.attempts)


class Workspace(NamedTuple):
    """A customer's workspace; without a priority the route's holds."""

    name: str
    priority: int | None


class CallerLimits(NamedTuple):
    """What callers may send, and how long they may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Catalog(NamedTuple):
    """A configuration in force.

    Attributes:
        version: Version of the operator.
        routes: Routes by host, longest prefix first.
        services: Services by name.
        workspaces: Workspaces by key; None if no keys are asked for.
        limits: Limits on callers.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace] | None
    limits: CallerLimits

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class Report(NamedTuple):
    """What a target says of itself.

    Attributes:
        born_ms: When it started.
        orders: Orders that it has accepted since.
        is_busy: Whether an order is in progress.
        pace: Its slowness; 1 is usual.
        first_layer: First layer held.
        end_layer: Layer after the last one held.
    """

    born_ms: int
    orders: int
    is_busy: bool
    pace: float
    first_layer: int
    end_layer: int
