"""Links in memory: bytes move when the test says so."""

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


class Transport:
    """One direction of a connection in memory."""

    def __init__(self):
        self.out = bytearray()
        self.closing = False
        self.aborted = False

    def setTcpNoDelay(self, enabled):
        """Expects small frames to leave at once."""
        assert enabled

    def write(self, data):
        """Takes bytes to move."""
        self.out += data

    def loseConnection(self):
        """Closes."""
        self.closing = True

    def abortConnection(self):
        """Closes at once."""
        self.closing = True
        self.aborted = True


class End:
    """One end of a wire, with what its owner saw."""

    def __init__(self, kind, clock, name, settings, version=0):
        self.opened = []
        self.messages = []
        self.downs = []
        self.version = version
        local = link_module.LocalProcess(
            f"process-{name}", "agent", name, "dc1", lambda: self.version
        )
        handlers = link_module.Handlers(
            self.opened.append,
            lambda link, message: self.messages.append(message),
            lambda link, reason: self.downs.append(reason),
        )
        self.link = kind(clock, settings, local, handlers)
        self.transport = Transport()

    def connect(self):
        """Starts the link."""
        self.link.makeConnection(self.transport)

    def lose(self):
        """Tells the link that its connection is lost."""
        self.link.connectionLost(failure.Failure(main.CONNECTION_DONE))


class Wire:
    """A dialled and an accepted link, connected in memory."""

    def __init__(self, dialled=SETTINGS, accepted=SETTINGS):
        self.clock = task.Clock()
        self.cut = False
        self.dialled = End(link_module.DialledLink, self.clock, "a", dialled)
        self.accepted = End(
            link_module.AcceptedLink, self.clock, "b", accepted
        )

    def connect(self):
        """Starts both ends and lets them shake hands."""
        self.accepted.connect()
        self.dialled.connect()
        self.pump()
        return self

    def pump(self):
        """Moves bytes both ways until none are left."""
        while not self.cut and self._move():
            pass
        for end in (self.dialled, self.accepted):
            if end.transport.closing and not end.downs:
                end.lose()
                if not self.cut:
                    self._other(end).lose()

    def advance(self, seconds, step_s=0.25):
        """Lets time pass in steps, with bytes moving after each."""
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)
            self.pump()

    def _other(self, end):
        return self.accepted if end is self.dialled else self.dialled

    def _move(self):
        moved = False
        for end in (self.dialled, self.accepted):
            data = bytes(end.transport.out)
            end.transport.out.clear()
            if data:
                self._other(end).link.dataReceived(data)
                moved = True
        return moved
