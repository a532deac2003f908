"""Property test of leases under random orders of replies, faults and pauses.

At most one process holds the lease at any time, and its fencing number is
the highest that was granted.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.control import lease
from tests.fakes import scripted_store
from tests.unit import store_rules

HOLDERS = 3
# Rounds of 1 s after the last step, until a process must hold the lease.
SETTLE_ROUNDS = 100
DURATIONS_S = strategies.sampled_from([0.5, 3.0, 9.5, 11.0])


class LeaseHistory(store_rules.StoreRules):
    """Holders that share a store whose every answer is chosen.

    Each holder has a clock for its timers, which stands still while it is
    paused; expiry is judged by one that never does.
    """

    def __init__(self):
        super().__init__()
        self.objects = scripted_store.Objects()
        self.clocks = []
        self.leases = []
        self.holders = {}
        for number in range(HOLDERS):
            self._start(number)

    def _start(self, number):
        clock = task.Clock()
        store = scripted_store.ScriptedStore(self.objects, str(number))
        made = lease.Lease(
            store,
            "dc1",
            lease.DEFAULT_SETTINGS,
            clock,
            monotonic_s=self.objects.clock.seconds,
        )
        self.clocks.append(clock)
        self.leases.append(made)
        made.start()

    @stateful.rule(
        duration_s=DURATIONS_S,
        awake=strategies.sets(strategies.integers(0, HOLDERS - 1)),
    )
    def _pass_time(self, duration_s, awake):
        self.objects.clock.advance(duration_s)
        for number in awake:
            self.clocks[number].advance(duration_s)

    @stateful.rule(duration_s=DURATIONS_S)
    def _pass_time_for_all(self, duration_s):
        self._pass_time(duration_s, range(HOLDERS))
        self._answer_all()

    @stateful.invariant()
    def _one_holder_with_the_highest_number(self):
        held = self._held()
        assert len(held) <= 1
        for fencing_number, number in held:
            assert fencing_number >= max(self.holders, default=0)
            assert self.holders.setdefault(fencing_number, number) == number

    def _held(self):
        """Returns the fencing number and the place of each holder."""
        held = []
        for number, one in enumerate(self.leases):
            try:
                held.append((one.fencing_number(), number))
            except exceptions.LeaseLost:
                continue
        return held

    def teardown(self):
        """Once the faults end, one of them gets the lease."""
        for _ in range(SETTLE_ROUNDS):
            self._pass_time(1.0, range(HOLDERS))
            self._answer_everything()
        assert len(self._held()) == 1


LeaseHistory.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=50,
)
test_lease_history = LeaseHistory.TestCase


def test_late_reply_does_not_grant_an_expired_lease():
    """The acquisition takes effect, but its reply comes after the expiry."""
    history = LeaseHistory()
    objects = history.objects
    for outcome in ("ok", "ok", "slow"):
        calls = [call for call in objects.calls if call.store.writer == "0"]
        objects.answer(calls[0], outcome)
    history._answer_all()
    for _ in range(2):
        history._pass_time(11.0, {1, 2})
        history._answer_all()
    assert [number for _, number in history._held()] != []
    objects.reply(0)
    assert 0 not in [number for _, number in history._held()]
    assert len(history._held()) == 1
