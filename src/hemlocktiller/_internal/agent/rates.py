"""What a target has been seen to serve, to tell how long work will take."""

from typing import Any

WEIGHT = 0.2  # Share of a new sample in the moving average.
MIN_SAMPLES = 8


class Rates:
    """Moving averages of the service rate and of a token's time.

    Attributes:
        tokens_per_s: Tokens served in a second with work to do; 0 before
            there is a sample.
        token_s: Time for one token of one request.
    """

    def __init__(self, reactor: Any) -> None:
        self.tokens_per_s = 0.0
        self.token_s = 0.0
        self._reactor = reactor
        self._samples = 0
        self._busy_s = 0.0
        self._busy_since_s = 0.0
        self._busy = False
        self._tokens = 0.0

    @property
    def known(self) -> bool:
        """Whether enough was seen to refuse work because of it."""
        return self._samples >= MIN_SAMPLES and self.tokens_per_s > 0

    def set_busy(self, busy: bool) -> None:
        """Notes whether anything runs; idle time does not count."""
        if busy == self._busy:
            return
        now_s = self._reactor.seconds()
        if self._busy:
            self._busy_s += now_s - self._busy_since_s
        self._busy = busy
        self._busy_since_s = now_s

    def done(self, cost_tokens: float, run_s: float, tokens: int) -> None:
        """Notes the end of a request.

        Args:
            cost_tokens: Cost that was served.
            run_s: Time that it ran.
            tokens: Tokens of the answer.
        """
        self._samples += 1
        self._tokens += cost_tokens
        if tokens == 0:
            return
        token_s = run_s / tokens
        if self.token_s == 0.0:
            self.token_s = token_s
        self.token_s += WEIGHT * (token_s - self.token_s)

    def sample(self) -> None:
        """Takes the served tokens into the average of the rate."""
        if self._busy:
            self.set_busy(False)
            self.set_busy(True)
        if self._tokens == 0 or self._busy_s == 0:
            return
        rate = self._tokens / self._busy_s
        if self.tokens_per_s == 0.0:
            self.tokens_per_s = rate
        self.tokens_per_s += WEIGHT * (rate - self.tokens_per_s)
        self._tokens = 0.0
        self._busy_s = 0.0
