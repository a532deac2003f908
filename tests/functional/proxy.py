"""A TCP relay, run as its own process, that stands in for a link.

Its state is set by signals, so that it needs no control connection:
SIGUSR1 cuts every connection and refuses new ones, SIGUSR2 restores it;
SIGSTOP and SIGCONT freeze and wake it. The delay is an option. SIGHUP puts
the mode of the mode file in force: bytes that a mode holds back, as a
partition does, go on when it ends.
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

# Longer than any call within a machine, shorter than a probe's time-out.
SLOW_S = 0.1
END = b""


class Mode(NamedTuple):
    """What a relay does to bytes on their way."""

    holds_requests: bool = False
    holds_answers: bool = False
    delay_s: float = 0.0


MODES = {
    "up": Mode(),
    "silent": Mode(holds_requests=True, holds_answers=True),
    "no_requests": Mode(holds_requests=True),
    "no_answers": Mode(holds_answers=True),
    "slow": Mode(delay_s=SLOW_S),
}


class _End(protocol.Protocol):
    """One end of a relayed connection; bytes keep their order."""

    def __init__(self, is_held, delay_s):
        self._is_held = is_held
        self._delay_s = delay_s
        self._queue = collections.deque()
        self._peer = None
        self._timer = None

    def join(self, peer):
        self._peer = peer
        self.pump()

    def dataReceived(self, data):  # noqa: N802
        self._pass(data)

    def connectionLost(self, reason):  # noqa: N802
        self._pass(END)

    def _pass(self, data):
        due_s = reactor.seconds() + self._delay_s()
        if self._queue:
            due_s = max(due_s, self._queue[-1][0])
        self._queue.append((due_s, data))
        self.pump()

    def pump(self):
        """Passes on what is due and not held back."""
        if self._peer is None or self._is_held():
            return
        while self._queue and self._queue[0][0] <= reactor.seconds():
            self._write(self._queue.popleft()[1])
        is_set = self._timer is not None and self._timer.active()
        if self._queue and not is_set:
            wait_s = max(0.0, self._queue[0][0] - reactor.seconds())
            self._timer = reactor.callLater(wait_s, self.pump)

    def _write(self, data):
        if self._peer.transport is None:
            return
        if data is END:
            self._peer.transport.loseConnection()
        else:
            self._peer.transport.write(data)


class _Relay(protocol.Factory):
    """Joins each accepted connection to one to the target."""

    def __init__(self, target_file, delay_s):
        self._target_file = target_file
        self._mode = Mode(delay_s=delay_s)
        self._ends = set()
        self._cut = False

    def buildProtocol(self, address):  # noqa: N802
        if self._cut or not self._target_file.exists():
            return None
        near = _End(
            lambda: self._mode.holds_requests, lambda: self._mode.delay_s
        )
        self._ends.add(near)
        host, _, port = self._target_file.read_text().rpartition(":")
        target = endpoints.TCP4ClientEndpoint(reactor, host, int(port))
        far = _End(
            lambda: self._mode.holds_answers, lambda: self._mode.delay_s
        )
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

    def set_mode(self, mode):
        self._mode = mode
        for end in list(self._ends):
            end.pump()


def main(arguments=None) -> None:
    """Runs a relay until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--target-file", type=Path, required=True)
    parser.add_argument("--delay-s", type=float, default=0.0)
    parser.add_argument("--mode-file", type=Path, help="holds one of MODES")
    options = parser.parse_args(arguments)
    relay = _Relay(options.target_file, options.delay_s)
    port = reactor.listenTCP(options.port, relay, interface="127.0.0.1")
    _on_signal(signal.SIGUSR1, relay.cut)
    _on_signal(signal.SIGUSR2, relay.restore)
    _on_signal(
        signal.SIGHUP,
        lambda: relay.set_mode(MODES[options.mode_file.read_text()]),
    )
    sys.stdout.write(f"listening 127.0.0.1:{port.getHost().port}\n")
    sys.stdout.flush()
    reactor.run()


def _on_signal(number, action):
    signal.signal(number, lambda *_: reactor.callFromThread(action))


if __name__ == "__main__":
    main()
