import cbor2
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.links import coalesce
from hemlocktiller._internal.links import codec
from hemlocktiller._internal.links import link as link_module
from tests.unit import memory_links

CANCEL = {"type": "cancel", "request": "r1", "attempt": 1}


@pytest.fixture
def link_pair():
    return memory_links.LinkPair().connect()


def test_both_ends_complete_the_handshake(link_pair):
    assert link_pair.dialled.link.peer["name"] == "b"
    assert link_pair.accepted.link.peer["name"] == "a"
    assert link_pair.dialled.link.is_open
    assert link_pair.accepted.link.is_open


def test_messages_are_delivered_in_both_directions(link_pair):
    link_pair.dialled.link.send(CANCEL)
    link_pair.accepted.link.send(CANCEL)
    link_pair.deliver_all()
    assert link_pair.accepted.messages == [CANCEL]
    assert link_pair.dialled.messages == [CANCEL]


def test_a_peer_with_another_secret_is_refused():
    other_settings = {
        **memory_links.SETTINGS,
        "secret": "another secret of the tests",
    }
    link_pair = memory_links.LinkPair(dialled=other_settings).connect()
    assert link_pair.dialled.down_reasons == ["handshake refused"]
    assert link_pair.accepted.opened_links == []


def test_a_peer_without_a_common_protocol_version_is_refused(monkeypatch):
    link_pair = memory_links.LinkPair()
    monkeypatch.setattr(
        link_pair.dialled.link._ws,
        "available_subprotocols",
        ["hemlocktiller.v0"],
    )
    link_pair.connect()
    assert link_pair.dialled.down_reasons == ["handshake refused"]
    assert link_pair.accepted.opened_links == []


def test_a_peer_that_offers_a_newer_version_too_is_accepted(monkeypatch):
    link_pair = memory_links.LinkPair()
    monkeypatch.setattr(
        link_pair.dialled.link._ws,
        "available_subprotocols",
        ["hemlocktiller.v2", "hemlocktiller.v1"],
    )
    link_pair.connect()
    assert link_pair.accepted.link.is_open
    assert link_pair.dialled.link._ws.subprotocol == "hemlocktiller.v1"


@pytest.mark.parametrize(
    "message",
    [
        {"type": "no such type"},
        {"type": "cancel", "request": "r1"},
        {"type": "cancel", "request": "r1", "attempt": 1, "more": 2},
        {"type": "cancel", "request": "r1", "attempt": "1"},
        ["cancel"],
    ],
)
def test_a_message_outside_the_schema_closes_the_link(link_pair, message):
    link_pair.dialled.link._ws.send_binary(cbor2.dumps(message))
    link_pair.dialled.link._flush()
    link_pair.deliver_all()
    assert link_pair.accepted.messages == []
    assert link_pair.accepted.down_reasons == ["protocol error"]


def test_a_frame_over_the_limit_closes_the_link(link_pair):
    link_pair.dialled.link._ws.send_binary(b"x" * 70000)
    link_pair.dialled.link._flush()
    link_pair.deliver_all()
    assert link_pair.accepted.down_reasons


def test_an_active_link_is_aborted_within_the_silence_timeout(link_pair):
    link_pair.dialled.link.send(CANCEL)
    link_pair.deliver_all()
    link_pair.is_partitioned = True
    link_pair.advance(3.0)
    assert link_pair.dialled.transport.aborted
    assert link_pair.accepted.transport.aborted


LOADS = {
    "type": "occupancy",
    "targets": ["i-1"],
    "token_layers": [800],
    "sequences": [1],
    "prefill_tokens": [0],
    "whole": False,
    "config_version": 1,
    "crossing_mbps": 0.0,
}


def exchange_loads(link_pair, duration_s, interval_s=0.75):
    """Lets both ends send their loads; returns the frames sent beside them."""
    sent_count = link_module.FRAMES.labels("out")._value.get()
    load_count = 0
    for _ in range(round(duration_s / interval_s)):
        for end in (link_pair.dialled, link_pair.accepted):
            end.link.send(LOADS)
            load_count += 1
        link_pair.advance(interval_s, step_s=0.05)
    total = link_module.FRAMES.labels("out")._value.get() - sent_count
    return total - load_count


def test_loads_of_peers_need_no_watch_of_their_link(link_pair):
    duration_s = 15.0
    heartbeat_s = memory_links.SETTINGS["heartbeat_interval_s"]
    # A heartbeat and its echo in each interval.
    limit = 2 * duration_s / heartbeat_s
    assert exchange_loads(link_pair, duration_s) <= limit


def test_a_link_that_carries_loads_keeps_its_silence_timeout(link_pair):
    exchange_loads(link_pair, 30.0)
    link_pair.is_partitioned = True
    link_pair.dialled.link.send(LOADS)
    link_pair.advance(1.0, step_s=0.05)
    assert not link_pair.dialled.transport.aborted
    link_pair.advance(2.0, step_s=0.05)
    assert link_pair.dialled.transport.aborted
    assert link_pair.accepted.transport.aborted


def test_an_idle_link_is_aborted_after_a_longer_silence(link_pair):
    link_pair.advance(link_module.ACTIVE_WINDOW_S)
    link_pair.is_partitioned = True
    link_pair.advance(memory_links.SETTINGS["silence_timeout_s"] * 2)
    assert not link_pair.dialled.transport.aborted
    link_pair.advance(20.0)
    assert link_pair.dialled.transport.aborted
    assert link_pair.accepted.transport.aborted


def test_a_message_on_an_idle_link_restores_the_short_timeout(link_pair):
    link_pair.advance(link_module.ACTIVE_WINDOW_S)
    link_pair.is_partitioned = True
    link_pair.advance(3.0)
    link_pair.dialled.link.send(CANCEL)
    link_pair.advance(0.5, step_s=0.05)
    assert not link_pair.dialled.transport.aborted
    link_pair.advance(0.5, step_s=0.05)
    assert link_pair.dialled.transport.aborted


def test_only_the_dialling_end_sends_heartbeats_and_fewer_when_idle(link_pair):
    def sent_frames(seconds):
        before = link_module.FRAMES.labels("out")._value.get()
        link_pair.advance(seconds)
        return link_module.FRAMES.labels("out")._value.get() - before

    link_pair.dialled.link.send(CANCEL)
    link_pair.advance(link_module.WATCH_AFTER_WORK_S + 1.0)
    assert sent_frames(8.0) == 2 * 16
    link_pair.advance(link_module.ACTIVE_WINDOW_S)
    assert sent_frames(8.0) == 2 * 2


def test_heartbeats_keep_an_idle_link_up(link_pair):
    link_pair.advance(10.0)
    assert link_pair.dialled.link.is_open
    assert link_pair.accepted.link.is_open
    assert not link_pair.dialled.down_reasons


def test_silence_after_a_request_message_aborts_a_link_sooner(link_pair):
    link_pair.dialled.link.send(CANCEL)
    link_pair.deliver_all()
    link_pair.is_partitioned = True
    link_pair.advance(0.9, step_s=0.05)
    assert link_pair.dialled.transport.aborted
    assert not link_pair.accepted.transport.aborted
    link_pair.advance(2.0)
    assert link_pair.accepted.transport.aborted


def test_heartbeats_keep_a_link_up_while_a_long_step_runs(link_pair):
    for _ in range(20):
        link_pair.dialled.link.send(CANCEL)
        link_pair.advance(0.5, step_s=0.05)
    assert link_pair.dialled.link.is_open
    assert not link_pair.dialled.down_reasons


def test_a_pause_of_the_local_process_does_not_count_as_silence(link_pair):
    link_pair.dialled.link.send(CANCEL)
    link_pair.deliver_all()
    link_pair.clock.advance(1.5)
    link_pair.deliver_all()
    link_pair.advance(1.0, step_s=0.05)
    assert link_pair.dialled.link.is_open
    assert not link_pair.dialled.down_reasons


def test_a_pause_of_a_process_closes_no_link_that_it_accepted(link_pair):
    for _ in range(2):
        link_pair.dialled.link.send(CANCEL)
        link_pair.advance(0.05, step_s=0.05)
    # What the accepting end sends keeps the peer from sending heartbeats.
    for _ in range(8):
        link_pair.accepted.link.send(CANCEL)
        link_pair.advance(0.1, step_s=0.05)
    link_pair.clock.advance(1.5)
    link_pair.advance(1.0, step_s=0.05)
    assert link_pair.accepted.link.is_open
    assert not link_pair.accepted.down_reasons


def test_the_short_timeout_ends_some_time_after_the_last_message(link_pair):
    link_pair.dialled.link.send(CANCEL)
    link_pair.advance(link_module.WATCH_AFTER_WORK_S + 1.0, step_s=0.05)
    link_pair.is_partitioned = True
    link_pair.advance(1.5, step_s=0.05)
    assert not link_pair.dialled.transport.aborted


def test_sending_on_a_link_that_is_down_fails(link_pair):
    link_pair.dialled.report_connection_lost()
    with pytest.raises(exceptions.LinkDown):
        link_pair.dialled.link.send(CANCEL)


def test_the_owner_is_notified_once_that_a_link_is_down(link_pair):
    link_pair.dialled.report_connection_lost()
    link_pair.dialled.report_connection_lost()
    assert len(link_pair.dialled.down_reasons) == 1


cbor_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text()
    | strategies.binary(),
    lambda nested_values: (
        strategies.lists(nested_values, max_size=4)
        | strategies.dictionaries(strategies.text(), nested_values, max_size=4)
    ),
    max_leaves=12,
)


@settings(max_examples=300)
@given(strategies.binary(max_size=200))
def test_any_bytes_decode_to_a_message_or_a_protocol_error(frame):
    try:
        message = codec.decode(frame)
    except exceptions.ProtocolError:
        return
    assert message["type"]


@settings(max_examples=300)
@given(
    strategies.sampled_from(["cancel", "hops", "config", "load", "start"]),
    strategies.dictionaries(
        strategies.sampled_from(["request", "attempt", "hops", "body"]),
        cbor_values,
    ),
)
def test_any_fields_decode_to_a_message_or_a_protocol_error(kind, fields):
    try:
        message = codec.decode(cbor2.dumps({**fields, "type": kind}))
    except exceptions.ProtocolError:
        return
    assert message["type"] == kind


def test_deep_nesting_is_a_protocol_error():
    with pytest.raises(exceptions.ProtocolError):
        codec.decode(b"\x81" * 5000 + b"\x00")


def test_text_in_a_bytes_field_is_a_protocol_error():
    update = {"type": "config", "version": 1, "base_version": 0, "body": "x"}
    with pytest.raises(exceptions.ProtocolError):
        codec.decode(cbor2.dumps(update))


def test_items_added_within_the_delay_are_sent_together():
    clock = task.Clock()
    sent = []
    coalescer = coalesce.Coalescer(clock, 0.004, sent.append)
    coalescer.add(1)
    coalescer.add(2)
    assert sent == []
    clock.advance(0.004)
    assert sent == [[1, 2]]


def test_a_full_batch_is_sent_at_once():
    sent = []
    coalescer = coalesce.Coalescer(task.Clock(), 0.004, sent.append)
    for number in range(coalesce.MAX_BATCH_ITEMS):
        coalescer.add(number)
    assert len(sent) == 1


def test_the_subprotocols_are_distinct():
    assert len(set(link_module.SUBPROTOCOLS)) == len(link_module.SUBPROTOCOLS)
