"""Digests of prompt prefixes, and the targets that have them cached."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

PREFIX_WORD_COUNTS = (16, 32, 64, 128, 256, 512, 1024)
CACHED_PREFIX_TTL_S = 300.0
MAX_PREFIXES_PER_TARGET = 4096


class PromptInfo(NamedTuple):
    """What routing and the evidence on crashes need to know of a prompt.

    Attributes:
        word_count: Length of the prompt in words.
        prefixes: Digests of its prefixes, see `digests`.
        parts: Ids of its parts that other prompts for the same model may
            have; see `crashing_parts`.
    """

    word_count: int
    prefixes: list[int]
    parts: tuple[int, ...]


def describe(model: str, prompt: str) -> PromptInfo:
    """Returns the length, the prefixes and the parts of a prompt.

    The parts are the prefixes that the prompt goes on after. Their ids differ
    by model, as a part that crashes the targets of one may suit another.
    """
    word_count = len(prompt.split())
    prefixes = digests(prompt)
    model_digest = xxhash.xxh64_intdigest(model.encode())
    parts = tuple(
        prefix ^ model_digest
        for prefix, length in zip(prefixes, PREFIX_WORD_COUNTS, strict=False)
        if length < word_count
    )
    return PromptInfo(word_count, prefixes, parts)


def digests(prompt: str) -> list[int]:
    """Returns the digests of a prompt's prefixes, shortest first.

    The lengths of the prefixes in words are those of `PREFIX_WORD_COUNTS` that
    don't exceed the length of the prompt.
    """
    words = prompt.split(None, PREFIX_WORD_COUNTS[-1])[
        : PREFIX_WORD_COUNTS[-1]
    ]
    hasher = xxhash.xxh64()
    prefix_digests = []
    start = 0
    for count in PREFIX_WORD_COUNTS:
        if count > len(words):
            break
        added_text = " ".join(words[start:count]) + " "
        hasher.update(added_text.encode("utf-8", "surrogatepass"))
        prefix_digests.append(hasher.intdigest())
        start = count
    return prefix_digests


class CachedPrefixes:
    """Prefixes that each target has probably cached.

    Reports lag and may be incomplete. A prefix that is missing from a report
    is therefore kept until it expires, and the prefixes of a prompt count as
    cached once it is sent to a target.
    """

    def __init__(self) -> None:
        self._seen_s: dict[str, dict[int, float]] = {}

    def record(
        self, target: str, prefixes: Iterable[int], now_s: float
    ) -> None:
        """Records prefixes that a target reported or received."""
        seen = self._seen_s.setdefault(target, {})
        for prefix in prefixes:
            seen.pop(prefix, None)
            seen[prefix] = now_s
        while len(seen) > MAX_PREFIXES_PER_TARGET:
            del seen[next(iter(seen))]

    def forget(self, target: str) -> None:
        """Drops a target that left or lost its cache."""
        self._seen_s.pop(target, None)

    def cached_words(
        self, target: str, prefixes: Sequence[int], now_s: float
    ) -> int:
        """Returns the length of the longest cached prefix, in words.

        Args:
            target: Name of the target.
            prefixes: Digests of the prompt, shortest first.
            now_s: The time.
        """
        seen = self._seen_s.get(target)
        if not seen:
            return 0
        for index in range(len(prefixes) - 1, -1, -1):
            seen_s = seen.get(prefixes[index])
            if seen_s is not None and now_s - seen_s <= CACHED_PREFIX_TTL_S:
                return PREFIX_WORD_COUNTS[index]
        return 0
