"""HTTP client for calls to the engine or service on the same VM."""

from typing import Any
from typing import NamedTuple
from urllib import parse

import h11
from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

from hemlocktiller._internal import exceptions
from hemlocktiller._internal import head_limit
from hemlocktiller._internal import http_exchange

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 64
# Default limit on a response, which is held in memory.
MAX_RESPONSE_BYTES = 67_108_864
HTTP_PORT = 80


class RequestNotSent(exceptions.HemlocktillerError):
    """No connection was made, so the request certainly did not run."""


class RequestInvalid(exceptions.HemlocktillerError):
    """The request can't be sent as HTTP; it must be corrected."""


class ResponseBrokenOff(exceptions.HemlocktillerError):
    """The service ended the connection without a complete response.

    The request may have run.
    """


class ResponseTooLong(exceptions.HemlocktillerError):
    """The body of a response exceeds the limit; its service is at fault."""


class ResponseTimedOut(exceptions.HemlocktillerError):
    """The whole response was not received in time.

    The request may have been sent and may still run.
    """


class Reply(NamedTuple):
    """An HTTP response, with its whole body."""

    status: int
    content_type: str
    body: bytes


class Request(NamedTuple):
    """An HTTP request.

    Attributes:
        method: HTTP method.
        url: URL.
        body: Request body; empty for none.
        headers: Request headers by name.
        timeout_s: Time until the whole response must have been received.
        max_response_bytes: Limit on the body of the response.
    """

    method: str
    url: str
    body: bytes = b""
    headers: dict[str, str] = {}
    timeout_s: float = 10.0
    max_response_bytes: int = MAX_RESPONSE_BYTES


class Body(NamedTuple):
    """The body of a response.

    Attributes:
        content: Its bytes.
        is_delimited: Whether its framing shows that it is whole. Otherwise it
            ended with its connection, which may have been reset.
    """

    content: bytes
    is_delimited: bool


class _BodyReader(protocol.Protocol):
    """Collects the body of a response, up to a limit.

    Attributes:
        done: Fires with the body, or fails with the reason that it is not
            complete.
    """

    def __init__(self, max_bytes: int) -> None:
        self.done: defer.Deferred[Body] = defer.Deferred(
            lambda _: self.transport.loseConnection()
        )
        self._max_bytes = max_bytes
        self._content = bytearray()

    def dataReceived(self, data: bytes) -> None:
        """Stores a part of the body, or closes the connection."""
        if len(self._content) + len(data) <= self._max_bytes:
            self._content += data
            return
        self._content.clear()
        self.transport.loseConnection()
        if not self.done.called:
            self.done.errback(
                ResponseTooLong(f"more than {self._max_bytes} bytes")
            )

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends the body."""
        if self.done.called:
            return
        is_delimited = reason.check(client.ResponseDone) is not None
        if is_delimited or reason.check(http.PotentialDataLoss):
            self.done.callback(Body(bytes(self._content), is_delimited))
        else:
            self.done.errback(reason)


def read_body(response: Any, max_bytes: int) -> defer.Deferred[Body]:
    """Reads the body of a response of `twisted.web`.

    Args:
        response: The response.
        max_bytes: Limit on the body.

    Returns:
        A Deferred that fires with the body. It fails with `ResponseTooLong`,
        or with an exception of Twisted if the framing shows that the body is
        incomplete.
    """
    reader = _BodyReader(max_bytes)
    response.deliverBody(reader)
    return reader.done


@implementer(iweb.IBodyProducer)
class _BytesBodyProducer:
    """Produces a request body from bytes in memory."""

    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        pass

    def resumeProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass


def create_pool(reactor: Any) -> client.HTTPConnectionPool:
    """Returns a pool of persistent connections.

    No request is retried, since only the caller knows whether it may be
    repeated.
    """
    pool = client.HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
    pool.retryAutomatically = False
    head_limit.limit_heads(pool)
    return pool


def create_agent(
    reactor: Any, pool: client.HTTPConnectionPool
) -> client.Agent:
    """Returns an HTTP agent that uses the connections of a pool."""
    return client.Agent(reactor, pool=pool, connectTimeout=CONNECT_TIMEOUT_S)


@defer.inlineCallbacks
def send(
    reactor: Any, http_agent: client.Agent, request: Request
) -> defer.Deferred[Reply]:
    """Sends a request and returns the whole response.

    Args:
        reactor: Reactor that schedules the timeout.
        http_agent: Agent that sends the request; see `create_agent`. Its
            connections may hold bytes of an earlier response.
        request: The request.

    Raises:
        ResponseTimedOut: The whole response was not received within
            `timeout_s`.
        ResponseTooLong: The body exceeds the limit.
        ResponseBrokenOff: The response had no length, so that its end may be
            that of a reset.
        Exception: An exception of Twisted, if the exchange failed before.
    """
    headers = http_headers.Headers(
        {name: [value] for name, value in request.headers.items()}
    )
    producer = _BytesBodyProducer(request.body) if request.body else None
    pending = http_agent.request(
        request.method.encode(), request.url.encode(), headers, producer
    )
    state = {"pending": pending, "timed_out": False}

    def cancel_after_timeout() -> None:
        state["timed_out"] = True
        state["pending"].cancel()

    timer = reactor.callLater(request.timeout_s, cancel_after_timeout)
    try:
        response = yield pending
        state["pending"] = read_body(response, request.max_response_bytes)
        body = yield state["pending"]
        if not body.is_delimited:
            raise ResponseBrokenOff("the end of the response is not shown")
    except Exception as error:
        if state["timed_out"]:
            raise ResponseTimedOut(
                f"no response within {request.timeout_s} s"
            ) from error
        raise
    finally:
        if timer.active():
            timer.cancel()
    content_types = response.headers.getRawHeaders("content-type", [""])
    return Reply(response.code, content_types[0], body.content)


def send_once(reactor: Any, request: Request) -> defer.Deferred[Reply]:
    """Sends a request over a connection of its own; returns the response.

    Unlike `send`, it accepts a response without length if its connection was
    closed cleanly, and bytes that follow a response reach no other request.

    Args:
        reactor: Reactor that makes the connection and schedules the timeout.
        request: The request.

    Returns:
        A Deferred that fires with the whole response. It fails with
        `RequestNotSent`, `RequestInvalid`, `ResponseBrokenOff` or
        `ResponseTimedOut`.
    """
    done: defer.Deferred[Reply] = defer.Deferred()
    collected = _CollectedResponse()

    def on_end(exchange_failure: http_exchange.ExchangeFailure | None) -> None:
        if timer.active():
            timer.cancel()
        if exchange_failure is None:
            done.callback(collected.reply())
            return
        error_type = (
            ResponseBrokenOff if exchange_failure.was_sent else RequestNotSent
        )
        done.errback(error_type(exchange_failure.reason))

    def on_timeout() -> None:
        exchange.cancel()
        done.errback(
            ResponseTimedOut(f"no response within {request.timeout_s} s")
        )

    try:
        exchange = http_exchange.Exchange(
            reactor,
            *_parse_request(request),
            http_exchange.ExchangeCallbacks(
                collected.on_head, collected.body.extend, on_end
            ),
            request.max_response_bytes,
        )
    except (ValueError, h11.LocalProtocolError) as invalid:
        return defer.fail(RequestInvalid(str(invalid)))
    timer = reactor.callLater(request.timeout_s, on_timeout)
    return done


class _CollectedResponse:
    """The response of an exchange so far.

    Attributes:
        body: The body.
    """

    def __init__(self) -> None:
        self.body = bytearray()
        self._status = 0
        self._content_type = ""

    def on_head(self, status: int, headers: http_exchange.Headers) -> None:
        """Records status and headers."""
        self._status = status
        for name, value in headers:
            if name.lower() == b"content-type":
                self._content_type = value.decode("latin-1")

    def reply(self) -> Reply:
        """Returns the response, which must be complete."""
        return Reply(self._status, self._content_type, bytes(self.body))


def _parse_request(
    request: Request,
) -> tuple[tuple[str, int], tuple[str, str, http_exchange.Headers, bytes]]:
    """Returns address and contents of a request.

    Raises:
        ValueError: The URL is not an absolute one of HTTP without TLS.
    """
    url = parse.urlsplit(request.url)
    if url.scheme != "http" or not url.hostname:
        raise ValueError(f"{request.url!r} is not a URL of http://")
    path = parse.urlunsplit(("", "", url.path or "/", url.query, ""))
    headers = [(b"Host", url.netloc.encode())]
    headers += [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in request.headers.items()
    ]
    address = (url.hostname, url.port or HTTP_PORT)
    return address, (request.method, path, headers, request.body)
