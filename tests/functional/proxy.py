"""A TCP relay, run as its own process, that stands in for a link.

Its state is set by signals, so that it needs no control connection:
SIGUSR1 cuts every connection and refuses new ones, SIGUSR2 restores it;
SIGSTOP and SIGCONT freeze and wake it. The delay is an option.
"""

import argparse
from pathlib import Path
import signal
import sys

from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor


class _End(protocol.Protocol):
    """One end of a relayed connection."""

    def __init__(self, delay_s):
        self._delay_s = delay_s
        self._waiting = []
        self._peer = None

    def join(self, peer):
        self._peer = peer
        for data in self._waiting:
            self._pass(data)
        self._waiting = []

    def dataReceived(self, data):  # noqa: N802
        if self._peer is None:
            self._waiting.append(data)
            return
        self._pass(data)

    def _pass(self, data):
        if self._delay_s:
            reactor.callLater(self._delay_s, self._write, data)
            return
        self._write(data)

    def _write(self, data):
        if self._peer.transport is not None:
            self._peer.transport.write(data)

    def connectionLost(self, reason):  # noqa: N802
        if self._peer is not None:
            reactor.callLater(
                self._delay_s, self._peer.transport.loseConnection
            )


class _Relay(protocol.Factory):
    """Joins each accepted connection to one to the target."""

    def __init__(self, target_file, delay_s):
        self._target_file = target_file
        self._delay_s = delay_s
        self._ends = set()
        self._cut = False

    def buildProtocol(self, address):  # noqa: N802
        if self._cut or not self._target_file.exists():
            return None
        near = _End(self._delay_s)
        self._ends.add(near)
        host, _, port = self._target_file.read_text().rpartition(":")
        target = endpoints.TCP4ClientEndpoint(reactor, host, int(port))
        far = _End(self._delay_s)
        joining = endpoints.connectProtocol(target, far)
        joining.addCallbacks(
            lambda _: self._join(near, far),
            lambda _: near.transport.abortConnection(),
        )
        return near

    def _join(self, near, far):
        self._ends.add(far)
        near.join(far)
        far.join(near)
        if self._cut:
            self.cut()

    def cut(self):
        self._cut = True
        for end in self._ends:
            if end.transport is not None and end.transport.connected:
                end.transport.abortConnection()
        self._ends.clear()

    def restore(self):
        self._cut = False


def main(arguments=None) -> None:
    """Runs a relay until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--target-file", type=Path, required=True)
    parser.add_argument("--delay-s", type=float, default=0.0)
    options = parser.parse_args(arguments)
    relay = _Relay(options.target_file, options.delay_s)
    port = reactor.listenTCP(options.port, relay, interface="127.0.0.1")
    _on_signal(signal.SIGUSR1, relay.cut)
    _on_signal(signal.SIGUSR2, relay.restore)
    sys.stdout.write(f"listening 127.0.0.1:{port.getHost().port}\n")
    sys.stdout.flush()
    reactor.run()


def _on_signal(number, action):
    signal.signal(number, lambda *_: reactor.callFromThread(action))


if __name__ == "__main__":
    main()
