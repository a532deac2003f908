"""One HTTP exchange with a target, on a connection of its own.

A kept connection may hold bytes of an earlier exchange: late second
answers, or more than was announced. A new connection holds none, and costs
one round trip. `h11` parses, since `twisted.web.client` reports an answer
without length as complete also when its connection was reset.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import h11
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

from hemlocktiller._internal.gateway import wire
from hemlocktiller._internal.policy import fleet

# A target of the same region accepts within milliseconds; a lost first
# packet is sent again after a second, and another target is faster.
CONNECT_TIMEOUT_S = 0.6
# Rounds of the loop in which an answer may be read: one for the connection,
# one for the answer, and one to spare. A loop that is held up for longer than
# a whole timeout has read nothing yet when the timeout is over.
TIMEOUT_ROUNDS = 3
METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))


class Events(NamedTuple):
    """What the owner of an exchange does on its events.

    Attributes:
        on_head: Called with status and headers.
        on_data: Called with each part of the body.
        on_end: Called once: with None after the whole body, else with why
            the exchange failed.
    """

    on_head: Callable[[int, wire.Headers], None]
    on_data: Callable[[bytes], None]
    on_end: Callable[["Failed | None"], None]


class Failed(NamedTuple):
    """Why an exchange did not end with a whole answer.

    Attributes:
        reason: For logs.
        was_sent: Whether any byte may have reached the target.
        was_refused: Whether nobody listens at the address.
    """

    reason: str
    was_sent: bool
    was_refused: bool = False


class _Connection(protocol.Protocol):
    """Feeds one answer to its events."""

    def __init__(self, head: h11.Request, body: bytes, events: Events):
        self._h11 = h11.Connection(h11.CLIENT)
        self._head = head
        self._body = body
        self._events = events
        self._ended = False

    def connectionMade(self) -> None:
        """Sends the whole request."""
        self.transport.setTcpNoDelay(True)
        data = self._h11.send(self._head)
        if self._body:
            data += self._h11.send(h11.Data(data=self._body))
        data += self._h11.send(h11.EndOfMessage())
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        """Passes on what the answer says."""
        if not self._ended:
            self._feed(data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends the exchange; a reset is never the end of a whole answer."""
        if self._ended:
            return
        if reason.check(error.ConnectionDone):
            self._feed(b"")
        self._end(Failed("connection lost", was_sent=True))

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            while not self._ended:
                event = self._h11.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.ConnectionClosed):
                    return
                self._take(event)
        except h11.RemoteProtocolError as bad:
            self._end(Failed(f"not an answer: {bad}", was_sent=True))

    def _take(self, event: Any) -> None:
        if isinstance(event, h11.Response):
            headers = [(n, v) for n, v in event.headers.raw_items()]
            self._events.on_head(event.status_code, headers)
        elif isinstance(event, h11.Data):
            self._events.on_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._end(None)

    def _end(self, failed: Failed | None) -> None:
        if self._ended:
            return
        self._ended = True
        self.transport.loseConnection()
        self._events.on_end(failed)

    def cancel(self) -> None:
        """Drops the connection; no event follows."""
        self._ended = True
        if self.transport is not None:
            self.transport.abortConnection()


class Exchange:
    """A request to a target, until its answer has ended or is cancelled.

    Attributes:
        sent: Whether the connection was made and the request written.
    """

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        request: tuple[str, str, wire.Headers, bytes],
        events: Events,
    ) -> None:
        method, path, headers, body = request
        if body or method in METHODS_WITH_BODY:
            length = str(len(body)).encode()
            headers = [*headers, (b"Content-Length", length)]
        self.sent = False
        self._events = events
        self._cancelled = False
        self._connection = _Connection(
            h11.Request(method=method, target=path, headers=headers),
            body,
            events,
        )
        factory = _Factory(self)
        self._connector = reactor.connectTCP(
            *address, factory, timeout=CONNECT_TIMEOUT_S
        )

    def cancel(self) -> None:
        """Gives the exchange up; the target sees its connection close."""
        if self._cancelled:
            return
        self._cancelled = True
        if self.sent:
            self._connection.cancel()
        else:
            self._connector.stopConnecting()

    def _made(self) -> protocol.Protocol:
        self.sent = True
        return self._connection

    def _not_made(self, reason: failure.Failure) -> None:
        if self._cancelled:
            return
        self._cancelled = True
        refused = reason.check(error.ConnectionRefusedError) is not None
        text = f"no connection: {reason.type.__name__}"
        self._events.on_end(Failed(text, False, refused))


class _Factory(protocol.ClientFactory):
    """Builds the connection of one exchange."""

    noisy = False

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    def buildProtocol(self, addr: Any) -> protocol.Protocol:
        """Returns the connection, now made."""
        return self._exchange._made()

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Reports that no connection was made."""
        self._exchange._not_made(reason)


def may_be_sent(method: str, path: str, headers: wire.Headers) -> bool:
    """Tells whether a caller's request line and headers are well-formed."""
    try:
        h11.Request(method=method, target=path, headers=headers)
    except h11.LocalProtocolError:
        return False
    return True


def call(
    reactor: Any,
    target: fleet.Target,
    request: tuple[str, str, bytes],
    timeout_s: float,
    on_done: Callable[[int, bytes], None],
    on_failed: Callable[[Failed], None],
) -> None:
    """Makes a small call to a target, such as for its report.

    Args:
        reactor: Reactor.
        target: The target.
        request: Method, path and JSON body.
        timeout_s: Longest time for the whole answer; longer where this
            process is held up, since the answer may wait to be read.
        on_done: Called with status and body.
        on_failed: Called if there is no whole answer in time.
    """
    method, path, body = request
    headers = [(b"Host", target.address.encode())]
    if body:
        headers.append((b"Content-Type", b"application/json"))
    status = 0
    parts: list[bytes] = []

    def on_head(code, _):
        nonlocal status
        status = code

    def on_end(failed):
        if timer.active():
            timer.cancel()
        if failed is None:
            on_done(status, b"".join(parts))
        else:
            on_failed(failed)

    def next_round():
        nonlocal timer, rounds_left
        rounds_left -= 1
        if rounds_left > 0:
            timer = reactor.callLater(timeout_s / TIMEOUT_ROUNDS, next_round)
            return
        exchange.cancel()
        on_failed(Failed("no answer in time", exchange.sent))

    rounds_left = TIMEOUT_ROUNDS
    timer = reactor.callLater(timeout_s / TIMEOUT_ROUNDS, next_round)
    exchange = Exchange(
        reactor,
        (target.host, target.port),
        (method, path, headers, body),
        Events(on_head, parts.append, on_end),
    )
