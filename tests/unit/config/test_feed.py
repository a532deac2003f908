import copy
import random

import pytest
from twisted.internet import task

from hemlocktiller._internal.config import patch
from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.links import config_feed


class RecordingLink:
    """A link that keeps what is sent on it."""

    is_open = True

    def __init__(self, version):
        self.peer = {"config_version": version}
        self.sent = []

    def send(self, message):
        """Keeps a message."""
        self.sent.append(message)


@pytest.fixture
def clock():
    return task.Clock()


@pytest.fixture
def feed(clock):
    return config_feed.ConfigFeed(clock, random.Random(1))


def test_an_edit_is_made_once_for_all_links(
    feed, clock, config_document, monkeypatch
):
    made = []

    def counted(old, new):
        made.append(new.version)
        return unchanged(old, new)

    unchanged = patch.build_update
    monkeypatch.setattr(patch, "build_update", counted)
    first = snapshot.build(3, config_document)
    edited = copy.deepcopy(config_document)
    edited["plans"][0]["share"] = 0.5
    feed.apply_if_newer(first)
    links = [RecordingLink(3) for _ in range(50)] + [RecordingLink(0)]
    for link in links:
        feed.on_open(link)
    feed.apply_if_newer(snapshot.build(4, edited))
    clock.advance(config_feed.MAX_PUSH_DELAY_S + 1)
    assert [message["version"] for message in links[0].sent] == [4]
    assert [message["version"] for message in links[-1].sent] == [3, 4]
    for link in links:
        applied = patch.apply_update(first, link.sent[-1]).ok
        assert applied.document == edited
    assert sorted(made) == [3, 4]
