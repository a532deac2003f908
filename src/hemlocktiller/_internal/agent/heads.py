"""Runs the model requests whose first stage is at this agent.

The first stage feeds each token back into the chain. It sends tokens to
the entry as long as the entry has granted credit, and then pauses.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.agent import engine as engine_module
from hemlocktiller._internal.agent import pipeline as pipeline_module
from hemlocktiller._internal.agent import runs
from hemlocktiller._internal.links import coalesce
from hemlocktiller._internal.links import link as link_module

PREEMPTED = "preempted"

TOKENS = prometheus_client.Counter(
    "hemlocktiller_tokens", "Tokens sent to entries"
)
STALLED = prometheus_client.Counter(
    "hemlocktiller_streams_stalled", "Times that a stream ran out of credit"
)
HEAD_ENDS = prometheus_client.Counter(
    "hemlocktiller_head_ends",
    "Requests that ended here by outcome",
    ["outcome"],
)


class Done(NamedTuple):
    """How a request ended at its first stage."""

    key: runs.Key
    token_count: int


class Head:
    """State of a request at its first stage."""

    def __init__(
        self, run: runs.Run, link: link_module.Link, start: Any
    ) -> None:
        self.run = run
        self.link = link
        self.start = start
        self.tokens: list[int] = list(start["generated"])
        self.sent = 0
        self.credit = start["credit_tokens"]
        self.stalled = False

    @property
    def next_index(self) -> int:
        """Index of the token that comes next."""
        return len(self.tokens)


class Heads:
    """The requests whose first stage is here, by request and attempt."""

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        on_done: Callable[[Done], None],
    ) -> None:
        self.heads: dict[runs.Key, Head] = {}
        self.pipeline: pipeline_module.Pipeline | None = None
        self._reactor = reactor
        self._settings = settings
        self._on_done = on_done
        self._batches: dict[link_module.Link, coalesce.Coalescer] = {}

    def events(self) -> pipeline_module.Events:
        """Returns what the pipeline has to call."""
        return pipeline_module.Events(
            self._on_opened, self._on_token, self._on_failed
        )

    def begin(self, start: Any, link: link_module.Link) -> None:
        """Reserves the chain of a request that left the queue."""
        terms = runs.Terms(
            start["config_version"],
            0,
            self._reactor.seconds() + start["expires_in_s"],
            start["digest"],
            start["traceparent"],
        )
        run = runs.Run(
            runs.place_of(start),
            0,
            list(start["chain"]),
            start["alternates"],
            terms,
            len(start["generated"]),
        )
        self.heads[run.key] = Head(run, link, start)
        self.pipeline.open_head(run)

    def on_credit(self, link: link_module.Link, message: Any) -> None:
        """Grants a stream more tokens."""
        head = self.heads.get(runs.place_of(message))
        if head is None:
            return
        head.credit += message["tokens"]
        if head.stalled:
            head.stalled = False
            self._feed_next(head)

    def cancel(self, key: runs.Key) -> None:
        """Stops a request that is no longer wanted."""
        if key in self.heads:
            self._end(key, "cancelled")
            self.pipeline.close(key)

    def preempt(self, key: runs.Key) -> None:
        """Stops a request so that its place goes back to its owner.

        The entry resumes it after the tokens that it has.
        """
        head = self._end(key, "preempted")
        if head is None:
            return
        self._flush(head.link)
        _send(head.link, _failed(head, PREEMPTED))
        self.pipeline.close(key)

    def drop_link(self, link: link_module.Link) -> None:
        """Stops the requests of an entry that is gone."""
        self._batches.pop(link, None)
        keys = [key for key, head in self.heads.items() if head.link is link]
        for key in keys:
            self.cancel(key)

    def _on_opened(self, run: runs.Run) -> None:
        head = self.heads.get(run.key)
        if head is None:
            return
        _send(head.link, {"type": "started", **run.place})
        data = engine_module.prompt_data(head.start["prompt"], head.tokens)
        self.pipeline.feed(run, head.next_index, data, first=True)

    def _on_token(
        self, run: runs.Run, index: int, output: engine_module.Output
    ) -> None:
        head = self.heads.get(run.key)
        if head is None or index != head.next_index:
            return
        head.tokens.append(output.token)
        head.sent += 1
        head.credit -= 1
        TOKENS.inc()
        self._batch(head.link).add((run, index, output.token))
        if output.final:
            self._finish(head, "stop")
        elif head.next_index >= head.start["max_tokens"]:
            self._finish(head, "length")
        elif head.credit > 0:
            self._feed_next(head)
        else:
            head.stalled = True
            STALLED.inc()

    def _feed_next(self, head: Head) -> None:
        data = engine_module.token_data(head.tokens[-1])
        self.pipeline.feed(head.run, head.next_index, data, first=False)

    def _on_failed(self, run: runs.Run, reason: str) -> None:
        head = self._end(run.key, "failed")
        if head is None:
            return
        self._flush(head.link)
        if run.fed:
            _send(head.link, _failed(head, reason))
        else:
            _send(
                head.link, runs.refusal(run.place, reason, run.stage["target"])
            )

    def _finish(self, head: Head, reason: str) -> None:
        self._end(head.run.key, "finished")
        self._flush(head.link)
        message = {
            "type": "finished",
            **head.run.place,
            "token_count": len(head.tokens),
            "prompt_token_count": len(head.start["prompt"].split()),
            "reason": reason,
        }
        _send(head.link, message)
        self.pipeline.close(head.run.key)

    def _end(self, key: runs.Key, outcome: str) -> Head | None:
        head = self.heads.pop(key, None)
        if head is not None:
            HEAD_ENDS.labels(outcome).inc()
            self._on_done(Done(key, head.sent))
        return head

    def _batch(self, link: link_module.Link) -> coalesce.Coalescer:
        batch = self._batches.get(link)
        if batch is None:
            batch = coalesce.Coalescer(
                self._reactor,
                self._settings["links"]["coalesce_s"],
                lambda items: _send(
                    link, {"type": "tokens", "runs": _token_runs(items)}
                ),
            )
            self._batches[link] = batch
        return batch

    def _flush(self, link: link_module.Link) -> None:
        batch = self._batches.get(link)
        if batch is not None:
            batch.flush()


def _failed(head: Head, reason: str) -> dict[str, Any]:
    return {
        "type": "failed",
        **head.run.place,
        "reason": reason,
        "ran": "yes" if head.tokens else "unknown",
        "token_count": len(head.tokens),
        "dead_targets": sorted(head.run.dead),
    }


def _token_runs(items: list[Any]) -> list[dict[str, Any]]:
    """Joins consecutive tokens of a stream into one run."""
    found: dict[runs.Key, dict[str, Any]] = {}
    for run, index, token in items:
        if run.key in found:
            found[run.key]["tokens"].append(token)
            continue
        found[run.key] = {**run.place, "first_index": index, "tokens": [token]}
    return list(found.values())


def _send(link: link_module.Link, message: Any) -> None:
    try:
        link.send(message)
    except exceptions.LinkDown:
        return
