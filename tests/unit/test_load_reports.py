import pytest
from twisted.internet import task

from hemlocktiller._internal.agent import load_reports


class Link:
    """Keeps what is sent."""

    def __init__(self):
        self.messages = []

    def send(self, message):
        """Keeps a message."""
        self.messages.append(message)


class Source:
    """A load that the test sets."""

    def __init__(self):
        self.clock = task.Clock()
        self.queued = 0
        self.link = Link()
        self.reports = load_reports.LoadReports(self.clock, self.build)

    def build(self):
        """Returns the load."""
        return {"type": "load", "queued": self.queued}

    def send(self):
        """Lets a second pass and sends what is due."""
        self.clock.advance(1.0)
        self.reports.send_if_changed([self.link])
        return len(self.link.messages)


@pytest.fixture
def source():
    return Source()


def test_an_unchanged_load_is_sent_again_only_after_a_while(source):
    assert source.send() == 1
    for _ in range(28):
        assert source.send() == 1
    assert [source.send() for _ in range(2)][-1] == 2


def test_a_change_is_sent_at_the_next_interval(source):
    source.send()
    source.queued = 3
    assert source.send() == 2
    assert source.link.messages[-1]["queued"] == 3


def test_a_prefix_is_told_once_and_all_of_them_to_a_new_link(source):
    source.reports.record_prefixes([1, 2])
    source.send()
    source.reports.record_prefixes([2, 3])
    source.send()
    assert source.link.messages[-1]["prefixes"] == [3]
    assert source.reports.full_report()["prefixes"] == [3, 2, 1]
    assert source.send() == 2


def test_the_oldest_prefix_makes_room(source):
    source.reports.record_prefixes(range(load_reports.MAX_PREFIXES + 1))
    known = source.reports.full_report()["prefixes"]
    assert len(known) == load_reports.MAX_PREFIXES
    assert 0 not in known
