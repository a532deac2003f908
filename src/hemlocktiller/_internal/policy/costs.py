"""Estimates the cost of a request before it runs."""

PROMPT_WORD_TOKENS = 0.1
RUN_TIME_MARGIN = 1.33
EWMA_WEIGHT = 0.05
DEFAULT_OUTPUT_RATIO = 0.5
MAX_WORKSPACES = 4096


class Estimator:
    """Estimates the length of answers from the past ones of a workspace.

    Keeps a moving average, by workspace, of the ratio of an answer's length
    to its allowed tokens. Costs are in output tokens. A word of the prompt
    costs a fraction of one, as engines process the words of a prompt together.
    """

    def __init__(self) -> None:
        self._output_ratios: dict[str, float] = {}

    def output_tokens(self, workspace: str, max_tokens: int) -> float:
        """Returns the expected length of an answer, in tokens."""
        ratio = self._output_ratios.get(workspace, DEFAULT_OUTPUT_RATIO)
        return max(1.0, ratio * max_tokens)

    def cost_tokens(
        self, workspace: str, prompt_words: int, max_tokens: int
    ) -> float:
        """Returns the expected cost of a request."""
        expected_output = self.output_tokens(workspace, max_tokens)
        return actual_cost_tokens(prompt_words, expected_output)

    def record(self, workspace: str, max_tokens: int, tokens: int) -> None:
        """Records the length of a complete answer."""
        average = self._output_ratios.get(workspace, DEFAULT_OUTPUT_RATIO)
        deviation = tokens / max(max_tokens, 1) - average
        is_full = len(self._output_ratios) >= MAX_WORKSPACES
        if is_full and workspace not in self._output_ratios:
            self._output_ratios.pop(next(iter(self._output_ratios)))
        self._output_ratios[workspace] = average + EWMA_WEIGHT * deviation


def actual_cost_tokens(prompt_words: int, output_tokens: float) -> float:
    """Returns the cost of a request with an answer of a given length."""
    return PROMPT_WORD_TOKENS * prompt_words + output_tokens


def run_time_bound_s(output_tokens: float, token_s: float) -> float:
    """Returns the time within which most answers of an expected length end.

    It has a margin over the mean: with the mean alone, a queue would start
    answers of which half end after their deadline.

    Args:
        output_tokens: Expected length of the answer.
        token_s: Time of one token on a busy target.
    """
    return RUN_TIME_MARGIN * output_tokens * token_s
