"""Property test of claims under random orders of calls, faults and crashes.

A call must run at most once, and one that was reported as not run must not
have run.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.agent import claims
from tests.fakes import scripted_store
from tests.unit import store_rules
from tests.unit import test_claims

# Agent processes; a router that voids attempts is added.
PROCESSES = 3
REQUEST = "r1"
CRASHES_MAX = 2
PROCESS_NUMBERS = strategies.integers(0, PROCESSES - 1)
# Most rounds of 1 s that pending writes get after the last step.
SETTLE_ROUNDS = 200


class Dispatch:
    """A call whose claim is acquired and that has not been made yet."""

    def __init__(self, process, attempt, begun):
        self.process = process
        self.attempt = attempt
        self.begun = begun


class ClaimsHistory(store_rules.StoreRules):
    """Processes that share a store whose every answer is chosen.

    All calls carry one key. An attempt number is sent to one process once;
    its delivery may come before or after a router's attempt to void it.
    """

    def __init__(self):
        super().__init__()
        self.objects = scripted_store.Objects()
        self.starts = 0
        self.processes = [self._start() for _ in range(PROCESSES)]
        self.router = self._start()
        self.attempts = 0
        self.messages = []
        self.dispatches = []
        self.runs = []
        self.crashes = 0
        self.said_not_run = set()

    def _start(self):
        self.starts += 1
        store = scripted_store.ScriptedStore(
            self.objects, f"process-{self.starts}"
        )
        return store, claims.Claims(
            store, store.writer, wall_clock_s=self.objects.clock.seconds
        )

    @stateful.rule(number=PROCESS_NUMBERS)
    def _send(self, number):
        self.attempts += 1
        self._deliver(number, self.attempts)

    @stateful.rule(number=PROCESS_NUMBERS)
    def _send_slowly(self, number):
        self.attempts += 1
        self.messages.append((number, self.attempts))

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(number=store_rules.NUMBERS)
    def _arrive(self, number):
        self._deliver(*self.messages.pop(number % len(self.messages)))

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(number=store_rules.NUMBERS)
    def _void_sent(self, number):
        self._void(1 + number % self.attempts)

    @stateful.rule()
    def _pass_time(self):
        self.objects.clock.advance(100.0)

    @stateful.precondition(lambda self: self.dispatches)
    @stateful.rule(
        number=store_rules.NUMBERS, how=strategies.sampled_from("uuuuflc")
    )
    def _dispatch(self, number, how):
        """Makes a claimed call: finish, lose, unreachable or crash.

        Mostly it is not run, since a key that ran has no history left.
        """
        made = self.dispatches.pop(number % len(self.dispatches))
        ledger = made.process[1]
        # u: unreachable, not run; f: finished; l: outcome lost; c: crash.
        if how == "u":
            self.said_not_run.add(made.attempt)
            ledger.record_not_run(made.begun.claim)
            return
        self.runs.append(made.attempt)
        if how == "f":
            ledger.record_answer(made.begun.claim, test_claims.ANSWER)
        if how == "l":
            ledger.record_unknown(made.begun.claim)
        if how == "c":
            self._crash_process(made.process)

    @stateful.precondition(lambda self: self.crashes < CRASHES_MAX)
    @stateful.rule(number=PROCESS_NUMBERS)
    def _crash(self, number):
        self._crash_process(self.processes[number])

    def _crash_process(self, process):
        """Restarts a process; its writes may still land."""
        store, ledger = process
        store.dead = True
        ledger.stop()
        number = self.processes.index(process)
        self.processes[number] = self._start()
        self.dispatches = [
            made for made in self.dispatches if made.process != process
        ]
        self.crashes += 1

    def _deliver(self, number, attempt):
        process = self.processes[number]
        begun = process[1].acquire(
            test_claims.NAME, test_claims.PRINT, REQUEST, attempt, 30.0
        )
        begun.addErrback(lambda error: error.trap(exceptions.StoreDown))
        begun.addCallback(self._begin_result, process, attempt)

    def _begin_result(self, result, process, attempt):
        if isinstance(result, claims.Acquired):
            self.dispatches.append(Dispatch(process, attempt, result))
        else:
            self.said_not_run.add(attempt)

    def _void(self, attempt):
        voided = self.router[1].void_attempt(
            test_claims.NAME, REQUEST, attempt
        )
        voided.addCallback(self._void_result, attempt)
        voided.addErrback(lambda error: error.trap(exceptions.StoreError))

    def _void_result(self, result, attempt):
        if isinstance(result, claims.Void):
            self.said_not_run.add(attempt)

    @stateful.invariant()
    def _runs_at_most_once(self):
        assert len(self.runs) <= 1

    @stateful.invariant()
    def _not_run_is_true(self):
        assert not self.said_not_run.intersection(self.runs)

    def teardown(self):
        """Without a crash, an unrun key can be run in the end."""
        for _ in range(SETTLE_ROUNDS):
            self._answer_everything()
            self.objects.clock.advance(1.0)
            while self.objects.late:
                self.objects.land(self.objects.late[0])
            if not any(
                ledger.pending_write_count for _, ledger in self.processes
            ):
                break
        if self.dispatches or self.runs or self.crashes:
            return
        self._send(0)
        self._answer_all()
        assert len(self.dispatches) == 1


ClaimsHistory.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=600,
    stateful_step_count=60,
)
test_claims_history = ClaimsHistory.TestCase
