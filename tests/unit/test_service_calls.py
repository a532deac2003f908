"""Calls of a plain service: what the agent concludes from their failures."""

import pytest
from twisted.internet.testing import MemoryReactorClock

from hemlocktiller._internal.agent import services
from hemlocktiller._internal.links import codec
from hemlocktiller._internal.observe import traces
from tests.fakes import connections

SERVICE_TIMEOUT_S = 2.0
FRAME_BYTES = 524_288
FRAMED_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
# Without length or chunks, the body ends with the connection.
UNFRAMED_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nbooked"
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
        connection: Connection of the call to the service.
        link: Link on which the result is sent.
        deaths: Deaths of the service that were reported.
    """

    def __init__(self):
        self.clock = MemoryReactorClock()
        self.link = FakeLink()
        self.deaths = []
        settings = {
            "service": {
                "url": "http://127.0.0.1:1",
                "timeout_s": SERVICE_TIMEOUT_S,
                "repeatable_methods": ["GET"],
            },
            "links": {"frame_bytes": FRAME_BYTES},
        }
        callbacks = services.Callbacks(
            lambda ended: None, lambda: self.deaths.append(True)
        )
        tracer = traces.create("test", 0.0)
        self._calls = services.ServiceCalls(
            self.clock, settings, None, tracer, callbacks
        )
        self._connection_count = 0
        self.start_call()

    def start_call(self):
        """Starts a call, and accepts its connection."""
        self.start(CALL)
        self.connection = connections.accept(
            self.clock, self._connection_count
        )
        self._connection_count += 1

    def start(self, call):
        """Starts a call."""
        self._calls.start_call(call, self.link)


@pytest.fixture
def service_run():
    return ServiceRun()


def test_a_call_that_times_out_is_no_death_of_the_service(service_run):
    service_run.clock.advance(SERVICE_TIMEOUT_S)
    (result,) = service_run.link.sent
    assert (result["ran"], result["reason"]) == ("unknown", "no_answer")
    assert service_run.deaths == []


def test_a_connection_that_the_service_closes_is_a_death(service_run):
    service_run.connection.reset()
    (result,) = service_run.link.sent
    assert (result["ran"], result["reason"]) == ("unknown", "no_answer")
    assert service_run.deaths == [True]


def test_an_answer_without_length_ends_with_its_connection(service_run):
    service_run.connection.respond(UNFRAMED_ANSWER)
    assert service_run.link.sent == []
    service_run.connection.close()
    (result,) = service_run.link.sent
    assert (result["ran"], result["reason"]) == ("yes", "")
    assert (result["status"], result["body"]) == (200, b"booked")
    assert result["content_type"] == "text/plain"
    assert service_run.deaths == []


def test_an_answer_without_length_is_incomplete_after_a_reset(service_run):
    service_run.connection.respond(UNFRAMED_ANSWER)
    service_run.connection.reset()
    (result,) = service_run.link.sent
    assert (result["ran"], result["reason"]) == ("unknown", "no_answer")
    assert service_run.deaths == [True]


@pytest.mark.parametrize("length", range(1, len(FRAMED_ANSWER)))
def test_a_framed_answer_closed_early_is_incomplete(service_run, length):
    service_run.connection.respond(FRAMED_ANSWER[:length])
    service_run.connection.close()
    (result,) = service_run.link.sent
    assert (result["ran"], result["reason"]) == ("unknown", "no_answer")


# Guards against an answer with a status like 000 that reaches the caller.
@pytest.mark.parametrize(
    "status", [b"000", b"099", b"600", b"999", b"0", b"0200", b"-01", b"101"]
)
def test_an_answer_with_an_invalid_status_is_none(service_run, status):
    answer = FRAMED_ANSWER.replace(b"200", status)
    service_run.connection.respond(answer)
    service_run.connection.close()
    (result,) = service_run.link.sent
    assert (result["ran"], result["reason"]) == ("unknown", "no_answer")


def test_a_late_second_answer_reaches_no_other_call(service_run):
    first_connection = service_run.connection
    first_connection.respond(FRAMED_ANSWER)
    service_run.start_call()
    first_connection.respond(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert len(service_run.link.sent) == 1
    service_run.connection.respond(FRAMED_ANSWER)
    assert [result["body"] for result in service_run.link.sent] == [
        b"done",
        b"done",
    ]


def test_an_answer_without_end_fails_before_it_exceeds_a_frame(service_run):
    service_run.connection.respond(UNFRAMED_ANSWER)
    sent_bytes = 0
    while not service_run.connection.transport.disconnecting:
        assert sent_bytes < FRAME_BYTES
        service_run.connection.respond(b"x" * 4096)
        sent_bytes += 4096
    (result,) = service_run.link.sent
    assert (result["ran"], result["reason"]) == ("unknown", "no_answer")
    assert len(codec.encode(result)) < FRAME_BYTES


def test_the_longest_answer_fits_into_a_frame(service_run):
    length = FRAME_BYTES - services.MAX_RESULT_FIELD_BYTES
    service_run.connection.respond(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length
        + b"x" * length
    )
    (result,) = service_run.link.sent
    assert result["ran"] == "yes"
    assert len(codec.encode(result)) <= FRAME_BYTES


@pytest.mark.parametrize("path", ["/caf\u00e9", "/a b"])
def test_a_path_that_cannot_be_sent_is_no_fault_of_the_service(
    service_run, path
):
    service_run.start({**CALL, "path": path})
    (result,) = service_run.link.sent
    assert (result["ran"], result["reason"]) == ("unknown", "no_answer")
    assert service_run.deaths == []
