"""Connections to the platform that notice when they have gone silent."""

import socket
from typing import Any

from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.web import iweb
from zope.interface import implementer

# A watch may wait for long on a connection that no longer reaches the
# platform; within three seconds a gateway counts as out of touch.
PROBE_AFTER_S = 1
PROBE_INTERVAL_S = 1
PROBES = 2
# What was sent and is not acknowledged; as long as all probes take.
UNACKNOWLEDGED_S = 2.0


@implementer(interfaces.IStreamClientEndpoint)
class _KeptAlive:
    """An endpoint whose connections are probed while they are idle."""

    def __init__(self, endpoint: Any) -> None:
        self._endpoint = endpoint

    def connect(self, factory: Any) -> Any:
        """Connects; see `IStreamClientEndpoint.connect`."""
        return self._endpoint.connect(factory).addCallback(_connected)


@implementer(iweb.IAgentEndpointFactory)
class KeptAliveFactory:
    """Makes the endpoints of an HTTP agent.

    Args:
        reactor: Reactor.
        connect_timeout_s: Time that a connection may take to be made.
    """

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Returns an endpoint; see `IAgentEndpointFactory`."""
        return _KeptAlive(
            endpoints.HostnameEndpoint(
                self._reactor,
                uri.host,
                uri.port,
                timeout=self._connect_timeout_s,
            )
        )


def _connected(protocol):
    keep_alive(protocol.transport)
    return protocol


def keep_alive(transport: Any) -> None:
    """Has the system probe a connection that shows nothing."""
    transport.setTcpKeepAlive(True)
    connection = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_AFTER_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, PROBES),
        (socket.TCP_USER_TIMEOUT, round(UNACKNOWLEDGED_S * 1000)),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
