"""Decides whether a request is queued or rejected, and when to retry.

The wait is predicted from the length of the queue and the rate at which it is
served. A request that would wait longer than its caller does is rejected at
once, with the time after which the queue should have room.
"""

import collections
import math
from typing import NamedTuple

# Sliding window of measured rates; short enough to follow the loss of an
# accelerator.
RATE_WINDOW_S = 3.0
# Until a process has recorded for a whole window, its rate is over the time
# since its first record, but over no less than this.
MIN_RATE_WINDOW_S = 0.3
# Callers abandon a stream that has no event for 2 s; a request that waits
# longer than this has no time left to prefill its prompt.
MAX_WAIT_S = 1.2
# A queue that has not been empty for this long is a lasting overload and no
# burst.
STANDING_QUEUE_S = 0.6
# Share of the latency objective that a request may wait in a lasting overload.
# The rest is for its prompt: longer waits would start every request late
# without starting more of them.
STANDING_WAIT_RATIO = 0.35
# Assumed while no request started within the window, so no rate is known.
DEFAULT_START_RATE_PER_S = 4.0
RETRY_AFTER_MIN_S = 0.3
RETRY_AFTER_MAX_S = 5.0
# A queue doesn't drain while arrivals exceed this share of the starts.
MAX_DRAINING_ARRIVAL_RATIO = 0.9
# Added to the retry time while the queue doesn't drain; most bursts are over
# after that.
GROWING_QUEUE_RETRY_S = 3.0


class WaitDecision(NamedTuple):
    """Whether a request may wait; if not, after which time to retry it."""

    may_wait: bool
    retry_after_s: float


class QueueState(NamedTuple):
    """State of a queue.

    Attributes:
        waiting: Requests ahead in the queue.
        starts_per_s: Recent rate at which requests started.
        arrivals_per_s: Recent rate at which requests arrived.
        standing_s: How long the queue has not been empty.
    """

    waiting: int
    starts_per_s: float
    arrivals_per_s: float
    standing_s: float = 0.0


class RateWindow:
    """Requests per second over a sliding window."""

    def __init__(self) -> None:
        self._times_s: collections.deque[float] = collections.deque()
        self._first_s: float | None = None

    def record(self, now_s: float) -> None:
        """Records a request."""
        if self._first_s is None:
            self._first_s = now_s
        self._times_s.append(now_s)

    def per_s(self, now_s: float) -> float:
        """Returns the requests per second within the window."""
        while self._times_s and self._times_s[0] < now_s - RATE_WINDOW_S:
            self._times_s.popleft()
        if not self._times_s:
            return 0.0
        window_s = min(
            RATE_WINDOW_S, max(MIN_RATE_WINDOW_S, now_s - self._first_s)
        )
        return len(self._times_s) / window_s


def decide_wait(
    queue_state: QueueState,
    time_left_s: float,
    latency_objective_s: float = math.inf,
) -> WaitDecision:
    """Decides whether a request that can't start now may wait.

    A burst is absorbed by the queue. In an overload that lasts, a full queue
    would make each request late, so it is kept as short as answers in time
    allow, and the rest is rejected at once.

    Args:
        queue_state: State of the queue that it would join.
        time_left_s: Time until the deadline of the caller or the route.
        latency_objective_s: Time in which the first event should come.
    """
    max_wait_s = min(MAX_WAIT_S, time_left_s)
    if queue_state.standing_s > STANDING_QUEUE_S:
        max_wait_s = min(max_wait_s, latency_objective_s * STANDING_WAIT_RATIO)
    wait_s = _expected_wait_s(queue_state)
    if wait_s <= max_wait_s:
        return WaitDecision(True, 0.0)
    return WaitDecision(False, retry_after_s(queue_state))


def retry_after_s(queue_state: QueueState) -> float:
    """Returns the time until the queue should have room for a request."""
    wait_s = _expected_wait_s(queue_state)
    if (
        queue_state.arrivals_per_s
        > queue_state.starts_per_s * MAX_DRAINING_ARRIVAL_RATIO
    ):
        wait_s += GROWING_QUEUE_RETRY_S
    return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))


def _expected_wait_s(queue_state):
    rate_per_s = queue_state.starts_per_s or DEFAULT_START_RATE_PER_S
    return (queue_state.waiting + 1) / rate_per_s
