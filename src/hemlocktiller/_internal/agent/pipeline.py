"""Runs one stage of many chains.

Each hop names its request, attempt, token and first layer. A stage runs
a token once: a repeated hop is answered with the kept output.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import prometheus_client
from twisted.python import failure

from hemlocktiller._internal.agent import engine as engine_module
from hemlocktiller._internal.agent import outbox
from hemlocktiller._internal.agent import peers as peers_module
from hemlocktiller._internal.agent import record as record_module
from hemlocktiller._internal.agent import runs
from hemlocktiller._internal.agent import successors
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.observe import traces

FINAL_REASONS = (
    successors.NO_ALTERNATE,
    successors.SUSPECT_APART,
    successors.CRASHES_TARGETS,
)
UPSTREAM_GRACE_S = 6.0  # Time for the stage before to connect again.

REPEATED_HOPS = prometheus_client.Counter(
    "hemlocktiller_hops_repeated", "Hops that came again for a token"
)
REBUILT_TOKENS = prometheus_client.Counter(
    "hemlocktiller_tokens_rebuilt", "Tokens whose cache was rebuilt"
)


class Events(NamedTuple):
    """What the owner of the first stages does on events of a chain."""

    on_opened: Callable[[runs.Run], None]
    on_token: Callable[[runs.Run, int, engine_module.Output], None]
    on_failed: Callable[[runs.Run, str], None]


class Pipeline:
    """The runs of this stage and the way to their neighbours."""

    def __init__(
        self,
        reactor: Any,
        engine: engine_module.EngineClient,
        peers: peers_module.Peers,
        admit: Callable[[Any], str],
        events: Events,
        record: record_module.Record,
    ) -> None:
        self.runs: dict[runs.Key, runs.Run] = {}
        self._reactor = reactor
        self._engine = engine
        self._peers = peers
        self._admit = admit
        self._events = events
        self._record = record
        self._outbox = outbox.Outbox(reactor, peers)
        self._successors = successors.Successors(
            reactor,
            peers,
            self._outbox,
            successors.Events(self._is_open, self._fail),
            record,
        )

    def open_head(self, run: runs.Run) -> None:
        """Reserves all later stages of a chain that starts here."""
        self._add(run)
        if run.is_last:
            self._events.on_opened(run)
        else:
            self._successors.reserve(run)

    def feed(
        self, run: runs.Run, token_index: int, data: bytes, first: bool
    ) -> None:
        """Runs the layers of this stage for one token."""
        if not run.fed:
            self._start_engine_span(run)
        run.busy = True
        run.fed = True
        run.complete_token = max(run.complete_token, token_index)
        step = engine_module.Step(
            run.sequence,
            token_index,
            data,
            first,
            token_index < run.downstream_token,
        )
        done = self._engine.step(step)
        done.addCallback(self._on_output, run, token_index)
        done.addErrback(self._on_step_failed, run)

    def running_s(self) -> dict[int, float]:
        """Returns how long each digest has been running here."""
        return self._ages_s(self.runs.values())

    def in_engine_s(self) -> dict[int, float]:
        """Returns the same of the digests that the engine works on now.

        A chain has one stage at work at a time, so one that loses several
        targets at once is found in the engine of one of them.
        """
        return self._ages_s(
            run for run in self.runs.values() if run.busy or not run.ready
        )

    def _ages_s(self, some: Iterable[runs.Run]) -> dict[int, float]:
        now_s = self._reactor.seconds()
        return {run.terms.digest: now_s - run.started_s for run in some}

    def close(self, key: runs.Key) -> None:
        """Releases this stage and all later ones."""
        run = self._remove(key)
        if run is None:
            return
        self._engine.close([run.sequence])
        if not run.is_last:
            message = {"type": "close", **run.place}
            self._peers.send(run.next_stage["target"], message)

    def on_open(self, link: link_module.Link, message: Any) -> None:
        """Reserves this stage, or finds that it is reserved already."""
        run = self.runs.get(runs.place_of(message))
        if run is not None:
            self._reopen(run, link, message)
            return
        reason = self._admit(message)
        if reason:
            link.send(_refused(message, reason))
            return
        run = self._new_run(message)
        run.upstream = link.peer["name"]
        self._add(run)
        self._rebuild(run, message["rebuild_inputs"])
        if run.ready:
            self._go_on(run)

    def on_opened(self, link: link_module.Link, message: Any) -> None:
        """Goes on once the next stage is reserved."""
        run = self._run_before(link, message)
        if run is None:
            return
        run.next_open = True
        run.downstream_token = message["next_token"]
        if run.index > 0:
            self._reply_if_open(run)
        elif not run.fed:
            self._events.on_opened(run)
        self._successors.send_kept(run)

    def on_refused(self, link: link_module.Link, message: Any) -> None:
        """Tries an alternate in place of a stage that refused."""
        run = self._run_before(link, message)
        if run is not None:
            self._successors.replace(run, message["reason"])

    def on_hop(self, link: link_module.Link, hop: Any) -> None:
        """Runs a token, or answers a repeated hop from what is kept."""
        run = self.runs.get(runs.place_of(hop))
        if run is None:
            self._send_failed(link.peer["name"], hop, "unknown_run", [])
            return
        if hop["token_index"] < run.received_token:
            REPEATED_HOPS.inc()
            self._repeat(run, hop["token_index"])
        elif not run.ready or not _follows(run, hop):
            self._fail(run, "out_of_order", [])
        elif run.busy:
            run.waiting[hop["token_index"]] = hop["data"]
        else:
            self._feed_hop(run, hop["token_index"], hop["data"])

    def on_hop_result(self, result: Any) -> None:
        """Passes a token from the last stage to the owner of the chain."""
        run = self.runs.get(runs.place_of(result))
        if run is None or run.index != 0:
            return
        output = engine_module.Output(
            token=result["token"], final=result["final"]
        )
        self._events.on_token(run, result["token_index"], output)

    def on_stage_failed(self, link: link_module.Link, message: Any) -> None:
        """Replaces the next stage, or gives up with it."""
        run = self._run_before(link, message)
        if run is None:
            return
        run.dead.update(message["dead_targets"])
        run.crashed.update(message["dead_targets"])
        if message["reason"] in FINAL_REASONS:
            self._fail(run, message["reason"], sorted(run.dead))
        else:
            self._successors.replace(run, message["reason"])

    def on_peer_up(self, name: str) -> None:
        """Sends results again that a lost link may have swallowed."""
        for run in list(self.runs.values()):
            if run.is_last and run.last and run.head["target"] == name:
                self._send_result(run)

    def on_peer_down(self, name: str, reason: str) -> None:
        """Connects to the next stages at a lost peer, or replaces them."""
        for run in list(self.runs.values()):
            if not run.is_last and run.next_stage["target"] == name:
                self._successors.lost(run, reason)
            if run.upstream == name:
                self._lapse_later(run)

    def _is_open(self, run: runs.Run) -> bool:
        return self.runs.get(run.key) is run

    def _run_before(
        self, link: link_module.Link, message: Any
    ) -> runs.Run | None:
        """Returns the run whose next stage sent a message, or None."""
        run = self.runs.get(runs.place_of(message))
        if run is None or run.is_last:
            return None
        if run.next_stage["target"] != link.peer["name"]:
            return None
        return run

    def _reopen(
        self, run: runs.Run, link: link_module.Link, message: Any
    ) -> None:
        if message["stage_index"] != run.index:
            link.send(_refused(message, "wrong_stage"))
            return
        run.upstream = link.peer["name"]
        self._reply_if_open(run)
        if run.last is None:
            return
        if run.is_last:
            self._send_result(run)

    def _feed_hop(self, run: runs.Run, token_index: int, data: bytes) -> None:
        self.feed(run, token_index, data, token_index == run.base_token)

    def _go_on(self, run: runs.Run) -> None:
        """Reserves the next stage once the cache of this one is complete."""
        if run.is_last:
            self._reply_if_open(run)
        else:
            self._successors.reserve(run)

    def _rebuild(self, run: runs.Run, inputs: list[bytes]) -> None:
        """Fills the cache of this stage from kept inputs, in order."""
        if not inputs:
            return
        run.ready = False
        run.base_token = run.next_token - len(inputs)
        REBUILT_TOKENS.inc(len(inputs))
        steps = [
            engine_module.Step(
                run.sequence, run.base_token + offset, data, rebuild=True
            )
            for offset, data in enumerate(inputs)
        ]
        done = self._engine.steps(steps)
        done.addCallback(self._on_rebuilt, run)
        done.addErrback(self._on_step_failed, run)

    def _on_rebuilt(
        self, outputs: list[engine_module.Output], run: runs.Run
    ) -> None:
        run.ready = True
        if not run.is_last:
            run.kept = [output.data for output in outputs]
        self._go_on(run)

    def _reply_if_open(self, run: runs.Run) -> None:
        if not run.ready or not run.next_open:
            return
        message = {
            "type": "opened",
            **run.place,
            "stage_index": run.index,
            "next_token": run.received_token,
        }
        self._peers.send(run.upstream, message)

    def _on_output(
        self, output: engine_module.Output, run: runs.Run, token_index: int
    ) -> None:
        if not self._is_open(run):
            return
        run.busy = False
        run.next_token = token_index + 1
        run.last = output
        if not run.is_last:
            run.kept.append(output.data)
            self._successors.send_newest(run)
        elif run.index == 0:
            self._events.on_token(run, token_index, output)
        else:
            self._send_result(run)
        self._feed_waiting(run)

    def _feed_waiting(self, run: runs.Run) -> None:
        data = run.waiting.pop(run.next_token, None)
        if data is not None:
            self._feed_hop(run, run.next_token, data)

    def _on_step_failed(self, reason: failure.Failure, run: runs.Run) -> None:
        engine_died = reason.check(engine_module.EngineFailed) is not None
        dead = [run.stage["target"]] if engine_died else []
        self._fail(run, "engine_failed" if engine_died else "step", dead)

    def _fail(self, run: runs.Run, reason: str, dead: list[str]) -> None:
        if not self._is_open(run):
            return
        successors.STAGE_FAILURES.labels(reason).inc()
        self._record.note(run, "stage_failed", why=reason)
        run.dead.update(dead)
        self._remove(run.key)
        self._engine.close([run.sequence])
        if run.index == 0:
            self._events.on_failed(run, reason)
        else:
            self._send_failed(run.upstream, run.place, reason, run.dead)

    def _send_failed(
        self, name: str, place: Any, reason: str, dead: Any
    ) -> None:
        message = {
            "type": "stage_failed",
            "request": place["request"],
            "attempt": place["attempt"],
            "stage_index": place.get("stage_index", 0),
            "reason": reason,
            "dead_targets": sorted(dead),
        }
        self._peers.send(name, message)

    def _repeat(self, run: runs.Run, token_index: int) -> None:
        """Sends the newest output again if it is the one asked for."""
        if token_index != run.next_token - 1:
            return
        if run.is_last:
            self._send_result(run)
        else:
            self._successors.send_newest(run)

    def _send_result(self, run: runs.Run) -> None:
        waiter = peers_module.Waiter(
            lambda link: self._add_result(run), lambda reason: None
        )
        self._peers.with_link(run.head, waiter)

    def _add_result(self, run: runs.Run) -> None:
        if run.last is None:
            return
        result = {
            **run.place,
            "token_index": run.next_token - 1,
            "token": run.last.token,
            "final": run.last.final,
        }
        name = run.head["target"]
        self._outbox.add(name, outbox.HOP_RESULTS, result)

    def _new_run(self, message: Any) -> runs.Run:
        terms = runs.Terms(
            message["config_version"],
            message["priority"],
            self._reactor.seconds() + message["expires_in_s"],
            message["digest"],
            message["traceparent"],
        )
        return runs.Run(
            runs.place_of(message),
            message["stage_index"],
            message["chain"],
            message["alternates"],
            terms,
            message["first_token"],
        )

    def _add(self, run: runs.Run) -> None:
        self.runs[run.key] = run
        run.started_s = self._reactor.seconds()
        run.span = self._record.tracer.start(
            "stage",
            run.terms.traceparent,
            request=run.key[0],
            attempt=run.key[1],
            stage=run.index,
        )
        run.timer = self._reactor.callLater(
            run.time_left_s(run.started_s) + UPSTREAM_GRACE_S,
            self.close,
            run.key,
        )

    def _remove(self, key: runs.Key) -> runs.Run | None:
        run = self.runs.pop(key, None)
        if run is None:
            return None
        if run.timer.active():
            run.timer.cancel()
        for span in (run.engine_span, run.span):
            if span is not None:
                span.set_attribute("next_token", run.next_token)
                span.end()
        return run

    def _start_engine_span(self, run: runs.Run) -> None:
        parent = traces.traceparent(run.span)
        run.engine_span = self._record.tracer.start(
            "engine", parent, request=run.key[0], attempt=run.key[1]
        )

    def _lapse_later(self, run: runs.Run) -> None:
        """Releases a run unless the stage before connects again."""
        name = run.upstream
        run.upstream = ""
        self._reactor.callLater(UPSTREAM_GRACE_S, self._lapse, run, name)

    def _lapse(self, run: runs.Run, name: str) -> None:
        if run.upstream == "" and self._is_open(run):
            self.close(run.key)


def _follows(run: runs.Run, hop: Any) -> bool:
    """Tells whether a hop is the next one for this stage."""
    return (
        hop["token_index"] == run.received_token
        and hop["stage_index"] == run.index
        and hop["next_layer"] == run.stage["first_layer"]
    )


def _refused(message: Any, reason: str) -> dict[str, Any]:
    """Returns the refusal of a stage that was to be reserved."""
    stage = message["chain"][message["stage_index"]]
    return runs.refusal(message, reason, stage["target"])
