"""Callers on kept connections while an entry stops as planned."""

import json

import pytest
from twisted.internet.testing import StringTransport

from hemlocktiller._internal.entry import http_api
from tests.unit import entry_simulation

# Shorter than the deadlines of requests.
DRAIN = {"notice_s": 0.5, "timeout_s": 2.0}
STOP_S = DRAIN["notice_s"] + DRAIN["timeout_s"] + 0.3
REQUESTS = [
    b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}",
    b"POST /services/s1/a HTTP/1.1\r\nHost: a\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n2;a=b\r\n{}\r\n0\r\n\r\n",
    b"GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n",
]


class Caller:
    """A caller's connection to the HTTP API of an entry."""

    def __init__(self, site):
        self.transport = StringTransport()
        self.transport.connected = True
        self.channel = site.buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def send(self, request):
        """Sends bytes; returns status and error code of the answer."""
        self.channel.dataReceived(request)
        head, _, body = self.transport.value().partition(b"\r\n\r\n")
        if not head:
            return None
        return int(head.split(b" ")[1]), json.loads(body)["error"]["code"]


# Longer than one line may be by default.
HEADER_LIMIT_BYTES = 40_000


@pytest.fixture
def entry_run():
    return entry_simulation.EntryRun()


@pytest.fixture
def site(entry_run):
    """The HTTP API of an entry that listens."""
    entry = entry_run.entry
    entry.settings["drain"] = DRAIN
    context = http_api.ApiContext(
        {
            **entry.settings,
            "limits": {
                "connections": 100,
                "header_bytes": HEADER_LIMIT_BYTES,
                "body_bytes": 1_000,
                "body_timeout_s": 30.0,
            },
        },
        entry.registry,
        lambda: entry.process.feed.current,
        lambda: entry.draining,
        lambda: entry._rejects_requests,
        lambda: [],
        lambda: [],
    )
    built = http_api.build_site(entry_run.clock, context)
    entry._caller_connections = built.caller_connections
    entry._listening = entry_run.clock.listenTCP(0, None)
    return built


def start_drain(entry_run):
    """Starts to stop; returns once new requests are rejected."""
    entry_run.entry.drain("test")
    entry_run.advance(DRAIN["notice_s"] + 0.2)


@pytest.mark.parametrize("request_bytes", REQUESTS)
def test_requests_after_the_notice_are_rejected_as_not_run(
    entry_run,
    site,
    request_bytes,
):
    """Guards against requests taken late in a stop and cut at its end."""
    agent = entry_run.add_service("a")
    entry_run.call()
    start_drain(entry_run)
    busy = Caller(site)
    assert busy.send(request_bytes) == (503, "stopping")
    assert busy.transport.disconnecting
    assert len(agent.requests("call")) == 1


@pytest.mark.parametrize("header_count", [1, 900])
@pytest.mark.parametrize(
    ("header_bytes", "is_allowed"), [(30_000, True), (50_000, False)]
)
def test_headers_are_limited_by_their_size_alone(
    site, header_bytes, is_allowed, header_count
):
    """Guards against 400 for a request that the limit allows."""
    size = header_bytes // header_count - len("Note: ")
    notes = ("Note: " + "n" * size + "\r\n") * header_count
    caller = Caller(site)
    caller.channel.dataReceived(
        f"GET /v1/models HTTP/1.1\r\nHost: a\r\n{notes}\r\n".encode()
    )
    response = caller.transport.value()
    assert response.startswith(b"HTTP/1.1 ")
    assert response.startswith(b"HTTP/1.1 400 ") != is_allowed


def test_a_call_that_does_not_end_in_time_is_answered(entry_run, site):
    """Guards against a cut without an answer at the end of a stop."""
    agent = entry_run.add_service("a")
    entry_run.call()
    entry_run.entry.drain("test")
    entry_run.advance(STOP_S)
    (error,) = entry_run.errors
    assert (error.code, error.ran) == ("outcome_unknown", "unknown")
    assert len(agent.requests("call")) == 1


def test_a_model_request_that_does_not_end_in_time_is_answered(
    entry_run,
    site,
):
    agent = entry_run.add_engine("a")
    entry_run.complete()
    entry_run.entry.drain("test")
    entry_run.advance(STOP_S)
    (error,) = entry_run.errors
    assert (error.code, error.ran) == ("interrupted", "unknown")
    assert len(agent.requests("start")) == 1


def test_idle_connections_are_closed_and_arriving_requests_awaited(
    entry_run,
    site,
):
    idle, arriving = Caller(site), Caller(site)
    arriving.send(REQUESTS[0][:-1])
    start_drain(entry_run)
    entry_run.advance(0.5)
    assert idle.transport.disconnecting
    assert not arriving.transport.disconnecting
    assert not entry_run.entry._drained.called
    assert arriving.send(REQUESTS[0][-1:]) == (503, "stopping")
    for caller in (idle, arriving):
        caller.transport.connected = False
    entry_run.advance(1.0)
    assert entry_run.entry._drained.called


def test_a_request_in_progress_ends_before_the_entry(entry_run, site):
    agent = entry_run.add_service("a")
    entry_run.call()
    start_drain(entry_run)
    assert not entry_run.entry._drained.called
    entry_simulation.answer_call(agent)
    entry_run.advance(2.0)
    assert [response.status for response in entry_run.responses] == [200]
    assert entry_run.entry._drained.called
