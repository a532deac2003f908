"""TCP relay process that injects network faults into connections.

Signals control it, so that it needs no control connection: SIGUSR1 aborts
all connections and refuses new ones until SIGUSR2; SIGSTOP and SIGCONT
suspend and resume it. SIGHUP applies the mode named in the mode file. A mode
may delay bytes, or hold them back as a network partition does; bytes held
back are forwarded once the mode ends.
"""

import argparse
import collections
from pathlib import Path
import signal
import sys
from typing import NamedTuple

from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor

# Longer than any call on one machine, shorter than the time-out of a probe.
SLOW_DELAY_S = 0.1
END_OF_STREAM = b""


class Mode(NamedTuple):
    """Faults that a relay applies to the bytes that it forwards."""

    holds_requests: bool = False
    holds_answers: bool = False
    delay_s: float = 0.0


MODES = {
    "up": Mode(),
    "silent": Mode(holds_requests=True, holds_answers=True),
    "no_requests": Mode(holds_requests=True),
    "no_answers": Mode(holds_answers=True),
    "slow": Mode(delay_s=SLOW_DELAY_S),
}


class _RelayedConnection(protocol.Protocol):
    """One side of a relayed connection.

    Received bytes are queued and written to the peer side in order.
    """

    def __init__(self, holds_back, get_delay_s):
        self._holds_back = holds_back
        self._get_delay_s = get_delay_s
        self._queue = collections.deque()
        self._peer = None
        self._timer = None

    def set_peer(self, peer):
        self._peer = peer
        self.forward_due()

    def dataReceived(self, data):  # noqa: N802
        self._enqueue(data)

    def connectionLost(self, reason):  # noqa: N802
        self._enqueue(END_OF_STREAM)

    def _enqueue(self, data):
        due_s = reactor.seconds() + self._get_delay_s()
        if self._queue:
            due_s = max(due_s, self._queue[-1][0])
        self._queue.append((due_s, data))
        self.forward_due()

    def forward_due(self):
        """Forwards bytes whose delay is over, unless they are held back."""
        if self._peer is None or self._holds_back():
            return
        while self._queue and self._queue[0][0] <= reactor.seconds():
            self._write(self._queue.popleft()[1])
        is_scheduled = self._timer is not None and self._timer.active()
        if self._queue and not is_scheduled:
            wait_s = max(0.0, self._queue[0][0] - reactor.seconds())
            self._timer = reactor.callLater(wait_s, self.forward_due)

    def _write(self, data):
        if self._peer.transport is None:
            return
        if data is END_OF_STREAM:
            self._peer.transport.loseConnection()
        else:
            self._peer.transport.write(data)


class _Relay(protocol.Factory):
    """Opens a connection to the target for each one that it accepts."""

    def __init__(self, target_file, delay_s):
        self._target_file = target_file
        self._mode = Mode(delay_s=delay_s)
        self._connections = set()
        self._is_cut = False

    def buildProtocol(self, address):  # noqa: N802
        if self._is_cut or not self._target_file.exists():
            return None
        client_side = _RelayedConnection(
            lambda: self._mode.holds_requests, lambda: self._mode.delay_s
        )
        self._connections.add(client_side)
        host, _, port = self._target_file.read_text().rpartition(":")
        target = endpoints.TCP4ClientEndpoint(reactor, host, int(port))
        target_side = _RelayedConnection(
            lambda: self._mode.holds_answers, lambda: self._mode.delay_s
        )
        connecting = endpoints.connectProtocol(target, target_side)
        connecting.addCallbacks(
            lambda _: self._link_peers(client_side, target_side),
            lambda _: client_side.transport.abortConnection(),
        )
        return client_side

    def _link_peers(self, client_side, target_side):
        self._connections.add(target_side)
        client_side.set_peer(target_side)
        target_side.set_peer(client_side)
        if self._is_cut:
            self.cut()

    def cut(self):
        self._is_cut = True
        for connection in self._connections:
            if (
                connection.transport is not None
                and connection.transport.connected
            ):
                connection.transport.abortConnection()
        self._connections.clear()

    def restore(self):
        self._is_cut = False

    def set_mode(self, mode):
        self._mode = mode
        for connection in list(self._connections):
            connection.forward_due()


def main(arguments=None) -> None:
    """Runs a relay until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--target-file", type=Path, required=True)
    parser.add_argument("--delay-s", type=float, default=0.0)
    parser.add_argument(
        "--mode-file", type=Path, help="file that names one of MODES"
    )
    options = parser.parse_args(arguments)
    relay = _Relay(options.target_file, options.delay_s)
    port = reactor.listenTCP(options.port, relay, interface="127.0.0.1")
    _call_on_signal(signal.SIGUSR1, relay.cut)
    _call_on_signal(signal.SIGUSR2, relay.restore)
    _call_on_signal(
        signal.SIGHUP,
        lambda: relay.set_mode(MODES[options.mode_file.read_text()]),
    )
    sys.stdout.write(f"listening 127.0.0.1:{port.getHost().port}\n")
    sys.stdout.flush()
    reactor.run()


def _call_on_signal(number, action):
    signal.signal(number, lambda *_: reactor.callFromThread(action))


if __name__ == "__main__":
    main()
