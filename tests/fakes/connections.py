"""In-memory connections to targets, on a `MemoryReactorClock`."""

from typing import Any
from typing import NamedTuple

from twisted.internet import error
from twisted.internet.testing import StringTransport
from twisted.python import failure


class Transport(StringTransport):
    """An in-memory transport with the methods of a TCP transport."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Ignores the option."""

    def abortConnection(self) -> None:
        """Closes the connection immediately."""
        self.loseConnection()


class TargetConnection(NamedTuple):
    """A connection to a target."""

    port: int
    protocol: Any
    transport: StringTransport

    def respond(self, data: bytes) -> None:
        """Delivers bytes of the response."""
        self.protocol.dataReceived(data)

    def reset(self) -> None:
        """Resets the connection."""
        reason = failure.Failure(error.ConnectionLost())
        self.protocol.connectionLost(reason)

    def close(self) -> None:
        """Closes the connection."""
        self.protocol.connectionLost(failure.Failure(error.ConnectionDone()))


def accept(reactor: Any, number: int) -> TargetConnection:
    """Accepts the connection attempt of that number, counted from 0."""
    _, port, factory, *_ = reactor.tcpClients[number]
    protocol = factory.buildProtocol(None)
    transport = Transport()
    protocol.makeConnection(transport)
    return TargetConnection(port, protocol, transport)
