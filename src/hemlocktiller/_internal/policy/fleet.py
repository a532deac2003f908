"""Targets, their engines and the paths of requests through targets."""

from collections.abc import Mapping
from typing import NamedTuple

READY = "ready"
DRAINING = "draining"
# Ratio of decode times from which one fast target does the work of many slow
# ones, so that which of them a request runs on decides whether it is in time.
UNEVEN_DECODE_TIME_RATIO = 10.0


class Accelerator(NamedTuple):
    """A kind of accelerator.

    Attributes:
        name: Name of the kind.
        memory_mb: Memory for layers and the KV cache of requests.
        decode_time_factor: Time of a decode step relative to the engine's.
        prefill_time_factor: Time of prefill relative to the engine's.
    """

    name: str
    memory_mb: float
    decode_time_factor: float
    prefill_time_factor: float


class Engine(NamedTuple):
    """Performance model of the engines of a model service.

    Attributes:
        layer_count: Layers of the model.
        layer_mb: Memory for the weights of one layer.
        kv_mb_per_token: KV cache of one token in all layers.
        step_ms: Time of a decode step through all layers, without load.
        sequence_ms: Time that each running sequence adds to a step.
        context_ms_per_1k: Time that each 1,000 tokens of context add to a
            step.
        prefill_tokens_per_ms: Prompt tokens prefilled per ms in all layers.
        activation_mb: Size of the activations of one token, sent at each hop.
        link_mbps: Bandwidth between targets of a data centre.
        pipe_mbps: Bandwidth of the pipe between data centres, shared by all
            transfers.
        stride: Decode steps per pass.
        max_sequences: Sequences that a first stage runs at once.
        load_s: Time to load the whole model.
        usual_prompt_tokens: Mean length of a prompt.
        usual_output_tokens: Mean length of an answer.
        accelerators: Kinds of accelerator by name.
        retains_prompts: Whether targets keep prompts after their requests,
            while memory lasts.
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
    retains_prompts: bool = False

    @property
    def usual_tokens(self) -> float:
        """Mean tokens of a prompt and its answer."""
        return self.usual_prompt_tokens + self.usual_output_tokens


class Target(NamedTuple):
    """A registered target.

    Attributes:
        name: Id of its registration.
        service: Service that it belongs to.
        host: Host that it listens on.
        port: Port that it listens on.
        data_centre: Data centre.
        state: `READY` or `DRAINING`.
        slots: Requests that it runs at once.
        born_ms: Start time of its process, by the process's own clock.
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
        """Address in the form host:port."""
        return f"{self.host}:{self.port}"

    @property
    def process_id(self) -> str:
        """Id of its process, which differs after a restart."""
        return f"{self.name}/{self.born_ms}"

    @property
    def layers(self) -> int:
        """Number of layers held."""
        return self.end_layer - self.first_layer


class Stage(NamedTuple):
    """One hop of a path: a target and the layers that it runs there."""

    target: Target
    first_layer: int
    end_layer: int

    @property
    def layers(self) -> int:
        """Number of layers that run in this stage."""
        return self.end_layer - self.first_layer


Path = tuple[Stage, ...]


def is_uneven(engine: Engine | None) -> bool:
    """Returns whether the accelerators of an engine differ much in speed."""
    if engine is None or not engine.accelerators:
        return False
    factors = [
        kind.decode_time_factor for kind in engine.accelerators.values()
    ]
    return max(factors) >= UNEVEN_DECODE_TIME_RATIO * min(factors)
