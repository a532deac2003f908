"""Reserves the next stages of runs, sends to them and replaces them.

A stage keeps the outputs that it has sent. When the next stage fails, an
alternate rebuilds its cache from these outputs and receives the current
token again, so no earlier layer runs a token twice.
"""

import collections
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal.agent import outbox
from hemlocktiller._internal.agent import peers as peers_module
from hemlocktiller._internal.agent import recorder as recorder_module
from hemlocktiller._internal.agent import stage_runs
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.observe import traces

NO_ALTERNATE = "no_alternate"
CRASHES_TARGETS = "crashes_targets"
# An attempt fails once this many engines crashed or targets died while they
# ran it. The limit for targets is higher, as a VM may fail for reasons that
# have nothing to do with the request.
MAX_CRASHED_ENGINES = 2
MAX_DEAD_TARGETS = 3
SUSPECT_CONFLICT = "suspect_apart"
# How often, and how long at most, an attempt asks for a next stage again that
# refuses it as a suspect. A stage after one that waits is kept for longer.
SUSPECT_POLL_S = 0.2
MAX_SUSPECT_WAIT_S = 5.0
RECONNECT_WAIT_S = 0.3  # Longest wait for a new link to a next stage.
RECONNECT_TIMEOUT = "reconnect_timeout"
# Reasons to replace a stage that may still hold its reservation.
LATE_REASONS = (link_module.SILENCE, RECONNECT_TIMEOUT, peers_module.TIMEOUT)
# A stage without a previous one releases its run after this time, in which
# that one may reconnect.
UPSTREAM_GRACE_S = 6.0
# Longest wait for an answer to dials of a next stage without an alternate.
LAST_STAGE_WAIT_S = 2.0
# A dial counts for this time at most: a pause of this process makes its
# time-out late.
MAX_COUNTED_DIAL_S = 1.0

REPLACED_STAGES = prometheus_client.Counter(
    "hemlocktiller_stages_replaced", "Stages replaced during a request"
)
REBUILD_BYTES = prometheus_client.Counter(
    "hemlocktiller_rebuild_bytes", "Bytes of kept inputs sent to rebuild"
)
STAGE_FAILURES = prometheus_client.Counter(
    "hemlocktiller_stage_failures", "Stages that failed by reason", ["reason"]
)


class RunCallbacks(NamedTuple):
    """Callbacks to the owner of the runs.

    Attributes:
        is_open: Returns whether a run is still open.
        fail: Ends a run with a reason and the targets that died.
        may_go_on: Returns whether the request with a digest may go on
            without a decision of its entry, by the evidence of crashes.
    """

    is_open: Callable[[stage_runs.StageRun], bool]
    fail: Callable[[stage_runs.StageRun, str, list[str]], None]
    may_go_on: Callable[[int], bool]


class NextStages:
    """Reserves, sends to and replaces the next stages of all runs."""

    def __init__(
        self,
        reactor: Any,
        peers: peers_module.Peers,
        message_outbox: outbox.Outbox,
        callbacks: RunCallbacks,
        recorder: recorder_module.Recorder,
    ) -> None:
        self._reactor = reactor
        self._peers = peers
        self._outbox = message_outbox
        self._callbacks = callbacks
        self._recorder = recorder
        # Runs to release at peers, once a new link to them opens.
        self._unreleased: collections.defaultdict[
            str, list[stage_runs.StageRun]
        ] = collections.defaultdict(list)

    def on_peer_up(self, peer_name: str) -> None:
        """Releases the runs that a peer holds since its last link."""
        for run in self._unreleased.pop(peer_name, []):
            self.send_close(run, peer_name)

    def release(self, run: stage_runs.StageRun, peer_name: str) -> None:
        """Releases a run at a peer that may be silent or not linked now.

        The message may be lost with a link, so that it is sent again on the
        next one, unless the peer has released the run by itself.
        """
        self.send_close(run, peer_name)
        self._unreleased[peer_name].append(run)
        self._reactor.callLater(
            UPSTREAM_GRACE_S, self._forget_release, run, peer_name
        )

    def _forget_release(
        self, run: stage_runs.StageRun, peer_name: str
    ) -> None:
        unreleased = self._unreleased.get(peer_name, [])
        if run in unreleased:
            unreleased.remove(run)
        if not unreleased:
            self._unreleased.pop(peer_name, None)

    def send_close(self, run: stage_runs.StageRun, peer_name: str) -> None:
        """Asks a peer to release a run, if it is linked now."""
        message = {"type": "close", **run.attempt_fields}
        self._peers.send(peer_name, message)

    def on_link_lost(self, run: stage_runs.StageRun, reason: str) -> None:
        """Handles a lost link to the next stage.

        Reconnects once for each target. A peer that went silent, or whose
        link is lost again, is replaced at once.
        """
        if run.waits_as_suspect:
            return  # Nothing is reserved there; it is dialled when asked.
        target = run.next_stage["target"]
        if reason == link_module.SILENCE or target in run.reconnected_targets:
            self.replace_next_stage(run, reason)
            return
        run.reconnected_targets.add(target)
        self.reserve_next_stage(run)
        self._reactor.callLater(
            RECONNECT_WAIT_S, self._on_reconnect_timeout, run, run.next_stage
        )

    def _on_reconnect_timeout(
        self, run: stage_runs.StageRun, stage: Any
    ) -> None:
        """Replaces a next stage to which no link has opened in time.

        Without an alternate, the run keeps waiting for the link.
        """
        still_waiting = (
            self._is_current_next_stage(run, stage) and not run.next_open_sent
        )
        if (
            still_waiting
            and run.cache_ready
            and stage_runs.alternate_for(run) is not None
        ):
            self.replace_next_stage(run, RECONNECT_TIMEOUT)

    def replace_next_stage(
        self, run: stage_runs.StageRun, reason: str
    ) -> None:
        """Replaces the next stage by an alternate, or fails the run.

        A run that was only refused as a suspect may wait instead.
        """
        STAGE_FAILURES.labels(reason).inc()
        run.tried_targets.add(run.next_stage["target"])
        if reason in LATE_REASONS and run.next_process:
            self.release(run, run.next_stage["target"])
        if reason == SUSPECT_CONFLICT:
            run.suspect_refusals.append(run.next_stage)
        alternate = stage_runs.alternate_for(run)
        if (
            len(run.crashed_targets) >= MAX_CRASHED_ENGINES
            or len(run.dead_targets) >= MAX_DEAD_TARGETS
        ):
            self._callbacks.fail(
                run, CRASHES_TARGETS, sorted(run.dead_targets)
            )
            return
        if alternate is None:
            self._wait_or_fail(run)
            return
        REPLACED_STAGES.inc()
        self._recorder.add_event(
            run,
            "stage_replaced",
            lost=run.next_stage["target"],
            by=alternate["target"],
            why=reason,
        )
        run.chain[run.stage_index + 1] = alternate
        run.next_process = ""
        self.reserve_next_stage(run)

    def _wait_or_fail(self, run: stage_runs.StageRun) -> None:
        """Waits for a stage that refused a suspect, or fails the run.

        A new attempt would run the token under way from the first layer. A
        run that has not begun fails at once, as another chain may be free.
        """
        if not run.suspect_refusals:
            self._callbacks.fail(run, NO_ALTERNATE, sorted(run.dead_targets))
        elif (
            not run.may_have_run
            or run.waited_as_suspect_s >= MAX_SUSPECT_WAIT_S
        ):
            self._fail_as_suspect(run)
        elif not run.waits_as_suspect:
            run.waits_as_suspect = True
            run.waited_as_suspect_s += SUSPECT_POLL_S
            self._reactor.callLater(SUSPECT_POLL_S, self._ask_again, run)

    def _ask_again(self, run: stage_runs.StageRun) -> None:
        """Asks the stages again that refused a suspect."""
        run.waits_as_suspect = False
        if not self._callbacks.is_open(run) or run.next_reserved:
            return
        if not self._callbacks.may_go_on(run.context.digest):
            self._fail_as_suspect(run)
            return
        stages, run.suspect_refusals = run.suspect_refusals, []
        run.tried_targets -= {stage["target"] for stage in stages}
        run.chain[run.stage_index + 1] = stages[0]
        run.next_process = ""
        self.reserve_next_stage(run)

    def _fail_as_suspect(self, run: stage_runs.StageRun) -> None:
        self._callbacks.fail(run, SUSPECT_CONFLICT, sorted(run.dead_targets))

    def reserve_next_stage(self, run: stage_runs.StageRun) -> None:
        """Connects to the next stage and asks for a reservation."""
        run.next_reserved = False
        run.next_open_sent = False
        if not run.cache_ready:
            return  # Called again once the cache is rebuilt.
        self._connect_next_stage(run, run.next_stage, 0.0)

    def _connect_next_stage(
        self, run: stage_runs.StageRun, stage: Any, waited_s: float
    ) -> None:
        """Dials a next stage, after time waited in earlier dials of it."""
        started_s = self._reactor.seconds()

        def on_failed(reason: str) -> None:
            dial_s = self._reactor.seconds() - started_s
            self._on_unreachable(
                run, stage, reason, waited_s + min(dial_s, MAX_COUNTED_DIAL_S)
            )

        callbacks = peers_module.ConnectCallbacks(
            lambda link: self._send_open(run, stage, link), on_failed
        )
        self._peers.connect(stage, callbacks)

    def _on_unreachable(
        self,
        run: stage_runs.StageRun,
        stage: Any,
        reason: str,
        waited_s: float,
    ) -> None:
        """Replaces a next stage to which no link could be opened.

        A refused connection shows that its target is dead. One that only
        answers no dial may be paused: without an alternate it is dialled
        again, until `LAST_STAGE_WAIT_S` was waited in dials.
        """
        if not self._is_current_next_stage(run, stage):
            return
        if (
            reason == peers_module.TIMEOUT
            and waited_s < LAST_STAGE_WAIT_S
            and stage_runs.alternate_for(run) is None
        ):
            self._connect_next_stage(run, stage, waited_s)
            return
        if reason == peers_module.REFUSED:
            run.dead_targets.add(stage["target"])
        self.replace_next_stage(run, reason)

    def _send_open(
        self, run: stage_runs.StageRun, stage: Any, link: link_module.Link
    ) -> None:
        """Asks the next stage for a reservation.

        Sends the inputs to rebuild its cache, unless the process is the one
        that was asked before, which still has the cache. A stage already
        known as silent is not asked if it has an alternate.
        """
        if not self._is_current_next_stage(run, stage):
            return
        if link.is_silent and stage_runs.alternate_for(run) is not None:
            self.replace_next_stage(run, link_module.SILENCE)
            return
        process = link.peer["process"]
        same_process = process == run.next_process
        run.next_open_sent = True
        run.next_process = process
        complete_count = run.first_incomplete_token - run.base_token
        rebuild_inputs = (
            [] if same_process else run.kept_outputs[:complete_count]
        )
        REBUILD_BYTES.inc(sum(len(data) for data in rebuild_inputs))
        link.send(
            {
                "type": "open",
                **run.attempt_fields,
                "stage_index": run.stage_index + 1,
                "chain": run.chain,
                "alternates": run.alternates,
                "config_version": run.context.config_version,
                "priority": run.context.priority,
                "expires_in_s": run.time_left_s(self._reactor.seconds()),
                "rebuild_inputs": rebuild_inputs,
                "rebuild_kv": b"",
                "first_token": run.base_token + len(rebuild_inputs),
                "digest": run.context.digest,
                "traceparent": traces.traceparent(run.span),
            }
        )

    def _is_current_next_stage(
        self, run: stage_runs.StageRun, stage: Any
    ) -> bool:
        return self._callbacks.is_open(run) and run.next_stage is stage

    def send_pending_outputs(self, run: stage_runs.StageRun) -> None:
        """Sends all outputs that the next stage has not received yet."""
        newest = run.newest_output_token
        for token_index in range(run.next_stage_token, newest + 1):
            self._send_hop(run, token_index)

    def send_newest_output(self, run: stage_runs.StageRun) -> None:
        """Sends the newest output unless the next stage received it."""
        token_index = run.newest_output_token
        if token_index >= run.next_stage_token:
            self._send_hop(run, token_index)

    def _send_hop(self, run: stage_runs.StageRun, token_index: int) -> None:
        """Sends the output for a token, once the next stage is reserved."""
        if not run.next_reserved:
            return
        hop = {
            **run.attempt_fields,
            "stage_index": run.stage_index + 1,
            "token_index": token_index,
            "next_layer": run.next_stage["first_layer"],
            "data": run.kept_outputs[token_index - run.base_token],
        }
        self._outbox.add(run.next_stage["target"], outbox.HOPS, hop)
