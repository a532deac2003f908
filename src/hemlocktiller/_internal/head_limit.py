"""Limits the heads of responses that `twisted.web.client` receives.

Its parser limits each line of a head, but keeps any number of them. A faulty
service that sends headers without end would fill the memory.
"""

from typing import Any

import prometheus_client
from twisted.web import _newclient
from twisted.web import client

from hemlocktiller._internal import http_exchange

_HEADS_TOO_LONG = prometheus_client.Counter(
    "hemlocktiller_response_heads_too_long",
    "Responses given up as their head did not end",
)


class _HeadLimitedProtocol(_newclient.HTTP11ClientProtocol):
    """A connection that is aborted once a head is too long."""

    _head_bytes = 0
    _head_parser: Any = None

    def dataReceived(self, data: bytes) -> None:
        """Parses bytes, and counts those of the current head."""
        parser = self._parser
        if parser is not self._head_parser:
            self._head_parser = parser
            self._head_bytes = 0
        super().dataReceived(data)
        if parser is None or parser.state not in (
            _newclient.STATUS,
            _newclient.HEADER,
        ):
            return
        self._head_bytes += len(data)
        if self._head_bytes > http_exchange.MAX_HEAD_BYTES:
            _HEADS_TOO_LONG.inc()
            self._head_parser = None
            self.transport.abortConnection()


class _HeadLimitedFactory(client._HTTP11ClientFactory):
    """Builds the connections of a pool."""

    def buildProtocol(self, addr: Any) -> Any:
        """Returns the protocol of a new connection."""
        return _HeadLimitedProtocol(self._quiescentCallback)


def limit_heads(pool: client.HTTPConnectionPool) -> None:
    """Limits the heads of responses on the connections of a pool."""
    pool._factory = _HeadLimitedFactory
