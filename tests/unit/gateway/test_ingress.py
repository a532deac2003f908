"""Callers' connections to the HTTP server of the gateway."""

import pytest
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.internet.testing import StringTransport
from twisted.python import failure

from hemlocktiller._internal.gateway import ingress

REQUEST = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"


class Server:
    """A server with one connection, and the requests that it received."""

    def __init__(self):
        self.requests = []
        self.factory = ingress.CallerHTTPFactory(
            MemoryReactorClock(), self.requests.append
        )
        self.connect()

    def connect(self):
        """Opens another connection instead."""
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


def request_with(header_bytes, header_count=1):
    """Returns a request with headers of this size in all."""
    size = header_bytes // header_count - len(b"Note: ")
    headers = (b"Note: " + b"n" * size + b"\r\n") * header_count
    return b"GET /a HTTP/1.1\r\nHost: a\r\n" + headers + b"\r\n"


def change_limits(server, **limits):
    """Puts other limits in force."""
    server.factory.set_limits(server.factory.limits._replace(**limits))


def connect_under(server, **limits):
    """Opens a connection under other limits, and serves a request on it."""
    change_limits(server, **limits)
    server.connect()
    assert serve(server).startswith(b"HTTP/1.1 200 ")


def serve(server, data=REQUEST):
    """Serves a request; returns the bytes of the response."""
    count = len(server.requests)
    response = server.send(data)
    if len(server.requests) == count:
        return response
    server.requests[-1].respond(200, [], b"ok")
    return server.transport.value()


# Guards against 400 for requests that a raised limit allows.
@pytest.mark.parametrize("header_count", [1, 20, 700])
@pytest.mark.parametrize("limit_bytes", [16_384, 65_536])
def test_a_raised_limit_on_headers_is_in_force_on_an_open_connection(
    server, limit_bytes, header_count
):
    connect_under(server, header_bytes=4096)
    change_limits(server, header_bytes=limit_bytes)
    data = request_with(limit_bytes * 3 // 4, header_count)
    assert serve(server, data).startswith(b"HTTP/1.1 200 ")
    assert not server.transport.disconnecting


@pytest.mark.parametrize("header_count", [1, 20])
def test_a_lowered_limit_on_headers_is_in_force_on_an_open_connection(
    server, header_count
):
    data = request_with(8192, header_count)
    assert serve(server, data).startswith(b"HTTP/1.1 200 ")
    change_limits(server, header_bytes=4096)
    assert serve(server, data).startswith(b"HTTP/1.1 400 ")
    assert server.transport.disconnecting
    assert len(server.requests) == 1


def test_a_limit_on_headers_that_is_raised_within_a_head_is_in_force(server):
    connect_under(server, header_bytes=4096)
    data = request_with(8192, 4)
    server.send(data[:3000])
    change_limits(server, header_bytes=16_384)
    assert serve(server, data[3000:]).startswith(b"HTTP/1.1 200 ")


def test_a_head_without_an_end_of_line_is_rejected_at_the_limit(server):
    change_limits(server, header_bytes=4096)
    response = server.send(b"GET /" + b"a" * 5000)
    assert response.startswith(b"HTTP/1.1 400 ")
    assert server.transport.disconnecting


@pytest.mark.parametrize(("limit_bytes", "status"), [(1, 413), (9, 200)])
def test_a_changed_limit_on_bodies_is_in_force_on_an_open_connection(
    server, limit_bytes, status
):
    connect_under(server, body_bytes=2)
    change_limits(server, body_bytes=limit_bytes)
    assert serve(server).startswith(b"HTTP/1.1 %d " % status)


@pytest.mark.parametrize(("timeout_s", "is_late"), [(1.0, True), (9.0, False)])
def test_a_changed_header_timeout_is_in_force_on_an_open_connection(
    server, timeout_s, is_late
):
    connect_under(server, header_timeout_s=3.0)
    change_limits(server, header_timeout_s=timeout_s)
    server.send(REQUEST[:9])
    server.factory.clock.advance(2.0)
    server.factory.clock.advance(ingress.HEADER_TIMEOUT_GRACE_S)
    assert server.transport.disconnecting == is_late


# Guards against connections that close earlier than callers are told, with a
# request on its way.
@pytest.mark.parametrize("is_serving", [False, True])
@pytest.mark.parametrize(("timeout_s", "is_open"), [(2.0, False), (9.0, True)])
def test_a_changed_idle_timeout_is_in_force_on_an_open_connection(
    server, timeout_s, is_open, is_serving
):
    connect_under(server, idle_timeout_s=4.0)
    if is_serving:
        server.send()
    change_limits(server, idle_timeout_s=timeout_s)
    if is_serving:
        server.factory.clock.advance(9.0)
        server.requests[-1].respond(200, [], b"ok")
    for _ in range(5 if is_open else 3):
        server.factory.clock.advance(1.0)
    assert server.transport.disconnecting != is_open
    if is_open:
        assert serve(server).startswith(b"HTTP/1.1 200 ")


def test_a_changed_idle_timeout_reopens_no_closed_connection(server):
    change_limits(server, idle_timeout_s=1.0)
    serve(server)
    server.protocol.connectionLost(failure.Failure(error.ConnectionDone()))
    change_limits(server, idle_timeout_s=2.0)
    assert not server.factory.clock.getDelayedCalls()
