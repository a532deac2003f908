"""Estimated cost of a request before it runs."""

PROMPT_WORD_TOKENS = 0.1
RUN_MARGIN = 1.33
RATIO_WEIGHT = 0.05
FIRST_RATIO = 0.5
WORKSPACES_LIMIT = 4096


class Estimator:
    """Learns which part of its allowed tokens a workspace really uses.

    Costs are in output tokens; a word of the prompt costs a fraction of
    one, as engines run the words of a prompt together.
    """

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}

    def output_tokens(self, workspace: str, max_tokens: int) -> float:
        """Returns the expected length of an answer."""
        ratio = self._ratios.get(workspace, FIRST_RATIO)
        return max(1.0, ratio * max_tokens)

    def cost_tokens(
        self, workspace: str, prompt_words: int, max_tokens: int
    ) -> float:
        """Returns the expected cost of a request."""
        output = self.output_tokens(workspace, max_tokens)
        return actual_cost_tokens(prompt_words, output)

    def record(self, workspace: str, max_tokens: int, tokens: int) -> None:
        """Takes the length of a complete answer."""
        before = self._ratios.get(workspace, FIRST_RATIO)
        change = tokens / max(max_tokens, 1) - before
        full = len(self._ratios) >= WORKSPACES_LIMIT
        if full and workspace not in self._ratios:
            self._ratios.pop(next(iter(self._ratios)))
        self._ratios[workspace] = before + RATIO_WEIGHT * change


def actual_cost_tokens(prompt_words: int, output_tokens: float) -> float:
    """Returns the cost of a request whose answer has a known length."""
    return PROMPT_WORD_TOKENS * prompt_words + output_tokens


def run_s(output_tokens: float, token_s: float) -> float:
    """Returns the time in which most answers of an expected length end.

    A queue that counts with the mean starts answers that end too late half
    of the time.

    Args:
        output_tokens: Expected length of the answer.
        token_s: Time for one token on a busy target.
    """
    return RUN_MARGIN * output_tokens * token_s
