"""Decides whether a request waits or is refused, and when to come back.

Answers the load of a queue that is served faster or slower than it grows:
a request that would wait beyond its caller's patience is refused at once,
and told when the queue will have room.
"""

import collections
from typing import NamedTuple

# Rates are measured over this long: short enough to follow a lost card.
RATE_WINDOW_S = 3.0
# Callers give a stream up that shows nothing for two seconds; what waits
# longer than this here has no time left for its prompt.
LONGEST_WAIT_S = 1.2
# Before any request has been served there is no rate to go by.
UNKNOWN_RATE_PER_S = 4.0
RETRY_AFTER_MIN_S = 0.3
RETRY_AFTER_MAX_S = 4.0


class Verdict(NamedTuple):
    """Whether a request may wait; if not, when it should come back."""

    may_wait: bool
    retry_after_s: float


class Rate:
    """How many requests start in a second, over a sliding window."""

    def __init__(self) -> None:
        self._starts_s: collections.deque[float] = collections.deque()

    def started(self, now_s: float) -> None:
        """Notes that a request left the queue and started."""
        self._starts_s.append(now_s)

    def per_s(self, now_s: float) -> float:
        """Returns the starts per second."""
        while self._starts_s and self._starts_s[0] < now_s - RATE_WINDOW_S:
            self._starts_s.popleft()
        if not self._starts_s:
            return 0.0
        return len(self._starts_s) / RATE_WINDOW_S


def judge(waiting: int, rate_per_s: float, time_left_s: float) -> Verdict:
    """Decides on a request that can't start now.

    Args:
        waiting: Requests that wait before it.
        rate_per_s: Starts per second of late.
        time_left_s: Time until the caller or the route gives up.
    """
    rate_per_s = rate_per_s or UNKNOWN_RATE_PER_S
    wait_s = (waiting + 1) / rate_per_s
    if wait_s <= min(LONGEST_WAIT_S, time_left_s / 2):
        return Verdict(True, 0.0)
    return Verdict(False, retry_after_s(waiting, rate_per_s))


def retry_after_s(waiting: int, rate_per_s: float) -> float:
    """Returns when the queue should have room for one more."""
    rate_per_s = rate_per_s or UNKNOWN_RATE_PER_S
    wait_s = (waiting + 1) / rate_per_s
    return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
