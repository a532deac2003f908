"""Callers on kept connections while a gateway stops as planned."""

from types import SimpleNamespace

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.internet.testing import StringTransport
from twisted.python import failure

from hemlocktiller._internal.gateway import app
from hemlocktiller._internal.gateway import model
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_app import decode_fake_request
from tests.unit.gateway.test_app import make_settings
from tests.unit.gateway.test_app import UnresponsiveStore

GRACE_S = 8.0
STEP_S = 0.05
LENGTH_REQUEST = (
    b"POST /drafts/1 HTTP/1.1\r\nHost: drafts.example\r\n"
    b"Content-Length: 2\r\n\r\n{}"
)
CHUNKED_REQUEST = (
    b"POST /drafts/1 HTTP/1.1\r\nHost: drafts.example\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n2;a=b\r\n{}\r\n0\r\n\r\n"
)
EMPTY_REQUEST = b"GET /drafts/1 HTTP/1.1\r\nHost: drafts.example\r\n\r\n"
REQUESTS = [LENGTH_REQUEST, CHUNKED_REQUEST, EMPTY_REQUEST]


class Caller:
    """A caller's connection, which the caller keeps open.

    Attributes:
        sent: Number of whole requests that were sent.
    """

    def __init__(self, gateway):
        self.transport = StringTransport()
        self.transport.connected = True
        self.sent = 0
        self._channel = gateway._caller_factory.buildProtocol(None)
        self._channel.makeConnection(self.transport)

    def is_open(self):
        """Returns whether the gateway has not closed the connection."""
        return not self.transport.disconnecting

    def send(self, request):
        """Sends a request, if the connection is open."""
        if self.is_open():
            self._channel.dataReceived(request)
            self.sent += request in REQUESTS

    def answers(self):
        """Returns the statuses of the answers, which must be complete."""
        received = self.transport.value()
        statuses = []
        while received:
            head, _, received = received.partition(b"\r\n\r\n")
            statuses.append(int(head.split(b" ", 2)[1]))
            (length,) = [
                int(line.split(b":")[1])
                for line in head.split(b"\r\n")
                if line.lower().startswith(b"content-length:")
            ]
            assert len(received) >= length
            received = received[length:]
        return statuses

    def close_if_asked(self):
        """Tells the channel that the closed connection is gone."""
        if self.transport.disconnecting and self.transport.connected:
            self.transport.connected = False
            reason = failure.Failure(error.ConnectionDone())
            self._channel.connectionLost(reason)


class StoppingGateway:
    """A gateway with callers, whose targets accept and answer nothing.

    Attributes:
        reactor: Virtual clock and network.
        stopped_at_s: Time since SIGTERM at which the process ended.
    """

    def __init__(self, harness, catalog):
        self.reactor = MemoryReactorClock()
        self.gateway = app.Gateway(
            self.reactor,
            make_settings(stop_grace_s=GRACE_S),
            harness.adapter._replace(
                decode_request=lambda headers: decode_fake_request(
                    {}
                )._replace(time_left_s=60.0)
            ),
            UnresponsiveStore(self.reactor),
        )
        self.callers = []
        self.stopped_at_s = None
        target = make_target("a", service="plain", accelerator="", slots=99)
        self.gateway.targets.by_name["a"] = target
        self.gateway.targets.is_loaded = True
        self.gateway._apply_config(catalog)
        self.gateway._ports = [SimpleNamespace(stopListening=lambda: None)]
        self.gateway._check_loop.start(1.0, now=False)
        self.gateway._reload_loop.start(1.0, now=False)
        self.gateway._target_poll_loop.start(1.0, now=False)
        self.gateway._lease.release = lambda: defer.succeed(None)

    def connect(self):
        """Returns a new caller."""
        self.callers.append(Caller(self.gateway))
        return self.callers[-1]

    def stop(self, act=lambda passed_s: None):
        """Stops the gateway; calls a function at each step until it ended."""
        self.gateway._stopped.addCallback(self._on_stopped)
        self.gateway.stop()
        self._started_s = self.reactor.seconds()
        while self.stopped_at_s is None:
            passed_s = self.reactor.seconds() - self._started_s
            assert passed_s <= GRACE_S
            act(passed_s)
            self.reactor.advance(STEP_S)
            for caller in self.callers:
                caller.close_if_asked()

    def _on_stopped(self, _):
        self.stopped_at_s = self.reactor.seconds() - self._started_s


@pytest.fixture
def stopping(harness, booking_route, plain_service):
    """A gateway whose route outlasts the grace."""
    catalog = model.Catalog(
        3,
        {"drafts.example": (booking_route._replace(timeout_s=60.0),)},
        {"plain": plain_service},
        None,
        model.CallerLimits(16_384, 1_000, 3.0, 15.0),
    )
    return StoppingGateway(harness, catalog)


def requests_at_targets(stopping):
    """Returns how many requests were passed on to targets."""
    return sum(
        port == make_target("a").port
        for _, port, *_ in stopping.reactor.tcpClients
    )


@pytest.mark.parametrize("request_bytes", REQUESTS)
@pytest.mark.parametrize("before_s", [0.5, 1.5, 2.5])
def test_a_request_still_at_work_at_the_end_of_the_grace_is_answered(
    stopping, request_bytes, before_s
):
    """Guards against a cut without an answer at the end of the grace."""
    caller = stopping.connect()

    def act(passed_s):
        if not caller.sent and passed_s >= before_s:
            caller.send(request_bytes)

    stopping.stop(act)
    assert caller.answers() in ([502], [504])
    assert requests_at_targets(stopping) == 1


@pytest.mark.parametrize("request_bytes", REQUESTS)
def test_requests_late_in_the_grace_are_rejected_and_not_passed_on(
    stopping, request_bytes
):
    """Guards against requests taken late in the grace and cut at its end."""
    busy = stopping.connect()
    busy.send(request_bytes)
    sent_before = requests_at_targets(stopping)
    late = [stopping.connect() for _ in range(20)]

    def act(passed_s):
        if passed_s >= app.STOP_ACCEPT_DURATION_S + STEP_S:
            for caller in late:
                caller.send(request_bytes)

    stopping.stop(act)
    assert requests_at_targets(stopping) == sent_before
    for caller in late:
        assert caller.answers() == [503] * caller.sent
        assert not caller.is_open()


@pytest.mark.parametrize("request_bytes", REQUESTS)
@pytest.mark.parametrize("step_s", [0.05, 0.3])
def test_each_request_of_busy_callers_gets_an_answer(
    stopping, request_bytes, step_s
):
    callers = [stopping.connect() for _ in range(8)]

    def act(passed_s):
        number = round(passed_s / STEP_S)
        for offset, caller in enumerate(callers):
            is_waiting = caller.sent > len(caller.answers())
            due = (number + offset) % round(step_s / STEP_S) == 0
            if due and not is_waiting:
                caller.send(request_bytes)

    stopping.stop(act)
    for caller in callers:
        assert len(caller.answers()) == caller.sent >= 1


@pytest.mark.parametrize("request_bytes", REQUESTS)
@pytest.mark.parametrize("cut", [5, 30, -1])
def test_a_request_that_arrives_in_parts_is_answered_once_it_is_whole(
    stopping, request_bytes, cut
):
    caller = stopping.connect()
    was_open = False

    def act(passed_s):
        nonlocal was_open
        if passed_s == pytest.approx(app.STOP_ACCEPT_DURATION_S - STEP_S):
            caller.send(request_bytes[:cut])
        if passed_s == pytest.approx(app.STOP_ACCEPT_DURATION_S + 1.0):
            was_open = caller.is_open()
            caller.send(request_bytes[cut:])

    stopping.stop(act)
    assert caller.answers() == ([503] if was_open else [])
    # A request line that is not complete keeps no connection.
    assert was_open == (cut != 5)
    assert requests_at_targets(stopping) == 0


def test_a_request_that_is_held_as_the_gateway_stops_is_answered(stopping):
    caller = stopping.connect()
    stopping.gateway._pause_guard.is_outdated = lambda: True

    def act(passed_s):
        if passed_s == pytest.approx(app.STOP_ACCEPT_DURATION_S - 0.1):
            caller.send(LENGTH_REQUEST)

    stopping.stop(act)
    assert caller.answers() == [503]


def test_idle_callers_do_not_delay_the_end(stopping):
    for _ in range(5):
        stopping.connect()
    stopping.stop()
    assert stopping.stopped_at_s <= app.STOP_ACCEPT_DURATION_S + 4 * STEP_S
