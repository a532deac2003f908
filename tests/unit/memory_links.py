"""Pairs of links in memory whose bytes move when a test says so."""

from twisted.internet import main
from twisted.internet import task
from twisted.python import failure

from hemlocktiller._internal.links import link as link_module

SETTINGS = {
    "secret": "a shared secret of the tests",
    "heartbeat_interval_s": 0.5,
    "silence_timeout_s": 2.0,
    "frame_bytes": 65536,
}


class MemoryTransport:
    """An in-memory transport that keeps what is written to it."""

    def __init__(self):
        self.written = bytearray()
        self.closing = False
        self.aborted = False

    def setTcpNoDelay(self, enabled):
        """Checks that Nagle's algorithm, which delays frames, is off."""
        assert enabled

    def write(self, data):
        """Buffers bytes until they are delivered to the other end."""
        self.written += data

    def loseConnection(self):
        """Records that the connection is to be closed."""
        self.closing = True

    def abortConnection(self):
        """Records that the connection is aborted."""
        self.closing = True
        self.aborted = True


class LinkEnd:
    """One end of a pair, with the callbacks that its owner received."""

    def __init__(
        self, link_class, clock, name, settings, version=0, role="agent"
    ):
        self.opened_links = []
        self.messages = []
        self.down_reasons = []
        self.version = version
        local = link_module.LocalProcess(
            f"process-{name}", role, name, "dc1", lambda: self.version
        )
        handlers = link_module.Handlers(
            self.opened_links.append,
            lambda link, message: self.messages.append(message),
            lambda link, reason: self.down_reasons.append(reason),
        )
        self.link = link_class(clock, settings, local, handlers)
        self.transport = MemoryTransport()

    def connect(self):
        """Connects the link to its transport."""
        self.link.makeConnection(self.transport)

    def report_connection_lost(self):
        """Notifies the link that its connection is lost."""
        self.link.connectionLost(failure.Failure(main.CONNECTION_DONE))


class LinkPair:
    """A dialled and an accepted link, connected in memory.

    While `is_partitioned` is set, nothing moves between the ends.
    """

    def __init__(self, dialled=SETTINGS, accepted=SETTINGS):
        self.clock = task.Clock()
        self.is_partitioned = False
        self.dialled = LinkEnd(
            link_module.DialledLink, self.clock, "a", dialled
        )
        self.accepted = LinkEnd(
            link_module.AcceptedLink, self.clock, "b", accepted
        )

    def connect(self):
        """Connects both ends and completes their handshake."""
        self.accepted.connect()
        self.dialled.connect()
        self.deliver_all()
        return self

    def deliver_all(self):
        """Delivers bytes in both directions until none are left."""
        while not self.is_partitioned and self._deliver_once():
            pass
        for end in (self.dialled, self.accepted):
            if end.transport.closing and not end.down_reasons:
                end.report_connection_lost()
                if not self.is_partitioned:
                    self._opposite(end).report_connection_lost()

    def advance(self, seconds, step_s=0.25):
        """Advances the clock in steps and delivers all bytes after each."""
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)
            self.deliver_all()

    def _opposite(self, end):
        return self.accepted if end is self.dialled else self.dialled

    def _deliver_once(self):
        delivered = False
        for end in (self.dialled, self.accepted):
            data = bytes(end.transport.written)
            end.transport.written.clear()
            if data:
                self._opposite(end).link.dataReceived(data)
                delivered = True
        return delivered
