"""Relays a call to a plain service and retries it where that is safe."""

from typing import Any
from typing import NamedTuple

from hemlocktiller._internal import http_exchange
from hemlocktiller._internal.gateway import crashes
from hemlocktiller._internal.gateway import platform_adapter
from hemlocktiller._internal.gateway import request_context
from hemlocktiller._internal.gateway import waiting_calls as waiting
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import attempts
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import plain_loads
from hemlocktiller._internal.policy import plain_service
from hemlocktiller._internal.policy import suspects

# A repeatable call is sent to a second target once the first has taken this
# share of the route's target latency; the second may still respond in time.
HEDGE_DELAY_RATIO = 0.9
# Retry-After while all targets are full: a few response times of a plain
# service.
RETRY_AFTER_S = 0.3
# Dispatches of a call, including those that targets reject before running it.
MAX_DISPATCHES = 3
# Hedges of a call at a silent target, including those that are rejected.
MAX_SILENCE_HEDGES = 2


class _Response(NamedTuple):
    """A complete response of a target."""

    status: int
    headers: platform_adapter.Headers
    body: bytes


class _Attempt:
    """A dispatch of the call to one target and the response so far."""

    def __init__(self, target: fleet.Target, sent_at_s: float) -> None:
        self.target = target
        self.sent_at_s = sent_at_s
        self.exchange: http_exchange.Exchange | None = None
        self.status = 0
        self.headers: platform_adapter.Headers = []
        self.body = bytearray()
        # Whether the target has been silent; it may answer probes again.
        self.was_silent = False


class Call:
    """Handles one request to a plain service.

    Attributes:
        digest: Digest that is the same for retries of the request.
        request_id: Id of the request; each retry by the caller has a new one.
        prompt_parts: Always empty; plain services have no prompts.
    """

    prompt_parts = ()

    def __init__(
        self,
        context: request_context.RequestContext,
        loads: plain_loads.PlainLoads,
        rng: Any,
        admitted: request_context.AdmittedRequest,
        on_finished: Any,
    ) -> None:
        self._context = context
        self._loads = loads
        self._rng = rng
        self._admitted = admitted
        self._on_finished = on_finished
        self.digest = request_context.request_digest(admitted)
        self.request_id = admitted.parsed_headers.request_id
        self._active_attempts: dict[str, _Attempt] = {}
        self._tried_targets: set[str] = set()
        # Ended attempts that ran or may have run the call.
        self._executed_attempts = 0
        self._dispatch_count = 0
        # Last response with a server error; forwarded if no retry follows.
        self._error_response: _Response | None = None
        self._is_finished = False
        self._silence_hedge_count = 0
        self._hedge_timer: Any = None
        self._waiting_key = f"{id(self):x}/{self.request_id}"
        admitted.caller_request.on_disconnect = self._on_disconnect
        remaining_s = (
            request_context.request_deadline_s(admitted)
            - context.reactor.seconds()
        )
        self._deadline_timer = context.reactor.callLater(
            max(0.0, remaining_s), self._on_deadline
        )

    def start(self) -> None:
        """Sends the call, unless it is known to crash targets."""
        evidence = self._context.crash_evidence
        state = evidence.state(self.digest)
        if state == "condemned":
            self._reject_crashing_call()
            return
        if state == "undecided":
            self._reject(
                crashes.CONDEMNED_REASON, crashes.CONDEMNATION_DELAY_S
            )
            return
        if state == "half_open" and not evidence.try_trial(self.digest):
            self._reject(
                crashes.HALF_OPEN_REASON, evidence.trial_wait_s(self.digest)
            )
            return
        service = self._admitted.service.name
        waiting_calls = self._context.waiting_calls
        if not waiting_calls.has_waiting(service):
            if self._start_at_target():
                return
            if self._context.targets.binding_room(service) is None:
                self._reject(waiting.FULL_REASON)
                return
        now_s = self._context.reactor.seconds()
        waiting_calls.submit(
            waiting.WaitingCall(
                self._waiting_key,
                service,
                self._admitted.priority,
                self._admitted.workspace,
                request_context.request_deadline_s(self._admitted) - now_s,
                self._start_at_target,
                self._reject,
            )
        )

    def _start_at_target(self):
        """Sends the call to its first target; returns whether one was free."""
        if not self._dispatch():
            return False
        route = self._admitted.route
        if route.may_repeat and route.max_targets > 1:
            hedge_delay_s = route.target_latency_s * HEDGE_DELAY_RATIO
            self._hedge_timer = self._context.reactor.callLater(
                hedge_delay_s, self._send_hedge
            )
        return True

    def check_progress(self, now_s: float) -> None:
        """Looks for a second target again if that of an attempt is silent."""
        self._send_hedge_if_silent()

    def on_target_down(self, target: fleet.Target, reason: str) -> None:
        """Sends a call that may be repeated to another target as well.

        The attempt at the target is abandoned only if the target has ended;
        one that is silent may still respond.
        """
        attempt = self._active_attempts.get(target.name)
        if attempt is None or not self._admitted.route.may_repeat:
            return
        if not self._context.targets.has_ended(target):
            attempt.was_silent = True
            self._send_hedge_if_silent()
            return
        self._on_upstream_failure(
            attempt, http_exchange.ExchangeFailure(reason, was_sent=True)
        )

    def abandon(self, reason: str) -> None:
        """Gives up the call before the process ends."""
        if self._active_attempts and self._error_response is None:
            self._respond_with_error(
                request_context.STATUS_BAD_GATEWAY, reason
            )
            return
        self._finish_without_retry(reason)

    def awaits_output_from(self, target: fleet.Target) -> bool:
        """Returns whether a target runs the call and has not responded."""
        return target.name in self._active_attempts

    def _dispatch(self):
        """Sends the call to one more target; returns whether one was free."""
        context = self._context
        admitted = self._admitted
        now_s = context.reactor.seconds()
        candidates = context.targets.available(admitted.service.name)
        target = plain_service.choose_target(
            candidates,
            self._loads.count,
            context.targets.failure_ratio,
            context.data_centre,
            self._tried_targets,
            self._rng,
            lambda name: self._loads.answer_ms(name, now_s),
        )
        if target is None:
            return False
        answer_ms = self._loads.answer_ms(target.name, now_s)
        events.emit(
            "dispatch",
            request=self.request_id,
            target=target.name,
            offer=self._dispatch_count + 1,
            waited_ms=round(
                (now_s - admitted.caller_request.received_at_s) * 1000
            ),
            config=admitted.config_version,
            **({"answer_ms": round(answer_ms)} if answer_ms else {}),
        )
        attempt = _Attempt(target, now_s)
        self._dispatch_count += 1
        self._tried_targets.add(target.name)
        self._active_attempts[target.name] = attempt
        self._loads.adjust(target.name, 1)
        attempt.exchange = request_context.send_to_target(
            context,
            admitted,
            target,
            http_exchange.ExchangeCallbacks(
                lambda status, headers: self._on_head(
                    attempt, status, headers
                ),
                attempt.body.extend,
                lambda failure: self._on_end(attempt, failure),
            ),
        )
        return True

    def _send_hedge(self):
        """Sends the call to a second target as well, if that is allowed.

        Returns:
            Whether it was sent.
        """
        if self._is_finished or not self._may_run_again():
            return False
        now_s = self._context.reactor.seconds()
        if self._retry_budget().remaining(now_s) < 1 or not self._dispatch():
            return False
        self._retry_budget().try_retry(now_s)
        return True

    def _send_hedge_if_silent(self):
        """Sends the call to a second target while no other may answer."""
        is_down = self._context.targets.is_down
        is_silent = self._active_attempts and all(
            attempt.was_silent and is_down(attempt.target)
            for attempt in self._active_attempts.values()
        )
        may_hedge = self._silence_hedge_count < MAX_SILENCE_HEDGES
        if is_silent and may_hedge and self._send_hedge():
            self._silence_hedge_count += 1

    def _may_run_again(self):
        """Returns whether the route and crashes allow another run."""
        state = self._context.crash_evidence.state(self.digest)
        return state in suspects.STATES_TO_RUN and attempts.may_run_again(
            self._admitted.route.allowance,
            self._executed_attempts + len(self._active_attempts),
        )

    def _retry_budget(self):
        return self._context.retry_budget_for(self._admitted.service.name)

    def _on_head(self, attempt, status, headers):
        attempt.status = status
        attempt.headers = headers

    def _on_end(self, attempt, failure):
        """Handles the end of an exchange: a complete response or a failure."""
        if (
            self._is_finished
            or self._active_attempts.get(attempt.target.name) is not attempt
        ):
            return
        if failure is not None:
            self._on_upstream_failure(attempt, failure)
            return
        response_head = self._context.adapter.decode_response_head(
            attempt.status, attempt.headers
        )
        if response_head.request_id not in ("", self.request_id):
            self._on_upstream_failure(
                attempt,
                http_exchange.ExchangeFailure("another's answer", True),
            )
            return
        self._cancel_attempt(attempt)
        if response_head.was_not_executed:
            self._on_target_rejected(attempt, response_head)
            return
        self._context.crash_evidence.record_first_data(self.digest)
        self._executed_attempts += 1
        response = _Response(
            attempt.status, attempt.headers, bytes(attempt.body)
        )
        is_server_error = attempt.status >= 500
        if not response_head.is_signed or not response_head.is_unencoded:
            self._on_unusable_response(attempt)
        elif is_server_error:
            if response_head.pause_s is None:
                self._context.targets.record_request_failure(
                    attempt.target, f"answered {attempt.status}"
                )
            self._error_response = response
            self._retry_or_finish(f"answered {attempt.status}")
        else:
            self._context.targets.record_request_success(attempt.target)
            now_s = self._context.reactor.seconds()
            self._loads.record_answer(
                attempt.target.name, now_s - attempt.sent_at_s, now_s
            )
            self._forward_response(response)

    def _on_unusable_response(self, attempt):
        """Handles an encoded or unsigned response, which can't be trusted."""
        reason = f"unsigned answer {attempt.status}"
        self._context.targets.record_request_failure(attempt.target, reason)
        self._retry_or_finish(reason)

    def _on_upstream_failure(self, attempt, failure):
        """Handles an attempt that got no valid and complete response."""
        self._cancel_attempt(attempt)
        if failure.was_refused:
            self._context.targets.mark_down(
                attempt.target, failure.reason, has_ended=True
            )
        else:
            self._context.targets.record_request_failure(
                attempt.target, failure.reason
            )
        if failure.was_sent:
            self._context.crash_evidence.record_early_failure(
                self.digest, self.request_id, [attempt.target]
            )
            self._executed_attempts += 1
            self._retry_or_finish(failure.reason)
            return
        self._dispatch_elsewhere(failure.reason)

    def _on_target_rejected(self, attempt, response_head):
        """Handles a response to a call that the target did not execute."""
        if response_head.is_wrong_target:
            self._context.targets.probe_suspect(attempt.target, "wrong target")
        self._dispatch_elsewhere(f"turned down with {attempt.status}")

    def _dispatch_elsewhere(self, reason):
        """Sends a call that a target did not run to another one, or ends it.

        Does nothing while another attempt is in progress.
        """
        now_s = self._context.reactor.seconds()
        if self._active_attempts:
            return
        may_dispatch = (
            self._dispatch_count < MAX_DISPATCHES
            and (self._executed_attempts == 0 or self._may_run_again())
            and self._retry_budget().try_retry(now_s)
        )
        if may_dispatch and self._dispatch():
            return
        self._finish_without_retry(reason)

    def _retry_or_finish(self, reason):
        """Retries a call that may have run, or responds to its caller.

        Does nothing while another attempt is in progress.
        """
        if self._active_attempts:
            return
        if self._context.crash_evidence.state(self.digest) == "condemned":
            self._reject_crashing_call()
            return
        # The time limit of a call is too short to wait for a decision or a
        # trial.
        now_s = self._context.reactor.seconds()
        if (
            self._may_run_again()
            and self._retry_budget().try_retry(now_s)
            and self._dispatch()
        ):
            return
        self._finish_without_retry(reason)

    def _finish_without_retry(self, reason):
        """Responds with a target's error, or else with the gateway's own."""
        if self._error_response is not None:
            self._forward_response(self._error_response)
        elif self._executed_attempts:
            self._respond_with_error(
                request_context.STATUS_BAD_GATEWAY, reason
            )
        else:
            self._reject(reason)

    def _forward_response(self, response):
        self._close()
        if response.status < 500:
            now_s = self._context.reactor.seconds()
            self._retry_budget().record_success(now_s)
        request_context.record_completion(
            self._context, self._admitted, str(response.status)
        )
        self._admitted.caller_request.respond(
            response.status, response.headers, response.body
        )

    def _reject(self, reason, retry_after_s=RETRY_AFTER_S):
        """Responds that the caller may retry, as the call has not run.

        Not before a target takes requests again, if all asked for a pause or
        have a limit.
        """
        retry_after_s = max(
            retry_after_s,
            self._context.targets.service_wait_s(self._admitted.service.name),
        )
        self._respond_with_error(
            request_context.STATUS_SERVICE_UNAVAILABLE, reason, retry_after_s
        )

    def _respond_with_error(self, status, reason, retry_after_s=0.0):
        """Responds with an error that the gateway itself reports."""
        self._close()
        request_context.respond_with_error(
            self._context, self._admitted, status, reason, retry_after_s
        )

    def _reject_crashing_call(self):
        """Rejects a call that crashes the targets that run it."""
        if self._error_response is not None:
            self._forward_response(self._error_response)
            return
        self._respond_with_error(
            crashes.CONDEMNED_STATUS, crashes.CONDEMNED_REASON
        )

    def _on_deadline(self):
        may_have_run = self._executed_attempts > 0 or bool(
            self._active_attempts
        )
        if self._error_response is not None:
            self._forward_response(self._error_response)
            return
        status = request_context.STATUS_SERVICE_UNAVAILABLE
        if may_have_run:
            status = request_context.STATUS_GATEWAY_TIMEOUT
        self._respond_with_error(status, "deadline passed")

    def _on_disconnect(self):
        if not self._is_finished:
            self._close()
            request_context.record_completion(
                self._context, self._admitted, "caller left"
            )

    def _cancel_attempt(self, attempt):
        if self._active_attempts.pop(attempt.target.name, None) is not None:
            self._loads.adjust(attempt.target.name, -1)
            attempt.exchange.cancel()

    def _close(self):
        """Cancels all timers and attempts, and reports the end of the call."""
        self._is_finished = True
        for timer in (self._deadline_timer, self._hedge_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self._context.waiting_calls.discard(self._waiting_key)
        now_s = self._context.reactor.seconds()
        for attempt in list(self._active_attempts.values()):
            self._loads.record_unanswered(
                attempt.target.name, now_s - attempt.sent_at_s, now_s
            )
            self._cancel_attempt(attempt)
        self._on_finished(self)
