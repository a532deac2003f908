"""What callers of streams get while stages fail."""

import pytest

from tests.unit.gateway.conftest import make_target

HEAD = (
    b"HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: r1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
END = b"0\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number):
    return b"id: %d\ndata: token\n\n" % number


def two_copies():
    """Two whole chains, `a` and `b`, of two targets each."""
    return [
        make_target(f"{chain}{first}", first_layer=first, end_layer=first + 40)
        for chain in "ab"
        for first in (0, 40)
    ]


def path_of(sent):
    line = next(
        line
        for line in sent.transport.value().split(b"\r\n")
        if line.startswith(b"Path: ")
    )
    return [part.split("=")[0] for part in line[6:].decode().split(",")]


REPORT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def is_probe(sent):
    return sent.transport.value().startswith(b"GET /report")


def next_run(bench):
    """Returns the next connection that is not a probe."""
    while bench.opened():
        sent = bench.connect()
        if not is_probe(sent):
            return sent
    pytest.fail("no run was started")


@pytest.fixture
def streaming(bench, model_service, stream_route):
    """A bench with two chains and an admitted stream."""
    bench.register(*two_copies())
    return bench, bench.admitted(model_service, stream_route)


def test_events_are_passed_on_as_they_come(streaming):
    bench, admitted = streaming
    bench.stream(admitted)
    sent = bench.connect()
    sent.answer(HEAD + chunk(event(1)))
    assert admitted.caller_request.written == event(1)
    sent.answer(chunk(event(2)) + END)
    assert admitted.caller_request.written == event(1) + event(2)
    assert admitted.caller_request.ending == "whole"
    assert bench.dispatcher.occupancy.reservation_count() == 0


def test_half_an_event_is_held_back(streaming):
    bench, admitted = streaming
    bench.stream(admitted)
    sent = bench.connect()
    sent.answer(HEAD + chunk(event(1) + event(2)[:5]))
    assert admitted.caller_request.written == event(1)


def test_a_lost_first_stage_is_not_chosen_again_before_it_answers(streaming):
    bench, admitted = streaming
    bench.stream(admitted)
    sent = bench.connect()
    lost = path_of(sent)[0]
    sent.answer(HEAD + chunk(event(1)))
    sent.reset()
    again = next_run(bench)
    assert lost not in path_of(again)
    assert b"Last-Event-Id: 1\r\n" in again.transport.value()


def test_a_resumed_stream_has_one_head_and_each_event_once(streaming):
    bench, admitted = streaming
    bench.stream(admitted)
    sent = bench.connect()
    sent.answer(HEAD + chunk(event(1) + event(2) + event(3)[:7]))
    sent.reset()
    again = next_run(bench)
    again.answer(HEAD + chunk(event(2) + event(3)) + END)
    assert admitted.caller_request.written == event(1) + event(2) + event(3)
    assert admitted.caller_request.ending == "whole"


def test_a_stream_that_can_not_go_on_never_looks_complete(
    bench, model_service, stream_route
):
    bench.register(*two_copies())
    route = stream_route._replace(is_resumable=False)
    admitted = bench.admitted(model_service, route)
    bench.stream(admitted)
    sent = bench.connect()
    sent.answer(HEAD + chunk(event(1)))
    sent.reset()
    assert admitted.caller_request.ending == "cut"


def test_a_reset_ends_no_answer_without_length(streaming):
    bench, admitted = streaming
    bench.stream(admitted)
    sent = bench.connect()
    sent.answer(b"HTTP/1.1 200 OK\r\nSignature: s\r\n\r\n" + event(1))
    sent.reset()
    assert admitted.caller_request.ending == ""
    assert bench.opened()


def test_a_stage_without_room_is_passed_over_for_a_moment(streaming):
    bench, admitted = streaming
    bench.stream(admitted)
    sent = bench.connect()
    full = path_of(sent)[1]
    address = bench.targets.by_name[full].address.encode()
    sent.answer(
        b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nFault-At: %s\r\n"
        b"Content-Length: 0\r\n\r\n" % address
    )
    assert full not in path_of(next_run(bench))


def test_a_silent_stream_makes_its_targets_suspect(streaming):
    bench, admitted = streaming
    stream = bench.stream(admitted)
    sent = bench.connect()
    sent.answer(HEAD + chunk(event(1)))
    bench.run(0.4)
    assert bench.opened() == len(stream.path)


def test_a_stream_is_not_silent_while_the_process_is_held_up(streaming):
    bench, admitted = streaming
    stream = bench.stream(admitted)
    sent = bench.connect()
    sent.answer(HEAD + chunk(event(1)))
    for _ in range(2):
        bench.reactor.advance(0.8)
        stream.check_progress(bench.reactor.seconds())
    assert bench.opened() == 0
    sent.answer(chunk(event(2)) + END)
    assert admitted.caller_request.ending == "whole"


def test_a_stream_moves_from_a_target_that_is_down(streaming):
    bench, admitted = streaming
    bench.stream(admitted)
    sent = bench.connect()
    sent.answer(HEAD + chunk(event(1)))
    dark = bench.targets.by_name[path_of(sent)[1]]
    bench.targets.mark_down(dark, "no answer")
    assert dark.name not in path_of(next_run(bench))


def test_a_caller_that_leaves_ends_the_run(streaming):
    bench, admitted = streaming
    bench.stream(admitted)
    sent = bench.connect()
    admitted.caller_request.on_disconnect()
    assert sent.transport.disconnecting
    assert bench.dispatcher.occupancy.reservation_count() == 0


def test_without_any_path_a_request_is_refused_with_a_time(
    bench, model_service, stream_route
):
    bench.register(make_target("a0", first_layer=0, end_layer=40))
    admitted = bench.admitted(model_service, stream_route)
    bench.stream(admitted)
    for _ in range(30):
        bench.reactor.advance(0.05)
    assert admitted.caller_request.status == 503
    assert float(admitted.caller_request.header(b"Retry-After")) > 0


def test_a_stream_past_its_deadline_that_was_sent_is_not_said_not_run(
    streaming,
):
    bench, admitted = streaming
    bench.stream(admitted)
    bench.connect()
    bench.reactor.advance(20.0)
    assert admitted.caller_request.status == 504


def spend_repeats(bench, left):
    now_s = bench.reactor.seconds()
    while bench.budget.remaining(now_s) > left:
        assert bench.budget.try_retry(now_s)


def test_a_stream_in_progress_waits_for_repeats(streaming):
    bench, admitted = streaming
    bench.stream(admitted)
    sent = bench.connect()
    sent.answer(HEAD + chunk(event(1)))
    spend_repeats(bench, 0)
    sent.reset()
    assert admitted.caller_request.ending == ""
    for _ in range(20):
        bench.budget.record_success(bench.reactor.seconds())
    bench.reactor.advance(0.2)
    next_run(bench).answer(HEAD + chunk(event(2)) + END)
    assert admitted.caller_request.ending == "whole"


def test_the_last_repeats_are_kept_for_streams_in_progress(streaming):
    bench, admitted = streaming
    bench.stream(admitted)
    spend_repeats(bench, 2)
    bench.connect().answer(
        b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )
    assert admitted.caller_request.status == 503
    assert float(admitted.caller_request.header(b"Retry-After")) > 0


def test_a_silent_run_goes_on_where_it_may_not_be_repeated(streaming):
    bench, admitted = streaming
    bench.stream(admitted)
    sent = bench.connect()
    spend_repeats(bench, 2)
    bench.run(0.7)
    while bench.opened():
        bench.connect().answer(REPORT)
    bench.run(0.5)
    assert admitted.caller_request.ending == ""
    sent.answer(HEAD + chunk(event(1)) + END)
    assert admitted.caller_request.ending == "whole"


@pytest.mark.parametrize("has_answered", [True, False])
def test_a_third_run_begins_where_an_earlier_one_did(
    bench, model_service, stream_route, has_answered
):
    bench.register(
        *two_copies(),
        *(
            make_target(f"c{first}", first_layer=first, end_layer=first + 40)
            for first in (0, 40)
        ),
    )
    admitted = bench.admitted(model_service, stream_route)
    stream = bench.stream(admitted)
    firsts = []
    for number in (1, 2, 3):
        sent = next_run(bench)
        path = path_of(sent)
        firsts.append(path[0])
        if has_answered:
            sent.answer(HEAD + chunk(event(number)))
        # A later stage goes dark; the first one lives on, but slowly.
        bench.targets.apply_peer_pace(path[0], 1, 9.0)
        bench.targets.mark_down(bench.targets.by_name[path[1]], "no answer")
        # It crashed none of them: the same request was served elsewhere.
        bench.context.crash_evidence.record_first_data(stream.digest)
    assert firsts[0] != firsts[1]
    assert firsts[2] in firsts[:2]


def test_a_target_that_has_ended_is_no_attempt(
    bench, model_service, stream_route
):
    route = stream_route._replace(max_targets=1)
    bench.register(*two_copies())
    admitted = bench.admitted(model_service, route)
    bench.stream(admitted)
    sent = bench.connect()
    first = path_of(sent)[0]
    sent.answer(HEAD + chunk(event(1)))
    bench.targets.mark_down(bench.targets.by_name[first], "refused")
    assert path_of(next_run(bench))[0] != first
