"""Events that callers of streams receive when stages fail."""

import pytest

from tests.unit.gateway.conftest import make_target

RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: r1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
RESPONSE_END = b"0\r\n\r\n"
# Without length or chunks, the body ends with the connection.
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: r1\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number):
    return b"id: %d\ndata: token\n\n" % number


def make_two_chains():
    """Returns two complete chains, `a` and `b`, of two targets each."""
    return [
        make_target(f"{chain}{first}", first_layer=first, end_layer=first + 40)
        for chain in "ab"
        for first in (0, 40)
    ]


def start_unresumable_stream(harness, service, route):
    """Returns a request on a route without resumption, and its attempt."""
    harness.register(*make_two_chains())
    route = route._replace(is_resumable=False)
    admitted = harness.admit(service, route)
    harness.start_stream(admitted)
    return admitted, harness.accept_connection()


def path_target_names(connection):
    line = next(
        line
        for line in connection.transport.value().split(b"\r\n")
        if line.startswith(b"Path: ")
    )
    return [part.split("=")[0] for part in line[6:].decode().split(",")]


REPORT_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def is_probe(connection):
    return connection.transport.value().startswith(b"GET /report")


def accept_attempt(harness, answering=()):
    """Accepts pending connections up to one that is not a probe.

    Args:
        harness: The harness.
        answering: Names of the targets that answer the probes before it.
    """
    ports = [harness.targets.by_name[name].port for name in answering]
    while harness.pending_connection_count():
        connection = harness.accept_connection()
        if not is_probe(connection):
            return connection
        if connection.port in ports:
            connection.respond(REPORT_RESPONSE)
    pytest.fail("no attempt was started")


def answer_reports(harness):
    """Answers pending probes; returns the other pending connections."""
    attempts = []
    while harness.pending_connection_count():
        connection = harness.accept_connection()
        if is_probe(connection):
            connection.respond(REPORT_RESPONSE)
        else:
            attempts.append(connection)
    return attempts


@pytest.fixture
def streaming(harness, model_service, stream_route):
    """A harness with two chains, and an admitted stream request."""
    harness.register(*make_two_chains())
    return harness, harness.admit(model_service, stream_route)


def test_events_are_forwarded_immediately(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(RESPONSE_HEAD + chunk(event(1)))
    assert admitted.caller_request.body == event(1)
    connection.respond(chunk(event(2)) + RESPONSE_END)
    assert admitted.caller_request.body == event(1) + event(2)
    assert admitted.caller_request.ending == "whole"
    assert harness.dispatcher.occupancy.reservation_count() == 0


def test_an_incomplete_event_is_not_forwarded(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(RESPONSE_HEAD + chunk(event(1) + event(2)[:5]))
    assert admitted.caller_request.body == event(1)


def test_a_lost_first_stage_is_not_chosen_while_under_probe(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    lost_name = path_target_names(connection)[0]
    connection.respond(RESPONSE_HEAD + chunk(event(1)))
    connection.reset()
    second_attempt = accept_attempt(harness)
    assert lost_name not in path_target_names(second_attempt)
    assert b"Last-Event-Id: 1\r\n" in second_attempt.transport.value()


def test_a_resumed_stream_has_one_head_and_each_event_once(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(
        RESPONSE_HEAD + chunk(event(1) + event(2) + event(3)[:7])
    )
    connection.reset()
    second_attempt = accept_attempt(harness)
    second_attempt.respond(
        RESPONSE_HEAD + chunk(event(2) + event(3)) + RESPONSE_END
    )
    assert admitted.caller_request.body == event(1) + event(2) + event(3)
    assert admitted.caller_request.ending == "whole"


def test_a_stream_that_cannot_be_resumed_is_aborted(
    harness, model_service, stream_route
):
    admitted, connection = start_unresumable_stream(
        harness, model_service, stream_route
    )
    connection.respond(RESPONSE_HEAD + chunk(event(1)))
    connection.reset()
    assert admitted.caller_request.ending == "cut"


def test_a_reset_does_not_complete_a_response_without_length(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(b"HTTP/1.1 200 OK\r\nSignature: s\r\n\r\n" + event(1))
    connection.reset()
    assert admitted.caller_request.ending == ""
    assert harness.pending_connection_count()


def close_undelimited_stream(harness, admitted, *numbers):
    """Sends events and closes; returns the reports that are then requested."""
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    events = b"".join(event(number) for number in numbers)
    connection.respond(UNFRAMED_HEAD + events)
    connection.close()
    assert admitted.caller_request.ending == ""
    reports = [
        harness.accept_connection()
        for _ in range(harness.pending_connection_count())
    ]
    assert all(is_probe(report) for report in reports)
    return path_target_names(connection), reports


def test_a_stream_without_length_ends_with_its_connection(streaming):
    harness, admitted = streaming
    path, reports = close_undelimited_stream(harness, admitted, 1, 2)
    assert len(reports) == len(path)
    for report in reports:
        assert admitted.caller_request.ending == ""
        report.respond(REPORT_RESPONSE)
    assert admitted.caller_request.body == event(1) + event(2)
    assert admitted.caller_request.ending == "whole"
    assert harness.pending_connection_count() == 0


@pytest.mark.parametrize("stage", [0, 1])
def test_a_stream_closed_by_the_loss_of_a_target_is_not_complete(
    streaming, stage
):
    harness, admitted = streaming
    path, reports = close_undelimited_stream(harness, admitted, 1, 2)
    reports[1 - stage].respond(REPORT_RESPONSE)
    reports[stage].reset()
    assert admitted.caller_request.ending == ""
    second_attempt = accept_attempt(harness)
    assert path[stage] not in path_target_names(second_attempt)
    assert b"Last-Event-Id: 2\r\n" in second_attempt.transport.value()
    second_attempt.respond(RESPONSE_HEAD + chunk(event(3)) + RESPONSE_END)
    assert admitted.caller_request.body == event(1) + event(2) + event(3)
    assert admitted.caller_request.ending == "whole"


def test_a_stream_closed_by_a_restart_of_a_target_is_not_complete(
    harness, model_service, stream_route
):
    harness.register(
        *(
            target._replace(born_ms=7) if target.name == "a40" else target
            for target in make_two_chains()[:2]
        )
    )
    admitted = harness.admit(model_service, stream_route)
    _, reports = close_undelimited_stream(harness, admitted, 1)
    for report in reports:
        report.respond(REPORT_RESPONSE)
    assert admitted.caller_request.ending == ""


@pytest.mark.parametrize("stage", [0, 1])
def test_a_stream_closed_as_a_target_leaves_is_not_complete(streaming, stage):
    harness, admitted = streaming
    path, reports = close_undelimited_stream(harness, admitted, 1)
    for number, report in enumerate(reports):
        head = b"\r\nLeaving: 1\r\n" if number == stage else b"\r\n"
        report.respond(REPORT_RESPONSE.replace(b"\r\n", head, 1))
    assert admitted.caller_request.ending == ""
    second_attempt = accept_attempt(harness)
    assert path[stage] not in path_target_names(second_attempt)
    second_attempt.respond(RESPONSE_HEAD + RESPONSE_END)
    assert admitted.caller_request.body == event(1)
    assert admitted.caller_request.ending == "whole"


@pytest.mark.parametrize("stage", [0, 1])
def test_a_leaving_target_without_registration_confirms_no_end(
    streaming, stage
):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    names = path_target_names(connection)
    connection.respond(UNFRAMED_HEAD + event(1))
    harness.targets.apply_registrations([], [names[stage]], False, 2)
    connection.respond(event(2))
    connection.close()
    for number in range(harness.pending_connection_count()):
        head = b"\r\nLeaving: 1\r\n" if number == stage else b"\r\n"
        harness.accept_connection().respond(
            REPORT_RESPONSE.replace(b"\r\n", head, 1)
        )
    assert admitted.caller_request.ending == ""


def test_a_stream_closed_as_a_target_is_silent_is_not_complete(streaming):
    harness, admitted = streaming
    _, reports = close_undelimited_stream(harness, admitted, 1)
    reports[0].respond(REPORT_RESPONSE)
    harness.advance_clock(0.5)
    assert admitted.caller_request.ending == ""
    accept_attempt(harness)


def assert_resumed_after_event_1(harness, admitted):
    (second_attempt,) = answer_reports(harness)
    harness.advance_clock(0.3)
    answer_reports(harness)
    assert admitted.caller_request.ending == ""
    assert b"Last-Event-Id: 1\r\n" in second_attempt.transport.value()
    second_attempt.respond(RESPONSE_HEAD + chunk(event(2)) + RESPONSE_END)
    assert admitted.caller_request.body == event(1) + event(2)
    assert admitted.caller_request.ending == "whole"


def test_a_stream_closed_after_a_silence_is_not_complete(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(UNFRAMED_HEAD + event(1))
    harness.advance_clock(0.4)
    assert answer_reports(harness) == []
    connection.close()
    assert_resumed_after_event_1(harness, admitted)


@pytest.mark.parametrize("has_ticked", [True, False])
def test_a_pause_of_the_gateway_hides_no_silence_before_a_close(
    streaming, has_ticked
):
    harness, admitted = streaming
    stream = harness.start_stream(admitted)
    connection = harness.accept_connection()
    harness.reactor.advance(1.3)
    connection.respond(UNFRAMED_HEAD + event(1))
    if has_ticked:
        stream.check_progress(harness.reactor.seconds())
    connection.close()
    assert_resumed_after_event_1(harness, admitted)


def close_after_silence(harness, connection, data):
    """Sends data, and closes when a later stage may have been given up."""
    connection.respond(UNFRAMED_HEAD + data)
    harness.advance_clock(0.4)
    answer_reports(harness)
    connection.close()


# Guards against a stream that looks complete as what broke its first run off
# broke the second one off as well.
def test_two_runs_that_are_closed_after_a_silence_complete_no_stream(
    streaming,
):
    harness, admitted = streaming
    harness.start_stream(admitted)
    close_after_silence(harness, harness.accept_connection(), event(1))
    for _ in range(3):
        (connection,) = answer_reports(harness)
        close_after_silence(harness, connection, b"")
    assert admitted.caller_request.ending == ""


def test_a_run_that_ends_at_once_after_the_same_event_completes_a_stream(
    streaming,
):
    harness, admitted = streaming
    harness.start_stream(admitted)
    close_after_silence(harness, harness.accept_connection(), event(1))
    (connection,) = answer_reports(harness)
    connection.respond(UNFRAMED_HEAD)
    connection.close()
    assert answer_reports(harness) == []
    assert admitted.caller_request.body == event(1)
    assert admitted.caller_request.ending == "whole"


# Guards against a stream that looks complete as no second run was to be had.
def test_a_stream_closed_after_a_silence_is_cut_if_not_resumable(
    harness, model_service, stream_route
):
    admitted, connection = start_unresumable_stream(
        harness, model_service, stream_route
    )
    close_after_silence(harness, connection, event(1))
    assert answer_reports(harness) == []
    assert admitted.caller_request.body == event(1)
    assert admitted.caller_request.ending == "cut"


def test_a_stream_closed_after_a_silence_is_not_complete_without_retries(
    streaming,
):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(UNFRAMED_HEAD + event(1))
    harness.reactor.advance(1.7)
    now_s = harness.reactor.seconds()
    while harness.budget.try_retry(now_s):
        pass
    connection.close()
    assert answer_reports(harness) == []
    for _ in range(30):
        harness.advance_clock(0.1)
        answer_reports(harness)
    assert admitted.caller_request.ending != "whole"
    assert admitted.caller_request.body == event(1)


@pytest.mark.parametrize("is_answered_late", [True, False])
def test_a_silent_replacement_completes_no_stream(streaming, is_answered_late):
    harness, admitted = streaming
    harness.start_stream(admitted)
    close_after_silence(harness, harness.accept_connection(), event(1))
    attempts = answer_reports(harness)
    assert len(attempts) == 1
    for _ in range(20):
        harness.advance_clock(0.1)
        attempts += answer_reports(harness)
    assert admitted.caller_request.ending != "whole"
    if is_answered_late:
        attempts[-1].respond(RESPONSE_HEAD + chunk(event(2)) + RESPONSE_END)
        assert admitted.caller_request.body == event(1) + event(2)
        assert admitted.caller_request.ending == "whole"


# Guards against a stream that looks complete as a target without registration
# has answered just before it ended.
@pytest.mark.parametrize("stage", [0, 1])
def test_a_stream_closed_by_a_removed_target_is_not_complete(streaming, stage):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    names = path_target_names(connection)
    connection.respond(UNFRAMED_HEAD + event(1))
    harness.targets.apply_registrations([], [names[stage]], False, 2)
    connection.close()
    (second_attempt,) = answer_reports(harness)
    assert admitted.caller_request.ending == ""
    assert b"Last-Event-Id: 1\r\n" in second_attempt.transport.value()


def test_a_stream_closed_inside_an_event_is_not_complete(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(UNFRAMED_HEAD + event(1) + event(2)[:-1])
    connection.close()
    assert admitted.caller_request.ending == ""
    second_attempt = accept_attempt(harness)
    assert b"Last-Event-Id: 1\r\n" in second_attempt.transport.value()
    second_attempt.respond(RESPONSE_HEAD + chunk(event(2)) + RESPONSE_END)
    assert admitted.caller_request.body == event(1) + event(2)
    assert admitted.caller_request.ending == "whole"


def test_a_framed_stream_that_ends_inside_an_event_is_not_complete(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(
        RESPONSE_HEAD + chunk(event(1) + event(2)[:4]) + RESPONSE_END
    )
    assert admitted.caller_request.body == event(1)
    assert admitted.caller_request.ending == ""
    assert harness.pending_connection_count()


def test_a_stream_closed_inside_an_event_is_aborted_if_not_resumable(
    harness, model_service, stream_route
):
    admitted, connection = start_unresumable_stream(
        harness, model_service, stream_route
    )
    connection.respond(UNFRAMED_HEAD + event(1) + event(2)[:4])
    connection.close()
    assert admitted.caller_request.body == event(1)
    assert admitted.caller_request.ending == "cut"


def test_a_stream_closed_before_its_first_event_is_not_complete(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(UNFRAMED_HEAD)
    connection.close()
    assert admitted.caller_request.ending == ""
    assert harness.pending_connection_count()


def test_a_stage_without_memory_is_avoided_by_the_next_attempt(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    full_name = path_target_names(connection)[1]
    address = harness.targets.by_name[full_name].address.encode()
    connection.respond(
        b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nFault-At: %s\r\n"
        b"Content-Length: 0\r\n\r\n" % address
    )
    assert full_name not in path_target_names(accept_attempt(harness))


def test_a_silent_stream_triggers_probes_of_its_targets(streaming):
    harness, admitted = streaming
    stream = harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(RESPONSE_HEAD + chunk(event(1)))
    harness.advance_clock(0.4)
    assert harness.pending_connection_count() == len(stream.path)


def test_a_stream_is_not_silent_while_the_event_loop_is_blocked(streaming):
    harness, admitted = streaming
    stream = harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(RESPONSE_HEAD + chunk(event(1)))
    for _ in range(2):
        harness.reactor.advance(0.8)
        stream.check_progress(harness.reactor.seconds())
    assert harness.pending_connection_count() == 0
    connection.respond(chunk(event(2)) + RESPONSE_END)
    assert admitted.caller_request.ending == "whole"


def test_a_stream_is_resumed_without_a_target_that_is_down(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(RESPONSE_HEAD + chunk(event(1)))
    down_target = harness.targets.by_name[path_target_names(connection)[1]]
    harness.targets.mark_down(down_target, "no answer")
    harness.advance_clock(0.4)
    assert down_target.name not in path_target_names(accept_attempt(harness))


def test_a_caller_disconnect_cancels_the_attempt(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    admitted.caller_request.on_disconnect()
    assert connection.transport.disconnecting
    assert harness.dispatcher.occupancy.reservation_count() == 0


def test_a_request_without_a_path_is_rejected_with_a_retry_after(
    harness, model_service, stream_route
):
    harness.register(make_target("a0", first_layer=0, end_layer=40))
    admitted = harness.admit(model_service, stream_route)
    harness.start_stream(admitted)
    for _ in range(30):
        harness.reactor.advance(0.05)
    assert admitted.caller_request.status == 503
    assert float(admitted.caller_request.header(b"Retry-After")) > 0


def test_a_sent_stream_past_its_deadline_times_out_with_504(
    streaming,
):
    harness, admitted = streaming
    harness.start_stream(admitted)
    harness.accept_connection()
    harness.reactor.advance(20.0)
    assert admitted.caller_request.status == 504


def spend_retries(harness, kept):
    now_s = harness.reactor.seconds()
    while harness.budget.remaining(now_s) > kept:
        assert harness.budget.try_retry(now_s)


def test_a_stream_in_progress_waits_for_retry_budget(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(RESPONSE_HEAD + chunk(event(1)))
    spend_retries(harness, 0)
    connection.reset()
    assert admitted.caller_request.ending == ""
    for _ in range(20):
        harness.budget.record_success(harness.reactor.seconds())
    harness.reactor.advance(0.2)
    accept_attempt(harness).respond(
        RESPONSE_HEAD + chunk(event(2)) + RESPONSE_END
    )
    assert admitted.caller_request.ending == "whole"


def test_a_ranked_request_that_was_turned_down_is_due_again(streaming):
    harness, admitted = streaming
    admitted = admitted._replace(rank=1)
    harness.start_stream(admitted)
    spend_retries(harness, 2)
    harness.accept_connection().respond(
        b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )
    retry_after_s = float(admitted.caller_request.header(b"Retry-After"))
    demand = harness.dispatcher.demand.demand(
        "model", harness.reactor.seconds() + 0.1
    )
    assert demand[1].due[int(retry_after_s - 0.1)] == 1.0


def test_the_last_retries_are_reserved_for_streams_in_progress(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    spend_retries(harness, 2)
    harness.accept_connection().respond(
        b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )
    assert admitted.caller_request.status == 503
    assert float(admitted.caller_request.header(b"Retry-After")) > 0


def test_a_silent_attempt_continues_without_retry_budget(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    spend_retries(harness, 2)
    harness.advance_clock(0.7)
    while harness.pending_connection_count():
        harness.accept_connection().respond(REPORT_RESPONSE)
    harness.advance_clock(0.5)
    assert admitted.caller_request.ending == ""
    connection.respond(RESPONSE_HEAD + chunk(event(1)) + RESPONSE_END)
    assert admitted.caller_request.ending == "whole"


@pytest.mark.parametrize("has_answered", [True, False])
def test_a_third_attempt_starts_at_an_earlier_first_target(
    harness, model_service, stream_route, has_answered
):
    harness.register(
        *make_two_chains(),
        *(
            make_target(f"c{first}", first_layer=first, end_layer=first + 40)
            for first in (0, 40)
        ),
    )
    admitted = harness.admit(model_service, stream_route)
    stream = harness.start_stream(admitted)
    first_names = []
    for number in (1, 2, 3):
        connection = accept_attempt(harness, first_names[-1:])
        path = path_target_names(connection)
        first_names.append(path[0])
        if has_answered:
            connection.respond(RESPONSE_HEAD + chunk(event(number)))
        # A later stage goes down; the first one is still up, but slow.
        harness.targets.apply_peer_pace(path[0], 1, 9.0)
        harness.targets.mark_down(
            harness.targets.by_name[path[1]], "no answer"
        )
        if has_answered:
            harness.advance_clock(0.4)
        # Clears the request of suspicion, as if it had been served elsewhere.
        harness.context.crash_evidence.record_first_data(stream.digest)
    assert first_names[0] != first_names[1]
    assert first_names[2] in first_names[:2]


def test_a_target_that_refuses_connections_does_not_count_as_attempt(
    harness, model_service, stream_route
):
    route = stream_route._replace(max_targets=1)
    harness.register(*make_two_chains())
    admitted = harness.admit(model_service, route)
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    first_name = path_target_names(connection)[0]
    connection.respond(RESPONSE_HEAD + chunk(event(1)))
    connection.reset()
    first_port = harness.targets.by_name[first_name].port
    for _ in range(harness.pending_connection_count()):
        if harness.next_port() == first_port:
            harness.refuse_connection()
        else:
            harness.accept_connection().respond(REPORT_RESPONSE)
    assert path_target_names(accept_attempt(harness))[0] != first_name


def test_blank_lines_after_the_last_event_are_no_event(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(UNFRAMED_HEAD + event(1) + b"\n")
    connection.close()
    while harness.pending_connection_count():
        harness.accept_connection().respond(REPORT_RESPONSE)
    assert admitted.caller_request.body == event(1) + b"\n"
    assert admitted.caller_request.ending == "whole"


def test_a_stream_of_another_request_is_not_forwarded(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(
        RESPONSE_HEAD.replace(b"r1", b"r2") + chunk(event(1)) + RESPONSE_END
    )
    assert admitted.caller_request.body == b""
    assert admitted.caller_request.status == 0
    second_attempt = accept_attempt(harness)
    second_attempt.respond(RESPONSE_HEAD + chunk(event(1)) + RESPONSE_END)
    assert admitted.caller_request.body == event(1)
    assert admitted.caller_request.ending == "whole"


@pytest.mark.parametrize("status", [b"500 Failed", b"503 Full"])
def test_an_error_for_another_request_is_not_forwarded(
    harness, model_service, stream_route, status
):
    admitted, connection = start_unresumable_stream(
        harness, model_service, stream_route
    )
    connection.respond(
        b"HTTP/1.1 %s\r\nSignature: s\r\nRequest-Id: r2\r\nNot-Run: 1\r\n"
        b"Content-Length: 0\r\n\r\n" % status
    )
    assert admitted.caller_request.status == 502
    assert b"Signature" not in dict(admitted.caller_request.headers)


ERROR_TEXT = b"HTTP/1.1 500 data: the whole head"


@pytest.mark.parametrize("is_resumable", [True, False])
@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@pytest.mark.parametrize(
    "status_and_headers",
    [
        b"500 Failed\r\nSignature: s\r\n",
        b"500 Failed\r\n",
        b"502 Bad\r\nSignature: s\r\n",
        b"404 None\r\nSignature: s\r\n",
        b"200 OK\r\n",
        b"206 Part\r\nSignature: s\r\n",
        b"204 Empty\r\nSignature: s\r\n",
        b"301 Moved\r\nLocation: /\r\nSignature: s\r\n",
        b"503 Busy\r\nNot-Run: 1\r\n",
        b"503 Busy\r\nSignature: s\r\n",
        b"421 Wrong\r\n",
        b"200 OK\r\nSignature: s\r\nRequest-Id: r0\r\n",
    ],
)
def test_an_error_of_the_next_target_never_shows_in_a_begun_stream(
    harness,
    model_service,
    stream_route,
    status_and_headers,
    framing,
    is_resumable,
):
    harness.register(*make_two_chains())
    route = stream_route._replace(is_resumable=is_resumable)
    admitted = harness.admit(model_service, route)
    caller = admitted.caller_request
    harness.start_stream(admitted)
    first = harness.accept_connection()
    first.respond(RESPONSE_HEAD + chunk(event(1)) + chunk(b"id: 2\nda"))
    first.reset()
    head = b"HTTP/1.1 " + status_and_headers
    answers = {
        "length": head
        + b"Content-Length: %d\r\n\r\n" % len(ERROR_TEXT)
        + ERROR_TEXT,
        "chunked": head
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + chunk(ERROR_TEXT)
        + RESPONSE_END,
        "close": head + b"\r\n" + ERROR_TEXT,
    }
    for _ in range(40):
        for connection in answer_reports(harness):
            # What the next one sends comes in two parts.
            data = answers[framing]
            connection.respond(data[:60])
            if not connection.transport.disconnecting:
                connection.respond(data[60:])
            if framing == "close" and not connection.transport.disconnecting:
                connection.close()
        harness.advance_clock(0.1)
    assert caller.body == event(1)
    assert caller.ending == "cut"


def test_a_stream_goes_on_after_an_error_of_the_next_target(
    harness, model_service, stream_route
):
    harness.register(*make_two_chains())
    admitted = harness.admit(
        model_service, stream_route._replace(max_targets=3)
    )
    caller = admitted.caller_request
    harness.start_stream(admitted)
    first = harness.accept_connection()
    first.respond(RESPONSE_HEAD + chunk(event(1)) + chunk(b"id: 2\nda"))
    first.reset()
    second = accept_attempt(harness, answering=["a0", "a40", "b0", "b40"])
    second.respond(
        b"HTTP/1.1 500 Failed\r\nSignature: s\r\nContent-Length: %d\r\n\r\n"
        % len(ERROR_TEXT)
        + ERROR_TEXT
    )
    third = accept_attempt(harness, answering=["a0", "a40", "b0", "b40"])
    third.respond(
        RESPONSE_HEAD + chunk(event(2)) + chunk(event(3)) + RESPONSE_END
    )
    assert caller.body == event(1) + event(2) + event(3)
    assert caller.ending == "whole"
