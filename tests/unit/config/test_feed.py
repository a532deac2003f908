"""Tests of the distribution of configuration updates over links."""

import copy
import random

import pytest
from twisted.internet import task

from hemlocktiller._internal.config import patch
from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.links import config_feed


class RecordingLink:
    """Link stub that records the messages sent on it."""

    is_open = True

    def __init__(self, version):
        self.peer = {"config_version": version}
        self.sent = []

    def send(self, message):
        """Records a message."""
        self.sent.append(message)


@pytest.fixture
def clock():
    return task.Clock()


@pytest.fixture
def feed(clock):
    return config_feed.ConfigFeed(clock, random.Random(1))


def test_update_is_built_once_for_all_links(
    feed, clock, config_document, monkeypatch
):
    built_versions = []

    def count_build(old, new):
        built_versions.append(new.version)
        return original_build_update(old, new)

    original_build_update = patch.build_update
    monkeypatch.setattr(patch, "build_update", count_build)
    old_snapshot = snapshot.build(3, config_document)
    new_document = copy.deepcopy(config_document)
    new_document["plans"][0]["share"] = 0.5
    feed.apply_if_newer(old_snapshot)
    links = [RecordingLink(3) for _ in range(50)] + [RecordingLink(0)]
    for link in links:
        feed.on_open(link)
    feed.apply_if_newer(snapshot.build(4, new_document))
    clock.advance(config_feed.MAX_PUSH_DELAY_S + 1)
    assert [message["version"] for message in links[0].sent] == [4]
    assert [message["version"] for message in links[-1].sent] == [3, 4]
    for link in links:
        applied = patch.apply_update(old_snapshot, link.sent[-1]).ok
        assert applied.document == new_document
    assert sorted(built_versions) == [3, 4]
