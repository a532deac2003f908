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
from hemlocktiller._internal.store import versions
from tests.fakes import scripted_store
from tests.unit import store_rules

HOLDERS = 3
RESTORES_MAX = 3
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


class RestoreHistory(LeaseHistory):
    """The same with a store that is restored from copies of its past.

    Writes of unknown outcome may land in a later era, where the revision that
    they name was given out again.
    """

    def __init__(self):
        super().__init__()
        self.copies = [self.objects.copy()]

    @stateful.rule()
    def _copy(self):
        self.copies.append(self.objects.copy())

    @stateful.precondition(lambda self: self.objects.era < RESTORES_MAX)
    @stateful.rule(number=store_rules.NUMBERS)
    def _restore(self, number):
        self.objects.restore(self.copies[number % len(self.copies)])


RestoreHistory.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=400,
    stateful_step_count=60,
)
test_restore_history = RestoreHistory.TestCase


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


def test_a_late_write_of_an_earlier_era_makes_no_second_holder():
    """It lands where its revision was given out again, to another holder."""
    history = LeaseHistory()
    objects = history.objects

    def answer_holder(number, outcome="ok"):
        while calls := [
            call for call in objects.calls if call.store.writer == str(number)
        ]:
            objects.answer(calls[0], outcome)
            if outcome != "ok":
                return

    def pass_time(duration_s, *numbers):
        history._pass_time(duration_s, numbers)
        for number in numbers:
            answer_holder(number)

    # Holder 0 reads the lease and creates it without a holder.
    for _ in range(2):
        calls = [call for call in objects.calls if call.store.writer == "0"]
        objects.answer(calls[0], "ok")
    copied = objects.copy()
    answer_holder(0)
    for _ in range(30):
        pass_time(3.0, 0)
    history._pass_time(3.0, {0})
    answer_holder(0, "late")
    assert [number for _, number in history._held()] == [0]
    objects.restore(copied)
    # Holder 0 learns of the restore, and is paused while 1 gets the lease.
    pass_time(11.0, 0)
    while objects.stored["lease", "dc1"].value["holder"] != "1":
        pass_time(11.0, 1)
    # Holder 0 asks for the lease, and is answered after the late write.
    while not any(call.store.writer == "0" for call in objects.calls):
        history._pass_time(1.0, {0, 1})
        answer_holder(1)
    (late_write,) = objects.late
    while versions.revision_of(objects.stored["lease", "dc1"].version) < (
        versions.revision_of(late_write.version)
    ):
        pass_time(3.0, 1)
    objects.land(late_write)
    assert objects.stored["lease", "dc1"].value["holder"] == "0"
    assert [number for _, number in history._held()] == [1]
    answer_holder(0)
    assert [number for _, number in history._held()] == [1]


def test_a_copy_that_names_the_holder_gives_it_no_earlier_number():
    """It was held in the era between, which the second copy doesn't know."""
    history = LeaseHistory()
    objects = history.objects

    def pass_time(duration_s):
        history._pass_time(duration_s, {0})
        numbers = []
        while calls := [
            call for call in objects.calls if call.store.writer == "0"
        ]:
            objects.answer(calls[0], "ok")
            numbers += [number for number, _ in history._held()]
        return numbers

    (first,) = set(pass_time(0.5))
    copied = objects.copy()
    objects.restore(copied)
    numbers = [number for _ in range(60) for number in pass_time(1.0)]
    assert numbers and numbers[-1] > first
    objects.restore(copied)
    later = [number for _ in range(60) for number in pass_time(1.0)]
    assert later and min(later) > numbers[-1]
