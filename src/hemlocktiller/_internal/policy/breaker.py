"""Breaker that keeps requests away from a target that fails."""

from typing import NamedTuple

from prometheus_client import Counter

OPENED = Counter(
    "hemlocktiller_breaker_opened",
    "Times that the breaker of a target opened",
)
FAILURES_TO_OPEN = 3
OPEN_MIN_S = 0.5
OPEN_MAX_S = 30.0


class _Failing(NamedTuple):
    """A target whose last outcome was a failure."""

    failures: int
    opens: int
    open_until_s: float
    probe_until_s: float


class Breaker:
    """Opens after consecutive failures; one probe at a time closes it."""

    def __init__(self) -> None:
        self._failing: dict[str, _Failing] = {}

    def allows(self, target: str, now_s: float) -> bool:
        """Returns whether a request may be sent to a target."""
        failing = self._failing.get(target)
        if failing is None or failing.failures < FAILURES_TO_OPEN:
            return True
        return max(failing.open_until_s, failing.probe_until_s) <= now_s

    def sent(self, target: str, now_s: float) -> None:
        """Notes a request sent; on an open breaker it is the probe.

        The probe keeps others away for as long as the breaker was open.
        """
        failing = self._failing.get(target)
        if failing is None or failing.failures < FAILURES_TO_OPEN:
            return
        until_s = now_s + _open_s(failing.opens)
        self._failing[target] = failing._replace(probe_until_s=until_s)

    def succeeded(self, target: str) -> None:
        """Closes the breaker of a target."""
        self._failing.pop(target, None)

    def failed(self, target: str, now_s: float) -> None:
        """Notes a failure of a target."""
        failing = self._failing.get(target, _Failing(0, 0, 0.0, 0.0))
        failures = failing.failures + 1
        opens = failing.opens
        open_until_s = failing.open_until_s
        if failures >= FAILURES_TO_OPEN and now_s >= open_until_s:
            opens += 1
            open_until_s = now_s + _open_s(opens)
            OPENED.inc()
        self._failing[target] = _Failing(failures, opens, open_until_s, 0.0)

    def forget(self, target: str) -> None:
        """Drops a target that left."""
        self._failing.pop(target, None)


def _open_s(opens: int) -> float:
    """Returns how long a breaker stays open the given time around."""
    doublings = min(max(opens - 1, 0), 16)
    return min(OPEN_MAX_S, OPEN_MIN_S * 2**doublings)
