"""Configuration of a gateway (routes, services, limits) and target reports."""

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
    """A service that requests are routed to.

    Attributes:
        name: Name of the service.
        health_path: Path that its targets answer to health probes.
        max_connections: Configured limit of connections.
        engine: Performance model of its engines; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: fleet.Engine | None


class Route(NamedTuple):
    """A rule that selects requests by host and path, and how to send them.

    Attributes:
        name: Name of the route.
        host: Host header that it matches, in lower case.
        path_prefix: Path prefix, with a slash at both ends.
        kind: Whether its requests are idempotent, and whether they stream.
        timeout_s: Time limit for the complete response.
        target_latency_s: Intended maximum time to the response, or to the
            first event of a stream.
        priority: Priority class; 0 is the most urgent.
        services: Names of services with their traffic weights.
        max_targets: Maximum number of targets that a request may run on.
        is_public: Whether requests need no API key.
        is_resumable: Whether a stream may continue at another target.
        max_event_gap_s: Intended maximum pause between two events.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    services: tuple[tuple[str, float], ...]
    max_targets: int
    is_public: bool
    is_resumable: bool
    max_event_gap_s: float

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind == STREAMING:
            return self.is_resumable
        return self.kind == IDEMPOTENT

    @property
    def allowance(self) -> attempts.Allowance:
        """Limits on how often a request may be executed."""
        return attempts.Allowance(self.may_repeat, self.max_targets)


class Workspace(NamedTuple):
    """A customer's account.

    Attributes:
        name: Name of the workspace.
        priority: Priority class of its requests; None for the route's.
    """

    name: str
    priority: int | None


class CallerLimits(NamedTuple):
    """Limits on the size of callers' requests and on the time to send them."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Catalog(NamedTuple):
    """A decoded configuration.

    Attributes:
        version: Version that the operator gave it.
        routes: Routes by host, longest path prefix first.
        services: Services by name.
        workspaces: Workspaces by API key; None if no keys are required.
        limits: Limits on callers.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace] | None
    limits: CallerLimits

    def route(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest matching path prefix."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def ranked_services(catalog: Catalog) -> frozenset[str]:
    """Returns the services whose routes differ in priority class."""
    priorities: dict[str, set[int]] = {}
    for routes in catalog.routes.values():
        for route in routes:
            for service, _ in route.services:
                priorities.setdefault(service, set()).add(route.priority)
    return frozenset(
        service for service, classes in priorities.items() if len(classes) > 1
    )


# Classes of a service by workspace and then by route, the most urgent first.
ClassOrder = tuple[tuple[int, int], ...]
MAX_RANK = 9


def class_orders(catalog: Catalog) -> dict[str, ClassOrder]:
    """Returns the order of the classes of each ranked service.

    A workspace's class takes precedence over the route's. Inside it the
    route's decides, so that it still counts where all workspaces have the
    same class.
    """
    anyone = {Workspace("", None)}
    callers = {
        Workspace("", one.priority)
        for one in (catalog.workspaces or {}).values()
    }
    ranked = ranked_services(catalog)
    classes: dict[str, set[tuple[int, int]]] = {name: set() for name in ranked}
    for routes in catalog.routes.values():
        for route in routes:
            is_open = route.is_public or catalog.workspaces is None
            found = {
                _class_of(route, workspace)
                for workspace in (anyone if is_open else callers)
            }
            for service in {name for name, _ in route.services} & ranked:
                classes[service] |= found
    return {name: tuple(sorted(found)) for name, found in classes.items()}


def rank_in(order: ClassOrder, route: Route, workspace: Workspace) -> int:
    """Returns the position of a request's class; 0 is the most urgent."""
    return min(MAX_RANK, order.index(_class_of(route, workspace)))


def _class_of(route, workspace):
    if workspace.priority is None:
        return route.priority, route.priority
    return workspace.priority, route.priority


class TargetReport(NamedTuple):
    """Status that a target reports about itself.

    Attributes:
        born_ms: Start time of its process, by its clock.
        accepted_orders: Number of layout orders accepted since that start.
        is_executing_order: Whether it is executing an order.
        pace: Relative step time; 1 is nominal, and more is slower.
        first_layer: First layer held.
        end_layer: Layer after the last one held.
    """

    born_ms: int
    accepted_orders: int
    is_executing_order: bool
    pace: float
    first_layer: int
    end_layer: int
