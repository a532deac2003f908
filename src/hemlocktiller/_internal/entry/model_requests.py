"""A model request at an entry, across all of its attempts.

Messages of targets name their request and attempt; those of an abandoned
attempt are dropped. A retry resumes after the tokens received so far.
"""

from typing import Any

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.entry import base_request
from hemlocktiller._internal.entry import call_types
from hemlocktiller._internal.entry import request_context
from hemlocktiller._internal.entry import routes
from hemlocktiller._internal.observe import traces
from hemlocktiller._internal.policy import costs
from hemlocktiller._internal.policy import prefixes

PREEMPTED = "preempted"
SUSPECT_CONFLICT = "suspect_apart"
SUSPECT_CONFLICT_WAIT_S = 0.2
# Waits before the next attempt, for reasons that don't count as failures.
NON_FAILURE_WAITS_S = {
    PREEMPTED: 0.0,
    SUSPECT_CONFLICT: SUSPECT_CONFLICT_WAIT_S,
    base_request.STALE_CONFIG: base_request.STALE_CONFIG_WAIT_S,
}


class ModelRequest(base_request.BaseRequest):
    """State of a model request.

    Attributes:
        tokens: Tokens received so far, from all attempts.
    """

    _charges_lost_targets = False

    def __init__(
        self,
        context: request_context.RequestContext,
        call: call_types.ModelCall,
        sink: call_types.ResponseSink,
    ) -> None:
        super().__init__(context, call, sink.on_error)
        self.tokens: list[int] = []
        self._prompt_info = prefixes.describe(
            call.model,
            call.caller.workspace_view.workspace,
            call.prompt,
        )
        self._sink = sink
        self._ungranted_tokens = 0
        self._last_attempt_with_output = 0

    @property
    def has_output(self) -> bool:
        """Whether a target has begun to answer the request."""
        return bool(self.tokens)

    @property
    def prompt_parts(self) -> tuple[int, ...]:
        """Ids of the parts of the prompt."""
        return self._prompt_info.parts

    def start_next_attempt(self) -> None:
        """Chooses a route and sends the next attempt, if one may be sent."""
        if not self._prepare_attempt():
            return
        route = self._choose_route(self._excluded_targets)
        if route is None:
            self._on_no_route()
        else:
            self._send(route)

    def grant_credit(self, tokens: int) -> None:
        """Grants the target credit for tokens that the response consumed.

        Credit is sent in batches of at least a quarter of the initial credit.
        """
        self._ungranted_tokens += tokens
        min_grant_tokens = self._credit_tokens // 4
        link = self.target.link if self.target else None
        if link is None or self._ungranted_tokens < max(min_grant_tokens, 1):
            return
        link.send(
            {
                "type": "credit",
                **self._attempt_fields,
                "tokens": self._ungranted_tokens,
            }
        )
        self._ungranted_tokens = 0

    def on_message(self, message: Any) -> None:
        """Handles a message of a target, unless its attempt is stale."""
        if not self._is_current_attempt(message):
            return
        handlers = {
            "started": self._on_started,
            "refused": self._on_refused,
            "failed": self._on_failed,
            "finished": self._on_finished,
        }
        handlers[message["type"]](message)

    def on_tokens(self, token_run: Any) -> None:
        """Passes on new tokens and skips those received before.

        A gap in the tokens ends the attempt.

        Args:
            token_run: Consecutive tokens of the request, from a `tokens`
                message.
        """
        if not self._is_current_attempt(token_run):
            return
        duplicate_count = len(self.tokens) - token_run["first_index"]
        if duplicate_count < 0:
            self._retry_or_fail("gap")
            return
        self._context.targets.routing_state.circuit_breakers.record_success(
            self.target.name
        )
        if self._last_attempt_with_output != self.attempt_number:
            self._last_attempt_with_output = self.attempt_number
            self._context.part_evidence.record_output(self.prompt_parts)
        new_tokens = token_run["tokens"][duplicate_count:]
        self.tokens.extend(new_tokens)
        self._sink.on_tokens(new_tokens)

    def on_target_lost(self, reason: str) -> None:
        """Retries on another target after the link went down."""
        self._may_have_run = True
        self._record_target_failure()
        self._retry_or_fail(reason, target_died=True)

    @property
    def _remaining_output_tokens(self) -> float:
        """Expected number of tokens still to be generated, at least 1."""
        view = self.call.caller.workspace_view
        expected_tokens = self._context.estimator.output_tokens(
            view.workspace, self.call.max_tokens
        )
        return max(expected_tokens - len(self.tokens), 1.0)

    @property
    def _cost_tokens(self) -> float:
        context_words = self._prompt_info.word_count + len(self.tokens)
        return costs.actual_cost_tokens(
            context_words, self._remaining_output_tokens
        )

    @property
    def _credit_tokens(self) -> int:
        """Credit that each attempt starts with."""
        return self._context.settings["limits"]["stream_credit_tokens"]

    def _choose_route(self, excluded: set[str]) -> routes.Route | None:
        remaining_work = routes.RemainingWork(
            self._remaining_output_tokens, self._time_left_s
        )
        return routes.choose_model_route(
            self._context,
            self.call,
            self._prompt_info,
            remaining_work,
            excluded,
        )

    def _is_served_by(self, record: Any) -> bool:
        return record["model"] == self.call.model

    def _attempt_message(self, route: routes.Route) -> dict[str, Any]:
        view = self.call.caller.workspace_view
        self._ungranted_tokens = 0
        return {
            "type": "start",
            **self._attempt_fields,
            "workspace": view.workspace,
            "plan": view.plan["plan"],
            "model": self.call.model,
            "config_version": self.call.caller.config_version,
            "prompt": self.call.prompt,
            "max_tokens": self.call.max_tokens,
            "generated": self.tokens,
            "cost_tokens": self._cost_tokens,
            "worth": view.plan["worth"],
            "expires_in_s": self._time_left_s,
            "credit_tokens": self._credit_tokens,
            "chain": list(route.chain),
            "alternates": list(route.alternates),
            "digest": self.call.request_digest,
            "traceparent": traces.traceparent(self._span),
        }

    def _on_started(self, message: Any) -> None:
        self._may_have_run = True
        self._add_event("started", target=self.target.name)

    def _on_refused(self, message: Any) -> None:
        reason = message["reason"]
        self._add_event("refused", target=self.target.name, why=reason)
        if reason == exceptions.CrashesTargets.code:
            self._fail_as_crashing(base_request.CONDEMNED_PART)
            return
        self._retry_after_s = max(
            message["retry_after_s"], base_request.DEFAULT_RETRY_AFTER_S
        )
        self._release_target()
        if reason in NON_FAILURE_WAITS_S:
            self._schedule_attempt(NON_FAILURE_WAITS_S[reason])
            return
        self._excluded_targets.add(message["target"])
        self._retry_or_fail(reason)

    def _on_failed(self, message: Any) -> None:
        reason = message["reason"]
        self._may_have_run = True
        self._add_event("failed", target=self.target.name, why=reason)
        self._excluded_targets.update(message["dead_targets"])
        if reason in NON_FAILURE_WAITS_S:
            self._release_target()
            self._schedule_attempt(NON_FAILURE_WAITS_S[reason])
            return
        self._record_target_failure()
        self._retry_or_fail(reason, target_died=bool(message["dead_targets"]))

    def _on_finished(self, message: Any) -> None:
        if message["token_count"] != len(self.tokens):
            self._retry_or_fail("gap")
            return
        self._add_event("finished", tokens=len(self.tokens))
        self._context.estimator.record(
            self.call.caller.workspace_view.workspace,
            self.call.max_tokens,
            len(self.tokens),
        )
        self._finish_successfully()
        self._sink.on_end(
            call_types.Usage(
                message["prompt_token_count"],
                len(self.tokens),
                message["reason"],
            )
        )

    def _retry_or_fail(self, reason: str, target_died: bool = False) -> None:
        """Cancels the attempt, then retries or fails the request."""
        self._cancel_attempt()
        if self._consume_retry(reason, target_died):
            self._schedule_retry()
        else:
            self._fail_with_reason(reason)

    def _on_no_route(self) -> None:
        """Waits, retries with the excluded targets allowed, or fails."""
        if self._wait_for_silent_target():
            return
        if not self._excluded_targets or not self._consume_retry("no_target"):
            self._fail_with_reason("no_target")
            return
        self.attempt_number += 1
        self._excluded_targets.clear()
        self._schedule_retry()

    def _fail_with_reason(self, reason: str) -> None:
        """Fails the request with the error for a reason."""
        self._finish_with_error(self._error_for_reason(reason))

    def _error_for_reason(self, reason: str) -> exceptions.RequestError:
        wait_s = self._retry_after_s
        if self.tokens:
            return exceptions.Interrupted(
                f"the answer was cut off: {reason}", "yes", wait_s
            )
        if reason == "no_target":
            return exceptions.NoTarget(
                f"no target can serve {self.call.model} now",
                self._run_status,
                wait_s,
            )
        return exceptions.Overloaded(
            f"no target took the request: {reason}", self._run_status, wait_s
        )

    def _on_deadline(self) -> None:
        if self.target is not None:
            self._may_have_run = True
        self._cancel_attempt()
        self._finish_with_error(
            exceptions.DeadlineExceeded(
                "the plan's deadline passed",
                "yes" if self.tokens else self._run_status,
                base_request.DEFAULT_RETRY_AFTER_S,
            )
        )
