"""TCP connections to the platform that detect a peer that is unreachable."""

import socket
from typing import Any

from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.web import iweb
from zope.interface import implementer

# A watch request waits long for its response, so a broken connection has to be
# detected by keepalive probes: a gateway without contact to the platform for
# three seconds counts as disconnected.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Time that sent data may stay unacknowledged; as long as all probes take.
TCP_USER_TIMEOUT_S = 2.0


@implementer(interfaces.IStreamClientEndpoint)
class _KeepaliveEndpoint:
    """A client endpoint that enables TCP keepalive on its connections."""

    def __init__(self, endpoint: Any) -> None:
        self._endpoint = endpoint

    def connect(self, factory: Any) -> Any:
        """Connects; see `IStreamClientEndpoint.connect`."""
        return self._endpoint.connect(factory).addCallback(_enable_on_connect)


@implementer(iweb.IAgentEndpointFactory)
class KeepaliveEndpointFactory:
    """Creates the endpoints of an HTTP agent.

    Args:
        reactor: Reactor that makes the connections.
        connect_timeout_s: Timeout of a connection attempt.
    """

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Returns an endpoint; see `IAgentEndpointFactory`."""
        return _KeepaliveEndpoint(
            endpoints.HostnameEndpoint(
                self._reactor,
                uri.host,
                uri.port,
                timeout=self._connect_timeout_s,
            )
        )


def _enable_on_connect(protocol):
    enable_keepalive(protocol.transport)
    return protocol


def enable_keepalive(transport: Any) -> None:
    """Sets the TCP keepalive and user timeout options of a connection."""
    transport.setTcpKeepAlive(True)
    connection = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, round(TCP_USER_TIMEOUT_S * 1000)),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
