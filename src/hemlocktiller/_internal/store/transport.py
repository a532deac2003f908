"""HTTP transport of the object API client.

A call that was certainly not sent, or that the platform answered with status
503, fails with `StoreUnavailable`. A call that may have taken effect although
its reply is missing fails with `WriteOutcomeUnknown`. A call that its caller
has cancelled says nothing of the platform: it fails with `CancelledError`.
"""

import io
import math
from typing import NamedTuple
from urllib import parse

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers

from hemlocktiller._internal import exceptions
from hemlocktiller._internal import head_limit
from hemlocktiller._internal import http_client
from hemlocktiller._internal.schemas import entry_settings
from hemlocktiller._internal.store import endpoints
from hemlocktiller._internal.store import reply_parser

MAX_IDLE_CONNECTIONS = 16
# A listing of some thousand objects; a longer reply has no end.
MAX_REPLY_BYTES = 33_554_432
IDLE_CONNECTION_TIMEOUT_S = 30.0
# Part of the call timeout. Below 1, so that a connection attempt times out
# before the call does and is not mistaken for a lost reply.
CONNECT_TIMEOUT_RATIO = 0.5
# Response header with the number of restores from a backup.
DEFAULT_ERA_HEADER = "Object-Era"
# Outcome of a call whose connection ended before any of its reply.
CONNECTION_LOST = "connection lost"
HTTP_SERVICE_UNAVAILABLE = 503
HTTP_SERVER_ERROR_MIN = 500

_NOT_SENT_ERRORS = (
    error.ConnectError,
    error.DNSLookupError,
    client.RequestNotSent,
)


class Reply(NamedTuple):
    """A response of the platform.

    Attributes:
        status: HTTP status.
        body: JSON object in the body; None if there is none.
        era: Number of times that the store was restored from a backup; 0 if
            the platform does not tell it.
        retry_after_s: Time after which the platform wants to be asked again;
            0 if it named none.
    """

    status: int
    body: dict | None
    era: int = 0
    retry_after_s: float = 0.0


class Transport:
    """Sends calls to the platform over a pool of persistent connections."""

    def __init__(
        self,
        settings: entry_settings.Store,
        reactor,
        agent=None,
        era_header: str = DEFAULT_ERA_HEADER,
    ):
        self._era_header = era_header
        self._base_url = settings["url"].rstrip("/")
        self._timeout_s = settings["timeout_s"]
        self._reactor = reactor
        self._pool = client.HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        head_limit.limit_heads(self._pool)
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S
        connect_timeout_s = self._timeout_s * CONNECT_TIMEOUT_RATIO
        self._agent = agent or client.Agent.usingEndpointFactory(
            reactor,
            endpoints.KeepaliveEndpointFactory(reactor, connect_timeout_s),
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
            segments: Path segments, not percent-encoded.
            query: Query arguments.
            headers: Request headers.
            body: Request body.
            wait_s: Time that the platform may hold the response of a long
                poll; added to the timeout of the call.

        Returns:
            A Deferred that fires with the reply.

        Raises:
            StoreUnavailable: The call had no effect.
            WriteOutcomeUnknown: The call may have taken effect.
            CancelledError: The caller has cancelled the call, which may have
                taken effect.
        """
        is_cancelled = False

        def cancel(reply):
            nonlocal is_cancelled
            is_cancelled = True
            pending_reply.cancel()

        def translate(failure):
            # The failure of a cancelled request names no cancellation once
            # it was sent, but a lost connection.
            if is_cancelled:
                raise defer.CancelledError from failure.value
            _raise_store_error(failure, self._reactor.seconds() >= ends_s)

        pending_reply = defer.Deferred.fromCoroutine(
            self._send(
                method.encode(),
                self._build_url(segments, query),
                _build_headers(headers),
                body,
            )
        )
        timeout_s = self._timeout_s + wait_s
        ends_s = self._reactor.seconds() + timeout_s
        pending_reply.addTimeout(timeout_s, self._reactor)
        pending_reply.addErrback(translate)
        reply: defer.Deferred[Reply] = defer.Deferred(cancel)
        pending_reply.chainDeferred(reply)
        return reply

    def close(self) -> defer.Deferred:
        """Closes the idle connections."""
        return self._pool.closeCachedConnections()

    def _build_url(self, segments, query):
        path = "/".join(parse.quote(segment, safe="") for segment in segments)
        arguments = "?" + parse.urlencode(query) if query else ""
        return f"{self._base_url}/{path}{arguments}".encode()

    def _body_producer(self, body):
        if body is None:
            return None
        return client.FileBodyProducer(io.BytesIO(body), self._cooperator)

    async def _send(self, method, url, headers, body):
        response = await self._agent.request(
            method, url, headers, self._body_producer(body)
        )
        content, is_delimited = await http_client.read_body(
            response, MAX_REPLY_BYTES
        )
        if response.code == HTTP_SERVICE_UNAVAILABLE:
            raise exceptions.StoreUnavailable.ended(
                "the object API answered 503",
                "503",
                _parse_retry_after_s(response.headers),
            )
        if response.code >= HTTP_SERVER_ERROR_MIN:
            raise exceptions.WriteOutcomeUnknown(
                f"the object API answered {response.code}"
            )
        era = self._parse_era(response.headers)
        body = reply_parser.parse_object(content)
        if body is None and not is_delimited:
            raise exceptions.WriteOutcomeUnknown(
                "the object API closed the connection inside its answer"
            )
        return Reply(
            response.code,
            body,
            era,
            _parse_retry_after_s(response.headers),
        )

    def _parse_era(self, headers):
        """Returns the era that a response names.

        Raises:
            WriteOutcomeUnknown: The header is not a number, so the version
                of what the response holds is not known.
        """
        value = headers.getRawHeaders(self._era_header, ["0"])[-1]
        if not (value.isascii() and value.isdigit()):
            raise exceptions.WriteOutcomeUnknown(
                f"the object API sent a bad {self._era_header}: {value!r}"
            )
        return int(value)


def _build_headers(headers):
    raw = {name: [value] for name, value in (headers or {}).items()}
    return http_headers.Headers(raw)


def _parse_retry_after_s(headers):
    """Returns the seconds in `Retry-After`; 0 without a usable number."""
    value = headers.getRawHeaders("Retry-After", [""])[-1]
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    return seconds if math.isfinite(seconds) and seconds > 0.0 else 0.0


def _raise_store_error(failure, is_timeout):
    """Raises the store error that a failed call stands for."""
    failure.trap(Exception)
    cause = failure.value
    if isinstance(cause, exceptions.StoreError):
        raise cause
    if isinstance(cause, _NOT_SENT_ERRORS):
        raise exceptions.StoreUnavailable.ended(
            str(cause), "not sent"
        ) from cause
    outcome = "timeout" if is_timeout else "no answer"
    if isinstance(cause, client.ResponseNeverReceived) and not is_timeout:
        outcome = CONNECTION_LOST
    raise exceptions.WriteOutcomeUnknown.ended(
        f"no reply: {cause!r}", outcome
    ) from cause
