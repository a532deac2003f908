"""Callers' connections on the HTTP server."""

import pytest
from twisted.internet.testing import MemoryReactorClock
from twisted.internet.testing import StringTransport

from hemlocktiller._internal.gateway import ingress

ASK = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"


class Server:
    """A factory with one connection, and the requests that came."""

    def __init__(self):
        self.requests = []
        self.factory = ingress.CallerHTTPFactory(
            MemoryReactorClock(), self.requests.append
        )
        self.protocol = self.factory.buildProtocol(None)
        self.transport = StringTransport()
        self.protocol.makeConnection(self.transport)

    def ask(self, data=ASK):
        """Sends bytes and returns what was answered since."""
        self.transport.clear()
        self.protocol.dataReceived(data)
        return self.transport.value()


@pytest.fixture
def server():
    """A server with one connection."""
    return Server()


def test_a_kept_connection_takes_request_after_request(server):
    for count in (1, 2):
        server.ask()
        assert len(server.requests) == count
        server.requests[-1].respond(200, [(b"X", b"1")], b"ok")
        assert b"Content-Length: 2" in server.transport.value()
    assert not server.transport.disconnecting


def test_a_connection_ends_with_the_answer_it_gives_at_sigterm(server):
    server.ask()
    server.requests[0].start_response(200, [])
    server.requests[0].write(b"part")
    server.factory.start_draining()
    server.requests[0].write(b"rest")
    server.requests[0].finish_response()
    assert server.transport.disconnecting


def test_answers_after_sigterm_say_that_the_connection_closes(server):
    server.factory.start_draining()
    server.ask()
    server.requests[0].respond(200, [], b"ok")
    assert b"Connection: close" in server.transport.value()
    assert server.transport.disconnecting


def test_idle_connections_are_closed_at_the_end(server):
    server.ask()
    server.requests[0].respond(200, [], b"ok")
    server.factory.close_idle_connections()
    assert server.transport.disconnecting


def test_a_body_over_the_limit_is_refused_and_not_served(server):
    server.factory.set_limits(ingress.DEFAULT_LIMITS._replace(body_bytes=1))
    assert server.ask().startswith(b"HTTP/1.1 413 ")
    assert server.requests == []


def test_a_chunked_body_over_the_limit_is_refused(server):
    server.factory.set_limits(ingress.DEFAULT_LIMITS._replace(body_bytes=4))
    head = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    answered = server.ask(head + b"8\r\n12345678\r\n0\r\n\r\n")
    assert answered.startswith(b"HTTP/1.1 413 ")
    assert server.requests == []


def test_what_is_cut_never_looks_complete(server):
    server.ask()
    server.requests[0].start_response(200, [])
    server.requests[0].write(b"part")
    server.requests[0].abort()
    assert not server.transport.value().endswith(b"0\r\n\r\n")
    assert server.transport.disconnecting


def test_headers_of_one_connection_are_not_passed_back(server):
    server.ask()
    headers = [(b"Keep-Alive", b"5"), (b"Transfer-Encoding", b"chunked")]
    server.requests[0].respond(200, headers, b"ok")
    assert b"Keep-Alive" not in server.transport.value()
    assert b"chunked" not in server.transport.value()


def test_headers_that_take_too_long_end_the_connection(server):
    limits = ingress.DEFAULT_LIMITS._replace(header_timeout_s=3.0)
    server.factory.set_limits(limits)
    for _ in range(8):
        server.protocol.dataReceived(b"X")
        server.factory.clock.advance(0.5)
    assert server.transport.value() == ingress.REQUEST_TIMEOUT_RESPONSE
    assert server.transport.disconnecting
    assert server.requests == []


def test_a_slow_body_is_not_bound_by_the_time_for_headers(server):
    head, body = ASK[:-1], ASK[-1:]
    server.ask(head)
    server.factory.clock.advance(ingress.DEFAULT_LIMITS.header_timeout_s + 1.0)
    server.ask(body)
    assert len(server.requests) == 1


def test_headers_that_wait_to_be_read_are_not_late(server):
    server.ask(ASK[:20])
    # The process is held up; the rest lies in the socket when it goes on.
    server.factory.clock.advance(ingress.DEFAULT_LIMITS.header_timeout_s + 1.0)
    server.ask(ASK[20:])
    assert len(server.requests) == 1
