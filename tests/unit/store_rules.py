"""Hypothesis rules that answer the pending calls of a scripted store.

Hypothesis sorts rules by name, so renaming a rule changes which
examples the state machines generate.
"""

from hypothesis import stateful
from hypothesis import strategies

NUMBERS = strategies.integers(0, 1_000)
# Outcomes of a call, as defined by `scripted_store.Objects.answer`.
ANSWERS = strategies.sampled_from(
    ["ok", "slow", "refused", "lost", "late", "old"]
)


class StoreRules(stateful.RuleBasedStateMachine):
    """Base class of state machines that share one scripted store.

    Attributes:
        objects: The `scripted_store.Objects`, set by the subclass.
    """

    objects = None

    @stateful.precondition(lambda self: self.objects.calls)
    @stateful.rule(number=NUMBERS, how=ANSWERS)
    def _answer(self, number, how):
        """Ends one pending call with an outcome from `ANSWERS`."""
        calls = self.objects.calls
        self.objects.answer(calls[number % len(calls)], how)

    @stateful.precondition(lambda self: self.objects.calls)
    @stateful.rule()
    def _answer_all(self):
        """Ends all pending calls, and those that they cause, without fault."""
        while self.objects.calls:
            self.objects.answer(self.objects.calls[0], "ok")

    @stateful.precondition(lambda self: self.objects.slow)
    @stateful.rule(number=NUMBERS)
    def _reply(self, number):
        """Delivers the delayed reply of one call that took effect."""
        self.objects.reply(number % len(self.objects.slow))

    @stateful.precondition(lambda self: self.objects.late)
    @stateful.rule(number=NUMBERS)
    def _land(self, number):
        """Applies one delayed write, whose outcome was reported unknown."""
        late = self.objects.late
        self.objects.land(late[number % len(late)])

    def _answer_everything(self):
        """Ends all pending calls and delivers all delayed replies."""
        self._answer_all()
        while self.objects.slow:
            self.objects.reply(0)
