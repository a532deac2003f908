"""Queues requests of services whose priority classes compete for room."""

from collections.abc import Callable
from collections.abc import Mapping
import random
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal.gateway import demand as demand_module
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import admission_level
from hemlocktiller._internal.policy import urgency

# Requests that may wait at one gateway; more than can be started in the time
# that a request waits.
MAX_WAITING = 400

REFUSED_BY_RANK = prometheus_client.Counter(
    "hemlocktiller_gateway_refused_by_rank",
    "Model requests refused where classes compete, by class and reason",
    ["rank", "reason"],
)
STARTED_BY_RANK = prometheus_client.Counter(
    "hemlocktiller_gateway_started_by_rank",
    "Model requests started where classes compete, by class",
    ["rank"],
)
CLOSED_FROM = prometheus_client.Gauge(
    "hemlocktiller_gateway_closed_from_rank",
    "First priority class that is refused; -1 if none is",
    ["service"],
)


class Hooks(NamedTuple):
    """What the dispatcher provides.

    Attributes:
        choose_path: Returns a path with room for a request, or None.
        start: Starts a request on a path.
        reject: Rejects a request, with the time to retry after in seconds
            and the reason.
    """

    choose_path: Callable[[Any], Any]
    start: Callable[[Any, Any], None]
    reject: Callable[[Any, float, str], None]


class RankedRequests:
    """Requests that wait for a path, of services whose classes compete."""

    def __init__(
        self,
        board: demand_module.DemandBoard,
        hooks: Hooks,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._hooks = hooks
        self._rng = rng
        self._queues: dict[str, urgency.UrgencyQueue] = {}
        self._requests: dict[str, Any] = {}
        # Time that a request may wait, by service and class.
        self._useful_waits_s: dict[str, dict[int, float]] = {}
        self._closed_from: dict[str, int | None] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def submit(self, path_request: Any, now_s: float) -> None:
        """Starts, queues or refuses a request."""
        service, rank = path_request.service.name, path_request.rank
        has_waited = path_request.has_waited
        self._board.record_arrival(service, rank, has_waited, now_s)
        self._useful_waits_s.setdefault(service, {})[rank] = (
            urgency.useful_wait_s(path_request.latency_objective_s, False)
        )
        queue = self._queues.setdefault(service, urgency.UrgencyQueue())
        order = self._admitted_order(path_request, now_s)
        if order is None:
            self._refuse(path_request, "class refused", now_s)
            return
        if not queue.count_up_to(order) and not self._is_held(
            service, order, now_s
        ):
            choice = self._hooks.choose_path(path_request)
            if choice is not None:
                self._start(path_request, choice, now_s)
                return
        item = path_request.queue_item
        wait_s = urgency.useful_wait_s(
            path_request.latency_objective_s, has_waited
        )
        self._requests[item.request_id] = path_request
        queue.push(
            urgency.WaitingRequest(
                item.request_id,
                rank,
                order,
                item.workspace,
                item.cost_tokens,
                min(item.deadline_s, now_s + wait_s),
                has_waited,
            )
        )
        if len(queue) > MAX_WAITING:
            self._drop(queue, queue.last(), "displaced", now_s)
        self._board.set_waiting(service, queue.count_by_rank())

    def time_to_return_s(
        self, path_request: Any, reason: str, now_s: float
    ) -> float:
        """Returns when a caller that is refused should come back.

        The caller is counted as due then.

        Args:
            path_request: The request that is refused.
            reason: Why, for the metric.
            now_s: The time.
        """
        service, rank = path_request.service.name, path_request.rank
        if path_request.has_waited:
            self._board.record_return_outcome(service, rank, True)
        retry_after_s = admission_level.retry_after_s(
            rank,
            self._board.demand(service, now_s),
            path_request.time_left_s,
            self._board.own(service, rank).fault_ratio,
            self._rng.uniform,
        )
        self._board.record_due(service, rank, retry_after_s, now_s)
        REFUSED_BY_RANK.labels(rank, reason).inc()
        return retry_after_s

    def discard(self, request_key: str) -> bool:
        """Dequeues a request; returns whether it waited."""
        path_request = self._requests.pop(request_key, None)
        if path_request is None:
            return False
        service = path_request.service.name
        queue = self._queues[service]
        queue.remove(request_key)
        self._board.set_waiting(service, queue.count_by_rank())
        return True

    def process(self, now_s: float) -> None:
        """Starts what has a path now and refuses what can't start in time."""
        for service, queue in self._queues.items():
            if not len(queue):
                continue
            for item in queue.expired(now_s):
                self._drop(queue, item, "waited too long", now_s)
            self._start_waiting(service, queue, now_s)
            demand = self._board.demand(service, now_s)
            waits_s = {
                order: admission_level.wait_s(order, demand, False)
                for order in queue.orders()
                if order != urgency.LEAST_PART_ORDER
            }
            for item in queue.hopeless(now_s, waits_s):
                self._drop(queue, item, "displaced", now_s)
            self._board.set_waiting(service, queue.count_by_rank())

    def _start_waiting(self, service, queue, now_s):
        """Starts waiting requests in their order while there is room."""
        for order in queue.orders():
            if self._is_held(service, order, now_s):
                return
            while True:
                item = queue.first(
                    order, self._board.used_tokens(service, order, now_s)
                )
                if item is None:
                    break
                path_request = self._requests[item.request_id]
                choice = self._hooks.choose_path(path_request)
                if choice is None and order != urgency.LEAST_PART_ORDER:
                    return
                if choice is None:
                    break
                queue.remove(item.request_id)
                del self._requests[item.request_id]
                self._start(path_request, choice, now_s)

    def _admitted_order(self, path_request, now_s):
        """Returns the order in which a request may wait; None to refuse it."""
        service = path_request.service.name
        rank = urgency.order_of(path_request.rank, path_request.has_waited)
        demand = self._board.demand(service, now_s)
        closed_from = admission_level.closed_from(
            demand, self._useful_waits_s[service]
        )
        self._note_level(service, closed_from, demand)
        if closed_from is None or rank < closed_from:
            return rank
        if rank == closed_from and admission_level.is_small(
            path_request.queue_item.workspace,
            self._board.used_tokens(service, rank, now_s),
        ):
            return rank
        ratio = admission_level.least_part_ratio(
            rank, demand, path_request.has_waited
        )
        if self._rng.random() < ratio:
            return urgency.LEAST_PART_ORDER
        return None

    def _note_level(self, service, closed_from, demand):
        """Logs a change of the first class that is refused."""
        if self._closed_from.get(service) == closed_from:
            return
        self._closed_from[service] = closed_from
        CLOSED_FROM.labels(service).set(
            -1 if closed_from is None else closed_from
        )
        events.emit(
            "admission_level",
            service=service,
            closed_from=closed_from,
            **_describe(demand),
        )

    def _is_held(self, service, order, now_s):
        """Returns whether room is left to more urgent requests of peers."""
        if order <= 0:
            return False
        return self._board.waiting_at_peers(service, order, now_s) >= 1.0

    def _start(self, path_request, choice, now_s):
        service, rank = path_request.service.name, path_request.rank
        item = path_request.queue_item
        self._board.record_start(
            (service, rank), item.workspace, item.cost_tokens, now_s
        )
        STARTED_BY_RANK.labels(rank).inc()
        if path_request.has_waited:
            self._board.record_return_outcome(service, rank, False)
        self._hooks.start(path_request, choice)

    def _drop(self, queue, item, reason, now_s):
        queue.remove(item.request_id)
        self._refuse(self._requests.pop(item.request_id), reason, now_s)

    def _refuse(self, path_request, reason, now_s):
        retry_after_s = self.time_to_return_s(path_request, reason, now_s)
        self._hooks.reject(path_request, retry_after_s, reason)


def _describe(demand: Mapping[int, admission_level.ClassDemand]):
    """Returns the demand in the fields of a log line."""
    ranks = sorted(demand)
    return {
        "ranks": ranks,
        "arrivals_per_s": [round(demand[r].arrivals_per_s, 1) for r in ranks],
        "starts_per_s": [round(demand[r].starts_per_s, 1) for r in ranks],
        "waiting": [round(demand[r].waiting, 1) for r in ranks],
    }
