"""A model of targets that pass work on, for tests of policies under load.

It keeps what decides how long a request takes: sequences and context slow
each step of a target, a token that comes during a pass waits for its end,
prompts wait for the prompts before them, memory fills with each token, and the
newest request is preempted where it runs out. Time passes in steps. Strides,
chunks and pipes between data centres are left out.
"""

from collections.abc import Callable
from typing import NamedTuple

from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import paths

STEP_S = 0.02
# One way to a target and back, beside what the engines take.
NETWORK_S = 0.002
# Part of a pass that a token waits for on the mean where others run.
WAIT_OF_PASS = 0.5


class Request(NamedTuple):
    """A request that a target has accepted.

    Attributes:
        key: Its name.
        path: Its stages.
        prompt_tokens: Tokens to read.
        output_tokens: Tokens that it will answer with.
        on_first: Called with the time until its first token, in seconds.
        on_end: Called with the time that all of it took, in seconds.
    """

    key: str
    path: fleet.Path
    prompt_tokens: float
    output_tokens: float
    on_first: Callable[[float], None]
    on_end: Callable[[float], None]


class _Run:
    """How far a request is."""

    def __init__(self, request: Request, began_s: float) -> None:
        self.request = request
        self.began_s = began_s
        self.unread = [
            request.prompt_tokens * stage.layers for stage in request.path
        ]
        self.written = 0.0
        self.has_begun = False

    def is_reading(self) -> bool:
        """Tells whether a stage has not read the whole prompt."""
        return any(self.unread)

    def context_tokens(self) -> float:
        """Returns the tokens that it holds memory for."""
        return self.request.prompt_tokens + self.written


class Targets:
    """Targets and the requests that run on them.

    Attributes:
        preempted: Requests that lost their memory and were read again.
    """

    def __init__(self, engine: fleet.Engine) -> None:
        self.preempted = 0
        self._engine = engine
        self._runs: list[_Run] = []
        self._held: dict[str, float] = {}
        self._now_s = 0.0

    def accept(self, request: Request) -> bool:
        """Takes a request, unless its prompt finds no memory."""
        for stage in request.path:
            needed = request.prompt_tokens * stage.layers
            if self._held.get(stage.target.name, 0.0) + needed > (
                paths.token_layer_capacity(stage.target, self._engine)
            ):
                return False
        self._runs.append(_Run(request, self._now_s))
        self._hold(request.path, request.prompt_tokens)
        return True

    def advance(self) -> None:
        """Lets `STEP_S` pass."""
        self._now_s += STEP_S
        self._read()
        self._write()
        self._preempt()

    def _read(self):
        """Each target reads the prompts that wait there, oldest first."""
        left_s: dict[str, float] = {}
        for run in self._runs:
            for index, stage in enumerate(run.request.path):
                name = stage.target.name
                kind = self._kind(stage)
                rate_per_s = (
                    self._engine.prefill_tokens_per_ms
                    * 1000.0
                    * self._engine.layer_count
                    / kind.prefill_time_factor
                )
                time_s = left_s.get(name, STEP_S)
                read_s = min(time_s, run.unread[index] / rate_per_s)
                left_s[name] = time_s - read_s
                run.unread[index] -= read_s * rate_per_s
                if run.unread[index] < 1e-6:
                    run.unread[index] = 0.0
                if run.unread[index]:
                    break  # The next stage gets what this one has read.

    def _write(self):
        """All requests that have been read write tokens."""
        sequences: dict[str, int] = {}
        context: dict[str, float] = {}
        writers = [run for run in self._runs if not run.is_reading()]
        for run in writers:
            for stage in run.request.path:
                name = stage.target.name
                sequences[name] = sequences.get(name, 0) + 1
                tokens = context.get(name, 0.0) + run.context_tokens()
                context[name] = tokens
        for run in writers:
            token_ms = sum(
                self._step_ms(stage, sequences, context)
                for stage in run.request.path
            )
            run.written += STEP_S * 1000.0 / token_ms
            if not run.has_begun and run.written >= self._engine.stride:
                run.has_begun = True
                took_s = self._now_s - run.began_s + NETWORK_S
                run.request.on_first(took_s)
            if run.written >= run.request.output_tokens:
                self._runs.remove(run)
                run.request.on_end(self._now_s - run.began_s + NETWORK_S)

    def _step_ms(self, stage, sequences, context):
        """Returns the time of a token, with half of a pass that it waits."""
        engine = self._engine
        name = stage.target.name
        share = stage.layers / engine.layer_count
        step_ms = (
            engine.step_ms
            + sequences[name] * engine.sequence_ms
            + context[name] / 1000.0 * engine.context_ms_per_1k
        )
        step_ms *= self._kind(stage).decode_time_factor * share
        others = 1.0 - 1.0 / sequences[name]
        return step_ms * (1.0 + others * WAIT_OF_PASS) + paths.INTRA_DC_HOP_MS

    def _preempt(self):
        """The newest requests give up their memory where that runs out."""
        self._held.clear()
        for run in self._runs:
            self._hold(run.request.path, run.context_tokens())
        for run in reversed(list(self._runs)):
            if any(self._is_short(stage) for stage in run.request.path):
                self.preempted += 1
                self._runs.remove(run)
                self._hold(run.request.path, -run.context_tokens())
                run.unread = [
                    run.context_tokens() * stage.layers
                    for stage in run.request.path
                ]
                self._runs.append(run)

    def _is_short(self, stage):
        held = self._held[stage.target.name]
        return held > paths.token_layer_capacity(stage.target, self._engine)

    def _hold(self, path, tokens):
        for stage in path:
            held = self._held.get(stage.target.name, 0.0)
            self._held[stage.target.name] = held + tokens * stage.layers

    def _kind(self, stage):
        return self._engine.accelerators[stage.target.accelerator]
