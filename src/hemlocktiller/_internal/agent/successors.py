"""The way from a stage to the next one, and its replacement when it dies.

A stage keeps what it sent on. When the next stage is lost, an alternate
rebuilds its cache from these inputs and takes the current token again, so
no earlier layer runs twice for a token.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal.agent import outbox
from hemlocktiller._internal.agent import peers as peers_module
from hemlocktiller._internal.agent import record as record_module
from hemlocktiller._internal.agent import runs
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.observe import traces

NO_ALTERNATE = "no_alternate"
CRASHES_TARGETS = "crashes_targets"
MAX_CRASHED = 2  # Engines that may die of one attempt before it ends.
MAX_DEAD = 3  # The same for whole VMs, which die of other causes too.
SUSPECT_APART = "suspect_apart"
SILENCE = "silence"
RECONNECT_S = 0.3  # Time for a lost next stage to be reserved again.
RECONNECT_TIMEOUT = "reconnect_timeout"

REPLACED = prometheus_client.Counter(
    "hemlocktiller_stages_replaced", "Stages replaced during a request"
)
REBUILD_BYTES = prometheus_client.Counter(
    "hemlocktiller_rebuild_bytes", "Bytes of kept inputs sent to rebuild"
)
STAGE_FAILURES = prometheus_client.Counter(
    "hemlocktiller_stage_failures", "Stages that failed by reason", ["reason"]
)


class Events(NamedTuple):
    """What the owner of the runs answers and does.

    Attributes:
        is_open: Tells whether a run is still open here.
        fail: Ends a run for a reason, with the targets that died.
    """

    is_open: Callable[[runs.Run], bool]
    fail: Callable[[runs.Run, str, list[str]], None]


class Successors:
    """Reserves, feeds and replaces the next stages of all runs."""

    def __init__(
        self,
        reactor: Any,
        peers: peers_module.Peers,
        box: outbox.Outbox,
        events: Events,
        record: record_module.Record,
    ) -> None:
        self._reactor = reactor
        self._peers = peers
        self._outbox = box
        self._events = events
        self._record = record

    def lost(self, run: runs.Run, reason: str) -> None:
        """Connects to the next stage again, or replaces it."""
        target = run.next_stage["target"]
        if reason == SILENCE or target in run.reconnected:
            self.replace(run, reason)
            return
        run.reconnected.add(target)
        self.reserve(run)
        self._reactor.callLater(
            RECONNECT_S, self._on_reconnect_timeout, run, run.next_stage
        )

    def _on_reconnect_timeout(self, run: runs.Run, stage: Any) -> None:
        """Takes an alternate rather than wait longer for a lost stage."""
        waits = self._is_next(run, stage) and not run.next_asked
        if waits and run.ready and runs.alternate_for(run) is not None:
            self.replace(run, RECONNECT_TIMEOUT)

    def replace(self, run: runs.Run, reason: str) -> None:
        """Takes an alternate in place of the next stage, or fails."""
        STAGE_FAILURES.labels(reason).inc()
        run.tried.add(run.next_stage["target"])
        run.apart = run.apart or reason == SUSPECT_APART
        alternate = runs.alternate_for(run)
        if len(run.crashed) >= MAX_CRASHED or len(run.dead) >= MAX_DEAD:
            self._events.fail(run, CRASHES_TARGETS, sorted(run.dead))
            return
        if alternate is None:
            final = SUSPECT_APART if run.apart else NO_ALTERNATE
            self._events.fail(run, final, sorted(run.dead))
            return
        REPLACED.inc()
        self._record.note(
            run,
            "stage_replaced",
            lost=run.next_stage["target"],
            by=alternate["target"],
            why=reason,
        )
        run.chain[run.index + 1] = alternate
        run.next_process = ""
        self.reserve(run)

    def reserve(self, run: runs.Run) -> None:
        """Reserves the next stage."""
        run.next_open = False
        run.next_asked = False
        if not run.ready:
            return  # `_go_on` reserves it once the cache is complete.
        stage = run.next_stage
        waiter = peers_module.Waiter(
            lambda link: self._send_open(run, stage, link),
            lambda reason: self._on_unreachable(run, stage, reason),
        )
        self._peers.with_link(stage, waiter)

    def _on_unreachable(self, run: runs.Run, stage: Any, reason: str) -> None:
        if not self._is_next(run, stage):
            return
        if reason == peers_module.REFUSED:
            run.dead.add(stage["target"])
        self.replace(run, reason)

    def _send_open(
        self, run: runs.Run, stage: Any, link: link_module.Link
    ) -> None:
        if not self._is_next(run, stage):
            return
        process = link.peer["process"]
        same = process == run.next_process
        run.next_asked = True
        run.next_process = process
        complete = run.complete_token - run.base_token
        inputs = [] if same else run.kept[:complete]
        REBUILD_BYTES.inc(sum(len(data) for data in inputs))
        link.send(
            {
                "type": "open",
                **run.place,
                "stage_index": run.index + 1,
                "chain": run.chain,
                "alternates": run.alternates,
                "config_version": run.terms.config_version,
                "priority": run.terms.priority,
                "expires_in_s": run.time_left_s(self._reactor.seconds()),
                "rebuild_inputs": inputs,
                "rebuild_kv": b"",
                "first_token": run.base_token + len(inputs),
                "digest": run.terms.digest,
                "traceparent": traces.traceparent(run.span),
            }
        )

    def _is_next(self, run: runs.Run, stage: Any) -> bool:
        return self._events.is_open(run) and run.next_stage is stage

    def send_kept(self, run: runs.Run) -> None:
        """Sends all outputs that the next stage has not received."""
        newest = run.newest_kept_token
        for token_index in range(run.downstream_token, newest + 1):
            self._send_hop(run, token_index)

    def send_newest(self, run: runs.Run) -> None:
        """Sends the newest output unless the next stage has its token."""
        token_index = run.newest_kept_token
        if token_index >= run.downstream_token:
            self._send_hop(run, token_index)

    def _send_hop(self, run: runs.Run, token_index: int) -> None:
        if not run.next_open:
            return
        hop = {
            **run.place,
            "stage_index": run.index + 1,
            "token_index": token_index,
            "next_layer": run.next_stage["first_layer"],
            "data": run.kept[token_index - run.base_token],
        }
        self._outbox.add(run.next_stage["target"], outbox.HOPS, hop)
