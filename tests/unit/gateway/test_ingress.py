"""Callers' connections to the HTTP server of the gateway."""

import pytest
from twisted.internet.testing import MemoryReactorClock
from twisted.internet.testing import StringTransport

from hemlocktiller._internal.gateway import ingress

REQUEST = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"


class Server:
    """A server with one connection, and the requests that it received."""

    def __init__(self):
        self.requests = []
        self.factory = ingress.CallerHTTPFactory(
            MemoryReactorClock(), self.requests.append
        )
        self.protocol = self.factory.buildProtocol(None)
        self.transport = StringTransport()
        self.protocol.makeConnection(self.transport)

    def send(self, data=REQUEST):
        """Sends bytes of a request; returns the bytes of the response."""
        self.transport.clear()
        self.protocol.dataReceived(data)
        return self.transport.value()


@pytest.fixture
def server():
    """A server with one connection."""
    return Server()


def test_a_persistent_connection_serves_several_requests(server):
    for count in (1, 2):
        server.send()
        assert len(server.requests) == count
        server.requests[-1].respond(200, [(b"X", b"1")], b"ok")
        assert b"Content-Length: 2" in server.transport.value()
    assert not server.transport.disconnecting


def test_a_connection_closes_after_the_response_in_progress_at_sigterm(server):
    server.send()
    server.requests[0].start_response(200, [])
    server.requests[0].write(b"part")
    server.factory.start_draining()
    server.requests[0].write(b"rest")
    server.requests[0].finish_response()
    assert server.transport.disconnecting


def test_responses_after_sigterm_close_the_connection(server):
    server.factory.start_draining()
    server.send()
    server.requests[0].respond(200, [], b"ok")
    assert b"Connection: close" in server.transport.value()
    assert server.transport.disconnecting


def test_idle_connections_are_closed_on_shutdown(server):
    server.send()
    server.requests[0].respond(200, [], b"ok")
    server.factory.connections.close_idle()
    assert server.transport.disconnecting


def test_a_body_over_the_limit_is_rejected(server):
    server.factory.set_limits(ingress.DEFAULT_LIMITS._replace(body_bytes=1))
    assert server.send().startswith(b"HTTP/1.1 413 ")
    assert server.requests == []


def test_a_chunked_body_over_the_limit_is_rejected(server):
    server.factory.set_limits(ingress.DEFAULT_LIMITS._replace(body_bytes=4))
    head = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    response = server.send(head + b"8\r\n12345678\r\n0\r\n\r\n")
    assert response.startswith(b"HTTP/1.1 413 ")
    assert server.requests == []


def test_an_aborted_response_does_not_look_complete(server):
    server.send()
    server.requests[0].start_response(200, [])
    server.requests[0].write(b"part")
    server.requests[0].abort()
    assert not server.transport.value().endswith(b"0\r\n\r\n")
    assert server.transport.disconnecting


def test_hop_by_hop_headers_are_not_forwarded_to_the_caller(server):
    server.send()
    headers = [(b"Keep-Alive", b"5"), (b"Transfer-Encoding", b"chunked")]
    server.requests[0].respond(200, headers, b"ok")
    assert b"Keep-Alive" not in server.transport.value()
    assert b"chunked" not in server.transport.value()


def test_headers_that_exceed_the_timeout_close_the_connection(server):
    limits = ingress.DEFAULT_LIMITS._replace(header_timeout_s=3.0)
    server.factory.set_limits(limits)
    for _ in range(8):
        server.protocol.dataReceived(b"X")
        server.factory.clock.advance(0.5)
    assert server.transport.value() == ingress.REQUEST_TIMEOUT_RESPONSE
    assert server.transport.disconnecting
    assert server.requests == []


def test_the_header_timeout_does_not_apply_to_the_body(server):
    head, body = REQUEST[:-1], REQUEST[-1:]
    server.send(head)
    server.factory.clock.advance(ingress.DEFAULT_LIMITS.header_timeout_s + 1.0)
    server.send(body)
    assert len(server.requests) == 1


def test_headers_received_while_the_event_loop_was_blocked_are_accepted(
    server,
):
    server.send(REQUEST[:20])
    # The event loop is blocked; the rest of the headers is in the socket
    # when it continues.
    server.factory.clock.advance(ingress.DEFAULT_LIMITS.header_timeout_s + 1.0)
    server.send(REQUEST[20:])
    assert len(server.requests) == 1
