"""Streams at targets that fall silent, go on, end or reject, in any order."""

from collections.abc import Callable
import math
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from tests.fakes import connections
from tests.unit.gateway import conftest
from tests.unit.gateway.test_silent_targets import REJECTION
from tests.unit.gateway.test_streams import chunk
from tests.unit.gateway.test_streams import event
from tests.unit.gateway.test_streams import is_probe
from tests.unit.gateway.test_streams import path_target_names
from tests.unit.gateway.test_streams import REPORT_RESPONSE
from tests.unit.gateway.test_streams import RESPONSE_END
from tests.unit.gateway.test_streams import RESPONSE_HEAD

TICK_S = 0.1
# A run that is silent for less is not replaced.
MIN_SILENCE_S = 0.3
EVENT_COUNT = 40
# A run stalls for this long at a later stage that has ended.
STALL_TICKS = 20
# Less than the time limit of the route, actions included.
SETTLE_TICKS = 80
MAX_ENDED = 2
KINDS = [
    "silence", "cut off", "poll", "go on", "end", "full", "room", "spend",
]  # fmt: skip
RUN_TARGETS = ["oldest first", "oldest last", "newest first", "newest last"]
NAMES = [f"{chain}{first}" for chain in "abc" for first in (0, 40)]


class Run:
    """A run of the request at its targets.

    Attributes:
        connection: Connection of the first target.
        path: Names of its targets.
        next_event: Number of the event that it sends next.
        last_event_s: When it has sent the last one.
        has_started: Whether it has sent its head.
        was_rejected: Whether its first target rejected it.
        is_over: Whether it was rejected, reset or sent completely.
        stalled_ticks: How long a later stage has ended.
    """

    def __init__(self, connection: connections.TargetConnection) -> None:
        self.connection = connection
        self.path = path_target_names(connection)
        lines = connection.transport.value().split(b"\r\n")
        last_id = next(
            line.removeprefix(b"Last-Event-Id: ")
            for line in lines
            if line.startswith(b"Last-Event-Id:")
        )
        self.next_event = int(last_id or b"0") + 1
        self.last_event_s = -math.inf
        self.has_started = False
        self.was_rejected = False
        self.is_over = False
        self.stalled_ticks = 0

    def is_cancelled(self) -> bool:
        """Returns whether the gateway has closed the connection."""
        return self.connection.transport.disconnecting


class World:
    """Plays targets, and checks what the gateway does with a request.

    Attributes:
        silent: Names of the targets that send nothing.
        cut_off: Names of those that only other targets hear.
        ended: Names of the targets whose process has ended.
        full: Names of the targets that reject requests.
    """

    def __init__(self, harness: conftest.GatewayHarness, admitted: Any):
        self.silent: set[str] = set()
        self.cut_off: set[str] = set()
        self.ended: set[str] = set()
        self.full: set[str] = set()
        self._harness = harness
        self._caller = admitted.caller_request
        self._allowance = admitted.route.allowance
        self._runs: list[Run] = []
        self._probes: list[tuple[str, connections.TargetConnection]] = []
        self._name_by_port = {
            target.port: name
            for name, target in harness.targets.by_name.items()
        }

    def apply(self, kind: str, name: str) -> None:
        """Lets a target change its behaviour.

        Args:
            kind: What it does from now on.
            name: Its name, or which run's first or last target it is.
        """
        if name not in NAMES:
            live_runs = self._live_runs()
            if not live_runs:
                return
            run = live_runs[0 if name.startswith("oldest") else -1]
            name = run.path[0 if name.endswith("first") else -1]
        if kind == "end" and len(self.ended) == MAX_ENDED:
            return
        if kind == "end":
            self.ended.add(name)
            for run in self._runs:
                if run.path[0] == name:
                    self._end_run(run, run.connection.reset)
        elif kind == "silence":
            self.silent.add(name)
        elif kind == "cut off":
            self.cut_off.add(name)
        elif kind == "go on":
            self.silent.discard(name)
            self.cut_off.discard(name)
        elif kind == "poll":
            target = self._harness.targets.by_name[name]
            self._step(
                lambda: self._harness.targets.probe_suspect(target, "poll")
            )
        elif kind == "spend":
            while self._harness.budget.try_retry(self._now_s()):
                pass
        elif kind == "full":
            self.full.add(name)
        elif kind == "room":
            self.full.discard(name)

    def tick(self) -> None:
        """Plays a tenth of a second."""
        self._step(lambda: self._harness.advance_clock(TICK_S))
        self._accept_all()
        self._answer_probes()
        for run in list(self._runs):
            self._advance(run)
        self._accept_all()

    def settle(self) -> None:
        """Lets all targets go on until the request has ended."""
        self.silent.clear()
        self.cut_off.clear()
        self.full.clear()
        for _ in range(SETTLE_TICKS):
            if not self._caller.ending:
                self.tick()

    def check_end(self) -> None:
        """Checks that the request has ended and has left nothing behind."""
        assert self._caller.ending
        assert all(run.is_over or run.is_cancelled() for run in self._runs)
        assert self._harness.dispatcher.occupancy.reservation_count() == 0
        assert len(self._harness.finished) == 1
        if self._caller.status == 503 and not self._allowance.may_repeat:
            assert all(run.was_rejected for run in self._runs)
        if self._caller.ending == "whole" and self._caller.status == 200:
            assert self._caller.body == _events(EVENT_COUNT)

    def _step(self, action: Callable[[], Any]):
        """Does one thing, and checks what the gateway has made of it."""
        had_ended = self._caller.ending
        live_before = self._live_runs()
        action()
        if self._caller.ending and not had_ended:
            is_whole = self._caller.ending == "whole"
            if not is_whole or self._caller.status != 200:
                assert not [
                    run.path for run in live_before if self._may_go_on(run)
                ], f"given up: {self._caller.ending} {self._caller.status}"
        if self._caller.status in (0, 200):
            count = self._caller.body.count(b"\n\n")
            assert self._caller.body == _events(count)

    def _live_runs(self):
        return [
            run
            for run in self._runs
            if self._may_go_on(run) and not run.is_cancelled()
        ]

    def _may_go_on(self, run):
        may_be_rejected = run.path[0] in self.full and not run.has_started
        return not (
            run.is_over or may_be_rejected or self.ended.intersection(run.path)
        )

    def _has_pending_connection(self):
        self._harness.skip_cancelled_connections()
        return self._harness.pending_connection_count() > 0

    def _accept_all(self):
        while self._has_pending_connection():
            name = self._name_by_port[self._harness.next_port()]
            if name in self.ended:
                self._step(self._harness.refuse_connection)
                continue
            connection = self._harness.accept_connection()
            if is_probe(connection):
                self._probes.append((name, connection))
                continue
            flowing = [
                run.path
                for run in self._live_runs()
                if self._now_s() - run.last_event_s < MIN_SILENCE_S
            ]
            assert not flowing, "replaced though its events arrive"
            self._runs.append(Run(connection))
            started_at = {
                run.path[0]
                for run in self._runs
                if not run.was_rejected and run.path[0] not in self.ended
            }
            assert len(started_at) <= self._allowance.max_targets, started_at
            may_have_run = [run for run in self._runs if not run.was_rejected]
            assert self._allowance.may_repeat or len(may_have_run) == 1

    def _answer_probes(self):
        waiting = self._probes
        self._probes = []
        for name, connection in waiting:
            if connection.transport.disconnecting:
                continue
            if name in self.ended:
                self._step(connection.reset)
            elif name in self.silent | self.cut_off:
                self._probes.append((name, connection))
            else:
                self._step(lambda one=connection: one.respond(REPORT_RESPONSE))

    def _advance(self, run):
        """Lets a run send what it has by now."""
        is_heard = run.path[0] not in self.silent | self.cut_off
        if run.is_over or run.is_cancelled() or not is_heard:
            return
        if self.ended.intersection(run.path):
            run.stalled_ticks += 1
            if run.stalled_ticks > STALL_TICKS:
                self._end_run(run, run.connection.reset)
            return
        if run.path[0] in self.full and not run.has_started:
            run.was_rejected = True
            self._end_run(run, lambda: run.connection.respond(REJECTION))
            return
        if self.silent.intersection(run.path):
            return
        if not run.has_started:
            run.has_started = True
            self._step(lambda: run.connection.respond(RESPONSE_HEAD))
        if run.next_event <= EVENT_COUNT:
            data = chunk(event(run.next_event))
            run.next_event += 1
            run.last_event_s = self._now_s()
            self._step(lambda: run.connection.respond(data))
        else:
            self._end_run(run, lambda: run.connection.respond(RESPONSE_END))

    def _now_s(self):
        return self._harness.reactor.seconds()

    def _end_run(self, run, action):
        was_live = not run.is_over and not run.is_cancelled()
        run.is_over = True
        if was_live:
            self._step(action)


def _events(count):
    return b"".join(event(number) for number in range(1, count + 1))


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(KINDS),
        strategies.sampled_from([*RUN_TARGETS, *NAMES]),
        strategies.sampled_from([0, 1, 4, 8, 12]),
    ),
    max_size=12,
)


@pytest.mark.parametrize(
    "fields",
    [{}, {"max_targets": 1}, {"max_targets": 3}, {"is_resumable": False}],
    ids=repr,
)
@hypothesis.settings(
    derandomize=True,
    max_examples=100,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(actions=ACTIONS)
def test_no_sequence_of_silences_gives_up_a_run_that_may_go_on(
    model_service, stream_route, fields, actions
):
    harness = conftest.GatewayHarness()
    harness.register(
        *(
            conftest.make_target(
                name,
                first_layer=int(name[1:]),
                end_layer=int(name[1:]) + 40,
                port=4000 + number,
            )
            for number, name in enumerate(NAMES)
        )
    )
    route = stream_route._replace(**fields)
    admitted = harness.admit(model_service, route)
    world = World(harness, admitted)
    harness.start_stream(admitted)
    for kind, name, ticks in actions:
        world.apply(kind, name)
        for _ in range(ticks):
            world.tick()
    world.settle()
    world.check_end()
