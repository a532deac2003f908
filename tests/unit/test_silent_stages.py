"""A later stage may fall silent for a second or so while it works."""

import pytest
from twisted.internet import error
from twisted.internet import task
from twisted.internet.testing import MemoryReactorClock
from twisted.python import failure

from hemlocktiller._internal import documents
from hemlocktiller._internal import process as process_module
from hemlocktiller._internal.agent import app
from hemlocktiller._internal.agent import engine_client
from tests.unit import entry_simulation
from tests.unit import memory_links
from tests.unit import pipeline_simulation

SILENCE_S = 1.5
FIRST_PORT = 4000
SETTINGS = {
    "name": "first",
    "data_centre": "dc1",
    "admin": {"host": "127.0.0.1", "port": 0},
    "link": {"host": "127.0.0.1", "port": 0},
    "store": {"url": "http://127.0.0.1:1"},
    "links": {"secret": memory_links.SETTINGS["secret"]},
    "engine": {"url": "http://127.0.0.1:1"},
}


class FakeEngine:
    """An engine that answers each step in the next event loop iteration."""

    def __init__(self, clock):
        self._clock = clock

    def run_step(self, step):
        """Returns an output for the next stage."""
        output = engine_client.Output(data=b"output")
        return task.deferLater(self._clock, 0, lambda: output)

    def release_sequences(self, sequences):
        """Ignores the sequences."""


class FirstStage:
    """The agent of a first stage, with stand-ins of the next stages.

    Attributes:
        clock: Virtual clock.
        later: Stand-ins of agents of the next stage, by name.
        entry_link: Link to the entry; keeps what the agent sends.
    """

    def __init__(self, later_names):
        self.clock = MemoryReactorClock()
        self.entry_link = pipeline_simulation.FakeEntryLink()
        self.later = {
            name: entry_simulation.Agent(self.clock, name)
            for name in later_names
        }
        schema = documents.read_schema("agent_settings")
        settings = documents.with_defaults(SETTINGS, schema)
        self.agent = app.Agent(
            process_module.create(self.clock, settings, "agent")
        )
        self.agent.pipeline._engine = FakeEngine(self.clock)
        self._handled_count = 0

    def start(self, request="r1", has_alternates=True):
        """Starts a request; the first next stage reserves it."""
        stages = [_stage("first", 0, 0)] + [
            _stage(name, 2, FIRST_PORT + index)
            for index, name in enumerate(self.later)
        ]
        message = {
            "request": request,
            "attempt": 1,
            "config_version": 1,
            "prompt": "a menu",
            "max_tokens": 8,
            "generated": [],
            "expires_in_s": 30.0,
            "credit_tokens": 100,
            "chain": stages[:2],
            "alternates": stages[2:] if has_alternates else [],
            "digest": 1,
            "traceparent": "",
        }
        self.agent.first_stage_runner.begin(message, self.entry_link, ())
        self.advance(0.1)

    def advance(self, duration_s):
        """Advances the clock in steps and delivers all bytes after each."""
        for _ in range(round(duration_s / entry_simulation.STEP_S)):
            self.clock.advance(entry_simulation.STEP_S)
            while self._handled_count < len(self.clock.tcpClients):
                _, port, factory, *_ = self.clock.tcpClients[
                    self._handled_count
                ]
                self._handled_count += 1
                later = list(self.later.values())[port - FIRST_PORT]
                if later.is_gone:
                    factory.clientConnectionFailed(
                        None, failure.Failure(error.ConnectionRefusedError())
                    )
                else:
                    later.accept(factory.buildProtocol(None))
            for later in self.later.values():
                later.deliver()

    def reserve(self, name, request="r1"):
        """Lets a next stage confirm its reservation."""
        self.later[name].link.send(
            {
                "type": "opened",
                "request": request,
                "attempt": 1,
                "stage_index": 1,
                "next_token": 0,
            }
        )
        self.advance(0.1)

    def send_token(self, name, token_index, request="r1"):
        """Lets a next stage answer a hop with a token."""
        result = {
            "request": request,
            "attempt": 1,
            "token_index": token_index,
            "token": 7,
            "final": False,
        }
        self.later[name].link.send(
            {"type": "hop_results", "results": [result]}
        )
        self.advance(0.1)

    def sent_types(self):
        """Returns the types of the messages sent to the entry."""
        return [message["type"] for message in self.entry_link.messages]


def _stage(name, first_layer, port):
    return {
        "target": name,
        "host": "127.0.0.1",
        "port": port,
        "first_layer": first_layer,
        "end_layer": first_layer + 2,
    }


def hop_count(later):
    return sum(len(message["hops"]) for message in later.requests("hops"))


def test_a_run_without_an_alternate_outlives_the_silence_of_its_next_stage():
    first_stage = FirstStage(["a"])
    first_stage.start()
    first_stage.reserve("a")
    silent = first_stage.later["a"]
    silent.is_silent = True
    first_stage.advance(SILENCE_S)
    assert first_stage.sent_types() == ["started"]
    silent.is_silent = False
    first_stage.advance(0.1)
    first_stage.send_token("a", 0)
    assert first_stage.sent_types() == ["started", "tokens"]
    assert hop_count(silent) == 2
    assert len(silent.requests("open")) == 1


def test_a_silent_next_stage_is_replaced_by_an_alternate():
    first_stage = FirstStage(["a", "b"])
    first_stage.start()
    first_stage.reserve("a")
    first_stage.later["a"].is_silent = True
    first_stage.advance(0.9)
    assert len(first_stage.later["b"].requests("open")) == 1
    assert first_stage.sent_types() == ["started"]


def test_a_silent_stage_releases_the_runs_that_were_replaced():
    first_stage = FirstStage(["a", "b"])
    first_stage.start("r1")
    first_stage.reserve("a", "r1")
    first_stage.start("r2", has_alternates=False)
    first_stage.reserve("a", "r2")
    silent = first_stage.later["a"]
    silent.is_silent = True
    first_stage.advance(0.9)
    silent.is_silent = False
    first_stage.advance(0.1)
    closed = [message["request"] for message in silent.requests("close")]
    assert closed == ["r1"]
    first_stage.send_token("a", 0, "r2")
    assert "failed" not in first_stage.sent_types()


def test_a_run_whose_next_stage_stays_silent_fails_before_its_deadline():
    first_stage = FirstStage(["a"])
    first_stage.start()
    first_stage.reserve("a")
    first_stage.later["a"].is_silent = True
    first_stage.advance(4.0)
    assert first_stage.sent_types() == ["started", "failed"]


def test_a_run_whose_last_alternate_answers_a_dial_late_goes_on():
    first_stage = FirstStage(["a", "b"])
    first_stage.start()
    first_stage.reserve("a")
    late = first_stage.later["b"]
    late.is_silent = True
    first_stage.later["a"].stop()
    first_stage.advance(SILENCE_S)
    assert first_stage.sent_types() == ["started"]
    late.is_silent = False
    first_stage.advance(1.0)
    assert len(late.requests("open")) == 1
    first_stage.reserve("b")
    first_stage.send_token("b", 0)
    assert first_stage.sent_types() == ["started", "tokens"]


def test_a_pause_of_this_process_is_not_silence_of_the_last_alternate():
    first_stage = FirstStage(["a", "b"])
    first_stage.start()
    first_stage.reserve("a")
    late = first_stage.later["b"]
    late.is_silent = True
    first_stage.later["a"].stop()
    first_stage.advance(0.3)
    late.is_silent = False
    first_stage.clock.advance(2.5)
    first_stage.advance(0.5)
    assert first_stage.sent_types() == ["started"]
    first_stage.reserve("b")
    first_stage.send_token("b", 0)
    assert first_stage.sent_types() == ["started", "tokens"]


def test_a_run_whose_last_alternate_answers_no_dial_fails_in_time():
    first_stage = FirstStage(["a", "b"])
    first_stage.start()
    first_stage.reserve("a")
    first_stage.later["b"].is_silent = True
    first_stage.later["a"].stop()
    first_stage.advance(4.0)
    assert first_stage.sent_types() == ["started", "failed"]


def test_a_late_dial_to_an_alternate_is_not_waited_for_beside_another():
    first_stage = FirstStage(["a", "b", "c"])
    first_stage.start()
    first_stage.reserve("a")
    first_stage.later["b"].is_silent = True
    first_stage.later["a"].stop()
    first_stage.advance(SILENCE_S)
    assert len(first_stage.later["c"].requests("open")) == 1


@pytest.mark.parametrize("pause_s", [0.3, 1.0])
def test_a_run_outlives_a_second_silence_of_its_next_stage(pause_s):
    first_stage = FirstStage(["a"])
    first_stage.start()
    first_stage.reserve("a")
    silent = first_stage.later["a"]
    for token_index in range(2):
        silent.is_silent = True
        first_stage.advance(SILENCE_S)
        silent.is_silent = False
        first_stage.advance(pause_s)
        first_stage.send_token("a", token_index)
    assert first_stage.sent_types() == ["started", "tokens", "tokens"]
    assert hop_count(silent) == 3
    assert len(silent.requests("open")) == 1


def test_a_run_outlives_the_silence_of_its_stage_and_then_of_its_alternate():
    first_stage = FirstStage(["a", "b"])
    first_stage.start()
    first_stage.reserve("a")
    first_stage.later["a"].is_silent = True
    first_stage.advance(0.9)
    first_stage.reserve("b")
    first_stage.later["a"].is_silent = False
    silent = first_stage.later["b"]
    silent.is_silent = True
    first_stage.advance(SILENCE_S)
    silent.is_silent = False
    first_stage.advance(0.1)
    first_stage.send_token("b", 0)
    assert first_stage.sent_types() == ["started", "tokens"]


def test_a_stage_known_as_silent_replaces_no_other_one():
    first_stage = FirstStage(["b", "c"])
    first_stage.start("r1", has_alternates=False)
    first_stage.reserve("b", "r1")
    first_stage.later["b"].is_silent = True
    first_stage.advance(0.9)
    first_stage.start("r2")
    first_stage.advance(0.2)
    assert len(first_stage.later["c"].requests("open")) == 1
    assert len(first_stage.later["b"].requests("open")) == 1


def test_a_replaced_stage_whose_link_was_closed_is_released_when_it_goes_on():
    first_stage = FirstStage(["a", "b"])
    first_stage.start()
    first_stage.reserve("a")
    silent = first_stage.later["a"]
    silent.is_silent = True
    first_stage.advance(0.9)
    first_stage.reserve("b")
    silent.is_silent = False
    first_stage.advance(0.5)
    closed = [message["request"] for message in silent.requests("close")]
    assert closed == ["r1"]
