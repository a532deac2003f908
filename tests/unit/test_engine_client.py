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
        self.reactor = MemoryReactorClock()
        self.client = engine_client.EngineClient(
            self.reactor, SETTINGS, lambda: self.failed_calls.append(True)
        )
        self.client.run_steps(STEPS).addBoth(self.outcome.append)
        self.connection = connections.accept(self.reactor, 0)

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


def answer_to(steps, *tokens):
    """Returns an answer that names the steps that it is to."""
    results = [
        {
            "sequence": step.sequence,
            "token_index": step.token_index,
            "token": token,
        }
        for step, token in zip(steps, tokens, strict=True)
    ]
    return cbor2.dumps({"results": results})


@pytest.mark.parametrize(
    "later_steps",
    [
        [engine_client.Step("s2", 1, b""), engine_client.Step("s2", 2, b"")],
        [engine_client.Step("s1", 3, b""), engine_client.Step("s1", 4, b"")],
    ],
)
def test_a_second_copy_of_an_answer_is_not_the_answer_to_a_later_call(
    engine_run, later_steps
):
    first = answer_to(STEPS, 3, 4)
    engine_run.respond(first)
    engine_run.outcome.clear()
    engine_run.client.run_steps(later_steps).addBoth(engine_run.outcome.append)
    # The connection is in use again.
    assert len(engine_run.reactor.tcpClients) == 1
    engine_run.respond(first)
    (outcome,) = engine_run.outcome
    assert outcome.check(engine_client.EngineFailed)
    # The answer that was due is not that of the next call either.
    engine_run.outcome.clear()
    engine_run.client.run_steps(STEPS).addBoth(engine_run.outcome.append)
    connection = connections.accept(engine_run.reactor, 1)
    assert connection.transport.value().startswith(b"POST")
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(first)
    connection.respond(head + first)
    (outputs,) = engine_run.outcome
    assert [output.token for output in outputs] == [3, 4]


def test_a_refusal_that_is_written_once_more_reaches_no_later_call(
    engine_run,
):
    refusal = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    engine_run.connection.respond(refusal)
    engine_run.client.run_steps(STEPS).addBoth(engine_run.outcome.append)
    connection = connections.accept(engine_run.reactor, 1)
    engine_run.connection.respond(refusal)
    first = answer_to(STEPS, 3, 4)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(first)
    connection.respond(head + first)
    refused, outputs = engine_run.outcome
    assert refused.check(engine_client.EngineFailed)
    assert [output.token for output in outputs] == [3, 4]
