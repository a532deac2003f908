"""HTTP calls to the platform, classified by what is known of them.

A call that was provably not sent, or that the platform answered with 503,
fails with `StoreUnavailable`. A call that may have taken effect although
its reply is missing fails with `WriteUnknown`.
"""

import io
import json
from typing import NamedTuple
from urllib import parse

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.schemas import entry_settings
from hemlocktiller._internal.store import endpoints

CACHED_CONNECTIONS = 16
CACHED_CONNECTION_TIMEOUT_S = 30.0
# Below 1, so that a connection that can't be made is told from a lost reply.
CONNECT_TIMEOUT_RATIO = 0.5
STATUS_UNAVAILABLE = 503
STATUS_SERVER_ERROR = 500

_NOT_SENT = (error.ConnectError, error.DNSLookupError, client.RequestNotSent)


class Reply(NamedTuple):
    """An answer of the platform; the body is None if it is not JSON."""

    status: int
    body: dict | None


class Transport:
    """Calls pages of the platform over kept connections."""

    def __init__(self, settings: entry_settings.Store, reactor, agent=None):
        self._base_url = settings["url"].rstrip("/")
        self._timeout_s = settings["timeout_s"]
        self._reactor = reactor
        self._pool = client.HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = CACHED_CONNECTIONS
        self._pool.cachedConnectionTimeout = CACHED_CONNECTION_TIMEOUT_S
        connect_timeout_s = self._timeout_s * CONNECT_TIMEOUT_RATIO
        self._agent = agent or client.Agent.usingEndpointFactory(
            reactor,
            endpoints.KeptAliveFactory(reactor, connect_timeout_s),
            self._pool,
        )
        self._cooperator = task.Cooperator(
            scheduler=lambda step: reactor.callLater(0, step)
        )

    def call(
        self,
        method: str,
        segments: tuple[str, ...],
        query: dict | None = None,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> "defer.Deferred[Reply]":
        """Sends one call.

        Args:
            method: HTTP method.
            segments: Path segments, unquoted.
            query: Query arguments.
            headers: Request headers.
            body: Request body.
            wait_s: Time in seconds that the platform may hold the answer.

        Returns:
            A Deferred of the reply.

        Raises:
            StoreUnavailable: The call was not carried out.
            WriteUnknown: The call may have been carried out.
        """
        called = defer.Deferred.fromCoroutine(
            self._exchange(
                method.encode(),
                self._url(segments, query),
                _headers(headers),
                body,
            )
        )
        called.addTimeout(self._timeout_s + wait_s, self._reactor)
        return called.addErrback(_classify)

    def close(self) -> defer.Deferred:
        """Closes the kept connections."""
        return self._pool.closeCachedConnections()

    def _url(self, segments, query):
        path = "/".join(parse.quote(part, safe="") for part in segments)
        arguments = "?" + parse.urlencode(query) if query else ""
        return f"{self._base_url}/{path}{arguments}".encode()

    def _producer(self, body):
        if body is None:
            return None
        return client.FileBodyProducer(io.BytesIO(body), self._cooperator)

    async def _exchange(self, method, url, headers, body):
        response = await self._agent.request(
            method, url, headers, self._producer(body)
        )
        content = await client.readBody(response)
        if response.code == STATUS_UNAVAILABLE:
            raise exceptions.StoreUnavailable("the object API answered 503")
        if response.code >= STATUS_SERVER_ERROR:
            raise exceptions.WriteUnknown(
                f"the object API answered {response.code}"
            )
        return Reply(response.code, _parsed(content))


def _headers(headers):
    raw = {name: [value] for name, value in (headers or {}).items()}
    return http_headers.Headers(raw)


def _parsed(content):
    try:
        return json.loads(content)
    except ValueError:
        return None


def _classify(failure):
    """Raises the store error for a failed call."""
    failure.trap(Exception)
    cause = failure.value
    if isinstance(cause, exceptions.StoreError):
        raise cause
    if isinstance(cause, _NOT_SENT):
        raise exceptions.StoreUnavailable(str(cause)) from cause
    raise exceptions.WriteUnknown(f"no reply: {cause!r}") from cause
