"""Structured log lines: whole, bounded, and never blocking."""

import io
import json
import os

import logbook
import pytest

from hemlocktiller._internal.observe import events


@pytest.fixture
def lines(monkeypatch):
    """The messages that were logged, with fresh buckets."""
    monkeypatch.setattr(events, "_BUCKETS_BY_EVENT", {})
    handler = logbook.TestHandler(level="INFO")
    with handler.applicationbound():
        yield handler


def logged(lines):
    return [json.loads(record.message) for record in lines.records]


def test_a_line_names_the_event_and_what_decided_it(lines):
    events.emit("dispatch", request="r1", waited_ms=3)
    assert logged(lines) == [
        {"event": "dispatch", "request": "r1", "waited_ms": 3}
    ]


def test_a_flood_is_bounded_and_counted(lines, monkeypatch):
    now_s = 100.0
    monkeypatch.setattr(events.time, "monotonic", lambda: now_s)
    for number in range(10_000):
        events.emit("refused", request=number)
    assert len(lines.records) == events.MAX_BURST_LINES
    now_s += 1.0
    for number in range(10_000):
        events.emit("refused", request=number)
    assert (
        len(lines.records) == events.MAX_BURST_LINES + events.MAX_LINES_PER_S
    )
    after = logged(lines)[int(events.MAX_BURST_LINES)]
    assert after["lines_dropped"] == 10_000 - events.MAX_BURST_LINES


def test_a_flood_of_one_event_leaves_room_for_others(lines):
    for number in range(10_000):
        events.emit("refused", request=number)
    events.emit("target_down", target="a")
    assert logged(lines)[-1]["event"] == "target_down"


def test_a_reader_that_stands_still_blocks_nothing():
    read_end, write_end = os.pipe()
    try:
        stream = events.NonBlockingStream(open(write_end, "w"))  # noqa: SIM115
        for _ in range(2_000):
            assert stream.write("x" * 200 + "\n") == 201
        received = os.read(read_end, 1_000_000)
        assert 0 < len(received) < 2_000 * 201
    finally:
        os.close(read_end)


def test_lines_stay_whole_after_a_full_pipe():
    read_end, write_end = os.pipe()
    try:
        stream = events.NonBlockingStream(open(write_end, "w"))  # noqa: SIM115
        for number in range(2_000):
            stream.write(f"{number:0200d}\n")
        os.read(read_end, 1_000_000)
        stream.write("last\n")
        rest = os.read(read_end, 1_000_000).decode()
        assert rest.endswith("last\n")
        assert io.StringIO(rest).readlines()[-1] == "last\n"
    finally:
        os.close(read_end)
