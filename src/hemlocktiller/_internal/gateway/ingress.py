"""Takes callers' requests, on `twisted.web`'s HTTP server."""

from collections.abc import Callable
from typing import Any
import weakref

from twisted.web import http

from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import wire

# Headers that concern one connection alone, or that are set anew.
HOP_HEADERS = frozenset(
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
# Before a configuration is known, callers may send what is usual.
DEFAULT_LIMITS = model.CallerLimits(16_384, 4_194_304, 3.0, 15.0)

# After a process was held up, headers in the socket are read within this.
LATE_READ_S = 0.1

TOO_LARGE = (
    b"HTTP/1.1 413 Content Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
TOO_SLOW = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)

_REASONS = {421: b"Misdirected Request"}


class CallerRequest(http.Request):
    """A caller's request and the answer to it.

    Attributes:
        arrived_s: When it was read whole.
        is_started: Whether the head of the answer was written.
        is_over: Whether nothing more may be written.
        on_gone: Called if the caller leaves before the end.
    """

    arrived_s = 0.0
    is_started = False
    is_over = False
    on_gone: Callable[[], None] = staticmethod(lambda: None)

    def gotLength(self, length: int | None) -> None:
        """Prepares for the body, or refuses one that is too long."""
        super().gotLength(length)
        self._body_bytes = 0
        limit = self.channel.factory.limits.body_bytes
        if length is not None and length > limit:
            self._refuse_body()

    def handleContentChunk(self, data: bytes) -> None:
        """Keeps a part of the body, up to the limit."""
        if self.is_over:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self.channel.factory.limits.body_bytes:
            self._refuse_body()
            return
        super().handleContentChunk(data)

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Hands the whole request over; forms are not for us to parse."""
        if self.is_over:
            return
        self.method, self.uri, self.clientproto = command, path, version
        self.content.seek(0)
        self.arrived_s = self.channel.factory.clock.seconds()
        self.notifyFinish().addErrback(self._left)
        self.channel.factory.on_request(self)

    def body(self) -> bytes:
        """Returns the body."""
        return self.content.read()

    def start(self, status: int, headers: wire.Headers) -> None:
        """Writes the head of an answer."""
        self.is_started = True
        self.setResponseCode(status, _REASONS.get(status))
        for name, value in headers:
            if name.lower() not in HOP_HEADERS:
                self.responseHeaders.addRawHeader(name, value)
        if self.channel.factory.is_closing:
            self.responseHeaders.setRawHeaders(b"connection", [b"close"])
            self.channel.persistent = False

    def end(self) -> None:
        """Ends a whole answer."""
        if not self.is_over:
            self.is_over = True
            self.finish()

    def answer(
        self, status: int, headers: wire.Headers, body: bytes = b""
    ) -> None:
        """Writes a whole answer with its length."""
        if self.is_over:
            return
        self.start(status, headers)
        length = str(len(body)).encode()
        self.responseHeaders.setRawHeaders(b"content-length", [length])
        if body:
            self.write(body)
        self.end()

    def cut(self) -> None:
        """Closes the connection, so that the answer looks unfinished."""
        if self.is_over:
            return
        self.is_over = True
        self.channel.persistent = False
        self.channel.loseConnection()

    def _refuse_body(self) -> None:
        """Answers before the body is in, and reads no more of it.

        The channel still parses this request, so that it can't be finished
        in the usual way.
        """
        self.is_over = True
        self.channel.transport.write(TOO_LARGE)
        self.channel.loseConnection()

    def _left(self, reason: Any) -> None:
        if not self.is_over:
            self.is_over = True
            self.on_gone()


class _CallerChannel(http.HTTPChannel):
    """A caller's connection; bounds the time that headers may take."""

    requestFactory = CallerRequest

    def __init__(self) -> None:
        super().__init__()
        self._headers_due: Any = None

    def dataReceived(self, data: bytes) -> None:
        """Takes bytes; the first of a request start its clock."""
        if self.transport.disconnecting:
            return
        is_new = self._headers_due is None and not self.requests
        if is_new and data.strip():
            self._headers_due = self.callLater(
                self.factory.limits.header_timeout_s, self._nearly_too_slow
            )
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        """Stops the clock of the headers."""
        self._stop_headers_clock()
        super().allHeadersReceived()

    def connectionLost(self, reason: Any) -> None:
        """Stops all clocks."""
        self._stop_headers_clock()
        super().connectionLost(reason)

    def _nearly_too_slow(self) -> None:
        self._headers_due = self.callLater(LATE_READ_S, self._too_slow)

    def _too_slow(self) -> None:
        self._headers_due = None
        self.transport.write(TOO_SLOW)
        self.loseConnection()

    def _stop_headers_clock(self) -> None:
        if self._headers_due is not None:
            self._headers_due.cancel()
            self._headers_due = None


class CallerFactory(http.HTTPFactory):
    """Connections of callers.

    Attributes:
        limits: Limits on callers in force.
        is_closing: Whether answers ask callers to use another entry.
        connections: Connections that were not collected yet.
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
        self.is_closing = False
        self.connections: weakref.WeakSet[Any] = weakref.WeakSet()

    def set_limits(self, limits: model.CallerLimits) -> None:
        """Puts limits in force for new connections and requests."""
        self.limits = limits
        self.timeOut = limits.idle_timeout_s

    def buildProtocol(self, addr: Any) -> Any:
        """Returns the channel of a new connection."""
        channel = super().buildProtocol(addr)
        channel.totalHeadersSize = self.limits.header_bytes
        self.connections.add(channel)
        return channel

    def log(self, request: Any) -> None:
        """Writes no access log; events tell more."""

    def begin_closing(self) -> None:
        """Lets each connection end with the answer that it is giving."""
        self.is_closing = True
        for channel in list(self.connections):
            if channel.requests:
                channel.persistent = False

    def close_idle(self) -> None:
        """Closes connections on which no request is in progress."""
        for channel in list(self.connections):
            transport = channel.transport
            is_open = transport is not None and transport.connected
            if is_open and not channel.requests:
                channel.loseConnection()


class _PageRequest(http.Request):
    """Answers a page of this process from a function of its path."""

    def process(self) -> None:
        path = self.uri.split(b"?")[0].decode("latin-1")
        status, content_type, body = self.channel.factory.page(path)
        self.setResponseCode(status)
        self.responseHeaders.setRawHeaders("content-type", [content_type])
        self.responseHeaders.setRawHeaders(
            b"content-length", [str(len(body)).encode()]
        )
        self.write(body)
        self.finish()


class _PageChannel(http.HTTPChannel):
    """A connection that asks for pages."""

    requestFactory = _PageRequest


class PageFactory(http.HTTPFactory):
    """Connections that ask for pages such as readiness and metrics."""

    noisy = False
    protocol = _PageChannel

    def __init__(
        self, reactor: Any, page: Callable[[str], tuple[int, str, bytes]]
    ) -> None:
        super().__init__(timeout=15, reactor=reactor)
        self.page = page

    def log(self, request: Any) -> None:
        """Writes no access log."""
