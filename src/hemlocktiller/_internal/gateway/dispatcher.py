"""Starts model requests on paths with room; others wait or are refused."""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import admission
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import occupancy as occupancy_module
from hemlocktiller._internal.policy import paths

# More than waits within the longest wait at any rate that was measured.
QUEUE_LIMITS = {
    "queued": 400,
    "running": 1_000_000,
    "reserved_short": 0,
    "reserved_long": 0,
    "short_cost_tokens": 1_000_000_000,
}
PUMP_INTERVAL_S = 0.05
# A target that turned work down is asked again after some of its requests
# will have ended: a tenth of a usual answer.
FULL_S = 0.2
# Memory asked for beside the prompt, as a share of the expected answer: an
# answer grows into its memory, and half of it is its mean.
ANSWER_SHARE = 0.5

# Predicted times of data centres vary by up to this factor between requests:
# what all gateways send within the age of their news must not all go to the
# one path that was best.
SPREAD = 1.3
# Preference for the own data centre, for the same reason.
REMOTE = 1.1

WAITING = prometheus_client.Gauge(
    "hemlocktiller_gateway_waiting", "Model requests that wait for a path"
)
REFUSED = prometheus_client.Counter(
    "hemlocktiller_gateway_refused",
    "Model requests refused before they were sent, by reason",
    ["reason"],
)
CHOICE_S = prometheus_client.Histogram(
    "hemlocktiller_gateway_choice_seconds",
    "Time that the choice of a path took",
    buckets=(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05),
)


class Job(NamedTuple):
    """A model request that needs a path.

    Attributes:
        request_id: The caller's id, for logs.
        item: What the queue orders by.
        service: Service and its engine.
        need: What it takes.
        start: Called with the path when it may start.
        refuse: Called with the time to come back when it may not.
        first_targets: Targets that the path must begin at; None for any.
    """

    request_id: str
    item: fair_queue.Item
    service: model.Service
    need: paths.Need
    start: Callable[[paths.Choice], None]
    refuse: Callable[[float, str], None]
    first_targets: frozenset[str] | None = None


class Dispatcher:
    """The queue of model requests and the memory promised to them."""

    def __init__(
        self,
        reactor: Any,
        targets: targets_module.Targets,
        data_centre: str,
        rng: random.Random,
    ) -> None:
        """Starts with an empty queue.

        Args:
            reactor: Reactor.
            targets: The targets.
            data_centre: Where this process runs.
            rng: Spreads the choices of gateways.
        """
        self._data_centre = data_centre
        self._rng = rng
        self.occupancy = occupancy_module.Occupancy()
        self._reactor = reactor
        self._targets = targets
        self._rate = admission.Rate()
        self._queues: dict[str, fair_queue.FairQueue] = {}
        self._jobs: dict[str, Job] = {}
        self._urgent: dict[str, Job] = {}
        self._full_until_s: dict[str, float] = {}
        self._arrivals = admission.Rate()
        self._timer: Any = None
        self._pumping = False
        targets.on_change.append(self.pump)

    def submit(self, job: Job) -> None:
        """Starts a request, lets it wait, or refuses it."""
        now_s = self._reactor.seconds()
        self._arrivals.started(now_s)
        queue = self._queue(job.service.name)
        if not len(queue):
            choice = self.choose(job)
            if choice is not None:
                self._start(job, choice)
                return
        verdict = admission.judge(
            self._traffic(queue), job.item.deadline_s - now_s
        )
        if not verdict.may_wait:
            self._refuse(job, verdict.retry_after_s, "queue too long")
            return
        self._jobs[job.item.request] = job
        queue.push(job.item)
        self._note_waiting()
        self._pump_later()

    def turned_down(self, target: fleet.Target) -> None:
        """Keeps requests away from a target that had no room."""
        until_s = self._reactor.seconds() + FULL_S
        self._full_until_s[target.name] = until_s

    def resume(self, job: Job) -> None:
        """Finds a new path for a stream, before all that wait."""
        choice = self.choose(job)
        if choice is not None:
            self._start(job, choice)
            return
        self._urgent[job.item.request] = job
        self._pump_later()

    def withdraw(self, request: str) -> None:
        """Forgets a request: it ended, or its caller left."""
        self._urgent.pop(request, None)
        job = self._jobs.pop(request, None)
        if job is not None:
            self._queue(job.service.name).remove(request)
            self._note_waiting()
        self.occupancy.release(request)
        self._pump_later()

    def choose(self, job: Job) -> paths.Choice | None:
        """Returns the best path with room for a request."""
        now_s = self._reactor.seconds()
        view = paths.View(
            job.service.engine,
            lambda name: self.occupancy.load(name, now_s),
            self._targets.pace,
            lambda name: self._full_until_s.get(name, 0.0) > now_s,
            self.occupancy.crossing_mbps(now_s),
            self._bias(),
            self._rng.sample,
        )
        holders = self._targets.of_service(job.service.name)
        if job.first_targets is not None:
            holders = [
                target
                for target in holders
                if target.first_layer > 0 or target.name in job.first_targets
            ]
        with CHOICE_S.time():
            return paths.choose(holders, job.need, view)

    def _bias(self):
        """Returns factors that spread what gateways choose at once."""
        factors: dict[str, float] = {}

        def bias(data_centre):
            if data_centre not in factors:
                factor = self._rng.uniform(1.0, SPREAD)
                if data_centre != self._data_centre:
                    factor *= REMOTE
                factors[data_centre] = factor
            return factors[data_centre]

        return bias

    def pump(self) -> None:
        """Starts what has become possible, and refuses what is too late."""
        if self._pumping:
            return
        self._pumping = True
        try:
            self._pump()
        finally:
            self._pumping = False

    def _pump(self):
        now_s = self._reactor.seconds()
        for request, job in list(self._urgent.items()):
            if job.item.deadline_s < now_s:
                del self._urgent[request]
                self._refuse(job, admission.RETRY_AFTER_MIN_S, "no path")
                continue
            choice = self.choose(job)
            if choice is not None:
                del self._urgent[request]
                self._start(job, choice)
        for queue in self._queues.values():
            self._pump_queue(queue, now_s)
        self._note_waiting()
        if self._jobs or self._urgent:
            self._pump_later()

    def _pump_queue(self, queue, now_s):
        for item in queue.expired(now_s):
            job = self._jobs.pop(item.request)
            retry_s = admission.retry_after_s(self._traffic(queue))
            self._refuse(job, retry_s, "waited too long")
        while len(queue):
            item = queue.peek(now_s)
            if item is None:
                return
            job = self._jobs[item.request]
            choice = self.choose(job)
            if choice is None:
                return
            queue.pop(now_s, 0, 0)
            self._jobs.pop(item.request)
            self._start(job, choice)

    def _start(self, job, choice):
        now_s = self._reactor.seconds()
        self._rate.started(now_s)
        self.occupancy.crossed(
            paths.crossing_megabits(
                choice.path, job.need.prompt_tokens, job.service.engine
            ),
            now_s,
        )
        self.occupancy.reserve(
            job.item.request,
            choice.path,
            job.need.reserved_tokens,
            job.need.prompt_tokens,
            now_s,
        )
        job.start(choice)

    def _refuse(self, job, retry_after_s, reason):
        REFUSED.labels(reason).inc()
        events.emit(
            "refused",
            request=job.request_id,
            reason=reason,
            retry_after_s=round(retry_after_s, 2),
            waiting=len(self._jobs),
            rate_per_s=round(self._rate.per_s(self._reactor.seconds()), 1),
        )
        job.refuse(retry_after_s, reason)

    def _traffic(self, queue):
        now_s = self._reactor.seconds()
        return admission.Traffic(
            len(queue),
            self._rate.per_s(now_s),
            self._arrivals.per_s(now_s),
        )

    def _queue(self, service):
        if service not in self._queues:
            self._queues[service] = fair_queue.FairQueue(
                QUEUE_LIMITS, {}, fair_queue.by_worth_and_deadline
            )
        return self._queues[service]

    def _note_waiting(self):
        WAITING.set(len(self._jobs))

    def _pump_later(self):
        if self._timer is not None and self._timer.active():
            return
        if self._jobs or self._urgent:
            self._timer = self._reactor.callLater(PUMP_INTERVAL_S, self.pump)


def need(
    prompt_tokens: float, output_tokens: float, engine: fleet.Engine
) -> paths.Need:
    """Returns what a request takes, with the usual where it doesn't say."""
    prompt = prompt_tokens or engine.usual_prompt_tokens
    output = output_tokens or engine.usual_output_tokens
    return paths.Need(prompt, output, prompt + output * ANSWER_SHARE)
