"""Discrete-event simulation of entries, agents and engines.

The entries and agents run the functions of the policy on simulated time. The
engines follow the cost model of `policy_model`.
"""

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
from hemlocktiller._internal.policy import held_prompts
from hemlocktiller._internal.policy import load_estimates
from hemlocktiller._internal.policy import preemption
from hemlocktiller._internal.policy import routing

ENTRY_COUNT = 3
LINK_LATENCY_S = 0.0008
LOAD_REPORT_INTERVAL_S = 1.0
LOAD_REPORT_DELAY_S = 0.2
CACHE_EVENT_DELAY_S = 2.0
CACHE_EVENT_LOSS_RATIO = 0.2
RETRY_SETTINGS = {
    "attempts": 4,
    "budget_ratio": 0.1,
    "budget_min_per_s": 2.0,
    "backoff_min_s": 0.01,
    "backoff_max_s": 0.5,
}
AGENT_LIMITS = {
    "running": model.ENGINE_SLOTS,
    "queued": 256,
    "reserved_short": 0,
    "reserved_long": 0,
    "short_cost_tokens": 90.0,
}


class Policy(NamedTuple):
    """The decision functions of a simulation.

    Attributes:
        name: Name in the printed table.
        make_queue: Returns a new queue for an agent.
        choose_target: Returns the target of a request, or None. Called with
            the entry, the request, its state and the time.
        early_refusal: Whether agents refuse requests on arrival that would
            probably miss their deadline.
        may_retry: Returns whether an entry may retry a request. Called with
            the entry and the time.
        preemption: Whether agents preempt requests of plans that exceed
            their share.
    """

    name: str
    make_queue: Callable
    choose_target: Callable
    early_refusal: bool
    may_retry: Callable
    preemption: bool = False


class Outcome(NamedTuple):
    """Result of a request and the engine time it used.

    Attributes:
        request: The request.
        met_deadline: Whether the answer was complete by the deadline.
        ended_s: Time at which the request ended.
        attempts: Number of times the request was sent to a target.
        refusals: Number of times a target refused it.
        engine_s: Engine time spent on all attempts.
        repeated_prefill_s: Engine time spent on processing the prompt and
            the generated tokens again after an interruption.
        wait_s: Time from arrival to the first start; infinite if the request
            never started.
    """

    request: model.Request
    met_deadline: bool
    ended_s: float
    attempts: int
    refusals: int
    engine_s: float
    repeated_prefill_s: float
    wait_s: float


class RequestState:
    """State of a request over all its attempts.

    Attributes:
        target: Name of the target of the last attempt.
        cost_tokens: Estimated cost of what remains to be done.
        expected_output_tokens: Estimated number of tokens yet to generate.
        generated_tokens: Number of tokens generated so far.
        generated_before_start: Value of `generated_tokens` at the last start.
        prompt_words: Words to process at the next start; the generated
            tokens count as part of the prompt.
        started_s: Time of the last start.
        preemptions: Number of times the request was preempted.
        has_ended: Whether the outcome was recorded.

    The other attributes are those of `Outcome`.
    """

    def __init__(self, request, entry):
        self.request = request
        self.entry = entry
        self.target = ""
        self.cost_tokens = 0.0
        self.expected_output_tokens = 0.0
        self.generated_tokens = 0
        self.generated_before_start = 0
        self.prompt_words = 0
        self.attempts = 0
        self.refusals = 0
        self.engine_s = 0.0
        self.repeated_prefill_s = 0.0
        self.started_s = 0.0
        self.wait_s = math.inf
        self.preemptions = 0
        self.has_ended = False


class Entry:
    """State of an entry.

    Attributes:
        live_targets: Names of the targets that are not known to be dead.
        target_token_s: Time of one token at full batch, by target.
        round_robin_index: Counter of the round-robin baseline.
    """

    def __init__(self, seed, target_speeds):
        self.rng = random.Random(seed)
        self.routing_state = routing.EntryState(
            load_estimates.Loads(),
            held_prompts.HeldPrompts(),
            breaker.CircuitBreakers(),
        )
        self.cost_estimator = costs.Estimator()
        self.retry_budget = budget.RetryBudget(RETRY_SETTINGS)
        self.live_targets = list(target_speeds)
        self.target_token_s = {
            name: model.step_s(speed, model.ENGINE_SLOTS, 0)
            for name, speed in target_speeds.items()
        }
        self.round_robin_index = self.rng.randrange(1000)


class Engine:
    """State of an engine and its agent.

    Attributes:
        queue: Queue of the agent.
        running: Running requests, as pairs of state and size class.
        queued_states: States of the queued requests, by id in the queue.
        cached_templates: Templates whose prefix is cached, least recently
            used first.
        is_stepping: Whether the end of a step is scheduled.
    """

    def __init__(self, name, speed, queue):
        self.name = name
        self.speed = speed
        self.queue = queue
        self.running = []
        self.queued_states = {}
        self.cached_templates = collections.OrderedDict()
        self.is_stepping = False
        self.is_alive = True
        self.preemptor = preemption.Preemptor()

    def next_free_s(self):
        """Estimates the time until a slot is free.

        This is the mean expected run time of the running requests divided by
        their number.
        """
        tokens = sum(state.expected_output_tokens for state, _ in self.running)
        token_s = model.step_s(self.speed, model.ENGINE_SLOTS, 0)
        return tokens * token_s / len(self.running) ** 2

    def running_counts(self):
        """Returns the number of running requests that are short and long."""
        counts = collections.Counter(
            size_class for _, size_class in self.running
        )
        return counts[fair_queue.SHORT], counts[fair_queue.LONG]


def equal_share_queue():
    """Returns the queue of the baselines, which ignores shares and worth.

    All plans have the same weight. The requests of a workspace are served
    first in, first out.
    """
    limits = {**AGENT_LIMITS, "reserved_short": 0, "reserved_long": 0}
    counter = itertools.count()
    return fair_queue.FairQueue(
        limits, {"": 1.0}, lambda item: (next(counter), 0.0)
    )


class FleetSimulation:
    """State of all simulated processes and the scheduled events.

    Attributes:
        max_cached_prefixes: Prefixes that an engine has memory for.
        shared_words: Words of shared prefixes in all prompts started.
        held_words: Those of them that engines still had.
    """

    def __init__(
        self,
        policy,
        seed,
        requests,
        speeds,
        max_cached_prefixes=model.MAX_CACHED_PREFIXES,
    ):
        self.policy = policy
        self.max_cached_prefixes = max_cached_prefixes
        self.shared_words = self.held_words = 0
        self.rng = random.Random(f"fleet {seed}")
        names = [f"t{number}" for number in range(len(speeds))]
        self.engines = {
            name: Engine(name, speed, policy.make_queue())
            for name, speed in zip(names, speeds, strict=True)
        }
        self.entries = [
            Entry(f"{seed} {number}", dict(zip(names, speeds, strict=True)))
            for number in range(ENTRY_COUNT)
        ]
        self.outcomes = []
        self.events = []
        self.event_numbers = itertools.count()
        self.now_s = 0.0
        for request in requests:
            entry = self.rng.choice(self.entries)
            state = RequestState(request, entry)
            self.schedule_at(request.arrival_s, self.send_request, state)
        for engine in self.engines.values():
            self.schedule_at(
                self.rng.uniform(0, LOAD_REPORT_INTERVAL_S),
                self.send_load_report,
                engine,
            )

    def schedule_at(self, time_s, function, *arguments):
        """Schedules a call at a simulated time."""
        event = (time_s, next(self.event_numbers), function, arguments)
        heapq.heappush(self.events, event)

    def schedule_after(self, delay_s, function, *arguments):
        """Schedules a call after a delay."""
        self.schedule_at(self.now_s + delay_s, function, *arguments)

    def run(self, end_s):
        """Processes the events before a time and returns the outcomes."""
        while self.events and self.events[0][0] < end_s:
            self.now_s, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        return self.outcomes

    def end_request(self, state, met_deadline):
        """Records the outcome of a request at its entry."""
        if state.has_ended:
            return
        state.has_ended = True
        request = state.request
        entry = state.entry
        entry.routing_state.loads.record_ended(
            state.target, request.request_id
        )
        if met_deadline:
            entry.retry_budget.record_success(self.now_s)
            entry.cost_estimator.record(
                request.workspace, request.max_tokens, request.output_tokens
            )
        outcome = Outcome(
            request,
            met_deadline,
            self.now_s,
            state.attempts,
            state.refusals,
            state.engine_s,
            state.repeated_prefill_s,
            state.wait_s,
        )
        self.outcomes.append(outcome)

    def send_request(self, state):
        """Sends a request from its entry to a target of its choice."""
        request = state.request
        entry = state.entry
        self.estimate_cost(state)
        target = self.policy.choose_target(entry, request, state, self.now_s)
        if target is None:
            self.retry_or_end(state)
            return
        state.attempts += 1
        state.target = target
        routing_state = entry.routing_state
        routing_state.loads.record_sent(
            target,
            request.request_id,
            request.plan,
            state.cost_tokens,
            self.now_s,
        )
        routing_state.circuit_breakers.record_sent(target, self.now_s)
        routing_state.held.record_sent(target, request.parts, self.now_s)
        self.schedule_after(
            LINK_LATENCY_S, self.receive_request, state, self.engines[target]
        )

    def estimate_cost(self, state):
        """Estimates the cost of what remains to be done for a request."""
        request = state.request
        output_tokens = state.entry.cost_estimator.output_tokens(
            request.workspace, request.max_tokens
        )
        state.expected_output_tokens = max(
            1.0, output_tokens - state.generated_tokens
        )
        state.prompt_words = request.prompt_words + state.generated_tokens
        state.cost_tokens = costs.actual_cost_tokens(
            state.prompt_words, state.expected_output_tokens
        )

    def retry_or_end(self, state):
        """Schedules a retry with backoff, or ends a request as failed."""
        is_late = self.now_s >= state.request.deadline_s
        attempts = max(1, state.attempts)
        is_exhausted = state.attempts >= RETRY_SETTINGS["attempts"]
        entry = state.entry
        if (
            is_late
            or is_exhausted
            or not self.policy.may_retry(entry, self.now_s)
        ):
            self.end_request(state, False)
            return
        delay_s = budget.backoff_s(attempts, RETRY_SETTINGS, entry.rng)
        self.schedule_after(delay_s, self.send_request, state)

    def handle_target_failure(self, state, target):
        """Handles, at the entry, the failure of the target of a request."""
        if state.has_ended or state.target != target:
            return
        routing_state = state.entry.routing_state
        routing_state.loads.record_ended(target, state.request.request_id)
        routing_state.circuit_breakers.record_failure(target, self.now_s)
        self.retry_or_end(state)

    def handle_refusal(self, state):
        """Handles, at the entry, the refusal of a request by its target."""
        state.entry.routing_state.loads.record_ended(
            state.target, state.request.request_id
        )
        state.refusals += 1
        self.retry_or_end(state)

    def receive_request(self, state, engine):
        """Queues or refuses a request at its target."""
        if not engine.is_alive:
            self.schedule_after(
                LINK_LATENCY_S, self.handle_target_failure, state, engine.name
            )
            return
        item = self.make_queue_item(state, engine)
        tokens_per_s = model.full_batch_tokens_per_s(engine.speed)
        wait_s = engine.queue.estimate_wait_s(item, tokens_per_s)
        expected_end_s = self.now_s + wait_s + item.expected_run_s
        if self.policy.early_refusal and expected_end_s > item.deadline_s:
            self.schedule_after(LINK_LATENCY_S, self.handle_refusal, state)
            return
        self.enqueue(engine, state, item)
        if not engine.is_stepping:
            self.start_step(engine)

    def make_queue_item(self, state, engine):
        """Returns the queue item of a request.

        Its id is unique for each attempt and preemption. Without early
        refusal, the expected run time is 0, so the queue drops only items
        whose deadline has passed.
        """
        request = state.request
        token_s = model.step_s(engine.speed, model.ENGINE_SLOTS, 0)
        run_s = costs.run_time_bound_s(state.expected_output_tokens, token_s)
        return fair_queue.QueuedRequest(
            f"{request.request_id} {state.attempts} {state.preemptions}",
            request.plan,
            request.workspace,
            state.cost_tokens,
            request.worth,
            request.deadline_s,
            run_s if self.policy.early_refusal else 0.0,
        )

    def enqueue(self, engine, state, item):
        """Queues a request; a rejected or displaced one is refused."""
        engine.queued_states[item.request_id] = state
        result = engine.queue.push(item)
        removed_item = result.displaced if result.accepted else item
        if removed_item is not None:
            removed_state = engine.queued_states.pop(removed_item.request_id)
            self.schedule_after(
                LINK_LATENCY_S, self.handle_refusal, removed_state
            )

    def start_step(self, engine):
        """Fills the free slots of an engine and starts its next step."""
        now_s = self.now_s
        for item in engine.queue.pop_expired(now_s):
            state = engine.queued_states.pop(item.request_id)
            self.schedule_after(LINK_LATENCY_S, self.end_request, state, False)
        prompt_words = 0
        self.preempt_for_queued(engine)
        while len(engine.running) < model.ENGINE_SLOTS:
            item = engine.queue.pop(now_s, *engine.running_counts())
            if item is None:
                break
            state = engine.queued_states.pop(item.request_id)
            engine.running.append((state, engine.queue.size_class(item)))
            prompt_words += self.start_request(engine, state)
        engine.is_stepping = bool(engine.running)
        if engine.running:
            sequences = len(engine.running)
            duration_s = model.step_s(engine.speed, sequences, prompt_words)
            self.schedule_after(duration_s, self.finish_step, engine)

    def preempt_for_queued(self, engine):
        """Preempts a running request for a plan that is below its share."""
        item = engine.queue.peek(self.now_s)
        is_full = len(engine.running) == model.ENGINE_SLOTS
        if not self.policy.preemption or item is None or not is_full:
            return
        running = [
            preemption.RunningRequest(
                state.request.request_id,
                state.request.plan,
                state.request.worth,
                state.started_s,
                state.preemptions,
            )
            for state, _ in engine.running
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
        running_ids = [one.request_id for one in running]
        state, _ = engine.running.pop(running_ids.index(victim.request_id))
        state.preemptions += 1
        self.charge_actual_cost(engine, state)
        self.estimate_cost(state)
        self.enqueue(engine, state, self.make_queue_item(state, engine))

    def start_request(self, engine, state):
        """Starts a request and returns the prompt words to process.

        The shared prefix counts only if the engine has not cached it. The
        entries hear of the cached prefix after a delay, unless the event is
        lost.
        """
        request = state.request
        words = request.suffix_words + state.generated_tokens
        if request.template not in engine.cached_templates:
            words += request.shared_words
        else:
            self.held_words += request.shared_words
        self.shared_words += request.shared_words
        engine.cached_templates[request.template] = True
        engine.cached_templates.move_to_end(request.template)
        if len(engine.cached_templates) > self.max_cached_prefixes:
            engine.cached_templates.popitem(last=False)
        if self.rng.random() >= CACHE_EVENT_LOSS_RATIO:
            for entry in self.entries:
                record = entry.routing_state.held.record_reported
                received_s = self.now_s + CACHE_EVENT_DELAY_S
                self.schedule_after(
                    CACHE_EVENT_DELAY_S,
                    record,
                    engine.name,
                    [part.key for part in request.parts],
                    received_s,
                )
        prefill_s = words * model.PROMPT_WORD_S
        state.engine_s += prefill_s
        if state.generated_tokens:
            state.repeated_prefill_s += prefill_s
        state.generated_before_start = state.generated_tokens
        state.started_s = self.now_s
        wait_s = self.now_s - request.arrival_s
        state.wait_s = min(state.wait_s, wait_s)
        return words

    def finish_step(self, engine):
        """Adds a token to each running request and starts the next step."""
        if not engine.is_alive:
            return
        still_running = []
        for state, size_class in engine.running:
            state.generated_tokens += 1
            state.engine_s += model.FULL_BATCH_TOKEN_S
            request = state.request
            is_complete = state.generated_tokens >= request.output_tokens
            is_late = self.now_s > request.deadline_s
            if not is_complete and not is_late:
                still_running.append((state, size_class))
                continue
            self.charge_actual_cost(engine, state)
            self.end_request(state, is_complete and not is_late)
        engine.running = still_running
        self.start_step(engine)

    def charge_actual_cost(self, engine, state):
        """Replaces the estimated cost of a started request by the actual."""
        request = state.request
        actual_cost_tokens = costs.actual_cost_tokens(
            state.prompt_words,
            state.generated_tokens - state.generated_before_start,
        )
        engine.queue.correct_cost(
            request.plan,
            request.workspace,
            state.cost_tokens,
            actual_cost_tokens,
        )

    def send_load_report(self, engine):
        """Sends a load report to all entries and schedules the next one."""
        if not engine.is_alive:
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
            received_s = self.now_s + LOAD_REPORT_DELAY_S
            self.schedule_at(
                received_s,
                entry.routing_state.loads.record_report,
                report,
                received_s,
            )
        self.schedule_after(
            LOAD_REPORT_INTERVAL_S, self.send_load_report, engine
        )

    def kill_targets(self, names):
        """Kills targets; the entries notice after the latency of a link."""
        for name in names:
            engine = self.engines[name]
            engine.is_alive = False
            lost_states = list(engine.queued_states.values())
            lost_states += [state for state, _ in engine.running]
            for state in lost_states:
                self.schedule_after(
                    LINK_LATENCY_S, self.handle_target_failure, state, name
                )
            for entry in self.entries:
                self.schedule_after(
                    LINK_LATENCY_S, entry.live_targets.remove, name
                )
