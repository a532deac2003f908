"""Replies of the store whose end is that of their connection."""

from types import SimpleNamespace

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.internet.testing import MemoryReactorClock
from twisted.internet.testing import StringTransport
from twisted.python import failure
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.store import transport
from tests.fakes import memory

DOCUMENT = b'{"version": 7}'


class UnframedAgent:
    """An HTTP agent whose responses have neither length nor chunks."""

    def __init__(self, status, body, headers=None):
        self._headers = http_headers.Headers(headers)
        self._status = status
        self._body = body

    def request(self, method, url, headers, producer):
        """Returns a Deferred that has fired with the response."""
        return defer.succeed(
            SimpleNamespace(
                code=self._status,
                phrase=b"",
                headers=self._headers,
                deliverBody=self._deliver,
            )
        )

    def _deliver(self, protocol):
        protocol.makeConnection(StringTransport())
        protocol.dataReceived(self._body)
        # Twisted says the same of a clean close and of a reset.
        protocol.connectionLost(failure.Failure(http.PotentialDataLoss()))


def call(status, body, method="GET"):
    """Makes a call; returns its reply or raises its error."""
    store_transport = transport.Transport(
        memory.STORE_SETTINGS, task.Clock(), UnframedAgent(status, body)
    )
    results = []
    store_transport.call(method, ("objects", "thing")).addBoth(results.append)
    (result,) = results
    if isinstance(result, failure.Failure):
        result.raiseException()
    return result


def test_a_whole_document_without_length_is_a_reply():
    assert call(200, DOCUMENT).body == {"version": 7}


@pytest.mark.parametrize("length", range(len(DOCUMENT)))
def test_a_document_broken_off_without_length_is_no_reply(length):
    with pytest.raises(exceptions.WriteOutcomeUnknown):
        call(200, DOCUMENT[:length])


def test_a_refusal_without_length_has_no_effect():
    with pytest.raises(exceptions.StoreUnavailable):
        call(503, b"", "PUT")


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (b"1.5", 1.5),
        (b"-1", 0.0),
        (b"nan", 0.0),
        (b"inf", 0.0),
        (b"Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
    ],
)
def test_the_time_that_a_refusal_names_is_read(value, seconds):
    agent = UnframedAgent(503, b"", {b"Retry-After": [value]})
    store_transport = transport.Transport(
        memory.STORE_SETTINGS, task.Clock(), agent
    )
    results = []
    store_transport.call("GET", ("objects",)).addErrback(results.append)
    assert results[0].value.retry_after_s == seconds
    assert results[0].value.outcome == "503"


def test_a_number_that_may_be_a_part_is_no_reply():
    with pytest.raises(exceptions.WriteOutcomeUnknown):
        call(200, b"12")


@pytest.mark.parametrize("body", [b"[]", b"7", b'"x"', b"<html>", b""])
def test_a_body_that_is_no_object_is_no_document(body):
    agent = UnframedAgent(200, body)
    agent._deliver = lambda protocol: (
        protocol.makeConnection(StringTransport()),
        protocol.dataReceived(body),
        protocol.connectionLost(failure.Failure(client.ResponseDone())),
    )
    store_transport = transport.Transport(
        memory.STORE_SETTINGS, task.Clock(), agent
    )
    results = []
    store_transport.call("GET", ("objects",)).addBoth(results.append)
    assert results[0].body is None


class OpenCall:
    """A call whose reply has begun.

    Attributes:
        clock: Virtual clock.
        connection: Connection of the call.
        reader: Protocol that reads the body of the reply.
        results: Result or failure of the call, once there is one.
    """

    def __init__(self):
        self.clock = task.Clock()
        self.connection = StringTransport()
        self.results = []
        readers = []
        agent = UnframedAgent(200, b"")
        agent._deliver = readers.append
        store_transport = transport.Transport(
            memory.STORE_SETTINGS, self.clock, agent
        )
        call = store_transport.call("GET", ("objects",))
        call.addBoth(self.results.append)
        (self.reader,) = readers
        self.reader.makeConnection(self.connection)


@pytest.fixture
def open_call():
    return OpenCall()


def test_a_reply_without_end_fails_and_closes_its_connection(open_call):
    part = b"x" * 1_048_576
    for _ in range(transport.MAX_REPLY_BYTES // len(part)):
        open_call.reader.dataReceived(part)
        assert open_call.results == []
    open_call.reader.dataReceived(b"x")
    assert open_call.results[0].check(exceptions.WriteOutcomeUnknown)
    assert open_call.connection.disconnecting


def test_a_reply_that_times_out_closes_its_connection(open_call):
    open_call.reader.dataReceived(DOCUMENT[:5])
    open_call.clock.advance(memory.STORE_SETTINGS["timeout_s"])
    assert open_call.results[0].check(exceptions.WriteOutcomeUnknown)
    assert open_call.connection.disconnecting


class PendingCall:
    """A call over a connection of `twisted.web`, before its reply is whole.

    Attributes:
        results: Result or failure of the call, once there is one.
    """

    def __init__(self, phase, method="GET"):
        self.reactor = MemoryReactorClock()
        self.results = []
        store_transport = transport.Transport(
            memory.STORE_SETTINGS,
            self.reactor,
            client.Agent(self.reactor, pool=client.HTTPConnectionPool(None)),
        )
        self.call = store_transport.call(method, ("objects",), wait_s=9.0)
        self.call.addBoth(self.results.append)
        if phase == "connecting":
            return
        factory = self.reactor.tcpClients[0][2]
        self.connection = factory.buildProtocol(None)
        self.connection.makeConnection(StringTransport())
        if phase in ("head", "body"):
            self.connection.dataReceived(b"HTTP/1.1 200 OK\r\n")
        if phase == "body":
            self.connection.dataReceived(b"Content-Length: 9\r\n\r\n{")


PHASES = ("connecting", "waiting", "head", "body")


@pytest.mark.parametrize("method", ["GET", "PUT"])
@pytest.mark.parametrize("phase", PHASES)
def test_a_call_that_its_caller_cancels_shows_no_outage(phase, method):
    """Guards against review/2: a cancelled watch passed for an outage."""
    pending = PendingCall(phase, method)
    pending.call.cancel()
    (result,) = pending.results
    assert result.check(defer.CancelledError)
    pending.reactor.advance(60.0)
    assert pending.results == [result]


@pytest.mark.parametrize("phase", PHASES)
def test_a_call_that_times_out_is_not_taken_for_a_cancelled_one(phase):
    pending = PendingCall(phase)
    pending.reactor.advance(memory.STORE_SETTINGS["timeout_s"] + 9.0)
    (result,) = pending.results
    assert result.check(exceptions.StoreError)


@pytest.mark.parametrize("phase", PHASES[1:])
def test_a_call_whose_connection_is_lost_is_not_taken_for_a_cancelled_one(
    phase,
):
    pending = PendingCall(phase)
    pending.connection.connectionLost(failure.Failure(error.ConnectionLost()))
    (result,) = pending.results
    assert result.check(exceptions.WriteOutcomeUnknown)
