"""Admission control and queue of a target.

Admits or refuses requests, orders those that wait, and starts them. A
refusal proves that the request did not run, so the entry may send it to
another target.
"""

from collections.abc import Callable
import math
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal.agent import first_stage
from hemlocktiller._internal.agent import service_rate
from hemlocktiller._internal.agent import stage_runs
from hemlocktiller._internal.config import snapshot as snapshot_module
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.observe import request_log as request_log_module
from hemlocktiller._internal.policy import costs
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import preemption

EXPIRY_CHECK_INTERVAL_S = 0.1
MIN_TOKENS_PER_S = 1.0  # Bounds the estimated waiting time.

REFUSED = prometheus_client.Counter(
    "hemlocktiller_refused", "Requests refused by reason", ["reason"]
)
QUEUED = prometheus_client.Gauge(
    "hemlocktiller_queued_requests", "Requests that wait"
)
RUNNING = prometheus_client.Gauge(
    "hemlocktiller_running_requests", "Requests that run"
)


class AdmittedRequest(NamedTuple):
    """A queued or running request, with the link for its response."""

    message: Any
    link: link_module.Link
    item: fair_queue.QueuedRequest


class Callbacks(NamedTuple):
    """Callbacks to start and stop requests.

    Attributes:
        start: Starts a request.
        suspect_refusal_reason: Returns why a request that may crash its
            target may not start now, or an empty string.
        preempt: Stops a running request, which the entry resumes later.
    """

    start: Callable[[Any, link_module.Link], None]
    suspect_refusal_reason: Callable[[Any], str]
    preempt: Callable[[stage_runs.AttemptKey], None]


class AdmissionQueue:
    """Holds the requests that wait for this target or run at it.

    Attributes:
        leaving: Whether the process is draining and refuses new requests.
        not_ready_reason: Why the target takes no requests now; empty if it
            does.
        service_rate: Measured service rate of the target.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        current_config: Callable[[], snapshot_module.Snapshot],
        callbacks: Callbacks,
        request_log: request_log_module.RequestLog,
    ) -> None:
        self.leaving = False
        self.not_ready_reason = ""
        self.service_rate = service_rate.ServiceRate(reactor)
        self._reactor = reactor
        self._settings = settings
        self._current_config = current_config
        self._callbacks = callbacks
        self._request_log = request_log
        self._preemptor = preemption.Preemptor()
        self._queue = fair_queue.FairQueue(settings["limits"], {})
        # By queue id, which names the request and its attempt.
        self._waiting: dict[str, AdmittedRequest] = {}
        self._running: dict[str, AdmittedRequest] = {}
        self._started_s: dict[str, float] = {}
        self._expiry_timer: Any = None

    @property
    def queued_count(self) -> int:
        """Count of requests that wait."""
        return len(self._waiting)

    @property
    def running_count(self) -> int:
        """Count of requests that run."""
        return len(self._running)

    @property
    def queued_cost_tokens(self) -> float:
        """Estimated cost of the waiting requests, in tokens."""
        return self._queue.cost_tokens

    def backlog_tokens_by_plan(self) -> dict[str, float]:
        """Returns the queued cost ahead of a new request, by plan."""
        return self._queue.backlog_tokens_by_plan()

    def on_config_change(self, snapshot: snapshot_module.Snapshot) -> None:
        """Applies the plan shares of a new configuration."""
        self._queue.set_shares(self._shares())

    def submit(self, message: Any, link: link_module.Link) -> None:
        """Queues a request, or refuses it immediately."""
        reason = self.refusal_reason(message)
        if reason:
            self._refuse(message, link, reason)
            return
        item = self._queue_item(message)
        if self._cannot_start_in_time(item, message["expires_in_s"]):
            self._refuse(message, link, "hopeless")
            return
        self._add_event(message, "queued", waiting=len(self._waiting))
        admitted = AdmittedRequest(message, link, item)
        push_result = self._queue.push(admitted.item)
        if not push_result.accepted:
            self._refuse(message, link, "full")
            return
        self._waiting[admitted.item.request_id] = admitted
        if push_result.displaced is not None:
            self._refuse_queued(push_result.displaced.request_id, "displaced")
        self.start_ready()

    def refusal_reason(self, message: Any) -> str:
        """Returns why a request can't be admitted, or an empty string."""
        if self.leaving:
            return "leaving"
        if self.not_ready_reason:
            return self.not_ready_reason
        if message["config_version"] < self._current_config().version:
            return "stale_config"
        if message["expires_in_s"] <= 0:
            return "expired"
        return ""

    def start_ready(self) -> None:
        """Refuses expired requests and starts those that have a slot."""
        now_s = self._reactor.seconds()
        for item in self._queue.pop_expired(now_s):
            self._refuse_queued(item.request_id, "expired")
        while True:
            item = self._queue.pop(now_s, *self._running_by_size_class())
            if item is None:
                break
            self._start(self._waiting.pop(item.request_id))
        self._preempt_if_needed(now_s)
        self.service_rate.set_busy(bool(self._running))
        QUEUED.set(len(self._waiting))
        RUNNING.set(len(self._running))
        self._schedule_expiry_check()

    def _start(self, admitted: AdmittedRequest) -> None:
        """Starts a dequeued request; refuses a suspect that must not start."""
        reason = self._callbacks.suspect_refusal_reason(admitted.message)
        if reason:
            item = admitted.item
            self._queue.correct_cost(
                item.plan, item.workspace, item.cost_tokens, 0.0
            )
            self._refuse(admitted.message, admitted.link, reason)
            return
        self._running[admitted.item.request_id] = admitted
        self._started_s[admitted.item.request_id] = self._reactor.seconds()
        self._add_event(admitted.message, "started_here")
        self._callbacks.start(
            self._message_with_time_left(admitted), admitted.link
        )

    def _preempt_if_needed(self, now_s: float) -> None:
        """Preempts a request if a plan below its share needs the slot."""
        max_running = self._settings["limits"]["running"]
        item = self._queue.peek(now_s)
        if item is None or len(self._running) < max_running:
            return
        preempted = self._preemptor.preempt(
            item,
            self._preemptible_requests(),
            self._shares(),
            max_running,
            now_s,
            self._expected_slot_wait_s(),
        )
        if preempted is not None:
            running = self._running[preempted.request_id]
            self._callbacks.preempt(stage_runs.attempt_key(running.message))

    def _expected_slot_wait_s(self) -> float:
        """Returns the expected time until the next slot becomes free.

        This is the mean run time, divided by the number of running requests.
        """
        count = len(self._running)
        if not self.service_rate.has_enough_samples or count == 0:
            return math.inf
        run_s = [
            self._expected_run_s(running.message)
            for running in self._running.values()
        ]
        return sum(run_s) / count**2

    def _expected_run_s(self, message: Any) -> float:
        """Returns the expected run time of a request at this target."""
        prompt_cost_tokens = costs.actual_cost_tokens(
            _prompt_tokens(message), 0.0
        )
        output_tokens = max(message["cost_tokens"] - prompt_cost_tokens, 0.0)
        return costs.run_time_bound_s(output_tokens, self.service_rate.token_s)

    def _preemptible_requests(self) -> list[preemption.RunningRequest]:
        """Returns the running requests that another target can resume."""
        return [
            preemption.RunningRequest(
                queue_id,
                running.item.plan,
                running.item.worth,
                self._started_s[queue_id],
                running.message["attempt"] - 1,
            )
            for queue_id, running in self._running.items()
            if running.message["type"] == "start"
        ]

    def _shares(self) -> dict[str, float]:
        plans = self._current_config().plans
        return {name: plan["share"] for name, plan in plans.items()}

    def on_request_done(self, ended: first_stage.EndedRequest) -> None:
        """Frees the slot of a request and corrects its estimated cost."""
        admitted = self._running.pop(_queue_id(ended.key), None)
        if admitted is None:
            return
        started_s = self._started_s.pop(admitted.item.request_id)
        item = admitted.item
        actual_tokens = costs.actual_cost_tokens(
            _prompt_tokens(admitted.message), ended.token_count
        )
        self._queue.correct_cost(
            item.plan, item.workspace, item.cost_tokens, actual_tokens
        )
        run_s = self._reactor.seconds() - started_s
        self.service_rate.record_request(
            actual_tokens, run_s, ended.token_count
        )
        self._reactor.callLater(0, self.start_ready)

    def cancel(self, key: stage_runs.AttemptKey) -> bool:
        """Removes a request from the queue; returns whether it was queued."""
        queue_id = _queue_id(key)
        self._queue.remove(queue_id)
        return self._waiting.pop(queue_id, None) is not None

    def remove_for_link(self, link: link_module.Link) -> None:
        """Removes the queued requests of an entry whose link is lost."""
        queue_ids = [
            queue_id
            for queue_id, admitted in self._waiting.items()
            if admitted.link is link
        ]
        for queue_id in queue_ids:
            self._queue.remove(queue_id)
            del self._waiting[queue_id]

    def refuse_waiting(self, reason: str) -> None:
        """Refuses all queued requests; none of them has run."""
        for queue_id in list(self._waiting):
            self._queue.remove(queue_id)
            self._refuse_queued(queue_id, reason)

    def update_service_rate(self) -> None:
        """Updates the average service rate with the latest requests."""
        self.service_rate.update_rate()

    def _message_with_time_left(self, admitted: AdmittedRequest) -> Any:
        """Returns the message of a request with its remaining time."""
        remaining_s = admitted.item.deadline_s - self._reactor.seconds()
        return {**admitted.message, "expires_in_s": max(remaining_s, 0.0)}

    def _running_by_size_class(self) -> tuple[int, int]:
        """Returns the numbers of running requests, short and long."""
        short_count = sum(
            self._queue.size_class(admitted.item) == fair_queue.SHORT
            for admitted in self._running.values()
        )
        return short_count, len(self._running) - short_count

    def _queue_item(self, message: Any) -> fair_queue.QueuedRequest:
        return fair_queue.QueuedRequest(
            _queue_id(stage_runs.attempt_key(message)),
            message["plan"],
            message["workspace"],
            message["cost_tokens"],
            message["worth"],
            self._reactor.seconds() + message["expires_in_s"],
            self._run_s_if_contended(message),
        )

    def _run_s_if_contended(self, message: Any) -> float:
        """Returns the expected run time, or 0 if a slot is free.

        With a free slot, a request may start even if it may end after its
        deadline, since it delays no other request.
        """
        has_free_slot = (
            len(self._running) < self._settings["limits"]["running"]
        )
        if has_free_slot or not self.service_rate.has_enough_samples:
            return 0.0
        return self._expected_run_s(message)

    def _cannot_start_in_time(
        self, item: fair_queue.QueuedRequest, expires_in_s: float
    ) -> bool:
        """Returns whether the queue delays a request past its deadline."""
        if not self.service_rate.has_enough_samples or not self._waiting:
            return False
        return self._estimated_wait_s(item) > expires_in_s

    def _estimated_wait_s(self, item: fair_queue.QueuedRequest) -> float:
        """Returns how long a request would wait if it were queued now."""
        rate_tokens_per_s = max(
            self.service_rate.tokens_per_s, MIN_TOKENS_PER_S
        )
        return self._queue.estimate_wait_s(item, rate_tokens_per_s)

    def _refuse_queued(self, queue_id: str, reason: str) -> None:
        """Refuses a request that the queue has already removed."""
        admitted = self._waiting.pop(queue_id, None)
        if admitted is not None:
            self._refuse(admitted.message, admitted.link, reason)

    def _refuse(
        self, message: Any, link: link_module.Link, reason: str
    ) -> None:
        REFUSED.labels(reason).inc()
        self._add_event(message, "refused_here", why=reason)
        if not link.is_open:
            return
        wait_s = self._estimated_wait_s(self._queue_item(message))
        link.send(
            stage_runs.refusal_message(
                message,
                reason,
                self._settings["name"],
                wait_s,
                self._current_config().version,
            )
        )

    def _add_event(self, message: Any, event: str, **fields: Any) -> None:
        self._request_log.add_event(
            message["request"],
            event,
            attempt=message["attempt"],
            target=self._settings["name"],
            **fields,
        )

    def _schedule_expiry_check(self) -> None:
        if self._expiry_timer is None and self._waiting:
            self._expiry_timer = self._reactor.callLater(
                EXPIRY_CHECK_INTERVAL_S, self._run_expiry_check
            )

    def _run_expiry_check(self) -> None:
        self._expiry_timer = None
        self.start_ready()


def _prompt_tokens(message: Any) -> int:
    """Returns the number of prompt words and of tokens generated earlier."""
    word_count = len(message.get("prompt", "").split())
    return word_count + len(message.get("generated", ()))


def _queue_id(key: stage_runs.AttemptKey) -> str:
    """Returns the id that a request's attempt has in the queue."""
    return f"{key[0]}/{key[1]}"
