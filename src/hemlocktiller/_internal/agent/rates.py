"""What a target has been seen to serve, to tell how long work will take."""

from typing import Any

WEIGHT = 0.2  # Share of a new sample in the moving averages.
MIN_SAMPLES = 8


class Rates:
    """Moving averages of the service rate and of the length of answers.

    Attributes:
        tokens_per_s: Tokens served in a second with work to do; 0 before
            there is a sample.
    """

    def __init__(self, reactor: Any) -> None:
        self.tokens_per_s = 0.0
        self._reactor = reactor
        self._answer_ratio = 1.0
        self._token_s = 0.0
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

    def done(
        self, cost_tokens: float, run_s: float, tokens: int, max_tokens: int
    ) -> None:
        """Notes the end of a request.

        Args:
            cost_tokens: Tokens of prompt and answer that were served.
            run_s: Time that it ran.
            tokens: Tokens of the answer.
            max_tokens: Tokens that the answer could have had.
        """
        self._tokens += cost_tokens
        if tokens == 0 or max_tokens == 0:
            return
        self._samples += 1
        ratio = min(tokens / max_tokens, 1.0)
        self._answer_ratio += WEIGHT * (ratio - self._answer_ratio)
        token_s = run_s / tokens
        if self._token_s == 0.0:
            self._token_s = token_s
        self._token_s += WEIGHT * (token_s - self._token_s)

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

    def expected_run_s(self, max_tokens: int) -> float:
        """Returns how long a request is likely to run, in seconds."""
        if not self.known:
            return 0.0
        return max_tokens * self._answer_ratio * self._token_s
