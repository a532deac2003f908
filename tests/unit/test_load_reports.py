import pytest
from twisted.internet import task

from hemlocktiller._internal.agent import load_reports


class RecordingLink:
    """Records the messages sent to it."""

    def __init__(self):
        self.messages = []

    def send(self, message):
        """Records a message."""
        self.messages.append(message)


class LoadSource:
    """Sends load reports of a queue length that the test sets."""

    def __init__(self):
        self.clock = task.Clock()
        self.queued = 0
        self.link = RecordingLink()
        self.reports = load_reports.LoadReports(self.clock, self.build_report)

    def build_report(self):
        """Returns the current load report."""
        return {"type": "load", "queued": self.queued}

    def report_after_1_s(self):
        """Advances the clock by 1 s and sends a report if one is due.

        Returns:
            The number of reports sent so far.
        """
        self.clock.advance(1.0)
        self.reports.send_if_changed([self.link])
        return len(self.link.messages)


@pytest.fixture
def source():
    return LoadSource()


def test_an_unchanged_load_is_reported_again_after_30_s(source):
    assert source.report_after_1_s() == 1
    for _ in range(28):
        assert source.report_after_1_s() == 1
    assert [source.report_after_1_s() for _ in range(2)][-1] == 2


def test_a_change_is_sent_at_the_next_interval(source):
    source.report_after_1_s()
    source.queued = 3
    assert source.report_after_1_s() == 2
    assert source.link.messages[-1]["queued"] == 3


def test_only_new_prefixes_are_sent_but_a_new_link_gets_all(source):
    source.reports.record_prefixes([1, 2])
    source.report_after_1_s()
    source.reports.record_prefixes([2, 3])
    source.report_after_1_s()
    assert source.link.messages[-1]["prefixes"] == [3]
    assert source.reports.full_report()["prefixes"] == [3, 2, 1]
    assert source.report_after_1_s() == 2


def test_the_oldest_prefix_is_evicted_at_the_limit(source):
    source.reports.record_prefixes(range(load_reports.MAX_PREFIXES + 1))
    prefixes = source.reports.full_report()["prefixes"]
    assert len(prefixes) == load_reports.MAX_PREFIXES
    assert 0 not in prefixes
