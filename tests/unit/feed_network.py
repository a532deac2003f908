"""Feeds of several processes whose messages move when a test says so."""

from twisted.internet import task

from hemlocktiller._internal.links import codec

LATENCY_S = 0.02


class QueueLink:
    """An open link in one direction; a network delivers what it sends."""

    def __init__(self, network, receiver):
        self.is_open = True
        self.reverse = None
        self.network = network
        self.receiver = receiver
        self.peer = {"name": "peer"}

    def peer_accepts(self, message_type):
        """Returns whether the peer has a type of message: it has all."""
        return True

    def send(self, message):
        """Sends a message, which must be valid."""
        self.network.append((self, codec.decode(codec.encode(message))))


class Network:
    """Feeds of several processes and the messages between them.

    Args:
        size: Number of processes.
        make_feed: Returns the feed of a process with the given clock.
    """

    def __init__(self, size, make_feed):
        self.clock = task.Clock()
        self.messages = []
        self.message_count = 0
        self.feeds = [make_feed(self.clock) for _ in range(size)]

    def connect(self, first, second):
        """Opens a link between two processes."""
        there = QueueLink(self.messages, self.feeds[second])
        back = QueueLink(self.messages, self.feeds[first])
        there.reverse, back.reverse = back, there
        self.feeds[first].on_open(there)
        self.feeds[second].on_open(back)
        return there, back

    def connect_all(self):
        """Opens links between all processes."""
        for first in range(len(self.feeds)):
            for second in range(first):
                self.connect(first, second)

    def deliver(self):
        """Delivers messages until no more are sent."""
        while self.messages:
            self.clock.advance(LATENCY_S)
            sent, self.messages[:] = list(self.messages), []
            self.message_count += len(sent)
            assert self.message_count < 100_000
            for link, message in sent:
                link.receiver.on_message(link.reverse, message)
