"""Circuit breaker that stops requests to a failing target."""

from typing import NamedTuple

from prometheus_client import Counter

OPENED = Counter(
    "hemlocktiller_breaker_opened",
    "Times that the breaker of a target opened",
)
FAILURES_TO_OPEN = 3
OPEN_MIN_S = 0.5
OPEN_MAX_S = 30.0


class _FailureRecord(NamedTuple):
    """State of a target whose last request failed.

    Attributes:
        failure_count: Consecutive failures.
        open_count: How often the breaker opened since the last success.
        open_until_s: Time at which the breaker allows a probe.
        probe_until_s: Time until which a probe blocks other requests.
    """

    failure_count: int
    open_count: int
    open_until_s: float
    probe_until_s: float


class CircuitBreakers:
    """Circuit breakers of all targets.

    The breaker of a target opens after consecutive failures. It then lets
    one probe at a time through and closes when one succeeds.
    """

    def __init__(self) -> None:
        self._records: dict[str, _FailureRecord] = {}

    def allows(self, target: str, now_s: float) -> bool:
        """Returns whether a request may be sent to a target."""
        record = self._records.get(target)
        if record is None or record.failure_count < FAILURES_TO_OPEN:
            return True
        return max(record.open_until_s, record.probe_until_s) <= now_s

    def record_sent(self, target: str, now_s: float) -> None:
        """Records that a request was sent; with an open breaker, as the probe.

        The probe blocks other requests for as long as the breaker was open.
        """
        record = self._records.get(target)
        if record is None or record.failure_count < FAILURES_TO_OPEN:
            return
        until_s = now_s + _open_duration_s(record.open_count)
        self._records[target] = record._replace(probe_until_s=until_s)

    def record_success(self, target: str) -> None:
        """Closes the breaker of a target."""
        self._records.pop(target, None)

    def record_failure(self, target: str, now_s: float) -> None:
        """Records a failed request; opens the breaker if there are enough."""
        record = self._records.get(target, _FailureRecord(0, 0, 0.0, 0.0))
        failure_count = record.failure_count + 1
        open_count = record.open_count
        open_until_s = record.open_until_s
        if failure_count >= FAILURES_TO_OPEN and now_s >= open_until_s:
            open_count += 1
            open_until_s = now_s + _open_duration_s(open_count)
            OPENED.inc()
        self._records[target] = _FailureRecord(
            failure_count, open_count, open_until_s, 0.0
        )

    def forget(self, target: str) -> None:
        """Drops the state of a target that was removed."""
        self._records.pop(target, None)


def _open_duration_s(open_count: int) -> float:
    """Returns how long a breaker stays open when it opens the n-th time."""
    doublings = min(max(open_count - 1, 0), 16)
    return min(OPEN_MAX_S, OPEN_MIN_S * 2**doublings)
