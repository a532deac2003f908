"""Responses to calls of plain services when targets fail."""

from tests.unit.gateway.conftest import make_target

OK_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: r1\r\n"
    b"Content-Length: 4\r\n\r\ndone"
)
FAILED_RESPONSE = (
    b"HTTP/1.1 500 Failed\r\nSignature: s\r\nRequest-Id: r1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
NOT_RUN_RESPONSE = (
    b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
)


def make_plain_target(name):
    return make_target(name, service="plain", accelerator="", slots=6)


def test_a_complete_response_is_forwarded(
    harness, plain_service, booking_route
):
    harness.register(make_plain_target("a"))
    admitted = harness.admit(plain_service, booking_route)
    harness.start_call(admitted)
    connection = harness.accept_connection()
    assert b"Content-Length: 4" in connection.transport.value()
    connection.respond(OK_RESPONSE)
    assert admitted.caller_request.status == 200
    assert admitted.caller_request.body == b"done"
    assert harness.finished


def test_a_sent_call_without_a_response_times_out_with_504(
    harness, plain_service, booking_route
):
    harness.register(make_plain_target("a"))
    admitted = harness.admit(plain_service, booking_route)
    harness.start_call(admitted)
    harness.accept_connection()
    harness.reactor.advance(1.0)
    assert admitted.caller_request.status == 504


def test_a_reset_non_idempotent_call_is_not_retried(
    harness, plain_service, booking_route
):
    harness.register(make_plain_target("a"), make_plain_target("b"))
    admitted = harness.admit(plain_service, booking_route)
    harness.start_call(admitted)
    harness.accept_connection().reset()
    assert admitted.caller_request.status == 502
    assert b"Retry-After" not in dict(admitted.caller_request.headers)


def test_a_refused_connection_is_retried_at_another_target(
    harness, plain_service, booking_route
):
    harness.register(make_plain_target("a"), make_plain_target("b"))
    admitted = harness.admit(plain_service, booking_route)
    harness.start_call(admitted)
    harness.refuse_connection()
    harness.accept_connection().respond(OK_RESPONSE)
    assert admitted.caller_request.status == 200


def test_a_full_service_is_reported_with_a_retry_after(
    harness, plain_service, booking_route
):
    harness.register(make_plain_target("a"))
    admitted = harness.admit(plain_service, booking_route)
    harness.start_call(admitted)
    harness.accept_connection().respond(NOT_RUN_RESPONSE)
    assert admitted.caller_request.status == 503
    assert float(admitted.caller_request.header(b"Retry-After")) > 0


def test_a_failed_idempotent_call_is_retried_at_another_target(
    harness, plain_service, lookup_route
):
    harness.register(make_plain_target("a"), make_plain_target("b"))
    admitted = harness.admit(plain_service, lookup_route)
    harness.start_call(admitted)
    first = harness.accept_connection()
    first.respond(FAILED_RESPONSE)
    # The failure also triggers a health probe of the first target.
    probe_and_second = [
        harness.accept_connection(),
        harness.accept_connection(),
    ]
    second = next(
        connection
        for connection in probe_and_second
        if b"drafts" in connection.transport.value()
    )
    assert second.port != first.port
    second.respond(OK_RESPONSE)
    assert admitted.caller_request.status == 200


def test_a_slow_idempotent_call_is_hedged_and_answered_once(
    harness, plain_service, lookup_route
):
    harness.register(make_plain_target("a"), make_plain_target("b"))
    admitted = harness.admit(plain_service, lookup_route)
    harness.start_call(admitted)
    first = harness.accept_connection()
    harness.reactor.advance(0.19)
    second = harness.accept_connection()
    first.respond(OK_RESPONSE)
    assert admitted.caller_request.status == 200
    assert second.transport.disconnecting


def test_an_error_response_of_a_target_is_forwarded_unchanged(
    harness, plain_service, booking_route
):
    harness.register(make_plain_target("a"))
    admitted = harness.admit(plain_service, booking_route)
    harness.start_call(admitted)
    harness.accept_connection().respond(FAILED_RESPONSE)
    assert admitted.caller_request.status == 500
    assert admitted.caller_request.header(b"Signature") == b"s"


def test_a_caller_disconnect_cancels_the_call(
    harness, plain_service, booking_route
):
    harness.register(make_plain_target("a"))
    admitted = harness.admit(plain_service, booking_route)
    harness.start_call(admitted)
    connection = harness.accept_connection()
    admitted.caller_request.on_disconnect()
    assert connection.transport.disconnecting
    assert harness.finished


def test_a_refusal_that_is_written_once_more_ends_no_other_call(
    harness, plain_service, lookup_route, booking_route
):
    harness.register(make_plain_target("a"), make_plain_target("b"))
    refused = harness.admit(plain_service, lookup_route)
    harness.start_call(refused)
    first = harness.accept_connection()
    first.respond(NOT_RUN_RESPONSE)
    harness.accept_connection().respond(OK_RESPONSE)
    assert refused.caller_request.status == 200
    running = harness.admit(plain_service, booking_route)
    harness.start_call(running)
    second = harness.accept_connection()
    # Each call has a connection of its own.
    first.respond(NOT_RUN_RESPONSE)
    assert not running.caller_request.ending
    assert harness.pending_connection_count() == 0
    second.respond(OK_RESPONSE + NOT_RUN_RESPONSE)
    assert running.caller_request.status == 200


def test_a_refusal_of_another_request_is_no_proof_that_a_call_did_not_run(
    harness, plain_service, booking_route
):
    harness.register(make_plain_target("a"), make_plain_target("b"))
    admitted = harness.admit(plain_service, booking_route)
    harness.start_call(admitted)
    harness.accept_connection().respond(
        NOT_RUN_RESPONSE.replace(b"Not-Run", b"Request-Id: r0\r\nNot-Run")
    )
    assert admitted.caller_request.status == 502
    # The target is probed, and the call sent nowhere else.
    while harness.pending_connection_count():
        probe = harness.accept_connection()
        assert probe.transport.value().startswith(b"GET")
