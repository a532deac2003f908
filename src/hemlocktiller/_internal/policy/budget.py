"""Retry budget and backoff."""

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
    """Allows retries as a share of the recent successes.

    A floor per second lets an idle process retry. Both count over the last
    ten seconds, in slots of a second.

    Args:
        settings: Share and floor.
    """

    def __init__(self, settings: entry_settings.Retries) -> None:
        self._settings = settings
        self._slots: collections.deque[list[float]] = collections.deque()
        self._successes = 0.0
        self._retries = 0.0

    def record_success(self, now_s: float) -> None:
        """Counts a request that succeeded."""
        self._slot(now_s)[1] += 1
        self._successes += 1

    def try_retry(self, now_s: float) -> bool:
        """Spends one retry, if the budget allows it."""
        slot = self._slot(now_s)
        if self._retries + 1 > self._allowed():
            DENIED.inc()
            return False
        slot[2] += 1
        self._retries += 1
        return True

    def remaining(self, now_s: float) -> float:
        """Returns the retries that may be made now."""
        self._slot(now_s)
        return max(0.0, self._allowed() - self._retries)

    def _allowed(self) -> float:
        floor = self._settings["budget_min_per_s"] * WINDOW_S
        return floor + self._settings["budget_ratio"] * self._successes

    def _slot(self, now_s: float) -> list[float]:
        """Returns the current slot [start, successes, retries]."""
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
    """Returns the wait before the next attempt, with full jitter.

    Args:
        attempt: Number of attempts made, from 1.
        settings: Shortest and longest wait.
        rng: Source of the jitter.
    """
    shortest_s = settings["backoff_min_s"]
    doublings = min(attempt, 32)
    longest_s = min(settings["backoff_max_s"], shortest_s * 2**doublings)
    return rng.uniform(shortest_s, max(shortest_s, longest_s))
