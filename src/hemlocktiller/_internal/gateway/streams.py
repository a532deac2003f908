"""Relays one stream, and goes on at other targets when a stage is lost."""

from typing import Any

from hemlocktiller._internal.gateway import crashes
from hemlocktiller._internal.gateway import dispatcher as dispatcher_module
from hemlocktiller._internal.gateway import request_context
from hemlocktiller._internal.gateway import sse
from hemlocktiller._internal.gateway import upstream
from hemlocktiller._internal.gateway import wire as wire_module
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import admission
from hemlocktiller._internal.policy import attempts
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import fleet

# A stream that shows nothing for this long makes its targets suspect; it is
# several events at the slowest accelerator under load.
SILENCE_TO_SUSPECT_S = 0.35
# The first event also waits for other prompts to be read.
FIRST_SILENCE_TO_SUSPECT_S = 0.6
# Callers give up after two seconds of silence; a new run needs the rest.
SILENCE_TO_MOVE_S = 1.1
# A new path for a stream is looked for until the caller will have left.
RESUME_WINDOW_S = 1.6
# Offers that a target turned down before running; more rarely find room.
OFFERS_MAX = 4
# Repeats that only streams in progress may spend: the work of those is lost,
# while one that has not begun can be told to come back.
RETRIES_KEPT = 3
# Repeats are allowed anew as others succeed, several times a second.
BUDGET_WAIT_S = 0.15
LONGEST_QUEUE_WAIT_S = admission.LONGEST_WAIT_S


class Stream:
    """State of one streaming request.

    Attributes:
        path: Stages of the current run; empty while there is none.
        digest: What the request is known by when it comes again.
        request_id: Its id; each attempt of the caller has its own.
    """

    def __init__(
        self,
        context: request_context.RequestContext,
        dispatcher: dispatcher_module.Dispatcher,
        admitted: request_context.AdmittedRequest,
        on_over: Any,
    ) -> None:
        self.path: fleet.Path = ()
        self._context = context
        self._dispatcher = dispatcher
        self._admitted = admitted
        self._on_over = on_over
        self.digest = request_context.request_digest(admitted)
        self.request_id = admitted.parsed_headers.request_id
        self._key = f"{id(self):x}/{self.request_id}"
        self._exchange: upstream.Exchange | None = None
        self._splitter = sse.EventSplitter()
        self._last_event_id = admitted.parsed_headers.last_event_id
        self._events = 0
        self._runs = 0
        self._offers = 0
        self._began_at: list[fleet.Target] = []
        self._run = 0
        self._longest_gap_s = 0.0
        self._longest_gap_at = 0
        self._first_s = 0.0
        self._is_streaming = False
        self._failure: tuple[int, wire_module.Headers] | None = None
        self._failure_body: list[bytes] = []
        self._heard_s = 0.0
        self._silent_checks = 0
        self._suspected = False
        self._over = False
        self._waiting: Any = None
        caller = admitted.caller_request
        caller.on_disconnect = self._gone
        left_s = (
            request_context.request_deadline_s(admitted)
            - context.reactor.seconds()
        )
        self._timer = context.reactor.callLater(max(0.0, left_s), self._expire)

    def start(self) -> None:
        """Looks for a path, unless the request is known to crash targets."""
        if self._over:
            return
        if self._is_held_back(self.start):
            return
        self._dispatcher.submit(self._job(LONGEST_QUEUE_WAIT_S, self._refuse))

    def check_progress(self, now_s: float) -> None:
        """Notices silence; called every `serving.CHECK_INTERVAL_S`.

        The socket is read between two checks. In a process that is held up
        checks come late, and what it has not read yet is no silence.
        """
        if not self.path or self._over:
            return
        self._silent_checks += 1
        silent_s = min(
            now_s - self._heard_s,
            self._silent_checks * request_context.PROGRESS_CHECK_INTERVAL_S,
        )
        limit_s = (
            SILENCE_TO_SUSPECT_S
            if self._is_streaming
            else FIRST_SILENCE_TO_SUSPECT_S
        )
        if silent_s > limit_s and not self._suspected:
            self._suspected = True
            for stage in self.path:
                self._context.targets.suspect(stage.target, "silent stream")
        if silent_s > SILENCE_TO_MOVE_S and self._may_move(now_s):
            self._move("silence")

    def on_target_down(self, target: Any, reason: str) -> None:
        """Moves away from a target that is down."""
        if self._runs_at(target):
            self._move(f"{target.name} is down: {reason}")

    def awaits_output_from(self, target: fleet.Target) -> bool:
        """Tells whether no target has shown that it survives the request."""
        return self._runs_at(target) and not self._is_proven()

    def _runs_at(self, target):
        return any(stage.target.name == target.name for stage in self.path)

    def _is_proven(self):
        """Tells whether a target has run a part of the request, and lived."""
        return self._events > 0 or self._last_event_id != ""

    def _is_held_back(self, proceed, *arguments):
        """Ends a request that crashes targets; waits for open evidence."""
        state = self._context.crashes.state(self.digest)
        if state == "condemned":
            self._condemned()
        elif state == "undecided":
            self._wait(crashes.DECISION_S, proceed, *arguments)
        return state in ("condemned", "undecided")

    def _wait(self, wait_s, proceed, *arguments):
        self._waiting = self._context.reactor.callLater(
            wait_s, proceed, *arguments
        )

    # Runs

    def _job(self, wait_s, refuse):
        admitted = self._admitted
        asked = admitted.parsed_headers
        now_s = self._context.reactor.seconds()
        engine = admitted.service.engine
        expected = asked.expected_output_tokens or asked.max_output_tokens
        deadline_s = min(
            request_context.request_deadline_s(admitted), now_s + wait_s
        )
        item = fair_queue.Item(
            self._key,
            f"priority {admitted.priority}",
            admitted.workspace,
            asked.prompt_tokens + expected,
            1.0,
            deadline_s,
        )
        need = dispatcher_module.estimate_demand(
            asked.prompt_tokens, expected, engine
        )
        return dispatcher_module.PathRequest(
            self.request_id,
            item,
            admitted.service,
            need,
            self._start_attempt,
            refuse,
            self._first_targets(),
        )

    def _first_targets(self):
        """Returns where a run must begin, once all attempts are taken."""
        return attempts.first_targets(
            self._admitted.route.allowance,
            self._began_at,
            self._context.targets.is_down,
        )

    def _start_attempt(self, choice):
        if self._over:
            self._dispatcher.discard(self._key)
            return
        context = self._context
        now_s = context.reactor.seconds()
        admitted = self._admitted
        self.path = choice.path
        self._run += 1
        self._offers += 1
        self._hear(now_s)
        self._suspected = False
        self._splitter = sse.EventSplitter()
        self._failure = None
        self._failure_body = []
        events.emit(
            "dispatch",
            request=self.request_id,
            run=self._run,
            path=[
                [s.target.name, s.first_layer, s.end_layer]
                for s in choice.path
            ],
            first_ms=round(choice.first_event_ms),
            waited_ms=round(
                (now_s - admitted.caller_request.received_at_s) * 1000
            ),
            after_event=self._last_event_id,
            config=admitted.config_version,
        )
        run = self._run
        self._exchange = request_context.send_to_target(
            context,
            admitted,
            choice.path[0].target,
            upstream.Events(
                lambda status, answer: self._on_head(run, status, answer),
                lambda data: self._on_data(run, data),
                lambda failed: self._on_end(run, failed),
            ),
            choice.path,
            self._last_event_id,
        )

    def _may_run_again(self):
        allowance = self._admitted.route.allowance
        if not attempts.may_run_again(allowance, self._runs):
            return False
        return self._budget().remaining(self._context.reactor.seconds()) >= 1

    def _budget(self):
        return self._context.retry_budget_for(self._admitted.service.name)

    def _move(self, reason, ran=True, may_have_begun=True):
        """Gives the current run up and goes on at another path.

        Args:
            reason: Why, for logs.
            ran: Whether the request may have run by now.
            may_have_begun: Whether this run may have begun; a target may
                begin it in the moment in which it is given up.
        """
        self._give_up_run(ran and may_have_begun)
        if self._is_held_back(self._move, reason, ran):
            return
        admitted = self._admitted
        now_s = self._context.reactor.seconds()
        can_repeat = admitted.route.may_repeat or not ran
        if self._offers >= OFFERS_MAX + admitted.route.attempts:
            can_repeat = False
        if not can_repeat:
            self._fail(reason, ran)
            return
        if not self._spend_retry(now_s):
            self._wait_for_budget(reason, ran, now_s)
            return
        events.emit(
            "resume",
            request=self.request_id,
            reason=reason,
            after_event=self._last_event_id,
            silent_ms=round((now_s - self._heard_s) * 1000),
        )
        self._dispatcher.submit_resumed(
            self._job(
                RESUME_WINDOW_S,
                lambda retry_s, why: self._fail(why, self._runs > 0, retry_s),
            )
        )

    def _may_move(self, now_s):
        """Tells whether a silent run may be given up for another."""
        kept = 0 if self._events else RETRIES_KEPT
        has_repeats = self._budget().remaining(now_s) >= kept + 1
        has_offers = self._offers < OFFERS_MAX
        return has_repeats and has_offers and self._may_run_again()

    def _spend_retry(self, now_s):
        """Spends a repeat; streams in progress have the last ones."""
        budget = self._budget()
        if not self._events and budget.remaining(now_s) < RETRIES_KEPT:
            return False
        return budget.try_retry(now_s)

    def _wait_for_budget(self, reason, ran, now_s):
        """Tries a stream in progress again, until its caller has left."""
        waited_s = now_s - self._heard_s
        if not self._events or waited_s > RESUME_WINDOW_S:
            self._fail(f"{reason}; no repeats left", ran)
            return
        self._wait(BUDGET_WAIT_S, self._move, reason, ran)

    def _give_up_run(self, may_have_begun):
        """Drops the current run; its first target counts as an attempt."""
        if may_have_begun and self.path:
            self._began_at.append(self.path[0].target)
        self._drop_run()

    def _drop_run(self):
        self._run += 1
        self.path = ()
        if self._exchange is not None:
            self._exchange.cancel()
            self._exchange = None
        self._dispatcher.discard(self._key)
        if self._waiting is not None and self._waiting.active():
            self._waiting.cancel()
        self._waiting = None

    # Answers of targets

    def _on_head(self, run, status, headers):
        if run != self._run or self._over:
            return
        answered = self._context.wire.read_answer(status, headers)
        self._hear(self._context.reactor.seconds())
        is_own = answered.request_id in ("", self.request_id)
        if status == 200 and answered.is_signed and is_own:
            if not answered.is_plain:
                self._move("encoded answer")
                return
            self._runs += 1
            self._began_at.append(self.path[0].target)
            self._is_streaming = True
            if not self._admitted.caller_request.is_response_started:
                self._admitted.caller_request.start_response(status, headers)
            return
        self._failure = (status, headers)

    def _on_data(self, run, data):
        if run != self._run or self._over:
            return
        if self._failure is not None:
            self._failure_body.append(data)
            return
        for event in self._splitter.feed(data):
            self._forward(event)

    def _forward(self, event):
        if event.event_id and not self._is_next(event.event_id):
            return
        now_s = self._context.reactor.seconds()
        if self._events:
            gap_s = now_s - self._heard_s
            if gap_s > self._longest_gap_s:
                self._longest_gap_s = gap_s
                self._longest_gap_at = self._events
        else:
            self._first_s = now_s - self._admitted.caller_request.received_at_s
            request_context.FIRST_BYTE_LATENCY_S.labels("streaming").observe(
                self._first_s
            )
            self._dispatcher.occupancy.began(self._key)
            self._context.crashes.began(self.digest)
        self._hear(now_s)
        self._suspected = False
        self._events += 1
        if event.event_id:
            self._last_event_id = event.event_id
        self._admitted.caller_request.write(event.raw)

    def _hear(self, now_s):
        """Begins to count silence anew."""
        self._heard_s = now_s
        self._silent_checks = 0

    def _is_next(self, event_id):
        """Tells whether an event was not yet passed on."""
        last = self._last_event_id
        if not (last.isdigit() and event_id.isdigit()):
            return True
        return int(event_id) > int(last)

    def _on_end(self, run, failed):
        if run != self._run or self._over:
            return
        target = self.path[0].target
        if failed is None and self._failure is None:
            self._whole(target)
            return
        if failed is not None:
            self._broken(target, failed)
            return
        status, headers = self._failure
        answered = self._context.wire.read_answer(status, headers)
        if answered.not_run:
            self._turned_down(answered, status)
            return
        self._answered_failure(status, headers, answered)

    def _whole(self, target):
        self._context.targets.succeeded(target)
        self._budget().record_success(self._context.reactor.seconds())
        caller = self._admitted.caller_request
        rest = self._splitter.buffer
        if rest:
            caller.write(rest)
        self._finish("ok")
        caller.finish_response()

    def _broken(self, target, failed):
        if not self._is_streaming and failed.was_refused:
            self._context.targets.mark_down(target, failed.reason)
            if self.path:
                self._move(failed.reason, ran=False)
            return
        path = self.path
        is_suspect = self._context.crashes.state(self.digest) == "suspect"
        if not self._is_proven():
            self._context.crashes.broke(
                self.digest,
                self.request_id,
                [stage.target for stage in path],
            )
        for stage in path:
            self._context.targets.suspect(stage.target, failed.reason)
        if is_suspect and not self._is_proven():
            self._give_up_run(failed.was_sent)
            self._wait(
                crashes.VERDICT_S, self._move, failed.reason, failed.was_sent
            )
            return
        self._move(failed.reason, ran=failed.was_sent)

    def _turned_down(self, answered, status):
        """Goes elsewhere: a stage is at fault, or has no room."""
        fault = self._context.targets.at(answered.fault_at)
        fault = fault or self.path[0].target
        self._dispatcher.mark_full(fault)
        self._context.targets.suspect(fault, f"turned down with {status}")
        self._move(
            f"turned down with {status}",
            ran=self._runs > 0,
            may_have_begun=False,
        )

    def _answered_failure(self, status, headers, answered):
        caller = self._admitted.caller_request
        if self._may_run_again() and status >= 500:
            self._runs += 1
            self._move(f"answered {status}")
            return
        if caller.is_response_started or not answered.is_signed:
            self._fail(f"answered {status}", ran=True)
            return
        body = b"".join(self._failure_body)
        self._finish(str(status))
        caller.respond(status, headers, body)

    # Ends

    def _refuse(self, retry_after_s, reason):
        self._end(
            request_context.STATUS_SERVICE_UNAVAILABLE, reason, retry_after_s
        )

    def _end(self, status, reason, retry_after_s=0.0):
        """Answers with a failure of our own; no answer was begun."""
        self._close()
        request_context.respond_with_error(
            self._context, self._admitted, status, reason, retry_after_s
        )

    def _fail(self, reason, ran, retry_after_s=0.5):
        """Ends the request without a whole answer."""
        caller = self._admitted.caller_request
        if caller.is_response_started:
            self._finish("cut", reason)
            caller.abort()
            return
        if ran or self._runs:
            self._end(request_context.STATUS_BAD_GATEWAY, reason)
        else:
            self._refuse(retry_after_s, reason)

    def _condemned(self):
        """Ends a request that crashes the targets that run it."""
        reason = crashes.REASON_CONDEMNED
        if self._admitted.caller_request.is_response_started:
            self._finish("cut", reason)
            self._admitted.caller_request.abort()
            return
        self._end(crashes.STATUS_CONDEMNED, reason)

    def _expire(self):
        was_sent = bool(self.path) or self._runs > 0
        reason = "deadline passed"
        if self._admitted.caller_request.is_response_started:
            self._fail(reason, ran=True)
            return
        status = request_context.STATUS_SERVICE_UNAVAILABLE
        if was_sent:
            status = request_context.STATUS_GATEWAY_TIMEOUT
        self._end(status, reason)

    def _gone(self):
        if not self._over:
            self._finish("caller left")

    def _finish(self, outcome, reason=""):
        path = self.path
        self._close()
        request_context.record_completion(
            self._context,
            self._admitted,
            outcome,
            reason,
            first_ms=round(self._first_s * 1000),
            longest_gap_ms=round(self._longest_gap_s * 1000),
            longest_gap_at=self._longest_gap_at,
            events=self._events,
            runs=self._runs,
            path=[stage.target.name for stage in path],
        )

    def _close(self):
        self._over = True
        if self._timer.active():
            self._timer.cancel()
        self._drop_run()
        self._on_over(self)
