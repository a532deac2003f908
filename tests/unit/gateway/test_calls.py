"""What callers get from calls to plain services under failures."""

from tests.unit.gateway.conftest import make_target

OK = (
    b"HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: r1\r\n"
    b"Content-Length: 4\r\n\r\ndone"
)
FAILED = (
    b"HTTP/1.1 500 Failed\r\nSignature: s\r\nRequest-Id: r1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
TURNED_DOWN = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"


def plain(name):
    return make_target(name, service="plain", accelerator="", slots=6)


def test_a_whole_answer_is_delivered(bench, plain_service, booking_route):
    bench.register(plain("a"))
    admitted = bench.admitted(plain_service, booking_route)
    bench.call(admitted)
    sent = bench.connect()
    assert b"Content-Length: 4" in sent.transport.value()
    sent.answer(OK)
    assert admitted.caller_request.status == 200
    assert admitted.caller_request.written == b"done"
    assert bench.over


def test_a_sent_call_without_answer_is_never_said_not_to_have_run(
    bench, plain_service, booking_route
):
    bench.register(plain("a"))
    admitted = bench.admitted(plain_service, booking_route)
    bench.call(admitted)
    bench.connect()
    bench.reactor.advance(1.0)
    assert admitted.caller_request.status == 504


def test_a_reset_call_that_may_not_repeat_ends_unknown(
    bench, plain_service, booking_route
):
    bench.register(plain("a"), plain("b"))
    admitted = bench.admitted(plain_service, booking_route)
    bench.call(admitted)
    bench.connect().reset()
    assert admitted.caller_request.status == 502
    assert b"Retry-After" not in dict(admitted.caller_request.headers)


def test_a_refused_connection_is_offered_elsewhere(
    bench, plain_service, booking_route
):
    bench.register(plain("a"), plain("b"))
    admitted = bench.admitted(plain_service, booking_route)
    bench.call(admitted)
    bench.refuse()
    bench.connect().answer(OK)
    assert admitted.caller_request.status == 200


def test_a_full_service_is_said_so_with_a_time(
    bench, plain_service, booking_route
):
    bench.register(plain("a"))
    admitted = bench.admitted(plain_service, booking_route)
    bench.call(admitted)
    bench.connect().answer(TURNED_DOWN)
    assert admitted.caller_request.status == 503
    assert float(admitted.caller_request.header(b"Retry-After")) > 0


def test_a_failed_lookup_is_repeated_at_another_target(
    bench, plain_service, lookup_route
):
    bench.register(plain("a"), plain("b"))
    admitted = bench.admitted(plain_service, lookup_route)
    bench.call(admitted)
    first = bench.connect()
    first.answer(FAILED)
    # The failure also makes the first target suspect.
    probe_or_second = [bench.connect(), bench.connect()]
    second = next(
        sent for sent in probe_or_second if b"drafts" in sent.transport.value()
    )
    assert second.port != first.port
    second.answer(OK)
    assert admitted.caller_request.status == 200


def test_a_slow_lookup_is_sent_twice_and_answered_once(
    bench, plain_service, lookup_route
):
    bench.register(plain("a"), plain("b"))
    admitted = bench.admitted(plain_service, lookup_route)
    bench.call(admitted)
    first = bench.connect()
    bench.reactor.advance(0.19)
    second = bench.connect()
    first.answer(OK)
    assert admitted.caller_request.status == 200
    assert second.transport.disconnecting


def test_a_failure_of_the_target_is_passed_on_as_it_is(
    bench, plain_service, booking_route
):
    bench.register(plain("a"))
    admitted = bench.admitted(plain_service, booking_route)
    bench.call(admitted)
    bench.connect().answer(FAILED)
    assert admitted.caller_request.status == 500
    assert admitted.caller_request.header(b"Signature") == b"s"


def test_a_caller_that_leaves_ends_the_work(
    bench, plain_service, booking_route
):
    bench.register(plain("a"))
    admitted = bench.admitted(plain_service, booking_route)
    bench.call(admitted)
    sent = bench.connect()
    admitted.caller_request.on_disconnect()
    assert sent.transport.disconnecting
    assert bench.over
