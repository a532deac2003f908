"""Targets, their engines, and paths through them: what policies weigh."""

from collections.abc import Mapping
from typing import NamedTuple

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

    @property
    def usual_tokens(self) -> float:
        """Mean length of a prompt with its answer."""
        return self.usual_prompt_tokens + self.usual_output_tokens


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
