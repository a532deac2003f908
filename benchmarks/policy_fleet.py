"""The policy on a virtual clock: entries, agents and a fleet of engines."""

import collections
from collections.abc import Callable
import heapq
import itertools
import math
import random
from typing import NamedTuple

from benchmarks import policy_model as model
from hemlocktiller._internal.policy import breaker
from hemlocktiller._internal.policy import budget
from hemlocktiller._internal.policy import costs
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import load_estimates
from hemlocktiller._internal.policy import preemption
from hemlocktiller._internal.policy import prefixes
from hemlocktiller._internal.policy import routing

ENTRIES = 3
LINK_S = 0.0008
REPORT_S = 1.0
REPORT_LAG_S = 0.2
EVENTS_LAG_S = 2.0
EVENTS_LOST = 0.2
RETRIES = {
    "attempts": 4,
    "budget_ratio": 0.1,
    "budget_min_per_s": 2.0,
    "backoff_min_s": 0.01,
    "backoff_max_s": 0.5,
}
LIMITS = {
    "running": model.ENGINE_SLOTS,
    "queued": 256,
    "reserved_short": 0,
    "reserved_long": 0,
    "short_cost_tokens": 90.0,
}


class Policy(NamedTuple):
    """What a run decides by.

    Attributes:
        name: Name in the tables.
        make_queue: Makes the queue of an agent.
        choose: Chooses the target of a request.
        early_refusal: Whether agents refuse what can't be in time.
        retry: Whether an entry may retry, given its budget.
        lending: Whether agents cancel lent work for its owner.
    """

    name: str
    make_queue: Callable
    choose: Callable
    early_refusal: bool
    retry: Callable
    lending: bool = False


class Outcome(NamedTuple):
    """How a request ended and the engine time that it took."""

    request: model.Request
    in_time: bool
    end_s: float
    attempts: int
    refused: int
    engine_s: float
    repeated_s: float
    wait_s: float


class Attempt:
    """State of a request in the fleet."""

    def __init__(self, request, entry):
        self.request = request
        self.entry = entry
        self.target = ""
        self.cost_tokens = 0.0
        self.output_tokens = 0.0
        self.generated = 0
        self.generated_before = 0
        self.prompt_words = 0
        self.attempts = 0
        self.refused = 0
        self.engine_s = 0.0
        self.repeated_s = 0.0
        self.started_s = 0.0
        self.wait_s = math.inf
        self.preemptions = 0
        self.done = False


class Entry:
    """State of an entry."""

    def __init__(self, seed, speeds):
        self.rng = random.Random(seed)
        self.view = routing.EntryState(
            load_estimates.Loads(),
            prefixes.CachedPrefixes(),
            breaker.CircuitBreakers(),
        )
        self.estimator = costs.Estimator()
        self.budget = budget.RetryBudget(RETRIES)
        self.alive = list(speeds)
        self.token_s = {
            name: model.step_s(speed, model.ENGINE_SLOTS, 0)
            for name, speed in speeds.items()
        }
        self.turn = self.rng.randrange(1000)


class Engine:
    """State of an agent and its engine."""

    def __init__(self, name, speed, queue):
        self.name = name
        self.speed = speed
        self.queue = queue
        self.running = []
        self.waiting = {}
        self.cached = collections.OrderedDict()
        self.stepping = False
        self.alive = True
        self.preemptor = preemption.Preemptor()

    def next_free_s(self):
        """Returns the mean time between two ends of what runs."""
        tokens = sum(attempt.output_tokens for attempt, _ in self.running)
        token_s = model.step_s(self.speed, model.ENGINE_SLOTS, 0)
        return tokens * token_s / len(self.running) ** 2

    def lane_counts(self):
        """Returns the short and the long requests that run."""
        counts = collections.Counter(lane for _, lane in self.running)
        return counts[fair_queue.SHORT], counts[fair_queue.LONG]


def fifo_queue():
    """Returns a queue without shares, for the baselines."""
    limits = {**LIMITS, "reserved_short": 0, "reserved_long": 0}
    counter = itertools.count()
    return fair_queue.FairQueue(
        limits, {"": 1.0}, lambda item: (next(counter), 0.0)
    )


class Fleet:
    """One run: the state of all processes and the events to come."""

    def __init__(self, policy, seed, requests, speeds):
        self.policy = policy
        self.rng = random.Random(f"fleet {seed}")
        names = [f"t{number}" for number in range(len(speeds))]
        self.engines = {
            name: Engine(name, speed, policy.make_queue())
            for name, speed in zip(names, speeds, strict=True)
        }
        self.entries = [
            Entry(f"{seed} {number}", dict(zip(names, speeds, strict=True)))
            for number in range(ENTRIES)
        ]
        self.outcomes = []
        self.events = []
        self.numbers = itertools.count()
        self.now_s = 0.0
        for request in requests:
            entry = self.rng.choice(self.entries)
            attempt = Attempt(request, entry)
            self.at(request.arrival_s, self.send, attempt)
        for engine in self.engines.values():
            self.at(self.rng.uniform(0, REPORT_S), self.report, engine)

    def at(self, time_s, function, *arguments):
        """Has a function called at a time."""
        entry = (time_s, next(self.numbers), function, arguments)
        heapq.heappush(self.events, entry)

    def after(self, wait_s, function, *arguments):
        """Has a function called after a while."""
        self.at(self.now_s + wait_s, function, *arguments)

    def run(self, end_s):
        """Runs the events up to a time; returns the outcomes."""
        while self.events and self.events[0][0] < end_s:
            self.now_s, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        return self.outcomes

    def finish(self, attempt, in_time):
        """Ends a request at its entry."""
        if attempt.done:
            return
        attempt.done = True
        request = attempt.request
        entry = attempt.entry
        entry.view.loads.record_ended(attempt.target, request.request_id)
        if in_time:
            entry.budget.record_success(self.now_s)
            entry.estimator.record(
                request.workspace, request.max_tokens, request.output_tokens
            )
        outcome = Outcome(
            request,
            in_time,
            self.now_s,
            attempt.attempts,
            attempt.refused,
            attempt.engine_s,
            attempt.repeated_s,
            attempt.wait_s,
        )
        self.outcomes.append(outcome)

    def send(self, attempt):
        """Sends a request from its entry to the target chosen."""
        request = attempt.request
        entry = attempt.entry
        self.price(attempt)
        target = self.policy.choose(entry, request, attempt, self.now_s)
        if target is None:
            self.retry(attempt)
            return
        attempt.attempts += 1
        attempt.target = target
        view = entry.view
        view.loads.record_sent(
            target,
            request.request_id,
            request.plan,
            attempt.cost_tokens,
            self.now_s,
        )
        view.circuit_breakers.record_sent(target, self.now_s)
        view.cached.record(target, request.prefix_digests, self.now_s)
        self.after(LINK_S, self.arrive, attempt, self.engines[target])

    def price(self, attempt):
        """Estimates what is left to do of a request."""
        request = attempt.request
        output = attempt.entry.estimator.output_tokens(
            request.workspace, request.max_tokens
        )
        attempt.output_tokens = max(1.0, output - attempt.generated)
        attempt.prompt_words = request.prompt_words + attempt.generated
        attempt.cost_tokens = costs.actual_cost_tokens(
            attempt.prompt_words, attempt.output_tokens
        )

    def retry(self, attempt):
        """Sends a request again later, or ends it."""
        late = self.now_s >= attempt.request.deadline_s
        tried = max(1, attempt.attempts)
        spent = attempt.attempts >= RETRIES["attempts"]
        entry = attempt.entry
        if late or spent or not self.policy.retry(entry, self.now_s):
            self.finish(attempt, False)
            return
        wait_s = budget.backoff_s(tried, RETRIES, entry.rng)
        self.after(wait_s, self.send, attempt)

    def failed(self, attempt, target):
        """An entry learns that its request ended with its target."""
        if attempt.done or attempt.target != target:
            return
        view = attempt.entry.view
        view.loads.record_ended(target, attempt.request.request_id)
        view.circuit_breakers.record_failure(target, self.now_s)
        self.retry(attempt)

    def refuse(self, attempt):
        """An entry learns that a target refused its request."""
        attempt.entry.view.loads.record_ended(
            attempt.target, attempt.request.request_id
        )
        attempt.refused += 1
        self.retry(attempt)

    def arrive(self, attempt, engine):
        """Queues a request at a target or refuses it."""
        if not engine.alive:
            self.after(LINK_S, self.failed, attempt, engine.name)
            return
        item = self.item(attempt, engine)
        rate = model.full_batch_tokens_per_s(engine.speed)
        wait_s = engine.queue.estimate_wait_s(item, rate)
        end_s = self.now_s + wait_s + item.expected_run_s
        if self.policy.early_refusal and end_s > item.deadline_s:
            self.after(LINK_S, self.refuse, attempt)
            return
        self.push(engine, attempt, item)
        if not engine.stepping:
            self.step(engine)

    def item(self, attempt, engine):
        """Returns what the queue of a target knows of a request."""
        request = attempt.request
        token_s = model.step_s(engine.speed, model.ENGINE_SLOTS, 0)
        run_s = costs.run_time_bound_s(attempt.output_tokens, token_s)
        return fair_queue.QueuedRequest(
            f"{request.request_id} {attempt.attempts} {attempt.preemptions}",
            request.plan,
            request.workspace,
            attempt.cost_tokens,
            request.worth,
            request.deadline_s,
            run_s if self.policy.early_refusal else 0.0,
        )

    def push(self, engine, attempt, item):
        """Queues a request; what loses its place goes back as refused."""
        engine.waiting[item.request_id] = attempt
        pushed = engine.queue.push(item)
        lost = pushed.displaced if pushed.accepted else item
        if lost is not None:
            displaced = engine.waiting.pop(lost.request_id)
            self.after(LINK_S, self.refuse, displaced)

    def step(self, engine):
        """Starts what may start and runs one step of an engine."""
        now_s = self.now_s
        for item in engine.queue.pop_expired(now_s):
            attempt = engine.waiting.pop(item.request_id)
            self.after(LINK_S, self.finish, attempt, False)
        words = 0
        self.take_back(engine)
        while len(engine.running) < model.ENGINE_SLOTS:
            item = engine.queue.pop(now_s, *engine.lane_counts())
            if item is None:
                break
            attempt = engine.waiting.pop(item.request_id)
            engine.running.append((attempt, engine.queue.size_class(item)))
            words += self.prefill(engine, attempt)
        engine.stepping = bool(engine.running)
        if engine.running:
            count = len(engine.running)
            time_s = model.step_s(engine.speed, count, words)
            self.after(time_s, self.stepped, engine)

    def take_back(self, engine):
        """Cancels lent work for a plan that is below its share."""
        item = engine.queue.peek(self.now_s)
        full = len(engine.running) == model.ENGINE_SLOTS
        if not self.policy.lending or item is None or not full:
            return
        running = [
            preemption.RunningRequest(
                attempt.request.request_id,
                attempt.request.plan,
                attempt.request.worth,
                attempt.started_s,
                attempt.preemptions,
            )
            for attempt, _ in engine.running
        ]
        victim = engine.preemptor.preempt(
            item,
            running,
            model.PLAN_SHARES,
            model.ENGINE_SLOTS,
            self.now_s,
            engine.next_free_s(),
        )
        if victim is None:
            return
        names = [one.request_id for one in running]
        attempt, _ = engine.running.pop(names.index(victim.request_id))
        attempt.preemptions += 1
        self.settle(engine, attempt)
        self.price(attempt)
        self.push(engine, attempt, self.item(attempt, engine))

    def prefill(self, engine, attempt):
        """Returns the words of a starting request that must be run."""
        request = attempt.request
        words = request.suffix_words + attempt.generated
        if request.template not in engine.cached:
            words += model.SHARED_PREFIX_WORDS
        engine.cached[request.template] = True
        engine.cached.move_to_end(request.template)
        if len(engine.cached) > model.MAX_CACHED_PREFIXES:
            engine.cached.popitem(last=False)
        if self.rng.random() >= EVENTS_LOST:
            for entry in self.entries:
                record = entry.view.cached.record
                when_s = self.now_s + EVENTS_LAG_S
                self.after(
                    EVENTS_LAG_S,
                    record,
                    engine.name,
                    request.prefix_digests,
                    when_s,
                )
        work_s = words * model.PROMPT_WORD_S
        attempt.engine_s += work_s
        if attempt.generated:
            attempt.repeated_s += work_s
        attempt.generated_before = attempt.generated
        attempt.started_s = self.now_s
        wait_s = self.now_s - request.arrival_s
        attempt.wait_s = min(attempt.wait_s, wait_s)
        return words

    def stepped(self, engine):
        """Takes the tokens of a step and starts the next one."""
        if not engine.alive:
            return
        still = []
        for attempt, lane in engine.running:
            attempt.generated += 1
            attempt.engine_s += model.FULL_BATCH_TOKEN_S
            request = attempt.request
            complete = attempt.generated >= request.output_tokens
            late = self.now_s > request.deadline_s
            if not complete and not late:
                still.append((attempt, lane))
                continue
            self.settle(engine, attempt)
            self.finish(attempt, complete and not late)
        engine.running = still
        self.step(engine)

    def settle(self, engine, attempt):
        """Replaces the estimated cost of an attempt by the real one."""
        request = attempt.request
        actual = costs.actual_cost_tokens(
            attempt.prompt_words, attempt.generated - attempt.generated_before
        )
        engine.queue.correct_cost(
            request.plan, request.workspace, attempt.cost_tokens, actual
        )

    def report(self, engine):
        """Sends a load report to each entry, which gets it later."""
        if not engine.alive:
            return
        report = {
            "type": "load",
            "target": engine.name,
            "queued": len(engine.queue),
            "running": len(engine.running),
            "max_running": model.ENGINE_SLOTS,
            "queued_cost_tokens": engine.queue.cost_tokens,
            "tokens_per_s": model.full_batch_tokens_per_s(engine.speed),
            "leaving": False,
            "prefixes": [],
            "plan_backlog_tokens": engine.queue.backlog_tokens_by_plan(),
        }
        for entry in self.entries:
            when_s = self.now_s + REPORT_LAG_S
            self.at(when_s, entry.view.loads.record_report, report, when_s)
        self.after(REPORT_S, self.report, engine)

    def kill(self, names):
        """Ends targets; each entry learns of its own requests there."""
        for name in names:
            engine = self.engines[name]
            engine.alive = False
            lost = list(engine.waiting.values())
            lost += [attempt for attempt, _ in engine.running]
            for attempt in lost:
                self.after(LINK_S, self.failed, attempt, name)
            for entry in self.entries:
                self.after(LINK_S, entry.alive.remove, name)
