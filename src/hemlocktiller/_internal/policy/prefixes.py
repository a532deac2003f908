"""Digests of prompt prefixes and where they are cached."""

from collections.abc import Iterable
from collections.abc import Sequence

import xxhash

PREFIX_WORDS = (16, 32, 64, 128, 256, 512, 1024)
CACHED_TTL_S = 300.0
CACHED_LIMIT = 4096


def digests(prompt: str) -> list[int]:
    """Returns the digests of a prompt's prefixes, shortest first.

    Each covers one of the word counts of `PREFIX_WORDS`; a prompt has as
    many digests as it has words for.
    """
    words = prompt.split(None, PREFIX_WORDS[-1])[: PREFIX_WORDS[-1]]
    state = xxhash.xxh64()
    found = []
    start = 0
    for count in PREFIX_WORDS:
        if count > len(words):
            break
        text = " ".join(words[start:count]) + " "
        state.update(text.encode("utf-8", "surrogatepass"))
        found.append(state.intdigest())
        start = count
    return found


class CachedPrefixes:
    """The prefixes that each target is believed to hold.

    Reports come late and with gaps, so a prefix that a report lacks is
    kept until it is old, and a prompt sent to a target counts as cached
    there at once.
    """

    def __init__(self) -> None:
        self._seen_s: dict[str, dict[int, float]] = {}

    def note(self, target: str, prefixes: Iterable[int], now_s: float) -> None:
        """Records prefixes that a target reported or was sent."""
        seen = self._seen_s.setdefault(target, {})
        for prefix in prefixes:
            seen.pop(prefix, None)
            seen[prefix] = now_s
        while len(seen) > CACHED_LIMIT:
            del seen[next(iter(seen))]

    def forget(self, target: str) -> None:
        """Drops a target that left or lost its cache."""
        self._seen_s.pop(target, None)

    def cached_words(
        self, target: str, prefixes: Sequence[int], now_s: float
    ) -> int:
        """Returns the words of a prompt that a target holds.

        Args:
            target: Target.
            prefixes: Digests of the prompt, shortest first.
            now_s: The time.
        """
        seen = self._seen_s.get(target)
        if not seen:
            return 0
        for place in range(len(prefixes) - 1, -1, -1):
            seen_s = seen.get(prefixes[place])
            if seen_s is not None and now_s - seen_s <= CACHED_TTL_S:
                return PREFIX_WORDS[place]
        return 0
