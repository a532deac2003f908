"""Detects prompt parts that crash the targets that begin to answer them.

Requests that crash targets may share just one part of their prompts. The
evidence against a part is the deaths of targets that were running requests
with it and had returned no output for them. Output for any request with the
part drops the deaths before it, so only parts without output add up.

Parts of one prompt share their deaths. A death is therefore counted against
just one condemned part, and not against the parts that were running beside
it. Deaths at one moment, and those among many deaths without the part, may
have another cause.
"""

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from prometheus_client import Counter

from hemlocktiller._internal.schemas import entry_settings

CONDEMNED = Counter(
    "hemlocktiller_prompt_parts_condemned",
    "Prompt parts found to crash the targets that begin to answer them",
)
DEATHS_TO_CONDEMN = 4
# Targets lost at one moment are found within the timeout of one probe.
MIN_SPAN_S = 0.4
DEATHS_TO_CONDEMN_KNOWN_GOOD = 8
MIN_SPAN_KNOWN_GOOD_S = 5.0
MASS_FAILURE_DEATHS = 3
MASS_FAILURE_WINDOW_S = 1.0
# Without output of other requests, the failure may be due to anything.
MIN_OTHER_OUTPUTS = 3
# Deaths without a part, relative to those with it, while nothing has output.
MAX_OTHER_DEATHS_RATIO = 0.25
# Parts that can't be told apart yet wait for this many further deaths.
UNDECIDED_DEATHS = 2
# A part whose earlier deaths count against another part needs this many
# deaths of its own before they count against it too.
MIN_UNEXPLAINED_DEATHS = 2
SWEEP_INTERVAL_S = 1.0
MAX_PARTS = 10_000
MAX_DEATHS = 1024
MAX_PROMPTS_PER_DEATH = 64
MAX_PARTS_PER_PROMPT = 32

Prompt = tuple[int, ...]


class Death(NamedTuple):
    """The death of a target.

    Attributes:
        target: Name of the process that died.
        time_s: Time of the death.
        prompts: Parts of each prompt without output so far, in order.
    """

    target: str
    time_s: float
    prompts: tuple[Prompt, ...]


class Output(NamedTuple):
    """The latest output of a target for a request with a part."""

    part: int
    time_s: float


class News(NamedTuple):
    """What a peer's evidence has changed.

    Attributes:
        deaths: Deaths that were not known before.
        outputs: Outputs that cleared a part or show that it is sound.
    """

    deaths: list[Death]
    outputs: list[Output]


class CrashingParts:
    """Evidence on parts, collected by this process and told by its peers.

    Args:
        settings: Time for which evidence is kept.
        max_parts: Maximum number of parts with evidence, and of those known
            to be sound; the oldest are dropped first.
        on_condemned: Called with a part and the number of its deaths when
            the part is condemned.
    """

    def __init__(
        self,
        settings: entry_settings.Retries,
        max_parts: int = MAX_PARTS,
        on_condemned: Callable[[int, int], None] | None = None,
    ) -> None:
        self._ttl_s = settings["suspect_ttl_s"]
        self._max_parts = max_parts
        self._on_condemned = on_condemned
        self._deaths: dict[str, Death] = {}
        self._death_s: dict[str, float] = {}
        self._evidence: dict[int, dict[str, float]] = {}
        self._output_s: dict[int, float] = {}
        self._latest_outputs_s: collections.deque[float] = collections.deque(
            maxlen=MIN_OTHER_OUTPUTS
        )
        self._peers_contrast_s = float("-inf")
        self._withdrawn_s: dict[str, float] = {}
        # Keys in the order in which they were condemned.
        self._condemned: dict[int, None] = {}
        # Parts with enough deaths that are undecided for now.
        self._undecided: set[int] = set()
        self._has_released = False
        self._swept_s = float("-inf")

    def __len__(self) -> int:
        return len(self._evidence)

    def is_condemned(self, parts: Sequence[int], now_s: float) -> bool:
        """Returns whether a request must be rejected due to its parts."""
        return self.condemned_part(parts, now_s) is not None

    def condemned_part(self, parts: Sequence[int], now_s: float) -> int | None:
        """Returns the first condemned part of a prompt, if there is one."""
        if not self._condemned:
            return None
        for part in parts:
            if part in self._condemned and not self._is_expired(part, now_s):
                return part
        return None

    def death_count(self, part: int) -> int:
        """Returns the number of deaths in the evidence against a part."""
        return len(self._evidence.get(part, ()))

    def record_death(
        self, target: str, prompts: Iterable[Sequence[int]], now_s: float
    ) -> Death | None:
        """Records the death of a target.

        Args:
            target: Name of the process, unique among its restarts.
            prompts: Parts of each request without output so far, in the
                order of the prompt and without its last one.
            now_s: Current time.

        Returns:
            The death as recorded, or None if it is evidence against no part
            or was known before.
        """
        self._sweep(now_s)
        death = self._add_death(target, prompts, now_s)
        if death is not None:
            self._judge(parts_of([death]), now_s)
        return death

    def record_output(
        self, parts: Sequence[int], now_s: float
    ) -> list[Output]:
        """Records that a target has begun its answer to a request.

        Returns:
            The parts of the request that had evidence against them.
        """
        self._latest_outputs_s.append(now_s)
        cleared = []
        for part in parts:
            if self._add_output(part, now_s):
                cleared.append(Output(part, now_s))
        if cleared or self._undecided:
            self._judge([], now_s)
        return cleared

    def withdraw_death(self, target: str, now_s: float) -> None:
        """Withdraws the death of a target that is running after all.

        Reports of peers on a death before now are ignored.
        """
        if self._death_s.pop(target, None) is None:
            return
        _add_bounded(self._withdrawn_s, target, now_s, MAX_DEATHS)
        self._deaths.pop(target, None)
        for part in list(self._evidence):
            self._drop_deaths(part, lambda name, _: name == target)
        self._judge([], now_s)

    def deaths(self, now_s: float) -> list[Death]:
        """Returns all deaths that are evidence against a part."""
        self._drop_expired(now_s)
        return list(self._deaths.values())

    def outputs(self, deaths: Iterable[Death], now_s: float) -> list[Output]:
        """Returns the known outputs for the parts in some deaths."""
        return [
            Output(part, self._output_s[part])
            for part in parts_of(deaths)
            if self._is_known_good(part, now_s)
        ]

    def contrast_s(self) -> float:
        """Returns since when `MIN_OTHER_OUTPUTS` requests have had output.

        Minus infinity if there have been fewer.
        """
        return max(self.own_contrast_s(), self._peers_contrast_s)

    def own_contrast_s(self) -> float:
        """Returns `contrast_s` by the outputs of this process alone.

        Only this is told to peers: what they told would come back to them,
        later by the time that messages take.
        """
        if len(self._latest_outputs_s) < MIN_OTHER_OUTPUTS:
            return float("-inf")
        return self._latest_outputs_s[0]

    def merge(
        self,
        deaths: Iterable[Death],
        outputs: Iterable[Output],
        contrast_s: float,
        now_s: float,
    ) -> News:
        """Merges a peer's evidence.

        Args:
            deaths: Deaths that the peer knows.
            outputs: Outputs that the peer knows.
            contrast_s: The peer's `own_contrast_s`.
            now_s: Current time.
        """
        self._sweep(now_s)
        self._peers_contrast_s = max(
            self._peers_contrast_s, min(contrast_s, now_s)
        )
        new_outputs = []
        for output in outputs:
            time_s = min(output.time_s, now_s)
            was_known_good = self._is_known_good(output.part, now_s)
            is_cleared = self._add_output(output.part, time_s)
            if is_cleared or (
                not was_known_good and self._is_known_good(output.part, now_s)
            ):
                new_outputs.append(Output(output.part, time_s))
        new_deaths = []
        for told in deaths:
            time_s = min(told.time_s, now_s)
            death = self._add_death(told.target, told.prompts, time_s)
            if death is not None:
                new_deaths.append(death)
        self._judge(parts_of(new_deaths), now_s)
        return News(new_deaths, new_outputs)

    def _add_death(
        self, target: str, prompts: Iterable[Sequence[int]], time_s: float
    ) -> Death | None:
        """Adds a death; returns the prompts in it that were not known."""
        if time_s <= self._withdrawn_s.get(target, time_s - 1):
            return None
        known = self._deaths.get(target)
        if target in self._death_s:
            time_s = self._death_s[target]
        else:
            _add_bounded(self._death_s, target, time_s, MAX_DEATHS)
        known_prompts = dict.fromkeys(known.prompts if known else ())
        new_prompts: dict[Prompt, None] = {}
        for parts in prompts:
            prompt = tuple(dict.fromkeys(parts))[:MAX_PARTS_PER_PROMPT]
            is_full = (
                len(known_prompts) + len(new_prompts) >= MAX_PROMPTS_PER_DEATH
            )
            if prompt in known_prompts or is_full:
                continue
            if any(self._output_s.get(p, time_s - 1) < time_s for p in prompt):
                new_prompts[prompt] = None
        if not new_prompts:
            return None
        death = Death(target, time_s, (*known_prompts, *new_prompts))
        if known is None and len(self._deaths) >= MAX_DEATHS:
            del self._deaths[next(iter(self._deaths))]
        self._deaths[target] = death
        for prompt in new_prompts:
            for part in prompt:
                if self._output_s.get(part, time_s - 1) < time_s:
                    self._add_evidence(part, target, time_s)
        return Death(target, time_s, tuple(new_prompts))

    def _add_evidence(self, part: int, target: str, time_s: float) -> None:
        """Adds a death to the evidence against a part."""
        deaths = self._evidence.get(part)
        if deaths is None:
            if len(self._evidence) >= self._max_parts:
                oldest = next(iter(self._evidence))
                del self._evidence[oldest]
                self._release(oldest)
            deaths = self._evidence[part] = {}
        deaths.setdefault(target, time_s)

    def _add_output(self, part: int, time_s: float) -> bool:
        """Records output for a part; tells if that drops deaths."""
        known_s = self._output_s.pop(part, time_s)
        _add_bounded(
            self._output_s, part, max(known_s, time_s), self._max_parts
        )
        if part not in self._evidence:
            return False
        return self._drop_deaths(part, lambda _, died_s: died_s <= time_s)

    def _drop_deaths(
        self, part: int, must_drop: Callable[[str, float], bool]
    ) -> bool:
        """Drops some deaths from the evidence; tells if there were any."""
        deaths = self._evidence[part]
        kept = {
            target: died_s
            for target, died_s in deaths.items()
            if not must_drop(target, died_s)
        }
        if len(kept) == len(deaths):
            return False
        if kept:
            self._evidence[part] = kept
        else:
            del self._evidence[part]
            self._release(part)
        return True

    def _sweep(self, now_s: float) -> None:
        """Drops expired evidence from time to time."""
        if now_s >= self._swept_s + SWEEP_INTERVAL_S:
            self._swept_s = now_s
            self._drop_expired(now_s)

    def _drop_expired(self, now_s: float) -> None:
        """Drops the evidence on parts whose last death is too old."""
        for part in list(self._evidence):
            if self._is_expired(part, now_s):
                del self._evidence[part]
                self._release(part)
        used = {
            target for deaths in self._evidence.values() for target in deaths
        }
        for target in [name for name in self._deaths if name not in used]:
            del self._deaths[target]

    def _is_expired(self, part: int, now_s: float) -> bool:
        return max(self._evidence[part].values()) + self._ttl_s <= now_s

    def _is_known_good(self, part: int, now_s: float) -> bool:
        """Returns whether a request with the part had output not long ago."""
        output_s = self._output_s.get(part)
        return output_s is not None and now_s < output_s + self._ttl_s

    def _release(self, part: int) -> None:
        """Releases a part; its deaths count against others again."""
        if part in self._condemned:
            del self._condemned[part]
            self._has_released = True

    def _judge(self, parts: Iterable[int], now_s: float) -> None:
        """Condemns the parts with enough evidence, and releases others.

        Args:
            parts: Parts with new deaths; no other part can have become
                condemned by them.
            now_s: Current time.
        """
        still_condemned = self._still_condemned(now_s)
        for part in [p for p in self._condemned if p not in still_condemned]:
            self._release(part)
        to_judge = {*parts, *self._undecided}
        if self._has_released:
            self._has_released = False
            to_judge = set(self._evidence)
        while True:
            explained = self._explained_deaths(self._condemned)
            reached = [
                part
                for part in to_judge
                if len(self._evidence.get(part, ())) >= DEATHS_TO_CONDEMN
                and part not in self._condemned
                and self._has_enough_deaths(part, explained, now_s)
            ]
            self._undecided = set(reached)
            candidates = [
                part
                for part in reached
                if self._stands_out(part, explained, now_s)
            ]
            leaders = self._leaders(candidates, explained, now_s)
            if not leaders:
                return
            for part in leaders:
                self._condemned[part] = None
                CONDEMNED.inc()
                if self._on_condemned is not None:
                    self._on_condemned(part, len(self._evidence[part]))

    def _still_condemned(self, now_s: float) -> dict[int, None]:
        """Returns the condemned parts that still have enough evidence."""
        kept: dict[int, None] = {}
        for part in self._condemned:
            explained = self._explained_deaths(kept)
            if self._has_enough_deaths(part, explained, now_s):
                kept[part] = None
        return kept

    def _explained_deaths(self, condemned: Iterable[int]) -> set[str]:
        """Returns the deaths that condemned parts account for."""
        return {
            target for part in condemned for target in self._evidence[part]
        }

    def _has_enough_deaths(
        self, part: int, explained: set[str], now_s: float
    ) -> bool:
        """Returns whether the deaths suffice to condemn a part.

        Args:
            part: The part.
            explained: Deaths that other condemned parts account for.
            now_s: Current time.
        """
        limit = self._limit(part, now_s)
        if len(self._evidence[part]) < limit:
            return False
        times_s = self._death_times_s(part, explained)
        is_known_good = self._is_known_good(part, now_s)
        span_s = MIN_SPAN_KNOWN_GOOD_S if is_known_good else MIN_SPAN_S
        if not times_s or max(times_s.values()) - min(times_s.values()) < (
            span_s
        ):
            return False
        unexplained = len(times_s.keys() - explained)
        return unexplained >= limit or (
            unexplained >= MIN_UNEXPLAINED_DEATHS
            and len(times_s) >= limit + MIN_UNEXPLAINED_DEATHS
        )

    def _death_times_s(
        self, part: int, explained: set[str]
    ) -> dict[str, float]:
        """Returns the deaths of a part that belong to no mass failure.

        These are the deaths without many others, which neither the part nor
        a condemned one accounts for, shortly before or after.
        """
        deaths = self._evidence[part]
        other_deaths_s = sorted(
            died_s
            for target, died_s in self._death_s.items()
            if target not in deaths and target not in explained
        )
        return {
            target: died_s
            for target, died_s in deaths.items()
            if bisect.bisect_right(
                other_deaths_s, died_s + MASS_FAILURE_WINDOW_S
            )
            - bisect.bisect_left(
                other_deaths_s, died_s - MASS_FAILURE_WINDOW_S
            )
            < MASS_FAILURE_DEATHS
        }

    def _limit(self, part: int, now_s: float) -> int:
        if self._is_known_good(part, now_s):
            return DEATHS_TO_CONDEMN_KNOWN_GOOD
        return DEATHS_TO_CONDEMN

    def _stands_out(
        self, part: int, explained: set[str], now_s: float
    ) -> bool:
        """Returns whether the deaths are due to the part and no wider failure.

        That is so if other requests had output since the first death; none
        of them has the part, since its output drops its deaths. A part may
        crash all targets before others have output: it is then in almost all
        deaths, and there had been output before.
        """
        deaths = self._evidence[part]
        first_death_s = min(deaths.values())
        contrast_s = self.contrast_s()
        if contrast_s > first_death_s:
            return True
        if (
            self._is_known_good(part, now_s)
            or contrast_s + self._ttl_s <= now_s
            or len(deaths) < DEATHS_TO_CONDEMN + UNDECIDED_DEATHS
        ):
            return False
        other_deaths = [
            target
            for target, died_s in self._death_s.items()
            if died_s >= first_death_s
            and target not in deaths
            and target not in explained
        ]
        return len(other_deaths) <= MAX_OTHER_DEATHS_RATIO * len(deaths)

    def _leaders(
        self, parts: list[int], explained: set[str], now_s: float
    ) -> list[int]:
        """Returns the parts to condemn next.

        These are the parts with most deaths, and the later one of two in
        the same prompt, since prompts mostly differ in their later parts.
        Several parts that are left are undecided at first.
        """
        if not parts:
            return []
        counts = {
            part: len(self._evidence[part].keys() - explained)
            for part in parts
        }
        most = max(counts.values())
        tied = {part for part in parts if counts[part] == most}
        leaders = tied - self._followed_parts(tied)
        if not leaders:
            leaders = tied
        if len(leaders) == 1:
            return list(leaders)
        is_decided = any(
            counts[part] >= self._limit(part, now_s) + UNDECIDED_DEATHS
            for part in leaders
        )
        return sorted(leaders) if is_decided else []

    def _followed_parts(self, parts: set[int]) -> set[int]:
        """Returns the parts that another of them follows in a prompt."""
        if len(parts) == 1:
            return set()
        followed: set[int] = set()
        for death in self._deaths.values():
            for prompt in death.prompts:
                followed.update([p for p in prompt if p in parts][:-1])
        return followed


def parts_of(deaths: Iterable[Death]) -> list[int]:
    """Returns the different parts of the prompts in some deaths."""
    parts = {
        part: None
        for death in deaths
        for prompt in death.prompts
        for part in prompt
    }
    return list(parts)


def _add_bounded(
    entries: dict, key: object, value: object, max_entries: int
) -> None:
    """Adds a newest entry; drops the oldest one if there are too many."""
    entries.pop(key, None)
    if len(entries) >= max_entries:
        del entries[next(iter(entries))]
    entries[key] = value
