"""Weighs what a target still holds of a prompt against the wait there.

Answers the load of many requests whose prompts begin alike: a target that
still holds the beginning reads only the rest. Sends there save work for
everyone that waits, until the target is busier than the others, or has given
the memory to requests that run. A wrong belief costs a prompt that is read
again and nothing else: no request is rejected for it.

What is held is a belief of one process, from what it sent where and what
targets reported. It is bounded, and nothing of it is stored.
"""

from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import NamedTuple

import xxhash

# Engines keep idle prompts for minutes at most. A caller gains nothing from a
# belief that is older.
HELD_TTL_S = 300.0
# Bounds the memory of a process at fleets of thousands of targets.
MAX_PARTS_PER_TARGET = 4096
# What is believed held may be used up by requests of other processes that
# were not seen yet: a part surely held while this share of the room was read
# since, and surely gone at this multiple of it.
SURELY_HELD_ROOM_RATIO = 0.5
SURELY_GONE_ROOM_RATIO = 1.5
# Bounded load: callers of a popular prompt wait at most this many times as
# long as at other targets, besides what they save themselves.
MAX_WAIT_RATIO = 1.25
# Reading delays those that wait, and those that come before the queue is
# empty. At nine tenths of the load that a target can bear they are ten times
# as many; at more, callers are refused for each second that is wasted.
BUSY_PERIOD_FACTOR = 10.0


class Part(NamedTuple):
    """A beginning of a prompt.

    Attributes:
        key: Digest of all of it, and of what it may be shared within.
        tokens: Its length; in words where tokens are not known.
    """

    key: int
    tokens: float


class Belief(NamedTuple):
    """What a target may hold of a prompt.

    Attributes:
        tokens: Length of the longest part that it was seen to have.
        age_s: Time since then.
        read_since_tokens: Tokens that it has read since then.
        read_tokens: Tokens that it has read in all.
    """

    tokens: float = 0.0
    age_s: float = 0.0
    read_since_tokens: float = 0.0
    read_tokens: float = 0.0


NOTHING_HELD = Belief()


def beginnings(
    scope: str, part_lengths: Iterable[tuple[int, int]]
) -> tuple[Part, ...]:
    """Returns the beginnings of a prompt that is given as a list of parts.

    Args:
        scope: What prompts are shared within, such as the workspace.
        part_lengths: Id and length in tokens of each part, in order.
    """
    hasher = xxhash.xxh64(scope.encode("utf-8", "surrogatepass"))
    total_tokens = 0
    parts = []
    for part_id, tokens in part_lengths:
        hasher.update(f"\0{part_id}:{tokens}".encode())
        total_tokens += tokens
        parts.append(Part(hasher.intdigest(), total_tokens))
    return tuple(parts)


class Offer(NamedTuple):
    """What a target offers a request, for the layers that it would run.

    Attributes:
        wait_s: Time until it begins to read the prompt.
        token_read_s: Time that it takes for a token of the prompt.
        delayed_requests: Requests that wait while it reads.
        belief: What it may hold of the prompt.
        room_tokens: Memory for prompts that no request runs on; inf if not
            known.
    """

    wait_s: float
    token_read_s: float
    delayed_requests: float
    belief: Belief
    room_tokens: float = math.inf


class Worth(NamedTuple):
    """What a path costs a request and the others.

    Attributes:
        held_tokens: Expected tokens that its first stage need not read.
        saved_s: Expected time saved by what is held.
        read_s: Expected time to read the rest.
        price_s: Time that reading costs other requests: those that wait
            meanwhile, and those whose part of a prompt must yield.
    """

    held_tokens: float
    saved_s: float
    read_s: float
    price_s: float


def held_probability(belief: Belief, room_tokens: float = math.inf) -> float:
    """Returns the probability that a target still holds a part."""
    if not belief.tokens or belief.age_s >= HELD_TTL_S or room_tokens <= 0.0:
        return 0.0
    used_ratio = (belief.tokens + belief.read_since_tokens) / room_tokens
    room_probability = (SURELY_GONE_ROOM_RATIO - used_ratio) / (
        SURELY_GONE_ROOM_RATIO - SURELY_HELD_ROOM_RATIO
    )
    return (1.0 - belief.age_s / HELD_TTL_S) * min(
        max(room_probability, 0.0), 1.0
    )


def weigh(
    offers: Sequence[Offer], prompt_tokens: float, usual_wait_s: float
) -> Worth:
    """Weighs what a path holds against its wait and the memory it takes.

    A stage skips only what all later stages hold too, as those need its
    output for every token that they read. A path on which callers wait much
    longer than elsewhere gets no request for what it holds: a popular part
    does not make a hot spot of it.

    Args:
        offers: What the targets of the path offer, in their order.
        prompt_tokens: Length of the prompt.
        usual_wait_s: Wait on paths that are chosen for other reasons.
    """
    skipped_tokens = prompt_tokens
    probability = 1.0
    expected_tokens = []
    for offer in reversed(offers):
        skipped_tokens = min(skipped_tokens, offer.belief.tokens)
        probability *= held_probability(offer.belief, offer.room_tokens)
        expected_tokens.append(skipped_tokens * probability)
    expected_tokens.reverse()
    saved_s = sum(
        tokens * offer.token_read_s
        for offer, tokens in zip(offers, expected_tokens, strict=True)
    )
    wait_s = sum(offer.wait_s for offer in offers)
    if wait_s > MAX_WAIT_RATIO * usual_wait_s + saved_s:
        saved_s = 0.0
        expected_tokens = [0.0] * len(offers)
    read_s = price_s = 0.0
    for offer, held_tokens in zip(offers, expected_tokens, strict=True):
        stage_read_s = (prompt_tokens - held_tokens) * offer.token_read_s
        # Memory for what is read is taken from what was read before.
        read_before_tokens = offer.belief.read_tokens
        yielding_ratio = (
            read_before_tokens / offer.room_tokens
            if read_before_tokens < offer.room_tokens
            else 1.0
        )
        read_s += stage_read_s
        price_s += stage_read_s * (
            offer.delayed_requests * BUSY_PERIOD_FACTOR + yielding_ratio
        )
    return Worth(expected_tokens[0], saved_s, read_s, price_s)


class _Seen(NamedTuple):
    """When a target had a part, and what it had read by then."""

    seen_s: float
    read_tokens: float


class _TargetParts:
    """Parts that a target was seen to have, oldest first."""

    def __init__(self, incarnation: Hashable) -> None:
        self.incarnation = incarnation
        self.read_tokens = 0.0
        self.seen: dict[int, _Seen] = {}


class HeldPrompts:
    """Parts of prompts that each target has probably kept.

    An incarnation of a target is what its memory lasts for: its process and
    the layers and weights that it has. Parts of another one are dropped.
    """

    def __init__(self) -> None:
        self._targets: dict[str, _TargetParts] = {}

    def record_sent(
        self,
        target: str,
        parts: Sequence[Part],
        now_s: float,
        incarnation: Hashable = None,
    ) -> None:
        """Records that a target reads a prompt with these beginnings."""
        if not parts:
            return
        belief = self.belief(target, parts, now_s, incarnation)
        known = self._parts_of(target, incarnation)
        known.read_tokens += parts[-1].tokens - belief.tokens
        self._record(known, (part.key for part in parts), now_s)

    def record_reported(
        self,
        target: str,
        part_keys: Iterable[int],
        now_s: float,
        incarnation: Hashable = None,
    ) -> None:
        """Records parts that a target reported.

        Reports may lag and leave some out, so a part that is missing is kept.
        """
        known = self._parts_of(target, incarnation)
        self._record(known, part_keys, now_s)

    def forget(self, target: str) -> None:
        """Drops a target that left or holds nothing, as it says."""
        self._targets.pop(target, None)

    def belief(
        self,
        target: str,
        parts: Sequence[Part],
        now_s: float,
        incarnation: Hashable = None,
    ) -> Belief:
        """Returns what a target may hold of a prompt.

        Args:
            target: Name of the target.
            parts: Beginnings of the prompt, shortest first.
            now_s: The time.
            incarnation: What the target's memory lasts for.
        """
        known = self._targets.get(target)
        if known is None or known.incarnation != incarnation:
            return NOTHING_HELD
        read_tokens = known.read_tokens
        for part in reversed(parts):
            seen = known.seen.get(part.key)
            if seen is not None and now_s - seen.seen_s <= HELD_TTL_S:
                return Belief(
                    part.tokens,
                    now_s - seen.seen_s,
                    read_tokens - seen.read_tokens,
                    read_tokens,
                )
        return NOTHING_HELD._replace(read_tokens=read_tokens)

    def _parts_of(self, target: str, incarnation: Hashable) -> _TargetParts:
        known = self._targets.get(target)
        if known is None or known.incarnation != incarnation:
            known = self._targets[target] = _TargetParts(incarnation)
        return known

    def _record(
        self, known: _TargetParts, part_keys: Iterable[int], now_s: float
    ) -> None:
        for key in part_keys:
            known.seen.pop(key, None)
            known.seen[key] = _Seen(now_s, known.read_tokens)
        while len(known.seen) > MAX_PARTS_PER_TARGET:
            del known.seen[next(iter(known.seen))]
