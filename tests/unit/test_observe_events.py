"""Structured log lines are complete, rate-limited and never block."""

import io
import json
import os

import logbook
import pytest

from hemlocktiller._internal.observe import events


@pytest.fixture
def log_handler(monkeypatch):
    """Captures log records, with rate limits reset."""
    monkeypatch.setattr(events, "_BUCKETS_BY_EVENT", {})
    handler = logbook.TestHandler(level="INFO")
    with handler.applicationbound():
        yield handler


def logged_lines(log_handler):
    return [json.loads(record.message) for record in log_handler.records]


def test_a_line_holds_the_event_and_its_fields(log_handler):
    events.emit("dispatch", request="r1", waited_ms=3)
    assert logged_lines(log_handler) == [
        {"event": "dispatch", "request": "r1", "waited_ms": 3}
    ]


def test_lines_over_the_rate_limit_are_dropped_and_counted(
    log_handler, monkeypatch
):
    now_s = 100.0
    monkeypatch.setattr(events.time, "monotonic", lambda: now_s)
    for number in range(10_000):
        events.emit("refused", request=number)
    assert len(log_handler.records) == events.MAX_BURST_LINES
    now_s += 1.0
    for number in range(10_000):
        events.emit("refused", request=number)
    assert (
        len(log_handler.records)
        == events.MAX_BURST_LINES + events.MAX_LINES_PER_S
    )
    first_line_after_flood = logged_lines(log_handler)[
        int(events.MAX_BURST_LINES)
    ]
    assert (
        first_line_after_flood["lines_dropped"]
        == 10_000 - events.MAX_BURST_LINES
    )


def test_each_event_has_its_own_rate_limit(log_handler):
    for number in range(10_000):
        events.emit("refused", request=number)
    events.emit("target_down", target="a")
    assert logged_lines(log_handler)[-1]["event"] == "target_down"


def test_a_stalled_reader_does_not_block_the_writer():
    read_end, write_end = os.pipe()
    try:
        stream = events.NonBlockingStream(open(write_end, "w"))  # noqa: SIM115
        for _ in range(2_000):
            assert stream.write("x" * 200 + "\n") == 201
        received = os.read(read_end, 1_000_000)
        assert 0 < len(received) < 2_000 * 201
    finally:
        os.close(read_end)


def test_lines_stay_complete_after_a_full_pipe():
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
