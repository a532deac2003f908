"""Relays a stream and resumes it on another path when a target is lost."""

from typing import Any

import prometheus_client

from hemlocktiller._internal import http_exchange
from hemlocktiller._internal.gateway import crashes
from hemlocktiller._internal.gateway import dispatcher as dispatcher_module
from hemlocktiller._internal.gateway import platform_adapter
from hemlocktiller._internal.gateway import request_context
from hemlocktiller._internal.gateway import sse
from hemlocktiller._internal.gateway import stream_end
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import admission
from hemlocktiller._internal.policy import attempts
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import held_prompts
from hemlocktiller._internal.policy import output_lengths
from hemlocktiller._internal.policy import suspects

# After this long without an event the targets of a stream are suspected to be
# down; the slowest accelerator under load sends several events in this time.
SUSPECT_AFTER_SILENCE_S = 0.35
# Longer, since the first event also waits for the prompts of earlier requests
# to be processed.
SUSPECT_WITHOUT_FIRST_EVENT_S = 0.6
# Callers time out after two seconds of silence; a new attempt needs the time
# that is left.
REROUTE_AFTER_SILENCE_S = 1.1
# Pause before a silent target is asked again whether it outlived a stream.
CONFIRMATION_RETRY_DELAY_S = 0.2
# Doubled up to this after each answer that proves nothing, such as an error.
MAX_CONFIRMATION_RETRY_DELAY_S = 1.0
# A new path is searched for during this time; after it, the caller has
# probably timed out.
RESUME_WINDOW_S = 1.6
DOUBTFUL_CLOSE_REASON = "closed after a silence"
# A request may be dispatched this many times more than its route allows
# attempts, since targets may reject it before running it. Further dispatches
# rarely find a target with room.
MAX_EXTRA_DISPATCHES = 4
# The last retries of the budget are reserved for streams with events whose run
# is lost. These lose work if they end, while a request without events can be
# rejected for its caller to retry, and a silent run may go on.
RETRIES_RESERVED_FOR_RESUMING = 3
# How often an exhausted retry budget is checked again; requests that succeed
# refill it several times a second.
RETRY_BUDGET_POLL_INTERVAL_S = 0.15
MAX_QUEUE_WAIT_S = admission.MAX_WAIT_S
# An event holds a few tokens; one that grows beyond this has no end.
MAX_EVENT_BYTES = 262_144
MAX_ERROR_BODY_BYTES = 65_536
# The memory reserved for a stream follows what it has written at steps of so
# many events: a few steps in the answers of usual length.
EVENTS_PER_RESERVATION = 8

PREDICTION_RATIO = prometheus_client.Histogram(
    "hemlocktiller_gateway_output_prediction_ratio",
    "Length of an answer relative to the predicted one",
    buckets=(0.1, 0.25, 0.5, 0.8, 1.25, 2.0, 4.0, 10.0),
)


class _Replacement:
    """An attempt that replaces a silent one as soon as its target answers.

    Attributes:
        dispatch_key: Identifies its request for a path.
        path: Its stages; empty while the path is searched for.
        exchange: Its exchange; None before it is sent.
        attempt_number: Its number once it is the current attempt, else 0.
        sent_at_s: When it was sent.
        silent_checks: Number of progress checks since then.
        is_suspected: Whether its targets were probed for its silence.
        down_reason: Why a target of its path counts as down; empty if none
            does.
    """

    def __init__(self, dispatch_key: str) -> None:
        self.dispatch_key = dispatch_key
        self.path: fleet.Path = ()
        self.exchange: http_exchange.Exchange | None = None
        self.attempt_number = 0
        self.sent_at_s = 0.0
        self.silent_checks = 0
        self.is_suspected = False
        self.down_reason = ""


class Stream:
    """Handles one streaming request.

    Attributes:
        path: Stages of the current attempt; empty while there is none.
        digest: Digest that is the same for retries of the request.
        request_id: Id of the request; each retry by the caller has a new one.
        prompt_parts: Parts of the prompt that other requests may share.
    """

    def __init__(
        self,
        context: request_context.RequestContext,
        dispatcher: dispatcher_module.Dispatcher,
        admitted: request_context.AdmittedRequest,
        on_finished: Any,
    ) -> None:
        self.path: fleet.Path = ()
        self._context = context
        self._dispatcher = dispatcher
        self._admitted = admitted
        self._on_finished = on_finished
        self.digest = request_context.request_digest(admitted)
        self.request_id = admitted.parsed_headers.request_id
        self.prompt_parts = admitted.parsed_headers.prompt_parts
        # Whether the caller was refused before and came back as told.
        self._has_waited = (
            admitted.rank is not None
            and dispatcher.demand.record_time_left(
                admitted.route.name, admitted.parsed_headers.time_left_s
            )
        )
        self._dispatch_key = f"{id(self):x}/{self.request_id}"
        # The search for a replacement, and one that was sent.
        self._sought_replacement: _Replacement | None = None
        self._replacement: _Replacement | None = None
        self._exchange: http_exchange.Exchange | None = None
        self._splitter = sse.EventSplitter()
        # What delimits the current response; see `http_exchange.Exchange`.
        self._framing = "none"
        self._last_event_id = admitted.parsed_headers.last_event_id
        self._continues_earlier_stream = self._last_event_id != ""
        # What is expected of the length of the answer; None where that has
        # no effect, as all accelerators are about as fast.
        self._prediction: output_lengths.Prediction | None = None
        self._event_count = 0
        self._attempt_has_output = False
        # Attempts that a target is known to have started.
        self._started_attempts = 0
        # All attempts, including those that targets rejected.
        self._dispatch_count = 0
        # Those of replacements that were cancelled as the silent run went on.
        self._needless_dispatch_count = 0
        # First targets of the attempts that may have started to run.
        self._started_at_targets: list[fleet.Target] = []
        # Changes at the start and the cancellation of each attempt, so that
        # callbacks of an earlier attempt are recognized and ignored.
        self._attempt_number = 0
        self._longest_gap_s = 0.0
        self._longest_gap_after_event = 0
        self._first_event_latency_s = 0.0
        self._is_streaming = False
        self._error_head: tuple[int, platform_adapter.Headers] | None = None
        self._error_body = bytearray()
        self._last_activity_s = 0.0
        self._silent_checks = 0
        self._is_suspected = False
        self._close_check = stream_end.CloseCheck()
        # Why a target of the path counts as down; empty if none does.
        self._down_reason = ""
        self._is_finished = False
        self._delay_timer: Any = None
        caller_request = admitted.caller_request
        caller_request.on_disconnect = self._on_disconnect
        remaining_s = (
            request_context.request_deadline_s(admitted)
            - context.reactor.seconds()
        )
        self._deadline_timer = context.reactor.callLater(
            max(0.0, remaining_s), self._on_deadline
        )

    def start(self) -> None:
        """Requests a path, unless the request is known to crash targets."""
        if self._is_finished:
            return
        if self._stopped_by_crash_evidence(self.start):
            return
        self._dispatcher.submit(
            self._build_path_request(
                self._dispatch_key,
                MAX_QUEUE_WAIT_S,
                self._start_attempt,
                self._reject,
            )
        )

    def check_progress(self, now_s: float) -> None:
        """Detects silence; called every `PROGRESS_CHECK_INTERVAL_S`.

        The socket is read between two checks. While the event loop is blocked
        checks are late, and unread data must not count as silence: silence is
        at most the number of checks without activity times their interval.
        """
        if not self.path or self._is_finished:
            return
        self._silent_checks += 1
        self._close_check.record_tick(now_s)
        silence_s = self._silence_s(now_s)
        suspect_after_s = (
            SUSPECT_AFTER_SILENCE_S
            if self._is_streaming
            else SUSPECT_WITHOUT_FIRST_EVENT_S
        )
        if silence_s > suspect_after_s and not self._is_suspected:
            self._is_suspected = True
            self._probe_silent(self.path)
        self._check_replacement(now_s)
        if self._is_stalled_by_down_target(now_s):
            self._seek_replacement(self._down_reason)
        elif silence_s > REROUTE_AFTER_SILENCE_S and (
            self._may_reroute(now_s) or self._has_target_down(self.path)
        ):
            self._seek_replacement("silence")

    def _check_replacement(self, now_s):
        """Suspects the targets of a replacement that doesn't answer."""
        replacement = self._replacement
        if replacement is None or replacement.is_suspected:
            return
        replacement.silent_checks += 1
        silence_s = _silence_s(
            now_s - replacement.sent_at_s, replacement.silent_checks
        )
        if silence_s > SUSPECT_WITHOUT_FIRST_EVENT_S:
            replacement.is_suspected = True
            self._probe_silent(replacement.path)

    def _probe_silent(self, path):
        for stage in path:
            self._context.targets.probe_suspect(stage.target, "silent stream")

    def _silence_s(self, now_s):
        return _silence_s(now_s - self._last_activity_s, self._silent_checks)

    def _is_stalled_by_down_target(self, now_s):
        """Returns whether an attempt with a target that is down is silent.

        Its events may still arrive: a later stage may only be unreachable
        from here, or have missed a single probe.
        """
        if not self._down_reason or not self._has_target_down(self.path):
            return False
        return (
            not self._attempt_has_output
            or self._silence_s(now_s) > SUSPECT_AFTER_SILENCE_S
        )

    def on_target_down(self, target: Any, reason: str) -> None:
        """Resumes on another path if the target is part of the current one.

        A target that has not ended may go on with its run, which is kept
        until another one answers; none is sought while its events arrive.
        """
        if not self._is_running_at(target):
            return
        reason = f"{target.name} is down: {reason}"
        has_ended = self._context.targets.has_ended(target)
        replacement = self._replacement
        if replacement is not None and _is_on_path(target, replacement.path):
            replacement.down_reason = reason
            if has_ended:
                self._cancel_sent_replacement()
        if has_ended and _is_on_path(target, self.path):
            was_sent = self._exchange is None or self._exchange.is_sent
            self._reroute(reason, may_have_run=was_sent)
            return
        if _is_on_path(target, self.path):
            self._down_reason = reason
        if self._is_stalled_by_down_target(self._context.reactor.seconds()):
            self._seek_replacement(self._down_reason)

    def abandon(self, reason: str) -> None:
        """Gives up the request before the process ends."""
        may_have_run = bool(self.path) or bool(self._started_at_targets)
        self._fail(reason, may_have_run)

    def awaits_output_from(self, target: fleet.Target) -> bool:
        """Returns whether a target runs the request without output so far."""
        return self._is_running_at(target) and not self._has_produced_output()

    def _is_running_at(self, target):
        replacement_path = self._replacement.path if self._replacement else ()
        return _is_on_path(target, (*self.path, *replacement_path))

    def _has_target_down(self, path):
        is_down = self._context.targets.is_down
        return any(is_down(stage.target) for stage in path)

    def _has_produced_output(self):
        """Returns whether a target survived running part of the request."""
        return self._event_count > 0 or self._last_event_id != ""

    def _stopped_by_crash_evidence(self, proceed, *arguments):
        """Rejects a request that crashes targets, by itself or by a part.

        While the evidence is undecided, `proceed` is called again later. A
        half-open request goes on only as its trial.

        Returns:
            Whether the caller of this method must stop.
        """
        if self._stopped_by_condemned_part():
            return True
        state = self._crash_state()
        if state == "condemned":
            self._reject_crashing_request(crashes.CONDEMNED_REASON)
        elif state == "undecided":
            self._call_after(crashes.CONDEMNATION_DELAY_S, proceed, *arguments)
        elif state == "half_open":
            return self._stopped_without_trial()
        return state in ("condemned", "undecided")

    def _stopped_without_trial(self):
        """Ends a half-open request, unless it is the next trial."""
        evidence = self._context.crash_evidence
        if evidence.try_trial(self.digest):
            return False
        self._fail(
            crashes.HALF_OPEN_REASON,
            may_have_run=bool(self._started_at_targets),
            retry_after_s=evidence.trial_wait_s(self.digest),
        )
        return True

    def _has_condemned_part(self):
        return self._context.crash_evidence.has_condemned_part(
            self.prompt_parts
        )

    def _stopped_by_condemned_part(self):
        """Rejects a request with a prompt part that crashes targets."""
        if self._event_count or not self._has_condemned_part():
            return False
        crashes.PART_REJECTIONS.inc()
        self._reject_crashing_request(crashes.CONDEMNED_PART_REASON)
        return True

    def _call_after(self, delay_s, proceed, *arguments):
        """Calls a function later, unless the attempt is cancelled before."""
        self._delay_timer = self._context.reactor.callLater(
            delay_s, proceed, *arguments
        )

    # Attempts

    def _build_path_request(
        self, dispatch_key, max_wait_s, on_path_found, on_rejected
    ):
        """Builds the request for a path that is submitted to the dispatcher.

        Args:
            dispatch_key: Identifies the request for a path.
            max_wait_s: Maximum wait for a path.
            on_path_found: See `PathRequest`.
            on_rejected: See `PathRequest`.
        """
        admitted = self._admitted
        parsed_headers = admitted.parsed_headers
        now_s = self._context.reactor.seconds()
        engine = admitted.service.engine
        expected_tokens = (
            parsed_headers.expected_output_tokens
            or parsed_headers.max_output_tokens
        )
        deadline_s = min(
            request_context.request_deadline_s(admitted), now_s + max_wait_s
        )
        queue_item = fair_queue.QueuedRequest(
            dispatch_key,
            f"priority {admitted.priority}",
            admitted.workspace,
            parsed_headers.prompt_tokens + expected_tokens,
            1.0,
            deadline_s,
        )
        token_demand = dispatcher_module.estimate_demand(
            parsed_headers.prompt_tokens, expected_tokens, engine
        )
        if fleet.is_uneven(engine):
            self._prediction = self._dispatcher.output_lengths.predict(
                admitted.route.name,
                self._hinted_tokens(),
                parsed_headers.max_output_tokens,
            )
            token_demand = self._demand_left()
        return dispatcher_module.PathRequest(
            self.request_id,
            queue_item,
            admitted.service,
            token_demand,
            on_path_found,
            on_rejected,
            self._allowed_first_targets,
            admitted.route.target_latency_s,
            rank=admitted.rank,
            time_left_s=request_context.request_deadline_s(admitted) - now_s,
            has_waited=self._has_waited,
            prompt_parts=self._held_parts(),
        )

    def _held_parts(self):
        """Returns the beginnings of the prompt that targets may hold.

        Those of one workspace are not those of another: how fast an answer
        comes must not tell what others ask.
        """
        admitted = self._admitted
        if not admitted.service.engine.retains_prompts:
            return ()
        return held_prompts.beginnings(
            f"{admitted.service.name}\0{admitted.workspace}",
            admitted.parsed_headers.prompt_lengths,
        )

    def _hinted_tokens(self):
        """Returns the length expected without knowledge of the route."""
        parsed_headers = self._admitted.parsed_headers
        return (
            parsed_headers.expected_output_tokens
            or parsed_headers.max_output_tokens
            or self._admitted.service.engine.usual_output_tokens
        )

    def _written_tokens(self):
        """Returns the tokens of the events so far; the last may hold less."""
        return self._event_count * self._admitted.service.engine.stride

    def _context_tokens(self):
        """Returns the tokens of the prompt and of the answer so far."""
        prompt_tokens = (
            self._admitted.parsed_headers.prompt_tokens
            or self._admitted.service.engine.usual_prompt_tokens
        )
        return prompt_tokens + self._written_tokens()

    def _demand_left(self):
        """Returns the demand of the part of the answer not written yet."""
        return dispatcher_module.demand_left(
            self._context_tokens(),
            self._prediction.remaining_tokens(self._written_tokens()),
        )

    def _update_reserved(self):
        """Reserves more once the context exceeds what was reserved."""
        if (
            self._prediction is None
            or self._event_count % EVENTS_PER_RESERVATION
        ):
            return
        self._dispatcher.occupancy.raise_reserved(
            self._dispatch_key, self._context_tokens()
        )

    def _record_length(self):
        """Records the length of the answer, unless its begin is unknown."""
        if self._prediction is None or self._continues_earlier_stream:
            return
        predicted_tokens = self._prediction.remaining_tokens(0.0)
        if self._event_count and predicted_tokens:
            PREDICTION_RATIO.observe(self._written_tokens() / predicted_tokens)
        self._dispatcher.output_lengths.record(
            self._admitted.route.name,
            self._hinted_tokens(),
            self._written_tokens(),
        )

    def _allowed_first_targets(self):
        """Returns the targets that an attempt may begin at; None for any.

        Once the route's targets are used up, an attempt may begin only at one
        that started the request before, or that has it now.
        """
        replacement_path = self._replacement.path if self._replacement else ()
        current_targets = [
            stage.target for stage in (*self.path[:1], *replacement_path[:1])
        ]
        return attempts.required_first_targets(
            self._admitted.route.allowance,
            self._started_at_targets + current_targets,
            self._context.targets.has_ended,
        )

    def _start_attempt(self, choice):
        """Sends the request along the path that the dispatcher chose."""
        if self._is_finished:
            self._dispatcher.discard(self._dispatch_key)
            return
        if self._stopped_by_condemned_part():
            return
        self._begin_attempt(choice.path)
        attempt_number = self._attempt_number
        self._exchange = self._send(
            choice,
            http_exchange.ExchangeCallbacks(
                lambda status, headers: self._on_head(
                    attempt_number, status, headers
                ),
                lambda data: self._on_data(attempt_number, data),
                lambda failure: self._on_end(attempt_number, failure),
            ),
        )

    def _begin_attempt(self, path):
        """Resets the state of the response for another attempt."""
        self.path = path
        self._attempt_number += 1
        now_s = self._context.reactor.seconds()
        self._record_activity(now_s)
        self._close_check.begin(now_s)
        self._is_suspected = False
        self._down_reason = ""
        self._attempt_has_output = False
        self._splitter = sse.EventSplitter()
        self._framing = "none"
        self._error_head = None
        self._error_body = bytearray()

    def _send(self, choice, callbacks):
        """Sends the request along a path; returns the exchange."""
        context = self._context
        admitted = self._admitted
        now_s = context.reactor.seconds()
        self._dispatch_count += 1
        events.emit(
            "dispatch",
            request=self.request_id,
            run=self._dispatch_count,
            path=[
                [stage.target.name, stage.first_layer, stage.end_layer]
                for stage in choice.path
            ],
            first_ms=round(choice.first_event_ms),
            waited_ms=round(
                (now_s - admitted.caller_request.received_at_s) * 1000
            ),
            after_event=self._last_event_id,
            config=admitted.config_version,
        )
        return request_context.send_to_target(
            context,
            admitted,
            choice.path[0].target,
            callbacks,
            choice.path,
            self._last_event_id,
        )

    def _may_run_again(self):
        """Returns whether the route and the budget allow another attempt."""
        allowance = self._admitted.route.allowance
        if not attempts.may_run_again(allowance, self._started_attempts):
            return False
        return (
            self._retry_budget().remaining(self._context.reactor.seconds())
            >= 1
        )

    def _retry_budget(self):
        return self._context.retry_budget_for(self._admitted.service.name)

    def _reroute(
        self, reason, may_have_run=True, attempt_may_have_started=True
    ):
        """Abandons the current attempt and resumes on another path.

        Args:
            reason: Why, for logs and the error response.
            may_have_run: Whether the request may have run by now.
            attempt_may_have_started: Whether a target may have started the
                current attempt, which it may do just as it is abandoned.
        """
        may_have_started = may_have_run and attempt_may_have_started
        if self._replacement is not None:
            self._adopt_replacement(self._replacement, may_have_started)
            return
        self._abandon_attempt(may_have_started)
        if self._stopped_by_crash_evidence(
            self._reroute, reason, may_have_run
        ):
            return
        admitted = self._admitted
        now_s = self._context.reactor.seconds()
        may_reroute = admitted.route.may_repeat or not may_have_run
        if not may_reroute or not self._may_dispatch_again(is_lost=True):
            self._fail(reason, may_have_run)
            return
        if not self._spend_retry(now_s, is_lost=True):
            self._wait_for_budget(reason, may_have_run, now_s)
            return
        self._log_resumption(reason, now_s)
        self._dispatcher.submit_resumed(
            self._build_path_request(
                self._dispatch_key,
                RESUME_WINDOW_S,
                self._start_attempt,
                lambda retry_after_s, rejection_reason: self._fail(
                    rejection_reason, self._started_attempts > 0, retry_after_s
                ),
            )
        )

    def _log_resumption(self, reason, now_s):
        events.emit(
            "resume",
            request=self.request_id,
            reason=reason,
            after_event=self._last_event_id,
            silent_ms=round((now_s - self._last_activity_s) * 1000),
            framing=self._framing,
            unfinished_bytes=self._splitter.buffered_bytes,
        )

    def _seek_replacement(self, reason):
        """Looks for another path for a silent attempt, kept until then.

        Args:
            reason: Why, for logs.
        """
        now_s = self._context.reactor.seconds()
        if (
            self._sought_replacement is not None
            or self._has_sound_replacement()
            or not self._admitted.route.may_repeat
            or not self._may_dispatch_again(is_lost=False)
            or not self._may_spend_retry(now_s, is_lost=False)
            or self._crash_state() not in suspects.STATES_TO_RUN
        ):
            return
        dispatch_key = f"{self._dispatch_key}/{self._dispatch_count}"
        self._sought_replacement = _Replacement(dispatch_key)
        self._dispatcher.submit_resumed(
            self._build_path_request(
                dispatch_key,
                RESUME_WINDOW_S,
                lambda choice: self._send_replacement(reason, choice),
                lambda retry_after_s, rejection_reason: self._cancel_search(),
            )._replace(is_replacement=True)
        )

    def _send_replacement(self, reason, choice):
        """Sends the request along a path that was found for a replacement.

        It takes the place of an earlier replacement that is silent.
        """
        replacement = self._sought_replacement
        now_s = self._context.reactor.seconds()
        if (
            self._crash_state() not in suspects.STATES_TO_RUN
            or self._has_condemned_part()
            or not self._spend_retry(now_s, is_lost=False)
        ):
            self._cancel_search()
            return
        self._log_resumption(reason, now_s)
        self._cancel_sent_replacement()
        self._sought_replacement = None
        self._replacement = replacement
        replacement.path = choice.path
        replacement.sent_at_s = now_s

        def on_head(status, headers):
            if self._replacement is replacement:
                self._on_replacement_head(replacement, status, headers)
            if replacement.attempt_number:
                self._on_head(replacement.attempt_number, status, headers)

        def on_data(data):
            if replacement.attempt_number:
                self._on_data(replacement.attempt_number, data)

        def on_end(failure):
            if self._replacement is replacement:
                self._on_replacement_failed(replacement, failure)
            elif replacement.attempt_number:
                self._on_end(replacement.attempt_number, failure)

        replacement.exchange = self._send(
            choice, http_exchange.ExchangeCallbacks(on_head, on_data, on_end)
        )

    def _on_replacement_head(self, replacement, status, headers):
        """Replaces the silent attempt, unless the response is an error."""
        response_head = self._context.adapter.decode_response_head(
            status, headers
        )
        if (
            status == 200
            and response_head.is_signed
            and response_head.is_unencoded
            and response_head.request_id in ("", self.request_id)
        ):
            self._adopt_replacement(replacement, attempt_may_have_started=True)
            return
        if response_head.was_not_executed:
            self._record_rejection(response_head, status, replacement.path)
            replacement.path = ()
        self._cancel_sent_replacement()

    def _on_replacement_failed(self, replacement, failure):
        """Drops a replacement whose exchange failed."""
        targets = self._context.targets
        path = replacement.path
        first_target = path[0].target
        if not failure.was_sent:
            replacement.path = ()
        self._cancel_sent_replacement()
        if failure.was_refused:
            targets.mark_down(first_target, failure.reason, has_ended=True)
        targets.record_connection_lost(first_target)
        if failure.was_sent and not self._has_produced_output():
            self._record_early_failure(path)
        for stage in path:
            targets.probe_suspect(stage.target, failure.reason)

    def _adopt_replacement(self, replacement, attempt_may_have_started):
        """Makes a replacement the current attempt, and abandons that one."""
        self._replacement = None
        if attempt_may_have_started and not self._has_produced_output():
            is_down = self._context.targets.is_down
            self._record_early_failure(
                [stage for stage in self.path if is_down(stage.target)]
            )
        self._abandon_attempt(attempt_may_have_started)
        self._dispatch_key = replacement.dispatch_key
        self._exchange = replacement.exchange
        self._begin_attempt(replacement.path)
        self._down_reason = replacement.down_reason
        replacement.attempt_number = self._attempt_number

    def _has_sound_replacement(self):
        """Returns whether a replacement was sent that may answer soon."""
        replacement = self._replacement
        return replacement is not None and not (
            replacement.down_reason and self._has_target_down(replacement.path)
        )

    def _has_pending_replacement(self):
        """Returns whether a replacement is looked for, or was sent."""
        return (
            self._sought_replacement is not None
            or self._replacement is not None
        )

    def _cancel_replacement(self):
        """Ends the search for a replacement, and one that was sent."""
        self._cancel_search()
        self._cancel_sent_replacement()

    def _cancel_search(self):
        """Ends the search for a replacement."""
        if self._sought_replacement is not None:
            dispatch_key = self._sought_replacement.dispatch_key
            self._sought_replacement = None
            self._dispatcher.discard(dispatch_key)

    def _cancel_sent_replacement(self):
        """Cancels a replacement.

        Its first target counts against the attempts of the route if it may
        have started the request.
        """
        replacement = self._replacement
        if replacement is None:
            return
        self._replacement = None
        if replacement.exchange is not None:
            replacement.exchange.cancel()
        if replacement.path:
            self._started_at_targets.append(replacement.path[0].target)
        self._dispatcher.discard(replacement.dispatch_key)

    def _crash_state(self):
        return self._context.crash_evidence.state(self.digest)

    def _may_dispatch_again(self, is_lost):
        """Returns whether the request may be dispatched once more.

        Dispatches of needless replacements don't count once the run is lost.

        Args:
            is_lost: Whether its run is lost, instead of being silent.
        """
        dispatch_count = self._dispatch_count
        if is_lost:
            dispatch_count -= self._needless_dispatch_count
        max_dispatches = (
            MAX_EXTRA_DISPATCHES + self._admitted.route.max_targets
        )
        return dispatch_count < max_dispatches

    def _may_reroute(self, now_s):
        """Returns whether a silent attempt may be replaced by another."""
        min_retries = RETRIES_RESERVED_FOR_RESUMING
        if not self._event_count:
            min_retries += 1
        has_retries = self._retry_budget().remaining(now_s) >= min_retries
        has_dispatches = self._dispatch_count < MAX_EXTRA_DISPATCHES
        return has_retries and has_dispatches and self._may_run_again()

    def _may_spend_retry(self, now_s, is_lost):
        """Returns whether a retry is left for this stream.

        Args:
            now_s: Current time.
            is_lost: Whether its run is lost, instead of being silent.
        """
        min_retries = (
            1
            if self._event_count and is_lost
            else RETRIES_RESERVED_FOR_RESUMING
        )
        return self._retry_budget().remaining(now_s) >= min_retries

    def _spend_retry(self, now_s, is_lost):
        """Spends a retry, if one is left; see `_may_spend_retry`."""
        return self._may_spend_retry(
            now_s, is_lost
        ) and self._retry_budget().try_retry(now_s)

    def _wait_for_budget(self, reason, may_have_run, now_s):
        """Tries to reroute a stream with events again after a short delay.

        A request without events fails, and so does one whose caller has
        probably timed out.
        """
        silence_s = now_s - self._last_activity_s
        if not self._event_count or silence_s > RESUME_WINDOW_S:
            self._fail(f"{reason}; no repeats left", may_have_run)
            return
        self._call_after(
            RETRY_BUDGET_POLL_INTERVAL_S, self._reroute, reason, may_have_run
        )

    def _abandon_attempt(self, attempt_may_have_started):
        """Cancels the current attempt; it counts if it may have started."""
        if attempt_may_have_started and self.path:
            self._started_at_targets.append(self.path[0].target)
        self._cancel_attempt()

    def _cancel_attempt(self):
        """Cancels the current attempt, or the wait for its path or delay."""
        self._attempt_number += 1
        self._cancel_replacement()
        self.path = ()
        if self._exchange is not None:
            self._exchange.cancel()
            self._exchange = None
        self._dispatcher.discard(self._dispatch_key)
        if self._delay_timer is not None and self._delay_timer.active():
            self._delay_timer.cancel()
        self._delay_timer = None

    # Responses of targets

    def _on_head(self, attempt_number, status, headers):
        """Starts the response to the caller; keeps the head of an error."""
        if attempt_number != self._attempt_number or self._is_finished:
            return
        self._framing = self._exchange.framing
        response_head = self._context.adapter.decode_response_head(
            status, headers
        )
        if response_head.request_id not in ("", self.request_id):
            self._fail_attempt("another's answer")
            return
        if status == 200 and response_head.is_signed:
            if not response_head.is_unencoded:
                self._reroute("encoded answer")
                return
            self._record_activity(self._context.reactor.seconds())
            self._started_attempts += 1
            self._started_at_targets.append(self.path[0].target)
            self._is_streaming = True
            if not self._admitted.caller_request.is_response_started:
                self._admitted.caller_request.start_response(status, headers)
            return
        self._error_head = (status, headers)

    def _on_data(self, attempt_number, data):
        if attempt_number != self._attempt_number or self._is_finished:
            return
        if self._error_head is not None:
            self._error_body += data
            if len(self._error_body) > MAX_ERROR_BODY_BYTES:
                self._fail_attempt("error body too long")
            return
        for event in self._splitter.feed(data):
            if event.has_fields:
                self._forward(event)
            else:
                self._admitted.caller_request.write(event.raw)
        if self._splitter.buffered_bytes > MAX_EVENT_BYTES:
            self._fail_attempt("event too long")

    def _fail_attempt(self, reason):
        """Ends an attempt whose response cannot be used."""
        self._on_upstream_failure(
            self.path[0].target,
            http_exchange.ExchangeFailure(reason, was_sent=True),
        )

    def _forward(self, event):
        """Forwards an event that the caller has not received yet."""
        if event.event_id and not self._is_new_event(event.event_id):
            return
        now_s = self._context.reactor.seconds()
        if self._event_count:
            gap_s = now_s - self._last_activity_s
            if gap_s > self._longest_gap_s:
                self._longest_gap_s = gap_s
                self._longest_gap_after_event = self._event_count
        else:
            self._first_event_latency_s = (
                now_s - self._admitted.caller_request.received_at_s
            )
            request_context.FIRST_BYTE_LATENCY_S.labels("streaming").observe(
                self._first_event_latency_s
            )
            self._dispatcher.occupancy.record_prefill_done(self._dispatch_key)
            self._context.crash_evidence.record_first_data(self.digest)
        if not self._attempt_has_output:
            self._attempt_has_output = True
            self._context.crash_evidence.record_output(self.prompt_parts)
        self._record_activity(now_s)
        self._is_suspected = False
        self._event_count += 1
        if event.event_id:
            self._last_event_id = event.event_id
        self._update_reserved()
        self._admitted.caller_request.write(event.raw)

    def _record_activity(self, now_s):
        """Restarts the measurement of silence."""
        if self._replacement is not None:
            self._needless_dispatch_count += 1
        self._cancel_replacement()
        self._last_activity_s = now_s
        self._silent_checks = 0

    def _is_new_event(self, event_id):
        """Returns whether an event was not yet forwarded."""
        last_event_id = self._last_event_id
        if not (last_event_id.isdigit() and event_id.isdigit()):
            return True
        return int(event_id) > int(last_event_id)

    def _on_end(self, attempt_number, failure):
        """Handles the end of an exchange: a complete response or a failure."""
        if attempt_number != self._attempt_number or self._is_finished:
            return
        target = self.path[0].target
        if failure is None and self._error_head is None:
            failure = self._find_truncation()
            if failure is None and self._framing == "close":
                self._confirm_close(attempt_number, target)
                return
            if failure is None:
                self._complete(target)
                return
        if failure is not None:
            self._on_upstream_failure(target, failure)
            return
        status, headers = self._error_head
        response_head = self._context.adapter.decode_response_head(
            status, headers
        )
        if response_head.was_not_executed:
            self._on_target_rejected(response_head, status)
            return
        self._on_error_response(status, headers, response_head)

    def _confirm_close(self, attempt_number, first_target):
        """Completes or resumes a stream that ended with its connection."""
        now_s = self._context.reactor.seconds()
        path_targets = {stage.target.name: stage.target for stage in self.path}
        # They are asked now, and need no further probe.
        self._is_suspected = True
        doubt_end_s = None
        if self._close_check.is_doubtful(now_s, self._last_activity_s):
            doubt_end_s = now_s + RESUME_WINDOW_S
            self._seek_replacement(DOUBTFUL_CLOSE_REASON)
        self._confirm_end(
            attempt_number, first_target, path_targets, doubt_end_s
        )

    def _find_truncation(self):
        """Returns the failure of a stream that ended early, or None.

        The end of a connection shows only that no more data follows: a target
        that stops midway closes it as one that has sent everything.
        """
        reason = ""
        if self._splitter.is_inside_event:
            reason = "ended inside an event"
        elif self._framing == "close" and not self._has_produced_output():
            reason = "closed without an event"
        if not reason:
            return None
        return http_exchange.ExchangeFailure(reason, was_sent=True)

    def _confirm_end(
        self,
        attempt_number,
        first_target,
        unconfirmed,
        doubt_end_s,
        retry_delay_s=CONFIRMATION_RETRY_DELAY_S,
    ):
        """Completes a stream that no framing delimits, or resumes it.

        Args:
            attempt_number: Number of the attempt that has ended.
            first_target: Target that the attempt began at.
            unconfirmed: See `stream_end.confirm`.
            doubt_end_s: None if the answers of the targets complete the
                stream. Otherwise events may be missing, which a replacement
                shows; it is waited for until then.
            retry_delay_s: Pause before targets without proof are asked again.
        """

        def confirm_again(next_delay_s):
            self._call_after(
                retry_delay_s,
                self._confirm_end,
                attempt_number,
                first_target,
                unconfirmed,
                doubt_end_s,
                next_delay_s,
            )

        def on_result(lost_target, reason):
            if attempt_number != self._attempt_number or self._is_finished:
                return
            if lost_target is not None:
                self._fail_attempt(
                    f"closed as {lost_target.name} was lost: {reason}"
                )
            elif doubt_end_s is None:
                self._complete(first_target)
            elif (
                self._context.reactor.seconds() < doubt_end_s
                and self._has_pending_replacement()
            ):
                confirm_again(retry_delay_s)
            else:
                self._fail_attempt(DOUBTFUL_CLOSE_REASON)

        def on_silent(silent_target, reason, has_answered):
            if attempt_number != self._attempt_number or self._is_finished:
                return
            confirm_again(
                min(
                    retry_delay_s * (2 if has_answered else 1),
                    MAX_CONFIRMATION_RETRY_DELAY_S,
                )
            )
            self._seek_replacement(f"{silent_target.name}: {reason}")

        stream_end.confirm(
            self._context.targets, unconfirmed, on_result, on_silent
        )

    def _complete(self, target):
        """Ends the response after a stream that the target has completed."""
        self._context.targets.record_request_success(target)
        self._retry_budget().record_success(self._context.reactor.seconds())
        caller_request = self._admitted.caller_request
        trailing_blank_lines = self._splitter.rest()
        if trailing_blank_lines:
            caller_request.write(trailing_blank_lines)
        self._record_length()
        self._finish("ok")
        caller_request.finish_response()

    def _on_upstream_failure(self, target, failure):
        """Resumes after an exchange that failed, and probes its targets.

        A suspect first waits for the probes, which show whether it crashed
        another target.
        """
        if not self._is_streaming and failure.was_refused:
            attempt_number = self._attempt_number
            self._context.targets.mark_down(
                target, failure.reason, has_ended=True
            )
            if self.path and attempt_number == self._attempt_number:
                self._reroute(failure.reason, may_have_run=False)
            return
        path = self.path
        self._context.targets.record_connection_lost(target)
        is_suspect = self._crash_state() == "suspect"
        if not self._has_produced_output():
            self._record_early_failure(path)
        for stage in path:
            self._context.targets.probe_suspect(stage.target, failure.reason)
        if is_suspect and not self._has_produced_output():
            self._abandon_attempt(failure.was_sent)
            self._call_after(
                crashes.PROBE_WAIT_S,
                self._reroute,
                failure.reason,
                failure.was_sent,
            )
            return
        self._reroute(failure.reason, may_have_run=failure.was_sent)

    def _record_early_failure(self, path):
        """Records that an attempt on a path failed without output."""
        self._context.crash_evidence.record_early_failure(
            self.digest,
            self.request_id,
            [stage.target for stage in path],
            self.prompt_parts,
        )

    def _record_rejection(self, response_head, status, path):
        """Avoids and probes the target that turned a request down."""
        faulty_target = self._context.targets.find_by_address(
            response_head.failed_stage_address
        )
        faulty_target = faulty_target or path[0].target
        self._dispatcher.mark_full(
            faulty_target, fleet.is_uneven(self._admitted.service.engine)
        )
        self._context.targets.probe_suspect(
            faulty_target, f"turned down with {status}"
        )

    def _on_target_rejected(self, response_head, status):
        """Resumes on another path: a target is at fault or has no room."""
        self._record_rejection(response_head, status, self.path)
        self._reroute(
            f"turned down with {status}",
            may_have_run=self._started_attempts > 0,
            attempt_may_have_started=False,
        )

    def _on_error_response(self, status, headers, response_head):
        """Resumes after a server error, or forwards the error response."""
        caller_request = self._admitted.caller_request
        if status >= 500 and (
            self._replacement is not None or self._may_run_again()
        ):
            self._started_attempts += 1
            self._reroute(f"answered {status}")
            return
        if caller_request.is_response_started or not response_head.is_signed:
            self._fail(f"answered {status}", may_have_run=True)
            return
        body = bytes(self._error_body)
        self._finish(str(status))
        caller_request.respond(status, headers, body)

    # End of the request

    def _reject(self, retry_after_s, reason):
        """Responds that the caller may retry, as the request has not run."""
        self._respond_with_error(
            request_context.STATUS_SERVICE_UNAVAILABLE, reason, retry_after_s
        )

    def _respond_with_error(self, status, reason, retry_after_s=0.0):
        """Responds with an error of the gateway; no response was started."""
        self._close()
        request_context.respond_with_error(
            self._context, self._admitted, status, reason, retry_after_s
        )

    def _fail(self, reason, may_have_run, retry_after_s=0.5):
        """Ends the request without a complete response."""
        caller_request = self._admitted.caller_request
        if caller_request.is_response_started:
            self._finish("cut", reason)
            caller_request.abort()
            return
        if may_have_run or self._started_attempts:
            self._respond_with_error(
                request_context.STATUS_BAD_GATEWAY, reason
            )
        else:
            path_request = self._build_path_request(
                self._dispatch_key, 0.0, self._start_attempt, self._reject
            )
            self._reject(
                self._dispatcher.time_to_return_s(path_request, retry_after_s),
                reason,
            )

    def _reject_crashing_request(self, reason):
        """Rejects a request that crashes the targets that run it."""
        if self._admitted.caller_request.is_response_started:
            self._finish("cut", reason)
            self._admitted.caller_request.abort()
            return
        self._respond_with_error(crashes.CONDEMNED_STATUS, reason)

    def _on_deadline(self):
        was_sent = bool(self.path) or self._started_attempts > 0
        reason = "deadline passed"
        if self._admitted.caller_request.is_response_started:
            self._fail(reason, may_have_run=True)
            return
        status = request_context.STATUS_SERVICE_UNAVAILABLE
        if was_sent:
            status = request_context.STATUS_GATEWAY_TIMEOUT
        self._respond_with_error(status, reason)

    def _on_disconnect(self):
        if not self._is_finished:
            self._finish("caller left")

    def _finish(self, outcome, reason=""):
        """Ends the request and logs its outcome and its latencies."""
        path = self.path
        self._close()
        request_context.record_completion(
            self._context,
            self._admitted,
            outcome,
            reason,
            first_ms=round(self._first_event_latency_s * 1000),
            longest_gap_ms=round(self._longest_gap_s * 1000),
            longest_gap_at=self._longest_gap_after_event,
            events=self._event_count,
            runs=self._started_attempts,
            framing=self._framing,
            unfinished_bytes=self._splitter.buffered_bytes,
            path=[stage.target.name for stage in path],
        )

    def _close(self):
        """Cancels the attempt and all timers, and reports the end."""
        self._is_finished = True
        if self._deadline_timer.active():
            self._deadline_timer.cancel()
        self._cancel_attempt()
        self._on_finished(self)


def _is_on_path(target, path):
    return any(stage.target.name == target.name for stage in path)


def _silence_s(elapsed_s, check_count):
    """Returns how long an attempt is silent, less the time without checks."""
    checked_s = check_count * request_context.PROGRESS_CHECK_INTERVAL_S
    return min(elapsed_s, checked_s)
