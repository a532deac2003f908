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
from tests.unit import wires

CANCEL = {"type": "cancel", "request": "r1", "attempt": 1}


@pytest.fixture
def wire():
    return wires.Wire().connect()


def test_both_ends_say_hello(wire):
    assert wire.dialled.link.peer["name"] == "b"
    assert wire.accepted.link.peer["name"] == "a"
    assert wire.dialled.link.is_open
    assert wire.accepted.link.is_open


def test_messages_pass_both_ways(wire):
    wire.dialled.link.send(CANCEL)
    wire.accepted.link.send(CANCEL)
    wire.pump()
    assert wire.accepted.messages == [CANCEL]
    assert wire.dialled.messages == [CANCEL]


def test_another_secret_is_refused():
    other = {**wires.SETTINGS, "secret": "another secret of the tests"}
    wire = wires.Wire(dialled=other).connect()
    assert wire.dialled.downs == ["handshake refused"]
    assert wire.accepted.opened == []


def test_a_peer_without_a_common_protocol_version_is_refused(monkeypatch):
    wire = wires.Wire()
    monkeypatch.setattr(
        wire.dialled.link._ws, "available_subprotocols", ["hemlocktiller.v0"]
    )
    wire.connect()
    assert wire.dialled.downs == ["handshake refused"]
    assert wire.accepted.opened == []


def test_a_peer_that_offers_a_newer_version_too_is_accepted(monkeypatch):
    wire = wires.Wire()
    monkeypatch.setattr(
        wire.dialled.link._ws,
        "available_subprotocols",
        ["hemlocktiller.v2", "hemlocktiller.v1"],
    )
    wire.connect()
    assert wire.accepted.link.is_open
    assert wire.dialled.link._ws.subprotocol == "hemlocktiller.v1"


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
def test_a_message_outside_the_schema_closes_the_link(wire, message):
    wire.dialled.link._ws.send_binary(cbor2.dumps(message))
    wire.dialled.link._flush()
    wire.pump()
    assert wire.accepted.messages == []
    assert wire.accepted.downs == ["protocol error"]


def test_a_frame_over_the_limit_closes_the_link(wire):
    wire.dialled.link._ws.send_binary(b"x" * 70000)
    wire.dialled.link._flush()
    wire.pump()
    assert wire.accepted.downs


def test_silence_takes_an_active_link_down_within_its_timeout(wire):
    wire.dialled.link.send(CANCEL)
    wire.pump()
    wire.cut = True
    wire.advance(3.0)
    assert wire.dialled.transport.aborted
    assert wire.accepted.transport.aborted


def test_silence_takes_an_idle_link_down_later(wire):
    wire.advance(link_module.ACTIVE_WINDOW_S)
    wire.cut = True
    wire.advance(wires.SETTINGS["silence_timeout_s"] * 2)
    assert not wire.dialled.transport.aborted
    wire.advance(20.0)
    assert wire.dialled.transport.aborted
    assert wire.accepted.transport.aborted


def test_work_on_an_idle_link_brings_the_short_timeout_back(wire):
    wire.advance(link_module.ACTIVE_WINDOW_S)
    wire.cut = True
    wire.advance(3.0)
    wire.dialled.link.send(CANCEL)
    wire.advance(0.5, step_s=0.05)
    assert not wire.dialled.transport.aborted
    wire.advance(0.5, step_s=0.05)
    assert wire.dialled.transport.aborted


def test_only_the_dialling_end_beats_and_an_idle_link_beats_less(wire):
    def frames_in(seconds):
        before = link_module.FRAMES.labels("out")._value.get()
        wire.advance(seconds)
        return link_module.FRAMES.labels("out")._value.get() - before

    wire.dialled.link.send(CANCEL)
    wire.advance(link_module.WATCH_AFTER_WORK_S + 1.0)
    assert frames_in(8.0) == 2 * 16
    wire.advance(link_module.ACTIVE_WINDOW_S)
    assert frames_in(8.0) == 2 * 2


def test_heartbeats_keep_an_idle_link_up(wire):
    wire.advance(10.0)
    assert wire.dialled.link.is_open
    assert wire.accepted.link.is_open
    assert not wire.dialled.downs


def test_silence_during_work_takes_a_link_down_sooner(wire):
    wire.dialled.link.send(CANCEL)
    wire.pump()
    wire.cut = True
    wire.advance(0.9, step_s=0.05)
    assert wire.dialled.transport.aborted
    assert not wire.accepted.transport.aborted
    wire.advance(2.0)
    assert wire.accepted.transport.aborted


def test_heartbeats_keep_a_link_up_while_a_long_step_runs(wire):
    for _ in range(20):
        wire.dialled.link.send(CANCEL)
        wire.advance(0.5, step_s=0.05)
    assert wire.dialled.link.is_open
    assert not wire.dialled.downs


def test_a_pause_of_this_process_is_not_silence_of_the_peer(wire):
    wire.dialled.link.send(CANCEL)
    wire.pump()
    wire.clock.advance(1.5)
    wire.pump()
    wire.advance(1.0, step_s=0.05)
    assert wire.dialled.link.is_open
    assert not wire.dialled.downs


def test_an_idle_link_is_not_watched_closely(wire):
    wire.dialled.link.send(CANCEL)
    wire.advance(link_module.WATCH_AFTER_WORK_S + 1.0, step_s=0.05)
    wire.cut = True
    wire.advance(1.5, step_s=0.05)
    assert not wire.dialled.transport.aborted


def test_sending_on_a_link_that_is_down_fails(wire):
    wire.dialled.lose()
    with pytest.raises(exceptions.LinkDown):
        wire.dialled.link.send(CANCEL)


def test_the_owner_hears_once_that_a_link_is_down(wire):
    wire.dialled.lose()
    wire.dialled.lose()
    assert len(wire.dialled.downs) == 1


json_like = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text()
    | strategies.binary(),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(), inner, max_size=4)
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
        json_like,
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


def test_a_field_of_bytes_must_be_bytes():
    update = {"type": "config", "version": 1, "base_version": 0, "body": "x"}
    with pytest.raises(exceptions.ProtocolError):
        codec.decode(cbor2.dumps(update))


def test_items_of_one_moment_leave_together():
    clock = task.Clock()
    sent = []
    batch = coalesce.Coalescer(clock, 0.004, sent.append)
    batch.add(1)
    batch.add(2)
    assert sent == []
    clock.advance(0.004)
    assert sent == [[1, 2]]


def test_a_full_batch_leaves_at_once():
    sent = []
    batch = coalesce.Coalescer(task.Clock(), 0.004, sent.append)
    for number in range(coalesce.MAX_BATCH_ITEMS):
        batch.add(number)
    assert len(sent) == 1


def test_the_link_protocol_is_named_once():
    assert len(set(link_module.SUBPROTOCOLS)) == len(link_module.SUBPROTOCOLS)
