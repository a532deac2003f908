"""Requests suspected of the crash of an engine, on the chains that ran it."""

import pytest

from hemlocktiller._internal.agent import next_stages
from hemlocktiller._internal.agent import stage_runs
from tests.functional import history
from tests.unit import pipeline_simulation
from tests.unit import test_pipeline
from tests.unit import test_silent_stages

TOKENS = 4
REQUESTS = 6
SEEDS = range(20)
ENTRY_WAIT_S = 0.2
MAX_EVENTS = 20_000
ENDS = ("finished", "failed", "refused")


class Requests:
    """Several requests whose entry resumes those refused as suspects.

    Attributes:
        simulation: The simulated pipeline.
        tokens: Tokens that the entry received, by request.
        ends: Last message of each request that ended, by request.
        attempts: Number of the last attempt, by request.
    """

    def __init__(self, simulation, count=REQUESTS):
        self.simulation = simulation
        self.tokens = {f"r{number}": [] for number in range(count)}
        self.ends = {}
        self.attempts = dict.fromkeys(self.tokens, 0)
        self._links = {}
        for request in self.tokens:
            self._start(request)

    def _start(self, request):
        self.attempts[request] += 1
        self._links[request] = self.simulation.start_request(
            TOKENS,
            request,
            self.attempts[request],
            list(self.tokens).index(request) + 1,
            self.tokens[request],
        )

    def run(self, until):
        """Runs the simulation until a condition holds."""
        for _ in range(MAX_EVENTS):
            if until() or not self.simulation.run_one_event():
                break
            for request in self.tokens:
                self._receive(request)
        assert until()

    def run_until(self, at_s):
        """Runs the simulation until a time of its clock."""
        self.run(lambda: self.simulation.clock.seconds() >= at_s)

    def run_until_ended(self):
        """Runs the simulation until all requests have ended."""
        self.run(lambda: len(self.ends) == len(self.tokens))

    def _receive(self, request):
        messages = self._links[request].messages
        while messages:
            message = messages.pop(0)
            if message["type"] == "tokens":
                for run in message["runs"]:
                    self.tokens[request].extend(run["tokens"])
            elif message.get("reason") == "suspect_apart":
                self.simulation.clock.callLater(
                    ENTRY_WAIT_S, self._start, request
                )
            elif message["type"] in ENDS:
                self.ends[request] = message

    def digests(self):
        """Returns the digests of all requests."""
        return list(range(1, len(self.tokens) + 1))


def executed_runs(simulation):
    layers_per_stage = pipeline_simulation.LAYERS // pipeline_simulation.STAGES
    return [
        history.Run(
            step.target,
            step.sequence,
            step.token_index,
            step.first_layer,
            step.first_layer + layers_per_stage,
            float(index),
        )
        for index, step in enumerate(simulation.executed_steps)
        if not step.rebuild
    ]


def assert_whole_answers(requests):
    assert {end["type"] for end in requests.ends.values()} == {"finished"}
    expected = test_pipeline.reference_tokens()[:TOKENS]
    assert all(tokens == expected for tokens in requests.tokens.values())


def crash_last_stage(requests):
    """Crashes the last stage's engine once all requests are in it."""
    agent = requests.simulation.agents["s2r0"]
    requests.simulation.paused_engines.add("s2r0")
    requests.run(
        lambda: (
            len(agent.pipeline.in_engine_s_by_digest()) == len(requests.tokens)
        )
    )
    requests.simulation.crash_engine("s2r0")
    requests.simulation.paused_engines.clear()


@pytest.fixture
def simulation(request):
    return pipeline_simulation.SimulatedPipeline(getattr(request, "param", 0))


@pytest.mark.promise(1)
@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_suspects_of_one_crash_finish_no_token_in_two_attempts(simulation):
    requests = Requests(simulation)
    crash_last_stage(requests)
    requests.run_until_ended()
    assert_whole_answers(requests)
    runs = executed_runs(simulation)
    layer_count = pipeline_simulation.LAYERS
    assert history.check_one_attempt(runs, layer_count) == []
    assert history.check_layers(runs, lossy=("s2r0",)) == []


def test_suspects_follow_long_ones_on_the_next_target_in_one_attempt(
    simulation,
):
    requests = Requests(simulation)
    crash_last_stage(requests)
    simulation.paused_engines |= {"s2r1", "s2r2"}
    requests.run_until(simulation.clock.seconds() + 3.0)
    running = [
        len(simulation.agents[name].pipeline.runs) for name in ("s2r1", "s2r2")
    ]
    assert running == [3, 3]
    assert set(requests.attempts.values()) == {1}
    simulation.paused_engines.clear()
    requests.run_until_ended()
    assert_whole_answers(requests)


def test_suspects_that_must_run_apart_leave_their_stages_in_the_end(
    simulation,
):
    requests = Requests(simulation)
    crash_last_stage(requests)
    simulation.suspects.record_death(
        "other",
        dict.fromkeys(requests.digests(), 5.0),
        simulation.clock.seconds(),
    )
    simulation.paused_engines |= {"s2r1", "s2r2"}
    crashed_at_s = simulation.clock.seconds()
    requests.run_until(crashed_at_s + next_stages.MAX_SUSPECT_WAIT_S - 0.5)
    assert set(requests.attempts.values()) == {1}
    requests.run_until(crashed_at_s + next_stages.MAX_SUSPECT_WAIT_S + 0.5)
    assert sorted(requests.attempts.values())[:3] == [1, 1, 2]
    simulation.paused_engines.clear()
    requests.run_until_ended()
    assert_whole_answers(requests)


def test_the_entry_decides_on_a_waiting_suspect_of_a_second_crash(simulation):
    requests = Requests(simulation)
    crash_last_stage(requests)
    simulation.paused_engines |= {"s2r1", "s2r2"}
    crashed_at_s = simulation.clock.seconds()
    requests.run_until(crashed_at_s + 0.1)
    waiting = [
        run
        for run in simulation.agents["s1r0"].pipeline.runs.values()
        if not run.next_reserved
    ]
    assert len(waiting) == REQUESTS - 2
    run = waiting[0]
    simulation.suspects.record_death(
        "other", {run.context.digest: 0.0}, simulation.clock.seconds()
    )
    requests.run_until(crashed_at_s + 0.5)
    assert [
        request
        for request, attempt in requests.attempts.items()
        if attempt > 1
    ] == [run.key[0]]


def test_suspects_are_refused_at_once_before_they_run(simulation):
    digests = range(1, REQUESTS + 1)
    simulation.suspects.record_death("other", dict.fromkeys(digests, 0.0), 0.0)
    simulation.paused_engines.add("s0r0")
    requests = Requests(simulation)
    requests.run_until(0.1)
    runs = simulation.agents["s0r0"].pipeline.runs
    assert len(runs) == pipeline_simulation.REPLICAS
    assert all(run.next_reserved for run in runs.values())


@pytest.fixture
def first_stage():
    """A real agent whose next stage died, and refuses it as a suspect."""
    stage = test_silent_stages.FirstStage(["a", "b"])
    stage.start()
    stage.reserve("a")
    stage.agent.process.suspects.record_death("a", {1: 0.1})
    stage.later["a"].link.send(
        {
            "type": "stage_failed",
            "request": "r1",
            "attempt": 1,
            "stage_index": 1,
            "reason": "engine_failed",
            "dead_targets": ["a"],
        }
    )
    stage.advance(0.1)
    refuse(stage)
    return stage


def refuse(stage):
    """Lets the alternate refuse the request as a suspect."""
    stage.later["b"].link.send(
        stage_runs.refusal_message(
            {"request": "r1", "attempt": 1}, next_stages.SUSPECT_CONFLICT, "b"
        )
    )
    stage.advance(0.05)


def test_an_agent_asks_an_alternate_again_that_refused_a_suspect(first_stage):
    refusing = first_stage.later["b"]
    first_stage.advance(0.2)
    refuse(first_stage)
    first_stage.advance(0.2)
    assert first_stage.sent_types() == ["started"]
    assert len(refusing.requests("open")) == 3
    first_stage.reserve("b")
    first_stage.send_token("b", 0)
    assert first_stage.sent_types() == ["started", "tokens"]
    assert test_silent_stages.hop_count(refusing) == 2


def test_an_agent_asks_again_after_the_link_was_lost(first_stage):
    first_stage.later["b"].link.abort("closed")
    first_stage.advance(0.4)
    assert first_stage.sent_types() == ["started"]
    assert len(first_stage.later["b"].requests("open")) == 2


def test_an_agent_asks_no_alternate_for_a_suspect_of_a_second_crash(
    first_stage,
):
    first_stage.agent.process.suspects.record_death("other", {1: 0.1})
    first_stage.advance(0.3)
    assert first_stage.sent_types() == ["started", "failed"]
    failed = first_stage.entry_link.messages[-1]
    assert failed["reason"] == next_stages.SUSPECT_CONFLICT
    assert len(first_stage.later["b"].requests("open")) == 1


def test_a_cancelled_request_no_longer_waits_as_a_suspect(first_stage):
    first_stage.agent.first_stage_runner.cancel(("r1", 1))
    first_stage.advance(0.4)
    assert len(first_stage.later["b"].requests("open")) == 1
    assert first_stage.agent.pipeline.runs == {}
