"""Finds paths with free memory for model requests; queues the others."""

from collections.abc import Callable
import math
import random
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal.gateway import demand as demand_module
from hemlocktiller._internal.gateway import full_targets
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import ranked_requests
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import admission
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import held_paths
from hemlocktiller._internal.policy import held_prompts
from hemlocktiller._internal.policy import occupancy as occupancy_module
from hemlocktiller._internal.policy import output_lengths
from hemlocktiller._internal.policy import paths
from hemlocktiller._internal.policy import room
from hemlocktiller._internal.policy import target_limits
from hemlocktiller._internal.policy import urgency

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
# Memory reserved for the output, as a share of its expected tokens: the memory
# in use grows from none to all of them, with a mean of half.
OUTPUT_RESERVATION_RATIO = 0.5

# The predicted time at each data centre is multiplied by a random factor of up
# to this, so that gateways that act on the same load reports don't all choose
# the one path that was best.
MAX_BIAS_FACTOR = 1.3
# Additional factor on other data centres. Gateways thus prefer their own,
# which also spreads their choices.
REMOTE_BIAS_FACTOR = 1.1

LIMITED_REASON = "limits of targets"

WAITING_REQUESTS = prometheus_client.Gauge(
    "hemlocktiller_gateway_waiting", "Model requests that wait for a path"
)
REJECTED_REQUESTS = prometheus_client.Counter(
    "hemlocktiller_gateway_refused",
    "Model requests refused before they were sent, by reason",
    ["reason"],
)
HELD_CHOICES = prometheus_client.Counter(
    "hemlocktiller_gateway_held_choices",
    "Starts at targets that keep prompts, by whether the path holds a part"
    " of the prompt, probably",
    ["result"],
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
        rank: Its class where the classes of the service compete, else None.
        time_left_s: Time that the caller has left.
        has_waited: Whether the caller was refused before and came back.
        prompt_parts: Beginnings of the prompt that targets may hold, shortest
            first; none if they keep no prompts.
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
    rank: int | None = None
    time_left_s: float = math.inf
    has_waited: bool = False
    prompt_parts: tuple[held_prompts.Part, ...] = ()


class Dispatcher:
    """Queues model requests and reserves memory on their paths.

    Attributes:
        occupancy: Load of the targets, including the reserved memory.
        full_targets: Targets that are avoided as they had no room.
        demand: Demand by priority class, of this gateway and its peers.
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
        self.full_targets = full_targets.FullTargets(reactor)
        self._held_paths = held_paths.HeldPaths(
            lambda: self.occupancy.count_gateways()
        )
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
        self._arrival_rate = admission.RateWindow()
        self.demand = demand_module.DemandBoard()
        self.demand.report_interval_s = self.occupancy.report_interval_s
        self.demand.count_gateways = lambda: self.occupancy.count_gateways()
        self._ranked = ranked_requests.RankedRequests(
            self.demand,
            ranked_requests.Hooks(
                self._choose_path_in_rank, self._start_request, self._reject
            ),
            rng,
        )
        self._processing_timer: Any = None
        self._is_processing = False
        targets.on_change.append(self.process_queues)

    def submit(self, path_request: PathRequest) -> None:
        """Starts, queues or rejects a request."""
        now_s = self._reactor.seconds()
        if path_request.rank is not None:
            if not self._reject_without_targets(path_request, now_s):
                self._ranked.submit(path_request, now_s)
                self._update_waiting_gauge()
                self._schedule_processing()
            return
        self._arrival_rate.record(now_s)
        queue = self._queue_for(path_request.service.name)
        if not len(queue):
            self._nonempty_since_s[path_request.service.name] = now_s
            choice = self.choose_path(path_request)
            if choice is not None:
                self._start_request(path_request, choice)
                return
        if self._reject_without_targets(path_request, now_s):
            return
        if self._targets.binding_room(path_request.service.name) is not None:
            self._enqueue(path_request, queue)
            self._displace_excess(path_request.service.name)
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
        self._enqueue(path_request, queue)

    def _enqueue(self, path_request, queue):
        self._waiting[path_request.queue_item.request_id] = path_request
        queue.push(path_request.queue_item)
        self._update_waiting_gauge()
        self._schedule_processing()

    def _displace_excess(self, service):
        """Rejects what can't start in time, where all targets have limits.

        These are the last requests of those that are furthest over their
        share of the queue.
        """
        binding_room = self._targets.binding_room(service)
        if binding_room is None:
            return
        queue = self._queue_for(service)
        starts = target_limits.count_starts(binding_room, admission.MAX_WAIT_S)
        while len(queue) > starts:
            path_request = self._waiting.pop(queue.displace().request_id)
            self._reject(
                path_request,
                self._targets.limits.return_after_s(
                    service,
                    binding_room,
                    len(queue),
                    path_request.time_left_s,
                ),
                LIMITED_REASON,
            )
        self._update_waiting_gauge()

    def time_to_return_s(
        self, path_request: PathRequest, retry_after_s: float
    ) -> float:
        """Returns when the caller of a request that failed should come back.

        Args:
            path_request: The request, which has not run.
            retry_after_s: The least time, which holds where classes don't
                compete.
        """
        if path_request.rank is None:
            return retry_after_s
        return max(
            retry_after_s,
            self._ranked.time_to_return_s(
                path_request, "targets failed", self._reactor.seconds()
            ),
        )

    def mark_full(
        self, target: fleet.Target, tell_peers: bool = False
    ) -> None:
        """Sends no requests to a target that had no room, for a short time."""
        self.full_targets.mark(target, tell_peers)

    def submit_resumed(self, path_request: PathRequest) -> None:
        """Finds a new path for a stream, ahead of all queued requests.

        Streams whose run is lost come before those whose run is silent; of
        these, the more urgent come first where classes compete.
        """
        choice = self.choose_path(path_request)
        if choice is not None:
            self._start_request(path_request, choice)
            return
        now_s = self._reactor.seconds()
        if self._reject_without_targets(path_request, now_s):
            return
        self._resuming[path_request.queue_item.request_id] = path_request
        self._schedule_processing()

    def _reject_without_targets(self, path_request, now_s):
        """Rejects a request that no target takes before its deadline.

        Returns:
            Whether all first targets have asked for a pause that is longer,
            or have limits that leave no request to this process until then.
        """
        service = path_request.service.name
        wait_s = self._targets.service_wait_s(service)
        if wait_s <= max(0.0, path_request.queue_item.deadline_s - now_s):
            return False
        binding_room = self._targets.binding_room(service)
        if binding_room is None:
            self._reject(path_request, wait_s, "targets asked for a pause")
        else:
            self._reject(
                path_request,
                self._targets.limits.return_after_s(
                    service, binding_room, 0, path_request.time_left_s
                ),
                LIMITED_REASON,
            )
        return True

    def discard(self, request_key: str) -> None:
        """Dequeues a request or releases the memory reserved for it."""
        self._resuming.pop(request_key, None)
        if self._ranked.discard(request_key):
            self._update_waiting_gauge()
        path_request = self._waiting.pop(request_key, None)
        if path_request is not None:
            self._queue_for(path_request.service.name).remove(request_key)
            self._update_waiting_gauge()
        self.occupancy.release(request_key)
        self._schedule_processing()

    def _choose_path_in_rank(self, path_request):
        """Returns a path that leaves room for more urgent requests."""
        demand = self.demand.demand(
            path_request.service.name, self._reactor.seconds()
        )
        return self.choose_path(
            path_request,
            room.more_urgent_ratio(
                {rank: one.arrivals_per_s for rank, one in demand.items()},
                urgency.order_of(path_request.rank, path_request.has_waited),
            ),
        )

    def choose_path(
        self, path_request: PathRequest, more_urgent_ratio: float = 0.0
    ) -> paths.PathChoice | None:
        """Returns the fastest path with room for a request, or None.

        Args:
            path_request: The request.
            more_urgent_ratio: Share of the demand that room is kept for.
        """
        if self.is_outdated():
            return None
        now_s = self._reactor.seconds()
        targets_state = paths.TargetsState(
            path_request.service.engine,
            lambda name: self.occupancy.load(name, now_s),
            self._targets.pace,
            self.full_targets.is_full,
            self.occupancy.inter_dc_mbps(now_s),
            self._make_bias(),
            self._rng.sample,
            more_urgent_ratio,
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
            fastest = paths.find_fastest_path(
                candidates, path_request.token_demand, targets_state
            )
            if fastest is None or not path_request.prompt_parts:
                return fastest
            return self._weigh_held(
                path_request, fastest, candidates, targets_state
            )

    def _weigh_held(self, path_request, fastest, candidates, targets_state):
        """Returns the fastest path, or one that holds a part of the prompt."""
        held = self._held_paths.choose(
            fastest,
            candidates,
            held_paths.Prompt(
                path_request.prompt_parts, path_request.token_demand
            ),
            targets_state,
            self._reactor.seconds(),
        )
        if held.choice.path != fastest.path:
            events.emit(
                "held_path",
                request=path_request.request_id,
                first_target=held.choice.path[0].target.name,
                held_tokens=round(held.held_tokens),
                fastest_ms=round(fastest.total_ms, 1),
                chosen_ms=round(held.choice.total_ms, 1),
            )
        HELD_CHOICES.labels("held" if held.held_tokens else "none").inc()
        return held.choice

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
            self._resuming.items(),
            key=lambda item: (item[1].is_replacement, item[1].rank or 0),
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
        for service, queue in list(self._queues.items()):
            self._process_queue(queue, now_s)
            if len(queue):
                self._displace_excess(service)
        self._ranked.process(now_s)
        self._update_waiting_gauge()
        if self._waiting or self._resuming or len(self._ranked):
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
        if path_request.prompt_parts:
            self._held_paths.record(
                path_request.prompt_parts, choice.path, now_s
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
            waiting=len(self._waiting) + len(self._ranked),
            **_rank_fields(path_request),
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
        WAITING_REQUESTS.set(len(self._waiting) + len(self._ranked))

    def _schedule_processing(self):
        """Schedules another search for paths if any request lacks one."""
        if (
            self._processing_timer is not None
            and self._processing_timer.active()
        ):
            return
        if self._waiting or self._resuming or len(self._ranked):
            self._processing_timer = self._reactor.callLater(
                QUEUE_POLL_INTERVAL_S, self.process_queues
            )


def _rank_fields(path_request):
    """Returns the fields of a log line where classes compete."""
    if path_request.rank is None:
        return {}
    return {
        "rank": path_request.rank,
        "workspace": path_request.queue_item.workspace,
        "has_waited": path_request.has_waited,
    }


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
