"""Rules by which a state machine answers the calls to its store."""

from hypothesis import stateful
from hypothesis import strategies

NUMBERS = strategies.integers(0, 1_000)
ANSWERS = strategies.sampled_from(
    ["ok", "slow", "refused", "lost", "late", "old"]
)


class StoreRules(stateful.RuleBasedStateMachine):
    """Base of machines with a `scripted_store.Objects` in `objects`."""

    objects = None

    @stateful.precondition(lambda self: self.objects.calls)
    @stateful.rule(number=NUMBERS, how=ANSWERS)
    def _answer(self, number, how):
        calls = self.objects.calls
        self.objects.answer(calls[number % len(calls)], how)

    @stateful.precondition(lambda self: self.objects.calls)
    @stateful.rule()
    def _answer_all(self):
        while self.objects.calls:
            self.objects.answer(self.objects.calls[0], "ok")

    @stateful.precondition(lambda self: self.objects.slow)
    @stateful.rule(number=NUMBERS)
    def _reply(self, number):
        self.objects.reply(number % len(self.objects.slow))

    @stateful.precondition(lambda self: self.objects.late)
    @stateful.rule(number=NUMBERS)
    def _land(self, number):
        late = self.objects.late
        self.objects.land(late[number % len(late)])

    def _answer_everything(self):
        """Answers all calls, also the slow ones."""
        self._answer_all()
        while self.objects.slow:
            self.objects.reply(0)
