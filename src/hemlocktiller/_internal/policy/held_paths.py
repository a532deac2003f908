"""Chooses between the fastest path and those that hold a prompt's beginning.

Answers the load of prompts that begin alike, at targets that keep prompts
after their requests. The search for the fastest path counts every prompt as
read from its first token; here its result is compared with the paths that
earlier prompts with the same beginning took. Only whole paths are compared:
what a stage holds saves nothing unless all later stages hold it too.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import held_prompts
from hemlocktiller._internal.policy import paths

# Bounds the time of a choice: each path costs about as much as a target of the
# search.
MAX_PATHS_PER_PART = 4
# Bounds the memory of a process; the parts used longest ago are dropped.
MAX_PARTS = 4096


class Prompt(NamedTuple):
    """A prompt that needs a path.

    Attributes:
        parts: Its beginnings, shortest first.
        demand: Resources that the request needs.
    """

    parts: Sequence[held_prompts.Part]
    demand: paths.RequestDemand


class HeldPath(NamedTuple):
    """A path, weighed with what it holds of a prompt.

    Attributes:
        choice: The path and its predicted times.
        held_tokens: Expected tokens that its first stage need not read.
        cost_ms: Time for the request, and what it costs others.
    """

    choice: paths.PathChoice
    held_tokens: float
    cost_ms: float


class HeldPaths:
    """Paths that prompts took, and what their targets probably kept."""

    def __init__(self, count_senders: Callable[[], int]) -> None:
        """Starts without any belief.

        Args:
            count_senders: Returns how many processes send requests to the
                targets. Each is assumed to have sent what this one sent.
        """
        self._count_senders = count_senders
        self._held = held_prompts.HeldPrompts()
        self._paths: dict[int, list[fleet.Path]] = {}

    def record(
        self,
        parts: Sequence[held_prompts.Part],
        path: fleet.Path,
        now_s: float,
    ) -> None:
        """Records that a prompt is sent along a path."""
        for stage in path:
            self._held.record_sent(
                _holder(stage), parts, now_s, _incarnation(stage.target)
            )
        for part in parts:
            known = self._paths.pop(part.key, [])
            others = [one for one in known if not _are_same(one, path)]
            self._paths[part.key] = [path, *others][:MAX_PATHS_PER_PART]
        while len(self._paths) > MAX_PARTS:
            del self._paths[next(iter(self._paths))]

    def choose(
        self,
        fastest: paths.PathChoice,
        available: Iterable[fleet.Target],
        prompt: Prompt,
        state: paths.TargetsState,
        now_s: float,
    ) -> HeldPath:
        """Returns the path that costs the request and others the least time.

        Args:
            fastest: The fastest path, if nothing is held.
            available: Targets that may be used.
            prompt: The prompt.
            state: State of the targets.
            now_s: The time.
        """
        unweighed = HeldPath(fastest, 0.0, fastest.total_ms)
        stages = paths.predict_stages(fastest.path, prompt.demand, state)
        if stages is None:
            return unweighed
        usual_wait_s = sum(stage.wait_ms for stage in stages) / 1000.0
        candidates = [fastest.path, *self._usable_paths(available, prompt)]
        weighed = [
            self._weigh(path, prompt, state, usual_wait_s, now_s)
            for path in candidates
        ]
        return min(
            (one for one in weighed if one is not None),
            key=lambda one: one.cost_ms,
            default=unweighed,
        )

    def _weigh(self, path, prompt, state, usual_wait_s, now_s):
        """Returns a path with what it costs; None if it has no room."""
        demand = prompt.demand
        stages = paths.predict_stages(path, demand, state)
        if stages is None:
            return None
        offers = [
            self._offer(stage, times, prompt, state, now_s)
            for stage, times in zip(path, stages, strict=True)
        ]
        worth = held_prompts.weigh(offers, demand.prompt_tokens, usual_wait_s)
        choice = paths.total_times(path, stages, demand, worth.saved_s * 1e3)
        return HeldPath(
            choice, worth.held_tokens, choice.total_ms + worth.price_s * 1e3
        )

    def _usable_paths(self, available, prompt):
        """Returns paths of earlier prompts that still exist as they were."""
        incarnations = {
            target.name: _incarnation(target) for target in available
        }
        for part in reversed(prompt.parts):
            usable = [
                path
                for path in self._paths.get(part.key, ())
                if all(
                    incarnations.get(stage.target.name)
                    == _incarnation(stage.target)
                    for stage in path
                )
            ]
            if usable:
                return usable
        return []

    def _offer(self, stage, times, prompt, state, now_s):
        """Returns what a target offers for the layers of a stage."""
        target = stage.target
        prompt_tokens = prompt.demand.prompt_tokens
        load = state.load(target.name)
        free_token_layers = (
            paths.token_layer_capacity(target, state.engine)
            - load.token_layers
        )
        belief = self._held.belief(
            _holder(stage), prompt.parts, now_s, _incarnation(target)
        )
        others_factor = self._count_senders()
        return held_prompts.Offer(
            times.wait_ms / 1e3,
            times.prefill_ms / prompt_tokens / 1e3,
            load.prefill_tokens / (prompt_tokens * stage.layers),
            belief._replace(
                read_since_tokens=belief.read_since_tokens * others_factor,
                read_tokens=belief.read_tokens * others_factor,
            ),
            max(0.0, free_token_layers / stage.layers),
        )


def _holder(stage):
    """Returns the key of the layers of a target that hold a part."""
    return f"{stage.target.name}/{stage.first_layer}-{stage.end_layer}"


def _incarnation(target):
    """Returns what the memory of a target lasts for."""
    return target.process_id, target.first_layer, target.end_layer


def _are_same(one, other):
    return [_holder(stage) for stage in one] == [
        _holder(stage) for stage in other
    ]
