"""Receives callers' requests with the HTTP server of `twisted.web`."""

from collections.abc import Callable
import socket
import struct
from typing import Any

from twisted.web import http

from hemlocktiller._internal import caller_connections
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import platform_adapter

# Headers that apply to one connection only, or that the gateway sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"content-length",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
    )
)
# In force until the first configuration is loaded.
DEFAULT_LIMITS = model.CallerLimits(16_384, 4_194_304, 3.0, 15.0)

# A request is rejected this long after the header timeout: if the event loop
# was blocked, headers that are already in the socket are read in this time.
HEADER_TIMEOUT_GRACE_S = 0.1

CONTENT_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 413 Content Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
REQUEST_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)

# Values of SO_LINGER: a close resets the connection, or ends it cleanly.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CLEAN_CLOSE = struct.pack("ii", 0, 0)

_REASON_PHRASES = {421: b"Misdirected Request"}


class CallerRequest(http.Request):
    """A caller's HTTP request and its response.

    Attributes:
        received_at_s: When the whole request had been received.
        is_response_started: Whether status and headers were written.
        is_closed: Whether nothing more may be written.
        on_disconnect: Called if the caller disconnects before the end.
    """

    received_at_s = 0.0
    is_response_started = False
    is_closed = False
    on_disconnect: Callable[[], None] = staticmethod(lambda: None)

    def gotLength(self, length: int | None) -> None:
        """Starts to count body bytes; rejects a body that is too long."""
        super().gotLength(length)
        self._body_bytes = 0
        limit = self.channel.factory.limits.body_bytes
        if length is not None and length > limit:
            self._reject_body()

    def handleContentChunk(self, data: bytes) -> None:
        """Stores a part of the body, up to the limit."""
        if self.is_closed:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self.channel.factory.limits.body_bytes:
            self._reject_body()
            return
        super().handleContentChunk(data)

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Passes on the complete request; form data is not parsed."""
        if self.is_closed:
            return
        self.method, self.uri, self.clientproto = command, path, version
        self.content.seek(0)
        self.received_at_s = self.channel.factory.clock.seconds()
        self.notifyFinish().addErrback(self._on_disconnected)
        self.channel.factory.on_request(self)

    def read_body(self) -> bytes:
        """Returns the request body."""
        return self.content.read()

    def start_response(
        self, status: int, headers: platform_adapter.Headers
    ) -> None:
        """Sets status and headers of the response."""
        self.is_response_started = True
        self.setResponseCode(status, _REASON_PHRASES.get(status))
        for name, value in headers:
            if name.lower() not in HOP_BY_HOP_HEADERS:
                self.responseHeaders.addRawHeader(name, value)
        if self.channel.factory.is_draining:
            self.responseHeaders.setRawHeaders(b"connection", [b"close"])
            self.channel.persistent = False
        self._set_close_mode(_RESET_ON_CLOSE)

    def finish_response(self) -> None:
        """Finishes a complete response."""
        if not self.is_closed:
            self.is_closed = True
            self._set_close_mode(_CLEAN_CLOSE)
            self.finish()

    def respond(
        self, status: int, headers: platform_adapter.Headers, body: bytes = b""
    ) -> None:
        """Writes a complete response with its content length."""
        if self.is_closed:
            return
        self.start_response(status, headers)
        length = str(len(body)).encode()
        self.responseHeaders.setRawHeaders(b"content-length", [length])
        if body:
            self.write(body)
        self.finish_response()

    def abort(self) -> None:
        """Closes the connection, so that the response is seen as truncated."""
        if self.is_closed:
            return
        self.is_closed = True
        self.channel.persistent = False
        self.channel.loseConnection()

    def _set_close_mode(self, linger: bytes) -> None:
        """Sets how a close ends a connection that delimits its response.

        A caller of HTTP/1.0 gets no chunks, so a clean close would complete
        a truncated response, also one by the kernel when this process ends.
        """
        if self.clientproto == b"HTTP/1.0":
            self.channel.transport.getHandle().setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )

    def _reject_body(self) -> None:
        """Responds with 413 and reads no more of the body.

        The response is written to the transport, as the channel is still
        parsing this request and can't finish it in the usual way.
        """
        self.is_closed = True
        self.channel.transport.write(CONTENT_TOO_LARGE_RESPONSE)
        self.channel.loseConnection()

    def _on_disconnected(self, reason: Any) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.on_disconnect()


class _CallerChannel(caller_connections.HeadLimitedChannel):
    """A caller's connection; limits the time that headers may take."""

    requestFactory = CallerRequest

    def __init__(self) -> None:
        super().__init__()
        self._header_timer: Any = None

    def dataReceived(self, data: bytes) -> None:
        """Receives data; the first of a request starts the header timer."""
        if self.transport.disconnecting:
            return
        is_first_data = self._header_timer is None and not self.requests
        if is_first_data and data.strip():
            self._header_timer = self.callLater(
                self.factory.limits.header_timeout_s, self._on_header_timeout
            )
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        """Stops the header timer."""
        self._cancel_header_timer()
        super().allHeadersReceived()

    def connectionLost(self, reason: Any) -> None:
        """Stops the timers."""
        self._cancel_header_timer()
        super().connectionLost(reason)

    def _on_header_timeout(self) -> None:
        """Waits a little longer, for headers that were not read yet."""
        self._header_timer = self.callLater(
            HEADER_TIMEOUT_GRACE_S, self._reject_slow_headers
        )

    def _reject_slow_headers(self) -> None:
        self._header_timer = None
        self.transport.write(REQUEST_TIMEOUT_RESPONSE)
        self.loseConnection()

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


class CallerHTTPFactory(http.HTTPFactory):
    """Builds the connections of callers.

    Attributes:
        limits: Limits on callers in force.
        is_draining: Whether responses close their connection, so that
            callers connect to another gateway.
        connections: Open connections.
    """

    noisy = False
    protocol = _CallerChannel

    def __init__(
        self, reactor: Any, on_request: Callable[[CallerRequest], None]
    ) -> None:
        super().__init__(
            timeout=DEFAULT_LIMITS.idle_timeout_s, reactor=reactor
        )
        self.clock = reactor
        self.on_request = on_request
        self.limits = DEFAULT_LIMITS
        self.is_draining = False
        self.connections = caller_connections.CallerConnections()

    @property
    def header_limit_bytes(self) -> int:
        """Maximum size of the headers of a request."""
        return self.limits.header_bytes

    def set_limits(self, limits: model.CallerLimits) -> None:
        """Applies limits to requests, on connections that are open too."""
        is_idle_timeout_changed = limits.idle_timeout_s != self.timeOut
        self.limits = limits
        self.timeOut = limits.idle_timeout_s
        if is_idle_timeout_changed:
            self.connections.set_idle_timeout(limits.idle_timeout_s)

    def buildProtocol(self, addr: Any) -> Any:
        """Returns the channel of a new connection."""
        channel = super().buildProtocol(addr)
        self.connections.add(channel)
        return channel

    def log(self, request: Any) -> None:
        """Writes no access log; the event log says more."""

    def start_draining(self) -> None:
        """Closes each connection after its current response."""
        self.is_draining = True
        self.connections.close_after_response()


class _StatusPageRequest(http.Request):
    """Responds with the page that `render_page` returns for a path."""

    def process(self) -> None:
        path = self.uri.split(b"?")[0].decode("latin-1")
        status, content_type, body = self.channel.factory.render_page(path)
        self.setResponseCode(status)
        self.responseHeaders.setRawHeaders("content-type", [content_type])
        self.responseHeaders.setRawHeaders(
            b"content-length", [str(len(body)).encode()]
        )
        self.write(body)
        self.finish()


class _StatusPageChannel(http.HTTPChannel):
    """A connection on which status pages are requested."""

    requestFactory = _StatusPageRequest


class StatusPageFactory(http.HTTPFactory):
    """Builds connections that serve pages such as readiness and metrics."""

    noisy = False
    protocol = _StatusPageChannel

    def __init__(
        self,
        reactor: Any,
        render_page: Callable[[str], tuple[int, str, bytes]],
    ) -> None:
        super().__init__(timeout=15, reactor=reactor)
        self.render_page = render_page

    def log(self, request: Any) -> None:
        """Writes no access log."""
