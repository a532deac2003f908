"""Base class of model requests and service calls at an entry."""

from collections.abc import Callable
from typing import Any

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.entry import request_context
from hemlocktiller._internal.entry import routes
from hemlocktiller._internal.entry import targets as targets_module
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.policy import suspects

DEFAULT_RETRY_AFTER_S = 1.0
CONDEMNED_PART = "targets died while they ran a part of this prompt"
STALE_CONFIG = "stale_config"
STALE_CONFIG_WAIT_S = 0.1  # The target sends the newer version meanwhile.
# How often a request without a route asks for a silent target again.
SILENT_TARGET_POLL_S = 0.1


class BaseRequest:
    """State of a request across all of its attempts.

    Args:
        context: Components of the entry.
        call: The call as the caller sent it.
        on_error: Called with the error if the request fails.

    Attributes:
        call: The call as the caller sent it, with its authorization.
        attempt_number: Number of the current attempt, from 1.
        target: Target of the current attempt, or None between attempts.
        attempt_sent_at_s: Reactor time at which the current attempt was
            sent.
        ended: Whether the request has succeeded, failed or been cancelled.
    """

    # Error of a request that may have run, if this process ends.
    _interruption_type: type[exceptions.RequestError] = exceptions.Interrupted
    # Whether a retry after the loss of a target takes from the retry budget.
    _charges_lost_targets = True

    def __init__(
        self,
        context: request_context.RequestContext,
        call: Any,
        on_error: Callable[[exceptions.RequestError], None],
    ) -> None:
        self.call = call
        self.attempt_number = 0
        self.target: targets_module.Target | None = None
        self.attempt_sent_at_s = 0.0
        self.ended = False
        self._context = context
        self._on_error = on_error
        self._excluded_targets: set[str] = set()
        self._may_have_run = False
        self._is_trial = False
        self._failed_attempts = 0
        self._retry_after_s = DEFAULT_RETRY_AFTER_S
        plan = call.caller.workspace_view.plan
        self._deadline_s = context.reactor.seconds() + plan["deadline_s"]
        self._span = context.tracer.start(
            "request", call.traceparent, request=call.request_id
        )
        self._deadline_timer = context.reactor.callLater(
            plan["deadline_s"], self._on_deadline
        )
        self._attempt_timer: Any = None

    def start_next_attempt(self) -> None:
        """Sends the next attempt, if one may be sent now."""
        raise NotImplementedError

    def on_target_silent(self) -> None:
        """Moves to another target, if the request may run there too.

        Otherwise the attempt continues, as its target may only be silent.
        """
        if not self._is_repeatable or not self._try_authorize_elsewhere():
            return
        route = self._choose_route(self._excluded_targets | {self.target.name})
        if route is None or not request_context.consume_retry(
            self._context,
            self._failed_attempts + 1,
            link_module.SILENCE,
            not self._charges_lost_targets,
        ):
            return
        self._failed_attempts += 1
        self._may_have_run = True
        self._send_cancellation()
        self._record_target_failure()
        self._send(route)

    def cancel(self) -> None:
        """Ends the request, as its caller has disconnected.

        A call that may have reached its service is left to finish there.
        """
        if not self.ended:
            self._add_event("cancelled")
            self._cancel_attempt()
            self._finish()

    def abandon(self) -> None:
        """Fails the request, as this process ends."""
        if self.target is not None:
            self._may_have_run = True
        self._cancel_attempt()
        error_type: type[exceptions.RequestError] = exceptions.Stopping
        if self._may_have_run:
            error_type = self._interruption_type
        self._finish_with_error(
            error_type(
                "this entry is shutting down",
                self._run_status,
                DEFAULT_RETRY_AFTER_S,
            )
        )

    def _on_deadline(self) -> None:
        """Fails the request, as its deadline has passed."""
        raise NotImplementedError

    def _choose_route(self, excluded: set[str]) -> routes.Route | None:
        """Returns the best route without the excluded targets, or None."""
        raise NotImplementedError

    def _is_served_by(self, record: Any) -> bool:
        """Returns whether the target with a registration may serve it."""
        raise NotImplementedError

    def _attempt_message(self, route: routes.Route) -> dict[str, Any]:
        """Returns the message that starts the current attempt."""
        raise NotImplementedError

    @property
    def _is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return True

    @property
    def has_output(self) -> bool:
        """Whether a target has begun to answer the request."""
        return False

    @property
    def prompt_parts(self) -> tuple[int, ...]:
        """Ids of the parts of the prompt; empty without a prompt."""
        return ()

    @property
    def _cost_tokens(self) -> float:
        """Expected cost of the next attempt, in units of an output token."""
        return 1.0

    @property
    def _attempt_fields(self) -> dict[str, Any]:
        return {
            "request": self.call.request_id,
            "attempt": self.attempt_number,
        }

    @property
    def _run_status(self) -> exceptions.RanStatus:
        """Whether the request ran, as far as this entry knows."""
        return "unknown" if self._may_have_run else "no"

    @property
    def _time_left_s(self) -> float:
        return max(self._deadline_s - self._context.reactor.seconds(), 0.0)

    def _is_current_attempt(self, message: Any) -> bool:
        """Returns whether a message belongs to the current attempt."""
        is_same_attempt = message["attempt"] == self.attempt_number
        if is_same_attempt and self.target is not None:
            return True
        request_context.STALE_ANSWERS.inc()
        return False

    def _prepare_attempt(self) -> bool:
        """Checks for suspicion and authorization before an attempt.

        Returns:
            Whether the attempt may be sent now. If not, the request has
            failed or another attempt is scheduled.
        """
        self._attempt_timer = None
        return (
            not self._has_condemned_part()
            and not self._is_blocked_as_suspect()
            and self._reauthorize_call()
        )

    def _try_authorize_elsewhere(self) -> bool:
        """Authorizes another attempt under the newest configuration.

        Unlike `_prepare_attempt`, this never fails the request.

        Returns:
            Whether it is permitted, also by the evidence of crashes.
        """
        state = self._context.suspects.state(self.call.request_digest)
        part = self._context.part_evidence.condemned_part(self.prompt_parts)
        if part is not None or state not in suspects.STATES_TO_RUN:
            return False
        try:
            self.call = request_context.reauthorize(self._context, self.call)
        except exceptions.RequestError:
            return False
        return True

    def _reauthorize_call(self) -> bool:
        """Authorizes the call under the newest configuration.

        Returns:
            Whether it is still allowed. If not, the request has failed.
        """
        try:
            self.call = request_context.reauthorize(self._context, self.call)
        except exceptions.RequestError as error:
            error.ran = self._run_status
            self._finish_with_error(error)
            return False
        return True

    def _has_condemned_part(self) -> bool:
        """Returns whether a part of the prompt crashes targets.

        Fails the request if so.
        """
        part = self._context.part_evidence.condemned_part(self.prompt_parts)
        if part is None:
            return False
        self._fail_as_crashing(CONDEMNED_PART)
        return True

    def _fail_as_crashing(self, message: str) -> None:
        self._finish_with_error(
            exceptions.CrashesTargets(message, self._run_status)
        )

    def _is_blocked_as_suspect(self) -> bool:
        """Returns whether suspicion of crashing targets blocks the request.

        Fails the request if it is condemned, or half-open and not the next
        trial, and schedules another attempt if this is undecided.
        """
        digest = self.call.request_digest
        state = self._context.suspects.state(digest)
        if state == "condemned":
            self._fail_as_crashing("targets died while they ran this request")
        elif state == "undecided":
            self._schedule_attempt(suspects.CONDEMNATION_DELAY_S)
        elif state == "half_open":
            return not self._try_trial(digest)
        return state in ("condemned", "undecided")

    def _try_trial(self, digest: int) -> bool:
        """Fails a half-open request unless it is the next trial.

        A trial that no target has begun goes on.

        Returns:
            Whether it is the trial.
        """
        if self._is_trial and not self._may_have_run:
            return True
        if self._context.suspects.try_trial(digest):
            self._is_trial = True
            return True
        self._finish_with_error(
            exceptions.Overloaded(
                "targets died while they ran this request; it is on trial",
                self._run_status,
                self._context.suspects.trial_wait_s(digest),
            )
        )
        return False

    def _send(self, route: routes.Route) -> None:
        """Sends the next attempt to the target of a route."""
        self.attempt_number += 1
        self.target = route.target
        target_name = route.target.name
        request_context.ATTEMPTS.inc()
        self._add_event("attempt", target=target_name, why=route.explanation)
        self._context.push_config(route.target)
        route.target.link.send(self._attempt_message(route))
        now_s = self._context.reactor.seconds()
        self.attempt_sent_at_s = now_s
        plan = self.call.caller.workspace_view.plan["plan"]
        routing_state = self._context.targets.routing_state
        routing_state.loads.record_sent(
            target_name, self.call.request_id, plan, self._cost_tokens, now_s
        )
        routing_state.circuit_breakers.record_sent(target_name, now_s)

    def _wait_for_silent_target(self) -> bool:
        """Waits for a silent target, if one may soon continue the request.

        A request that did not run is refused instead.

        Returns:
            Whether another attempt is scheduled.
        """
        may_continue = self._may_have_run and any(
            target.name not in self._excluded_targets
            and self._is_served_by(target.record)
            and routes.is_allowed(self.call.caller.workspace_view, target)
            for target in self._context.targets.recently_silent()
        )
        if may_continue:
            self._schedule_attempt(SILENT_TARGET_POLL_S)
        return may_continue

    def _schedule_attempt(self, wait_s: float) -> None:
        """Schedules another attempt after a wait."""
        self._attempt_timer = self._context.reactor.callLater(
            wait_s, self.start_next_attempt
        )

    def _consume_retry(self, reason: str, target_died: bool = False) -> bool:
        """Counts a failed attempt; returns whether it may be retried."""
        self._failed_attempts += 1
        return request_context.consume_retry(
            self._context, self._failed_attempts, reason, target_died
        )

    def _schedule_retry(self) -> None:
        """Schedules another attempt after the backoff."""
        self._schedule_attempt(
            request_context.backoff_s(self._context, self._failed_attempts)
        )

    def _finish_successfully(self) -> None:
        """Records a success of the request and its target, and ends it."""
        now_s = self._context.reactor.seconds()
        self._context.retry_budget.record_success(now_s)
        self._context.suspects.record_response(self.call.request_digest)
        self._context.targets.routing_state.circuit_breakers.record_success(
            self.target.name
        )
        self._finish()

    def _finish_with_error(self, error: exceptions.RequestError) -> None:
        """Ends the request with an error for the caller."""
        if self.ended:
            return
        self._add_event(
            "error", code=error.code, ran=error.ran, why=str(error)
        )
        self._finish()
        self._on_error(error)

    def _finish(self) -> None:
        """Ends the request: releases its target, span and timers."""
        self.ended = True
        self._release_target()
        self._span.end()
        for timer in (self._deadline_timer, self._attempt_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def _cancel_attempt(self) -> None:
        """Cancels the current attempt at its target and releases that."""
        self._send_cancellation()
        self._release_target()

    def _send_cancellation(self) -> None:
        link = self.target.link if self.target else None
        if link is not None:
            link.send({"type": "cancel", **self._attempt_fields})

    def _record_target_failure(self) -> None:
        """Records a failure of the target and excludes it from retries."""
        if self.target is None:
            return
        now_s = self._context.reactor.seconds()
        self._context.targets.routing_state.circuit_breakers.record_failure(
            self.target.name, now_s
        )
        self._exclude_target()

    def _exclude_target(self) -> None:
        """Excludes the current target from retries and releases it."""
        if self.target is not None:
            self._excluded_targets.add(self.target.name)
        self._release_target()

    def _release_target(self) -> None:
        """Clears the target; removes the request from its estimated load."""
        if self.target is None:
            return
        loads = self._context.targets.routing_state.loads
        loads.record_ended(self.target.name, self.call.request_id)
        self.target = None

    def _add_event(self, event: str, **fields: Any) -> None:
        self._context.request_log.add_event(
            self.call.request_id, event, attempt=self.attempt_number, **fields
        )
