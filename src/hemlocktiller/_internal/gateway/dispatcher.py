"""Finds paths with free memory for model requests; queues the others."""

from collections.abc import Callable
import math
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
from hemlocktiller._internal.policy import output_lengths
from hemlocktiller._internal.policy import paths

# `queued` is more than the requests that can be waiting at any measured
# request rate, given the maximum wait. The other limits never apply.
QUEUE_LIMITS = {
    "queued": 400,
    "running": 1_000_000,
    "reserved_short": 0,
    "reserved_long": 0,
    "short_cost_tokens": 1_000_000_000,
}
QUEUE_POLL_INTERVAL_S = 0.05
# A target that rejected a request as full is used again once some of its
# requests should have ended: a tenth of the time of a typical response.
FULL_TARGET_BACKOFF_S = 0.2
# Memory reserved for the output, as a share of its expected tokens: the memory
# in use grows from none to all of them, with a mean of half.
OUTPUT_RESERVATION_RATIO = 0.5
# The delay of those that run at a target counts as the request's own, where
# fast targets could fill up with requests that slow ones serve in time.
DELAY_WEIGHT = 1.0

# The predicted time at each data centre is multiplied by a random factor of up
# to this, so that gateways that act on the same load reports don't all choose
# the one path that was best.
MAX_BIAS_FACTOR = 1.3
# Additional factor on other data centres. Gateways thus prefer their own,
# which also spreads their choices.
REMOTE_BIAS_FACTOR = 1.1

WAITING_REQUESTS = prometheus_client.Gauge(
    "hemlocktiller_gateway_waiting", "Model requests that wait for a path"
)
REJECTED_REQUESTS = prometheus_client.Counter(
    "hemlocktiller_gateway_refused",
    "Model requests refused before they were sent, by reason",
    ["reason"],
)
PATH_CHOICE_DURATION_S = prometheus_client.Histogram(
    "hemlocktiller_gateway_choice_seconds",
    "Time that the choice of a path took",
    buckets=(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05),
)


class PathRequest(NamedTuple):
    """A model request that needs a path.

    Attributes:
        request_id: The caller's request id, for logs.
        queue_item: Key, cost and deadline that the queue orders by.
        service: The service and its engine.
        token_demand: Tokens to process and to reserve memory for.
        on_path_found: Called with the path when the request may start.
        on_rejected: Called with the time to retry after, in seconds, and
            the reason.
        allowed_first_targets: Returns the targets that the path may begin
            at now; None for any.
        latency_objective_s: Time in which the first event should come.
        is_replacement: Whether a run of the request is only silent and may
            still go on.
    """

    request_id: str
    queue_item: fair_queue.QueuedRequest
    service: model.Service
    token_demand: paths.RequestDemand
    on_path_found: Callable[[paths.PathChoice], None]
    on_rejected: Callable[[float, str], None]
    allowed_first_targets: Callable[[], frozenset[str] | None] = lambda: None
    latency_objective_s: float = math.inf
    is_replacement: bool = False


class Dispatcher:
    """Queues model requests and reserves memory on their paths.

    Attributes:
        occupancy: Load of the targets, including the reserved memory.
        output_lengths: Lengths of answers so far.
        is_outdated: Returns whether no path may be chosen yet, as this
            process was paused and its list of targets is outdated.
    """

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
            rng: Randomizes choices, so that gateways don't choose alike.
        """
        self._data_centre = data_centre
        self._rng = rng
        self.occupancy = occupancy_module.Occupancy()
        self.output_lengths = output_lengths.OutputLengths()
        self.is_outdated: Callable[[], bool] = lambda: False
        self._reactor = reactor
        self._targets = targets
        self._start_rate = admission.RateWindow()
        self._queues: dict[str, fair_queue.FairQueue] = {}
        # When the queue of a service was last found empty.
        self._nonempty_since_s: dict[str, float] = {}
        self._waiting: dict[str, PathRequest] = {}
        self._resuming: dict[str, PathRequest] = {}
        self._full_until_s: dict[str, float] = {}
        self._arrival_rate = admission.RateWindow()
        self._processing_timer: Any = None
        self._is_processing = False
        targets.on_change.append(self.process_queues)

    def submit(self, path_request: PathRequest) -> None:
        """Starts, queues or rejects a request."""
        now_s = self._reactor.seconds()
        self._arrival_rate.record(now_s)
        queue = self._queue_for(path_request.service.name)
        if not len(queue):
            self._nonempty_since_s[path_request.service.name] = now_s
            choice = self.choose_path(path_request)
            if choice is not None:
                self._start_request(path_request, choice)
                return
        if self._reject_until_pause_ends(path_request, now_s):
            return
        decision = admission.decide_wait(
            self._measure_queue(queue)._replace(
                standing_s=now_s
                - self._nonempty_since_s[path_request.service.name]
            ),
            path_request.queue_item.deadline_s - now_s,
            path_request.latency_objective_s,
        )
        if not decision.may_wait:
            self._reject(
                path_request, decision.retry_after_s, "queue too long"
            )
            return
        self._waiting[path_request.queue_item.request_id] = path_request
        queue.push(path_request.queue_item)
        self._update_waiting_gauge()
        self._schedule_processing()

    def mark_full(self, target: fleet.Target) -> None:
        """Sends no requests to a target that had no room, for a short time."""
        until_s = self._reactor.seconds() + FULL_TARGET_BACKOFF_S
        self._full_until_s[target.name] = until_s

    def submit_resumed(self, path_request: PathRequest) -> None:
        """Finds a new path for a stream, ahead of all queued requests.

        Streams whose run is lost come before those whose run is silent.
        """
        choice = self.choose_path(path_request)
        if choice is not None:
            self._start_request(path_request, choice)
            return
        now_s = self._reactor.seconds()
        if self._reject_until_pause_ends(path_request, now_s):
            return
        self._resuming[path_request.queue_item.request_id] = path_request
        self._schedule_processing()

    def _reject_until_pause_ends(self, path_request, now_s):
        """Rejects a request that no target takes before its deadline.

        Returns:
            Whether all first targets have asked for a pause that is longer.
        """
        pause_s = self._targets.service_pause_s(path_request.service.name)
        if pause_s <= max(0.0, path_request.queue_item.deadline_s - now_s):
            return False
        self._reject(path_request, pause_s, "targets asked for a pause")
        return True

    def discard(self, request_key: str) -> None:
        """Dequeues a request or releases the memory reserved for it."""
        self._resuming.pop(request_key, None)
        path_request = self._waiting.pop(request_key, None)
        if path_request is not None:
            self._queue_for(path_request.service.name).remove(request_key)
            self._update_waiting_gauge()
        self.occupancy.release(request_key)
        self._schedule_processing()

    def choose_path(
        self, path_request: PathRequest
    ) -> paths.PathChoice | None:
        """Returns the fastest path with room for a request, or None."""
        if self.is_outdated():
            return None
        now_s = self._reactor.seconds()
        targets_state = paths.TargetsState(
            path_request.service.engine,
            lambda name: self.occupancy.load(name, now_s),
            self._targets.pace,
            lambda name: self._full_until_s.get(name, 0.0) > now_s,
            self.occupancy.inter_dc_mbps(now_s),
            self._make_bias(),
            self._rng.sample,
            DELAY_WEIGHT
            if fleet.is_uneven(path_request.service.engine)
            else 0.0,
        )
        candidates = self._targets.available(path_request.service.name)
        allowed_first_targets = path_request.allowed_first_targets()
        if allowed_first_targets is not None:
            candidates = [
                target
                for target in candidates
                if target.first_layer > 0
                or target.name in allowed_first_targets
            ]
        with PATH_CHOICE_DURATION_S.time():
            return paths.find_fastest_path(
                candidates, path_request.token_demand, targets_state
            )

    def _make_bias(self):
        """Returns a function from a data centre to its random bias factor.

        It makes gateways that choose at the same moment choose differently.
        """
        factors: dict[str, float] = {}

        def bias(data_centre):
            if data_centre not in factors:
                factor = self._rng.uniform(1.0, MAX_BIAS_FACTOR)
                if data_centre != self._data_centre:
                    factor *= REMOTE_BIAS_FACTOR
                factors[data_centre] = factor
            return factors[data_centre]

        return bias

    def process_queues(self) -> None:
        """Starts requests that have a path now and rejects expired ones."""
        if self._is_processing:
            return
        self._is_processing = True
        try:
            self._process_all()
        finally:
            self._is_processing = False

    def _process_all(self):
        """Processes resumed streams first, then the queued requests."""
        now_s = self._reactor.seconds()
        resuming = sorted(
            self._resuming.items(), key=lambda item: item[1].is_replacement
        )
        for request_key, path_request in resuming:
            if path_request.queue_item.deadline_s < now_s:
                del self._resuming[request_key]
                self._reject(
                    path_request, admission.RETRY_AFTER_MIN_S, "no path"
                )
                continue
            choice = self.choose_path(path_request)
            if choice is not None:
                del self._resuming[request_key]
                self._start_request(path_request, choice)
        for queue in self._queues.values():
            self._process_queue(queue, now_s)
        self._update_waiting_gauge()
        if self._waiting or self._resuming:
            self._schedule_processing()

    def _process_queue(self, queue, now_s):
        """Rejects expired requests and starts those that have a path now."""
        for item in queue.pop_expired(now_s):
            path_request = self._waiting.pop(item.request_id)
            retry_s = admission.retry_after_s(self._measure_queue(queue))
            self._reject(path_request, retry_s, "waited too long")
        while len(queue):
            item = queue.peek(now_s)
            if item is None:
                return
            path_request = self._waiting[item.request_id]
            choice = self.choose_path(path_request)
            if choice is None:
                return
            queue.pop(now_s, 0, 0)
            self._waiting.pop(item.request_id)
            self._start_request(path_request, choice)

    def _start_request(self, path_request, choice):
        """Reserves memory on a path and lets its request start."""
        now_s = self._reactor.seconds()
        self._start_rate.record(now_s)
        self.occupancy.record_inter_dc_transfer(
            paths.inter_dc_megabits(
                choice.path,
                path_request.token_demand.prompt_tokens,
                path_request.service.engine,
            ),
            now_s,
        )
        self.occupancy.reserve(
            path_request.queue_item.request_id,
            choice.path,
            path_request.token_demand.reserved_tokens,
            path_request.token_demand.prompt_tokens,
            now_s,
        )
        path_request.on_path_found(choice)

    def _reject(self, path_request, retry_after_s, reason):
        if path_request.is_replacement:
            # The request goes on; it was not refused.
            events.emit(
                "no_replacement",
                request=path_request.request_id,
                reason=reason,
            )
            path_request.on_rejected(retry_after_s, reason)
            return
        REJECTED_REQUESTS.labels(reason).inc()
        events.emit(
            "refused",
            request=path_request.request_id,
            reason=reason,
            retry_after_s=round(retry_after_s, 2),
            waiting=len(self._waiting),
            rate_per_s=round(
                self._start_rate.per_s(self._reactor.seconds()), 1
            ),
        )
        path_request.on_rejected(retry_after_s, reason)

    def _measure_queue(self, queue):
        now_s = self._reactor.seconds()
        return admission.QueueState(
            len(queue),
            self._start_rate.per_s(now_s),
            self._arrival_rate.per_s(now_s),
        )

    def _queue_for(self, service):
        if service not in self._queues:
            self._queues[service] = fair_queue.FairQueue(
                QUEUE_LIMITS, {}, fair_queue.by_worth_and_deadline
            )
        return self._queues[service]

    def _update_waiting_gauge(self):
        WAITING_REQUESTS.set(len(self._waiting))

    def _schedule_processing(self):
        """Schedules another search for paths if any request lacks one."""
        if (
            self._processing_timer is not None
            and self._processing_timer.active()
        ):
            return
        if self._waiting or self._resuming:
            self._processing_timer = self._reactor.callLater(
                QUEUE_POLL_INTERVAL_S, self.process_queues
            )


def estimate_demand(
    prompt_tokens: float, output_tokens: float, engine: fleet.Engine
) -> paths.RequestDemand:
    """Returns the demand of a request.

    Args:
        prompt_tokens: Length of the prompt; 0 for the engine's usual one.
        output_tokens: Expected length of the output; 0 for the usual one.
        engine: Performance model of the service's engines.
    """
    expected_prompt_tokens = prompt_tokens or engine.usual_prompt_tokens
    expected_output_tokens = output_tokens or engine.usual_output_tokens
    return paths.RequestDemand(
        expected_prompt_tokens,
        expected_output_tokens,
        expected_prompt_tokens
        + expected_output_tokens * OUTPUT_RESERVATION_RATIO,
    )


def demand_left(
    context_tokens: float, output_tokens_left: float
) -> paths.RequestDemand:
    """Returns the demand of a request that may be half done.

    Args:
        context_tokens: Length of the prompt and of what is written so far.
        output_tokens_left: Tokens that are expected to be written yet.
    """
    return paths.RequestDemand(
        context_tokens,
        output_tokens_left,
        context_tokens + output_tokens_left * OUTPUT_RESERVATION_RATIO,
    )
