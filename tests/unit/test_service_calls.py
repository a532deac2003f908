"""Calls of a plain service: what the agent concludes from their failures."""

import pytest
from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure
from twisted.web import client

from hemlocktiller._internal.agent import services
from hemlocktiller._internal.observe import traces

SERVICE_TIMEOUT_S = 2.0
CALL = {
    "request": "r1",
    "attempt": 1,
    "digest": 7,
    "method": "POST",
    "path": "/bookings",
    "body": b"{}",
    "content_type": "application/json",
    "idempotency_key": "",
    "traceparent": "",
    "expires_in_s": 30.0,
}


class FakeHttpAgent:
    """An HTTP agent whose requests stay without a response.

    As in Twisted, a request that is cancelled after it was sent fails with
    `ResponseNeverReceived`.
    """

    def __init__(self):
        self.pending = None

    def request(self, method, url, headers, producer):
        """Returns a Deferred that fires when the test says so."""
        self.pending = defer.Deferred(
            lambda pending: self.lose_connection(defer.CancelledError())
        )
        return self.pending

    def lose_connection(self, cause):
        """Ends the request as a lost connection does."""
        self.pending.errback(
            client.ResponseNeverReceived([failure.Failure(cause)])
        )


class FakeLink:
    """An open link that records what is sent on it."""

    def __init__(self):
        self.is_open = True
        self.sent = []

    def send(self, message):
        """Records a message."""
        self.sent.append(message)


class ServiceRun:
    """One call of a service.

    Attributes:
        clock: Virtual clock.
        http: HTTP agent of the service.
        link: Link on which the result is sent.
        deaths: Deaths of the service that were reported.
    """

    def __init__(self):
        self.clock = task.Clock()
        self.http = FakeHttpAgent()
        self.link = FakeLink()
        self.deaths = []
        settings = {
            "service": {
                "url": "http://127.0.0.1:1",
                "timeout_s": SERVICE_TIMEOUT_S,
                "repeatable_methods": ["GET"],
            }
        }
        callbacks = services.Callbacks(
            lambda ended: None, lambda: self.deaths.append(True)
        )
        tracer = traces.create("test", 0.0)
        calls = services.ServiceCalls(
            self.clock, settings, None, tracer, callbacks
        )
        calls._http = self.http
        calls.start_call(CALL, self.link)


@pytest.fixture
def service_run():
    return ServiceRun()


def test_a_call_that_times_out_is_no_death_of_the_service(service_run):
    service_run.clock.advance(SERVICE_TIMEOUT_S)
    (result,) = service_run.link.sent
    assert (result["ran"], result["reason"]) == ("unknown", "no_answer")
    assert service_run.deaths == []


def test_a_connection_that_the_service_closes_is_a_death(service_run):
    service_run.http.lose_connection(ConnectionResetError())
    (result,) = service_run.link.sent
    assert (result["ran"], result["reason"]) == ("unknown", "no_answer")
    assert service_run.deaths == [True]
