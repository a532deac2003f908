"""Retry budget and exponential backoff."""

import collections
import random

from prometheus_client import Counter

from hemlocktiller._internal.schemas import entry_settings

DENIED = Counter(
    "hemlocktiller_retries_denied",
    "Retries that the retry budget did not allow",
)
WINDOW_S = 10.0
SLOT_S = 1.0


class RetryBudget:
    """Limits retries to a ratio of the recent successful requests.

    A minimum rate allows retries when there is little traffic. Both are
    counted over a sliding window of ten seconds in slots of one second.

    Args:
        settings: Ratio and minimum rate.
    """

    def __init__(self, settings: entry_settings.Retries) -> None:
        self._settings = settings
        self._slots: collections.deque[list[float]] = collections.deque()
        self._successes = 0.0
        self._retries = 0.0

    def record_success(self, now_s: float) -> None:
        """Counts a successful request."""
        self._current_slot(now_s)[1] += 1
        self._successes += 1

    def try_retry(self, now_s: float) -> bool:
        """Takes one retry from the budget, if there is one."""
        slot = self._current_slot(now_s)
        if self._retries + 1 > self._max_retries():
            DENIED.inc()
            return False
        slot[2] += 1
        self._retries += 1
        return True

    def remaining(self, now_s: float) -> float:
        """Returns the number of retries left in the budget."""
        self._current_slot(now_s)
        return max(0.0, self._max_retries() - self._retries)

    def _max_retries(self) -> float:
        min_retries = self._settings["budget_min_per_s"] * WINDOW_S
        return min_retries + self._settings["budget_ratio"] * self._successes

    def _current_slot(self, now_s: float) -> list[float]:
        """Returns the current slot [start_s, successes, retries].

        Drops the slots that have left the window.
        """
        while self._slots and self._slots[0][0] <= now_s - WINDOW_S:
            _, successes, retries = self._slots.popleft()
            self._successes -= successes
            self._retries -= retries
        if not self._slots or self._slots[-1][0] + SLOT_S <= now_s:
            self._slots.append([now_s, 0.0, 0.0])
        return self._slots[-1]


def backoff_s(
    attempt: int, settings: entry_settings.Retries, rng: random.Random
) -> float:
    """Returns the delay before the next attempt, with full jitter.

    Args:
        attempt: Number of attempts made, from 1.
        settings: Minimum and maximum delay.
        rng: Random number generator for the jitter.
    """
    shortest_s = settings["backoff_min_s"]
    doublings = min(attempt, 32)
    longest_s = min(settings["backoff_max_s"], shortest_s * 2**doublings)
    return rng.uniform(shortest_s, max(shortest_s, longest_s))
