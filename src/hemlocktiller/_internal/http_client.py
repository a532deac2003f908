"""Small HTTP calls to the services beside this process."""

from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import error
from twisted.python import failure
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

CONNECT_TIMEOUT_S = 1.0
POOL_CONNECTIONS = 64
NEVER_SENT = (
    error.ConnectionRefusedError,
    error.ConnectError,
    error.TimeoutError,
)
PEER_DIED = (
    client.ResponseNeverReceived,
    client.ResponseFailed,
    error.ConnectionLost,
)


class Reply(NamedTuple):
    """The answer to an HTTP call."""

    status: int
    content_type: str
    body: bytes


class Request(NamedTuple):
    """An HTTP call to make."""

    method: str
    url: str
    body: bytes = b""
    headers: dict[str, str] = {}
    timeout_s: float = 10.0


@implementer(iweb.IBodyProducer)
class _BytesProducer:
    """A request body that is in memory."""

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


def agent(reactor: Any) -> client.Agent:
    """Returns an HTTP client that keeps connections open.

    A call is never repeated by the client itself: whether a call may be
    repeated is decided by the caller.
    """
    pool = client.HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = POOL_CONNECTIONS
    pool.retryAutomatically = False
    return client.Agent(reactor, pool=pool, connectTimeout=CONNECT_TIMEOUT_S)


def never_sent(reason: failure.Failure) -> bool:
    """Tells whether a failed call provably did not reach the service."""
    return reason.check(*NEVER_SENT) is not None


@defer.inlineCallbacks
def call(
    reactor: Any, http_agent: client.Agent, request: Request
) -> defer.Deferred[Reply]:
    """Makes a call and returns the whole answer.

    Raises:
        Exception: Of Twisted, when no whole answer came within
            `timeout_s`; `never_sent` tells whether the call was sent.
    """
    headers = http_headers.Headers(
        {name: [value] for name, value in request.headers.items()}
    )
    producer = _BytesProducer(request.body) if request.body else None
    pending = http_agent.request(
        request.method.encode(), request.url.encode(), headers, producer
    )
    state = {"pending": pending}
    timer = reactor.callLater(
        request.timeout_s, lambda: state["pending"].cancel()
    )
    try:
        response = yield pending
        state["pending"] = client.readBody(response)
        body = yield state["pending"]
    finally:
        if timer.active():
            timer.cancel()
    types = response.headers.getRawHeaders("content-type", [""])
    return Reply(response.code, types[0], body)
