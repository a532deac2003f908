"""Simulation of targets in discrete time, for tests of policies under load.

It covers what determines the duration of a request: the steps of a target
take longer with more sequences and context, a token that arrives during a
forward pass waits for its end, prompts wait for earlier prompts, each token
takes memory, and the newest request is preempted when memory runs out. Strides
of tokens, chunked prompts and pipes between data centres are not simulated.
"""

from collections.abc import Callable
from typing import NamedTuple

from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import paths

STEP_S = 0.02
# Round trip to a target, in addition to the time of the engines.
NETWORK_S = 0.002
# Mean share of a forward pass that a token waits for while the target runs
# other sequences.
PASS_WAIT_RATIO = 0.5


class Request(NamedTuple):
    """A request that a target has accepted.

    Attributes:
        key: Id of the request.
        path: Stages that run the request.
        prompt_tokens: Length of the prompt.
        output_tokens: Length of the output.
        on_first: Called with the time to the first stride of tokens, in
            seconds.
        on_end: Called with the time to the last token, in seconds.
    """

    key: str
    path: fleet.Path
    prompt_tokens: float
    output_tokens: float
    on_first: Callable[[float], None]
    on_end: Callable[[float], None]


class _RunningRequest:
    """Progress of a request."""

    def __init__(self, request: Request, start_s: float) -> None:
        self.request = request
        self.start_s = start_s
        self.remaining_prefill = [
            request.prompt_tokens * stage.layers for stage in request.path
        ]
        self.output_tokens_done = 0.0
        self.is_first_reported = False

    def is_prefilling(self) -> bool:
        """Returns whether a stage has not prefilled the whole prompt."""
        return any(self.remaining_prefill)

    def context_tokens(self) -> float:
        """Returns the tokens that the request holds memory for."""
        return self.request.prompt_tokens + self.output_tokens_done


class Targets:
    """Simulated targets and the requests that they run.

    Attributes:
        preempted: Number of times that a request lost its memory and had to
            prefill again.
    """

    def __init__(self, engine: fleet.Engine) -> None:
        self.preempted = 0
        self._engine = engine
        self._running: list[_RunningRequest] = []
        self._used_token_layers: dict[str, float] = {}
        self._now_s = 0.0

    def accept(self, request: Request) -> bool:
        """Starts a request; returns False if its prompt exceeds the memory."""
        for stage in request.path:
            needed_token_layers = request.prompt_tokens * stage.layers
            if self._used_token_layers.get(
                stage.target.name, 0.0
            ) + needed_token_layers > (
                paths.token_layer_capacity(stage.target, self._engine)
            ):
                return False
        self._running.append(_RunningRequest(request, self._now_s))
        self._add_usage(request.path, request.prompt_tokens)
        return True

    def progress(self) -> list[tuple[Request, float]]:
        """Returns the running requests and the tokens they have written."""
        return [(run.request, run.output_tokens_done) for run in self._running]

    def advance(self) -> None:
        """Advances the simulation by `STEP_S`."""
        self._now_s += STEP_S
        self._prefill()
        self._decode()
        self._preempt()

    def _prefill(self):
        """Prefills the waiting prompts of each target, oldest first."""
        remaining_s: dict[str, float] = {}
        for run in self._running:
            for index, stage in enumerate(run.request.path):
                name = stage.target.name
                accelerator = self._accelerator(stage)
                rate_per_s = (
                    self._engine.prefill_tokens_per_ms
                    * 1000.0
                    * self._engine.layer_count
                    / accelerator.prefill_time_factor
                )
                time_s = remaining_s.get(name, STEP_S)
                prefill_s = min(
                    time_s, run.remaining_prefill[index] / rate_per_s
                )
                remaining_s[name] = time_s - prefill_s
                run.remaining_prefill[index] -= prefill_s * rate_per_s
                if run.remaining_prefill[index] < 1e-6:
                    run.remaining_prefill[index] = 0.0
                if run.remaining_prefill[index]:
                    break  # The next stage waits for this one.

    def _decode(self):
        """Decodes tokens of all requests that have been prefilled."""
        sequences_by_target: dict[str, int] = {}
        context_tokens_by_target: dict[str, float] = {}
        decoding = [run for run in self._running if not run.is_prefilling()]
        for run in decoding:
            for stage in run.request.path:
                name = stage.target.name
                sequences_by_target[name] = (
                    sequences_by_target.get(name, 0) + 1
                )
                tokens = (
                    context_tokens_by_target.get(name, 0.0)
                    + run.context_tokens()
                )
                context_tokens_by_target[name] = tokens
        for run in decoding:
            token_ms = sum(
                self._step_ms(
                    stage, sequences_by_target, context_tokens_by_target
                )
                for stage in run.request.path
            )
            run.output_tokens_done += STEP_S * 1000.0 / token_ms
            if (
                not run.is_first_reported
                and run.output_tokens_done >= self._engine.stride
            ):
                run.is_first_reported = True
                first_event_s = self._now_s - run.start_s + NETWORK_S
                run.request.on_first(first_event_s)
            if run.output_tokens_done >= run.request.output_tokens:
                self._running.remove(run)
                run.request.on_end(self._now_s - run.start_s + NETWORK_S)

    def _step_ms(self, stage, sequences_by_target, context_tokens_by_target):
        """Returns the time of a token at a stage, including its wait."""
        engine = self._engine
        name = stage.target.name
        share = stage.layers / engine.layer_count
        step_ms = (
            engine.step_ms
            + sequences_by_target[name] * engine.sequence_ms
            + context_tokens_by_target[name]
            / 1000.0
            * engine.context_ms_per_1k
        )
        step_ms *= self._accelerator(stage).decode_time_factor * share
        other_share = 1.0 - 1.0 / sequences_by_target[name]
        return (
            step_ms * (1.0 + other_share * PASS_WAIT_RATIO)
            + paths.INTRA_DC_HOP_MS
        )

    def _preempt(self):
        """Preempts the newest requests of targets that lack memory."""
        self._used_token_layers.clear()
        for run in self._running:
            self._add_usage(run.request.path, run.context_tokens())
        for run in reversed(list(self._running)):
            if any(self._lacks_memory(stage) for stage in run.request.path):
                self.preempted += 1
                self._running.remove(run)
                self._add_usage(run.request.path, -run.context_tokens())
                run.remaining_prefill = [
                    run.context_tokens() * stage.layers
                    for stage in run.request.path
                ]
                self._running.append(run)

    def _lacks_memory(self, stage):
        used_token_layers = self._used_token_layers[stage.target.name]
        return used_token_layers > paths.token_layer_capacity(
            stage.target, self._engine
        )

    def _add_usage(self, path, tokens):
        for stage in path:
            used_token_layers = self._used_token_layers.get(
                stage.target.name, 0.0
            )
            self._used_token_layers[stage.target.name] = (
                used_token_layers + tokens * stage.layers
            )

    def _accelerator(self, stage):
        return self._engine.accelerators[stage.target.accelerator]
