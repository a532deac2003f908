"""Runs this agent's pipeline stage for many requests at once.

A chain is the ordered list of stages that a model request passes through.
A run is one attempt of a request at one stage. A hop carries the input for
one token to the next stage and names the request, the attempt, the token
and the first layer to run. Hops are idempotent: a stage runs each token
once. It answers a repeat of the hop for its newest output with that output
and ignores all other repeats.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import prometheus_client
from twisted.internet import defer
from twisted.python import failure

from hemlocktiller._internal.agent import engine_client
from hemlocktiller._internal.agent import next_stages
from hemlocktiller._internal.agent import outbox
from hemlocktiller._internal.agent import peers as peers_module
from hemlocktiller._internal.agent import recorder as recorder_module
from hemlocktiller._internal.agent import stage_runs
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.observe import traces

REPLACED = "replaced"
NON_RETRYABLE_REASONS = (
    next_stages.NO_ALTERNATE,
    next_stages.SUSPECT_CONFLICT,
    next_stages.CRASHES_TARGETS,
    REPLACED,
)

REPEATED_HOPS = prometheus_client.Counter(
    "hemlocktiller_hops_repeated", "Hops that came again for a token"
)
REBUILT_TOKENS = prometheus_client.Counter(
    "hemlocktiller_tokens_rebuilt", "Tokens whose cache was rebuilt"
)


class ChainCallbacks(NamedTuple):
    """Callbacks for the requests whose first stage runs at this agent.

    Attributes:
        on_opened: All later stages are reserved.
        on_token: The last stage produced the token with this index.
        on_failed: The chain failed for this reason.
    """

    on_opened: Callable[[stage_runs.StageRun], None]
    on_token: Callable[[stage_runs.StageRun, int, engine_client.Output], None]
    on_failed: Callable[[stage_runs.StageRun, str], None]


class WaitingOpen(NamedTuple):
    """An `open` message that waits, and the link it came on."""

    link: link_module.Link
    message: Any


class Pipeline:
    """Runs the local stage and exchanges messages with its neighbours.

    Args:
        reactor: Twisted reactor.
        engine: Client of the engine that runs the layers.
        peers: Links to other agents.
        refusal_reason: Returns why an `open` message must be refused, or an
            empty string.
        may_go_on: Returns whether the request with a digest may go on
            without a decision of its entry, by the evidence of crashes.
        callbacks: Callbacks for the requests that start at this agent.
        recorder: Records the events and spans of runs.

    Attributes:
        runs: Open runs by request id and attempt number.
    """

    def __init__(
        self,
        reactor: Any,
        engine: engine_client.EngineClient,
        peers: peers_module.Peers,
        refusal_reason: Callable[[Any], str],
        may_go_on: Callable[[int], bool],
        callbacks: ChainCallbacks,
        recorder: recorder_module.Recorder,
    ) -> None:
        self.runs: dict[stage_runs.AttemptKey, stage_runs.StageRun] = {}
        # Attempts released during a call of the engine, each with the newest
        # `open` message that waits for the end of that call.
        self._released_in_engine: dict[
            stage_runs.AttemptKey, WaitingOpen | None
        ] = {}
        self._reactor = reactor
        self._engine = engine
        self._peers = peers
        self._refusal_reason = refusal_reason
        self._callbacks = callbacks
        self._recorder = recorder
        self._outbox = outbox.Outbox(reactor, peers)
        self._next_stages = next_stages.NextStages(
            reactor,
            peers,
            self._outbox,
            next_stages.RunCallbacks(self._is_open, self._fail_run, may_go_on),
            recorder,
        )

    def open_first_stage(self, run: stage_runs.StageRun) -> None:
        """Opens a run that starts here and reserves its later stages."""
        self._add_run(run)
        if run.is_last:
            self._callbacks.on_opened(run)
        else:
            self._next_stages.reserve_next_stage(run)

    def run_token(
        self,
        run: stage_runs.StageRun,
        token_index: int,
        data: bytes,
        starts_sequence: bool,
    ) -> None:
        """Runs the layers of this stage for one token.

        The engine runs it as a rebuild if the next stage already has the
        output, as after the replacement of this stage.

        Args:
            run: Run that the token belongs to.
            token_index: Index of the token.
            data: Encoded input of this stage.
            starts_sequence: Whether this is the first step of the run, so
                that the engine has no cache for it yet.
        """
        if not run.may_have_run:
            self._start_engine_span(run)
        run.engine_busy = True
        run.may_have_run = True
        run.first_incomplete_token = max(
            run.first_incomplete_token, token_index
        )
        step = engine_client.Step(
            run.sequence_id,
            token_index,
            data,
            starts_sequence,
            token_index < run.next_stage_token,
        )
        deferred = self._call_engine(run, self._engine.run_step, step)
        deferred.addCallback(self._on_output, run, token_index)
        deferred.addErrback(self._on_step_failed, run)

    def running_s_by_digest(self) -> dict[int, float]:
        """Returns the time since each run was reserved, by request digest."""
        return self._durations_s(self.runs.values())

    def in_engine_s_by_digest(self) -> dict[int, float]:
        """Returns `running_s_by_digest` for the runs now in the engine.

        Only one stage of a chain computes at a time, so when several
        targets of a request die at once, the request counts as being in
        the engine of only one of them.
        """
        return self._durations_s(
            run
            for run in self.runs.values()
            if run.engine_busy or not run.cache_ready
        )

    def _durations_s(
        self, selected_runs: Iterable[stage_runs.StageRun]
    ) -> dict[int, float]:
        now_s = self._reactor.seconds()
        return {
            run.context.digest: now_s - run.started_at_s
            for run in selected_runs
        }

    def close(self, key: stage_runs.AttemptKey) -> None:
        """Releases this stage and tells the later stages to do so too."""
        run = self._remove_run(key)
        if run is None:
            return
        self._release_sequence(run)
        if not run.is_last:
            self._next_stages.send_close(run, run.next_stage["target"])

    def on_close(self, link: link_module.Link, message: Any) -> None:
        """Releases this stage, if the peer runs the stage before it.

        A stage that was replaced sends this too, once it releases its run.
        """
        key = stage_runs.attempt_key(message)
        run = self.runs.get(key)
        waiting = self._released_in_engine.get(key)
        if run is not None and link.peer["name"] == (
            run.upstream_name or run.lost_upstream_name
        ):
            self.close(key)
        elif waiting is not None and _is_same_peer(waiting.link, link):
            self._released_in_engine[key] = None

    def on_open(self, link: link_module.Link, message: Any) -> None:
        """Reserves this stage, unless an earlier message has reserved it."""
        key = stage_runs.attempt_key(message)
        run = self.runs.get(key)
        if run is not None:
            self._on_repeated_open(run, link, message)
            return
        if key in self._released_in_engine:
            self._keep_newest_open(key, WaitingOpen(link, message))
            return
        reason = self._refusal_reason(message)
        if reason:
            link.send(_refusal_message(message, reason))
            return
        run = self._run_from_message(message)
        run.upstream_name = link.peer["name"]
        run.upstream_rank = stage_runs.upstream_rank(message)
        self._add_run(run)
        self._rebuild_cache(run, message["rebuild_inputs"])
        if run.cache_ready:
            self._open_next_or_reply(run)

    def on_opened(self, link: link_module.Link, message: Any) -> None:
        """Continues once the next stage is reserved."""
        run = self._find_run_by_next_stage(link, message)
        if run is None:
            return
        run.next_reserved = True
        run.next_stage_token = message["next_token"]
        if run.stage_index > 0:
            self._send_opened_if_ready(run)
        elif not run.may_have_run:
            self._callbacks.on_opened(run)
        self._next_stages.send_pending_outputs(run)

    def on_refused(self, link: link_module.Link, message: Any) -> None:
        """Replaces a next stage that refused its reservation."""
        run = self._find_run_by_next_stage(link, message)
        if run is not None:
            self._next_stages.replace_next_stage(run, message["reason"])

    def on_hop(self, link: link_module.Link, hop: Any) -> None:
        """Runs or queues the token of a hop, or resends its stored output.

        A hop that is out of order fails the run.
        """
        run = self.runs.get(stage_runs.attempt_key(hop))
        if run is None:
            self._send_stage_failed(link.peer["name"], hop, "unknown_run", [])
            return
        if hop["token_index"] < run.next_input_token:
            REPEATED_HOPS.inc()
            self._resend_output(run, hop["token_index"])
        elif not run.cache_ready or not _is_next_hop(run, hop):
            self._fail_run(run, "out_of_order", [])
        elif run.engine_busy:
            run.queued_inputs[hop["token_index"]] = hop["data"]
        else:
            self._run_input(run, hop["token_index"], hop["data"])

    def on_hop_result(self, result: Any) -> None:
        """Passes a token from the last stage to the first stage's callback."""
        run = self.runs.get(stage_runs.attempt_key(result))
        if run is None or run.stage_index != 0:
            return
        output = engine_client.Output(
            token=result["token"], final=result["final"]
        )
        self._callbacks.on_token(run, result["token_index"], output)

    def on_stage_failed(self, link: link_module.Link, message: Any) -> None:
        """Replaces a failed next stage, or fails the run."""
        run = self._find_run_by_next_stage(link, message)
        if run is None:
            return
        run.dead_targets.update(message["dead_targets"])
        run.crashed_targets.update(message["dead_targets"])
        if message["reason"] in NON_RETRYABLE_REASONS:
            self._fail_run(run, message["reason"], sorted(run.dead_targets))
        else:
            self._next_stages.replace_next_stage(run, message["reason"])

    def on_peer_up(self, peer_name: str) -> None:
        """Resends what may have been lost with an earlier link."""
        self._next_stages.on_peer_up(peer_name)
        for run in list(self.runs.values()):
            if (
                run.is_last
                and run.last_output
                and run.first_stage["target"] == peer_name
            ):
                self._send_result(run)

    def on_peer_down(self, peer_name: str, reason: str) -> None:
        """Reconnects to or replaces the next stages at a lost peer.

        Runs whose previous stage was at the peer are released later, unless
        that stage reconnects.
        """
        for run in list(self.runs.values()):
            if not run.is_last and run.next_stage["target"] == peer_name:
                self._next_stages.on_link_lost(run, reason)
            if run.upstream_name == peer_name:
                self._schedule_release(run)

    def replace_silent_stages(self, peer_name: str) -> bool:
        """Replaces the next stages at a silent peer that have an alternate.

        Returns:
            Whether runs without an alternate wait for the peer to go on.
        """
        waits = False
        for run in list(self.runs.values()):
            if run.is_last or run.next_stage["target"] != peer_name:
                continue
            if stage_runs.alternate_for(run) is None:
                waits = True
                continue
            self._next_stages.replace_next_stage(run, link_module.SILENCE)
        return waits

    def _is_open(self, run: stage_runs.StageRun) -> bool:
        return self.runs.get(run.key) is run

    def _find_run_by_next_stage(
        self, link: link_module.Link, message: Any
    ) -> stage_runs.StageRun | None:
        """Returns the run whose next stage sent this message, or None."""
        run = self.runs.get(stage_runs.attempt_key(message))
        if run is None or run.is_last:
            return None
        if run.next_stage["target"] != link.peer["name"]:
            return None
        return run

    def _on_repeated_open(
        self, run: stage_runs.StageRun, link: link_module.Link, message: Any
    ) -> None:
        """Resends the confirmation and the last stage's newest result.

        They may have been lost with an earlier link. A previous stage that
        was replaced may still ask; it must not take the run from its
        replacement.
        """
        if message["stage_index"] != run.stage_index:
            link.send(_refusal_message(message, "wrong_stage"))
            return
        rank = stage_runs.upstream_rank(message)
        if rank < run.upstream_rank:
            self._send_stage_failed(link.peer["name"], message, REPLACED, [])
            return
        run.upstream_rank = rank
        run.upstream_name = link.peer["name"]
        self._send_opened_if_ready(run)
        if run.last_output is None:
            return
        if run.is_last:
            self._send_result(run)

    def _run_input(
        self, run: stage_runs.StageRun, token_index: int, data: bytes
    ) -> None:
        """Runs a token whose input came from the previous stage."""
        self.run_token(run, token_index, data, token_index == run.base_token)

    def _open_next_or_reply(self, run: stage_runs.StageRun) -> None:
        """Reserves the next stage; the last stage confirms its own instead."""
        if run.is_last:
            self._send_opened_if_ready(run)
        else:
            self._next_stages.reserve_next_stage(run)

    def _rebuild_cache(
        self, run: stage_runs.StageRun, inputs: list[bytes]
    ) -> None:
        """Rebuilds the cache of this stage from earlier inputs, in order."""
        if not inputs:
            return
        run.cache_ready = False
        run.base_token = run.next_token - len(inputs)
        REBUILT_TOKENS.inc(len(inputs))
        steps = [
            engine_client.Step(
                run.sequence_id, run.base_token + offset, data, rebuild=True
            )
            for offset, data in enumerate(inputs)
        ]
        deferred = self._call_engine(run, self._engine.run_steps, steps)
        deferred.addCallback(self._on_cache_rebuilt, run)
        deferred.addErrback(self._on_step_failed, run)

    def _keep_newest_open(
        self, key: stage_runs.AttemptKey, received: WaitingOpen
    ) -> None:
        """Keeps the message of the previous stage that was chosen last."""
        waiting = self._released_in_engine[key]
        if waiting is None or stage_runs.upstream_rank(
            received.message
        ) >= stage_runs.upstream_rank(waiting.message):
            self._released_in_engine[key] = received

    def _call_engine(
        self, run: stage_runs.StageRun, call: Callable[..., Any], step: Any
    ) -> defer.Deferred[Any]:
        """Calls the engine for a run, which has one such call at a time."""
        run.in_engine = True
        return call(step).addBoth(self._on_engine_call_ended, run)

    def _on_engine_call_ended(
        self, result: Any, run: stage_runs.StageRun
    ) -> Any:
        """Releases the sequence again if its run ended during the call."""
        run.in_engine = False
        if run.key in self._released_in_engine and not self._is_open(run):
            waiting = self._released_in_engine.pop(run.key)
            self._engine.release_sequences([run.sequence_id])
            if waiting is not None and waiting.link.is_open:
                self.on_open(waiting.link, waiting.message)
        return result

    def _release_sequence(self, run: stage_runs.StageRun) -> None:
        """Releases the cache of a run that ended.

        A step under way may create the cache once more. Until it ends, the
        attempt can't be opened again, as its steps would extend that cache.
        """
        self._engine.release_sequences([run.sequence_id])
        if run.in_engine:
            self._released_in_engine[run.key] = None

    def _on_cache_rebuilt(
        self, outputs: list[engine_client.Output], run: stage_runs.StageRun
    ) -> None:
        if not self._is_open(run):
            return
        run.cache_ready = True
        if not run.is_last:
            run.kept_outputs = [output.data for output in outputs]
        self._open_next_or_reply(run)

    def _send_opened_if_ready(self, run: stage_runs.StageRun) -> None:
        if not run.cache_ready or not run.next_reserved:
            return
        message = {
            "type": "opened",
            **run.attempt_fields,
            "stage_index": run.stage_index,
            "next_token": run.next_input_token,
        }
        self._peers.send(run.upstream_name, message)

    def _on_output(
        self,
        output: engine_client.Output,
        run: stage_runs.StageRun,
        token_index: int,
    ) -> None:
        if not self._is_open(run):
            return
        run.engine_busy = False
        run.next_token = token_index + 1
        run.last_output = output
        if not run.is_last:
            run.kept_outputs.append(output.data)
            self._next_stages.send_newest_output(run)
        elif run.stage_index == 0:
            self._callbacks.on_token(run, token_index, output)
        else:
            self._send_result(run)
        self._run_queued_input(run)

    def _run_queued_input(self, run: stage_runs.StageRun) -> None:
        """Runs the next token if its input arrived while one was running."""
        data = run.queued_inputs.pop(run.next_token, None)
        if data is not None:
            self._run_input(run, run.next_token, data)

    def _on_step_failed(
        self, error: failure.Failure, run: stage_runs.StageRun
    ) -> None:
        engine_died = error.check(engine_client.EngineFailed) is not None
        dead_targets = [run.stage["target"]] if engine_died else []
        self._fail_run(
            run, "engine_failed" if engine_died else "step", dead_targets
        )

    def _fail_run(
        self, run: stage_runs.StageRun, reason: str, dead_targets: list[str]
    ) -> None:
        """Ends a run and reports its failure.

        The report goes to the previous stage, or from the first stage to
        the owner's callback.
        """
        if not self._is_open(run):
            return
        next_stages.STAGE_FAILURES.labels(reason).inc()
        self._recorder.add_event(run, "stage_failed", why=reason)
        run.dead_targets.update(dead_targets)
        self._remove_run(run.key)
        self._release_sequence(run)
        if run.stage_index == 0:
            self._callbacks.on_failed(run, reason)
        else:
            self._send_stage_failed(
                run.upstream_name, run.attempt_fields, reason, run.dead_targets
            )

    def _send_stage_failed(
        self,
        peer_name: str,
        attempt_fields: Any,
        reason: str,
        dead_targets: Any,
    ) -> None:
        message = {
            "type": "stage_failed",
            "request": attempt_fields["request"],
            "attempt": attempt_fields["attempt"],
            "stage_index": attempt_fields.get("stage_index", 0),
            "reason": reason,
            "dead_targets": sorted(dead_targets),
        }
        self._peers.send(peer_name, message)

    def _resend_output(
        self, run: stage_runs.StageRun, token_index: int
    ) -> None:
        """Resends the newest output if it belongs to this token."""
        if token_index != run.next_token - 1:
            return
        if run.is_last:
            self._send_result(run)
        else:
            self._next_stages.send_newest_output(run)

    def _send_result(self, run: stage_runs.StageRun) -> None:
        """Sends the newest token of the last stage to the first stage."""
        callbacks = peers_module.ConnectCallbacks(
            lambda link: self._queue_result(run), lambda reason: None
        )
        self._peers.connect(run.first_stage, callbacks)

    def _queue_result(self, run: stage_runs.StageRun) -> None:
        """Adds the newest token to the next batch for the first stage."""
        if run.last_output is None:
            return
        result = {
            **run.attempt_fields,
            "token_index": run.next_token - 1,
            "token": run.last_output.token,
            "final": run.last_output.final,
        }
        peer_name = run.first_stage["target"]
        self._outbox.add(peer_name, outbox.HOP_RESULTS, result)

    def _run_from_message(self, message: Any) -> stage_runs.StageRun:
        """Returns a new run for an `open` message."""
        context = stage_runs.RequestContext(
            message["config_version"],
            message["priority"],
            self._reactor.seconds() + message["expires_in_s"],
            message["digest"],
            message["traceparent"],
        )
        return stage_runs.StageRun(
            stage_runs.attempt_key(message),
            message["stage_index"],
            message["chain"],
            message["alternates"],
            context,
            message["first_token"],
        )

    def _add_run(self, run: stage_runs.StageRun) -> None:
        """Adds a run and starts its span and its expiry timer."""
        self.runs[run.key] = run
        run.started_at_s = self._reactor.seconds()
        run.span = self._recorder.tracer.start(
            "stage",
            run.context.traceparent,
            request=run.key[0],
            attempt=run.key[1],
            stage=run.stage_index,
        )
        run.expiry_timer = self._reactor.callLater(
            run.time_left_s(run.started_at_s) + next_stages.UPSTREAM_GRACE_S,
            self.close,
            run.key,
        )

    def _remove_run(
        self, key: stage_runs.AttemptKey
    ) -> stage_runs.StageRun | None:
        """Removes a run and ends its timer and spans; None if not open."""
        run = self.runs.pop(key, None)
        if run is None:
            return None
        if run.expiry_timer.active():
            run.expiry_timer.cancel()
        for span in (run.engine_span, run.span):
            if span is not None:
                span.set_attribute("next_token", run.next_token)
                span.end()
        return run

    def _start_engine_span(self, run: stage_runs.StageRun) -> None:
        parent = traces.traceparent(run.span)
        run.engine_span = self._recorder.tracer.start(
            "engine", parent, request=run.key[0], attempt=run.key[1]
        )

    def _schedule_release(self, run: stage_runs.StageRun) -> None:
        """Releases a run later unless its previous stage reconnects."""
        peer_name = run.upstream_name
        run.upstream_name = ""
        run.lost_upstream_name = peer_name
        self._reactor.callLater(
            next_stages.UPSTREAM_GRACE_S,
            self._release_if_orphaned,
            run,
            peer_name,
        )

    def _release_if_orphaned(
        self, run: stage_runs.StageRun, peer_name: str
    ) -> None:
        if run.upstream_name == "" and self._is_open(run):
            self.close(run.key)


def _is_next_hop(run: stage_runs.StageRun, hop: Any) -> bool:
    """Returns whether a hop carries the input that this stage expects."""
    return (
        hop["token_index"] == run.next_input_token
        and hop["stage_index"] == run.stage_index
        and hop["next_layer"] == run.stage["first_layer"]
    )


def _is_same_peer(one: link_module.Link, other: link_module.Link) -> bool:
    return one.peer["name"] == other.peer["name"]


def _refusal_message(message: Any, reason: str) -> dict[str, Any]:
    """Returns the refusal of an `open` message."""
    stage = message["chain"][message["stage_index"]]
    return stage_runs.refusal_message(message, reason, stage["target"])
