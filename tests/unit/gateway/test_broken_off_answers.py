"""Answers of targets that break off in their head or before their end."""

import pytest

from tests.unit.gateway.test_crashes import accept_attempts
from tests.unit.gateway.test_endless_answers import start_call
from tests.unit.gateway.test_streams import accept_attempt
from tests.unit.gateway.test_streams import chunk
from tests.unit.gateway.test_streams import event
from tests.unit.gateway.test_streams import make_two_chains
from tests.unit.gateway.test_streams import start_unresumable_stream

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
SIGNED = b"Signature: s\r\nRequest-Id: r1\r\n"
HEADS = {
    "length": STATUS_LINE + SIGNED + b"Content-Length: 4\r\n\r\n",
    "length_first": STATUS_LINE + b"Content-Length: 4\r\n" + SIGNED + b"\r\n",
    "no_body": STATUS_LINE + SIGNED + b"Content-Length: 0\r\n\r\n",
    "chunked": STATUS_LINE + SIGNED + b"Transfer-Encoding: chunked\r\n\r\n",
    "unframed": STATUS_LINE + SIGNED + b"\r\n",
    "folded": STATUS_LINE
    + SIGNED
    + b"X: a\r\n b\r\nContent-Length: 4\r\n\r\n",
    "bare_newlines": b"HTTP/1.1 200 OK\nSignature: s\nRequest-Id: r1\n\n",
    "after_hints": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    + STATUS_LINE
    + SIGNED
    + b"Content-Length: 4\r\n\r\n",
    "after_continue": b"HTTP/1.1 100 Continue\r\n\r\n"
    + STATUS_LINE
    + SIGNED
    + b"\r\n",
    "no_content": b"HTTP/1.1 204 No Content\r\n" + SIGNED + b"\r\n",
    "old_version": b"HTTP/1.0 200 OK\r\n" + SIGNED + b"\r\n",
}
HEAD_CUTS = [
    pytest.param(head[:length], id=f"{name}-{length}")
    for name, head in HEADS.items()
    for length in range(len(head))
]
EXTENDED = b"2;a=b\r\nab\r\n2;c\r\ncd\r\n0;d=e\r\nT: u\r\n\r\n"
FRAMED_BODIES = {
    "length": HEADS["length"] + b"abcd",
    "chunked": HEADS["chunked"] + chunk(b"ab") + chunk(b"cd") + chunk(b""),
    "extended": HEADS["chunked"] + EXTENDED,
}
BODY_CUTS = [
    pytest.param(answer[:length], id=f"{name}-{length}")
    for name, answer in FRAMED_BODIES.items()
    for length in range(answer.index(b"\r\n\r\n") + 4, len(answer))
]
ENDINGS = ["close", "reset"]


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("part", HEAD_CUTS + BODY_CUTS)
def test_a_call_whose_answer_breaks_off_fails(
    harness, plain_service, booking_route, part, ending
):
    """Guards against a 200 of an answer that stopped inside its head."""
    admitted, connection = start_call(harness, plain_service, booking_route)
    connection.respond(part)
    getattr(connection, ending)()
    assert admitted.caller_request.status == 502
    assert admitted.caller_request.header(b"Signature") == b""
    assert harness.finished


@pytest.mark.parametrize("part", HEAD_CUTS[::7] + BODY_CUTS[::3])
def test_the_next_target_answers_a_call_whose_first_answer_breaks_off(
    harness, plain_service, lookup_route, part
):
    start_call(harness, plain_service, lookup_route, "a")
    admitted, connection = start_call(
        harness, plain_service, lookup_route, "b"
    )
    connection.respond(part)
    connection.close()
    (second,) = [
        one
        for one in accept_attempts(harness)
        if b" /drafts/1 " in one.transport.value()
    ]
    second.respond(FRAMED_BODIES["length"])
    assert admitted.caller_request.status == 200
    assert admitted.caller_request.body == b"abcd"


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("part", HEAD_CUTS)
def test_a_stream_whose_answer_breaks_off_in_its_head_is_not_complete(
    harness, model_service, stream_route, part, ending
):
    admitted, connection = start_unresumable_stream(
        harness, model_service, stream_route
    )
    connection.respond(part)
    getattr(connection, ending)()
    assert admitted.caller_request.ending != "whole" or (
        admitted.caller_request.status >= 500
    )
    assert admitted.caller_request.header(b"Signature") == b""


@pytest.mark.parametrize("part", HEAD_CUTS[::5])
def test_a_resumed_stream_has_no_bytes_of_a_head_that_breaks_off(
    harness, model_service, stream_route, part
):
    harness.register(*make_two_chains())
    admitted = harness.admit(model_service, stream_route)
    harness.start_stream(admitted)
    first = harness.accept_connection()
    first.respond(HEADS["chunked"] + chunk(event(1)))
    first.reset()
    second = accept_attempt(harness)
    second.respond(part)
    second.close()
    assert admitted.caller_request.body == event(1)
    assert admitted.caller_request.ending != "whole"


EVENTS = event(1) + event(2)
STREAMS = {
    "length": HEADS["length"].replace(b" 4", b" %d" % len(EVENTS)) + EVENTS,
    "chunked": HEADS["chunked"] + chunk(EVENTS) + chunk(b""),
}
STREAM_CUTS = [
    pytest.param(answer[:length], id=f"{name}-{length}")
    for name, answer in STREAMS.items()
    for length in range(answer.index(b"\r\n\r\n") + 4, len(answer))
]


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("part", STREAM_CUTS)
def test_a_stream_cut_inside_its_framing_is_not_complete(
    harness, model_service, stream_route, part, ending
):
    admitted, connection = start_unresumable_stream(
        harness, model_service, stream_route
    )
    connection.respond(part)
    getattr(connection, ending)()
    request = admitted.caller_request
    assert (request.status, request.ending) != (200, "whole")


INVALID_STATUSES = [
    b"000", b"001", b"099", b"600", b"999", b"0", b"20", b"0200", b"+20",
    b"-01", b"abc", b"2 0", b"2_0", b"101",
]  # fmt: skip


# Guards against an answer with a status like 000 that reaches the caller.
@pytest.mark.parametrize("framing", FRAMED_BODIES)
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_a_call_whose_answer_has_an_invalid_status_fails(
    harness, plain_service, booking_route, status, framing
):
    admitted, connection = start_call(harness, plain_service, booking_route)
    answer = FRAMED_BODIES[framing].replace(b"200", status, 1)
    connection.respond(answer)
    connection.close()
    assert admitted.caller_request.status == 502
    assert not admitted.caller_request.header(b"Signature")


@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_a_stream_whose_answer_has_an_invalid_status_fails(
    harness, model_service, stream_route, status, ending
):
    admitted, connection = start_unresumable_stream(
        harness, model_service, stream_route
    )
    head = HEADS["chunked"].replace(b"200", status, 1)
    connection.respond(head + chunk(event(1)) + chunk(b""))
    getattr(connection, ending)()
    assert admitted.caller_request.status in (0, 502)
    assert not admitted.caller_request.header(b"Signature")
    assert b"id" not in admitted.caller_request.body
