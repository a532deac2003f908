"""Relayed queries for targets between the entries of an agent."""

import pytest

from hemlocktiller._internal.agent import message_dispatcher
from hemlocktiller._internal.agent import target_queries

ANSWER = {"type": "targets", "records": [{"target": "t1"}]}


class FakeLink:
    """An open link that records what is sent on it."""

    def __init__(self, role="entry"):
        self.peer = {"role": role}
        self.is_open = True
        self.sent = []

    def send(self, message):
        """Records a message."""
        self.sent.append(message)


@pytest.fixture
def relay():
    return target_queries.TargetQueryRelay()


def test_an_answer_is_relayed_to_the_entry_that_asked(relay):
    asking, answering = FakeLink(), FakeLink()
    relay.on_targets_wanted(asking, [asking, answering], None)
    assert answering.sent == [{"type": "targets_wanted"}]
    relay.on_targets(answering, ANSWER)
    assert asking.sent == [ANSWER]
    relay.on_targets(answering, ANSWER)
    assert asking.sent == [ANSWER]


def test_an_answer_received_as_message_is_relayed(relay):
    asking, answering = FakeLink(), FakeLink()
    dispatcher = message_dispatcher.MessageDispatcher()
    dispatcher.add_handlers({"targets": relay.on_targets})
    relay.on_targets_wanted(asking, [asking, answering], None)
    dispatcher.on_message(answering, ANSWER)
    assert asking.sent == [ANSWER]


def test_no_answer_is_relayed_on_a_lost_link(relay):
    asking, answering = FakeLink(), FakeLink()
    relay.on_targets_wanted(asking, [asking, answering], None)
    relay.on_down(asking)
    relay.on_targets(answering, ANSWER)
    assert asking.sent == []
