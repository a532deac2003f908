"""Predicts how long the answers of a route are; pure, without I/O.

It answers a load of answers whose lengths differ by far, of which callers'
hints tell the median at best. What is learned is the ratio of an answer's
length to the caller's hint, by route and size of the hint, since a large hint
more often is one that is too large; by route alone while that has too few
answers. Ratios are counted in a histogram with bins of equal width in log
space, where old answers weigh less and less.
"""

import collections
import math
from typing import NamedTuple

BINS_PER_OCTAVE = 4
# Hints within a factor of four are alike.
OCTAVES_PER_CLASS = 2
# Ratios beyond these powers of two count as the last one.
MAX_OCTAVES = 5
# Below so many answers the hint itself is the prediction: the first callers
# of a route are served as by a gateway that has just started.
MIN_ANSWERS = 16
# At so many answers the counts are halved, so that a route whose answers
# become longer is predicted anew within some hundred answers.
MAX_ANSWERS = 256
# Histograms kept, the last used ones. Deployments have hundreds of routes, of
# which callers use few at a time; all of them take some hundred KiB.
MAX_HISTOGRAMS = 512
# An answer longer than all others before is expected to go on for this share
# of what it has.
OVERDUE_RATIO = 0.25

_BIN_COUNT = 2 * MAX_OCTAVES * BINS_PER_OCTAVE + 1
_BIN_RATIOS = tuple(
    2.0 ** (index / BINS_PER_OCTAVE - MAX_OCTAVES)
    for index in range(_BIN_COUNT)
)


class Prediction(NamedTuple):
    """Possible lengths of an answer.

    Attributes:
        lengths: Pairs of a length in tokens and its weight, in rising order.
        max_tokens: Length that the answer can't exceed; inf if unknown.
    """

    lengths: tuple[tuple[float, float], ...]
    max_tokens: float

    def remaining_tokens(self, written_tokens: float) -> float:
        """Returns the mean of the tokens that are left to write."""
        weight_left = tokens_left = 0.0
        for length, weight in self.lengths:
            if length > written_tokens:
                weight_left += weight
                tokens_left += weight * (length - written_tokens)
        if weight_left:
            left = tokens_left / weight_left
        else:
            left = written_tokens * OVERDUE_RATIO
        return max(0.0, min(left, self.max_tokens - written_tokens))


class OutputLengths:
    """Lengths of answers so far, by route and size of the hint."""

    def __init__(self) -> None:
        self._histograms: collections.OrderedDict[
            tuple[str, int | None], list[float]
        ] = collections.OrderedDict()

    def predict(
        self, route: str, hint_tokens: float, max_tokens: float
    ) -> Prediction:
        """Returns the possible lengths of an answer.

        Args:
            route: Name of the route.
            hint_tokens: Length that is expected without knowledge of the
                route, such as the caller's hint.
            max_tokens: Length that it can't exceed; 0 if unknown.
        """
        limit_tokens = max_tokens or math.inf
        counts = next(
            (
                self._histograms[key]
                for key in _keys(route, hint_tokens)
                if sum(self._histograms.get(key, ())) >= MIN_ANSWERS
            ),
            None,
        )
        if counts is None:
            return Prediction(
                ((min(hint_tokens, limit_tokens), 1.0),), limit_tokens
            )
        return Prediction(
            tuple(
                (min(hint_tokens * ratio, limit_tokens), count)
                for ratio, count in zip(_BIN_RATIOS, counts, strict=True)
                if count
            ),
            limit_tokens,
        )

    def record(
        self, route: str, hint_tokens: float, answer_tokens: float
    ) -> None:
        """Records the length of a whole answer."""
        if not (hint_tokens > 0 and answer_tokens > 0):
            return
        octaves = math.log2(answer_tokens / hint_tokens) + MAX_OCTAVES
        index = min(max(round(octaves * BINS_PER_OCTAVE), 0), _BIN_COUNT - 1)
        for key in _keys(route, hint_tokens):
            counts = self._histograms.setdefault(key, [0.0] * _BIN_COUNT)
            self._histograms.move_to_end(key)
            counts[index] += 1.0
            if sum(counts) >= MAX_ANSWERS:
                counts[:] = [count / 2.0 for count in counts]
        while len(self._histograms) > MAX_HISTOGRAMS:
            self._histograms.popitem(last=False)


def _keys(route, hint_tokens):
    """Returns the keys of the histograms of an answer, most exact first."""
    size_class = round(math.log2(max(1.0, hint_tokens)) / OCTAVES_PER_CLASS)
    return (route, size_class), (route, None)
