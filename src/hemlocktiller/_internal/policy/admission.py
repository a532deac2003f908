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
RETRY_AFTER_MAX_S = 5.0
# Arrivals beyond this share of the starts keep a queue from draining.
BUSY_RATIO = 0.9
# While it does not drain, callers come back after most bursts have passed.
BUSY_RETRY_S = 3.0


class Verdict(NamedTuple):
    """Whether a request may wait; if not, when it should come back."""

    may_wait: bool
    retry_after_s: float


class Traffic(NamedTuple):
    """What a request meets.

    Attributes:
        waiting: Requests that wait before it.
        starts_per_s: Requests that started of late.
        arrivals_per_s: Requests that arrived of late.
    """

    waiting: int
    starts_per_s: float
    arrivals_per_s: float


class Rate:
    """How many requests in a second, over a sliding window."""

    def __init__(self) -> None:
        self._starts_s: collections.deque[float] = collections.deque()

    def started(self, now_s: float) -> None:
        """Notes a request."""
        self._starts_s.append(now_s)

    def per_s(self, now_s: float) -> float:
        """Returns the requests per second."""
        while self._starts_s and self._starts_s[0] < now_s - RATE_WINDOW_S:
            self._starts_s.popleft()
        if not self._starts_s:
            return 0.0
        return len(self._starts_s) / RATE_WINDOW_S


def judge(traffic: Traffic, time_left_s: float) -> Verdict:
    """Decides on a request that can't start now.

    Args:
        traffic: What it meets.
        time_left_s: Time until the caller or the route gives up.
    """
    wait_s = _wait_s(traffic)
    if wait_s <= min(LONGEST_WAIT_S, time_left_s):
        return Verdict(True, 0.0)
    return Verdict(False, retry_after_s(traffic))


def retry_after_s(traffic: Traffic) -> float:
    """Returns when the queue should have room for one more."""
    wait_s = _wait_s(traffic)
    if traffic.arrivals_per_s > traffic.starts_per_s * BUSY_RATIO:
        wait_s += BUSY_RETRY_S
    return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))


def _wait_s(traffic):
    rate_per_s = traffic.starts_per_s or UNKNOWN_RATE_PER_S
    return (traffic.waiting + 1) / rate_per_s
