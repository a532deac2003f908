"""Runs the model requests whose first stage is at this agent.

The first stage runs the generation loop: it starts the next step with each
token that the last stage produced. Flow control is based on credit: it
streams tokens to the entry while the entry's credit lasts, then pauses.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.agent import engine_client
from hemlocktiller._internal.agent import pipeline as pipeline_module
from hemlocktiller._internal.agent import stage_runs
from hemlocktiller._internal.links import coalesce
from hemlocktiller._internal.links import link as link_module

PREEMPTED = "preempted"

SENT_TOKENS = prometheus_client.Counter(
    "hemlocktiller_tokens", "Tokens sent to entries"
)
STALLED_STREAMS = prometheus_client.Counter(
    "hemlocktiller_streams_stalled", "Times that a stream ran out of credit"
)
REQUEST_ENDS = prometheus_client.Counter(
    "hemlocktiller_head_ends",
    "Requests that ended here by outcome",
    ["outcome"],
)


class EndedRequest(NamedTuple):
    """A request that ended, with the number of tokens sent for it."""

    key: stage_runs.AttemptKey
    token_count: int


class FirstStageRequest:
    """State of a request at its first stage.

    Attributes:
        run: Run of the first stage.
        link: Link to the entry that sent the request.
        start_message: The entry's `start` message.
        tokens: Tokens generated so far, including in earlier attempts.
        sent_token_count: Tokens sent to the entry in this attempt.
        credit_tokens: Tokens that may be sent before the next grant.
        waiting_for_credit: Whether generation is paused until the entry
            grants credit.
        prompt_parts: Ids of the parts of the prompt.
    """

    def __init__(
        self,
        run: stage_runs.StageRun,
        link: link_module.Link,
        start_message: Any,
        prompt_parts: tuple[int, ...],
    ) -> None:
        self.run = run
        self.link = link
        self.start_message = start_message
        self.tokens: list[int] = list(start_message["generated"])
        self.sent_token_count = 0
        self.credit_tokens = start_message["credit_tokens"]
        self.waiting_for_credit = False
        self.prompt_parts = prompt_parts

    @property
    def next_token_index(self) -> int:
        """Index of the next token to generate."""
        return len(self.tokens)


class FirstStageRunner:
    """Runs the generation loop of all requests that start at this agent.

    Args:
        reactor: Twisted reactor.
        settings: Settings of the agent.
        on_done: Called with each request that ended.
        on_first_output: Called with the prompt parts of each request that
            has its first output.

    Attributes:
        requests_by_key: Open requests by request id and attempt number.
        pipeline: Pipeline of this agent; set after construction, as the
            pipeline needs `callbacks`.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        on_done: Callable[[EndedRequest], None],
        on_first_output: Callable[[tuple[int, ...]], None],
    ) -> None:
        self.requests_by_key: dict[
            stage_runs.AttemptKey, FirstStageRequest
        ] = {}
        self.pipeline: pipeline_module.Pipeline | None = None
        self._reactor = reactor
        self._settings = settings
        self._on_done = on_done
        self._on_first_output = on_first_output
        self._token_batches: dict[link_module.Link, coalesce.Coalescer] = {}

    def callbacks(self) -> pipeline_module.ChainCallbacks:
        """Returns the callbacks for the pipeline."""
        return pipeline_module.ChainCallbacks(
            self._on_opened, self._on_token, self._on_failed
        )

    def begin(
        self,
        start_message: Any,
        link: link_module.Link,
        prompt_parts: tuple[int, ...],
    ) -> None:
        """Starts a dequeued request; its stages are reserved first."""
        context = stage_runs.RequestContext(
            start_message["config_version"],
            0,
            self._reactor.seconds() + start_message["expires_in_s"],
            start_message["digest"],
            start_message["traceparent"],
        )
        run = stage_runs.StageRun(
            stage_runs.attempt_key(start_message),
            0,
            list(start_message["chain"]),
            start_message["alternates"],
            context,
            len(start_message["generated"]),
        )
        self.requests_by_key[run.key] = FirstStageRequest(
            run, link, start_message, prompt_parts
        )
        self.pipeline.open_first_stage(run)

    def prompts_without_output(self) -> list[tuple[int, ...]]:
        """Returns the prompt parts of requests that wait for their output.

        Only those now in the engine.
        """
        return [
            request.prompt_parts
            for request in self.requests_by_key.values()
            if request.run.engine_busy and not request.tokens
        ]

    def on_credit(self, link: link_module.Link, message: Any) -> None:
        """Adds credit to a stream and resumes it if it was paused."""
        request = self.requests_by_key.get(stage_runs.attempt_key(message))
        if request is None:
            return
        request.credit_tokens += message["tokens"]
        if request.waiting_for_credit:
            request.waiting_for_credit = False
            self._run_next_token(request)

    def cancel(self, key: stage_runs.AttemptKey) -> None:
        """Stops a request that was cancelled."""
        if key in self.requests_by_key:
            self._remove_ended(key, "cancelled")
            self.pipeline.close(key)

    def preempt(self, key: stage_runs.AttemptKey) -> None:
        """Stops a request whose slot a plan below its share needs.

        The entry resumes the request after the tokens that it received.
        """
        request = self._remove_ended(key, "preempted")
        if request is None:
            return
        self._flush_tokens(request.link)
        _send(request.link, _failed_message(request, PREEMPTED))
        self.pipeline.close(key)

    def cancel_for_link(self, link: link_module.Link) -> None:
        """Cancels the requests of an entry whose link is lost."""
        self._token_batches.pop(link, None)
        keys = [
            key
            for key, request in self.requests_by_key.items()
            if request.link is link
        ]
        for key in keys:
            self.cancel(key)

    def _on_opened(self, run: stage_runs.StageRun) -> None:
        """Starts the generation, as all stages are reserved."""
        request = self.requests_by_key.get(run.key)
        if request is None:
            return
        _send(request.link, {"type": "started", **run.attempt_fields})
        data = engine_client.encode_prompt_input(
            request.start_message["prompt"], request.tokens
        )
        self.pipeline.run_token(
            run, request.next_token_index, data, starts_sequence=True
        )

    def _on_token(
        self,
        run: stage_runs.StageRun,
        token_index: int,
        output: engine_client.Output,
    ) -> None:
        """Sends a token to the entry and runs the next one, if any."""
        request = self.requests_by_key.get(run.key)
        if request is None or token_index != request.next_token_index:
            return
        request.tokens.append(output.token)
        request.sent_token_count += 1
        request.credit_tokens -= 1
        SENT_TOKENS.inc()
        if request.sent_token_count == 1:
            self._on_first_output(request.prompt_parts)
        self._token_batch(request.link).add((run, token_index, output.token))
        if output.final:
            self._finish(request, "stop")
        elif request.next_token_index >= request.start_message["max_tokens"]:
            self._finish(request, "length")
        elif request.credit_tokens > 0:
            self._run_next_token(request)
        else:
            request.waiting_for_credit = True
            STALLED_STREAMS.inc()

    def _run_next_token(self, request: FirstStageRequest) -> None:
        data = engine_client.encode_token_input(request.tokens[-1])
        self.pipeline.run_token(
            request.run, request.next_token_index, data, starts_sequence=False
        )

    def _on_failed(self, run: stage_runs.StageRun, reason: str) -> None:
        """Reports a failed chain; as a refusal if nothing can have run."""
        request = self._remove_ended(run.key, "failed")
        if request is None:
            return
        self._flush_tokens(request.link)
        if run.may_have_run:
            _send(request.link, _failed_message(request, reason))
        else:
            _send(
                request.link,
                stage_runs.refusal_message(
                    run.attempt_fields, reason, run.stage["target"]
                ),
            )

    def _finish(self, request: FirstStageRequest, reason: str) -> None:
        """Reports a completed request and releases its stages."""
        self._remove_ended(request.run.key, "finished")
        self._flush_tokens(request.link)
        message = {
            "type": "finished",
            **request.run.attempt_fields,
            "token_count": len(request.tokens),
            "prompt_token_count": len(request.start_message["prompt"].split()),
            "reason": reason,
        }
        _send(request.link, message)
        self.pipeline.close(request.run.key)

    def _remove_ended(
        self, key: stage_runs.AttemptKey, outcome: str
    ) -> FirstStageRequest | None:
        """Removes a request that ended and passes it to `on_done`."""
        request = self.requests_by_key.pop(key, None)
        if request is not None:
            REQUEST_ENDS.labels(outcome).inc()
            self._on_done(EndedRequest(key, request.sent_token_count))
        return request

    def _token_batch(self, link: link_module.Link) -> coalesce.Coalescer:
        """Returns the batch of tokens to send on a link."""
        batch = self._token_batches.get(link)
        if batch is None:
            batch = coalesce.Coalescer(
                self._reactor,
                self._settings["links"]["coalesce_s"],
                lambda items: _send(
                    link, {"type": "tokens", "runs": _group_tokens(items)}
                ),
            )
            self._token_batches[link] = batch
        return batch

    def _flush_tokens(self, link: link_module.Link) -> None:
        """Sends the batched tokens, so that they precede a final message."""
        batch = self._token_batches.get(link)
        if batch is not None:
            batch.flush()


def _failed_message(request: FirstStageRequest, reason: str) -> dict[str, Any]:
    return {
        "type": "failed",
        **request.run.attempt_fields,
        "reason": reason,
        "ran": "yes" if request.tokens else "unknown",
        "token_count": len(request.tokens),
        "dead_targets": sorted(request.run.dead_targets),
    }


def _group_tokens(items: list[Any]) -> list[dict[str, Any]]:
    """Groups tokens by stream, keeping the index of each first token."""
    groups: dict[stage_runs.AttemptKey, dict[str, Any]] = {}
    for run, token_index, token in items:
        if run.key in groups:
            groups[run.key]["tokens"].append(token)
            continue
        groups[run.key] = {
            **run.attempt_fields,
            "first_index": token_index,
            "tokens": [token],
        }
    return list(groups.values())


def _send(link: link_module.Link, message: Any) -> None:
    """Sends a message, or drops it if the link is down."""
    try:
        link.send(message)
    except exceptions.LinkDown:
        return
