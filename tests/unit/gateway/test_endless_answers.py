"""Bytes of targets without end, in heads, bodies and events."""

import gc
import tracemalloc

import pytest

from hemlocktiller._internal import http_exchange
from hemlocktiller._internal.gateway import streams
from hemlocktiller._internal.gateway import upstream
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_streams import accept_attempt
from tests.unit.gateway.test_streams import event
from tests.unit.gateway.test_streams import make_two_chains
from tests.unit.gateway.test_streams import REPORT_RESPONSE
from tests.unit.gateway.test_streams import RESPONSE_HEAD
from tests.unit.gateway.test_streams import start_unresumable_stream
from tests.unit.gateway.test_streams import UNFRAMED_HEAD

PART = b"x" * 65_536
INFORMATION = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
PLAIN_HEAD = b"HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: r1\r\n\r\n"
ERROR_HEAD = b"HTTP/1.1 500 Failed\r\nSignature: s\r\nRequest-Id: r1\r\n\r\n"
EXCHANGE_COUNT = 50


def send_endlessly(connection, part, limit_bytes):
    """Sends parts until the connection is closed; returns the bytes sent.

    Raises:
        AssertionError: It is still open after twice the limit.
    """
    sent_bytes = 0
    while not connection.transport.disconnecting:
        assert sent_bytes <= 2 * limit_bytes
        connection.respond(part)
        sent_bytes += len(part)
    return sent_bytes


def start_call(harness, service, route, name="a"):
    harness.register(
        make_target(name, service="plain", accelerator="", slots=600)
    )
    admitted = harness.admit(service, route)
    harness.start_call(admitted)
    return admitted, harness.accept_connection()


@pytest.mark.parametrize(
    "part", [INFORMATION * 50, b"X: y\r\n" * 500, PART, b"\r\n" * 500]
)
def test_a_head_without_end_fails_the_call(
    harness, plain_service, booking_route, part
):
    admitted, connection = start_call(harness, plain_service, booking_route)
    if part.startswith(b"X"):
        connection.respond(b"HTTP/1.1 200 OK\r\n")
    send_endlessly(connection, part, http_exchange.MAX_HEAD_BYTES + len(part))
    assert admitted.caller_request.status == 502
    assert harness.targets.failure_ratio("a") > 0


@pytest.mark.parametrize("head", [PLAIN_HEAD, ERROR_HEAD])
def test_a_body_without_end_fails_the_call(
    harness, plain_service, booking_route, head
):
    admitted, connection = start_call(harness, plain_service, booking_route)
    connection.respond(head)
    send_endlessly(connection, PART, http_exchange.MAX_BODY_BYTES)
    assert admitted.caller_request.status == 502
    assert admitted.caller_request.ending == "whole"
    assert harness.targets.failure_ratio("a") > 0


def test_a_body_at_the_limit_is_passed_on(
    harness, plain_service, booking_route
):
    admitted, connection = start_call(harness, plain_service, booking_route)
    body = b"x" * http_exchange.MAX_BODY_BYTES
    connection.respond(PLAIN_HEAD + body)
    connection.close()
    assert admitted.caller_request.status == 200
    assert admitted.caller_request.body == body


def test_many_bodies_without_end_hold_little_memory(
    harness, plain_service, booking_route
):
    connections = []
    for _ in range(EXCHANGE_COUNT):
        _, connection = start_call(harness, plain_service, booking_route)
        connection.respond(PLAIN_HEAD)
        connections.append(connection)
    sent_bytes = sum(
        send_endlessly(connection, PART, http_exchange.MAX_BODY_BYTES)
        for connection in connections
    )
    limit_bytes = http_exchange.MAX_BODY_BYTES + len(PART)
    assert sent_bytes <= EXCHANGE_COUNT * limit_bytes


def test_a_report_without_end_fails_the_probe(harness):
    target = make_target("a0", first_layer=0, end_layer=40)
    harness.register(target)
    harness.targets.probe_suspect(target, "test")
    connection = harness.accept_connection()
    connection.respond(b"HTTP/1.1 200 OK\r\n\r\n")
    send_endlessly(connection, b"x" * 4096, upstream.MAX_REPORT_BYTES)
    assert harness.targets.is_down(target)


@pytest.fixture
def streaming(harness, model_service, stream_route):
    """A harness with two chains, and the first attempt of a stream."""
    harness.register(*make_two_chains())
    admitted = harness.admit(model_service, stream_route)
    harness.start_stream(admitted)
    return harness, admitted, harness.accept_connection()


def test_an_event_without_end_is_dropped_and_the_stream_resumed(streaming):
    harness, admitted, connection = streaming
    connection.respond(UNFRAMED_HEAD + event(1) + b"id: 2\ndata: ")
    send_endlessly(connection, PART, streams.MAX_EVENT_BYTES)
    assert admitted.caller_request.body == event(1)
    assert admitted.caller_request.ending == ""
    second_attempt = accept_attempt(harness)
    assert b"Last-Event-Id: 1\r\n" in second_attempt.transport.value()


def test_an_event_without_end_aborts_a_stream_that_is_not_resumable(
    harness, model_service, stream_route
):
    admitted, connection = start_unresumable_stream(
        harness, model_service, stream_route
    )
    connection.respond(UNFRAMED_HEAD + event(1))
    send_endlessly(connection, PART, streams.MAX_EVENT_BYTES)
    assert admitted.caller_request.ending == "cut"


def test_an_error_of_a_stream_without_end_is_given_up(streaming):
    harness, admitted, connection = streaming
    connection.respond(ERROR_HEAD)
    send_endlessly(connection, PART, streams.MAX_ERROR_BODY_BYTES)
    assert admitted.caller_request.status == 0
    accept_attempt(harness)


@pytest.mark.parametrize("part", [b": still there\n\n", b"\n\n", b"d"])
def test_bytes_without_events_do_not_hold_a_stalled_stream(streaming, part):
    harness, admitted, connection = streaming
    connection.respond(UNFRAMED_HEAD + event(1))
    for _ in range(20):
        harness.advance_clock(0.1)
        connection.respond(part)
    accept_attempt(harness).respond(RESPONSE_HEAD)
    assert connection.transport.disconnecting


def answer_reports(harness):
    while harness.pending_connection_count():
        harness.accept_connection().respond(REPORT_RESPONSE)


def test_a_slow_stream_whose_targets_answer_is_kept(streaming):
    harness, admitted, connection = streaming
    connection.respond(UNFRAMED_HEAD)
    for number in range(1, 6):
        connection.respond(event(number))
        for _ in range(9):
            harness.advance_clock(0.1)
            answer_reports(harness)
    assert not connection.transport.disconnecting
    assert admitted.caller_request.body.count(b"id: ") == 5


# Small chunks have the most overhead for each byte that is kept.
SMALL_CHUNK = b"2\r\nxy\r\n"
HELD_BYTES = 131_072
CHUNKED_HEAD = PLAIN_HEAD[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"


def held_bytes_of(send):
    """Returns the memory that a function leaves in use."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = send()
        gc.collect()
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept is not None
    return held


@pytest.mark.parametrize("head", [PLAIN_HEAD, ERROR_HEAD])
def test_a_body_of_small_chunks_takes_about_its_own_size(
    harness, plain_service, booking_route, head
):
    """Guards against many small parts that take far more than their bytes."""
    _, connection = start_call(harness, plain_service, booking_route)
    connection.respond(head[:-2] + b"Transfer-Encoding: chunked\r\n\r\n")

    def send():
        for _ in range(HELD_BYTES // 2 // 512):
            connection.respond(SMALL_CHUNK * 512)
        return connection

    assert held_bytes_of(send) <= 2 * HELD_BYTES


def test_an_event_of_small_chunks_takes_about_its_own_size(streaming):
    harness, _, connection = streaming
    connection.respond(RESPONSE_HEAD + b"6\r\ndata: \r\n")

    def send():
        for _ in range(HELD_BYTES // 2 // 512):
            connection.respond(SMALL_CHUNK * 512)
        return connection

    assert held_bytes_of(send) <= 2 * HELD_BYTES


EXTENSION = b"2;" + b"e" * 8192 + b"\r\nxy\r\n"


@pytest.mark.parametrize(
    "part", [b"e" * 8192, EXTENSION, b"e=f;" * 2048], ids=len
)
@pytest.mark.parametrize("start", [b"2;", b"0\r\nT: ", b"0\r\n"])
def test_chunk_extensions_and_trailers_without_end_are_not_kept(
    harness, plain_service, booking_route, start, part
):
    admitted, connection = start_call(harness, plain_service, booking_route)
    connection.respond(CHUNKED_HEAD + start)

    def send():
        for _ in range(500):
            if not connection.transport.disconnecting:
                connection.respond(part)
        return connection

    assert held_bytes_of(send) <= 4 * http_exchange.MAX_HEAD_BYTES
