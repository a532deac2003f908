"""HTTP exchanges with targets, with a new connection for each request.

A persistent connection may hold bytes of an earlier exchange: a late second
response, or more bytes than its length announced. A new connection holds
none, and costs one round trip. Responses are parsed by `h11`, since
`twisted.web.client` reports a response without length as complete even if
its connection was reset.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import h11
import prometheus_client
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

# A target of the same region accepts within milliseconds. TCP retransmits
# a lost SYN after a second; trying another target is faster.
CONNECT_TIMEOUT_S = 0.6
# Bytes of a response up to its final head, informational responses included.
MAX_HEAD_BYTES = 32_768
# The parser takes any three digits from 200 on for the status of a response.
MAX_STATUS = 599
# Default limit on the body of a response, which is held in memory.
MAX_BODY_BYTES = 1_048_576
METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))

RESPONSE_ENDS = prometheus_client.Counter(
    "hemlocktiller_target_response_ends",
    "Responses of targets by framing (none before the head) and end",
    ["framing", "end"],
)

# Names and values in the order of the message.
Headers = list[tuple[bytes, bytes]]


class ExchangeCallbacks(NamedTuple):
    """Callbacks for the events of an exchange.

    Attributes:
        on_head: Called with status and headers of the response.
        on_data: Called with each chunk of the body.
        on_end: Called once: with None after the complete body, else with
            the failure.
    """

    on_head: Callable[[int, Headers], None]
    on_data: Callable[[bytes], None]
    on_end: Callable[["ExchangeFailure | None"], None]


class ExchangeFailure(NamedTuple):
    """Reason that an exchange ended without a complete response.

    Attributes:
        reason: Text for logs; also a metric label for layout orders.
        was_sent: Whether the target may have received part of the request.
        was_refused: Whether the connection was refused.
        has_timed_out: Whether the target only did not answer in time.
        was_answered: Whether a complete but unusable response came.
    """

    reason: str
    was_sent: bool
    was_refused: bool = False
    has_timed_out: bool = False
    was_answered: bool = False


class _Connection(protocol.Protocol):
    """Sends a request, and parses its response into callbacks.

    Attributes:
        framing: What delimits the body of the response: `length`, `chunked`
            or `close`; `none` before the head was received.
    """

    def __init__(
        self,
        head: h11.Request,
        body: bytes,
        callbacks: ExchangeCallbacks,
        max_body_bytes: int | None,
    ):
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._max_body_bytes = max_body_bytes
        self._head_bytes = 0
        self._body_bytes = 0
        self._request_head = head
        self._body = body
        self._callbacks = callbacks
        self._is_finished = False
        self.framing = "none"

    def connectionMade(self) -> None:
        """Sends the request with its body."""
        self.transport.setTcpNoDelay(True)
        data = self._parser.send(self._request_head)
        if self._body:
            data += self._parser.send(h11.Data(data=self._body))
        data += self._parser.send(h11.EndOfMessage())
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        """Parses bytes of the response."""
        if not self._is_finished:
            self._parse(data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends the exchange; only a clean close may complete a response."""
        if self._is_finished:
            return
        if reason.check(error.ConnectionDone):
            self._parse(b"")
        self._finish(ExchangeFailure("connection lost", was_sent=True))

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
            while not self._is_finished:
                event = self._parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                if isinstance(event, h11.ConnectionClosed):
                    return
                self._handle_event(event)
            self._check_head_length(len(data))
        except h11.RemoteProtocolError as violation:
            self._finish(
                ExchangeFailure(f"not an answer: {violation}", was_sent=True)
            )

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, h11.Response):
            if event.status_code > MAX_STATUS:
                self._finish(
                    ExchangeFailure(
                        f"not an answer: status {event.status_code}",
                        was_sent=True,
                    )
                )
                return
            headers = [
                (name, value) for name, value in event.headers.raw_items()
            ]
            self.framing = _body_framing(event.headers)
            self._callbacks.on_head(event.status_code, headers)
        elif isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            if (
                self._max_body_bytes is not None
                and self._body_bytes > self._max_body_bytes
            ):
                self._finish(ExchangeFailure("body too long", was_sent=True))
                return
            self._callbacks.on_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._finish(None)

    def _check_head_length(self, received_bytes: int) -> None:
        """Fails an exchange whose head does not end.

        The parser limits each head, but not the informational responses
        before the final one.
        """
        if self._is_finished or self.framing != "none":
            return
        self._head_bytes += received_bytes
        if self._head_bytes > MAX_HEAD_BYTES:
            self._finish(ExchangeFailure("head too long", was_sent=True))

    def _finish(self, exchange_failure: ExchangeFailure | None) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        if exchange_failure is None:
            # A target may answer before it has read the whole request.
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()
        end = "complete" if exchange_failure is None else "broken off"
        RESPONSE_ENDS.labels(self.framing, end).inc()
        self._callbacks.on_end(exchange_failure)

    def cancel(self) -> None:
        """Aborts the connection; no callback is called any more."""
        self._is_finished = True
        if self.transport is not None:
            self.transport.abortConnection()


class Exchange:
    """A request to a target, until its response ends or it is cancelled.

    Args:
        reactor: Reactor.
        address: Host and port of the target.
        request: Method, path, headers and body.
        callbacks: Callbacks for the response.
        max_body_bytes: Size of the body at which the exchange fails; None if
            the callbacks limit what they hold.

    Attributes:
        is_sent: Whether the connection was made and the request written to it.
    """

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        request: tuple[str, str, Headers, bytes],
        callbacks: ExchangeCallbacks,
        max_body_bytes: int | None = MAX_BODY_BYTES,
    ) -> None:
        method, path, headers, body = request
        if body or method in METHODS_WITH_BODY:
            length = str(len(body)).encode()
            headers = [*headers, (b"Content-Length", length)]
        self.is_sent = False
        self._callbacks = callbacks
        self._is_cancelled = False
        self._connection = _Connection(
            h11.Request(method=method, target=path, headers=headers),
            body,
            callbacks,
            max_body_bytes,
        )
        factory = _ConnectionFactory(self)
        self._connector = reactor.connectTCP(
            *address, factory, timeout=CONNECT_TIMEOUT_S
        )

    @property
    def framing(self) -> str:
        """What delimits the body of the response; see `_Connection`."""
        return self._connection.framing

    def cancel(self) -> None:
        """Cancels the exchange by closing its connection."""
        if self._is_cancelled:
            return
        self._is_cancelled = True
        if self.is_sent:
            self._connection.cancel()
        else:
            self._connector.stopConnecting()

    def _on_connected(self) -> protocol.Protocol:
        self.is_sent = True
        return self._connection

    def _on_connect_failed(self, reason: failure.Failure) -> None:
        if self._is_cancelled:
            return
        self._is_cancelled = True
        was_refused = reason.check(error.ConnectionRefusedError) is not None
        has_timed_out = reason.check(error.TimeoutError) is not None
        text = f"no connection: {reason.type.__name__}"
        self._callbacks.on_end(
            ExchangeFailure(text, False, was_refused, has_timed_out)
        )


class _ConnectionFactory(protocol.ClientFactory):
    """Twisted factory of the connection of one exchange."""

    noisy = False

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    def buildProtocol(self, addr: Any) -> protocol.Protocol:
        """Returns the protocol of the connection, which is now open."""
        return self._exchange._on_connected()

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Fails the exchange, since no connection was made."""
        self._exchange._on_connect_failed(reason)


def _body_framing(headers: Any) -> str:
    """Returns what delimits the body of a response with these headers."""
    names = {name for name, _ in headers}
    if b"transfer-encoding" in names:
        return "chunked"
    return "length" if b"content-length" in names else "close"


def is_valid_request_head(method: str, path: str, headers: Headers) -> bool:
    """Returns whether a caller's request line and headers are well-formed."""
    try:
        h11.Request(method=method, target=path, headers=headers)
    except h11.LocalProtocolError:
        return False
    return True
