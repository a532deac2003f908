"""Tests of the TCP keepalive options of connections to the platform."""

import socket
from types import SimpleNamespace

from hemlocktiller._internal.store import endpoints


def test_unresponsive_connection_is_closed_within_three_seconds():
    connection = socket.socket()
    options = []
    transport = SimpleNamespace(
        setTcpKeepAlive=options.append, getHandle=lambda: connection
    )
    endpoints.enable_keepalive(transport)

    def option(name):
        return connection.getsockopt(socket.IPPROTO_TCP, name)

    probing_s = option(socket.TCP_KEEPINTVL) * option(socket.TCP_KEEPCNT)
    assert options == [True]
    assert option(socket.TCP_KEEPIDLE) + probing_s <= 3
    assert option(socket.TCP_USER_TIMEOUT) <= 3000
    connection.close()
