"""Measures the service rate of a target, to estimate waiting times."""

from typing import Any

NEW_SAMPLE_WEIGHT = 0.2  # Of the exponential moving average.
MIN_SAMPLES = 8


class ServiceRate:
    """Moving averages of the service rate and of the time per token.

    Attributes:
        tokens_per_s: Cost served per second of busy time, in tokens; 0
            before the first sample.
        token_s: Run time of a request per output token, in seconds; 0
            before the first sample.
    """

    def __init__(self, reactor: Any) -> None:
        self.tokens_per_s = 0.0
        self.token_s = 0.0
        self._reactor = reactor
        self._finished_count = 0
        self._unsampled_busy_s = 0.0
        self._busy_since_s = 0.0
        self._is_busy = False
        self._unsampled_tokens = 0.0

    @property
    def has_enough_samples(self) -> bool:
        """Whether the averages are reliable enough to base decisions on."""
        return self._finished_count >= MIN_SAMPLES and self.tokens_per_s > 0

    def set_busy(self, is_busy: bool) -> None:
        """Records whether any request runs; idle time is not counted."""
        if is_busy == self._is_busy:
            return
        now_s = self._reactor.seconds()
        if self._is_busy:
            self._unsampled_busy_s += now_s - self._busy_since_s
        self._is_busy = is_busy
        self._busy_since_s = now_s

    def record_request(
        self, cost_tokens: float, run_s: float, output_tokens: int
    ) -> None:
        """Records a finished request.

        Args:
            cost_tokens: Actual cost of the request, in tokens.
            run_s: Run time in seconds.
            output_tokens: Count of tokens in the response.
        """
        self._finished_count += 1
        self._unsampled_tokens += cost_tokens
        if output_tokens == 0:
            return
        token_s = run_s / output_tokens
        if self.token_s == 0.0:
            self.token_s = token_s
        self.token_s += NEW_SAMPLE_WEIGHT * (token_s - self.token_s)

    def update_rate(self) -> None:
        """Updates the average rate with the requests since the last update."""
        if self._is_busy:
            self.set_busy(False)
            self.set_busy(True)
        if self._unsampled_tokens == 0 or self._unsampled_busy_s == 0:
            return
        sample_tokens_per_s = self._unsampled_tokens / self._unsampled_busy_s
        if self.tokens_per_s == 0.0:
            self.tokens_per_s = sample_tokens_per_s
        self.tokens_per_s += NEW_SAMPLE_WEIGHT * (
            sample_tokens_per_s - self.tokens_per_s
        )
        self._unsampled_tokens = 0.0
        self._unsampled_busy_s = 0.0
