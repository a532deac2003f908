"""What a gateway knows of its deployment: routes, services, targets."""

from collections.abc import Mapping
from typing import Literal
from typing import NamedTuple

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAMING = "streaming"
RouteKind = Literal["idempotent", "non_idempotent", "streaming"]

READY = "ready"
DRAINING = "draining"


class Accelerator(NamedTuple):
    """A kind of accelerator.

    Attributes:
        name: Name of the kind.
        memory_mb: Memory for layers and requests.
        step_factor: Time of a decode step against the engine's figure.
        prefill_factor: Time of prefill against the engine's figure.
    """

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


class Engine(NamedTuple):
    """How the engines of a model service work.

    Attributes:
        layer_count: Layers of the model.
        layer_mb: Memory of one layer.
        kv_mb_per_token: Memory of one token in all layers.
        step_ms: Time of a decode step without load.
        sequence_ms: Time that each running sequence adds to a step.
        context_ms_per_1k: Time that 1,000 tokens of context add.
        prefill_tokens_per_ms: Speed of prefill.
        activation_mb: Activations of one token at each hop.
        link_mbps: Speed between targets of a data centre.
        pipe_mbps: Speed of the pipe between data centres, shared by all.
        stride: Decode steps in a pass.
        max_sequences: Sequences that a first stage takes at once.
        load_s: Time to load the whole model.
        usual_prompt_tokens: Mean length of a prompt.
        usual_output_tokens: Mean length of an answer.
        accelerators: Kinds by name.
    """

    layer_count: int
    layer_mb: float
    kv_mb_per_token: float
    step_ms: float
    sequence_ms: float
    context_ms_per_1k: float
    prefill_tokens_per_ms: float
    activation_mb: float
    link_mbps: float
    pipe_mbps: float
    stride: int
    max_sequences: int
    load_s: float
    usual_prompt_tokens: float
    usual_output_tokens: float
    accelerators: Mapping[str, Accelerator]


class Service(NamedTuple):
    """A service; `engine` is None unless it serves a model in layers."""

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None


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


class Target(NamedTuple):
    """A registered target.

    Attributes:
        name: Id of its registration.
        service: Service that it belongs to.
        host: Address.
        port: Port.
        data_centre: Data centre.
        state: `READY` or `DRAINING`.
        slots: Requests that it takes at once.
        born_ms: When this process of the target started, by its clock.
        accelerator: Kind of accelerator; empty for plain services.
        first_layer: First layer held.
        end_layer: Layer after the last one held.
    """

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    state: str
    slots: int
    born_ms: int
    accelerator: str = ""
    first_layer: int = 0
    end_layer: int = 0

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"

    @property
    def layers(self) -> int:
        """How many layers it holds."""
        return self.end_layer - self.first_layer


class Stage(NamedTuple):
    """A part of a path: a target and the layers that it runs."""

    target: Target
    first_layer: int
    end_layer: int

    @property
    def layers(self) -> int:
        """How many layers run here."""
        return self.end_layer - self.first_layer


Path = tuple[Stage, ...]


class Report(NamedTuple):
    """What a target says of itself.

    Attributes:
        born_ms: When it started.
        orders: Orders that it has accepted since.
        is_busy: Whether an order is in progress.
        pace: Its slowness; 1 is usual.
        first_layer: First layer held.
        end_layer: Layer after the last one held.
        kv_used: Memory in use, in tokens times layers.
        kv_total: Memory for requests, in tokens times layers.
        waiting: Requests that wait.
        running: Requests that run.
        stalled_on: Addresses that requests here wait for.
    """

    born_ms: int
    orders: int
    is_busy: bool
    pace: float
    first_layer: int
    end_layer: int
    kv_used: float
    kv_total: float
    waiting: int
    running: int
    stalled_on: frozenset[str]
