"""Answers of the engine that are not whole."""

import cbor2
import pytest
from twisted.internet.testing import MemoryReactorClock

from hemlocktiller._internal.agent import engine_client
from tests.fakes import connections

STEPS = [
    engine_client.Step("s1", 1, b"", rebuild=True),
    engine_client.Step("s1", 2, b""),
]
SETTINGS = {
    "url": "http://127.0.0.1:1",
    "step_timeout_s": 2.0,
    "batch_sequences": 8,
}


class EngineRun:
    """Two steps in one call of an engine.

    Attributes:
        connection: Connection of the call.
        failed_calls: Failed calls that were reported.
        outcome: Result or failure of the steps, once there is one.
    """

    def __init__(self):
        self.failed_calls = []
        self.outcome = []
        reactor = MemoryReactorClock()
        client = engine_client.EngineClient(
            reactor, SETTINGS, lambda: self.failed_calls.append(True)
        )
        client.run_steps(STEPS).addBoth(self.outcome.append)
        self.connection = connections.accept(reactor, 0)

    def respond(self, body, length=None):
        """Sends an answer with the given Content-Length."""
        length = len(body) if length is None else length
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length
        self.connection.respond(head + body)


@pytest.fixture
def engine_run():
    """Two steps in one call, without an answer yet."""
    return EngineRun()


def answer(*tokens):
    return cbor2.dumps({"results": [{"token": token} for token in tokens]})


def test_a_whole_answer_has_the_result_of_each_step(engine_run):
    engine_run.respond(answer(3, 4))
    (outputs,) = engine_run.outcome
    assert [output.token for output in outputs] == [3, 4]
    assert engine_run.failed_calls == []


@pytest.mark.parametrize(
    "body",
    [answer(3), answer(3, 4, 5), answer(), cbor2.dumps([]), cbor2.dumps({})],
)
def test_an_answer_that_lacks_results_fails_all_steps(engine_run, body):
    engine_run.respond(body)
    (outcome,) = engine_run.outcome
    assert outcome.check(engine_client.EngineFailed)
    assert engine_run.failed_calls == [True]


@pytest.mark.parametrize("length", range(len(answer(3, 4))))
def test_an_answer_broken_off_fails_all_steps(engine_run, length):
    whole = answer(3, 4)
    engine_run.respond(whole[:length], len(whole))
    engine_run.connection.reset()
    (outcome,) = engine_run.outcome
    assert outcome.check(engine_client.EngineFailed)
