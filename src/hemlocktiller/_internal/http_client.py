"""HTTP client for calls to the engine or service on the same VM."""

from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import error
from twisted.python import failure
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

from hemlocktiller._internal import exceptions

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 64
NOT_SENT_ERRORS = (
    error.ConnectionRefusedError,
    error.ConnectError,
    error.TimeoutError,
)
CONNECTION_LOST_ERRORS = (
    client.ResponseNeverReceived,
    client.ResponseFailed,
    error.ConnectionLost,
)


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
    """

    method: str
    url: str
    body: bytes = b""
    headers: dict[str, str] = {}
    timeout_s: float = 10.0


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


def create_agent(reactor: Any) -> client.Agent:
    """Returns an HTTP agent with a pool of persistent connections.

    The agent never retries a request, since only the caller knows whether it
    may be repeated.
    """
    pool = client.HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
    pool.retryAutomatically = False
    return client.Agent(reactor, pool=pool, connectTimeout=CONNECT_TIMEOUT_S)


def was_not_sent(reason: failure.Failure) -> bool:
    """Returns whether a failed request certainly did not reach the service."""
    return reason.check(*NOT_SENT_ERRORS) is not None


@defer.inlineCallbacks
def send(
    reactor: Any, http_agent: client.Agent, request: Request
) -> defer.Deferred[Reply]:
    """Sends a request and returns the whole response.

    Args:
        reactor: Reactor that schedules the timeout.
        http_agent: Agent that sends the request; see `create_agent`.
        request: The request.

    Raises:
        ResponseTimedOut: The whole response was not received within
            `timeout_s`.
        Exception: An exception of Twisted, if the exchange failed before.
            `was_not_sent` tells whether the request was certainly not sent.
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
        state["pending"] = client.readBody(response)
        body = yield state["pending"]
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
    return Reply(response.code, content_types[0], body)
